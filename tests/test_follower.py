"""Updates that the daemons of a fleet pass on to each other, in one process."""

import itertools
import json
import types
import unittest

import gevent
from returns.result import Success

from tarragonramp.clock import Clock, ManualClock
from tarragonramp.directory import MISSING_ROUTABLE_MS, BackendServer
from tarragonramp.fleet_view import MANIFEST, RANGES, SERVER, FleetView
from tarragonramp.manifest import (
    FleetService,
    Manifest,
    Route,
    RouteTable,
    WeightedService,
)
from tarragonramp.model import Stored
from tarragonramp.range_placement import Candidate, initial_table
from tarragonramp.ranges import RangeTable
from tarragonramp.roles.follower import Follower


def table_at(version):
    """Return a table in which one more range has moved with each version from 10."""
    table = initial_table("parts", [Candidate(f"s{i}", 1) for i in range(60)])
    moved = [table.ranges[at].moved_to("s0", 1) for at in range(version - 10)]
    return table.with_ranges(moved)


def new_follower():
    """Return a follower that has read nothing yet."""
    clock = Clock()
    return Follower(FleetView(clock), None, None, None, clock)


def use_services(follower, *names):
    """Let a follower read a manifest that declares some services."""
    services = {name: FleetService(name) for name in names}
    follower.view.update_routes(RouteTable(Manifest(1, (), services)))


def read(follower, version):
    """Let a follower apply all tables as stored at a version."""
    row = ["parts", version, table_at(version).to_spec()]
    updates = {"version": version, "names": ["parts"], "objects": [row]}
    follower.apply_updates({RANGES: updates})


class StoreFailureTest(unittest.TestCase):
    """The store failed, and daemons report that to each other."""

    def test_reported_store_failure_expires(self):
        clock = ManualClock(10_000.0)
        one, other = (
            Follower(FleetView(clock), None, None, None, clock) for _ in range(2)
        )
        read(one, 10)
        one.record_store_failure()
        for version in range(11, 31, 2):
            other.apply_updates(one.updates_since(other.changed))
            read(other, version)
            one.apply_updates(other.updates_since(one.changed))
            read(one, version + 1)
            clock.advance(1000.0)
        other.apply_updates(one.updates_since(other.changed))
        for follower in (one, other):
            updates = follower.updates_since({})[RANGES]
            self.assertIsNone(updates["trouble_ms_ago"])


class Peer:
    """Returns the updates of another follower, and records the addresses asked."""

    def __init__(self, follower):
        self.follower, self.asked = follower, []

    def news(self, kind, since_version, address=""):
        """Return the other follower's updates since a version."""
        self.asked.append(address)
        return self.follower.updates_since({kind: since_version})


class UnreadableEntryTest(unittest.TestCase):
    """Entries whose parsing raises an error that nobody foresaw."""

    def test_other_entries_are_applied(self):
        """Guards against one entry that ends the task that follows all of them."""

        def read(item):
            if item.name == "bad":
                raise OverflowError("too large")
            return read_server(item)

        ports = types.SimpleNamespace(read_server=read)
        follower = Follower(FleetView(ManualClock()), None, None, ports, ManualClock())
        use_services(follower, "desk")
        rows = [["bad", 5, {}], ["s1", 5, {}]]
        listed = {"version": 5, "names": ["bad", "s1"], "objects": rows}
        follower.apply_updates({SERVER: listed})
        self.assertEqual(list(follower.view.directory.servers), ["s1"])


class UnusedServiceTest(unittest.TestCase):
    """Entries of services that the manifest may or may not name."""

    def setUp(self):
        clock = ManualClock(10_000.0)
        ports = types.SimpleNamespace(
            read_server=lambda item: Success(
                BackendServer(item.name, item.version, item.spec, "s:80", "a", 1)
            ),
            read_manifest=lambda spec: Success(
                Manifest(spec[0], (), {name: FleetService(name) for name in spec[1]})
            ),
        )
        self.follower = Follower(FleetView(clock), None, None, ports, clock)
        self.version = 0

    def update(self, kind, **specs):
        """Apply a list of objects of a kind, by name."""
        self.version += 1
        rows = [[name, self.version, spec] for name, spec in specs.items()]
        found = {"version": self.version, "names": list(specs), "objects": rows}
        self.follower.apply_updates({kind: found})

    def services(self):
        """Return the services of the known servers, by name."""
        servers = self.follower.view.directory.servers
        return {name: server.service for name, server in servers.items()}

    def test_entry_of_unknown_service_replaces_no_server(self):
        """Guards against a running owner whose entry another program has replaced."""
        self.update(MANIFEST, main=[1, ["parts"]])
        self.update(SERVER, s1="parts")
        self.update(SERVER, s1="inventory", s2="inventory")
        self.assertEqual(self.services(), {"s1": "parts"})

    def test_servers_are_known_once_a_manifest_names_their_service(self):
        """Guards against servers that are registered before their service."""
        self.update(SERVER, s1="parts", s2="desk", s3="inventory")
        self.assertEqual(self.services(), {})
        self.update(MANIFEST, main=[1, ["parts"]])
        self.assertEqual(self.services(), {"s1": "parts"})
        self.update(SERVER, s1="parts", s2="desk")
        self.update(MANIFEST, main=[2, ["parts", "desk", "inventory"]])
        self.assertEqual(self.services(), {"s1": "parts", "s2": "desk"})

    def test_versions_that_were_left_out_do_not_accumulate(self):
        """Guards against memory that grows with each write of another program."""
        self.update(MANIFEST, main=[1, ["parts"]])
        for _ in range(20):
            self.update(SERVER, s1="inventory")
        self.assertEqual(len(self.follower._logged_unreadable), 1)

    def test_later_entry_replaces_one_that_was_left_out(self):
        """Guards against an old entry that a new manifest brings back."""
        self.update(MANIFEST, main=[1, ["parts"]])
        self.update(SERVER, s1="inventory")
        self.update(SERVER, s1="parts")
        self.update(MANIFEST, main=[2, ["parts", "inventory"]])
        self.assertEqual(self.services(), {"s1": "parts"})

    def test_service_that_is_only_routed_to_is_named(self):
        """Guards against requests for a service whose servers are left out."""
        part = WeightedService("parts")
        route = Route("h", "/", (part,), True, 1000.0, 500.0)
        self.follower.view.update_routes(RouteTable(Manifest(1, (route,))))
        self.update(SERVER, s1="parts")
        self.assertEqual(self.services(), {"s1": "parts"})

    def test_server_stays_known_while_no_manifest_names_its_service(self):
        """Guards against requests to a server whose draining state was not read."""
        self.update(MANIFEST, main=[1, ["parts"]])
        self.update(SERVER, s1="parts")
        self.update(MANIFEST, main=[2, ["desk"]])
        self.update(SERVER, s1="parts", s2="parts")
        self.assertEqual(self.services(), {"s1": "parts"})
        server = self.follower.view.directory.servers["s1"]
        self.assertEqual(server.life, self.version)


class MissingServerTest(unittest.TestCase):
    """A server's entry is missing after a store failure."""

    def test_passing_on_does_not_extend_use_of_missing_server(self):
        clock = ManualClock(10_000.0)
        ports = types.SimpleNamespace(read_server=read_server)
        chain = [Follower(FleetView(clock), None, None, ports, clock) for _ in range(3)]
        row = ["s1", 5, {}]
        listed = {"version": 5, "names": ["s1"], "objects": [row]}
        for follower in chain:
            use_services(follower, "desk")
            follower.apply_updates({SERVER: listed})
        chain[0].record_store_failure()
        chain[0].apply_updates({SERVER: {"version": 7, "names": [], "objects": []}})
        for sender, receiver in itertools.pairwise(chain):
            clock.advance(0.4 * MISSING_ROUTABLE_MS)
            receiver.apply_updates(sender.updates_since(receiver.changed))
        last = chain[-1].view.directory
        self.assertEqual(len(last.usable("desk")), 1)
        clock.advance(0.2 * MISSING_ROUTABLE_MS)
        self.assertEqual(last.usable("desk"), ())


def read_server(item):
    """Decode an entry."""
    return Success(BackendServer(item.name, 1, "desk", "10.0.0.1:80", "a", 1))


class ChangingStore:
    """A store in which a table changes all the time; records the calls."""

    def __init__(self):
        self.version, self.calls = 20, []

    def snapshot(self, kind):
        """Return nothing at the current version."""
        self.calls.append(("snapshot", kind))
        return Success((self.version, []))

    def watch(self, kind, since_version, wait_ms):
        """Return a change immediately."""
        self.calls.append(("watch", kind))
        self.version += 1
        items = [Stored(kind, f"x{self.version}", self.version, {})]
        return Success((self.version, items))


class StoreCallsTest(unittest.TestCase):
    """Calls of a daemon that follows the store, each of which is paid for."""

    def follow_for(self, time_s, **options):
        """Follow a changing store for a time; return the calls."""
        store = ChangingStore()
        follower = Follower(FleetView(Clock()), store, Peer(None), None, Clock())
        read(follower, 10)
        follower.leader_hears_store = options.pop("leader_hears_store", False)
        follower.follow_store("test", **options)
        tasks = [gevent.spawn(follower.run, RANGES)]
        gevent.sleep(time_s)
        gevent.killall(tasks)
        return store.calls

    def test_changes_in_quick_succession_are_read_together(self):
        """Guards against a call for each of the dozens of changes in a second."""
        calls = self.follow_for(0.3, reread=False)
        self.assertLessEqual(len(calls), 7)
        self.assertGreaterEqual(len(calls), 3)
        calls = self.follow_for(0.3, reread=False, leader_hears_store=True)
        self.assertEqual(len(calls), 1)

    def test_a_silent_leader_causes_no_full_reads(self):
        """Guards against hundreds of daemons that read all lists at once."""
        calls = self.follow_for(0.02, reread=False)
        self.assertEqual(calls[0], ("watch", RANGES))
        calls = self.follow_for(0.02)
        self.assertEqual(calls[0], ("snapshot", RANGES))

    def test_following_the_leader_again_needs_no_full_read_later(self):
        store = ChangingStore()
        store.watch = lambda *query: gevent.sleep(10.0)
        follower = Follower(FleetView(Clock()), store, Peer(None), None, Clock())
        read(follower, 10)
        task = gevent.spawn(follower.run, RANGES)
        for _ in range(2):
            follower.follow_store("test", reread=False)
            gevent.sleep(0.02)
            follower.follow_leader("d1:1")
            gevent.sleep(0.02)
        task.kill()
        self.assertEqual(store.calls, [])


class TableUpdatesTest(unittest.TestCase):
    """A leader, and a daemon that follows it."""

    def setUp(self):
        self.leader, self.daemon = new_follower(), new_follower()
        read(self.leader, 10)
        self.pass_on_updates()

    def pass_on_updates(self):
        """Pass on the leader's updates; return their size in bytes."""
        updates = self.leader.updates_since(self.daemon.changed)
        self.daemon.apply_updates(json.loads(json.dumps(updates)))
        return len(json.dumps(updates))

    def assert_same_table(self):
        """Check that both have the same table, also in the form that is passed on."""
        own_view, leader_view = self.daemon.view, self.leader.view
        self.assertEqual(
            own_view.tables["parts"].ranges, leader_view.tables["parts"].ranges
        )
        self.assertEqual(own_view.digest(), leader_view.digest())
        spec = self.daemon.objects[RANGES]["parts"].spec
        self.assertEqual(
            RangeTable.from_spec(spec).ranges, own_view.tables["parts"].ranges
        )

    def test_updates_contain_only_moved_ranges(self):
        whole = len(json.dumps(self.leader.updates_since({})))
        read(self.leader, 12)
        self.assertLess(self.pass_on_updates(), whole / 10)
        self.assert_same_table()
        read(self.leader, 13)
        read(self.leader, 17)
        self.assertLess(self.pass_on_updates(), whole / 10)
        self.assert_same_table()

    def test_unchanged_ranges_are_shared_between_versions(self):
        """Guards against rebuilding thousands of ranges whenever a few move."""
        before = self.daemon.view.tables["parts"].ranges
        read(self.leader, 12)
        self.pass_on_updates()
        after = self.daemon.view.tables["parts"].ranges
        kept = [new for old, new in zip(before, after, strict=True) if old is new]
        self.assertEqual(len(kept), len(before) - 2)

    def test_table_that_is_also_read_from_the_store_counts_as_unchanged(self):
        """Guards against a change for all daemons when a follower begins to watch."""
        read(self.leader, 12)
        self.pass_on_updates()
        stored = Stored(RANGES, "parts", 12, table_at(12).to_spec())
        updates = {"version": 15, "names": ["parts"], "objects": []}
        updates["objects"] = [["parts", 12, stored.spec]]
        self.daemon.apply_updates({RANGES: updates})
        self.assertEqual(self.daemon.changed[RANGES], 12)
        self.assertEqual(self.daemon.objects[RANGES]["parts"], stored)
        self.assertNotEqual(self.daemon.objects[RANGES]["parts"], object())
        self.assert_same_table()

    def test_unexpected_version_causes_full_update(self):
        """The store gave a daemon a version that the leader never read.

        Changes would be applied to the wrong table, and requests sent to old owners.
        """
        read(self.leader, 12)
        read(self.daemon, 11)
        self.pass_on_updates()
        self.assertEqual(self.daemon.view.table_version("parts"), 11)
        self.pass_on_updates()
        self.assert_same_table()

    def test_received_updates_are_passed_on(self):
        read(self.leader, 12)
        self.pass_on_updates()
        third = new_follower()
        third.apply_updates(self.daemon.updates_since({}))
        read(self.leader, 14)
        self.pass_on_updates()
        third.apply_updates(self.daemon.updates_since(third.changed))
        self.assertEqual(third.view.table_version("parts"), 14)
        self.assert_same_table()

    def test_catch_up_only_with_newer_peer(self):
        read(self.leader, 12)
        self.daemon.peers = Peer(self.leader)
        self.daemon.catch_up("d1:1", {RANGES: 10})
        gevent.sleep(0)
        self.assertEqual(self.daemon.peers.asked, [])
        for _ in range(2):
            self.daemon.catch_up("d1:1", self.leader.changed)
        gevent.sleep(0)
        self.assertEqual(self.daemon.peers.asked, ["d1:1"])
        self.assert_same_table()

    def test_peer_without_newer_objects_is_asked_once(self):
        self.leader.changed[RANGES] = 15
        self.daemon.peers = Peer(self.leader)
        for _ in range(3):
            self.daemon.catch_up("d1:1", self.leader.changed)
            gevent.sleep(0)
        self.assertEqual(self.daemon.peers.asked, ["d1:1"])


if __name__ == "__main__":
    unittest.main()
