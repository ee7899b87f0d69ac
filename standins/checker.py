"""Checks the router's invariants against the execution logs of all backend servers."""

import collections

from .load import MISMATCH, NOT_RUN, SUCCESS

__all__ = ["check_run", "new_work_after"]

NO_NEW_WORK_AFTER_MS = 3000.0
IDEMPOTENT = frozenset(("GET", "HEAD"))


def check_run(executions, outcomes):
    """Run all checks.

    Parameters
    ----------
    executions : list of dict
        Log entries of all backend servers, timed by the monotonic clock of one
        machine.
    outcomes : list of Outcome
        What callers received.

    Returns
    -------
    faults : dict of str to list of str
        Violations by name of the check; an empty list if there are none.
    """
    return {
        "one owner at a time": single_owner(executions),
        "no execution under an ended grant": within_grant(executions),
        "only the steward sends to a gated server": current_steward_only(executions),
        "a cold server gets no more than its cold slots": within_cold_slots(executions),
        "non-idempotent at most once": at_most_once(executions),
        "not run is true": not_run_not_executed(executions, outcomes),
        "acknowledged requests did run": acknowledged_executed(executions, outcomes),
        "answers are whole and the caller's own": matching_responses(outcomes),
    }


def single_owner(executions):
    """Executions of a slice by different server processes must not overlap.

    Fencing tokens must not decrease, and each token belongs to one server.
    """
    faults = []
    by_slice = collections.defaultdict(list)
    for item in executions:
        if item["slice"] >= 0:
            service_slice = (item["path"].split("/")[1], item["slice"])
            by_slice[service_slice].append(item)
    for where, items in by_slice.items():
        items.sort(key=lambda item: item["ended_ms"])
        for before, after in zip(items, items[1:], strict=False):
            if after["token"] < before["token"]:
                faults.append(
                    f"{where}: token {after['token']} used at {after['server']} after"
                    f" higher token {before['token']} at {before['server']}"
                )
            same_process = (before["server"], before["boot_id"]) == (
                after["server"],
                after["boot_id"],
            )
            if (
                before["token"] == after["token"]
                and before["server"] != after["server"]
            ):
                faults.append(f"{where}: token {after['token']} used by two servers")
            if not same_process and after["started_ms"] < before["ended_ms"]:
                faults.append(f"{where}: executions of two owners overlap")
    return faults


def within_grant(executions):
    """No execution may end after the grant that it ran under has expired."""
    return [
        f"{item['server']}: request {item['request_id']} ended after its grant expired"
        for item in executions
        if item["slice"] >= 0 and item["ended_ms"] > item["until_ms"]
    ]


def current_steward_only(executions):
    """A server that does not check grants is reached only through its current steward.

    A request without a steward's term bypassed the steward; one with an earlier term
    than the server has already seen came from a superseded steward.
    """
    faults = []
    newest = collections.Counter()
    gated = [item for item in executions if item.get("steward_term") is not None]
    for item in sorted(gated, key=lambda item: item["started_ms"]):
        where = (item["server"], item["boot_id"])
        if item["steward_term"] < max(1, newest[where]):
            faults.append(
                f"{item['server']}: request {item['request_id']} arrived with steward"
                f" term {item['steward_term']} after term {newest[where]}"
            )
        newest[where] = max(newest[where], item["steward_term"])
    return faults


def within_cold_slots(executions):
    """During a cold start no more requests may be in flight than the server allows."""
    return [
        f"{item['server']}: {item['cold_excess']} requests above the cold-start limit"
        f" at request {item['request_id']}"
        for item in executions
        if item.get("cold_excess", 0) > 0
    ]


def at_most_once(executions):
    """A non-idempotent request must not be executed more than once."""
    counts = collections.Counter(
        item["request_id"] for item in executions if item["method"] not in IDEMPOTENT
    )
    return [f"request {r} was executed {n} times" for r, n in counts.items() if n > 1]


def not_run_not_executed(executions, outcomes):
    """A request reported to its caller as "not run" must not have been executed."""
    ran = {item["request_id"] for item in executions}
    return [
        f'request {o.request_id} was executed but reported as "not run"'
        for o in outcomes
        if o.result == NOT_RUN and o.request_id in ran
    ]


def acknowledged_executed(executions, outcomes):
    """A request that was answered successfully must have been executed."""
    ran = {item["request_id"] for item in executions}
    return [
        f"request {o.request_id} was answered but not executed"
        for o in outcomes
        if o.result == SUCCESS and o.request_id not in ran
    ]


def matching_responses(outcomes):
    """A response must be the complete one to the caller's own request."""
    return [
        f"request {o.request_id} got a response that does not match it"
        for o in outcomes
        if o.result == MISMATCH
    ]


def new_work_after(executions, servers, requested_ms, until_ms=float("inf")):
    """Find executions that started at servers that must not get new work.

    Parameters
    ----------
    executions : list of dict
    servers : collection of str
        Servers that are departing or in a failure domain that was taken out.
    requested_ms : float
        When the platform accepted the change, on the machine's monotonic clock.
    until_ms : float, default=inf
        When the servers may get work again.

    Returns
    -------
    faults : list of str
        Executions that started later than ``NO_NEW_WORK_AFTER_MS`` after the change.
    """
    begins_ms = requested_ms + NO_NEW_WORK_AFTER_MS
    return [
        f"{item['server']}: request {item['request_id']} started"
        f" {item['started_ms'] - requested_ms:.0f} ms after the change"
        for item in executions
        if item["server"] in servers and begins_ms < item["started_ms"] < until_ms
    ]
