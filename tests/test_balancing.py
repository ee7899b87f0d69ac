"""Which server gets a request, judged by what callers get: a play without sockets."""

import heapq
import random
import unittest

from tarragonramp.balancing import (
    Chosen,
    Loads,
    Refused,
    Wanted,
)
from tarragonramp.connections import connection_share, may_connect
from tarragonramp.directory import BackendServer
from tarragonramp.sightings import LoadReport

TARGET_MS, LIMIT_MS = 600.0, 1500.0


def server(i, domain="a", slots=3):
    """Return a backend server."""
    return BackendServer(f"s{i}", 1, "desk", f"10.0.0.{i}:80", domain, slots)


class Play:
    """Daemons, servers with queues, and callers, on a clock of its own."""

    def __init__(self, n_daemons, servers, speeds, work_ms=200.0, seed=1):
        self.rng = random.Random(seed)
        self.servers, self.work_ms = servers, work_ms
        self.speeds = dict(zip((s.name for s in servers), speeds, strict=True))
        self.daemons = [
            Loads("ab"[i % 2], random.Random(seed + i)) for i in range(n_daemons)
        ]
        self.free_at = {s.name: [0.0] * s.slots for s in servers}
        self.events, self.taken_ms, self.refused = [], [], []

    def run(self, per_s, for_s, wanted=None):
        """Let callers come at random; return the share answered within the target."""
        wanted = wanted or (lambda: Wanted("r", LIMIT_MS, TARGET_MS))
        now_ms, n = 0.0, 0
        while now_ms < for_s * 1000.0:
            now_ms += self.rng.expovariate(per_s) * 1000.0
            self._finish(now_ms)
            n += 1
            self._arrive(self.rng.choice(self.daemons), wanted(), now_ms)
        self._finish(now_ms + 60_000.0)
        good = sum(took <= TARGET_MS for took in self.taken_ms)
        return good / n

    def _arrive(self, daemon, wanted, now_ms):
        choice = daemon.choose(self.servers, wanted, now_ms)
        if isinstance(choice, Refused):
            self.refused.append(choice)
            return
        name = choice.server.name
        work_ms = self.work_ms * self.speeds[name] * self.rng.uniform(0.5, 1.5)
        slots = self.free_at[name]
        start_ms = max(now_ms, heapq.heappop(slots))
        heapq.heappush(slots, start_ms + work_ms)
        daemon.sent(choice)
        heapq.heappush(
            self.events, (start_ms + work_ms, self.rng.random(), daemon, choice, now_ms)
        )

    def _finish(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, daemon, choice, sent_ms = heapq.heappop(self.events)
            busy = [end for end in self.free_at[choice.server.name] if end > at_ms]
            here = sum(e[3].server is choice.server for e in self.events)
            report = LoadReport(len(busy), max(0, here - len(busy)), 3)
            daemon.answered(choice, at_ms - sent_ms, report, at_ms)
            self.taken_ms.append(at_ms - sent_ms)


class ConnectionsTest(unittest.TestCase):
    """What daemons that agree on nothing may open at one server."""

    def test_the_firm_shares_never_exceed_what_a_server_takes(self):
        for limit, n_daemons in ((51, 8), (110, 9), (130, 91), (470, 69)):
            share = connection_share(limit, n_daemons)
            self.assertLessEqual(share * n_daemons, limit)
            self.assertTrue(may_connect(limit, n_daemons, share - 1, None))
            self.assertFalse(may_connect(limit, n_daemons, share, None))

    def test_a_daemon_borrows_while_the_server_has_room(self):
        """One key is hot at 91 daemons, each of which has one connection for sure.

        Every second request of a daemon was refused, with four slots and 100 unused
        connections at the server.
        """
        self.assertTrue(may_connect(130, 91, 1, 6))
        self.assertFalse(may_connect(130, 91, 1, 30))
        self.assertFalse(may_connect(51, 8, 4, 9))


class BalancingTest(unittest.TestCase):
    """Nine daemons and twelve servers, as claims run on."""

    def play(self, speeds=None, n_daemons=9):
        """Return a play with servers in two failure domains."""
        servers = [server(i, "ab"[i % 2]) for i in range(12)]
        return Play(n_daemons, servers, speeds or [1.0] * 12)

    def test_an_ordinary_day(self):
        self.assertGreater(self.play().run(60.0, 60), 0.99)

    def test_servers_of_different_speed(self):
        """Quick servers get more: the slow ones' queues would miss the target."""
        speeds = [0.5, 1.0, 1.0, 1.5] * 3
        self.assertGreater(self.play(speeds).run(90.0, 60), 0.93)

    def test_one_slow_server_is_passed_over(self):
        speeds = [1.0] * 11 + [8.0]
        self.assertGreater(self.play(speeds).run(60.0, 60), 0.95)

    def test_saturation_refuses_at_once_and_answers_the_rest_in_time(self):
        """Twice what the servers can take: those admitted are still answered."""
        play = self.play()
        play.run(360.0, 30)
        in_time = sum(took <= TARGET_MS for took in play.taken_ms)
        self.assertGreater(in_time / len(play.taken_ms), 0.6)
        self.assertGreater(len(play.taken_ms), 0.8 * 180 * 30)
        self.assertTrue(all(0 < r.retry_after_s <= 5.0 for r in play.refused))

    def test_a_burst_passes(self):
        play = self.play()
        self.assertGreater(play.run(150.0, 3), 0.9)

    def test_urgent_requests_are_refused_less(self):
        """Claims and lookups press together: lookups are refused first."""
        play, refused, asked = self.play(), {True: 0, False: 0}, {True: 0, False: 0}
        kinds = random.Random(5)

        def wanted():
            urgent = kinds.random() < 0.4
            asked[urgent] += 1
            before = len(play.refused)
            pending.append((urgent, before))
            return Wanted("r", LIMIT_MS, TARGET_MS, urgent)

        pending = []
        play.run(320.0, 30, wanted)
        marks = [before for _, before in pending] + [len(play.refused)]
        for (urgent, before), after in zip(pending, marks[1:], strict=True):
            refused[urgent] += after - before
        self.assertLess(refused[True] / asked[True], refused[False] / asked[False])

    def test_a_server_that_joins_is_asked_although_another_is_quick(self):
        """Servers join on a calm day, and nobody asks them for as long as it is calm.

        A quick one is free each time; the new ones, of which nothing is known, are
        taken to be of usual speed. Only one of the own failure domain is tried.
        """
        loads, wanted = Loads("a", random.Random(1)), Wanted("r", LIMIT_MS, TARGET_MS)
        quick, slow, now_ms = server(0), server(1), 0.0
        for _ in range(300):
            now_ms += 10.0
            for item, took_ms in ((quick, 50.0), (slow, 150.0)):
                chosen = Chosen(item, "r", took_ms)
                loads.sent(chosen)
                loads.answered(chosen, took_ms, None, now_ms)
        away, home = server(2, "b"), server(3)
        for joined, expected in (([away], quick), ([away, home], home)):
            choice = loads.choose([quick, slow, *joined], wanted, now_ms)
            self.assertIs(choice.server, expected)
        loads.sent(Chosen(home, "r", 0.0))
        choice = loads.choose([quick, slow, away, home], wanted, now_ms)
        self.assertIs(choice.server, quick)

    def test_work_stays_in_its_failure_domain_while_there_is_room(self):
        """Bytes between failure domains are paid for."""
        loads = Loads("a", random.Random(1))
        servers = [server(0, "a"), server(1, "b")]
        for _ in range(2):
            choice = loads.choose(servers, Wanted("r", LIMIT_MS, TARGET_MS), 0.0)
            self.assertEqual(choice.server.name, "s0")
            loads.sent(Chosen(servers[0], "r", 0.0))
        for _ in range(4):
            loads.sent(Chosen(servers[0], "r", 0.0))
        choice = loads.choose(servers, Wanted("r", LIMIT_MS, TARGET_MS), 0.0)
        self.assertEqual(choice.server.name, "s1")

    def test_a_server_that_sheds_quickly_is_not_taken_for_a_quick_one(self):
        loads = Loads("a", random.Random(1))
        servers = [server(0), server(1)]
        for i in range(12):
            first = Chosen(server(0), "r", 0.0)
            loads.sent(first)
            loads.shed(first, LoadReport(0, 0, 3), i * 50.0)
        wanted = Wanted("r", LIMIT_MS, TARGET_MS)
        chosen = {loads.choose(servers, wanted, 700.0).server.name for _ in range(20)}
        self.assertEqual(chosen, {"s1"})

    def test_a_moment_of_slowness_refuses_nobody(self):
        """A neighbour makes an owner three times slower for some tenths of a second.

        Callers were refused although nobody waited there but two, and came back too
        late for their target. A queue that is too long at its usual speed is refused.
        """
        loads, item = Loads("a", random.Random(1)), server(0, slots=4)
        for at_ms in range(0, 30_000, 300):
            chosen = Chosen(item, "r", 90.0)
            loads.sent(chosen)
            slow = LoadReport(1, 0, 4, 3.0 if at_ms > 29_500 else 1.0)
            loads.answered(chosen, 90.0, slow, float(at_ms))
        for _ in range(5):
            loads.sent(Chosen(item, "r", 0.0))
        wanted = Wanted("r", 800.0, 300.0)
        self.assertIsInstance(loads.choose([item], wanted, 29_710.0), Chosen)
        for _ in range(12):
            loads.sent(Chosen(item, "r", 0.0))
        choice = loads.choose([item], wanted, 29_720.0)
        self.assertIsInstance(choice, Refused)

    def test_room_is_kept_only_for_urgent_requests_that_come(self):
        """A more urgent route to the service exists, but nobody uses it."""
        lookup = Wanted("lookup", 800.0, 300.0, urgent=False)
        claim = Wanted("claim", 800.0, 300.0, urgent=True)
        taken = []
        for kinds in ([lookup], [lookup, claim]):
            loads, item = Loads("a", random.Random(1)), server(0, slots=4)
            for i in range(200):
                chosen = Chosen(item, kinds[i % len(kinds)].route, 90.0)
                loads.choose([item], kinds[i % len(kinds)], 300.0 * i)
                loads.sent(chosen)
                loads.answered(chosen, 90.0, None, 300.0 * i)
            n = 0
            while isinstance(loads.choose([item], lookup, 60_000.0), Chosen):
                loads.sent(Chosen(item, "lookup", 0.0))
                n += 1
            taken.append(n)
            if kinds == [lookup, claim]:
                choice = loads.choose([item], claim, 60_000.0)
                self.assertIsInstance(choice, Chosen)
        self.assertGreater(taken[0], taken[1])

    def test_an_owner_that_others_have_filled_is_known_to_be_full(self):
        """Nine daemons ask a busy owner now and then; each sees only its own part."""
        loads = Loads("a", random.Random(1))
        wanted = Wanted("r", LIMIT_MS, 300.0)
        self.assertNotIsInstance(loads.choose([server(0)], wanted, 0.0), Refused)
        loads.take_told({"s0": 9}, 0.0)
        self.assertIsInstance(loads.choose([server(0)], wanted, 10.0), Refused)
        # What was told is old by then.
        choice = loads.choose([server(0)], wanted, 5000.0)
        self.assertNotIsInstance(choice, Refused)
