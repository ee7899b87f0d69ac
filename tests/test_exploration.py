"""The ownership rules under schedules of faults: see ``ownership_world``."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .explore_ownership import explore
from .ownership_mutants import MUTANTS, broken
from .ownership_world import (
    FAULTS,
    BrokenPromiseError,
    World,
    bring_about,
    run_seed,
    run_story,
)

N_SEEDS = 40

CAUGHT_BY = {
    "taker's wait left out": (run_seed, 0),
    "right counted from the answer's arrival": (run_seed, 123),
    "old successor forgotten on a rename": (run_story, 63),
    "update in doubt forgotten for a newer one": (run_story, 32),
    "word given after the takeover began": (run_seed, 13),
    "proof by silence": (run_seed, 1),
    "expiry counted from sending": (run_story, 16),
    "a server's restart lifts the wait for earlier grants": (run_story, 17),
    "any acceptance counts while the earlier right runs": (run_story, 6),
    "renewal without a right for any process of a server": (run_story, 4),
    "new steward grants before it is registered": (run_seed, 0),
    "a shorter setting shortens the wait for longer rights": (run_seed, 3),
    "planner writes the new owner without proof": (run_seed, 1),
    "departed by a registration older than the process": (run_seed, 11),
}


class Ownership(RuleBasedStateMachine):
    """Faults in an order that hypothesis chooses, and shortens when one tells."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        """Let the world settle first."""
        self.world = World(seed)
        self.world.run(1500)

    @rule(fault=st.sampled_from(FAULTS), data=st.data(), ms=st.integers(1, 2000))
    def break_something(self, fault, data, ms):
        """Bring about a fault and let time pass; the world checks each event."""
        bring_about(
            self.world, fault, lambda options: data.draw(st.sampled_from(options))
        )
        self.world.run(ms)


OwnershipTest = Ownership.TestCase
OwnershipTest.settings = settings(
    derandomize=True, database=None, deadline=None, max_examples=30
)


class SeedsTest(unittest.TestCase):
    """The fixed seeds of the suite."""

    def test_no_seed_breaks_a_promise(self):
        faults = []
        n_broken, n_moves = explore(0, N_SEEDS, faults.append)
        self.assertEqual((n_broken, faults), (0, []))
        self.assertGreater(n_moves, N_SEEDS)


class MutantsTest(unittest.TestCase):
    """An exploration that cannot fail proves nothing.

    Each rule is broken in turn; the same world under the same schedule of faults
    then shows two holders, two owners or a proof of release that was not true.
    """

    def test_every_broken_rule_is_seen(self):
        self.assertEqual(set(CAUGHT_BY), set(MUTANTS))
        unseen = [name for name in CAUGHT_BY if not is_seen(name)]
        self.assertEqual(unseen, [])


def is_seen(name):
    """Run one schedule under whole rules, and again with one of them broken."""
    run, seed = CAUGHT_BY[name]
    run(seed)
    try:
        with broken(name):
            run(seed)
    except BrokenPromiseError:
        return True
    return False
