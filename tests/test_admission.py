"""Admission to simulated servers: what callers get under load.

A server runs one request in each slot, queues a few and sheds the rest, as the users'
servers do. Time is simulated; each request has its own processing time.
"""

import collections
import heapq
import itertools
import random
import unittest

import attrs

from tarragonramp.admission import (
    ADMITTED,
    REFUSED,
    WAITING,
    ConcurrencyLimiter,
    Outcome,
    Ticket,
)

CLAIM, LOOKUP, STOCK = 0, 1, 2


@attrs.define
class Result:
    """What one caller got."""

    priority: int
    began_ms: float
    kind: str = "lost"
    total_ms: float = 0.0
    retry_after_ms: float = 0.0


class Simulation:
    """Simulates entries that each have a limiter for the same server."""

    def __init__(self, n_entries=1, slots=4, connections=50, seed=1, slowdown=None):
        self.rng = random.Random(seed)
        self.limiters = [
            ConcurrencyLimiter(
                slots, connections, n_entries, rng=random.Random(seed + i)
            )
            for i in range(n_entries)
        ]
        self.slots, self.slowdown = slots, slowdown or (lambda now_ms: 1.0)
        self.running, self.queue = 0, collections.deque()
        self.results, self.peak_in_flight = [], 0
        self._events, self._order = [], itertools.count()
        self.now_ms = 0.0

    def at(self, time_ms, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self._events, (time_ms, next(self._order), action, arguments))

    def offer(
        self,
        rate,
        priority,
        until_ms,
        work_ms=10.0,
        from_ms=0.0,
        caller_timeout_ms=2000,
    ):
        """Let callers arrive at random entries at an average rate per second."""
        time_ms = from_ms
        while True:
            time_ms += self.rng.expovariate(rate / 1000.0)
            if time_ms >= until_ms:
                return
            took_ms = work_ms(self.rng) if callable(work_ms) else work_ms
            limiter = self.rng.choice(self.limiters)
            self.at(
                time_ms, self._arrive, limiter, priority, took_ms, caller_timeout_ms
            )

    def run(self):
        """Run to the end; return results by class."""
        while self._events:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        by_class = collections.defaultdict(list)
        for result in self.results:
            by_class[result.priority].append(result)
        return by_class

    def _arrive(self, limiter, priority, work_ms, caller_timeout_ms):
        result = Result(priority, self.now_ms)
        self.results.append(result)
        ticket = Ticket(priority, self.now_ms + caller_timeout_ms)
        ticket.on_change = lambda: self._on_decision(limiter, ticket, result, work_ms)
        self._wake(limiter.submit(ticket, self.now_ms))
        if ticket.state == WAITING:
            self.at(
                limiter.latest_start_ms(ticket), self._withdraw, limiter, ticket, result
            )
        else:
            ticket.on_change()

    def _withdraw(self, limiter, ticket, result):
        if ticket.state == WAITING:
            limiter.withdraw(ticket)
            ticket.on_change()

    def _wake(self, tickets):
        for ticket in tickets:
            ticket.on_change()

    def _on_decision(self, limiter, ticket, result, work_ms):
        if ticket.state == REFUSED:
            self._record_result(result, "refused")
            result.retry_after_ms = ticket.retry_after_ms
            return
        in_flight = sum(limiter.in_flight for limiter in self.limiters)
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        job = (limiter, ticket, result, work_ms, self.now_ms)
        if self.running < self.slots:
            self._execute(job)
        elif len(self.queue) < 7 * self.slots:
            self.queue.append(job)
        else:
            self._record_result(result, "shed")
            self._wake(limiter.release(Outcome.SHED, 1.0, self.now_ms))

    def _execute(self, job):
        self.running += 1
        self.at(self.now_ms + job[3] * self.slowdown(self.now_ms), self._finish, job)

    def _finish(self, job):
        limiter, ticket, result, _, sent_ms = job
        self.running -= 1
        if self.queue:
            self._execute(self.queue.popleft())
        in_time = self.now_ms <= ticket.deadline_at_ms
        self._record_result(result, "answered" if in_time else "late")
        self._wake(
            limiter.release(Outcome.ANSWERED, self.now_ms - sent_ms, self.now_ms)
        )

    def _record_result(self, result, kind):
        result.kind, result.total_ms = kind, self.now_ms - result.began_ms


def share(results, kind="answered"):
    """Return the fraction of callers with a result of a kind."""
    return sum(result.kind == kind for result in results) / len(results)


def quantile_ms(results, part):
    """Return a quantile of the time to a response."""
    times = sorted(r.total_ms for r in results if r.kind == "answered")
    return times[int(part * (len(times) - 1))]


class CallersTest(unittest.TestCase):
    """The capacity is 400 requests/s: four slots, 10 ms of work."""

    def test_half_load_is_answered_without_rejection(self):
        simulation = Simulation(n_entries=4)
        simulation.offer(200, LOOKUP, 20_000)
        got = simulation.run()[LOOKUP]
        self.assertEqual(share(got), 1.0)
        self.assertLess(quantile_ms(got, 0.99), 60.0)

    def test_burst_is_queued(self):
        simulation = Simulation(n_entries=2)
        simulation.offer(100, LOOKUP, 5000)
        simulation.offer(2000, CLAIM, 1100, from_ms=1000)
        got = simulation.run()
        self.assertGreater(share(got[CLAIM]), 0.95)
        self.assertGreater(share(got[LOOKUP]), 0.9)

    def test_saturation_by_all_classes(self):
        """Three times the server's capacity, for ten seconds."""
        simulation = Simulation(n_entries=3)
        simulation.offer(200, CLAIM, 10_000)
        simulation.offer(600, LOOKUP, 10_000)
        simulation.offer(400, STOCK, 10_000)
        got = simulation.run()
        answered = sum(result.kind == "answered" for result in simulation.results)
        self.assertGreater(answered, 0.9 * 400 * 10)
        self.assertGreater(share(got[CLAIM]), 0.99)
        self.assertLess(quantile_ms(got[CLAIM], 0.99), 250.0)
        self.assertGreater(share(got[STOCK]), 0.02)
        self.assertLess(share(simulation.results, "late"), 0.01)
        self.assertLess(share(simulation.results, "shed"), 0.01)
        refused = [r for r in simulation.results if r.kind == "refused"]
        at_once = sum(result.total_ms < 5.0 for result in refused)
        self.assertGreater(at_once, 0.9 * len(refused))

    def test_saturation_by_claims_does_not_starve_lookups(self):
        """Claims saturate the server; stock lookups are delayed but never starved."""
        simulation = Simulation()
        simulation.offer(800, CLAIM, 10_000)
        simulation.offer(20, STOCK, 10_000)
        got = simulation.run()
        self.assertGreater(share(got[STOCK]), 0.5)
        answered = sum(result.kind == "answered" for result in simulation.results)
        self.assertGreater(answered, 0.9 * 400 * 10)

    def test_one_busy_entry_borrows_idle_slots(self):
        """The users' load balancer sends nearly all requests to one entry of four."""
        simulation = Simulation(n_entries=4)
        idle, busy = simulation.limiters, simulation.limiters[:1]
        simulation.limiters = busy
        simulation.offer(320, LOOKUP, 20_000)
        simulation.limiters = idle
        simulation.offer(10, LOOKUP, 20_000)
        got = simulation.run()[LOOKUP]
        self.assertGreater(share(got), 0.97)
        self.assertGreater(busy[0].limit, 3.0)

    def test_borrowed_slots_are_returned(self):
        """One entry has borrowed all slots when the others become busy."""
        simulation = Simulation(n_entries=4)
        limiters = simulation.limiters
        simulation.limiters = limiters[:1]
        simulation.offer(350, LOOKUP, 10_000)
        simulation.limiters = limiters
        simulation.offer(1200, LOOKUP, 30_000, from_ms=10_000)
        got = simulation.run()[LOOKUP]
        late = [r for r in got if r.began_ms > 20_000]
        answered = sum(result.kind == "answered" for result in late)
        self.assertGreater(answered, 0.9 * 400 * 10)
        self.assertLess(share(got, "shed"), 0.01)
        self.assertLess(share(got, "late"), 0.01)

    def test_more_entries_than_slots(self):
        """Nine entries share a server of three slots at three times its capacity."""
        simulation = Simulation(n_entries=9, slots=3, connections=110)
        simulation.offer(100, CLAIM, 10_000)
        simulation.offer(800, LOOKUP, 10_000)
        got = simulation.run()
        self.assertLessEqual(simulation.peak_in_flight, 27)
        self.assertGreater(share(got[CLAIM]), 0.99)
        self.assertLess(quantile_ms(got[CLAIM], 0.99), 250.0)
        answered = sum(result.kind == "answered" for result in simulation.results)
        self.assertGreater(answered, 0.9 * 300 * 10)

    def test_slow_server(self):
        """A noisy neighbour slows the server tenfold for two seconds."""
        slow = lambda now_ms: 10.0 if 3000 < now_ms < 5000 else 1.0
        simulation = Simulation(n_entries=3, slowdown=slow)
        simulation.offer(40, CLAIM, 10_000)
        simulation.offer(200, LOOKUP, 10_000)
        got = simulation.run()
        self.assertLess(share(simulation.results, "late"), 0.01)
        self.assertGreater(share(got[CLAIM]), 0.8)
        after = [r for r in simulation.results if r.began_ms > 6000]
        self.assertGreater(share(after), 0.98)

    def test_long_and_short_work(self):
        """One request in ten takes a hundred times as long as the others."""
        work = lambda rng: 200.0 if rng.random() < 0.1 else 2.0
        simulation = Simulation(n_entries=2)
        simulation.offer(100, LOOKUP, 20_000, work_ms=work)
        got = simulation.run()[LOOKUP]
        self.assertGreater(share(got), 0.95)

    def test_retry_times_are_spread(self):
        """All callers of a rejected burst retry at the time they were told."""
        limiter = ConcurrencyLimiter(4, 50, rng=random.Random(5))
        tickets = [Ticket(LOOKUP, 2000.0) for _ in range(1000)]
        for ticket in tickets:
            limiter.submit(ticket, 0.0)
        retry_times = [t.retry_after_ms for t in tickets if t.state == REFUSED]
        self.assertGreater(len(retry_times), 500)
        first, last = min(retry_times), max(retry_times)
        self.assertGreater(last, 1.8 * first)
        slots = collections.Counter(
            int(10 * (back - first) / (last - first + 1)) for back in retry_times
        )
        self.assertLess(max(slots.values()), 2 * len(retry_times) / 10)


class ConcurrencyLimiterTest(unittest.TestCase):
    """Single decisions."""

    def test_infeasible_request_is_rejected_immediately(self):
        limiter = ConcurrencyLimiter(1, 50)
        limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        infeasible = Ticket(CLAIM, 15.0)
        limiter.submit(infeasible, 0.0)
        self.assertEqual(infeasible.state, REFUSED)
        self.assertGreater(infeasible.retry_after_ms, 0.0)

    def test_claim_is_admitted_before_earlier_lookups(self):
        limiter = ConcurrencyLimiter(1, 50)
        limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        lookup, claim = Ticket(LOOKUP, 1000.0), Ticket(CLAIM, 1000.0)
        limiter.submit(lookup, 0.0)
        limiter.submit(claim, 0.0)
        self.assertEqual(limiter.release(Outcome.ANSWERED, 5.0, 5.0), [claim])
        self.assertEqual((claim.state, lookup.state), (ADMITTED, WAITING))

    def test_lookups_that_become_infeasible_are_evicted(self):
        limiter = ConcurrencyLimiter(1, 50, max_wait_ms=100.0)
        limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        lookup = Ticket(LOOKUP, 30.0)
        limiter.submit(lookup, 0.0)
        changed = []
        for _ in range(3):
            changed += limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        self.assertEqual(changed, [lookup])
        self.assertEqual(lookup.state, REFUSED)

    def test_ticket_that_waited_too_long_is_not_sent(self):
        limiter = ConcurrencyLimiter(1, 50)
        limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        late = Ticket(CLAIM, 40.0)
        limiter.submit(late, 0.0)
        self.assertEqual(limiter.release(Outcome.ANSWERED, 60.0, 60.0), [late])
        self.assertEqual((late.state, limiter.in_flight), (REFUSED, 0))

    def test_withdrawn_ticket_frees_its_place(self):
        limiter = ConcurrencyLimiter(1, 50)
        limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        gone = Ticket(CLAIM, 1000.0)
        limiter.submit(gone, 0.0)
        limiter.withdraw(gone)
        self.assertEqual(limiter.release(Outcome.ANSWERED, 5.0, 5.0), [])
        self.assertEqual((limiter.n_waiting, limiter.in_flight), (0, 0))

    def test_limit_stays_within_the_servers_capacity(self):
        limiter = ConcurrencyLimiter(4, 6, n_entries=3)
        self.assertEqual(limiter.max_limit, 2.0)
        for i in range(200):
            tickets = [Ticket(CLAIM, 1e9) for _ in range(5)]
            for ticket in tickets:
                limiter.submit(ticket, i * 10.0)
            while limiter.in_flight:
                limiter.release(Outcome.ANSWERED, 5.0, i * 10.0 + 5.0)
        self.assertLessEqual(limiter.limit, 2.0)
        limiter.resize(4, 50, 1)
        self.assertEqual(limiter.limit, 4.0)

    def test_shedding_lowers_the_limit_once_per_round(self):
        limiter = ConcurrencyLimiter(4, 50)
        for _ in range(4):
            limiter.submit(Ticket(CLAIM, 1000.0), 0.0)
        for _ in range(4):
            limiter.release(Outcome.SHED, 1.0, 0.0)
        self.assertAlmostEqual(limiter.limit, 2.8)

    def test_own_pause_does_not_count_as_silence_of_the_server(self):
        """Guards against rejecting requests right after this process was paused."""
        total_pause_ms = 0.0
        limiter = ConcurrencyLimiter(
            1, 50, max_wait_ms=500.0, total_pause_ms=lambda: total_pause_ms
        )
        limiter.submit(Ticket(CLAIM, 3000.0), 0.0)
        total_pause_ms = 700.0
        after_pause, late = Ticket(CLAIM, 3800.0), Ticket(CLAIM, 4500.0)
        limiter.submit(after_pause, 800.0)
        self.assertEqual(after_pause.state, WAITING)
        limiter.submit(late, 1500.0)
        self.assertEqual(late.state, REFUSED)

    def test_paused_server_does_not_accumulate_callers(self):
        """A server is paused with a request in flight, and callers keep arriving.

        Waiting callers are told to retry within the longest wait instead of at their
        deadlines; later ones are rejected immediately.
        """
        limiter = ConcurrencyLimiter(1, 50, max_wait_ms=500.0)
        limiter.submit(Ticket(CLAIM, 3000.0), 0.0)
        early, late = Ticket(CLAIM, 3100.0), Ticket(CLAIM, 3800.0)
        limiter.submit(early, 100.0)
        self.assertEqual(early.state, WAITING)
        self.assertLessEqual(limiter.latest_start_ms(early), 1100.0)
        limiter.submit(late, 800.0)
        self.assertEqual(late.state, REFUSED)


class FirstAnswersTest(unittest.TestCase):
    """A server whose first responses are slow, as it has just been reached."""

    def test_requests_are_not_refused_for_a_few_slow_answers(self):
        """Guards against refusals of a short queue after three slow responses."""
        limiter = ConcurrencyLimiter(1, 50)
        for _ in range(3):
            self.assertEqual(limiter.submit(first := Ticket(CLAIM, 5000.0), 0.0), [])
            limiter.release(Outcome.ANSWERED, 144.0, 0.0)
        self.assertEqual(first.state, ADMITTED)
        tickets = [Ticket(CLAIM, 5000.0) for _ in range(6)]
        for ticket in tickets:
            limiter.submit(ticket, 0.0)
        self.assertEqual([t.state for t in tickets], [ADMITTED] + [WAITING] * 5)

    def test_a_slow_server_is_known_after_some_answers(self):
        limiter = ConcurrencyLimiter(1, 50)
        for _ in range(20):
            limiter.submit(Ticket(CLAIM, 5000.0), 0.0)
            limiter.release(Outcome.ANSWERED, 144.0, 0.0)
        tickets = [Ticket(CLAIM, 5000.0) for _ in range(6)]
        for ticket in tickets:
            limiter.submit(ticket, 0.0)
        self.assertEqual(tickets[-1].state, REFUSED)
