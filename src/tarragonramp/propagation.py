"""Decides which daemons watch the platform and which get updates from a daemon.

Each watch of the platform counts as a call, so only a few daemons of a failure domain
keep one. The others form a tree below them and wait for updates from their parent. All
daemons order each other by a hash of their names, so the tree needs no coordination. A
parent always precedes its children in that order, so there is no cycle even while
daemons disagree about which of them are suspected.
"""

import attrs
import xxhash

__all__ = [
    "PLATFORM",
    "SourceHealth",
    "fallback_ms",
    "outside_sources",
    "retry_ms",
    "source_of",
    "start_delay_ms",
]

PLATFORM = ""
"""Stands for the platform where otherwise a daemon's name is given."""

MAX_CHILDREN = 4
"""Number of daemons that wait for updates from one daemon.

A change reaches all daemons of a failure domain at once. Without a limit, one daemon
would answer all others; with one child each, there would be as many hops as daemons.
With four, 132 daemons are four hops deep, and a parent has four waiting requests.
"""

SUSPICION_MS = 3000
"""How long a silent daemon is not used as a source."""

MAX_LAG_MS = 300
"""How long a neighbour may have newer data before its updates are fetched.

Twice the default ping interval; updates normally arrive sooner. Nothing else detects
that a watch or parent was lost without a closed connection, is paused, or was served an
old state.
"""

MIN_RETRY_MS = 200
MAX_RETRY_MS = 1000
FALLBACK_BASE_MS = 1000
FALLBACK_PER_DAEMON_MS = 20
START_DELAY_PER_DAEMON_MS = 5


def source_of(me, members, n_watchers, usable):
    """Choose where a daemon gets its updates.

    Parameters
    ----------
    me : Member
    members : dict of str to Member
        All known daemons; ``me`` need not be among them.
    n_watchers : int
        Number of daemons of a failure domain that watch the platform.
    usable : callable
        ``usable(name)`` is False for a daemon that is suspected to be down. The first
        child of a suspected watcher watches in its place.

    Returns
    -------
    name : str
        PLATFORM if this daemon has to watch the platform itself.
    """
    order = _hash_order(m.name for m in members.values() if _in_same_domain(me, m))
    if me.name not in order:
        order = _hash_order([*order, me.name])
    order = [name for name in order if name == me.name or usable(name)]
    rank = order.index(me.name)
    if rank < n_watchers:
        return PLATFORM
    return order[(rank - n_watchers) // MAX_CHILDREN]


def outside_sources(me, members, n_watchers, usable):
    """Return watchers of other failure domains.

    A failure domain may lose its connection to the platform but not to its peers.

    Returns
    -------
    names : list of str
        Ordered differently for each daemon, so that the daemons of a failure domain do
        not all ask the same watcher first.
    """
    by_domain = {}
    for member in members.values():
        if not _in_same_domain(me, member) and usable(member.name):
            by_domain.setdefault(member.failure_domain, []).append(member.name)
    names = [
        name
        for domain_names in by_domain.values()
        for name in _hash_order(domain_names)[:n_watchers]
    ]
    return sorted(names, key=lambda name: _hash(f"{me.name}/{name}"))


def retry_ms(n_failures, jitter):
    """Return how long to wait before the platform is called again.

    An outage of the platform affects all watchers at once. The wait is randomized so
    that they do not all call at once when the platform is back.

    Parameters
    ----------
    n_failures : int
        Consecutive failures, at least 1.
    jitter : float
        Uniformly drawn from [0, 1).
    """
    backoff_ms = min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** min(n_failures - 1, 10))
    return backoff_ms * (0.5 + jitter)


def fallback_ms(n_members, jitter):
    """Return how long a daemon waits to call the platform if its source has lost it.

    The wait grows with the number of daemons, so that a fleet cut off from the
    platform, as a whole or in part, does not poll it at a rate that grows with the
    fleet.
    """
    return (FALLBACK_BASE_MS + FALLBACK_PER_DAEMON_MS * n_members) * (0.5 + jitter)


def start_delay_ms(n_members, jitter):
    """Return how long a starting daemon waits before it writes to the platform.

    If the whole fleet starts at once, the writes must not exceed the rate that the
    platform accepts; 5 ms per daemon are 200 writes a second for a fleet of any size.
    """
    return START_DELAY_PER_DAEMON_MS * n_members * jitter


@attrs.define
class SourceHealth:
    """State of the daemons from which one daemon could get updates."""

    _suspected_until_ms: dict = attrs.Factory(dict)
    _ahead_since_ms: dict = attrs.Factory(dict)

    def suspect(self, name, now_ms):
        """Stop using a daemon that did not answer, for some time."""
        self._suspected_until_ms[name] = now_ms + SUSPICION_MS

    def trust(self, name):
        """Use a daemon that answered again."""
        self._suspected_until_ms.pop(name, None)

    def usable(self, name, now_ms):
        """Tell whether a daemon is not suspected."""
        return self._suspected_until_ms.get(name, 0.0) <= now_ms

    def needs_pull(self, name, newest, own_newest, now_ms):
        """Record a neighbour's newest version.

        Returns True if the neighbour has been ahead for longer than ``MAX_LAG_MS``, so
        that its updates have to be fetched.

        Parameters
        ----------
        name : str
            Name of the neighbour.
        newest, own_newest : int
            Highest version that the neighbour and this daemon have seen.
        now_ms : float
        """
        if newest <= own_newest:
            self._ahead_since_ms.pop(name, None)
            return False
        since_ms = self._ahead_since_ms.setdefault(name, now_ms)
        return now_ms - since_ms >= MAX_LAG_MS


def _in_same_domain(me, member):
    return member.failure_domain == me.failure_domain


def _hash_order(names):
    return sorted(names, key=lambda name: (_hash(name), name))


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())
