"""Decides which backend server owns which slices, for the planner, without I/O."""

import collections
import heapq
import math

import attrs

from .model import OWNED, RELEASING, UNOWNED, Assignment, SliceState

__all__ = ["ServerView", "initial_assignment", "next_slices"]

MAX_MOVING_SHARE = 0.1
"""Maximum fraction of a service's slices that may be moving at once for balance alone.

An added server could otherwise take its whole share at once: it would own more than it
can handle while it is cold, and the callers of all these keys would wait for the moves.
With the limit, callers of at most a tenth of the keys wait at any time.
"""


@attrs.frozen
class ServerView:
    """State of a backend server as the planner knows it.

    Parameters
    ----------
    name : str
    weight : float
        Share of the slices it should own, relative to the others' weights; with 0 it
        loses all of its slices.
    usable : bool
        Whether it may become an owner now.
    lost : bool
        Whether it should lose its slices although no operator requested it.
    """

    name: str
    weight: float = 1.0
    usable: bool = True
    lost: bool = False


def initial_assignment(team, service, n_slices):
    """Return an assignment in which no slice has an owner."""
    return Assignment(team, service, (SliceState(),) * n_slices)


def next_slices(slices, servers, released, settling=False):
    """Take every step towards the intended owners that is safe now.

    A move goes through ``releasing``; a new owner is assigned only once the old one is
    proved to have released the slice.

    Parameters
    ----------
    slices : sequence of SliceState
    servers : dict of str to ServerView
    released : set of (int, int)
        Slice and token pairs whose old owner is proved to have released the slice.
    settling : bool, default=False
        Whether servers that are not usable may still become usable. Until then, no
        server is given more than its share.

    Returns
    -------
    slices : tuple of SliceState
        Equal to the argument if there is nothing to do.
    """
    result = [
        _unowned_if_released(i, slice_state, released)
        for i, slice_state in enumerate(slices)
    ]
    _release_ineligible(result, servers)
    _assign_unowned(result, servers, settling)
    _balance(result, servers)
    return tuple(result)


def _unowned_if_released(index, slice_state, released):
    if slice_state.state == RELEASING and (index, slice_state.token) in released:
        return SliceState(UNOWNED, "", slice_state.token)
    return slice_state


def _release_ineligible(result, servers):
    """Start releasing the slices of servers that are lost, weighted 0 or not listed."""
    for index, slice_state in enumerate(result):
        if slice_state.state != OWNED:
            continue
        server = servers.get(slice_state.server)
        if server is None or server.lost or server.weight <= 0:
            result[index] = SliceState(RELEASING, slice_state.server, slice_state.token)


def _assign_unowned(result, servers, settling):
    """Assign slices without an owner to the servers furthest below their share.

    Uses a heap: when a service of 16 thousand slices starts on 600 servers, or a
    failure domain is lost, comparing all servers for each slice would occupy the
    planner's core for seconds, during which its daemon renews no grants.
    """
    unowned = [
        i for i, slice_state in enumerate(result) if slice_state.state == UNOWNED
    ]
    if not unowned:
        return
    counts = _counts(result)
    shares = _shares(len(result), servers)
    heap = [
        _next_load(s, counts[s.name]) for s in servers.values() if _accepts_slices(s)
    ]
    heapq.heapify(heap)
    for index in unowned:
        # After a start, or with a new planner, the servers report one after the other.
        # Without this limit, the first one would own all keys while it is cold, and
        # most of them would move again a moment later.
        while settling and heap and counts[heap[0][1]] >= math.ceil(shares[heap[0][1]]):
            heapq.heappop(heap)
        if not heap:
            return
        _, name = heap[0]
        counts[name] += 1
        heapq.heapreplace(heap, _next_load(servers[name], counts[name]))
        result[index] = SliceState(OWNED, name, result[index].token + 1)


def _next_load(server, n_owned):
    """Return a server's load with one more slice; names break ties."""
    return (n_owned + 1) / server.weight, server.name


def _balance(result, servers):
    """Move slices from servers above their share to those below, a few at a time.

    Only whole slices above the rounded-up share move, so that an unchanged set of
    servers never moves slices back and forth.
    """
    recipients = [s for s in servers.values() if _accepts_slices(s)]
    shares = _shares(len(result), servers)
    if not recipients or not shares:
        return
    counts = _counts(result)
    n_releasing = sum(1 for slice_state in result if slice_state.state == RELEASING)
    budget = max(1, int(len(result) * MAX_MOVING_SHARE)) - n_releasing
    n_vacant = sum(max(0, int(shares[s.name]) - counts[s.name]) for s in recipients)
    for index, slice_state in enumerate(result):
        if budget <= 0 or n_vacant <= 0:
            return
        if slice_state.state != OWNED or slice_state.server not in shares:
            continue
        if counts[slice_state.server] <= math.ceil(shares[slice_state.server]):
            continue
        counts[slice_state.server] -= 1
        budget -= 1
        n_vacant -= 1
        result[index] = SliceState(RELEASING, slice_state.server, slice_state.token)


def _shares(n_slices, servers):
    """Return how many slices each server should own by its weight, or an empty dict."""
    total_weight = sum(s.weight for s in servers.values() if not s.lost)
    if total_weight <= 0:
        return {}
    return {s.name: n_slices * s.weight / total_weight for s in servers.values()}


def _counts(slices):
    return collections.Counter(s.server for s in slices if s.state == OWNED)


def _accepts_slices(server):
    return server.usable and not server.lost and server.weight > 0
