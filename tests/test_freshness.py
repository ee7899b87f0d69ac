"""How a daemon keeps its manifest recent when leader, store or peers fall silent."""

import types
import unittest

import gevent
from returns.result import Failure, Success

from tarragonramp.clock import Clock, ManualClock
from tarragonramp.errors import PlatformUnreachableError
from tarragonramp.fleet_view import FOLLOWED_KINDS, FleetView
from tarragonramp.manifest import Manifest, Route, RouteTable, WeightedService
from tarragonramp.model import Stored
from tarragonramp.roles.follower import Follower
from tarragonramp.roles.freshness import (
    MAX_AGE_MS,
    MAX_DELAY_MS,
    MAX_UNCONFIRMED_MS,
    MIN_RETRY_MS,
    READ_TIMEOUT_MS,
    ManifestFreshness,
)

LIMIT_MS = 2000.0
"""Time in which a change has to be in force."""

ROUTE = Route("h", "/new/", (WeightedService("desk"),), True, 1000.0, 500.0)


class Store:
    """Holds one manifest; may be silent or refuse calls.

    Parameters
    ----------
    version : int
        Of the manifest.
    is_silent, is_down : bool
    """

    def __init__(self):
        self.version, self.n_calls = 1, 0
        self.is_silent = self.is_down = False

    def snapshot(self, kind):
        """Return the only object."""
        self.n_calls += 1
        if self.is_silent:
            gevent.sleep(60.0)
        if self.is_down:
            return Failure(PlatformUnreachableError("down"))
        spec = {"version": self.version}
        return Success((self.version, [Stored(kind, "main", self.version, spec)]))


class Daemon:
    """A daemon that hears of changes from nobody but by its own readings."""

    def __init__(self, name, store, daemons, clock):
        self.view = view = FleetView(clock)
        ports = types.SimpleNamespace(
            read_manifest=lambda spec: Success(
                Manifest(spec["version"], (ROUTE,) if spec["version"] > 1 else (), {})
            )
        )
        self.daemons = daemons
        peers = types.SimpleNamespace(news=self.ask)
        self.follower = Follower(view, store, peers, ports, clock)
        self.freshness = ManifestFreshness(name, view, self.follower, clock)
        daemons[name] = self
        view.update_routes(RouteTable(Manifest(1, (), {})))
        view.daemons.update(dict.fromkeys(daemons, ""))

    def ask(self, kind, since_version, address):
        """Return the news of another daemon, as its own application does."""
        peer = self.daemons[address]
        arrived_ms = peer.view.clock.now_ms()
        updates = peer.follower.updates_since({kind: since_version})
        return {**updates, "freshness": peer.view.describe_freshness(arrived_ms)}


class FreshnessTest(unittest.TestCase):
    """Up to four daemons, and no leader."""

    def setUp(self):
        self.clock, self.stores, self.daemons = Clock(), [], {}

    def start(self, n_daemons, clock=None):
        """Start daemons that know the manifest to be the newest right now."""
        for index in range(n_daemons):
            store, clock = Store(), clock or self.clock
            self.stores.append(store)
            Daemon(f"d{index}", store, self.daemons, clock)
        for daemon in self.daemons.values():
            daemon.view.daemons = {name: name for name in self.daemons}
            daemon.view.note_manifest_known(clock.now_ms())
        return list(self.daemons.values())

    def run_all(self):
        """Run the daemons' tasks until the test ends."""
        tasks = [gevent.spawn(d.freshness.run) for d in self.daemons.values()]
        self.addCleanup(gevent.killall, tasks)

    def test_change_is_in_force_in_time_though_nobody_tells_of_it(self):
        (daemon,) = self.start(1)
        self.stores[0].version = 2
        self.run_all()
        gevent.sleep((MAX_AGE_MS + MAX_DELAY_MS + 50.0) / 1000.0)
        self.assertEqual(daemon.view.manifest.version, 2)
        self.assertLess(MAX_AGE_MS + MAX_DELAY_MS + READ_TIMEOUT_MS, LIMIT_MS + 1)

    def test_daemon_that_the_store_leaves_without_an_answer_asks_others(self):
        daemons = self.start(4)
        for store in self.stores:
            store.version = 2
        self.stores[0].is_silent = self.stores[1].is_silent = True
        self.run_all()
        gevent.sleep(LIMIT_MS / 1000.0)
        self.assertEqual([d.view.manifest.version for d in daemons], [2] * 4)

    def test_daemon_without_an_answer_asks_others_for_everything_else_too(self):
        """Guards against servers that have left and are known to all others."""
        daemons = self.start(2)
        self.stores[0].is_silent = True
        asked, ask = set(), daemons[0].follower.peers.news

        def record(kind, since_version, address):
            asked.add(kind)
            return ask(kind, since_version, address)

        daemons[0].follower.peers.news = record
        self.run_all()
        gevent.sleep(LIMIT_MS / 1000.0)
        self.assertEqual(asked, set(FOLLOWED_KINDS))

    def test_no_calls_while_the_leader_tells_how_recent_it_is(self):
        daemons = self.start(4)
        self.run_all()
        for _ in range(8):
            gevent.sleep(0.5)
            for daemon in daemons:
                daemon.view.note_manifest_known(self.clock.now_ms() - 800.0)
        self.assertEqual(sum(store.n_calls for store in self.stores), 0)

    def test_few_calls_while_the_store_is_away(self):
        """Guards against a fleet that keeps a store down that is coming back."""
        self.start(4)
        for store in self.stores:
            store.is_down = True
        self.run_all()
        seconds = 4.0
        gevent.sleep(seconds)
        most = 1 + (seconds * 1000.0 - MAX_AGE_MS) / MIN_RETRY_MS
        for store in self.stores:
            self.assertLessEqual(1, store.n_calls)
            self.assertLessEqual(store.n_calls, most / 2 + 1)

    def test_recent_manifest_is_not_read_to_refuse_a_request(self):
        (daemon,) = self.start(1)
        self.assertTrue(daemon.freshness.confirm())
        self.assertEqual(self.stores[0].n_calls, 0)

    def test_requests_wait_for_one_reading_of_an_old_manifest(self):
        (daemon,) = self.start(1, ManualClock())
        daemon.view.clock.advance(MAX_UNCONFIRMED_MS + 1.0)
        checks = [gevent.spawn(daemon.freshness.confirm) for _ in range(5)]
        gevent.joinall(checks, raise_error=True)
        self.assertEqual([check.value for check in checks], [True] * 5)
        self.assertEqual(self.stores[0].n_calls, 1)

    def test_an_old_manifest_that_cannot_be_read_stays_in_doubt(self):
        (daemon,) = self.start(1, ManualClock())
        daemon.view.clock.advance(MAX_UNCONFIRMED_MS + 1.0)
        self.stores[0].is_down = True
        self.assertFalse(daemon.freshness.confirm())

    def test_a_recent_manifest_is_read_if_others_have_a_newer_one(self):
        (daemon,) = self.start(1)
        self.stores[0].version = 2
        self.assertTrue(daemon.freshness.confirm(min_version=2))
        self.assertEqual(daemon.view.manifest.version, 2)


class FreshnessMessageTest(unittest.TestCase):
    """What daemons with different clocks tell each other of their manifests."""

    def setUp(self):
        self.one, self.other = FleetView(ManualClock(5e6)), FleetView(ManualClock(70.0))
        for view in (self.one, self.other):
            view.update_routes(RouteTable(Manifest(3, (), {})))

    def test_age_counts_from_when_the_question_was_sent(self):
        """Guards against an answer that is late and looks as if it were new."""
        self.one.note_manifest_known(5e6 - 300.0)
        described = self.one.describe_freshness(5e6)
        self.other.adopt_freshness(described, 70.0)
        self.assertEqual(self.other.manifest_known_ms, 70.0 - 300.0)

    def test_what_became_known_after_the_question_counts_as_of_it(self):
        self.one.note_manifest_known(5e6 + 400.0)
        self.other.adopt_freshness(self.one.describe_freshness(5e6), 70.0)
        self.assertEqual(self.other.manifest_known_ms, 70.0)

    def test_another_daemons_newer_manifest_tells_nothing_of_this_one(self):
        """Guards against an old manifest that passes for recent."""
        self.one.update_routes(RouteTable(Manifest(4, (), {})))
        self.one.note_manifest_known(5e6)
        self.other.adopt_freshness(self.one.describe_freshness(5e6), 70.0)
        self.assertEqual(self.other.manifest_known_ms, float("-inf"))

    def test_nothing_is_told_before_anything_is_known(self):
        self.assertEqual(self.one.describe_freshness(5e6), {})
        self.other.adopt_freshness({}, 70.0)
        self.other.adopt_freshness(None, 70.0)
        self.assertEqual(self.other.manifest_known_ms, float("-inf"))


if __name__ == "__main__":
    unittest.main()
