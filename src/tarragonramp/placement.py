"""Which backend server owns which slices: decisions of the planner, without I/O."""

import collections
import heapq
import math

import attrs

from .model import OWNED, RELEASING, UNOWNED, Assignment, SliceState

__all__ = ["ServerView", "initial_assignment", "next_slices"]

MAX_MOVING_SHARE = 0.1
"""Share of a service's slices that may be under way for balance alone.

Load: a server was added and could take its whole share at once. Harm prevented:
a cold server that is owner of more than it bears, and callers of a tenth of the
keys at most waiting for a move at any moment.
"""


@attrs.frozen
class ServerView:
    """What the planner knows of a backend server.

    Parameters
    ----------
    name : str
    weight : float
        Share of the slices it should own, against the others' weights; 0 takes
        everything away from it.
    usable : bool
        Whether it may become an owner now.
    lost : bool
        Whether it should lose what it owns although nobody asked it to.
    """

    name: str
    weight: float = 1.0
    usable: bool = True
    lost: bool = False


def initial_assignment(team, service, n_slices):
    """Return the assignment in which nobody owns anything."""
    return Assignment(team, service, (SliceState(),) * n_slices)


def next_slices(slices, servers, released, settling=False):
    """Take every step towards the wanted owners that is safe now.

    A move goes through ``releasing``; a new owner is written only once the old
    one is proved to have none of the slice.

    Parameters
    ----------
    slices : sequence of SliceState
    servers : dict of str to ServerView
    released : set of (int, int)
        Slice and token pairs whose old owner is proved to have let go.
    settling : bool, default=False
        Whether servers that are not usable may yet turn out to be: nobody is given
        more than its share meanwhile.

    Returns
    -------
    slices : tuple of SliceState
        Equal to the argument if there is nothing to do.
    """
    result = [_unowned_if_released(i, item, released) for i, item in enumerate(slices)]
    _release_ineligible(result, servers)
    _assign_unowned(result, servers, settling)
    _balance(result, servers)
    return tuple(result)


def _unowned_if_released(index, item, released):
    if item.state == RELEASING and (index, item.token) in released:
        return SliceState(UNOWNED, "", item.token)
    return item


def _release_ineligible(result, servers):
    """Start to take slices from servers that are lost, out or no longer listed."""
    for index, item in enumerate(result):
        if item.state != OWNED:
            continue
        server = servers.get(item.server)
        if server is None or server.lost or server.weight <= 0:
            result[index] = SliceState(RELEASING, item.server, item.token)


def _assign_unowned(result, servers, settling):
    """Give slices without an owner to the servers furthest below their share.

    Load: a start of a service of 16 thousand slices on 600 servers, or the loss of a
    failure domain. Harm prevented: a planner that looks at each server for each slice
    keeps its core for seconds, and its daemon renews no grant meanwhile.
    """
    unowned = [i for i, item in enumerate(result) if item.state == UNOWNED]
    if not unowned:
        return
    counts = _counts(result)
    shares = _shares(len(result), servers)
    heap = [_next_load(s, counts[s.name]) for s in servers.values() if _accepts_slices(s)]
    heapq.heapify(heap)
    for index in unowned:
        # Load: the first servers to report after a start, or to a new planner. Harm
        # prevented: the first of them owns every key, cold as it is, and most keys
        # move again a moment later.
        while settling and heap and counts[heap[0][1]] >= math.ceil(shares[heap[0][1]]):
            heapq.heappop(heap)
        if not heap:
            return
        _, name = heap[0]
        counts[name] += 1
        heapq.heapreplace(heap, _next_load(servers[name], counts[name]))
        result[index] = SliceState(OWNED, name, result[index].token + 1)


def _next_load(server, n_owned):
    """Return what a server would carry with one more slice; names break ties."""
    return (n_owned + 1) / server.weight, server.name


def _balance(result, servers):
    """Move slices from servers above their share to those below, a few at a time.

    Only whole slices above the rounded-up share move, so that a steady set of
    servers never trades slices back and forth.
    """
    recipients = [s for s in servers.values() if _accepts_slices(s)]
    shares = _shares(len(result), servers)
    if not recipients or not shares:
        return
    counts = _counts(result)
    n_releasing = sum(1 for item in result if item.state == RELEASING)
    budget = max(1, int(len(result) * MAX_MOVING_SHARE)) - n_releasing
    room = sum(max(0, int(shares[s.name]) - counts[s.name]) for s in recipients)
    for index, item in enumerate(result):
        if budget <= 0 or room <= 0:
            return
        if item.state != OWNED or item.server not in shares:
            continue
        if counts[item.server] <= math.ceil(shares[item.server]):
            continue
        counts[item.server] -= 1
        budget -= 1
        room -= 1
        result[index] = SliceState(RELEASING, item.server, item.token)


def _shares(n_slices, servers):
    """Return how many slices each server should own, by its weight; empty for none."""
    total_weight = sum(s.weight for s in servers.values() if not s.lost)
    if total_weight <= 0:
        return {}
    return {s.name: n_slices * s.weight / total_weight for s in servers.values()}


def _counts(slices):
    return collections.Counter(s.server for s in slices if s.state == OWNED)


def _accepts_slices(server):
    return server.usable and not server.lost and server.weight > 0
