"""Which servers may be sent requests, by what they and the store say."""

import unittest

import attrs

from tarragonramp import ManualClock
from tarragonramp.directory import (
    MISSING_USE_MS,
    RETURN_GRACE_MS,
    BackendServer,
    Directory,
)

SERVER = BackendServer("s1", 1000, "desk", "10.0.0.1:80", "a", 4)


class DirectoryTest(unittest.TestCase):
    """One service with a few servers, on a manual clock."""

    def setUp(self):
        self.clock = ManualClock(50_000.0)
        self.directory = Directory(self.clock)
        self.directory.take(SERVER)

    def usable(self):
        """Return the names of usable servers."""
        return {server.name for server in self.directory.usable("desk")}

    def test_draining_and_evacuated_get_nothing(self):
        self.assertEqual(self.usable(), {"s1"})
        self.directory.take(attrs.evolve(SERVER, draining=True))
        self.assertEqual(self.usable(), set())
        self.directory.take(SERVER)
        self.directory.set_taken_out({"a"}, lambda service: 3000.0)
        self.assertEqual(self.usable(), set())

    def test_servers_of_a_domain_that_is_taken_back_count_as_cold(self):
        """They may have become cold unsaid; the full load would end them."""
        self.directory.set_taken_out({"a"}, lambda service: 3000.0)
        self.directory.set_taken_out(set(), lambda service: 3000.0)
        self.assertEqual(self.usable(), {"s1"})
        self.assertTrue(self.directory.is_cold("s1"))
        self.clock.advance(3001.0)
        self.assertFalse(self.directory.is_cold("s1"))

    def test_a_lapsed_entry_may_come_back_after_an_outage(self):
        """The store was away and its entries lapsed, though the servers live.

        Callers would find a service without servers until they are back.
        """
        self.directory.lose("s1", may_return=True)
        self.assertEqual(self.usable(), {"s1"})
        self.directory.take(SERVER)
        self.clock.advance(RETURN_GRACE_MS + 1)
        self.assertEqual(self.directory.drop_missing(), [])
        self.assertEqual(self.usable(), {"s1"})

    def test_a_server_that_left_during_trouble_gets_nothing_after_two_seconds(self):
        """A day on which 22 requests reached servers that had left 2 s before.

        The store had just been in trouble, so their missing entries were taken for
        lapsed ones, and they were sent requests for two and a half seconds.
        """
        self.directory.lose("s1", may_return=True)
        self.clock.advance(MISSING_USE_MS)
        self.assertLess(MISSING_USE_MS, 2000.0)
        self.assertEqual(self.usable(), set())
        self.clock.advance(RETURN_GRACE_MS)
        self.assertEqual(self.directory.drop_missing(), ["s1"])

    def test_a_server_is_cold_once_a_life(self):
        """Entries are written seconds apart; an old one read late changes nothing."""
        cold = attrs.evolve(SERVER, name="s2", cold_ms=3000.0)
        self.directory.take(cold)
        self.assertTrue(self.directory.is_cold("s2"))
        self.clock.advance(3500.0)
        self.directory.take(cold)
        self.assertFalse(self.directory.is_cold("s2"))
        self.directory.take(attrs.evolve(cold, life=2000))
        self.assertTrue(self.directory.is_cold("s2"))
