"""Gives keys to servers, renews what they hold, and moves keys between them.

Only the leader does. Three things have to be true before another server gets a key:
its token is above all earlier ones, the store says so, and the earlier owner has let
go. It has if it answered a release, if its life has ended, or if time has proved it.
"""

import collections
import random

import attrs
import gevent
import logbook
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from returns.pipeline import is_successful
from returns.result import Failure

from ..adapters.logs import log_event
from ..dealing import Candidate, first_deal, plan_moves, spread_heat
from ..errors import (
    ConflictError,
    NotFoundError,
    NotSentError,
    OvertakenGrantError,
    WrongServerError,
)
from ..ranges import RangeTable
from .follower import RANGES, SERVER
from .tasks import keep_running

__all__ = ["Granter"]

PLAN_MS = 250.0
"""Between two looks at who should own what. Short, since keys of a server that leaves
are refused until they have moved."""

FIRST_DEAL_MS = 2500.0
"""How long no further server has to come before keys are dealt for the first time.
Servers register within some seconds of each other; whoever is late has to be given
keys by moves, which cost more than the wait."""

SPREAD_MS = 700.0
"""Between two looks at which keys are busy; they become so within seconds."""

ANSWER_MS = 1000.0
"""Timeout of a grant. A server answers in a millisecond."""

RELEASE_MS = 8000.0
"""Timeout of a release, which is answered once running work has ended."""

FENCE_HOLD_MS = 300.0
"""What a fencing grant is given for: it only has to be seen."""

LATE_GRANT_MS = 15_000.0
"""How long a grant without an answer may still be on its way to be applied."""

CALLS_PER_SERVER = 6
"""Releases under way at one server at a time. Load: all its ranges leave at once. Harm
prevented: a connection each, beyond what the server takes, so that it resets renewals
and callers. More than its slots, so that idle ranges do not wait for running work."""

RETRY_MS, LAST_RETRY_MS = 250.0, 1000.0
"""Between two tries at a server that does not answer; each first asks the store whether
the server has started again."""

UNREACHABLE_MS = 1500.0
"""Grants of a server that go unanswered for so long count it as unreachable."""

GATHER_MS = 20.0
"""How long ended moves are gathered before they are written: a write is seen by every
daemon, and ranges of one server end their moves within milliseconds of each other."""

UNGRANTED = (NotSentError, OvertakenGrantError, WrongServerError)
NO_ADDRESS = Failure(NotSentError("address not known"))
NO_LONGER_LEADS = Failure(NotSentError("another daemon may lead"))


@attrs.define(eq=False)
class _Held:
    """What is known of the grants of one range to its owner."""

    sent_ms: float = float("-inf")
    in_doubt_until_ms: float = float("-inf")
    under_way: int = 0


@attrs.define(eq=False)
class _Contact:
    """How grants to one server have fared."""

    failing_since_ms: float | None = None
    has_broken: bool = False


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
    read_server : callable
        Decodes a server's entry; a Result.
    clock : Clock
    """

    view: object
    leadership: object
    store: object
    grants: object
    read_server: object
    clock: object
    n_moves: int = 0
    n_handovers: int = 0
    n_grants: int = 0
    _term: int = 0
    _held: dict = attrs.Factory(dict)
    _renewing: dict = attrs.Factory(dict)
    _moving: dict = attrs.Factory(dict)
    _settled: dict = attrs.Factory(lambda: collections.defaultdict(dict))
    _contacts: dict = attrs.Factory(lambda: collections.defaultdict(_Contact))
    _refused: set = attrs.Factory(set)
    _waiting: dict = attrs.Factory(dict)
    _spread_ms: dict = attrs.Factory(dict)
    _calls: dict = attrs.Factory(
        lambda: collections.defaultdict(lambda: BoundedSemaphore(CALLS_PER_SERVER))
    )
    _work: Event = attrs.Factory(Event)
    _rng: random.Random = attrs.Factory(random.Random)

    @property
    def timing(self):
        """Times of grants."""
        return self.leadership.timing

    def run(self):
        """Plan and start moves and renewals, for ever."""
        while True:
            if self.leadership.leads:
                self.begin_term()
                for service in self._services():
                    self._advance(service)
            if self._work.wait(PLAN_MS / 1000.0):
                gevent.sleep(GATHER_MS / 1000.0)
            self._work.clear()

    def begin_term(self):
        """Forget what was known of grants if others may have led since.

        Only then: a leader that the store did not confirm for a while, and that no
        other has replaced, still knows all grants, and others gave none.
        """
        term = self.leadership.term
        if term != self._term:
            self._term = term
            self._held.clear()
            self._waiting.clear()

    def _services(self):
        manifest = self.view.manifest
        if manifest is None or not self.view.servers_read:
            return []
        return [name for name, s in manifest.services.items() if s.divided]

    def _advance(self, service):
        table = self.view.tables.get(service)
        if self.leadership.may_move:
            table = self._write_due(service, table)
        if table is None:
            return
        for identity in {(item.owner, item.life) for item in table.ranges}:
            key = service, identity
            if key not in self._renewing:
                self._renewing[key] = keep_running(
                    lambda key=key: self._renew_all(*key)
                )
        for item in table.ranges:
            key = service, item.first, item.token
            is_done = self._settled[service].get(item.first) == item.token
            is_due = item.is_moving and not is_done and self.leadership.may_move
            if is_due and key not in self._moving:
                self._moving[key] = gevent.spawn(self._move, service, item, key)

    # ------------------------------------------------------------------ planning

    def _write_due(self, service, table):
        """Write moves that have ended and those that should begin; return the table."""
        candidates = self._candidates(service)
        if table is None:
            return self._deal(service, candidates)
        done = self._settled[service]
        ended = [
            item.settled()
            for item in table.ranges
            if item.is_moving and done.get(item.first) == item.token
        ]
        newer = table.with_ranges(ended)
        n_moving = sum(item.is_moving for item in newer.ranges)
        moved = plan_moves(
            newer, candidates, lambda item: self._stays(service, item), n_moving
        )
        if not moved and not n_moving:
            moved = self._spread(service, newer, candidates)
        if not ended and not moved:
            return table
        if moved:
            log_event(
                "keys-to-move",
                service=service,
                ranges=len(moved),
                moving=n_moving,
                candidates=len(candidates),
                owners_before=_names(item.old_owner for item in moved),
                owners=_names(item.owner for item in moved),
            )
            self.n_moves += len(moved)
        addresses = {candidate.name: candidate.address for candidate in candidates}
        return self._write(service, newer.with_ranges(moved, addresses)) or table

    def _spread(self, service, table, candidates):
        """Return busy ranges that should move, now and then."""
        now_ms = self.clock.now_ms()
        if now_ms < self._spread_ms.get(service, 0.0) + SPREAD_MS:
            return []
        self._spread_ms[service] = now_ms
        return spread_heat(table, candidates, self.leadership.heat_of(service))

    def _candidates(self, service):
        directory = self.view.directory
        usable = directory.usable(service)
        warm = [server for server in usable if not directory.is_cold(server.name)]
        reached = [s for s in warm or usable if not self._is_unreachable(s.identity)]
        return [
            Candidate(server.name, server.life, server.address, server.slots)
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
        if not self._is_unreachable(server.identity):
            return True
        return not self._time_proves(service, item.first, item.token)

    def _deal(self, service, candidates):
        now_ms = self.clock.now_ms()
        n_before, since_ms = self._waiting.get(service, (0, now_ms))
        if len(candidates) != n_before:
            since_ms = now_ms
        self._waiting[service] = len(candidates), since_ms
        if not candidates or now_ms < since_ms + FIRST_DEAL_MS:
            return None
        log_event("keys-dealt", service=service, servers=len(candidates))
        return self._write(service, first_deal(service, candidates))

    def _write(self, service, table):
        """Write a table under the version it was made from; None if that failed."""
        version = self.view.table_version(service)
        result = self.store.put(RANGES, service, table.to_spec(), version)
        if is_successful(result):
            self.view.take_table(table, result.unwrap().version)
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
            self.view.take_table(RangeTable.from_spec(stored.spec), stored.version)
        except ValueError as error:
            log_event("entry-not-understood", kind=RANGES, reason=str(error))

    # ------------------------------------------------------------------ renewals

    def _renew_all(self, service, identity):
        """Renew all that one server holds, until it holds nothing or others lead."""
        key = service, identity
        contact, retry_ms = self._contacts[identity], RETRY_MS
        while self.leadership.leads:
            began_ms = self.clock.now_ms()
            ranges = self._owned(service, identity)
            if not ranges:
                break
            if contact.has_broken and not self._is_same_life(identity):
                break
            contact.has_broken = False
            for item in ranges:
                if not self._renew(service, item, contact):
                    break
            took_ms = self.clock.now_ms() - began_ms
            pause_ms = self.timing.regrant_ms * (0.9 + 0.1 * self._rng.random())
            if contact.failing_since_ms is not None:
                retry_ms = min(LAST_RETRY_MS, retry_ms * 2)
                pause_ms = retry_ms
            else:
                retry_ms = RETRY_MS
            gevent.sleep(max(RETRY_MS, pause_ms - took_ms) / 1000.0)
        gevent.sleep(LAST_RETRY_MS / 1000.0)
        self._renewing.pop(key, None)

    def _is_same_life(self, identity):
        """Ask the store whether a server that broke a connection still lives.

        It may have started again under its name, and would take the old grant as a
        new one, with a token that another server has had. If the store can't say, the
        server's entry counts as it was.
        """
        name, life = identity
        found = self.store.get(SERVER, name)
        if not is_successful(found):
            return not isinstance(found.failure(), NotFoundError)
        server = self.read_server(found.unwrap())
        return is_successful(server) and server.unwrap().life == life

    def _owned(self, service, identity):
        table = self.view.tables.get(service)
        if table is None:
            return []
        return [
            item
            for item in table.ranges
            if (item.owner, item.life) == identity and not item.is_moving
        ]

    def _renew(self, service, item, contact):
        """Renew one range; False if the server can't be reached."""
        if not self._is_current(service, item):
            return True
        if (service, item.first, item.token) in self._refused:
            return True
        result = self._grant(service, item, item.owner, item.token)
        if is_successful(result):
            self._note_reached(item.owner, contact)
            return True
        error = result.failure()
        if isinstance(error, OvertakenGrantError):
            self._refused.add((service, item.first, item.token))
            log_event(
                "grant-overtaken",
                level=logbook.WARNING,
                service=service,
                server=item.owner,
                first=item.first,
                token=item.token,
            )
            return True
        if contact.failing_since_ms is None:
            contact.failing_since_ms = self.clock.now_ms()
            log_event("server-lost", server=item.owner, reason=str(error))
        contact.has_broken = True
        return False

    def _is_current(self, service, item):
        """Tell whether a range is still this owner's, and this daemon the leader."""
        table = self.view.tables.get(service)
        return self.leadership.leads and table.find(item.first) == item

    def _grant(
        self, service, item, owner, token, handover="", hold_ms=None, record=None
    ):
        """Send one grant and note until when it may be held.

        It is noted under the token of its owner, or under ``record``.
        """
        address = self._address(service, owner)
        if not address:
            return NO_ADDRESS
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
            )
        finally:
            held.under_way -= 1
        self.n_grants += 1
        if is_successful(result):
            # Counted from the answer: it can't have arrived later.
            held.sent_ms = self.clock.now_ms()
        elif not isinstance(result.failure(), UNGRANTED):
            held.sent_ms = self.clock.now_ms()
            held.in_doubt_until_ms = sent_ms + LATE_GRANT_MS
        return result

    def _held_of(self, service, first, token):
        key = service, first, token
        held = self._held.get(key)
        if held is None:
            # An earlier leader may have renewed it until it stopped.
            stopped_ms = self.leadership.others_stopped_ms
            held = self._held[key] = _Held(stopped_ms, stopped_ms)
        return held

    def _address(self, service, name):
        server = self.view.directory.servers.get(name)
        if server is not None:
            return server.address
        return self.view.tables[service].addresses.get(name, "")

    def _note_reached(self, name, contact):
        if contact.failing_since_ms is not None:
            after_ms = round(self.clock.now_ms() - contact.failing_since_ms)
            log_event("server-regained", server=name, after_ms=after_ms)
            contact.failing_since_ms = None

    def _is_unreachable(self, identity):
        since_ms = self._contacts[identity].failing_since_ms
        return since_ms is not None and since_ms + UNREACHABLE_MS < self.clock.now_ms()

    # --------------------------------------------------------------------- moves

    def _move(self, service, item, key):
        """Take a range from its old owner and give it to the new one."""
        began_ms = self.clock.now_ms()
        try:
            proof, handover = self._take_back(service, item)
            if proof is None:
                return
            if not self._give(service, item, handover):
                return
            self._settled[service][item.first] = item.token
            self._held.pop((service, item.first, item.old_token), None)
            log_event(
                "keys-moved",
                service=service,
                first=item.first,
                token=item.token,
                owner_before=item.old_owner,
                owner=item.owner,
                proof=proof,
                handover=bool(handover),
                took_ms=round(self.clock.now_ms() - began_ms),
            )
            self.n_handovers += bool(handover)
            self._work.set()
        finally:
            self._moving.pop(key, None)

    def _may_act(self, service, item):
        """Tell whether a move may be carried on: by one daemon only.

        A leader that the store has not confirmed lately still renews, but its successor
        may already carry on the same moves: a fencing grant of the one would give the
        old owner keys that the other has just given to the new one.
        """
        return self.leadership.may_move and self._is_current(service, item)

    def _take_back(self, service, item):
        """Return how it is known that the old owner has let go, and its handover.

        It is asked first, also if time has proved it: what it hands over spares the new
        owner a cold start.
        """
        is_silent = self.view.directory.servers.get(item.old_owner) is None
        while self._may_act(service, item):
            if self._life_ended(service, item.old_owner, item.old_life):
                return "life ended", ""
            if is_silent and self._time_proves(service, item.first, item.old_token):
                return "time", ""
            result = self._release(service, item)
            if is_successful(result):
                return "released", result.unwrap()
            if isinstance(result.failure(), WrongServerError):
                # An address is given to another server only after the end of this.
                return "address reused", ""
            is_silent = True
            gevent.sleep(RETRY_MS / 1000.0)
        return None, ""

    def _release(self, service, item):
        """Fence the old owner, if a grant may still be on its way to it, and release.

        A grant of the old token that is applied after the release would give the old
        owner the keys back; once the server has seen a higher token it refuses it.
        """
        address = self._address(service, item.old_owner)
        if not address:
            return NO_ADDRESS
        token = item.old_token
        held = self._held_of(service, item.first, token)
        with self._calls[address]:
            if not self._may_act(service, item):
                return NO_LONGER_LEADS
            if held.under_way or self.clock.now_ms() < held.in_doubt_until_ms:
                token = item.token - 1
                result = self._grant(
                    service,
                    item,
                    item.old_owner,
                    token,
                    hold_ms=FENCE_HOLD_MS,
                    record=item.old_token,
                )
                if not is_successful(result):
                    return result
                log_event(
                    "owner-fenced",
                    service=service,
                    server=item.old_owner,
                    first=item.first,
                    token=token,
                )
                if not self._may_act(service, item):
                    return NO_LONGER_LEADS
            return self.grants.release(
                item.old_owner, address, item.first, item.last, token, RELEASE_MS
            )

    def _give(self, service, item, handover):
        """Give a range to its new owner; also done if the owner has gone meanwhile."""
        while self._may_act(service, item):
            result = self._grant(service, item, item.owner, item.token, handover)
            if is_successful(result):
                return True
            if isinstance(result.failure(), OvertakenGrantError):
                self._refused.add((service, item.first, item.token))
                return True
            server = self.view.directory.servers.get(item.owner)
            if server is None or server.life != item.life or server.draining:
                return True
            if self._is_unreachable((item.owner, item.life)):
                return True
            contact = self._contacts[item.owner, item.life]
            if contact.failing_since_ms is None:
                contact.failing_since_ms = self.clock.now_ms()
            gevent.sleep(RETRY_MS / 1000.0)
        return False

    def _time_proves(self, service, first, token):
        """Tell whether all grants of a range under a token must have ended."""
        held = self._held_of(service, first, token)
        return self.clock.now_ms() > held.sent_ms + self.timing.longest_hold_ms

    def _life_ended(self, service, name, life):
        """Tell whether a later process was seen under the same name or address."""
        server = self.view.directory.servers.get(name)
        if server is not None and server.life > life:
            return True
        address = self.view.tables[service].addresses.get(name)
        return any(
            other.address == address and other.life > life
            for other in self.view.directory.servers.values()
        )


def _names(names):
    return ",".join(sorted(set(names)))
