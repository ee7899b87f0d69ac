"""Responses to callers while servers and keys change, with scripted exchanges."""

import types
import unittest
from unittest import mock

import attrs
import gevent
from returns.result import Failure, Success

from tarragonramp import Clock, ManualClock
from tarragonramp.adapters.http import HttpPool, Response
from tarragonramp.adapters.web import ARRIVED_KEY, HEADERS_KEY, TARGET_KEY
from tarragonramp.balancing import ServerSelector
from tarragonramp.delegation import Delegation
from tarragonramp.dialect import RequestFacts, ResponseFacts
from tarragonramp.directory import BackendServer
from tarragonramp.errors import (
    AnswerRevokedError,
    NotSentError,
    RequestError,
    SendRevokedError,
    UnansweredError,
)
from tarragonramp.fleet import FleetBounds
from tarragonramp.fleet_view import FleetView
from tarragonramp.limits import ColdStartLimiter, ServerLimits
from tarragonramp.manifest import (
    N_KEYS,
    FleetService,
    Manifest,
    Route,
    RouteTable,
    WeightedService,
)
from tarragonramp.meters import NOT_RUN, UNKNOWN, RequestMeter
from tarragonramp.ranges import KeyRange, RangeTable
from tarragonramp.roles.owners import GRANT_RECHECK_MS
from tarragonramp.roles.router import Router

from .wire import LateCopyServer

OK = Success(Response(200, (("Mark", "1"),), b"whole"))
SHED = Success(Response(503, (("Shed", "1"),), b""))
MISDIRECTED = Success(Response(421, (("Shed", "1"),), b""))
SERVER_ERROR = Success(Response(500, (("Mark", "1"),), b"oops"))
UNSTATED = Success(Response(503, (("Mark", "1"),), b"busy"))
UNMARKED = Success(Response(200, (), b"whose?"))
LIMITED = Success(Response(200, (("Mark", "1"), ("Limit", "0.5")), b"whole"))
LIMITED_SHED = Success(Response(503, (("Shed", "1"), ("Limit", "0.5")), b""))
MALFORMED_LIMIT = Success(Response(200, (("Mark", "1"), ("Limit", "x")), b"whole"))
PAUSED = Success(Response(503, (("Shed", "1"), ("Pause-Ms", "60000")), b""))
LEAVING = Success(Response(200, (("Mark", "1"), ("Leaving", "1")), b"whole"))
UNANSWERED = Failure(UnansweredError("connection closed"))
NO_MEMORY = Failure(AnswerRevokedError("no memory left"))
UNREACHABLE = Failure(NotSentError("timed out"))


SHED_BYTES = b"HTTP/1.1 503 B\r\nId: a\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"
OK_BYTES = b"HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\nContent-Length: 0\r\n\r\n"
N_EARLIER_REQUESTS = 32


def request_headers(key, request_id):
    """Return the headers of a caller's request."""
    headers = [("key", str(key))] if key is not None else []
    return [*headers, ("id", request_id)] if request_id else headers


class Dialect:
    """Reads and writes request and response facts as plain headers."""

    echoed_headers = ()

    def read_request(self, headers):
        """Return the facts of a caller's request."""
        found = dict(headers)
        key = found.get("key")
        return RequestFacts("r1", "h", 1000.0, int(key) if key else None)

    def server_headers(self, headers, server, left_ms, team=None):
        """Return the request's id, if any, and a header that names the server."""
        return [*(item for item in headers if item[0] == "id"), ("server", server)]

    def read_response(self, answer):
        """Return the facts of a server's response."""
        limit, pause = answer.header("Limit"), answer.header("Pause-Ms")
        return ResponseFacts(
            not_run=bool(answer.header("Shed")),
            implies_not_run=answer.status == 503,
            misdirected=answer.status == 421,
            genuine=bool(answer.header("Mark")),
            limit_per_s=float(limit) if limit not in ("", "x") else None,
            limit_text=answer.header("Limit", None),
            backoff_ms=float(pause) if pause else None,
            leaving=bool(answer.header("Leaving")),
        )

    def refusal_headers(self, request_id, retry_after_s):
        """Return the Retry-After header, if any."""
        return [] if retry_after_s is None else [("Retry-After", str(retry_after_s))]


class RouterTestCase(unittest.TestCase):
    """Three servers of a shared service, and two of a divided one."""

    def setUp(self):
        self.clock = clock = Clock()
        self.view = FleetView(clock)
        routes = (
            Route(
                "h",
                "/safe/",
                (WeightedService("desk"),),
                True,
                1000.0,
                500.0,
                attempts=2,
            ),
            Route(
                "h",
                "/once/",
                (WeightedService("desk"),),
                False,
                1000.0,
                500.0,
                attempts=2,
            ),
            Route(
                "h",
                "/keyed/",
                (WeightedService("parts"),),
                True,
                1000.0,
                500.0,
                attempts=2,
            ),
        )
        services = {
            "desk": FleetService("desk", cold_per_s=2.0),
            "parts": FleetService("parts", divided=True),
        }
        self.view.update_routes(RouteTable(Manifest(1, routes, services)))
        for name, service in (
            ("s1", "desk"),
            ("s2", "desk"),
            ("s3", "desk"),
            ("p1", "parts"),
            ("p2", "parts"),
        ):
            server = BackendServer(name, 1, service, f"{name}:80", "a", 3)
            self.view.directory.upsert(server)
        self.scripted, self.sent, self.while_connecting = {}, [], {}
        self.connections_refused = False
        pools = types.SimpleNamespace(at=self.pool_at)
        self.router = Router(
            self.view,
            ServerSelector("a"),
            ColdStartLimiter("d1"),
            pools,
            Dialect(),
            FleetBounds(),
            RequestMeter(),
            clock,
            types.SimpleNamespace(
                seen_version=0, serve=self.delegate, serve_by=self.delegate_to
            ),
            limits=ServerLimits("d1"),
        )
        for service in services:
            # Retries are paid for by requests that were served before.
            for _ in range(N_EARLIER_REQUESTS):
                self.router._budget(service).earn()
        self.delegated, self.delegated_response = [], None
        self.path_prober = self.router.prober
        self.router.prober = types.SimpleNamespace(
            confirm_cut_off=lambda: self.router.monitor.is_cut_off,
            suspect=lambda: None,
        )
        self.assign_all("p1")

    def delegate(self, request):
        """Record a request that is handed to another daemon; None if none takes it."""
        self.delegated.append((list(request.tried), request.in_doubt))
        return self.delegated_response

    def delegate_to(self, peer, request):
        """Record a request that is handed to a certain daemon."""
        self.delegated.append((peer, request.in_doubt))
        return self.delegated_response

    def assign_all(self, owner, token=1, old_owner=""):
        """Assign all keys to a server of the divided service."""
        item = KeyRange(0, N_KEYS - 1, owner, 1, token, old_owner, 1, token - 2)
        self.view.update_table(RangeTable("parts", (item,)), token)

    def pool_at(self, address):
        """Return a stand-in for the connections to a server."""
        name = address.partition(":")[0]

        def exchange(method, target, headers, body, timeout_ms, is_wanted, may_send):
            if name in self.while_connecting:
                self.while_connecting.pop(name)()
            if not may_send():
                return Failure(SendRevokedError("server asked to wait"))
            self.sent.append(name)
            answers = self.scripted.get(name) or self.scripted.get("all") or [OK]
            return answers.pop(0) if len(answers) > 1 else answers[0]

        refused = Failure(NotSentError("Connection refused"))
        connect_once = lambda timeout_ms: (
            refused if self.connections_refused else Success(None)
        )
        return types.SimpleNamespace(exchange=exchange, connect_once=connect_once)

    def send_request(self, path, key=None, request_id=""):
        """Return the status and headers that a caller gets."""
        headers = request_headers(key, request_id)
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": path,
            HEADERS_KEY: headers,
            TARGET_KEY: path,
        }
        responses = []
        self.router(
            environ, lambda status, headers: responses.append((status, headers))
        )
        status, headers = responses[0]
        return int(status[:3]), dict(headers)

    def serve_delegated(self, path, key=None, request_id="", **delegation):
        """Serve a request of another daemon; return the response or the error."""
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": path,
            HEADERS_KEY: request_headers(key, request_id),
            TARGET_KEY: path,
            ARRIVED_KEY: self.clock.now_ms(),
        }
        fields = {"elapsed_ms": 0.0, "service": "desk", "manifest_version": 1}
        try:
            return self.router.serve_delegated(
                environ, Delegation(**{**fields, **delegation})
            )
        except RequestError as error:
            return error


class RouterTest(RouterTestCase):
    """Requests while servers and keys change."""

    def test_requests_are_handed_over_while_no_server_is_reached(self):
        self.router.monitor.record_check(False, 0.0)
        self.delegated_response = OK.unwrap()
        for path, key in (("/safe/", None), ("/once/", None), ("/keyed/", 7)):
            self.assertEqual(self.send_request(path, key)[0], 200)
        self.assertEqual(self.delegated, [([], False)] * 3)
        self.assertEqual(self.sent, [])

    def test_a_content_under_which_two_servers_ended_is_not_sent(self):
        """Guards against callers who come back until all servers have ended."""
        self.connections_refused = True
        self.scripted["all"] = [UNANSWERED]
        self.assertEqual(self.send_request("/safe/x")[0], 502)
        self.assertEqual(len(self.sent), 2)
        gevent.sleep(0.01)
        self.scripted["all"] = [OK]
        status, headers = self.send_request("/safe/x")
        self.assertEqual((status, "Retry-After" in headers), (503, True))
        self.assertEqual(len(self.sent), 2)
        self.assertEqual(self.send_request("/safe/y")[0], 200)

    def test_a_content_is_sent_while_connections_break_without_an_end(self):
        """Guards against refusals because of full servers or lost answers."""
        self.scripted["all"] = [UNANSWERED]
        for _ in range(3):
            self.assertEqual(self.send_request("/safe/x")[0], 502)
        self.assertEqual(len(self.sent), 6)

    def test_a_request_that_no_daemon_takes_is_sent_by_this_one(self):
        """Guards against refusals because of a wrong verdict on the paths."""
        self.router.monitor.record_check(False, 0.0)
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.assertEqual((len(self.delegated), len(self.sent)), (1, 1))

    def test_a_request_that_was_not_sent_is_handed_over_once_a_cut_is_found(self):
        self.delegated_response = OK.unwrap()
        self.scripted["all"] = [UNREACHABLE]
        self.router.prober.confirm_cut_off = lambda: (
            self.router.monitor.record_check(False, 0.0) or True
        )
        for path, key in (("/once/", None), ("/keyed/", 7)):
            self.router.monitor.cut_off_since_ms = None
            self.delegated.clear()
            self.assertEqual(self.send_request(path, key)[0], 200)
            ((tried, in_doubt),) = self.delegated
            self.assertEqual((len(tried), in_doubt), (1, False))

    def test_only_an_idempotent_request_in_doubt_is_handed_over(self):
        """Guards against a second run by another daemon."""
        self.delegated_response = OK.unwrap()
        self.router.prober.confirm_cut_off = lambda: (
            self.router.monitor.record_check(False, 0.0) or True
        )
        for path, status in (("/safe/", 200), ("/once/", 502)):
            self.router.monitor.cut_off_since_ms = None
            self.delegated.clear()
            self.scripted["all"] = [UNANSWERED]
            self.assertEqual(self.send_request(path)[0], status)
            self.assertEqual(len(self.delegated), status == 200)
        self.assertEqual(len(self.sent), 2)

    def test_refusals_of_a_daemon_that_is_cut_off_say_so(self):
        """Guards against refusals that look like those beside busy servers."""
        self.scripted["all"] = [UNREACHABLE]
        self.router.monitor.record_check(False, self.clock.now_ms())
        with mock.patch("tarragonramp.roles.refusals.log_event") as log:
            self.assertEqual(self.send_request("/keyed/", 7)[0], 503)
        logged = log.call_args.kwargs
        self.assertEqual(logged["servers_heard"], 0)
        self.assertEqual(logged["heard_ms_ago"], "never")
        self.assertIn("cut_off_ms", logged)

    def test_requests_are_handed_over_until_the_used_manifest_is_known(self):
        """Guards against callers' routes that go back to an older manifest."""
        self.router.delegator.seen_version = 2
        self.delegated_response = OK.unwrap()
        self.send_request("/safe/")
        self.view.update_routes(RouteTable(attrs.evolve(self.view.manifest, version=2)))
        self.send_request("/safe/")
        self.assertEqual((len(self.delegated), len(self.sent)), (1, 1))

    def test_missing_route_is_refused_for_good_only_if_the_manifest_is_recent(self):
        """Guards against 404 for a route that a newer manifest has."""
        self.assertEqual(self.send_request("/new/")[0], 404)
        self.router.confirm_manifest = lambda min_version: False
        status, headers = self.send_request("/new/")
        self.assertEqual((status, "Retry-After" in headers), (503, True))

    def test_missing_route_is_looked_up_again_once_the_manifest_is_confirmed(self):
        manifest = self.view.manifest
        newer = attrs.evolve(
            manifest,
            version=2,
            routes=(
                *manifest.routes,
                attrs.evolve(manifest.routes[0], path_prefix="/new/"),
            ),
        )
        self.router.confirm_manifest = lambda min_version: self.view.update_routes(
            RouteTable(newer)
        )
        self.assertEqual(self.send_request("/new/")[0], 200)

    def test_missing_route_is_confirmed_against_what_other_daemons_have_used(self):
        """Guards against 404 for a route that a delegate has served."""
        asked = []
        self.router.confirm_manifest = asked.append
        self.router.delegator.seen_version = 7
        self.assertEqual(self.send_request("/new/")[0], 503)
        self.assertEqual(asked, [7])

    def test_a_request_of_another_daemon_is_never_handed_over(self):
        """Guards against requests that go in circles among daemons."""
        self.router.monitor.record_check(False, 0.0)
        self.delegated_response = OK.unwrap()
        self.assertEqual(self.serve_delegated("/safe/").status, 200)
        self.assertEqual(self.delegated, [])

    def test_time_at_another_daemon_counts(self):
        error = self.serve_delegated("/safe/", elapsed_ms=990.0)
        self.assertEqual((error.status, error.outcome), (503, NOT_RUN))
        self.assertEqual(self.sent, [])

    def test_tries_of_another_daemon_count(self):
        """Guards against more attempts than the route allows, and false "not run"."""
        self.scripted["all"] = [UNANSWERED]
        error = self.serve_delegated("/safe/", tried=["s9"])
        self.assertEqual((error.outcome, len(self.sent)), (UNKNOWN, 1))
        self.scripted["all"] = [SHED]
        self.sent.clear()
        error = self.serve_delegated("/safe/", tried=["s9"])
        self.assertEqual((error.status, error.outcome), (502, UNKNOWN))

    def test_a_retry_by_another_daemon_is_paid_for_once(self):
        """Guards against retries that no budget counts."""
        spent = []
        self.router._budgets["desk"] = types.SimpleNamespace(
            earn=lambda: None, spend=lambda: spent.append(1) or len(spent) < 2
        )
        self.serve_delegated("/safe/", is_unpaid_retry=True)
        self.assertEqual((len(spent), len(self.sent)), (1, 1))
        error = self.serve_delegated("/safe/", is_unpaid_retry=True)
        self.assertEqual((error.status, error.outcome), (503, NOT_RUN))
        self.assertEqual((len(spent), len(self.sent)), (2, 1))

    def test_a_refusal_tells_whether_a_server_got_the_request(self):
        self.scripted["all"] = [SHED]
        self.router._budgets["desk"] = types.SimpleNamespace(
            earn=lambda: None, spend=lambda: False
        )
        self.assertTrue(self.serve_delegated("/safe/").inputs["was_sent"])
        self.scripted["all"] = [UNREACHABLE]
        self.assertNotIn("was_sent", self.serve_delegated("/safe/").inputs)

    def test_the_retry_budget_is_credited_by_one_daemon(self):
        """Guards against twice the retries for requests that two daemons handle."""
        earned = []
        self.router._budgets["desk"] = types.SimpleNamespace(
            earn=lambda: earned.append(1), spend=lambda: True
        )
        self.serve_delegated("/safe/")
        self.assertEqual(len(earned), 1)
        self.serve_delegated("/safe/", is_credited=True)
        self.assertEqual(len(earned), 1)
        self.router.monitor.record_check(False, 0.0)
        self.delegated_response = OK.unwrap()
        self.send_request("/safe/")
        self.assertEqual(len(earned), 1)

    def test_shed_request_is_sent_to_another_server(self):
        self.scripted["all"] = [SHED, OK]
        self.assertEqual(self.send_request("/once/")[0], 200)
        self.assertEqual(len(set(self.sent)), 2)

    def start_late_copy_server(self, *script):
        """Have one server of the divided service copy each of its responses late."""
        server = LateCopyServer(list(script))
        self.addCleanup(server.stop)
        pool = HttpPool(server.address, echoed_headers=("id",))
        self.router.pools = types.SimpleNamespace(at=lambda address: pool)
        return server

    def test_repeated_request_does_not_take_the_connection_that_carried_it(self):
        """Guards against a late copy of a refusal, taken for the repeat's answer."""
        server = self.start_late_copy_server(SHED_BYTES, OK_BYTES)
        self.assertEqual(self.send_request("/keyed/", 7, "a")[0], 200)
        self.assertEqual((len(server.requests), server.n_connections), (2, 2))

    def test_request_that_comes_back_takes_no_connection_that_carried_it(self):
        """Guards against a late copy that answers a later request of the same id."""
        server = self.start_late_copy_server(*[SHED_BYTES] * 3, OK_BYTES)
        self.assertEqual(self.send_request("/keyed/", 7, "a")[0], 503)
        response = self.serve_delegated("/keyed/", 7, "a", service="parts")
        self.assertEqual(response.status, 200)
        self.assertEqual(server.n_connections, len(server.requests))

    def test_all_servers_shed_request(self):
        self.scripted["all"] = [SHED]
        status, headers = self.send_request("/safe/")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)
        self.assertLessEqual(len(self.sent), 3)

    def test_unanswered_request_is_retried_only_if_idempotent(self):
        """It is unknown whether the request ran."""
        self.scripted["all"] = [UNANSWERED, OK]
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.scripted["all"] = [UNANSWERED, OK]
        self.sent.clear()
        status, headers = self.send_request("/once/")
        self.assertEqual((status, len(self.sent)), (502, 1))
        self.assertNotIn("Retry-After", headers)

    def test_no_not_run_after_attempt_that_may_have_run(self):
        self.scripted["all"] = [UNANSWERED, SHED]
        self.assertEqual(self.send_request("/safe/")[0], 502)

    def test_a_response_without_memory_is_not_asked_for_again(self):
        """Guards against attempts that need the memory that was just lacking."""
        self.scripted["all"] = [NO_MEMORY, OK]
        status, headers = self.send_request("/safe/")
        self.assertEqual((status, len(self.sent)), (502, 1))
        self.assertEqual(headers["Tarragon-Outcome"], UNKNOWN)
        self.assertEqual(self.router.suspects.n_ended, 0)
        self.assertFalse(self.router.monitor.failures)

    def test_a_stopping_daemon_sends_nothing_that_ends_after_it(self):
        """Guards against a request that is cut at the end of the stop."""
        self.router.stop.ends_ms = self.clock.now_ms() + 900.0
        status, headers = self.send_request("/once/")
        self.assertEqual((status, self.sent, self.delegated), (503, [], []))
        self.assertEqual(headers["Tarragon-Outcome"], NOT_RUN)
        self.assertLess(float(headers["Retry-After"]), 0.2)
        self.assertEqual(self.serve_delegated("/safe/").status, 503)
        self.assertEqual(self.sent, [])

    def test_a_stop_that_begins_while_a_connection_opens(self):
        """Guards against a decision that is older than the stop."""

        def stop():
            self.router.stop.ends_ms = self.clock.now_ms() + 900.0

        self.while_connecting = dict.fromkeys(("s1", "s2", "s3"), stop)
        self.assertEqual(self.send_request("/once/")[0], 503)
        self.assertEqual(self.sent, [])

    def test_response_without_server_mark_is_rejected(self):
        self.scripted["all"] = [UNMARKED]
        self.assertEqual(self.send_request("/once/")[0], 502)
        self.assertEqual(self.send_request("/safe/")[0], 502)

    def test_server_error_is_retried_only_if_idempotent(self):
        self.scripted["all"] = [SERVER_ERROR, OK]
        self.assertEqual(self.send_request("/safe/")[0], 200)
        self.scripted["all"] = [SERVER_ERROR, OK]
        self.assertEqual(self.send_request("/once/")[0], 500)

    def test_status_alone_is_no_statement_that_an_order_did_not_run(self):
        """Guards against an order that has run and that its caller repeats."""
        self.scripted["all"] = [UNSTATED]
        status, headers = self.send_request("/once/")
        self.assertEqual((status, len(self.sent)), (502, 1))
        self.assertEqual(headers["Tarragon-Outcome"], UNKNOWN)
        self.assertNotIn("Retry-After", headers)
        self.assertNotIn("Mark", headers)
        self.assertEqual(self.send_request("/safe/")[0], 503)

    def test_unreachable_server_is_avoided(self):
        self.scripted["s1"] = [UNREACHABLE]
        for _ in range(6):
            self.assertEqual(self.send_request("/once/")[0], 200)
        self.assertLessEqual(self.sent.count("s1"), 1)

    def test_retries_stay_within_budget(self):
        """Every server sheds requests; retries must not multiply callers' requests."""
        self.scripted["all"] = [SHED]
        for _ in range(50):
            self.send_request("/safe/")
        self.assertLess(len(self.sent), 50 * 1.12 + 6)

    def test_request_with_key_goes_to_owner(self):
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)
        self.assertEqual(self.sent, ["p1"])
        self.assertEqual(self.send_request("/keyed/")[0], 400)

    def test_new_owner_is_used_before_store_records_it(self):
        """The leader's write that a range has moved had no response from the store.

        Until its next write all daemons took the range to be moving, and callers were
        refused for another 600 ms although the range had been granted.
        """
        self.assign_all("p2", token=3, old_owner="p1")
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)
        self.assertEqual(self.sent, ["p2"])

    def test_owner_without_grant_causes_retryable_refusal(self):
        self.assign_all("p2", token=3, old_owner="p1")
        self.scripted["p2"] = [MISDIRECTED]
        status, headers = self.send_request("/keyed/", 7)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def use_manual_clock(self):
        """Let time pass only while a request waits for a change of the view."""
        self.clock = self.router.clock = self.router.owners.clock = ManualClock()
        self.router.chooser.clock = self.clock
        wait = lambda view, timeout_ms: self.clock.advance(timeout_ms)
        patch = mock.patch.object(FleetView, "wait", wait)
        patch.start()
        self.addCleanup(patch.stop)

    def test_an_owner_without_a_grant_is_not_asked_again_and_again(self):
        """Guards against a retry budget that is used up by repeats without a chance."""
        self.use_manual_clock()
        self.scripted["p1"] = [MISDIRECTED]
        for _ in range(20):
            status, headers = self.send_request("/keyed/", 7)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0.0)
        self.assertEqual(len(self.sent), 2)
        self.clock.advance(GRANT_RECHECK_MS)
        for _ in range(20):
            self.send_request("/keyed/", 7)
        self.assertEqual(len(self.sent), 3)

    def test_an_owner_is_asked_again_once_its_grant_has_arrived(self):
        self.use_manual_clock()
        self.scripted["p1"] = [MISDIRECTED, MISDIRECTED, OK]
        self.send_request("/keyed/", 7)
        self.clock.advance(GRANT_RECHECK_MS)
        for _ in range(5):
            self.assertEqual(self.send_request("/keyed/", 7)[0], 200)

    def test_owners_without_a_grant_are_forgotten_now_and_then(self):
        """Guards against entries for each token that was ever refused."""
        self.scripted["p1"] = [MISDIRECTED]
        self.send_request("/keyed/", 7)
        self.router.owners.forget_delays()
        n_sent = len(self.sent)
        self.send_request("/keyed/", 7)
        self.assertEqual(len(self.sent), n_sent + 2)

    def test_a_new_table_ends_the_refusals_of_an_owner_without_a_grant(self):
        self.scripted["p1"] = [MISDIRECTED]
        self.send_request("/keyed/", 7)
        self.assign_all("p2", token=3)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)

    def test_keys_without_owner_are_refused(self):
        self.view.directory.remove_server("p1")
        status, headers = self.send_request("/keyed/", 7)
        self.assertEqual((status, self.sent), (503, []))
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def test_refused_requests_count_as_load_of_their_key(self):
        """A third of all requests are for the keys of one range; most are refused.

        Without their load the owner would look no busier than a server can be, and for
        seconds only one range at a time would move away.
        """
        self.router.selector.update_peer_in_flight(
            {"p1": 60}, self.router.clock.now_ms()
        )
        self.assertEqual(self.send_request("/keyed/", 7)[0], 503)
        counts = self.view.key_load_recorder.drain(self.view.tables)
        self.assertEqual(counts["parts"][7][0], 1)
        self.assertGreater(counts["parts"][7][1], 10)

    def test_slow_move_delays_only_one_request(self):
        """An owner has vanished, and its keys are free only once its grants expire.

        For seven seconds each request for its keys would wait 200 ms and then be
        refused by the next owner, which has no grant yet. Only one request waits; the
        others are refused at once.
        """
        self.assign_all("p2", 5, "p1")
        self.scripted["p2"] = [MISDIRECTED]
        began_ms = self.router.clock.now_ms()
        self.assertEqual(self.send_request("/keyed/", 7)[0], 503)
        n_sent, first_ms = len(self.sent), self.router.clock.now_ms() - began_ms
        self.assertGreater(first_ms, 150.0)
        for key in range(5):
            status, headers = self.send_request("/keyed/", key)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0.1)
        self.assertLess(self.router.clock.now_ms() - began_ms, first_ms + 100.0)
        self.assertEqual(len(self.sent), n_sent)
        self.scripted["p2"] = [OK]
        self.assign_all("p2", 6)
        self.assertEqual(self.send_request("/keyed/", 7)[0], 200)

    def test_cold_servers_are_avoided_while_others_are_warm(self):
        self.view.directory.mark_cold("s1", 60_000.0)
        self.view.directory.mark_cold("s2", 60_000.0)
        for _ in range(20):
            self.assertEqual(self.send_request("/once/")[0], 200)
        self.assertEqual(set(self.sent), {"s3"})

    def test_cold_servers_get_limited_load(self):
        self.view.daemons = {f"d{i}": "" for i in range(8)}
        for name in ("s1", "s2", "s3"):
            self.view.directory.mark_cold(name, 60_000.0)
        statuses = [self.send_request("/once/")[0] for _ in range(60)]
        self.assertEqual(set(statuses) - {200, 503}, set())
        self.assertLessEqual(statuses.count(200), 6)
