"""Ranges of keys as the store keeps them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from tarragonramp.dealing import Candidate, first_deal
from tarragonramp.manifest import N_KEYS
from tarragonramp.ranges import RangeTable


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

    def test_what_is_no_table_is_an_error(self):
        for spec in ({}, {"service": "x", "servers": [], "ranges": [[0, 1, 5, 1]]}, 7):
            with self.assertRaises(ValueError):
                RangeTable.from_spec(spec)
