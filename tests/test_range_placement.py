"""Which server owns which keys."""

import unittest

from tarragonramp.manifest import N_KEYS
from tarragonramp.range_placement import (
    MAX_MOVES,
    Candidate,
    initial_table,
    plan_moves,
)
from tarragonramp.ranges import TOKEN_STEP, KeyRange, RangeTable


def servers(n, slots=3):
    """Return n candidates."""
    return [Candidate(f"s{i}", 1, f"10.0.0.{i}:80", slots) for i in range(n)]


def load_of(table, work):
    """Return the load of each owner, by the first keys of its ranges."""
    loads = {}
    for item in table.ranges:
        loads[item.owner] = loads.get(item.owner, 0.0) + work.get(item.first, 0.0)
    return loads


class InitialTableTest(unittest.TestCase):
    """No server owns keys yet."""

    def test_keys_are_distributed_evenly(self):
        table = initial_table("parts", servers(13))
        self.assertEqual(table.ranges[0].first, 0)
        self.assertEqual(table.ranges[-1].last, N_KEYS - 1)
        for one, other in zip(table.ranges, table.ranges[1:], strict=False):
            self.assertEqual(one.last + 1, other.first)
        keys = load_of(table, {r.first: r.n_keys for r in table.ranges})
        self.assertLess(max(keys.values()) / min(keys.values()), 1.05)

    def test_adjacent_ranges_have_different_owners(self):
        """In a dealer promotion, four adjacent ranges receive half of all requests."""
        table = initial_table("parts", servers(13))
        owners = {item.owner for item in table.ranges[40:44]}
        self.assertEqual(len(owners), 4)


class PlanMovesTest(unittest.TestCase):
    """Owners leave and join."""

    def may_keep(self, names):
        """Return a function that tells whether an owner is among names."""
        return lambda item: item.owner in names

    def test_keys_of_a_leaving_server_are_spread_over_all_others(self):
        table = initial_table("parts", servers(13))
        others = servers(13)[1:]
        moved = plan_moves(table, others, self.may_keep({c.name for c in others}))
        self.assertTrue(all(item.old_owner == "s0" for item in moved))
        self.assertEqual({item.token for item in moved}, {1 + TOKEN_STEP})
        self.assertGreater(len({item.owner for item in moved}), 10)
        self.assertLessEqual(len(moved), MAX_MOVES)

    def test_range_being_moved_is_not_moved_again(self):
        """Another move would lose its first owner, which may still hold the range."""
        moving = KeyRange(0, N_KEYS - 1, "gone", 1, 5, "s0", 1, 3)
        table = RangeTable("parts", (moving,))
        self.assertEqual(plan_moves(table, servers(3), self.may_keep(set())), [])

    def test_later_life_of_the_owner_gets_a_higher_token(self):
        table = RangeTable("parts", (KeyRange(0, N_KEYS - 1, "s0", 1, 5),))
        again = [Candidate("s0", 2, "10.0.0.0:80", 3)]
        moved = plan_moves(table, again, self.may_keep(set()))
        self.assertEqual(
            [(r.owner, r.life, r.token) for r in moved], [("s0", 2, 5 + TOKEN_STEP)]
        )

    def test_new_server_gets_keys_and_keeps_them(self):
        table = initial_table("parts", servers(6))
        names = {c.name for c in servers(7)}
        moved = plan_moves(table, servers(7), self.may_keep(names))
        self.assertTrue(moved)
        self.assertEqual({item.owner for item in moved}, {"s6"})
        settled = table.with_ranges([item.settled() for item in moved])
        self.assertEqual(plan_moves(settled, servers(7), self.may_keep(names)), [])

    def test_owner_of_a_hot_key_is_not_given_other_keys(self):
        """The owner of a key with a third of all requests gave all other keys away.

        Guards against returning some of them at once because the owner has few keys;
        their callers would be rejected.
        """
        table = initial_table("parts", servers(6))
        own = [item for item in table.ranges if item.owner == "s0"][1:]
        table = table.with_ranges([r.moved_to("s1", 1).settled() for r in own])
        may_keep = self.may_keep({c.name for c in servers(6)})
        self.assertTrue(plan_moves(table, servers(6), may_keep))
        moved = plan_moves(table, servers(6), may_keep, busy=lambda: {"s0"})
        self.assertEqual(moved, [])

    def test_nothing_moves_without_candidates(self):
        table = initial_table("parts", servers(2))
        self.assertEqual(plan_moves(table, [], self.may_keep(set())), [])
