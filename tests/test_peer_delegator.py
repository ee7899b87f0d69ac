"""Requests handed to other daemons, with scripted daemons."""

import types
import unittest

from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.adapters.http import Response
from tarragonramp.delegation import (
    DECLINED,
    DELEGATION_HEADER,
    REFUSED,
    SERVED,
    Delegation,
    Report,
)
from tarragonramp.errors import (
    AbandonedError,
    NotSentError,
    RequestError,
    UnansweredError,
)
from tarragonramp.fleet_view import FleetView
from tarragonramp.manifest import Manifest, Route, RouteTable, WeightedService
from tarragonramp.meters import NOT_RUN, UNKNOWN
from tarragonramp.roles.peer_delegator import (
    DECLINED_MS,
    MAX_PEERS,
    NOT_UNDERSTOOD_MS,
    PeerDelegator,
)
from tarragonramp.roles.routed_request import RoutedRequest

ROUTE = Route("h", "/a/", (WeightedService("desk"),), True, 1000.0, 500.0, attempts=2)
DAEMONS = {"d1": "a", "d2": "a", "d3": "a", "d4": "b", "d5": "b", "d6": "b"}


def response_of(report, status=200, headers=()):
    """Return a daemon's response with a Report."""
    headers = (*headers, report.to_header())
    return Success(Response(status, headers, b"whole"))


SERVED_RESPONSE = response_of(Report(SERVED, 3), headers=(("Mark", "1"),))
DECLINED_RESPONSE = response_of(Report(DECLINED, 3, NOT_RUN, "reaches no server"), 503)


class PeerDelegatorTest(unittest.TestCase):
    """Daemon d1, which hands requests to five others."""

    def setUp(self):
        self.clock = ManualClock(10_000.0)
        self.view = FleetView(self.clock)
        self.view.update_routes(RouteTable(Manifest(3, (ROUTE,))))
        self.view.daemons = {name: f"{name}:1" for name in DAEMONS}
        self.view.daemon_domains = dict(DAEMONS)
        self.scripted, self.asked, self.delegations = {}, [], []
        self.took_ms = {}
        self.delegator = PeerDelegator("d1", "a", self.view, self, self.clock)

    def delegate(self, address, method, target, headers, body, timeout_ms, is_wanted):
        """Stand in for FleetPeers."""
        name = address.partition(":")[0]
        self.asked.append(name)
        raw = dict(headers)[DELEGATION_HEADER]
        self.delegations.append(Delegation.from_header(raw))
        self.sent = types.SimpleNamespace(
            target=target, headers=headers, body=body, timeout_ms=timeout_ms
        )
        self.clock.advance(self.took_ms.get(name, 0.0))
        return self.scripted.get(name, SERVED_RESPONSE)

    def request(self, **changes):
        """Return a request that arrived 100 ms ago and has 900 ms left."""
        fields = {
            "request_id": "r1",
            "method": "GET",
            "target": "/a/b?c=%20",
            "headers": [("host", "h"), ("request-id", "r1")],
            "body": b"",
            "route": ROUTE,
            "service": "desk",
            "key": None,
            "arrived_ms": self.clock.now_ms() - 100.0,
            "until_ms": self.clock.now_ms() + 900.0,
            "is_wanted": lambda: True,
            "clock": self.clock,
        }
        return RoutedRequest(**{**fields, **changes})

    def script(self, domain, result):
        """Set what the daemons of a failure domain return."""
        for name, found in DAEMONS.items():
            if found == domain:
                self.scripted[name] = result

    def test_leaving_is_heard_from_an_answer_that_is_passed_on(self):
        """Guards against requests to a server that told only the delegate."""
        heard = []
        self.delegator.record_leaving = lambda *server, told_by: heard.append(server)
        report = Report(SERVED, 3, leaving=(("s1", 7),))
        self.script("a", response_of(report))
        self.delegator.serve(self.request())
        self.assertEqual(heard, [("s1", 7)])

    def test_the_servers_response_is_returned_without_the_report(self):
        response = self.delegator.serve(self.request())
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.headers, (("Mark", "1"),))

    def test_time_and_doubts_of_a_request_are_passed_on(self):
        self.delegator.serve(self.request(tried=["s1"], is_credited=True))
        expected = Delegation(100.0, "desk", 3, [], True)
        self.assertEqual(self.delegations[0], expected)
        self.assertEqual(self.sent.timeout_ms, 900.0)
        self.assertEqual(self.sent.target, "/a/b?c=%20")
        self.delegator.serve(self.request(tried=["s1"], in_doubt=True))
        self.assertEqual(self.delegations[1].tried, ["s1"])

    def test_a_callers_header_is_not_taken_for_a_delegation(self):
        forged = ("tarragon-delegation", Delegation(0.0, "x", 0).to_header()[1])
        self.delegator.serve(self.request(headers=[("host", "h"), forged]))
        names = [name for name, _ in self.sent.headers]
        self.assertEqual(names.count(DELEGATION_HEADER), 1)
        self.assertEqual(self.delegations[0].service, "desk")

    def test_the_own_failure_domain_is_preferred_and_shared_evenly(self):
        for _ in range(50):
            self.delegator.serve(self.request())
        self.assertEqual(set(self.asked), {"d2", "d3"})

    def test_a_busy_own_failure_domain_is_relieved_by_others(self):
        self.delegator._in_progress.update({"d2": 8, "d3": 9})
        self.delegator.serve(self.request())
        self.assertEqual(DAEMONS[self.asked[0]], "b")

    def test_daemons_that_are_cut_off_too_are_avoided_with_their_domain(self):
        """Guards against requests that try one cut-off daemon after the other."""
        self.script("a", DECLINED_RESPONSE)
        self.assertIsNotNone(self.delegator.serve(self.request()))
        self.assertEqual([DAEMONS[name] for name in self.asked], ["a", "b"])
        self.asked.clear()
        self.delegator.serve(self.request())
        self.assertEqual([DAEMONS[name] for name in self.asked], ["b"])
        self.clock.advance(DECLINED_MS)
        self.asked.clear()
        self.delegator.serve(self.request())
        self.assertEqual(DAEMONS[self.asked[0]], "a")

    def test_nobody_takes_a_request_if_all_are_cut_off(self):
        self.script("a", DECLINED_RESPONSE)
        self.script("b", DECLINED_RESPONSE)
        self.assertIsNone(self.delegator.serve(self.request()))
        self.assertLessEqual(len(self.asked), MAX_PEERS)
        self.assertTrue(self.delegator.is_stranded)
        self.scripted.clear()
        self.clock.advance(DECLINED_MS)
        self.assertIsNotNone(self.delegator.serve(self.request()))
        self.assertFalse(self.delegator.is_stranded)

    def test_a_send_by_a_daemon_that_then_declined_has_to_be_paid_for(self):
        """Guards against retries that no budget counts."""
        report = Report(DECLINED, 3, NOT_RUN, "server not reached", was_sent=True)
        self.scripted = dict.fromkeys(DAEMONS, response_of(report, 503))
        request = self.request()
        self.assertIsNone(self.delegator.serve(request))
        paid = [delegation.is_unpaid_retry for delegation in self.delegations]
        self.assertEqual(paid, [False] + [True] * (MAX_PEERS - 1))
        self.assertTrue(request.is_unpaid_retry)

    def test_a_daemon_that_can_not_be_reached_is_replaced(self):
        self.script("a", Failure(NotSentError("refused")))
        self.assertIsNotNone(self.delegator.serve(self.request()))

    def test_an_unanswered_request_is_not_handed_to_another_daemon(self):
        """Guards against a second run: the first delegate may have had it run."""
        self.script("a", Failure(UnansweredError("reset")))
        with self.assertRaises(RequestError) as raised:
            self.delegator.serve(self.request())
        self.assertEqual(raised.exception.outcome, UNKNOWN)
        self.assertEqual(raised.exception.status, 502)
        self.assertEqual(len(self.asked), 1)

    def test_response_without_a_report_is_no_proof_that_nothing_ran(self):
        """Guards against a second run after a delegate's own error."""
        for status, report in ((500, ()), (200, ((DELEGATION_HEADER, "{}"),))):
            self.asked.clear()
            for domain in ("a", "b"):
                self.script(domain, Success(Response(status, report, b"")))
            with self.assertRaises(RequestError) as raised:
                self.delegator.serve(self.request())
            error = raised.exception
            self.assertEqual((error.status, error.outcome), (502, UNKNOWN))
            self.assertEqual(len(self.asked), 1)

    def test_a_frozen_daemon_is_passed_over_after_two_deadlines(self):
        self.delegator._in_progress.update({"d3": 5})
        self.scripted["d2"] = Failure(UnansweredError("timed out"))
        self.took_ms["d2"] = 900.0
        for _ in range(2):
            with self.assertRaises(RequestError) as raised:
                self.delegator.serve(self.request())
            self.assertEqual(raised.exception.status, 504)
        self.delegator.serve(self.request())
        self.assertEqual(self.asked[:2], ["d2", "d2"])
        self.assertNotIn("d2", self.asked[2:])

    def test_a_delegates_refusal_is_passed_on_with_its_outcome(self):
        report = Report(REFUSED, 3, UNKNOWN, "no whole answer from the server")
        self.script("a", response_of(report, 502))
        with self.assertRaises(RequestError) as raised:
            self.delegator.serve(self.request())
        error = raised.exception
        self.assertEqual((error.status, error.outcome), (502, UNKNOWN))
        self.assertIsNone(error.retry_after_s)
        report = Report(REFUSED, 3, NOT_RUN, "servers are busy", 0.25)
        self.script("a", response_of(report, 503))
        with self.assertRaises(RequestError) as raised:
            self.delegator.serve(self.request())
        error = raised.exception
        self.assertEqual((error.status, error.outcome), (503, NOT_RUN))
        self.assertEqual(error.retry_after_s, 0.25)
        self.assertIn(error.inputs["delegate"], ("d2", "d3"))

    def test_daemons_of_an_older_build_are_not_asked_again_soon(self):
        """An older daemon answers 404 to what it does not know, and runs nothing."""
        older = {"d2", "d3", "d4", "d5"}
        for name in older:
            self.scripted[name] = Success(Response(404, (), b"{}"))
        while not older <= set(self.asked):
            self.delegator.serve(self.request())
        self.asked.clear()
        self.clock.advance(NOT_UNDERSTOOD_MS - 1.0)
        self.delegator.serve(self.request())
        self.assertEqual(self.asked, ["d6"])

    def test_the_caller_has_gone(self):
        self.script("a", Failure(AbandonedError("caller disconnected")))
        with self.assertRaises(RequestError) as raised:
            self.delegator.serve(self.request())
        self.assertEqual(raised.exception.status, 499)

    def test_a_version_that_a_delegate_has_used_is_required_of_the_next(self):
        """Guards against a caller's routes that go back to an older manifest."""
        self.script("a", response_of(Report(SERVED, 7)))
        self.delegator.serve(self.request())
        self.delegator.serve(self.request())
        self.assertEqual([d.manifest_version for d in self.delegations], [3, 7])

    def test_a_request_without_time_is_not_handed_on(self):
        self.assertIsNone(self.delegator.serve(self.request(until_ms=10_010.0)))
        self.assertEqual(self.asked, [])

    def test_malformed_headers_are_value_errors(self):
        for text in ("", "{}", "[]", '{"result": "served"}', "7"):
            for kind in (Report, Delegation):
                with self.assertRaises(ValueError):
                    kind.from_header(text)


if __name__ == "__main__":
    unittest.main()
