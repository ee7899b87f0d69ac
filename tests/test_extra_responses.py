"""Extra responses of a faulty server, on connections that carry many requests."""

import random
import unittest

import gevent
from returns.pipeline import is_successful

from tarragonramp.adapters.http import HttpPool
from tarragonramp.adapters.parser import MAX_EXTRA_RESPONSES
from tarragonramp.errors import UnansweredError

from .wire import EchoServer, LateCopyServer, response_bytes

TIMEOUT_MS = 300
N_MIXTURES = 150


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

    def test_connection_is_not_used_up_to_the_idle_timeout_that_a_server_states(self):
        """Guards against requests that are lost as the server closes the connection."""
        headers = "Keep-Alive: max=100, timeout=1\r\n"
        server, pool = self.start(lambda own, _: response_bytes(own, headers=headers))
        for pause_s, n_connections in ((0.0, 1), (0.1, 1), (0.8, 2)):
            gevent.sleep(pause_s)
            self.send(pool, f"r{pause_s}").unwrap()
            self.assertEqual(server.n_connections, n_connections)

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

    def test_extra_response_right_behind_the_answer_costs_no_answer(self):
        """Guards against an order without an answer where the copy is not late."""
        for extra in (lambda own: response_bytes(own, 503), lambda own: b"garbage"):
            server, pool = self.start(
                lambda own, earlier, extra=extra: response_bytes(own) + extra(own)
            )
            for request_id in ("a", "b"):
                body = self.send(pool, request_id).unwrap().body
                self.assertEqual(body, request_id.encode())
            self.assertEqual(server.n_connections, 2)

    def test_copy_behind_a_response_without_id_may_be_dropped(self):
        """Guards against a grant that ends, with its connection, for each copy."""
        server, pool = self.start(
            lambda own, earlier: response_bytes(body=b"granted") * 2,
            drops_trailing=True,
        )
        for _ in range(2):
            self.assertEqual(self.send(pool).unwrap().body, b"granted")
        self.assertEqual(server.n_connections, 2)

    def test_copy_with_the_callers_id_only_is_no_answer_to_a_repeat(self):
        """Guards against servers that return no id of the exchange."""
        refusal = b"HTTP/1.1 503 S\r\nX-Request-Id: a\r\nContent-Length: 0\r\n\r\n"
        server = LateCopyServer([refusal, refusal.replace(b"503", b"200")])
        self.addCleanup(server.stop)
        pool = HttpPool(server.address)
        for exchange, status in (("1", 503), ("2", 200)):
            headers = [("X-Request-Id", "a"), ("Tarragon-Exchange", exchange)]
            result = pool.exchange("POST", "/", headers, b"", TIMEOUT_MS)
            self.assertEqual(result.unwrap().status, status)

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
            server.closes = True
            self.assertIsInstance(self.send(pool, "b").failure(), UnansweredError)
            self.assertEqual(pool._idle, [])

    def test_interim_response_before_a_close_is_no_answer(self):
        """Guards against a 103 that a caller gets as the answer to an order."""
        for interim in (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 E\r\n\r\n"):
            server, pool = self.start(
                lambda own, earlier, interim=interim: interim, takes_unframed=True
            )
            server.closes = True
            self.assertIsInstance(self.send(pool, "a").failure(), UnansweredError)

    def test_copy_with_a_body_before_a_head_response_ends_the_connection(self):
        """Guards against waiting in vain behind bytes that can't be parsed."""
        _, pool = self.start(
            lambda own, earlier: (
                b"".join(response_bytes(i, body=b"not a head") for i in earlier)
                + response_bytes(own, body=b"")
            )
        )
        self.send(pool, "a").unwrap()
        error = self.send(pool, "b", "HEAD").failure()
        self.assertNotIn("timed out", str(error))
        interim = b"HTTP/1.1 103 E\r\n\r\n"
        _, pool = self.start(lambda own, earlier: interim + b"no response")
        error = self.send(pool, "a", "HEAD").failure()
        self.assertNotIn("timed out", str(error))

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

    def test_any_mixture_of_extra_responses_gives_no_foreign_answer(self):
        """Guards against an answer that is taken for its place, of whatever framing."""
        n_answered = 0
        for seed in range(N_MIXTURES):
            mixture = Mixture(random.Random(seed))
            server, pool = self.start(
                mixture.respond, requires_echo=True, takes_unframed=True
            )
            for number in range(8):
                method = mixture.methods[f"r{number}"] = mixture.choose_method()
                result = self.send(pool, f"r{number}", method)
                if not is_successful(result):
                    continue
                n_answered += 1
                response = result.unwrap()
                self.assertEqual(response.header("Marker"), f"r{number}", seed)
                if response.status == 200 and method != "HEAD":
                    self.assertEqual(response.body, f"body of r{number}".encode(), seed)
            pool.close()
            server.stop()
        self.assertGreater(n_answered, N_MIXTURES * 4)


class Mixture:
    """Random responses, with copies of earlier ones before and behind them."""

    def __init__(self, rng):
        self.rng = rng
        self.methods = {}
        self._sent = {}

    def choose_method(self):
        """Return the method of the next request."""
        return self.rng.choice(("GET", "POST", "POST", "HEAD"))

    def respond(self, own, earlier):
        """Return the bytes to send for a request."""
        self._sent[own] = self._own_response(own)
        before = [self._copy(i) for i in earlier[-3:] if self.rng.random() < 0.2]
        behind = [self._copy(own)] if self.rng.random() < 0.1 else []
        return b"".join([*before, self._sent[own], *behind])

    def _copy(self, request_id):
        copy = self._sent[request_id]
        if self.rng.random() < 0.5:
            return copy.replace(f"Request-Id: {request_id}\r\n".encode(), b"")
        return copy

    def _own_response(self, own):
        headers, body = f"Marker: {own}\r\n", f"body of {own}".encode()
        kind = self.rng.choice(("plain", "plain", "chunked", "interim", "204", "304"))
        if kind in ("204", "304"):
            id_line = f"Request-Id: {own}\r\n"
            return f"HTTP/1.1 {kind} S\r\n{id_line}{headers}\r\n".encode()
        whole = response_bytes(own, body=body, headers=headers)
        if kind == "interim":
            return b"HTTP/1.1 103 Early\r\nRequest-Id: other\r\n\r\n" + whole
        head, _, _ = whole.partition(b"Content-Length")
        if kind == "chunked":
            chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
            whole = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
        if self.methods[own] == "HEAD":
            return whole[: whole.index(b"\r\n\r\n") + 4]
        return whole


if __name__ == "__main__":
    unittest.main()
