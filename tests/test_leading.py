"""When a daemon may lead, by its own clock only."""

import math
import types
import unittest

from tarragonramp.leadership import (
    CUT_OFF_DELAY_MS,
    SMALL_DELAY_MS,
    LeaderRecord,
    LeadershipState,
    LeaseTiming,
    is_small,
)

TIMING = LeaseTiming()
OWN = LeaderRecord("d1", "b1", "10.0.0.1:1", 3)
OTHER = LeaderRecord("d2", "b9", "10.0.0.2:1", 2)


class LeadershipStateTest(unittest.TestCase):
    """One daemon and the leader's record in the store."""

    def setUp(self):
        self.leadership_state = LeadershipState("10.0.0.1:1", "b1", TIMING)

    def test_record_that_is_renewed_is_not_taken_over(self):
        now_ms = 0.0
        for version in range(1, 20):
            self.leadership_state.observe(OTHER, version, now_ms)
            now_ms += TIMING.renew_ms
            self.assertFalse(self.leadership_state.may_take_over(now_ms))

    def test_unchanged_record_is_taken_over_after_the_lease(self):
        self.leadership_state.observe(OTHER, 5, 0.0)
        self.leadership_state.observe(OTHER, 5, TIMING.lease_ms - 1)
        self.assertFalse(self.leadership_state.may_take_over(TIMING.lease_ms - 1))
        self.assertTrue(self.leadership_state.may_take_over(TIMING.lease_ms))

    def test_earlier_process_at_the_same_address_has_ended(self):
        self.leadership_state.observe(LeaderRecord("d1", "b0", "10.0.0.1:1", 2), 5, 0.0)
        self.assertTrue(self.leadership_state.may_take_over(1.0))
        self.assertFalse(self.leadership_state.is_named)

    def test_record_without_a_name_can_be_taken_over(self):
        self.leadership_state.observe(LeaderRecord("", "", "", 4), 5, 0.0)
        self.assertTrue(self.leadership_state.may_take_over(1.0))

    def test_daemon_that_reaches_no_server_takes_over_last(self):
        """Guards against a leader that can grant no keys while others could."""
        end_ms = TIMING.lease_ms + CUT_OFF_DELAY_MS
        for name in ("", "d2"):
            self.leadership_state.observe(
                LeaderRecord(name, "b9", "10.0.0.2:1", 4), 5, 0.0
            )
            self.assertFalse(self.leadership_state.may_take_over(end_ms - 1.0, True))
            self.assertTrue(self.leadership_state.may_take_over(end_ms, True))

    def test_daemon_on_a_small_vm_takes_over_after_the_others(self):
        """Guards against a leader whose answers are late in a large fleet."""
        may_take_over = self.leadership_state.may_take_over
        self.assertFalse(may_take_over(SMALL_DELAY_MS - 1.0, is_small=True))
        self.assertTrue(may_take_over(SMALL_DELAY_MS, is_small=True))
        self.leadership_state.observe(OTHER, 5, 1000.0)
        end_ms = 1000.0 + TIMING.lease_ms
        self.assertTrue(may_take_over(end_ms))
        self.assertFalse(may_take_over(end_ms + SMALL_DELAY_MS - 1.0, is_small=True))
        self.assertTrue(may_take_over(end_ms + SMALL_DELAY_MS, is_small=True))

    def test_a_vm_is_small_beside_much_larger_ones(self):
        self.assertTrue(is_small(0.1, []))
        self.assertFalse(is_small(0.86, []))
        self.assertTrue(is_small(0.1, [0.1, 2.0]))
        self.assertFalse(is_small(0.1, [0.1, 0.1]))
        self.assertFalse(is_small(2.0, [0.1, 2.15]))

    def test_moves_stop_before_another_daemon_can_take_over(self):
        """An unconfirmed leader renews grants but moves no keys."""
        self.leadership_state.confirmed(OWN, 7, 1000.0)
        self.assertTrue(
            self.leadership_state.may_move(1000.0 + TIMING.lease_ms / 2 - 1)
        )
        self.assertFalse(self.leadership_state.may_move(1000.0 + TIMING.lease_ms))
        self.assertTrue(self.leadership_state.may_renew(1000.0 + TIMING.right_ms - 1))
        self.assertFalse(self.leadership_state.may_renew(1000.0 + TIMING.right_ms))

    def test_new_tokens_stop_before_another_daemon_can_take_over(self):
        """Another daemon may have a faster clock, and saw the write after its start."""
        self.assertEqual(self.leadership_state.sole_until_ms, -math.inf)
        self.leadership_state.confirmed(OWN, 7, 1000.0)
        until_ms = self.leadership_state.sole_until_ms
        other = LeadershipState("10.0.0.2:1", "c1", TIMING)
        other.observe(OWN, 7, 1000.0)
        elapsed_ms = (until_ms + TIMING.margin_ms - 1000.0) * TIMING.drift
        self.assertFalse(other.may_take_over(1000.0 + elapsed_ms - 1.0))

    def test_new_tokens_are_sent_while_the_store_responds_late(self):
        """Guards against servers without keys while each write takes 1.4 s."""
        self.leadership_state.confirmed(OWN, 7, 1000.0)
        self.assertGreater(self.leadership_state.sole_until_ms, 1000.0 + 1400.0)

    def test_leader_that_resigned_stops_at_once(self):
        self.leadership_state.confirmed(OWN, 7, 1000.0)
        self.leadership_state.give_up()
        self.assertFalse(self.leadership_state.may_renew(1001.0))
        self.assertEqual(self.leadership_state.sole_until_ms, -math.inf)

    def test_holds_are_limited_to_what_servers_accept(self):
        """Guards against longer grants; the server would refuse them and own no key."""
        short = LeaseTiming.from_bounds(types.SimpleNamespace(longest_hold_ms=3500.0))
        self.assertEqual(short.hold_ms, 3500.0)
        self.assertLess(2 * short.regrant_ms, short.hold_ms)
        usual = LeaseTiming.from_bounds(types.SimpleNamespace(longest_hold_ms=1e5))
        self.assertEqual(usual, TIMING)

    def test_invalid_record_is_an_error(self):
        self.assertEqual(LeaderRecord.from_spec(OWN.to_spec()), OWN)
        for spec in ({}, {"name": "x"}, None, {**OWN.to_spec(), "term": "many"}):
            with self.assertRaises((ValueError, TypeError)):
                LeaderRecord.from_spec(spec)
