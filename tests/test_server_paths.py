"""Tests of how a daemon judges its paths to the servers."""

import collections
import random
import unittest

from tarragonramp.directory import BackendServer
from tarragonramp.errors import NotSentError, UnansweredError
from tarragonramp.server_paths import (
    CHECK_VALID_MS,
    HEARD_WINDOW_MS,
    SILENCE_MS,
    PathMonitor,
    pick_probe_targets,
    reaches_servers,
)


class PathMonitorTest(unittest.TestCase):
    """Answers, failures and checks of one daemon."""

    def setUp(self):
        self.monitor = PathMonitor()

    def test_servers_that_answered_recently_are_heard(self):
        self.assertEqual(self.monitor.heard_ms_ago(5.0), float("inf"))
        self.monitor.record_answer("s1", 0.0)
        self.monitor.record_answer("s2", 1000.0)
        self.assertEqual(self.monitor.n_heard(HEARD_WINDOW_MS), 2)
        self.assertEqual(self.monitor.n_heard(HEARD_WINDOW_MS + 1.0), 1)
        self.assertEqual(self.monitor.heard_ms_ago(1500.0), 500.0)

    def test_failures_are_counted_by_cause(self):
        for error in (
            NotSentError("a:1: [Errno 111] Connection refused"),
            UnansweredError("a:1: [Errno 104] Connection reset by peer"),
            NotSentError("a:1: timed out"),
            UnansweredError("a:1: timed out"),
        ):
            self.monitor.record_failure(error)
        causes = ("refused", "reset", "no connection", "no answer")
        self.assertEqual(self.monitor.failures, dict.fromkeys(causes, 1))

    def test_removed_servers_are_forgotten(self):
        self.monitor.record_answer("s1", 0.0)
        self.monitor.record_answer("s2", 0.0)
        self.monitor.retain({"s2"})
        self.assertEqual(self.monitor.n_heard(0.0), 1)

    def test_only_requests_that_wait_make_silence(self):
        """Guards against checks by a daemon that nobody calls."""
        self.monitor.record_answer("s1", 0.0)
        self.assertFalse(self.monitor.is_silent(60_000.0))
        self.monitor.record_sent(60_000.0)
        self.assertFalse(self.monitor.is_silent(60_000.0 + SILENCE_MS - 1.0))
        self.assertTrue(self.monitor.is_silent(60_000.0 + SILENCE_MS))
        self.monitor.record_end()
        self.assertFalse(self.monitor.is_silent(60_000.0 + SILENCE_MS))

    def test_an_answer_of_any_server_ends_silence(self):
        """Guards against checks because of one slow server."""
        self.monitor.record_sent(0.0)
        for at_ms in range(0, 5000, 300):
            self.monitor.record_answer("s2", float(at_ms))
            self.assertFalse(self.monitor.is_silent(at_ms + 300.0))

    def test_a_good_check_answers_suspicions_for_a_while(self):
        """Guards against a check for each request to a server that is gone."""
        self.assertFalse(self.monitor.has_valid_check(0.0))
        self.monitor.record_check(True, 0.0)
        self.assertTrue(self.monitor.has_valid_check(CHECK_VALID_MS - 1.0))
        self.assertFalse(self.monitor.has_valid_check(CHECK_VALID_MS))

    def test_a_daemon_is_cut_off_from_the_first_bad_check_to_a_good_one(self):
        self.monitor.record_check(False, 10.0)
        self.monitor.record_check(False, 500.0)
        self.assertEqual(self.monitor.cut_off_since_ms, 10.0)
        self.monitor.record_check(True, 900.0)
        self.assertFalse(self.monitor.is_cut_off)


class CheckTest(unittest.TestCase):
    """Which servers are checked, and how many must answer."""

    def servers(self, n_services, n_domains, n_each):
        """Return servers of each service in each failure domain."""
        return [
            BackendServer(f"s{s}-{d}-{i}", 1, f"s{s}", "a:1", f"d{d}", 3)
            for s in range(n_services)
            for d in range(n_domains)
            for i in range(n_each)
        ]

    def test_targets_are_spread_over_services_and_failure_domains(self):
        """Guards against a lost failure domain or service that looks like a cut."""
        for seed in range(20):
            rng = random.Random(seed)
            targets = pick_probe_targets(self.servers(2, 4, 5), 6, "d0", rng)
            domains = collections.Counter(s.failure_domain for s in targets)
            services = collections.Counter(s.service for s in targets)
            self.assertEqual(len(set(targets)), 6)
            self.assertEqual(domains["d0"], 2)
            self.assertNotEqual(targets[0].failure_domain, targets[1].failure_domain)
            self.assertLessEqual(max(domains.values()), 2, seed)
            self.assertEqual(set(services.values()), {3}, seed)

    def test_loss_of_most_but_not_of_nearly_all_servers_is_no_cut(self):
        rng = random.Random(1)
        for n_lost_domains, n_cut_off in ((1, 0), (2, 0), (4, 20)):
            lost = {f"d{d}" for d in range(n_lost_domains)}
            found = 0
            for _ in range(20):
                targets = pick_probe_targets(self.servers(2, 4, 5), 6, "d0", rng)
                answered = {s.name for s in targets if s.failure_domain not in lost}
                found += not reaches_servers(targets, answered, "d0", False)
            self.assertEqual(found, n_cut_off, n_lost_domains)

    def test_more_servers_must_answer_to_end_a_cut(self):
        """Guards against a daemon that returns for the few servers it reaches."""
        targets = self.servers(2, 3, 1)
        two = {s.name for s in targets[1:3]}
        three = {s.name for s in targets[1:4]}
        self.assertTrue(reaches_servers(targets, two, "x", False))
        self.assertFalse(reaches_servers(targets, two, "x", True))
        self.assertTrue(reaches_servers(targets, three, "x", True))
        self.assertFalse(reaches_servers(targets, {"s0-0-0"}, "x", False))

    def test_all_servers_of_the_own_failure_domain_are_enough(self):
        """Guards against a failure domain that is cut off and gives up its servers."""
        targets = self.servers(2, 6, 1)
        own = {s.name for s in targets if s.failure_domain == "d0"}
        self.assertTrue(reaches_servers(targets, own, "d0", True))
        self.assertFalse(reaches_servers(targets, own, "d1", False))

    def test_there_may_be_fewer_servers_than_targets(self):
        self.assertEqual(pick_probe_targets([], 6, "d0", random.Random(1)), [])
        two = self.servers(1, 1, 2)
        self.assertEqual(len(pick_probe_targets(two, 6, "d0", random.Random(1))), 2)


if __name__ == "__main__":
    unittest.main()
