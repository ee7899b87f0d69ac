"""Requests that a caller sends behind each other on one connection."""

import socket
import time
import unittest

import gevent

from standins.site import free_address
from tarragonramp import Clock
from tarragonramp.adapters.pipelining import PipeliningServer
from tarragonramp.adapters.web import caller_is_gone


def get(path):
    """Return a request's bytes."""
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


class PipeliningTest(unittest.TestCase):
    """A server whose application waits as long as a path says, in ms."""

    def setUp(self):
        self.served, self.left = [], []
        self.address = free_address()
        self.server = PipeliningServer(self.address, self.application, Clock())
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def application(self, environ, start_response):
        """Wait and answer with the path."""
        path = environ["PATH_INFO"]
        self.served.append(path)
        until_s = time.monotonic() + float(path.split("/")[1]) / 1000.0
        while time.monotonic() < until_s:
            if caller_is_gone(environ):
                self.left.append(path)
                break
            gevent.sleep(0.01)
        start_response("200 OK", [("Content-Length", str(len(path)))])
        return [path.encode()]

    def connect(self):
        """Return a connection to the server."""
        host, port = self.address.split(":")
        connection = socket.create_connection((host, int(port)), timeout=3.0)
        self.addCleanup(connection.close)
        return connection

    def read(self, connection, timeout_s=3.0):
        """Return all that comes until the end or a silence."""
        connection.settimeout(timeout_s)
        data = b""
        try:
            while piece := connection.recv(65_536):
                data += piece
        except TimeoutError:
            pass
        return data

    def test_a_quick_request_is_not_held_up_and_answers_keep_their_order(self):
        connection = self.connect()
        began_s = time.monotonic()
        connection.sendall(b"".join(get(f"/{ms}/x") for ms in (300, 5, 300, 5)))
        data = b""
        while data.count(b"HTTP/1.1 200") < 4 or not data.endswith(b"/5/x"):
            data += connection.recv(65_536)
        took_s = time.monotonic() - began_s
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 ")]
        self.assertEqual(bodies[1:], [b"/300/x", b"/5/x", b"/300/x", b"/5/x"])
        self.assertLess(took_s, 0.55)

    def test_a_request_with_a_body_waits_for_those_before_it(self):
        connection = self.connect()
        post = b"POST /1/p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        connection.sendall(get("/200/a") + post + get("/1/b"))
        gevent.sleep(0.1)
        self.assertEqual(self.served, ["/200/a"])
        data = self.read(connection, 0.5)
        self.assertLess(data.index(b"/200/a"), data.index(b"/1/p"))
        self.assertLess(data.index(b"/1/p"), data.index(b"/1/b"))

    def test_a_caller_that_always_sends_sees_the_end_of_a_stopping_server(self):
        """A daemon is told to stop, and one caller never waits for its answers.

        No answer was ever the last one, so none closed the connection, and the end of
        the grace cut a request off.
        """
        connection = self.connect()
        connection.sendall(get("/200/a"))
        gevent.sleep(0.05)
        self.server.leave()
        connection.sendall(get("/1/b"))
        gevent.sleep(0.05)
        connection.sendall(get("/1/c"))
        data = self.read(connection)
        self.assertEqual(self.served, ["/200/a"])
        self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
        self.assertIn(b"Connection: close", data)

    def test_no_answer_closes_the_connection_before_those_behind_it(self):
        connection = self.connect()
        connection.sendall(get("/200/a") + get("/250/b"))
        gevent.sleep(0.05)
        self.server.leave()
        data = self.read(connection)
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(data.count(b"Connection: close"), 1)
        self.assertLess(data.index(b"/200/a"), data.index(b"Connection: close"))

    def test_a_caller_that_leaves_behind_a_further_request_is_noticed(self):
        """Bytes of the next request stood before the stream's end, and hid it."""
        connection = self.connect()
        post = b"POST /900/p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        connection.sendall(post + get("/1/b"))
        gevent.sleep(0.1)
        connection.close()
        gevent.sleep(0.2)
        self.assertEqual(self.left[:1], ["/900/p"])

    def test_a_drain_waits_for_all_answers(self):
        connection = self.connect()
        connection.sendall(get("/300/a") + get("/300/b"))
        gevent.sleep(0.05)
        drained = self.server.drain(50.0, 2000.0)
        self.assertEqual(drained.cut, 0)
        self.assertEqual(self.read(connection).count(b"HTTP/1.1 200"), 2)
