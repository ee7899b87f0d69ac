"""A checker that cannot fail proves nothing: each check sees a bad log."""

import unittest

import attrs

from standins.checker import check_run, new_work_after
from standins.layouts import is_settled
from standins.load import Outcome

GOOD = {
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
WELL = Outcome("claim", "r1", "POST", "k", "well", 200, 0.0, 12.0)


def broken(executions, outcomes=(WELL,)):
    """Return the names of the checks that found a fault."""
    faults = check_run(executions, outcomes)
    return [name for name, found in faults.items() if found]


class CheckerTest(unittest.TestCase):
    """Every check refuses what it is there for."""

    def test_a_good_run_passes(self):
        self.assertEqual(broken([GOOD]), [])

    def test_an_overlap_of_two_owners(self):
        other = {**GOOD, "server": "s2", "token": 6, "request_id": "r2"}
        other |= {"started_ms": 105.0, "ended_ms": 115.0}
        self.assertIn("one owner at a time", broken([GOOD, other]))

    def test_a_superseded_token(self):
        late = {**GOOD, "server": "s2", "token": 4, "request_id": "r2"}
        late |= {"started_ms": 200.0, "ended_ms": 210.0}
        self.assertIn("one owner at a time", broken([GOOD, late]))

    def test_an_ended_grant(self):
        late = {**GOOD, "until_ms": 109.0}
        self.assertIn("no execution under an ended grant", broken([late]))

    def test_a_gated_server_reached_past_its_steward(self):
        past = {**GOOD, "steward_term": 0}
        check = "only the steward sends to a gated server"
        self.assertIn(check, broken([past]))
        new = {**GOOD, "steward_term": 3}
        old = {**GOOD, "steward_term": 2, "request_id": "r2", "started_ms": 500.0}
        self.assertIn(check, broken([new, old]))
        self.assertNotIn(check, broken([{**old, "started_ms": 50.0}, new]))

    def test_too_much_for_a_cold_server(self):
        much = {**GOOD, "cold_excess": 1}
        self.assertIn("a cold server bears what it gets", broken([much]))

    def test_a_claim_run_twice(self):
        again = {**GOOD, "started_ms": 120.0, "ended_ms": 130.0}
        self.assertIn("non-idempotent at most once", broken([GOOD, again]))

    def test_a_false_not_run(self):
        told = attrs.evolve(WELL, result="not-run")
        self.assertIn("not run is true", broken([GOOD], [told]))

    def test_an_answer_out_of_nowhere(self):
        self.assertIn("acknowledged requests did run", broken([], [WELL]))

    def test_somebody_elses_answer(self):
        wrong = attrs.evolve(WELL, result="wrong")
        self.assertIn("answers are whole and the caller's own", broken([GOOD], [wrong]))

    def test_new_work_at_a_server_that_was_taken_out(self):
        late = {**GOOD, "started_ms": 3101.0}
        self.assertEqual(new_work_after([GOOD, late], ["s2"], 100.0), [])
        self.assertEqual(len(new_work_after([GOOD, late], ["s1"], 100.0)), 1)
        self.assertEqual(new_work_after([GOOD, late], ["s1"], 100.0, 3100.0), [])


class SettledTest(unittest.TestCase):
    """When a site that has just started moves no more keys."""

    def test_each_server_owns_its_share(self):
        owned = [[0, 22, "owned", "r1", 1], [22, 22, "owned", "r2", 1]]
        self.assertTrue(is_settled([*owned, [44, 20, "owned", "r3", 1]]))
        self.assertFalse(is_settled([*owned, [44, 20, "owned", "r1", 1]]))
        self.assertFalse(is_settled([*owned, [44, 20, "releasing", "r3", 1]]))
        uneven = [[0, 23, "owned", "r1", 1], [23, 21, "owned", "r2", 1]]
        self.assertFalse(is_settled([*uneven, [44, 20, "owned", "r3", 1]]))
