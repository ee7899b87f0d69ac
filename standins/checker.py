"""Checks what must always hold against the logs of all backend servers."""

import collections

from .load import NOT_RUN, WELL, WRONG

__all__ = ["check_run", "new_work_after"]

NO_NEW_WORK_AFTER_MS = 3000.0
IDEMPOTENT = frozenset(("GET", "HEAD"))


def check_run(executions, outcomes):
    """Find every broken promise.

    Parameters
    ----------
    executions : list of dict
        Log entries of all backend servers; their clocks are one machine's.
    outcomes : list of Outcome
        What callers got.

    Returns
    -------
    faults : dict of str to list of str
        By check, empty lists where it held.
    """
    return {
        "one owner at a time": one_owner(executions),
        "no execution under an ended grant": within_grant(executions),
        "only the steward sends to a gated server": only_stewards(executions),
        "non-idempotent at most once": at_most_once(executions),
        "not run is true": not_run_is_true(executions, outcomes),
        "acknowledged requests did run": acknowledged_ran(executions, outcomes),
        "answers are whole and the caller's own": whole_answers(outcomes),
    }


def one_owner(executions):
    """Two servers, or two boots of one, must not interleave on a slice."""
    faults = []
    by_slice = collections.defaultdict(list)
    for item in executions:
        if item["slice"] >= 0:
            service = (item["path"].split("/")[1], item["slice"])
            by_slice[service].append(item)
    for where, items in by_slice.items():
        items.sort(key=lambda item: item["ended_ms"])
        for before, after in zip(items, items[1:], strict=False):
            if after["token"] < before["token"]:
                faults.append(
                    f"{where}: token {after['token']} at {after['server']} acted after"
                    f" token {before['token']} at {before['server']}"
                )
            same = (before["server"], before["boot_id"]) == (
                after["server"],
                after["boot_id"],
            )
            if (
                before["token"] == after["token"]
                and before["server"] != after["server"]
            ):
                faults.append(f"{where}: token {after['token']} at two servers")
            if not same and after["started_ms"] < before["ended_ms"]:
                faults.append(f"{where}: executions overlap at two owners")
    return faults


def within_grant(executions):
    """No effect may come after the end of the grant it was made under."""
    return [
        f"{item['server']}: request {item['request_id']} ended after its grant"
        for item in executions
        if item["slice"] >= 0 and item["ended_ms"] > item["until_ms"]
    ]


def only_stewards(executions):
    """A server that does not check gets nothing past its steward or from an old one."""
    faults = []
    newest = collections.Counter()
    gated = [item for item in executions if item.get("steward_term") is not None]
    for item in sorted(gated, key=lambda item: item["started_ms"]):
        where = (item["server"], item["boot_id"])
        if item["steward_term"] < max(1, newest[where]):
            faults.append(
                f"{item['server']}: request {item['request_id']} came in term"
                f" {item['steward_term']} after term {newest[where]}"
            )
        newest[where] = max(newest[where], item["steward_term"])
    return faults


def at_most_once(executions):
    """A request that is not idempotent has at most one execution."""
    counts = collections.Counter(
        item["request_id"] for item in executions if item["method"] not in IDEMPOTENT
    )
    return [f"request {r} ran {n} times" for r, n in counts.items() if n > 1]


def not_run_is_true(executions, outcomes):
    """A caller that was told "not run" has no execution."""
    ran = {item["request_id"] for item in executions}
    return [
        f"request {o.request_id} ran although its caller was told not"
        for o in outcomes
        if o.result == NOT_RUN and o.request_id in ran
    ]


def acknowledged_ran(executions, outcomes):
    """A caller that got an answer has an execution."""
    ran = {item["request_id"] for item in executions}
    return [
        f"request {o.request_id} was answered but never ran"
        for o in outcomes
        if o.result == WELL and o.request_id not in ran
    ]


def whole_answers(outcomes):
    """No answer has other bytes than its own execution made."""
    return [
        f"request {o.request_id} got another answer than its own"
        for o in outcomes
        if o.result == WRONG
    ]


def new_work_after(executions, servers, ordered_ms, until_ms=float("inf")):
    """Find work that began at servers although they should get none.

    Parameters
    ----------
    executions : list of dict
    servers : collection of str
        Servers that were taken out, or depart.
    ordered_ms : float
        When the order reached the platform, on the machine's monotonic clock.
    until_ms : float, default=inf
        When they were taken in again.

    Returns
    -------
    faults : list of str
    """
    begins_ms = ordered_ms + NO_NEW_WORK_AFTER_MS
    return [
        f"{item['server']}: request {item['request_id']} began"
        f" {item['started_ms'] - ordered_ms:.0f} ms after the order"
        for item in executions
        if item["server"] in servers and begins_ms < item["started_ms"] < until_ms
    ]
