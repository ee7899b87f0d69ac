"""Servers whose answers never end, for a crowd of callers at once.

A daemon of its own process has little memory. Each test checks that it lives, stays
within it, serves the callers of a healthy service meanwhile, and gives memory back.
"""

import collections
import unittest

import attrs
import gevent
from gevent.server import StreamServer

from standins.fleet_site import FleetSite, manifest

from .crowds import ProcessMeter

MEMORY_MB, GIVEN_BACK_MB = 128, 110
N_CALLERS, LASTS_S = 150, 8.0
N_HEALTHY_CALLERS, HEALTHY_GAP_S = 4, 0.05
MIN_HEALTHY_CALLS = 100
LARGE_BYTES = 4_000_000

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"


@attrs.define(eq=False)
class FaultyServer:
    """Answers each request with the same bytes, as long as somebody reads them.

    Parameters
    ----------
    start, piece : bytes
    pause_s : float
        Between two pieces.
    n_pieces : float
        After these it sends nothing, and keeps the connection open.
    """

    start: bytes
    piece: bytes
    pause_s: float = 0.0
    n_pieces: float = float("inf")
    _server: StreamServer = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Listen on loopback."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        """Close the listener and every connection."""
        self._server.stop(timeout=0)

    def _serve(self, connection, _):
        try:
            while connection.recv(65_536):
                connection.sendall(self.start)
                n_sent = 0
                while n_sent < self.n_pieces:
                    connection.sendall(self.piece)
                    n_sent += 1
                    gevent.sleep(self.pause_s)
        except OSError:
            # The daemon has closed the connection.
            return


class EndlessAnswerCrowdTest(unittest.TestCase):
    """Guards against servers at fault that take the memory of all callers."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        config = manifest(1, faulty="faulty")
        config["clusters"].append({"name": "faulty", "maxConns": 2000})
        for rule in config["listeners"][0]["rules"]:
            rule["action"]["timeout"] = "20s"
        self.site.control_store(write=["config", "main", config, None])
        options = ("--answer-bytes", str(LARGE_BYTES), "--slots", "8")
        for n in range(2):
            self.site.start_server(f"desk{n}", "desk", "a", *options)
        self.site.start_server("parts0", "parts", "a")

    def play(self, start, piece, **options):
        """Have a crowd call servers at fault, and others a healthy service."""
        servers = [FaultyServer(start, piece, **options) for _ in range(2)]
        for n, server in enumerate(servers):
            self.addCleanup(server.stop)
            info = {"service": "faulty", "version": "v1", "zone": "a", "slots": 500}
            entry = {"addr": server.address, "born": 1000, "info": info}
            status = {"state": "ready", "seq": 1, "warmupLeft": "0ms"}
            self.site.control_store(write=["servers", f"faulty{n}", entry, status])
        limits = f"limits = {{memoryMb = {MEMORY_MB}, maxFds = 2000}}"
        self.site.start_daemon("d1", "a", limits)
        self.site.wait_ready("d1")
        self.daemon = self.site.processes["d1"]
        addresses = list(self.site.daemons["d1"].values())
        faulty = [server.address for server in servers]
        self.meter = ProcessMeter(self.daemon.pid, addresses, faulty)
        self.meter.start()
        self.counts = collections.Counter()
        callers = [gevent.spawn(self.call, "/faulty/", 0.1) for _ in range(N_CALLERS)]
        callers += [
            gevent.spawn(self.call, "/view/1", HEALTHY_GAP_S)
            for _ in range(N_HEALTHY_CALLERS)
        ]
        callers.append(gevent.spawn(self.call, "/view/large", 0.5))
        gevent.sleep(LASTS_S)
        gevent.killall(callers)

    def call(self, path, gap_s):
        """Send requests, and count their statuses; 0 without an answer."""
        number = 0
        while True:
            number += 1
            request_id = f"{path}{id(gevent.getcurrent())}-{number}".replace("/", "-")
            answer = self.site.call("d1", path, request_id, caller_timeout_ms=4000)
            is_whole = answer is not None and (
                not path.endswith("large") or len(answer.body) == LARGE_BYTES
            )
            self.counts[path, answer.status if is_whole else 0] += 1
            gevent.sleep(gap_s)

    def check(self):
        """Check the process, its peak, and what callers of other servers got."""
        self.assertIsNone(self.daemon.poll(), "the process has ended")
        gevent.sleep(2.0)
        self.meter.stop()
        self.assertLess(self.meter.peak_bytes / 1e6, MEMORY_MB, self.counts)
        self.assertLess(self.meter.resident_bytes() / 1e6, GIVEN_BACK_MB)
        for path, least in (("/view/1", MIN_HEALTHY_CALLS), ("/view/large", 4)):
            statuses = {
                status: n for (to, status), n in self.counts.items() if to == path
            }
            n_calls = sum(statuses.values())
            self.assertGreaterEqual(statuses.get(200, 0), 0.95 * n_calls, self.counts)
            self.assertGreaterEqual(n_calls, least, self.counts)

    def test_chunks_as_fast_as_they_go(self):
        self.play(CHUNKED, CHUNK)
        self.check()

    def test_bodies_that_nothing_ends(self):
        self.play(HEAD + b"\r\n", b"x" * 65_536)
        self.check()

    def test_bodies_that_come_slowly(self):
        self.play(HEAD + b"\r\n", b"x" * 65_536, pause_s=0.1)
        self.check()

    def test_bodies_that_stop_before_their_end(self):
        """Guards against answers that are below every limit, and held for long."""
        head = HEAD + b"Content-Length: 7900000\r\n\r\n"
        self.play(head, b"x" * 50_000, n_pieces=120)
        self.check()

    def test_heads_with_fields_without_end(self):
        """Guards against fields that take the processor time of other callers."""
        self.play(HEAD, b"a:\r\n" * 4000)
        self.check()

    def test_interim_responses_without_end(self):
        self.play(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500)
        self.check()


if __name__ == "__main__":
    unittest.main()
