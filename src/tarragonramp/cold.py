"""How much each daemon may send to a cold server. Pure decisions.

A server in a cold start bears a few requests a second from all daemons together, and
falls over beyond. Daemons that do not talk to each other have to keep within that.
"""

import collections

import attrs
import xxhash

__all__ = ["ColdShares"]

USED_SHARE = 0.8
"""Part of the bound that is used. Load: daemons that see the number of daemons change
at different moments. Harm prevented: one more sender than there should be."""

WINDOW_MS = 1100.0
"""A little longer than the second in which requests are counted that were sent and
arrived: clocks of VMs do not run at quite the same speed."""

UNKNOWN_DAEMONS = 16
"""How many daemons a daemon counts with before it has heard how many there are."""


@attrs.define(eq=False, repr=False)
class ColdShares:
    """This daemon's share of what cold servers bear.

    Load: a failure domain comes back, all its servers cold, while callers press. Harm
    prevented: servers that fall over and begin their cold start anew. What does not
    divide evenly among the daemons, all of it where the bound is less than one request
    a daemon, goes to some of them, chosen by a hash of both names, so that all agree
    without a word.

    Parameters
    ----------
    name : str
        Of this daemon.
    """

    name: str
    _sent_ms: dict = attrs.Factory(dict)

    def take(self, server, bound_per_s, daemons, now_ms):
        """Take one request's place at a cold server, if there is one.

        Parameters
        ----------
        server : str
        bound_per_s : float
            What the server bears in any second, from all daemons together.
        daemons : collection of str
            Names of all daemons; empty if they are not known.
        now_ms : float

        Returns
        -------
        taken : bool
        """
        each = self._share(server, int(bound_per_s * USED_SHARE), daemons)
        sent = self._sent_ms.setdefault(server, collections.deque())
        while sent and sent[0] <= now_ms - WINDOW_MS:
            sent.popleft()
        if len(sent) >= each:
            return False
        sent.append(now_ms)
        return True

    def _share(self, server, room, daemons):
        """Return how many requests in a window are this daemon's."""
        if not daemons:
            return room // UNKNOWN_DAEMONS
        each, rest = divmod(room, len(daemons))
        return each + self._is_among(server, daemons, rest)

    def _is_among(self, server, daemons, n_chosen):
        def rank(daemon):
            return xxhash.xxh64_intdigest(f"{server} {daemon}".encode())

        mine = rank(self.name)
        return sum(rank(daemon) < mine for daemon in daemons) < n_chosen
