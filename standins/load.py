"""Callers: a bounded load on the entry daemons that notes what each one got."""

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

WELL = "well"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
WRONG = "wrong"


@attrs.frozen
class Call:
    """One kind of request that callers make.

    Parameters
    ----------
    label : str
    method : str
    make_target : callable
        ``make_target(key) -> str``
    key_header : str
        Header that carries the key; empty for none.
    body_bytes : int
    """

    label: str
    method: str
    make_target: object
    key_header: str = ""
    body_bytes: int = 0


@attrs.frozen
class Outcome:
    """What one caller got for one request."""

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
    """Callers at work.

    Parameters
    ----------
    addresses : list of str
        Caller ports of the entry daemons, as a balancer would know them.
    calls : list of Call
    n_keys : int
    n_callers : int
    pause_ms : float
        Between a caller's requests.
    seed : int
    stopping : bool
        Set it to end the load before its time.
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
        """Send requests for a time; returns once the last one is answered.

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
        kind, status, reason = judge(result, request_id, body)
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
        """Send to a daemon that takes connections, as a balancer would."""
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


def judge(result, request_id, body):
    """Return what a caller got, the status, and the reason of a refusal.

    Parameters
    ----------
    result : Result of Answer, or None
    request_id : str
    body : bytes
        As sent.
    """
    if result is None:
        return NOT_RUN, 0, "no daemon reached"
    if not is_successful(result):
        not_sent = isinstance(result.failure(), NotSentError)
        return (NOT_RUN if not_sent else UNKNOWN), 0, str(result.failure())
    answer = result.unwrap()
    if answer.status == 200:
        wanted = f"request={request_id} body={hashlib.sha256(body).hexdigest()}\n"
        whole = answer.body.endswith(wanted.encode())
        return (WELL if whole else WRONG), 200, ""
    reason = answer.body.decode(errors="replace").strip()
    return answer.header("Tarragon-Outcome", UNKNOWN), answer.status, reason


def summary(outcomes):
    """Return rows of label, count by result, and p50, p99 and maximum in ms."""
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
                **{kind: counts[kind] for kind in (WELL, NOT_RUN, UNKNOWN, WRONG)},
                "p50_ms": times_ms[len(times_ms) // 2],
                "p99_ms": times_ms[int(len(times_ms) * 0.99)],
                "max_ms": times_ms[-1],
            }
        )
    return rows
