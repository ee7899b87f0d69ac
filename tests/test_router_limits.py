"""How the router treats servers that name a limit, with scripted exchanges."""

from unittest import mock

import attrs

from tarragonramp.balancing import Selection
from tarragonramp.meters import NOT_RUN

from .test_router import (
    LIMITED,
    LIMITED_SHED,
    MALFORMED_LIMIT,
    MISDIRECTED,
    OK,
    UNMARKED,
    RouterTestCase,
)


class ServerLimitTest(RouterTestCase):
    """Servers name limits; the daemons d1, which is this one, and d2 are known."""

    def setUp(self):
        super().setUp()
        self.limits = self.router.limits
        self.view.daemons = {"d1": "d1:1", "d2": "d2:1"}

    def limit(self, *servers, sender="d1", heard_ms_ago=0.0):
        """Have servers name a limit of one request in two seconds."""
        now_ms = self.clock.now_ms() - heard_ms_ago
        for name in servers:
            server = self.view.directory.servers[name]
            self.limits.record_answer(server, 0.5, now_ms, now_ms)
        self.limits.assign_senders([sender])
        for name in servers:
            self.scripted[name] = [LIMITED]

    def test_other_servers_are_sent_what_a_limited_one_does_not_take(self):
        self.limit("s1")
        for _ in range(60):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertLessEqual(self.sent.count("s1"), 2)

    def test_limit_ends_although_other_servers_are_preferred(self):
        """Guards against a limit that outlasts its server's need for it."""
        self.router.selector.failure_domain = "b"
        for name in ("s2", "s3"):
            server = self.view.directory.servers[name]
            self.view.directory.upsert(attrs.evolve(server, failure_domain="b"))
        self.limit("s1")
        for _ in range(30):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertNotIn("s1", self.sent)
        self.limit("s1", heard_ms_ago=2000.0)
        self.scripted["s1"] = [OK]
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertIsNone(self.limits.limit_of(self.view.directory.servers["s1"]))

    def test_limited_server_with_a_queue_is_not_preferred(self):
        """Guards against callers who wait for a server that others would spare them."""
        self.limit("s1", heard_ms_ago=2000.0)
        choice = Selection(self.view.directory.servers["s1"], "r", 100.0, 0.0)
        for _ in range(4):
            self.router.selector.record_sent(choice)
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertNotIn("s1", self.sent)

    def test_limited_server_that_hardly_answers_is_not_preferred(self):
        """Guards against requests lost to a server only to ask for its limit."""
        self.limit("s1", heard_ms_ago=2000.0)
        choice = Selection(self.view.directory.servers["s1"], "r", 100.0, 0.0)
        for _ in range(20):
            self.router.selector.record_sent(choice)
            self.router.selector.record_failure(choice, self.clock.now_ms())
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertNotIn("s1", self.sent)

    def test_retry_goes_to_the_best_server(self):
        """Guards against a request that is lost to one limited server after another."""
        self.router.selector.failure_domain = "b"
        server = self.view.directory.servers["s3"]
        self.view.directory.upsert(attrs.evolve(server, failure_domain="b"))
        self.limit("s1", "s2", heard_ms_ago=2000.0)
        self.scripted["s1"] = self.scripted["s2"] = [LIMITED_SHED]
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertEqual((len(self.sent), self.sent[-1]), (2, "s3"))

    def test_server_that_another_daemon_sends_to_is_left_to_it(self):
        self.limit("s1", sender="d2")
        for _ in range(30):
            self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertEqual((self.sent.count("s1"), self.delegated), (0, []))

    def test_request_is_handed_to_the_sender_of_its_limited_server(self):
        self.delegated_response = OK.unwrap()
        self.limit("s1", "s2", "s3", "p1", sender="d2")
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)
        self.assertEqual((self.delegated, self.sent), ([("d2", False)] * 2, []))

    def test_request_is_refused_at_once_if_no_sender_is_reached(self):
        self.limit("p1", sender="d2")
        with mock.patch("tarragonramp.roles.refusals.log_event") as log:
            status, headers = self.send_request("/keyed/", 7)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)
        self.assertEqual(log.call_args.kwargs["rule"], "server limit")

    def test_limit_that_ends_while_no_sender_is_reached_holds_nothing_back(self):
        """Guards against an error for a limit that is no longer known."""
        self.limit("p1", sender="d2")
        server = self.view.directory.servers["p1"]

        def end_limit(peer, request):
            sent_ms = self.clock.now_ms() + 1.0
            self.limits.record_answer(server, None, sent_ms, sent_ms)

        self.router.delegator.serve_by = end_limit
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)

    def test_requests_beyond_the_limit_are_refused_at_once(self):
        self.limit("p1")
        statuses = [self.send_request("/keyed/", 7)[0] for _ in range(20)]
        self.assertEqual(statuses, [200] * 2 + [503] * 18)
        self.assertEqual(len(self.sent), 2)

    def test_sender_hands_nothing_on(self):
        """Guards against requests that go in circles among daemons."""
        self.limit("p1", sender="d2")
        error = self.serve_delegated("/keyed/", 7, service="parts")
        self.assertEqual((error.status, error.outcome), (503, NOT_RUN))
        self.assertEqual((self.sent, self.delegated), ([], []))

    def test_refused_requests_count_as_load_of_a_limited_owner(self):
        """Guards against an owner in need that looks idle and keeps its keys."""
        self.limit("p1")
        for _ in range(20):
            self.send_request("/keyed/", 7)
        load = self.view.key_load_recorder.drain(self.view.tables)["parts"]
        self.assertEqual(load[7][0], 20)

    def test_limit_is_read_from_answers_and_ends_with_them(self):
        self.scripted["p1"] = [LIMITED]
        self.send_request("/keyed/", 7)
        server = self.view.directory.servers["p1"]
        self.assertEqual(self.limits.limit_of(server).per_s, 0.5)
        self.limits.assign_senders(["d1"])
        self.scripted["p1"] = [OK]
        self.send_request("/keyed/", 7)
        self.assertIsNone(self.limits.limit_of(server))

    def test_malformed_limit_is_logged_once_and_changes_nothing(self):
        """Guards against a limit that a value without a meaning ends."""
        self.limit("p1")
        self.scripted["p1"] = [MALFORMED_LIMIT]
        with mock.patch("tarragonramp.roles.announcements.log_event") as log:
            for _ in range(2):
                self.send_request("/keyed/", 7)
        self.assertIsNotNone(self.limits.limit_of(self.view.directory.servers["p1"]))
        events = [call.args[0] for call in log.call_args_list]
        self.assertEqual(events.count("limit-not-understood"), 1)

    def test_misdirected_answer_of_unknown_origin_ends_no_limit(self):
        self.limit("p1")
        self.scripted["p1"] = [MISDIRECTED]
        self.send_request("/keyed/", 7)
        self.assertIsNotNone(self.limits.limit_of(self.view.directory.servers["p1"]))

    def test_answer_without_the_servers_mark_ends_no_limit(self):
        self.limit("p1")
        self.scripted["p1"] = [UNMARKED]
        self.send_request("/keyed/", 7)
        self.assertIsNotNone(self.limits.limit_of(self.view.directory.servers["p1"]))

    def test_each_send_of_a_request_counts(self):
        """Guards against retries beyond the limit."""
        self.limit("p1")
        self.scripted["p1"] = [LIMITED_SHED]
        self.send_request("/keyed/", 7)
        self.send_request("/keyed/", 7)
        self.assertEqual(len(self.sent), 2)
