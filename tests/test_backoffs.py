"""Pauses that servers ask for, and what is recorded and logged of announcements."""

import unittest
from unittest import mock

import attrs

from tarragonramp import ManualClock
from tarragonramp.backoffs import MAX_BACKOFF_MS, ServerBackoffs
from tarragonramp.dialect import ResponseFacts
from tarragonramp.directory import BackendServer, Directory
from tarragonramp.roles.announcements import MAX_UNKNOWN_HEADERS, Announcements

SERVER = BackendServer("s1", 1, "desk", "s1:80", "a", 4)
RESTARTED = attrs.evolve(SERVER, life=2)


class ServerBackoffsTest(unittest.TestCase):
    """One server that asks for pauses."""

    def setUp(self):
        self.backoffs = ServerBackoffs()

    def record(self, for_ms, at_ms, server=SERVER):
        return self.backoffs.record(server, for_ms, "r1", at_ms)

    def is_paused(self, at_ms, server=SERVER):
        return self.backoffs.find(server, at_ms) is not None

    def test_pause_ends_after_its_time(self):
        self.assertTrue(self.record(3000.0, 100.0))
        self.assertTrue(self.is_paused(3099.0))
        self.assertFalse(self.is_paused(3100.0))
        self.assertEqual(self.backoffs.n_active(3099.0), 1)

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against an answer of an earlier request that arrives later."""
        self.record(3000.0, 0.0)
        self.assertFalse(self.record(500.0, 1000.0))
        self.assertTrue(self.is_paused(2999.0))

    def test_later_pause_extends_an_earlier_one(self):
        self.record(1000.0, 0.0)
        self.record(1000.0, 900.0)
        self.assertTrue(self.is_paused(1899.0))
        self.assertEqual(self.backoffs.n_begun, 1)

    def test_later_life_has_asked_for_nothing(self):
        self.record(3000.0, 0.0)
        self.assertFalse(self.is_paused(10.0, RESTARTED))

    def test_a_life_whose_entry_comes_later_has_asked(self):
        """Guards against requests to a restarted server that has asked for none."""
        started = attrs.evolve(SERVER, life=5_000)
        self.backoffs.record(SERVER, 3000.0, "r1", 0.0, unix_ms=5_200.0)
        self.assertTrue(self.is_paused(10.0, started))
        self.assertFalse(self.is_paused(10.0, attrs.evolve(SERVER, life=5_300)))
        self.assertTrue(self.is_paused(10.0))

    def test_answer_of_an_earlier_life_ends_no_pause(self):
        """Guards against a late answer that replaces what a restarted server asked."""
        self.record(3000.0, 0.0, RESTARTED)
        self.assertFalse(self.record(100.0, 50.0))
        self.assertTrue(self.is_paused(2000.0, RESTARTED))

    def test_empty_pause_is_none(self):
        self.assertFalse(self.record(0.0, 100.0))
        self.assertFalse(self.backoffs.are_known)

    def test_length_is_bounded(self):
        self.record(1e300, 0.0)
        self.assertFalse(self.is_paused(MAX_BACKOFF_MS))

    def test_ended_pauses_are_taken_once(self):
        self.record(1000.0, 0.0)
        self.assertEqual(self.backoffs.take_ended(999.0), [])
        [(name, found)] = self.backoffs.take_ended(1000.0)
        self.assertEqual((name, found.request_id), ("s1", "r1"))
        self.assertEqual(self.backoffs.take_ended(1000.0), [])


class AnnouncementsTest(unittest.TestCase):
    """Answers of one server, and the lines that are logged."""

    def setUp(self):
        self.announcements = Announcements(Directory(ManualClock()))
        patcher = mock.patch("tarragonramp.roles.announcements.log_event")
        self.log = patcher.start()
        self.addCleanup(patcher.stop)

    def answer(self, at_ms=0.0, server=SERVER, **facts):
        facts = ResponseFacts(**{"genuine": False, **facts})
        self.announcements.record_answer(server, facts, "r1", at_ms, at_ms)

    def lines(self, event):
        calls = self.log.call_args_list
        return [call.kwargs for call in calls if call.args[0] == event]

    def is_paused(self, at_ms=0.0):
        return self.announcements.backoffs.find(SERVER, at_ms) is not None

    def test_begin_and_end_of_a_pause_are_logged_once(self):
        """Guards against a line for each of the requests that are turned away."""
        for at_ms in (0.0, 10.0, 20.0):
            self.answer(at_ms, not_run=True, backoff_ms=1000.0)
        [line] = self.lines("server-backoff")
        self.assertEqual(
            (line["server"], line["id"], line["for_ms"]), ("s1", "r1", 1e3)
        )
        self.announcements.tidy(2000.0)
        [line] = self.lines("server-backoff-ended")
        self.assertEqual((line["asked_by"], line["lasted_ms"]), ("r1", 1020))

    def test_pause_counts_without_a_statement_that_the_request_did_not_run(self):
        self.answer(backoff_ms=1000.0)
        self.assertTrue(self.is_paused())

    def test_answer_of_a_process_that_may_be_another_asks_for_nothing(self):
        """Guards against a process at a reused address that speaks for the server."""
        self.answer(misdirected=True, backoff_ms=1000.0, leaving=True)
        self.assertFalse(self.is_paused())
        self.assertEqual(self.lines("server-leaving"), [])

    def test_health_check_tells_of_leaving_pauses_and_cold_starts(self):
        """Guards against announcements that only callers' requests would bring."""
        directory = self.announcements.directory
        directory.upsert(SERVER)
        facts = ResponseFacts(backoff_ms=1e3, leaving=True, cold_ms=1e3)
        for name, is_heard in (("s2", False), ("", False), ("s1", True)):
            answer = attrs.evolve(facts, server_name=name)
            self.announcements.record_health(SERVER, answer, 0.0)
            self.assertEqual(self.is_paused(), is_heard)
            self.assertEqual(directory.is_leaving(SERVER), is_heard)
            self.assertEqual(directory.is_cold("s1"), is_heard)

    def test_malformed_announcements_are_logged_once_and_ignored(self):
        for _ in range(3):
            self.answer(backoff_text="soon", leaving=None, leaving_text="maybe")
        self.assertFalse(self.is_paused())
        self.assertEqual(len(self.lines("backoff-not-understood")), 1)
        self.assertEqual(len(self.lines("leaving-not-understood")), 1)

    def test_leaving_is_logged_once_for_each_life(self):
        for server in (SERVER, SERVER, RESTARTED):
            self.answer(server=server, leaving=True)
        self.assertEqual([n["life"] for n in self.lines("server-leaving")], [1, 2])

    def test_unknown_headers_are_logged_once_each_and_not_without_end(self):
        for number in range(2 * MAX_UNKNOWN_HEADERS):
            self.answer(unknown_headers=("x", f"x-{number}"))
        names = [line["name"] for line in self.lines("header-not-known")]
        self.assertEqual(len(names), MAX_UNKNOWN_HEADERS)
        self.assertEqual(len(set(names)), MAX_UNKNOWN_HEADERS)

    def test_requests_in_a_pause_are_counted(self):
        self.answer(0.0, backoff_ms=1000.0)
        for at_ms in (500.0, 1500.0):
            self.announcements.record_sent(SERVER, at_ms)
        self.assertEqual(self.announcements.n_sent_in_backoff, 1)


if __name__ == "__main__":
    unittest.main()
