"""Log of removed objects, so that updates contain only recent removals.

Holds the removals of one kind of objects for a daemon that passes updates on. No I/O.
"""

import attrs

__all__ = ["RemovalLog"]

MAX_ENTRIES = 1000
"""Number of removals, and of gaps, that are kept. Without a bound, memory would grow
with each release of a large service for as long as the daemon runs."""


@attrs.define(eq=False, repr=False)
class RemovalLog:
    """Names of removed objects with the versions at which the removals were found."""

    _removals: list = attrs.Factory(list)
    _gaps: list = attrs.Factory(list)
    _complete_since: int = 0

    def record(self, version, names):
        """Record that objects were found removed at a version."""
        self._removals += [(version, name) for name in names]
        dropped = self._removals[:-MAX_ENTRIES]
        if dropped:
            self._complete_since = max(self._complete_since, dropped[-1][0])
            del self._removals[:-MAX_ENTRIES]

    def record_gap(self, from_version, to_version):
        """Record that all objects were read at once, which leaves a gap in the history.

        Objects that were both added and removed between the two versions are unknown
        here, but a daemon that has read a version in between may have them.
        """
        if to_version <= from_version + 1:
            return
        self._gaps.append((from_version, to_version))
        dropped = self._gaps[:-MAX_ENTRIES]
        if dropped:
            self._complete_since = max(self._complete_since, dropped[-1][1])
            del self._gaps[:-MAX_ENTRIES]

    def since(self, version):
        """Return the names of objects removed since a version.

        Returns
        -------
        names : list of str, or None
            None if the log is incomplete for that version.
        """
        if version < self._complete_since:
            return None
        if any(low < version < high for low, high in self._gaps):
            return None
        return [name for removed_at, name in self._removals if removed_at > version]
