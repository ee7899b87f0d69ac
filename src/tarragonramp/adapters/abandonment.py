"""Ends waits for responses that nobody needs any more."""

import attrs
import gevent

from ..errors import AbandonedError

__all__ = ["AbandonmentWatch"]

CHECK_MS = 50.0
"""Interval at which it is checked whether callers are still connected."""


@attrs.define(eq=False)
class _Wait:
    """A greenlet that waits for bytes of a response."""

    greenlet: object
    is_wanted: object
    is_pending: bool = True

    def abandon(self):
        """End the wait, unless the bytes have come meanwhile."""
        if self.is_pending:
            self.greenlet.throw(AbandonedError("caller disconnected"))


@attrs.define(eq=False, repr=False)
class AbandonmentWatch:
    """Checks in one task whether the responses to all pending exchanges are wanted.

    With a timer of its own, each exchange would wake up many times until a slow server
    responds, which costs more than sending the request and reading the response.
    """

    _waits: set = attrs.Factory(set)
    _task: object = None

    def receive(self, connection, n_bytes, is_wanted):
        """Receive up to ``n_bytes`` within the timeout of a connection.

        Raises
        ------
        AbandonedError
            Once ``is_wanted`` returns False.
        TimeoutError
        """
        wait = _Wait(gevent.getcurrent(), is_wanted)
        self._waits.add(wait)
        if self._task is None:
            self._task = gevent.spawn(self._run)
        try:
            return connection.recv(n_bytes)
        finally:
            wait.is_pending = False
            self._waits.discard(wait)

    def _run(self):
        try:
            while self._waits:
                gevent.sleep(CHECK_MS / 1000.0)
                for wait in list(self._waits):
                    if not wait.is_wanted():
                        # Thrown by the event loop, which goes on with this task.
                        gevent.get_hub().loop.run_callback(wait.abandon)
        finally:
            self._task = None
