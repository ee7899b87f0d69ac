"""What daemons of a fleet tell each other of the store, in one process."""

import itertools
import json
import types
import unittest

import gevent
from returns.result import Success

from tarragonramp.clock import Clock, ManualClock
from tarragonramp.dealing import Candidate, first_deal
from tarragonramp.directory import MISSING_USE_MS, BackendServer
from tarragonramp.fleet_view import RANGES, SERVER, FleetView
from tarragonramp.ranges import RangeTable
from tarragonramp.roles.follower import Follower


def table_at(version):
    """Return a table in which a range more has moved with each version from 10 on."""
    table = first_deal("parts", [Candidate(f"s{i}", 1) for i in range(60)])
    moved = [table.ranges[at].moved_to("s0", 1) for at in range(version - 10)]
    return table.with_ranges(moved)


def new_follower():
    """Return a follower that has read nothing yet."""
    clock = Clock()
    return Follower(FleetView(clock), None, None, None, clock)


def read(follower, version):
    """Let a follower take in all tables as the store has them at a version."""
    row = ["parts", version, table_at(version).to_spec()]
    news = {"version": version, "names": ["parts"], "objects": [row]}
    follower.take_news({RANGES: news})


class TroubleTest(unittest.TestCase):
    """The store was in trouble, and daemons tell each other."""

    def test_trouble_that_daemons_tell_each_other_of_ends(self):
        clock = ManualClock(10_000.0)
        one, other = (
            Follower(FleetView(clock), None, None, None, clock) for _ in range(2)
        )
        read(one, 10)
        one.record_store_failure()
        for version in range(11, 31, 2):
            other.take_news(one.news_since(other.changed))
            read(other, version)
            one.take_news(other.news_since(one.changed))
            read(one, version + 1)
            clock.advance(1000.0)
        other.take_news(one.news_since(other.changed))
        for follower in (one, other):
            news = follower.news_since({})[RANGES]
            self.assertIsNone(news["trouble_ms_ago"])


class Peer:
    """Tells what another follower knows, and notes who was asked."""

    def __init__(self, follower):
        self.follower, self.asked = follower, []

    def news(self, kind, since_version, address=""):
        """Return what the other knows beyond a version."""
        self.asked.append(address)
        return self.follower.news_since({kind: since_version})


class MissingTest(unittest.TestCase):
    """A server's entry is gone after trouble, and daemons tell each other."""

    def test_relays_do_not_prolong_the_use_of_a_missing_server(self):
        clock = ManualClock(10_000.0)
        ports = types.SimpleNamespace(read_server=read_server)
        chain = [Follower(FleetView(clock), None, None, ports, clock) for _ in range(3)]
        row = ["s1", 5, {}]
        listed = {"version": 5, "names": ["s1"], "objects": [row]}
        for follower in chain:
            follower.take_news({SERVER: listed})
        chain[0].record_store_failure()
        chain[0].take_news({SERVER: {"version": 7, "names": [], "objects": []}})
        for teller, hearer in itertools.pairwise(chain):
            clock.advance(500.0)
            hearer.take_news(teller.news_since(hearer.changed))
        last = chain[-1].view.directory
        self.assertEqual(len(last.usable("desk")), 1)
        clock.advance(MISSING_USE_MS - 1000.0)
        self.assertEqual(last.usable("desk"), ())


def read_server(item):
    """Decode an entry."""
    return Success(BackendServer(item.name, 1, "desk", "10.0.0.1:80", "a", 1))


class NewsOfTablesTest(unittest.TestCase):
    """A leader, and a daemon that leans on it."""

    def setUp(self):
        self.leader, self.daemon = new_follower(), new_follower()
        read(self.leader, 10)
        self.tell()

    def tell(self):
        """Pass on what is new; return how many bytes that took."""
        news = self.leader.news_since(self.daemon.changed)
        self.daemon.take_news(json.loads(json.dumps(news)))
        return len(json.dumps(news))

    def check_same(self):
        """Expect that both know the same table, also in the form that is passed on."""
        mine, theirs = self.daemon.view, self.leader.view
        self.assertEqual(mine.tables["parts"].ranges, theirs.tables["parts"].ranges)
        self.assertEqual(mine.digest(), theirs.digest())
        spec = self.daemon.objects[RANGES]["parts"].spec
        self.assertEqual(RangeTable.from_spec(spec).ranges, mine.tables["parts"].ranges)

    def test_only_the_ranges_that_moved_are_told(self):
        whole = len(json.dumps(self.leader.news_since({})))
        read(self.leader, 12)
        self.assertLess(self.tell(), whole / 10)
        self.check_same()
        read(self.leader, 13)
        read(self.leader, 17)
        self.assertLess(self.tell(), whole / 10)
        self.check_same()

    def test_who_has_another_version_than_the_leader_thinks_is_told_everything(self):
        """The store told a daemon of a version that the leader never saw.

        Its changes would be laid over the wrong table: keys sent to old owners.
        """
        read(self.leader, 12)
        read(self.daemon, 11)
        self.tell()
        self.assertEqual(self.daemon.view.table_version("parts"), 11)
        self.tell()
        self.check_same()

    def test_a_new_leader_passes_on_what_it_was_told(self):
        read(self.leader, 12)
        self.tell()
        third = new_follower()
        third.take_news(self.daemon.news_since({}))
        read(self.leader, 14)
        self.tell()
        third.take_news(self.daemon.news_since(third.changed))
        self.assertEqual(third.view.table_version("parts"), 14)
        self.check_same()

    def test_only_what_a_peer_has_read_beyond_is_asked_for(self):
        read(self.leader, 12)
        self.daemon.peers = Peer(self.leader)
        self.daemon.catch_up("d1:1", {RANGES: 10})
        gevent.sleep(0)
        self.assertEqual(self.daemon.peers.asked, [])
        for _ in range(2):
            self.daemon.catch_up("d1:1", self.leader.changed)
        gevent.sleep(0)
        self.assertEqual(self.daemon.peers.asked, ["d1:1"])
        self.check_same()

    def test_a_peer_that_has_only_read_later_is_asked_once(self):
        self.leader.changed[RANGES] = 15
        self.daemon.peers = Peer(self.leader)
        for _ in range(3):
            self.daemon.catch_up("d1:1", self.leader.changed)
            gevent.sleep(0)
        self.assertEqual(self.daemon.peers.asked, ["d1:1"])


if __name__ == "__main__":
    unittest.main()
