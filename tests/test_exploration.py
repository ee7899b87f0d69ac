"""Tests of the ownership rules under schedules of faults, in a simulation."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .explore_ownership import explore
from .ownership_mutants import MUTANTS, apply_mutant
from .ownership_simulation import (
    FAULTS,
    InvariantViolationError,
    Simulation,
    inject_fault,
    run_scenario,
    run_seed,
)

N_SEEDS = 40

DETECTED_BY = {
    "no wait for earlier rights after a takeover": (run_seed, 0),
    "right counted from the arrival of the answer": (run_seed, 123),
    "previous successor ignored after a change": (run_scenario, 63),
    "update in doubt dropped for a newer one": (run_scenario, 32),
    "confirmation given after the takeover began": (run_seed, 13),
    "silence accepted as proof of release": (run_seed, 1),
    "expiry counted from sending": (run_scenario, 16),
    "a server's restart ends the wait for earlier grants": (run_scenario, 17),
    "any accepted grant fences while the earlier right runs": (run_scenario, 6),
    "renewal without a right for an unknown process": (run_scenario, 4),
    "new steward grants before it is registered": (run_seed, 0),
    "wait for earlier rights taken from the current setting": (run_seed, 3),
    "new owner written without proof of release": (run_seed, 1),
    "departure derived from an older registration": (run_seed, 11),
}


class Ownership(RuleBasedStateMachine):
    """Hypothesis chooses the faults and shrinks a schedule that fails."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        """Start a simulation and let it settle."""
        self.simulation = Simulation(seed)
        self.simulation.run(1500)

    @rule(fault=st.sampled_from(FAULTS), data=st.data(), ms=st.integers(1, 2000))
    def inject_a_fault(self, fault, data, ms):
        """Inject a fault and advance time; the simulation checks each event."""
        inject_fault(
            self.simulation, fault, lambda options: data.draw(st.sampled_from(options))
        )
        self.simulation.run(ms)


OwnershipTest = Ownership.TestCase
OwnershipTest.settings = settings(
    derandomize=True, database=None, deadline=None, max_examples=30
)


class SeedsTest(unittest.TestCase):
    """Runs of fixed seeds."""

    def test_no_seed_violates_an_invariant(self):
        violations = []
        n_violations, n_moves = explore(0, N_SEEDS, violations.append)
        self.assertEqual((n_violations, violations), (0, []))
        self.assertGreater(n_moves, N_SEEDS)


class MutantsTest(unittest.TestCase):
    """Guards against an exploration that detects no fault.

    Each mutant breaks one rule. The schedule that passes without it then has to end
    with two holders, two owners or a false proof of release.
    """

    def test_every_mutant_is_detected(self):
        self.assertEqual(set(DETECTED_BY), set(MUTANTS))
        undetected = [name for name in DETECTED_BY if not is_detected(name)]
        self.assertEqual(undetected, [])


def is_detected(name):
    """Run a schedule without and with a mutant; return whether the mutant fails it."""
    run, seed = DETECTED_BY[name]
    run(seed)
    try:
        with apply_mutant(name):
            run(seed)
    except InvariantViolationError:
        return True
    return False
