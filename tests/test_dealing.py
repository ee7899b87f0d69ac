"""Which server gets which keys."""

import unittest

from tarragonramp.dealing import (
    MAX_MOVES,
    Candidate,
    first_deal,
    plan_moves,
)
from tarragonramp.manifest import N_KEYS
from tarragonramp.ranges import TOKEN_STEP, KeyRange, RangeTable


def servers(n, slots=3):
    """Return n candidates."""
    return [Candidate(f"s{i}", 1, f"10.0.0.{i}:80", slots) for i in range(n)]


def load_of(table, work):
    """Return the work that each owner has, by its ranges' first keys."""
    loads = {}
    for item in table.ranges:
        loads[item.owner] = loads.get(item.owner, 0.0) + work.get(item.first, 0.0)
    return loads


class FirstDealTest(unittest.TestCase):
    """Nobody has keys yet."""

    def test_every_key_has_one_owner_and_all_have_as_many(self):
        table = first_deal("parts", servers(13))
        self.assertEqual(table.ranges[0].first, 0)
        self.assertEqual(table.ranges[-1].last, N_KEYS - 1)
        for one, other in zip(table.ranges, table.ranges[1:], strict=False):
            self.assertEqual(one.last + 1, other.first)
        keys = load_of(table, {r.first: r.n_keys for r in table.ranges})
        self.assertLess(max(keys.values()) / min(keys.values()), 1.05)

    def test_busy_neighbours_have_different_owners(self):
        """A dealer promotion: four neighbouring ranges take half of all requests."""
        table = first_deal("parts", servers(13))
        owners = {item.owner for item in table.ranges[40:44]}
        self.assertEqual(len(owners), 4)


class PlanMovesTest(unittest.TestCase):
    """Owners leave and join."""

    def stays(self, names):
        """Return whether an owner is among names."""
        return lambda item: item.owner in names

    def test_a_leaving_servers_keys_are_spread_over_all_others(self):
        table = first_deal("parts", servers(13))
        others = servers(13)[1:]
        moved = plan_moves(table, others, self.stays({c.name for c in others}))
        self.assertTrue(all(item.old_owner == "s0" for item in moved))
        self.assertEqual({item.token for item in moved}, {1 + TOKEN_STEP})
        self.assertGreater(len({item.owner for item in moved}), 10)
        self.assertLessEqual(len(moved), MAX_MOVES)

    def test_a_range_on_its_way_is_not_moved_again(self):
        """Its first owner would be forgotten, and with it what it still holds."""
        moving = KeyRange(0, N_KEYS - 1, "gone", 1, 5, "s0", 1, 3)
        table = RangeTable("parts", (moving,))
        self.assertEqual(plan_moves(table, servers(3), self.stays(set())), [])

    def test_another_life_of_the_owner_gets_a_higher_token(self):
        table = RangeTable("parts", (KeyRange(0, N_KEYS - 1, "s0", 1, 5),))
        again = [Candidate("s0", 2, "10.0.0.0:80", 3)]
        moved = plan_moves(table, again, self.stays(set()))
        self.assertEqual(
            [(r.owner, r.life, r.token) for r in moved], [("s0", 2, 5 + TOKEN_STEP)]
        )

    def test_a_new_server_gets_keys_and_none_go_back(self):
        table = first_deal("parts", servers(6))
        names = {c.name for c in servers(7)}
        moved = plan_moves(table, servers(7), self.stays(names))
        self.assertTrue(moved)
        self.assertEqual({item.owner for item in moved}, {"s6"})
        settled = table.with_ranges([item.settled() for item in moved])
        self.assertEqual(plan_moves(settled, servers(7), self.stays(names)), [])

    def test_a_server_that_was_relieved_of_all_but_a_busy_key_gets_none_back(self):
        """One key takes a third of all requests; its owner gave all others away.

        As it then had fewer keys than others it was given some at once, whose callers
        found it full.
        """
        table = first_deal("parts", servers(6))
        own = [item for item in table.ranges if item.owner == "s0"][1:]
        table = table.with_ranges([r.moved_to("s1", 1).settled() for r in own])
        stays = self.stays({c.name for c in servers(6)})
        self.assertTrue(plan_moves(table, servers(6), stays))
        moved = plan_moves(table, servers(6), stays, busy=lambda: {"s0"})
        self.assertEqual(moved, [])

    def test_without_candidates_nothing_moves(self):
        table = first_deal("parts", servers(2))
        self.assertEqual(plan_moves(table, [], self.stays(set())), [])
