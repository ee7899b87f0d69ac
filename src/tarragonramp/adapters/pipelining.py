"""HTTP/1.1 pipelining: concurrent handling of the requests of one connection."""

import copy
import errno

import attrs
import gevent
from gevent.event import Event

from .serving import DaemonHandler, DaemonServer
from .usage import mark_request_work
from .web import WebHandler

__all__ = ["PipeliningServer"]

MAX_CONCURRENT_REQUESTS = 16
"""Maximum number of requests of one connection served at once, so that a caller that
sends without waiting for responses cannot use up the memory for other connections."""

OVERLAPPING_METHODS = frozenset(("GET", "HEAD"))


@attrs.define(eq=False)
class _Pipeline:
    """Pipelining state of one connection; responses keep the order of their requests.

    Parameters
    ----------
    last_sent : Event
        Set once the response to the latest request has been sent.
    in_progress : int
        Number of requests whose responses have not been sent.
    max_in_progress : int
        Fewer than usual after refusals, as a client that sends ahead would otherwise
        take the place of others.
    is_next_read : bool
        Whether a request that does not overlap with others waits for their responses.
    closing : bool
        Whether no further request is served, because the connection closes after the
        last response.
    """

    last_sent: Event
    in_progress: int = 0
    max_in_progress: int = MAX_CONCURRENT_REQUESTS
    is_next_read: bool = False
    closing: bool = False


class PipeliningHandler(DaemonHandler):
    """Handles the requests of one connection concurrently.

    Served in sequence, a quick request would wait for a slow one before it while its
    own timeout runs. Only requests without a body overlap, because the start of the
    next request is known immediately. Responses are sent in the order of the requests.

    The handler of the connection reads the requests; a copy of it serves each request
    that overlaps with others.
    """

    pipeline = None

    # Set on copies only: events for the responses to the previous and to this request,
    # and the handler of the connection.
    previous_sent = None
    sent = None
    connection_handler = None

    _is_reading = False

    @property
    def busy(self):
        """Whether a request is being read or awaits its response."""
        return self._is_reading or (
            self.pipeline is not None and self.pipeline.in_progress > 0
        )

    @busy.setter
    def busy(self, is_reading):
        self._is_reading = is_reading

    def handle(self):
        """Serve the connection until it ends."""
        first = Event()
        first.set()
        self.pipeline = _Pipeline(first)
        super().handle()

    def read_requestline(self):
        """Wait for the next request; return "" once the connection is to be closed."""
        request_line = super().read_requestline()
        if self.server.shutting_down and self.pipeline.in_progress:
            # If a caller always sends the next request before the response arrives,
            # no response would be the last one and announce the close. Its connection
            # would be aborted at the end of the drain.
            self.pipeline.closing = True
        if self.pipeline.closing:
            # The request counts as not read, so the caller can safely resend it.
            request_line = ""
        self.busy = bool(request_line)
        return request_line

    def handle_one_request(self):
        """Read a request and start serving it."""
        result = super().handle_one_request()
        if result is not True:
            # The connection is about to be closed: wait until all responses are sent.
            self.pipeline.last_sent.wait()
            if self.pipeline.closing:
                # The caller assumes that a request behind the last response was not
                # read, also if it was malformed.
                return None
        return result

    def handle_one_response(self):
        """Serve a request concurrently with earlier ones if possible."""
        pipeline = self.pipeline
        can_overlap = self._can_overlap()
        if not can_overlap:
            pipeline.is_next_read = True
            pipeline.last_sent.wait()
            pipeline.is_next_read = False
        if pipeline.closing:
            # The close was announced while this request was being read.
            self.close_connection = True
            self.wsgi_input._discard()
            self.end_request()
            return
        if not can_overlap:
            super().handle_one_response()
            return
        pipeline.in_progress += 1
        handler = copy.copy(self)
        handler.connection_handler, handler.previous_sent, handler.sent = (
            self,
            pipeline.last_sent,
            Event(),
        )
        pipeline.last_sent = handler.sent
        self.busy = False
        gevent.spawn(handler.respond)
        if pipeline.in_progress >= pipeline.max_in_progress:
            handler.sent.wait()

    def respond(self):
        """Serve one request concurrently with others."""
        mark_request_work()
        try:
            super().handle_one_response()
        finally:
            self._adapt_pipeline()
            self.pipeline.in_progress -= 1
            if self.close_connection:
                self.pipeline.closing = True
            self.connection_handler.idle_since_ms = self.server.clock.now_ms()
            self.sent.set()
            if self.pipeline.closing and self.pipeline.last_sent is self.sent:
                # Wake the handler that waits for the next request.
                self.shut_down_receive()

    def finalize_headers(self):
        """Send ``Connection: close`` only with the last response.

        After a response with this header, a caller assumes that its later requests were
        not read and sends them again, so none of them may have been sent to a server.
        """
        if self.sent is None or self._is_last():
            super().finalize_headers()
            self.pipeline.closing = self.pipeline.closing or self.close_connection
            return
        self.close_connection = False
        self._remove_connection_header()
        # Bypass DaemonHandler, which would close the connection because the server is
        # shutting down.
        WebHandler.finalize_headers(self)

    def _adapt_pipeline(self):
        """Serve fewer requests at once after a refusal, and more after an answer."""
        pipeline = self.pipeline
        if self.holding.n_refused:
            pipeline.max_in_progress = max(1, pipeline.max_in_progress // 2)
        else:
            at_most = MAX_CONCURRENT_REQUESTS
            pipeline.max_in_progress = min(at_most, pipeline.max_in_progress + 1)

    def _is_last(self):
        """Return whether no request behind this one has been read."""
        return self.pipeline.last_sent is self.sent and not self.pipeline.is_next_read

    def _remove_connection_header(self):
        self.response_headers = [
            item for item in self.response_headers if item[0].lower() != b"connection"
        ]

    def _sendall(self, data):
        """Send part of a response after all earlier responses have been sent."""
        if self.previous_sent is not None:
            self.previous_sent.wait()
        if not hasattr(self, "socket") or self.socket is None:
            raise ConnectionResetError(
                errno.ECONNRESET, "connection closed before the response was sent"
            )
        super()._sendall(data)

    def _can_overlap(self):
        return (
            self.command in OVERLAPPING_METHODS
            and not self.content_length
            and "transfer-encoding" not in dict(self.headers)
            and self.request_version == "HTTP/1.1"
            and not self.close_connection
        )


class PipeliningServer(DaemonServer):
    """A server whose callers may pipeline requests."""

    handler_class = PipeliningHandler
