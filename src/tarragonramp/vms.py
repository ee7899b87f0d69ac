"""The platform's list of VMs as one daemon holds it, and changes of it."""

import collections
import json

import attrs
import xxhash

from .model import Vm

__all__ = ["VmChanges", "VmList"]

N_EARLIER = 4
"""Earlier states kept, so that a follower that holds one is sent changes alone."""


@attrs.frozen
class VmChanges:
    """From one state of the list to another.

    Parameters
    ----------
    digest : str
        Of the state that results.
    whole : bool
        Whether ``changed`` is the whole list, whatever the receiver holds.
    changed : tuple of Vm
        Added or altered.
    removed : tuple of str
        Names of VMs that are no longer listed.
    """

    digest: str
    whole: bool
    changed: tuple[Vm, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.define
class VmList:
    """The VMs now listed.

    The platform's list has no version, so states are told apart by a digest.

    Parameters
    ----------
    by_name : dict of str to Vm
    digest : str
        Empty as long as no list was seen.
    """

    by_name: dict = attrs.Factory(dict)
    digest: str = ""
    _replaced_by: object = None
    _by_service: dict = attrs.Factory(dict)
    _earlier: collections.OrderedDict = attrs.Factory(collections.OrderedDict)

    def replace(self, vms):
        """Take in a whole list; True if it differs from the one held."""
        if vms is self._replaced_by:
            return False
        self._replaced_by = vms
        return self._hold({vm.name: vm for vm in vms})

    def apply(self, changes):
        """Take in changes; True if the list held differs afterwards."""
        self._replaced_by = None
        updated = {} if changes.whole else dict(self.by_name)
        for name in changes.removed:
            updated.pop(name, None)
        updated.update((vm.name, vm) for vm in changes.changed)
        return self._hold(updated)

    def changes_from(self, digest):
        """Return VmChanges for somebody who holds a state, or None if it is this."""
        if not self.digest or digest == self.digest:
            return None
        before = self._earlier.get(digest)
        if before is None:
            return VmChanges(self.digest, True, tuple(self.by_name.values()))
        changed = [vm for vm in self.by_name.values() if before.get(vm.name) != vm]
        removed = [name for name in before if name not in self.by_name]
        return VmChanges(self.digest, False, tuple(changed), tuple(removed))

    def of_service(self, team, service):
        """Return the VMs of a service, by name; not to be altered."""
        return self._by_service.get((team, service), {})

    def _hold(self, updated):
        if self.digest and updated == self.by_name:
            return False
        if self.digest:
            self._earlier[self.digest] = self.by_name
        while len(self._earlier) > N_EARLIER:
            self._earlier.popitem(last=False)
        self.by_name, self.digest = updated, _digest(updated)
        self._by_service = {}
        for vm in updated.values():
            self._by_service.setdefault((vm.team, vm.service), {})[vm.name] = vm
        return True


def _digest(by_name):
    rows = [attrs.astuple(by_name[name]) for name in sorted(by_name)]
    return xxhash.xxh3_64_hexdigest(json.dumps(rows).encode())
