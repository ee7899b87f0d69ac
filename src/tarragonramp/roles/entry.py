"""Takes callers' requests and brings back whole answers."""

import random
import urllib.parse
import uuid

import attrs
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.web import REASONS
from ..errors import NotSentError, RequestError
from ..meters import ANSWERED, NOT_RUN, UNKNOWN
from ..model import OWNED, CallerClass
from ..slices import slice_of

__all__ = ["Entry"]

INNER_PREFIX = "tarragon-"
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
RETRY_AFTER_S = 1.0
EJECTION_MS = 1000
DEFAULT_CLASS = CallerClass("default", ())


@attrs.define
class _Request:
    method: str
    target: str
    headers: list
    body: bytes
    request_id: str
    deadline_at_ms: float
    times: object


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

    def __attrs_post_init__(self):
        """Wake requests that wait for a route whenever the view changes."""
        self.view.on_change(self._wake)

    def __call__(self, environ, start_response):
        """Serve one request of a caller."""
        times = self.meter.begin(self.clock.now_ms())
        outcome = UNKNOWN
        try:
            answer = self._serve(environ, times)
            outcome = ANSWERED
        except RequestError as error:
            outcome = error.outcome
            return _refuse(start_response, error)
        finally:
            self.meter.finish(times, outcome, self.clock.now_ms())
        headers = [(k, v) for k, v in answer.headers if k.lower() not in HOP_HEADERS]
        headers.append(("Content-Length", str(len(answer.body))))
        reason = REASONS.get(answer.status, f"{answer.status} Status")
        start_response(reason, headers)
        return [answer.body]

    def _serve(self, environ, times):
        path = environ["PATH_INFO"]
        found = self.view.service_at(path)
        if found is None:
            raise RequestError(404, NOT_RUN, "no service at this path")
        team, service = found
        times.service = f"{team}/{service.name}"
        caller_class = class_of(service, environ["REQUEST_METHOD"], path)
        request = self._read(environ, caller_class, times)
        if not service.divided:
            return self._serve_shared(team, service, request, caller_class)
        key = key_of(service, environ)
        if not key:
            raise RequestError(400, NOT_RUN, "the request carries no key")
        return self._serve_divided(team, service, key, request, caller_class)

    def _read(self, environ, caller_class, times):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self.limits.body_bytes:
            raise RequestError(413, NOT_RUN, "body longer than the limit")
        body = environ["wsgi.input"].read(self.limits.body_bytes + 1)
        if len(body) > self.limits.body_bytes:
            raise RequestError(413, NOT_RUN, "body longer than the limit")
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        return _Request(
            method=environ["REQUEST_METHOD"],
            target=_target(environ),
            headers=_caller_headers(environ),
            body=body,
            request_id=request_id,
            deadline_at_ms=times.began_ms + caller_class.deadline_ms,
            times=times,
        )

    def _serve_divided(self, team, service, key, request, caller_class):
        """Send to the owner; once more if the route was out of date."""
        stale_token = -1
        for _ in range(2):
            route = self._owner(team, service, key, request, stale_token)
            result = self._exchange(route, request)
            if not is_successful(result):
                self._give_up(result.failure())
            answer = result.unwrap()
            if answer.header("Tarragon-Outcome") != NOT_RUN:
                return answer
            if answer.status != 409:
                raise RequestError(503, NOT_RUN, "server is busy", RETRY_AFTER_S)
            stale_token = route.token
        raise RequestError(503, NOT_RUN, "owner is changing", RETRY_AFTER_S)

    def _owner(self, team, service, key, request, stale_token):
        """Return the route to a key's owner, waiting a moment while it moves.

        Nothing has been sent yet, so waiting cannot run a request twice; the wait
        is short because a refusal with a time to come back is better than a queue.
        """
        index = slice_of(key, service.n_slices)
        wait_until_ms = self.clock.now_ms() + self.timing.route_wait_ms
        wait_until_ms = min(wait_until_ms, request.deadline_at_ms)
        while True:
            route = self._route(team, service, index)
            if route is not None and route.token > stale_token:
                return route
            left_ms = wait_until_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise RequestError(503, NOT_RUN, "key has no owner", RETRY_AFTER_S)
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

    def _serve_shared(self, team, service, request, caller_class):
        tried = set()
        in_doubt = False
        while True:
            route = self._pick(team, service, tried)
            if route is None and in_doubt:
                # An earlier try may have run, so "not run" would not be true.
                raise RequestError(502, UNKNOWN, "no whole answer from any server")
            if route is None:
                raise RequestError(503, NOT_RUN, "no server can take it", RETRY_AFTER_S)
            tried.add(route.server)
            result = self._exchange(route, request, in_doubt)
            if is_successful(result):
                answer = result.unwrap()
                if answer.header("Tarragon-Outcome") != NOT_RUN:
                    return answer
                continue
            self._eject(route.server)
            error = result.failure()
            if isinstance(error, NotSentError):
                continue
            if not caller_class.idempotent:
                self._give_up(error)
            in_doubt = True

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

    def _exchange(self, route, request, in_doubt=False):
        sent_ms = self.clock.now_ms()
        left_ms = request.deadline_at_ms - sent_ms
        if left_ms <= 0 and in_doubt:
            raise RequestError(504, UNKNOWN, "deadline passed")
        if left_ms <= 0:
            raise RequestError(504, NOT_RUN, "deadline passed", RETRY_AFTER_S)
        headers = request.headers + [
            ("X-Request-Id", request.request_id),
            ("Tarragon-Deadline-Ms", str(int(left_ms))),
        ]
        if route.slice_index >= 0:
            headers.append(("Tarragon-Slice", str(route.slice_index)))
            headers.append(("Tarragon-Token", str(route.token)))
        self._in_flight[route.server] = self._in_flight.get(route.server, 0) + 1
        try:
            return self.pools.at(route.address).exchange(
                request.method, request.target, headers, request.body, left_ms
            )
        finally:
            self._in_flight[route.server] -= 1
            request.times.service_ms += self.clock.now_ms() - sent_ms

    def _give_up(self, error):
        if isinstance(error, NotSentError):
            raise RequestError(503, NOT_RUN, "owner not reached", RETRY_AFTER_S)
        raise RequestError(502, UNKNOWN, "no whole answer from the server")

    def _wake(self):
        """Let everybody who waits look again."""
        changed, self._changed = self._changed, Event()
        changed.set()


def class_of(service, method, path):
    """Return the caller class of a request: the first one that matches."""
    rest = path[len(service.path_prefix) :] or "/"
    for item in service.classes:
        if method in item.methods and rest.startswith(item.path_prefix):
            return item
    return DEFAULT_CLASS


def key_of(service, environ):
    """Return the key that a request carries; empty if it carries none."""
    divisor = service.divided_by
    if divisor.source == "header":
        name = divisor.name.upper().replace("-", "_")
        return environ.get(f"HTTP_{name}", "")
    if divisor.source == "query":
        fields = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        return fields.get(divisor.name, [""])[0]
    rest = environ["PATH_INFO"][len(service.path_prefix) :].strip("/").split("/")
    position = int(divisor.name)
    return rest[position] if position < len(rest) else ""


def _target(environ):
    path = urllib.parse.quote(environ["PATH_INFO"], safe="/:@!$&'()*+,;=~-._")
    query = environ.get("QUERY_STRING", "")
    return f"{path}?{query}" if query else path


def _caller_headers(environ):
    """Return end-to-end headers; none that only this project may set."""
    headers = []
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").lower()
        if header in HOP_HEADERS or header.startswith(INNER_PREFIX):
            continue
        if header != "x-request-id":
            headers.append((header, value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return headers


def _refuse(start_response, error):
    body = f'{{"outcome": "{error.outcome}", "reason": "{error.reason}"}}\n'.encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Tarragon-Outcome", error.outcome),
    ]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    start_response(REASONS[error.status], headers)
    return [body]
