"""Server selection, measured by what callers get in a simulation without sockets."""

import heapq
import random
import unittest

from tarragonramp.balancing import (
    Rejection,
    Requirements,
    Selection,
    ServerSelector,
)
from tarragonramp.connections import connection_share, may_connect
from tarragonramp.directory import BackendServer
from tarragonramp.server_stats import LoadReport

TARGET_MS, LIMIT_MS = 600.0, 1500.0
ERROR_WORK = 0.3
"""Time until an error, as a fraction of the time until a result."""


def server(i, domain="a", slots=3):
    """Return a backend server."""
    return BackendServer(f"s{i}", 1, "desk", f"10.0.0.{i}:80", domain, slots)


class Simulation:
    """Simulates daemons, servers with queues and callers on a clock of its own."""

    def __init__(self, n_daemons, servers, slowdowns, work_ms=200.0, seed=1):
        self.rng = random.Random(seed)
        self.servers, self.work_ms = servers, work_ms
        self.slowdowns = dict(zip((s.name for s in servers), slowdowns, strict=True))
        self.daemons = [
            ServerSelector("ab"[i % 2], random.Random(seed + i))
            for i in range(n_daemons)
        ]
        self.free_at = {s.name: [0.0] * s.slots for s in servers}
        self.events, self.latencies_ms, self.refused = [], [], []
        self.error_shares, self.n_errors = {}, 0

    def run(self, per_s, for_s, requirements=None):
        """Let callers arrive at random; return the share answered within the target."""
        requirements = requirements or (lambda: Requirements("r", LIMIT_MS, TARGET_MS))
        now_ms, n = 0.0, 0
        while now_ms < for_s * 1000.0:
            now_ms += self.rng.expovariate(per_s) * 1000.0
            self._finish(now_ms)
            n += 1
            self._arrive(self.rng.choice(self.daemons), requirements(), now_ms)
        self._finish(now_ms + 60_000.0)
        n_in_time = sum(took <= TARGET_MS for took in self.latencies_ms)
        return n_in_time / n

    def _arrive(self, daemon, requirements, now_ms):
        choice = daemon.select(self.servers, requirements, now_ms)
        if isinstance(choice, Rejection):
            self.refused.append(choice)
            return
        name = choice.server.name
        work_ms = self.work_ms * self.slowdowns[name] * self.rng.uniform(0.5, 1.5)
        fails = (
            name in self.error_shares and self.rng.random() < self.error_shares[name]
        )
        if fails:
            work_ms *= ERROR_WORK
        slots = self.free_at[name]
        start_ms = max(now_ms, heapq.heappop(slots))
        heapq.heappush(slots, start_ms + work_ms)
        daemon.record_sent(choice)
        heapq.heappush(
            self.events,
            (start_ms + work_ms, self.rng.random(), daemon, choice, now_ms, fails),
        )

    def _finish(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, daemon, choice, sent_ms, fails = heapq.heappop(self.events)
            busy = [end for end in self.free_at[choice.server.name] if end > at_ms]
            here = sum(e[3].server is choice.server for e in self.events)
            report = LoadReport(len(busy), max(0, here - len(busy)), 3)
            if fails:
                self.n_errors += 1
                daemon.record_error(choice, at_ms - sent_ms, report, at_ms)
                continue
            daemon.record_response(choice, at_ms - sent_ms, report, at_ms)
            self.latencies_ms.append(at_ms - sent_ms)


class ConnectionsTest(unittest.TestCase):
    """Connections that independent daemons may open to one server."""

    def test_guaranteed_connections_never_exceed_the_limit(self):
        for limit, n_daemons in ((51, 8), (110, 9), (130, 91), (470, 69)):
            share = connection_share(limit, n_daemons)
            self.assertLessEqual(share * n_daemons, limit)
            self.assertTrue(may_connect(limit, n_daemons, share - 1, None))
            self.assertFalse(may_connect(limit, n_daemons, share, None))

    def test_unused_connections_are_borrowed(self):
        """One key is hot at 91 daemons with one guaranteed connection each.

        Guards against refusing every second request of a daemon while the server has
        four slots and 100 unused connections.
        """
        self.assertTrue(may_connect(130, 91, 1, 6))
        self.assertFalse(may_connect(130, 91, 1, 30))
        self.assertFalse(may_connect(51, 8, 4, 9))


class BalancingTest(unittest.TestCase):
    """Nine daemons and the twelve servers that handle claims."""

    def simulation(self, slowdowns=None, n_daemons=9):
        """Return a simulation with servers in two failure domains."""
        servers = [server(i, "ab"[i % 2]) for i in range(12)]
        return Simulation(n_daemons, servers, slowdowns or [1.0] * 12)

    def test_normal_load(self):
        self.assertGreater(self.simulation().run(60.0, 60), 0.99)

    def test_servers_of_different_speed(self):
        """Slow servers get fewer requests; their queues would miss the target."""
        slowdowns = [0.5, 1.0, 1.0, 1.5] * 3
        self.assertGreater(self.simulation(slowdowns).run(90.0, 60), 0.93)

    def test_slow_server_is_avoided(self):
        slowdowns = [1.0] * 11 + [8.0]
        self.assertGreater(self.simulation(slowdowns).run(60.0, 60), 0.95)

    def test_overload_is_rejected_and_accepted_requests_are_in_time(self):
        """At twice the capacity, accepted requests are still answered in time."""
        simulation = self.simulation()
        simulation.run(360.0, 30)
        in_time = sum(took <= TARGET_MS for took in simulation.latencies_ms)
        self.assertGreater(in_time / len(simulation.latencies_ms), 0.6)
        self.assertGreater(len(simulation.latencies_ms), 0.8 * 180 * 30)
        self.assertTrue(all(0 < r.retry_after_s <= 5.0 for r in simulation.refused))

    def test_burst_is_absorbed(self):
        simulation = self.simulation()
        self.assertGreater(simulation.run(150.0, 3), 0.9)

    def test_urgent_requests_are_rejected_less(self):
        """With more claims and lookups than capacity, lookups are rejected first."""
        simulation, refused, n_sent = (
            self.simulation(),
            {True: 0, False: 0},
            {True: 0, False: 0},
        )
        kinds = random.Random(5)

        def requirements():
            urgent = kinds.random() < 0.4
            n_sent[urgent] += 1
            before = len(simulation.refused)
            pending.append((urgent, before))
            return Requirements("r", LIMIT_MS, TARGET_MS, urgent)

        pending = []
        simulation.run(320.0, 30, requirements)
        counts = [before for _, before in pending] + [len(simulation.refused)]
        for (urgent, before), after in zip(pending, counts[1:], strict=True):
            refused[urgent] += after - before
        self.assertLess(refused[True] / n_sent[True], refused[False] / n_sent[False])

    def test_new_server_is_selected_although_another_is_fast(self):
        """Servers that join under low load receive requests although another is fast.

        A fast server is free for every request, and new servers are assumed to have the
        usual speed, so they would never be selected. Only new servers of the own
        failure domain are tried.
        """
        selector, requirements = (
            ServerSelector("a", random.Random(1)),
            Requirements("r", LIMIT_MS, TARGET_MS),
        )
        fast, slow, now_ms = server(0), server(1), 0.0
        for _ in range(300):
            now_ms += 10.0
            for item, took_ms in ((fast, 50.0), (slow, 150.0)):
                chosen = Selection(item, "r", took_ms)
                selector.record_sent(chosen)
                selector.record_response(chosen, took_ms, None, now_ms)
        remote, local = server(2, "b"), server(3)
        for joined, expected in (([remote], fast), ([remote, local], local)):
            choice = selector.select([fast, slow, *joined], requirements, now_ms)
            self.assertIs(choice.server, expected)
        selector.record_sent(Selection(local, "r", 0.0))
        choice = selector.select([fast, slow, remote, local], requirements, now_ms)
        self.assertIs(choice.server, fast)

    def test_requests_stay_in_the_failure_domain_while_it_has_capacity(self):
        """Traffic between failure domains is paid for."""
        selector = ServerSelector("a", random.Random(1))
        servers = [server(0, "a"), server(1, "b")]
        for _ in range(2):
            choice = selector.select(
                servers, Requirements("r", LIMIT_MS, TARGET_MS), 0.0
            )
            self.assertEqual(choice.server.name, "s0")
            selector.record_sent(Selection(servers[0], "r", 0.0))
        for _ in range(4):
            selector.record_sent(Selection(servers[0], "r", 0.0))
        choice = selector.select(servers, Requirements("r", LIMIT_MS, TARGET_MS), 0.0)
        self.assertEqual(choice.server.name, "s1")

    def test_fast_shedding_does_not_make_a_server_look_fast(self):
        selector = ServerSelector("a", random.Random(1))
        servers = [server(0), server(1)]
        for i in range(12):
            first = Selection(server(0), "r", 0.0)
            selector.record_sent(first)
            selector.record_shed(first, LoadReport(0, 0, 3), i * 50.0)
        requirements = Requirements("r", LIMIT_MS, TARGET_MS)
        chosen = {
            selector.select(servers, requirements, 700.0).server.name for _ in range(20)
        }
        self.assertEqual(chosen, {"s1"})

    def test_server_is_used_again_once_its_pause_has_ended(self):
        """Guards against a server that has room but looks failing for seconds more."""
        shares = {}
        for backoff_ms in (None, 100.0, 2000.0):
            selector = ServerSelector("a", random.Random(1))
            servers = [server(0), server(1)]
            used = Selection(servers[1], "r", 0.0)
            selector.record_sent(used)
            selector.record_cancellation(used)
            for i in range(6):
                shed = Selection(servers[0], "r", 0.0)
                selector.record_sent(shed)
                selector.record_shed(shed, None, i * 10.0, backoff_ms)
            requirements = Requirements("r", LIMIT_MS, TARGET_MS)
            chosen = [
                selector.select(servers, requirements, 2050.0) for _ in range(200)
            ]
            n_chosen = sum(choice.server.name == "s0" for choice in chosen)
            shares[backoff_ms] = n_chosen / len(chosen)
        self.assertEqual((shares[None], shares[100.0]), (0.0, 0.0))
        self.assertGreater(shares[2000.0], 0.4)

    def test_fast_errors_do_not_make_a_server_look_fast(self):
        """Guards against a failing server that gets more requests than any other."""
        play = self.simulation()
        play.error_shares = {"s0": 0.5, "s1": 0.5}
        play.run(60.0, 60)
        n_calls = len(play.latencies_ms) + play.n_errors
        # The two servers fail half of what they get; with an equal share 0.083.
        self.assertLess(play.n_errors / n_calls, 0.5 * 0.083)

    def test_long_errors_make_a_server_look_slow(self):
        """Guards against keys that move to an owner whose requests time out."""
        play = self.simulation()
        choice = play.daemons[0].select(play.servers, Requirements("r", 1e3, 1e3), 0.0)
        name = choice.server.name
        for at_ms in range(0, 1000, 100):
            play.daemons[0].record_sent(choice)
            play.daemons[0].record_error(choice, 1200.0, None, float(at_ms))
        self.assertGreater(play.daemons[0].slowdown(name, 1000.0), 2.0)

    def test_short_slowdown_rejects_no_request(self):
        """An owner is three times slower for some tenths of a second.

        Guards against rejecting callers while only two requests wait at the owner; they
        would retry too late for their target. A queue that is too long at the server's
        usual speed is still rejected.
        """
        selector, item = ServerSelector("a", random.Random(1)), server(0, slots=4)
        for at_ms in range(0, 30_000, 300):
            chosen = Selection(item, "r", 90.0)
            selector.record_sent(chosen)
            slow = LoadReport(1, 0, 4, 3.0 if at_ms > 29_500 else 1.0)
            selector.record_response(chosen, 90.0, slow, float(at_ms))
        for _ in range(5):
            selector.record_sent(Selection(item, "r", 0.0))
        requirements = Requirements("r", 800.0, 300.0)
        self.assertIsInstance(
            selector.select([item], requirements, 29_710.0), Selection
        )
        for _ in range(12):
            selector.record_sent(Selection(item, "r", 0.0))
        choice = selector.select([item], requirements, 29_720.0)
        self.assertIsInstance(choice, Rejection)

    def test_capacity_is_reserved_only_for_urgent_requests_that_arrive(self):
        """No part of a queue is reserved for an urgent route without requests."""
        lookup = Requirements("lookup", 800.0, 300.0, urgent=False)
        claim = Requirements("claim", 800.0, 300.0, urgent=True)
        n_accepted = []
        for kinds in ([lookup], [lookup, claim]):
            selector, item = ServerSelector("a", random.Random(1)), server(0, slots=4)
            for i in range(200):
                chosen = Selection(item, kinds[i % len(kinds)].route, 90.0)
                selector.select([item], kinds[i % len(kinds)], 300.0 * i)
                selector.record_sent(chosen)
                selector.record_response(chosen, 90.0, None, 300.0 * i)
            n = 0
            while isinstance(selector.select([item], lookup, 60_000.0), Selection):
                selector.record_sent(Selection(item, "lookup", 0.0))
                n += 1
            n_accepted.append(n)
            if kinds == [lookup, claim]:
                choice = selector.select([item], claim, 60_000.0)
                self.assertIsInstance(choice, Selection)
        self.assertGreater(n_accepted[0], n_accepted[1])

    def test_requests_of_other_daemons_fill_an_owner(self):
        """Nine daemons send to a busy owner; each sees only its own requests there."""
        selector = ServerSelector("a", random.Random(1))
        requirements = Requirements("r", LIMIT_MS, 300.0)
        self.assertNotIsInstance(
            selector.select([server(0)], requirements, 0.0), Rejection
        )
        selector.update_peer_in_flight({"s0": 9}, 0.0)
        self.assertIsInstance(
            selector.select([server(0)], requirements, 10.0), Rejection
        )
        # The reported count has expired by then.
        choice = selector.select([server(0)], requirements, 5000.0)
        self.assertNotIsInstance(choice, Rejection)
