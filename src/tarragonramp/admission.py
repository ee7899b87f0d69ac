"""Decides whether a request is sent to a backend server now, waits, or is rejected.

Decisions without I/O; each call passes the current time. Each entry has one
:class:`ConcurrencyLimiter` for each server, and entries exchange no information.
"""

import collections
import random

import attrs

__all__ = ["ADMITTED", "REFUSED", "WAITING", "ConcurrencyLimiter", "Outcome", "Ticket"]

WAITING = "waiting"
ADMITTED = "admitted"
REFUSED = "refused"

MAX_WAIT_MS = 500.0
"""Longest expected time in a queue. When arrivals exceed the capacity for longer than a
burst, a longer queue becomes permanent: each caller waits for its whole deadline, and
the server works for callers that have timed out. Half a second outlasts the bursts of a
dealer promotion; a longer wait only delays the rejection."""

LOWER_PRIORITY_INTERVAL = 8
"""One start in this many is given to the waiting lower-priority classes, in turn. If
claims alone saturate the server for minutes, stock lookups would otherwise never run.
An eighth costs the claims little and drains the lookups in bounded time."""

CONGESTION_LATENCY_RATIO = 1.25
"""Ratio of mean latency to baseline latency above which a server is considered
overloaded. Several entries may borrow the same idle slots at the same moment, which
moves the queue into the server, where priorities have no effect. With a higher ratio,
nine entries exceed three slots by more: in the simulation, the p99 latency of claims is
190, 250 and 340 ms at 1.25, 1.5 and 2. A lower ratio is within the variance of the
mean."""

EVICTION_SLACK = 2.0
"""Factor by which the wait of a request that is already queued may exceed the maximum
for new requests before it is evicted. With a few claims among many lookups, each claim
would otherwise evict lookups that would have been answered a moment later."""

CLASS_SHARE_EWMA_WEIGHT = 0.02
"""Weight of the newest start in the moving average of each class's share of a server.
About fifty starts distinguish a class that saturates the server from one that sends a
single request."""

SHED_BACKOFF_FACTOR = 0.7
LATENCY_BACKOFF_FACTOR = 0.95
"""Factors by which the limit is multiplied after the server shed or did not answer a
request, and after a mean latency above the ratio. Shedding is reported by the server
itself, while latency is only an indication."""

LATENCY_EWMA_WEIGHT = 0.1
"""Weight of the newest latency in the mean. About ten responses move it, so that one
long request among short ones does not look like congestion."""

MIN_BASELINE_ANSWERS = 10
"""Number of responses after which the baseline latency is known and the limit may grow.
Later, only responses received while no request waits update the baseline. If all
entries are saturated for minutes, each would otherwise adopt the latency of the
overload as its baseline, and all limits would grow until the server sheds."""

INITIAL_LATENCY_MS = 10.0
INITIAL_LATENCY_ANSWERS = 5
"""How many responses the initial latency counts for. The first responses of a server
that has just been reached may be slow for a moment; taken at their word, they make any
queue look too long."""

MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 10_000.0


class Outcome:
    """How an admitted request ended."""

    ANSWERED = "answered"
    SHED = "shed"
    LOST = "lost"
    CANCELLED = "cancelled"


@attrs.define(eq=False)
class Ticket:
    """One request submitted to a limiter.

    Parameters
    ----------
    priority : int
        Lower values are served first.
    deadline_at_ms : float
    arrived_ms : float
        Set by the limiter.
    state : {"waiting", "admitted", "refused"}
    retry_after_ms : float
        When the caller should retry; set on rejection.
    on_change : callable, optional
        Called without arguments once the request no longer waits.
    """

    priority: int
    deadline_at_ms: float
    arrived_ms: float = 0.0
    state: str = WAITING
    retry_after_ms: float = 0.0
    on_change: object = None


@attrs.define(eq=False, repr=False)
class ConcurrencyLimiter:
    """One entry's limit on requests in flight at one server, and the queue for it.

    The limit starts at this entry's share of the server's slots. It grows beyond the
    share while all of it is used and responses stay fast, because other entries then
    leave part of theirs unused. It shrinks when the server sheds or slows down. Busy
    entries thereby borrow from idle ones without coordination.

    Parameters
    ----------
    slots, connections : int
        What the server accepts from all entries together.
    n_entries : int
        Entries that may send to the server.
    max_wait_ms : float
        Longest expected wait with which a request is queued.
    rng : random.Random
        For the jitter of retry times.
    total_pause_ms : callable
        Returns how long this process has been paused in total. Its own pauses are not
        counted as silence of the server.
    """

    slots: int
    connections: int
    n_entries: int = 1
    max_wait_ms: float = MAX_WAIT_MS
    rng: random.Random = attrs.Factory(random.Random)
    total_pause_ms: object = lambda: 0.0
    limit: float = attrs.field(init=False)
    in_flight: int = 0
    mean_latency_ms: float = INITIAL_LATENCY_MS
    _waiting: dict = attrs.Factory(dict)
    _class_shares: dict = attrs.Factory(dict)
    _n_contended_starts: int = 0
    _n_answers: int = 0
    _baseline_ms: float = 0.0
    _n_baseline: int = 0
    _progress_ms: float = 0.0
    _progress_pause_ms: float = 0.0
    _cooldown_until_ms: float = 0.0

    def __attrs_post_init__(self):
        """Start with this entry's share."""
        self.limit = self.fair_share

    @property
    def fair_share(self):
        """Requests that this entry may have in flight regardless of the other entries.

        At least one, since an entry that sends nothing learns nothing about the server.
        If there are more entries than slots, they may therefore exceed the slots
        together; the number of the server's connections limits that.
        """
        return max(1.0, self.slots / self.n_entries)

    @property
    def max_limit(self):
        """Upper bound of the limit: all slots, within this entry's connections.

        An open connection belongs to its entry even while idle, so connections are
        divided strictly. A slot is available again after each response.
        """
        connections = max(1.0, self.connections / self.n_entries)
        return max(self.fair_share, min(self.slots, connections))

    @property
    def n_waiting(self):
        """Number of waiting requests."""
        return sum(map(len, self._waiting.values()))

    @property
    def load(self):
        """Requests in flight and waiting, relative to the limit."""
        return (self.in_flight + self.n_waiting) / self.limit

    def resize(self, slots, connections, n_entries):
        """Update the server's capacity and the number of entries that share it."""
        if (slots, connections, n_entries) == (
            self.slots,
            self.connections,
            self.n_entries,
        ):
            return
        self.slots, self.connections, self.n_entries = slots, connections, n_entries
        self.limit = min(max(self.limit, self.fair_share), self.max_limit)

    def submit(self, ticket, now_ms):
        """Admit, queue or reject a request.

        A request that is not expected to be answered in time is rejected immediately
        and told when to retry, so that under overload no caller waits in vain.

        Returns
        -------
        changed : list of Ticket
            Lower-priority requests that were evicted from the queue by this one.
        """
        ticket.arrived_ms = now_ms
        if self.in_flight < int(self.limit) and not self._waiting:
            if not self.in_flight:
                self._note_progress(now_ms)
            self._admit(ticket)
            return []
        # A server that has not responded for some time is assumed to stay silent:
        # if it is paused, all requests in flight there are stuck.
        own_pause_ms = self.total_pause_ms() - self._progress_pause_ms
        silent_ms = now_ms - self._progress_ms - own_pause_ms - self.mean_latency_ms
        wait_ms = max(self._expected_wait_ms(ticket.priority), silent_ms)
        if not self._can_finish_in_time(ticket, wait_ms, now_ms):
            self._refuse(ticket)
            return []
        queue = self._waiting.setdefault(ticket.priority, collections.deque())
        queue.append(ticket)
        return self._evict_lower_classes(ticket.priority, now_ms)

    def release(self, outcome, took_ms, now_ms):
        """Record that an admitted request has ended.

        Parameters
        ----------
        outcome : str
            One of ``Outcome``.
        took_ms : float
        now_ms : float

        Returns
        -------
        changed : list of Ticket
            Requests that no longer wait.
        """
        was_full = self.in_flight >= int(self.limit)
        self.in_flight -= 1
        self._note_progress(now_ms)
        if outcome == Outcome.ANSWERED:
            self._update_limit(took_ms, was_full, now_ms)
        elif outcome == Outcome.SHED:
            self._decrease_limit(SHED_BACKOFF_FACTOR, 1.0, now_ms)
        elif outcome == Outcome.LOST:
            self._decrease_limit(SHED_BACKOFF_FACTOR, self.fair_share, now_ms)
        return self._admit_waiting(now_ms)

    def _note_progress(self, now_ms):
        self._progress_ms, self._progress_pause_ms = now_ms, self.total_pause_ms()

    def withdraw(self, ticket):
        """Remove a waiting request whose caller disconnected or whose time is up."""
        queue = self._waiting.get(ticket.priority)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self._remove_if_empty(ticket.priority)
        self._refuse(ticket)

    def latest_start_ms(self, ticket):
        """Return the time at which a request that still waits is rejected."""
        longest_ms = self.max_wait_ms * EVICTION_SLACK
        return min(
            ticket.deadline_at_ms - self.mean_latency_ms, ticket.arrived_ms + longest_ms
        )

    def _admit(self, ticket):
        self.in_flight += 1
        ticket.state = ADMITTED
        for priority in {ticket.priority, *self._class_shares}:
            share = self._class_shares.get(priority, 0.0)
            is_own_class = float(priority == ticket.priority)
            self._class_shares[priority] = share + CLASS_SHARE_EWMA_WEIGHT * (
                is_own_class - share
            )

    def _refuse(self, ticket):
        """Reject a request and set when its caller should retry.

        The retry time is the time in which the current queue drains, plus a random time
        of up to the same length, so that hundreds of callers rejected at once do not
        all retry at once.
        """
        ticket.state = REFUSED
        drained_ms = (self.n_waiting + 1) * self.mean_latency_ms / self.limit
        retry_ms = max(MIN_RETRY_AFTER_MS, drained_ms) * (1.0 + self.rng.random())
        ticket.retry_after_ms = min(retry_ms, MAX_RETRY_AFTER_MS)

    def _expected_wait_ms(self, priority, ahead_in_class=None):
        """Return the expected wait of a new request of a class.

        With ``ahead_in_class``, that of a request with this many ahead of it in the
        queue of its class.
        """
        if ahead_in_class is None:
            ahead_in_class = len(self._waiting.get(priority, ()))
        ahead = sum(len(q) for p, q in self._waiting.items() if p < priority)
        # Higher classes are assumed to keep their current share. Otherwise, lookups
        # would wait for them to stop and be rejected late instead of immediately.
        taken = sum(part for p, part in self._class_shares.items() if p < priority)
        left = max(1.0 / LOWER_PRIORITY_INTERVAL, 1.0 - taken)
        turns = ahead + (ahead_in_class + 1) / left
        if ahead:
            lower = {p for p in self._waiting if p > min(self._waiting)} | {priority}
            turns = min(
                turns, (ahead_in_class + 1) * LOWER_PRIORITY_INTERVAL * len(lower)
            )
        return turns * self.mean_latency_ms / self.limit

    def _can_finish_in_time(self, ticket, wait_ms, now_ms, slack=1.0):
        left_ms = ticket.deadline_at_ms - now_ms
        longest_ms = self.max_wait_ms * slack
        return wait_ms <= longest_ms and wait_ms + self.mean_latency_ms <= left_ms

    def _evict_lower_classes(self, priority, now_ms):
        """Reject requests of lower classes whose expected wait has become too long.

        The newest are rejected first, because they have waited least.
        """
        refused = []
        for lower in sorted((p for p in self._waiting if p > priority), reverse=True):
            queue = self._waiting[lower]
            while queue:
                wait_ms = self._expected_wait_ms(lower, len(queue) - 1)
                if self._can_finish_in_time(queue[-1], wait_ms, now_ms, EVICTION_SLACK):
                    break
                ticket = queue.pop()
                self._refuse(ticket)
                refused.append(ticket)
            self._remove_if_empty(lower)
        return refused

    def _admit_waiting(self, now_ms):
        changed = []
        while self._waiting and self.in_flight < int(self.limit):
            ticket = self._pop_next()
            changed.append(ticket)
            if self.latest_start_ms(ticket) < now_ms:
                self._refuse(ticket)
                continue
            self._admit(ticket)
        return changed

    def _pop_next(self):
        """Remove the oldest request of the highest class, or of a lower one in turn."""
        priority = min(self._waiting)
        if len(self._waiting) > 1:
            self._n_contended_starts += 1
            turn, remainder = divmod(self._n_contended_starts, LOWER_PRIORITY_INTERVAL)
            if remainder == 0:
                lower = sorted(self._waiting)[1:]
                priority = lower[turn % len(lower)]
        ticket = self._waiting[priority].popleft()
        self._remove_if_empty(priority)
        return ticket

    def _remove_if_empty(self, priority):
        if not self._waiting[priority]:
            del self._waiting[priority]

    def _update_limit(self, took_ms, was_full, now_ms):
        self._n_answers += 1
        n_answers = self._n_answers + INITIAL_LATENCY_ANSWERS
        weight = max(LATENCY_EWMA_WEIGHT, 1.0 / n_answers)
        self.mean_latency_ms += weight * (took_ms - self.mean_latency_ms)
        if self._n_baseline < MIN_BASELINE_ANSWERS or not self._waiting:
            self._n_baseline += 1
            weight = max(LATENCY_EWMA_WEIGHT, 1.0 / self._n_baseline)
            self._baseline_ms += weight * (took_ms - self._baseline_ms)
        if self._n_baseline < MIN_BASELINE_ANSWERS:
            return
        if self.mean_latency_ms > CONGESTION_LATENCY_RATIO * self._baseline_ms:
            self._decrease_limit(LATENCY_BACKOFF_FACTOR, self.fair_share, now_ms)
        elif was_full and now_ms >= self._cooldown_until_ms:
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)

    def _decrease_limit(self, factor, floor, now_ms):
        """Multiply the limit by a factor, at most once for each round of responses.

        It is not reduced below ``floor``: one request after the server shed a request,
        the entry's share after high latency or a lost request. With a lower floor for
        these, all entries together would starve a server that is slow for other
        reasons.
        """
        if now_ms < self._cooldown_until_ms:
            return
        self.limit = max(min(floor, self.limit), self.limit * factor)
        self._cooldown_until_ms = now_ms + self.mean_latency_ms
