"""Bodies of requests: framing, limits, and the turns of other work."""

import io
import time
import unittest

import gevent

from tarragonramp.adapters.bodies import BodyReader
from tarragonramp.errors import MalformedBodyError
from tarragonramp.sizes import Limits

LIMITS = Limits(header_block_bytes=1000, header_count=10)


def reader(data, content_length=None):
    """Return the reader of a body, chunked if it has no length, and its stream."""
    rfile = io.BufferedReader(io.BytesIO(data))
    ignore = lambda n_bytes: None
    is_chunked = content_length is None
    body = BodyReader(rfile, content_length, is_chunked, LIMITS, ignore, ignore)
    return body, rfile


def chunk(data):
    """Return a chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class BodyReaderTest(unittest.TestCase):
    """Bodies are read whole, and never past their end."""

    def test_bodies_end_where_their_framing_says(self):
        """Guards against the start of the next request being taken for the body."""
        large = bytes(range(256)) * 1000
        for name, data, length, wanted in (
            ("length", b"hi", 2, b"hi"),
            ("large", large, len(large), large),
            ("chunks", chunk(b"a") + chunk(large) + b"0\r\n\r\n", None, b"a" + large),
            ("extension", b"2;x=y\r\nhi\r\n0;z\r\n\r\n", None, b"hi"),
            ("trailers", chunk(b"hi") + b"0\r\nA: b\r\nC: d\r\n\r\n", None, b"hi"),
        ):
            with self.subTest(name):
                body, rfile = reader(data + b"GET", length)
                self.assertEqual(body.read(), wanted)
                self.assertTrue(body.is_exhausted)
                self.assertEqual(rfile.read(), b"GET")

    def test_parts_are_read_in_turn(self):
        body, _ = reader(chunk(b"abc") + chunk(b"de") + b"0\r\n\r\n")
        self.assertEqual(
            [body.read(2), body.read(2), body.read(9)], [b"ab", b"cd", b"e"]
        )

    def test_malformed_bodies(self):
        """Guards against a body whose end another program would see elsewhere."""
        for name, data, length in (
            ("short", b"hi", 3),
            ("short chunk", b"3\r\nhi", None),
            ("no last chunk", chunk(b"hi"), None),
            ("no size", b"\r\n", None),
            ("sign", b"+1\r\na\r\n0\r\n\r\n", None),
            ("space", b" 1\r\na\r\n0\r\n\r\n", None),
            ("line feed", b"1\na\r\n0\r\n\r\n", None),
            ("CR in extension", b"1;\rx\r\na\r\n0\r\n\r\n", None),
            ("no trailer name", b"0\r\n: a\r\n\r\n", None),
        ):
            with self.subTest(name):
                body, _ = reader(data, length)
                with self.assertRaises(MalformedBodyError):
                    body.read()
                self.assertFalse(body.is_exhausted)

    def test_framing_has_limits(self):
        """Guards against extensions and trailers without end."""
        extension = b"1;" + b"x" * 300 + b"\r\na\r\n"
        for name, data in (
            ("extensions", extension * 4 + b"0\r\n\r\n"),
            ("trailers", b"0\r\n" + b"A: b\r\n" * 11 + b"\r\n"),
            ("trailer bytes", b"0\r\n" + b"A: %s\r\n" % (b"b" * 400) * 3 + b"\r\n"),
        ):
            with self.subTest(name):
                body, _ = reader(data)
                with self.assertRaises(MalformedBodyError):
                    body.read()

    def test_other_work_runs_beside_tiny_chunks(self):
        """Guards against bodies in tiny chunks that keep all others waiting."""
        turns = []

        def take_turns():
            while True:
                gevent.sleep(0.0001)
                turns.append(time.monotonic())

        other = gevent.spawn(take_turns)
        body, _ = reader(chunk(b"x") * 10_000 + b"0\r\n\r\n")
        self.assertEqual(len(body.read()), 10_000)
        other.kill()
        self.assertGreaterEqual(len(turns), 20)

    def test_a_crowd_with_tiny_chunks_gets_one_turn_at_a_time(self):
        """Guards against a crowd that gets a turn for each of its connections."""
        turns = []

        def take_turns():
            while True:
                gevent.sleep(0.0001)
                turns.append(time.monotonic())

        data = chunk(b"x") * 2560 + b"0\r\n\r\n"
        crowd = [gevent.spawn(reader(data)[0].read) for _ in range(10)]
        other = gevent.spawn(take_turns)
        gevent.joinall(crowd)
        other.kill()
        # After its first turn, each reader pauses ten times, one after the other.
        self.assertGreaterEqual(len(turns), 90)
