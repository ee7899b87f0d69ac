"""Which servers of a shared service are passed over for a moment.

Pure decisions on an entry's own observations: servers' load reports lag behind a
straggler's moment, and health checks pass during it.
"""

import math
import statistics

import attrs

__all__ = ["Ejections"]

EJECTION_MS = 1000.0
"""Load: a server slowed by a neighbour for moments, or gone. Harm prevented: callers
that wait for it while its peers are idle. A second is about such a moment; if it
lasts, the server is found slow again after a few requests."""

MAX_EJECTED_SHARE = 0.34
"""Largest part of a service's servers that is passed over. Load: all servers slow, as
after a common cause. Harm prevented: the few left taking everything and falling over.
A third leaves room for the loss of one failure domain of four and a straggler."""

OUTLIER_RATIO = 3.0
"""Geometric mean of latency over the peers' median, from which a server is a
straggler. Below that, differences are those of keys and of ordinary load."""

THRESHOLD_TTL_MS = 20.0
"""How long the comparison of the peers is kept: it grows with their number, and would
else be made for every answer."""

MIN_ANSWERS = 10
LOG_LATENCY_EWMA_WEIGHT = 0.05
"""Answers before a server is judged, and weight of the newest. Load: long work among
short. Harm prevented: a server passed over for a few long answers; the mean is
geometric for the same reason. Some ten answers ten times as slow as the peers' are
enough."""

MIN_LATENCY_MS = 0.1


@attrs.define
class _ServerLatency:
    log_mean: float = 0.0
    n_answers: int = 0
    ejected_until_ms: float = 0.0


@attrs.define(eq=False, repr=False)
class Ejections:
    """What one entry has seen of the servers of one service."""

    _latencies: dict = attrs.Factory(dict)
    _log_threshold: float = math.inf
    _threshold_until_ms: float = 0.0

    def note_answer(self, server, took_ms, now_ms):
        """Take in how long an answer took.

        Parameters
        ----------
        server : str
        took_ms, now_ms : float
        """
        latency = self._latencies.setdefault(server, _ServerLatency())
        if latency.ejected_until_ms > now_ms:
            # Of a request sent before.
            return
        latency.n_answers += 1
        weight = max(LOG_LATENCY_EWMA_WEIGHT, 1.0 / latency.n_answers)
        latency.log_mean += weight * (math.log(max(took_ms, MIN_LATENCY_MS)) - latency.log_mean)
        if latency.n_answers < MIN_ANSWERS:
            return
        if now_ms >= self._threshold_until_ms:
            self._log_threshold = self._outlier_log_threshold()
            self._threshold_until_ms = now_ms + THRESHOLD_TTL_MS
        if latency.log_mean > self._log_threshold:
            self.eject(server, now_ms)

    def _outlier_log_threshold(self):
        """Return the log of the latency from which a server is a straggler."""
        logs = [
            latency.log_mean
            for latency in self._latencies.values()
            if latency.n_answers >= MIN_ANSWERS
        ]
        if len(logs) < 2:
            return math.inf
        return statistics.median_low(logs) + math.log(OUTLIER_RATIO)

    def eject(self, server, now_ms):
        """Pass a server over for a moment; afterwards it is judged anew."""
        self._latencies[server] = _ServerLatency(ejected_until_ms=now_ms + EJECTION_MS)

    def usable(self, routes, now_ms):
        """Return the routes that are not passed over.

        If more are ejected than may be, those whose time ends first are used again.

        Parameters
        ----------
        routes : sequence of Route
        now_ms : float
        """
        ejected = [
            (latency.ejected_until_ms, route.server)
            for route in routes
            if (latency := self._latencies.get(route.server)) is not None
            and latency.ejected_until_ms > now_ms
        ]
        if not ejected:
            return routes
        max_ejected = int(len(routes) * MAX_EJECTED_SHARE)
        last_to_return = sorted(ejected, reverse=True)[:max_ejected]
        excluded = {server for _, server in last_to_return}
        return [route for route in routes if route.server not in excluded]
