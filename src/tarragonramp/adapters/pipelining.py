"""Serves requests that a caller sends one behind the other at the same time."""

import copy
import errno

import attrs
import gevent
from gevent.event import Event

from .serving import DaemonHandler, DaemonServer
from .usage import mark_request_path
from .web import WebHandler

__all__ = ["PipeliningServer"]

MAX_UNANSWERED = 16
"""Requests of one connection that are served at once. Load: a caller that sends
without waiting. Harm prevented: one connection taking the memory of all others."""

OVERLAPPING_METHODS = frozenset(("GET", "HEAD"))


@attrs.define(eq=False)
class _Line:
    """The answers of one connection, in the order of their requests.

    Parameters
    ----------
    last : Event
        Set once the answer to the newest request has left.
    unanswered : int
    closing : bool
        An answer has said that the connection closes with it.
    """

    last: Event
    unanswered: int = 0
    closing: bool = False


class PipeliningHandler(DaemonHandler):
    """Handles a connection whose requests do not wait for each other.

    Without it a quick request waits for the slow one before it, and its time limit
    runs meanwhile. Only requests without a body overlap: where the next one begins is
    known at once. Answers leave in the order of the requests.
    """

    line = None
    ahead = None
    left = None
    reader = None
    _is_reading = False

    @property
    def busy(self):
        """Whether a request is being read or has not been answered."""
        return self._is_reading or (self.line is not None and self.line.unanswered > 0)

    @busy.setter
    def busy(self, is_reading):
        self._is_reading = is_reading

    def handle(self):
        """Serve the connection until it ends."""
        first = Event()
        first.set()
        self.line = _Line(first)
        super().handle()

    def read_requestline(self):
        """Wait for the next request; none once an answer said that it was the last."""
        text = super().read_requestline()
        if self.server.leaving and self.line.unanswered:
            # A caller that always sends before it is answered would never see an
            # answer that closes the connection, and would be cut at the end.
            self.line.closing = True
        if self.line.closing:
            # Nobody may think that it was read: its caller sends it again.
            text = ""
        self.busy = bool(text)
        return text

    def handle_one_request(self):
        """Read a request and begin to serve it."""
        result = super().handle_one_request()
        if result is not True:
            # The connection is about to be closed: not before all is answered.
            self.line.last.wait()
        return result

    def handle_one_response(self):
        """Serve a request beside those before it, if it can be."""
        line = self.line
        if not self._may_overlap():
            line.last.wait()
            super().handle_one_response()
            return
        line.unanswered += 1
        turn = copy.copy(self)
        turn.reader, turn.ahead, turn.left = self, line.last, Event()
        line.last = turn.left
        self.busy = False
        gevent.spawn(turn.respond)
        if line.unanswered >= MAX_UNANSWERED:
            turn.left.wait()

    def respond(self):
        """Serve one request that overlaps with others."""
        mark_request_path()
        try:
            super().handle_one_response()
        finally:
            self.line.unanswered -= 1
            if self.close_connection:
                self.line.closing = True
            self.reader.idle_since_ms = self.server.clock.now_ms()
            self.left.set()
            if self.line.closing and self.line.last is self.left:
                # The reader waits for a request that is not to come.
                self.hang_up()

    def finalize_headers(self):
        """Say that the connection closes only with the answer that is the last one.

        Requests behind it count as not read, so none may be on its way to a server.
        """
        if self.left is None or self.line.last is self.left:
            super().finalize_headers()
            self.line.closing = self.line.closing or self.close_connection
            return
        self.close_connection = False
        self._drop_close()
        # Past the class below, which would close it because the server is leaving.
        WebHandler.finalize_headers(self)

    def _drop_close(self):
        self.response_headers = [
            item for item in self.response_headers if item[0].lower() != b"connection"
        ]

    def _sendall(self, data):
        """Send a part of an answer once all answers before it have left."""
        if self.ahead is not None:
            self.ahead.wait()
        if not hasattr(self, "socket") or self.socket is None:
            raise ConnectionResetError(errno.ECONNRESET, "closed before the answer")
        super()._sendall(data)

    def _may_overlap(self):
        return (
            self.command in OVERLAPPING_METHODS
            and not self.content_length
            and "transfer-encoding" not in dict(self.headers)
            and self.request_version == "HTTP/1.1"
            and not self.close_connection
        )


class PipeliningServer(DaemonServer):
    """A server of callers that may send requests one behind the other."""

    handler_class = PipeliningHandler
