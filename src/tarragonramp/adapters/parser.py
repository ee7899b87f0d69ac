"""Strict parser of the responses on a connection that is used for many requests."""

from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)

__all__ = ["MAX_EXTRA_RESPONSES", "ResponseParser"]

SWITCHING_PROTOCOLS = 101
MIN_FINAL_STATUS = 200
KNOWN_STATUSES = range(100, 600)
MAX_EXTRA_RESPONSES = 8
"""Extra responses put aside in one exchange; more look like a server out of step."""

MAX_FIELDS, MAX_INTERIM_RESPONSES = 256, 16
"""Fields of a response with its trailers, and interim responses before it. Each takes
far more processor time than its bytes do."""


class ResponseParser(HTTPResponse):
    """A response parser that reads one final response and nothing behind it.

    The library's parser continues with whatever follows as part of the same response,
    so a late or forged second response would replace the first one. Bytes behind the
    response are an error, unless an id tells that the response is complete, or
    ``drops_trailing`` is set: they are dropped then, and the connection is not used
    again.

    Parameters
    ----------
    method : str
        Of the request.
    is_extra : callable
        ``is_extra(parser)`` returns whether a complete response is an extra one, which
        is put aside.
    drops_trailing : bool, default=False
    """

    def __init__(self, method, is_extra, drops_trailing=False):
        super().__init__(method)
        self.is_final = self.is_identified = False
        self.echoed = frozenset()
        self.n_extra, self.n_extra_bytes = 0, 0
        self._n_fields = self._n_interim = 0
        self._is_extra, self._drops_trailing = is_extra, drops_trailing

    def feed(self, data):
        """Parse received bytes."""
        try:
            super().feed(data)
        except HTTPParseError:
            is_certain = self.is_identified or self._drops_trailing
            if not (self.is_final and is_certain):
                raise

    def _on_message_begin(self):
        if self.is_final:
            raise HTTPProtocolViolationError("bytes after the end of the response")
        super()._on_message_begin()
        self._n_fields = 0

    def _on_header_field(self, string):
        super()._on_header_field(string)
        # A name that comes in several pieces counts as several.
        self._n_fields += 1
        if self._n_fields > MAX_FIELDS:
            raise HTTPProtocolViolationError("more response fields than the limit")

    def end_by_close(self):
        """Return whether the close of the connection completes the response."""
        return (
            self.headers_complete
            and not self.message_complete
            and self.get("content-length") is None
            and "chunked" not in (self.get("transfer-encoding") or "").lower()
            and not self._is_extra(self)
        )

    def _flush_header(self):
        if not self.headers_complete:
            super()._flush_header()
        # A field after the header section is a trailer, which must not alter headers.

    def _on_headers_complete(self):
        # The code would be passed on, or taken for that of an interim response.
        if self.get_code() not in KNOWN_STATUSES:
            raise HTTPProtocolViolationError(f"unknown status {self.get_code():03}")
        return super()._on_headers_complete()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.get_code() == SWITCHING_PROTOCOLS:
            raise HTTPProtocolViolationError("unexpected protocol switch (status 101)")
        if self.get_code() < MIN_FINAL_STATUS:
            self._n_interim += 1
            if self._n_interim > MAX_INTERIM_RESPONSES:
                raise HTTPProtocolViolationError("too many interim responses")
        else:
            self.is_final = not self._is_extra(self)
            if not self.is_final:
                self._put_aside()
        # The library takes an error behind the head for the end of a bodiless response.
        self._message_ended_in_skip_body &= self.is_final

    def _put_aside(self):
        """Forget a complete response, to parse the one that follows."""
        self.n_extra += 1
        if self.n_extra > MAX_EXTRA_RESPONSES:
            raise HTTPProtocolViolationError("too many extra responses")
        self.n_extra_bytes += len(self._body_buffer)
        self._body_buffer.clear()
