"""Tracks which backend servers this daemon hears from, without I/O."""

import collections
import math

import attrs

from .errors import NotSentError

__all__ = ["HEARD_WINDOW_MS", "ServerPaths"]

HEARD_WINDOW_MS = 2000.0
"""How recently a server must have answered to count as heard."""


@attrs.define(eq=False, repr=False)
class ServerPaths:
    """When each backend server last answered this daemon, and why exchanges failed.

    Parameters
    ----------
    last_answer_ms : float
        When any server last answered; minus infinity if none has.
    failures : Counter
        Failed exchanges by cause: ``refused``, ``reset``, ``no connection`` (opening it
        timed out) or ``no answer`` (the request was sent).
    """

    last_answer_ms: float = -math.inf
    failures: collections.Counter = attrs.Factory(collections.Counter)
    _answered_ms: dict = attrs.Factory(dict)

    def record_answer(self, server, now_ms):
        """Record that a server answered, with any status."""
        self._answered_ms[server] = self.last_answer_ms = now_ms

    def record_failure(self, error):
        """Count a failed exchange by its ExchangeError."""
        self.failures[_cause_of(error)] += 1

    def n_heard(self, now_ms):
        """Return the number of servers that have answered recently."""
        oldest_ms = now_ms - HEARD_WINDOW_MS
        return sum(at_ms >= oldest_ms for at_ms in self._answered_ms.values())

    def silence_ms(self, now_ms):
        """Return how long ago any server last answered; infinity if none has."""
        return now_ms - self.last_answer_ms

    def retain(self, names):
        """Forget all but the given servers."""
        for name in set(self._answered_ms) - set(names):
            del self._answered_ms[name]


def _cause_of(error):
    text = str(error).lower()
    if "refused" in text:
        return "refused"
    if "reset" in text:
        return "reset"
    return "no connection" if isinstance(error, NotSentError) else "no answer"
