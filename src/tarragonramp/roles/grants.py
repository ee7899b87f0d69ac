"""Sends grants and releases, and tracks how long each grant may be held.

Messages may be late, lost or duplicated. Each grant is therefore recorded before its
expiry is relied on, and an owner that may still receive an old grant is fenced before
it is released.
"""

import collections

import attrs
from gevent.lock import BoundedSemaphore
from returns.result import Failure

from ..adapters.logs import log_event
from ..errors import (
    NotSentError,
    OvertakenGrantError,
    UnansweredError,
    WrongServerError,
)
from ..leadership import LATE_GRANT_MS
from ..ranges import fence_token
from ..results import is_successful

__all__ = ["GrantTracker"]

GRANT_TIMEOUT_MS = 1000.0
"""Timeout of a grant. A server normally responds within a millisecond."""

RELEASE_TIMEOUT_MS = 8000.0
"""Timeout of a release. A server responds once its running requests have ended."""

FENCE_HOLD_MS = 300.0
"""Hold time of a fencing grant. The server only has to see the token."""

MAX_RELEASES_PER_SERVER = 6
"""Maximum number of concurrent releases at one server.

When all ranges leave a server at once, a connection for each release would exceed the
connections that the server accepts, and it would reset renewals and callers' requests.
The limit is above the server's number of slots, so that idle ranges are not delayed by
ranges with running requests."""

UNREACHABLE_AFTER_MS = 1500.0
"""A server whose grants have had no response for this long counts as unreachable."""

NOT_GRANTED_ERRORS = (NotSentError, OvertakenGrantError, WrongServerError)
NO_ADDRESS = Failure(NotSentError("address not known"))
NO_FENCING_TOKEN = Failure(
    UnansweredError("no fencing token left; time has to prove it")
)
NO_LONGER_LEADS = Failure(NotSentError("another daemon may lead"))


@attrs.define(eq=False)
class _GrantState:
    """Grants of one range to its owner under one token.

    Parameters
    ----------
    hold_from_ms : float
        From when the hold of the latest grant is counted: the time of the response, or
        of the failure if the grant may have been received. At first, when earlier
        leaders have stopped.
    in_doubt_until_ms : float
        Until when a grant without a response may still be carried out.
    n_in_flight : int
        Grants that are being sent.
    fences : int
        Attempts to fence the owner.
    """

    hold_from_ms: float = float("-inf")
    in_doubt_until_ms: float = float("-inf")
    n_in_flight: int = 0
    fences: int = 0


@attrs.define(eq=False)
class _ConnectionState:
    """State of the connection for the grants to one process instance of a server.

    Parameters
    ----------
    failing_since_ms : float or None
        Since when grants have failed; None while they succeed.
    is_broken : bool
        Whether tokens have to be raised because a connection has failed.
    unconnected : list of KeyRange
        Ranges that were not granted because no connection was open.
    """

    failing_since_ms: float | None = None
    is_broken: bool = False
    unconnected: list = attrs.Factory(list)


@attrs.define(eq=False, repr=False)
class GrantTracker:
    """Sends grants and releases, and records until when each grant may be held.

    Parameters
    ----------
    view : FleetView
    leadership : Leadership
    grants : object
        See :class:`.FleetPorts`.
    clock : Clock
    refused : set of (str, int, int)
        Service, first key and token of grants that a server refused because it has seen
        a higher token. They are not sent again.
    n_grants : int
        Grants sent so far.
    """

    view: object
    leadership: object
    grants: object
    clock: object
    refused: set = attrs.Factory(set)
    n_grants: int = 0
    _term: int = 0
    _grant_states: dict = attrs.Factory(dict)
    _unsent: set = attrs.Factory(set)
    _connection_states: dict = attrs.Factory(
        lambda: collections.defaultdict(_ConnectionState)
    )
    _release_slots: dict = attrs.Factory(
        lambda: collections.defaultdict(
            lambda: BoundedSemaphore(MAX_RELEASES_PER_SERVER)
        )
    )

    @property
    def timing(self):
        return self.leadership.timing

    def begin_term(self):
        """Discard the recorded grants if the term has changed; return whether it has.

        They are kept otherwise. A leader that the store could not confirm for some
        time, and that no other daemon has replaced, still knows all grants, since no
        other daemon has sent any.
        """
        term = self.leadership.term
        if term == self._term:
            return False
        self._term = term
        self._grant_states.clear()
        self._unsent.clear()
        return True

    def is_current(self, service, item):
        """Return whether a range is unchanged and this daemon is the leader."""
        table = self.view.tables.get(service)
        return self.leadership.leads and table.find(item.first) == item

    def may_act(self, service, item):
        """Return whether this daemon may continue a move.

        A leader that the store has not confirmed recently still renews grants, but its
        successor may already be continuing the same moves. A fencing grant from the old
        leader would then give the old owner keys that the successor has just granted to
        the new owner.
        """
        return self.leadership.may_move and self.is_current(service, item)

    def grant(
        self,
        service,
        item,
        identity,
        token,
        handover="",
        hold_ms=None,
        record=None,
    ):
        """Send one grant and record until when it may be held.

        A connection is opened only for a token that has never been sent: the server may
        have restarted at its address, and each process instance has to get a higher
        token than the one before. It is opened only while no other daemon can lead: a
        successor may have sent an earlier instance a higher token.

        Parameters
        ----------
        service : str
        item : KeyRange
        identity : (str, int)
            Name and life of the server that gets the grant.
        token : int
        handover : str, default=""
            State that the previous owner handed over.
        hold_ms : float, optional
            Hold time; by default that of ``timing``.
        record : int, optional
            Token under which the grant is recorded, if it is a fencing grant.

        Returns
        -------
        result : Result
        """
        address = self._address(service, identity)
        if not address:
            return NO_ADDRESS
        name, life = identity
        key = service, item.first, token
        is_new_token = record is not None or key in self._unsent
        self._unsent.discard(key)
        state = self._state_of(service, item.first, record or token)
        hold_ms = self.timing.hold_ms if hold_ms is None else hold_ms
        options = {"reuse_only": True}
        if is_new_token and self._may_send_new_token():
            options = {"reuse_only": False, "may_send": self._may_send_new_token}
        sent_ms = self.clock.now_ms()
        state.n_in_flight += 1
        try:
            result = self.grants.grant(
                name,
                address,
                item.first,
                item.last,
                token,
                hold_ms,
                handover,
                GRANT_TIMEOUT_MS,
                life=life,
                **options,
            )
        finally:
            state.n_in_flight -= 1
        self._record_outcome(state, sent_ms, result)
        if is_new_token and record is None:
            self._restore_unsent(key, result)
        return result

    def _may_send_new_token(self):
        """Return whether no other daemon can have raised the token again.

        Also called once a connection is open, as this process may have been paused.
        """
        return self.clock.now_ms() < self.leadership.sole_until_ms

    def renew_via_relay(self, send, service, identity, items):
        """Renew ranges of one owner through another daemon.

        Parameters
        ----------
        send : callable
            ``send(owner, address, items, hold_ms, are_new_tokens)``, which returns a
            list of Results.
        service : str
        identity : (str, int)
            Name and life of the owner.
        items : list of KeyRange

        Returns
        -------
        results : list of Result
            One for each range.
        """
        address = self._address(service, identity)
        if not address:
            return [NO_ADDRESS] * len(items)
        keys = [(service, item.first, item.token) for item in items]
        are_new_tokens = [key in self._unsent for key in keys]
        self._unsent.difference_update(keys)
        states = [self._state_of(*key) for key in keys]
        sent_ms = self.clock.now_ms()
        for state in states:
            state.n_in_flight += 1
        try:
            results = send(
                identity[0], address, items, self.timing.hold_ms, are_new_tokens
            )
        finally:
            for state in states:
                state.n_in_flight -= 1
        for state, result in zip(states, results, strict=True):
            self._record_outcome(state, sent_ms, result)
        for key, is_new_token, result in zip(
            keys, are_new_tokens, results, strict=True
        ):
            if is_new_token:
                self._restore_unsent(key, result)
        return results

    def _restore_unsent(self, key, result):
        """Mark a token as unsent again if its first grant was not sent."""
        failed = not is_successful(result)
        if failed and isinstance(result.failure(), NotSentError):
            self._unsent.add(key)

    def mark_unsent(self, service, item):
        """Record that no server has been sent the token of a range yet."""
        self._unsent.add((service, item.first, item.token))

    def is_unsent(self, service, item):
        """Return whether no server has been sent the token of a range yet."""
        return (service, item.first, item.token) in self._unsent

    def share_with_raised_token(self, service, item):
        """Record earlier grants under the token that a range is about to be raised to.

        The owner stays the same, so what it may hold under the current token counts for
        the higher one, too.
        """
        state = self._state_of(service, item.first, item.token)
        self._grant_states[service, item.first, item.raised().token] = state

    def _record_outcome(self, state, sent_ms, result):
        """Record the outcome of a grant."""
        self.n_grants += 1
        if is_successful(result):
            # The hold is counted from the response: the grant cannot have arrived
            # later.
            state.hold_from_ms = self.clock.now_ms()
        elif not isinstance(result.failure(), NOT_GRANTED_ERRORS):
            state.hold_from_ms = self.clock.now_ms()
            state.in_doubt_until_ms = sent_ms + LATE_GRANT_MS

    def _state_of(self, service, first, token):
        key = service, first, token
        state = self._grant_states.get(key)
        if state is None:
            # An earlier leader may have renewed the range until it stopped, and some of
            # its grants may not have been carried out yet.
            before = self.leadership.inherited
            state = _GrantState(before.stopped_ms, before.doubt_ends_ms(key))
            self._grant_states[key] = state
        return state

    def share_with_piece(self, service, whole_first, first, token):
        """Record that a piece was split off a range under the same token.

        Grants of the whole range may still be in flight, so all pieces share one state
        from then on. Assuming that a piece is held for too long only delays its next
        move; assuming too short a hold would allow two owners.
        """
        state = self._state_of(service, whole_first, token)
        self._grant_states[service, first, token] = state
        if (service, whole_first, token) in self._unsent:
            self._unsent.add((service, first, token))

    def in_doubt_grants(self):
        """Return the InheritedGrants for the next leader: all grants still in doubt."""
        before, now_ms = self.leadership.inherited, self.clock.now_ms()
        ranges = dict(before.ranges)
        for key, state in self._grant_states.items():
            until_ms = state.in_doubt_until_ms
            if state.n_in_flight:
                until_ms = now_ms + LATE_GRANT_MS
            ranges[key] = max(until_ms, ranges.get(key, 0.0))
        return attrs.evolve(before, ranges=ranges)

    def _address(self, service, identity):
        """Return the address at which a process instance is granted keys.

        It is the recorded one, also if another one is listed by now. Any program may
        write an entry, and an answer from another address proves nothing about the
        process that holds the keys.
        """
        return self.view.tables[service].addresses.get(identity, "")

    def forget(self, service, first, token):
        """Discard the grants of a range under a token that can no longer be held."""
        self._grant_states.pop((service, first, token), None)

    def connection_state(self, identity):
        """Return the connection state of a process instance, by name and start time."""
        return self._connection_states[identity]

    def mark_reachable(self, name, connection_state):
        """Clear a recorded failure of a server that has responded, and log its end."""
        if connection_state.failing_since_ms is not None:
            after_ms = round(self.clock.now_ms() - connection_state.failing_since_ms)
            log_event("server-regained", server=name, after_ms=after_ms)
            connection_state.failing_since_ms = None

    def is_unreachable(self, identity):
        """Return whether grants to a process instance have failed for too long."""
        since_ms = self._connection_states[identity].failing_since_ms
        return (
            since_ms is not None
            and since_ms + UNREACHABLE_AFTER_MS < self.clock.now_ms()
        )

    def release(self, service, item):
        """Take a range back from its old owner.

        If a grant to the old owner may still be in flight, the owner is fenced first. A
        grant that is carried out after the release would give it the keys back; a
        server that has seen a higher token refuses the grant.

        Returns
        -------
        result : Result
            Success with the state that the old owner hands over.
        """
        address = self._address(service, item.old_identity)
        if not address:
            return NO_ADDRESS
        token = item.old_token
        state = self._state_of(service, item.first, token)
        with self._release_slots[address]:
            if not self.may_act(service, item):
                return NO_LONGER_LEADS
            if state.n_in_flight or self.clock.now_ms() < state.in_doubt_until_ms:
                fenced = self._fence(service, item, state)
                if not is_successful(fenced):
                    return fenced
                token = fenced.unwrap()
                if not self.may_act(service, item):
                    return NO_LONGER_LEADS
            return self.grants.release(
                item.old_owner,
                address,
                item.first,
                item.last,
                token,
                RELEASE_TIMEOUT_MS,
            )

    def _fence(self, service, item, state):
        """Show the old owner a token above every token it may still be granted.

        Each attempt uses a higher token: it is unknown when an attempt without a
        response will be carried out, and once the keys have moved it would give them
        back to the old owner.

        Returns
        -------
        result : Result
            Success with the fencing token.
        """
        token = fence_token(item.old_token, self.leadership.term, state.fences)
        if token is None:
            return NO_FENCING_TOKEN
        state.fences += 1
        result = self.grant(
            service,
            item,
            item.old_identity,
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
                fences=state.fences,
            )
        return result.map(lambda _: token)

    def have_expired(self, service, first, token):
        """Return whether all grants of a range under a token have expired.

        Grants without a response, and grants still in flight, count as held: a server
        that is unreachable now may have received one earlier and carry it out later.
        """
        state = self._state_of(service, first, token)
        if state.n_in_flight:
            return False
        end_ms = state.hold_from_ms + self.timing.longest_hold_ms
        return self.clock.now_ms() > max(end_ms, state.in_doubt_until_ms)

    def has_later_life(self, name, life):
        """Return whether a later process instance is listed under the same name."""
        server = self.view.directory.servers.get(name)
        return server is not None and server.life > life

    def has_closed_connection(self, service, identity):
        """Return whether a server has closed the connection that its grants use."""
        address = self._address(service, identity)
        if not address:
            return False
        return self.grants.has_closed_connection(identity[0], address)
