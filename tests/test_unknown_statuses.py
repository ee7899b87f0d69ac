"""Answers of servers whose status HTTP does not know."""

import itertools
import unittest

from standins.fleet_site import FleetSite, manifest
from tarragonramp.adapters.http import HttpPool
from tarragonramp.errors import UnansweredError

from .wire import ScriptedServer

STATUSES = ("000", "001", "099", "600", "999")
N_CALLS = 20


class ExchangeTest(unittest.TestCase):
    """One exchange with a server."""

    def test_unknown_statuses_are_no_answers(self):
        """Guards against a status that is passed on, or waited behind."""
        for method in ("GET", "HEAD", "POST"):
            for status in STATUSES:
                with self.subTest(method=method, status=status):
                    head = f"HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n"
                    server = ScriptedServer([head.encode()])
                    self.addCleanup(server.stop)
                    pool = HttpPool(server.address)
                    result = pool.exchange(method, "/", [], b"", 5000)
                    self.assertIsInstance(result.failure(), UnansweredError)
                    self.assertIn("status", str(result.failure()))
                    self.assertFalse(pool.has_open_idle())

    def test_an_unknown_status_behind_an_interim_answer(self):
        head = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Status\r\n\r\n"
        server = ScriptedServer([head])
        self.addCleanup(server.stop)
        result = HttpPool(server.address).exchange("GET", "/", [], b"", 5000)
        self.assertIn("status", str(result.failure()))

    def test_known_statuses_are_passed_on(self):
        for status in (200, 299, 404, 418, 500, 599):
            with self.subTest(status):
                head = f"HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n"
                server = ScriptedServer([head.encode()])
                self.addCleanup(server.stop)
                result = HttpPool(server.address).exchange("GET", "/", [], b"", 5000)
                self.assertEqual(result.unwrap().status, status)


class CallerTest(unittest.TestCase):
    """What callers get while one of two servers answers so, with real processes."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        for name in ("desk0", "desk1"):
            self.site.start_server(name, "desk", "a")
        self.site.start_server("parts0", "parts", "a")
        self.site.start_daemon("d1", "a")
        self.site.wait_ready("d1")
        self.numbers = itertools.count()

    def statuses(self, path, method):
        """Return the statuses of some calls; 0 for one without an answer."""
        answers = [
            self.site.call("d1", path, f"{method}-{next(self.numbers)}", method=method)
            for _ in range(N_CALLS)
        ]
        return {answer.status if answer is not None else 0 for answer in answers}

    def test_callers_get_no_unknown_status(self):
        """Guards against a server in trouble whose status reaches a caller."""
        for status in STATUSES:
            with self.subTest(status):
                faults = {"odd_status": 1000, "status": status}
                self.site.inject_server_faults("desk0", **faults)
                self.assertEqual(self.statuses("/view/1", "GET"), {200})
                self.assertLessEqual(self.statuses("/book/1", "POST"), {200, 502})
        runs = self.site.runs()
        doubled = [
            name for name, n in runs.items() if name.startswith("POST") and n > 1
        ]
        self.assertEqual(len(doubled), 0)
