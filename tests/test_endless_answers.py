"""Servers that send bytes without end, in any part of an answer."""

import resource
import socket as plain_socket
import time
import unittest
from unittest import mock

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer
from geventhttpclient.response import HTTPParseError, HTTPResponse

from tarragonramp.adapters.http import HttpPool
from tarragonramp.adapters.parser import (
    MAX_FIELDS,
    MAX_INTERIM_RESPONSES,
    ResponseParser,
)
from tarragonramp.errors import AbandonedError
from tarragonramp.holdings import HoldingTable

from .wire import ScriptedServer

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 16_384
TIMEOUT_MS, SOON_MS = 2000.0, 1000.0
MAX_GROWTH_KB, MAX_BODY_BYTES = 32 << 10, 1 << 20


@attrs.define(eq=False)
class EndlessServer:
    """Sends the start of an answer, and then a piece again and again.

    Parameters
    ----------
    start, piece : bytes
    n_sent : int
        Bytes that were sent.
    """

    start: bytes
    piece: bytes
    n_sent: int = 0
    is_closed: bool = False
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
        connection.recv(65_536)
        try:
            connection.sendall(self.start)
            while True:
                connection.sendall(self.piece)
                self.n_sent += len(self.piece)
                gevent.sleep(0)
        except OSError:
            self.is_closed = True


class EndlessAnswerTest(unittest.TestCase):
    """Guards against a server that takes a daemon's memory, or its time."""

    def check(self, start, piece):
        """Exchange one request; it has to fail soon, with the connection closed."""
        server = EndlessServer(start, piece)
        self.addCleanup(server.stop)
        options = {"answer_bytes": MAX_BODY_BYTES, "takes_unframed": True}
        pool = HttpPool(server.address, **options)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        waits_ms = []
        ticker = gevent.spawn(self.measure_waits, waits_ms)
        began_s = time.monotonic()
        result = pool.exchange("GET", "/", [], b"", TIMEOUT_MS)
        took_ms = (time.monotonic() - began_s) * 1000.0
        gevent.sleep(0.05)
        ticker.kill()
        self.assertTrue(result.failure())
        self.assertLess(took_ms, SOON_MS)
        self.assertTrue(server.is_closed)
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess(after_kb - before_kb, MAX_GROWTH_KB)
        self.assertLess(max(waits_ms), 250.0)

    def measure_waits(self, waits_ms):
        """Record how long other work waits for its turn."""
        while True:
            began_s = time.monotonic()
            gevent.sleep(0.001)
            waits_ms.append((time.monotonic() - began_s) * 1000.0)

    def test_heads_without_end(self):
        for start, piece in (
            (b"", b"x" * PIECE),
            (b"HTTP/1.1 200 ", b"x" * PIECE),
            (HEAD + b"A: ", b"x" * PIECE),
            (HEAD, b"A: b\r\n" * 2000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
        ):
            with self.subTest(start=start, piece=piece[:12]):
                self.check(start, piece)

    def test_bodies_without_end(self):
        for start, piece in (
            (HEAD + b"\r\n", b"x" * PIECE),
            (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
            (HEAD + b"Content-Length: 2\r\n\r\nhi", b"x" * PIECE),
        ):
            with self.subTest(start=start, piece=piece[:12]):
                self.check(start, piece)

    def test_a_caller_that_leaves_is_not_the_servers_fault(self):
        """Guards against a sound server whose long answers are broken off first."""
        answer = HEAD + b"Content-Length: 9999999\r\n\r\n" + b"x" * 2_000_000
        server = ScriptedServer([answer])
        self.addCleanup(server.stop)
        holdings = HoldingTable()
        pool = HttpPool(server.address, answer_bytes=1 << 30, holdings=holdings)
        is_wanted = lambda: holdings.n_bytes < 1 << 20
        result = pool.exchange("GET", "/", [], b"", TIMEOUT_MS, is_wanted)
        self.assertIsInstance(result.failure(), AbandonedError)
        self.assertEqual(holdings.n_bytes, 0)
        after = holdings.open_answer("another server", mock.Mock())
        holdings.charge(after, 1000)
        mine = holdings.open_answer(server.address, mock.Mock())
        holdings.charge(mine, 10)
        holdings.charge(after, holdings.resources.shared_bytes)
        self.assertTrue(after.is_revoked)
        self.assertFalse(mine.is_revoked)

    def test_a_caller_that_leaves_ends_an_answer_without_pauses(self):
        """Guards against a caller whose leaving is seen only while nothing comes."""
        server = EndlessServer(
            HEAD + b"Content-Length: 9999999999\r\n\r\n", b"x" * PIECE
        )
        self.addCleanup(server.stop)
        pool = HttpPool(server.address, answer_bytes=1 << 40)
        is_wanted = lambda: server.n_sent < 1 << 20
        result = pool.exchange("GET", "/", [], b"", TIMEOUT_MS, is_wanted)
        self.assertIsInstance(result.failure(), AbandonedError)
        self.assertLess(server.n_sent, 8 << 20)

    def test_work_for_a_head_is_bounded(self):
        """Guards against fields and responses that cost far more than their bytes."""
        for part, n_parts, most in (
            (b"a:\r\n", 5000, MAX_FIELDS + 1),
            (b"HTTP/1.1 100 Continue\r\n\r\n", 500, MAX_INTERIM_RESPONSES + 1),
        ):
            parser = ResponseParser("GET", lambda parser: False)
            start = HEAD if part.startswith(b"a") else b""
            with (
                mock.patch.object(
                    HTTPResponse, "_on_header_field", autospec=True
                ) as on_field,
                mock.patch.object(
                    HTTPResponse, "_on_message_complete", autospec=True
                ) as on_end,
                self.assertRaises(HTTPParseError),
            ):
                parser.feed(start + part * n_parts)
            self.assertLessEqual(on_field.call_count + on_end.call_count, most)

    def test_chunk_sizes_without_end(self):
        self.check(CHUNKED, b"0" * PIECE)

    def test_chunk_extensions_without_end(self):
        self.check(CHUNKED + b"5;", b"a" * PIECE)

    def test_trailers_without_end(self):
        self.check(CHUNKED + b"0\r\n", b"A: b\r\n" * 2000)

    def test_other_work_runs_while_bytes_are_there(self):
        """Guards against an answer that holds the process while its bytes come in."""
        left, right = socket.socketpair()
        for end in (left, right):
            end.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_SNDBUF, 1 << 20)
            end.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, 1 << 20)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 131072\r\n\r\n"
        right.sendall(head + b"x" * 131_072)
        self.addCleanup(right.close)
        turns = []

        def take_turns():
            while True:
                gevent.sleep(0.0001)
                turns.append(time.monotonic())

        pool = HttpPool("127.0.0.1:1")
        other = gevent.spawn(take_turns)
        with mock.patch.object(HttpPool, "_open", lambda pool, deadline_s: left):
            result = pool.exchange("GET", "/", [], b"", TIMEOUT_MS)
        other.kill()
        self.assertEqual(len(result.unwrap().body), 131_072)
        self.assertGreaterEqual(len(turns), 1)

    def test_a_body_in_chunks_of_one_byte_is_no_endless_answer(self):
        body = b"1\r\nx\r\n" * 200_000
        server = EndlessServer(CHUNKED + body + b"0\r\n\r\n", b"")
        self.addCleanup(server.stop)
        result = HttpPool(server.address).exchange("GET", "/", [], b"", 5000.0)
        self.assertEqual(len(result.unwrap().body), 200_000)


if __name__ == "__main__":
    unittest.main()
