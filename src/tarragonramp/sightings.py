"""What one daemon has seen of one server. Pure state."""

import math

import attrs

__all__ = ["LoadReport", "ServerSeen"]

MEAN_WEIGHT = 0.15
"""Weight of the newest answer in a server's mean: some ten answers move it, so that one
long piece of work among short ones does not look like a slow server."""

FAILURE_WEIGHT = 0.25
"""Weight of a failure in the share of those that fail."""

REPORT_SHARE, LEAST_REPORT_MS = 1.0, 150.0
"""Age at which a load report counts for half, as part of the time that work takes.
Load: other daemons' requests at the same server, which end in that time. Harm
prevented: passing over a server for work that has long been done, or queueing behind
work that has only begun."""

TOLD_LAG_MS = 200.0
"""How old on average what other daemons told is when it comes here, by way of the
leader. A server's own report that is newer goes before it. Load: busy owners, which all
daemons ask at once. Harm prevented: a queue there that this daemon does not see, or one
that it still sees when it has gone."""

TOLD_MS = 1500.0
"""How long what other daemons told is used: three times as long as it takes to come."""

SLOWNESS_MS = 200.0
"""Age at which a report of how long work takes counts for half; it changes many times a
second."""

FORGET_MS = 2500.0
"""Time in which half of what is held against a server without answers is forgotten.
Load: a server slowed by a neighbour for seconds. Harm prevented: never finding out
that it is quick again, as nobody asks it."""


@attrs.frozen
class LoadReport:
    """What a server says of its load with an answer.

    Parameters
    ----------
    running, waiting, slots : float
        Requests from all callers together.
    slowness : float
        How long work takes there at this moment; 1 as usual.
    """

    running: float
    waiting: float
    slots: float
    slowness: float = 1.0


@attrs.define(eq=False)
class ServerSeen:
    """What one daemon has seen of one server."""

    in_flight: int = 0
    speed: float = 1.0
    is_asked: bool = False
    failures: float = 0.0
    report: object = None
    report_ms: float = -math.inf
    own_at_report: int = 0
    told: float = 0.0
    told_ms: float = -math.inf
    changed_ms: float = -math.inf
    passed_over_until_ms: float = -math.inf

    def others(self, work_ms, now_ms):
        """Requests of other daemons that are probably there now.

        From the server's own last word or from what the other daemons told, whichever
        is newer; both get old.
        """
        is_newer = self.report_ms > self.told_ms - TOLD_LAG_MS
        told = self.told_lately(now_ms)
        if not is_newer and told is not None:
            return told
        if self.report is None:
            return 0.0
        at_report = self.report.running + self.report.waiting - self.own_at_report
        age = (now_ms - self.report_ms) / max(LEAST_REPORT_MS, REPORT_SHARE * work_ms)
        return max(0.0, at_report) * 0.5**age

    def told_lately(self, now_ms):
        """Return how many requests other daemons told of; None if that is old."""
        return self.told if now_ms - self.told_ms < TOLD_MS else None

    def usual_speed(self, now_ms):
        """Return how long work takes there lately, as a factor; 1 as usual."""
        return self._decayed(self.speed, 1.0, now_ms)

    def speed_now(self, now_ms):
        """Return how long work takes there at this moment, as a factor."""
        speed = self.usual_speed(now_ms)
        if self.report is not None:
            age = (now_ms - self.report_ms) / SLOWNESS_MS
            speed *= 1.0 + (self.report.slowness - 1.0) * 0.5**age
        return speed

    def failure_share(self, now_ms):
        """Return which part of the requests there has failed lately."""
        return self._decayed(self.failures, 0.0, now_ms)

    def note_report(self, report, now_ms):
        """Take in what the server says, with an answer that is no more in flight."""
        self.report, self.report_ms = report, now_ms
        self.own_at_report = self.in_flight

    def note_told(self, count, now_ms):
        """Take in how many requests of other daemons are there, as they told."""
        self.told, self.told_ms = count, now_ms

    def note_answer(self, ratio, now_ms):
        """Take in an answer that took so many times as long as was expected."""
        ratio = min(4.0, max(0.25, ratio))
        speed = self.usual_speed(now_ms) * ratio**MEAN_WEIGHT
        self.failures = self.failure_share(now_ms) * (1.0 - MEAN_WEIGHT)
        self.speed = min(20.0, max(0.1, speed))
        self.changed_ms = now_ms

    def note_failure(self, now_ms):
        """Take in that a request was not run, or has failed."""
        failures = self.failure_share(now_ms)
        self.failures = failures + FAILURE_WEIGHT * (1.0 - failures)
        self.changed_ms = now_ms

    def _decayed(self, value, calm, now_ms):
        """Return a mean that moves back to calm while nothing is heard."""
        age = max(0.0, now_ms - self.changed_ms) / FORGET_MS
        return calm + (value - calm) * 0.5**age
