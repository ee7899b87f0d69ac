"""Grants and proofs of release, on manual clocks."""

import unittest

from tarragonramp import GrantLedger, ServerAnswer

GRANT_MS = 1200.0


def answered(ledger, clock_ms, now_ms, boot_id="b1", sequence=None):
    """Process an immediate response of the server."""
    term = ledger.term if sequence is not None else 0
    answer = ServerAnswer(boot_id, clock_ms, term, sequence or 0)
    return ledger.observe(answer, now_ms, now_ms)


class GrantTest(unittest.TestCase):
    """Grants that a steward sends."""

    def test_no_grant_before_the_server_clock_is_known(self):
        ledger = GrantLedger(1, GRANT_MS, 0.0)
        self.assertIsNone(ledger.next_grant({0: 1}, 10.0))

    def test_a_grant_ends_on_the_servers_clock(self):
        ledger = GrantLedger(1, GRANT_MS, 0.0)
        answered(ledger, clock_ms=5_000_000.0, now_ms=10.0)
        grant = ledger.next_grant({0: 1}, 10.0)
        self.assertEqual(grant.until_ms, 5_000_000.0 + GRANT_MS)

    def test_paused_server_is_not_sent_later_ends(self):
        """Guards against extending the grants of a paused server.

        A server is paused with a renewal in its socket buffer while its steward keeps
        sending. If each renewal had a later end, the resumed server would read the last
        of them and own keys that have been moved.
        """
        ledger = GrantLedger(1, GRANT_MS, 0.0)
        answered(ledger, clock_ms=100.0, now_ms=0.0)
        first = ledger.next_grant({0: 1}, 0.0)
        self.assertIsNotNone(first)
        self.assertIsNone(ledger.next_grant({0: 1}, 250.0))
        self.assertEqual(ledger.released(0, first.until_ms - 100.0), "")
        self.assertEqual(ledger.released(0, first.until_ms + 10.0), "expired")

    def test_unsent_grant_does_not_postpone_expiry(self):
        """Guards against counting grants that were never sent.

        A backend server is killed and refuses connections. Its keys are free once the
        last grant that it was sent has expired; counting the unsent ones makes callers
        wait 900 ms longer.
        """
        ledger = GrantLedger(1, GRANT_MS, 0.0)
        answered(ledger, clock_ms=100.0, now_ms=0.0)
        ledger.next_grant({0: 1}, 0.0)
        answered(ledger, clock_ms=100.0, now_ms=0.0, sequence=1)
        for now_ms in (250.0, 500.0, 750.0):
            self.assertIsNotNone(ledger.next_grant({0: 1}, now_ms))
            ledger.not_sent()
        self.assertEqual(ledger.released(0, GRANT_MS - 10.0), "")
        self.assertEqual(ledger.released(0, GRANT_MS + 10.0), "expired")


class ReleaseTest(unittest.TestCase):
    """Proofs that a slice has been released."""

    def ledger_with_grant(self):
        ledger = GrantLedger(3, GRANT_MS, 0.0)
        answered(ledger, clock_ms=100.0, now_ms=0.0)
        grant = ledger.next_grant({0: 7, 1: 7}, 0.0)
        answered(ledger, 100.0, 0.0, sequence=grant.sequence)
        return ledger

    def test_an_owned_slice_is_not_released(self):
        self.assertEqual(self.ledger_with_grant().released(0, 10.0), "")

    def test_unanswered_smaller_grant_is_no_proof(self):
        ledger = self.ledger_with_grant()
        ledger.next_grant({1: 7}, 10.0)
        self.assertEqual(ledger.released(0, 20.0), "")

    def test_an_acknowledged_smaller_grant_is_proof(self):
        ledger = self.ledger_with_grant()
        grant = ledger.next_grant({1: 7}, 10.0)
        answered(ledger, 110.0, 10.0, sequence=grant.sequence)
        self.assertEqual(ledger.released(0, 20.0), "acknowledged")
        self.assertEqual(ledger.released(1, 20.0), "")

    def test_late_copy_of_an_answer_proves_nothing(self):
        """Guards against a copy that passes for the answer to a smaller grant."""
        ledger = self.ledger_with_grant()
        ledger.next_grant({1: 7}, 10.0)
        answered(ledger, 100.0, 10.0, sequence=1)
        self.assertEqual(ledger.released(0, 20.0), "")
        ends_ms = GRANT_MS
        self.assertEqual(ledger.released(0, ends_ms), "")
        self.assertEqual(ledger.released(0, ends_ms + 30.0), "expired")

    def test_a_new_boot_id_is_proof(self):
        ledger = self.ledger_with_grant()
        self.assertTrue(answered(ledger, 3.0, 400.0, boot_id="b2"))
        self.assertEqual(ledger.released(0, 400.0), "acknowledged")

    def test_unknown_inherited_end_is_never_proved_by_time(self):
        ledger = GrantLedger(4, GRANT_MS, None)
        self.assertEqual(ledger.released(0, 1e12), "")

    def test_inherited_grants_expire(self):
        ledger = GrantLedger(4, GRANT_MS, 2000.0)
        self.assertEqual(ledger.released(0, 1999.0), "")
        self.assertEqual(ledger.released(0, 2000.0), "acknowledged")

    def test_restart_does_not_end_grants_of_an_earlier_steward(self):
        """Guards against taking the end of a process for a proof of release.

        A server restarts while the earlier steward still has its right. That steward
        may be the first to reach the new process, which has forgotten the higher term.
        """
        ledger = GrantLedger(4, GRANT_MS, 2000.0, earlier_right_ends_ms=800.0)
        answered(ledger, clock_ms=100.0, now_ms=0.0)
        grant = ledger.next_grant({1: 7}, 0.0)
        answered(ledger, 100.0, 10.0, sequence=grant.sequence)
        self.assertEqual(ledger.released(0, 20.0), "")
        answered(ledger, 3.0, 400.0, boot_id="b2")
        self.assertEqual(ledger.released(0, 400.0), "")
        self.assertEqual(ledger.released(0, 2000.0), "acknowledged")

    def test_acceptance_after_the_earlier_right_is_permanent_proof(self):
        ledger = GrantLedger(4, GRANT_MS, None, earlier_right_ends_ms=800.0)
        answered(ledger, clock_ms=100.0, now_ms=0.0)
        grant = ledger.next_grant({1: 7}, 810.0)
        answered(ledger, 100.0, 820.0, sequence=grant.sequence)
        self.assertEqual(ledger.released(0, 830.0), "acknowledged")
        answered(ledger, 3.0, 900.0, boot_id="b2")
        self.assertEqual(ledger.released(0, 900.0), "acknowledged")

    def test_new_address_is_no_proof_for_the_old_process(self):
        """A VM is replaced under its name; the old one is cut off but still running."""
        ledger = self.ledger_with_grant()
        ledger.address_changed(100.0)
        answered(ledger, 3.0, 110.0, boot_id="b2")
        self.assertEqual(ledger.released(0, 110.0), "")
        self.assertEqual(ledger.released(0, GRANT_MS + 10.0), "acknowledged")

    def test_without_a_right_only_the_known_process_is_renewed(self):
        ledger = self.ledger_with_grant()
        self.assertIsNotNone(ledger.next_grant({0: 7}, 10.0, known_process_only=True))
        answered(ledger, 3.0, 20.0, boot_id="b2")
        self.assertIsNone(ledger.next_grant({0: 7}, 30.0, known_process_only=True))
