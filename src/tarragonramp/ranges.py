"""Ownership of key ranges: owners and fencing tokens of ranges of numeric keys."""

import bisect
import collections
import functools
import itertools

import attrs

from .manifest import N_KEYS

__all__ = ["KeyRange", "RangeTable", "TableHistory", "even_bounds", "fence_token"]

TOKEN_STEP = 1 << 16
"""How much a move raises the fencing token. The values in between are used to fence the
old owner before its release, so that it refuses delayed grants with lower tokens. Each
attempt needs a higher token than the last, because an unanswered attempt may still be
delivered."""

MAX_FENCES_PER_TERM = 8
"""Fencing attempts that one leader has per move. Later leaders use higher tokens."""


def fence_token(old_token, term, attempt):
    """Return the token for an attempt to fence an old owner, or None if none is left.

    Parameters
    ----------
    old_token : int
        Token under which the old owner holds the keys.
    term : int
        Term of the leader.
    attempt : int
        Number of attempts that the leader has already made for this move.
    """
    if attempt >= MAX_FENCES_PER_TERM:
        return None
    return old_token + 1 + (term * MAX_FENCES_PER_TERM + attempt) % (TOKEN_STEP - 1)


@attrs.frozen
class KeyRange:
    """A contiguous range of keys with one owner.

    Parameters
    ----------
    first, last : int
        First and last key, both inclusive.
    owner : str
        Empty until the range is assigned for the first time.
    life : int
        Start time of the owner's process in Unix milliseconds.
    token : int
        Fencing token of the current owner, or of the new owner during a move.
    old_owner, old_life, old_token : str, int, int
        Set while the range is being moved: the previous owner may still hold it.
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
    def identity(self):
        """Name and life of the owner's process."""
        return self.owner, self.life

    @property
    def old_identity(self):
        """Name and life of the previous owner's process."""
        return self.old_owner, self.old_life

    @property
    def is_moving(self):
        """Whether the previous owner may still hold the keys."""
        return bool(self.old_owner)

    @property
    def n_keys(self):
        return self.last - self.first + 1

    def moved_to(self, owner, life):
        """Return the range as being moved to another owner.

        Must not be called on a range that is already being moved: its previous owner,
        which may still hold the keys, would be lost.
        """
        return KeyRange(
            self.first,
            self.last,
            owner,
            life,
            self.token + TOKEN_STEP,
            self.owner,
            self.life,
            self.token,
        )

    def raised(self):
        """Return the range with a token that no process of its owner has had."""
        return attrs.evolve(self, token=self.token + TOKEN_STEP)

    def has_same_routing(self, other):
        """Tell whether another state of the range routes requests in the same way.

        The token only matters for granting, so daemons that route requests need not be
        notified when it alone changes.
        """
        if self.is_moving or other.is_moving:
            return self == other
        return attrs.evolve(self, token=other.token) == other

    def settled(self):
        """Return the range with its move completed."""
        return attrs.evolve(self, old_owner="", old_life=0, old_token=0)


@attrs.define(eq=False, repr=False)
class RangeTable:
    """The ranges of one service, ordered by key.

    Parameters
    ----------
    service : str
    ranges : tuple of KeyRange
    addresses : dict of (str, int) to str
        By name and life, the address at which each owner is granted its ranges, also if
        another one is registered by now. Some former owners may still be among them.
    n_initial : int
        Number of equal ranges into which the key space was divided initially, before
        any range was split; 0 for a table that does not cover all keys.
    """

    service: str
    ranges: tuple[KeyRange, ...] = ()
    addresses: dict = attrs.Factory(dict)
    n_initial: int = 0
    _firsts: list = attrs.field(init=False)
    _by_owner: dict | None = attrs.field(init=False, default=None)
    _moving: tuple | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self):
        self._firsts = [item.first for item in self.ranges]

    @property
    def by_owner(self):
        """Ranges by the name and life of their owner, ordered by key.

        Computed once, as the leader of a large fleet asks for it all the time.
        """
        if self._by_owner is None:
            self._by_owner = {}
            for item in self.ranges:
                self._by_owner.setdefault(item.identity, []).append(item)
        return self._by_owner

    @property
    def moving(self):
        """Ranges that their previous owner may still hold, ordered by key."""
        if self._moving is None:
            self._moving = tuple(item for item in self.ranges if item.old_owner)
        return self._moving

    def find(self, key):
        """Return the KeyRange that contains a key, or None."""
        at = bisect.bisect_right(self._firsts, key) - 1
        if at < 0 or self.ranges[at].last < key:
            return None
        return self.ranges[at]

    def with_ranges(self, changed, addresses=()):
        """Return a table in which newer ranges replace the ranges that they cover.

        Parameters
        ----------
        changed : iterable of KeyRange
            If a range was split, all of its pieces.
        addresses : dict of (str, int) to str
            Addresses of new owners, by name and life.

        Raises
        ------
        ValueError
            If the new ranges leave a gap or overlap other ranges.
        """
        changed = sorted(changed, key=lambda item: item.first)
        replaced = {at for item in changed for at in self._overlapping_indexes(item)}
        n_before = sum(self.ranges[at].n_keys for at in replaced)
        if n_before != sum(item.n_keys for item in changed):
            raise ValueError(
                "new ranges do not cover the same keys as those they replace"
            )
        ranges, firsts = list(self.ranges), self._firsts.copy()
        for at in sorted(replaced, reverse=True):
            del ranges[at], firsts[at]
        for item in changed:
            at = bisect.bisect_right(firsts, item.first)
            ranges.insert(at, item)
            firsts.insert(at, item.first)
        named, added = _identities_in(changed), dict(addresses)
        known = {**self.addresses, **{n: a for n, a in added.items() if n in named}}
        if len(known) > len(ranges):
            # Former owners are dropped only now, as it takes a pass over all ranges.
            named = _identities_in(ranges)
            known = {n: address for n, address in known.items() if n in named}
        return RangeTable(self.service, tuple(ranges), known, self.n_initial)

    def _overlapping_indexes(self, item):
        """Return the indexes of the ranges that overlap another range."""
        begin = max(0, bisect.bisect_right(self._firsts, item.first) - 1)
        return range(begin, bisect.bisect_right(self._firsts, item.last))

    def difference_from(self, earlier):
        """Return a table of only the ranges that differ from an earlier table.

        Returns
        -------
        changed : RangeTable
            ``earlier.with_ranges(changed.ranges, changed.addresses)`` gives this table
            again, except for raised tokens, which a leader reads from the store.
        """
        before = {item.first: item for item in earlier.ranges}
        pairs = ((before.get(item.first), item) for item in self.ranges)
        ranges = tuple(
            new
            for old, new in pairs
            if old is not new and (old is None or not new.has_same_routing(old))
        )
        return RangeTable(self.service, ranges, self.addresses)

    def to_spec(self):
        """Return the table as JSON-compatible data for the store.

        The table is stored by column, and the bounds of a complete table as the number
        of initial ranges and the keys before which some of them were split. One row per
        range would be three times as long; each move writes the table twice, and other
        daemons read it over metered links.
        """
        owners = {r.identity for r in self.ranges}
        owners |= {r.old_identity for r in self.ranges if r.is_moving}
        servers = sorted(owners)
        index = {identity: at for at, identity in enumerate(servers)}
        return {
            "service": self.service,
            "servers": [[*owner, self.addresses.get(owner, "")] for owner in servers],
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
        n_initial = self.n_initial or len(bounds)
        starts = _even_starts(n_initial)
        cuts = [first for first in self._firsts if first not in starts]
        if bounds == _split_bounds(n_initial, cuts):
            return {"bounds": n_initial, "cuts": cuts}
        return {"bounds": bounds}

    @classmethod
    def from_spec(cls, spec):
        """Return the table for JSON-compatible data from the store.

        Raises
        ------
        ValueError
            If the data does not describe a table.
        """
        try:
            owners = [(name, life) for name, life, _ in spec["servers"]]
            addresses = {(name, life): text for name, life, text in spec["servers"]}
            bounds, n_initial = spec["bounds"], 0
            if isinstance(bounds, int):
                n_initial = bounds
                if not 0 <= n_initial <= N_KEYS:
                    raise ValueError(f"{n_initial:.3g} ranges")
                bounds = _split_bounds(n_initial, spec.get("cuts", ()))
            moving = {at: (*owners[old], token) for at, old, token in spec["moving"]}
            rows = zip(bounds, spec["owners"], spec["tokens"], strict=True)
            ranges = tuple(
                KeyRange(first, last, *owners[owner], token, *moving.get(at, ()))
                for at, ((first, last), owner, token) in enumerate(rows)
            )
            return cls(spec["service"], ranges, addresses, n_initial)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"invalid range table: {error!r}") from error


def _identities_in(ranges):
    """Return name and life of all current and earlier owners of some ranges."""
    return {owner for item in ranges for owner in (item.identity, item.old_identity)}


def even_bounds(n_ranges):
    """Return the first and last key of each of some equal ranges of the key space."""
    starts = [N_KEYS * at // max(1, n_ranges) for at in range(n_ranges + 1)]
    return [(first, end - 1) for first, end in itertools.pairwise(starts)]


def _split_bounds(n_initial, cuts):
    """Return the bounds of equal ranges of which some are split before given keys."""
    if not cuts:
        return even_bounds(n_initial)
    ordered = [*sorted(_even_starts(n_initial).union(cuts)), N_KEYS]
    return [(first, end - 1) for first, end in itertools.pairwise(ordered)]


@functools.lru_cache(maxsize=64)
def _even_starts(n_initial):
    """Return the first keys of ``n_initial`` equal ranges of the key space."""
    return frozenset(first for first, _ in even_bounds(n_initial))


MAX_TABLE_VERSIONS = 32
"""Number of versions of each table that are kept. Each move is written twice and
daemons ask for updates every half second; a daemon that is further behind gets the
whole table."""


@attrs.define(eq=False, repr=False)
class TableHistory:
    """The latest versions of all tables, for sending only the differences.

    Without it, every daemon is sent a table of several kilobytes for each range that
    moves; with 9 daemons and little load that was two thirds of the traffic between
    daemons.
    """

    _versions: dict = attrs.Factory(dict)
    _changes: dict = attrs.Factory(dict)

    def record(self, table, version):
        """Record a service's table as the store had it at a version."""
        kept = self._versions.setdefault(
            table.service, collections.deque(maxlen=MAX_TABLE_VERSIONS)
        )
        if not kept or kept[-1][0] < version:
            kept.append((version, table))

    def changes(self, service, since_version):
        """Return the changes for a daemon that has read the store up to a version.

        Returns
        -------
        base_version, spec : int, dict
            The version of the table that the daemon should have and the ranges that
            differ from it; None if the whole table must be sent.
        """
        kept = self._versions.get(service, ())
        known = [entry for entry in kept if entry[0] <= since_version]
        if not known:
            return None
        (base_version, base), (version, table) = known[-1], kept[-1]
        key = service, base_version, version
        if key not in self._changes:
            if len(self._changes) >= MAX_TABLE_VERSIONS:
                self._changes.clear()
            self._changes[key] = table.difference_from(base).to_spec()
        return base_version, self._changes[key]
