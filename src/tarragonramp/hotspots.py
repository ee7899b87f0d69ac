"""Which busy keys should move to other servers. Pure decisions, without I/O."""

import bisect
import itertools
import math

import attrs

__all__ = ["busy_servers", "spread_heat"]

MAX_SPREAD = 12
"""Most moves of busy keys begun at a time; each is refused for some milliseconds."""

EXCESS_SHARE, EXCESS_DEVIATIONS = 0.4, 2.0
"""By how much of the mean, and by how many standard deviations of a count, a server has
to have more requests than the mean before its keys move."""

BUSY_SHARE = 0.4
"""Part of its slots that a server must have had in use to give busy keys away; below
that few of its requests wait."""

MOVED_SHARE = 0.6
"""Part of the difference between two servers that may move at once: a little more than
half, which would make them equal, as one of the two is often quicker."""

CUT_GAIN = 1.5
"""How much more work has to move with a part of a range than with the best whole range:
a cut range is renewed in pieces from then on."""

HOT_KEY_SHARE = 0.5
"""Part of a server that one key has to take to be worth a quicker server."""

QUICKER = 0.75
"""How long work may take there at most, as part of what it takes at its owner."""

MAX_RANGES_PER_SERVER = 40
"""Cuts end here. Load: busy places that wander over all keys, day after day. Harm
prevented: a table, and renewals, that grow with each of them."""


@attrs.define(eq=False)
class _Piece:
    """A range, or what stays of one that was cut, and its work by key."""

    item: object
    work: list
    is_cut: bool = False
    busy_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Sum the work."""
        self.busy_ms = sum(took_ms for _, took_ms in self.work)


@attrs.define(eq=False)
class _Owner:
    """A server, what it owns, and its work for each of its slots."""

    candidate: object
    pieces: list = attrs.Factory(list)
    load_ms: float = 0.0

    def add_load(self, took_ms):
        self.load_ms += took_ms / self.candidate.slots


def spread_heat(table, candidates, heat):
    """Return busy keys that should move to servers that have less to do.

    Load: keys become busy within seconds, they lie side by side, and many of them may
    have one owner; servers differ in speed, and some turn slow. Harm prevented: a queue
    before one server while others are idle. Chasing noise would cost more than it
    brings, so only a server that is busy itself and stands out from chance gives keys
    away, and only as many as leave the new owner with less than the old one had. A
    range that is too busy for that is cut: what moves of it may be a single key, or all
    on one side of the busiest.

    Parameters
    ----------
    table : RangeTable
    candidates : sequence of Candidate
    heat : Heat
        Recent work.

    Returns
    -------
    changed : list of KeyRange
        Those that move, and what stays where it is of ranges that were cut.
    """
    owners = _owners(table, candidates, heat.by_key)
    if len(owners) < 2:
        return []
    # Each move may leave two pieces more.
    most_ranges = len(table.ranges) + 2 * (MAX_SPREAD + 1)
    may_cut = most_ranges <= MAX_RANGES_PER_SERVER * len(owners)
    moved = _place_hottest(owners, heat.window_ms) if may_cut else []
    for _ in range(MAX_SPREAD):
        fullest = max(owners, key=lambda owner: owner.load_ms)
        emptiest = min(owners, key=lambda owner: owner.load_ms)
        if not _stands_out(fullest, owners, heat):
            break
        gap_ms = fullest.load_ms - emptiest.load_ms
        most_ms = MOVED_SHARE * gap_ms * fullest.candidate.slots
        piece = _take_piece(fullest, most_ms, may_cut)
        if piece is None:
            break
        moved.append(_hand_over(piece, fullest, emptiest))
    kept = [p.item for owner in owners for p in owner.pieces if p.is_cut]
    return moved + kept


def busy_servers(table, candidates, heat):
    """Return the names of the servers that have at least as much to do as the mean.

    Parameters
    ----------
    table, candidates, heat
        As for :func:`spread_heat`.
    """
    owners = _owners(table, candidates, heat.by_key)
    mean_ms = sum(owner.load_ms for owner in owners) / max(1, len(owners))
    return frozenset(o.candidate.name for o in owners if o.load_ms >= mean_ms > 0)


def _owners(table, candidates, by_key):
    """Return the candidates with their settled ranges."""
    owners = {c.name: _Owner(c) for c in candidates}
    keys = sorted(by_key)
    for item in table.ranges:
        owner = owners.get(item.owner)
        if owner is None or owner.candidate.life != item.life or item.is_moving:
            continue
        begin = bisect.bisect_left(keys, item.first)
        end = bisect.bisect_right(keys, item.last)
        piece = _Piece(item, [(key, by_key[key]) for key in keys[begin:end]])
        owner.pieces.append(piece)
        owner.add_load(piece.busy_ms)
    return list(owners.values())


def _stands_out(fullest, owners, heat):
    """Tell whether a server has more to do than others beyond chance, and too much."""
    mean_ms = sum(owner.load_ms for owner in owners) / len(owners)
    chance_ms = math.sqrt(mean_ms * heat.request_ms / fullest.candidate.slots)
    least_ms = max(EXCESS_SHARE * mean_ms, EXCESS_DEVIATIONS * chance_ms)
    if fullest.load_ms - mean_ms <= least_ms:
        return False
    return fullest.load_ms >= BUSY_SHARE * heat.window_ms


def _place_hottest(owners, window_ms):
    """Move the busiest key of all to the quickest server; return what moves.

    Load: one key gets much of the traffic, more than a server can take. Harm prevented:
    its callers depending on chance. It can't be divided, but servers differ two or
    three times in speed, and so does the number of its callers that are served.
    """
    owner, piece, at, hottest_ms = max(
        (
            (owner, piece, at, took_ms)
            for owner in owners
            for piece in owner.pieces
            for at, (_, took_ms) in enumerate(piece.work)
        ),
        key=lambda found: found[3],
        default=(None, None, 0, 0.0),
    )
    if owner is None or hottest_ms < HOT_KEY_SHARE * window_ms * owner.candidate.slots:
        return []
    quickest = min(owners, key=lambda owner: owner.candidate.speed)
    if quickest.candidate.speed > QUICKER * owner.candidate.speed:
        return []
    return [_hand_over(_cut(owner, piece, at, at + 1), owner, quickest)]


def _hand_over(piece, owner, to):
    """Count a piece's work with its next owner; return its range on its way there."""
    owner.add_load(-piece.busy_ms)
    to.add_load(piece.busy_ms)
    return piece.item.moved_to(to.candidate.name, to.candidate.life)


def _take_piece(owner, most_ms, may_cut):
    """Take from an owner the piece with the most work up to a limit; None if none.

    A part of a busier piece only if it has much more.
    """
    whole = max(
        (p for p in owner.pieces if 0 < p.busy_ms <= most_ms),
        key=lambda piece: piece.busy_ms,
        default=None,
    )
    best_ms = CUT_GAIN * whole.busy_ms if whole is not None else 0.0
    best = None
    for piece in owner.pieces if may_cut else ():
        if piece.busy_ms <= most_ms:
            continue
        begin, end, run_ms = _busiest_run(piece.work, most_ms)
        if run_ms > best_ms:
            best, best_ms = (piece, begin, end), run_ms
    if best is not None:
        return _cut(owner, *best)
    if whole is not None:
        owner.pieces.remove(whole)
    return whole


def _busiest_run(work, most_ms):
    """Return begin, end and sum of the neighbours with the most work up to a limit."""
    best, begin, sum_ms = (0, 0, 0.0), 0, 0.0
    for end, (_, took_ms) in enumerate(work, 1):
        sum_ms += took_ms
        while sum_ms > most_ms:
            sum_ms -= work[begin][1]
            begin += 1
        if sum_ms > best[2]:
            best = begin, end, sum_ms
    return best


def _cut(owner, piece, begin, end):
    """Cut a run of keys out of a piece of an owner, which keeps the rest; return it."""
    item, work = piece.item, piece.work
    first = work[begin][0] if begin else item.first
    last = work[end][0] - 1 if end < len(work) else item.last
    bounds = [item.first, first, last + 1, item.last + 1]
    parts = [
        _Piece(attrs.evolve(item, first=low, last=high - 1), part, is_cut=True)
        for (low, high), part in zip(
            itertools.pairwise(bounds),
            (work[:begin], work[begin:end], work[end:]),
            strict=True,
        )
    ]
    owner.pieces.remove(piece)
    owner.pieces += [p for p in (parts[0], parts[2]) if p.item.n_keys > 0]
    return parts[1]
