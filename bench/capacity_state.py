"""Measures encoded size, memory and processing time of state, in this process."""

import json
import random
import time
import tracemalloc
import zlib

import attrs

from tarragonramp.adapters import backends
from tarragonramp.leases import GrantLedger, ServerAnswer
from tarragonramp.model import (
    KIND_ASSIGNMENT,
    KIND_AUDIT_ENTRY,
    KIND_MEMBER,
    KIND_TERM,
    OWNED,
    Assignment,
    Member,
    SliceState,
    Stored,
    Term,
    Vm,
)
from tarragonramp.placement import ServerView, next_slices
from tarragonramp.view import View

__all__ = [
    "measure_assignment",
    "measure_grants",
    "measure_objects",
]


def measure_assignment(n_slices, n_servers, is_scattered):
    """Measure the assignment of one service.

    Parameters
    ----------
    n_slices, n_servers : int
    mixed : bool
        Whether owners and tokens are random, the worst case for the encoding as ranges;
        else each server owns one contiguous range.
    """
    assignment = _assignment(n_slices, n_servers, is_scattered)
    encoded = json.dumps(assignment.to_spec()).encode()
    spec = json.loads(encoded)
    servers = {f"records{i}": ServerView(f"records{i}") for i in range(n_servers)}
    planning_ms = _time_ms(lambda: next_slices(assignment.slices, servers, set()))
    without_one = dict(list(servers.items())[1:])
    replanning_ms = _time_ms(lambda: next_slices(assignment.slices, without_one, set()))
    return {
        "slices": n_slices,
        "servers": n_servers,
        "owners": "at random" if is_scattered else "in stretches",
        "spec bytes": len(encoded),
        "zlib bytes": len(zlib.compress(encoded)),
        "encode ms": _time_ms(lambda: json.dumps(assignment.to_spec())),
        "parse ms": _time_ms(lambda: json.loads(encoded)),
        "read ms": _time_ms(lambda: Assignment.from_spec(spec)),
        "decide ms": planning_ms,
        "decide, one lost ms": replanning_ms,
        "held by a view bytes": _retained_bytes(lambda: _view_of_assignment(encoded)),
    }


def measure_grants(slice_counts):
    """Measure the grant of one server by its number of slices.

    Each number is measured with contiguous slices and with every second slice.
    """
    rows = []
    for n_slices in slice_counts:
        for is_scattered in (False, True):
            step = 2 if is_scattered else 1
            tokens = {i * step: 7 for i in range(n_slices)}
            rows.append(_grant_row(tokens, is_scattered))
    return rows


def measure_objects(counts):
    """Measure objects in a view, by kind of object and number."""
    factories = {
        KIND_MEMBER: _member_stored,
        KIND_TERM: _term_stored,
        KIND_AUDIT_ENTRY: _audit_stored,
    }
    rows = []
    for n in counts:
        for kind, factory in factories.items():
            rows.append(_view_row(kind, factory, n))
        rows.append(_vms_row(n))
    return rows


def _assignment(n_slices, n_servers, is_scattered):
    rng = random.Random(1)
    slices = []
    for index in range(n_slices):
        owner = (
            rng.randrange(n_servers) if is_scattered else index * n_servers // n_slices
        )
        token = rng.randrange(1, 100) if is_scattered else 1
        slices.append(SliceState(OWNED, f"records{owner}", token))
    stewards = {f"records{i}": 1 for i in range(n_servers)}
    return Assignment("sized", "records", tuple(slices), stewards, "0" * 32)


def _view_of_assignment(encoded):
    view = View()
    view.apply(Stored(KIND_ASSIGNMENT, "sized.records", 1, json.loads(encoded)))
    view.assignment("sized", "records")
    return view


def _grant_row(tokens, is_scattered):
    ledger = GrantLedger(term=3, grant_ms=1200.0, inherited_end_ms=0.0)
    ledger.observe(ServerAnswer("0123456789ab", 1000.0), 0.0, 1.0)
    grant = ledger.next_grant(tokens, 2.0)
    encode = lambda: json.dumps({"tokens": backends._ranges(grant.tokens)})
    return {
        "slices": len(tokens),
        "owned": "every second slice" if is_scattered else "in a stretch",
        "token bytes": len(encode()),
        "encode ms": _time_ms(encode),
    }


def _view_row(kind, factory, n):
    def fill():
        view = View()
        for i in range(n):
            view.apply(factory(i))
        view.all_of(kind)
        return view

    view = fill()
    spec_bytes = len(json.dumps(attrs.asdict(factory(1))))
    return {
        "kind": kind,
        "objects": n,
        "bytes on the wire each": spec_bytes,
        "held bytes each": _retained_bytes(fill) / n,
        "apply all ms": _time_ms(fill),
        "all_of ms": _time_ms(lambda: view.all_of(kind)),
    }


def _vms_row(n):
    raw = [attrs.asdict(_vm(i)) for i in range(n)]
    encoded = json.dumps({"items": raw})

    def fill():
        view = View()
        view.apply_vms([Vm(**item) for item in json.loads(encoded)["items"]])
        return view

    view = fill()
    return {
        "kind": "VM list",
        "objects": n,
        "bytes on the wire each": len(encoded) / n,
        "held bytes each": _retained_bytes(fill) / n,
        "apply all ms": _time_ms(fill),
        "all_of ms": _time_ms(lambda: view.servers_of("sized", "records")),
    }


def _member_stored(i):
    member = Member(
        f"entry-{i:03}",
        f"{i:012x}",
        "abcde"[i % 5],
        f"10.0.{i % 250}.1:7001",
        f"10.0.{i % 250}.1:7002",
    )
    return Stored(KIND_MEMBER, member.name, i + 1, attrs.asdict(member))


def _term_stored(i):
    term = Term(3, f"entry-{i:03}#{i:012x}", f"entry-{i + 1:03}#{i + 1:012x}", "0" * 32)
    return Stored(
        KIND_TERM, f"steward.sized.records.records{i}", i + 1, attrs.asdict(term)
    )


def _audit_stored(i):
    spec = {
        "at_ms": 1_796_000_000_000 + i,
        "actor": "operator",
        "action": "apply",
        "kind": "Team",
        "name": "sized",
        "before_version": i,
        "daemon": f"entry-{i:03}#{i:012x}",
        "outcome": "done",
    }
    return Stored(KIND_AUDIT_ENTRY, f"{spec['at_ms']}-{i:08x}", i + 1, spec)


def _vm(i):
    return Vm(
        f"records{i}", f"10.0.{i % 250}.2:7000", "abcde"[i % 5], "sized", "records"
    )


def _time_ms(function, limit_s=0.1):
    """Return the shortest of the runs within a time limit, in milliseconds."""
    best_s, until_s = float("inf"), time.perf_counter() + limit_s
    while True:
        start_s = time.perf_counter()
        function()
        best_s = min(best_s, time.perf_counter() - start_s)
        if time.perf_counter() > until_s:
            return 1000 * best_s


def _retained_bytes(factory):
    """Return the memory retained by a value that a function creates, in bytes."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    value = factory()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return after - before
