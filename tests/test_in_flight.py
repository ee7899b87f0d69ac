"""Sums of the requests in flight that the daemons of a fleet report."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from tarragonramp.in_flight import InFlightReports

VALID_MS = 1500.0
REPORTS = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.dictionaries(st.sampled_from(["s1", "s2", "s3"]), st.integers(1, 9)),
        st.sampled_from([0.0, 400.0, 1000.0, 2000.0]),
    )
)


class InFlightReportsTest(unittest.TestCase):
    """Reports of several daemons, some of which fall silent."""

    @given(REPORTS)
    def test_totals_are_the_sum_of_the_recent_reports_of_others(self, reports):
        summed, latest, now_ms = InFlightReports(VALID_MS), {}, 0.0
        for daemon, counts, pause_ms in reports:
            now_ms += pause_ms
            summed.record(daemon, counts, now_ms)
            latest[daemon] = counts, now_ms
            for asking in "abcde":
                expected = {}
                for other, (counted, at_ms) in latest.items():
                    if other == asking or at_ms < now_ms - VALID_MS:
                        continue
                    for server, count in counted.items():
                        expected[server] = expected.get(server, 0) + count
                totals = summed.totals_except(asking, now_ms)
                self.assertEqual({s: n for s, n in totals.items() if n}, expected)

    def test_malformed_report_changes_nothing(self):
        """Guards against one daemon's bad report that spoils the sums for all."""
        reports = InFlightReports(VALID_MS)
        reports.record("a", {"s1": 2}, 0.0)
        for counts in ({"s1": "2"}, {"s1": None}, {"s1": 1.5}, [["s1", 2]], None):
            with self.assertRaises(ValueError):
                reports.record("a", counts, 1.0)
        self.assertEqual(reports.totals_except("b", 1.0), {"s1": 2})

    def test_memory_does_not_grow_with_servers_of_the_past(self):
        reports, rng = InFlightReports(VALID_MS), random.Random(1)
        for step in range(1000):
            server = f"s{rng.randrange(10**9)}"
            reports.record(f"d{step % 7}", {server: 1}, float(step))
        self.assertLessEqual(len(reports.totals_except("", 1000.0)), 7)


if __name__ == "__main__":
    unittest.main()
