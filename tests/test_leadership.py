"""One daemon leads; what the others learn, and what becomes of it in an outage."""

import math
import types
import unittest

import gevent
from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.balancing import Chosen, Loads
from tarragonramp.clock import Clock
from tarragonramp.directory import BackendServer
from tarragonramp.errors import ConflictError, NotFoundError, PlatformBusyError
from tarragonramp.fleet_view import FleetView
from tarragonramp.leading import LATE_GRANT_MS, Inherited
from tarragonramp.model import Stored
from tarragonramp.roles.leadership import (
    MIN_PING_INTERVAL_MS,
    WATCHERS_WHEN_CUT_OFF,
    Leadership,
)
from tarragonramp.roster import Roster


class Store:
    """One record under a version, and whether it answers."""

    def __init__(self):
        self.stored, self.is_down = None, False

    def get(self, kind, name):
        """Return the record."""
        if self.is_down:
            return Failure(PlatformBusyError("down"))
        return Success(self.stored) if self.stored else Failure(NotFoundError("none"))

    def put(self, kind, name, spec, expected_version):
        """Write the record if it is at a version."""
        if self.is_down:
            return Failure(PlatformBusyError("down"))
        version = self.stored.version if self.stored else 0
        if version != expected_version:
            return Failure(ConflictError(expected_version, self.stored))
        self.stored = Stored(kind, name, version + 1, spec)
        return Success(self.stored)


class Follower:
    """Stands for what follows the store."""

    changed, failing_since_ms = {}, {}
    is_synced = follows_store = hears_store = True
    ms_until_cut_off = math.inf
    roster = Roster.of(["s1"])

    def __init__(self):
        self.reasons, self.behind = [], []

    def follow_store(self, reason):
        """Note why."""
        self.reasons.append(reason)

    def follow_leader(self, leader):
        """Note whom."""
        self.reasons.append(f"lean {leader}")

    def compare_digests(self, peer, digest):
        """Compare nothing."""

    def catch_up(self, address, versions):
        """Note who knows what."""
        self.behind.append((address, versions))

    def record_store_failure(self):
        """Note that a call to the store failed."""
        self.reasons.append("trouble")

    def news_since(self, versions):
        """Return no news."""
        return {}

    def take_news(self, news):
        """Take nothing."""


class LosingFollower(Follower):
    """Loses the store at a given time."""

    def __init__(self, clock, lost_ms):
        super().__init__()
        self.clock, self.lost_ms = clock, lost_ms

    @property
    def ms_until_cut_off(self):
        """How long until then."""
        return self.lost_ms - self.clock.now_ms()


class LeadershipTest(unittest.TestCase):
    """Two daemons, one store, and one clock."""

    def setUp(self):
        self.clock, self.store = ManualClock(10_000.0), Store()
        self.daemons = {}
        self.one, self.other = self.daemon("d1"), self.daemon("d2")

    def daemon(self, name, boot="b"):
        """Return a daemon's leadership; peers reach each other by address."""
        address = f"{name}:1"
        peers = types.SimpleNamespace(
            ping=lambda to, message, wait_ms: self.exchange(to, "heard", message),
            step_down=lambda to, *said: self.exchange(to, "told_to_step_down", *said),
        )
        made = Leadership(
            name,
            f"{name}{boot}",
            address,
            FleetView(self.clock),
            self.store,
            peers,
            Follower(),
            Loads("a"),
            self.clock,
        )
        self.daemons[address] = made
        return made

    def exchange(self, address, method, *arguments):
        """Carry a message to a daemon, if there is one."""
        daemon = self.daemons.get(address)
        if daemon is None:
            return Failure(PlatformBusyError("nobody there"))
        # The clock stands while somebody waits for news.
        with gevent.Timeout(0.05, False):
            return Success(getattr(daemon, method)(*arguments))
        return Failure(PlatformBusyError("waits"))

    def stand_still(self, daemon):
        """Let a daemon see the record stand still for a whole lease."""
        daemon._discover_leader()
        self.clock.advance(daemon.timing.lease_ms + 1)
        daemon._discover_leader()

    def test_the_first_takes_the_record_and_the_second_does_not(self):
        self.one._discover_leader()
        self.other._discover_leader()
        self.assertTrue(self.one.leads)
        self.assertFalse(self.other.leads)
        self.one._keep()
        self.assertTrue(self.one.may_move)

    def test_a_silent_leader_is_replaced_and_told_so(self):
        self.one._discover_leader()
        self.stand_still(self.other)
        self.assertTrue(self.other.leads)
        self.assertFalse(self.one.leads)
        self.assertLessEqual(self.other.inherited.stopped_ms, self.clock.now_ms())
        self.one._keep()
        self.assertFalse(self.one.leads)

    def test_a_deaf_leader_turns_only_some_daemons_to_the_store(self):
        """The leader's calls to the store fail, or those of all daemons.

        At 69 daemons each of them read everything anew and asked again and again: ten
        thousand calls in a day that should have some hundreds.
        """
        self.one._discover_leader()
        names = [f"e{domain}-{at:02}" for domain in "abcd" for at in range(16)]
        for hears, n_watchers in ((True, 1), (False, WATCHERS_WHEN_CUT_OFF)):
            self.one.follower.hears_store = hears
            self.one._keep()
            self.assertEqual(len(self.told_to_watch(names)), n_watchers)
        domains = {name[:2] for name in self.told_to_watch(names)}
        self.assertEqual(domains, {"ea", "eb", "ec", "ed"})
        self.assertEqual(self.one.view.watchers, set(self.told_to_watch(names)))

    def told_to_watch(self, names):
        """Return those of some daemons that the leader tells to follow the store."""
        self.one.follower.news_since = lambda versions: {"any": {}}
        told = {}
        for name in names * 2:
            message = {"name": name, "address": f"{name}:1", "versions": {}}
            told[name] = self.one.heard(message)["watch"]
        return [name for name, watches in told.items() if watches]

    def test_an_unconfirmed_leader_turns_others_to_the_store_within_the_bound(self):
        """Its calls get no answer; what changes is to be in force after two seconds."""
        self.one._discover_leader()
        names = ["e1", "e2", "e3"]
        self.clock.advance(self.one.timing.renew_ms + 500.0)
        self.assertEqual(len(self.told_to_watch(names)), 1)
        self.clock.advance(200.0)
        self.assertEqual(self.told_to_watch(names), names)

    def test_who_waits_for_news_is_told_as_soon_as_the_store_is_lost(self):
        clock = self.one.clock = Clock()
        self.one._discover_leader()
        lost_ms = clock.now_ms() + 50.0
        self.one.follower = LosingFollower(clock, lost_ms)
        answer = self.one.heard({"name": "e1", "address": "e1:1", "versions": {}})
        self.assertFalse(answer["hears_store"])
        self.assertLess(clock.now_ms(), lost_ms + 200.0)

    def test_who_follows_the_store_for_a_leader_reports_soon(self):
        clock = self.one.clock = Clock()
        self.one._discover_leader()
        self.one.follower.hears_store = False
        self.assertIn("e1", self.told_to_watch(["e1"]))
        self.one.follower.news_since = lambda versions: {}
        began_ms = clock.now_ms()
        self.one.heard({"name": "e1", "address": "e1:1", "versions": {}})
        self.assertLess(clock.now_ms(), began_ms + 250.0)

    def test_a_leader_asks_who_has_read_more_of_the_store(self):
        self.one._discover_leader()
        self.told_to_watch(["e1"])
        self.assertIn(("e1:1", {}), self.one.follower.behind)

    def test_a_replaced_leader_says_who_leads_now(self):
        """Nobody has to ask the store; at 69 daemons each change cost 2,000 calls."""
        third = self.daemon("d3")
        for daemon in (self.one, third):
            daemon._discover_leader()
        self.stand_still(self.other)
        third.follower.reasons.clear()
        for daemon in self.daemons.values():
            daemon.follower.news_since = lambda versions: {"any": {}}
        third._ping()
        third._ping()
        # It is the one other daemon that the new leader wants to follow the store.
        self.assertEqual(third.follower.reasons, ["told by the leader"])

    def test_a_replaced_leader_does_not_wait_for_a_silent_store(self):
        self.one._discover_leader()
        self.stand_still(self.other)
        self.one.store = types.SimpleNamespace(get=lambda *name: gevent.sleep(60.0))
        task = gevent.spawn(self.one.run)
        self.addCleanup(task.kill)
        gevent.sleep(0.2)
        self.assertIn("d1", self.other.view.daemons)

    def test_a_silent_store_holds_up_no_news_of_the_leader(self):
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        self.one.follower.hears_store = False
        asked = []
        self.one.follower.news_since = lambda versions: asked.append(1) or {"any": {}}
        self.other.store = types.SimpleNamespace(get=lambda *name: gevent.sleep(60.0))
        task = gevent.spawn(self.other.run)
        self.addCleanup(task.kill)
        gevent.sleep(0.5)
        self.assertGreater(len(asked), 5)

    def test_a_successor_that_does_not_lead_either_is_asked_once(self):
        third = self.daemon("d3")
        for daemon in (self.one, third):
            daemon._discover_leader()
        self.stand_still(self.other)
        self.other.standing.give_up()
        for _ in range(3):
            third._ping()
        self.assertIn("nobody leads", third.follower.reasons)

    def test_what_a_replaced_leader_is_in_doubt_of_is_taken_over(self):
        """Only its own process knows which of its grants had no answer."""
        key, until_ms = ("parts", 0, 1), self.clock.now_ms() + 9000.0
        self.one.doubts = lambda: Inherited(0.0, 0.0, {key: until_ms})
        self.one._discover_leader()
        self.stand_still(self.other)
        self.assertEqual(self.other.inherited.doubt_ends_ms(key), until_ms)
        other_key = ("parts", 5, 1)
        self.assertLessEqual(
            self.other.inherited.doubt_ends_ms(other_key), self.clock.now_ms()
        )

    def test_without_its_word_all_its_grants_are_in_doubt(self):
        self.one._discover_leader()
        for silent in (True, False):
            before = self.daemons.pop("d1:1")
            if not silent:
                self.daemon("d1", boot="c")
            self.stand_still(self.other)
            late_ms = self.clock.now_ms() + LATE_GRANT_MS
            self.assertGreaterEqual(self.other.inherited.doubt_ends_ms(None), late_ms)
            self.daemons["d1:1"] = before
            self.stand_still(self.one)
            self.assertTrue(self.one.leads)

    def test_a_leader_that_cannot_be_asked_is_waited_for(self):
        """It may be frozen, and renew once it wakes, until its right has ended."""
        self.one._discover_leader()
        del self.daemons["d1:1"]
        self.stand_still(self.other)
        self.assertTrue(self.other.leads)
        right_ms = self.other.timing.right_ms
        self.assertGreater(
            self.other.inherited.stopped_ms, self.clock.now_ms() + right_ms
        )

    def test_the_next_process_at_the_address_takes_over_at_once(self):
        self.one._discover_leader()
        again = self.daemon("d1", boot="c")
        again._discover_leader()
        self.assertTrue(again.leads)
        self.assertLessEqual(again.inherited.stopped_ms, self.clock.now_ms())

    def test_a_leader_that_stops_is_followed_without_a_wait(self):
        self.one._discover_leader()
        self.one.resign()
        self.assertFalse(self.one.leads)
        self.other._discover_leader()
        self.assertTrue(self.other.leads)
        self.assertLessEqual(self.other.inherited.stopped_ms, self.clock.now_ms())

    def test_a_leader_that_stops_in_an_outage_goes_on_renewing(self):
        """The store is away while the leader is told to stop.

        It gave up at once, and nobody could take over: seven seconds later no server
        held a key any more, and all their callers were refused.
        """
        self.one._discover_leader()
        self.store.is_down = True
        self.clock.advance(3 * self.one.timing.renew_ms)
        task = gevent.spawn(self.one.resign)
        self.addCleanup(task.kill)
        gevent.sleep(0.5)
        self.assertTrue(self.one.leads)
        self.assertFalse(self.one.may_move)
        self.store.is_down = False
        self.one._keep()
        task.join(2.0)
        self.assertFalse(self.one.leads)
        self.other._discover_leader()
        self.assertTrue(self.other.leads)

    def test_a_lost_answer_to_the_own_write_costs_nothing(self):
        self.one._discover_leader()
        spec = {**self.store.stored.spec, "beat": 1}
        self.store.stored = Stored("", "", self.store.stored.version + 1, spec)
        self.one._keep()
        self.one._keep()
        self.assertTrue(self.one.may_move)

    def test_daemons_hear_more_often_while_requests_queue(self):
        """Eleven daemons ask the owner of a hot key, and each sees only its own part.

        In calm times nobody pays for that.
        """
        server = BackendServer("s1", 1, "desk", "s1:80", "a", 3)
        self.one.view.directory.take(server)
        calm_ms = self.one._update_wait_ms()
        for _ in range(4):
            self.one.loads.sent(Chosen(server, "r", 0.0))
        self.assertLess(self.one._update_wait_ms(), calm_ms / 2)
        # A leader of a large fleet has no time for that.
        self.one.view.daemons |= {f"x{i}": "x:1" for i in range(80)}
        self.assertEqual(self.one._update_wait_ms(), calm_ms)

    def test_a_large_fleet_asks_less_often_while_everything_changes(self):
        """Ninety daemons that ask again at once fill the link of a small VM."""
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        self.one.follower.news_since = lambda versions: {"any": {}}
        self.assertEqual(self.other._follow(), MIN_PING_INTERVAL_MS)
        self.other.view.daemons |= {f"x{i}": "x:1" for i in range(90)}
        self.one.view.daemons |= self.other.view.daemons
        self.assertGreater(self.other._follow(), 150.0)

    def test_who_waited_for_news_asks_again_at_once(self):
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        self.other.view.daemons |= {f"x{i}": "x:1" for i in range(90)}
        self.one.view.daemons |= self.other.view.daemons
        self.one.follower.news_since = lambda versions: (
            self.clock.advance(500.0) or {"any": {}}
        )
        self.assertEqual(self.other._follow(), MIN_PING_INTERVAL_MS)

    def test_loads_of_the_others_are_passed_on(self):
        self.one._discover_leader()
        server = BackendServer("s1", 1, "desk", "s1:80", "a", 3)
        self.other.loads.sent(Chosen(server, "r", 0.0))
        self.other._discover_leader()
        self.assertEqual(self.one._loads_except("d1", self.clock.now_ms()), {"s1": 1})
        self.assertEqual(self.one._loads_except("d2", self.clock.now_ms()), {})
