"""Selects the backend server that a request is sent to, or rejects the request.

Decisions without I/O. They are based on what this daemon has observed: its own requests
in flight, and the load that servers report with their responses.
"""

import math
import random

import attrs

from .server_stats import ServerStats

__all__ = [
    "Selection",
    "ServerSelector",
    "Rejection",
    "Requirements",
]

ROUTE_EWMA_WEIGHT = 0.05
"""Weight of the newest response in a route's moving average of processing time, which
all its servers share."""

CONNECT_BACKOFF_MS = 1000.0
"""How long a server is skipped after a failed connection attempt, while other servers
are available. Without this, each request would try a stopped server first. A server
that restarts is used again within a second."""

CROSS_DOMAIN_COST = 0.35
"""Extra cost of a server in another failure domain, as a fraction of the request's
usual processing time. Traffic between failure domains is paid for. At a third of the
usual time, requests stay in the own failure domain until it has about one more request
waiting than the others."""

DEADLINE_SHARE = 0.95
"""Fraction of the remaining time that the expected response may take. During bursts,
this keeps servers from working on requests whose callers time out first."""

MAX_RESERVED_SHARE = 0.4
"""Upper limit on the fraction of a server's queue that is reserved for the most urgent
requests of its service. Up to this limit, the reserved fraction equals their share of
the service's work. Under overload, claims would otherwise be rejected because lookups
arrived first; a fixed reservation would reject lookups in favour of claims that hardly
ever arrive."""

URGENT_SHARE_EWMA_WEIGHT = 0.02
"""Weight of the newest request in the moving average of the share of urgent work. About
fifty requests move it, which is about a second of one daemon's traffic for a busy
service."""

UNTRIED_COST_FACTOR = 0.25
"""Cost factor of an idle server of the own failure domain that this daemon has never
used. Servers that join while the others are fast and not busy would otherwise never be
selected. It is lower than the factor of the fastest server of a service."""

MIN_SUFFICIENT_BACKOFF_MS = 500.0
"""Shortest pause in place of which a rejection does not count as a failure. A server
that asks for shorter ones over and over would cost a retry each time."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
INITIAL_WORK_MS = 150.0


@attrs.frozen
class Requirements:
    """What a request needs.

    Parameters
    ----------
    route : str
        Requests of one route are assumed to take similar processing time.
    left_ms : float
        Time until the deadline of the caller or of the route.
    target_left_ms : float
        Time until the response loses most of its value; negative once that has passed.
    urgent : bool
        Whether no other route of the service has a higher priority.
    """

    route: str
    left_ms: float
    target_left_ms: float
    urgent: bool = True


@attrs.frozen
class Selection:
    """The server that was selected for a request.

    Parameters
    ----------
    server : BackendServer
    route : str
        Route of the request.
    expected_ms : float
        Expected time until the response, including the time in the server's queue.
    wait_ms : float
        Expected time in the server's queue.
    """

    server: object
    route: str
    expected_ms: float
    wait_ms: float = 0.0


@attrs.frozen
class Rejection:
    """Why no server was selected, and when the caller should retry.

    Parameters
    ----------
    reason : str
    retry_after_s : float
    inputs : dict
        Values on which the decision is based, for the log.
    """

    reason: str
    retry_after_s: float
    inputs: dict = attrs.Factory(dict)


@attrs.define(eq=False)
class _DemandMeans:
    """Moving averages of the processing time that one request to a service needs.

    In ``urgent_ms``, all but the most urgent requests count as zero.
    """

    all_ms: float
    urgent_ms: float = 0.0

    def note(self, work_ms, urgent):
        """Record a request."""
        self.urgent_ms += URGENT_SHARE_EWMA_WEIGHT * (work_ms * urgent - self.urgent_ms)
        self.all_ms += URGENT_SHARE_EWMA_WEIGHT * (work_ms - self.all_ms)

    @property
    def urgent_share(self):
        """Fraction of the work that belongs to the most urgent requests."""
        return self.urgent_ms / self.all_ms if self.all_ms else 0.0


@attrs.define(eq=False, repr=False)
class ServerSelector:
    """Tracks the load of all servers as one daemon sees it, and selects one of them.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this daemon.
    rng : random.Random
    """

    failure_domain: str
    rng: random.Random = attrs.Factory(random.Random)
    _stats: dict = attrs.Factory(dict)
    _work_ms: dict = attrs.Factory(dict)
    _demand: dict = attrs.Factory(dict)

    def select(self, servers, requirements, now_ms, due=()):
        """Select the server with the lowest expected response time, or none.

        Servers differ in speed by a factor of two or three and slow down temporarily.
        Comparing expected response times avoids a queue at a slow server while faster
        ones are idle. Requests that cannot be answered in time are rejected instead of
        queued.

        Parameters
        ----------
        servers : sequence of BackendServer
        requirements : Requirements
        now_ms : float
        due : collection of BackendServer
            Those that are preferred to faster ones if they can answer in time.

        Returns
        -------
        selection : Selection or Rejection
        """
        known = [(server, self._stats_of(server.name)) for server in servers]
        usable = [pair for pair in known if pair[1].backoff_until_ms <= now_ms]
        usable = usable or known
        if not usable:
            return Rejection("no server", 0.5)
        work_ms = self.work_ms(requirements.route)
        best, lowest_cost, best_expected_ms = None, math.inf, math.inf
        draw = self.rng.random
        on_time_ms = DEADLINE_SHARE * requirements.target_left_ms
        for server, stats in usable:
            expected_ms = _expected_ms(stats, server.slots, work_ms, now_ms)
            cost = expected_ms * (1.0 + 0.1 * draw())
            if server.failure_domain != self.failure_domain:
                cost += CROSS_DOMAIN_COST * work_ms
            elif not stats.was_selected and expected_ms <= work_ms:
                cost *= UNTRIED_COST_FACTOR
            if server in due and expected_ms < on_time_ms:
                # A queue could lead to a rejection that other servers would avoid.
                is_queued = self.wait_ms(server, requirements.route, now_ms) > 0
                cost = cost if is_queued else 0.0
            if cost < lowest_cost:
                best, lowest_cost, best_expected_ms = server, cost, expected_ms
        wait_ms = self.wait_ms(best, requirements.route, now_ms)
        reserved_share = self._note_demand(best.service, requirements, work_ms)
        rule = self._rejection_rule(
            requirements, best, best_expected_ms, reserved_share, now_ms
        )
        if rule:
            retry_after_s = self._retry_after_s(wait_ms, work_ms)
            inputs = {
                "rule": rule,
                "least_busy": best.name,
                "wait_ms": round(wait_ms),
                "expected_ms": round(best_expected_ms),
                "target_left_ms": round(requirements.target_left_ms),
                "kept_share": round(reserved_share, 2),
                "servers": len(usable),
            }
            return Rejection("servers are busy", retry_after_s, inputs)
        return Selection(best, requirements.route, best_expected_ms, wait_ms)

    def expected_ms(self, server, route, now_ms):
        """Return the expected response time of a server, including its queue."""
        stats = self._stats_of(server.name)
        return _expected_ms(stats, server.slots, self.work_ms(route), now_ms)

    def wait_ms(self, server, route, now_ms):
        """Return how long a request would wait for one of a server's slots.

        All requests in flight at the server are assumed to be of the request's route.
        """
        stats = self._stats_of(server.name)
        work_ms = self.work_ms(route) * stats.current_slowdown(now_ms)
        excess = _queue_excess(stats, server.slots, work_ms, now_ms)
        return excess * work_ms / server.slots

    def urgent_share(self, service):
        """Return the fraction of a service's work that belongs to urgent requests."""
        demand = self._demand.get(service)
        return demand.urgent_share if demand is not None else 0.0

    def in_flight(self, name):
        """Return the number of this daemon's requests in flight at a server."""
        return self._stats_of(name).in_flight

    def peer_in_flight(self, name, now_ms):
        """Return the other daemons' requests in flight at a server.

        None if their count has expired or was never received.
        """
        return self._stats_of(name).recent_peer_count(now_ms)

    def slowdown(self, name, now_ms):
        """Return a server's recent processing time as a multiple of the usual one."""
        return self._stats_of(name).typical_slowdown(now_ms)

    def work_ms(self, route):
        """Return a route's processing time at a server of usual speed."""
        return self._work_ms.get(route, INITIAL_WORK_MS)

    def record_sent(self, selection):
        """Record that a request was sent to the selected server."""
        stats = self._stats_of(selection.server.name)
        stats.in_flight += 1
        stats.was_selected = True

    def record_response(self, selection, took_ms, report, now_ms):
        """Record the response to a request that was executed.

        Parameters
        ----------
        selection : Selection
            The result of :meth:`select` for this request.
        took_ms : float
        report : LoadReport or None
        now_ms : float
        """
        route = selection.route
        stats = self._record_end(selection, report, now_ms)
        slowdown = stats.typical_slowdown(now_ms)
        stats.note_answer(took_ms / self._usual_ms(selection, slowdown), now_ms)
        if not selection.wait_ms:
            usual_ms = self._work_ms.get(route, took_ms)
            normalized_ms = took_ms / slowdown
            self._work_ms[route] = usual_ms + ROUTE_EWMA_WEIGHT * (
                normalized_ms - usual_ms
            )

    def record_error(self, selection, took_ms, report, now_ms):
        """Record a response with which the server reports an error of its own.

        A server that fails some requests early would otherwise look like the fastest
        one, and get more of them. The parameters are those of :meth:`record_response`.
        """
        stats = self._record_end(selection, report, now_ms)
        usual_ms = self._usual_ms(selection, stats.typical_slowdown(now_ms))
        stats.note_error(took_ms / usual_ms, now_ms)

    def record_shed(self, selection, report, now_ms, backoff_ms=None):
        """Record that a server rejected a request without executing it.

        A server that says for how long it wants no requests gets none meanwhile. If the
        rejections made it look failing as well, it would not be used again for seconds
        after that.
        """
        stats = self._record_end(selection, report, now_ms)
        if backoff_ms is None or backoff_ms < MIN_SUFFICIENT_BACKOFF_MS:
            stats.note_failure(now_ms)

    def record_failure(self, selection, now_ms, at_connect=False):
        """Record a failed exchange; ``at_connect`` if no connection was established."""
        stats = self._record_end(selection, None, now_ms)
        stats.note_failure(now_ms)
        if at_connect:
            stats.backoff_until_ms = now_ms + CONNECT_BACKOFF_MS

    def record_cancellation(self, selection):
        """Record that a request was cancelled because its caller no longer waits."""
        self._record_end(selection, None, 0.0)

    def in_flight_by_server(self):
        """Return this daemon's requests in flight by server, for the other daemons."""
        counts = {name: stats.in_flight for name, stats in self._stats.items()}
        return {name: count for name, count in counts.items() if count}

    def update_peer_in_flight(self, totals, now_ms):
        """Record the other daemons' requests in flight.

        Parameters
        ----------
        totals : dict of str to int
            By server; servers that are not listed have none.
        now_ms : float
        """
        for name in totals:
            self._stats_of(name)
        for name, stats in self._stats.items():
            stats.note_peer_count(totals.get(name, 0), now_ms)

    def retain(self, names):
        """Drop the statistics of all but the given servers.

        Servers with requests in flight are kept as well.
        """
        for name in set(self._stats) - set(names):
            if not self._stats[name].in_flight:
                del self._stats[name]

    def _note_demand(self, service, requirements, work_ms):
        """Record a request; return the fraction of a queue that it must leave free."""
        demand = self._demand.get(service)
        if demand is None:
            demand = self._demand[service] = _DemandMeans(all_ms=work_ms)
        demand.note(work_ms, requirements.urgent)
        return (
            0.0 if requirements.urgent else min(MAX_RESERVED_SHARE, demand.urgent_share)
        )

    def _rejection_rule(
        self, requirements, server, expected_ms, reserved_share, now_ms
    ):
        """Return the rule that forbids queueing at a server; empty if none does.

        A request that does not have to wait is always accepted. The queue is limited,
        because under overload a long queue delays all responses: a response after its
        target is worth only a fraction of one in time, and the time spent on it is lost
        to others.

        The maximum queue length is computed from the server's typical speed, not its
        current one. A noisy neighbour slows a server down for short periods. A caller
        rejected in such a period would retry too late for its target, and rejecting it
        would gain little for the requests behind it, because a short queue drains soon
        afterwards.
        """
        stats = self._stats_of(server.name)
        work_ms = self.work_ms(requirements.route)
        excess = _queue_excess(
            stats, server.slots, work_ms * stats.current_slowdown(now_ms), now_ms
        )
        if excess <= 0:
            return ""
        if expected_ms > requirements.left_ms * DEADLINE_SHARE:
            return "no time"
        usual_ms = work_ms * stats.typical_slowdown(now_ms)
        max_wait_ms = requirements.target_left_ms * DEADLINE_SHARE - usual_ms
        wait_ms = excess * usual_ms / server.slots
        if wait_ms > max_wait_ms:
            return "queue too long"
        return (
            "kept for urgent" if wait_ms > max_wait_ms * (1.0 - reserved_share) else ""
        )

    def _retry_after_s(self, wait_ms, work_ms):
        """Return when a rejected caller should retry: once the queue has drained.

        The value is spread randomly over a range of the same length, so that callers
        rejected at the same moment do not all retry together.
        """
        retry_s = max(wait_ms, work_ms / 2) * (0.5 + self.rng.random()) / 1000.0
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_s))

    def _usual_ms(self, selection, slowdown):
        """Return the time that the response of a selected server usually takes.

        Queueing and processing time can't be measured separately, so both are assumed
        to have been misestimated by the same factor.
        """
        work_ms = self.work_ms(selection.route) * slowdown
        return max(1.0, selection.wait_ms + work_ms)

    def _stats_of(self, name):
        stats = self._stats.get(name)
        if stats is None:
            stats = self._stats[name] = ServerStats()
        return stats

    def _record_end(self, selection, report, now_ms):
        stats = self._stats_of(selection.server.name)
        stats.in_flight -= 1
        if report is not None:
            stats.note_report(report, now_ms)
        return stats


def _expected_ms(stats, slots, work_ms, now_ms):
    """Return the expected response time of a server, including its queue."""
    work_ms *= stats.current_slowdown(now_ms)
    failures = min(0.9, stats.failure_rate(now_ms))
    wait_ms = _queue_excess(stats, slots, work_ms, now_ms) * work_ms / slots
    return (work_ms + wait_ms) / (1.0 - failures)


def _queue_excess(stats, slots, work_ms, now_ms):
    """Return how many requests have to finish before a new one can start."""
    n_in_flight = stats.in_flight + stats.estimate_peer_in_flight(work_ms, now_ms)
    return max(0.0, n_in_flight - slots + 1.0)
