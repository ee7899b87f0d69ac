"""When an entry begins to doubt that a server is there, on a manual clock."""

import unittest

from tarragonramp.reachability import PROBE_AFTER_MS, Reachability


class ReachabilityTest(unittest.TestCase):
    """Callers of a silent server are refused at once; those of a busy one are not."""

    def test_a_frozen_server_is_doubted_once_and_found_down(self):
        """A server freezes with requests in its hands.

        The next caller after a quarter of a second makes the entry ask; once that
        goes unanswered, further callers are refused instead of waiting it out.
        """
        reach = Reachability()
        reach.sent(0.0)
        self.assertFalse(reach.should_probe(PROBE_AFTER_MS - 1))
        self.assertTrue(reach.should_probe(PROBE_AFTER_MS))
        self.assertFalse(reach.should_probe(PROBE_AFTER_MS + 1))
        self.assertFalse(reach.probed(False, 2 * PROBE_AFTER_MS))
        self.assertTrue(reach.down)
        self.assertTrue(reach.probed(True, 9000.0))
        self.assertFalse(reach.down)

    def test_long_work_among_quick_answers_raises_no_doubt(self):
        reach = Reachability()
        reach.sent(0.0)
        for now_ms in range(0, 3000, 100):
            reach.ended(reach.sent(now_ms), True, now_ms + 5.0)
            self.assertFalse(reach.should_probe(now_ms + 50.0))

    def test_long_work_alone_is_asked_about_and_goes_on(self):
        reach = Reachability()
        number = reach.sent(0.0)
        self.assertTrue(reach.should_probe(600.0))
        self.assertTrue(reach.probed(True, 605.0))
        self.assertFalse(reach.down)
        reach.ended(number, True, 700.0)
        self.assertFalse(reach.should_probe(5000.0))

    def test_a_burst_after_silence_raises_no_doubt(self):
        reach = Reachability()
        reach.ended(reach.sent(0.0), True, 5.0)
        for _ in range(50):
            reach.sent(60_000.0)
        self.assertFalse(reach.should_probe(60_000.0 + PROBE_AFTER_MS - 1))
