"""Monotonic time in milliseconds."""

import time

import attrs

__all__ = ["Clock", "ManualClock", "SuspendAwareClock"]


class Clock:
    """The monotonic clock of this process.

    Readings of different processes are not comparable.
    """

    def now_ms(self):
        """Return the time in milliseconds since an arbitrary start.

        Returns
        -------
        now_ms : float
        """
        return time.monotonic() * 1000.0


class SuspendAwareClock(Clock):
    """A clock that keeps running while the VM is suspended.

    The monotonic clock stops during suspension. After it, a daemon would treat a right
    that has expired meanwhile as still valid.
    """

    def now_ms(self):
        """Return the time in milliseconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


@attrs.define
class ManualClock(Clock):
    """A clock that only advances explicitly, for tests.

    Parameters
    ----------
    reading_ms : float, default=0.0
        Initial reading.
    """

    reading_ms: float = 0.0

    def now_ms(self):
        """Return the current reading in milliseconds."""
        return self.reading_ms

    def advance(self, by_ms):
        """Advance the clock.

        Parameters
        ----------
        by_ms : float
            Zero or more.
        """
        self.reading_ms += by_ms
