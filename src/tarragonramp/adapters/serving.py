"""HTTP servers of a daemon with traffic metering and graceful shutdown."""

import ctypes
import socket
import struct

import attrs
import gevent
import logbook

from ..meters import kind_of
from ..request import REQUEST_ID_HEADER
from ..stopping import LAST_PART_MS
from .logs import log_event
from .optional import optional_step
from .usage import mark_request_work
from .web import ARRIVED_KEY, SOCKET_KEY, WebHandler, WebServer

__all__ = ["DaemonServer", "DrainResult", "RequestInProgress", "log_requests_cut"]

DRAIN_POLL_MS = 20

# How long a draining server waits for TCP handshakes in progress to complete.
HANDSHAKE_WAIT_MS = 20

MAX_FAILED_ACCEPTS = 20
ACCEPT_RETRY_MS = 1

# Classic BPF program for a listening socket: drops segments with SYN set.
_SO_ATTACH_FILTER = 26
_FLAGS_OFFSET, _SYN = 13, 0x02
_DROP_SYN = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, _FLAGS_OFFSET),  # load the byte with the TCP flags
        (0x45, 0, 1, _SYN),  # if SYN is set continue, else skip one instruction
        (0x06, 0, 0, 0),  # drop
        (0x06, 0, 0, 0xFFFFFFFF),  # pass
    )
)


@attrs.frozen
class RequestInProgress:
    """A request that has been read and whose response has not been written.

    Parameters
    ----------
    request_id : str
        Empty if the caller sent none.
    path : str
    held_ms : float
        Time since its arrival.
    """

    request_id: str
    path: str
    held_ms: float


@attrs.frozen
class DrainResult:
    """Result of draining a server.

    Parameters
    ----------
    n_aborted : int
        Number of connections still in use when the timeout expired: a request is in
        progress or being read.
    requests : tuple of RequestInProgress
        Requests in progress at that time.
    """

    n_aborted: int
    requests: tuple = ()


class DaemonHandler(WebHandler):
    """Handles one connection and tracks whether a request is in progress on it."""

    busy = False
    idle_since_ms = 0.0
    arrived_ms = 0.0

    def handle(self):
        """Serve the connection until it ends."""
        self._mark_idle()
        self.server.connections.add(self)
        try:
            super().handle()
        finally:
            self.server.connections.discard(self)

    @property
    def is_receiving(self):
        """Whether a request has begun to arrive and has not been read whole."""
        return self.holding is not None and self.holding.is_receiving

    def read_requestline(self):
        """Wait for the next request."""
        line = super().read_requestline()
        self.busy = bool(line)
        self.arrived_ms = self.server.clock.now_ms()
        return line

    def handle_one_response(self):
        """Serve a request, which counts as in progress meanwhile."""
        self.server.handlers_in_progress.add(self)
        try:
            super().handle_one_response()
        finally:
            self.server.handlers_in_progress.discard(self)

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[ARRIVED_KEY] = self.arrived_ms
        if self.receive_shut_down:
            # The end of the stream seen on the socket was caused by this side.
            del environ[SOCKET_KEY]
        return environ

    def finalize_headers(self):
        """Send ``Connection: close`` if the server is shutting down."""
        super().finalize_headers()
        if self.server.shutting_down:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def log_request(self):
        """Mark the connection idle and count the exchange; no line is logged."""
        self._mark_idle()
        traffic = self.server.traffic
        if traffic is None or not self.headers:
            return
        kind = kind_of(self.command, self.path)
        # Four more bytes per header: colon, space and CRLF.
        n_received = sum(len(name) + len(value) + 4 for name, value in self.headers)
        n_received += len(self.requestline) + (self.content_length or 0)
        traffic.received(kind, n_received)
        traffic.sent(kind, self.response_length)

    def shut_down_receive(self):
        """Close the connection once all received requests are answered.

        The kernel would discard a request that arrives just before a full close, and
        the caller could not know whether it ran. With only the receiving side shut
        down, buffered requests are still read and served; then the handler sees the end
        of the stream and closes the connection.
        """
        self.receive_shut_down = True
        try:
            # On the underlying socket: gevent's would also raise an error in the
            # greenlet that waits for data.
            self.socket._sock.shutdown(socket.SHUT_RD)
        except (AttributeError, OSError):
            # The handler is closing the connection concurrently.
            return

    def _mark_idle(self):
        self.busy = False
        self.idle_since_ms = self.server.clock.now_ms()


class DaemonServer(WebServer):
    """A WSGI server that can be drained.

    Parameters
    ----------
    address : str
        ``ip:port``.
    application : callable
        WSGI application.
    clock : Clock
    traffic : TrafficMeter, optional
        Counts the exchanges of a server for control traffic. The CPU time of such a
        server is accounted to control work, that of a server without a meter to
        callers' requests.
    id_header : str, default="x-request-id"
        Lower-case name of the header with a request's id.
    **options : object
        Passed to :class:`WebServer`.
    """

    handler_class = DaemonHandler

    def __init__(
        self,
        address,
        application,
        clock,
        traffic=None,
        id_header=REQUEST_ID_HEADER,
        **options,
    ):
        super().__init__(address, application, **options)
        self.clock = clock
        self.traffic = traffic
        self.id_header = id_header
        self.connections = set()
        self.handlers_in_progress = set()
        self.shutting_down = False

    def handle(self, sock, address):
        """Serve one connection."""
        if self.traffic is None:
            mark_request_work()
        super().handle(sock, address)

    def requests_in_progress(self):
        """Return the requests in progress as a tuple of RequestInProgress."""
        now_ms = self.clock.now_ms()
        return tuple(
            RequestInProgress(
                dict(handler.headers).get(self.id_header, ""),
                handler.path,
                now_ms - handler.arrived_ms,
            )
            for handler in self.handlers_in_progress
        )

    def begin_shutdown(self):
        """Keep serving, but close each connection after its next response."""
        self.shutting_down = True

    def drain(self, idle_ms, timeout_ms):
        """Accept no more connections, finish the open ones, and close.

        Parameters
        ----------
        idle_ms : float
            Close a connection after this time without a request. It should be long
            enough for busy callers to receive a response with ``Connection: close``,
            since a request sent while its connection is being closed is lost.
        timeout_ms : float
            Longest time to wait for requests in progress. The exit of the process
            aborts those that remain.

        Returns
        -------
        drained : DrainResult
        """
        self.begin_shutdown()
        self._stop_listening()
        until_ms = self.clock.now_ms() + timeout_ms
        while self.connections and (now_ms := self.clock.now_ms()) < until_ms:
            # No request that is still being received then can be served.
            is_late = until_ms - now_ms <= LAST_PART_MS
            for handler in list(self.connections):
                is_idle = not handler.busy and handler.idle_since_ms <= now_ms - idle_ms
                if is_idle or (is_late and handler.is_receiving):
                    handler.shut_down_receive()
            gevent.sleep(DRAIN_POLL_MS / 1000.0)
        n_aborted = sum(handler.busy for handler in self.connections)
        return DrainResult(n_aborted, self.requests_in_progress())

    def _stop_listening(self):
        """Close the listener behind the connections that are queued at it."""
        if self.started:
            with optional_step("listener-filter"):
                self._drop_new_handshakes()
                gevent.sleep(HANDSHAKE_WAIT_MS / 1000.0)
            with optional_step("listener-accept"):
                self._accept_queued()
        self.close()

    def _drop_new_handshakes(self):
        """Drop new connection attempts (SYN segments) at this listener.

        The kernel resets connections established between the last accept and the close,
        and a caller that has already sent a request cannot know whether it ran. A
        dropped SYN is retransmitted after a second; by then the caller reaches another
        listener on the port, or is refused and knows that nothing ran. Handshakes in
        progress are completed.
        """
        program = ctypes.create_string_buffer(_DROP_SYN, len(_DROP_SYN))
        size = len(_DROP_SYN) // struct.calcsize("HBBI")
        filter_ = struct.pack("HP", size, ctypes.addressof(program))
        self.socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_)

    def _accept_queued(self):
        """Accept all connections in the listener's backlog.

        When a listener is closed, the kernel resets the connections queued at it, even
        if other processes listen on the same port.

        Raises
        ------
        OSError
            If too many calls fail. The failure of one may concern one connection only.
        """
        n_failed = 0
        while True:
            try:
                accepted = self.do_read()
            except OSError:
                n_failed += 1
                if n_failed == MAX_FAILED_ACCEPTS:
                    raise
                gevent.sleep(ACCEPT_RETRY_MS / 1000.0)
                continue
            if not accepted:
                return
            self.do_handle(*accepted)


def log_requests_cut(requests):
    """Log each of the requests that end with this process.

    Parameters
    ----------
    requests : iterable of RequestInProgress
    """
    for request in requests:
        log_event(
            "request-cut",
            level=logbook.WARNING,
            id=request.request_id,
            held_ms=round(request.held_ms),
        )
