"""Admission to servers that only their steward may send to, on manual clocks."""

import unittest

from tarragonramp.gates import ColdStartState, Gate

NO_LIMIT = float("inf")


def warm(slots):
    """Return the state of a server that has long been warm."""
    cold_start = ColdStartState(1, slots)
    cold_start.observe("b1", False, -1e6)
    return cold_start


def gate():
    """Return a gate for which two probes have proved that no earlier request runs."""
    made = Gate(warm(2), 800.0, earlier_right_ends_ms=0.0, earlier_longest_ms=800.0)
    made.observe("b1", 803.0, 804.0)
    made.observe("b1", 1610.0, 1611.0)
    return made


class AdmissionTest(unittest.TestCase):
    """Which requests a steward sends."""

    def test_deadline_never_outlasts_the_right(self):
        self.assertEqual(gate().admit(0, 1000.0, 9000.0, 1300.0).timeout_ms, 300.0)
        self.assertEqual(gate().admit(0, 1000.0, 1100.0, 1300.0).timeout_ms, 100.0)
        self.assertEqual(gate().admit(0, 1000.0, 9000.0, NO_LIMIT).timeout_ms, 800.0)

    def test_paused_steward_sends_nothing(self):
        """Guards against sending on a right that has ended.

        A steward is paused between receiving a request and sending it. By then another
        steward may be sending.
        """
        paused = gate()
        self.assertEqual(paused.admit(0, 1301.0, 9000.0, 1300.0).timeout_ms, 0.0)
        self.assertEqual(paused.in_flight, 0)

    def test_requests_in_flight_are_limited_to_the_slots(self):
        full = gate()
        full.admit(0, 1000.0, NO_LIMIT, NO_LIMIT)
        self.assertFalse(full.is_full(1000.0))
        full.admit(1, 1000.0, NO_LIMIT, NO_LIMIT)
        self.assertTrue(full.is_full(1000.0))
        full.answered(0)
        self.assertFalse(full.is_full(1000.0))


class ReleaseTest(unittest.TestCase):
    """Proofs that no request for a slice can run any more."""

    def test_slice_with_a_request_in_flight_is_not_released(self):
        busy = gate()
        busy.admit(3, 1000.0, NO_LIMIT, NO_LIMIT)
        self.assertEqual(busy.released(3), "")
        self.assertEqual(busy.released(4), "drained")
        busy.answered(3)
        self.assertEqual(busy.released(3), "drained")

    def test_paused_server_may_run_buffered_requests(self):
        """Guards against releasing a slice with a request in a server's buffer.

        The server is paused with the request in its socket buffer and counts the
        deadline from when it reads it, possibly much later. Only a response after the
        pause and another one full deadline later prove that the request has ended.
        """
        uncertain = gate()
        uncertain.admit(3, 1000.0, NO_LIMIT, NO_LIMIT)
        uncertain.unanswered(3, 1800.0)
        self.assertEqual(uncertain.released(3), "")
        uncertain.observe("b1", 90_000.0, 90_001.0)
        self.assertEqual(uncertain.released(3), "")
        uncertain.observe("b1", 90_500.0, 90_501.0)
        self.assertEqual(uncertain.released(3), "")
        uncertain.observe("b1", 90_810.0, 90_811.0)
        self.assertEqual(uncertain.released(3), "drained")

    def test_probe_sent_before_the_failure_is_no_proof(self):
        uncertain = gate()
        uncertain.admit(3, 1000.0, NO_LIMIT, NO_LIMIT)
        uncertain.unanswered(3, 1800.0)
        uncertain.observe("b1", 1790.0, 1900.0)
        uncertain.observe("b1", 2550.0, 2551.0)
        self.assertEqual(uncertain.released(3), "")

    def test_new_process_does_not_run_requests_of_the_old_one(self):
        uncertain = gate()
        uncertain.admit(3, 1000.0, NO_LIMIT, NO_LIMIT)
        uncertain.unanswered(3, 1800.0)
        uncertain.observe("b1", 1810.0, 1811.0)
        uncertain.observe("b2", 1900.0, 1901.0)
        self.assertEqual(uncertain.released(3), "drained")

    def test_request_may_have_reached_the_new_process(self):
        """A server restarts unnoticed and pauses after it was sent a request."""
        uncertain = gate()
        uncertain.admit(3, 1000.0, NO_LIMIT, NO_LIMIT)
        uncertain.unanswered(3, 1800.0)
        uncertain.observe("b2", 1900.0, 1901.0)
        self.assertEqual(uncertain.released(3), "")

    def test_release_waits_for_requests_of_an_earlier_steward(self):
        """A steward fails with requests in flight; its successor has sent none."""
        new = Gate(
            warm(2), 800.0, earlier_right_ends_ms=500.0, earlier_longest_ms=800.0
        )
        new.observe("b1", 100.0, 101.0)
        new.observe("b1", 1310.0, 1311.0)
        self.assertEqual(new.released(0), "")
        new.observe("b2", 1400.0, 1401.0)
        new.observe("b2", 2200.0, 2201.0)
        self.assertEqual(new.released(0), "")
        new.observe("b2", 2210.0, 2211.0)
        self.assertEqual(new.released(0), "drained")


class ColdStartStateTest(unittest.TestCase):
    """Load of a server after its start, with 1 cold slot and 4 slots."""

    def limits(self, cold_start, *times_ms):
        return [cold_start.max_in_flight(at_ms) for at_ms in times_ms]

    def test_cold_server_is_limited_to_its_cold_slots(self):
        cold_start = ColdStartState(1, 4)
        self.assertEqual(cold_start.max_in_flight(0.0), 1)
        cold_start.observe("b1", True, 10.0)
        self.assertEqual(self.limits(cold_start, 10.0, 1e6), [1, 1])

    def test_limit_of_a_warmed_up_server_grows_in_steps(self):
        cold_start = ColdStartState(1, 4)
        cold_start.observe("b1", False, 0.0)
        self.assertEqual(self.limits(cold_start, 0.0, 500.0, 1000.0, 1e6), [1, 2, 4, 4])
        self.assertFalse(cold_start.is_warm(999.0))
        self.assertTrue(cold_start.is_warm(1000.0))

    def test_sign_of_a_cold_start_resets_the_limit(self):
        """A server restarts, or is cold without reporting it and sheds a request."""
        for hint in (
            lambda w: w.observe("b2", False, 5000.0),
            lambda w: w.observe("b1", True, 5000.0),
            lambda w: w.shed(5000.0),
            lambda w: w.invalidate(),
        ):
            cold_start = ColdStartState(1, 4)
            cold_start.observe("b1", False, 0.0)
            hint(cold_start)
            self.assertEqual(cold_start.max_in_flight(5000.0), 1)

    def test_server_known_to_be_warm_stays_warm_for_its_new_steward(self):
        """Guards against treating warm servers as cold after a change of steward.

        A daemon restarts and its neighbour becomes steward of warm servers. The
        restarted daemon, which has to send through the steward, would refuse callers
        for as long as the steward took these servers for cold.
        """
        gate = Gate(ColdStartState(1, 4, known_warm=True), 800.0, 500.0, 800.0)
        self.assertFalse(gate.is_full(0.0))
        gate.cold_start.observe("b1", False, 10.0)
        self.assertTrue(gate.cold_start.is_warm(10.0))

    def test_report_of_the_server_overrides_known_warm(self):
        for hint in (
            lambda w: w.observe("b1", True, 10.0),
            lambda w: w.invalidate(),
            lambda w: w.shed(10.0),
        ):
            cold_start = ColdStartState(1, 4, known_warm=True)
            hint(cold_start)
            self.assertEqual(cold_start.max_in_flight(10.0), 1)
        cold_start = ColdStartState(1, 4, known_warm=True)
        cold_start.observe("b1", False, 10.0)
        cold_start.observe("b2", False, 20.0)
        self.assertEqual(cold_start.max_in_flight(20.0), 1)

    def test_new_steward_waits_for_the_right_of_the_previous_one(self):
        """Guards against sending a cold server twice the load that it can handle.

        A steward fails with a request in flight that its successor does not know of.
        """
        gate = Gate(ColdStartState(1, 4), 800.0, 500.0, 800.0)
        self.assertTrue(gate.is_full(499.0))
        self.assertFalse(gate.is_full(500.0))
