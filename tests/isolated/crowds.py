"""Crowds of raw connections to a daemon, and what they cost its process."""

import os

import attrs
import gevent
from gevent import socket

from tarragonramp.adapters.http import split_address

__all__ = ["Crowd", "ProcessMeter", "keep_sending", "send_in_pieces"]

RETURN_S = 0.05
SAMPLE_S = 0.05
LISTENING = "0A"


@attrs.define(eq=False)
class Crowd:
    """Connections that each run a function, and come back when they are cut.

    Parameters
    ----------
    address : str
        ``ip:port``.
    size : int
        Number of connections.
    play : callable
        ``play(connection)`` sends what a client sends; the connection stays open
        afterwards, and nothing is read from it.
    endless : bool
        Whether it sends until it is cut.
    """

    address: str
    size: int
    play: object
    endless: bool = False
    n_sent: int = 0
    n_cut: int = 0
    _tasks: list = attrs.Factory(list)

    def start(self):
        """Open all connections."""
        self._tasks = [gevent.spawn(self._run) for _ in range(self.size)]

    def has_come(self):
        """Tell whether as many connections as there are clients have sent or ended."""
        return self.n_sent + self.n_cut >= self.size

    def stop(self):
        """Close all connections."""
        gevent.killall(self._tasks)

    def _run(self):
        while True:
            try:
                with socket.create_connection(split_address(self.address)) as client:
                    self.n_sent += self.endless
                    self.play(client)
                    self.n_sent += 1
                    _wait_closed(client)
            except OSError:
                self.n_cut += 1
            gevent.sleep(RETURN_S)


def _wait_closed(client):
    """Wait until the peer resets the connection or sends the end of the stream.

    Answers are left unread, so that only their end is looked for.
    """
    while True:
        gevent.sleep(RETURN_S)
        client.setblocking(False)
        try:
            if client.recv(1, socket.MSG_PEEK) == b"":
                return
        except BlockingIOError:
            continue
        # There are answers: probe the connection with the error state of the socket.
        if client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return


def send_in_pieces(client, data, n_bytes):
    """Send data in pieces of some length."""
    for begin in range(0, len(data), n_bytes):
        client.sendall(data[begin : begin + n_bytes])


def keep_sending(client, data, pause_s=0.0):
    """Send the same data again and again until the connection is cut."""
    while True:
        client.sendall(data)
        gevent.sleep(pause_s)


@attrs.define(eq=False)
class ProcessMeter:
    """Peaks of a process: its memory, with bytes received but not read, and its files.

    Parameters
    ----------
    pid : int
    addresses : list of str
        Listening addresses, whose connections' unread bytes are counted.
    servers : list of str
        Addresses of servers, of whose answers the unread bytes are counted.
    """

    pid: int
    addresses: list
    servers: list = attrs.Factory(list)
    peak_bytes: int = 0
    peak_unread_bytes: int = 0
    peak_descriptors: int = 0
    _task: object = None

    def start(self):
        """Begin to sample."""
        self._task = gevent.spawn(self._run)

    def stop(self):
        """End sampling; the memory's own peak is taken from the kernel."""
        self._task.kill()
        self.sample()
        self.peak_bytes = max(self.peak_bytes, self._status_bytes("VmHWM"))

    def sample(self):
        """Take one sample."""
        unread = self._unread_bytes()
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_bytes = max(self.peak_bytes, self.resident_bytes() + unread)
        n_open = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.peak_descriptors = max(self.peak_descriptors, n_open)

    def kernel_peaks(self):
        """Return the kernel's figures of the process's memory, for a message."""
        names = ("VmHWM", "VmRSS", "RssAnon")
        return {name: self._status_bytes(name) for name in names}

    def resident_bytes(self):
        """Return the memory in use now."""
        return self._status_bytes("VmRSS")

    def _run(self):
        while True:
            self.sample()
            gevent.sleep(SAMPLE_S)

    def _status_bytes(self, name):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as stream:
            for line in stream:
                if line.startswith(f"{name}:"):
                    return int(line.split()[1]) << 10
        return 0

    def _unread_bytes(self):
        ports, server_ports = _ports(self.addresses), _ports(self.servers)
        with open("/proc/net/tcp", encoding="ascii") as stream:
            rows = [line.split() for line in stream][1:]
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            if (row[1].partition(":")[2] in ports and row[3] != LISTENING)
            or row[2].partition(":")[2] in server_ports
        )


def _ports(addresses):
    """Return the ports of addresses as the kernel's table of connections has them."""
    return {f"{int(address.rpartition(':')[2]):04X}" for address in addresses}
