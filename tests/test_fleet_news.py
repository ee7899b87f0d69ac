"""What the leader of a large fleet sends to tell all daemons of a change."""

import io
import json
import random
import types
import unittest
import zlib

from returns.result import Failure, Success

from tarragonramp.adapters.fleet_peers import PING, PeerApplication
from tarragonramp.balancing import Chosen, Loads
from tarragonramp.clock import ManualClock
from tarragonramp.directory import MISSING_USE_MS, BackendServer
from tarragonramp.fleet_view import FOLLOWED_KINDS, SERVER, FleetView
from tarragonramp.leading import LeaderRecord
from tarragonramp.roles.follower import Follower
from tarragonramp.roles.leadership import Leadership

N_DAEMONS, N_SERVERS, LEAVING, AT_WORK = 91, 334, 5, 12
RECORD = LeaderRecord("e0", "boot-e0", "e0:1", 1)

DRAIN_MS = 2000.0
WAY_MS = 100.0
"""For the store's answer and the messages themselves."""

LINK_BYTES_PER_MS = 10_000_000 / 8 / 1000 / 2
"""Of a small VM's link of 10 Mbit/s, half: the rest is for callers."""

HEAD_BYTES = 200
"""Of an HTTP answer and of the packets that carry it."""


class Link:
    """Carries questions of daemons to the leader, and counts the answers' bytes."""

    def __init__(self):
        self.application, self.n_bytes = None, 0

    def ping(self, address, message, wait_ms):
        """Ask the leader, as ``FleetPeers.ping`` does."""
        data = zlib.compress(json.dumps(message).encode())
        environ = {"PATH_INFO": PING, "wsgi.input": io.BytesIO(data)}
        (body,) = self.application(environ, lambda status, headers: None)
        self.n_bytes += len(body) + HEAD_BYTES
        return Success(json.loads(zlib.decompress(body)))


class LargeFleetTest(unittest.TestCase):
    """A leader and ninety daemons that know a few hundred servers."""

    def setUp(self):
        self.rng, self.clock = random.Random(7), ManualClock(50_000.0)
        self.link, self.servers, self.entries = Link(), {}, {}
        self.leader = self.new_daemon("e0")
        self.link.application = PeerApplication(
            self.leader, self.leader.follower, None, None
        )
        nothing = {"version": 1, "names": [], "objects": []}
        self.leader.follower.take_news(dict.fromkeys(FOLLOWED_KINDS, nothing))
        self.leader.follower.follow_store("leads")
        self.others = [self.new_daemon(f"e{i}") for i in range(1, N_DAEMONS)]
        self.version = 1000
        self.change(joining=N_SERVERS, leaving=0)
        self.tell_all()
        for daemon in self.others:
            for server in self.rng.sample(list(self.servers.values()), AT_WORK):
                daemon.loads.sent(Chosen(server, "r", 0.0))
        self.change(joining=1, leaving=0)
        self.tell_all()

    def new_daemon(self, name):
        """Return one daemon's leadership over a view that knows nothing yet."""
        view = FleetView(self.clock)
        ports = types.SimpleNamespace(read_server=self.read_server)
        follower = Follower(view, None, None, ports, self.clock)
        fixed = f"boot-{name}", f"{name}:1", view, None, self.link, follower
        made = Leadership(name, *fixed, Loads("san-juan"), self.clock)
        made.standing.confirmed(RECORD, 1, self.clock.now_ms())
        return made

    def read_server(self, item):
        """Decode an entry, as the platform's adapter does."""
        server = self.servers.get(item.name)
        return Success(server) if server else Failure(ValueError(item.name))

    def change(self, joining, leaving):
        """Let servers join and leave, and the leader hear of it."""
        for name in self.rng.sample(list(self.servers), leaving):
            del self.servers[name], self.entries[name]
        for _ in range(joining):
            self.version += 1
            self.add_server(f"i-{self.rng.getrandbits(40):010x}")
        self.version += 1
        news = {
            "version": self.version,
            "names": list(self.entries),
            "objects": list(self.entries.values()),
        }
        self.leader.follower.take_news({SERVER: news})

    def add_server(self, name):
        """Add one server with what it writes of itself."""
        address = f"10.{self.rng.randint(1, 5)}.64.{self.rng.randint(1, 99)}:8246"
        life = 1_782_291_129_012 + self.rng.randrange(100_000)
        info = {"service": "desk", "version": "v1", "zone": "san-juan", "slots": 4}
        status = {"state": "ready", "seq": self.rng.randrange(60), "warmupLeft": "3s"}
        spec = {"addr": address, "born": life, "info": info, "status": status}
        self.entries[name] = [name, self.version, spec]
        self.servers[name] = BackendServer(name, life, "desk", address, "san-juan", 4)

    def tell_all(self):
        """Let each daemon ask for news; return the bytes of all answers."""
        before = self.link.n_bytes
        for daemon in self.others:
            daemon._ping()
        return self.link.n_bytes - before

    def test_news_of_leaving_servers_do_not_fill_a_small_vms_link(self):
        """Two rounds fit: the leader's own question to the store waits behind one."""
        self.change(joining=LEAVING, leaving=LEAVING)
        round_ms = self.tell_all() / LINK_BYTES_PER_MS
        self.assertLess(2 * round_ms, DRAIN_MS - MISSING_USE_MS - WAY_MS)
        for daemon in self.others:
            known = daemon.follower.objects[SERVER]
            self.assertEqual(known.keys(), self.entries.keys())

    def test_news_at_their_fastest_leave_callers_half_of_the_link(self):
        """Something changes all the time, so that each question is answered at once."""
        pauses_ms = []
        before = self.link.n_bytes
        for _ in range(3):
            self.change(joining=LEAVING, leaving=LEAVING)
            pauses_ms.append(min(daemon._follow() for daemon in self.others))
        sent_ms = (self.link.n_bytes - before) / LINK_BYTES_PER_MS
        self.assertLess(sent_ms, sum(pauses_ms))

    def test_each_daemon_hears_of_the_others_requests(self):
        self.change(joining=0, leaving=LEAVING)
        self.tell_all()
        now_ms = self.clock.now_ms()
        for daemon in self.others[::10]:
            for name in self.servers:
                counts = [d.loads.in_flight(name) for d in self.others]
                beside = sum(counts) - daemon.loads.in_flight(name)
                told = daemon.loads.told_in_flight(name, now_ms)
                self.assertEqual(told or 0, beside)


if __name__ == "__main__":
    unittest.main()
