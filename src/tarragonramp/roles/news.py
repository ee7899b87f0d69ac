"""Keeps a daemon's view current, by updates from the platform or from other daemons."""

import random

import attrs
import gevent
from gevent.event import Event

from ..adapters.logs import log_event
from ..model import KIND_MEMBER, VIEWED_KINDS
from ..propagation import (
    PLATFORM,
    SourceHealth,
    fallback_ms,
    outside_sources,
    retry_ms,
    source_of,
)
from ..results import is_successful

__all__ = ["News"]

START_JITTER_MS = 200
BATCH_DELAY_MS = 20
"""Pause between two fetches from another daemon, so that a burst of changes is batched.

Without it a restart of a failure domain causes one exchange per change on every hop.
Over four hops it adds at most 80 ms.
"""


@attrs.define(eq=False, repr=False)
class News:
    """Follows the platform or another daemon, and serves daemons that follow this one.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
        For single calls.
    watcher : Platform
        A second client with its own connection, since a watch blocks its connection.
    peers : Peers
    clock : Clock
    timing : Timing
    reached : bool
        Whether the platform responds, to this daemon or to the one that it follows.
    synced : Event
        Set once objects and VMs have been read. Before that, requests for a declared
        service would be refused, as if no service were at their path.
    source : str or None
        Name of the daemon that this one follows, or ``PLATFORM``.
    sources : SourceHealth
    """

    me: object
    view: object
    platform: object
    watcher: object
    peers: object
    clock: object
    timing: object
    reached: bool = True
    synced: Event = attrs.Factory(Event)
    _objects_read: bool = False
    _vms_read: bool = False
    source: str | None = None
    sources: SourceHealth = attrs.Factory(SourceHealth)
    _failures: int = 0
    _catching_up: bool = False
    _last_poll_ms: float = 0.0
    _state_changed: Event = attrs.Factory(Event)
    _members_read: Event = attrs.Factory(Event)

    def __attrs_post_init__(self):
        """Subscribe to view changes, to wake waiting followers."""
        self.view.on_change(self._wake_followers)

    def run(self):
        """Follow changes of objects. Never returns.

        The list of members is read first, since it determines whether this daemon
        watches the platform itself or follows another daemon.
        """
        gevent.sleep(random.random() * START_JITTER_MS / 1000.0)
        self._read_members()
        self._members_read.set()
        while True:
            self._choose_source()
            if self.source == PLATFORM:
                self._watch()
            else:
                self._follow()

    def wait_for_members(self):
        """Block until the list of members has been read."""
        self._members_read.wait()

    def run_vm_list(self):
        """Poll the VM list while this daemon watches the platform. Never returns."""
        self.wait_for_members()
        while True:
            if self.source == PLATFORM:
                self._read_vms()
            gevent.sleep(self.timing.vm_list_ms / 1000.0)

    def on_peer_version(self, name, newest):
        """Handle the newest version that a ring neighbour has seen.

        If this daemon lags behind, it fetches the neighbour's updates.
        """
        if self._catching_up:
            return
        if self.sources.needs_pull(name, newest, self.view.newest, self.clock.now_ms()):
            self._catching_up = True
            gevent.spawn(self._catch_up, name)

    def answer(self, request):
        """Return updates to a daemon that follows this one; blocks until there are any.

        Without any, it returns after the wait that the follower asked for.

        Parameters
        ----------
        request : NewsQuestion

        Returns
        -------
        updates : NewsAnswer
        """
        until_ms = self.clock.now_ms() + min(request.wait_ms, self.timing.watch_ms)
        while not self._has_updates(request):
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            self._state_changed.wait(left_ms / 1000.0)
        return self.view.updates_after(request, self.reached)

    def _has_updates(self, request):
        return (
            self.view.version > request.since
            or self.view.newest > request.newest
            or self.view.vms_digest != request.vms_digest
            or self.reached != request.reached
        )

    def _read_members(self):
        while True:
            result = self.platform.list(KIND_MEMBER)
            if is_successful(result):
                for stored in result.unwrap():
                    self.view.apply(stored)
                return
            self._record_reached(False, result.failure())
            self._back_off()

    def _choose_source(self):
        source = source_of(
            self.me, self.view.members(), self.timing.watchers, self._usable
        )
        if source != self.source:
            log_event("news-source", source=source or "platform", before=self.source)
        self.source = source

    def _usable(self, name):
        return self.sources.usable(name, self.clock.now_ms())

    def _watch(self):
        result = self.watcher.watch(
            self.view.version, self.timing.watch_ms, VIEWED_KINDS
        )
        if is_successful(result):
            self._record_reached(True)
            self._failures = 0
            self._apply_updates(*result.unwrap())
            self._record_synced(objects=True)
            return
        self._record_reached(False, result.failure())
        self._poll_remote_watcher()
        self._back_off()

    def _follow(self):
        name = self.source
        updates = self._fetch(name, self.timing.watch_ms)
        if updates is None:
            log_event("news-source-silent", source=name)
            self.sources.suspect(name, self.clock.now_ms())
            return
        self.sources.trust(name)
        self._record_reached(updates.reached, f"told by {name}")
        self._record_synced(objects=updates.version > 0, vms=updates.version > 0)
        if not updates.reached:
            self._poll_platform()
        gevent.sleep(BATCH_DELAY_MS / 1000.0)

    def _poll_platform(self):
        """Poll the platform occasionally while the source cannot reach it."""
        wait_ms = fallback_ms(len(self.view.members()), random.random())
        if self.clock.now_ms() - self._last_poll_ms < wait_ms:
            return
        self._last_poll_ms = self.clock.now_ms()
        result = self.watcher.watch(self.view.version, 0, VIEWED_KINDS)
        if is_successful(result):
            self._apply_updates(*result.unwrap())
            self._read_vms()

    def _poll_remote_watcher(self):
        """Fetch from a watcher of another failure domain, which may be more current."""
        names = outside_sources(
            self.me, self.view.members(), self.timing.watchers, self._usable
        )
        if names and self._fetch(names[0], 0) is None:
            self.sources.suspect(names[0], self.clock.now_ms())

    def _catch_up(self, name):
        try:
            log_event("news-lag", ahead=name, version=self.view.version)
            self._fetch(name, 0)
        finally:
            self._catching_up = False

    def _fetch(self, name, wait_ms):
        """Fetch another daemon's updates, apply them, and return them or None."""
        member = self.view.members().get(name)
        if member is None:
            return None
        request = self.view.question(wait_ms, self.reached)
        result = self.peers.news(member.control_address, request)
        if not is_successful(result):
            return None
        updates = result.unwrap()
        if updates.vms is not None and name == self.source:
            self.view.apply_vm_changes(updates.vms)
        self._apply_updates(updates.version, updates.items)
        return updates

    def _apply_updates(self, version, items):
        for stored in items:
            self.view.apply(stored)
        self.view.advance_to(version)
        self._wake_followers()

    def _read_vms(self):
        result = self.platform.list_vms()
        if is_successful(result):
            self.view.apply_vms(result.unwrap())
            self._record_synced(vms=True)

    def _back_off(self):
        self._failures += 1
        gevent.sleep(retry_ms(self._failures, random.random()) / 1000.0)

    def _record_synced(self, objects=False, vms=False):
        self._objects_read |= objects
        self._vms_read |= vms
        if self._objects_read and self._vms_read:
            self.synced.set()

    def _record_reached(self, reached, error=""):
        if reached == self.reached:
            return
        self.reached = reached
        self._wake_followers()
        if reached:
            log_event("platform-reached")
        else:
            log_event("platform-unreachable", error=error)

    def _wake_followers(self):
        changed, self._state_changed = self._state_changed, Event()
        changed.set()
