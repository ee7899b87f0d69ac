"""Keeps a daemon's view up to date with the store, directly or through the leader.

Each daemon that watches the store costs calls, so most daemons follow the leader, which
passes on its updates at once. A daemon whose leader does not respond, or is cut off
from the store, follows the store itself; while the store fails it asks its peers.
"""

import math
import random

import attrs
import gevent
import logbook
from gevent.event import Event
from returns.result import Failure

from ..adapters.logs import log_event
from ..errors import EntryError, HistoryGoneError
from ..fleet_view import FOLLOWED_KINDS, MANIFEST, RANGES, SERVER, TAKEN_OUT
from ..manifest import RouteTable
from ..model import Stored
from ..ranges import RangeTable, TableHistory
from ..received_table import ReceivedTable
from ..removals import RemovalLog
from ..results import is_successful
from ..roster import Roster

__all__ = ["Follower"]

MANIFEST_NAME = "main"

WATCH_MS = 5000
"""Longest time that a watch waits for changes.

Only its end reveals that the response to a watch was lost. If the responses to both
daemons that follow the store are lost, no daemon learns of a leaving server until then.
A value three times as long would save one call a second over all daemons."""

WATCH_MS_AFTER_FAILURE = 800
"""Longest time of a watch while other calls to the store fail."""

WATCH_PAUSE_MS, BACKUP_WATCH_PAUSE_MS = 50.0, 400.0
"""Pause after a watch that returned changes, so that the next one returns several.

While servers are replaced, entries change and ranges move dozens of times a second, and
each call is paid for. The second value is for a daemon whose leader hears the store: it
is told the same changes by the leader, and watches only in case the leader misses one.
It then reports that at most 0.4 s and the time to its next ping later."""

MIN_RETRY_MS, MAX_RETRY_MS = 100.0, 800.0
"""Minimum and maximum delay between calls to a store that fails.

The minimum is short, since most failures are single lost responses. The maximum limits
the load that a daemon adds to a store that is recovering."""

CUT_OFF_AFTER_MS = 400.0
"""How long the store has to fail until this daemon counts as cut off from it.

After a single lost response the next call, a tenth of a second later, succeeds. Other
daemons should not turn to the store for each of these."""

RECENT_FAILURE_MS = 6000.0
"""How long a failure of the store counts as recent.

Meanwhile watches are shorter, and a server entry that disappears may come back."""

MISMATCH_TIMEOUT_MS = 500.0
"""How long a peer's state may differ before this daemon reads the store again.

It is longer than changes take to reach all daemons, and short compared with the two
seconds in which they have to be in force."""

MASS_LOSS_COUNT = 3
"""Number of entries whose simultaneous loss indicates an outage of the store.

This daemon may not have noticed the outage; servers normally leave one by one."""


@attrs.define(eq=False, repr=False)
class Follower:
    """Follows the kinds of objects that a daemon's view consists of.

    Parameters
    ----------
    view : FleetView
    store : object
        See :class:`.FleetPorts`.
    peers : FleetPeers
        Asked while the store fails.
    ports : FleetPorts
        Decodes objects that other programs write.
    clock : Clock
    versions : dict of str to int
        By kind, the store's version up to which it was read.
    changed : dict of str to int
        By kind, the store's version at which the last change was found.
    objects : dict of str to dict
        By kind and name, the objects read.
    failing_since_ms : dict of str to float
        By kind, since when it could not be read.
    leader_hears_store : bool
        Whether another daemon leads, answers, and hears the store itself.
    history : TableHistory
    """

    view: object
    store: object
    peers: object
    ports: object
    clock: object
    versions: dict = attrs.Factory(dict)
    changed: dict = attrs.Factory(dict)
    objects: dict = attrs.Factory(dict)
    failing_since_ms: dict = attrs.Factory(dict)
    leader_hears_store: bool = False
    history: TableHistory = attrs.Factory(TableHistory)
    _last_failure_ms: float = float("-inf")
    _follows_store: Event = attrs.Factory(Event)
    _logged_unreadable: dict = attrs.Factory(dict)
    _unused_servers: dict = attrs.Factory(dict)
    _to_reread: set = attrs.Factory(set)
    _watch_tasks: dict = attrs.Factory(dict)
    _kinds_catching_up: set = attrs.Factory(set)
    _removals: dict = attrs.Factory(dict)
    _roster: tuple = (None, Roster.of(()))
    _differs_since_ms: dict = attrs.Factory(dict)
    _rng: random.Random = attrs.Factory(random.Random)

    def run(self, kind):
        """Follow one kind, forever."""
        pause_ms = MIN_RETRY_MS
        while True:
            self._follows_store.wait()
            if self._read_next(kind):
                pause_ms = MIN_RETRY_MS
                continue
            self.fetch_from_peer(kind)
            gevent.sleep(pause_ms * (0.5 + self._rng.random()) / 1000.0)
            pause_ms = min(MAX_RETRY_MS, pause_ms * 2)

    @property
    def follows_store(self):
        """Whether this daemon follows the store itself."""
        return self._follows_store.is_set()

    @property
    def hears_store(self):
        """Whether this daemon follows the store and is not cut off from it."""
        return self.follows_store and self.is_synced and self.ms_until_cut_off > 0

    @property
    def ms_until_cut_off(self):
        """Time until this daemon counts as cut off from the store if no call works."""
        since_ms = min(self.failing_since_ms.values(), default=math.inf)
        return since_ms + CUT_OFF_AFTER_MS - self.clock.now_ms()

    def follow_store(self, reason, reread=True):
        """Start to follow the store.

        Parameters
        ----------
        reason : str
        reread : bool, default=True
            Whether to read everything again, rather than only what has changed since.
            Needed to find what the leader has missed: a state that comes from the
            leader lacks it as well. Not needed when the leader falls silent, where all
            daemons turn to the store at once.
        """
        if self.follows_store:
            return
        log_event("store-followed", reason=reason)
        if reread:
            self._to_reread.update(FOLLOWED_KINDS)
        self._follows_store.set()

    def follow_leader(self, leader):
        """Stop following the store, and rely on the leader's updates."""
        if not self.follows_store:
            return
        log_event("leader-followed", leader=leader)
        self._follows_store.clear()
        self.failing_since_ms.clear()
        for task in list(self._watch_tasks.values()):
            task.kill(block=False)

    def run_missing(self):
        """Drop servers that did not come back after an outage, forever."""
        while True:
            gevent.sleep(0.25)
            for name in self.view.directory.drop_missing():
                log_event("server-gone", server=name, reason="not back after outage")
                self.view.notify_waiters()

    @property
    def roster(self):
        """The Roster of all servers that the store lists."""
        known = self.changed.get(SERVER)
        if self._roster[0] != known:
            self._roster = known, Roster.of(self.objects.get(SERVER, ()))
        return self._roster[1]

    @property
    def is_synced(self):
        """Whether all kinds have been read at least once."""
        return all(kind in self.versions for kind in FOLLOWED_KINDS)

    def updates_since(self, versions):
        """Return the changes since some versions, as plain data.

        Parameters
        ----------
        versions : dict of str to int
            By kind, the version that the requesting daemon has.

        Returns
        -------
        updates : dict of str to dict
            By kind: the version here; how long ago the store last failed (None if that
            is not recent); the newer objects, of tables of ranges only the changes; and
            either the names of removed objects and the version since which they were
            removed, or the names of all objects. For servers also how many ms those
            that may come back have been missing.
        """
        return {
            kind: self._updates_of_kind(kind, versions.get(kind, 0))
            for kind, version in self.changed.items()
            if version > versions.get(kind, 0)
        }

    def _updates_of_kind(self, kind, since_version):
        objects = self.objects[kind]
        updates = {
            "version": self.changed[kind],
            "trouble_ms_ago": self._failure_age_ms(),
            "objects": [
                self._row_of(item, since_version)
                for item in objects.values()
                if item.version > since_version
            ],
        }
        missing_ms = self.view.directory.all_missing_ms() if kind == SERVER else {}
        removed = self._removals_of(kind).since(since_version)
        if removed is None:
            return {**updates, "names": list(objects), "missing_ms": missing_ms}
        gone = [name for name in removed if name not in objects]
        still_missing_ms = {
            name: missing_ms[name] for name in gone if name in missing_ms
        }
        return {
            **updates,
            "since": since_version,
            "gone": gone,
            "missing_ms": still_missing_ms,
        }

    def _row_of(self, item, since_version):
        """Return an object as a row of updates: whole, or changes to a base version."""
        changes = None
        if item.kind == RANGES:
            changes = self.history.changes(item.name, since_version)
        if changes is None:
            return [item.name, item.version, item.spec]
        base_version, spec = changes
        return [item.name, item.version, spec, base_version]

    def apply_updates(self, updates):
        """Apply the updates of another daemon.

        Raises
        ------
        ValueError
            If they are malformed.
        """
        for kind in FOLLOWED_KINDS:
            found = updates.get(kind)
            if found is None or found["version"] < self.versions.get(kind, 0):
                continue
            self._note_peer_failure_age(found.get("trouble_ms_ago"))
            if "gone" in found and found["since"] != self.changed.get(kind, 0):
                # The updates are relative to an older state than this daemon's; it asks
                # again.
                continue
            known = dict(self.objects.get(kind, {}))
            items = [self._object_from_row(kind, *row) for row in found["objects"]]
            known.update((item.name, item) for item in items if item is not None)
            if "gone" in found:
                names = known.keys() - set(found["gone"])
            else:
                names = set(found["names"])
            if None in items or not names <= known.keys():
                # The updates rely on objects that this daemon does not have. Without
                # versions, it is sent everything next time.
                self.versions.pop(kind, None)
                self.changed.pop(kind, None)
                continue
            kept = [item for name, item in known.items() if name in names]
            missing_ms = found.get("missing_ms", {})
            self._replace(kind, found["version"], kept, "peer", missing_ms)

    def _removals_of(self, kind):
        return self._removals.setdefault(kind, RemovalLog())

    def _note_peer_failure_age(self, age_ms):
        """Adopt a store failure that another daemon reports, if it is more recent.

        Daemons exchange the age, since the mere fact of a failure would be passed back
        and forth between them forever.
        """
        if age_ms is not None:
            self._last_failure_ms = max(
                self._last_failure_ms, self.clock.now_ms() - age_ms
            )

    def _object_from_row(self, kind, name, version, spec, base_version=None):
        """Return the object in a peer's row; None if its base is not known here."""
        if base_version is None:
            return Stored(kind, name, version, spec)
        if self.view.table_version(name) != base_version:
            return None
        changed = RangeTable.from_spec(spec)
        base = self.view.tables[name]
        table = base.with_ranges(changed.ranges, changed.addresses)
        return ReceivedTable(name, version, table)

    def compare_digests(self, peer, digest):
        """Compare a peer's state with this daemon's, by kind of object.

        A kind that keeps differing is read again from the store. This guards against a
        watch whose response was lost: it waits on a connection that appears to be
        alive, and this daemon would keep outdated state.
        """
        if not digest:
            # Only daemons that follow the store report their state.
            for kind in FOLLOWED_KINDS:
                self._differs_since_ms.pop((kind, peer), None)
            return
        own, now_ms = self.view.digest(), self.clock.now_ms()
        for kind, known in own.items():
            if digest.get(kind, known) == known:
                self._differs_since_ms.pop((kind, peer), None)
                continue
            since_ms = self._differs_since_ms.setdefault((kind, peer), now_ms)
            task = self._watch_tasks.get(kind)
            if now_ms - since_ms >= MISMATCH_TIMEOUT_MS and task is not None:
                log_event("peer-differs", kind=kind, peer=peer)
                self._differs_since_ms[kind, peer] = now_ms + MISMATCH_TIMEOUT_MS
                task.kill(block=False)

    def _read_next(self, kind):
        """Read the next changes of a kind, by a watch or by reading everything.

        Returns
        -------
        succeeded : bool
            False if the store has failed, so that the next call has to wait.
        """
        version = self.versions.get(kind)
        if version is None or kind in self._to_reread:
            return self._read_snapshot(kind)
        sent_ms = self.clock.now_ms()
        is_healthy = self._failure_age_ms() is None
        wait_ms = WATCH_MS if is_healthy else WATCH_MS_AFTER_FAILURE
        task = gevent.spawn(self.store.watch, kind, version, wait_ms)
        self._watch_tasks[kind] = task
        result = task.get()
        self._watch_tasks.pop(kind)
        if isinstance(result, gevent.GreenletExit):
            # A peer's state differs, or this daemon follows the leader from now on.
            if self.follows_store:
                self._to_reread.add(kind)
            return True
        if is_successful(result):
            version, items = result.unwrap()
            self._apply_changes(kind, version, items)
            self._note_read(kind, sent_ms)
            if items:
                is_backup = self.leader_hears_store
                pause_ms = BACKUP_WATCH_PAUSE_MS if is_backup else WATCH_PAUSE_MS
                gevent.sleep(pause_ms / 1000.0)
            return True
        error = result.failure()
        # A new watch from the same version is not enough: a failing store may have
        # recorded changes that it reports to no watch.
        self._to_reread.add(kind)
        if isinstance(error, HistoryGoneError):
            log_event("history-gone", kind=kind, version=version)
            return True
        self._record_failure(kind, error)
        return False

    def _read_snapshot(self, kind):
        sent_ms = self.clock.now_ms()
        result = self.store.snapshot(kind)
        if not is_successful(result):
            self._to_reread.add(kind)
            self._record_failure(kind, result.failure())
            return False
        self._to_reread.discard(kind)
        self._record_success(kind)
        self._replace(kind, *result.unwrap(), via="snapshot")
        self._note_read(kind, sent_ms)
        return True

    def read_manifest(self):
        """Read the manifest from the store once, also while following the leader.

        Returns
        -------
        is_read : bool
        """
        sent_ms = self.clock.now_ms()
        result = self.store.snapshot(MANIFEST)
        if not is_successful(result):
            return False
        self._replace(MANIFEST, *result.unwrap(), via="reading")
        self._note_read(MANIFEST, sent_ms)
        return True

    def _note_read(self, kind, sent_ms):
        if kind == MANIFEST and self.view.manifest is not None:
            self.view.note_manifest_known(sent_ms)

    def catch_up(self, address, versions):
        """Start to fetch what a peer has read of the store beyond this daemon.

        Parameters
        ----------
        address : str
            Of the peer.
        versions : dict of str to int
            By kind, the store's version at which the peer last found a change.
        """
        for kind in FOLLOWED_KINDS:
            is_behind = versions.get(kind, 0) > self.versions.get(kind, 0)
            if is_behind and kind not in self._kinds_catching_up:
                self._kinds_catching_up.add(kind)
                gevent.spawn(self._catch_up_kind, kind, address)

    def _catch_up_kind(self, kind, address):
        try:
            self.fetch_from_peer(kind, address)
        finally:
            self._kinds_catching_up.discard(kind)

    def fetch_from_peer(self, kind, address=""):
        """Fetch updates from the peer at an address, or from any peer if it is empty.

        The store may still respond to the peer.
        """
        sent_ms = self.clock.now_ms()
        updates = self.peers.news(kind, self.changed.get(kind, 0), address)
        if not updates:
            return
        try:
            if kind in updates:
                log_event("news-from-peer", kind=kind, version=updates[kind]["version"])
            self.apply_updates(updates)
            self.view.adopt_freshness(updates.get("freshness"), sent_ms)
        except (KeyError, TypeError, ValueError) as error:
            log_event("news-not-understood", peer=address, reason=repr(error))

    def record_store_failure(self):
        """Record that a call to the store failed.

        Responses to watches may have been lost, too, so the watches are started again.
        """
        now_ms = self.clock.now_ms()
        is_first_failure = now_ms >= self._last_failure_ms + WATCH_MS_AFTER_FAILURE
        self._last_failure_ms = now_ms
        if is_first_failure:
            for task in list(self._watch_tasks.values()):
                task.kill(block=False)

    def _record_success(self, kind):
        since_ms = self.failing_since_ms.pop(kind, None)
        if since_ms is not None:
            now_ms = self.clock.now_ms()
            self._last_failure_ms = now_ms
            log_event("store-regained", kind=kind, after_ms=round(now_ms - since_ms))

    def _record_failure(self, kind, error):
        now_ms = self.clock.now_ms()
        self._last_failure_ms = now_ms
        if kind not in self.failing_since_ms:
            self.failing_since_ms[kind] = now_ms
            self.view.notify_waiters()
            log_event("store-lost", level=logbook.WARNING, kind=kind, reason=str(error))

    def _failure_age_ms(self):
        """Return how long ago the store last failed; None if that is not recent."""
        age_ms = self.clock.now_ms() - self._last_failure_ms
        return age_ms if age_ms < RECENT_FAILURE_MS else None

    def _replace(self, kind, version, items, via, missing_ms=None):
        """Replace all objects of a kind, unless the list is older than those known.

        For a removed server, a peer reports how long it has been missing. If the time
        were counted from when this daemon receives the report, each daemon that passes
        it on would extend the use of the server.
        """
        if version < self.versions.get(kind, 0):
            return
        before = self.objects.get(kind, {})
        self._removals_of(kind).record_gap(self.versions.get(kind, -1), version)
        self.versions[kind] = version
        self.objects[kind] = {item.name: item for item in items}
        if kind not in self.changed or before != self.objects[kind]:
            self.changed[kind] = version
        gone = set(before) - set(self.objects[kind])
        self._removals_of(kind).record(version, gone)
        if kind == SERVER:
            self._remove_servers(gone, missing_ms or {})
        for item in items:
            known = before.get(item.name)
            if known is not item and known != item:
                self._apply(item, via)
        if kind == TAKEN_OUT:
            self._apply_domains()
        if kind == SERVER:
            self.view.servers_loaded = True
        self.view.notify_waiters()

    def _apply_changes(self, kind, version, items):
        if kind not in self.versions:
            # The state was discarded during the watch, and changes alone are not
            # enough.
            self._to_reread.add(kind)
            return
        if version < self.versions[kind]:
            return
        self.versions[kind] = version
        known, gone = self.objects[kind], set()
        for item in items:
            if item.spec is None:
                if known.pop(item.name, None) is not None:
                    gone.add(item.name)
            else:
                gone.discard(item.name)
                known[item.name] = item
                self._apply(item, via="watch")
        # Removals of objects missing in a paged list are recorded as well: other
        # daemons may know the objects.
        removed = [item.name for item in items if item.spec is None]
        self._removals_of(kind).record(version, removed)
        if kind == SERVER:
            self._remove_servers(gone, {})
        if kind == TAKEN_OUT:
            self._apply_domains()
        if items:
            self.changed[kind] = version
            self.view.notify_waiters()

    def _remove_servers(self, names, missing_ms):
        has_failed_lately = self._failure_age_ms() is not None
        may_return = has_failed_lately or len(names) >= MASS_LOSS_COUNT
        for name in names:
            self._unused_servers.pop(name, None)
            if name in self.view.directory.servers:
                log_event("server-gone", server=name, may_return=may_return)
            missing_for_ms = missing_ms.get(name, 0.0)
            self.view.directory.remove_server(name, may_return, missing_for_ms)

    def _apply(self, item, via):
        if item.kind == MANIFEST and item.name == MANIFEST_NAME:
            self._apply_manifest(item, via)
        elif item.kind == SERVER:
            self._apply_server(item, via)
        elif item.kind == RANGES:
            self._apply_ranges(item)

    def _apply_manifest(self, item, via):
        result = _read(self.ports.read_manifest, item.spec)
        if not is_successful(result):
            self._log_unreadable(item, result.failure())
            return
        manifest = result.unwrap()
        if self.view.update_routes(RouteTable(manifest)):
            log_event(
                "manifest-in-force",
                manifest=manifest.version,
                routes=len(manifest.routes),
                store_version=item.version,
                via=via,
            )
            for unused in list(self._unused_servers.values()):
                self._apply_server(unused, via)

    def _apply_server(self, item, via):
        self._unused_servers.pop(item.name, None)
        result = _read(self.ports.read_server, item)
        if not is_successful(result):
            self._log_unreadable(item, result.failure())
            return
        server, directory = result.unwrap(), self.view.directory
        before = directory.servers.get(server.name)
        if not self._is_used(server, before):
            self._unused_servers[item.name] = item
            self._log_unused(server, item)
            return
        missing_ms = directory.missing_ms(server.name)
        directory.upsert(server)
        if missing_ms is not None:
            log_event(
                "server-returned",
                server=server.name,
                missing_ms=round(missing_ms),
                store_version=item.version,
                via=via,
            )
        if before is None or before.life != server.life:
            log_event(
                "server-found",
                server=server.name,
                life=server.life,
                service=server.service,
                address=server.address,
                domain=server.failure_domain,
                cold_ms=round(server.cold_ms),
                draining=server.draining,
            )
        elif before.draining != server.draining:
            log_event(
                "server-draining",
                server=server.name,
                draining=server.draining,
                store_version=item.version,
                via=via,
            )

    def _is_used(self, server, before):
        """Return whether requests may be routed to a server of this service.

        An entry of any other service is nobody's, also under the name of a server that
        is in use. A server that was in use stays known while a manifest leaves its
        service out.
        """
        routes = self.view.routes
        if routes is None:
            return False
        return routes.names_service(server.service) or (
            before is not None and before.service == server.service
        )

    def _log_unused(self, server, item):
        """Log an entry that is left out although the manifest is known."""
        if self.view.routes is not None:
            self._log_unreadable(item, f"no service {server.service!r} in the manifest")

    def _apply_ranges(self, item):
        try:
            self.history.record(self._load_table(item), item.version)
        except ValueError as error:
            self._log_unreadable(item, error)

    def _load_table(self, item):
        """Apply a table that was stored or received, and return it."""
        if not isinstance(item, ReceivedTable):
            return self.view.load_stored_table(item)
        self.view.update_table(item.table, item.version)
        return item.table

    def _apply_domains(self):
        domains = set(self.objects.get(TAKEN_OUT, {}))
        before = self.view.directory.taken_out
        if domains == before:
            return
        self.view.directory.set_taken_out(
            domains, lambda name: self.view.service(name).warmup_ms
        )
        log_event("domains-taken-out", domains=",".join(sorted(domains)) or "none")

    def _log_unreadable(self, item, error):
        """Log once for each version that an object cannot be decoded."""
        if self._logged_unreadable.get((item.kind, item.name)) == item.version:
            return
        self._logged_unreadable[item.kind, item.name] = item.version
        log_event(
            "entry-not-understood",
            level=logbook.WARNING,
            kind=item.kind,
            name=item.name,
            version=item.version,
            reason=str(error),
        )


def _read(parse, stored):
    """Parse what other programs have stored; whatever that raises is a Failure."""
    try:
        return parse(stored)
    except Exception as error:
        return Failure(EntryError(repr(error)))
