"""Whether a request goes to a backend server now, waits a moment, or is refused.

Pure decisions: each call names the time, and nothing here sends or waits. One
:class:`Gate` stands before each server in each entry; entries exchange nothing.
"""

import collections
import random

import attrs

__all__ = ["ADMITTED", "REFUSED", "WAITING", "Gate", "Outcome", "Ticket"]

WAITING = "waiting"
ADMITTED = "admitted"
REFUSED = "refused"

MAX_WAIT_MS = 500.0
"""Longest expected wait in a queue. Load: arrivals beyond capacity for longer than a
burst. Harm prevented: a standing queue, in which each caller waits its whole deadline
and the server works for callers that have gone. Half a second outlasts the bursts of
a dealer promotion; a longer wait only delays the refusal."""

LOWER_TURN = 8
"""One start in so many goes to the lower classes that wait, in turn. Load: claims alone
saturate the server for minutes. Harm prevented: stock lookups that never run. An
eighth costs the claims little and drains the lookups in bounded time."""

LATENCY_RATIO = 1.25
"""Mean latency over that of calm times, beyond which a server has more than it can
serve at once. Load: several entries borrow the same idle slots at the same moment.
Harm prevented: the queue moves into the server, where no class goes first. A higher
ratio lets nine entries push three slots further (p99 of claims 190, 250 and 340 ms at
1.25, 1.5 and 2 in the simulation); a lower one is within the scatter of a mean."""

TRIM_SLACK = 2.0
"""How far beyond the longest wait one that already waits may fall behind. Load: a few
claims among many lookups. Harm prevented: each claim throwing lookups out that would
have been answered a moment later."""

SHARE_WEIGHT = 0.02
"""Weight of the newest start in what each class takes of a server: some fifty starts
tell a class that saturates from one that sends a single request."""

SHED_FACTOR = 0.7
LATENCY_FACTOR = 0.95
"""What is left of a limit after a server shed a request or a mean latency beyond the
ratio: the first is the server's own word, the second only a sign."""

MEAN_WEIGHT = 0.1
"""Weight of the newest latency: some ten answers move the mean, so that one long
piece of work among short ones does not look like congestion."""

CALM_ANSWERS = 10
"""Answers after which the calm latency is known and the limit may grow. Later only
answers while nobody waits change it. Load: all entries full for minutes. Harm
prevented: each comes to take the latency of the overload for the ordinary one, and
all grow until the server sheds."""

FIRST_MEAN_MS = 10.0
MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 10_000.0


class Outcome:
    """How an admitted request left the server."""

    ANSWERED = "answered"
    SHED = "shed"
    LOST = "lost"
    CANCELLED = "cancelled"


@attrs.define(eq=False)
class Ticket:
    """One request before a gate.

    Parameters
    ----------
    priority : int
        Lower goes first.
    deadline_at_ms : float
    arrived_ms : float
        Set by the gate.
    state : {"waiting", "admitted", "refused"}
    retry_after_ms : float
        Set on refusal: when to come back.
    on_change : callable, optional
        Called without arguments once it waits no longer.
    """

    priority: int
    deadline_at_ms: float
    arrived_ms: float = 0.0
    state: str = WAITING
    retry_after_ms: float = 0.0
    on_change: object = None


@attrs.define(eq=False, repr=False)
class Gate:
    """What one entry may have at one server, and who waits for it.

    The limit on requests in flight begins with this entry's share of the server's
    slots. It grows past the share while all of it is used and answers stay quick,
    since then other entries leave theirs unused, and shrinks back when the server
    sheds or slows down: so busy entries borrow from idle ones without asking.

    Parameters
    ----------
    slots, connections : int
        What the server bears, from all entries together.
    n_entries : int
        Entries that may send to it.
    max_wait_ms : float
    rng : random.Random
        For the jitter of retry times.
    total_pause_ms : callable
        Returns for how long this process has stood still in all. Its own pauses are
        not the server's silence.
    """

    slots: int
    connections: int
    n_entries: int = 1
    max_wait_ms: float = MAX_WAIT_MS
    rng: random.Random = attrs.Factory(random.Random)
    total_pause_ms: object = lambda: 0.0
    limit: float = attrs.field(init=False)
    in_flight: int = 0
    mean_ms: float = FIRST_MEAN_MS
    _waiting: dict = attrs.Factory(dict)
    _shares: dict = attrs.Factory(dict)
    _starts: int = 0
    _n_answers: int = 0
    _calm_ms: float = 0.0
    _n_calm: int = 0
    _moved_ms: float = 0.0
    _moved_still_ms: float = 0.0
    _shrunk_until_ms: float = 0.0

    def __attrs_post_init__(self):
        """Begin with this entry's share."""
        self.limit = self.share

    @property
    def share(self):
        """Requests in flight that this entry may have whatever the others do.

        At least one: an entry that may send nothing learns nothing. So as many
        entries as a server has slots and more can together exceed its slots; its
        connections bound that.
        """
        return max(1.0, self.slots / self.n_entries)

    @property
    def ceiling(self):
        """Most requests in flight: all slots, within this entry's connections.

        A connection that exists is held by its entry even when idle, so connections
        are divided firmly; slots are free again with each answer.
        """
        connections = max(1.0, self.connections / self.n_entries)
        return max(self.share, min(self.slots, connections))

    @property
    def n_waiting(self):
        """How many tickets wait."""
        return sum(map(len, self._waiting.values()))

    @property
    def load(self):
        """Requests in flight and waiting, over the limit."""
        return (self.in_flight + self.n_waiting) / self.limit

    def resize(self, slots, connections, n_entries):
        """Take in what the server bears and how many entries share it now."""
        if (slots, connections, n_entries) == (
            self.slots,
            self.connections,
            self.n_entries,
        ):
            return
        self.slots, self.connections, self.n_entries = slots, connections, n_entries
        self.limit = min(max(self.limit, self.share), self.ceiling)

    def arrive(self, ticket, now_ms):
        """Admit, queue or refuse a ticket.

        Load: more arrivals than the server can take at once. Harm prevented: callers
        that wait in vain. A request that cannot be expected to be answered in time is
        refused before it waits at all, with a time to come back.

        Returns
        -------
        changed : list of Ticket
            Others that wait no longer: refused, as this one goes before them.
        """
        ticket.arrived_ms = now_ms
        if self.in_flight < int(self.limit) and not self._waiting:
            if not self.in_flight:
                self._note_move(now_ms)
            self._admit(ticket)
            return []
        # A server that has answered nothing for some time is taken to go on so: all
        # that is in flight may be stuck in a frozen one.
        own_ms = self.total_pause_ms() - self._moved_still_ms
        silent_ms = now_ms - self._moved_ms - own_ms - self.mean_ms
        wait_ms = max(self._expected_wait_ms(ticket.priority), silent_ms)
        if not self._has_prospects(ticket, wait_ms, now_ms):
            self._refuse(ticket)
            return []
        queue = self._waiting.setdefault(ticket.priority, collections.deque())
        queue.append(ticket)
        return self._trim(ticket.priority, now_ms)

    def leave(self, outcome, took_ms, now_ms):
        """Take in that an admitted request has left the server.

        Parameters
        ----------
        outcome : str
            One of ``Outcome``.
        took_ms : float
        now_ms : float

        Returns
        -------
        changed : list of Ticket
            Tickets that wait no longer.
        """
        was_full = self.in_flight >= int(self.limit)
        self.in_flight -= 1
        self._note_move(now_ms)
        if outcome == Outcome.ANSWERED:
            self._learn(took_ms, was_full, now_ms)
        elif outcome == Outcome.SHED:
            self._shrink(SHED_FACTOR, 1.0, now_ms)
        elif outcome == Outcome.LOST:
            self._shrink(SHED_FACTOR, self.share, now_ms)
        return self._start_waiting(now_ms)

    def _note_move(self, now_ms):
        self._moved_ms, self._moved_still_ms = now_ms, self.total_pause_ms()

    def withdraw(self, ticket):
        """Forget a waiting ticket whose caller has gone or whose time is up."""
        queue = self._waiting.get(ticket.priority)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self._drop_empty(ticket.priority)
        self._refuse(ticket)

    def latest_start_ms(self, ticket):
        """Return until when it makes sense to wait."""
        longest_ms = self.max_wait_ms * TRIM_SLACK
        return min(ticket.deadline_at_ms - self.mean_ms, ticket.arrived_ms + longest_ms)

    def _admit(self, ticket):
        self.in_flight += 1
        ticket.state = ADMITTED
        for priority in {ticket.priority, *self._shares}:
            share = self._shares.get(priority, 0.0)
            is_own = float(priority == ticket.priority)
            self._shares[priority] = share + SHARE_WEIGHT * (is_own - share)

    def _refuse(self, ticket):
        """Refuse, and say when to come back.

        Load: hundreds of callers refused in the same moment. Harm prevented: all of
        them coming back in the same moment too. The time is that in which what waits
        now will have drained, spread evenly over as long again.
        """
        ticket.state = REFUSED
        drained_ms = (self.n_waiting + 1) * self.mean_ms / self.limit
        retry_ms = max(MIN_RETRY_MS, drained_ms) * (1.0 + self.rng.random())
        ticket.retry_after_ms = min(retry_ms, MAX_RETRY_MS)

    def _expected_wait_ms(self, priority, ahead_in_class=None):
        """Return how long a newcomer of a class, or one further ahead, would wait."""
        if ahead_in_class is None:
            ahead_in_class = len(self._waiting.get(priority, ()))
        ahead = sum(len(q) for p, q in self._waiting.items() if p < priority)
        # What higher classes take now they will go on taking: a lookup that waits on
        # the hope that they stop is refused late, not at once.
        taken = sum(part for p, part in self._shares.items() if p < priority)
        left = max(1.0 / LOWER_TURN, 1.0 - taken)
        turns = ahead + (ahead_in_class + 1) / left
        if ahead:
            lower = {p for p in self._waiting if p > min(self._waiting)} | {priority}
            turns = min(turns, (ahead_in_class + 1) * LOWER_TURN * len(lower))
        return turns * self.mean_ms / self.limit

    def _has_prospects(self, ticket, wait_ms, now_ms, slack=1.0):
        left_ms = ticket.deadline_at_ms - now_ms
        longest_ms = self.max_wait_ms * slack
        return wait_ms <= longest_ms and wait_ms + self.mean_ms <= left_ms

    def _trim(self, priority, now_ms):
        """Refuse those of lower classes whose turn has moved too far away.

        The newest first: they have waited least.
        """
        refused = []
        for lower in sorted((p for p in self._waiting if p > priority), reverse=True):
            queue = self._waiting[lower]
            while queue:
                wait_ms = self._expected_wait_ms(lower, len(queue) - 1)
                if self._has_prospects(queue[-1], wait_ms, now_ms, TRIM_SLACK):
                    break
                ticket = queue.pop()
                self._refuse(ticket)
                refused.append(ticket)
            self._drop_empty(lower)
        return refused

    def _start_waiting(self, now_ms):
        changed = []
        while self._waiting and self.in_flight < int(self.limit):
            ticket = self._next()
            changed.append(ticket)
            if self.latest_start_ms(ticket) < now_ms:
                self._refuse(ticket)
                continue
            self._admit(ticket)
        return changed

    def _next(self):
        """Take the oldest of the first class, or of a lower one whose turn it is."""
        priority = min(self._waiting)
        if len(self._waiting) > 1:
            self._starts += 1
            turn, remainder = divmod(self._starts, LOWER_TURN)
            if remainder == 0:
                lower = sorted(self._waiting)[1:]
                priority = lower[turn % len(lower)]
        ticket = self._waiting[priority].popleft()
        self._drop_empty(priority)
        return ticket

    def _drop_empty(self, priority):
        if not self._waiting[priority]:
            del self._waiting[priority]

    def _learn(self, took_ms, was_full, now_ms):
        self._n_answers += 1
        weight = max(MEAN_WEIGHT, 1.0 / self._n_answers)
        self.mean_ms += weight * (took_ms - self.mean_ms)
        if self._n_calm < CALM_ANSWERS or not self._waiting:
            self._n_calm += 1
            weight = max(MEAN_WEIGHT, 1.0 / self._n_calm)
            self._calm_ms += weight * (took_ms - self._calm_ms)
        if self._n_calm < CALM_ANSWERS:
            return
        if self.mean_ms > LATENCY_RATIO * self._calm_ms:
            self._shrink(LATENCY_FACTOR, self.share, now_ms)
        elif was_full and now_ms >= self._shrunk_until_ms:
            self.limit = min(self.ceiling, self.limit + 1.0 / self.limit)

    def _shrink(self, factor, floor, now_ms):
        """Lower the limit, once for each round of answers.

        Latency alone takes back no more than was borrowed: a server that is slow for
        other reasons would otherwise be starved by all entries at once.
        """
        if now_ms < self._shrunk_until_ms:
            return
        self.limit = max(min(floor, self.limit), self.limit * factor)
        self._shrunk_until_ms = now_ms + self.mean_ms
