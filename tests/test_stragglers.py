"""Which servers an entry passes over, and that never too many are."""

import random
import unittest

from tarragonramp.routing import Route, less_loaded
from tarragonramp.stragglers import EJECTION_MS, Ejections

ROUTES = tuple(Route(f"s{i}", "") for i in range(12))


def send_answers(ejections, slow=(), rounds=10, now_ms=0.0):
    """Let every server answer in turn; slow ones take ten times as long."""
    for i in range(rounds):
        for route in ROUTES:
            took_ms = 100.0 if route.server in slow else 8.0 + i % 5
            ejections.note_answer(route.server, took_ms, now_ms)


def ejected(ejections, now_ms):
    """Return the names of servers that are not used."""
    used = {route.server for route in ejections.usable(ROUTES, now_ms)}
    return {route.server for route in ROUTES} - used


class EjectionsTest(unittest.TestCase):
    """Twelve servers, as many as claims run on."""

    def test_ordinary_scatter_ejects_nobody(self):
        ejections = Ejections()
        send_answers(ejections, rounds=100)
        self.assertEqual(ejected(ejections, 0.0), set())

    def test_two_of_twelve_slowed_tenfold(self):
        """Neighbours slow two servers for a moment; each entry sees it by itself."""
        ejections = Ejections()
        send_answers(ejections)
        send_answers(ejections, slow={"s3", "s7"}, now_ms=100.0)
        self.assertEqual(ejected(ejections, 101.0), {"s3", "s7"})
        self.assertEqual(ejected(ejections, 101.0 + EJECTION_MS), set())

    def test_a_server_that_comes_back_is_judged_anew(self):
        ejections = Ejections()
        send_answers(ejections)
        send_answers(ejections, slow={"s3"}, now_ms=100.0)
        send_answers(ejections, now_ms=100.0 + EJECTION_MS)
        self.assertEqual(ejected(ejections, 101.0 + EJECTION_MS), set())

    def test_all_slow_together_are_all_used(self):
        ejections = Ejections()
        send_answers(ejections)
        send_answers(ejections, slow={route.server for route in ROUTES}, now_ms=100.0)
        self.assertLessEqual(len(ejected(ejections, 101.0)), 4)

    def test_never_more_than_a_share(self):
        """Eight of twelve fail at once: the four left could not bear everything."""
        ejections = Ejections()
        for i in range(8):
            ejections.eject(f"s{i}", float(i))
        self.assertEqual(ejected(ejections, 10.0), {"s4", "s5", "s6", "s7"})
        one = [Route("s1", "")]
        self.assertEqual(ejections.usable(one, 10.0), one)

    def test_long_work_among_short(self):
        """One answer in ten takes a hundred times as long, at every server alike."""
        ejections, rng = Ejections(), random.Random(3)
        n_ejected = 0
        for now_ms in range(2000):
            for route in ejections.usable(ROUTES, now_ms):
                took_ms = 200.0 if rng.random() < 0.1 else 2.0
                ejections.note_answer(route.server, took_ms, now_ms)
            n_ejected += len(ejected(ejections, now_ms))
        self.assertLess(n_ejected / 2000, 2.0)


class LessLoadedTest(unittest.TestCase):
    """Placing by two draws."""

    def test_uneven_load_evens_out(self):
        rng = random.Random(2)
        load = {route.server: 0 for route in ROUTES}
        load["s0"] = 50
        for _ in range(1200):
            route = less_loaded(ROUTES, lambda r: load[r.server], rng)
            load[route.server] += 1
        self.assertLess(max(load.values()) - min(load.values()), 10)

    def test_a_single_server_is_taken(self):
        self.assertEqual(less_loaded(ROUTES[:1], None, None), ROUTES[0])
