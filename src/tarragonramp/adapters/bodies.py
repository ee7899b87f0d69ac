"""Reads the bodies of requests without delaying other work.

A receive does not switch greenlets while bytes are there, and neither does parsing. The
loops here therefore give way by themselves.
"""

import io
import math
import re

import gevent
from gevent.lock import BoundedSemaphore

from ..errors import MalformedBodyError, RequestError
from .fields import read_fields

__all__ = ["BodyReader"]

PIECE_BYTES, HELD_STEP_BYTES = 65_536, 4096
MAX_TURN_BYTES, MAX_TURN_CHUNKS = 262_144, 256
PAUSE_MS = 1.0
"""Pause after a turn. Without a timer, gevent would not let those run that wait for
one."""

MAX_CHUNK_LINE_BYTES = 8192
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Small chunks cost far more processor time than a body with a length. Such bodies take
# turns, with a pause after each, so that a crowd of them gets no more than one.
_costly_turn = BoundedSemaphore(1)

_CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n\Z")


class BodyReader:
    """The body of one request, with a length or in chunks.

    Parameters
    ----------
    rfile : io.BufferedReader
        Of the connection, at the start of the body.
    content_length : int or None
    is_chunked : bool
    limits : Limits
        Those of the header section hold for chunk extensions and trailers as well.
    hold : callable
        Called with a number of bytes that are kept; raises RequestError if there is no
        room for them, or for what was kept before.
    record_progress : callable
        Called with the number of bytes that have been read or dropped.
    send_continue : callable, optional
        Called before the first read if the client waits for it.
    """

    def __init__(
        self,
        rfile,
        content_length,
        is_chunked,
        limits,
        hold,
        record_progress,
        send_continue=None,
    ):
        self.is_chunked = is_chunked
        self.is_malformed = False
        self.is_continue_due = send_continue is not None
        self._rfile, self._limits, self._hold = rfile, limits, hold
        self._record_progress, self._send_continue = record_progress, send_continue
        # Bytes left of the body or, if it is chunked, of the current chunk.
        self._n_left = 0 if is_chunked else content_length or 0
        self._is_ended = not is_chunked and not self._n_left
        self._is_in_chunk = False
        self._n_extension_bytes = 0
        self._n_turn_bytes = self._n_turn_chunks = 0

    @property
    def is_exhausted(self):
        """Whether the body has been read to its end."""
        return self._is_ended and not self.is_malformed

    def read(self, size=None):
        """Return the rest of the body, or as many bytes of it.

        Raises
        ------
        MalformedBodyError
            If the framing is malformed, or the body ends early.
        RequestError
            If there is no room for the body.
        OSError
            If the connection failed.
        """
        body, n_unheld = io.BytesIO(), 0
        for piece in self._pieces(size):
            body.write(piece)
            n_unheld += len(piece)
            if n_unheld >= HELD_STEP_BYTES:
                self._hold(n_unheld)
                n_unheld = 0
        self._hold(n_unheld)
        return body.getvalue()

    def discard(self, max_bytes):
        """Read and drop the rest of the body, up to a number of bytes.

        Raises as :meth:`read` does.
        """
        self.is_continue_due = False
        for _ in self._pieces(max_bytes):
            pass

    def _pieces(self, size):
        """Yield the next pieces of the body, up to ``size`` bytes in all."""
        if self.is_continue_due:
            self.is_continue_due = False
            self._send_continue()
        n_wanted = math.inf if size is None else size
        while n_wanted > 0 and not self._is_ended:
            if self.is_chunked and not self._is_in_chunk:
                self._begin_chunk()
                continue
            piece = self._rfile.read1(int(min(self._n_left, n_wanted, PIECE_BYTES)))
            if not piece:
                raise self._malformed("body ended early")
            self._n_left -= len(piece)
            n_wanted -= len(piece)
            self._record_progress(len(piece))
            self._end_piece()
            yield piece
            self._give_way(len(piece))

    def _begin_chunk(self):
        line = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_LINE.match(line)
        if match is None:
            raise self._malformed("malformed chunk")
        # Without the size and the line end.
        self._n_extension_bytes += len(line) - len(match[1]) - 2
        if self._n_extension_bytes > self._limits.header_block_bytes:
            raise self._malformed("chunk extensions longer than the limit")
        self._n_left = int(match[1], 16)
        self._is_in_chunk = self._n_left > 0
        if not self._is_in_chunk:
            self._skip_trailers()
            self._is_ended = True

    def _end_piece(self):
        if self._n_left:
            return
        if not self.is_chunked:
            self._is_ended = True
            return
        self._is_in_chunk = False
        if self._rfile.read(2) != b"\r\n":
            raise self._malformed("malformed end of a chunk")

    def _skip_trailers(self):
        try:
            read_fields(self._rfile, self._limits)
        except RequestError as error:
            raise self._malformed(f"trailers: {error.reason}") from None

    def _malformed(self, reason):
        self.is_malformed = True
        # The connection may have been ended to make room.
        self._hold(0)
        return MalformedBodyError(reason)

    def _give_way(self, n_bytes):
        """Let other greenlets run once this one has had its turn."""
        self._n_turn_bytes += n_bytes
        self._n_turn_chunks += self.is_chunked
        if self._n_turn_bytes >= MAX_TURN_BYTES:
            gevent.sleep(PAUSE_MS / 1000.0)
        elif self._n_turn_chunks >= MAX_TURN_CHUNKS:
            with _costly_turn:
                gevent.sleep(PAUSE_MS / 1000.0)
        else:
            return
        self._n_turn_bytes = self._n_turn_chunks = 0
