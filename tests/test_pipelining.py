"""Pipelined requests of a caller on one connection."""

import socket
import time
import unittest

import gevent

from standins.site import free_address
from tarragonramp import Clock
from tarragonramp.adapters.pipelining import PipeliningServer
from tarragonramp.adapters.web import caller_disconnected


def get(path):
    """Return the bytes of a GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


class PipeliningTest(unittest.TestCase):
    """A server whose application waits for the milliseconds given in the path."""

    def setUp(self):
        self.served, self.abandoned = [], []
        self.address = free_address()
        self.server = PipeliningServer(self.address, self.application, Clock())
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def application(self, environ, start_response):
        """Wait as the path says, then respond with the path."""
        path = environ["PATH_INFO"]
        self.served.append(path)
        until_s = time.monotonic() + float(path.split("/")[1]) / 1000.0
        while time.monotonic() < until_s:
            if caller_disconnected(environ):
                self.abandoned.append(path)
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
        """Return the bytes received until the end of the stream or a timeout."""
        connection.settimeout(timeout_s)
        data = b""
        try:
            while piece := connection.recv(65_536):
                data += piece
        except TimeoutError:
            pass
        return data

    def test_a_quick_request_is_not_delayed_and_responses_keep_their_order(self):
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

    def test_a_caller_that_never_waits_sees_the_close_of_a_stopping_server(self):
        """A daemon stops while a caller always sends the next request early.

        No response is then the last one on the connection. If none announced the close,
        a request would be aborted at the end of the grace period.
        """
        connection = self.connect()
        connection.sendall(get("/200/a"))
        gevent.sleep(0.05)
        self.server.begin_shutdown()
        connection.sendall(get("/1/b"))
        gevent.sleep(0.05)
        connection.sendall(get("/1/c"))
        data = self.read(connection)
        self.assertEqual(self.served, ["/200/a"])
        self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
        self.assertIn(b"Connection: close", data)

    def test_request_with_a_body_behind_another_is_not_cut_by_a_stop(self):
        """Guards against a request that is served after the close was announced."""
        connection = self.connect()
        post = b"POST /100/p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        connection.sendall(get("/200/a") + post)
        gevent.sleep(0.05)
        self.server.begin_shutdown()
        data = self.read(connection)
        self.assertEqual(self.abandoned, [])
        self.assertEqual(data.count(b"HTTP/1.1 200"), len(self.served))
        self.assertEqual(data.count(b"Connection: close"), 1)
        self.assertGreater(data.index(b"Connection: close"), data.rindex(b"HTTP/1.1"))

    def test_request_read_while_the_close_is_announced_is_not_served(self):
        """Guards against a request that is served after the close was announced."""
        for method, rest in (("GET", b""), ("POST", b"Content-Length: 0\r\n")):
            with self.subTest(method):
                self.served.clear()
                self.server.shutting_down = False
                connection = self.connect()
                connection.sendall(
                    get("/200/a") + f"{method} /1/b HTTP/1.1\r\n".encode()
                )
                gevent.sleep(0.1)
                self.server.begin_shutdown()
                (handler,) = (h for h in self.server.connections if h.busy)
                gevent.sleep(0.12)
                self.assertTrue(handler.pipeline.closing)
                connection.sendall(b"Host: h\r\n" + rest + b"\r\n")
                data = self.read(connection, 0.5)
                self.assertEqual(self.served, ["/200/a"])
                self.assertEqual(data.count(b"HTTP/1.1 "), 1, data)

    def test_request_with_a_body_behind_another_is_served_by_a_stopping_server(self):
        """Guards against a response that announces the close before the last one."""
        connection = self.connect()
        post = b"POST /1/p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        connection.sendall(get("/200/a") + post)
        gevent.sleep(0.05)
        self.server.begin_shutdown()
        self.read(connection)
        self.assertEqual(self.served, ["/200/a", "/1/p"])

    def test_stop_after_a_request_with_a_body_is_announced(self):
        """Guards against a connection whose close is never announced."""
        connection = self.connect()
        post = b"POST /1/p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        connection.sendall(get("/1/a") + post)
        self.read(connection, 0.3)
        self.server.begin_shutdown()
        connection.sendall(get("/1/b"))
        self.assertIn(b"Connection: close", self.read(connection, 0.5))

    def test_request_read_after_the_close_was_announced_is_discarded(self):
        """Guards against a request that runs and whose response is not awaited."""
        body = b"x" * 200_000
        length = f"Content-Length: {len(body)}\r\n".encode()
        for line, rest in (
            (b"GET /1/a HTTP/1.1\r\n", b"\r\n"),
            (b"POST /1/p HTTP/1.1\r\n", length + b"\r\n" + body),
        ):
            with self.subTest(line):
                connection = self.connect()
                connection.sendall(line)
                gevent.sleep(0.05)
                (handler,) = (h for h in self.server.connections if h.busy)
                handler.pipeline.closing = True
                connection.sendall(b"Host: h\r\n" + rest)
                connection.settimeout(2.0)
                self.assertEqual(connection.recv(65_536), b"")
                self.assertEqual(self.served, [])

    def test_only_the_last_response_closes_the_connection(self):
        connection = self.connect()
        connection.sendall(get("/200/a") + get("/250/b"))
        gevent.sleep(0.05)
        self.server.begin_shutdown()
        data = self.read(connection)
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(data.count(b"Connection: close"), 1)
        self.assertLess(data.index(b"/200/a"), data.index(b"Connection: close"))

    def test_a_disconnect_behind_another_request_is_detected(self):
        """Unread bytes of the next request hide the end of the stream."""
        connection = self.connect()
        post = b"POST /900/p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        connection.sendall(post + get("/1/b"))
        gevent.sleep(0.1)
        connection.close()
        gevent.sleep(0.2)
        self.assertEqual(self.abandoned[:1], ["/900/p"])

    def test_a_drain_waits_for_all_responses(self):
        connection = self.connect()
        connection.sendall(get("/300/a") + get("/300/b"))
        gevent.sleep(0.05)
        drained = self.server.drain(50.0, 2000.0)
        self.assertEqual(drained.n_aborted, 0)
        self.assertEqual(self.read(connection).count(b"HTTP/1.1 200"), 2)
