"""Election of the leader, updates to the other daemons, and outages of the store."""

import math
import types
import unittest

import gevent
from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.balancing import Selection, ServerSelector
from tarragonramp.clock import Clock
from tarragonramp.directory import BackendServer
from tarragonramp.errors import ConflictError, NotFoundError, PlatformBusyError
from tarragonramp.fleet_view import FleetView
from tarragonramp.leadership import LATE_GRANT_MS, InheritedGrants
from tarragonramp.manifest import Manifest, RouteTable
from tarragonramp.model import Stored
from tarragonramp.roles.leadership import (
    MIN_PING_INTERVAL_MS,
    WATCHERS_WHEN_CUT_OFF,
    YIELD_AFTER_MS,
    Leadership,
)
from tarragonramp.roster import Roster


class Store:
    """One record under a version; it may be unavailable."""

    def __init__(self):
        self.stored, self.is_down = None, False

    def get(self, kind, name):
        """Return the record."""
        if self.is_down:
            return Failure(PlatformBusyError("down"))
        return Success(self.stored) if self.stored else Failure(NotFoundError("none"))

    def put(self, kind, name, spec, expected_version):
        """Write the record if it has the expected version."""
        if self.is_down:
            return Failure(PlatformBusyError("down"))
        version = self.stored.version if self.stored else 0
        if version != expected_version:
            return Failure(ConflictError(expected_version, self.stored))
        self.stored = Stored(kind, name, version + 1, spec)
        return Success(self.stored)


class Follower:
    """Stands in for the follower of the store."""

    changed, failing_since_ms = {}, {}
    is_synced = follows_store = hears_store = True
    ms_until_cut_off = math.inf
    roster = Roster.of(["s1"])

    def __init__(self):
        self.events, self.catch_up_calls = [], []

    def follow_store(self, reason, reread=True):
        """Record the reason."""
        self.events.append(reason)

    def follow_leader(self, leader):
        """Record the leader."""
        self.events.append(f"follow {leader}")

    def compare_digests(self, peer, digest):
        """Do nothing."""

    def catch_up(self, address, versions):
        """Record the address and its versions."""
        self.catch_up_calls.append((address, versions))

    def record_store_failure(self):
        """Record that a call to the store failed."""
        self.events.append("store failure")

    def updates_since(self, versions):
        """Return no updates."""
        return {}

    def apply_updates(self, updates):
        """Do nothing."""


class FollowerLosingStore(Follower):
    """Loses the store at a given time."""

    def __init__(self, clock, lost_ms):
        super().__init__()
        self.clock, self.lost_ms = clock, lost_ms

    @property
    def ms_until_cut_off(self):
        """Time until then."""
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
            ping=lambda to, message, wait_ms: self.exchange(to, "handle_ping", message),
            step_down=lambda to, *args: self.exchange(to, "handle_step_down", *args),
        )
        created = Leadership(
            name,
            f"{name}{boot}",
            address,
            FleetView(self.clock),
            self.store,
            peers,
            Follower(),
            ServerSelector("a"),
            self.clock,
        )
        self.daemons[address] = created
        return created

    def exchange(self, address, method, *arguments):
        """Pass a message to the daemon at an address, if there is one."""
        daemon = self.daemons.get(address)
        if daemon is None:
            return Failure(PlatformBusyError("nobody there"))
        # The clock does not advance while a response is delayed.
        with gevent.Timeout(0.05, False):
            return Success(getattr(daemon, method)(*arguments))
        return Failure(PlatformBusyError("waits"))

    def let_record_go_stale(self, daemon):
        """Let a daemon see the record unchanged for a whole lease."""
        daemon._discover_leader()
        self.clock.advance(daemon.timing.lease_ms + 1)
        daemon._discover_leader()

    def test_first_daemon_becomes_leader(self):
        self.one._discover_leader()
        self.other._discover_leader()
        self.assertTrue(self.one.leads)
        self.assertFalse(self.other.leads)
        self.one._renew_record()
        self.assertTrue(self.one.may_move)

    def hear_leaving(self, daemon):
        """Return what a daemon is told of servers that leave, by its peers."""
        heard = []
        daemon.record_leaving = lambda *server, told_by: heard.append(server)
        return heard

    def test_leader_and_its_successor_are_told_of_a_server_that_leaves(self):
        """Guards against keys that stay with an owner, as one daemon was told only."""
        third = self.daemon("d3")
        for daemon in (self.one, self.other, third):
            daemon._discover_leader()
        directory = third.view.directory
        directory.upsert(BackendServer("s1", 7, "parts", "s1:80", "a", 4))
        directory.mark_leaving("s1", 7)
        heard = self.hear_leaving(self.one)
        third._ping()
        self.assertEqual(heard, [("s1", 7)])
        self.let_record_go_stale(self.other)
        third._discover_leader()
        heard = self.hear_leaving(self.other)
        third._ping()
        self.assertEqual(heard, [("s1", 7)])

    def test_malformed_report_of_a_server_that_leaves_is_an_error(self):
        self.one._discover_leader()
        heard = self.hear_leaving(self.one)
        for leaving in (["s1x"], [["s1", "x"]], [["s1"]], 5):
            message = {"name": "d2", "address": "d2:1", "versions": {}}
            with self.assertRaises((TypeError, ValueError)):
                self.one.handle_ping({**message, "leaving": leaving})
        self.assertEqual(heard, [])

    def test_unresponsive_leader_is_replaced_and_notified(self):
        self.one._discover_leader()
        self.let_record_go_stale(self.other)
        self.assertTrue(self.other.leads)
        self.assertFalse(self.one.leads)
        self.assertLessEqual(self.other.inherited.stopped_ms, self.clock.now_ms())
        self.one._renew_record()
        self.assertFalse(self.one.leads)

    def test_leader_cut_off_from_store_limits_watchers(self):
        """The calls of the leader, or of all daemons, to the store fail.

        At 69 daemons each of them would read everything again and keep retrying: ten
        thousand calls in a day that should have some hundreds.
        """
        self.one._discover_leader()
        names = [f"e{domain}-{at:02}" for domain in "abcd" for at in range(16)]
        for is_connected, n_watchers in ((True, 1), (False, WATCHERS_WHEN_CUT_OFF)):
            self.one.follower.hears_store = is_connected
            self.one._renew_record()
            self.assertEqual(len(self.appointed_watchers(names)), n_watchers)
        domains = {name[:2] for name in self.appointed_watchers(names)}
        self.assertEqual(domains, {"ea", "eb", "ec", "ed"})
        self.assertEqual(self.one.view.watchers, set(self.appointed_watchers(names)))

    def test_a_starting_leader_appoints_no_further_watchers(self):
        """Guards against eight daemons that read everything while the leader does."""
        self.one._discover_leader()
        self.one.follower.is_synced = self.one.follower.hears_store = False
        names = [f"e{i}" for i in range(12)]
        self.appointed_watchers(names)
        self.assertEqual(len(self.appointed_watchers(names)), 1)
        self.one.follower.ms_until_cut_off = -1.0
        self.appointed_watchers(names)
        self.assertEqual(len(self.appointed_watchers(names)), WATCHERS_WHEN_CUT_OFF)

    def test_daemons_on_large_vms_watch_the_store(self):
        """Guards against small VMs that are the only ones to notice a lost leader."""
        self.one._discover_leader()
        names = [f"e{i:02}" for i in range(80)]
        sizes = {f"e{i:02}": 2.0 for i in range(3, 80, 10)}
        self.appointed_watchers(names, sizes)
        self.assertEqual(len(self.appointed_watchers(names, sizes)), 1)
        self.one.follower.ms_until_cut_off = -1.0
        self.appointed_watchers(names, sizes)
        self.assertLessEqual(set(self.appointed_watchers(names, sizes)), set(sizes))

    def appointed_watchers(self, names, sizes=None):
        """Return the names of daemons that the leader tells to follow the store."""
        self.one.follower.updates_since = lambda versions: {"any": {}}
        watches_by_name = {}
        for name in names * 2:
            message = {"name": name, "address": f"{name}:1", "versions": {}}
            if sizes is not None:
                message["capacity"] = sizes.get(name, 0.1)
            watches_by_name[name] = self.one.handle_ping(message)["watch"]
        return [name for name, watches in watches_by_name.items() if watches]

    def test_unconfirmed_leader_appoints_watchers_in_time(self):
        """Its calls have no response; changes have to be in force after two seconds."""
        self.one._discover_leader()
        names = ["e1", "e2", "e3"]
        self.clock.advance(self.one.timing.renew_ms + 500.0)
        self.assertEqual(len(self.appointed_watchers(names)), 1)
        self.clock.advance(200.0)
        self.assertEqual(self.appointed_watchers(names), names)

    def test_waiting_ping_is_answered_when_store_is_lost(self):
        clock = self.one.clock = Clock()
        self.one._discover_leader()
        lost_ms = clock.now_ms() + 50.0
        self.one.follower = FollowerLosingStore(clock, lost_ms)
        answer = self.one.handle_ping({"name": "e1", "address": "e1:1", "versions": {}})
        self.assertFalse(answer["hears_store"])
        self.assertLess(clock.now_ms(), lost_ms + 200.0)

    def test_watcher_of_cut_off_leader_waits_briefly(self):
        clock = self.one.clock = Clock()
        self.one._discover_leader()
        self.one.follower.hears_store = False
        self.assertIn("e1", self.appointed_watchers(["e1"]))
        self.one.follower.updates_since = lambda versions: {}
        began_ms = clock.now_ms()
        self.one.handle_ping({"name": "e1", "address": "e1:1", "versions": {}})
        self.assertLess(clock.now_ms(), began_ms + 250.0)

    def test_leader_catches_up_with_pinging_daemon(self):
        self.one._discover_leader()
        self.appointed_watchers(["e1"])
        self.assertIn(("e1:1", {}), self.one.follower.catch_up_calls)

    def test_leader_that_hears_the_store_tells_how_recent_its_manifest_is(self):
        """Guards against daemons that all read the manifest beside a sound leader."""
        for daemon in (self.one, self.other):
            daemon._discover_leader()
            daemon.view.update_routes(RouteTable(Manifest(1, (), {})))
            daemon.follower.updates_since = lambda versions: {"any": {}}
        self.clock.advance(500.0)
        self.one._renew_record()
        renewed_ms = self.clock.now_ms()
        self.clock.advance(300.0)
        self.other._ping()
        self.assertEqual(self.other.view.manifest_known_ms, renewed_ms)
        self.one.follower.hears_store = False
        self.clock.advance(500.0)
        self.one._renew_record()
        self.other._ping()
        self.assertEqual(self.other.view.manifest_known_ms, renewed_ms)

    def test_limits_of_servers_reach_all_daemons(self):
        """Guards against daemons that each find out by sending too much themselves."""
        server = BackendServer("s1", 1, "desk", "s1:80", "a", 3)
        third = self.daemon("d3")
        for daemon in (self.one, self.other, third):
            daemon.limits.name = daemon.name
            daemon._discover_leader()
            daemon.follower.updates_since = lambda versions: {"any": {}}
        now_ms = self.clock.now_ms()
        self.other.limits.record_answer(server, 2.8, now_ms, now_ms)
        self.other._ping()
        third._ping()
        known = [d.limits.limit_of(server) for d in (self.one, third)]
        self.assertEqual([item.per_s for item in known], [2.8] * 2)
        self.assertEqual(known[0].senders, known[1].senders)
        self.assertIn(known[0].senders, [("d1",), ("d2",), ("d3",)])
        self.clock.advance(100.0)
        self.other.limits.record_answer(server, None, now_ms + 50.0, now_ms + 100.0)
        self.other._ping()
        third._ping()
        self.assertIsNone(third.limits.limit_of(server))

    def test_limits_are_told_once_and_again_by_the_next_leader(self):
        server = BackendServer("s1", 1, "desk", "s1:80", "a", 3)
        for daemon in (self.one, self.other):
            daemon._discover_leader()
            daemon.follower.updates_since = lambda versions: {"any": {}}
        self.one.limits.record_answer(server, 2.8, 0.0, self.clock.now_ms())
        message = {"name": "d2", "address": "d2:1", "versions": {}}
        answer = self.one.handle_ping(message)
        self.assertEqual(len(answer["limits"]), 1)
        told = {**message, "limits_seen": answer["limits_seen"]}
        self.assertNotIn("limits", self.one.handle_ping(told))
        by_another = {**message, "limits_seen": ["x", answer["limits_seen"][1]]}
        self.assertEqual(len(self.one.handle_ping(by_another)["limits"]), 1)

    def test_malformed_ping_changes_nothing(self):
        """Guards against a daemon that counts although it is not understood."""
        self.one._discover_leader()
        message = {"name": "e1", "address": "e1:1", "versions": {}}
        with self.assertRaises(ValueError):
            self.one.handle_ping({**message, "loads": {"s1": "many"}})
        with self.assertRaises(ValueError):
            self.one.handle_ping({**message, "limits": [["s1", 1, -1.0, 0]]})
        self.assertNotIn("e1", self.one.view.daemons)

    def test_daemons_know_whether_the_leader_hears_the_store(self):
        """Guards against rare watches while the leader itself hears nothing."""
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        follower = self.other.follower
        self.one.follower.updates_since = lambda versions: {"any": {}}
        for hears_store in (True, False, True):
            self.one.follower.hears_store = hears_store
            self.other._ping()
            self.assertEqual(follower.leader_hears_store, hears_store)
        del self.daemons["d1:1"]
        self.other._ping()
        self.assertFalse(follower.leader_hears_store)

    def test_replaced_leader_names_its_successor(self):
        """No daemon has to ask the store.

        At 69 daemons each change of leader cost 2,000 calls to it.
        """
        third = self.daemon("d3")
        for daemon in (self.one, third):
            daemon._discover_leader()
        self.let_record_go_stale(self.other)
        third.follower.events.clear()
        for daemon in self.daemons.values():
            daemon.follower.updates_since = lambda versions: {"any": {}}
        third._ping()
        third._ping()
        # It is the only other daemon, so the new leader makes it a watcher.
        self.assertEqual(third.follower.events, ["told by the leader"])

    def test_replaced_leader_does_not_wait_for_store(self):
        self.one._discover_leader()
        self.let_record_go_stale(self.other)
        self.one.store = types.SimpleNamespace(get=lambda *name: gevent.sleep(60.0))
        task = gevent.spawn(self.one.run)
        self.addCleanup(task.kill)
        gevent.sleep(0.2)
        self.assertIn("d1", self.other.view.daemons)

    def test_unresponsive_store_does_not_delay_updates(self):
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        self.one.follower.hears_store = False
        asked = []
        self.one.follower.updates_since = lambda versions: (
            asked.append(1) or {"any": {}}
        )
        self.other.store = types.SimpleNamespace(get=lambda *name: gevent.sleep(60.0))
        task = gevent.spawn(self.other.run)
        self.addCleanup(task.kill)
        gevent.sleep(0.5)
        self.assertGreater(len(asked), 5)

    def test_successor_that_does_not_lead_is_pinged_once(self):
        third = self.daemon("d3")
        for daemon in (self.one, third):
            daemon._discover_leader()
        self.let_record_go_stale(self.other)
        self.other.leadership_state.give_up()
        for _ in range(3):
            third._ping()
        self.assertIn("nobody leads", third.follower.events)

    def test_in_doubt_grants_of_replaced_leader_are_inherited(self):
        """Only its own process knows which of its grants had no response."""
        key, until_ms = ("parts", 0, 1), self.clock.now_ms() + 9000.0
        self.one.in_doubt_grants = lambda: InheritedGrants(0.0, 0.0, {key: until_ms})
        self.one._discover_leader()
        self.let_record_go_stale(self.other)
        self.assertEqual(self.other.inherited.doubt_ends_ms(key), until_ms)
        other_key = ("parts", 5, 1)
        self.assertLessEqual(
            self.other.inherited.doubt_ends_ms(other_key), self.clock.now_ms()
        )

    def test_all_grants_of_unreachable_leader_are_in_doubt(self):
        self.one._discover_leader()
        for silent in (True, False):
            before = self.daemons.pop("d1:1")
            if not silent:
                self.daemon("d1", boot="c")
            self.let_record_go_stale(self.other)
            late_ms = self.clock.now_ms() + LATE_GRANT_MS
            self.assertGreaterEqual(self.other.inherited.doubt_ends_ms(None), late_ms)
            self.daemons["d1:1"] = before
            self.let_record_go_stale(self.one)
            self.assertTrue(self.one.leads)

    def test_right_of_unreachable_leader_must_end(self):
        """It may be paused, and renew after it resumes until its right has ended."""
        self.one._discover_leader()
        del self.daemons["d1:1"]
        self.let_record_go_stale(self.other)
        self.assertTrue(self.other.leads)
        right_ms = self.other.timing.right_ms
        self.assertGreater(
            self.other.inherited.stopped_ms, self.clock.now_ms() + right_ms
        )

    def test_answer_without_a_boot_id_does_not_end_the_leader(self):
        """Guards against another program at the address of a leader that is paused."""
        self.one._discover_leader()
        answer = lambda *message: {}
        stranger = types.SimpleNamespace(handle_step_down=answer, handle_ping=answer)
        self.daemons["d1:1"] = stranger
        self.let_record_go_stale(self.other)
        right_ms = self.other.timing.right_ms
        self.assertGreater(
            self.other.inherited.stopped_ms, self.clock.now_ms() + right_ms
        )

    def test_restarted_leader_takes_over_immediately(self):
        self.one._discover_leader()
        again = self.daemon("d1", boot="c")
        again._discover_leader()
        self.assertTrue(again.leads)
        self.assertLessEqual(again.inherited.stopped_ms, self.clock.now_ms())

    def test_resigned_leader_is_replaced_immediately(self):
        self.one._discover_leader()
        self.one.resign()
        self.assertFalse(self.one.leads)
        self.other._discover_leader()
        self.assertTrue(self.other.leads)
        self.assertLessEqual(self.other.inherited.stopped_ms, self.clock.now_ms())

    def cut_off(self, daemon):
        """Let a daemon find that it reaches no server, long enough to matter."""
        daemon.monitor.record_check(False, self.clock.now_ms())
        self.clock.advance(YIELD_AFTER_MS)
        daemon._renew_record()

    def ping_leader(self):
        """Let the second daemon ping the first one, which leads."""
        self.one.follower.updates_since = lambda versions: {"any": {}}
        self.other._discover_leader()
        self.other._ping()

    def test_leader_that_reaches_no_server_is_replaced(self):
        """Guards against keys without owners, as nobody renews their grants."""
        self.one._discover_leader()
        self.ping_leader()
        self.assertFalse(self.one._should_yield())
        self.cut_off(self.one)
        self.assertTrue(self.one._should_yield())
        self.one._release_record("reaches no server")
        self.assertFalse(self.one.leads)
        self.one._check_record()
        self.assertFalse(self.one.leads)
        self.other._check_record()
        self.assertTrue(self.other.leads)
        self.assertLessEqual(self.other.inherited.stopped_ms, self.clock.now_ms())

    def test_leader_that_gave_up_names_itself_to_nobody(self):
        """Guards against starting daemons that follow it while the store is away."""
        self.one._discover_leader()
        self.one._release_record("reaches no server")
        message = {"name": "d9", "address": "d9:1", "versions": {}}
        self.assertEqual(self.one.handle_ping(message)["leader"], "")

    def test_leader_stays_if_no_other_daemon_reaches_servers(self):
        """Guards against a fleet that nobody leads when the paths are back."""
        self.one._discover_leader()
        self.cut_off(self.one)
        self.assertFalse(self.one._should_yield())
        self.other.monitor.record_check(False, 0.0)
        self.ping_leader()
        self.assertFalse(self.one._should_yield())
        self.other.monitor.record_check(True, 0.0)
        self.other._ping()
        self.assertTrue(self.one._should_yield())

    def test_leader_stays_while_the_store_does_not_confirm_it(self):
        """Guards against a resignation that the successor does not learn of."""
        self.one._discover_leader()
        self.ping_leader()
        self.cut_off(self.one)
        self.clock.advance(2 * self.one.timing.renew_ms)
        self.ping_leader()
        self.assertFalse(self.one._should_yield())

    def test_a_short_loss_of_the_servers_changes_no_leader(self):
        self.one._discover_leader()
        self.ping_leader()
        self.one.monitor.record_check(False, self.clock.now_ms())
        self.clock.advance(YIELD_AFTER_MS - 1.0)
        self.assertFalse(self.one._should_yield())

    def test_daemons_that_reach_no_server_are_no_relays(self):
        self.one._discover_leader()
        self.other.selector.failure_domain = "b"
        self.ping_leader()
        self.assertEqual(self.one.daemons_in("b"), ["d2:1"])
        self.other.monitor.record_check(False, 0.0)
        self.other._ping()
        self.assertEqual(self.one.daemons_in("b"), [])
        self.other.monitor.record_check(True, 0.0)
        self.other._ping()
        self.assertEqual(self.one.daemons_in("b"), ["d2:1"])

    def test_daemons_learn_the_failure_domains_of_others(self):
        self.one._discover_leader()
        self.other.selector.failure_domain = "b"
        self.ping_leader()
        self.assertEqual(self.other.view.daemon_domains, {"d1": "a", "d2": "b"})

    def test_resigning_leader_keeps_renewing_during_outage(self):
        """The store is unavailable while the leader is told to stop.

        If it gave up at once, no daemon could take over: seven seconds later all grants
        would have expired, and all callers of divided services would be refused.
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
        self.one._renew_record()
        task.join(2.0)
        self.assertFalse(self.one.leads)
        self.other._discover_leader()
        self.assertTrue(self.other.leads)

    def test_lost_write_response_does_not_end_leadership(self):
        self.one._discover_leader()
        spec = {**self.store.stored.spec, "beat": 1}
        self.store.stored = Stored("", "", self.store.stored.version + 1, spec)
        self.one._renew_record()
        self.one._renew_record()
        self.assertTrue(self.one.may_move)

    def test_update_wait_is_shorter_while_requests_queue(self):
        """Eleven daemons send to the owner of a hot key; each sees only its own part.

        Without queues the extra traffic is avoided.
        """
        server = BackendServer("s1", 1, "desk", "s1:80", "a", 3)
        self.one.view.directory.upsert(server)
        usual_ms = self.one._update_wait_ms()
        for _ in range(4):
            self.one.selector.record_sent(Selection(server, "r", 0.0))
        self.assertLess(self.one._update_wait_ms(), usual_ms / 2)
        # The leader of a large fleet cannot respond that often.
        self.one.view.daemons |= {f"x{i}": "x:1" for i in range(80)}
        self.assertEqual(self.one._update_wait_ms(), usual_ms)

    def test_ping_interval_grows_with_fleet(self):
        """Ninety daemons that ping again at once would fill the link of a small VM."""
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        self.one.follower.updates_since = lambda versions: {"any": {}}
        self.assertEqual(self.other._follow(), MIN_PING_INTERVAL_MS)
        self.other.view.daemons |= {f"x{i}": "x:1" for i in range(90)}
        self.one.view.daemons |= self.other.view.daemons
        self.assertGreater(self.other._follow(), 150.0)

    def test_ping_follows_immediately_after_long_wait(self):
        for daemon in (self.one, self.other):
            daemon._discover_leader()
        self.other.view.daemons |= {f"x{i}": "x:1" for i in range(90)}
        self.one.view.daemons |= self.other.view.daemons
        self.one.follower.updates_since = lambda versions: (
            self.clock.advance(500.0) or {"any": {}}
        )
        self.assertEqual(self.other._follow(), MIN_PING_INTERVAL_MS)

    def test_requests_in_flight_of_other_daemons_are_passed_on(self):
        self.one._discover_leader()
        server = BackendServer("s1", 1, "desk", "s1:80", "a", 3)
        self.other.selector.record_sent(Selection(server, "r", 0.0))
        self.other._discover_leader()
        self.assertEqual(
            self.one._in_flight_except("d1", self.clock.now_ms()), {"s1": 1}
        )
        self.assertEqual(self.one._in_flight_except("d2", self.clock.now_ms()), {})
