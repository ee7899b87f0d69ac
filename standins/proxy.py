"""A fault-injecting TCP proxy that cuts, delays and refuses connections.

The processes of a site connect to each other through it. It identifies the connecting
process by the owner of the socket, so that the processes need not know of the proxy.

A cut holds bytes back and delivers them when it ends, as TCP does by retransmission:
data sent before or during a cut arrives late.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from tarragonramp.adapters.http import split_address  # noqa: E402
from tarragonramp.adapters.web import WebServer, json_reply  # noqa: E402

from .pauses import watch_pauses  # noqa: E402

CHUNK_BYTES = 65_536
UNKNOWN_PROCESS = "?"

# Constants of the kernel's socket diagnostics, see sock_diag(7).
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
NETLINK_HEADER = struct.Struct("=IHHII")
INODE_OFFSET = 84


@attrs.frozen
class Fault:
    """A fault of the connections from some processes to others.

    Parameters
    ----------
    sources, targets : list of str
        Names of the connecting and of the listening processes.
    kind : {"cut", "cut-requests", "cut-answers", "delay", "refuse", "reset"}
        ``refuse`` resets new connections and leaves open ones alone; ``reset`` also
        resets those that are open when it begins.
    delay_ms : float
        Delay in each direction, for ``delay``.
    """

    sources: list
    targets: list
    kind: str
    delay_ms: float = 0.0

    def applies_to(self, source, target):
        """Tell whether the fault affects connections between two processes."""
        return source in self.sources and target in self.targets


@attrs.define(eq=False, repr=False)
class Proxy:
    """The links of a site and their active faults.

    Parameters
    ----------
    pids : dict of str to int
        By name of the process.
    faults : list of Fault
    """

    pids: dict = attrs.Factory(dict)
    faults: list = attrs.Factory(list)
    _changed: Event = attrs.Factory(Event)
    _open: dict = attrs.Factory(dict)

    def add_link(self, listen, target_address, target):
        """Listen at an address and forward its connections to a process.

        Parameters
        ----------
        listen, target_address : str
            ``ip:port``.
        target : str
            Name of the listening process.
        """

        def handle(client, address):
            self._handle(client, address, target_address, target)

        StreamServer(split_address(listen), handle).start()

    def control(self, environ, start_response):
        """Handle a call of the launcher, which sets links, pids and faults."""
        body = json.loads(environ["wsgi.input"].read() or b"null")
        resource = environ["PATH_INFO"].strip("/")
        if resource == "links":
            for link in body:
                self.add_link(**link)
        if resource == "pids":
            self.pids.update(body)
        if resource == "faults":
            self.faults = [Fault(**item) for item in body]
            changed, self._changed = self._changed, Event()
            changed.set()
            self._reset_open_connections()
        return json_reply(start_response, 200, {"faults": len(self.faults)})

    def _handle(self, client, address, target_address, target):
        source = self._process_name(address, client.getsockname())
        if self._active_kinds(source, target) & {"refuse", "reset"}:
            _reset(client)
            return
        try:
            server = gevent.socket.create_connection(split_address(target_address))
        except OSError:
            client.close()
            return
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tasks = [
            gevent.spawn(self._pump, client, server, source, target, "cut-requests"),
            gevent.spawn(self._pump, server, client, source, target, "cut-answers"),
        ]
        self._open[client] = source, target, tasks
        gevent.joinall(tasks)
        del self._open[client]
        client.close()
        server.close()

    def _reset_open_connections(self):
        for client, (source, target, tasks) in self._open.items():
            if "reset" in self._active_kinds(source, target):
                _set_no_linger(client)
                gevent.killall(tasks, block=False)

    def _pump(self, reader, writer, source, target, direction_cut):
        try:
            while True:
                data = reader.recv(CHUNK_BYTES)
                self._wait_while_cut(source, target, direction_cut)
                delay_ms = self._delay_ms(source, target)
                if delay_ms:
                    gevent.sleep(delay_ms / 1000.0)
                if not data:
                    writer.shutdown(socket.SHUT_WR)
                    return
                writer.sendall(data)
        except OSError:
            # After a reset of one side, both are shut down.
            for connection in (reader, writer):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue

    def _wait_while_cut(self, source, target, direction_cut):
        while self._active_kinds(source, target) & {"cut", direction_cut}:
            self._changed.wait()

    def _active_kinds(self, source, target):
        return {f.kind for f in self.faults if f.applies_to(source, target)}

    def _delay_ms(self, source, target):
        return sum(f.delay_ms for f in self.faults if f.applies_to(source, target))

    def _process_name(self, address, own_address):
        """Return the name of the process that owns the connecting socket."""
        inode = _inode_of(address, own_address)
        for name, pid in self.pids.items():
            if inode and inode in _socket_inodes(pid):
                return name
        return UNKNOWN_PROCESS


def _reset(connection):
    """Reset a connection (RST), as a rejecting firewall does."""
    _set_no_linger(connection)
    connection.close()


def _set_no_linger(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _inode_of(address, own_address):
    """Return the inode of the socket that is connected between two addresses.

    The kernel is asked for this one socket. ``/proc/net/tcp`` lists every socket of the
    machine: with ten thousand of them, reading it would block the proxy for tens of
    milliseconds per connection.
    """
    sock_id = struct.pack("!HH", address[1], own_address[1])
    for host, _ in (address, own_address):
        sock_id += socket.inet_aton(host).ljust(16, b"\0")
    sock_id += struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    length = NETLINK_HEADER.size + len(body) + len(sock_id)
    header = NETLINK_HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    family = (socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG)
    with socket.socket(*family) as netlink:
        netlink.send(header + body + sock_id)
        answer = netlink.recv(4096)
    if NETLINK_HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return ""
    return str(struct.unpack_from("=I", answer, INODE_OFFSET)[0])


def _socket_inodes(pid):
    folder = f"/proc/{pid}/fd"
    found = set()
    try:
        for name in os.listdir(folder):
            link = os.readlink(os.path.join(folder, name))
            if link.startswith("socket:["):
                found.add(link[8:-1])
    except OSError:
        pass
    return found


def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    options = parser.parse_args()
    watch_pauses()
    WebServer(options.control, Proxy().control).serve_forever()


if __name__ == "__main__":
    main()
