"""Decides which ranges with hot keys move to other servers, without I/O."""

import bisect
import itertools
import math

import attrs

__all__ = ["busy_servers", "rebalance_hot_keys"]

MAX_HOT_MOVES = 12
"""Maximum number of hot ranges whose move is started at once; requests for each are
rejected for some milliseconds."""

MIN_EXCESS_SHARE, MIN_EXCESS_DEVIATIONS = 0.4, 2.0
"""By how much a server's load must exceed the mean before its keys move: as a fraction
of the mean, and in standard deviations of a request count."""

MIN_UTILIZATION = 0.4
"""Minimum utilization of a server's slots before it gives keys away; below that, few of
its requests wait."""

MAX_MOVED_SHARE = 0.6
"""Fraction of the load difference between two servers that may move at once: slightly
more than the half that would make them equal, because one of the two is often faster.
"""

MIN_SPLIT_GAIN = 1.5
"""Factor by which the load moved with a part of a range must exceed that of the best
whole range, because each part of a split range is renewed separately from then on."""

HOT_KEY_SHARE = 0.5
"""Fraction of a server's capacity that a single key must use to be moved to a faster
server."""

MAX_SLOWDOWN_RATIO = 0.75
"""Maximum processing time at the faster server, relative to the current owner."""

MAX_RANGES_PER_SERVER = 40
"""Mean number of ranges per server beyond which no range is split. Hot spots that
wander over all keys for days would otherwise make the table and the number of renewals
grow without limit."""


@attrs.define(eq=False)
class _RangeLoad:
    """A range, or a remaining part of one that was split, and its load by key."""

    key_range: object
    load_by_key: list
    is_split: bool = False
    busy_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Sum the load."""
        self.busy_ms = sum(took_ms for _, took_ms in self.load_by_key)


@attrs.define(eq=False)
class _OwnerLoad:
    """A server, the ranges it owns, and its load per slot."""

    candidate: object
    range_loads: list = attrs.Factory(list)
    load_ms: float = 0.0

    def add_load(self, took_ms):
        self.load_ms += took_ms / self.candidate.slots


def rebalance_hot_keys(table, candidates, key_load):
    """Return ranges with hot keys that should move to less loaded servers.

    Keys become hot within seconds, hot keys are often adjacent, and many of them may
    have the same owner. Servers differ in speed, and some become slow. Without moves,
    requests would queue at one server while others are idle.

    Moving keys because of noise would cost more than it gains. Therefore only a server
    that is busy, and whose load exceeds the mean by more than chance explains, gives
    keys away, and only so many that the new owner ends up with less load than the old
    one had. A range with too much load for that is split; the part that moves may be a
    single key or all keys on one side of the hottest one.

    Parameters
    ----------
    table : RangeTable
    candidates : sequence of Candidate
    key_load : KeyLoad
        Recent load.

    Returns
    -------
    changed : list of KeyRange
        Ranges that move, and the remaining parts of ranges that were split.
    """
    owners = _owners(table, candidates, key_load.by_key)
    if len(owners) < 2:
        return []
    # Each move may add two ranges.
    max_ranges = len(table.ranges) + 2 * (MAX_HOT_MOVES + 1)
    may_split = max_ranges <= MAX_RANGES_PER_SERVER * len(owners)
    moved = _move_hottest_key(owners, key_load.window_ms) if may_split else []
    for _ in range(MAX_HOT_MOVES):
        most_loaded = max(owners, key=lambda owner: owner.load_ms)
        least_loaded = min(owners, key=lambda owner: owner.load_ms)
        if not _is_overloaded(most_loaded, owners, key_load):
            break
        gap_ms = most_loaded.load_ms - least_loaded.load_ms
        max_ms = MAX_MOVED_SHARE * gap_ms * most_loaded.candidate.slots
        range_load = _pop_movable_range(most_loaded, max_ms, may_split)
        if range_load is None:
            break
        moved.append(_reassign(range_load, most_loaded, least_loaded))
    kept = [p.key_range for owner in owners for p in owner.range_loads if p.is_split]
    return moved + kept


def busy_servers(table, candidates, key_load):
    """Return the names of the servers whose load is at least the mean.

    Parameters
    ----------
    table, candidates, key_load
        As for :func:`rebalance_hot_keys`.
    """
    owners = _owners(table, candidates, key_load.by_key)
    mean_ms = sum(owner.load_ms for owner in owners) / max(1, len(owners))
    return frozenset(o.candidate.name for o in owners if o.load_ms >= mean_ms > 0)


def _owners(table, candidates, by_key):
    """Return the candidates with their busy ranges, except those being moved."""
    owners = {c.name: _OwnerLoad(c) for c in candidates}
    keys = sorted(by_key)
    begin = 0
    while begin < len(keys):
        key_range = table.find(keys[begin])
        if key_range is None:
            begin += 1
            continue
        end = bisect.bisect_right(keys, key_range.last, begin)
        owner = owners.get(key_range.owner)
        is_settled = owner is not None and not key_range.is_moving
        if is_settled and owner.candidate.life == key_range.life:
            load_by_key = [(key, by_key[key]) for key in keys[begin:end]]
            range_load = _RangeLoad(key_range, load_by_key)
            owner.range_loads.append(range_load)
            owner.add_load(range_load.busy_ms)
        begin = end
    return list(owners.values())


def _is_overloaded(most_loaded, owners, key_load):
    """Tell whether a server is busy and its load exceeds the mean significantly."""
    mean_ms = sum(owner.load_ms for owner in owners) / len(owners)
    # Standard deviation of a server's load if requests choose servers by chance.
    deviation_ms = math.sqrt(
        mean_ms * key_load.request_ms / most_loaded.candidate.slots
    )
    min_excess_ms = max(
        MIN_EXCESS_SHARE * mean_ms, MIN_EXCESS_DEVIATIONS * deviation_ms
    )
    if most_loaded.load_ms - mean_ms <= min_excess_ms:
        return False
    return most_loaded.load_ms >= MIN_UTILIZATION * key_load.window_ms


def _move_hottest_key(owners, window_ms):
    """Move the hottest key to the fastest server; return what moves.

    One key may receive more traffic than a server can handle. It can't be split, and
    how many of its callers are served depends on the speed of its owner. Servers differ
    in speed by a factor of two or three, so this must not be left to chance.
    """
    owner, range_load, index, hottest_load_ms = max(
        (
            (owner, range_load, index, took_ms)
            for owner in owners
            for range_load in owner.range_loads
            for index, (_, took_ms) in enumerate(range_load.load_by_key)
        ),
        key=lambda found: found[3],
        default=(None, None, 0, 0.0),
    )
    if (
        owner is None
        or hottest_load_ms < HOT_KEY_SHARE * window_ms * owner.candidate.slots
    ):
        return []
    fastest = min(owners, key=lambda owner: owner.candidate.slowdown)
    if fastest.candidate.slowdown > MAX_SLOWDOWN_RATIO * owner.candidate.slowdown:
        return []
    return [_reassign(_split_off(owner, range_load, index, index + 1), owner, fastest)]


def _reassign(range_load, owner, to):
    """Account for a move in both owners' loads; return the range being moved."""
    owner.add_load(-range_load.busy_ms)
    to.add_load(range_load.busy_ms)
    return range_load.key_range.moved_to(to.candidate.name, to.candidate.life)


def _pop_movable_range(owner, max_ms, may_split):
    """Remove and return an owner's range with the most load up to a limit.

    A range above the limit is split if the part that moves has ``MIN_SPLIT_GAIN`` times
    the load of the best whole range, or if there is no such range.

    Returns
    -------
    range_load : _RangeLoad or None
        None if no range with load fits the limit, not even a part of one.
    """
    whole = max(
        (p for p in owner.range_loads if 0 < p.busy_ms <= max_ms),
        key=lambda range_load: range_load.busy_ms,
        default=None,
    )
    best_ms = MIN_SPLIT_GAIN * whole.busy_ms if whole is not None else 0.0
    best = None
    for range_load in owner.range_loads if may_split else ():
        if range_load.busy_ms <= max_ms:
            continue
        begin, end, run_ms = _busiest_run(range_load.load_by_key, max_ms)
        if run_ms > best_ms:
            best, best_ms = (range_load, begin, end), run_ms
    if best is not None:
        return _split_off(owner, *best)
    if whole is not None:
        owner.range_loads.remove(whole)
    return whole


def _busiest_run(load_by_key, max_ms):
    """Return start, end and load of the most loaded adjacent keys up to a limit."""
    best, begin, sum_ms = (0, 0, 0.0), 0, 0.0
    for end, (_, took_ms) in enumerate(load_by_key, 1):
        sum_ms += took_ms
        while sum_ms > max_ms:
            sum_ms -= load_by_key[begin][1]
            begin += 1
        if sum_ms > best[2]:
            best = begin, end, sum_ms
    return best


def _split_off(owner, range_load, begin, end):
    """Split a run of keys off a range and return it; the owner keeps the rest."""
    key_range, load_by_key = range_load.key_range, range_load.load_by_key
    first = load_by_key[begin][0] if begin else key_range.first
    last = load_by_key[end][0] - 1 if end < len(load_by_key) else key_range.last
    bounds = [key_range.first, first, last + 1, key_range.last + 1]
    parts = [
        _RangeLoad(
            attrs.evolve(key_range, first=low, last=high - 1), part, is_split=True
        )
        for (low, high), part in zip(
            itertools.pairwise(bounds),
            (load_by_key[:begin], load_by_key[begin:end], load_by_key[end:]),
            strict=True,
        )
    ]
    owner.range_loads.remove(range_load)
    owner.range_loads += [p for p in (parts[0], parts[2]) if p.key_range.n_keys > 0]
    return parts[1]
