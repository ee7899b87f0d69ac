"""Keeps a daemon's view up to date from the platform."""

import attrs
import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.logs import log_event

__all__ = ["News"]

RETRY_MS = 200
VM_LIST_MS = 1000


@attrs.define(eq=False, repr=False)
class News:
    """Watches the platform.

    Parameters
    ----------
    view : View
    platform : Platform
    watcher : Platform
        A second one with a connection of its own: a watch occupies it.
    watch_ms : float
        How long one watch waits.
    synced : Event
        Set once objects and VMs have been read: before, a request for a declared
        service would be told that there is no such service.
    """

    view: object
    platform: object
    watcher: object
    watch_ms: float
    reached: bool = True
    synced: Event = attrs.Factory(Event)
    _seen_objects: bool = False
    _seen_vms: bool = False

    def run_watch(self):
        """Follow changes of objects, for ever."""
        while True:
            result = self.watcher.watch(self.view.version, self.watch_ms)
            self._note_reached(result)
            if not is_successful(result):
                gevent.sleep(RETRY_MS / 1000.0)
                continue
            version, changes = result.unwrap()
            for stored in changes:
                self.view.apply(stored)
            self.view.version = max(self.view.version, version)
            self._seen_objects = True
            self._note_synced()

    def run_vm_list(self):
        """Follow the list of VMs, for ever."""
        while True:
            result = self.platform.list_vms()
            if is_successful(result):
                self.view.apply_vms(result.unwrap())
                self._seen_vms = True
                self._note_synced()
            gevent.sleep(VM_LIST_MS / 1000.0)

    def _note_synced(self):
        if self._seen_objects and self._seen_vms:
            self.synced.set()

    def _note_reached(self, result):
        reached = is_successful(result)
        if reached == self.reached:
            return
        self.reached = reached
        if reached:
            log_event("platform-reached")
        else:
            log_event("platform-unreachable", error=result.failure())
