"""Decides whether this daemon reaches the backend servers, without I/O."""

import collections
import math

import attrs

from .errors import NotSentError

__all__ = [
    "HEARD_WINDOW_MS",
    "PathMonitor",
    "pick_probe_targets",
    "reaches_servers",
]

HEARD_WINDOW_MS = 2000.0
"""How recently a server must have answered to count as heard."""

SILENCE_MS = 400.0
"""How long no server may answer while requests wait, before the paths are checked.

Longer than most single requests take. Where requests take longer or are rare, a check
that turns out well costs one health check."""

CHECK_VALID_MS = 250.0
"""How long a check that turned out well answers further suspicions.

A server that is gone makes each request for its keys fail, and each of these would
start a check."""


@attrs.define(eq=False, repr=False)
class PathMonitor:
    """What this daemon's exchanges tell about its paths to the backend servers.

    Parameters
    ----------
    failures : Counter
        Failed exchanges by cause: ``refused``, ``reset``, ``no connection`` (opening it
        timed out) or ``no answer`` (the request was sent).
    cut_off_since_ms : float or None
        Since when checks have found hardly any server; None while servers are reached.
    """

    failures: collections.Counter = attrs.Factory(collections.Counter)
    cut_off_since_ms: float | None = None
    _answered_ms: dict = attrs.Factory(dict)
    _last_answer: tuple = (-math.inf, "")
    _n_waiting: int = 0
    _waiting_since_ms: float = math.inf
    _last_success_ms: float = -math.inf

    @property
    def is_cut_off(self):
        """Whether this daemon reaches hardly any server."""
        return self.cut_off_since_ms is not None

    @property
    def last_heard(self):
        """Name of the server that answered last; empty if none has."""
        return self._last_answer[1]

    def record_sent(self, now_ms):
        """Record that a request begins to wait for a server."""
        self._n_waiting += 1
        if self._n_waiting == 1:
            self._waiting_since_ms = now_ms

    def record_end(self):
        """Record that a request no longer waits for a server."""
        self._n_waiting -= 1

    def record_answer(self, server, now_ms):
        """Record that a server answered, with any status."""
        self._answered_ms[server] = now_ms
        self._last_answer = now_ms, server

    def record_failure(self, error):
        """Count a failed exchange by its ExchangeError."""
        self.failures[_cause_of(error)] += 1

    def record_check(self, is_reached, now_ms):
        """Record whether enough servers have answered a check."""
        if is_reached:
            self._last_success_ms = now_ms
            self.cut_off_since_ms = None
        elif not self.is_cut_off:
            self.cut_off_since_ms = now_ms

    def n_heard(self, now_ms):
        """Return the number of servers that have answered recently."""
        return self.n_heard_since(now_ms - HEARD_WINDOW_MS)

    def n_heard_since(self, since_ms):
        """Return the number of servers that have answered since a time."""
        return sum(at_ms >= since_ms for at_ms in self._answered_ms.values())

    def heard_ms_ago(self, now_ms):
        """Return how long ago any server last answered; infinity if none has."""
        return now_ms - self._last_answer[0]

    def is_silent(self, now_ms):
        """Tell whether requests wait and no server has answered any for too long."""
        if not self._n_waiting:
            return False
        since_ms = max(
            self._last_answer[0], self._waiting_since_ms, self._last_success_ms
        )
        return now_ms - since_ms >= SILENCE_MS

    def has_valid_check(self, now_ms):
        """Tell whether a recent check has reached servers."""
        return now_ms - self._last_success_ms < CHECK_VALID_MS

    def retain(self, names):
        """Forget all but the given servers."""
        for name in set(self._answered_ms) - set(names):
            del self._answered_ms[name]


REACHED_SHARE, REACHED_AGAIN_SHARE = 0.25, 0.5
"""Share of the checked servers that must answer: for a daemon to count as reaching the
servers, and to count so again. A few servers may still be within reach of a daemon that
can serve hardly any request."""

N_NEAR_TARGETS = 2


def reaches_servers(targets, answered, failure_domain, was_cut_off):
    """Tell from a check whether a daemon reaches the servers.

    It does if all that were checked in its own failure domain answer: if the failure
    domain is cut off from all others, only its own daemons can use its servers.

    Parameters
    ----------
    targets : sequence of BackendServer
        The servers that are checked.
    answered : collection of str
        Names of those that have answered.
    failure_domain : str
        Of the daemon.
    was_cut_off : bool
        Whether it counts as cut off.
    """
    near = [s.name for s in targets if s.failure_domain == failure_domain]
    if near and all(name in answered for name in near):
        return True
    share = REACHED_AGAIN_SHARE if was_cut_off else REACHED_SHARE
    return len(answered) >= len(targets) * share


def pick_probe_targets(servers, count, failure_domain, rng):
    """Pick servers to check the paths with, spread over services and failure domains.

    A failure domain without power, or a service whose servers are all gone, must not
    look like a loss of all paths.

    Parameters
    ----------
    servers : sequence of BackendServer
    count : int
    failure_domain : str
        Of the daemon; two of its servers are among the targets, if it has as many.
    rng : random.Random

    Returns
    -------
    targets : list of BackendServer
        At most ``count``; the first two are of different failure domains if possible.
    """
    remaining, targets = rng.sample(servers, len(servers)), []
    n_picked, n_near = collections.Counter(), 0

    def rank(server):
        is_near = server.failure_domain == failure_domain
        is_wanted = is_near and n_near < N_NEAR_TARGETS and len(targets) != 1
        n_similar = n_picked[server.failure_domain] + n_picked[server.service]
        return not is_wanted, n_similar

    while remaining and len(targets) < count:
        target = min(remaining, key=rank)
        remaining.remove(target)
        targets.append(target)
        n_near += target.failure_domain == failure_domain
        n_picked.update((target.failure_domain, target.service))
    return targets


def _cause_of(error):
    text = str(error).lower()
    if "refused" in text:
        return "refused"
    if "reset" in text:
        return "reset"
    return "no connection" if isinstance(error, NotSentError) else "no answer"
