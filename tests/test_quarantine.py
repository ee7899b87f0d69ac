"""Which contents of requests are held back, without processes."""

import unittest

from tarragonramp.quarantine import (
    FIRST_HOLD_MS,
    MAX_HOLD_MS,
    MAX_SUSPECTS,
    SECOND_HOLD_MS,
    SUSPICION_MS,
    TRIAL_MS,
    Quarantine,
    content_mark,
)


class QuarantineTest(unittest.TestCase):
    """Ends of servers under contents, and answers."""

    def setUp(self):
        self.quarantine = Quarantine()

    def end(self, server, now_ms, mark="m", life=1):
        """Record an end; return whether the content is held back."""
        found = self.quarantine.record_end(mark, "desk", (server, life), now_ms)
        return found.is_held

    def test_a_content_is_held_back_after_two_ends(self):
        """Guards against a request that ends one server after the other."""
        self.assertFalse(self.end("s1", 0.0))
        self.assertTrue(self.end("s2", 100.0))
        self.assertFalse(self.quarantine.begin_trial("m", FIRST_HOLD_MS))

    def test_a_trial_that_is_not_sent_leaves_its_place_to_another(self):
        """Guards against a wait after an outage of all servers of a service."""
        self.end("s1", 0.0)
        self.end("s2", 0.0)
        self.assertTrue(self.quarantine.begin_trial("m", FIRST_HOLD_MS))
        self.quarantine.cancel_trial("m")
        self.assertTrue(self.quarantine.begin_trial("m", FIRST_HOLD_MS))

    def test_one_end_that_several_daemons_tell_of_counts_once(self):
        """Guards against holding back what one server ended under."""
        for _ in range(5):
            self.assertFalse(self.end("s1", 0.0))
        self.assertTrue(self.end("s1", 1.0, life=2))

    def test_a_content_that_a_server_answers_is_not_held_back(self):
        """Guards against holding back a frequent request whose servers are killed."""
        for number in range(20):
            self.assertFalse(self.end(f"s{number}", 600.0 * number))
            self.quarantine.record_answer("m")

    def test_a_held_content_is_released_by_an_answer(self):
        self.end("s1", 0.0)
        self.end("s2", 0.0)
        self.assertEqual(self.quarantine.n_active(1.0), 1)
        self.assertTrue(self.quarantine.record_answer("m").is_held)
        self.assertIsNone(self.quarantine.find("m", 1.0))
        self.assertEqual(self.quarantine.n_released, 1)

    def test_ends_that_lie_far_apart_are_taken_for_chance(self):
        self.end("s1", 0.0)
        self.assertFalse(self.end("s2", SUSPICION_MS))

    def test_one_request_is_let_through_and_the_time_doubles(self):
        """Guards against a trial for each daemon or caller, or at short intervals."""
        self.end("s1", 0.0)
        self.end("s2", 0.0)
        now_ms, hold_ms, n_trials = 0.0, FIRST_HOLD_MS, 0
        while now_ms < 3_600_000.0:
            now_ms += hold_ms
            self.assertTrue(self.quarantine.begin_trial("m", now_ms))
            self.assertFalse(self.quarantine.begin_trial("m", now_ms + 1.0))
            now_ms += 20.0
            self.end(f"t{n_trials}", now_ms)
            hold_ms = min(max(SECOND_HOLD_MS, 2 * hold_ms), MAX_HOLD_MS)
            n_trials += 1
        self.assertLess(n_trials, 20)

    def test_a_trial_without_an_outcome_ends(self):
        """Guards against a content that is held back forever by a lost trial."""
        self.end("s1", 0.0)
        self.end("s2", 0.0)
        self.assertTrue(self.quarantine.begin_trial("m", FIRST_HOLD_MS))
        self.assertTrue(self.quarantine.begin_trial("m", FIRST_HOLD_MS + TRIAL_MS))

    def test_ends_at_the_same_time_begin_one_hold(self):
        """Guards against a longer hold for requests that were already on their way."""
        for number in range(9):
            self.end(f"s{number}", 10.0 * number)
        found = self.quarantine.find("m", 100.0)
        self.assertEqual(found.hold_ms, FIRST_HOLD_MS)

    def test_what_another_daemon_holds_back_is_adopted(self):
        for _ in range(2):
            self.quarantine.adopt_hold("m", "desk", 20_000.0, 7_000.0, 100.0)
        found = self.quarantine.find("m", 100.0)
        self.assertEqual(self.quarantine.left_ms(found, 100.0), 7_000.0)
        self.assertEqual((found.hold_ms, self.quarantine.n_held), (20_000.0, 1))

    def test_many_contents_neither_fill_memory_nor_push_out_held_ones(self):
        """Guards against callers who change a request a little each time."""
        self.end("s1", 0.0)
        self.end("s2", 0.0)
        for number in range(3 * MAX_SUSPECTS):
            self.end("s1", 1.0, mark=f"other{number}")
        self.assertEqual(len(self.quarantine.suspects), MAX_SUSPECTS)
        self.assertTrue(self.quarantine.find("m", 2.0).is_held)

    def test_a_mark_tells_contents_apart(self):
        base = ("desk", "GET", "/a", None, b"")
        others = [
            ("desk", "GET", "/a", None, b"x"),
            ("desk", "PUT", "/a", None, b""),
            ("desk", "GET", "/b", None, b""),
            ("desk", "GET", "/a", 7, b""),
            ("parts", "GET", "/a", None, b""),
        ]
        marks = {content_mark(*content) for content in (base, *others)}
        self.assertEqual(len(marks), 6)
        self.assertEqual(content_mark(*base), content_mark(*base))
