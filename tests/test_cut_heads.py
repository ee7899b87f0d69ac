"""Answers that stop in their heads; all answers are read by the same client."""

import socket as plain_socket
import struct
import unittest

from gevent.server import StreamServer
from returns.pipeline import is_successful

from tarragonramp.adapters.http import HttpPool
from tarragonramp.errors import UnansweredError

FIELDS = b"Request-Id: r1\r\nUpstream-Stamp: s\r\nContent-Type: text/plain\r\n"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 12\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + FIELDS + b"\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + FIELDS + b"\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nContent-Length: 0\n" + b"Request-Id: r1\n" * 3,
}
WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nok"
OPTIONS = {
    "requests": {
        "echoed_headers": ("request-id",),
        "requires_echo": True,
        "takes_unframed": True,
    },
    "grants, store, daemons": {},
}


class CutHeadTest(unittest.TestCase):
    """Heads cut at each byte, the connection closed or reset."""

    def setUp(self):
        self.part, self.resets, self.is_kept = b"", False, False
        self.server = StreamServer(("127.0.0.1", 0), self.answer)
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def answer(self, connection, _):
        """Send a whole answer if the connection is to be kept, then a part of one."""
        if self.is_kept:
            self.read_request(connection)
            connection.sendall(WHOLE)
        self.read_request(connection)
        connection.sendall(self.part)
        if self.resets:
            option = plain_socket.SO_LINGER, struct.pack("ii", 1, 0)
            connection.setsockopt(plain_socket.SOL_SOCKET, *option)
        connection.close()

    def read_request(self, connection):
        """Read the head of a request."""
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            received = connection.recv(4096)
            if not received:
                return
            data += received

    def exchange(self, pool, request_id):
        """Send a request; return the result."""
        return pool.exchange("GET", "/", [("Request-Id", request_id)], b"", 2000.0)

    def test_an_answer_that_stops_in_its_head_is_no_answer(self):
        """Guards against a 200 with an empty or short body that looks whole."""
        for kind, options in OPTIONS.items():
            for name, head in HEADS.items():
                for end in range(len(head)):
                    self.part, self.resets = head[:end], end % 2 == 1
                    self.is_kept = end % 3 == 0
                    pool = HttpPool(self.address, **options)
                    if self.is_kept:
                        self.assertTrue(is_successful(self.exchange(pool, "r0")))
                    result = self.exchange(pool, "r1")
                    case = kind, name, self.part
                    self.assertFalse(is_successful(result), case)
                    self.assertIsInstance(result.failure(), UnansweredError, case)
                    pool.close()
