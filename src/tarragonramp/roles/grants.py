"""What servers were granted, and how it is known that they have let go.

Late, lost and doubled messages are all settled here: each grant is noted before anybody
relies on its end, and an owner that may still get an old one is fenced first.
"""

import collections

import attrs
from gevent.lock import BoundedSemaphore
from returns.pipeline import is_successful
from returns.result import Failure

from ..adapters.logs import log_event
from ..errors import (
    NotSentError,
    OvertakenGrantError,
    UnansweredError,
    WrongServerError,
)
from ..leading import LATE_GRANT_MS
from ..ranges import fence_token

__all__ = ["GrantKeeper"]

ANSWER_MS = 1000.0
"""Timeout of a grant. A server answers in a millisecond."""

RELEASE_MS = 8000.0
"""Timeout of a release, which is answered once running work has ended."""

FENCE_HOLD_MS = 300.0
"""What a fencing grant is given for: it only has to be seen."""

CALLS_PER_SERVER = 6
"""Releases under way at one server at a time. Load: all its ranges leave at once. Harm
prevented: a connection each, beyond what the server takes, so that it resets renewals
and callers. More than its slots, so that idle ranges do not wait for running work."""

UNREACHABLE_MS = 1500.0
"""Grants of a server that go unanswered for so long count it as unreachable."""

UNGRANTED = (NotSentError, OvertakenGrantError, WrongServerError)
NO_ADDRESS = Failure(NotSentError("address not known"))
NO_FENCE_LEFT = Failure(UnansweredError("no fencing token left; time has to prove it"))
NO_LONGER_LEADS = Failure(NotSentError("another daemon may lead"))


@attrs.define(eq=False)
class _Held:
    """What is known of the grants of one range to its owner."""

    sent_ms: float = float("-inf")
    in_doubt_until_ms: float = float("-inf")
    under_way: int = 0
    fences: int = 0


@attrs.define(eq=False)
class _Contact:
    """How grants to one server have fared."""

    failing_since_ms: float | None = None
    has_broken: bool = False
    unconnected: list = attrs.Factory(list)


@attrs.define(eq=False, repr=False)
class GrantKeeper:
    """Sends grants and releases, and notes until when each may be held.

    Parameters
    ----------
    view : FleetView
    leadership : Leadership
    grants : Grants
        ``grant`` and ``release``.
    clock : Clock
    refused : set of (str, int, int)
        Service, first key and token of grants that a server has seen a higher token
        for; they are not sent again.
    n_grants : int
    """

    view: object
    leadership: object
    grants: object
    clock: object
    refused: set = attrs.Factory(set)
    n_grants: int = 0
    _term: int = 0
    _held: dict = attrs.Factory(dict)
    _unsent: set = attrs.Factory(set)
    _contacts: dict = attrs.Factory(lambda: collections.defaultdict(_Contact))
    _calls: dict = attrs.Factory(
        lambda: collections.defaultdict(lambda: BoundedSemaphore(CALLS_PER_SERVER))
    )

    @property
    def timing(self):
        """Times of grants."""
        return self.leadership.timing

    def begin_term(self):
        """Forget what was known of grants if others may have led since; tell whether.

        Only then: a leader that the store did not confirm for a while, and that no
        other has replaced, still knows all grants, and others gave none.
        """
        term = self.leadership.term
        if term == self._term:
            return False
        self._term = term
        self._held.clear()
        self._unsent.clear()
        return True

    def is_current(self, service, item):
        """Tell whether a range is still this owner's, and this daemon the leader."""
        table = self.view.tables.get(service)
        return self.leadership.leads and table.find(item.first) == item

    def may_act(self, service, item):
        """Tell whether a move may be carried on: by one daemon only.

        A leader that the store has not confirmed lately still renews, but its successor
        may already carry on the same moves: a fencing grant of the one would give the
        old owner keys that the other has just given to the new one.
        """
        return self.leadership.may_move and self.is_current(service, item)

    def grant(
        self,
        service,
        item,
        owner,
        token,
        handover="",
        hold_ms=None,
        record=None,
    ):
        """Send one grant and note until when it may be held.

        It is noted under the token of its owner, or under ``record`` for a fence. A
        connection is opened only for a token that was never sent: the server may have
        started again at its address, and each life has to get a higher token.
        """
        address = self._address(service, owner)
        if not address:
            return NO_ADDRESS
        key = service, item.first, token
        is_first = record is not None or key in self._unsent
        self._unsent.discard(key)
        held = self._held_of(service, item.first, record or token)
        hold_ms = self.timing.hold_ms if hold_ms is None else hold_ms
        sent_ms = self.clock.now_ms()
        held.under_way += 1
        try:
            result = self.grants.grant(
                owner,
                address,
                item.first,
                item.last,
                token,
                hold_ms,
                handover,
                ANSWER_MS,
                life=item.life if owner == item.owner else item.old_life,
                reuse_only=not is_first,
            )
        finally:
            held.under_way -= 1
        self._note(held, sent_ms, result)
        if is_first and record is None:
            self._note_unsent(key, result)
        return result

    def renew_through(self, send, service, owner, items):
        """Have renewals of one owner sent by another daemon; a list of their Results.

        Parameters
        ----------
        send : callable
            ``send(owner, address, items, hold_ms, are_first)``, which returns the
            list.
        service, owner : str
        items : list of KeyRange
        """
        address = self._address(service, owner)
        if not address:
            return [NO_ADDRESS] * len(items)
        keys = [(service, item.first, item.token) for item in items]
        are_first = [key in self._unsent for key in keys]
        self._unsent.difference_update(keys)
        held = [self._held_of(*key) for key in keys]
        sent_ms = self.clock.now_ms()
        for each in held:
            each.under_way += 1
        try:
            results = send(owner, address, items, self.timing.hold_ms, are_first)
        finally:
            for each in held:
                each.under_way -= 1
        for each, result in zip(held, results, strict=True):
            self._note(each, sent_ms, result)
        for key, is_first, result in zip(keys, are_first, results, strict=True):
            if is_first:
                self._note_unsent(key, result)
        return results

    def _note_unsent(self, key, result):
        """Take in that a range's first grant did not leave, if it did not."""
        failed = not is_successful(result)
        if failed and isinstance(result.failure(), NotSentError):
            self._unsent.add(key)

    def note_new(self, service, item):
        """Take in that a range has got a token that nobody has been sent."""
        self._unsent.add((service, item.first, item.token))

    def is_unsent(self, service, item):
        """Tell whether nobody has been sent a range under its token."""
        return (service, item.first, item.token) in self._unsent

    def note_raised(self, service, item):
        """Take in that a range's token is to be raised, its owner being the same.

        What it was granted before counts for the higher token, too.
        """
        held = self._held_of(service, item.first, item.token)
        self._held[service, item.first, item.raised().token] = held

    def _note(self, held, sent_ms, result):
        """Take in what became of a grant that was sent at a time."""
        self.n_grants += 1
        if is_successful(result):
            # Counted from the answer: it can't have arrived later.
            held.sent_ms = self.clock.now_ms()
        elif not isinstance(result.failure(), UNGRANTED):
            held.sent_ms = self.clock.now_ms()
            held.in_doubt_until_ms = sent_ms + LATE_GRANT_MS

    def _held_of(self, service, first, token):
        key = service, first, token
        held = self._held.get(key)
        if held is None:
            # An earlier leader may have renewed it until it stopped, and not all it
            # has sent need have been applied.
            before = self.leadership.inherited
            held = _Held(before.stopped_ms, before.doubt_ends_ms(key))
            self._held[key] = held
        return held

    def share(self, service, whole_first, first, token):
        """Take in that a piece was cut off a range, under the same token.

        Grants of the whole range may still be on their way, and those of one piece are
        known of the others from then on: to think that a piece may be held for longer
        than it is costs a wait, the reverse two owners.
        """
        held = self._held_of(service, whole_first, token)
        self._held[service, first, token] = held
        if (service, whole_first, token) in self._unsent:
            self._unsent.add((service, first, token))

    def doubts(self):
        """Return what the next leader has to know: an Inherited of all grants."""
        before, now_ms = self.leadership.inherited, self.clock.now_ms()
        ranges = dict(before.ranges)
        for key, held in self._held.items():
            until_ms = held.in_doubt_until_ms
            if held.under_way:
                until_ms = now_ms + LATE_GRANT_MS
            ranges[key] = max(until_ms, ranges.get(key, 0.0))
        return attrs.evolve(before, ranges=ranges)

    def _address(self, service, name):
        server = self.view.directory.servers.get(name)
        if server is not None:
            return server.address
        return self.view.tables[service].addresses.get(name, "")

    def forget(self, service, first, token):
        """Forget the grants of a range under a token whose end is proved."""
        self._held.pop((service, first, token), None)

    def contact(self, identity):
        """Return how grants to a server have fared."""
        return self._contacts[identity]

    def note_reached(self, name, contact):
        if contact.failing_since_ms is not None:
            after_ms = round(self.clock.now_ms() - contact.failing_since_ms)
            log_event("server-regained", server=name, after_ms=after_ms)
            contact.failing_since_ms = None

    def is_unreachable(self, identity):
        since_ms = self._contacts[identity].failing_since_ms
        return since_ms is not None and since_ms + UNREACHABLE_MS < self.clock.now_ms()

    def release(self, service, item):
        """Take a range back from its old owner; a Result with what it hands over.

        If a grant may still be on its way to it, it is fenced first: a grant that is
        applied after the release would give it the keys back, but once it has seen a
        higher token it refuses it.
        """
        address = self._address(service, item.old_owner)
        if not address:
            return NO_ADDRESS
        token = item.old_token
        held = self._held_of(service, item.first, token)
        with self._calls[address]:
            if not self.may_act(service, item):
                return NO_LONGER_LEADS
            if held.under_way or self.clock.now_ms() < held.in_doubt_until_ms:
                fenced = self._fence(service, item, held)
                if not is_successful(fenced):
                    return fenced
                token = fenced.unwrap()
                if not self.may_act(service, item):
                    return NO_LONGER_LEADS
            return self.grants.release(
                item.old_owner, address, item.first, item.last, token, RELEASE_MS
            )

    def _fence(self, service, item, held):
        """Show the old owner a token above all that it may yet be granted under.

        Each try has a higher one: of one without an answer nobody knows when it is
        applied, and after the keys have moved it would give them back.
        """
        token = fence_token(item.old_token, self.leadership.term, held.fences)
        if token is None:
            return NO_FENCE_LEFT
        held.fences += 1
        result = self.grant(
            service,
            item,
            item.old_owner,
            token,
            hold_ms=FENCE_HOLD_MS,
            record=item.old_token,
        )
        if is_successful(result):
            log_event(
                "owner-fenced",
                service=service,
                server=item.old_owner,
                first=item.first,
                token=token,
                fences=held.fences,
            )
        return result.map(lambda _: token)

    def time_proves(self, service, first, token):
        """Tell whether all grants of a range under a token must have ended.

        Also those without an answer, or without one yet: a server that can't be reached
        now may have taken one before, and carry it out later.
        """
        held = self._held_of(service, first, token)
        if held.under_way:
            return False
        end_ms = held.sent_ms + self.timing.longest_hold_ms
        return self.clock.now_ms() > max(end_ms, held.in_doubt_until_ms)

    def has_later_life(self, name, life):
        """Tell whether a later process is listed under the same name."""
        server = self.view.directory.servers.get(name)
        return server is not None and server.life > life

    def address_reused(self, service, name, life):
        """Tell whether a later process of another name is listed at its address."""
        address = self.view.tables[service].addresses.get(name)
        return any(
            other.address == address and other.life > life and other.name != name
            for other in self.view.directory.servers.values()
        )

    def has_lost(self, service, name):
        """Tell whether a server has closed the connection that grants go over."""
        address = self._address(service, name)
        return bool(address) and self.grants.has_lost(address)
