"""One daemon's copy of the platform's list of VMs, and changes of it."""

import collections
import json

import attrs
import xxhash

from .model import Vm

__all__ = ["VmChanges", "VmList"]

MAX_PREVIOUS_STATES = 4
"""Number of previous states kept: a follower with one of them is sent only the changes.
"""


@attrs.frozen
class VmChanges:
    """The difference between two states of the list.

    Parameters
    ----------
    digest : str
        Digest of the resulting state.
    whole : bool
        Whether ``changed`` is the whole list, independent of the receiver's state.
    changed : tuple of Vm
        Added or modified VMs.
    removed : tuple of str
        Names of VMs that are no longer listed.
    """

    digest: str
    whole: bool
    changed: tuple[Vm, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.define
class VmList:
    """The current list of VMs.

    The platform's list has no version, so states are identified by a digest.

    Parameters
    ----------
    by_name : dict of str to Vm
    digest : str
        Empty until a list has been seen.
    """

    by_name: dict = attrs.Factory(dict)
    digest: str = ""
    _last_list: object = None
    _by_service: dict = attrs.Factory(dict)
    _previous: collections.OrderedDict = attrs.Factory(collections.OrderedDict)

    def replace(self, vms):
        """Replace the list; True if the new one differs."""
        if vms is self._last_list:
            return False
        self._last_list = vms
        return self._set_current({vm.name: vm for vm in vms})

    def apply(self, changes):
        """Apply changes; True if the list differs afterwards."""
        self._last_list = None
        updated = {} if changes.whole else dict(self.by_name)
        for name in changes.removed:
            updated.pop(name, None)
        updated.update((vm.name, vm) for vm in changes.changed)
        return self._set_current(updated)

    def changes_from(self, digest):
        """Return the VmChanges from a state to the current one; None if equal."""
        if not self.digest or digest == self.digest:
            return None
        before = self._previous.get(digest)
        if before is None:
            return VmChanges(self.digest, True, tuple(self.by_name.values()))
        changed = [vm for vm in self.by_name.values() if before.get(vm.name) != vm]
        removed = [name for name in before if name not in self.by_name]
        return VmChanges(self.digest, False, tuple(changed), tuple(removed))

    def of_service(self, team, service):
        """Return the VMs of a service, by name; must not be modified."""
        return self._by_service.get((team, service), {})

    def _set_current(self, updated):
        if self.digest and updated == self.by_name:
            return False
        if self.digest:
            self._previous[self.digest] = self.by_name
        while len(self._previous) > MAX_PREVIOUS_STATES:
            self._previous.popitem(last=False)
        self.by_name, self.digest = updated, _digest_of(updated)
        self._by_service = {}
        for vm in updated.values():
            self._by_service.setdefault((vm.team, vm.service), {})[vm.name] = vm
        return True


def _digest_of(by_name):
    rows = [attrs.astuple(by_name[name]) for name in sorted(by_name)]
    return xxhash.xxh3_64_hexdigest(json.dumps(rows).encode())
