"""Requests that servers in a cold start receive from all daemons together."""

import random
import unittest

from tarragonramp.limits.cold_start import ASSUMED_DAEMONS, ColdStartLimiter


def max_per_second(times_ms):
    """Return the largest number of the given times that lie within one second."""
    return max(sum(t <= at < t + 1000.0 for at in times_ms) for t in times_ms)


class ColdStartLimiterTest(unittest.TestCase):
    """Callers send to one cold server through all daemons."""

    def send_all(self, n_daemons, bound, known=None):
        """Return the times at which requests were let through, for all daemons."""
        names = [f"d{i}" for i in range(n_daemons)]
        limiters = [ColdStartLimiter(name) for name in names]
        rng, times = random.Random(3), []
        for at_ms in range(0, 5000, 5):
            for limiter in rng.sample(limiters, len(limiters)):
                if limiter.try_acquire(
                    "s1", bound, names if known is None else known, at_ms
                ):
                    times.append(float(at_ms))
        return times

    def test_limit_below_one_request_per_daemon(self):
        """A server that can handle 8.6 requests a second, and nine daemons."""
        times = self.send_all(9, 2.4 * 1.5 + 5)
        self.assertGreater(len(times), 10)
        self.assertLessEqual(max_per_second(times), 8)

    def test_thirteen_daemons(self):
        """As many daemons as were ever added."""
        times = self.send_all(13, 2.4 * 1.5 + 5)
        self.assertLessEqual(max_per_second(times), 8)

    def test_server_with_a_higher_limit_gets_more(self):
        times = self.send_all(8, 12 * 1.5 + 5)
        self.assertLessEqual(max_per_second(times), 23)
        self.assertGreater(len(times), 50)

    def test_remainder_is_used(self):
        """The remainder of the division among the daemons is used as well.

        Guards against rejecting callers by the hundred when a failure domain returns
        cold: each of eleven daemons sent one request a second to each of its servers,
        which can handle more than twenty.
        """
        times = self.send_all(11, 11 * 1.5 + 5)
        self.assertLessEqual(max_per_second(times), 17)
        self.assertGreater(len(times) / 5.0, 15.0)

    def test_daemons_disagree_on_their_number(self):
        """Two daemons have just joined, and only some of the others know of them."""
        bound = 11 * 1.5 + 5
        names = [f"d{i}" for i in range(11)]
        limiters = [ColdStartLimiter(name) for name in names]
        known = [names[: 9 + i % 3] for i in range(11)]
        sent = sum(
            limiter.try_acquire("s1", bound, known[i], 0.0)
            for i, limiter in enumerate(limiters)
            for _ in range(20)
        )
        self.assertLessEqual(sent, bound)

    def test_number_of_daemons_is_unknown(self):
        times = self.send_all(ASSUMED_DAEMONS, 23.0, known=[])
        self.assertLessEqual(max_per_second(times) if times else 0, 23)
        self.assertEqual(self.send_all(9, 8.6, known=[]), [])
