"""Gives keys to servers, renews what they hold, and moves keys between them.

Only the leader does. Three things have to be true before another server gets a key:
its token is above all earlier ones, the store says so, and the earlier owner has let
go. It has if it answered a release, if its life has ended, or if time has proved it.
"""

import functools
import random

import attrs
import gevent
import logbook
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..dealing import Candidate, first_deal, plan_moves
from ..errors import (
    ConflictError,
    NotFoundError,
    OvertakenGrantError,
)
from ..fleet_view import RANGES
from ..hotspots import busy_servers, spread_heat
from .grants import GrantKeeper
from .mover import Mover
from .relay import LEAST_RANGES, has_no_connection
from .tasks import keep_running

__all__ = ["Granter"]

PLAN_MS = 250.0
"""Between two looks at who should own what. Short, since keys of a server that leaves
are refused until they have moved."""

FIRST_DEAL_MS = 2500.0
"""How long no further server has to come before keys are dealt for the first time.
Servers register within some seconds of each other; whoever is late has to be given
keys by moves, which cost more than the wait."""

SPREAD_MS = 400.0
"""Between two looks at which keys are busy; they become so within seconds."""


RETRY_MS, LAST_RETRY_MS = 250.0, 1000.0
"""Between two tries at a server that does not answer."""


GATHER_MS = 20.0
"""How long ended moves are gathered before they are written: a write is seen by every
daemon, and ranges of one server end their moves within milliseconds of each other."""


@attrs.define(eq=False, repr=False)
class Granter:
    """The leader's work on servers that own keys.

    Parameters
    ----------
    view : FleetView
    leadership : Leadership
    store : Platform
    grants : Grants
        ``grant`` and ``release``.
    clock : Clock
    relays : Relays
    """

    view: object
    leadership: object
    store: object
    grants: object
    clock: object
    relays: object
    keeper: GrantKeeper = attrs.field(init=False)
    mover: Mover = attrs.field(init=False)
    n_moves: int = 0
    _renewing: dict = attrs.Factory(dict)
    _waiting: dict = attrs.Factory(dict)
    _to_raise: set = attrs.Factory(set)
    _spread_ms: dict = attrs.Factory(dict)
    _read: set = attrs.Factory(set)
    _work: Event = attrs.Factory(Event)
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Join what keeps grants and what moves keys."""
        self.keeper = GrantKeeper(self.view, self.leadership, self.grants, self.clock)
        self.mover = Mover(self.view, self.keeper, self.clock, self._work.set)

    def run(self):
        """Plan and start moves and renewals, for ever."""
        while True:
            if self.leadership.leads:
                if self.keeper.begin_term():
                    self.mover.begin_term()
                    self._waiting.clear()
                    self._to_raise.clear()
                    self._read.clear()
                asked = set(self._to_raise)
                for service in self._services():
                    if self._is_read(service):
                        self._advance(service)
                self._to_raise -= asked
            if self._work.wait(PLAN_MS / 1000.0):
                gevent.sleep(GATHER_MS / 1000.0)
            self._work.clear()

    def _services(self):
        manifest = self.view.manifest
        if manifest is None or not self.view.servers_read:
            return []
        return [name for name, s in manifest.services.items() if s.divided]

    def _is_read(self, service):
        """Tell whether the table was read since this daemon leads; read it if not.

        What is known from before may be older than the last moves of the leader before:
        their old owners would be renewed, or fenced once more, beside the new ones.
        """
        if service in self._read:
            return True
        found = self.store.get(RANGES, service)
        if is_successful(found):
            self._take_stored(found.unwrap())
        elif not isinstance(found.failure(), NotFoundError):
            return False
        self._read.add(service)
        return True

    def _advance(self, service):
        table = self.view.tables.get(service)
        if self.leadership.may_move:
            table = self._write_due(service, table)
        if table is None:
            return
        self._give_freed(service, table)
        for identity in sorted({(item.owner, item.life) for item in table.ranges}):
            key = service, identity
            if key not in self._renewing:
                self._renewing[key] = keep_running(
                    lambda key=key: self._renew_all(*key)
                )
        if self.leadership.may_move:
            for item in table.ranges:
                if item.is_moving:
                    self.mover.take_back(service, item)

    def _write_due(self, service, table):
        """Write which ranges are free and which should move; return the table.

        A range is granted to its new owner only once the store says that it is free.
        """
        candidates = self._candidates(service)
        if table is None:
            return self._deal(service, candidates)
        freed = [
            item.settled()
            for item in table.ranges
            if item.is_moving and self.mover.is_released(service, item)
        ]
        newer = table.with_ranges(freed)
        n_moving = sum(self._is_asked(item) for item in newer.ranges)
        changed = plan_moves(
            newer,
            candidates,
            lambda item: self._stays(service, item),
            n_moving,
            lambda: busy_servers(newer, candidates, self.leadership.heat_of(service)),
        )
        if not changed and not n_moving:
            changed = self._spread(service, newer, candidates)
        raised = self._asked_to_raise(service, newer.with_ranges(changed))
        if not freed and not changed and not raised:
            return table
        moved = [item for item in changed if item.is_moving]
        if moved:
            log_event(
                "keys-to-move",
                service=service,
                ranges=len(moved),
                cut=len(changed) - len(moved),
                moving=n_moving,
                candidates=len(candidates),
                owners_before=_names(item.old_owner for item in moved),
                owners=_names(item.owner for item in moved),
            )
            self.n_moves += len(moved)
        addresses = {candidate.name: candidate.address for candidate in candidates}
        # Before anybody, this leader's next look included, can read the cuts.
        self._note_cuts(service, newer, changed)
        newer = newer.with_ranges(changed, addresses)
        raised = self._raise(service, raised)
        written = self._write(service, newer.with_ranges(raised), [*moved, *raised])
        return written or self.view.tables.get(service, table)

    def _give_freed(self, service, table):
        """Grant the ranges of which the store says that they are free.

        As the table shows them: a write that freed some may have had no answer.
        """
        for item in table.ranges:
            if not item.is_moving:
                self.mover.give(service, item)

    def _note_cuts(self, service, table, changed):
        """Note that what was granted of a range holds for each piece of it."""
        for item in changed:
            whole = table.find(item.first)
            if whole.first != item.first:
                token = item.old_token if item.is_moving else item.token
                self.keeper.share(service, whole.first, item.first, token)

    def _asked_to_raise(self, service, table):
        """Return the ranges whose tokens are to be raised now."""
        return [
            item
            for asked, item in self._to_raise
            if asked == service
            and table.find(item.first) == item
            and self._is_to_raise(service, item)
        ]

    def _raise(self, service, items):
        """Return ranges under higher tokens, and note that they are to be written."""
        for item in items:
            self.keeper.note_raised(service, item)
        if items:
            log_event(
                "tokens-raised",
                service=service,
                ranges=len(items),
                owners=_names(item.owner for item in items),
            )
        return [item.raised() for item in items]

    def _is_to_raise(self, service, item):
        """Tell whether a token has to be raised before a connection is opened for it.

        The other end may be another life of the server, which no entry has told yet.
        """
        return (
            self.keeper.is_current(service, item)
            and not self.keeper.is_unsent(service, item)
            and not self.mover.is_released(service, item)
        )

    def _is_asked(self, item):
        """Tell whether a range is on its way from a server that can be asked for it.

        Of one that is gone only time proves the end. Such ranges keep nobody busy: they
        once took all the room for moves for 40 s, in which servers that were leaving
        kept their keys and refused them.
        """
        if not item.is_moving:
            return False
        server = self.view.directory.servers.get(item.old_owner)
        return server is not None and server.life == item.old_life

    def _spread(self, service, table, candidates):
        """Return busy ranges that should move, now and then."""
        now_ms = self.clock.now_ms()
        if now_ms < self._spread_ms.get(service, 0.0) + SPREAD_MS:
            return []
        self._spread_ms[service] = now_ms
        return spread_heat(table, candidates, self.leadership.heat_of(service))

    def _candidates(self, service):
        directory, now_ms = self.view.directory, self.clock.now_ms()
        usable = directory.usable(service)
        warm = [server for server in usable if not directory.is_cold(server.name)]
        reached = [
            s for s in warm or usable if not self.keeper.is_unreachable(s.identity)
        ]
        return [
            Candidate(
                server.name,
                server.life,
                server.address,
                server.slots,
                self.leadership.loads.speed(server.name, now_ms),
            )
            for server in reached or warm or usable
        ]

    def _stays(self, service, item):
        """Tell whether a range should stay with its owner, be it cold or out of reach.

        An owner that is listed but can't be reached may still serve those that reach
        it, until its grant has ended; moving its keys before would gain nobody.
        """
        server = self.view.directory.servers.get(item.owner)
        if server is None or server.life != item.life:
            return False
        if not self.view.directory.may_serve(server):
            return False
        if not self.keeper.is_unreachable(server.identity):
            return True
        return not self.keeper.time_proves(service, item.first, item.token)

    def _deal(self, service, candidates):
        now_ms = self.clock.now_ms()
        n_before, since_ms = self._waiting.get(service, (0, now_ms))
        if len(candidates) != n_before:
            since_ms = now_ms
        self._waiting[service] = len(candidates), since_ms
        if not candidates or now_ms < since_ms + FIRST_DEAL_MS:
            return None
        log_event("keys-dealt", service=service, servers=len(candidates))
        dealt = first_deal(service, candidates)
        return self._write(service, dealt, dealt.ranges)

    def _write(self, service, table, renewed=()):
        """Write a table under the version it was made from; None if that failed.

        Parameters
        ----------
        service : str
        table : RangeTable
        renewed : iterable of KeyRange
            Those of its ranges that have got new tokens.
        """
        version = self.view.table_version(service)
        result = self.store.put(RANGES, service, table.to_spec(), version)
        if is_successful(result):
            self.view.take_table(table, result.unwrap().version)
            for item in renewed:
                self.keeper.note_new(service, item)
            return table
        error = result.failure()
        log_event("table-not-written", service=service, reason=str(error))
        current = error.current if isinstance(error, ConflictError) else None
        if current is None:
            found = self.store.get(RANGES, service)
            current = found.unwrap() if is_successful(found) else None
        if current is not None:
            self._take_stored(current)
        return None

    def _take_stored(self, stored):
        try:
            self.view.take_exact_table(stored)
        except ValueError as error:
            log_event("entry-not-understood", kind=RANGES, reason=str(error))

    def _renew_all(self, service, identity):
        """Renew all that one server holds, until it holds nothing or others lead."""
        key = service, identity
        contact, retry_ms = self.keeper.contact(identity), RETRY_MS
        while self.leadership.leads:
            began_ms = self.clock.now_ms()
            owned = self._owned(service, identity)
            if not owned:
                break
            # Kept until tokens are raised: a closed connection shows only once.
            contact.has_broken |= self.keeper.has_lost(service, identity[0])
            if contact.has_broken and not self._raise_tokens(service, owned):
                break
            contact.has_broken = False
            all_said = self._renew_server(
                service, identity, self._owned(service, identity), contact
            )
            if contact.unconnected and self.leadership.may_move:
                all_said = self._renew_raised(service, identity, contact)
            took_ms = self.clock.now_ms() - began_ms
            pause_ms = self.leadership.timing.regrant_ms * (
                0.9 + 0.1 * self._rng.random()
            )
            if contact.failing_since_ms is not None:
                retry_ms = min(LAST_RETRY_MS, retry_ms * 2)
                pause_ms = retry_ms
            elif contact.has_broken or not all_said:
                pause_ms = RETRY_MS
            else:
                retry_ms = RETRY_MS
            gevent.sleep(max(RETRY_MS, pause_ms - took_ms) / 1000.0)
        gevent.sleep(LAST_RETRY_MS / 1000.0)
        self._renewing.pop(key, None)

    def _renew_raised(self, service, identity, contact):
        """Renew what no connection was open for, under higher tokens.

        Returns
        -------
        all_said : bool
        """
        log_event(
            "server-unconnected", server=identity[0], ranges=len(contact.unconnected)
        )
        if not self._raise_tokens(service, contact.unconnected):
            return False
        raised = [
            item
            for item in self._owned(service, identity)
            if self.keeper.is_unsent(service, item)
        ]
        return self._renew_server(service, identity, raised, contact)

    def _raise_tokens(self, service, items):
        """Have tokens of a server raised, so that connections to it may be opened.

        It may have started again under its name, and would take a token that its
        earlier life has had. If the store can't be written the server is granted
        nothing that needs a connection until it can: keys that nobody serves for the
        rest of an outage cost less than two servers that do.

        Returns
        -------
        is_done : bool
        """
        while self.leadership.may_move:
            left = {(service, i) for i in items if self._is_to_raise(service, i)}
            if not left:
                return True
            self._to_raise |= left
            self._work.set()
            while left & self._to_raise and self.leadership.may_move:
                gevent.sleep(GATHER_MS / 1000.0)
            if any(self._is_to_raise(service, item) for item in items):
                gevent.sleep(RETRY_MS / 1000.0)
        return False

    def _owned(self, service, identity):
        table = self.view.tables.get(service)
        if table is None:
            return []
        return [
            item
            for item in table.ranges
            if (item.owner, item.life) == identity and not item.is_moving
        ]

    def _renew_server(self, service, identity, items, contact):
        """Renew ranges of one owner, through a daemon of its failure domain if any.

        What a relay could not do shows in ``contact``: tokens are raised, and the
        leader tries by itself. That no connection is open says nothing of the server:
        while the store can't be written, another relay may have one.

        Parameters
        ----------
        service : str
        identity : (str, int)
        items : list of KeyRange
        contact : _Contact

        Returns
        -------
        all_said : bool
            Whether the owner said something of each range that was due.
        """
        contact.unconnected = []
        owner = identity[0]
        due = [item for item in items if self._is_due(service, item)]
        is_worth_it = len(self._owned(service, identity)) >= LEAST_RANGES
        relay = self.relays.pick(owner) if due and is_worth_it else ""
        if not relay:
            return self._renew_directly(service, due, contact)
        send = functools.partial(self.relays.send, relay)
        results = self.keeper.renew_through(send, service, owner, due)
        unsaid = [
            (item, result)
            for item, result in zip(due, results, strict=True)
            if not self._note_renewed(service, item, result, contact)
        ]
        contact.unconnected = [item for item, r in unsaid if has_no_connection(r)]
        if len(contact.unconnected) < len(unsaid):
            contact.has_broken = True
        elif unsaid and not self.leadership.may_move:
            if len(unsaid) < len(due):
                # Given by the leader itself, which has a connection for them.
                return self._renew_directly(service, contact.unconnected, contact)
            log_event("server-not-renewed", server=owner, relay=relay)
            self.relays.pass_over(relay, owner)
        return not unsaid

    def _renew_directly(self, service, due, contact):
        """Renew ranges of one owner; False unless it said something of each."""
        contact.unconnected = []
        for item in due:
            self._renew(service, item, contact)
            if contact.has_broken:
                return False
        return not contact.unconnected

    def _is_due(self, service, item):
        """Tell whether a range is to be renewed now."""
        if not self.keeper.is_current(service, item):
            return False
        if self.mover.is_released(service, item):
            return False
        return (service, item.first, item.token) not in self.keeper.refused

    def _note_renewed(self, service, item, result, contact):
        """Take in what the owner said; False if it said nothing."""
        if is_successful(result):
            self.keeper.note_reached(item.owner, contact)
            return True
        if not isinstance(result.failure(), OvertakenGrantError):
            return False
        if not self.keeper.is_current(service, item):
            # Cut or moved meanwhile: the higher token was another piece's.
            return True
        self.keeper.refused.add((service, item.first, item.token))
        log_event(
            "grant-overtaken",
            level=logbook.WARNING,
            service=service,
            server=item.owner,
            first=item.first,
            token=item.token,
        )
        return True

    def _renew(self, service, item, contact):
        """Renew one range; what came of it shows in ``contact``."""
        if not self._is_due(service, item):
            return
        result = self.keeper.grant(service, item, item.owner, item.token)
        if self._note_renewed(service, item, result, contact):
            return
        if has_no_connection(result):
            if not self.leadership.may_move:
                log_event("server-not-renewed", server=item.owner, relay="")
            contact.unconnected.append(item)
            return
        error = result.failure()
        if contact.failing_since_ms is None:
            contact.failing_since_ms = self.clock.now_ms()
            log_event("server-lost", server=item.owner, reason=str(error))
        contact.has_broken = True


def _names(names):
    return ",".join(sorted(set(names)))
