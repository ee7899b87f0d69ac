"""Finds where a request may be sent: its slice's owner, or a server of its service."""

import attrs

from .model import OWNED

__all__ = ["Route", "RouteCache", "less_loaded", "usable_servers"]


@attrs.frozen
class Route:
    """One server that may receive a request.

    Parameters
    ----------
    server, address : str
    slice_index : int
        -1 for a shared service.
    token : int
        Fencing token of the slice's owner.
    gated_at : tuple of str
        Team and service if only the server's steward may send to it; otherwise empty.
    service : tuple of str
        Team and service.
    """

    server: str
    address: str
    slice_index: int = -1
    token: int = 0
    gated_at: tuple = ()
    service: tuple = ()


@attrs.define(eq=False, repr=False)
class RouteCache:
    """Routes derived from a view, cached until it changes.

    Routing a request then takes two dictionary lookups, however many VMs and slices
    there are.

    Parameters
    ----------
    view : View
    """

    view: object
    _owners: dict = attrs.Factory(dict)
    _candidates: dict = attrs.Factory(dict)
    _n_entries: int = 0

    def invalidate(self):
        """Clear the cache because the view has changed."""
        self._owners.clear()
        self._candidates.clear()
        self._n_entries = 0

    def owner(self, team, service, index):
        """Return the Route to the owner of a slice, or None if it has none."""
        key = team, service, index
        if key not in self._owners:
            self._owners[key] = self._find_owner(team, service, index)
        return self._owners[key]

    def candidates(self, team, service):
        """Return a tuple of Route to the usable servers of a shared service."""
        key = team, service
        if key not in self._candidates:
            self._candidates[key] = tuple(
                Route(vm.name, vm.address, service=key)
                for vm in usable_servers(self.view, team, service)
            )
        return self._candidates[key]

    def n_entries(self):
        """Return how many entries send to each server."""
        if not self._n_entries:
            self._n_entries = max(1, len(self.view.members()))
        return self._n_entries

    def _find_owner(self, team, service, index):
        assignment = self.view.assignment(team, service)
        if assignment is None or index >= len(assignment.slices):
            return None
        slice_state = assignment.slices[index]
        vm = self.view.vms.get(slice_state.server)
        if slice_state.state != OWNED or vm is None:
            return None
        checks_grants = self.view.services()[team, service].checks_grants
        gated_at = () if checks_grants else (team, service)
        return Route(
            slice_state.server,
            vm.address,
            index,
            slice_state.token,
            gated_at,
            (team, service),
        )


def usable_servers(view, team, service):
    """Return the VMs that may be sent requests of a shared service.

    Parameters
    ----------
    view : View
    team, service : str
    """
    return [
        vm
        for vm in view.servers_of(team, service).values()
        if vm.state == "live" and view.is_domain_in_service(vm.failure_domain)
    ]


def less_loaded(routes, load_of, rng):
    """Return the less loaded of two routes chosen at random.

    Many entries select servers at the same time, from outdated loads. If all of them
    chose the least loaded server, they would overload it. Choosing between two random
    servers removes most of the imbalance that a single random choice leaves; with more
    than two, the entries would converge on the same server again.

    Parameters
    ----------
    routes : sequence of Route
        At least one.
    load_of : callable
        ``load_of(route) -> float``
    rng : random.Random
    """
    n = len(routes)
    if n == 1:
        return routes[0]
    first = rng.randrange(n)
    second = rng.randrange(n - 1)
    if second >= first:
        second += 1
    one, other = routes[first], routes[second]
    return one if load_of(one) <= load_of(other) else other
