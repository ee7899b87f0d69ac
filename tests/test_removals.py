"""Log and propagation of removals, partly in simulated histories."""

import json
import random
import types
import unittest

from returns.result import Failure, Success

from tarragonramp.clock import ManualClock
from tarragonramp.directory import BackendServer
from tarragonramp.fleet_view import SERVER, FleetView
from tarragonramp.manifest import FleetService, Manifest, RouteTable
from tarragonramp.model import Stored
from tarragonramp.removals import MAX_ENTRIES, RemovalLog
from tarragonramp.roles.follower import Follower
from tarragonramp.roster import Roster


class RemovalsTest(unittest.TestCase):
    """The removal log of one kind of objects."""

    def test_only_later_removals_are_returned(self):
        removals = RemovalLog()
        removals.record(5, ["a"])
        removals.record(7, ["b", "c"])
        self.assertEqual(removals.since(4), ["a", "b", "c"])
        self.assertEqual(removals.since(5), ["b", "c"])
        self.assertEqual(removals.since(7), [])

    def test_removals_since_a_version_within_a_gap_are_unknown(self):
        removals = RemovalLog()
        removals.record_gap(10, 20)
        self.assertEqual(removals.since(10), [])
        self.assertIsNone(removals.since(15))
        self.assertEqual(removals.since(20), [])

    def test_number_of_entries_is_bounded(self):
        removals = RemovalLog()
        for version in range(1, 3 * MAX_ENTRIES):
            removals.record(version, [f"s{version}"])
        self.assertIsNone(removals.since(1))
        latest = 3 * MAX_ENTRIES - 1
        self.assertEqual(removals.since(latest - 1), [f"s{latest}"])


class RosterTest(unittest.TestCase):
    """Counts that are identified by their position."""

    def test_counts_are_unpacked_with_the_same_names(self):
        sent = Roster.of(["b", "a", "c"]).pack({"a": 2, "c": 1, "gone": 7})
        self.assertEqual(
            Roster.of(["c", "b", "a"]).unpack(json.loads(json.dumps(sent))),
            {"a": 2, "c": 1},
        )

    def test_counts_for_other_names_are_ignored(self):
        sent = Roster.of(["a", "b"]).pack({"a": 2})
        self.assertIsNone(Roster.of(["a", "c"]).unpack(sent))

    def test_malformed_message_is_an_error(self):
        roster = Roster.of(["a", "b"])
        for message in ([roster.digest, [1]], [], [1, 2, 3]):
            with self.assertRaises(ValueError):
                roster.unpack(message)


class History:
    """A store in which servers appear and disappear, with its events."""

    def __init__(self, rng):
        self.rng, self.version, self.objects, self.events = rng, 100, {}, []
        self.states = [(100, {})]

    def step(self):
        """Add, change or remove one server."""
        self.version += self.rng.randint(1, 3)
        name = f"s{self.rng.randrange(12)}"
        if name in self.objects and self.rng.random() < 0.5:
            del self.objects[name]
            self.events.append(Stored(SERVER, name, self.version, None))
        else:
            spec = {"n": self.version}
            self.objects[name] = Stored(SERVER, name, self.version, spec)
            self.events.append(self.objects[name])
        self.states.append((self.version, dict(self.objects)))

    def state_at(self, version):
        """Return the objects of the store at a version."""
        return [state for at, state in self.states if at <= version][-1]

    def watch(self, follower):
        """Pass a follower the events that it has not read yet."""
        since = follower.versions[SERVER]
        events = [event for event in self.events if event.version > since]
        follower._apply_changes(SERVER, self.version, events)

    def read(self, follower):
        """Let a follower read a snapshot."""
        items = list(self.objects.values())
        follower._replace(SERVER, self.version, items, via="snapshot")


class PropagatedRemovalsTest(unittest.TestCase):
    """Daemons that watch, reread and update each other in any order."""

    def test_followers_have_the_state_of_the_store_at_their_version(self):
        for seed in range(300):
            rng = random.Random(seed)
            history = History(rng)
            followers = [self.new_follower() for _ in range(4)]
            for _ in range(60):
                history.step()
                self.advance(rng, history, followers)
                for follower in followers:
                    self.check(follower, history)

    def check(self, follower, history):
        """Check that a follower has the state of the store at its version."""
        version = follower.versions.get(SERVER)
        if version is not None:
            known = follower.objects[SERVER]
            self.assertEqual(known, history.state_at(version))

    def advance(self, rng, history, followers):
        """Let some followers learn of changes in a random way."""
        for _ in range(rng.randrange(3)):
            one, other = rng.sample(followers, 2)
            way = rng.random()
            if way < 0.3 or not one.versions:
                history.read(one)
            elif way < 0.6:
                history.watch(one)
            else:
                self.exchange(one, other, history if rng.random() < 0.5 else None)

    def exchange(self, one, other, history=None):
        """Send updates from one follower to the other; both may read more before."""
        asked = dict(other.changed)
        if history is not None and other.versions:
            history.step()
            history.watch(other)
            history.step()
            history.read(one)
        updates = json.loads(json.dumps(one.updates_since(asked)))
        other.apply_updates(updates)

    def new_follower(self):
        """Return a follower that has read nothing."""
        clock = ManualClock(1000.0)
        ports = types.SimpleNamespace(read_server=self.read_server)
        follower = Follower(FleetView(clock), None, None, ports, clock)
        services = {"desk": FleetService("desk")}
        follower.view.update_routes(RouteTable(Manifest(1, (), services)))
        return follower

    def read_server(self, item):
        """Decode a server's entry."""
        if item.spec is None:
            return Failure(ValueError("no entry"))
        return Success(BackendServer(item.name, 1, "desk", f"{item.name}:1", "a", 1))


if __name__ == "__main__":
    unittest.main()
