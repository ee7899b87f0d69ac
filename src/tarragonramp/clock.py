"""Monotonic time in milliseconds."""

import time

import attrs

__all__ = ["Clock", "ManualClock"]


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
