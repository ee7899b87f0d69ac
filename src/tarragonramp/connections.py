"""Decides how many connections a daemon may open to a server, without I/O."""

__all__ = ["connection_share", "may_connect"]

GUARANTEED_SHARE = 0.75
"""Fraction of a server's connections that is divided evenly among the daemons. A server
resets connections beyond its limit, and the requests sent on them are lost."""

BORROWABLE_SHARE = 0.5
"""Fraction of the remaining connections up to which daemons may exceed their guaranteed
share. In a large fleet this share may be a single connection; if one key receives much
of the traffic, callers would be rejected although its server has capacity. The other
half is left for daemons that borrow at the same moment, before they know of each other.
"""


def connection_share(limit, n_daemons):
    """Return how many connections to a server are guaranteed to each daemon.

    Parameters
    ----------
    limit : int
        Connections that the server accepts from all daemons together.
    n_daemons : int
    """
    return max(1, int(limit * GUARANTEED_SHARE / n_daemons))


def may_connect(limit, n_daemons, own, others):
    """Tell whether a daemon may have one more request in flight at a server.

    Parameters
    ----------
    limit, n_daemons : int
        As for :func:`connection_share`.
    own : int
        This daemon's requests in flight there.
    others : int or None
        Those of all other daemons; None if no recent count is known.
    """
    share = connection_share(limit, n_daemons)
    if own < share:
        return True
    if others is None:
        return False
    return own + others < BORROWABLE_SHARE * (limit - share * n_daemons)
