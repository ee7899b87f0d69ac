"""Tests of the checker: each check must report a log that violates it."""

import unittest

import attrs

from standins.checker import check_run, new_work_after
from standins.layouts import is_balanced
from standins.load import Outcome

EXECUTION = {
    "server": "s1",
    "boot_id": "b1",
    "request_id": "r1",
    "method": "POST",
    "path": "/records",
    "slice": 3,
    "token": 5,
    "started_ms": 100.0,
    "ended_ms": 110.0,
    "until_ms": 900.0,
}
OUTCOME = Outcome("claim", "r1", "POST", "k", "well", 200, 0.0, 12.0)


def failed_checks(executions, outcomes=(OUTCOME,)):
    """Return the names of the checks that reported a violation."""
    faults = check_run(executions, outcomes)
    return [name for name, found in faults.items() if found]


class CheckerTest(unittest.TestCase):
    """Each check reports the violation that it exists for."""

    def test_a_valid_run_passes(self):
        self.assertEqual(failed_checks([EXECUTION]), [])

    def test_overlapping_executions_of_two_owners(self):
        other = {**EXECUTION, "server": "s2", "token": 6, "request_id": "r2"}
        other |= {"started_ms": 105.0, "ended_ms": 115.0}
        self.assertIn("one owner at a time", failed_checks([EXECUTION, other]))

    def test_a_superseded_token(self):
        late = {**EXECUTION, "server": "s2", "token": 4, "request_id": "r2"}
        late |= {"started_ms": 200.0, "ended_ms": 210.0}
        self.assertIn("one owner at a time", failed_checks([EXECUTION, late]))

    def test_an_expired_grant(self):
        late = {**EXECUTION, "until_ms": 109.0}
        self.assertIn("no execution under an ended grant", failed_checks([late]))

    def test_a_gated_server_reached_without_its_current_steward(self):
        bypassing = {**EXECUTION, "steward_term": 0}
        check = "only the steward sends to a gated server"
        self.assertIn(check, failed_checks([bypassing]))
        new = {**EXECUTION, "steward_term": 3}
        old = {**EXECUTION, "steward_term": 2, "request_id": "r2", "started_ms": 500.0}
        self.assertIn(check, failed_checks([new, old]))
        self.assertNotIn(check, failed_checks([{**old, "started_ms": 50.0}, new]))

    def test_more_requests_than_cold_slots(self):
        overloaded = {**EXECUTION, "cold_excess": 1}
        self.assertIn(
            "a cold server gets no more than its cold slots",
            failed_checks([overloaded]),
        )

    def test_a_claim_executed_twice(self):
        repeated = {**EXECUTION, "started_ms": 120.0, "ended_ms": 130.0}
        self.assertIn(
            "non-idempotent at most once", failed_checks([EXECUTION, repeated])
        )

    def test_a_request_executed_but_reported_not_run(self):
        reported = attrs.evolve(OUTCOME, result="not-run")
        self.assertIn("not run is true", failed_checks([EXECUTION], [reported]))

    def test_an_answer_without_an_execution(self):
        self.assertIn("acknowledged requests did run", failed_checks([], [OUTCOME]))

    def test_a_response_to_another_request(self):
        mismatched = attrs.evolve(OUTCOME, result="wrong")
        self.assertIn(
            "answers are whole and the caller's own",
            failed_checks([EXECUTION], [mismatched]),
        )

    def test_new_work_at_a_server_that_was_taken_out(self):
        late = {**EXECUTION, "started_ms": 3101.0}
        self.assertEqual(new_work_after([EXECUTION, late], ["s2"], 100.0), [])
        self.assertEqual(len(new_work_after([EXECUTION, late], ["s1"], 100.0)), 1)
        self.assertEqual(new_work_after([EXECUTION, late], ["s1"], 100.0, 3100.0), [])


class BalancedTest(unittest.TestCase):
    """When the initial distribution of keys over the servers is complete."""

    def test_each_server_owns_its_share(self):
        owned = [[0, 22, "owned", "r1", 1], [22, 22, "owned", "r2", 1]]
        self.assertTrue(is_balanced([*owned, [44, 20, "owned", "r3", 1]]))
        self.assertFalse(is_balanced([*owned, [44, 20, "owned", "r1", 1]]))
        self.assertFalse(is_balanced([*owned, [44, 20, "releasing", "r3", 1]]))
        uneven = [[0, 23, "owned", "r1", 1], [23, 21, "owned", "r2", 1]]
        self.assertFalse(is_balanced([*uneven, [44, 20, "owned", "r3", 1]]))
