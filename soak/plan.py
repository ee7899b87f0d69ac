"""Generates the schedule of faults of a run from a seed, so that it can be repeated."""

import random

import attrs

__all__ = [
    "COPY_FAULTS",
    "DAEMONS",
    "DOMAINS",
    "ENTRY_KINDS",
    "FIRST_ANNOUNCEMENT_SEED",
    "FIRST_COPY_SEED",
    "FIRST_CUT_SEED",
    "FIRST_DEADLY_SEED",
    "FIRST_ENTRY_SEED",
    "FIRST_EXTENDED_SEED",
    "FIRST_LIMIT_SEED",
    "FIRST_OUTAGE_SEED",
    "FIRST_STOP_SEED",
    "FIRST_TEAM_SEED",
    "DEADLY_REQUESTS",
    "LIMITS",
    "ODD_KINDS",
    "PAUSES",
    "REFUSALS",
    "SERVERS",
    "FaultEvent",
    "generate_plan",
]

DOMAINS = ("a", "b")
DAEMONS = {"d1": "a", "d2": "b", "d3": "a", "d4": "b"}
SERVERS = {
    f"{service}{i}": (service, DOMAINS[i % 2])
    for service in ("desk", "parts")
    for i in range(4)
}

LINK_FAULTS = ("cut", "cut-requests", "cut-answers", "delay", "refuse")
SERVER_FAULTS = ("shed", "lose", "truncate", "foreign", "unmarked", "silent_grants")
STORE_FAULTS = ("down", "delay_ms", "lose_answers", "lose_watches", "forget")

FIRST_EXTENDED_SEED = 1_000_000
"""First seed whose plans include the kinds of events that were added later. Plans of
lower seeds are generated from the original kinds only, so that the seeds kept for
regression still produce the same plans."""

FIRST_OUTAGE_SEED = 2_000_000
"""First seed whose plans also restart servers around outages of the store, and whose
runs end a fault only once every event that caused it has ended."""

FIRST_CUT_SEED = 3_000_000
"""First seed whose plans also cut daemons off from all servers."""

FIRST_STOP_SEED = 4_000_000
"""First seed whose plans also stop daemons in series. The kernel refuses calls of these
daemons, and some callers send an order behind a look-up."""

FIRST_ENTRY_SEED = 5_000_000
"""First seed whose plans also have another program write and delete server entries."""

FIRST_COPY_SEED = 6_000_000
"""First seed whose plans also have servers refuse requests and send late copies of
responses, and whose callers send orders to the divided service."""

FIRST_LIMIT_SEED = 7_000_000
"""First seed whose plans also have servers name limits, change and end them."""

FIRST_TEAM_SEED = 8_000_000
"""First seed whose runs have teams with API keys, and whose plans also add and take
away keys, and lower and raise a usage cap."""

FIRST_ANNOUNCEMENT_SEED = 9_000_000
"""First seed whose plans also have servers ask for pauses, and say that they leave."""

FIRST_DEADLY_SEED = 10_000_000
"""First seed whose plans also have callers send requests under which servers end, other
programs write entries that cannot be parsed, and servers cut the heads of answers."""

DEADLY_REQUESTS = ("/view/deadly", "/book/deadly", "/parts/deadly")
ODD_KINDS = ("nested", "long number", "no text", "no address", "no port")
"""Entries of another program that a parser may not be able to read."""

PAUSES = ("0.3", "1", "2.5", "5", "10", "soon", "-1")
"""Pauses in seconds that servers ask for; the last two are malformed."""

PAUSE_WEIGHTS = (3, 3, 6, 4, 1, 1, 1)
"""With many long pauses hardly any request would reach a server."""

TEAM_CHANGES = ("low cap", "high cap", "key taken away", "key added")

LIMITS = ("0.5", "2.8", "4", "20", "none", "-1")
"""What servers name as their limits; the last two are malformed."""

MAX_LIMIT_MS = 12_000.0
"""Maximum duration of a limit: it binds three seconds after it was first named."""

COPY_FAULTS = (
    "copy_responses",
    "copy_without_id",
    "copy_health",
    "copy_answers",
    "unstated",
)
"""Late copies of responses, and responses that do not say whether the request ran."""

ENTRY_KINDS = ("unused service", "unreadable", "elsewhere", "beside", "deleted")
"""What another program does to a server's entry: it replaces it by one of a service
that no manifest names, by an unreadable one or by one of a later process at another
server's address, lists another name at its address, or deletes it."""

REFUSALS = (
    "",
    "filter",
    "accept=5",
    "filter,accept=7",
    "accept-empty",
    "filter,receive-shutdown,close-listener",
    "TCP_NODELAY,SO_KEEPALIVE,memory",
)
"""Calls that a daemon is refused, as for ``standins.refused_calls``."""

CUT_FAULTS = ("cut", "cut-requests", "cut-answers", "refuse", "reset")
MAX_CUT_MS = 9000.0
"""Maximum duration of a cut from all servers: longer than a hold."""

MAX_DURATION_MS = 5000.0
"""Maximum duration of a fault: longer than a leader's lease, shorter than a hold."""

MAX_SERIES_LENGTH = 3
"""Maximum number of consecutive events of one kind, as in a rolling restart or a series
of configuration changes."""


@attrs.frozen
class FaultEvent:
    """A scheduled fault or operator action.

    Parameters
    ----------
    at_ms : float
        Time since the start of the run.
    kind : str
        Selects the method of ``Soak`` that carries it out.
    name : str
        The affected process; for a link the connecting one, or ``*`` for all daemons.
        ``leader`` stands for the daemon that leads at that time.
    duration_ms : float
        0 if the event ends by itself.
    detail : str
        Kind of a link, server or store fault, or how a server leaves.
    target : str
        The process that a link leads to.
    """

    at_ms: float
    kind: str
    name: str = ""
    duration_ms: float = 0.0
    detail: str = ""
    target: str = ""


def generate_plan(seed, run_ms, mean_gap_ms=1200.0):
    """Return the events of a run, ordered by time.

    Parameters
    ----------
    seed : int
    run_ms : float
        Duration of the run. No event starts or ends after it.
    mean_gap_ms : float
        Mean time between two series of events, which may overlap.
    """
    rng, events, at_ms = random.Random(seed), [], 500.0
    generators = (
        _GENERATORS if seed < FIRST_EXTENDED_SEED else _GENERATORS + _ADDED_GENERATORS
    )
    while at_ms < run_ms:
        generate = rng.choice(generators)
        for _ in range(rng.randint(1, MAX_SERIES_LENGTH) if rng.random() < 0.3 else 1):
            event = generate(rng, at_ms)
            left_ms = max(0.0, run_ms - event.at_ms)
            events.append(
                attrs.evolve(event, duration_ms=min(event.duration_ms, left_ms))
            )
            at_ms += rng.uniform(50.0, 600.0)
        at_ms += rng.expovariate(1.0) * mean_gap_ms
    for first_seed, series in _ADDED_SERIES:
        if seed >= first_seed and not _has_few_faults(seed):
            events = sorted([*events, *series(rng, run_ms)], key=lambda e: e.at_ms)
    if seed >= FIRST_ANNOUNCEMENT_SEED:
        added = [*_pauses(rng, run_ms), *_announced_leaves(rng, run_ms)]
        events = sorted([*events, *added], key=lambda e: e.at_ms)
    if seed >= FIRST_DEADLY_SEED:
        added = [*_deadly_requests(rng, run_ms), *_odd_entries(rng, run_ms)]
        events = sorted([*events, *added], key=lambda e: e.at_ms)
    return [event for event in events if event.at_ms < run_ms]


def _has_few_faults(seed):
    """Tell whether the plan of a seed has only the original kinds, and announcements.

    Most faults excuse requests in a pause, so that hardly any pause is checked beside
    many of them.
    """
    return seed >= FIRST_ANNOUNCEMENT_SEED and seed % 2 == 1


def _pauses(rng, run_ms):
    """Return pauses that servers ask for, in series, at one server or several."""
    events, at_ms = [], rng.uniform(500.0, 2000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        service = rng.choice(("desk", "parts"))
        servers = [name for name, (own, _) in SERVERS.items() if own == service]
        for name in rng.sample(servers, rng.choice((1, 1, 1, 2, len(servers)))):
            lasts_ms = rng.uniform(200.0, MAX_DURATION_MS)
            [pause] = rng.choices(PAUSES, PAUSE_WEIGHTS)
            events.append(
                FaultEvent(at_ms, "misbehave", name, lasts_ms, "retry_after", pause)
            )
        if rng.random() < 0.3:
            kind = rng.choice(("kill", "freeze", "stop"))
            begin_ms = at_ms + rng.uniform(0.0, 1500.0)
            events.append(
                FaultEvent(begin_ms, kind, "leader", rng.uniform(300.0, 2000))
            )
        at_ms += rng.uniform(1000.0, 6000.0)
    return events


def _announced_leaves(rng, run_ms):
    """Return servers that say that they leave, with the store away at times."""
    events, at_ms = [], rng.uniform(500.0, 4000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        name = rng.choice(list(SERVERS))
        lasts_ms = rng.uniform(2500.0, MAX_DURATION_MS)
        events.append(FaultEvent(at_ms, "announce-leaving", name, lasts_ms))
        if rng.random() < 0.4:
            begin_ms = at_ms + rng.uniform(-1000.0, 1000.0)
            events.append(FaultEvent(begin_ms, "store", "store", lasts_ms, "down"))
        at_ms += rng.uniform(2000.0, 7000.0)
    return events


def _deadly_requests(rng, run_ms):
    """Return callers who repeat a request under which servers end, to the end."""
    for path in rng.sample(DEADLY_REQUESTS, rng.choice((1, 1, 2))):
        for _ in range(rng.randint(1, 3)):
            at_ms = rng.uniform(1000.0, run_ms / 3)
            yield FaultEvent(at_ms, "send-deadly", path, run_ms - at_ms)


def _odd_entries(rng, run_ms):
    """Return entries that cannot be parsed, and servers that stop in their answers."""
    for kind in rng.sample(ODD_KINDS, rng.randint(1, len(ODD_KINDS))):
        yield FaultEvent(rng.uniform(0.0, run_ms / 2), "odd-entry", detail=kind)
    for name in rng.sample(list(SERVERS), rng.randint(1, 3)):
        at_ms, lasts_ms = rng.uniform(0.0, run_ms / 2), rng.uniform(1000.0, 5000.0)
        yield FaultEvent(at_ms, "misbehave", name, lasts_ms, "cut_heads")


def _team_changes(rng, run_ms):
    """Return changes of teams, at times several in quick succession."""
    events, at_ms = [], rng.uniform(1000.0, 3000.0)
    while at_ms < run_ms:
        for _ in range(rng.choice((1, 1, 2, 3))):
            detail = rng.choice(TEAM_CHANGES)
            events.append(FaultEvent(at_ms, "change-teams", detail=detail))
            at_ms += rng.uniform(50.0, 500.0)
        at_ms += rng.uniform(1000.0, 5000.0)
    return events


def _limits(rng, run_ms):
    """Return limits that some or all servers of a service name, one or two in a row."""
    events, at_ms = [], rng.uniform(500.0, 3000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        service = rng.choice(("desk", "parts"))
        servers = [name for name, (own, _) in SERVERS.items() if own == service]
        names = rng.sample(servers, rng.choice((1, 1, len(servers))))
        lasts_ms = min(rng.uniform(4000.0, MAX_LIMIT_MS), run_ms - at_ms)
        limits = rng.sample(LIMITS, rng.randint(1, 2))
        for index, limit in enumerate(limits):
            part_ms = lasts_ms / len(limits)
            begin_ms = at_ms + index * part_ms
            events += [
                FaultEvent(begin_ms, "misbehave", name, part_ms, "limit", limit)
                for name in names
            ]
        at_ms += lasts_ms + rng.uniform(500.0, 4000.0)
    return events


def _copies(rng, run_ms):
    """Return faults of servers that refuse requests and copy responses meanwhile."""
    events, at_ms = [], rng.uniform(500.0, 2000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        for name in rng.sample(list(SERVERS), rng.randint(1, 3)):
            lasts_ms = rng.uniform(1000.0, MAX_DURATION_MS)
            kind = rng.choice(COPY_FAULTS)
            events.append(FaultEvent(at_ms, "misbehave", name, lasts_ms, kind))
            events.append(FaultEvent(at_ms, "misbehave", name, lasts_ms, "shed"))
        at_ms += rng.uniform(500.0, 3000.0)
    return events


def _stops(rng, run_ms):
    """Return stops of one to all daemons, at once or shortly after each other."""
    events, at_ms = [], rng.uniform(1000.0, 3000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        for name in rng.sample(list(DAEMONS), rng.randint(1, len(DAEMONS))):
            events.append(FaultEvent(at_ms, "stop", name, rng.uniform(100.0, 1500.0)))
            at_ms += rng.choice((0.0, rng.uniform(0.0, 1500.0)))
        at_ms += rng.uniform(4000.0, 8000.0)
    return events


def _entries(rng, run_ms):
    """Return entries of another program, each beside a server that leaves or serves."""
    owners = [name for name, (service, _) in SERVERS.items() if service == "parts"]
    events, at_ms = [], rng.uniform(500.0, 2000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        name, other = rng.sample(owners, 2)
        lasts_ms = rng.choice((0.0, rng.uniform(300.0, 2000.0)))
        kind = rng.choice(ENTRY_KINDS)
        events.append(FaultEvent(at_ms, "entry", name, lasts_ms, kind, other))
        leaves_ms = at_ms + rng.uniform(0.0, 1000.0)
        if rng.random() < 0.6:
            how = rng.choice(("", "unsaid"))
            events.append(FaultEvent(leaves_ms, "leave", name, 1000.0, how))
        if rng.random() < 0.2:
            events.append(FaultEvent(leaves_ms, "kill", "leader", 200.0))
        at_ms += rng.uniform(1000.0, 5000.0)
    return events


def _server_cuts(rng, run_ms):
    """Return cuts of daemons, up to whole failure domains, from all servers."""
    events, at_ms = [], rng.uniform(1000.0, 4000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        domain = rng.choice(DOMAINS)
        in_domain = [name for name, own in DAEMONS.items() if own == domain]
        names = rng.choice((["leader"], [rng.choice(list(DAEMONS))], in_domain))
        lasts_ms = min(rng.uniform(2000.0, MAX_CUT_MS), run_ms - at_ms)
        kind = rng.choice(CUT_FAULTS)
        for name in names:
            events.append(FaultEvent(at_ms, "cut-servers", name, lasts_ms, kind))
            at_ms += rng.uniform(0.0, 500.0)
        at_ms += rng.choice((rng.uniform(0.0, lasts_ms), lasts_ms + 2000.0))
    return events


def _outages(rng, run_ms):
    """Return outages of the store with restarts of servers and changes of leader."""
    owners = [name for name, (service, _) in SERVERS.items() if service == "parts"]
    events, at_ms = [], rng.uniform(2000.0, 6000.0)
    while at_ms + MAX_DURATION_MS < run_ms:
        lasts_ms = rng.uniform(2000.0, MAX_DURATION_MS)
        events.append(FaultEvent(at_ms, "store", "store", lasts_ms, "down"))
        if rng.random() < 0.5:
            # What the leader writes just before may have no response.
            early_ms = rng.uniform(0.0, 1500.0)
            lost = FaultEvent(
                at_ms - early_ms, "store", "store", early_ms, "lose_answers"
            )
            events.append(lost)
        for name in rng.sample(owners, rng.randint(1, 3)):
            killed_ms = at_ms + rng.uniform(-1500.0, 0.7 * lasts_ms)
            down_ms = rng.uniform(50.0, max(100.0, at_ms + lasts_ms - killed_ms))
            events.append(FaultEvent(killed_ms, "kill", name, down_ms))
        changed_ms = at_ms + rng.uniform(-2000.0, lasts_ms)
        down_ms = rng.uniform(100.0, 2500.0)
        kind = rng.choice(("", "kill", "freeze", "stop", "kill-all", "link"))
        if kind == "link":
            link = FaultEvent(changed_ms, kind, "leader", 2 * down_ms, "cut", "store")
            events.append(link)
        elif kind:
            name = "*" if kind == "kill-all" else "leader"
            events.append(FaultEvent(changed_ms, kind, name, down_ms))
        at_ms += lasts_ms + rng.uniform(3000.0, 7000.0)
    return events


def _daemon_event(kind, min_duration_ms):
    def generate(rng, at_ms):
        duration_ms = rng.uniform(min_duration_ms, MAX_DURATION_MS)
        return FaultEvent(at_ms, kind, rng.choice([*DAEMONS, "leader"]), duration_ms)

    return generate


def _server_event(kind):
    def generate(rng, at_ms):
        duration_ms = rng.uniform(300.0, MAX_DURATION_MS)
        return FaultEvent(at_ms, kind, rng.choice(list(SERVERS)), duration_ms)

    return generate


def _server_fault(rng, at_ms):
    name = rng.choice(list(SERVERS))
    duration_ms = rng.uniform(300.0, MAX_DURATION_MS)
    return FaultEvent(at_ms, "misbehave", name, duration_ms, rng.choice(SERVER_FAULTS))


def _link_fault(rng, at_ms):
    target = rng.choice(["store", *SERVERS])
    source = rng.choice(["*", *DAEMONS])
    duration_ms = rng.uniform(300.0, MAX_DURATION_MS)
    return FaultEvent(
        at_ms, "link", source, duration_ms, rng.choice(LINK_FAULTS), target
    )


def _store_fault(rng, at_ms):
    duration_ms = rng.uniform(300.0, MAX_DURATION_MS)
    return FaultEvent(at_ms, "store", "store", duration_ms, rng.choice(STORE_FAULTS))


def _take_out(rng, at_ms):
    duration_ms = rng.uniform(1000.0, MAX_DURATION_MS)
    return FaultEvent(at_ms, "take-out", rng.choice(DOMAINS), duration_ms)


def _kill_all(rng, at_ms):
    return FaultEvent(at_ms, "kill-all", "*", rng.uniform(100.0, 1500.0))


def _manifest(rng, at_ms):
    return FaultEvent(at_ms, "manifest", "", 0.0)


_GENERATORS = (
    _daemon_event("kill", 100.0),
    _daemon_event("freeze", 300.0),
    _daemon_event("stop", 100.0),
    _server_event("kill"),
    _server_event("freeze"),
    _server_event("leave"),
    _server_fault,
    _link_fault,
    _link_fault,
    _store_fault,
    _store_fault,
    _take_out,
    _kill_all,
    _manifest,
)


def _deregister(rng, at_ms):
    duration_ms = rng.uniform(300.0, MAX_DURATION_MS)
    return FaultEvent(at_ms, "leave", rng.choice(list(SERVERS)), duration_ms, "unsaid")


def _leader_without_store(rng, at_ms):
    duration_ms = rng.uniform(1000.0, MAX_DURATION_MS)
    kind = rng.choice(LINK_FAULTS)
    return FaultEvent(at_ms, "link", "leader", duration_ms, kind, "store")


_ADDED_SERIES = (
    (FIRST_OUTAGE_SEED, _outages),
    (FIRST_CUT_SEED, _server_cuts),
    (FIRST_STOP_SEED, _stops),
    (FIRST_ENTRY_SEED, _entries),
    (FIRST_COPY_SEED, _copies),
    (FIRST_LIMIT_SEED, _limits),
    (FIRST_TEAM_SEED, _team_changes),
)
"""Series of events that later seeds have besides, in the order of their first seeds."""

_ADDED_GENERATORS = (
    _deregister,
    _deregister,
    _leader_without_store,
    _leader_without_store,
    _manifest,
)
