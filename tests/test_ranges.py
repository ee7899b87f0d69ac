"""Key ranges, their lookup and their stored form."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from tarragonramp.manifest import N_KEYS
from tarragonramp.range_placement import Candidate, initial_table
from tarragonramp.ranges import (
    MAX_FENCES_PER_TERM,
    MAX_TABLE_VERSIONS,
    RangeTable,
    TableHistory,
    fence_token,
)


class RangeTableTest(unittest.TestCase):
    """Lookup, replacement and the stored form."""

    @given(st.integers(0, N_KEYS - 1), st.integers(1, 9))
    def test_find_returns_the_range_that_contains_the_key(self, key, n):
        table = initial_table("parts", [Candidate(f"s{i}", i) for i in range(n)])
        item = table.find(key)
        self.assertTrue(item.first <= key <= item.last)

    @given(st.sets(st.integers(0, 41)))
    def test_table_survives_a_round_trip_through_its_spec(self, moved):
        candidates = [Candidate(f"s{i}", 7, f"10.0.0.{i}:80") for i in range(3)]
        table = initial_table("parts", candidates)
        changed = [table.ranges[i].moved_to("s9", 3) for i in moved]
        table = table.with_ranges(changed, {("s9", 3): "10.0.0.9:80"})
        restored = RangeTable.from_spec(table.to_spec())
        self.assertEqual(restored.ranges, table.ranges)
        self.assertEqual(restored.addresses, table.addresses)

    @given(st.sets(st.integers(0, 41)), st.sets(st.integers(0, 41)))
    def test_difference_updates_an_earlier_table(self, before, after):
        candidates = [Candidate(f"s{i}", 7, f"10.0.0.{i}:80") for i in range(3)]
        table = initial_table("parts", candidates)
        places = {("s8", 3): "10.0.0.8:80", ("s9", 3): "10.0.0.9:80"}
        moved = [table.ranges[i].moved_to("s8", 3) for i in before]
        earlier = table.with_ranges(moved, places)
        settled = [earlier.ranges[i].settled().moved_to("s9", 3) for i in after]
        later = earlier.with_ranges(settled, places)
        difference = RangeTable.from_spec(later.difference_from(earlier).to_spec())
        self.assertEqual(len(difference.ranges), len(after))
        restored = earlier.with_ranges(difference.ranges, difference.addresses)
        self.assertEqual(restored.ranges, later.ranges)
        self.assertEqual(restored.addresses, later.addresses)

    def test_addresses_of_former_owners_do_not_accumulate(self):
        """Guards against memory that grows with each server that ever owned a range."""
        table = initial_table("parts", [Candidate("s0", 1, "10.0.0.0:80")])
        for number in range(1, 100):
            name = f"s{number}"
            item = table.ranges[number % len(table.ranges)].settled()
            moved = item.moved_to(name, number).settled()
            address = f"10.0.0.{number}:80"
            table = table.with_ranges([moved], {moved.identity: address})
            self.assertEqual(table.addresses[moved.identity], address)
            self.assertLessEqual(len(table.addresses), len(table.ranges))
        owners = {item.identity for item in table.ranges}
        self.assertLessEqual(owners, table.addresses.keys())

    @given(st.lists(st.integers(0, N_KEYS - 2), min_size=1, max_size=30))
    def test_split_ranges_survive_round_trip_and_difference(self, keys):
        """Each key is split off the range that contains it, and moved."""
        earlier = table = initial_table(
            "parts", [Candidate("s0", 1), Candidate("s1", 1)]
        )
        for key in keys:
            item = table.find(key).settled()
            pieces = [
                attrs.evolve(item, last=key - 1),
                attrs.evolve(item, first=key, last=key).moved_to("s2", 3),
                attrs.evolve(item, first=key + 1),
            ]
            table = table.with_ranges([p for p in pieces if p.n_keys > 0])
        self.assertEqual(RangeTable.from_spec(table.to_spec()).ranges, table.ranges)
        self.assertIn("cuts", table.to_spec())
        difference = RangeTable.from_spec(table.difference_from(earlier).to_spec())
        self.assertEqual(earlier.with_ranges(difference.ranges).ranges, table.ranges)
        self.assertEqual(table.with_ranges(earlier.ranges).ranges, earlier.ranges)

    def test_ranges_with_gaps_or_overlaps_are_refused(self):
        """Guards against applying a peer's changes to a different table.

        Keys would be left without an owner, or have two.
        """
        table = initial_table("parts", [Candidate("s0", 1)])
        item = table.ranges[3]
        for first, last in (
            (item.first + 1, item.last),
            (item.first, item.last + 1),
            (item.first - 1, item.last - 1),
        ):
            with self.assertRaises(ValueError):
                table.with_ranges([attrs.evolve(item, first=first, last=last)])

    def test_invalid_spec_is_an_error(self):
        columns = {"service": "x", "servers": [], "owners": [5], "tokens": [1]}
        long = {**columns, "servers": [["s", 1, ""]], "owners": [0, 0], "moving": []}
        whole = {**columns, "bounds": 1, "moving": []}
        for spec in ({}, whole, {**long, "bounds": [[0, 1]]}, 7):
            with self.assertRaises(ValueError):
                RangeTable.from_spec(spec)


class RaisedTokenTest(unittest.TestCase):
    """Fencing tokens that are raised while the owner stays the same."""

    def setUp(self):
        self.table = initial_table("parts", [Candidate("s0", 1), Candidate("s1", 1)])
        self.item = self.table.ranges[3]

    def test_raised_token_exceeds_all_earlier_tokens_of_the_owner(self):
        raised = self.item.raised()
        last_fence = fence_token(self.item.token, 10**9, MAX_FENCES_PER_TERM - 1)
        self.assertGreater(raised.token, last_fence)
        self.assertEqual(raised.moved_to("s1", 1).old_token, raised.token)

    def test_raised_tokens_are_not_sent_to_other_daemons(self):
        """Guards against sending whole tables after each change of leader."""
        later = self.table.with_ranges([self.item.raised()])
        self.assertEqual(later.difference_from(self.table).ranges, ())
        moved = self.item.raised().moved_to("s1", 1)
        later = later.with_ranges([moved])
        self.assertEqual(later.difference_from(self.table).ranges, (moved,))
        settled = self.table.with_ranges([moved.settled()])
        self.assertEqual(settled.difference_from(later).ranges, (moved.settled(),))


class TableHistoryTest(unittest.TestCase):
    """Updates for a daemon that has an earlier version."""

    def setUp(self):
        table = initial_table("parts", [Candidate("s0", 1), Candidate("s1", 1)])
        self.history = TableHistory()
        for version in range(10, 10 + 2 * MAX_TABLE_VERSIONS, 2):
            self.history.record(table, version)
            moved = table.ranges[version % 7].settled().moved_to("s1", 1)
            table = table.with_ranges([moved])
        self.last = 8 + 2 * MAX_TABLE_VERSIONS

    def changed(self, since):
        base, spec = self.history.changes("parts", since)
        return base, len(spec["tokens"])

    def test_only_newer_changes_are_sent(self):
        self.assertEqual(self.changed(self.last - 2), (self.last - 2, 1))
        self.assertEqual(self.changed(self.last - 1), (self.last - 2, 1))
        self.assertEqual(self.changed(self.last - 4), (self.last - 4, 2))

    def test_whole_table_is_sent_without_a_known_base(self):
        self.assertIsNone(self.history.changes("parts", 0))
        self.assertIsNone(self.history.changes("unknown", self.last))

    def test_number_of_kept_versions_is_bounded(self):
        table = initial_table("parts", [Candidate("s0", 1), Candidate("s1", 1)])
        self.history.record(table, self.last + 2)
        self.assertIsNone(self.history.changes("parts", 10))
        self.assertIsNotNone(self.history.changes("parts", 12))
