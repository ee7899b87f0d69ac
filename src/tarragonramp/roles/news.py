"""Keeps a daemon's view up to date, from the platform or from other daemons."""

import random

import attrs
import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..model import KIND_MEMBER, VIEWED_KINDS
from ..spreading import (
    PLATFORM,
    Sources,
    fallback_ms,
    outside_sources,
    retry_ms,
    source_of,
)

__all__ = ["News"]

START_SPREAD_MS = 200
BATCH_MS = 20
"""Pause between two fetches from another daemon.

Load: a burst of changes, as when a failure domain restarts. Harm prevented: an
exchange a change on every hop. Four hops then add 80 ms at most.
"""


@attrs.define(eq=False, repr=False)
class News:
    """Follows the platform or another daemon, and answers those that follow this one.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
        For single calls.
    watcher : Platform
        A second one with a connection of its own: a watch occupies it.
    peers : Peers
    clock : Clock
    timing : Timing
    synced : Event
        Set once objects and VMs have been read: before, a request for a declared
        service would be told that there is no such service.
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
    _seen_objects: bool = False
    _seen_vms: bool = False
    source: str | None = None
    sources: Sources = attrs.Factory(Sources)
    _failures: int = 0
    _pulling: bool = False
    _last_direct_ms: float = 0.0
    _changed: Event = attrs.Factory(Event)
    _started: Event = attrs.Factory(Event)

    def __attrs_post_init__(self):
        """Wake waiting followers whenever the view changes."""
        self.view.on_change(self._wake)

    def run(self):
        """Follow changes of objects, for ever.

        The first thing a daemon reads is the list of members: only then can it tell
        whether it has to watch, or may leave the platform to others.
        """
        gevent.sleep(random.random() * START_SPREAD_MS / 1000.0)
        self._read_members()
        self._started.set()
        while True:
            self._choose_source()
            if self.source == PLATFORM:
                self._watch()
            else:
                self._follow()

    def wait_started(self):
        """Wait until the members are known."""
        self._started.wait()

    def run_vm_list(self):
        """Read the list of VMs, for ever, while this daemon watches the platform."""
        self.wait_started()
        while True:
            if self.source == PLATFORM:
                self._read_vms()
            gevent.sleep(self.timing.vm_list_ms / 1000.0)

    def heard(self, name, newest):
        """Take in the newest version that a ring neighbour has seen."""
        if self._pulling:
            return
        if self.sources.lags(name, newest, self.view.newest, self.clock.now_ms()):
            self._pulling = True
            gevent.spawn(self._catch_up, name)

    def answer(self, question):
        """Answer a daemon that follows this one, once there is anything new.

        Parameters
        ----------
        question : NewsQuestion

        Returns
        -------
        news : NewsAnswer
        """
        until_ms = self.clock.now_ms() + min(question.wait_ms, self.timing.watch_ms)
        while not self._has_news(question):
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            self._changed.wait(left_ms / 1000.0)
        return self.view.news_after(question, self.reached)

    def _has_news(self, question):
        return (
            self.view.version > question.since
            or self.view.newest > question.newest
            or self.view.vms_digest != question.vms_digest
            or self.reached != question.reached
        )

    def _read_members(self):
        while True:
            result = self.platform.list(KIND_MEMBER)
            if is_successful(result):
                for stored in result.unwrap():
                    self.view.apply(stored)
                return
            self._note_reached(False, result.failure())
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
            self._note_reached(True)
            self._failures = 0
            self._take(*result.unwrap())
            self._note_synced(objects=True)
            return
        self._note_reached(False, result.failure())
        self._ask_outside()
        self._back_off()

    def _follow(self):
        name = self.source
        news = self._fetch(name, self.timing.watch_ms)
        if news is None:
            log_event("news-source-silent", source=name)
            self.sources.suspect(name, self.clock.now_ms())
            return
        self.sources.trust(name)
        self._note_reached(news.reached, f"told by {name}")
        self._note_synced(objects=news.version > 0, vms=news.version > 0)
        if not news.reached:
            self._fall_back()
        gevent.sleep(BATCH_MS / 1000.0)

    def _fall_back(self):
        """Ask the platform now and then while the source has lost it."""
        wait_ms = fallback_ms(len(self.view.members()), random.random())
        if self.clock.now_ms() - self._last_direct_ms < wait_ms:
            return
        self._last_direct_ms = self.clock.now_ms()
        result = self.watcher.watch(self.view.version, 0, VIEWED_KINDS)
        if is_successful(result):
            self._take(*result.unwrap())
            self._read_vms()

    def _ask_outside(self):
        """Ask one watcher of another failure domain, which may still see more."""
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
            self._pulling = False

    def _fetch(self, name, wait_ms):
        """Return another daemon's news after taking its objects in, or None."""
        member = self.view.members().get(name)
        if member is None:
            return None
        question = self.view.question(wait_ms, self.reached)
        result = self.peers.news(member.control_address, question)
        if not is_successful(result):
            return None
        news = result.unwrap()
        if news.vms is not None and name == self.source:
            self.view.apply_vm_changes(news.vms)
        self._take(news.version, news.items)
        return news

    def _take(self, version, items):
        for stored in items:
            self.view.apply(stored)
        self.view.advance_to(version)
        self._wake()

    def _read_vms(self):
        result = self.platform.list_vms()
        if is_successful(result):
            self.view.apply_vms(result.unwrap())
            self._note_synced(vms=True)

    def _back_off(self):
        self._failures += 1
        gevent.sleep(retry_ms(self._failures, random.random()) / 1000.0)

    def _note_synced(self, objects=False, vms=False):
        self._seen_objects |= objects
        self._seen_vms |= vms
        if self._seen_objects and self._seen_vms:
            self.synced.set()

    def _note_reached(self, reached, error=""):
        if reached == self.reached:
            return
        self.reached = reached
        self._wake()
        if reached:
            log_event("platform-reached")
        else:
            log_event("platform-unreachable", error=error)

    def _wake(self):
        changed, self._changed = self._changed, Event()
        changed.set()
