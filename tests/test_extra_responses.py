"""Extra responses of a faulty server, on connections that carry many requests."""

import unittest

from returns.pipeline import is_successful

from tarragonramp.adapters.http import MAX_EXTRA_RESPONSES, HttpPool
from tarragonramp.errors import UnansweredError

from .wire import EchoServer, response_bytes

TIMEOUT_MS = 300


class ExtraResponsesTest(unittest.TestCase):
    """Each request must get its own response, or none."""

    def start(self, respond, **options):
        """Return a server that responds as told, and a pool of connections to it."""
        server = EchoServer(respond)
        self.addCleanup(server.stop)
        pool = HttpPool(server.address, echoed_headers=("request-id",), **options)
        return server, pool

    def send(self, pool, request_id="", method="POST", **options):
        """Send a request; return the result."""
        headers = [("Request-Id", request_id)] if request_id else []
        return pool.exchange(method, "/", headers, b"", TIMEOUT_MS, **options)

    def check_all_answered(self, respond, n_requests=6, **options):
        """Check that requests on one connection get their own responses."""
        server, pool = self.start(respond, **options)
        for number in range(n_requests):
            response = self.send(pool, f"r{number}").unwrap()
            self.assertEqual(response.status, 200)
            self.assertEqual(response.body, f"r{number}".encode())
        self.assertEqual(server.n_connections, 1)

    def test_late_copy_is_put_aside(self):
        """Guards against an order without an answer for each copy that is noticed."""
        self.check_all_answered(
            lambda own, earlier: (
                b"".join(response_bytes(i, 503, b"busy") for i in earlier[-1:])
                + response_bytes(own)
            )
        )

    def test_copies_that_come_twice_or_later_are_put_aside(self):
        """Guards against an order without an answer where copies are delayed."""
        self.check_all_answered(
            lambda own, earlier: (
                b"".join(response_bytes(i, 503, b"x" * 70_000) for i in earlier[-3:-1])
                + response_bytes(own)
            )
        )

    def test_response_of_a_request_sent_elsewhere_ends_the_connection(self):
        """Guards against the answer that belongs to another connection's request."""
        server, pool = self.start(lambda own, earlier: response_bytes("other"))
        self.assertIsInstance(self.send(pool, "a").failure(), UnansweredError)
        self.assertTrue(server.client_closed.wait(1.0))

    def test_endless_extra_responses_end_the_connection(self):
        """Guards against an exchange that reads extra responses for ever."""
        for n_extra, answered in (
            (MAX_EXTRA_RESPONSES, True),
            (MAX_EXTRA_RESPONSES + 1, False),
        ):
            _, pool = self.start(
                lambda own, earlier, n=n_extra: (
                    response_bytes("a") * n * bool(earlier) + response_bytes(own)
                )
            )
            self.send(pool, "a").unwrap()
            self.assertEqual(is_successful(self.send(pool, "b")), answered)

    def test_extra_responses_are_limited_in_bytes(self):
        """Guards against a server that has a daemon read without end."""
        _, pool = self.start(
            lambda own, earlier: (
                response_bytes("a", body=b"x" * 60) * 2 * bool(earlier)
                + response_bytes(own)
            ),
            answer_bytes=100,
        )
        self.send(pool, "a").unwrap()
        self.assertIsInstance(self.send(pool, "b").failure(), UnansweredError)

    def test_extra_response_that_breaks_off_is_no_answer(self):
        """Guards against a copy that is taken for the answer as it ends."""
        unframed = b"HTTP/1.1 503 S\r\nRequest-Id: a\r\n\r\nbusy"
        for extra in (response_bytes("a", body=b"busy")[:-1], unframed):
            server, pool = self.start(
                lambda own, earlier, extra=extra: (
                    extra if earlier else response_bytes(own)
                ),
                takes_unframed=True,
            )
            self.send(pool, "a").unwrap()
            self.assertIsInstance(self.send(pool, "b").failure(), UnansweredError)
            self.assertEqual(pool._idle, [])

    def test_late_copy_without_id_is_put_aside(self):
        """Guards against a copy that is believed as it names no request."""
        self.check_all_answered(
            lambda own, earlier: (
                b"".join(response_bytes(status=503) for _ in earlier[-1:])
                + response_bytes(own)
            ),
            requires_echo=True,
        )

    def test_response_without_id_is_believed_only_on_an_unused_connection(self):
        """Guards against a copy, later on, from a server that returns no ids."""
        server, pool = self.start(
            lambda own, earlier: response_bytes(body=own.encode()), requires_echo=True
        )
        for request_id in ("a", "b", "c"):
            self.assertEqual(
                self.send(pool, request_id).unwrap().body, request_id.encode()
            )
        self.assertEqual(server.n_connections, 3)

    def test_request_without_id_gets_a_connection_of_its_own(self):
        """Guards against an earlier response's copy, where no id tells it."""
        server, pool = self.start(
            lambda own, earlier: (
                response_bytes(status=503) * bool(earlier) + response_bytes(own)
            ),
            requires_echo=True,
        )
        for request_id in ("a", "", "b", ""):
            self.assertEqual(self.send(pool, request_id).unwrap().status, 200)
        self.assertEqual(server.n_connections, 3)

    def test_late_copy_of_a_health_response_is_no_answer(self):
        """Guards against an order refused for what a health check was told."""
        _, pool = self.start(
            lambda own, earlier: (
                response_bytes(status=503) * bool(earlier)
                + response_bytes(own, 200 if own else 503)
            ),
            requires_echo=True,
        )
        health = self.send(pool, method="GET", new_connection=True)
        self.assertEqual(health.unwrap().status, 503)
        for request_id in ("a", "b"):
            self.assertEqual(self.send(pool, request_id).unwrap().status, 200)


if __name__ == "__main__":
    unittest.main()
