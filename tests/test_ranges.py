"""Ranges of keys as the store keeps them."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from tarragonramp.dealing import Candidate, first_deal
from tarragonramp.manifest import N_KEYS
from tarragonramp.ranges import (
    FENCES_A_TERM,
    KEPT_TABLES,
    RangeTable,
    TableHistory,
    fence_token,
)


class RangeTableTest(unittest.TestCase):
    """Lookups and plain data."""

    @given(st.integers(0, N_KEYS - 1), st.integers(1, 9))
    def test_each_key_is_in_the_range_that_is_found(self, key, n):
        table = first_deal("parts", [Candidate(f"s{i}", i) for i in range(n)])
        item = table.find(key)
        self.assertTrue(item.first <= key <= item.last)

    @given(st.sets(st.integers(0, 41)))
    def test_plain_data_bring_back_the_same_table(self, moved):
        candidates = [Candidate(f"s{i}", 7, f"10.0.0.{i}:80") for i in range(3)]
        table = first_deal("parts", candidates)
        changed = [table.ranges[i].moved_to("s9", 3) for i in moved]
        table = table.with_ranges(changed, {"s9": "10.0.0.9:80"})
        again = RangeTable.from_spec(table.to_spec())
        self.assertEqual(again.ranges, table.ranges)
        self.assertEqual(again.addresses, table.addresses)

    @given(st.sets(st.integers(0, 41)), st.sets(st.integers(0, 41)))
    def test_what_has_changed_brings_an_earlier_table_up_to_date(self, before, after):
        candidates = [Candidate(f"s{i}", 7, f"10.0.0.{i}:80") for i in range(3)]
        table = first_deal("parts", candidates)
        places = {"s8": "10.0.0.8:80", "s9": "10.0.0.9:80"}
        moved = [table.ranges[i].moved_to("s8", 3) for i in before]
        earlier = table.with_ranges(moved, places)
        settled = [earlier.ranges[i].settled().moved_to("s9", 3) for i in after]
        later = earlier.with_ranges(settled, places)
        told = RangeTable.from_spec(later.changed_from(earlier).to_spec())
        self.assertEqual(len(told.ranges), len(after))
        again = earlier.with_ranges(told.ranges, told.addresses)
        self.assertEqual(again.ranges, later.ranges)
        self.assertEqual(again.addresses, later.addresses)

    @given(st.lists(st.integers(0, N_KEYS - 2), min_size=1, max_size=30))
    def test_cut_ranges_are_brought_back_and_told_by_their_changes(self, keys):
        """Each key is cut off the range that it is in, and moves."""
        earlier = table = first_deal("parts", [Candidate("s0", 1), Candidate("s1", 1)])
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
        told = RangeTable.from_spec(table.changed_from(earlier).to_spec())
        self.assertEqual(earlier.with_ranges(told.ranges).ranges, table.ranges)
        self.assertEqual(table.with_ranges(earlier.ranges).ranges, earlier.ranges)

    def test_ranges_that_leave_keys_out_are_refused(self):
        """A peer's changes for another table: keys would have no owner, or two."""
        table = first_deal("parts", [Candidate("s0", 1)])
        item = table.ranges[3]
        for first, last in (
            (item.first + 1, item.last),
            (item.first, item.last + 1),
            (item.first - 1, item.last - 1),
        ):
            with self.assertRaises(ValueError):
                table.with_ranges([attrs.evolve(item, first=first, last=last)])

    def test_what_is_no_table_is_an_error(self):
        columns = {"service": "x", "servers": [], "owners": [5], "tokens": [1]}
        long = {**columns, "servers": [["s", 1, ""]], "owners": [0, 0], "moving": []}
        whole = {**columns, "bounds": 1, "moving": []}
        for spec in ({}, whole, {**long, "bounds": [[0, 1]]}, 7):
            with self.assertRaises(ValueError):
                RangeTable.from_spec(spec)


class RaisedTokenTest(unittest.TestCase):
    """Tokens that grow although the owner stays."""

    def setUp(self):
        self.table = first_deal("parts", [Candidate("s0", 1), Candidate("s1", 1)])
        self.item = self.table.ranges[3]

    def test_a_raised_token_is_above_all_that_the_owner_had(self):
        raised = self.item.raised()
        last_fence = fence_token(self.item.token, 10**9, FENCES_A_TERM - 1)
        self.assertGreater(raised.token, last_fence)
        self.assertEqual(raised.moved_to("s1", 1).old_token, raised.token)

    def test_other_daemons_are_not_told_of_raised_tokens(self):
        """Guards against news of whole tables after each change of leader."""
        later = self.table.with_ranges([self.item.raised()])
        self.assertEqual(later.changed_from(self.table).ranges, ())
        moved = self.item.raised().moved_to("s1", 1)
        later = later.with_ranges([moved])
        self.assertEqual(later.changed_from(self.table).ranges, (moved,))
        settled = self.table.with_ranges([moved.settled()])
        self.assertEqual(settled.changed_from(later).ranges, (moved.settled(),))


class TableHistoryTest(unittest.TestCase):
    """What a daemon is told that knows an earlier version."""

    def setUp(self):
        table = first_deal("parts", [Candidate("s0", 1), Candidate("s1", 1)])
        self.history = TableHistory()
        for version in range(10, 10 + 2 * KEPT_TABLES, 2):
            self.history.note(table, version)
            moved = table.ranges[version % 7].settled().moved_to("s1", 1)
            table = table.with_ranges([moved])
        self.last = 8 + 2 * KEPT_TABLES

    def changed(self, since):
        base, spec = self.history.changes("parts", since)
        return base, len(spec["tokens"])

    def test_only_what_is_newer_than_its_version_is_told(self):
        self.assertEqual(self.changed(self.last - 2), (self.last - 2, 1))
        self.assertEqual(self.changed(self.last - 1), (self.last - 2, 1))
        self.assertEqual(self.changed(self.last - 4), (self.last - 4, 2))

    def test_who_knows_nothing_or_too_little_is_told_everything(self):
        self.assertIsNone(self.history.changes("parts", 0))
        self.assertIsNone(self.history.changes("unknown", self.last))

    def test_only_so_many_versions_are_kept(self):
        table = first_deal("parts", [Candidate("s0", 1), Candidate("s1", 1)])
        self.history.note(table, self.last + 2)
        self.assertIsNone(self.history.changes("parts", 10))
        self.assertIsNotNone(self.history.changes("parts", 12))
