"""Decides which servers of a shared service are temporarily ejected, without I/O.

An ejected server receives no requests. The decisions are based only on what one entry
observes itself, because during a short slowdown a server's load reports lag behind and
its health checks pass.
"""

import math
import statistics

import attrs

__all__ = ["OutlierDetector"]

EJECTION_MS = 1000.0
"""How long a server is ejected. Otherwise, callers would wait for a server that is
down, or slowed by a noisy neighbour, while other servers are idle. Such a slowdown
lasts about a second; if it lasts longer, the server is ejected again after a few
requests."""

MAX_EJECTED_SHARE = 0.34
"""Maximum fraction of a service's servers that is ejected. If all servers are slow, for
example from a common cause, the few remaining ones would be overloaded and fail. A
third covers the loss of one failure domain of four and one more slow server."""

OUTLIER_RATIO = 3.0
"""Ratio of a server's geometric mean latency to the median of all servers above which
it is ejected. Smaller differences are caused by the keys and by ordinary load."""

THRESHOLD_TTL_MS = 20.0
"""How long the computed threshold is used. Its cost grows with the number of servers,
and it would otherwise be computed for every response."""

MIN_ANSWERS = 10
LOG_LATENCY_EWMA_WEIGHT = 0.05
"""Number of responses before a server is judged, and weight of the newest one. A server
must not be ejected for a few long requests among short ones; the mean is geometric for
the same reason. About ten responses that take ten times as long as those of the other
servers are enough."""

MIN_LATENCY_MS = 0.1
"""Shorter times count as this, because means are computed from logarithms."""


@attrs.define
class _ServerLatency:
    log_mean: float = 0.0
    n_answers: int = 0
    ejected_until_ms: float = 0.0


@attrs.define(eq=False, repr=False)
class OutlierDetector:
    """What one entry has observed of the servers of one service."""

    _latencies: dict = attrs.Factory(dict)
    _log_threshold: float = math.inf
    _threshold_until_ms: float = 0.0

    def note_answer(self, server, took_ms, now_ms):
        """Record the time of a response.

        Parameters
        ----------
        server : str
        took_ms, now_ms : float
        """
        latency = self._latencies.setdefault(server, _ServerLatency())
        if latency.ejected_until_ms > now_ms:
            # The request was sent before the ejection.
            return
        latency.n_answers += 1
        weight = max(LOG_LATENCY_EWMA_WEIGHT, 1.0 / latency.n_answers)
        latency.log_mean += weight * (
            math.log(max(took_ms, MIN_LATENCY_MS)) - latency.log_mean
        )
        if latency.n_answers < MIN_ANSWERS:
            return
        if now_ms >= self._threshold_until_ms:
            self._log_threshold = self._outlier_log_threshold()
            self._threshold_until_ms = now_ms + THRESHOLD_TTL_MS
        if latency.log_mean > self._log_threshold:
            self.eject(server, now_ms)

    def _outlier_log_threshold(self):
        """Return the log of the latency above which a server is ejected."""
        logs = [
            latency.log_mean
            for latency in self._latencies.values()
            if latency.n_answers >= MIN_ANSWERS
        ]
        if len(logs) < 2:
            return math.inf
        return statistics.median_low(logs) + math.log(OUTLIER_RATIO)

    def eject(self, server, now_ms):
        """Eject a server temporarily; its latency is measured anew afterwards."""
        self._latencies[server] = _ServerLatency(ejected_until_ms=now_ms + EJECTION_MS)

    def usable(self, routes, now_ms):
        """Return the routes whose servers are not ejected.

        If more servers are ejected than the limit allows, those whose ejection ends
        first are used.

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
