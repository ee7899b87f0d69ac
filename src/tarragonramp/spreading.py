"""Who watches the platform and who learns from whom: decisions without I/O.

Each platform watch counts as a call, so only a few daemons of a failure domain keep
one. The others form a tree below them and wait for their parent's news. All place
the daemons in the same order, by a hash of their names, so nothing is agreed on;
a parent always comes before its children in that order, so there is no cycle even
while daemons differ in whom they suspect.
"""

import attrs
import xxhash

__all__ = [
    "PLATFORM",
    "Sources",
    "fallback_ms",
    "outside_sources",
    "retry_ms",
    "source_of",
    "start_delay_ms",
]

PLATFORM = ""
"""Stands for the platform where else a daemon's name does."""

CHILDREN = 4
"""Daemons that wait for one daemon's news.

Load: a change reaches all daemons of a failure domain at once. Harm prevented: one
that answers everybody, or, with one child each, as many hops as there are daemons.
Four take 132 daemons in four hops and cost a parent four waiting requests.
"""

SUSPECT_MS = 3000
"""How long a silent daemon is passed over before it is asked again."""

LAG_MS = 300
"""How long a neighbour may be ahead before its news is pulled from it.

Two pings long: news on its ordinary way arrives sooner. A watch or a parent that is
lost without closing, frozen, or served an old state is noticed by this alone.
"""

RETRY_MS = 200
MAX_RETRY_MS = 1000
FALLBACK_BASE_MS = 1000
FALLBACK_PER_DAEMON_MS = 20
START_PER_DAEMON_MS = 5


def source_of(me, members, n_watchers, usable):
    """Decide where a daemon gets its news.

    Parameters
    ----------
    me : Member
    members : dict of str to Member
        All known daemons; ``me`` need not be among them.
    n_watchers : int
        How many of a failure domain watch the platform.
    usable : callable
        ``usable(name)`` is False for a daemon that is suspected to be silent. A
        silent watcher's first child moves up and watches in its place.

    Returns
    -------
    name : str
        PLATFORM if this daemon has to watch the platform itself.
    """
    order = _order(m.name for m in members.values() if _is_near(me, m))
    if me.name not in order:
        order = _order([*order, me.name])
    order = [name for name in order if name == me.name or usable(name)]
    rank = order.index(me.name)
    if rank < n_watchers:
        return PLATFORM
    return order[(rank - n_watchers) // CHILDREN]


def outside_sources(me, members, n_watchers, usable):
    """Return watchers of other failure domains.

    A failure domain may be cut off from the platform and not from its peers.

    Returns
    -------
    names : list of str
        The nearest in an order that differs by daemon, so that a failure domain
        does not ask one daemon only.
    """
    by_domain = {}
    for member in members.values():
        if not _is_near(me, member) and usable(member.name):
            by_domain.setdefault(member.failure_domain, []).append(member.name)
    names = [name for near in by_domain.values() for name in _order(near)[:n_watchers]]
    return sorted(names, key=lambda name: _hash(f"{me.name}/{name}"))


def retry_ms(n_failures, draw):
    """Return the wait before the platform is asked again.

    Load: an outage of the platform meets every watcher at once. Harm prevented: all
    of them asking in step when it comes back.

    Parameters
    ----------
    n_failures : int
        In a row, at least 1.
    draw : float
        Uniformly drawn from [0, 1).
    """
    steady_ms = min(MAX_RETRY_MS, RETRY_MS * 2 ** min(n_failures - 1, 10))
    return steady_ms * (0.5 + draw)


def fallback_ms(n_members, draw):
    """Return how long a daemon whose source has lost the platform waits to ask it.

    Load: the platform is out of reach, for all or for some. Harm prevented: a fleet
    that polls it; the wait grows with the fleet, so the calls do not.
    """
    return (FALLBACK_BASE_MS + FALLBACK_PER_DAEMON_MS * n_members) * (0.5 + draw)


def start_delay_ms(n_members, draw):
    """Return how long a starting daemon waits before it writes.

    Load: the whole fleet starts at once. Harm prevented: more writes a second than
    the platform takes; 5 ms a daemon are 200 a second for any fleet.
    """
    return START_PER_DAEMON_MS * n_members * draw


@attrs.define
class Sources:
    """What one daemon believes of the daemons it could learn from."""

    _suspected_until_ms: dict = attrs.Factory(dict)
    _ahead_since_ms: dict = attrs.Factory(dict)

    def suspect(self, name, now_ms):
        """Pass over a daemon that did not answer."""
        self._suspected_until_ms[name] = now_ms + SUSPECT_MS

    def trust(self, name):
        """Take a daemon that answered as usable again."""
        self._suspected_until_ms.pop(name, None)

    def usable(self, name, now_ms):
        """Tell whether a daemon is not suspected."""
        return self._suspected_until_ms.get(name, 0.0) <= now_ms

    def lags(self, name, newest, own_newest, now_ms):
        """Take in a neighbour's newest version; True if its news must be pulled.

        Parameters
        ----------
        name : str
            Of the neighbour.
        newest, own_newest : int
            Highest version that the neighbour and this daemon have seen.
        now_ms : float
        """
        if newest <= own_newest:
            self._ahead_since_ms.pop(name, None)
            return False
        since_ms = self._ahead_since_ms.setdefault(name, now_ms)
        return now_ms - since_ms >= LAG_MS


def _is_near(me, member):
    return member.failure_domain == me.failure_domain


def _order(names):
    return sorted(names, key=lambda name: (_hash(name), name))


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())
