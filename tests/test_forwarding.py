"""Tests of the steward's side of forwarding, against a scripted connection pool."""

import types
import unittest

from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.adapters.http import Response
from tarragonramp.errors import NotSentError
from tarragonramp.gates import ColdStartState, ForwardedRequest, Gate
from tarragonramp.roles.forwarding import ForwardHandler

REQUEST = ForwardedRequest("t", "desk", "s1", -1, 0, "POST", "/x", (), b"", 5000.0)


class ForwardHandlerTest(unittest.TestCase):
    """One server, a right of 800 ms, and a process that may be paused."""

    def setUp(self):
        self.clock, self.pause_ms, self.n_sent = ManualClock(10_000.0), 0.0, 0
        cold_start = ColdStartState(3, 3)
        self.managed_server = types.SimpleNamespace(
            gate=Gate(cold_start, 800.0, 0.0, 800.0),
            vm=types.SimpleNamespace(address="s1:80"),
            ledger=types.SimpleNamespace(term=1),
            role="steward.t.desk.s1",
            checks_grants=False,
        )
        held = types.SimpleNamespace(number=1, right_until_ms=10_800.0)
        self.forward_handler = ForwardHandler(
            types.SimpleNamespace(managed_server=lambda role: self.managed_server),
            None,
            types.SimpleNamespace(
                holding=lambda role: types.SimpleNamespace(held=held)
            ),
            types.SimpleNamespace(at=lambda address: self),
            types.SimpleNamespace(at=lambda address: self),
            self.clock,
        )

    def has_closed_idle(self):
        """Return whether the server has closed the idle connection."""
        return False

    def exchange(self, *request, may_send):
        """Simulate a process pause before the first byte is sent."""
        self.clock.advance(self.pause_ms)
        if not may_send():
            return Failure(NotSentError("too late"))
        self.n_sent += 1
        return Success(Response(200, (), b""))

    def test_a_request_is_sent_within_the_right(self):
        self.pause_ms = 799.0
        self.assertEqual(self.forward_handler.serve(REQUEST).unwrap().status, 200)
        self.assertEqual(self.n_sent, 1)

    def test_a_steward_paused_after_its_decision_sends_nothing(self):
        """A steward is paused between its decision to send and the sending.

        Sent after the right's end, its request could reach the server after those of
        the next term.
        """
        self.pause_ms = 800.0
        result = self.forward_handler.serve(REQUEST)
        self.assertIsInstance(result.failure(), NotSentError)
        self.assertEqual((self.n_sent, self.managed_server.gate.in_flight), (0, 0))

    def test_a_steward_without_a_right_reports_a_stale_route(self):
        """Guards against refusals that entries do not retry, as for a busy server.

        A steward whose right has lapsed, as it stood still, gets it back or has a
        successor within milliseconds.
        """
        self.clock.advance(800.0)
        response = self.forward_handler.serve(REQUEST).unwrap()
        self.assertEqual(response.status, 409)
        self.assertEqual(response.header("Tarragon-Outcome"), "not-run")
        self.assertEqual(self.n_sent, 0)

    def wait_for_slot(self, servers):
        """Let a request find the server full for 300 ms; return the status and time."""
        self.forward_handler.view = types.SimpleNamespace(
            servers_of=lambda team, service: servers,
            is_domain_in_service=lambda domain: domain == "a",
        )
        self.forward_handler._slot_freed = types.SimpleNamespace(
            wait=lambda s: self.clock.advance(s * 1000.0), set=lambda: None
        )
        began_ms = self.clock.now_ms()
        cold_start, free_ms = ColdStartState(1, 3), began_ms + 300.0
        self.managed_server.gate = Gate(cold_start, 800.0, free_ms, 800.0)
        response = self.forward_handler.serve(REQUEST).unwrap()
        return response.status, self.clock.now_ms() - began_ms

    def test_only_the_last_server_has_a_long_queue(self):
        """Guards against refusals after 100 ms that no other server can make good."""
        own = types.SimpleNamespace(name="s1", state="live", failure_domain="a")
        other = types.SimpleNamespace(name="s2", state="live", failure_domain="a")
        leaving = types.SimpleNamespace(name="s3", state="leaving", failure_domain="a")
        taken_out = types.SimpleNamespace(name="s4", state="live", failure_domain="b")
        alone = {"s1": own, "s3": leaving, "s4": taken_out}
        self.assertEqual(self.wait_for_slot({**alone, "s2": other}), (503, 100.0))
        self.assertEqual(self.wait_for_slot(alone), (200, 300.0))
