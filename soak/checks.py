"""Checks a run against its invariants, by callers' outcomes and servers' event logs."""

import bisect
import collections

import attrs

from tarragonramp.limits import CapBounds

from .announcements import late_after_leaving, sent_in_pauses
from .plan import DAEMONS

__all__ = ["Outcome", "Probe", "RunRecord", "find_violations"]

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
DRAIN_PROPAGATION_MS = 2500.0
"""How long after a server announced that it drains it may still get new requests: the
two seconds in which all daemons have to know, and 500 ms for messages in transit."""

OVERLAP_TOLERANCE_MS = 5.0
"""Holds of two servers may overlap by this: processes log the same instant at slightly
different times."""

CONTACT_MS = 3000.0
"""From this time after it was cut off from all servers a daemon's callers have to be
served."""

LIMIT_WINDOW_MS, LIMIT_BURST_FACTOR, LIMIT_SLACK = 4000.0, 1.5, 5
"""A server that names a limit gets in any such window this factor of what the limit
allows, and the slack, from daemons that were not disturbed."""

TOLD_MS = 500.0
"""How long after a daemon first passed on an answer with a limit its requests count."""

CAP_PROPAGATION_MS = 2500.0
"""How long after it was stored a lower cap may be unknown to daemons."""

ENDS_PER_LIFE, MORE_ENDS = 3, 8
"""Servers that may end under one content for each start of a daemon, and in all: those
of requests let through, and of callers who send before an end is known."""

RETRY_WINDOW_MS, RETRY_RATIO, RETRY_SLACK = 10_000.0, 0.2, 50
"""As in the daemons' settings: what all of them may add to a service's requests."""

STORE_RECOVERY_MS = 6000.0
"""How long after a fault of the store has ended daemons may still lack a change: the
response to a watch may have been lost, which shows only when the watch times out."""


@attrs.frozen
class Outcome:
    """Result of one request as its caller saw it.

    Parameters
    ----------
    request_id, method, path : str
    sent_ms, answered_ms : float
        Unix time.
    status : int
        HTTP status; 0 without a complete response.
    body : bytes
        Of the response.
    daemon : str
        The daemon that the request was sent to.
    failure : str
        How the connection ended without a complete response.
    """

    request_id: str
    method: str
    path: str
    sent_ms: float
    answered_ms: float
    status: int = 0
    body: bytes = b""
    daemon: str = ""
    failure: str = ""


@attrs.frozen
class Probe:
    """A daemon's response to a request for a route that was just added.

    Parameters
    ----------
    daemon : str
    route : str
    added_ms, sent_ms : float
        Unix time at which the store had the route, and at which the request was sent.
    status : int
        HTTP status; 0 without a response.
    """

    daemon: str
    route: str
    added_ms: float
    sent_ms: float
    status: int


@attrs.define
class RunRecord:
    """Everything that was recorded of a run. Times are Unix times in milliseconds.

    Parameters
    ----------
    outcomes : list of Outcome
    entries : list of list
        Event logs of all servers: name, life, event, time, details.
    kills : list of (str, float)
        Name of each server that was killed, and when.
    probes : list of Probe
    store_faults : list of (float, float)
        Start and end of faults of the store, or of all daemons' links to it.
    daemon_faults : list of (str, float, float)
        Name of a daemon that was paused or cut off from the store; start and end.
    link_faults : list of (str, float, float)
        Name of a server to which links were faulty, so that requests may have been
        delayed on the way; start and end.
    server_cuts : list of (str, float, float)
        Name of a daemon that was cut off from all servers; start and end.
    outages : list of (str, float, float)
        Name of a process that was down, frozen or stopping; start and end.
    stops : list of (str, float, float)
        Name of a daemon that was told to stop; when, and when its process ended.
    unplanned : list of (str, float, float)
        Name of a process that was killed or frozen; start and end.
    delegating : list of (str, float, float)
        Name of a daemon that, by its log, reached no server, so that others sent the
        requests of its callers; start and end.
    teams : dict of str to str
        Team of each caller's request, by its id; empty in runs without teams.
    caps : list of (float, UsageCap)
        Cap of the team that has one, and since when, as stored.
    n_daemon_lives : int
        How often daemons were started.
    """

    outcomes: list = attrs.Factory(list)
    entries: list = attrs.Factory(list)
    kills: list = attrs.Factory(list)
    probes: list = attrs.Factory(list)
    store_faults: list = attrs.Factory(list)
    daemon_faults: list = attrs.Factory(list)
    link_faults: list = attrs.Factory(list)
    server_cuts: list = attrs.Factory(list)
    outages: list = attrs.Factory(list)
    stops: list = attrs.Factory(list)
    unplanned: list = attrs.Factory(list)
    delegating: list = attrs.Factory(list)
    teams: dict = attrs.Factory(dict)
    caps: list = attrs.Factory(list)
    n_daemon_lives: int = 0


def find_violations(run):
    """Run all checks.

    Parameters
    ----------
    run : RunRecord

    Returns
    -------
    violations : dict of str to list of str
        By name of the check; an empty list if there are none.
    """
    executions = collections.defaultdict(list)
    for name, _, event, at_ms, *details in run.entries:
        if event == "run":
            executions[details[0]].append((name, at_ms, details[1]))
    return {
        "at most once": _at_most_once(executions),
        "not run is true": _not_executed(run.outcomes, executions),
        "complete responses": _complete_responses(run.outcomes, executions),
        "one owner": _one_owner(run),
        "increasing tokens": _increasing_tokens(run.entries),
        "leaving servers get no new work": _no_late_work(run),
        "new routes are in force": _missing_routes(run),
        "callers of daemons without servers are served": _unserved_cuts(run),
        "stops cut no request": _cut_by_stops(run, executions),
        "limits of servers": _beyond_limits(run),
        "teams and keys at servers": _wrong_callers(run),
        "usage cap": _beyond_cap(run),
        "retries of all daemons": _beyond_retry_limit(run),
        "a request does not end all servers": _ends_under_one_content(run),
        "no internal errors": [
            outcome.request_id for outcome in run.outcomes if outcome.status == 500
        ],
        "pauses of servers": sent_in_pauses(run, _disturbances, _overlaps),
        "servers that say they leave": late_after_leaving(
            run, _disturbances, _overlaps
        ),
    }


def _beyond_retry_limit(run):
    """Return the windows in which a service got more repeats than all daemons may send.

    A repeat is an arrival of a request that has arrived before; the requests counted
    are those of callers in that window, the one before, or the one half a window
    before, whichever has most.
    """
    sent_ms, repeats_ms = collections.defaultdict(list), collections.defaultdict(list)
    for o in run.outcomes:
        is_divided = o.path.startswith(("/parts/", "/order/"))
        sent_ms["parts" if is_divided else "desk"].append(o.sent_ms)
    arrived, found = set(), []
    for at_ms, name, request_id in sorted(
        (entry[3], entry[0], entry[4]) for entry in run.entries if entry[2] == "arrival"
    ):
        if request_id in arrived:
            repeats_ms[name.rstrip("0123456789")].append(at_ms)
        arrived.add(request_id)
    for service, times_ms in repeats_ms.items():
        requests_ms = sorted(sent_ms[service])
        count = lambda times, from_ms: (
            bisect.bisect(times, from_ms + RETRY_WINDOW_MS)
            - bisect.bisect_left(times, from_ms)
        )
        for from_ms in times_ms:
            starts_ms = (from_ms - RETRY_WINDOW_MS * part for part in (0.0, 0.5, 1.0))
            n_requests = max(count(requests_ms, start_ms) for start_ms in starts_ms)
            n_repeats = count(times_ms, from_ms)
            if n_repeats > RETRY_RATIO * n_requests + RETRY_SLACK:
                found.append(f"{service}: {n_repeats} for {n_requests} at {from_ms}")
    return found


def _ends_under_one_content(run):
    """Return contents under which more servers ended than daemons can excuse.

    Each life of a daemon may have seen none of the earlier ends. The proxy accepts
    connections to a server that has ended, so that its next life has to tell.
    """
    paths = {outcome.request_id: outcome.path for outcome in run.outcomes}
    ends = collections.Counter(
        paths.get(entry[4], "") for entry in run.entries if entry[2] == "ended-by"
    )
    most = ENDS_PER_LIFE * run.n_daemon_lives + MORE_ENDS
    return [f"{path}: {n}, most {most}" for path, n in ends.items() if n > most]


def _wrong_callers(run):
    """Return requests that reached a server with a key, or for another team."""
    found = []
    for name, _, event, _, *details in run.entries:
        if event != "caller":
            continue
        request_id, team, secret = details
        if secret is not None:
            found.append(f"{name}: {request_id} with its key")
        if team != run.teams.get(request_id, team) or team == "unknown":
            found.append(f"{name}: {request_id} for {team}")
    reached = {entry[4] for entry in run.entries if entry[2] == "run"}
    named = {entry[4] for entry in run.entries if entry[2] == "caller"}
    if run.teams:
        found += [f"{request_id} without a team" for request_id in reached - named]
    return found


def _beyond_cap(run):
    """Return the windows in which more of the capped team ran than is tolerated.

    The largest cap in force in a window binds, or before it until all daemons know the
    next one.
    """
    bounds, found = CapBounds(), []
    capped = {r for r, team in run.teams.items() if team == "capped"}
    times = sorted(
        at_ms
        for _, _, event, at_ms, *details in run.entries
        if event == "run" and details[0] in capped
    )
    first = 0
    for last, at_ms in enumerate(times):
        while times[first] <= at_ms - bounds.window_ms:
            first += 1
        known_ms = at_ms - 2.0 * bounds.window_ms - CAP_PROPAGATION_MS
        earlier = [cap for since_ms, cap in run.caps if since_ms <= known_ms]
        recent = [cap for since_ms, cap in run.caps if known_ms < since_ms <= at_ms]
        allowed = max(bounds.max_in_window(cap) for cap in earlier[-1:] + recent)
        if last - first + 1 > allowed:
            found.append(f"{last - first + 1} of {allowed:.0f} until {at_ms:.0f}")
    return found


def _beyond_limits(run):
    """Return the windows in which a server got more requests than its limit allows.

    Counted are requests of callers whose daemon has been told of the limit and was not
    disturbed. Another daemon may have sent them.
    """
    arrivals = collections.defaultdict(list)
    for server, life, event, at_ms, *details in run.entries:
        if event == "arrival":
            arrivals[server, life].append((at_ms, *details))
    return [
        violation
        for (server, _), found in arrivals.items()
        for period in _limited_periods(sorted(found))
        for violation in _crowded_windows(run, server, period)
    ]


def _limited_periods(arrivals):
    """Return lists of consecutive arrivals (time, id, limit) that were told a limit."""
    periods, period = [], []
    for at_ms, request_id, text in arrivals:
        if text.replace(".", "", 1).isdecimal():
            period.append((at_ms, request_id, float(text)))
        elif period:
            periods.append(period)
            period = []
    return [*periods, period] if period else periods


def _crowded_windows(run, server, period):
    """Return the first window of a period in which a server got too many requests."""
    daemons = {outcome.request_id: outcome.daemon for outcome in run.outcomes}
    named_ms, told_ms, counted = period[0][0], {}, []
    for at_ms, request_id, limit in period:
        daemon = daemons.get(request_id, "")
        told_ms.setdefault(daemon, at_ms)
        disturbed = _overlaps(_disturbances(run, daemon), named_ms, at_ms)
        if not disturbed and at_ms >= told_ms[daemon] + TOLD_MS:
            counted.append((at_ms, limit))
    for begin_ms, _ in counted:
        if begin_ms < named_ms + CONTACT_MS:
            continue
        end_ms = begin_ms + LIMIT_WINDOW_MS
        n_arrivals = sum(begin_ms <= at_ms < end_ms for at_ms, _ in counted)
        limit = max(
            limit for at_ms, _, limit in period if begin_ms - TOLD_MS <= at_ms < end_ms
        )
        allowed = LIMIT_BURST_FACTOR * limit * LIMIT_WINDOW_MS / 1000.0 + LIMIT_SLACK
        if n_arrivals > allowed:
            return [
                f"{server}: {n_arrivals} in 4 s, limit {limit}, from {begin_ms:.0f}"
            ]
    return []


def _disturbances(run, daemon):
    """Return the spans in which a daemon was not running, cut off or paused."""
    if not daemon:
        return [(0.0, float("inf"))]
    return [
        (from_ms - CONTACT_MS, to_ms + CONTACT_MS)
        for spans in (
            run.outages,
            run.unplanned,
            run.stops,
            run.daemon_faults,
            run.server_cuts,
        )
        for name, from_ms, to_ms in spans
        if name == daemon
    ]


def _at_most_once(executions):
    return [
        f"{request_id}: {tries}"
        for request_id, tries in executions.items()
        if len(tries) > 1 and tries[0][2] not in ("GET", "HEAD")
    ]


def _not_executed(outcomes, executions):
    return [
        f"{o.request_id}: {o.status}, but {executions[o.request_id]}"
        for o in outcomes
        if o.status in NOT_RUN_STATUSES
        and o.method == "POST"
        and o.request_id in executions
    ]


def _complete_responses(outcomes, executions):
    violations = []
    for o in outcomes:
        if o.status != 200:
            continue
        executed_on = {name for name, _, _ in executions.get(o.request_id, ())}
        parts = o.body.decode("utf-8", "replace").split(" ")
        if len(parts) != 3 or parts[0] not in executed_on or parts[1] != o.path:
            violations.append(
                f"{o.request_id}: {o.body[:80]!r} of {sorted(executed_on)}"
            )
    return violations


def _hold_periods(run):
    """Return the periods in which servers held each range: (from, to, server, life).

    A hold ends with its release, with its expiry, or when its server is killed.
    """
    open_holds, periods = {}, collections.defaultdict(list)
    kills = sorted(run.kills, key=lambda kill: kill[1])

    def close(key, at_ms):
        since_ms, until_ms = open_holds.pop(key)
        (server, life), keys = key
        killed = [ms for name, ms in kills if name == server and ms >= since_ms]
        until_ms = min([until_ms, at_ms, *killed[:1]])
        periods[keys].append((since_ms, until_ms, server, life))

    for server, life, event, at_ms, *details in sorted(run.entries, key=lambda e: e[3]):
        if event not in ("grant", "release"):
            continue
        key = (server, life), tuple(details[:2])
        if event == "release":
            if key in open_holds:
                close(key, at_ms)
            continue
        until_ms = at_ms + details[3]
        if key in open_holds and open_holds[key][1] >= at_ms:
            open_holds[key] = open_holds[key][0], until_ms
            continue
        if key in open_holds:
            close(key, at_ms)
        open_holds[key] = at_ms, until_ms
    for key in list(open_holds):
        close(key, float("inf"))
    return periods


def _one_owner(run):
    """Return where two processes held a key at a time, also under different bounds."""
    held = [
        (*period, keys)
        for keys, periods in _hold_periods(run).items()
        for period in periods
    ]
    held.sort()
    violations, open_holds = [], []
    for item in held:
        since_ms, _, *owner, keys = item
        open_holds = [o for o in open_holds if o[1] > since_ms + OVERLAP_TOLERANCE_MS]
        violations += [
            f"{keys}: {other} and {item}"
            for other in open_holds
            if other[2:4] != tuple(owner)
            and other[4][0] <= keys[1]
            and other[4][1] >= keys[0]
        ]
        open_holds.append(item)
    return violations


def _increasing_tokens(entries):
    violations, highest = [], {}
    for server, life, event, _, *details in sorted(entries, key=lambda e: e[3]):
        if event != "grant":
            continue
        first, last, token, _ = details
        owner, highest_token = highest.get((first, last), ((server, life), 0))
        if owner != (server, life) and token <= highest_token:
            violations.append(
                f"{first}-{last}: {token} at {server}, {highest_token} at {owner}"
            )
        if token > highest_token:
            highest[first, last] = (server, life), token
    return violations


def _no_late_work(run):
    draining_since_ms = {
        (server, life): at_ms
        for server, life, event, at_ms, *_ in run.entries
        if event == "draining"
    }
    senders = {outcome.request_id: outcome.daemon for outcome in run.outcomes}
    violations = []
    for server, life, event, at_ms, *details in run.entries:
        since_ms = draining_since_ms.get((server, life))
        if (
            event != "run"
            or since_ms is None
            or at_ms <= since_ms + DRAIN_PROPAGATION_MS
        ):
            continue
        daemon = senders.get(details[0], "")
        exempt_spans = _update_delays(run, daemon)
        if _overlaps(_spans_of(run.server_cuts, daemon), at_ms, at_ms):
            # Another daemon sent it, and may be the one that lacks changes.
            exempt_spans = _update_delays(run, *DAEMONS)
        exempt_spans += [
            (a, b + DRAIN_PROPAGATION_MS)
            for name, a, b in run.link_faults
            if name == server
        ]
        if not _overlaps(exempt_spans, since_ms, at_ms):
            delay = f"after {at_ms - since_ms:.0f} ms"
            violations.append(f"{details[0]} of {daemon} at {server} {delay}")
    return violations


def _missing_routes(run):
    return [
        f"{probe.route} of {probe.daemon} after {probe.sent_ms - probe.added_ms:.0f} ms"
        for probe in run.probes
        if probe.status == 404
        and not _overlaps(
            _update_delays(run, probe.daemon), probe.added_ms, probe.sent_ms
        )
    ]


def _unserved_cuts(run):
    """Return the cuts whose callers are served far worse than those of other daemons.

    Compared are requests sent from ``CONTACT_MS`` after a daemon was cut off from all
    servers, while it runs and reaches the store, and another daemon does so and reaches
    the servers, too. Faults of the store affect all alike.
    """
    violations = []
    for daemon, from_ms, to_ms in run.server_cuts:
        since_ms = from_ms + CONTACT_MS
        own, others = collections.Counter(), collections.Counter()
        for o in run.outcomes:
            if not since_ms <= o.sent_ms <= o.answered_ms <= to_ms:
                continue
            helpers = [
                name
                for name in DAEMONS
                if name != daemon
                and not _is_disturbed(run, name, o)
                and not _overlaps(
                    _spans_of(run.server_cuts, name, CONTACT_MS),
                    o.sent_ms,
                    o.answered_ms,
                )
            ]
            if o.daemon == daemon and helpers and not _is_disturbed(run, daemon, o):
                own[o.status == 200] += 1
            elif o.daemon in helpers:
                others[o.status == 200] += 1
        n_allowed = 10 + (own.total() + others.total()) / 50
        if own[False] <= n_allowed or not others.total():
            continue
        if own[True] / max(1, own.total()) < 2 / 3 * others[True] / others.total():
            violations.append(f"{daemon}: {dict(own)}, others {dict(others)}")
    return violations


def _cut_by_stops(run, executions):
    """Return requests that ran and whose connection a stopping daemon ended.

    A caller that has waited too long closes the connection itself. Requests are exempt
    if their daemon was also killed or frozen.
    """
    return [
        f"{o.request_id} of {o.daemon}: {o.failure}, {executions[o.request_id]}"
        for o in run.outcomes
        if not o.status
        and o.request_id in executions
        and "timed out" not in o.failure
        and _overlaps(_spans_of(run.stops, o.daemon), o.sent_ms, o.answered_ms)
        and not _overlaps(_spans_of(run.unplanned, o.daemon), o.sent_ms, o.answered_ms)
    ]


def _is_disturbed(run, daemon, outcome):
    """Tell whether a daemon was down or without the store around a request."""
    spans = _spans_of([*run.outages, *run.daemon_faults], daemon, CONTACT_MS)
    return _overlaps(spans, outcome.sent_ms, outcome.answered_ms)


def _spans_of(faults, name, longer_ms=0.0):
    """Return the spans of a process's faults, each ``longer_ms`` longer."""
    return [(start, end + longer_ms) for found, start, end in faults if found == name]


def _update_delays(run, *daemons):
    """Return the spans of time in which daemons may lack recent changes."""
    fault_spans = [
        *run.store_faults,
        *((a, b) for d, a, b in run.daemon_faults if d in daemons),
    ]
    return [(from_ms, to_ms + STORE_RECOVERY_MS) for from_ms, to_ms in fault_spans]


def _overlaps(spans, from_ms, to_ms):
    return any(a <= to_ms and from_ms <= b for a, b in spans)
