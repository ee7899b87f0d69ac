"""How the router treats servers in their pauses, with scripted answers."""

import types

import attrs
import gevent
from returns.result import Success

from tarragonramp.adapters.http import Response
from tarragonramp.backoffs import RETURN_SPREAD

from .test_router import (
    LEAVING,
    LIMITED,
    OK,
    PAUSED,
    SERVER_ERROR,
    SHED,
    UNANSWERED,
    RouterTestCase,
)

DESKS = ("s1", "s2", "s3")
PAUSE_MS = 60_000.0


class PauseTest(RouterTestCase):
    """Servers turn a request away and ask for a pause of a minute."""

    def setUp(self):
        super().setUp()
        self.backoffs = self.router.announcements.backoffs

    def pause(self, *servers, for_ms=PAUSE_MS):
        """Have this daemon know of pauses of servers."""
        for name in servers:
            server = self.view.directory.servers[name]
            self.backoffs.record(server, for_ms, "r0", self.clock.now_ms())

    def n_retries_left(self):
        budget = self.router._budget("desk")
        return sum(budget.spend() for _ in range(100))

    def test_paused_server_is_not_used(self):
        self.scripted["s1"] = [PAUSED]
        for _ in range(60):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertEqual(self.sent.count("s1"), 1)

    def test_request_that_was_turned_away_is_served_by_another(self):
        for name in DESKS[:2]:
            self.scripted[name] = [PAUSED]
        self.pause("s3", for_ms=0.0)
        self.assertEqual(self.send_request("/once/")[0], 200)

    def test_all_paused_is_refused_unsent(self):
        """Guards against a fallback to any server when none fits."""
        self.pause(*DESKS)
        for path in ("/safe/", "/once/"):
            status, headers = self.send_request(path)
            self.assertEqual((status, self.sent), (503, []))
            # A third of the caller's time of one second, though the pause is longer.
            self.assertAlmostEqual(float(headers["Retry-After"]), 0.31, delta=0.02)

    def test_retry_after_follows_from_the_first_end_of_a_pause(self):
        self.pause("s1", "s2")
        self.pause("s3", for_ms=100.0)
        times_s = [
            float(self.send_request("/safe/")[1]["Retry-After"]) for _ in "12345"
        ]
        self.assertGreater(min(times_s), 0.05)
        self.assertLessEqual(max(times_s), 0.1 * (1.0 + RETURN_SPREAD))
        self.assertEqual(len(set(times_s)), 5)

    def test_paused_owner_is_sent_nothing(self):
        """Guards against a retry to an owner that has just asked for a pause."""
        self.scripted["p1"] = [PAUSED]
        for _ in range(3):
            self.assertEqual(self.send_request("/keyed/", 7)[0], 503)
        self.assertEqual(self.sent, ["p1"])

    def test_request_that_an_owner_turns_away_counts_once_as_its_load(self):
        """Guards against keys that leave an owner as it looks twice as busy."""
        noted = []
        self.view.key_load_recorder = types.SimpleNamespace(
            note=lambda service, key, took_ms: noted.append(round(took_ms))
        )
        self.scripted["p1"] = [PAUSED]
        self.send_request("/keyed/", 7)
        work_ms = round(self.router.selector.work_ms("/keyed/"))
        self.assertEqual(noted.count(work_ms), 1)

    def test_owner_is_used_again_after_its_pause(self):
        self.pause("p1", for_ms=1.0)
        gevent.sleep(0.005)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)

    def test_new_owner_of_keys_is_used_in_the_pause_of_the_last_one(self):
        self.pause("p1")
        self.assign_all("p2", token=3)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)
        self.assertEqual(self.sent, ["p2"])

    def test_refusals_cost_no_retries(self):
        """Guards against a common budget that is spent on servers in their pauses."""
        self.pause(*DESKS)
        left_before = self.n_retries_left()
        self.setUp()
        self.pause(*DESKS)
        for _ in range(20):
            self.send_request("/safe/")
        self.assertGreaterEqual(self.n_retries_left(), left_before)

    def test_last_server_that_asks_for_a_pause_costs_no_retry(self):
        self.pause("s2", "s3")
        self.scripted["s1"] = [PAUSED]
        left_before = self.n_retries_left()
        self.setUp()
        self.pause("s2", "s3")
        self.scripted["s1"] = [PAUSED]
        self.assertEqual(self.send_request("/safe/")[0], 503)
        self.assertEqual(self.n_retries_left(), left_before)

    def test_pause_that_begins_while_a_connection_is_opened_holds(self):
        """Guards against requests that were chosen for a server before it asked."""
        for name in DESKS[:2]:
            self.while_connecting[name] = lambda name=name: self.pause(name)
        self.assertEqual(self.send_request("/once/")[0], 200)
        self.assertEqual(self.sent, ["s3"])

    def test_pause_while_the_owners_connection_is_opened_is_a_refusal(self):
        self.while_connecting["p1"] = lambda: self.pause("p1")
        status, headers = self.send_request("/keyed/", 7)
        self.assertEqual((status, self.sent), (503, []))
        self.assertIn("Retry-After", headers)

    def test_request_whose_send_was_revoked_leaves_no_load_behind(self):
        """Guards against a server that looks busy or failing as nothing was sent."""
        self.while_connecting["p1"] = lambda: self.pause("p1", for_ms=1.0)
        self.send_request("/keyed/", 7)
        stats = self.router.selector._stats_of("p1")
        self.assertEqual((stats.in_flight, stats.failures), (0, 0.0))

    def test_retry_after_a_lost_answer_passes_over_paused_servers(self):
        self.scripted["s1"] = self.scripted["s2"] = [UNANSWERED]
        self.pause("s3")
        self.assertEqual(self.send_request("/safe/")[0], 502)
        self.assertNotIn("s3", self.sent)

    def test_cold_server_is_used_within_its_limit_while_warm_ones_pause(self):
        self.pause("s1", "s2")
        self.view.directory.mark_cold("s3", 60_000.0)
        statuses = [self.send_request("/safe/")[0] for _ in range(60)]
        self.assertEqual(set(self.sent) - {"s3"}, set())
        self.assertIn(503, statuses)

    def test_limited_server_is_not_asked_for_its_limit_in_its_pause(self):
        """Guards against checks and hand-overs that pass a pause by."""
        now_ms = self.clock.now_ms() - 5000.0
        server = self.view.directory.servers["s1"]
        self.router.limits.record_answer(server, 50.0, now_ms, now_ms)
        self.pause("s1")
        for _ in range(30):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertNotIn("s1", self.sent)
        self.assertEqual(self.delegated, [])

    def test_restarted_server_has_asked_for_nothing(self):
        self.pause("p1")
        server = self.view.directory.servers["p1"]
        self.view.directory.upsert(attrs.evolve(server, life=2))
        item = self.view.tables["parts"].find(7)
        table = self.view.tables["parts"].with_ranges([attrs.evolve(item, life=2)])
        self.view.update_table(table, 9)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)

    def test_entry_that_is_missing_for_a_moment_ends_no_pause(self):
        """Guards against a pause that is forgotten with the entry of its server."""
        self.pause("s1")
        server = self.view.directory.servers["s1"]
        self.view.directory.remove_server("s1")
        self.router.forget_servers()
        self.view.directory.upsert(server)
        for _ in range(30):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertNotIn("s1", self.sent)

    def test_answer_with_an_error_counts_as_a_failure_of_its_server(self):
        """Guards against a server that fails early and looks like the fastest one."""
        self.scripted["p1"] = [SERVER_ERROR]
        self.send_request("/keyed/", 7)
        now_ms = self.clock.now_ms()
        self.assertGreater(self.router.selector._stats_of("p1").failure_rate(now_ms), 0)

    def test_rejection_without_a_pause_is_retried_as_before(self):
        self.scripted["all"] = [SHED, OK]
        self.assertEqual(self.send_request("/safe/")[0], 200)

    def test_pause_named_with_a_success_is_none(self):
        answer = Response(200, (("Mark", "1"), ("Limit", "")), b"whole")
        self.scripted["all"] = [Success(answer), LIMITED]
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertFalse(self.backoffs.are_known)

    def test_paused_servers_are_not_probed(self):
        """Guards against health checks that a server counts as requests."""
        self.pause(*DESKS, "p1")
        targets = self.path_prober._pick_targets()
        self.assertEqual([server.name for server in targets], ["p2"])


class LeavingTest(RouterTestCase):
    """Servers say in an answer that they leave; their entries stay ready."""

    def test_shared_server_that_leaves_is_not_used(self):
        self.scripted["s1"] = [LEAVING]
        for _ in range(60):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertLessEqual(self.sent.count("s1"), 1)

    def test_service_all_of_whose_servers_leave_is_refused_unsent(self):
        """Guards against a fallback to servers that leave."""
        for name in DESKS:
            self.scripted[name] = [LEAVING]
        for _ in range(3):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertEqual(self.send_request("/safe/")[0], 503)
        self.assertEqual(sorted(self.sent), list(DESKS))

    def test_owner_that_leaves_gets_requests_only_while_its_keys_may_move(self):
        self.scripted["p1"] = [LEAVING]
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)
        self.view.directory.key_move_ms = 0.0
        self.assertEqual(self.send_request("/keyed/", 7)[0], 503)
        self.assertEqual(self.sent, ["p1", "p1"])

    def test_server_that_leaves_while_a_connection_is_opened_is_not_used(self):
        """Guards against requests that waited for a connection to such a server."""
        for name in DESKS[:2]:
            leave = lambda name=name: self.view.directory.mark_leaving(name, 1)
            self.while_connecting[name] = leave
        self.assertEqual(self.send_request("/once/")[0], 200)
        self.assertEqual(self.sent, ["s3"])
