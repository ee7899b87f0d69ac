"""Gates before simulated servers: what callers get under load.

A server runs a request in each slot, queues a few and sheds the rest, as the users'
do. Time is simulated; requests carry their own work.
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
    Gate,
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
    """Entries, each with a gate before the one server."""

    def __init__(self, n_entries=1, slots=4, connections=50, seed=1, speed=None):
        self.rng = random.Random(seed)
        self.gates = [
            Gate(slots, connections, n_entries, rng=random.Random(seed + i))
            for i in range(n_entries)
        ]
        self.slots, self.speed = slots, speed or (lambda now_ms: 1.0)
        self.running, self.queue = 0, collections.deque()
        self.results, self.peak_in_flight = [], 0
        self._events, self._order = [], itertools.count()
        self.now_ms = 0.0

    def at(self, time_ms, action, *arguments):
        """Do something at a time."""
        heapq.heappush(self._events, (time_ms, next(self._order), action, arguments))

    def offer(self, rate, priority, until_ms, work_ms=10.0, from_ms=0.0, patience=2000):
        """Let callers arrive at random, so many a second, at random entries."""
        time_ms = from_ms
        while True:
            time_ms += self.rng.expovariate(rate / 1000.0)
            if time_ms >= until_ms:
                return
            took_ms = work_ms(self.rng) if callable(work_ms) else work_ms
            gate = self.rng.choice(self.gates)
            self.at(time_ms, self._arrive, gate, priority, took_ms, patience)

    def run(self):
        """Run to the end; return results by class."""
        while self._events:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        by_class = collections.defaultdict(list)
        for result in self.results:
            by_class[result.priority].append(result)
        return by_class

    def _arrive(self, gate, priority, work_ms, caller_timeout_ms):
        result = Result(priority, self.now_ms)
        self.results.append(result)
        ticket = Ticket(priority, self.now_ms + caller_timeout_ms)
        ticket.on_change = lambda: self._go_on(gate, ticket, result, work_ms)
        self._wake(gate.arrive(ticket, self.now_ms))
        if ticket.state == WAITING:
            self.at(gate.latest_start_ms(ticket), self._withdraw, gate, ticket, result)
        else:
            ticket.on_change()

    def _withdraw(self, gate, ticket, result):
        if ticket.state == WAITING:
            gate.withdraw(ticket)
            ticket.on_change()

    def _wake(self, tickets):
        for ticket in tickets:
            ticket.on_change()

    def _go_on(self, gate, ticket, result, work_ms):
        if ticket.state == REFUSED:
            self._end(result, "refused")
            result.retry_after_ms = ticket.retry_after_ms
            return
        in_flight = sum(gate.in_flight for gate in self.gates)
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        job = (gate, ticket, result, work_ms, self.now_ms)
        if self.running < self.slots:
            self._execute(job)
        elif len(self.queue) < 7 * self.slots:
            self.queue.append(job)
        else:
            self._end(result, "shed")
            self._wake(gate.leave(Outcome.SHED, 1.0, self.now_ms))

    def _execute(self, job):
        self.running += 1
        self.at(self.now_ms + job[3] * self.speed(self.now_ms), self._finish, job)

    def _finish(self, job):
        gate, ticket, result, _, sent_ms = job
        self.running -= 1
        if self.queue:
            self._execute(self.queue.popleft())
        in_time = self.now_ms <= ticket.deadline_at_ms
        self._end(result, "answered" if in_time else "late")
        self._wake(gate.leave(Outcome.ANSWERED, self.now_ms - sent_ms, self.now_ms))

    def _end(self, result, kind):
        result.kind, result.total_ms = kind, self.now_ms - result.began_ms


def share(results, kind="answered"):
    """Return the part of the callers that got something."""
    return sum(result.kind == kind for result in results) / len(results)


def quantile_ms(results, part):
    """Return a quantile of the time to an answer."""
    times = sorted(r.total_ms for r in results if r.kind == "answered")
    return times[int(part * (len(times) - 1))]


class CallersTest(unittest.TestCase):
    """Capacity is 400/s: four slots, 10 ms of work."""

    def test_half_load_is_answered_without_refusal(self):
        simulation = Simulation(n_entries=4)
        simulation.offer(200, LOOKUP, 20_000)
        got = simulation.run()[LOOKUP]
        self.assertEqual(share(got), 1.0)
        self.assertLess(quantile_ms(got, 0.99), 60.0)

    def test_a_burst_is_waited_out(self):
        simulation = Simulation(n_entries=2)
        simulation.offer(100, LOOKUP, 5000)
        simulation.offer(2000, CLAIM, 1100, from_ms=1000)
        got = simulation.run()
        self.assertGreater(share(got[CLAIM]), 0.95)
        self.assertGreater(share(got[LOOKUP]), 0.9)

    def test_full_saturation(self):
        """Three times what the server bears, for ten seconds."""
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

    def test_claims_alone_saturate(self):
        """Stock lookups wait their turn for minutes, but some always run."""
        simulation = Simulation()
        simulation.offer(800, CLAIM, 10_000)
        simulation.offer(20, STOCK, 10_000)
        got = simulation.run()
        self.assertGreater(share(got[STOCK]), 0.5)
        answered = sum(result.kind == "answered" for result in simulation.results)
        self.assertGreater(answered, 0.9 * 400 * 10)

    def test_one_busy_entry_borrows_idle_slots(self):
        """The balancer's skew sends nearly everything to one entry of four."""
        simulation = Simulation(n_entries=4)
        idle, busy = simulation.gates, simulation.gates[:1]
        simulation.gates = busy
        simulation.offer(320, LOOKUP, 20_000)
        simulation.gates = idle
        simulation.offer(10, LOOKUP, 20_000)
        got = simulation.run()[LOOKUP]
        self.assertGreater(share(got), 0.97)
        self.assertGreater(busy[0].limit, 3.0)

    def test_borrowed_slots_are_given_back(self):
        """One entry has borrowed everything when the others become busy."""
        simulation = Simulation(n_entries=4)
        gates = simulation.gates
        simulation.gates = gates[:1]
        simulation.offer(350, LOOKUP, 10_000)
        simulation.gates = gates
        simulation.offer(1200, LOOKUP, 30_000, from_ms=10_000)
        got = simulation.run()[LOOKUP]
        late = [r for r in got if r.began_ms > 20_000]
        answered = sum(result.kind == "answered" for result in late)
        self.assertGreater(answered, 0.9 * 400 * 10)
        self.assertLess(share(got, "shed"), 0.01)
        self.assertLess(share(got, "late"), 0.01)

    def test_more_entries_than_slots(self):
        """Nine entries share a server of three slots at three times its load."""
        simulation = Simulation(n_entries=9, slots=3, connections=110)
        simulation.offer(100, CLAIM, 10_000)
        simulation.offer(800, LOOKUP, 10_000)
        got = simulation.run()
        self.assertLessEqual(simulation.peak_in_flight, 27)
        self.assertGreater(share(got[CLAIM]), 0.99)
        self.assertLess(quantile_ms(got[CLAIM], 0.99), 250.0)
        answered = sum(result.kind == "answered" for result in simulation.results)
        self.assertGreater(answered, 0.9 * 300 * 10)

    def test_a_slow_server(self):
        """The server is slowed tenfold for two seconds by a neighbour nobody sees."""
        slow = lambda now_ms: 10.0 if 3000 < now_ms < 5000 else 1.0
        simulation = Simulation(n_entries=3, speed=slow)
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

    def test_callers_who_obey_do_not_come_in_waves(self):
        """A burst is refused; all come back when told to."""
        gate = Gate(4, 50, rng=random.Random(5))
        tickets = [Ticket(LOOKUP, 2000.0) for _ in range(1000)]
        for ticket in tickets:
            gate.arrive(ticket, 0.0)
        backs = [t.retry_after_ms for t in tickets if t.state == REFUSED]
        self.assertGreater(len(backs), 500)
        first, last = min(backs), max(backs)
        self.assertGreater(last, 1.8 * first)
        slots = collections.Counter(
            int(10 * (back - first) / (last - first + 1)) for back in backs
        )
        self.assertLess(max(slots.values()), 2 * len(backs) / 10)


class GateTest(unittest.TestCase):
    """Single decisions."""

    def test_a_request_without_prospects_does_not_wait(self):
        gate = Gate(1, 50)
        gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        hopeless = Ticket(CLAIM, 15.0)
        gate.arrive(hopeless, 0.0)
        self.assertEqual(hopeless.state, REFUSED)
        self.assertGreater(hopeless.retry_after_ms, 0.0)

    def test_a_claim_goes_before_lookups_that_came_first(self):
        gate = Gate(1, 50)
        gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        lookup, claim = Ticket(LOOKUP, 1000.0), Ticket(CLAIM, 1000.0)
        gate.arrive(lookup, 0.0)
        gate.arrive(claim, 0.0)
        self.assertEqual(gate.leave(Outcome.ANSWERED, 5.0, 5.0), [claim])
        self.assertEqual((claim.state, lookup.state), (ADMITTED, WAITING))

    def test_lookups_that_lose_their_prospects_are_told_at_once(self):
        gate = Gate(1, 50, max_wait_ms=100.0)
        gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        lookup = Ticket(LOOKUP, 30.0)
        gate.arrive(lookup, 0.0)
        changed = []
        for _ in range(3):
            changed += gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        self.assertEqual(changed, [lookup])
        self.assertEqual(lookup.state, REFUSED)

    def test_a_ticket_that_waited_too_long_is_not_sent(self):
        gate = Gate(1, 50)
        gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        late = Ticket(CLAIM, 40.0)
        gate.arrive(late, 0.0)
        self.assertEqual(gate.leave(Outcome.ANSWERED, 60.0, 60.0), [late])
        self.assertEqual((late.state, gate.in_flight), (REFUSED, 0))

    def test_a_withdrawn_ticket_frees_its_place(self):
        gate = Gate(1, 50)
        gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        gone = Ticket(CLAIM, 1000.0)
        gate.arrive(gone, 0.0)
        gate.withdraw(gone)
        self.assertEqual(gate.leave(Outcome.ANSWERED, 5.0, 5.0), [])
        self.assertEqual((gate.n_waiting, gate.in_flight), (0, 0))

    def test_limits_keep_within_what_the_server_bears(self):
        gate = Gate(4, 6, n_entries=3)
        self.assertEqual(gate.ceiling, 2.0)
        for i in range(200):
            tickets = [Ticket(CLAIM, 1e9) for _ in range(5)]
            for ticket in tickets:
                gate.arrive(ticket, i * 10.0)
            while gate.in_flight:
                gate.leave(Outcome.ANSWERED, 5.0, i * 10.0 + 5.0)
        self.assertLessEqual(gate.limit, 2.0)
        gate.resize(4, 50, 1)
        self.assertEqual(gate.limit, 4.0)

    def test_shedding_lowers_the_limit_once_a_round(self):
        gate = Gate(4, 50)
        for _ in range(4):
            gate.arrive(Ticket(CLAIM, 1000.0), 0.0)
        for _ in range(4):
            gate.leave(Outcome.SHED, 1.0, 0.0)
        self.assertAlmostEqual(gate.limit, 2.8)

    def test_an_own_pause_is_not_the_servers_silence(self):
        """Guards against refusals right after this process stood still."""
        total_pause_ms = 0.0
        gate = Gate(1, 50, max_wait_ms=500.0, total_pause_ms=lambda: total_pause_ms)
        gate.arrive(Ticket(CLAIM, 3000.0), 0.0)
        total_pause_ms = 700.0
        thawed, late = Ticket(CLAIM, 3800.0), Ticket(CLAIM, 4500.0)
        gate.arrive(thawed, 800.0)
        self.assertEqual(thawed.state, WAITING)
        gate.arrive(late, 1500.0)
        self.assertEqual(late.state, REFUSED)

    def test_a_frozen_server_does_not_gather_callers(self):
        """A server freezes with a request in flight, and its callers keep coming.

        Those behind it are told to come back within the longest wait, not at their
        deadlines; after that newcomers are told at once.
        """
        gate = Gate(1, 50, max_wait_ms=500.0)
        gate.arrive(Ticket(CLAIM, 3000.0), 0.0)
        early, late = Ticket(CLAIM, 3100.0), Ticket(CLAIM, 3800.0)
        gate.arrive(early, 100.0)
        self.assertEqual(early.state, WAITING)
        self.assertLessEqual(gate.latest_start_ms(early), 1100.0)
        gate.arrive(late, 800.0)
        self.assertEqual(late.state, REFUSED)
