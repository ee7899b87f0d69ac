"""Decides which requests a stopping daemon still takes.

A request whose answer has not arrived when the process ends is lost to its caller, who
cannot know whether it ran. Refused at once as not run, another daemon serves it.
"""

import math

import attrs

__all__ = [
    "LAST_PART_MS",
    "STOPPING_REASON",
    "STOPPING_RETRY_S",
    "StopDeadline",
    "is_answered_in_time",
]

STOPPING_REASON, STOPPING_RETRY_S = "daemon is stopping", 0.05
"""Of refusals. Another daemon can take the request at once."""

LONGEST_DECAY = 0.02
"""Weight of the newest answer in the longest time of a route, if it took less. About
fifty answers move it."""

SPARE_FACTOR, LAST_PART_MS = 1.25, 200.0
"""How much longer than expected an answer may take, and the time for writing it."""


def is_answered_in_time(stop_left_ms, request_left_ms, expected_ms):
    """Return whether a request that is sent now is over when the process ends.

    Parameters
    ----------
    stop_left_ms : float
        Until the process ends.
    request_left_ms : float
        Until the deadline of the request, at which its caller gets an answer in any
        case.
    expected_ms : float or None
        How long its answer may take; None if that is not known.
    """
    expected_ms = math.inf if expected_ms is None else SPARE_FACTOR * expected_ms
    return min(request_left_ms, expected_ms) + LAST_PART_MS <= stop_left_ms


@attrs.define(eq=False)
class StopDeadline:
    """When this process ends, and how long requests take.

    Parameters
    ----------
    clock : Clock
    ends_ms : float
        Infinite unless the process stops.
    """

    clock: object
    ends_ms: float = math.inf
    _longest_ms: dict = attrs.Factory(dict)

    def record(self, route, took_ms):
        """Record how long a request to a route has taken, with or without an answer."""
        longest_ms = self._longest_ms.get(route, took_ms)
        decay_ms = LONGEST_DECAY * (longest_ms - took_ms)
        self._longest_ms[route] = max(took_ms, longest_ms - decay_ms)

    def allows(self, route, until_ms, expected_ms=0.0):
        """Return whether a request may be sent now.

        Parameters
        ----------
        route : hashable
            Requests of one route are assumed to take similar times.
        until_ms : float
            Deadline of the request.
        expected_ms : float, default=0.0
            How long the server that was chosen is expected to take.
        """
        if self.ends_ms == math.inf:
            return True
        now_ms, longest_ms = self.clock.now_ms(), self._longest_ms.get(route)
        if longest_ms is not None:
            longest_ms = max(longest_ms, expected_ms)
        return is_answered_in_time(self.ends_ms - now_ms, until_ms - now_ms, longest_ms)
