"""Which servers an entry ejects, and the limit on their number."""

import random
import unittest

from tarragonramp.outliers import EJECTION_MS, OutlierDetector
from tarragonramp.routing import Route, less_loaded

ROUTES = tuple(Route(f"s{i}", "") for i in range(12))


def record_answers(detector, slow=(), rounds=10, now_ms=0.0):
    """Record responses of every server in turn; slow ones take ten times as long."""
    for i in range(rounds):
        for route in ROUTES:
            took_ms = 100.0 if route.server in slow else 8.0 + i % 5
            detector.note_answer(route.server, took_ms, now_ms)


def ejected(detector, now_ms):
    """Return the names of the servers that are ejected."""
    used = {route.server for route in detector.usable(ROUTES, now_ms)}
    return {route.server for route in ROUTES} - used


class OutlierDetectorTest(unittest.TestCase):
    """Twelve servers, as many as handle claims."""

    def test_ordinary_variation_ejects_no_server(self):
        detector = OutlierDetector()
        record_answers(detector, rounds=100)
        self.assertEqual(ejected(detector, 0.0), set())

    def test_two_of_twelve_slowed_tenfold(self):
        """Noisy neighbours slow two servers; each entry detects it by itself."""
        detector = OutlierDetector()
        record_answers(detector)
        record_answers(detector, slow={"s3", "s7"}, now_ms=100.0)
        self.assertEqual(ejected(detector, 101.0), {"s3", "s7"})
        self.assertEqual(ejected(detector, 101.0 + EJECTION_MS), set())

    def test_server_is_measured_anew_after_ejection(self):
        detector = OutlierDetector()
        record_answers(detector)
        record_answers(detector, slow={"s3"}, now_ms=100.0)
        record_answers(detector, now_ms=100.0 + EJECTION_MS)
        self.assertEqual(ejected(detector, 101.0 + EJECTION_MS), set())

    def test_common_slowdown_ejects_few_servers(self):
        detector = OutlierDetector()
        record_answers(detector)
        record_answers(detector, slow={route.server for route in ROUTES}, now_ms=100.0)
        self.assertLessEqual(len(ejected(detector, 101.0)), 4)

    def test_ejected_share_is_limited(self):
        """Eight of twelve fail at once; the other four could not handle the load."""
        detector = OutlierDetector()
        for i in range(8):
            detector.eject(f"s{i}", float(i))
        self.assertEqual(ejected(detector, 10.0), {"s4", "s5", "s6", "s7"})
        one = [Route("s1", "")]
        self.assertEqual(detector.usable(one, 10.0), one)

    def test_long_work_among_short(self):
        """At every server, one response in ten takes a hundred times as long."""
        detector, rng = OutlierDetector(), random.Random(3)
        n_ejected = 0
        for now_ms in range(2000):
            for route in detector.usable(ROUTES, now_ms):
                took_ms = 200.0 if rng.random() < 0.1 else 2.0
                detector.note_answer(route.server, took_ms, now_ms)
            n_ejected += len(ejected(detector, now_ms))
        self.assertLess(n_ejected / 2000, 2.0)


class LessLoadedTest(unittest.TestCase):
    """Selection of the less loaded of two random servers."""

    def test_uneven_load_is_evened_out(self):
        rng = random.Random(2)
        load = {route.server: 0 for route in ROUTES}
        load["s0"] = 50
        for _ in range(1200):
            route = less_loaded(ROUTES, lambda r: load[r.server], rng)
            load[route.server] += 1
        self.assertLess(max(load.values()) - min(load.values()), 10)

    def test_single_server_is_selected(self):
        self.assertEqual(less_loaded(ROUTES[:1], None, None), ROUTES[0])
