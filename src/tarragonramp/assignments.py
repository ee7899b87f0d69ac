"""Rules for stewards and planners on an assignment, without I/O."""

import collections

import attrs

from .model import OWNED, RELEASING

__all__ = ["may_grant", "slices_to_release", "with_steward_term", "tokens_of"]


def may_grant(assignment, server, term):
    """Tell whether a steward may grant a server what an assignment gives it.

    Guards against a steward with a stale view that grants a slice which was moved on
    the proof of an earlier steward. The write that records the steward's term is
    conditional on the newest assignment, and later moves need this steward's own proof.

    Parameters
    ----------
    assignment : Assignment or None
    server : str
    term : int
        The steward's term.
    """
    return assignment is not None and assignment.stewards.get(server) == term


def with_steward_term(assignment, server, term, request_id):
    """Return the assignment with a steward's term recorded, or None.

    Parameters
    ----------
    assignment : Assignment or None
    server : str
    term : int
    request_id : str

    Returns
    -------
    assignment : Assignment or None
        None if there is nothing to write: there is no assignment yet, or this term or a
        later one is recorded already.
    """
    if assignment is None or assignment.stewards.get(server, 0) >= term:
        return None
    stewards = {**assignment.stewards, server: term}
    return attrs.evolve(assignment, stewards=stewards, request_id=request_id)


def tokens_of(assignment, server):
    """Return the fencing tokens of the slices that a server owns, by slice.

    Parameters
    ----------
    assignment : Assignment
    server : str
    """
    return {
        index: item.token
        for index, item in enumerate(assignment.slices)
        if item.state == OWNED and item.server == server
    }


def slices_to_release(assignment):
    """Return the slices whose release has to be proved, by server."""
    slices_by_server = collections.defaultdict(list)
    for index, item in enumerate(assignment.slices):
        if item.state == RELEASING:
            slices_by_server[item.server].append(index)
    return dict(slices_by_server)
