"""When a daemon may lead, that is, grant keys to servers. Decisions only, no I/O.

One record in the store names the leader. The daemon whose conditional write of it
succeeds leads; the others watch whether its version still changes. A leader keeps
renewing grants for a while without the store, because no other daemon can take over
without the store either.
"""

import attrs

__all__ = [
    "CUT_OFF_DELAY_MS",
    "LATE_GRANT_MS",
    "SMALL_DELAY_MS",
    "InheritedGrants",
    "LeaderRecord",
    "LeaseTiming",
    "LeadershipState",
    "is_small",
]

LATE_GRANT_MS = 15_000.0
"""How long an unanswered grant may be delayed before it takes effect."""

CUT_OFF_DELAY_MS = 2000.0
"""How much longer than a lease a daemon that reaches no server waits to take over.

Another daemon may reach servers and lead at once. If none does, one still has to lead
when the paths are back."""

SMALL_DELAY_MS = 1500.0
"""How long a daemon on a small VM lets the others take over first. They may have to
wait for a ping that is not answered before they look whether they may.

All daemons report to the leader. On a slow link or a fraction of a core its answers are
late in a large fleet, and with them all that daemons have to know in time."""

SMALL_CAPACITY, MUCH_LARGER = 0.5, 2.0
"""Capacity below which a VM counts as small while no other one is known, and ratio from
which another VM counts as much larger."""


def is_small(capacity, others):
    """Tell whether other VMs of the fleet are much fitter to lead.

    Parameters
    ----------
    capacity : float
        Of this VM.
    others : collection of float
        Of the other VMs, as far as known.
    """
    if not others:
        return capacity < SMALL_CAPACITY
    return max(others) >= MUCH_LARGER * capacity


@attrs.frozen
class LeaseTiming:
    """Timing of leadership and of grants, in milliseconds.

    Parameters
    ----------
    renew_ms : float
        Interval between two writes of the leader's record.
    lease_ms : float
        A record that has not changed for this long may be taken over. Just under three
        renewal intervals, so that one slow write does not cost the leadership.
    right_ms : float
        How long a leader that cannot reach the store keeps renewing grants. Longer than
        most outages; the price is that a successor that cannot reach the leader waits
        as long before the grants of a silent owner have expired.
    hold_ms : float
        Duration of a grant.
    regrant_ms : float
        Interval between two renewals of a grant: two may be lost.
    drift : float
        Factor by which a server's clock may be slower.
    margin_ms : float
        Added to the end of a hold for messages in transit, and taken from the end of a
        lease for pauses of processes.
    """

    renew_ms: float = 800.0
    lease_ms: float = 2200.0
    right_ms: float = 9000.0
    hold_ms: float = 7000.0
    regrant_ms: float = 2700.0
    drift: float = 1.02
    margin_ms: float = 300.0

    @classmethod
    def from_bounds(cls, bounds):
        """Return the timing for servers that limit the duration of a grant."""
        usual = cls()
        hold_ms = min(usual.hold_ms, bounds.longest_hold_ms)
        return cls(
            hold_ms=hold_ms, regrant_ms=usual.regrant_ms * hold_ms / usual.hold_ms
        )

    @property
    def longest_hold_ms(self):
        """How long after its arrival a grant may be valid."""
        return self.hold_ms * self.drift + self.margin_ms


@attrs.frozen
class LeaderRecord:
    """The record in the store that names the leader.

    Parameters
    ----------
    name : str
    boot_id : str
    address : str
        The leader's peer address, ``ip:port``.
    term : int
        Increases with each change of leader.
    holders : str
        Which daemons may hold shares of usage caps; empty if none does.
    """

    name: str
    boot_id: str
    address: str
    term: int
    holders: str = ""

    def to_spec(self):
        """Return the record as JSON-compatible data."""
        spec = attrs.asdict(self)
        del spec["holders"]
        return {**spec, "holders": self.holders} if self.holders else spec

    @classmethod
    def from_spec(cls, spec):
        """Return the record for JSON-compatible data; ValueError if it is invalid."""
        try:
            return cls(
                str(spec["name"]),
                str(spec["boot_id"]),
                str(spec["address"]),
                int(spec["term"]),
                str(spec.get("holders", "")),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"invalid leader record: {error!r}") from error


@attrs.frozen
class InheritedGrants:
    """What a new leader knows of the grants of earlier leaders.

    Parameters
    ----------
    stopped_ms : float
        When earlier leaders have stopped for certain, on this daemon's clock.
    in_doubt_until_ms : float
        Until when any of their grants may still take effect.
    ranges : dict of (str, int, int) to float
        Until when a grant known to be unanswered may still take effect, by service,
        first key and token.
    """

    stopped_ms: float = 0.0
    in_doubt_until_ms: float = 0.0
    ranges: dict = attrs.Factory(dict)

    def doubt_ends_ms(self, key):
        """Return until when delayed grants of a range may take effect."""
        return max(self.in_doubt_until_ms, self.ranges.get(key, 0.0))

    def to_message(self, now_ms):
        """Return the remaining times in ms as JSON-compatible data."""
        rows = [
            [*key, until_ms - now_ms]
            for key, until_ms in self.ranges.items()
            if until_ms > now_ms
        ]
        return {"all_ms": max(0.0, self.in_doubt_until_ms - now_ms), "ranges": rows}

    @classmethod
    def from_message(cls, raw, now_ms):
        """Return the state reported by an earlier leader that has stopped.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        try:
            ranges = {
                (service, int(first), int(token)): now_ms + float(left_ms)
                for service, first, token, left_ms in raw["ranges"]
            }
            return cls(now_ms, now_ms + float(raw["all_ms"]), ranges)
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(
                f"invalid message on grants in doubt: {error!r}"
            ) from error


@attrs.define
class LeadershipState:
    """What this daemon knows of the leader.

    Parameters
    ----------
    address, boot_id : str
        Of this daemon.
    timing : LeaseTiming
    record : LeaderRecord or None
    version : int
        Version of the record; 0 if there is none.
    started_ms : float
        When this process was started.
    """

    address: str
    boot_id: str
    timing: LeaseTiming
    record: object = None
    version: int = 0
    started_ms: float = 0.0
    _changed_ms: float = 0.0
    _confirmed_ms: float = float("-inf")
    _has_given_up: bool = False

    def observe(self, record, version, now_ms):
        """Process the record as read from the store."""
        if version != self.version:
            self.record, self.version, self._changed_ms = record, version, now_ms

    def confirmed(self, record, version, sent_ms):
        """Record that the store has confirmed this daemon's own record.

        Parameters
        ----------
        record : LeaderRecord
        version : int
        sent_ms : float
            Read before the write was sent.
        """
        self.record, self.version, self._changed_ms = record, version, sent_ms
        self._confirmed_ms = sent_ms
        self._has_given_up = False

    def give_up(self):
        """Stop leading at once, until the next own write is confirmed."""
        self._has_given_up = True

    @property
    def is_named(self):
        """Whether the record names this process."""
        return (
            self.record is not None
            and self.record.boot_id == self.boot_id
            and not self._has_given_up
        )

    def may_renew(self, now_ms):
        """Tell whether grants may be renewed now."""
        return self.is_named and now_ms < self._confirmed_ms + self.timing.right_ms

    def may_move(self, now_ms):
        """Tell whether keys may be moved now: no other daemon can have taken over."""
        return self.is_named and now_ms < self._confirmed_ms + self.timing.lease_ms / 2

    @property
    def sole_until_ms(self):
        """Until when no other daemon can have taken over, with a margin for pauses.

        Others wait for a lease from a time after the confirmed write was sent; their
        clocks may be faster than this daemon's.
        """
        if not self.is_named:
            return float("-inf")
        lease_ms = self.timing.lease_ms / self.timing.drift
        return self._confirmed_ms + lease_ms - self.timing.margin_ms

    def may_take_over(self, now_ms, is_cut_off=False, is_small=False):
        """Tell whether this daemon may replace the record by its own.

        If it reaches no server, only after a lease and ``CUT_OFF_DELAY_MS``. Else at
        once if there is no record, if it names no daemon, or if it names an earlier
        process at this address, which has ended because its port is bound here. A
        daemon on a small VM leaves the others ``SMALL_DELAY_MS`` to do so before it.
        """
        if is_cut_off:
            delay_ms = self.timing.lease_ms + CUT_OFF_DELAY_MS
            return now_ms >= self._changed_ms + delay_ms
        delay_ms = SMALL_DELAY_MS if is_small else 0.0
        if self.record is None or not self.record.name:
            return now_ms >= max(self.started_ms, self._changed_ms) + delay_ms
        if self.record.address == self.address:
            return True
        return now_ms >= self._changed_ms + self.timing.lease_ms + delay_ms

    def confirmed_age_ms(self, now_ms):
        """Return how long ago the store last confirmed this daemon's record."""
        return now_ms - self._confirmed_ms
