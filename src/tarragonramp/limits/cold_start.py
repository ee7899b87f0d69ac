"""Limits how many requests each daemon sends to a server in a cold start, without I/O.

A server in a cold start can handle a few requests a second from all daemons together
and fails beyond that. Daemons have to stay within this limit without coordination.
"""

import math

import attrs

from .rates import SentRequests, divide, rank_by_hash

__all__ = ["ColdStartLimiter"]

USED_RATE_SHARE = 0.8
"""Fraction of the allowed rate that is used. The daemons notice a change in their
number at different times, so there may be one more sender than assumed."""

WINDOW_MS = 1100.0
"""A little longer than the second over which requests are counted, both when sent and
when received, because the clocks of VMs differ slightly in speed."""

ASSUMED_DAEMONS = 16
"""Number of daemons that a daemon assumes until it knows the actual number."""


@attrs.define(eq=False, repr=False)
class ColdStartLimiter:
    """Limits the requests of one daemon to servers in a cold start.

    When a failure domain returns, all its servers are cold while callers keep sending;
    overloaded servers would fail and start cold again. The requests that a server can
    handle are divided among the daemons. The remainder of the division (all requests if
    there are fewer than daemons) goes to some of them, one each. These are chosen by a
    hash of the names of server and daemon, so all daemons agree without communicating.

    Parameters
    ----------
    name : str
        Name of this daemon.
    started_ms : float
        When it was started. It sends nothing in its first window, as the process before
        it may have used its share.
    """

    name: str
    started_ms: float = -math.inf
    _sent: SentRequests = attrs.Factory(SentRequests)

    def try_acquire(self, server, bound_per_s, daemons, now_ms):
        """Reserve one request to a cold server if this daemon's share allows it.

        Parameters
        ----------
        server : str
        bound_per_s : float
            Requests that the server can handle in any second, from all daemons
            together.
        daemons : collection of str
            Names of all daemons; empty if they are not known.
        now_ms : float

        Returns
        -------
        taken : bool
            Whether the request may be sent.
        """
        if now_ms < self.started_ms + WINDOW_MS:
            return False
        quota = self._quota(server, int(bound_per_s * USED_RATE_SHARE), daemons)
        if self._sent.n_in_window(server, WINDOW_MS, now_ms) >= quota:
            return False
        self._sent.record(server, now_ms)
        return True

    def _quota(self, server, n_permits, daemons):
        """Return this daemon's share of the requests to a server in one window."""
        if not daemons:
            return n_permits // ASSUMED_DAEMONS
        return divide(n_permits, rank_by_hash(server, daemons), self.name)
