"""Crowds of clients that send too much, too slowly, or never to the end.

A daemon of its own process has little memory and few descriptors. Each test checks that
it lives, stays within both, and answers an ordinary request afterwards.
"""

import resource
import unittest

import gevent

from standins.fleet_site import HOST, FleetSite, manifest
from tarragonramp.adapters.http import HttpPool

from .crowds import Crowd, ProcessMeter, keep_sending, send_in_pieces

MEMORY_MB, MAX_DESCRIPTORS = 128, 400
BODY_BYTES, ANSWER_BYTES = 1_000_000, 400_000
HOLD_S = 3.0
COME_S = 10.0
ANSWER_S, CALL_MS = 30.0, 5000

HEAD = f"Host: {HOST}\r\nRequest-Id: crowd\r\nDeadline-Ms: 20000\r\n"
POST = f"POST /book/1 HTTP/1.1\r\n{HEAD}".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 10_000


def length(n_bytes):
    """Return the end of the head of a request with a body of so many bytes."""
    return b"Content-Length: %d\r\n\r\n" % n_bytes


def chunk(data):
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def post_to(path):
    """Return the start of the head of a POST request."""
    return POST.replace(b"/book/1", path)


class ClientCrowdTestCase(unittest.TestCase):
    """A daemon with three servers of a shared service."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        config = manifest(1)
        config["limits"].update(maxBodyBytes=BODY_BYTES, headerTimeout="1s")
        for rule in config["listeners"][0]["rules"]:
            rule["action"]["timeout"] = "20s"
        self.site.control_store(write=["config", "main", config, None])
        options = ("--answer-bytes", str(ANSWER_BYTES), "--slots", "8")
        for n in range(3):
            self.site.start_server(f"desk{n}", "desk", "a", *options)
        self.site.start_server("parts0", "parts", "a")
        limits = f"limits = {{memoryMb = {MEMORY_MB}, maxFds = {MAX_DESCRIPTORS}}}"
        self.site.start_daemon("d1", "a", limits)
        self.daemon = self.site.processes["d1"]
        bounds = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.daemon.pid, resource.RLIMIT_NOFILE, bounds)
        self.site.wait_ready("d1")
        self.addresses = self.site.daemons["d1"]
        self.meter = ProcessMeter(self.daemon.pid, list(self.addresses.values()))

    def play(self, size, play, listener="front", hold_s=HOLD_S, endless=False):
        """Have a crowd come, stay and leave."""
        crowd = Crowd(self.addresses[listener], size, play, endless)
        self.meter.start()
        crowd.start()
        try:
            self.site.wait(crowd.has_come, "the crowd has come", COME_S)
            gevent.sleep(hold_s)
        except TimeoutError:
            # A daemon that hangs takes nothing more; what it did counts below.
            pass
        finally:
            crowd.stop()

    def check(self):
        """Check the process, its peaks, and one ordinary request."""
        self.assertIsNone(self.daemon.poll(), "the process has ended")
        self.meter.stop()
        self.check_answered()
        peaks = f"unread {self.meter.peak_unread_bytes}, {self.meter.kernel_peaks()}"
        self.assertLess(self.meter.peak_bytes / 1e6, MEMORY_MB, peaks)
        self.assertLess(self.meter.peak_descriptors, MAX_DESCRIPTORS)

    def check_answered(self):
        """Check that an ordinary request is answered."""

        def answered():
            response = self.site.call(
                "d1", "/view/1", "ordinary", caller_timeout_ms=CALL_MS
            )
            return response is not None and response.status == 200

        self.site.wait(answered, "an ordinary request is answered", ANSWER_S)


class UnfinishedBodyTest(ClientCrowdTestCase):
    """Bodies of legal size that stop just short of their end."""

    def test_bodies_in_one_piece(self):
        """Guards against memory that is full of bodies without their last byte."""
        data = POST + length(BODY_BYTES) + bytes(BODY_BYTES - 1)
        self.play(200, lambda client: client.sendall(data))
        self.check()

    def test_bodies_in_small_pieces(self):
        """Guards against the same, if the bodies come in small pieces."""
        data = POST + length(BODY_BYTES) + bytes(BODY_BYTES - 1)
        self.play(200, lambda client: send_in_pieces(client, data, PIECE))
        self.check()

    def test_bodies_in_chunks(self):
        """Guards against the same, if the bodies come in chunks."""
        data = POST + CHUNKED + chunk(bytes(PIECE)) * (BODY_BYTES // PIECE)
        self.play(200, lambda client: client.sendall(data))
        self.check()

    def test_bodies_in_two_waves(self):
        """Guards against memory that is not given back, and is taken once more."""
        data = POST + length(BODY_BYTES) + bytes(BODY_BYTES - 1)
        for _ in range(2):
            self.play(200, lambda client: client.sendall(data))
            self.check()

    def test_a_body_of_the_longest_size_is_served(self):
        """Guards against limits that refuse a single request in calm."""
        self.meter.start()
        pool = HttpPool(self.addresses["front"])
        for number in range(3):
            headers = [("Host", HOST), ("Request-Id", f"body-{number}")]
            result = pool.exchange(
                "POST", "/book/1", headers, bytes(BODY_BYTES), CALL_MS
            )
            self.assertEqual(result.unwrap().status, 200)
        self.check()


class CostlyFramingTest(ClientCrowdTestCase):
    """Bodies whose framing costs more processor time than their bytes."""

    def test_chunks_of_one_byte(self):
        """Guards against a process that does nothing but read tiny chunks."""
        data = POST + CHUNKED + chunk(b"x") * (BODY_BYTES - 1)
        self.play(40, lambda client: client.sendall(data))
        self.check()

    def test_trailers_without_end(self):
        """Guards against a process that reads trailer fields without end."""
        start, fields = POST + CHUNKED + chunk(b"x") + b"0\r\n", b"A: b\r\n" * 10_000

        def play(client):
            client.sendall(start)
            keep_sending(client, fields)

        self.play(40, play, endless=True)
        self.check()

    def test_chunk_extensions_without_end(self):
        """Guards against a process that reads chunk extensions without end."""
        start, extension = POST + CHUNKED, b"1;" + b"a" * 8000 + b"\r\nx\r\n"

        def play(client):
            client.sendall(start)
            keep_sending(client, extension * 8)

        self.play(40, play, endless=True)
        self.check()


class OversizedBodyTest(ClientCrowdTestCase):
    """Bodies far over the limit."""

    def test_announced_lengths(self):
        """Guards against memory that is set aside for a length that is announced."""
        start = POST + length(900_000_000)

        def play(client):
            client.sendall(start)
            keep_sending(client, bytes(100_000))

        self.play(100, play, endless=True)
        self.check()

    def test_chunked_bodies_without_end(self):
        """Guards against a chunked body that is read beyond the limit."""

        def play(client):
            client.sendall(POST + CHUNKED)
            keep_sending(client, chunk(bytes(100_000)))

        self.play(100, play, endless=True)
        self.check()


class SentAheadTest(ClientCrowdTestCase):
    """Many requests on one connection whose answers are not read."""

    def test_many_query_fields(self):
        """Guards against memory that is full of long targets that were read ahead."""
        query = "&".join(["a"] * 1900)
        data = f"GET /view/1?{query} HTTP/1.1\r\n{HEAD}\r\n".encode() * 200
        self.play(250, lambda client: client.sendall(data))
        self.check()

    def test_many_header_fields(self):
        """Guards against memory that is full of short fields that were read ahead."""
        fields = "".join(f"X{n}: a\r\n" for n in range(90))
        data = f"GET /view/1 HTTP/1.1\r\n{HEAD}{fields}\r\n".encode() * 200
        self.play(250, lambda client: client.sendall(data))
        self.check()

    def test_small_bodies(self):
        """Guards against requests with bodies that were sent ahead."""
        data = (POST + length(200_000) + bytes(200_000)) * 4
        self.play(200, lambda client: client.sendall(data))
        self.check()

    def test_requests_without_a_route(self):
        """Guards against refusals that keep all others from being served."""
        data = f"GET /none/1 HTTP/1.1\r\n{HEAD}\r\n".encode() * 20_000
        self.play(60, lambda client: client.sendall(data))
        self.check()

    def test_large_answers_that_are_not_read(self):
        """Guards against memory that is full of answers that nobody reads."""
        data = f"GET /view/large HTTP/1.1\r\n{HEAD}\r\n".encode() * 16
        self.play(150, lambda client: client.sendall(data), hold_s=10.0)
        self.check()


class SlowClientTest(ClientCrowdTestCase):
    """Connections that send nothing, or very little."""

    def test_connections_that_send_nothing(self):
        """Guards against descriptors that are all taken by idle connections."""
        self.play(600, lambda client: None)
        self.check()

    def test_ordinary_requests_beside_idle_connections(self):
        """Guards against callers, and a ready path, that get no connection."""
        crowd = Crowd(self.addresses["front"], 600, lambda client: None)
        self.meter.start()
        crowd.start()
        self.addCleanup(crowd.stop)
        gevent.sleep(HOLD_S)
        self.check_answered()
        self.site.wait(lambda: self.site.is_ready("d1"), "ready", ANSWER_S)
        self.check()

    def test_heads_byte_by_byte(self):
        """Guards against heads that never end and keep their connections."""
        head = f"GET /view/1 HTTP/1.1\r\n{HEAD}".encode()

        def play(client):
            for byte in head:
                client.sendall(bytes((byte,)))
                gevent.sleep(0.4)

        crowd = Crowd(self.addresses["front"], 100, play)
        self.meter.start()
        crowd.start()
        self.addCleanup(crowd.stop)
        # Each connection has to be cut once the time for its head is over.
        cut = lambda: crowd.n_cut + crowd.n_sent >= crowd.size
        self.site.wait(cut, "slow heads are cut", ANSWER_S)
        crowd.stop()
        self.check()


class OtherPathTest(ClientCrowdTestCase):
    """The same at a path without a route, and at the address that says ready."""

    def test_bodies_without_a_route(self):
        """Guards against bodies that are kept although no server takes them."""
        data = post_to(b"/none/1") + length(BODY_BYTES) + bytes(BODY_BYTES - 1)
        self.play(200, lambda client: client.sendall(data))
        self.check()

    def test_chunks_of_one_byte_without_a_route(self):
        """Guards against tiny chunks of a body that is thrown away."""
        data = post_to(b"/none/1") + CHUNKED + chunk(b"x") * (BODY_BYTES - 1)
        self.play(40, lambda client: client.sendall(data))
        self.check()

    def test_chunks_of_one_byte_at_the_ready_address(self):
        """Guards against a readiness check that does not answer any more."""
        data = post_to(b"/-/ready") + CHUNKED + chunk(b"x") * (BODY_BYTES - 1)
        self.play(40, lambda client: client.sendall(data), "ready")
        self.check()
        self.site.wait(lambda: self.site.is_ready("d1"), "ready", ANSWER_S)

    def test_connections_that_send_nothing_at_the_ready_address(self):
        """Guards against a readiness check that gets no connection."""
        self.play(600, lambda client: None, "ready")
        self.check()
        self.site.wait(lambda: self.site.is_ready("d1"), "ready", ANSWER_S)
