"""The way to servers that do not check who gives them orders, on manual clocks."""

import unittest

from tarragonramp.gates import Gate

FAR = float("inf")


def gate():
    """Return a gate with nothing before it, and proved so by two probes."""
    made = Gate(2, 800.0, earlier_right_ends_ms=0.0, earlier_longest_ms=800.0)
    made.observe("b1", 803.0, 804.0)
    made.observe("b1", 1610.0, 1611.0)
    return made


class AdmissionTest(unittest.TestCase):
    """Which requests a steward sends."""

    def test_a_deadline_never_outlasts_the_right(self):
        self.assertEqual(gate().admit(0, 1000.0, 9000.0, 1300.0).timeout_ms, 300.0)
        self.assertEqual(gate().admit(0, 1000.0, 1100.0, 1300.0).timeout_ms, 100.0)
        self.assertEqual(gate().admit(0, 1000.0, 9000.0, FAR).timeout_ms, 800.0)

    def test_a_steward_that_was_paused_sends_nothing(self):
        """A steward is paused between taking a request and sending it.

        Its right is over by then, and another steward may be sending.
        """
        paused = gate()
        self.assertEqual(paused.admit(0, 1301.0, 9000.0, 1300.0).timeout_ms, 0.0)
        self.assertEqual(paused.in_hand, 0)

    def test_no_more_than_the_servers_slots_at_once(self):
        full = gate()
        full.admit(0, 1000.0, FAR, FAR)
        self.assertFalse(full.is_full)
        full.admit(1, 1000.0, FAR, FAR)
        self.assertTrue(full.is_full)
        full.answered(0)
        self.assertFalse(full.is_full)


class ReleaseTest(unittest.TestCase):
    """What proves that nothing of a slice can run any more."""

    def test_a_request_at_the_server_is_no_release(self):
        busy = gate()
        busy.admit(3, 1000.0, FAR, FAR)
        self.assertEqual(busy.released(3), "")
        self.assertEqual(busy.released(4), "drained")
        busy.answered(3)
        self.assertEqual(busy.released(3), "drained")

    def test_a_frozen_server_may_run_what_it_has_in_its_buffer(self):
        """A server freezes with a claim in its socket buffer and thaws much later.

        It counts the claim's deadline from when it reads it. Only an answer after the
        thaw, and another a whole deadline later, show that the claim has ended.
        """
        doubtful = gate()
        doubtful.admit(3, 1000.0, FAR, FAR)
        doubtful.unanswered(3, 1800.0)
        self.assertEqual(doubtful.released(3), "")
        doubtful.observe("b1", 90_000.0, 90_001.0)
        self.assertEqual(doubtful.released(3), "")
        doubtful.observe("b1", 90_500.0, 90_501.0)
        self.assertEqual(doubtful.released(3), "")
        doubtful.observe("b1", 90_810.0, 90_811.0)
        self.assertEqual(doubtful.released(3), "drained")

    def test_a_probe_sent_before_proves_nothing(self):
        doubtful = gate()
        doubtful.admit(3, 1000.0, FAR, FAR)
        doubtful.unanswered(3, 1800.0)
        doubtful.observe("b1", 1790.0, 1900.0)
        doubtful.observe("b1", 2550.0, 2551.0)
        self.assertEqual(doubtful.released(3), "")

    def test_a_new_process_runs_nothing_that_the_old_one_was_sent(self):
        doubtful = gate()
        doubtful.admit(3, 1000.0, FAR, FAR)
        doubtful.unanswered(3, 1800.0)
        doubtful.observe("b1", 1810.0, 1811.0)
        doubtful.observe("b2", 1900.0, 1901.0)
        self.assertEqual(doubtful.released(3), "drained")

    def test_the_new_process_may_have_been_sent_it(self):
        """A server restarts unseen, is sent a claim, and freezes before it answers."""
        doubtful = gate()
        doubtful.admit(3, 1000.0, FAR, FAR)
        doubtful.unanswered(3, 1800.0)
        doubtful.observe("b2", 1900.0, 1901.0)
        self.assertEqual(doubtful.released(3), "")

    def test_an_earlier_stewards_requests_are_waited_for(self):
        """A steward dies with requests at the server; its successor sent none."""
        new = Gate(2, 800.0, earlier_right_ends_ms=500.0, earlier_longest_ms=800.0)
        new.observe("b1", 100.0, 101.0)
        new.observe("b1", 1310.0, 1311.0)
        self.assertEqual(new.released(0), "")
        new.observe("b2", 1400.0, 1401.0)
        new.observe("b2", 2200.0, 2201.0)
        self.assertEqual(new.released(0), "")
        new.observe("b2", 2210.0, 2211.0)
        self.assertEqual(new.released(0), "drained")
