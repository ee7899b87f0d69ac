"""Size of the updates that the leader of a large fleet sends to all daemons."""

import io
import json
import random
import types
import unittest
import zlib

from returns.result import Failure, Success

from tarragonramp.adapters.fleet_peers import PING_PATH, PeerApplication
from tarragonramp.balancing import Selection, ServerSelector
from tarragonramp.clock import ManualClock
from tarragonramp.directory import MISSING_ROUTABLE_MS, BackendServer
from tarragonramp.fleet_view import FOLLOWED_KINDS, SERVER, FleetView
from tarragonramp.leadership import LeaderRecord
from tarragonramp.manifest import FleetService, Manifest, RouteTable
from tarragonramp.roles.follower import Follower
from tarragonramp.roles.leadership import Leadership

N_DAEMONS, N_SERVERS, N_LEAVING, N_BUSY = 91, 334, 5, 12
RECORD = LeaderRecord("e0", "boot-e0", "e0:1", 1)

DRAIN_MS = 2000.0
MESSAGE_DELAY_MS = 100.0
"""For the store's response and for the messages themselves."""

LINK_BYTES_PER_MS = 10_000_000 / 8 / 1000 / 2
"""Half of a small VM's link of 10 Mbit/s; the rest is for callers."""

OVERHEAD_BYTES = 200
"""Of the head of an HTTP response and of the packets that carry it."""


class LeaderLink:
    """Passes pings of daemons to the leader, and counts the bytes of its responses."""

    def __init__(self):
        self.application, self.n_bytes = None, 0

    def ping(self, address, message, wait_ms):
        """Ping the leader, as ``FleetPeers.ping`` does."""
        data = zlib.compress(json.dumps(message).encode())
        environ = {"PATH_INFO": PING_PATH, "wsgi.input": io.BytesIO(data)}
        (body,) = self.application(environ, lambda status, headers: None)
        self.n_bytes += len(body) + OVERHEAD_BYTES
        return Success(json.loads(zlib.decompress(body)))


class LargeFleetTest(unittest.TestCase):
    """A leader and ninety daemons that know a few hundred servers."""

    def setUp(self):
        self.rng, self.clock = random.Random(7), ManualClock(50_000.0)
        self.link, self.servers, self.entries = LeaderLink(), {}, {}
        self.leader = self.new_daemon("e0")
        self.link.application = PeerApplication(
            self.leader, self.leader.follower, None, None, None
        )
        nothing = {"version": 1, "names": [], "objects": []}
        self.leader.follower.apply_updates(dict.fromkeys(FOLLOWED_KINDS, nothing))
        self.leader.follower.follow_store("leads")
        self.followers = [self.new_daemon(f"e{i}") for i in range(1, N_DAEMONS)]
        self.version = 1000
        self.change(joining=N_SERVERS, leaving=0)
        self.ping_all()
        for daemon in self.followers:
            for server in self.rng.sample(list(self.servers.values()), N_BUSY):
                daemon.selector.record_sent(Selection(server, "r", 0.0))
        self.change(joining=1, leaving=0)
        self.ping_all()

    def new_daemon(self, name):
        """Return the leadership of a daemon whose view is empty."""
        view = FleetView(self.clock)
        services = {"desk": FleetService("desk")}
        view.update_routes(RouteTable(Manifest(1, (), services)))
        ports = types.SimpleNamespace(read_server=self.read_server)
        follower = Follower(view, None, None, ports, self.clock)
        arguments = f"boot-{name}", f"{name}:1", view, None, self.link, follower
        created = Leadership(name, *arguments, ServerSelector("san-juan"), self.clock)
        created.leadership_state.confirmed(RECORD, 1, self.clock.now_ms())
        return created

    def read_server(self, item):
        """Decode an entry, as the platform's adapter does."""
        server = self.servers.get(item.name)
        return Success(server) if server else Failure(ValueError(item.name))

    def change(self, joining, leaving):
        """Let servers join and leave, and update the leader."""
        for name in self.rng.sample(list(self.servers), leaving):
            del self.servers[name], self.entries[name]
        for _ in range(joining):
            self.version += 1
            self.add_server(f"i-{self.rng.getrandbits(40):010x}")
        self.version += 1
        updates = {
            "version": self.version,
            "names": list(self.entries),
            "objects": list(self.entries.values()),
        }
        self.leader.follower.apply_updates({SERVER: updates})

    def add_server(self, name):
        """Add one server and its entry."""
        address = f"10.{self.rng.randint(1, 5)}.64.{self.rng.randint(1, 99)}:8246"
        life = 1_782_291_129_012 + self.rng.randrange(100_000)
        info = {"service": "desk", "version": "v1", "zone": "san-juan", "slots": 4}
        status = {"state": "ready", "seq": self.rng.randrange(60), "warmupLeft": "3s"}
        spec = {"addr": address, "born": life, "info": info, "status": status}
        self.entries[name] = [name, self.version, spec]
        self.servers[name] = BackendServer(name, life, "desk", address, "san-juan", 4)

    def ping_all(self):
        """Let each daemon ping the leader; return the bytes of all responses."""
        before = self.link.n_bytes
        for daemon in self.followers:
            daemon._ping()
        return self.link.n_bytes - before

    def test_updates_on_leaving_servers_fit_small_link(self):
        """Two rounds have to fit: the leader's own call to the store waits for one."""
        self.change(joining=N_LEAVING, leaving=N_LEAVING)
        round_ms = self.ping_all() / LINK_BYTES_PER_MS
        self.assertLess(2 * round_ms, DRAIN_MS - MISSING_ROUTABLE_MS - MESSAGE_DELAY_MS)
        for daemon in self.followers:
            known = daemon.follower.objects[SERVER]
            self.assertEqual(known.keys(), self.entries.keys())

    def test_continuous_updates_use_at_most_half_of_link(self):
        """Something changes all the time, so that each ping is answered at once."""
        pauses_ms = []
        before = self.link.n_bytes
        for _ in range(3):
            self.change(joining=N_LEAVING, leaving=N_LEAVING)
            pauses_ms.append(min(daemon._follow() for daemon in self.followers))
        sent_ms = (self.link.n_bytes - before) / LINK_BYTES_PER_MS
        self.assertLess(sent_ms, sum(pauses_ms))

    def test_requests_in_flight_reach_each_daemon(self):
        self.change(joining=0, leaving=N_LEAVING)
        self.ping_all()
        now_ms = self.clock.now_ms()
        for daemon in self.followers[::10]:
            for name in self.servers:
                counts = [d.selector.in_flight(name) for d in self.followers]
                others_in_flight = sum(counts) - daemon.selector.in_flight(name)
                in_flight = daemon.selector.peer_in_flight(name, now_ms)
                self.assertEqual(in_flight or 0, others_in_flight)


if __name__ == "__main__":
    unittest.main()
