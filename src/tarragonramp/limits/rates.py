"""Divides a rate of requests among daemons that do not coordinate, without I/O."""

import collections
import math

import attrs
import xxhash

__all__ = ["SentRequests", "divide", "rank_by_hash"]


def rank_by_hash(resource, daemons):
    """Return the names of daemons in an order that all of them agree on.

    Parameters
    ----------
    resource : str
        What the order is for; each has another one.
    daemons : collection of str
    """

    def rank(daemon):
        return xxhash.xxh64_intdigest(f"{resource} {daemon}".encode())

    return sorted(daemons, key=rank)


def divide(n_permits, ordered, name):
    """Return how many permits a daemon gets; the remainder goes to the first ones.

    Parameters
    ----------
    n_permits : int
        For all daemons together.
    ordered : sequence of str
        Names of the daemons, see :func:`rank_by_hash`.
    name : str
        Of the daemon; it gets none if it is not among them.
    """
    if name not in ordered:
        return 0
    quota, remainder = divmod(n_permits, len(ordered))
    return quota + (ordered.index(name) < remainder)


@attrs.define(eq=False, repr=False)
class SentRequests:
    """When one daemon has sent requests to servers whose rate is limited."""

    _sent_ms: dict = attrs.Factory(dict)

    def n_in_window(self, server, window_ms, now_ms):
        """Return how many requests were sent to a server within a window."""
        sent = self._sent_ms.get(server)
        while sent and sent[0] <= now_ms - window_ms:
            sent.popleft()
        return len(sent) if sent else 0

    def ms_since_last(self, server, now_ms):
        """Return how long ago a request was sent to a server; infinite if unknown."""
        sent = self._sent_ms.get(server)
        return now_ms - sent[-1] if sent else math.inf

    def record(self, server, now_ms):
        """Record that a request is sent."""
        self._sent_ms.setdefault(server, collections.deque()).append(now_ms)

    def ms_until_fewer(self, server, n_sent, window_ms, now_ms):
        """Return in how many ms fewer than ``n_sent`` requests lie in the window."""
        n_excess = self.n_in_window(server, window_ms, now_ms) - n_sent
        if n_excess < 0:
            return 0.0
        return self._sent_ms[server][n_excess] + window_ms - now_ms

    def retain(self, servers):
        """Forget all but the given servers."""
        for name in set(self._sent_ms) - set(servers):
            del self._sent_ms[name]
