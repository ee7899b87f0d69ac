"""Decides which server should own each range of keys, without I/O."""

import heapq

import attrs

from .manifest import N_KEYS
from .ranges import KeyRange, RangeTable, even_bounds

__all__ = ["Candidate", "initial_table", "plan_moves"]

RANGES_PER_SERVER = 18
"""Number of ranges per server. Hot keys are often adjacent, so with wide ranges one
server owns all of them, at four times the mean load. With narrow ranges assigned in
turn, at 16 per server, the maximum is about twice the mean. Each range has to be
renewed, mostly across failure domains."""

MAX_MOVES = 48
"""Maximum number of ranges being moved at one time. A failure domain that leaves owns a
quarter of all keys. Hundreds of releases at once would each wait for running requests
and delay the ranges that are free immediately."""

MIN_FAIR_SHARE, TARGET_FAIR_SHARE = 0.2, 0.7
"""A server with less than the first fraction of its fair share of keys is given the
second fraction. When servers are added one by one, keys would otherwise move at each
small difference, or move back to a server that gave away hot ones."""


@attrs.frozen
class Candidate:
    """A server that may own keys.

    Parameters
    ----------
    name : str
    life : int
        Start time of the server's process.
    address : str
    slots : float
        Requests that it processes at once; less than one if it takes few in a second.
    slowdown : float
        Recent processing time as a multiple of the usual one.
    """

    name: str
    life: int
    address: str = ""
    slots: float = 1
    slowdown: float = 1.0

    @property
    def identity(self):
        """Name and life, which identify the process that a grant is for."""
        return self.name, self.life


def initial_table(service, candidates):
    """Return a table in which adjacent ranges have different owners.

    Parameters
    ----------
    service : str
    candidates : sequence of Candidate
        At least one.
    """
    n_ranges = RANGES_PER_SERVER * len(candidates)
    ordered = sorted(candidates, key=lambda candidate: candidate.name)
    ranges = []
    for index, (first, last) in enumerate(even_bounds(n_ranges)):
        turn, place = divmod(index, len(ordered))
        # Shifted by one in each round, so that no two servers are always adjacent.
        owner = ordered[(place + turn) % len(ordered)]
        ranges.append(KeyRange(first, last, owner.name, owner.life, 1))
    addresses = {candidate.identity: candidate.address for candidate in ordered}
    return RangeTable(service, tuple(ranges), addresses, n_ranges)


def plan_moves(table, candidates, may_keep, n_moving=0, busy=frozenset):
    """Return the ranges whose owner should change now, with their new owner.

    Ranges whose owner may not keep them come first; if there are none, servers with far
    less than their fair share are given some.

    Parameters
    ----------
    table : RangeTable
    candidates : sequence of Candidate
        Servers that may be given keys now.
    may_keep : callable
        ``may_keep(KeyRange) -> bool``: whether its owner may keep the range.
    n_moving : int
        Number of ranges already being moved.
    busy : callable
        Returns the names of servers that have enough load, however few keys they own.
        Called once, and only if a server has few keys.

    Returns
    -------
    moved : list of KeyRange
    """
    max_new_moves = MAX_MOVES - n_moving
    if not candidates or max_new_moves <= 0:
        return []
    lives = {candidate.name: candidate.life for candidate in candidates}
    slots = {candidate.name: candidate.slots for candidate in candidates}

    loads = _loads(table, candidates)
    orphaned = [
        key_range
        for (owner, life), owned in table.by_owner.items()
        if lives.get(owner) != life
        for key_range in owned
        if not key_range.is_moving and not may_keep(key_range)
    ]
    orphaned.sort(key=lambda key_range: (-key_range.n_keys, key_range.first))
    heap = [(load, name) for name, load in loads.items()]
    heapq.heapify(heap)
    moved = []
    for key_range in orphaned[:max_new_moves]:
        load, name = heapq.heappop(heap)
        moved.append(key_range.moved_to(name, lives[name]))
        load += _key_share(key_range) / slots[name]
        heapq.heappush(heap, (load, name))
    if orphaned:
        return moved
    return _fill_underloaded(table, candidates, max_new_moves, busy)


def _key_share(key_range):
    return key_range.n_keys / N_KEYS


def _loads(table, candidates):
    """Return each candidate's share of all keys, per slot."""
    loads = {}
    for candidate in candidates:
        owned = table.by_owner.get((candidate.name, candidate.life), ())
        n_keys = sum(item.last - item.first + 1 for item in owned)
        loads[candidate.name] = n_keys / N_KEYS / candidate.slots
    return loads


def _settled_ranges(table, candidates):
    """Return the ranges of each candidate that are not being moved."""
    return {
        candidate.name: [
            key_range
            for key_range in table.by_owner.get((candidate.name, candidate.life), ())
            if not key_range.is_moving
        ]
        for candidate in candidates
    }


def _fill_underloaded(table, candidates, max_new_moves, busy):
    """Give servers with far less than their fair share ranges of the most loaded ones.

    Servers in ``busy()`` are excluded: they may own few keys because one is so hot that
    they gave all others away.
    """
    lives = {candidate.name: candidate.life for candidate in candidates}
    slots = {candidate.name: candidate.slots for candidate in candidates}
    loads = _loads(table, candidates)
    fair_load = 1.0 / sum(slots.values())
    underloaded = [name for name in loads if loads[name] < MIN_FAIR_SHARE * fair_load]
    if not underloaded:
        return []
    by_owner = _settled_ranges(table, candidates)
    moved, busy_names = [], busy()
    for name in sorted(underloaded, key=loads.get):
        if name in busy_names:
            continue
        while (
            loads[name] < TARGET_FAIR_SHARE * fair_load and len(moved) < max_new_moves
        ):
            most_loaded = max(loads, key=loads.get)
            ranges = by_owner[most_loaded]
            if most_loaded == name or len(ranges) < 2:
                return moved
            key_range = ranges.pop()
            moved.append(key_range.moved_to(name, lives[name]))
            loads[most_loaded] -= _key_share(key_range) / slots[most_loaded]
            loads[name] += _key_share(key_range) / slots[name]
    return moved
