"""Keeps a daemon's view up to date from the platform."""

import attrs
import gevent
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
    """

    view: object
    platform: object
    watcher: object
    watch_ms: float
    reached: bool = True

    def run_watch(self):
        """Follow changes of objects, for ever."""
        while True:
            result = self.watcher.watch(self.view.version, self.watch_ms)
            self._note_reached(is_successful(result))
            if not is_successful(result):
                gevent.sleep(RETRY_MS / 1000.0)
                continue
            version, changes = result.unwrap()
            for stored in changes:
                self.view.apply(stored)
            self.view.version = max(self.view.version, version)

    def run_vm_list(self):
        """Follow the list of VMs, for ever."""
        while True:
            result = self.platform.list_vms()
            if is_successful(result):
                self.view.apply_vms(result.unwrap())
            gevent.sleep(VM_LIST_MS / 1000.0)

    def _note_reached(self, reached):
        if reached == self.reached:
            return
        self.reached = reached
        log_event("platform-reached" if reached else "platform-unreachable")
