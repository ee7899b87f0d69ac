"""Usage caps of teams, and how far the sum over all daemons may exceed one."""

import attrs

__all__ = [
    "CLOCK_DRIFT",
    "MARGIN_MS",
    "MIN_USE_PER_S",
    "NO_SHARE",
    "SHARE_MS",
    "SPARE_TOLERANCE",
    "START_TOLERANCE",
    "CapBounds",
    "UsageCap",
]

SHARE_MS = 12_000.0
"""How long a share is valid without an extension. Longer than a leader keeps its right
without the store, and than most cuts."""

CLOCK_DRIFT, MARGIN_MS = 1.02, 300.0
"""Factor and time by which the dealer counts a share for longer than its holder."""

DEPTH_TOLERANCE, SPARE_TOLERANCE, START_TOLERANCE = 0.7, 0.1, 0.1
"""Parts of the tolerance that are dealt as depth, by a dealer that may have a
successor, and by a new one at once. The rest covers tokens on their way."""

MIN_USE_PER_S = 0.02
"""Use below which a daemon has no share."""

NO_SHARE = (0.0, 0.0, 0.0)


@attrs.frozen
class UsageCap:
    """How many requests of a team may be sent to servers.

    Parameters
    ----------
    rate_per_s, burst : float
        In any time, the rate multiplied by it, and the burst.
    """

    rate_per_s: float
    burst: float = 0.0


@attrs.frozen
class CapBounds:
    """How far the sum over all daemons may exceed a cap.

    Parameters
    ----------
    window_ms : float
        Time over which requests are counted.
    over : float
        Tolerated excess, as a fraction of what the cap allows in a window.
    slack : float
        Further requests tolerated in a window.
    """

    window_ms: float = 5000.0
    over: float = 0.1
    slack: float = 20.0

    def tolerance(self, cap):
        """Return how many requests in a window are tolerated beyond a cap."""
        in_window = cap.rate_per_s * self.window_ms / 1000.0 + cap.burst
        return self.over * in_window + self.slack

    def max_in_window(self, cap):
        """Return how many requests in a window are tolerated in all."""
        in_window = cap.rate_per_s * self.window_ms / 1000.0 + cap.burst
        return in_window + self.tolerance(cap)

    def depth(self, cap):
        """Return how many tokens may be unspent at a time, at all daemons together."""
        return cap.burst + DEPTH_TOLERANCE * self.tolerance(cap)
