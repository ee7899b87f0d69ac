"""A closed-loop load generator for the entry daemons that records every outcome."""

import collections
import hashlib
import itertools
import random
import time
import uuid

import attrs
import gevent
from returns.pipeline import is_successful

from tarragonramp.adapters.http import HttpPools
from tarragonramp.errors import NotSentError

__all__ = ["Call", "Load", "Outcome", "summary"]

SUCCESS = "well"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
MISMATCH = "wrong"


@attrs.frozen
class Call:
    """A kind of request that callers send.

    Parameters
    ----------
    label : str
    method : str
    make_target : callable
        ``make_target(key) -> str``
    key_header : str
        Name of the header that carries the key; empty for none.
    body_bytes : int
    """

    label: str
    method: str
    make_target: object
    key_header: str = ""
    body_bytes: int = 0


@attrs.frozen
class Outcome:
    """Result of one request as its caller saw it.

    Parameters
    ----------
    label : str
        Of the call.
    request_id, method, key : str
    result : {"well", "not-run", "unknown", "wrong"}
        ``wrong`` is a response that does not match the request.
    status : int
        HTTP status; 0 without a response.
    began_ms, total_ms : float
        Start on the monotonic clock, and duration.
    reason : str
        Of a refusal or failure.
    """

    label: str
    request_id: str
    method: str
    key: str
    result: str
    status: int
    began_ms: float
    total_ms: float
    reason: str = ""


@attrs.define
class Load:
    """Callers that each send one request at a time.

    Parameters
    ----------
    addresses : list of str
        Caller addresses of the entry daemons, as a load balancer would know them.
    calls : list of Call
        Drawn from uniformly.
    n_keys : int
        Number of distinct keys.
    n_callers : int
    pause_ms : float
        Pause of a caller between two requests.
    seed : int
    outcomes : list of Outcome
    stopping : bool
        Set to True to stop the load early.
    """

    addresses: list
    calls: list
    n_keys: int = 200
    n_callers: int = 16
    pause_ms: float = 5.0
    seed: int = 1
    outcomes: list = attrs.Factory(list)
    stopping: bool = False
    _pools: HttpPools = attrs.Factory(HttpPools)
    _down_until_ms: dict = attrs.Factory(dict)

    def run(self, duration_s, progress=None):
        """Send requests for a time and wait for the last responses.

        Parameters
        ----------
        duration_s : float
        progress : callable, optional
            ``progress(outcomes)``, called every second.
        """
        until_s = time.monotonic() + duration_s
        tasks = [
            gevent.spawn(self._call_until, until_s, random.Random(self.seed + i))
            for i in range(self.n_callers)
        ]
        while progress is not None and time.monotonic() < until_s:
            gevent.sleep(1.0)
            progress(self.outcomes)
        gevent.joinall(tasks, raise_error=True)

    def _call_until(self, until_s, rng):
        offsets = itertools.count(rng.randrange(len(self.addresses)))
        while time.monotonic() < until_s and not self.stopping:
            call = rng.choice(self.calls)
            self._call_once(call, f"k{rng.randrange(self.n_keys)}", next(offsets))
            gevent.sleep(self.pause_ms / 1000.0)

    def _call_once(self, call, key, offset):
        request_id = uuid.uuid4().hex
        body = request_id.encode().ljust(call.body_bytes, b".")[: call.body_bytes]
        headers = [("X-Request-Id", request_id)]
        if call.key_header:
            headers.append((call.key_header, key))
        began_ms = time.monotonic() * 1000.0
        result = self._send(call, call.make_target(key), headers, body, offset)
        total_ms = time.monotonic() * 1000.0 - began_ms
        kind, status, reason = classify_result(result, request_id, body)
        self.outcomes.append(
            Outcome(
                call.label,
                request_id,
                call.method,
                key,
                kind,
                status,
                began_ms,
                total_ms,
                reason,
            )
        )

    def _send(self, call, target, headers, body, offset):
        """Send to the next daemon that accepts connections, as a load balancer would.

        A daemon that could not be reached is skipped for 500 ms.
        """
        result = None
        for step in range(len(self.addresses)):
            address = self.addresses[(offset + step) % len(self.addresses)]
            if self._down_until_ms.get(address, 0) > time.monotonic() * 1000.0:
                continue
            pool = self._pools.at(address)
            result = pool.exchange(call.method, target, headers, body, 10_000)
            if is_successful(result) or not isinstance(result.failure(), NotSentError):
                return result
            self._down_until_ms[address] = time.monotonic() * 1000.0 + 500.0
        return result


def classify_result(result, request_id, body):
    """Return the outcome's result, HTTP status and reason.

    Parameters
    ----------
    result : Result of Response, or None
        None if every daemon was being skipped.
    request_id : str
    body : bytes
        Of the request.
    """
    if result is None:
        return NOT_RUN, 0, "no daemon reached"
    if not is_successful(result):
        not_sent = isinstance(result.failure(), NotSentError)
        return (NOT_RUN if not_sent else UNKNOWN), 0, str(result.failure())
    response = result.unwrap()
    if response.status == 200:
        expected = f"request={request_id} body={hashlib.sha256(body).hexdigest()}\n"
        is_match = response.body.endswith(expected.encode())
        return (SUCCESS if is_match else MISMATCH), 200, ""
    reason = response.body.decode(errors="replace").strip()
    return response.header("Tarragon-Outcome", UNKNOWN), response.status, reason


def summary(outcomes):
    """Return a row for each label: counts by result, and p50, p99 and max in ms."""
    by_label = collections.defaultdict(list)
    for outcome in outcomes:
        by_label[outcome.label].append(outcome)
    rows = []
    for label, items in sorted(by_label.items()):
        counts = collections.Counter(item.result for item in items)
        times_ms = sorted(item.total_ms for item in items)
        rows.append(
            {
                "label": label,
                **{
                    kind: counts[kind] for kind in (SUCCESS, NOT_RUN, UNKNOWN, MISMATCH)
                },
                "p50_ms": times_ms[len(times_ms) // 2],
                "p99_ms": times_ms[int(len(times_ms) * 0.99)],
                "max_ms": times_ms[-1],
            }
        )
    return rows
