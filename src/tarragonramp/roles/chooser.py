"""Chooses the server that a request is sent to, or refuses the request."""

import random

import attrs

from ..balancing import Rejection, Requirements
from ..connections import connection_share, may_connect
from ..errors import RequestError
from ..meters import NOT_RUN
from ..stopping import StopDeadline
from .refusals import stopping_refusal

__all__ = ["ServerChooser"]

COLD_SERVER_RETRY_S = 0.5
NO_CONNECTION_RETRY_S = 0.3
MIN_LIMIT_RETRY_S = 0.1

MIN_ATTEMPT_MS = 20.0
"""A request with less time left is not sent, or not sent again.

No response could arrive in time, and the server would do useless work."""

MIN_ASSUMED_DAEMONS = 8
"""Limits for all daemons together are divided among at least this many.

This covers the time before the daemons know of each other."""


@attrs.define(eq=False, repr=False)
class ServerChooser:
    """Applies, one after the other, all rules that a choice has to follow.

    Parameters
    ----------
    view : FleetView
    selector : ServerSelector
    cold : ColdStartLimiter
    owners : OwnerResolver
    announcements : Announcements
    bounds : callable
        Returns the FleetBounds in force.
    clock : Clock
    stop : StopDeadline
    """

    view: object
    selector: object
    cold: object
    owners: object
    announcements: object
    bounds: object
    clock: object
    stop: StopDeadline
    _rng: random.Random = attrs.Factory(random.Random)

    @property
    def limits(self):
        """The ServerLimits that this daemon knows."""
        return self.announcements.limits

    @property
    def n_daemons(self):
        """Number of daemons that limits for all of them are divided among."""
        return max(MIN_ASSUMED_DAEMONS, len(self.view.daemons))

    def choose(self, request):
        """Return a Selection, or a limited server that another daemon sends to."""
        now_ms = self.clock.now_ms()
        left_ms = request.until_ms - now_ms
        if left_ms < MIN_ATTEMPT_MS:
            raise request.refusal(503, "no time left", 0.0)
        if self.view.service(request.service).divided:
            servers = [self._owner(request)]
            now_ms = self.clock.now_ms()
        else:
            servers = self._candidates(request)
        servers, limited = self._within_limits(request, servers, now_ms)
        if not servers:
            return self._limited_server(request, limited, now_ms)
        requirements = Requirements(
            request.route.name,
            request.until_ms - now_ms,
            request.arrived_ms + request.route.target_ms - now_ms,
            self.view.routes.is_urgent(request.route, request.team),
        )
        due = self._due_for_check(request, servers, now_ms)
        choice = self.selector.select(servers, requirements, now_ms, due)
        if isinstance(choice, Rejection):
            self.count_refused_work(request)
            raise request.retryable_refusal(
                choice.reason, choice.retry_after_s, **choice.inputs
            )
        if not self.stop.allows(
            request.route.name, request.until_ms, choice.expected_ms
        ):
            raise stopping_refusal(request)
        self._acquire_cold_start_permit(request, choice.server, now_ms)
        self.limits.record_sent(choice.server, now_ms)
        return choice

    def _due_for_check(self, request, servers, now_ms):
        """Return the limited servers to ask for their limit; by first attempts only."""
        if request.tried or not self.limits.are_known:
            return []
        return [s for s in servers if self.limits.is_check_due(s, now_ms)]

    def _within_limits(self, request, servers, now_ms):
        """Return the servers that this daemon may send to now, and the others."""
        if not self.limits.are_known:
            return servers, []
        is_urgent = self.view.routes.is_urgent(request.route, request.team)
        share = 0.0 if is_urgent else self.selector.urgent_share(request.service)
        within, limited = [], []
        for server in servers:
            may_send = self.limits.may_send(server, self.view.daemons, share, now_ms)
            (within if may_send else limited).append(server)
        return within, limited

    def _limited_server(self, request, limited, now_ms):
        """Return a limited server that another daemon may send a request to.

        Raises
        ------
        RequestError
            If there is none, as all that this daemon sends to are at their limits.
        """
        daemons = self.view.daemons
        others = [
            server for server in limited if not self.limits.sends_to(server, daemons)
        ]
        if others and request.may_delegate:
            return self._rng.choice(others)
        raise self._limit_refusal(request, limited, now_ms)

    def _limit_refusal(self, request, limited, now_ms):
        """Return the refusal of a request whose servers are all at their limits."""
        self.count_refused_work(request)
        daemons = self.view.daemons
        next_ms, server = min(
            (self.limits.ms_until_free(server, daemons, now_ms), server.name)
            for server in limited
        )
        return request.retryable_refusal(
            "servers are at their limits",
            max(MIN_LIMIT_RETRY_S, next_ms / 1000.0),
            rule="server limit",
            server=server,
            limit_per_s=self.limits.limited()[server].per_s,
            limited_servers=len(limited),
        )

    def count_refused_work(self, request):
        """Count the work of a refused request as if its owner had done it.

        When keys are so busy that most requests for them are refused, here or by their
        owner, the owner would otherwise look no busier than it can be at most, or even
        idle. Too few of its keys would move away, or more keys would move to it.
        """
        if self.view.service(request.service).divided:
            took_ms = self.selector.work_ms(request.route.name)
            self.view.key_load_recorder.note(request.service, request.key, took_ms)

    def _candidates(self, request):
        """Return the servers of a shared service that may be sent a request now.

        Servers in a cold start are returned only if there are no others, since they can
        handle little load.
        """
        directory = self.view.directory
        servers = directory.usable(request.service)
        untried_servers = self.other_servers(request)
        open_servers = self.without_paused(request, untried_servers)
        connectable = self._with_free_connection(request.service, open_servers)
        warm = directory.warm(connectable)
        if not servers:
            reason = "service has no servers"
        elif not untried_servers:
            reason = "all servers tried"
        else:
            reason = "no connection left"
        if not connectable:
            raise request.retryable_refusal(reason, NO_CONNECTION_RETRY_S)
        return warm or connectable

    def _owner(self, request):
        if request.key is None:
            raise RequestError(400, NOT_RUN, "the request carries no key")
        server = self.owners.find(request)
        self.without_paused(request, [server])
        if not self._with_free_connection(server.service, [server]):
            raise request.retryable_refusal("no connection left", NO_CONNECTION_RETRY_S)
        return server

    def without_paused(self, request, servers):
        """Return those servers that have not asked this daemon to wait.

        Raises
        ------
        RequestError
            If all of them have. No other rule may fall back to one of them.
        """
        backoffs, now_ms = self.announcements.backoffs, self.clock.now_ms()
        if not backoffs.are_known:
            return servers
        found = backoffs.without_paused(servers, now_ms)
        if found or not servers:
            return found
        self.count_refused_work(request)
        server, backoff = backoffs.first_to_end(servers, now_ms)
        raise request.retryable_refusal(
            "servers have asked to wait",
            backoffs.retry_after_ms(backoff, now_ms) / 1000.0,
            rule="backoff",
            server=server.name,
            backoff_left_ms=round(backoff.until_ms - now_ms),
            asked_by=backoff.request_id,
            paused_servers=len(servers),
        )

    def other_servers(self, request):
        """Return the servers that may serve a request and have not been tried.

        Of a divided service this is the owner, also if it has been tried.
        """
        if self.view.service(request.service).divided:
            owner = self.owners.current(request)
            return [] if owner is None else [owner]
        servers = self.view.directory.usable(request.service)
        return [server for server in servers if server.name not in request.tried]

    def _with_free_connection(self, service, servers):
        """Return those of a service's servers that may get one more request."""
        limit, n_daemons = self.view.service(service).connections, self.n_daemons
        share, selector = connection_share(limit, n_daemons), self.selector
        now_ms = self.clock.now_ms()

        def may_borrow(name, own):
            others = selector.peer_in_flight(name, now_ms)
            return may_connect(limit, n_daemons, own, others)

        return [
            server
            for server in servers
            if (own := selector.in_flight(server.name)) < share
            or may_borrow(server.name, own)
        ]

    def _acquire_cold_start_permit(self, request, server, now_ms):
        """Raise if a server in a cold start may not be sent another request now."""
        if not self.view.directory.is_cold(server.name):
            return
        cold_rate_per_s = self.view.service(request.service).cold_per_s
        bounds = self.bounds()
        bound = cold_rate_per_s * bounds.cold_burst_factor + bounds.cold_slack
        # A daemon that knows only itself does not know how many there are.
        known = self.view.daemons if len(self.view.daemons) > 1 else ()
        if not self.cold.try_acquire(server.name, bound, known, now_ms):
            self.count_refused_work(request)
            raise request.retryable_refusal("server is cold", COLD_SERVER_RETRY_S)
