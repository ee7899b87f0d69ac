"""Statistics that one daemon keeps about one backend server, without I/O."""

import math

import attrs

__all__ = ["LoadReport", "ServerStats"]

ANSWER_EWMA_WEIGHT = 0.15
"""Weight of the newest response in a server's moving averages. About ten responses move
them, so that one long request among short ones does not make a server look slow."""

FAILURE_EWMA_WEIGHT = 0.25
"""Weight of a failure in a server's failure rate."""

REPORT_HALF_LIFE_FACTOR, MIN_REPORT_HALF_LIFE_MS = 1.0, 150.0
"""Half-life of a load report: this factor of the processing time of a request, and not
less than the minimum. A report describes other daemons' requests, which finish within
about that time. Ignoring its age would mean skipping a server because of work that
finished long ago; dropping it too early would mean queueing behind work that has just
started."""

PEER_COUNT_LAG_MS = 200.0
"""Average age of the other daemons' request counts when they arrive by way of the
leader. A report from the server itself takes precedence if it is newer. All daemons
send requests to the owners of hot keys at once; with outdated counts, this daemon would
miss a queue there, or assume one that is already gone."""

PEER_COUNT_TTL_MS = 1500.0
"""How long the other daemons' request counts are used: three times the longest time
between two of the leader's messages (500 ms)."""

SLOWNESS_HALF_LIFE_MS = 200.0
"""Half-life of the slowness in a load report, which changes many times a second."""

DECAY_HALF_LIFE_MS = 2500.0
"""Half-life of the slowdown and failure rate of a server that sends no responses. A
noisy neighbour may slow a server down for seconds. Because slow servers receive no
requests, their recovery would otherwise never be noticed."""


@attrs.frozen
class LoadReport:
    """Load that a server reports with a response.

    Parameters
    ----------
    running, waiting, slots : float
        Requests from all callers together.
    slowness : float
        Factor by which processing is slower than usual at this moment; 1 is usual.
    """

    running: float
    waiting: float
    slots: float
    slowness: float = 1.0


@attrs.define(eq=False)
class ServerStats:
    """What one daemon has observed of one server."""

    in_flight: int = 0
    slowdown: float = 1.0
    was_selected: bool = False
    failures: float = 0.0
    report: object = None
    report_ms: float = -math.inf
    own_in_flight_at_report: int = 0
    peer_count: float = 0.0
    peer_count_ms: float = -math.inf
    updated_ms: float = -math.inf
    backoff_until_ms: float = -math.inf

    def estimate_peer_in_flight(self, work_ms, now_ms):
        """Return an estimate of the other daemons' requests at the server.

        Based on the server's latest report or on the other daemons' counts, whichever
        is newer. A report decays with age; a count expires.
        """
        is_report_newer = self.report_ms > self.peer_count_ms - PEER_COUNT_LAG_MS
        peer_count = self.recent_peer_count(now_ms)
        if not is_report_newer and peer_count is not None:
            return peer_count
        if self.report is None:
            return 0.0
        others_at_report = (
            self.report.running + self.report.waiting - self.own_in_flight_at_report
        )
        if others_at_report <= 0.0:
            return 0.0
        age = (now_ms - self.report_ms) / max(
            MIN_REPORT_HALF_LIFE_MS, REPORT_HALF_LIFE_FACTOR * work_ms
        )
        return others_at_report * 0.5**age

    def recent_peer_count(self, now_ms):
        """Return the other daemons' request count; None if it has expired."""
        return (
            self.peer_count if now_ms - self.peer_count_ms < PEER_COUNT_TTL_MS else None
        )

    def typical_slowdown(self, now_ms):
        """Return the recent processing time as a multiple of the usual one."""
        return self._decayed(self.slowdown, 1.0, now_ms)

    def current_slowdown(self, now_ms):
        """Return the present processing time as a multiple of the usual one.

        Includes the slowness that the server itself has reported last.
        """
        slowdown = self.typical_slowdown(now_ms)
        if self.report is not None:
            age = (now_ms - self.report_ms) / SLOWNESS_HALF_LIFE_MS
            slowdown *= 1.0 + (self.report.slowness - 1.0) * 0.5**age
        return slowdown

    def failure_rate(self, now_ms):
        """Return the recent fraction of failed requests."""
        return self._decayed(self.failures, 0.0, now_ms)

    def note_report(self, report, now_ms):
        """Record a load report; its own request is no longer counted as in flight."""
        self.report, self.report_ms = report, now_ms
        self.own_in_flight_at_report = self.in_flight

    def note_peer_count(self, count, now_ms):
        """Record how many requests the other daemons have in flight at the server."""
        self.peer_count, self.peer_count_ms = count, now_ms

    def note_answer(self, ratio, now_ms):
        """Record a response, given the ratio of its actual to its expected time."""
        ratio = min(4.0, max(0.25, ratio))
        slowdown = self.typical_slowdown(now_ms) * ratio**ANSWER_EWMA_WEIGHT
        self.failures = self.failure_rate(now_ms) * (1.0 - ANSWER_EWMA_WEIGHT)
        self.slowdown = min(20.0, max(0.1, slowdown))
        self.updated_ms = now_ms

    def note_error(self, ratio, now_ms):
        """Record a response that reports an error, given the ratio as for an answer.

        An error that comes early does not show that the server is fast.
        """
        self.note_answer(max(1.0, ratio), now_ms)
        self.note_failure(now_ms)

    def note_failure(self, now_ms):
        """Record that a request failed or was not executed."""
        failures = self.failure_rate(now_ms)
        self.failures = failures + FAILURE_EWMA_WEIGHT * (1.0 - failures)
        self.updated_ms = now_ms

    def _decayed(self, value, baseline, now_ms):
        """Return an average that decays to its baseline without observations."""
        if value == baseline:
            return baseline
        age = max(0.0, now_ms - self.updated_ms) / DECAY_HALF_LIFE_MS
        return baseline + (value - baseline) * 0.5**age
