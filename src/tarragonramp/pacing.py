"""How long requests that clients have sent ahead wait while others are refused."""

import attrs

from .clock import Clock

__all__ = ["AheadPacing"]

FREE_REFUSALS, MIN_REFUSED_MS, MAX_DOUBLINGS = 2, 25.0, 5
"""Refusals in a row on a connection after which its next request waits, and how long:
at first twice ``MIN_REFUSED_MS``, then doubled with each refusal."""

MIN_PACE_MS, MAX_PACE_MS, PACE_STEP_MS = 25.0, 400.0, 100.0
"""Pause on all connections while the process refuses requests. It doubles at most once
in ``PACE_STEP_MS`` while there are refusals, and is halved as often without any."""


@attrs.define(eq=False)
class AheadPacing:
    """Pauses before requests that were sent before the answer to the one before.

    A client that sends ahead asks for the next place as soon as it has one, so that a
    crowd of them keeps all places from clients that wait for their answers.

    Parameters
    ----------
    clock : Clock
    """

    clock: object = attrs.Factory(Clock)
    _pace_ms: float = 0.0
    _stepped_ms: float = 0.0

    def record_refusal(self):
        """Record that a request was refused because all places were taken."""
        now_ms = self.clock.now_ms()
        self._decay(now_ms)
        if not self._pace_ms or now_ms - self._stepped_ms >= PACE_STEP_MS:
            self._pace_ms = min(MAX_PACE_MS, max(MIN_PACE_MS, 2.0 * self._pace_ms))
            self._stepped_ms = now_ms

    def pause_ms(self, n_refused):
        """Return how long the next request of a connection waits.

        Parameters
        ----------
        n_refused : int
            How many of its last requests in a row were refused.
        """
        self._decay(self.clock.now_ms())
        n_counted = n_refused - FREE_REFUSALS
        if n_counted <= 0:
            return self._pace_ms
        return max(self._pace_ms, MIN_REFUSED_MS * 2 ** min(n_counted, MAX_DOUBLINGS))

    def _decay(self, now_ms):
        """Halve the pause for each step since the last one, but the first."""
        while self._pace_ms and now_ms - self._stepped_ms >= 2.0 * PACE_STEP_MS:
            self._pace_ms /= 2.0
            self._stepped_ms += PACE_STEP_MS
            if self._pace_ms < MIN_PACE_MS:
                self._pace_ms = 0.0
