"""Admission of requests to backend servers that only their steward may send to.

Servers that do not verify the sender of a request are always restricted in this way,
all other servers only in a cold start, until they can handle their full load. All
decisions here are the steward's; entries forward callers' requests to it.
"""

import collections
import math

import attrs

from .leases import CLOCK_RATE_MARGIN
from .terms import RIGHT_MARGIN

__all__ = ["Admission", "Gate", "ForwardedRequest", "ColdStartState"]

MIN_DEADLINE_MS = 5.0
"""Deadlines shorter than this pass before the server starts to process a request."""

MAX_WAITING_PER_SLOT = 4
"""Requests that may wait for a server, per slot of the server.

In a burst all entries forward their requests to one steward. Four rounds of work per
slot are about as long as callers wait; a longer queue would hold requests that nobody
waits for.
"""


@attrs.frozen
class ForwardedRequest:
    """A caller's request that is sent to a server through the server's steward.

    Parameters
    ----------
    team, service, server : str
    slice_index, token : int
        As in the entry's route.
    method, target : str
    headers : tuple of (str, str)
    body : bytes
    deadline_ms : float
        How much longer the caller waits.
    """

    team: str
    service: str
    server: str
    slice_index: int
    token: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: float


@attrs.frozen
class Admission:
    """The decision about one request.

    Parameters
    ----------
    timeout_ms : float
        Time that the server may take from now on; 0 if the request is refused.
    reason : str
        Why it is refused.
    lacks_right : bool
        Whether it is refused because this daemon may not be the steward any more.
    """

    timeout_ms: float = 0.0
    reason: str = ""
    lacks_right: bool = False


@attrs.define
class _UnprovedRequests:
    """Requests that may still run, and the state of the proof that they have ended.

    Parameters
    ----------
    since_ms : float
        A probe sent later than this reaches the server after all of the requests.
    longest_ms : float
        Longest deadline of the requests.
    probed_ms : float or None
        When the response to the first such probe arrived.
    """

    since_ms: float
    longest_ms: float
    probed_ms: float | None = None


@attrs.define
class Gate:
    """Requests that a steward has sent to one server in one term.

    A server that does not verify the sender may be paused with a request in its socket
    buffer and run it when it resumes, with a deadline that it counts from then on.
    Neither time nor silence proves that such a request has ended. A server that answers
    a probe is running and has read its buffers; one full deadline later none of those
    requests can run any more, and a second answer of the same process shows that it was
    not paused in between.

    Parameters
    ----------
    cold_start : ColdStartState
        Tracks how many requests from all daemons the server can handle at once.
    longest_ms : float
        Longest deadline that is passed to the server: the duration of a right.
    earlier_right_ends_ms : float
        When earlier stewards may not send any more, on this steward's clock.
    earlier_longest_ms : float
        Longest deadline that an earlier steward may have passed to the server.
    checks_grants : bool, default=False
        Whether the server refuses superseded stewards; if so, a request that it is
        working on may outlast the right.
    boot_id : str
        Boot id in the latest response to a probe.
    waiting : int
        Number of requests in the queue, maintained by the caller.
    """

    cold_start: object
    longest_ms: float
    earlier_right_ends_ms: float
    earlier_longest_ms: float
    checks_grants: bool = False
    boot_id: str = ""
    waiting: int = 0
    _last_probe_ms: float = 0.0
    _in_flight: collections.Counter = attrs.Factory(collections.Counter)
    _unproved: dict[int, _UnprovedRequests] = attrs.Factory(dict)
    _earlier: _UnprovedRequests | None = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Start with unproved requests of earlier stewards."""
        # The last request of an earlier steward may be delivered up to one deadline
        # later: that is how long its kernel retries, even if the steward was killed.
        since_ms = self.earlier_right_ends_ms + self.earlier_longest_ms * RIGHT_MARGIN
        self._earlier = _UnprovedRequests(since_ms, self.earlier_longest_ms)

    @property
    def in_flight(self):
        """Number of requests that the server is working on."""
        return self._in_flight.total()

    def is_full(self, now_ms):
        """Tell whether another request has to wait.

        Until the earlier steward's right has ended, the server may still be working on
        that steward's requests: in a cold start it would get twice the load that it can
        handle.
        """
        if now_ms < self.earlier_right_ends_ms and not self.cold_start.is_warm(now_ms):
            return True
        return self.in_flight >= self.cold_start.max_in_flight(now_ms)

    @property
    def is_queue_full(self):
        """Whether the queue is full, so that another request is refused at once."""
        return self.waiting >= self.cold_start.slots * MAX_WAITING_PER_SLOT

    def admit(self, slice_index, now_ms, deadline_at_ms, right_ends_ms):
        """Decide immediately before sending whether a request may be sent.

        Parameters
        ----------
        slice_index : int
        now_ms : float
            Read after the last operation that may block.
        deadline_at_ms : float
            The caller's deadline.
        right_ends_ms : float
            End of the steward's right; infinite if nobody can take over.

        Returns
        -------
        admission : Admission
            An admitted request counts as sent.
        """
        right_ms = min(right_ends_ms - now_ms, self.longest_ms)
        if right_ms < MIN_DEADLINE_MS:
            return Admission(reason="steward has no right", lacks_right=True)
        timeout_ms = deadline_at_ms - now_ms
        if not self.checks_grants:
            timeout_ms = min(timeout_ms, right_ms)
        if timeout_ms < MIN_DEADLINE_MS:
            return Admission(reason="deadline passed")
        self._in_flight[slice_index] += 1
        return Admission(timeout_ms)

    def answered(self, slice_index):
        """Record that a request has ended or was never sent."""
        self._in_flight[slice_index] -= 1

    def unanswered(self, slice_index, now_ms):
        """Record that it is unknown whether a request has ended.

        Parameters
        ----------
        slice_index : int
        now_ms : float
            Read after closing the connection, which discards unsent data.
        """
        self._in_flight[slice_index] -= 1
        self._unproved[slice_index] = _UnprovedRequests(now_ms, self.longest_ms)

    def observe(self, boot_id, sent_ms, arrived_ms):
        """Process the response to a probe.

        Parameters
        ----------
        boot_id : str
        sent_ms, arrived_ms : float
            The steward's clock before the probe was sent and after the response
            arrived.
        """
        if boot_id != self.boot_id:
            self._restarted(boot_id)
        self._last_probe_ms = sent_ms
        if _is_proved(self._earlier, sent_ms, arrived_ms):
            self._earlier = None
        ended = [
            i for i, d in self._unproved.items() if _is_proved(d, sent_ms, arrived_ms)
        ]
        for index in ended:
            del self._unproved[index]

    def _restarted(self, boot_id):
        """Drop requests that were sent to the previous process, which has ended.

        That process last answered a probe sent at ``_last_probe_ms``; requests given up
        later may have reached the new process.
        """
        known, self.boot_id = self.boot_id, boot_id
        if not known:
            return
        kept = {
            i: d for i, d in self._unproved.items() if d.since_ms > self._last_probe_ms
        }
        for unproved in (*kept.values(), self._earlier):
            if unproved is not None:
                unproved.probed_ms = None
        self._unproved = kept

    def address_changed(self, now_ms):
        """Record that the server's name now refers to another address.

        A response from the new address proves nothing about the process at the old one,
        which may be cut off while it works on requests. No slice is released in this
        term any more.
        """
        self.boot_id = ""
        self._earlier = _UnprovedRequests(math.inf, self.longest_ms)

    def released(self, slice_index):
        """Return the proof that no request for a slice can run any more, if any.

        The caller must ensure that no further request for the slice is admitted.

        Returns
        -------
        proof : str
            ``"drained"``, or empty without proof.
        """
        if self._earlier is not None or slice_index in self._unproved:
            return ""
        return "" if self._in_flight[slice_index] else "drained"


def _is_proved(unproved, sent_ms, arrived_ms):
    """Process a probe; tell whether it proves that the requests have ended."""
    if unproved is None:
        return False
    if unproved.probed_ms is None:
        if sent_ms >= unproved.since_ms:
            unproved.probed_ms = arrived_ms
        return False
    longest_ms = unproved.longest_ms / (1.0 - CLOCK_RATE_MARGIN)
    return sent_ms >= unproved.probed_ms + longest_ms


RAMP_STEP_MS = 500.0
"""Time between two increases of the load on a server that has warmed up.

Callers may all be waiting for a server that has just come back, and their full load
would overload it again. Each step doubles the number of requests in flight, so a server
is at full load after one to two seconds.
"""


@attrs.define
class ColdStartState:
    """How much load a server can handle, as tracked by its steward.

    Parameters
    ----------
    cold_slots, slots : int
        Requests that it can handle at once in a cold start, and when warm.
    known_warm : bool, default=False
        Whether this daemon has been sending to the server directly, as one reported to
        be warm, over connections that are still open. The first process seen is then
        assumed to be warm. Otherwise each handover of a term, as in a rolling restart
        of the daemons, would limit all warm servers to their cold slots for seconds,
        and callers would be refused.
    """

    cold_slots: int
    slots: int
    known_warm: bool = False
    boot_id: str = ""
    _warm_since_ms: float | None = None

    def observe(self, boot_id, cold, now_ms):
        """Process what the server reports about itself.

        An unknown process counts as cold whatever it reports, because the report may be
        stale: its limit is raised step by step.
        """
        if cold or boot_id != self.boot_id:
            self._warm_since_ms = None
        self.boot_id = boot_id
        if not cold and self._warm_since_ms is None:
            self._warm_since_ms = -math.inf if self.known_warm else now_ms
        self.known_warm = False

    def invalidate(self):
        """Record that the server may be a different process than the one seen last.

        Closed connections show a restart at once, probes only a moment later. Until the
        next probe the server gets the load of a cold one.
        """
        self.boot_id = ""
        self.known_warm = False
        self._warm_since_ms = None

    def shed(self, now_ms):
        """Record that the server refused a request, being less warm than reported."""
        self.known_warm = False
        if self._warm_since_ms is not None:
            self._warm_since_ms = now_ms

    def max_in_flight(self, now_ms):
        """Return how many requests the server may be working on at once."""
        if self.known_warm:
            return self.slots
        if self._warm_since_ms is None:
            return self.cold_slots
        steps = min((now_ms - self._warm_since_ms) / RAMP_STEP_MS, 32)
        return min(self.slots, self.cold_slots << int(steps))

    def is_warm(self, now_ms):
        """Tell whether entries may send to the server directly."""
        return self.max_in_flight(now_ms) >= self.slots
