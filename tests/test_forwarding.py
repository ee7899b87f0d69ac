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
