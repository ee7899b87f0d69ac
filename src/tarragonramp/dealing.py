"""Which server each range of keys should have. Pure decisions, without I/O."""

import heapq

import attrs

from .manifest import N_KEYS
from .ranges import KeyRange, RangeTable

__all__ = ["MAX_MOVES", "Candidate", "first_deal", "plan_moves"]

RANGES_PER_SERVER = 24
"""Load: busy keys that lie side by side. Harm prevented: one server owning all of
them, at four times the mean load of its peers. Narrow ranges dealt in turn bring that
to about twice at 16 a server; at 48 the renewals begin to cost more than they bring."""

MAX_MOVES = 48
"""Most ranges on their way at one time. Load: a failure domain leaves, with a quarter
of all keys. Harm prevented: hundreds of releases at once, each of which waits for
running work, hold up the ones that are free at once."""

FAIR_SHARE = 0.6
"""A server with less than this part of its fair share of keys gets some. Load: servers
are added one by one. Harm prevented: keys that move at each small difference; each
move costs callers a moment and the new owner its caches."""


@attrs.frozen
class Candidate:
    """A server that may own keys.

    Parameters
    ----------
    name : str
    life : int
    address : str
    weight : float
        Its capacity relative to its peers.
    """

    name: str
    life: int
    address: str = ""
    weight: float = 1.0


def first_deal(service, candidates):
    """Return a table in which neighbouring ranges have different owners.

    Parameters
    ----------
    service : str
    candidates : sequence of Candidate
        At least one.
    """
    n_ranges = RANGES_PER_SERVER * len(candidates)
    bounds = [N_KEYS * at // n_ranges for at in range(n_ranges + 1)]
    ordered = sorted(candidates, key=lambda candidate: candidate.name)
    ranges = []
    for at in range(n_ranges):
        turn, place = divmod(at, len(ordered))
        # Shifted by a place each turn, so that no two servers are always neighbours.
        owner = ordered[(place + turn) % len(ordered)]
        ranges.append(
            KeyRange(bounds[at], bounds[at + 1] - 1, owner.name, owner.life, 1)
        )
    addresses = {candidate.name: candidate.address for candidate in ordered}
    return RangeTable(service, tuple(ranges), addresses)


def plan_moves(table, candidates, stays, heat=None, n_moving=0):
    """Return the ranges that should change their owner now, as they should be.

    First those whose owner may not have them any more, the busiest first; then some
    for a server that has far less than its share.

    Parameters
    ----------
    table : RangeTable
    candidates : sequence of Candidate
        Servers that may be given keys now.
    stays : callable
        ``stays(KeyRange) -> bool``: whether its owner may keep it.
    heat : dict of int to float, optional
        Requests a second by first key; without it, ranges count by their keys.
    n_moving : int
        How many are on their way already.

    Returns
    -------
    moved : list of KeyRange
    """
    room = MAX_MOVES - n_moving
    if not candidates or room <= 0:
        return []
    lives = {candidate.name: candidate.life for candidate in candidates}
    weight = {candidate.name: candidate.weight for candidate in candidates}
    total_keys = sum(item.n_keys for item in table.ranges)
    total_heat = sum(heat.values()) if heat else 0.0

    def cost(item):
        share = item.n_keys / total_keys
        if total_heat:
            share = 0.5 * share + 0.5 * heat.get(item.first, 0.0) / total_heat
        return share

    loads = dict.fromkeys(lives, 0.0)
    orphans = []
    for item in table.ranges:
        if lives.get(item.owner) == item.life:
            loads[item.owner] += cost(item) / weight[item.owner]
        elif not item.is_moving and not stays(item):
            orphans.append(item)
    orphans.sort(key=cost, reverse=True)
    heap = [(load, name) for name, load in loads.items()]
    heapq.heapify(heap)
    moved = []
    for item in orphans[:room]:
        load, name = heapq.heappop(heap)
        moved.append(item.moved_to(name, lives[name]))
        load += cost(item) / weight[name]
        loads[name] = load
        heapq.heappush(heap, (load, name))
    if orphans:
        return moved
    return _fill_up(table, lives, weight, loads, cost, room)


def _fill_up(table, lives, weight, loads, cost, room):
    """Give servers that have far less than their share some ranges of the fullest."""
    fair = 1.0 / sum(weight.values())
    by_owner = {}
    for item in table.ranges:
        if lives.get(item.owner) == item.life and not item.is_moving:
            by_owner.setdefault(item.owner, []).append(item)
    moved = []
    for name in sorted(loads, key=loads.get):
        while loads[name] < FAIR_SHARE * fair and len(moved) < room:
            fullest = max(loads, key=loads.get)
            ranges = by_owner.get(fullest)
            if fullest == name or not ranges or len(ranges) < 2:
                return moved
            item = ranges.pop()
            moved.append(item.moved_to(name, lives[name]))
            loads[fullest] -= cost(item) / weight[fullest]
            loads[name] += cost(item) / weight[name]
    return moved
