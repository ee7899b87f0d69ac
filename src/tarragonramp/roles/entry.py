"""Entry role: forwards callers' requests to backend servers."""

import collections
import functools
import itertools
import random
import uuid

import attrs
import gevent
from gevent.event import Event

from ..adapters.abandonment import CHECK_MS
from ..adapters.web import (
    HEADERS_KEY,
    TARGET_KEY,
    backend_reply,
    caller_disconnected,
    error_reply,
    read_body,
)
from ..admission import ADMITTED, WAITING, ConcurrencyLimiter, Outcome, Ticket
from ..errors import (
    AbandonedError,
    AnswerRevokedError,
    NotSentError,
    RequestError,
)
from ..gates import ForwardedRequest
from ..limits import RetryBudget
from ..meters import ANSWERED, NOT_RUN, UNKNOWN
from ..outliers import OutlierDetector
from ..permits import DirectSendPermits
from ..reachability import Reachability
from ..request import (
    COLD_HEADER,
    DIRECT_HEADER,
    EXCHANGE_HEADER,
    OUTCOME_HEADER,
    Request,
    caller_response_headers,
    check_path,
    class_of,
    deadline_ms,
    end_to_end_request_headers,
    key_of,
    request_id,
)
from ..results import is_successful
from ..routing import RouteCache, less_loaded
from ..slices import slice_of
from ..stopping import StopDeadline
from .refusals import (
    ABANDONED_STATUS,
    log_refusal,
    revoked_answer_error,
    stopping_refusal,
)

__all__ = ["Entry"]

RETRY_AFTER_S = 1.0
SERVER_UNRESPONSIVE = "server does not answer"
STALE_OWNER_STATUS = 409

# A failed connection attempt costs the server nothing and is not charged to the retry
# budget, but each one may last a full connect timeout.
MAX_TRIES = 4

# Delays between tries of a request that its owner refused. An owner refuses while the
# route known here is outdated, and while the grant that belongs to a new route has not
# arrived yet (about 10 ms). Retrying hides a short move of keys from callers; more than
# three retries would only load an owner that has lost its steward permanently.
OWNER_RETRY_DELAYS_MS = (15.0, 60.0, 200.0)

# After these the caller's connection is closed, because the start of its next request
# cannot be determined.
CLOSING_STATUSES = frozenset((400, 408, 413))


@attrs.define(eq=False, repr=False)
class Entry:
    """The entry role: a WSGI application for callers.

    Parameters
    ----------
    view : View
    pools : HttpPools
    clock : Clock
    timing : Timing
    limits : Limits
    meter : RequestMeter
    backends : Backends
        Probes servers that appear unresponsive.
    forward : callable
        ``forward(ForwardedRequest) -> Result``: sends a request through the server's
        steward, for servers that only their steward may send to. None if no server
        needs that.
    total_pause_ms : callable
        Returns the total time for which this process has been paused.
    stop : StopDeadline
        When this daemon ends, if it stops.
    """

    view: object
    pools: object
    clock: object
    timing: object
    limits: object
    meter: object
    backends: object
    forward: object = None
    total_pause_ms: object = lambda: 0.0
    stop: StopDeadline = attrs.field(init=False)
    _routes: RouteCache = attrs.field(init=False)
    _limiters: dict = attrs.Factory(dict)
    _direct_permits: DirectSendPermits = attrs.Factory(DirectSendPermits)
    _reachability: dict = attrs.Factory(lambda: collections.defaultdict(Reachability))
    _outlier_detectors: dict = attrs.Factory(
        lambda: collections.defaultdict(OutlierDetector)
    )
    _rng: random.Random = attrs.Factory(random.Random)
    _view_changed: Event = attrs.Factory(Event)
    _budgets: dict = attrs.Factory(lambda: collections.defaultdict(RetryBudget))
    _exchange_ids: object = attrs.Factory(
        lambda: map(f"{uuid.uuid4().hex[:12]}-{{}}".format, itertools.count())
    )

    def __attrs_post_init__(self):
        """Subscribe to view changes, to wake requests that wait for a route."""
        self._routes = RouteCache(self.view)
        self.stop = StopDeadline(self.clock)
        self.view.on_change(self._on_view_change)

    def __call__(self, environ, start_response):
        """Handle one caller request."""
        times = self.meter.begin(self.clock.now_ms())
        outcome, assigned_id = UNKNOWN, ""
        try:
            assigned_id = request_id(environ[HEADERS_KEY]) or uuid.uuid4().hex
            response = self._serve(environ, assigned_id, times)
            outcome = ANSWERED
        except RequestError as error:
            outcome = error.outcome
            log_refusal(assigned_id, error, times, self.clock.now_ms())
            return _refusal_response(start_response, error, assigned_id)
        finally:
            self.meter.finish(times, outcome, self.clock.now_ms())
        headers = caller_response_headers(response, assigned_id)
        return backend_reply(
            start_response, environ["REQUEST_METHOD"], response, headers
        )

    def _serve(self, environ, assigned_id, times):
        path = environ["PATH_INFO"]
        check_path(path)
        found = self.view.service_at(path)
        if found is None:
            raise RequestError(404, NOT_RUN, "no service at this path")
        team, service = found
        times.service = f"{team}/{service.name}"
        request = self._read(environ, service, assigned_id, times)
        if not service.divided:
            return self._serve_shared(team, service, request)
        key = key_of(service, environ[HEADERS_KEY], request.target)
        return self._serve_divided(team, service, key, request)

    def _read(self, environ, service, assigned_id, times):
        method, headers = environ["REQUEST_METHOD"], environ[HEADERS_KEY]
        caller_class = class_of(service, method, environ["PATH_INFO"])
        caller_timeout_ms = deadline_ms(headers, caller_class)
        return Request(
            method=method,
            target=environ[TARGET_KEY],
            headers=end_to_end_request_headers(headers),
            body=read_body(environ, self.limits.body_bytes, caller_timeout_ms),
            request_id=assigned_id,
            deadline_at_ms=times.began_ms + caller_timeout_ms,
            caller_class=caller_class,
            is_wanted=lambda: not caller_disconnected(environ),
            times=times,
        )

    def _serve_divided(self, team, service, key, request):
        """Send a request to the owner of its key, retrying where that is safe.

        Retried a few times if the owner refused it and, within the retry budget, if
        the outcome is unknown and the request is idempotent. Every try goes to the
        current owner, the only server that may act for the key.
        """
        index = slice_of(key, service.n_slices)
        budget = self._budgets[team, service.name]
        budget.earn()
        for retry_delay_ms in (*OWNER_RETRY_DELAYS_MS, None):
            route = self._wait_for_owner(team, service, index, request)
            is_current = functools.partial(self._is_current_owner, team, service, route)
            limiter = self._admit(route, service, request, is_current)
            if limiter is None:
                continue
            result = self._exchange(route, request, limiter)
            if not is_successful(result):
                error = result.failure()
                self._check_retry(error, request, budget)
                if isinstance(error, NotSentError):
                    retry_after_s = self._retry_after_s()
                    raise request.refusal(503, "owner not reached", retry_after_s)
                continue
            response = result.unwrap()
            if response.header(OUTCOME_HEADER) != NOT_RUN:
                return response
            if response.status != STALE_OWNER_STATUS:
                retry_after_s = self._retry_after_s()
                raise request.refusal(
                    503, "server is busy", retry_after_s, server=route.server
                )
            if retry_delay_ms is not None:
                self._wait_for_newer_route(team, service, route, retry_delay_ms)
        raise request.refusal(503, "owner is changing", self._retry_after_s())

    def _is_current_owner(self, team, service, route):
        return self._routes.owner(team, service.name, route.slice_index) == route

    def _wait_for_owner(self, team, service, index, request):
        """Return the route to a slice's owner, waiting briefly if there is none.

        Nothing has been sent yet, so waiting cannot execute a request twice. The wait
        is short: a refusal with a retry time is preferred to a growing queue.
        """
        wait_until_ms = self.clock.now_ms() + self.timing.route_wait_ms
        wait_until_ms = min(wait_until_ms, request.deadline_at_ms)
        while True:
            route = self._routes.owner(team, service.name, index)
            if route is not None:
                return route
            left_ms = wait_until_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise request.refusal(503, "key has no owner", self._retry_after_s())
            self._view_changed.wait(left_ms / 1000.0)

    def _wait_for_newer_route(self, team, service, refused, retry_delay_ms):
        """Wait until a refused route is replaced, at most for a retry delay.

        The full delay also gives the owner time to receive its grant.
        """
        until_ms = self.clock.now_ms() + retry_delay_ms
        while (left_ms := until_ms - self.clock.now_ms()) > 0:
            route = self._routes.owner(team, service.name, refused.slice_index)
            if route is not None and route.token > refused.token:
                return
            self._view_changed.wait(left_ms / 1000.0)

    def _serve_shared(self, team, service, request):
        """Send a request to any server of a service, retrying where that is safe."""
        budget = self._budgets[team, service.name]
        outliers = self._outlier_detectors[team, service.name]
        budget.earn()
        tried = set()
        for _ in range(MAX_TRIES):
            route = self._choose_route(team, service, outliers, tried)
            if route is None:
                break
            tried.add(route.server)
            limiter = self._admit(route, service, request)
            result = self._exchange(route, request, limiter, outliers)
            if is_successful(result):
                response = result.unwrap()
                if response.header(OUTCOME_HEADER) != NOT_RUN:
                    return response
                # A steward that has just handed over its term refuses without
                # contacting the server. The budget limits load on servers, so this
                # refusal is not charged to it. When it was, callers were refused for
                # the duration of a handover, about 50 ms.
                if response.status != STALE_OWNER_STATUS and not budget.spend():
                    break
                continue
            self._check_retry(result.failure(), request, budget)
        retry_after_s = self._retry_after_s()
        raise request.refusal(
            503, "no server can take it", retry_after_s, tried=",".join(sorted(tried))
        )

    def _choose_route(self, team, service, outliers, tried):
        routes = self._routes.candidates(team, service.name)
        routes = outliers.usable(routes, self.clock.now_ms())
        if tried:
            routes = [route for route in routes if route.server not in tried]
        routes = [r for r in routes if not self._reachability[r.server].down] or routes
        if not routes:
            return None
        routes = self._exclude_busy_cold_servers(routes)
        return less_loaded(routes, self._load_of, self._rng)

    def _load_of(self, route):
        limiter = self._limiters.get(route.server)
        return 0.0 if limiter is None else limiter.load

    def _limiter_for(self, server, service):
        """Return the concurrency limiter of a server, updated to the current limits."""
        slots, connections = service.slots_per_server, service.connections_per_server
        n_entries = self._routes.n_entries()
        limiter = self._limiters.get(server)
        if limiter is None:
            limiter = self._limiters[server] = ConcurrencyLimiter(
                slots, connections, n_entries, total_pause_ms=self.total_pause_ms
            )
        else:
            limiter.resize(slots, connections, n_entries)
        return limiter

    def _admit(self, route, service, request, is_current=None):
        """Acquire a slot at a server, queueing if one can be expected in time.

        Returns
        -------
        limiter : ConcurrencyLimiter or None
            Where the slot has to be released. None if the route changed meanwhile:
            requests that are queued for an unresponsive owner then follow their key to
            its next owner.
        """
        self._check_stop(request)
        server_reachability = self._reachability[route.server]
        if not route.gated_at and server_reachability.should_probe(self.clock.now_ms()):
            gevent.spawn(self._probe, route, server_reachability)
        if server_reachability.down:
            raise request.refusal(503, SERVER_UNRESPONSIVE, self._retry_after_s())
        limiter = self._limiter_for(route.server, service)
        ticket = Ticket(request.caller_class.priority, request.deadline_at_ms)
        _notify(limiter.submit(ticket, self.clock.now_ms()))
        if ticket.state == ADMITTED:
            return limiter
        if ticket.state == WAITING:
            self._wait_in_queue(
                limiter, ticket, request, server_reachability, is_current
            )
        if is_current is not None and not is_current():
            if ticket.state == ADMITTED:
                _notify(limiter.release(Outcome.CANCELLED, 0.0, self.clock.now_ms()))
            return None
        if ticket.state == ADMITTED:
            return limiter
        if server_reachability.down:
            raise request.refusal(503, SERVER_UNRESPONSIVE, self._retry_after_s())
        retry_after_s = ticket.retry_after_ms / 1000.0
        inputs = {
            "server": route.server,
            "in_flight": limiter.in_flight,
            "waiting": limiter.n_waiting,
            "limit": round(limiter.limit, 1),
            "mean_latency_ms": round(limiter.mean_latency_ms),
        }
        raise request.refusal(503, "server is busy", retry_after_s, **inputs)

    def _probe(self, route, server_reachability):
        """Probe an unresponsive server until it answers or leaves this address."""
        while True:
            asked_ms = self.clock.now_ms()
            timeout_ms = self.timing.control_timeout_ms
            result = self.backends.probe(route.address, timeout_ms)
            if server_reachability.probe_ended(
                is_successful(result), self.clock.now_ms()
            ):
                return
            vm = self.view.vms.get(route.server)
            if vm is None or vm.address != route.address:
                self._reachability.pop(route.server, None)
                return
            left_ms = timeout_ms - (self.clock.now_ms() - asked_ms)
            gevent.sleep(max(0.0, left_ms) / 1000.0)

    def _wait_in_queue(self, limiter, ticket, request, server_reachability, is_current):
        """Wait until a ticket is admitted or refused, or waiting becomes pointless."""
        ticket_changed = Event()
        ticket.on_change = ticket_changed.set
        try:
            while ticket.state == WAITING:
                left_ms = limiter.latest_start_ms(ticket) - self.clock.now_ms()
                if left_ms <= 0 or server_reachability.down or not request.is_wanted():
                    break
                if is_current is not None and not is_current():
                    break
                ticket_changed.wait(min(left_ms, CHECK_MS) / 1000.0)
        except BaseException:
            # The greenlet is being killed; release its slot here, as nothing else does.
            if ticket.state == ADMITTED:
                _notify(limiter.release(Outcome.CANCELLED, 0.0, self.clock.now_ms()))
            raise
        finally:
            if ticket.state == WAITING:
                limiter.withdraw(ticket)

    def _exchange(self, route, request, limiter, outliers=None):
        """Send an admitted request once, and release its slot."""
        sent_ms, paused_before_ms = self.clock.now_ms(), self.total_pause_ms()
        outcome = Outcome.CANCELLED
        server_reachability = self._reachability[route.server]
        number, answered = server_reachability.request_sent(sent_ms), False
        try:
            result = self._send(route, request, sent_ms)
            answered = is_successful(result)
            outcome = _outcome_of(result)
            return result
        finally:
            now_ms = self.clock.now_ms()
            request.times.service_ms += now_ms - sent_ms
            # Exclude pauses of this process from the server's latency.
            took_ms = now_ms - sent_ms - (self.total_pause_ms() - paused_before_ms)
            server_reachability.request_ended(number, answered, now_ms)
            _notify(limiter.release(outcome, took_ms, now_ms))
            if outcome in (Outcome.ANSWERED, Outcome.LOST):
                self.stop.record(_route_of(request), took_ms)
            if outliers is not None and outcome == Outcome.ANSWERED:
                outliers.note_answer(route.server, took_ms, now_ms)
            elif outliers is not None and outcome == Outcome.LOST:
                outliers.eject(route.server, now_ms)

    def _send(self, route, request, sent_ms):
        left_ms = request.deadline_at_ms - sent_ms
        if left_ms <= 0:
            raise request.refusal(504, "deadline passed", self._retry_after_s())
        self._check_stop(request)
        headers = request.headers + [
            ("X-Request-Id", request.request_id),
            (EXCHANGE_HEADER, next(self._exchange_ids)),
        ]
        if route.slice_index >= 0:
            headers.append(("Tarragon-Slice", str(route.slice_index)))
            headers.append(("Tarragon-Token", str(route.token)))
        if route.gated_at or not self._may_send_directly(route):
            result = self._forward(route, request, headers, left_ms)
            return result.map(lambda response: self._note_cold_start(route, response))
        headers.append(("Tarragon-Deadline-Ms", str(int(left_ms))))
        result = self.pools.at(route.address).exchange(
            request.method,
            request.target,
            headers,
            request.body,
            left_ms,
            request.is_wanted,
        )
        if is_successful(result):
            self._note_cold_start(route, result.unwrap())
        elif not isinstance(result.failure(), AbandonedError):
            # Only a direct exchange counts: a failure on the path through the steward
            # says nothing about the server.
            self._direct_permits.revoke(route.server)
        return result

    def _check_stop(self, request):
        """Raise if this process would end before a request is answered."""
        if not self.stop.allows(_route_of(request), request.deadline_at_ms):
            raise stopping_refusal(request)

    def _retry_after_s(self):
        """Return a retry time for refusals without a queue estimate.

        Jittered, so that refused callers do not all return at the same moment.
        """
        return RETRY_AFTER_S * (0.5 + self._rng.random())

    def _may_send_directly(self, route):
        """Return whether a request may bypass the server's steward."""
        return self.forward is None or self.is_known_warm(route.server, route.address)

    def is_known_warm(self, server, address):
        """Return whether a server is known to be warm and still the same process.

        Parameters
        ----------
        server, address : str
        """

        def is_connected():
            limiter = self._limiters.get(server)
            # A single request in flight may be the one that this call is made for,
            # which has no connection yet.
            if limiter is not None and limiter.in_flight > 1:
                return True
            return self.pools.at(address).has_open_idle()

        return self._direct_permits.is_valid(
            server, address, is_connected, self.clock.now_ms()
        )

    def _note_cold_start(self, route, response):
        """Record the cold-start hints in a response; return the response."""
        shed = response.header(OUTCOME_HEADER) == NOT_RUN and response.status == 503
        if shed or response.header(COLD_HEADER):
            self._direct_permits.revoke(route.server)
        elif response.header(DIRECT_HEADER):
            self._direct_permits.allow(route.server, route.address, self.clock.now_ms())
        return response

    def _exclude_busy_cold_servers(self, routes):
        """Exclude cold servers that already have a request from this entry.

        A server that has just come back can handle very few requests, and callers would
        queue for it while other servers are free. One request at a time is still sent
        there, since the response of its steward shows when the server is warm.
        """
        if self.forward is None:
            return routes
        free = [
            route
            for route in routes
            if self._direct_permits.contains(route.server) or not self._load_of(route)
        ]
        return free or routes

    def _forward(self, route, request, headers, left_ms):
        forwarded_request = ForwardedRequest(
            *route.service,
            route.server,
            route.slice_index,
            route.token,
            request.method,
            request.target,
            tuple(headers),
            request.body,
            left_ms,
        )
        return self.forward(forwarded_request)

    def _check_retry(self, error, request, budget):
        """Return if a request may be retried after a failed exchange; raise otherwise.

        When a reused connection is closed by the server, the failure looks the same
        whether the request never arrived or the server died after executing it. So
        only an exchange of which no byte was sent counts as not run.
        """
        if isinstance(error, AbandonedError):
            raise RequestError(ABANDONED_STATUS, UNKNOWN, "caller has gone")
        late = self.clock.now_ms() >= request.deadline_at_ms
        if isinstance(error, NotSentError):
            if late:
                raise request.refusal(504, "deadline passed", self._retry_after_s())
            return
        request.in_doubt = True
        if isinstance(error, AnswerRevokedError):
            raise revoked_answer_error()
        if late:
            raise RequestError(504, UNKNOWN, "no whole answer in time")
        if not request.caller_class.idempotent or not budget.spend():
            raise RequestError(502, UNKNOWN, "no whole answer from the server")

    def _on_view_change(self):
        """Drop cached routes and wake all requests that wait for one."""
        self._routes.invalidate()
        changed, self._view_changed = self._view_changed, Event()
        changed.set()


def _route_of(request):
    """Return what requests that take similar times have in common."""
    return request.times.service, request.caller_class.name


def _outcome_of(result):
    """Return the outcome of an exchange as the limiter accounts for it."""
    if is_successful(result):
        response = result.unwrap()
        if response.header(OUTCOME_HEADER) != NOT_RUN:
            return Outcome.ANSWERED
        stale = response.status == STALE_OWNER_STATUS
        return Outcome.CANCELLED if stale else Outcome.SHED
    abandoned = isinstance(result.failure(), AbandonedError)
    return Outcome.CANCELLED if abandoned else Outcome.LOST


def _notify(tickets):
    for ticket in tickets:
        ticket.on_change()


def _refusal_response(start_response, error, assigned_id):
    headers = [("X-Request-Id", assigned_id)] if assigned_id else []
    if error.retry_after_s is not None:
        # Retry-After has a resolution of one second, but queues drain faster: callers
        # that know this extension header get milliseconds.
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
        retry_after_ms = int(error.retry_after_s * 1000.0)
        headers.append(("Tarragon-Retry-After-Ms", str(retry_after_ms)))
    if error.status in CLOSING_STATUSES:
        headers.append(("Connection", "close"))
    return error_reply(start_response, error, headers)
