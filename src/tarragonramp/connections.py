"""How many connections to a server a daemon may have. Pure decisions."""

__all__ = ["connection_share", "may_connect"]

CONNECTION_SHARE = 0.75
"""Part of a server's connections that the daemons divide among them, firmly: a
connection beyond what a server takes is reset, with whatever was sent on it."""

SPARE_SHARE = 0.5
"""Part of what is left over that all requests under way together may take. Load: one
key gets much of the traffic of a large fleet, where the firm share is a single
connection. Harm prevented: callers refused although the server has room; the other half
is for daemons that borrow at the same moment, before they hear of each other."""


def connection_share(limit, n_daemons):
    """Return how many connections to a server a daemon may hold whatever others do.

    Parameters
    ----------
    limit : int
        Connections that the server takes from all daemons together.
    n_daemons : int
    """
    return max(1, int(limit * CONNECTION_SHARE / n_daemons))


def may_connect(limit, n_daemons, own, others):
    """Tell whether a daemon may have one more request under way at a server.

    Parameters
    ----------
    limit, n_daemons : int
        As for :func:`connection_share`.
    own : int
        Requests of this daemon under way there.
    others : int or None
        Those of all other daemons; None if they have not told lately.
    """
    share = connection_share(limit, n_daemons)
    if own < share:
        return True
    if others is None:
        return False
    return own + others < SPARE_SHARE * (limit - share * n_daemons)
