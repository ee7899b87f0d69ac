"""Who owns which keys: ranges of numeric keys with owners and fencing tokens."""

import bisect
import collections
import functools
import itertools

import attrs

from .manifest import N_KEYS

__all__ = ["KeyRange", "RangeTable", "TableHistory", "even_bounds", "fence_token"]

GAP = 1 << 16
"""By how much a move raises the token. Those between fence the old owner: given to it
before its release, they make it refuse grants of lower tokens that are still on their
way. Each try needs one above the last, as an unanswered one may be on its way, too."""

FENCES_A_TERM = 8
"""Tries that one leader has for a move; its successors' are above them."""


def fence_token(old_token, term, attempt):
    """Return the token of a try to fence an old owner; None if there are no more.

    Parameters
    ----------
    old_token : int
        Under which it has the keys.
    term : int
        Of the leader.
    attempt : int
        How many it has made for this move.
    """
    if attempt >= FENCES_A_TERM:
        return None
    return old_token + 1 + (term * FENCES_A_TERM + attempt) % (GAP - 1)


@attrs.frozen
class KeyRange:
    """Neighbouring keys with one owner.

    Parameters
    ----------
    first, last : int
        Both inclusive.
    owner : str
        Empty while nobody has been given the keys.
    life : int
        The owner's life.
    token : int
        Fencing token of the latest owner, or of the one it is moving to.
    old_owner, old_life, old_token : str, int, int
        Set while the range is on its way from an earlier owner, which may still
        hold it.
    """

    first: int
    last: int
    owner: str = ""
    life: int = 0
    token: int = 0
    old_owner: str = ""
    old_life: int = 0
    old_token: int = 0

    @property
    def is_moving(self):
        """Whether an earlier owner may still hold the keys."""
        return bool(self.old_owner)

    @property
    def n_keys(self):
        """How many keys there are."""
        return self.last - self.first + 1

    def moved_to(self, owner, life):
        """Return the range on its way to another owner.

        Only for one that is settled: of one on its way the earlier owner, which may
        still hold it, would be forgotten.
        """
        return KeyRange(
            self.first,
            self.last,
            owner,
            life,
            self.token + GAP,
            self.owner,
            self.life,
            self.token,
        )

    def raised(self):
        """Return the range under a token that its owner has not had, in any life."""
        return attrs.evolve(self, token=self.token + GAP)

    def is_as_for_requests(self, other):
        """Tell whether requests go where they do by another state of the range.

        A token matters only to whoever grants; daemons that route need not hear of it.
        """
        if self.is_moving or other.is_moving:
            return self == other
        return attrs.evolve(self, token=other.token) == other

    def settled(self):
        """Return the range with its earlier owner forgotten."""
        return attrs.evolve(self, old_owner="", old_life=0, old_token=0)


@attrs.define(eq=False, repr=False)
class RangeTable:
    """The ranges of one service, in the order of their keys.

    Parameters
    ----------
    service : str
    ranges : tuple of KeyRange
    addresses : dict of str to str
        Where the owners are, also those whose entries are gone.
    n_dealt : int
        Into how many even ranges all keys were divided before some were cut; 0 for a
        table that is no whole one.
    """

    service: str
    ranges: tuple[KeyRange, ...] = ()
    addresses: dict = attrs.Factory(dict)
    n_dealt: int = 0
    _firsts: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Index the ranges."""
        self._firsts = [item.first for item in self.ranges]

    def find(self, key):
        """Return the KeyRange of a key, or None."""
        at = bisect.bisect_right(self._firsts, key) - 1
        if at < 0 or self.ranges[at].last < key:
            return None
        return self.ranges[at]

    def with_ranges(self, changed, addresses=()):
        """Return a table in which newer ranges stand in place of those they cover.

        Parameters
        ----------
        changed : iterable of KeyRange
            The pieces of a range that was cut come all together.
        addresses : dict of str to str
            Of new owners.

        Raises
        ------
        ValueError
            If they leave keys without a range, or reach into others.
        """
        changed = list(changed)
        replaced = {at for item in changed for at in self._covered(item)}
        n_before = sum(self.ranges[at].n_keys for at in replaced)
        if n_before != sum(item.n_keys for item in changed):
            raise ValueError("ranges do not fit in place of the earlier ones")
        ranges = [r for at, r in enumerate(self.ranges) if at not in replaced]
        ranges = tuple(sorted(ranges + changed, key=lambda item: item.first))
        named = {n for r in ranges for n in (r.owner, r.old_owner)}
        known = {**self.addresses, **dict(addresses)}
        kept = {name: known[name] for name in named if name in known}
        return RangeTable(self.service, ranges, kept, self.n_dealt)

    def _covered(self, item):
        """Return the indexes of the ranges that share keys with another one."""
        begin = max(0, bisect.bisect_right(self._firsts, item.first) - 1)
        return range(begin, bisect.bisect_right(self._firsts, item.last))

    def changed_from(self, earlier):
        """Return a table of only those ranges that differ from an earlier one's.

        Returns
        -------
        changed : RangeTable
            For ``earlier.with_ranges(changed.ranges, changed.addresses)``, which is
            this table again, but for raised tokens: a leader reads these in the store.
        """
        before = {item.first: item for item in earlier.ranges}
        pairs = ((before.get(item.first), item) for item in self.ranges)
        ranges = tuple(
            new
            for old, new in pairs
            if old is not new and (old is None or not new.is_as_for_requests(old))
        )
        return RangeTable(self.service, ranges, self.addresses)

    def to_spec(self):
        """Return the table as plain data for the store.

        By column, and of the bounds of a whole table only the cuts: each move writes
        the table twice, and others read it, over links that are paid for. A row for
        each range made it three times as long.
        """
        owners = {(r.owner, r.life) for r in self.ranges}
        owners |= {(r.old_owner, r.old_life) for r in self.ranges if r.is_moving}
        servers = sorted(owners)
        index = {identity: at for at, identity in enumerate(servers)}
        return {
            "service": self.service,
            "servers": [[n, life, self.addresses.get(n, "")] for n, life in servers],
            **self._bounds_spec(),
            "owners": [index[r.owner, r.life] for r in self.ranges],
            "tokens": [r.token for r in self.ranges],
            "moving": [
                [at, index[r.old_owner, r.old_life], r.old_token]
                for at, r in enumerate(self.ranges)
                if r.is_moving
            ],
        }

    def _bounds_spec(self):
        bounds = [(r.first, r.last) for r in self.ranges]
        n_dealt = self.n_dealt or len(bounds)
        starts = _even_starts(n_dealt)
        cuts = [first for first in self._firsts if first not in starts]
        if bounds == _cut_bounds(n_dealt, cuts):
            return {"bounds": n_dealt, "cuts": cuts}
        return {"bounds": bounds}

    @classmethod
    def from_spec(cls, spec):
        """Return the table that plain data of the store describe.

        Raises
        ------
        ValueError
            If they do not.
        """
        try:
            owners = [(name, life) for name, life, _ in spec["servers"]]
            addresses = {name: address for name, _, address in spec["servers"]}
            bounds, n_dealt = spec["bounds"], 0
            if isinstance(bounds, int):
                n_dealt = bounds
                bounds = _cut_bounds(n_dealt, spec.get("cuts", ()))
            moving = {at: (*owners[old], token) for at, old, token in spec["moving"]}
            rows = zip(bounds, spec["owners"], spec["tokens"], strict=True)
            ranges = tuple(
                KeyRange(first, last, *owners[owner], token, *moving.get(at, ()))
                for at, ((first, last), owner, token) in enumerate(rows)
            )
            return cls(spec["service"], ranges, addresses, n_dealt)
        except (KeyError, IndexError, TypeError, ValueError) as error:
            raise ValueError(f"no range table: {error!r}") from error


def even_bounds(n_ranges):
    """Return first and last key of each of some ranges that divide all keys evenly."""
    starts = [N_KEYS * at // max(1, n_ranges) for at in range(n_ranges + 1)]
    return [(first, end - 1) for first, end in itertools.pairwise(starts)]


def _cut_bounds(n_dealt, cuts):
    """Return first and last key of even ranges some of which are cut before keys."""
    if not cuts:
        return even_bounds(n_dealt)
    ordered = [*sorted(_even_starts(n_dealt).union(cuts)), N_KEYS]
    return [(first, end - 1) for first, end in itertools.pairwise(ordered)]


@functools.lru_cache(maxsize=64)
def _even_starts(n_dealt):
    """Return the first keys of some ranges that divide all keys evenly."""
    return frozenset(first for first, _ in even_bounds(n_dealt))


KEPT_TABLES = 32
"""Versions of a table that are kept. Load: many moves, each written twice, while each
daemon is heard every half second. One that has missed more gets the whole table."""


@attrs.define(eq=False, repr=False)
class TableHistory:
    """The latest versions of all tables, to pass on only what has changed.

    Load: busy keys move, each time two writes, and every daemon has to know. Harm
    prevented: a table of some kilobytes to each daemon for each range that moved, which
    was two thirds of what daemons told each other on a calm day with 9 daemons.
    """

    _versions: dict = attrs.Factory(dict)
    _changes: dict = attrs.Factory(dict)

    def note(self, table, version):
        """Take in a service's table as the store had it at a version."""
        kept = self._versions.setdefault(
            table.service, collections.deque(maxlen=KEPT_TABLES)
        )
        if not kept or kept[-1][0] < version:
            kept.append((version, table))

    def changes(self, service, since_version):
        """Return what has changed for a daemon that knows the store up to a version.

        Returns
        -------
        base_version, spec : int, dict
            The version of the table that the daemon should have, and the ranges that
            differ from it; None if the whole table has to be sent.
        """
        kept = self._versions.get(service, ())
        known = [entry for entry in kept if entry[0] <= since_version]
        if not known:
            return None
        (base_version, base), (version, table) = known[-1], kept[-1]
        key = service, base_version, version
        if key not in self._changes:
            if len(self._changes) >= KEPT_TABLES:
                self._changes.clear()
            self._changes[key] = table.changed_from(base).to_spec()
        return base_version, self._changes[key]
