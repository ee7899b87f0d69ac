"""Accounts for the memory of responses while they are read from servers."""

import socket
import time

import attrs
import gevent
import logbook

from ..errors import AbandonedError, AnswerRevokedError
from ..holdings import MAX_UNFREED_BYTES
from .logs import log_event

__all__ = ["RECEIVE_BUFFER_BYTES", "ResponseMemory"]

FREE_BYTES = 16_384
"""Length up to which a response is not counted."""

RECEIVE_BUFFER_BYTES, KEPT_COPIES = 65_536, 2
"""Size of the kernel's buffer of a connection, which counts for each longer response,
and how often the bytes of one are held at most: once more when it is complete."""

FREEING_PAUSE_MS = 1.0


@attrs.define(eq=False)
class ResponseMemory:
    """What one response holds; a context manager around the reading of it.

    Parameters
    ----------
    holdings : HoldingTable or None
        None if nothing is counted.
    server : hashable
        Of whose answers this is one.
    connection : socket
    deadline_s : float
        Of the exchange, on the monotonic clock.
    """

    holdings: object
    server: object
    connection: object
    deadline_s: float
    _holding: object = None

    def __enter__(self):
        return self

    def __exit__(self, error_type, error, traceback):
        if self._holding is None:
            return
        if not isinstance(error, AbandonedError):
            self.holdings.record_answer(self._holding, is_whole=error is None)
        self.holdings.close(self._holding)

    def record(self, n_bytes):
        """Record the length of what has been read, and wait for memory if it is short.

        Raises
        ------
        AnswerRevokedError
            If there is no memory for it.
        TimeoutError
            At the deadline.
        """
        if self._holding is None:
            if self.holdings is None or n_bytes <= FREE_BYTES:
                return
            self._holding = self.holdings.open_answer(self.server, self._revoke)
        n_held = RECEIVE_BUFFER_BYTES + KEPT_COPIES * n_bytes
        self.holdings.charge(self._holding, n_held - self._holding.n_bytes)
        self.check()
        while self.holdings.n_revoked_bytes > MAX_UNFREED_BYTES:
            # Those that gave way free their memory once they have their turn.
            if time.monotonic() >= self.deadline_s:
                raise TimeoutError("timed out")
            gevent.sleep(FREEING_PAUSE_MS / 1000.0)
            self.check()

    def check(self):
        """Raise AnswerRevokedError if this response had to give way."""
        if self._holding is not None and self._holding.is_revoked:
            reason = f"{self.server}: no memory left for the response"
            raise AnswerRevokedError(reason)

    def _revoke(self):
        log_event(
            "answer-revoked",
            level=logbook.WARNING,
            address=self.server,
            held_bytes=self._holding.n_bytes,
            server_bytes=self.holdings.bytes_of(self.server),
        )
        try:
            # On the underlying socket: gevent's would also raise an error in the
            # greenlet that waits for data.
            self.connection._sock.shutdown(socket.SHUT_RDWR)
        except (AttributeError, OSError):
            # The connection has ended.
            return
