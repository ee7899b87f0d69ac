"""Requests in flight by server, as the daemons of a fleet report them to the leader."""

import attrs

__all__ = ["InFlightReports"]


@attrs.define(eq=False, repr=False)
class InFlightReports:
    """The latest report of each daemon, and their sum.

    The leader tells each daemon what all others have in flight. It keeps the sum, since
    adding up the reports of all daemons for each of them takes time that grows with the
    square of the number of daemons.

    Parameters
    ----------
    valid_ms : float
        How long a report counts.
    """

    valid_ms: float
    _reports: dict = attrs.Factory(dict)
    _totals: dict = attrs.Factory(dict)

    def record(self, daemon, counts, now_ms):
        """Replace a daemon's report.

        Parameters
        ----------
        daemon : str
        counts : dict of str to int
            By server; servers that are not listed have none.
        now_ms : float

        Raises
        ------
        ValueError
            If a count is not a whole number; the earlier report then stays in force.
        """
        if not isinstance(counts, dict) or not all(
            type(count) is int for count in counts.values()
        ):
            raise ValueError("requests in flight are not given as whole numbers")
        self._remove(daemon)
        # Reports are ordered by age, the oldest first.
        self._reports[daemon] = counts, now_ms
        for server, count in counts.items():
            self._totals[server] = self._totals.get(server, 0) + count

    def totals_except(self, daemon, now_ms):
        """Return the requests in flight by server of all daemons but one."""
        self._remove_expired(now_ms)
        totals = self._totals.copy()
        own_counts, _ = self._reports.get(daemon, ({}, now_ms))
        for server, count in own_counts.items():
            totals[server] -= count
        return totals

    def _remove_expired(self, now_ms):
        oldest_ms = now_ms - self.valid_ms
        expired = []
        for daemon, (_, at_ms) in self._reports.items():
            if at_ms >= oldest_ms:
                break
            expired.append(daemon)
        for daemon in expired:
            self._remove(daemon)

    def _remove(self, daemon):
        counts, _ = self._reports.pop(daemon, ({}, 0.0))
        for server, count in counts.items():
            left = self._totals[server] - count
            if left:
                self._totals[server] = left
            else:
                del self._totals[server]
