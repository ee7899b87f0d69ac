"""Which requests a stopping daemon still takes."""

import math
import unittest
from unittest import mock

from tarragonramp.stopping import LAST_PART_MS, StopDeadline, is_answered_in_time


class StopDeadlineTest(unittest.TestCase):
    """Decisions by the time that is left, and by what requests took."""

    def setUp(self):
        self.clock = mock.Mock()
        self.clock.now_ms.return_value = 10_000.0
        self.stop = StopDeadline(self.clock)

    def allows(self, left_ms=60_000.0, expected_ms=0.0):
        """Return whether a request with some time left may be sent."""
        return self.stop.allows("view", 10_000.0 + left_ms, expected_ms)

    def test_a_request_ends_before_the_process_does(self):
        """Guards against a request that is sent although its answer can't arrive."""
        self.assertTrue(is_answered_in_time(1450.0, 9000.0, 1000.0))
        self.assertFalse(is_answered_in_time(1449.0, 9000.0, 1000.0))
        self.assertTrue(is_answered_in_time(700.0, 500.0, 1000.0))
        self.assertFalse(is_answered_in_time(699.0, 500.0, 1000.0))
        self.assertFalse(is_answered_in_time(LAST_PART_MS - 1.0, 9000.0, 0.0))

    def test_a_request_of_unknown_duration_may_take_all_its_time(self):
        self.assertTrue(is_answered_in_time(9200.0, 9000.0, None))
        self.assertFalse(is_answered_in_time(9199.0, 9000.0, None))

    def test_everything_is_taken_without_a_stop(self):
        self.assertTrue(self.allows(math.inf))
        self.stop.record("view", 1e9)
        self.assertTrue(self.allows())

    def test_the_longest_of_late_counts(self):
        """Guards against a mean that half of the requests exceed."""
        for took_ms in (1000.0, *[100.0] * 5):
            self.stop.record("view", took_ms)
        self.stop.ends_ms = 10_000.0 + 1000.0
        self.assertFalse(self.allows())
        for _ in range(200):
            self.stop.record("view", 100.0)
        self.assertTrue(self.allows())

    def test_a_queue_at_the_server_counts(self):
        """Guards against a request that waits until the process ends."""
        self.stop.record("view", 100.0)
        self.stop.ends_ms = 10_000.0 + 1000.0
        self.assertTrue(self.allows(expected_ms=600.0))
        self.assertFalse(self.allows(expected_ms=700.0))

    def test_a_route_that_was_not_used_may_take_all_its_time(self):
        """Guards against a default that is shorter than what requests take."""
        self.stop.ends_ms = 10_000.0 + 5000.0
        self.assertTrue(self.allows(left_ms=4000.0, expected_ms=10.0))
        self.assertFalse(self.allows(left_ms=4900.0, expected_ms=10.0))


if __name__ == "__main__":
    unittest.main()
