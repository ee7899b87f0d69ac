"""When an entry may send to a server directly, without its steward."""

import unittest

from tarragonramp.permits import DirectSendPermits


class DirectSendPermitsTest(unittest.TestCase):
    """A permit is valid until there is a sign of a restart."""

    def is_valid(self, permits, at_ms, address="a:1", connected=True):
        return permits.is_valid("s", address, lambda: connected, at_ms)

    def test_only_a_stewards_report_allows_direct_sending(self):
        permits = DirectSendPermits()
        self.assertFalse(self.is_valid(permits, 0.0))
        permits.allow("s", "a:1", 0.0)
        self.assertTrue(self.is_valid(permits, 1e6))
        permits.revoke("s")
        self.assertFalse(self.is_valid(permits, 1e6))

    def test_lost_connection_ends_the_permit(self):
        """A server is replaced between two requests of an entry."""
        permits = DirectSendPermits()
        permits.allow("s", "a:1", 0.0)
        self.assertTrue(self.is_valid(permits, 250.0, connected=False))
        self.assertFalse(self.is_valid(permits, 251.0, connected=False))
        self.assertFalse(self.is_valid(permits, 252.0))

    def test_permit_applies_to_one_address(self):
        permits = DirectSendPermits()
        permits.allow("s", "a:1", 0.0)
        self.assertFalse(self.is_valid(permits, 1.0, address="a:2"))
