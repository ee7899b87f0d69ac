"""Which servers may be sent requests, by their entries and the state of the store."""

import types
import unittest

import attrs

from tarragonramp import ManualClock
from tarragonramp.directory import (
    LEFT_RETENTION_MS,
    MISSING_ROUTABLE_MS,
    RETURN_GRACE_MS,
    BackendServer,
    Directory,
)

MAX_NOTICE_MS = 950.0
"""Longest time until a daemon learns that an entry is gone, if the leader missed it."""

SERVER = BackendServer("s1", 1000, "desk", "10.0.0.1:80", "a", 4)


class DirectoryTest(unittest.TestCase):
    """One service with one server, on a manual clock."""

    def setUp(self):
        self.clock = ManualClock(50_000.0)
        self.directory = Directory(self.clock)
        self.directory.upsert(SERVER)

    def usable(self):
        """Return the names of usable servers."""
        return {server.name for server in self.directory.usable("desk")}

    def test_servers_draining_or_in_a_domain_taken_out_are_not_usable(self):
        self.assertEqual(self.usable(), {"s1"})
        self.directory.upsert(attrs.evolve(SERVER, draining=True))
        self.assertEqual(self.usable(), set())
        self.directory.upsert(SERVER)
        self.directory.set_taken_out({"a"}, lambda service: 3000.0)
        self.assertEqual(self.usable(), set())

    def test_servers_of_a_returning_domain_count_as_cold(self):
        """They may have become cold without reporting it and would be overloaded."""
        self.directory.set_taken_out({"a"}, lambda service: 3000.0)
        self.directory.set_taken_out(set(), lambda service: 3000.0)
        self.assertEqual(self.usable(), {"s1"})
        self.assertTrue(self.directory.is_cold("s1"))
        self.clock.advance(3001.0)
        self.assertFalse(self.directory.is_cold("s1"))

    def test_server_that_says_it_leaves_is_not_usable_though_its_entry_is_ready(self):
        """Guards against an entry that is outdated, rewound or not written at all."""
        self.assertTrue(self.directory.mark_leaving("s1", 1000))
        self.assertFalse(self.directory.mark_leaving("s1", 1000))
        self.assertEqual(self.usable(), set())
        self.directory.upsert(attrs.evolve(SERVER, cold_ms=5.0))
        self.assertEqual(self.usable(), set())
        self.directory.remove_server("s1")
        self.directory.forget_left()
        self.directory.upsert(SERVER)
        self.assertEqual(self.usable(), set())

    def test_later_life_of_a_server_does_not_leave(self):
        self.directory.mark_leaving("s1", 1000)
        self.directory.upsert(attrs.evolve(SERVER, life=2000))
        self.assertEqual(self.usable(), {"s1"})
        self.assertEqual(self.directory.leaving(), [])

    def test_owner_that_says_it_leaves_is_sent_requests_while_its_keys_may_move(self):
        """Guards against keys without an owner until whoever moves them is told."""
        self.directory.mark_leaving("s1", 1000)
        self.assertTrue(self.directory.may_serve_keys(SERVER))
        self.clock.advance(self.directory.key_move_ms - 1.0)
        self.directory.mark_leaving("s1", 1000)
        self.assertTrue(self.directory.may_serve_keys(SERVER))
        self.clock.advance(1.0)
        self.assertFalse(self.directory.may_serve_keys(SERVER))

    def test_owner_whose_entry_is_draining_is_sent_no_requests(self):
        self.directory.mark_leaving("s1", 1000)
        self.assertFalse(
            self.directory.may_serve_keys(attrs.evolve(SERVER, draining=True))
        )

    def test_server_that_has_left_is_forgotten_in_the_end(self):
        """Guards against a table that grows with each server that ever left."""
        self.directory.mark_leaving("s1", 1000)
        self.clock.advance(LEFT_RETENTION_MS + 1.0)
        self.directory.forget_left()
        self.assertEqual(self.directory.leaving(), [("s1", 1000)])
        self.directory.remove_server("s1")
        self.directory.forget_left()
        self.directory.upsert(SERVER)
        self.assertEqual(self.usable(), {"s1"})

    def test_expired_entry_may_return_after_an_outage(self):
        """Guards against a service without servers after an outage of the store.

        Entries expire during the outage although the servers are running.
        """
        self.directory.remove_server("s1", may_return=True)
        self.assertEqual(self.usable(), {"s1"})
        self.directory.upsert(SERVER)
        self.clock.advance(RETURN_GRACE_MS + 1)
        self.assertEqual(self.directory.drop_missing(), [])
        self.assertEqual(self.usable(), {"s1"})

    def test_server_that_left_during_store_failures_is_unusable_after_two_seconds(self):
        """Guards against sending requests to servers that left more than 2 s ago.

        Shortly after a failure of the store, missing entries are taken for expired
        ones. Servers were then sent requests for 2.5 s (22 requests on one day).
        """
        self.directory.remove_server("s1", may_return=True)
        self.clock.advance(MISSING_ROUTABLE_MS)
        self.assertLess(MISSING_ROUTABLE_MS + MAX_NOTICE_MS, 2000.0)
        self.assertEqual(self.usable(), set())
        self.clock.advance(RETURN_GRACE_MS)
        self.assertEqual(self.directory.drop_missing(), ["s1"])

    def test_ended_cold_starts_are_forgotten(self):
        """Guards against choices that slow down with each server that ever started."""
        for number in range(50):
            self.directory.mark_cold(f"s{number}", 1000.0)
            self.clock.advance(100.0)
        servers = [types.SimpleNamespace(name=f"s{number}") for number in range(50)]
        warm = [server.name for server in self.directory.warm(servers)]
        self.assertEqual(warm, [f"s{number}" for number in range(41)])
        self.assertEqual(len(self.directory._cold_end_ms), 9)
        self.assertTrue(self.directory.is_cold("s49"))
        self.assertFalse(self.directory.is_cold("s0"))

    def test_server_that_becomes_cold_again_is_cold(self):
        """Guards against full load on a server whose entry says so a second time."""
        for cold_ms, is_cold in ((3000.0, True), (0.0, False), (2000.0, True)):
            self.directory.upsert(attrs.evolve(SERVER, cold_ms=cold_ms))
            self.assertEqual(self.directory.is_cold("s1"), is_cold)
            self.clock.advance(3500.0)
            self.assertFalse(self.directory.is_cold("s1"))

    def test_server_is_cold_once_per_process(self):
        """Entries are written seconds apart; one that is read late changes nothing."""
        cold = attrs.evolve(SERVER, name="s2", cold_ms=3000.0)
        self.directory.upsert(cold)
        self.assertTrue(self.directory.is_cold("s2"))
        self.clock.advance(3500.0)
        self.directory.upsert(cold)
        self.assertFalse(self.directory.is_cold("s2"))
        self.directory.upsert(attrs.evolve(cold, life=2000))
        self.assertTrue(self.directory.is_cold("s2"))
