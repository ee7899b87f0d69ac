"""Serves callers' requests in a fleet by sending them to backend servers."""

import collections
import math
import random

import attrs

from ..adapters.logs import log_event
from ..adapters.web import (
    ARRIVED_KEY,
    HEADERS_KEY,
    TARGET_KEY,
    backend_reply,
    caller_disconnected,
    error_reply,
    read_body,
)
from ..api_keys import ANONYMOUS, key_mark
from ..connections import connection_share
from ..directory import BackendServer
from ..errors import (
    AbandonedError,
    AnswerRevokedError,
    NotSentError,
    RequestError,
    SendRevokedError,
)
from ..limits import ServerLimits, WindowedRetryBudget
from ..meters import ANSWERED, NOT_RUN, UNKNOWN, RequestTimes
from ..request import end_to_end_response_headers
from ..results import is_successful
from ..server_paths import PathMonitor
from ..stopping import StopDeadline
from .announcements import Announcements
from .chooser import ServerChooser
from .owners import NO_OWNER_RETRY_S, OwnerResolver
from .path_prober import PathProber
from .refusals import (
    ABANDONED_STATUS,
    log_refusal,
    revoked_answer_error,
    stopping_refusal,
)
from .routed_request import RoutedRequest
from .suspects import SuspectFinder

__all__ = ["Router"]

NO_ROUTES_RETRY_S = 0.3
REFUSED_RETRY_S = 0.2
MIN_CAP_RETRY_S = 0.05
RETRY_BUDGET_SHARE = 0.5
"""Fraction of the allowed retries for each request that the daemons use.

Half of them stays within the limit for any traffic: credit may be spent in the window
after the one in which it was earned."""

CREDIT_VALIDITY = 0.95
"""How long a request's credit for retries is valid, as a fraction of the window in
which they are counted. A request is counted when its caller sends it, and credited
later."""

MAX_IDLE_CONNECTIONS = 8
"""Maximum number of idle connections kept to a server.

Never more than the connections guaranteed to this daemon are kept: one that was opened
beyond these is closed after use, so that other daemons can open theirs."""

EXAMINATION_MS = 100.0
"""How long a request whose connection broke waits before it is repeated, until it is
known whether its server has ended, and whether others have ended under it."""

CLOSING_STATUSES = frozenset((408, 413))
MIN_SERVER_ERROR_STATUS = 500
SUCCESS_STATUSES = range(200, 300)


@attrs.define(eq=False, repr=False)
class Router:
    """A WSGI application for callers.

    Parameters
    ----------
    view : FleetView
    selector : ServerSelector
    cold : ColdStartLimiter
    pools : HttpPools
    dialect : Dialect
    bounds : FleetBounds
    meter : RequestMeter
    clock : Clock
    counts : collections.Counter
        Failed attempts and refusals by service and reason, for the metrics.
    delegator : PeerDelegator
        Has other daemons serve requests while this one reaches no server.
    owners : OwnerResolver
    limits : ServerLimits
        What servers in need take from all daemons together.
    monitor : PathMonitor
        Whether this daemon reaches servers.
    prober : PathProber
    suspects : SuspectFinder
        Holds back requests under which servers end.
    confirm_manifest : callable
        Takes the latest version of the manifest that other daemons have used; returns
        whether the manifest in force is recent enough to refuse what it lacks.
    manifest_age_ms : callable
        Returns how long ago the manifest in force was known to be the newest.
    caps : CapKeeper
        Usage caps of teams.
    stop : StopDeadline
        When this daemon ends, if it stops.
    """

    view: object
    selector: object
    cold: object
    pools: object
    dialect: object
    bounds: object
    meter: object
    clock: object
    delegator: object
    counts: collections.Counter = attrs.Factory(collections.Counter)
    limits: ServerLimits = attrs.Factory(ServerLimits)
    monitor: PathMonitor = attrs.Factory(PathMonitor)
    confirm_manifest: object = attrs.field(default=lambda min_version: True)
    manifest_age_ms: object = attrs.field(default=lambda: 0.0)
    caps: object = None
    prober: PathProber = attrs.field(init=False)
    _started_ms: float = attrs.field(init=False)
    _budgets: dict = attrs.Factory(dict)
    announcements: Announcements = attrs.field(init=False)
    suspects: SuspectFinder = attrs.field(init=False)
    chooser: ServerChooser = attrs.field(init=False)
    owners: OwnerResolver = attrs.field(init=False)
    stop: StopDeadline = attrs.field(init=False)
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Create the parts that share its view and connections."""
        self._started_ms = self.clock.now_ms()
        self.stop = StopDeadline(self.clock)
        self.owners = OwnerResolver(self.view, self.clock)
        self.announcements = Announcements(self.view.directory, self.limits)
        self.chooser = ServerChooser(
            self.view,
            self.selector,
            self.cold,
            self.owners,
            self.announcements,
            lambda: self.bounds,
            self.clock,
            self.stop,
        )
        self.prober = PathProber(
            self.monitor,
            self.view,
            self.pools,
            self.clock,
            self.selector,
            self.limits,
            self.announcements.backoffs,
            self._record_health,
        )
        self.suspects = SuspectFinder(
            self.view, self.clock, self.pools, lambda: self.prober.confirm_cut_off()
        )

    def __call__(self, environ, start_response):
        """Serve one request of a caller."""
        times = self.meter.begin(environ.get(ARRIVED_KEY) or self.clock.now_ms())
        outcome, request_id = UNKNOWN, ""
        try:
            facts = self._read_facts(environ)
            request_id = facts.request_id
            request = self._read_request(environ, facts, times)
            response = self._deliver(request, times)
            outcome = ANSWERED
        except RequestError as error:
            outcome, now_ms = error.outcome, self.clock.now_ms()
            self.counts[times.service, error.reason] += 1
            context = self._describe_paths(now_ms)
            log_refusal(request_id, error, times, now_ms, **context)
            return self._refuse(start_response, error, request_id)
        finally:
            self.meter.finish(times, outcome, self.clock.now_ms())
        headers = end_to_end_response_headers(response)
        return backend_reply(
            start_response, environ["REQUEST_METHOD"], response, headers
        )

    def serve_delegated(self, environ, delegation):
        """Serve a request that another daemon has handed to this one.

        Parameters
        ----------
        environ : dict
            WSGI environment, with the request target as the caller sent it.
        delegation : Delegation

        Returns
        -------
        response : Response

        Raises
        ------
        RequestError
        """
        times = RequestTimes(environ[ARRIVED_KEY] - delegation.elapsed_ms)
        facts = self._read_facts(environ)
        request = self._read_request(
            environ, facts, times, delegation.service, delegation.team
        )
        request.tried += delegation.tried
        request.in_doubt = bool(delegation.tried)
        request.is_credited = delegation.is_credited
        request.is_unpaid_retry = delegation.is_unpaid_retry
        request.may_delegate = False
        return self._deliver(request, times)

    def _describe_paths(self, now_ms):
        """Return what tells a cut-off daemon from busy servers in a log line."""
        ago_ms = self.monitor.heard_ms_ago(now_ms)
        described = {
            "servers_heard": self.monitor.n_heard(now_ms),
            "heard_ms_ago": "never" if ago_ms == math.inf else round(ago_ms),
        }
        if self.monitor.is_cut_off:
            described["cut_off_ms"] = round(now_ms - self.monitor.cut_off_since_ms)
        return described

    def _read_facts(self, environ):
        try:
            return self.dialect.read_request(environ[HEADERS_KEY])
        except ValueError as error:
            raise RequestError(400, NOT_RUN, "malformed header") from error

    def _read_request(
        self, environ, facts, times, chosen_service="", delegated_team=None
    ):
        """Return the RoutedRequest of an environment, with its body.

        ``chosen_service`` is taken if the route leads there. ``delegated_team`` names
        the team that another daemon has found.
        """
        path = environ[TARGET_KEY].partition("?")[0]
        routes, route = self._find_route(facts.host, path)
        team = None
        if routes.manifest.teams is not None:
            team = self._find_team(facts, route, delegated_team)
        if any(part.service == chosen_service for part in route.parts):
            times.service = chosen_service
        else:
            times.service = routes.choose_service(route, self._rng.random())
        caller_timeout_ms = route.timeout_ms
        if facts.caller_timeout_ms is not None:
            caller_timeout_ms = min(caller_timeout_ms, facts.caller_timeout_ms)
        return RoutedRequest(
            request_id=facts.request_id,
            method=environ["REQUEST_METHOD"],
            target=environ[TARGET_KEY],
            headers=environ[HEADERS_KEY],
            body=read_body(
                environ, self.view.manifest.limits.body_bytes, caller_timeout_ms
            ),
            route=route,
            service=times.service,
            key=facts.key,
            arrived_ms=times.began_ms,
            until_ms=times.began_ms + caller_timeout_ms,
            is_wanted=lambda: not caller_disconnected(environ),
            clock=self.clock,
            team=team,
        )

    def _find_team(self, facts, route, delegated_team):
        """Return the CallerTeam of a request.

        Raises
        ------
        RequestError
            401 only if no newer manifest can have the key: callers do not repeat a
            request after it.
        """
        if delegated_team is not None:
            return self._delegated_team(delegated_team)
        team = self.view.manifest.teams.find(facts.api_key)
        if team is None and route.public:
            return ANONYMOUS
        if team is None:
            is_known = self.confirm_manifest(self.delegator.seen_version)
            teams = self.view.manifest.teams
            team = teams.find(facts.api_key) if teams is not None else ANONYMOUS
            if team is None:
                self._refuse_key(facts.api_key, is_known)
        if self.bounds.strict_revocation and not route.public:
            age_ms = self.manifest_age_ms()
            if age_ms > self.bounds.revocation_ms:
                reason = "keys may have been taken away"
                raise RequestError(503, NOT_RUN, reason, NO_ROUTES_RETRY_S)
        return team

    def _delegated_team(self, name):
        """Return the CallerTeam that another daemon has found by its key."""
        if not name:
            return ANONYMOUS
        team = self.view.manifest.teams.teams.get(name)
        if team is None:
            reason = "team is not in the manifest"
            raise RequestError(503, NOT_RUN, reason, NO_ROUTES_RETRY_S)
        return team

    def _refuse_key(self, key, is_known):
        inputs = {"key": key_mark(key) if key else "none"}
        if is_known:
            raise RequestError(401, NOT_RUN, "unknown API key", None, inputs)
        reason = "manifest may be outdated"
        raise RequestError(503, NOT_RUN, reason, NO_ROUTES_RETRY_S, inputs)

    def _find_route(self, host, path):
        """Return the RouteTable in force and the Route of a request.

        The path is taken as the caller has sent it, escapes and all: servers get it in
        that form, and may read another one differently.

        Raises
        ------
        RequestError
            404 only if no newer manifest can have the route: callers do not repeat a
            request after it.
        """
        if self.view.routes is None:
            raise RequestError(503, NOT_RUN, "no manifest yet", NO_ROUTES_RETRY_S)
        route = self.view.routes.find(host, path)
        if route is None:
            is_known = self.confirm_manifest(self.delegator.seen_version)
            route = self.view.routes.find(host, path)
            if route is None and is_known:
                raise RequestError(404, NOT_RUN, "no route")
            if route is None:
                reason = "manifest may be outdated"
                raise RequestError(503, NOT_RUN, reason, NO_ROUTES_RETRY_S)
        return self.view.routes, route

    def _deliver(self, request, times):
        """Send a request until it has a final response or may not be sent again."""
        try:
            return self._deliver_within_cap(request, times)
        finally:
            self._give_token_back(request)
            self.suspects.end_trial(request)

    def _give_token_back(self, request):
        """Return a token of the team's usage cap that was not used."""
        if request.has_token:
            request.has_token = False
            self.caps.give_back(request.team)

    def _take_token(self, request):
        """Take a token of the team's usage cap, unless the request has one.

        Raises
        ------
        RequestError
            429 if the cap is reached.
        """
        team = request.team
        if team is None or team.cap is None or request.has_token:
            return
        denial = self.caps.take(team, not request.tried, request.until_ms)
        if denial is None:
            request.has_token = True
            return
        inputs = {"team": team.name, "cap_per_s": team.cap.rate_per_s}
        retry_s = denial.retry_ms / 1000.0
        if not denial.is_cap_reached:
            raise request.retryable_refusal("usage cap not known", retry_s, **inputs)
        raise request.refusal(
            429, "usage cap reached", max(MIN_CAP_RETRY_S, retry_s), **inputs
        )

    def _deliver_within_cap(self, request, times):
        budget = self._budget(request.service)
        while True:
            if not self.stop.allows(request.route.name, request.until_ms):
                raise stopping_refusal(request)
            if self._should_delegate(request):
                response = self.delegator.serve(request)
                if response is not None:
                    return response
                request.may_delegate = False
            if not request.is_credited:
                budget.earn()
                request.is_credited = True
            self.suspects.check(request)
            self._take_token(request)
            chosen = self.chooser.choose(request)
            if isinstance(chosen, BackendServer):
                self._give_token_back(request)
                response = self._serve_by_sender(request, chosen)
                if response is not None:
                    return response
                request.may_delegate = False
                continue
            if request.is_unpaid_retry and not budget.spend():
                raise request.retryable_refusal("no retry left", REFUSED_RETRY_S)
            request.is_unpaid_retry = False
            request.tried.append(chosen.server.name)
            result, took_ms = self._exchange(request, chosen)
            if _may_have_run(result):
                request.has_token = False
                self.stop.record(request.route.name, took_ms)
            times.service_ms += took_ms
            if is_successful(result):
                response, facts = result.unwrap()
                if self._is_final(request, response, facts, budget):
                    if len(request.tried) > 1:
                        self._log_served(request, response)
                    return response
                continue
            self._handle_failure(request, chosen, result.failure(), budget)

    def _should_delegate(self, request):
        """Return whether another daemon is asked to serve a request.

        While this daemon reaches no server, and afterwards until it knows the manifest
        that other daemons have used for its callers.
        """
        return request.may_delegate and (
            self.monitor.is_cut_off
            or self.view.manifest.version < self.delegator.seen_version
        )

    def _budget(self, service):
        """Return this daemon's retry budget for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                self.clock,
                lambda: RETRY_BUDGET_SHARE * self.bounds.retry_ratio,
                lambda: CREDIT_VALIDITY * self.bounds.retry_window_ms,
                self._started_ms,
            )
        return budget

    def _serve_by_sender(self, request, server):
        """Have a daemon that sends to a limited server serve a request.

        Returns
        -------
        response : Response or None
            None if no such daemon took the request.
        """
        for peer in self.limits.senders_of(server, self.view.daemons):
            response = self.delegator.serve_by(peer, request)
            if response is not None:
                return response
        return None

    def _exchange(self, request, chosen):
        """Send a request to a server once; return the result and the time it took."""
        server, began_ms = chosen.server, self.clock.now_ms()
        left_ms = request.until_ms - began_ms
        missing_ms = self.view.directory.missing_ms(server.name)
        if missing_ms is not None:
            self._log_missing(request, server, missing_ms)
        headers = self.dialect.server_headers(
            request.headers, server.name, left_ms, request.team
        )
        pool = self.pools.at(server.address)
        limit = self.view.service(server.service).connections
        share = connection_share(limit, self.chooser.n_daemons)
        pool.max_idle = min(MAX_IDLE_CONNECTIONS, share)
        self.selector.record_sent(chosen)
        self.monitor.record_sent(began_ms)
        self.announcements.record_sent(server, began_ms)
        try:
            result = pool.exchange(
                request.method,
                request.target,
                headers,
                request.body,
                left_ms,
                lambda: request.is_wanted() and not self._waits_in_vain(request),
                may_send=lambda: self._may_still_send(request, server),
            )
        except BaseException:
            self.selector.record_cancellation(chosen)
            raise
        finally:
            self.monitor.record_end()
        now_ms = self.clock.now_ms()
        took_ms = now_ms - began_ms
        is_divided = self.view.service(request.service).divided
        if is_divided:
            self.view.key_load_recorder.note(request.service, request.key, took_ms)
        if not is_successful(result):
            self._record_failure(request, chosen, result.failure(), now_ms)
            return result, took_ms
        self.monitor.record_answer(server.name, now_ms)
        request.was_sent = True
        result = result.map(
            lambda response: (response, self.dialect.read_response(response))
        )
        response, facts = result.unwrap()
        if is_divided and not facts.misdirected:
            self.owners.record_served(request)
        if facts.genuine and not facts.not_run:
            self.suspects.record_answer(request)
        self.announcements.record_answer(
            server, facts, request.request_id, began_ms, now_ms
        )
        if facts.not_run:
            self.selector.record_shed(chosen, facts.load, now_ms, facts.backoff_ms)
        elif response.status >= MIN_SERVER_ERROR_STATUS:
            self.selector.record_error(chosen, took_ms, facts.load, now_ms)
        else:
            self.selector.record_response(chosen, took_ms, facts.load, now_ms)
        return result, took_ms

    def _may_still_send(self, request, server):
        """Return whether a server may be sent a request once its connection is open.

        Opening one may take longer than the answer that asks this daemon to wait, or
        that says that the server leaves, and longer than a stop leaves time for.
        """
        if not self.stop.allows(request.route.name, request.until_ms):
            return False
        directory, now_ms = self.view.directory, self.clock.now_ms()
        is_divided = self.view.service(server.service).divided
        may_serve = directory.may_serve_keys if is_divided else directory.may_serve
        is_paused = self.announcements.backoffs.find(server, now_ms) is not None
        return not is_paused and may_serve(server)

    def _record_health(self, server, response):
        facts = self.dialect.read_response(response)
        self.announcements.record_health(server, facts, self.clock.now_ms())

    def forget_servers(self):
        """Discard what is kept of servers that are not listed any more."""
        listed = self.view.directory.servers
        self.selector.retain(listed)
        self.monitor.retain(listed)
        self.limits.retain(listed)
        self.announcements.retain(listed)
        self.announcements.tidy(self.clock.now_ms())

    def _waits_in_vain(self, request):
        """Return whether a request can be repeated and its server can't be heard."""
        return (
            request.may_delegate
            and request.may_repeat
            and self.monitor.is_cut_off
            and self.monitor.is_silent(self.clock.now_ms())
        )

    def _record_failure(self, request, chosen, error, now_ms):
        if isinstance(error, SendRevokedError):
            self.selector.record_cancellation(chosen)
            return
        if not isinstance(error, AbandonedError | AnswerRevokedError):
            self.monitor.record_failure(error)
            self.prober.suspect()
        if isinstance(error, AbandonedError) or now_ms >= request.until_ms:
            self.selector.record_cancellation(chosen)
            return
        server = chosen.server
        at_connect = isinstance(error, NotSentError)
        self.selector.record_failure(chosen, now_ms, at_connect)
        if at_connect and "refused" in str(error):
            # No process listens there: the server has ended. It will be cold if it
            # starts again, before its entry says so.
            warmup_ms = self.view.service(server.service).warmup_ms
            self.view.directory.mark_cold(server.name, warmup_ms)

    def _is_final(self, request, response, facts, budget):
        """Return whether a response goes to the caller; if not, the request is retried.

        Raises
        ------
        RequestError
            If the response is of no use and the request may not be sent again.
        """
        if facts.not_run:
            self._handle_server_refusal(request, facts, budget)
            return False
        if facts.implies_not_run and not request.route.idempotent:
            reason = f"server answered {response.status}, which may have run"
            self._log_failed_attempt(request, reason)
            raise RequestError(502, UNKNOWN, reason)
        if response.status in SUCCESS_STATUSES and not facts.genuine:
            self._log_failed_attempt(request, "answer without the server's mark")
            request.in_doubt = True
            self._check_retry(request, budget)
            return False
        if response.status < MIN_SERVER_ERROR_STATUS or not request.route.idempotent:
            return True
        request.in_doubt = True
        if len(request.tried) >= request.route.attempts or not self._has_time(request):
            return True
        if not budget.spend():
            return True
        self._log_failed_attempt(request, f"server answered {response.status}")
        return False

    def _handle_server_refusal(self, request, facts, budget):
        """Raise unless a request that a server did not run may be sent again."""
        asked = {} if facts.backoff_ms is None else {"backoff_ms": facts.backoff_ms}
        self._log_failed_attempt(
            request, "misdirected" if facts.misdirected else "shed", **asked
        )
        if facts.backoff_ms is not None:
            # Raised before a retry is paid for that no server would take.
            self.chooser.without_paused(request, self.chooser.other_servers(request))
        if not facts.misdirected:
            self.chooser.count_refused_work(request)
        may_repeat = len(request.tried) <= request.route.attempts
        if facts.misdirected and self.view.service(request.service).divided:
            may_repeat = self.owners.may_repeat(request) and may_repeat
        if not may_repeat or not budget.spend():
            reason = "owner changes" if facts.misdirected else "server is busy"
            raise request.retryable_refusal(reason, REFUSED_RETRY_S)

    def _handle_failure(self, request, chosen, error, budget):
        """Raise unless a request may be sent again after a failed exchange.

        A reused connection may have been closed by the server just before the send.
        That failure cannot be distinguished from a server that died after it ran the
        request. Only an exchange of which no byte was sent therefore counts as not run.
        """
        if isinstance(error, AbandonedError) and not request.is_wanted():
            raise RequestError(ABANDONED_STATUS, UNKNOWN, "caller has gone")
        if isinstance(error, SendRevokedError):
            self._log_failed_attempt(request, "may not be sent any more")
            request.tried.pop()
            return
        gave_up = isinstance(error, AbandonedError)
        self._log_failed_attempt(
            request, "no server answers" if gave_up else str(error)
        )
        if isinstance(error, NotSentError):
            if request.may_delegate and self.prober.confirm_cut_off():
                return
            if self.view.service(request.service).divided or len(request.tried) > 3:
                raise request.retryable_refusal("server not reached", NO_OWNER_RETRY_S)
            return
        request.in_doubt = True
        if isinstance(error, AnswerRevokedError):
            raise revoked_answer_error()
        if self.clock.now_ms() >= request.until_ms:
            raise RequestError(504, UNKNOWN, "no whole answer in time")
        examination = self.suspects.record_break(request, chosen.server)
        self._check_retry(request, budget)
        if request.may_delegate:
            # The retry takes another way if this daemon reaches no server.
            self.prober.confirm_cut_off()
        examination.join(EXAMINATION_MS / 1000.0)

    def _check_retry(self, request, budget):
        """Raise unless a request with unknown outcome may be sent again."""
        if not request.may_repeat or not self._has_time(request) or not budget.spend():
            raise RequestError(502, UNKNOWN, "no whole answer from the server")

    def _has_time(self, request):
        left_ms = request.until_ms - self.clock.now_ms()
        return left_ms > self.selector.work_ms(request.route.name) / 2

    def _log_failed_attempt(self, request, reason, **inputs):
        self.counts[request.service, "try failed"] += 1
        log_event(
            "try-failed",
            id=request.request_id,
            service=request.service,
            server=request.tried[-1],
            key=request.key,
            tries=len(request.tried),
            left_ms=round(request.until_ms - self.clock.now_ms()),
            reason=reason,
            **inputs,
        )

    def _log_missing(self, request, server, missing_ms):
        """Log that a request goes to a server whose missing entry may come back."""
        log_event(
            "sent-to-missing",
            id=request.request_id,
            service=request.service,
            server=server.name,
            missing_ms=round(missing_ms),
        )

    def _log_served(self, request, response):
        """Log how a request with failed attempts ended; others are only counted."""
        log_event(
            "request-served",
            id=request.request_id,
            service=request.service,
            server=request.tried[-1],
            tries=len(request.tried),
            status=response.status,
            took_ms=round(self.clock.now_ms() - request.arrived_ms),
        )

    def _refuse(self, start_response, error, request_id):
        headers = self.dialect.refusal_headers(request_id, error.retry_after_s)
        if error.status in CLOSING_STATUSES:
            headers.append(("Connection", "close"))
        return error_reply(start_response, error, headers)


def _may_have_run(result):
    """Return whether an exchange may have had a server run the request."""
    if is_successful(result):
        return not result.unwrap()[1].not_run
    return not isinstance(result.failure(), NotSentError)
