"""Monotonic time in milliseconds."""

import time

import attrs

__all__ = ["Clock", "ManualClock", "SuspendAwareClock"]


class Clock:
    """The monotonic clock of this process.

    Readings of different processes are never comparable.
    """

    def now_ms(self):
        """Return milliseconds since an arbitrary start.

        Returns
        -------
        now_ms : float
        """
        return time.monotonic() * 1000.0


class SuspendAwareClock(Clock):
    """A clock that goes on while the VM is suspended.

    The monotonic clock stands still meanwhile: a daemon that wakes would take a right
    that has long ended for one that is still good.
    """

    def now_ms(self):
        """Return milliseconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


@attrs.define
class ManualClock(Clock):
    """A clock that moves only when told to.

    Parameters
    ----------
    reading_ms : float, default=0.0
        First reading.
    """

    reading_ms: float = 0.0

    def now_ms(self):
        """Return the reading that was last set, in milliseconds."""
        return self.reading_ms

    def advance(self, by_ms):
        """Move the clock forward.

        Parameters
        ----------
        by_ms : float
            Zero or more.
        """
        self.reading_ms += by_ms
