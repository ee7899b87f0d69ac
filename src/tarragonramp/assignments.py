"""Rules that stewards and planners follow on an assignment, without I/O."""

import collections

import attrs

from .model import OWNED, RELEASING

__all__ = ["may_grant", "questions", "registration", "tokens_of"]


def may_grant(assignment, server, term):
    """Tell whether a steward may hand out what an assignment gives a server.

    Guards against a steward with a lagging view that grants a slice which was moved
    away on an earlier steward's proof: the write that shows its term is conditional
    on the newest assignment, and later moves need its own proof.

    Parameters
    ----------
    assignment : Assignment or None
    server : str
    term : int
        The steward's.
    """
    return assignment is not None and assignment.stewards.get(server) == term


def registration(assignment, server, term, request_id):
    """Return the assignment that shows a steward's term, or None.

    Parameters
    ----------
    assignment : Assignment or None
    server : str
    term : int
    request_id : str

    Returns
    -------
    assignment : Assignment or None
        None if there is nothing to write: no assignment yet, the term is shown, or a
        later steward's is.
    """
    if assignment is None or assignment.stewards.get(server, 0) >= term:
        return None
    stewards = {**assignment.stewards, server: term}
    return attrs.evolve(assignment, stewards=stewards, request_id=request_id)


def tokens_of(assignment, server):
    """Return the fencing token of each slice that a server owns.

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


def questions(assignment):
    """Return, by server, the slices whose release has to be proved."""
    found = collections.defaultdict(list)
    for index, item in enumerate(assignment.slices):
        if item.state == RELEASING:
            found[item.server].append(index)
    return dict(found)
