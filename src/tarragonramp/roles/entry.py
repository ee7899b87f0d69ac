"""Takes callers' requests and brings back whole answers."""

import collections
import itertools
import random
import uuid

import attrs
import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.web import (
    HEADERS_KEY,
    REASONS,
    TARGET_KEY,
    caller_is_gone,
    error_reply,
)
from ..errors import AbandonedError, NotSentError, RequestError
from ..meters import ANSWERED, NOT_RUN, UNKNOWN
from ..model import OWNED
from ..request import (
    EXCHANGE_HEADER,
    OUTCOME_HEADER,
    Request,
    answer_headers,
    check_path,
    class_of,
    deadline_ms,
    end_to_end,
    key_of,
    request_id,
)
from ..retries import RetryBudget
from ..slices import slice_of

__all__ = ["Entry"]

RETRY_AFTER_S = 1.0
EJECTION_MS = 1000

# A connection that cannot be opened costs the server nothing, so it draws on no
# budget; but each try may take as long as a silent address does.
MAX_TRIES = 4

# Load: all requests for the keys of a move, for as long as it takes. An owner refuses
# them while its route here is old, and while the grant that goes with a new route is
# still on its way, some 10 ms. Harm prevented: a refusal to callers for a move that is
# over in a moment; more than three further tries would load an owner that has lost its
# steward for good.
OWNER_PAUSES_MS = (15.0, 60.0, 200.0)

# After these the caller's connection is not read any further: where its next request
# begins is in doubt.
CLOSING_STATUSES = frozenset((400, 408, 413))
BODILESS_STATUSES = frozenset((204, 304))


@attrs.define
class _Route:
    server: str
    address: str
    slice_index: int = -1
    token: int = 0


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
    """

    view: object
    pools: object
    clock: object
    timing: object
    limits: object
    meter: object
    _in_flight: dict = attrs.Factory(dict)
    _ejected_until_ms: dict = attrs.Factory(dict)
    _changed: Event = attrs.Factory(Event)
    _budgets: dict = attrs.Factory(lambda: collections.defaultdict(RetryBudget))
    _exchange_ids: object = attrs.Factory(
        lambda: map(f"{uuid.uuid4().hex[:12]}-{{}}".format, itertools.count())
    )

    def __attrs_post_init__(self):
        """Wake requests that wait for a route whenever the view changes."""
        self.view.on_change(self._wake)

    def __call__(self, environ, start_response):
        """Serve one request of a caller."""
        times = self.meter.begin(self.clock.now_ms())
        outcome, named = UNKNOWN, ""
        try:
            named = request_id(environ[HEADERS_KEY]) or uuid.uuid4().hex
            answer = self._serve(environ, named, times)
            outcome = ANSWERED
        except RequestError as error:
            outcome = error.outcome
            return _refuse(start_response, error, named)
        finally:
            self.meter.finish(times, outcome, self.clock.now_ms())
        headers = answer_headers(answer, named)
        if answer.status not in BODILESS_STATUSES:
            length = len(answer.body)
            if environ["REQUEST_METHOD"] == "HEAD":
                length = answer.header("Content-Length", None)
            if length is not None:
                headers.append(("Content-Length", str(length)))
        reason = REASONS.get(answer.status, f"{answer.status} Status")
        start_response(reason, headers)
        return [answer.body]

    def _serve(self, environ, named, times):
        path = environ["PATH_INFO"]
        check_path(path)
        found = self.view.service_at(path)
        if found is None:
            raise RequestError(404, NOT_RUN, "no service at this path")
        team, service = found
        times.service = f"{team}/{service.name}"
        request = self._read(environ, service, named, times)
        if not service.divided:
            return self._serve_shared(team, service, request)
        key = key_of(service, environ[HEADERS_KEY], request.target)
        return self._serve_divided(team, service, key, request)

    def _read(self, environ, service, named, times):
        method, headers = environ["REQUEST_METHOD"], environ[HEADERS_KEY]
        caller_class = class_of(service, method, environ["PATH_INFO"])
        patience_ms = deadline_ms(headers, caller_class)
        return Request(
            method=method,
            target=environ[TARGET_KEY],
            headers=end_to_end(headers),
            body=self._read_body(environ, patience_ms),
            request_id=named,
            deadline_at_ms=times.began_ms + patience_ms,
            caller_class=caller_class,
            is_wanted=lambda: not caller_is_gone(environ),
            times=times,
        )

    def _read_body(self, environ, patience_ms):
        """Return the whole body, within the limit and the caller's deadline."""
        limit = self.limits.body_bytes
        length = environ.get("CONTENT_LENGTH")
        if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
            return b""
        if int(length or 0) > limit:
            raise RequestError(413, NOT_RUN, "body longer than the limit")
        body = None
        try:
            with gevent.Timeout(patience_ms / 1000.0, False):
                body = environ["wsgi.input"].read(limit + 1)
        except (OSError, ValueError):
            raise RequestError(400, NOT_RUN, "malformed or incomplete body") from None
        if body is None:
            raise RequestError(408, NOT_RUN, "body not received in time")
        if len(body) > limit:
            raise RequestError(413, NOT_RUN, "body longer than the limit")
        return body

    def _serve_divided(self, team, service, key, request):
        """Send to the owner; again if that can do no harm.

        Sent again a few times if the owner refused it, and, within the retry budget,
        if the outcome is unknown and the request idempotent. Always to the current
        owner: nobody else may act for the key.
        """
        index = slice_of(key, service.n_slices)
        budget = self._budgets[team, service.name]
        budget.earn()
        for pause_ms in (*OWNER_PAUSES_MS, None):
            route = self._owner(team, service, index, request)
            result = self._exchange(route, request)
            if not is_successful(result):
                error = result.failure()
                self._check_retry(error, request, budget)
                if isinstance(error, NotSentError):
                    raise request.refusal(503, "owner not reached", RETRY_AFTER_S)
                continue
            answer = result.unwrap()
            if answer.header(OUTCOME_HEADER) != NOT_RUN:
                return answer
            if answer.status != 409:
                raise request.refusal(503, "server is busy", RETRY_AFTER_S)
            if pause_ms is not None:
                self._await_newer(team, service, route, pause_ms)
        raise request.refusal(503, "owner is changing", RETRY_AFTER_S)

    def _owner(self, team, service, index, request):
        """Return the route to a slice's owner, waiting a moment while it moves.

        Nothing has been sent yet, so waiting cannot run a request twice; the wait
        is short because a refusal with a time to come back is better than a queue.
        """
        wait_until_ms = self.clock.now_ms() + self.timing.route_wait_ms
        wait_until_ms = min(wait_until_ms, request.deadline_at_ms)
        while True:
            route = self._route(team, service, index)
            if route is not None:
                return route
            left_ms = wait_until_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise request.refusal(503, "key has no owner", RETRY_AFTER_S)
            self._changed.wait(left_ms / 1000.0)

    def _await_newer(self, team, service, refused, pause_ms):
        """Wait a moment until a refused route was replaced, or its grant has come."""
        until_ms = self.clock.now_ms() + pause_ms
        while (left_ms := until_ms - self.clock.now_ms()) > 0:
            route = self._route(team, service, refused.slice_index)
            if route is not None and route.token > refused.token:
                return
            self._changed.wait(left_ms / 1000.0)

    def _route(self, team, service, index):
        assignment = self.view.assignment(team, service.name)
        if assignment is None or index >= len(assignment.slices):
            return None
        item = assignment.slices[index]
        vm = self.view.vms.get(item.server)
        if item.state != OWNED or vm is None:
            return None
        return _Route(item.server, vm.address, index, item.token)

    def _serve_shared(self, team, service, request):
        """Send to a server of the service; elsewhere if that can do no harm."""
        budget = self._budgets[team, service.name]
        budget.earn()
        tried = set()
        for _ in range(MAX_TRIES):
            route = self._pick(team, service, tried)
            if route is None:
                break
            tried.add(route.server)
            result = self._exchange(route, request)
            if is_successful(result):
                answer = result.unwrap()
                if answer.header(OUTCOME_HEADER) != NOT_RUN:
                    return answer
                if not budget.spend():
                    break
                continue
            error = result.failure()
            if not isinstance(error, AbandonedError):
                self._eject(route.server)
            self._check_retry(error, request, budget)
        raise request.refusal(503, "no server can take it", RETRY_AFTER_S)

    def _pick(self, team, service, tried):
        """Choose the less busy of two servers drawn at random.

        Load: many entries choose at once on stale knowledge. Harm prevented: all of
        them picking the same least loaded server.
        """
        now_ms = self.clock.now_ms()
        usable = [
            vm
            for vm in self.view.servers_of(team, service.name).values()
            if vm.name not in tried
            and vm.state == "live"
            and self.view.domain_in(vm.failure_domain)
            and self._ejected_until_ms.get(vm.name, 0.0) <= now_ms
        ]
        if not usable:
            return None
        drawn = random.sample(usable, min(2, len(usable)))
        best = min(drawn, key=lambda vm: self._in_flight.get(vm.name, 0))
        return _Route(best.name, best.address)

    def _eject(self, server):
        self._ejected_until_ms[server] = self.clock.now_ms() + EJECTION_MS

    def _exchange(self, route, request):
        sent_ms = self.clock.now_ms()
        left_ms = request.deadline_at_ms - sent_ms
        if left_ms <= 0:
            raise request.refusal(504, "deadline passed", RETRY_AFTER_S)
        headers = request.headers + [
            ("X-Request-Id", request.request_id),
            (EXCHANGE_HEADER, next(self._exchange_ids)),
            ("Tarragon-Deadline-Ms", str(int(left_ms))),
        ]
        if route.slice_index >= 0:
            headers.append(("Tarragon-Slice", str(route.slice_index)))
            headers.append(("Tarragon-Token", str(route.token)))
        self._in_flight[route.server] = self._in_flight.get(route.server, 0) + 1
        try:
            return self.pools.at(route.address).exchange(
                request.method,
                request.target,
                headers,
                request.body,
                left_ms,
                request.is_wanted,
            )
        finally:
            self._in_flight[route.server] -= 1
            request.times.service_ms += self.clock.now_ms() - sent_ms

    def _check_retry(self, error, request, budget):
        """Return if a request may be sent again after a failed exchange; else raise.

        A reused connection may have been closed by the server just before the send:
        the failure then looks as if nothing had arrived, but it looks the same if the
        server died after running the request. So only an exchange of which no byte
        left counts as not run.
        """
        if isinstance(error, AbandonedError):
            raise RequestError(499, UNKNOWN, "caller has gone")
        late = self.clock.now_ms() >= request.deadline_at_ms
        if isinstance(error, NotSentError):
            if late:
                raise request.refusal(504, "deadline passed", RETRY_AFTER_S)
            return
        request.in_doubt = True
        if late:
            raise RequestError(504, UNKNOWN, "no whole answer in time")
        if not request.caller_class.idempotent or not budget.spend():
            raise RequestError(502, UNKNOWN, "no whole answer from the server")

    def _wake(self):
        """Let everybody who waits look again."""
        changed, self._changed = self._changed, Event()
        changed.set()


def _refuse(start_response, error, named):
    headers = [("X-Request-Id", named)] if named else []
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    if error.status in CLOSING_STATUSES:
        headers.append(("Connection", "close"))
    return error_reply(start_response, error, headers)
