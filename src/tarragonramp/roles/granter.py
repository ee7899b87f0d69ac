"""Assigns key ranges to backend servers, renews their grants and moves ranges.

Only the leader does this. Before a range is granted to another server, three conditions
have to hold: its token is above all earlier tokens, the store records it as free, and
the earlier owner has released it. A range counts as released if the owner has confirmed
a release, if the owner's process has ended, or if all of its grants have expired.
"""

import functools
import random

import attrs
import gevent
import logbook
from gevent.event import Event

from ..adapters.logs import log_event
from ..errors import (
    ConflictError,
    NotFoundError,
    OvertakenGrantError,
)
from ..fleet_view import RANGES
from ..hotspots import busy_servers, rebalance_hot_keys
from ..limits import ServerLimits
from ..range_placement import Candidate, initial_table, plan_moves
from ..results import is_successful
from .grants import GrantTracker
from .mover import Mover
from .relay import MIN_RELAYED_RANGES, has_no_connection
from .tasks import keep_running

__all__ = ["Granter"]

PLAN_INTERVAL_MS = 250.0
"""Interval between two planning rounds. It is short, since requests for the keys of a
leaving server are refused until the keys have moved."""

INITIAL_ASSIGNMENT_DELAY_MS = 2500.0
"""How long the set of servers has to be stable before keys are assigned for the first
time.

Servers register within some seconds of each other. A server that registers later gets
its keys by moves, which cost more than the wait."""

REBALANCE_INTERVAL_MS = 400.0
"""Interval between two searches for busy keys, which become busy within seconds."""

RETRY_MS, MAX_RETRY_MS = 250.0, 1000.0
"""Minimum and maximum delay between two attempts to reach a server that does not
respond."""

BATCH_MS = 20.0
"""How long completed moves are collected before the table is written.

Every daemon reads each write, and the moves of one server's ranges end within
milliseconds of each other."""


@attrs.define(eq=False, repr=False)
class Granter:
    """Manages the servers that own keys, on the leader.

    Parameters
    ----------
    view : FleetView
    leadership : Leadership
    store, grants : object
        See :class:`.FleetPorts`.
    clock : Clock
    relays : RelayPool
    limits : ServerLimits
        What servers in need take from all daemons together.
    n_moves : int
        Ranges that this daemon has begun to move.
    """

    view: object
    leadership: object
    store: object
    grants: object
    clock: object
    relays: object
    limits: ServerLimits = attrs.Factory(ServerLimits)
    tracker: GrantTracker = attrs.field(init=False)
    mover: Mover = attrs.field(init=False)
    n_moves: int = 0
    _renewal_tasks: dict = attrs.Factory(dict)
    _candidate_counts: dict = attrs.Factory(dict)
    _raise_requests: set = attrs.Factory(set)
    _last_rebalance_ms: dict = attrs.Factory(dict)
    _tables_read: set = attrs.Factory(set)
    _wake_up: Event = attrs.Factory(Event)
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Create the parts that track grants and carry out moves."""
        self.tracker = GrantTracker(self.view, self.leadership, self.grants, self.clock)
        self.mover = Mover(self.view, self.tracker, self.clock, self._wake_up.set)

    def run(self):
        """Plan and start moves and renewals, forever."""
        while True:
            if self.leadership.leads:
                if self.tracker.begin_term():
                    self.mover.begin_term()
                    self._candidate_counts.clear()
                    self._raise_requests.clear()
                    self._tables_read.clear()
                asked = set(self._raise_requests)
                for service in self._services():
                    if self._ensure_table_read(service):
                        self._advance(service)
                self._raise_requests -= asked
            if self._wake_up.wait(PLAN_INTERVAL_MS / 1000.0):
                gevent.sleep(BATCH_MS / 1000.0)
            self._wake_up.clear()

    def _services(self):
        manifest = self.view.manifest
        if manifest is None or not self.view.servers_loaded:
            return []
        return [name for name, s in manifest.services.items() if s.divided]

    def _ensure_table_read(self, service):
        """Return whether the table has been read in this term; read it if it has not.

        A table known from before may lack the previous leader's last moves. Acting on
        it would renew or fence the old owners of moved ranges beside the new ones.
        """
        if service in self._tables_read:
            return True
        found = self.store.get(RANGES, service)
        if is_successful(found):
            self._apply_stored_table(found.unwrap())
        elif not isinstance(found.failure(), NotFoundError):
            return False
        self._tables_read.add(service)
        return True

    def _advance(self, service):
        table = self.view.tables.get(service)
        if self.leadership.may_move:
            table = self._plan_and_write(service, table)
        if table is None:
            return
        self._grant_free_ranges(service, table)
        for identity in sorted(table.by_owner):
            key = service, identity
            if key not in self._renewal_tasks:
                self._renewal_tasks[key] = keep_running(
                    lambda key=key: self._renew_until_done(*key)
                )
        if self.leadership.may_move:
            for item in table.moving:
                self.mover.start_release(service, item)

    def _plan_and_write(self, service, table):
        """Write which ranges are free and which are to move; return the table.

        A range is granted to its new owner only once the store records it as free.
        """
        candidates = self._candidates(service, table)
        if table is None:
            return self._assign_initially(service, candidates)
        freed = [
            item.settled()
            for item in table.moving
            if self.mover.is_released(service, item)
        ]
        newer = table.with_ranges(freed) if freed else table
        n_moving = sum(self._can_be_released(item) for item in newer.moving)
        changed = plan_moves(
            newer,
            candidates,
            lambda item: self._keeps_owner(service, item),
            n_moving,
            lambda: busy_servers(
                newer, candidates, self.leadership.recent_load(service)
            ),
        )
        if not changed and not n_moving:
            changed = self._rebalance(service, newer, candidates)
        raised = self._due_token_raises(service, newer.with_ranges(changed))
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
                owners_before=_join_names(item.old_owner for item in moved),
                owners=_join_names(item.owner for item in moved),
            )
            self.n_moves += len(moved)
        addresses = {c.identity: c.address for c in candidates}
        # Recorded before anything, including this leader's next round, can read the
        # split ranges.
        self._record_splits(service, newer, changed)
        newer = newer.with_ranges(changed, addresses)
        raised = self._with_raised_tokens(service, raised)
        written = self._write(service, newer.with_ranges(raised), [*moved, *raised])
        return written or self.view.tables.get(service, table)

    def _grant_free_ranges(self, service, table):
        """Grant the ranges that the store records as free to their new owners.

        The table is used rather than the result of the write: a write that freed ranges
        may have taken effect although its response was lost.
        """
        for first, token in self.mover.released_ranges(service):
            item = table.find(first)
            if (item.first, item.token) == (first, token) and not item.is_moving:
                self.mover.grant_to_new_owner(service, item)

    def _record_splits(self, service, table, changed):
        """Record that the grants of a split range hold for each of its pieces."""
        for item in changed:
            whole = table.find(item.first)
            if whole.first != item.first:
                token = item.old_token if item.is_moving else item.token
                self.tracker.share_with_piece(service, whole.first, item.first, token)

    def _due_token_raises(self, service, table):
        """Return the ranges whose tokens are to be raised now."""
        return [
            item
            for asked, item in self._raise_requests
            if asked == service
            and table.find(item.first) == item
            and self._needs_token_raise(service, item)
        ]

    def _with_raised_tokens(self, service, items):
        """Return ranges with raised tokens, after preparing their grant records."""
        for item in items:
            self.tracker.share_with_raised_token(service, item)
        if items:
            log_event(
                "tokens-raised",
                service=service,
                ranges=len(items),
                owners=_join_names(item.owner for item in items),
            )
        return [item.raised() for item in items]

    def _needs_token_raise(self, service, item):
        """Return whether a token has to be raised before a connection is opened for it.

        The other end may be another process instance of the server, whose entry is not
        known yet.
        """
        return (
            self.tracker.is_current(service, item)
            and not self.tracker.is_unsent(service, item)
            and not self.mover.is_released(service, item)
        )

    def _can_be_released(self, item):
        """Return whether a moving range has an old owner that can be asked for it.

        If the old owner is gone, only the expiry of its grants ends the hold. Such
        ranges do not count towards the limit of concurrent moves: they once used up the
        limit for 40 s, and servers that were leaving meanwhile kept their keys and
        refused requests for them.
        """
        server = self.view.directory.servers.get(item.old_owner)
        return server is not None and server.life == item.old_life

    def _rebalance(self, service, table, candidates):
        """Return busy ranges to move, at most once per rebalance interval."""
        now_ms = self.clock.now_ms()
        if now_ms < self._last_rebalance_ms.get(service, 0.0) + REBALANCE_INTERVAL_MS:
            return []
        self._last_rebalance_ms[service] = now_ms
        return rebalance_hot_keys(
            table, candidates, self.leadership.recent_load(service)
        )

    def _candidates(self, service, table):
        directory, now_ms = self.view.directory, self.clock.now_ms()
        usable = [
            server
            for server in directory.usable(service)
            if not self._is_granted_elsewhere(table, server)
        ]
        warm = [server for server in usable if not directory.is_cold(server.name)]
        reached = [
            s for s in warm or usable if not self.tracker.is_unreachable(s.identity)
        ]
        limits, request_ms = self.limits, 0.0
        if limits.limited():
            request_ms = self.leadership.recent_load(service).request_ms
        return [
            Candidate(
                server.name,
                server.life,
                server.address,
                limits.usable_slots(server, request_ms, now_ms),
                self.leadership.selector.slowdown(server.name, now_ms),
            )
            for server in reached or warm or usable
        ]

    def _is_granted_elsewhere(self, table, server):
        """Return whether a listed process is granted keys at another address.

        One of the two addresses is not its own. It gets no more keys until it has none.
        """
        if table is None or server.address == table.addresses.get(server.identity):
            return False
        return server.identity in table.by_owner or any(
            item.old_identity == server.identity for item in table.moving
        )

    def _keeps_owner(self, service, item):
        """Return whether a range stays with its owner, even a cold or unreachable one.

        An owner that is listed but unreachable for this daemon may still serve daemons
        that reach it until its grant expires. Moving its keys earlier gains nothing.
        """
        server = self.view.directory.servers.get(item.owner)
        if server is None or server.life != item.life:
            return False
        if self._is_granted_elsewhere(self.view.tables[service], server):
            return False
        if not self.view.directory.may_serve(server):
            return False
        if not self.tracker.is_unreachable(server.identity):
            return True
        return not self.tracker.have_expired(service, item.first, item.token)

    def _assign_initially(self, service, candidates):
        """Write the first table once the number of candidates is stable; else None."""
        now_ms = self.clock.now_ms()
        n_before, since_ms = self._candidate_counts.get(service, (0, now_ms))
        if len(candidates) != n_before:
            since_ms = now_ms
        self._candidate_counts[service] = len(candidates), since_ms
        if not candidates or now_ms < since_ms + INITIAL_ASSIGNMENT_DELAY_MS:
            return None
        log_event("keys-dealt", service=service, servers=len(candidates))
        assigned = initial_table(service, candidates)
        return self._write(service, assigned, assigned.ranges)

    def _write(self, service, table, with_new_tokens=()):
        """Write a table on condition of its version; return it, or None if that failed.

        Parameters
        ----------
        service : str
        table : RangeTable
        renewed : iterable of KeyRange
            Ranges of the table that have new tokens.
        """
        version = self.view.table_version(service)
        result = self.store.put(RANGES, service, table.to_spec(), version)
        if is_successful(result):
            self.view.update_table(table, result.unwrap().version)
            for item in with_new_tokens:
                self.tracker.mark_unsent(service, item)
            return table
        error = result.failure()
        log_event("table-not-written", service=service, reason=str(error))
        current = error.current if isinstance(error, ConflictError) else None
        if current is None:
            found = self.store.get(RANGES, service)
            current = found.unwrap() if is_successful(found) else None
        if current is not None:
            self._apply_stored_table(current)
        return None

    def _apply_stored_table(self, stored):
        try:
            self.view.reload_table(stored)
        except ValueError as error:
            log_event("entry-not-understood", kind=RANGES, reason=str(error))

    def _renew_until_done(self, service, identity):
        """Renew the ranges of one server until it has none or another daemon leads."""
        key = service, identity
        connection_state, retry_ms = self.tracker.connection_state(identity), RETRY_MS
        while self.leadership.leads:
            began_ms = self.clock.now_ms()
            owned = self._ranges_of(service, identity)
            if not owned:
                break
            # The flag is kept until tokens are raised: a closed connection is reported
            # only once.
            if self.tracker.has_closed_connection(service, identity):
                log_event("server-closed-connection", server=identity[0])
                connection_state.is_broken = True
            if connection_state.is_broken and not self._raise_tokens(service, owned):
                if self.leadership.leads:
                    _log_not_renewed(identity[0], "", owned, "tokens cannot be raised")
                break
            connection_state.is_broken = False
            all_responded = self._renew_server(
                service, identity, self._ranges_of(service, identity), connection_state
            )
            if connection_state.unconnected and self.leadership.may_move:
                all_responded = self._renew_unconnected(
                    service, identity, connection_state
                )
            took_ms = self.clock.now_ms() - began_ms
            pause_ms = self.leadership.timing.regrant_ms * (
                0.9 + 0.1 * self._rng.random()
            )
            if connection_state.failing_since_ms is not None:
                retry_ms = min(MAX_RETRY_MS, retry_ms * 2)
                pause_ms = retry_ms
            elif connection_state.is_broken or not all_responded:
                pause_ms = RETRY_MS
            else:
                retry_ms = RETRY_MS
            gevent.sleep(max(RETRY_MS, pause_ms - took_ms) / 1000.0)
        gevent.sleep(MAX_RETRY_MS / 1000.0)
        self._renewal_tasks.pop(key, None)

    def _renew_unconnected(self, service, identity, connection_state):
        """Renew ranges that had no open connection, under raised tokens.

        Returns
        -------
        all_responded : bool
        """
        log_event(
            "server-unconnected",
            server=identity[0],
            ranges=len(connection_state.unconnected),
        )
        if not self._raise_tokens(service, connection_state.unconnected):
            return False
        raised = [
            item
            for item in self._ranges_of(service, identity)
            if self.tracker.is_unsent(service, item)
        ]
        return self._renew_server(service, identity, raised, connection_state)

    def _raise_tokens(self, service, items):
        """Wait until tokens of a server are raised, so that connections may be opened.

        The server may have restarted under its name, and would accept a token that its
        earlier process instance was given. While the store cannot be written, the
        server gets no grant that needs a new connection: keys that have no owner for
        the rest of an outage are better than keys that have two.

        Returns
        -------
        is_done : bool
            False if this daemon may not move keys any more.
        """
        while self.leadership.may_move:
            pending = {
                (service, i) for i in items if self._needs_token_raise(service, i)
            }
            if not pending:
                return True
            self._raise_requests |= pending
            self._wake_up.set()
            while pending & self._raise_requests and self.leadership.may_move:
                gevent.sleep(BATCH_MS / 1000.0)
            if any(self._needs_token_raise(service, item) for item in items):
                gevent.sleep(RETRY_MS / 1000.0)
        return False

    def _ranges_of(self, service, identity):
        table = self.view.tables.get(service)
        if table is None:
            return []
        owned = table.by_owner.get(identity, ())
        return [item for item in owned if not item.is_moving]

    def _renew_server(self, service, identity, items, connection_state):
        """Renew ranges of one owner, through a relay in its failure domain if any.

        Failures of a relay are recorded in ``connection_state``: tokens are raised, and
        the leader retries by itself. A missing connection is no failure of the server:
        while the store cannot be written, another relay may have one.

        Parameters
        ----------
        service : str
        identity : (str, int)
        items : list of KeyRange
        connection_state : _ConnectionState

        Returns
        -------
        all_responded : bool
            Whether the owner responded for each range that was due.
        """
        connection_state.unconnected = []
        owner = identity[0]
        due = [item for item in items if self._is_due(service, item)]
        is_relay_worthwhile = (
            len(self._ranges_of(service, identity)) >= MIN_RELAYED_RANGES
        )
        relay = self.relays.pick(owner) if due and is_relay_worthwhile else ""
        if not relay:
            return self._renew_directly(service, due, connection_state)
        send = functools.partial(self.relays.send, relay)
        results = self.tracker.renew_via_relay(send, service, identity, due)
        unconfirmed = [
            (item, result)
            for item, result in zip(due, results, strict=True)
            if not self._handle_renewal(service, item, result, connection_state)
        ]
        connection_state.unconnected = [
            item for item, r in unconfirmed if has_no_connection(r)
        ]
        if len(connection_state.unconnected) < len(unconfirmed):
            connection_state.is_broken = True
        elif unconfirmed and not self.leadership.may_move:
            if len(unconfirmed) < len(due):
                # These tokens were first sent by the leader, which has a connection for
                # them.
                return self._renew_directly(
                    service, connection_state.unconnected, connection_state
                )
            _log_not_renewed(owner, relay, unconfirmed, "no open connection")
            self.relays.exclude(relay, owner)
        return not unconfirmed

    def _renew_directly(self, service, due, connection_state):
        """Renew ranges of one owner; return whether it responded for each of them."""
        connection_state.unconnected = []
        for item in due:
            self._renew(service, item, connection_state)
            if connection_state.is_broken:
                return False
        unconnected = connection_state.unconnected
        if unconnected and not self.leadership.may_move:
            owner = unconnected[0].owner
            _log_not_renewed(owner, "", unconnected, "no open connection")
        return not unconnected

    def _is_due(self, service, item):
        """Return whether a range is to be renewed now."""
        if not self.tracker.is_current(service, item):
            return False
        if self.mover.is_released(service, item):
            return False
        return (service, item.first, item.token) not in self.tracker.refused

    def _handle_renewal(self, service, item, result, connection_state):
        """Process the result of a renewal; return whether the owner responded."""
        if is_successful(result):
            self.tracker.mark_reachable(item.owner, connection_state)
            return True
        if not isinstance(result.failure(), OvertakenGrantError):
            return False
        if not self.tracker.is_current(service, item):
            # The range was split or moved meanwhile: the higher token belongs to
            # another piece.
            return True
        self.tracker.refused.add((service, item.first, item.token))
        log_event(
            "grant-overtaken",
            level=logbook.WARNING,
            service=service,
            server=item.owner,
            first=item.first,
            token=item.token,
        )
        return True

    def _renew(self, service, item, connection_state):
        """Renew one range and record the outcome in ``connection_state``."""
        if not self._is_due(service, item):
            return
        result = self.tracker.grant(service, item, item.identity, item.token)
        if self._handle_renewal(service, item, result, connection_state):
            return
        if has_no_connection(result):
            connection_state.unconnected.append(item)
            return
        error = result.failure()
        if connection_state.failing_since_ms is None:
            connection_state.failing_since_ms = self.clock.now_ms()
            log_event("server-lost", server=item.owner, reason=str(error))
        connection_state.is_broken = True


def _log_not_renewed(server, relay, items, reason):
    """Log that ranges of a server get no renewal now; ``relay`` is empty for none."""
    log_event(
        "server-not-renewed",
        server=server,
        relay=relay,
        ranges=len(items),
        reason=reason,
    )


def _join_names(names):
    return ",".join(sorted(set(names)))
