"""A stand-in for a backend server that owns keys under fenced grants.

Each execution is written to a log file, one JSON object per line. One process can
serve several backend servers, each at its own address.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import hashlib  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
import uuid  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.lock import Semaphore  # noqa: E402

from tarragonramp.adapters.web import (  # noqa: E402
    REASONS,
    WebServer,
    caller_disconnected,
    json_reply,
)

from .pauses import watch_pauses  # noqa: E402

CANCELLATION_CHECK_MS = 20.0
OVERLOAD_STALL_MS = 1000.0


def response_body(boot_id, request_id, body):
    """Return the response body of an execution.

    It contains the request id and a digest of the request body, so that callers can
    verify that they received the response to their own request.
    """
    digest = hashlib.sha256(body).hexdigest()
    return f"boot={boot_id} request={request_id} body={digest}\n".encode()


@attrs.define(eq=False, repr=False)
class BackendStandIn:
    """One backend server.

    Parameters
    ----------
    name : str
    log : file object
    divided : bool
        Whether requests need a grant.
    slots : int
        Requests executed concurrently. Requests are shed once eight times as many
        are executing or queued.
    work_ms : float
        Duration of an execution.
    checks_grants : bool, default=True
        Whether a divided server refuses requests without a valid grant.
    cold_slots : int
        Requests that may be in flight during a cold start; with more of them every
        additional request stalls.
    cold_until_ms : float
        End of the cold start on the monotonic clock.
    in_flight : int
    cold_excess : int
        Most requests beyond ``cold_slots`` that were in flight during a cold start.
    cancelled : list of str
        Ids of requests that were abandoned or exceeded their deadline.
    """

    name: str
    log: object
    divided: bool
    slots: int
    work_ms: float
    checks_grants: bool = True
    cold_slots: int = 0
    cold_until_ms: float = 0.0
    in_flight: int = 0
    cold_excess: int = 0
    boot_id: str = attrs.Factory(lambda: uuid.uuid4().hex[:12])
    term: int = 0
    sequence: int = 0
    tokens: dict = attrs.Factory(dict)
    until_ms: float = 0.0
    waiting: int = 0
    cancelled: list = attrs.Factory(list)
    _slots: Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the semaphore that limits concurrent executions."""
        self._slots = Semaphore(self.slots)

    def __call__(self, environ, start_response):
        """Handle a control call or a caller's request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == "/tarragon/clock":
            return json_reply(start_response, 200, self._control_payload())
        if path == "/tarragon/grant":
            accepted = self._apply_grant(json.loads(body))
            return json_reply(
                start_response, 200 if accepted else 409, self._control_payload()
            )
        if path == "/standin/cancelled":
            return json_reply(start_response, 200, self.cancelled)
        if path == "/standin/cold":
            self.cold_until_ms = clock_ms() + json.loads(body)["for_ms"]
            return json_reply(start_response, 200, {})
        self.in_flight += 1
        try:
            if self.cold and self.in_flight > self.cold_slots:
                excess = self.in_flight - self.cold_slots
                self.cold_excess = max(self.cold_excess, excess)
                gevent.sleep(OVERLOAD_STALL_MS / 1000.0)
            return self._serve(environ, body, start_response)
        finally:
            self.in_flight -= 1

    def _control_payload(self):
        return {
            "boot_id": self.boot_id,
            "clock_ms": clock_ms(),
            "term": self.term,
            "sequence": self.sequence,
            "cold": self.cold,
        }

    @property
    def cold(self):
        """Whether the server is in a cold start."""
        return clock_ms() < self.cold_until_ms

    def _apply_grant(self, grant):
        offered = (grant["term"], grant["sequence"])
        if grant["boot_id"] != self.boot_id or offered < (self.term, self.sequence):
            return False
        self.term, self.sequence = offered
        self.tokens = {
            index: token
            for first, count, token in grant["tokens"]
            for index in range(first, first + count)
        }
        self.until_ms = grant["until_ms"]
        return True

    def _serve(self, environ, body, start_response):
        if self.waiting >= self.slots * 8:
            return _not_run(start_response, 503, "overloaded")
        self.waiting += 1
        try:
            with self._slots:
                return self._execute(environ, body, start_response)
        finally:
            self.waiting -= 1

    def _execute(self, environ, body, start_response):
        started_ms = clock_ms()
        if not self._owns(environ):
            return _not_run(start_response, 409, "not the owner")
        deadline_ms = float(environ.get("HTTP_TARRAGON_DEADLINE_MS", "inf"))
        if not self._simulate_work(environ, started_ms + deadline_ms):
            self.cancelled.append(environ.get("HTTP_X_REQUEST_ID", ""))
            return _not_run(start_response, 503, "cancelled or too late")
        if not self._owns(environ):
            # Logging the execution stands for its effect. No other greenlet runs
            # between this check and the log entry, so the two are atomic.
            return _not_run(start_response, 409, "no longer the owner")
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        self._log_execution(environ, request_id, started_ms)
        answer = response_body(self.boot_id, request_id, body)
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(answer))),
            ("X-Request-Id", request_id),
            ("X-Server", self.name),
        ]
        if self.cold:
            headers.append(("Tarragon-Cold", "1"))
        start_response(REASONS[200], headers)
        return [answer]

    def _simulate_work(self, environ, deadline_at_ms):
        """Sleep for ``work_ms``; return False if cancelled or past the deadline."""
        left_ms = self.work_ms
        while left_ms > 0:
            gevent.sleep(min(left_ms, CANCELLATION_CHECK_MS) / 1000.0)
            left_ms -= CANCELLATION_CHECK_MS
            if left_ms > 0 and caller_disconnected(environ):
                return False
        return clock_ms() <= deadline_at_ms

    def _owns(self, environ):
        if not self.divided or not self.checks_grants:
            return True
        index = int(environ.get("HTTP_TARRAGON_SLICE", "-1"))
        token = int(environ.get("HTTP_TARRAGON_TOKEN", "-1"))
        return self.tokens.get(index) == token and clock_ms() < self.until_ms

    def _log_execution(self, environ, request_id, started_ms):
        entry = {
            "server": self.name,
            "boot_id": self.boot_id,
            "request_id": request_id,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "slice": int(environ.get("HTTP_TARRAGON_SLICE", "-1")),
            "token": int(environ.get("HTTP_TARRAGON_TOKEN", "-1")),
            "started_ms": started_ms,
            "ended_ms": clock_ms(),
            "until_ms": self.until_ms,
            "steward_term": None,
            "cold_excess": self.cold_excess,
        }
        if self.divided and not self.checks_grants:
            deadline_ms = float(environ.get("HTTP_TARRAGON_DEADLINE_MS", "inf"))
            entry["until_ms"] = started_ms + deadline_ms
            entry["steward_term"] = int(environ.get("HTTP_TARRAGON_TERM", "0"))
        self.log.write(json.dumps(entry) + "\n")
        self.log.flush()


def clock_ms():
    """Return the machine's monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


def _not_run(start_response, status, reason):
    body = f"not run: {reason}\n".encode()
    headers = [("Content-Length", str(len(body))), ("Tarragon-Outcome", "not-run")]
    start_response(REASONS[status], headers)
    return [body]


def main():
    """Serve the given addresses until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, nargs="+")
    parser.add_argument("--name", required=True, nargs="+")
    parser.add_argument("--log", required=True)
    parser.add_argument("--divided", action="store_true")
    parser.add_argument("--unchecked", action="store_true")
    parser.add_argument("--cold-ms", type=float, default=0.0)
    parser.add_argument("--cold-slots", type=int, default=1)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--work-ms", type=float, default=5.0)
    options = parser.parse_args()
    with open(options.log, "a", encoding="utf-8") as log:
        for address, name in zip(options.address, options.name, strict=True):
            server = BackendStandIn(
                name,
                log,
                options.divided,
                options.slots,
                options.work_ms,
                not options.unchecked,
                options.cold_slots,
                clock_ms() + options.cold_ms,
            )
            WebServer(address, server).start()
        watch_pauses()
        gevent.get_hub().join()


if __name__ == "__main__":
    main()
