"""A stand-in for the users' backend servers, as their documentation describes them."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import errno  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import re  # noqa: E402
import signal  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402

from tarragonramp.adapters import web  # noqa: E402
from tarragonramp.adapters.http import HttpPool  # noqa: E402
from tarragonramp.adapters.web import HEADERS_KEY, WebHandler  # noqa: E402

HEARTBEAT_INTERVAL_MS = 300.0
LOG, FAULTS = "/stand-in/log", "/stand-in/faults"
GRANT, RELEASE, HEALTH = "/-/grant", "/-/release", "/health"
RESET = struct.pack("ii", 1, 0)
_ID_LINE = re.compile(rb"\r\nRequest-Id: [^\r]*")


@attrs.define
class ServerFaults:
    """Number of further requests for which each fault occurs.

    Parameters
    ----------
    shed : int
        Refused without being executed.
    lose : int
        Executed; the connection is closed without a response.
    truncate : int
        The response ends before its declared length.
    foreign : int
        The response carries the id of another request.
    unmarked : int
        The response lacks the header ``Upstream-Stamp``.
    silent_grants : int
        Grants that are applied but not answered in time.
    copy_answers : int
        Grants and releases whose answer is followed by a copy, sent late, where the
        next answer on the connection is expected.
    copy_responses, copy_without_id, copy_health : int
        Responses to requests, to requests but with a copy that lacks the id, and to
        health checks that are followed by such a copy.
    cut_heads : int
        Executed; the response ends at any place of its head, with a close or a reset.
    unstated : int
        Executed; the response is 503 and does not say whether it was.
    odd_status : int
        Executed; the status of the response is ``status``.
    status : str
        A status that HTTP does not know.
    share : float
        Probability of each of these faults while its counter is above 0.
    limit : str
        Value of ``Server-Limit`` in the answers to requests; none if empty.
    retry_after : str
        If not empty, all requests are refused with this value of ``Retry-After``.
    leaving : str
        Value of ``Server-Leaving`` in all answers; none if empty.
    """

    shed: int = 0
    lose: int = 0
    truncate: int = 0
    foreign: int = 0
    unmarked: int = 0
    silent_grants: int = 0
    copy_answers: int = 0
    copy_responses: int = 0
    copy_without_id: int = 0
    copy_health: int = 0
    cut_heads: int = 0
    unstated: int = 0
    odd_status: int = 0
    status: str = "000"
    share: float = 1.0
    limit: str = ""
    retry_after: str = ""
    leaving: str = ""

    def consume(self, name):
        """Tell whether a fault occurs now, and decrement its counter."""
        left = getattr(self, name)
        if left > 0 and random.random() >= self.share:
            return False
        setattr(self, name, max(0, left - 1))
        return left > 0


@attrs.define(eq=False, repr=False)
class FleetServer:
    """One process instance of a server.

    Parameters
    ----------
    name, service, domain : str
    address : str
        At which others reach it.
    divided : bool
    slots : int
        Requests executed concurrently.
    work_ms : float
        Duration of an execution.
    born : int
        Start of the process, as Unix time in milliseconds.
    hold_ends_s : dict of (int, int) to float
        End of the hold of each range, on the monotonic clock.
    tokens : dict of (int, int) to int
        Highest fencing token seen for each range.
    log : list of list
        Events with their Unix time in milliseconds and details.
    deadly_path : str
        Part of the paths of requests that end this process; none if empty.
    deadly_after_ms : float
        How long after it began to execute such a request the process ends.
    answer_bytes : int
        Length of the bodies of answers to paths that end with ``large``.
    """

    name: str
    service: str
    domain: str
    address: str
    divided: bool
    slots: int
    work_ms: float
    born: int = attrs.Factory(lambda: int(time.time() * 1000))
    hold_ends_s: dict = attrs.Factory(dict)
    tokens: dict = attrs.Factory(dict)
    log: list = attrs.Factory(list)
    faults: ServerFaults = attrs.Factory(ServerFaults)
    deadly_path: str = ""
    deadly_after_ms: float = 20.0
    answer_bytes: int = 0
    draining: bool = False
    is_deregistering: bool = False
    running: int = 0
    waiting: int = 0
    running_keys: list = attrs.Factory(list)

    def __call__(self, environ, start_response):
        """Handle one request; each response returns the id of its request."""
        headers = dict(environ[HEADERS_KEY])
        request_id = headers.get("request-id")

        def start(status, response_headers):
            if request_id and "Request-Id" not in dict(response_headers):
                response_headers = [*response_headers, ("Request-Id", request_id)]
            if request_id and self.faults.limit:
                limit = ("Server-Limit", self.faults.limit)
                response_headers = [*response_headers, limit]
            if self.faults.leaving:
                leaving = ("Server-Leaving", self.faults.leaving)
                response_headers = [*response_headers, leaving]
                if request_id:
                    self._record("leaving-said", request_id)
            return start_response(status, response_headers)

        return self._handle(environ, headers, start)

    def _handle(self, environ, headers, start_response):
        body = environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        if path == LOG:
            return _reply(start_response, 200, json.dumps(self.log).encode())
        if path == FAULTS:
            for name, value in json.loads(body).items():
                setattr(self.faults, name, value)
            return _reply(start_response, 200, b"{}")
        if path == HEALTH:
            return self._report_health(start_response)
        expected = headers.get("expect-upstream")
        if expected and expected != self.name:
            return self._not_run(start_response, 421)
        if path == GRANT:
            return self._grant(json.loads(body), start_response)
        if path == RELEASE:
            return self._release(json.loads(body), start_response)
        if "request-id" not in headers:
            return self._not_run(start_response, 400)
        return self._run(environ, headers, body, start_response)

    def _report_health(self, start_response):
        headers = [("Upstream-Id", self.name), self._load_header()]
        status = 503 if self.draining else 200
        return _reply(start_response, status, b"", headers)

    def _load_header(self):
        return "Upstream-Load", f"{self.running},{self.waiting},{self.slots},100"

    def _grant(self, message, start_response):
        keys = message["from"], message["to"]
        if any(
            token > message["fence"]
            for (first, last), token in self.tokens.items()
            if first <= keys[1] and last >= keys[0]
        ):
            return _reply(start_response, 409, b"{}")
        hold_s = float(message["hold_time"].removesuffix("ms")) / 1000.0
        self.tokens[keys] = message["fence"]
        self.hold_ends_s[keys] = time.monotonic() + hold_s
        self._record("grant", *keys, message["fence"], hold_s * 1000)
        if self.faults.consume("silent_grants"):
            gevent.sleep(30.0)
        return _reply(start_response, 200, b"{}")

    def _release(self, message, start_response):
        """Release keys, which may be a part of what was granted.

        In the log, a grant that is cut ends, and each part that is left begins.
        """
        first, last = keys = message["from"], message["to"]
        cut = [k for k in self.hold_ends_s if k[0] <= last and k[1] >= first]
        ends_s = {held: self.hold_ends_s.pop(held) for held in cut}
        rests = {
            (a, b): (held, end_s)
            for held, end_s in ends_s.items()
            for a, b in ((held[0], first - 1), (last + 1, held[1]))
            if a <= b
        }
        for rest, (held, end_s) in rests.items():
            self.tokens.setdefault(rest, self.tokens[held])
            self.hold_ends_s[rest] = max(end_s, self.hold_ends_s.get(rest, 0.0))
        while any(first <= key <= last for key in self.running_keys):
            gevent.sleep(0.002)
        for held in cut:
            if held != keys:
                self._record("release", *held, self.tokens[held])
        for rest, (held, end_s) in rests.items():
            left_ms = (end_s - time.monotonic()) * 1000
            if left_ms > 0:
                self._record("grant", *rest, self.tokens[held], left_ms)
        self._record("release", *keys, message["fence"])
        return _reply(start_response, 200, b"{}", [("Handover", "h")])

    def _owns_key(self, key):
        now_s = time.monotonic()
        return any(
            a <= key <= b and now_s < end for (a, b), end in self.hold_ends_s.items()
        )

    def _run(self, environ, headers, body, start_response):
        key = headers.get("shard-key")
        self._record("arrival", headers["request-id"], self.faults.limit)
        team, secret = headers.get("tenant"), headers.get("authorization")
        if team is not None or secret is not None:
            self._record("caller", headers["request-id"], team, secret)
        if self.divided and not self._owns_key(int(key)):
            return self._not_run(start_response, 421)
        if self.faults.retry_after:
            pause = self.faults.retry_after
            self._record("asked-to-wait", headers["request-id"], pause)
            return self._not_run(start_response, 503, ("Retry-After", pause))
        if self.faults.consume("shed") or self.waiting > 4 * self.slots:
            return self._not_run(start_response, 503)
        self.waiting += 1
        while self.running >= self.slots:
            gevent.sleep(0.002)
        self.waiting -= 1
        if self.divided and not self._owns_key(int(key)):
            return self._not_run(start_response, 421)
        self.running += 1
        keys = [int(key)] if self.divided else []
        self.running_keys += keys
        request_id = headers["request-id"]
        method = environ["REQUEST_METHOD"]
        self._record("run", request_id, method, key, headers.get("deadline-ms"))
        if self.deadly_path and self.deadly_path in environ["PATH_INFO"]:
            gevent.sleep(self.deadly_after_ms / 1000.0)
            self._record("ended-by", request_id)
            os._exit(1)
        gevent.sleep(self.work_ms / 1000.0)
        self.running -= 1
        for running_key in keys:
            self.running_keys.remove(running_key)
        return self._respond(environ, request_id, body, start_response)

    def _record(self, event, *details):
        """Log an event, also to standard output, which outlives this process."""
        entry = [event, time.time() * 1000, *details]
        self.log.append(entry)
        print(json.dumps([self.name, self.born, *entry]), flush=True)

    def _respond(self, environ, request_id, body, start_response):
        text = f"{self.name} {environ['PATH_INFO']} {len(body)}".encode()
        if environ["PATH_INFO"].endswith("large"):
            text = text.ljust(self.answer_bytes)
        if self.faults.consume("unstated"):
            return _reply(start_response, 503, b"")
        if self.faults.consume("lose"):
            raise ConnectionResetError(errno.ECONNRESET, "injected: response lost")
        headers = [
            ("Request-Id", "other" if self.faults.consume("foreign") else request_id),
            self._load_header(),
        ]
        if not self.faults.consume("unmarked"):
            headers.append(("Upstream-Stamp", f"mark.{request_id}"))
        if self.faults.consume("odd_status"):
            return _reply(start_response, self.faults.status, text, headers)
        if self.faults.consume("truncate"):
            start_response("200 OK", [*headers, ("Content-Length", "999")])
            return [text]
        return _reply(start_response, 200, text, headers)

    def _not_run(self, start_response, status, *headers):
        return _reply(start_response, status, b"", [("Not-Executed", "1"), *headers])

    def entry(self, sequence):
        """Return the server's entry in the store."""
        return {
            "addr": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.domain,
                "slots": self.slots,
            },
            "status": {
                "state": "draining" if self.draining else "ready",
                "seq": sequence,
                "warmupLeft": "0ms",
            },
        }

    def run_heartbeats(self, store):
        """Write the server's entry into the store until it is to be deregistered."""
        pool, sequence = HttpPool(store), 0
        while not self.is_deregistering:
            sequence += 1
            entry = self.entry(sequence)
            _control_store(pool, write=["servers", self.name, entry, None])
            gevent.sleep(HEARTBEAT_INTERVAL_MS / 1000.0)
        _control_store(pool, delete=["servers", self.name])
        self._record("draining")


class CopyingHandler(WebHandler):
    """Sends copies of some answers before the next answer on their connection."""

    _copy = b""

    def read_requestline(self):
        """Wait for the next request; send the copy of the last answer, if any."""
        line = super().read_requestline()
        if line and self._copy:
            copy, self._copy = self._copy, b""
            self.server.application._record("copy", copy[9:12].decode())
            self.socket.sendall(copy)
        return line

    def _sendall(self, data):
        faults, is_head = self.server.application.faults, data.startswith(b"HTTP/1.1 ")
        if is_head and _ID_LINE.search(data) and faults.consume("cut_heads"):
            super()._sendall(data[: random.randrange(data.index(b"\r\n\r\n") + 3)])
            if random.random() < 0.5:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.socket.shutdown(socket.SHUT_RDWR)
            raise ConnectionResetError(errno.ECONNRESET, "injected: response cut")
        super()._sendall(data)
        if not is_head:
            return
        if self.path in (GRANT, RELEASE, HEALTH):
            fault = "copy_health" if self.path == HEALTH else "copy_answers"
            self._copy = data if faults.consume(fault) else b""
        elif _ID_LINE.search(data) and faults.consume("copy_responses"):
            self._copy = data
        elif _ID_LINE.search(data) and faults.consume("copy_without_id"):
            self._copy = _ID_LINE.sub(b"", data)


class WebServer(web.WebServer):
    """A web server that may send copies of answers.

    ``main`` looks up this class and ``FleetServer`` by name, so that other programs can
    put classes of their own in their place.
    """

    handler_class = CopyingHandler


def _control_store(store, **command):
    store.exchange("POST", "/control", (), json.dumps(command).encode(), 500)


def _reply(start_response, status, body, headers=()):
    start_response(f"{status} Status", [("Content-Length", str(len(body))), *headers])
    return [body]


def main():
    """Serve until the process is killed.

    On SIGUSR1 the server's entry announces that it drains; on SIGUSR2 the entry is
    removed without an announcement. In both cases the server continues to serve.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("name", "service", "domain", "address", "store"):
        parser.add_argument(name)
    parser.add_argument("--divided", action="store_true")
    parser.add_argument("--listen", help="address to bind, if it differs from ADDRESS")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--deadly-path", default="")
    parser.add_argument("--deadly-after-ms", type=float, default=20.0)
    parser.add_argument("--answer-bytes", type=int, default=0)
    options = parser.parse_args()
    server = FleetServer(
        options.name,
        options.service,
        options.domain,
        options.address,
        options.divided,
        options.slots,
        options.work_ms,
        deadly_path=options.deadly_path,
        deadly_after_ms=options.deadly_after_ms,
        answer_bytes=options.answer_bytes,
    )

    def start_draining():
        server.draining = True
        server._record("draining")

    def deregister():
        server.is_deregistering = True

    gevent.signal_handler(signal.SIGUSR1, start_draining)
    gevent.signal_handler(signal.SIGUSR2, deregister)
    gevent.spawn(server.run_heartbeats, options.store)
    WebServer(options.listen or options.address, server).serve_forever()


if __name__ == "__main__":
    main()
