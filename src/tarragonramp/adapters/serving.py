"""The web servers of a daemon: metered, and able to stop without cutting a request."""

import ctypes
import socket
import struct

import attrs
import gevent

from ..meters import kind_of
from .usage import mark_request_path
from .web import ARRIVED_KEY, SOCKET_KEY, WebHandler, WebServer

__all__ = ["DaemonServer", "Drained"]

DRAIN_TICK_MS = 20
SETTLE_MS = 20

# A classic BPF program for a listener's segments: drop what has SYN set, pass the rest.
_SO_ATTACH_FILTER = 26
_FLAGS_OFFSET, _SYN = 13, 0x02
_DROP_SYN = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, _FLAGS_OFFSET),  # load the byte of flags
        (0x45, 0, 1, _SYN),  # if it has SYN, next, else skip one
        (0x06, 0, 0, 0),  # drop
        (0x06, 0, 0, 0xFFFFFFFF),  # pass
    )
)


@attrs.frozen
class Drained:
    """How a server stopped.

    Parameters
    ----------
    cut : int
        Requests that were still under way when the time was up.
    """

    cut: int


class DaemonHandler(WebHandler):
    """Handles one connection, and knows whether a request is under way on it."""

    busy = False
    hung_up = False
    idle_since_ms = 0.0
    arrived_ms = 0.0

    def handle(self):
        """Serve the connection until it ends."""
        self._note_idle()
        self.server.connections.add(self)
        try:
            super().handle()
        finally:
            self.server.connections.discard(self)

    def read_requestline(self):
        """Wait for the next request."""
        line = super().read_requestline()
        self.busy = bool(line)
        self.arrived_ms = self.server.clock.now_ms()
        return line

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[ARRIVED_KEY] = self.arrived_ms
        if self.hung_up:
            # The end of the stream that the socket shows is of this side's making.
            del environ[SOCKET_KEY]
        return environ

    def finalize_headers(self):
        """Say that no further request is taken here, if the server is to stop."""
        super().finalize_headers()
        if self.server.leaving:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def log_request(self):
        """Count the exchange, in place of a log line."""
        self._note_idle()
        traffic = self.server.traffic
        if traffic is None or not self.headers:
            return
        kind = kind_of(self.command, self.path)
        # Colon, space and line end, beside name and value.
        n_received = sum(len(name) + len(value) + 4 for name, value in self.headers)
        n_received += len(self.requestline) + (self.content_length or 0)
        traffic.received(kind, n_received)
        traffic.sent(kind, self.response_length)

    def hang_up(self):
        """Close the connection once all that has arrived is answered.

        Guards against a request that reaches this machine just before the close: the
        kernel would drop it and the caller could not know whether it ran. With only
        the receiving side shut, what is in the socket's buffer is still read and
        served; then the handler meets the end of the stream and closes.
        """
        self.hung_up = True
        try:
            # Not through gevent, which would also raise an error in the waiting task.
            self.socket._sock.shutdown(socket.SHUT_RD)
        except (AttributeError, OSError):
            # The handler was closing it at this very moment.
            return

    def _note_idle(self):
        self.busy = False
        self.idle_since_ms = self.server.clock.now_ms()


class DaemonServer(WebServer):
    """A web server that can drain.

    Parameters
    ----------
    address : str
        ``ip:port``.
    application : callable
        WSGI application.
    clock : Clock
    traffic : TrafficMeter, optional
        Counts the exchanges. Without it the server's CPU time is that of callers'
        requests; with it, that of control.
    **options : object
        For :class:`WebServer`.
    """

    handler_class = DaemonHandler

    def __init__(self, address, application, clock, traffic=None, **options):
        super().__init__(address, application, **options)
        self.clock = clock
        self.traffic = traffic
        self.connections = set()
        self.leaving = False

    def handle(self, sock, address):
        """Serve one connection."""
        if self.traffic is None:
            mark_request_path()
        super().handle(sock, address)

    def leave(self):
        """Go on serving, but close each connection with its next answer."""
        self.leaving = True

    def drain(self, idle_ms, timeout_ms):
        """Take no more connections, finish what is held, and close.

        Parameters
        ----------
        idle_ms : float
            A connection without a request for this long is closed. Long enough for
            busy callers to have had an answer that says "close"; a connection that
            a caller uses at the moment of its close would cost it that request.
        timeout_ms : float
            What is under way after this is cut.

        Returns
        -------
        drained : Drained
        """
        self.leave()
        if self.started:
            self._refuse_handshakes()
            gevent.sleep(SETTLE_MS / 1000.0)
            self._accept_queued()
        self.close()
        until_ms = self.clock.now_ms() + timeout_ms
        while self.connections and self.clock.now_ms() < until_ms:
            before_ms = self.clock.now_ms() - idle_ms
            for handler in list(self.connections):
                if not handler.busy and handler.idle_since_ms <= before_ms:
                    handler.hang_up()
            gevent.sleep(DRAIN_TICK_MS / 1000.0)
        return Drained(sum(handler.busy for handler in self.connections))

    def _refuse_handshakes(self):
        """Let no further connection begin at this listener.

        Guards against connections that are made between the last accept and the
        close: the kernel resets them, and a caller that has already sent a claim
        cannot know whether it ran. A dropped SYN costs its caller a second, the time
        until it is sent again; by then it finds another listener on the port, or is
        refused and knows that nothing ran. Handshakes under way are finished.
        """
        program = ctypes.create_string_buffer(_DROP_SYN, len(_DROP_SYN))
        size = len(_DROP_SYN) // struct.calcsize("HBBI")
        filter_ = struct.pack("HP", size, ctypes.addressof(program))
        self.socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_)

    def _accept_queued(self):
        """Accept the connections that wait in the listener's queue.

        Guards against their loss: the kernel resets what is queued at a listener
        that closes, also if other processes listen on the same port.
        """
        while True:
            accepted = self.do_read()
            if not accepted:
                return
            self.do_handle(*accepted)
