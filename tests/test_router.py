"""What callers get while servers and keys change, with exchanges that are scripted."""

import types
import unittest

from returns.result import Failure, Success

from tarragonramp import Clock
from tarragonramp.adapters.http import Answer
from tarragonramp.adapters.web import HEADERS_KEY, TARGET_KEY
from tarragonramp.balancing import Loads
from tarragonramp.cold import ColdShares
from tarragonramp.dialect import AnswerFacts, RequestFacts
from tarragonramp.directory import BackendServer
from tarragonramp.errors import NotSentError, UnansweredError
from tarragonramp.fleet import FleetBounds
from tarragonramp.fleet_view import FleetView
from tarragonramp.manifest import (
    N_KEYS,
    FleetService,
    Manifest,
    Part,
    Route,
    RouteTable,
)
from tarragonramp.meters import RequestMeter
from tarragonramp.ranges import KeyRange, RangeTable
from tarragonramp.roles.router import Router

OK = Success(Answer(200, (("Mark", "1"),), b"whole"))
SHED = Success(Answer(503, (("Shed", "1"),), b""))
WRONG = Success(Answer(421, (("Shed", "1"),), b""))
BROKEN = Success(Answer(500, (("Mark", "1"),), b"oops"))
FORGED = Success(Answer(200, (), b"whose?"))
SILENT = Failure(UnansweredError("connection closed"))
UNREACHED = Failure(NotSentError("timed out"))


class Dialect:
    """Facts as plain headers."""

    echoed_headers = ()

    def read_request(self, headers):
        """Return what a caller says."""
        found = dict(headers)
        key = found.get("key")
        return RequestFacts("r1", "h", 1000.0, int(key) if key else None)

    def server_headers(self, headers, server, left_ms):
        """Return nothing more."""
        return [("server", server)]

    def read_answer(self, answer):
        """Return what a server says."""
        return AnswerFacts(
            not_run=bool(answer.header("Shed")),
            misdirected=answer.status == 421,
            genuine=bool(answer.header("Mark")),
        )

    def refusal_headers(self, request_id, retry_after_s):
        """Return the time to come back."""
        return [] if retry_after_s is None else [("Retry-After", str(retry_after_s))]


class RouterTest(unittest.TestCase):
    """Three servers of a shared service, two of a divided one."""

    def setUp(self):
        clock = Clock()
        self.view = FleetView(clock)
        routes = (
            Route("h", "/safe/", (Part("desk"),), True, 1000.0, 500.0, attempts=2),
            Route("h", "/once/", (Part("desk"),), False, 1000.0, 500.0, attempts=2),
            Route("h", "/keyed/", (Part("parts"),), True, 1000.0, 500.0, attempts=2),
        )
        services = {
            "desk": FleetService("desk", cold_per_s=2.0),
            "parts": FleetService("parts", divided=True),
        }
        self.view.take_routes(RouteTable(Manifest(1, routes, services)))
        for name, service in (
            ("s1", "desk"),
            ("s2", "desk"),
            ("s3", "desk"),
            ("p1", "parts"),
            ("p2", "parts"),
        ):
            server = BackendServer(name, 1, service, f"{name}:80", "a", 3)
            self.view.directory.take(server)
        self.script, self.sent = {}, []
        pools = types.SimpleNamespace(at=self.pool_at)
        self.router = Router(
            self.view,
            Loads("a"),
            ColdShares("d1"),
            pools,
            Dialect(),
            FleetBounds(),
            RequestMeter(),
            clock,
        )
        self.own("p1")

    def own(self, owner, token=1, old_owner=""):
        """Give all keys to a server of the divided service."""
        item = KeyRange(0, N_KEYS - 1, owner, 1, token, old_owner, 1, token - 2)
        self.view.take_table(RangeTable("parts", (item,)), token)

    def pool_at(self, address):
        """Return what stands for the connections to a server."""
        name = address.partition(":")[0]

        def exchange(method, target, headers, body, timeout_ms, is_wanted):
            self.sent.append(name)
            answers = self.script.get(name) or self.script.get("all") or [OK]
            return answers.pop(0) if len(answers) > 1 else answers[0]

        return types.SimpleNamespace(exchange=exchange)

    def ask(self, path, key=None):
        """Return the status and headers that a caller gets."""
        headers = [("key", str(key))] if key is not None else []
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": path,
            HEADERS_KEY: headers,
            TARGET_KEY: path,
        }
        got = []
        self.router(environ, lambda status, headers: got.append((status, headers)))
        status, headers = got[0]
        return int(status[:3]), dict(headers)

    def test_a_shed_request_goes_to_another_server(self):
        self.script["all"] = [SHED, OK]
        self.assertEqual(self.ask("/once/")[0], 200)
        self.assertEqual(len(set(self.sent)), 2)

    def test_all_servers_shed(self):
        self.script["all"] = [SHED]
        status, headers = self.ask("/safe/")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)
        self.assertLessEqual(len(self.sent), 3)

    def test_an_answer_that_never_came(self):
        """Nobody knows whether it ran: only what may be repeated is sent again."""
        self.script["all"] = [SILENT, OK]
        self.assertEqual(self.ask("/safe/")[0], 200)
        self.script["all"] = [SILENT, OK]
        self.sent.clear()
        status, headers = self.ask("/once/")
        self.assertEqual((status, len(self.sent)), (502, 1))
        self.assertNotIn("Retry-After", headers)

    def test_no_refusal_says_not_run_after_a_try_that_may_have_run(self):
        self.script["all"] = [SILENT, SHED]
        self.assertEqual(self.ask("/safe/")[0], 502)

    def test_an_answer_without_the_servers_mark_reaches_nobody(self):
        self.script["all"] = [FORGED]
        self.assertEqual(self.ask("/once/")[0], 502)
        self.assertEqual(self.ask("/safe/")[0], 502)

    def test_a_failure_of_the_server_is_tried_once_more_if_that_is_harmless(self):
        self.script["all"] = [BROKEN, OK]
        self.assertEqual(self.ask("/safe/")[0], 200)
        self.script["all"] = [BROKEN, OK]
        self.assertEqual(self.ask("/once/")[0], 500)

    def test_a_server_that_is_not_reached_is_passed_over(self):
        self.script["s1"] = [UNREACHED]
        for _ in range(6):
            self.assertEqual(self.ask("/once/")[0], 200)
        self.assertLessEqual(self.sent.count("s1"), 1)

    def test_further_sends_stay_within_the_budget(self):
        """Every server sheds: callers' requests must not be multiplied."""
        self.script["all"] = [SHED]
        for _ in range(50):
            self.ask("/safe/")
        self.assertLess(len(self.sent), 50 * 1.12 + 6)

    def test_the_owner_gets_what_is_about_its_keys(self):
        self.assertEqual(self.ask("/keyed/", 7)[0], 200)
        self.assertEqual(self.sent, ["p1"])
        self.assertEqual(self.ask("/keyed/")[0], 400)

    def test_a_new_owner_is_asked_when_the_store_is_slow_to_name_it(self):
        """A range had been granted, and callers were refused for 600 ms more.

        The leader's write that it had arrived had no answer from the store; until the
        next one all daemons took the keys to be on their way.
        """
        self.own("p2", token=3, old_owner="p1")
        self.assertEqual(self.ask("/keyed/", 7)[0], 200)
        self.assertEqual(self.sent, ["p2"])

    def test_an_owner_that_has_no_grant_yet_costs_nobody_a_false_answer(self):
        self.own("p2", token=3, old_owner="p1")
        self.script["p2"] = [WRONG]
        status, headers = self.ask("/keyed/", 7)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def test_keys_without_an_owner_are_refused_at_once(self):
        self.view.directory.lose("p1")
        status, headers = self.ask("/keyed/", 7)
        self.assertEqual((status, self.sent), (503, []))
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def test_refused_requests_count_as_work_for_their_key(self):
        """A third of all requests are for the keys of one range; most are refused.

        Its owner looked no busier than a server can be, and for seconds only one range
        at a time was moved away.
        """
        self.router.loads.take_told({"p1": 60}, self.router.clock.now_ms())
        self.assertEqual(self.ask("/keyed/", 7)[0], 503)
        told = self.view.work.take(self.view.tables)
        self.assertEqual(told["parts"][7][0], 1)
        self.assertGreater(told["parts"][7][1], 10)

    def test_keys_whose_move_takes_long_hold_nobody_up(self):
        """An owner vanished, and only time proves that it has let go.

        For seven seconds each request for its keys waited 200 ms and was then refused
        by the next owner, which had no grant yet. One waits; the others are told.
        """
        self.own("p2", 5, "p1")
        self.script["p2"] = [WRONG]
        began_ms = self.router.clock.now_ms()
        self.assertEqual(self.ask("/keyed/", 7)[0], 503)
        n_sent, first_ms = len(self.sent), self.router.clock.now_ms() - began_ms
        self.assertGreater(first_ms, 150.0)
        for key in range(5):
            status, headers = self.ask("/keyed/", key)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0.1)
        self.assertLess(self.router.clock.now_ms() - began_ms, first_ms + 100.0)
        self.assertEqual(len(self.sent), n_sent)
        self.script["p2"] = [OK]
        self.own("p2", 6)
        self.assertEqual(self.ask("/keyed/", 7)[0], 200)

    def test_cold_servers_get_nothing_while_others_are_warm(self):
        self.view.directory.note_cold("s1", 60_000.0)
        self.view.directory.note_cold("s2", 60_000.0)
        for _ in range(20):
            self.assertEqual(self.ask("/once/")[0], 200)
        self.assertEqual(set(self.sent), {"s3"})

    def test_cold_servers_get_little_if_there_are_no_others(self):
        self.view.daemons = {f"d{i}": "" for i in range(8)}
        for name in ("s1", "s2", "s3"):
            self.view.directory.note_cold(name, 60_000.0)
        statuses = [self.ask("/once/")[0] for _ in range(60)]
        self.assertEqual(set(statuses) - {200, 503}, set())
        self.assertLessEqual(statuses.count(200), 6)
