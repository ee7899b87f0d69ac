"""When an entry probes a silent server, on a manual clock."""

import unittest

from tarragonramp.reachability import PROBE_AFTER_MS, Reachability


class ReachabilityTest(unittest.TestCase):
    """Requests to a silent server are rejected at once; those to a busy one are not."""

    def test_paused_server_is_probed_once_and_found_down(self):
        """A server is paused with requests in flight.

        The next request after a quarter of a second triggers a probe. Once the probe
        fails, further requests are rejected instead of waiting until their deadlines.
        """
        reach = Reachability()
        reach.request_sent(0.0)
        self.assertFalse(reach.should_probe(PROBE_AFTER_MS - 1))
        self.assertTrue(reach.should_probe(PROBE_AFTER_MS))
        self.assertFalse(reach.should_probe(PROBE_AFTER_MS + 1))
        self.assertFalse(reach.probe_ended(False, 2 * PROBE_AFTER_MS))
        self.assertTrue(reach.down)
        self.assertTrue(reach.probe_ended(True, 9000.0))
        self.assertFalse(reach.down)

    def test_long_request_among_fast_responses_triggers_no_probe(self):
        reach = Reachability()
        reach.request_sent(0.0)
        for now_ms in range(0, 3000, 100):
            reach.request_ended(reach.request_sent(now_ms), True, now_ms + 5.0)
            self.assertFalse(reach.should_probe(now_ms + 50.0))

    def test_long_request_alone_triggers_a_probe_and_continues(self):
        reach = Reachability()
        number = reach.request_sent(0.0)
        self.assertTrue(reach.should_probe(600.0))
        self.assertTrue(reach.probe_ended(True, 605.0))
        self.assertFalse(reach.down)
        reach.request_ended(number, True, 700.0)
        self.assertFalse(reach.should_probe(5000.0))

    def test_burst_after_an_idle_period_triggers_no_probe(self):
        reach = Reachability()
        reach.request_ended(reach.request_sent(0.0), True, 5.0)
        for _ in range(50):
            reach.request_sent(60_000.0)
        self.assertFalse(reach.should_probe(60_000.0 + PROBE_AFTER_MS - 1))
