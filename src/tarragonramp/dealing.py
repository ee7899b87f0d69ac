"""Which server each range of keys should have. Pure decisions, without I/O."""

import heapq

import attrs

from .manifest import N_KEYS
from .ranges import KeyRange, RangeTable, even_bounds

__all__ = ["Candidate", "first_deal", "plan_moves"]

RANGES_PER_SERVER = 18
"""Load: busy keys that lie side by side. Harm prevented: one server owning all of
them, at four times the mean load of its peers. Narrow ranges dealt in turn bring that
to about twice at 16 a server; each has to be renewed, mostly across failure domains."""

MAX_MOVES = 48
"""Most ranges on their way at one time. Load: a failure domain leaves, with a quarter
of all keys. Harm prevented: hundreds of releases at once, each of which waits for
running work, hold up the ones that are free at once."""

FAIR_SHARE, FILLED_SHARE = 0.2, 0.7
"""A server with less than the first part of its fair share of keys gets as much as the
second. Load: servers are added one by one. Harm prevented: keys that move at each small
difference, or back to a server that was relieved of busy ones."""


@attrs.frozen
class Candidate:
    """A server that may own keys.

    Parameters
    ----------
    name : str
    life : int
    address : str
    slots : int
        Requests that it works on at once.
    speed : float
        How long work takes there lately, as a factor; 1 as usual.
    """

    name: str
    life: int
    address: str = ""
    slots: int = 1
    speed: float = 1.0


def first_deal(service, candidates):
    """Return a table in which neighbouring ranges have different owners.

    Parameters
    ----------
    service : str
    candidates : sequence of Candidate
        At least one.
    """
    n_ranges = RANGES_PER_SERVER * len(candidates)
    ordered = sorted(candidates, key=lambda candidate: candidate.name)
    ranges = []
    for at, (first, last) in enumerate(even_bounds(n_ranges)):
        turn, place = divmod(at, len(ordered))
        # Shifted by a place each turn, so that no two servers are always neighbours.
        owner = ordered[(place + turn) % len(ordered)]
        ranges.append(KeyRange(first, last, owner.name, owner.life, 1))
    addresses = {candidate.name: candidate.address for candidate in ordered}
    return RangeTable(service, tuple(ranges), addresses, n_ranges)


def plan_moves(table, candidates, stays, n_moving=0, busy=frozenset):
    """Return the ranges that should change their owner now, as they should be.

    First those whose owner may not have them any more; then some for a server that
    has far less than its share.

    Parameters
    ----------
    table : RangeTable
    candidates : sequence of Candidate
        Servers that may be given keys now.
    stays : callable
        ``stays(KeyRange) -> bool``: whether its owner may keep it.
    n_moving : int
        How many are on their way already.
    busy : callable
        Returns the names of servers that have enough to do, however few keys they own;
        asked once, and only if one has few.

    Returns
    -------
    moved : list of KeyRange
    """
    room = MAX_MOVES - n_moving
    if not candidates or room <= 0:
        return []
    lives = {candidate.name: candidate.life for candidate in candidates}
    slots = {candidate.name: candidate.slots for candidate in candidates}

    def cost(item):
        return item.n_keys / N_KEYS

    loads = dict.fromkeys(lives, 0.0)
    orphans = []
    for item in table.ranges:
        if lives.get(item.owner) == item.life:
            loads[item.owner] += cost(item) / slots[item.owner]
        elif not item.is_moving and not stays(item):
            orphans.append(item)
    orphans.sort(key=cost, reverse=True)
    heap = [(load, name) for name, load in loads.items()]
    heapq.heapify(heap)
    moved = []
    for item in orphans[:room]:
        load, name = heapq.heappop(heap)
        moved.append(item.moved_to(name, lives[name]))
        load += cost(item) / slots[name]
        heapq.heappush(heap, (load, name))
    if orphans:
        return moved
    return _fill_up(table, candidates, cost, room, busy)


def _by_owner(table, candidates):
    """Return the settled ranges of each candidate."""
    lives = {candidate.name: candidate.life for candidate in candidates}
    by_owner = {name: [] for name in lives}
    for item in table.ranges:
        if lives.get(item.owner) == item.life and not item.is_moving:
            by_owner[item.owner].append(item)
    return by_owner


def _fill_up(table, candidates, cost, room, busy):
    """Give servers that have far less than their share some ranges of the fullest.

    Not the owner of a key so busy that it was relieved of all others.
    """
    by_owner = _by_owner(table, candidates)
    lives = {candidate.name: candidate.life for candidate in candidates}
    slots = {candidate.name: candidate.slots for candidate in candidates}
    loads = dict.fromkeys(lives, 0.0)
    for item in table.ranges:
        if lives.get(item.owner) == item.life:
            loads[item.owner] += cost(item) / slots[item.owner]
    fair = 1.0 / sum(slots.values())
    short = [name for name in loads if loads[name] < FAIR_SHARE * fair]
    if not short:
        return []
    moved, full = [], busy()
    for name in sorted(short, key=loads.get):
        if name in full:
            continue
        while loads[name] < FILLED_SHARE * fair and len(moved) < room:
            fullest = max(loads, key=loads.get)
            ranges = by_owner[fullest]
            if fullest == name or len(ranges) < 2:
                return moved
            item = ranges.pop()
            moved.append(item.moved_to(name, lives[name]))
            loads[fullest] -= cost(item) / slots[fullest]
            loads[name] += cost(item) / slots[name]
    return moved
