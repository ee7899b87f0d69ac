"""Pauses before requests that were sent ahead."""

import unittest

import attrs

from tarragonramp.clock import ManualClock
from tarragonramp.pacing import MAX_PACE_MS, AheadPacing

TICK_MS, WORK_MS, PLACES, CROWD = 5.0, 20.0, 50, 250


@attrs.define(eq=False)
class AheadClient:
    """Asks again as soon as it has its answer."""

    next_ms: float = 0.0
    n_refused: int = 0


def play(is_paced, seconds=20):
    """Let a crowd that sends ahead and ordinary clients share some places.

    Returns
    -------
    share : float
        Of the requests of ordinary clients that were served.
    """
    clock = ManualClock()
    pacing = AheadPacing(clock)
    crowd = [AheadClient() for _ in range(CROWD)]
    ends_ms, n_served, n_asked = [], 0, 0

    def is_served():
        if len(ends_ms) < PLACES:
            ends_ms.append(clock.now_ms() + WORK_MS)
            return True
        pacing.record_refusal()
        return False

    for tick in range(int(seconds * 1000 / TICK_MS)):
        now_ms = clock.now_ms()
        ends_ms[:] = [end_ms for end_ms in ends_ms if end_ms > now_ms]
        for client in crowd:
            if client.next_ms > now_ms:
                continue
            served = is_served()
            client.n_refused = 0 if served else client.n_refused + 1
            pause_ms = pacing.pause_ms(client.n_refused) if is_paced else 0.0
            client.next_ms = now_ms + (WORK_MS if served else 0.0) + pause_ms
        if tick % 4 == 0:
            n_asked += 1
            n_served += is_served()
        clock.advance(TICK_MS)
    return n_served / n_asked


class AheadPacingTest(unittest.TestCase):
    """Clients that send ahead leave places to those that wait for their answers."""

    def test_ordinary_clients_are_served_beside_a_crowd(self):
        """Guards against a crowd that takes each place as soon as it is free."""
        self.assertLess(play(is_paced=False), 0.1)
        self.assertGreater(play(is_paced=True), 0.8)

    def test_there_is_no_pause_without_refusals(self):
        pacing = AheadPacing(ManualClock())
        self.assertEqual(pacing.pause_ms(0), 0.0)
        self.assertEqual(pacing.pause_ms(2), 0.0)

    def test_the_pause_ends_after_the_last_refusal(self):
        """Guards against clients that are slowed for good."""
        clock = ManualClock()
        pacing = AheadPacing(clock)
        for _ in range(1000):
            pacing.record_refusal()
            clock.advance(10.0)
        self.assertEqual(pacing.pause_ms(0), MAX_PACE_MS)
        clock.advance(1000.0)
        self.assertEqual(pacing.pause_ms(0), 0.0)

    def test_a_connection_whose_requests_are_all_refused_waits_longer(self):
        pacing = AheadPacing(ManualClock())
        pauses_ms = [pacing.pause_ms(n) for n in range(12)]
        self.assertEqual(pauses_ms, sorted(pauses_ms))
        self.assertEqual((pauses_ms[3], pauses_ms[11]), (50.0, 800.0))
