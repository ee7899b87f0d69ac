"""What cold servers get from all daemons together."""

import random
import unittest

from tarragonramp.cold import UNKNOWN_DAEMONS, ColdShares


def most_in_a_second(times_ms):
    """Return the most of some times that lie within one second."""
    return max(sum(t <= at < t + 1000.0 for at in times_ms) for t in times_ms)


class ColdSharesTest(unittest.TestCase):
    """Callers press on one cold server through all daemons."""

    def press(self, n_daemons, bound, known=None):
        """Return when requests were let through, from all daemons."""
        names = [f"d{i}" for i in range(n_daemons)]
        shares = [ColdShares(name) for name in names]
        rng, times = random.Random(3), []
        for at_ms in range(0, 5000, 5):
            for share in rng.sample(shares, len(shares)):
                if share.take("s1", bound, names if known is None else known, at_ms):
                    times.append(float(at_ms))
        return times

    def test_few_slow_servers_and_many_daemons(self):
        """A server that bears 8.6 requests a second, before nine daemons."""
        times = self.press(9, 2.4 * 1.5 + 5)
        self.assertGreater(len(times), 10)
        self.assertLessEqual(most_in_a_second(times), 8)

    def test_as_many_daemons_as_were_ever_added(self):
        times = self.press(13, 2.4 * 1.5 + 5)
        self.assertLessEqual(most_in_a_second(times), 8)

    def test_a_server_that_bears_more_gets_more(self):
        times = self.press(8, 12 * 1.5 + 5)
        self.assertLessEqual(most_in_a_second(times), 23)
        self.assertGreater(len(times), 50)

    def test_what_does_not_divide_evenly_is_used_too(self):
        """A failure domain comes back cold, and callers are refused by the hundred.

        Each of eleven daemons sent one request a second to each of its servers, which
        bear more than twenty.
        """
        times = self.press(11, 11 * 1.5 + 5)
        self.assertLessEqual(most_in_a_second(times), 17)
        self.assertGreater(len(times) / 5.0, 15.0)

    def test_daemons_that_differ_in_how_many_they_are(self):
        """Two daemons have just joined, and only some of the others have heard."""
        bound = 11 * 1.5 + 5
        names = [f"d{i}" for i in range(11)]
        shares = [ColdShares(name) for name in names]
        known = [names[: 9 + i % 3] for i in range(11)]
        sent = sum(
            share.take("s1", bound, known[i], 0.0)
            for i, share in enumerate(shares)
            for _ in range(20)
        )
        self.assertLessEqual(sent, bound)

    def test_daemons_that_do_not_know_how_many_they_are(self):
        times = self.press(UNKNOWN_DAEMONS, 23.0, known=[])
        self.assertLessEqual(most_in_a_second(times) if times else 0, 23)
        self.assertEqual(self.press(9, 8.6, known=[]), [])
