"""Checks of the paths to the servers, with scripted servers."""

import types
import unittest

import gevent
from returns.result import Failure, Success

from tarragonramp.balancing import ServerSelector
from tarragonramp.clock import Clock
from tarragonramp.directory import BackendServer
from tarragonramp.errors import NotSentError, UnansweredError
from tarragonramp.fleet_view import FleetView
from tarragonramp.roles.path_prober import (
    HEALTH_TIMEOUT_MS,
    MAX_CHECK_MS,
    RECHECK_MS,
    PathProber,
)
from tarragonramp.server_paths import PathMonitor

SERVERS = [f"s{i}" for i in range(8)]


class PathProberTest(unittest.TestCase):
    """Eight servers of two services in two failure domains."""

    def setUp(self):
        self.clock = Clock()
        self.view = FleetView(self.clock)
        for i, name in enumerate(SERVERS):
            server = BackendServer(
                name, 1, "desk" if i < 4 else "parts", f"{name}:80", "ab"[i % 2], 3
            )
            self.view.directory.upsert(server)
        self.lost, self.checked, self.delay_ms = set(), [], 0.0
        self.monitor = PathMonitor()
        pools = types.SimpleNamespace(at=self.pool_at)
        selector = self.selector = ServerSelector("a")
        self.error = NotSentError("timed out")
        self.prober = PathProber(self.monitor, self.view, pools, self.clock, selector)

    def pool_at(self, address):
        """Return a stand-in for the connections to a server."""
        name = address.partition(":")[0]

        def exchange(method, target, headers, body, timeout_ms, new_connection=False):
            self.assertTrue(new_connection)
            self.checked.append((name, method, target))
            gevent.sleep(self.delay_ms / 1000.0)
            lost = name in self.lost
            return Failure(self.error) if lost else Success(None)

        return types.SimpleNamespace(exchange=exchange)

    def test_daemon_is_cut_off_if_no_server_answers(self):
        self.lost = set(SERVERS)
        self.assertTrue(self.prober.confirm_cut_off())

    def test_answers_to_health_checks_are_heard(self):
        """Guards against announcements in answers that only count as reached."""
        heard = []
        self.prober.on_answer = lambda server, response: heard.append(server.name)
        self.prober._check()
        self.assertEqual(sorted(heard), sorted(name for name, *_ in self.checked))

    def test_daemon_is_cut_off_if_only_few_servers_answer(self):
        """Guards against a daemon that goes on alone with one server of many."""
        self.lost = set(SERVERS[1:])
        for _ in range(10):
            self.prober._check()
        self.assertTrue(self.monitor.is_cut_off)

    def test_a_failure_domain_cut_off_from_others_serves_what_it_can(self):
        """Guards against VMs that give up the servers of their own failure domain."""
        for i in range(30):
            name = f"far{i}"
            server = BackendServer(name, 1, "desk", f"{name}:80", f"c{i % 3}", 3)
            self.view.directory.upsert(server)
            self.lost.add(name)
        self.lost |= set(SERVERS[1::2])
        for _ in range(10):
            self.prober._check()
            self.assertFalse(self.monitor.is_cut_off)

    def test_connections_that_stay_unanswered_are_a_cut(self):
        self.lost, self.error = set(SERVERS), UnansweredError("reset by peer")
        self.assertTrue(self.prober.confirm_cut_off())

    def test_full_servers_that_reset_connections_are_no_cut(self):
        """Guards against VMs that take overloaded servers for unreachable ones."""
        self.lost, self.error = set(SERVERS), UnansweredError("reset by peer")
        self.selector.update_peer_in_flight(
            dict.fromkeys(SERVERS, 3), self.clock.now_ms()
        )
        self.assertFalse(self.prober.confirm_cut_off())
        self.error = NotSentError("connection refused")
        self.monitor.record_check(True, float("-inf"))
        self.assertTrue(self.prober.confirm_cut_off())

    def test_late_health_checks_beside_answered_requests_are_no_cut(self):
        """Guards against VMs that take a lack of processor time for lost paths."""
        self.lost, self.error = set(SERVERS), UnansweredError("timed out")
        self.delay_ms = HEALTH_TIMEOUT_MS
        task = gevent.spawn(self.prober.confirm_cut_off)
        gevent.sleep(0.2)
        for name in SERVERS[:2]:
            self.monitor.record_answer(name, self.clock.now_ms())
        self.assertFalse(task.get())

    def test_reset_connections_beside_answered_requests_are_a_cut(self):
        """Guards against VMs that live on old connections while new ones are reset."""
        self.lost, self.error = set(SERVERS), UnansweredError("reset by peer")
        self.delay_ms = 50.0
        task = gevent.spawn(self.prober.confirm_cut_off)
        gevent.sleep(0.02)
        for name in SERVERS[:2]:
            self.monitor.record_answer(name, self.clock.now_ms())
        self.assertTrue(task.get())

    def test_one_lost_service_or_failure_domain_is_no_cut(self):
        for lost in (SERVERS[:4], SERVERS[4:], SERVERS[::2], SERVERS[1::2]):
            self.lost = set(lost)
            for _ in range(5):
                self.prober._check()
                self.assertFalse(self.monitor.is_cut_off, lost)

    def test_check_of_healthy_servers_asks_two(self):
        """Guards against many health checks because of a single lost server."""
        self.assertFalse(self.prober.confirm_cut_off())
        self.assertEqual(len(self.checked), 2)
        self.assertEqual(self.checked[0][1:], ("GET", "/health"))
        self.assertFalse(self.prober.confirm_cut_off())
        self.assertEqual(len(self.checked), 2)

    def test_concurrent_suspicions_share_a_check(self):
        self.lost, self.delay_ms = set(SERVERS), 30.0
        tasks = [gevent.spawn(self.prober.confirm_cut_off) for _ in range(20)]
        gevent.joinall(tasks)
        self.assertEqual({task.value for task in tasks}, {True})
        self.assertEqual(len(self.checked), 6)

    def test_check_during_which_the_process_stood_still_does_not_count(self):
        """Guards against a thawed daemon that takes itself for cut off."""
        self.lost, self.delay_ms = set(SERVERS), MAX_CHECK_MS + 50.0
        self.assertFalse(self.prober.confirm_cut_off())

    def test_a_single_server_can_not_be_judged(self):
        for name in SERVERS[1:]:
            self.view.directory.remove_server(name)
        self.lost = set(SERVERS)
        self.assertFalse(self.prober.confirm_cut_off())

    def test_servers_that_get_no_work_are_not_checked(self):
        self.view.directory.set_taken_out({"a"}, lambda service: 0.0)
        for _ in range(10):
            self.prober._check()
        self.assertEqual({name for name, *_ in self.checked}, set(SERVERS[1::2]))

    def test_servers_with_limits_are_not_checked_while_there_are_others(self):
        """Guards against health checks that use up what a server in need takes."""
        now_ms = self.clock.now_ms()
        for name in SERVERS[:2]:
            server = self.view.directory.servers[name]
            self.prober.limits.record_answer(server, 2.8, now_ms, now_ms)
        self.lost = set(SERVERS)
        for _ in range(10):
            self.prober._check()
        self.assertEqual({name for name, *_ in self.checked}, set(SERVERS[2:]))

    def test_cut_is_found_by_silence_and_ends_by_a_check(self):
        task = gevent.spawn(self.prober.run)
        self.addCleanup(task.kill)
        gevent.sleep(0.3)
        self.assertEqual(self.checked, [])
        self.lost = set(SERVERS)
        self.monitor.record_sent(self.clock.now_ms())
        gevent.sleep(0.8)
        self.assertTrue(self.monitor.is_cut_off)
        self.lost = set()
        gevent.sleep(2.5 * RECHECK_MS / 1000.0)
        self.assertFalse(self.monitor.is_cut_off)

    def test_suspicion_starts_a_check_at_once(self):
        task = gevent.spawn(self.prober.run)
        self.addCleanup(task.kill)
        self.lost = set(SERVERS)
        gevent.sleep(0.0)
        self.prober.suspect()
        gevent.sleep(0.05)
        self.assertTrue(self.monitor.is_cut_off)


if __name__ == "__main__":
    unittest.main()
