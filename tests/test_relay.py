"""Renewals through a daemon in the server's failure domain."""

import json
import types
import unittest
import zlib

import gevent
from returns.result import Failure, Success

from standins.site import free_address
from tarragonramp import ManualClock
from tarragonramp.adapters.fleet_peers import RELAY_PATH, PeerApplication
from tarragonramp.adapters.serving import DaemonServer
from tarragonramp.directory import BackendServer
from tarragonramp.errors import (
    NoConnectionError,
    NotSentError,
    OvertakenGrantError,
    UnansweredError,
    WrongServerError,
)
from tarragonramp.fleet_view import FleetView
from tarragonramp.ranges import KeyRange
from tarragonramp.roles.leadership import ClockReading
from tarragonramp.roles.relay import (
    EXCLUSION_MS,
    MAX_MESSAGE_AGE_MS,
    SEND_WINDOW_MS,
    Relay,
    RelayPool,
)

MESSAGE = {
    "server": "s1",
    "address": "s1:80",
    "hold_ms": 7000.0,
    "life": 3,
    "clock_ms": 900.0,
    "new_token_until_ms": 2000.0,
    "ranges": [[0, 9, 1, False], [10, 19, 1, False], [20, 29, 5, True]],
}
ITEMS = [KeyRange(0, 9, "s1", 1, 1), KeyRange(10, 19, "s1", 1, 1)]


class RelayTest(unittest.TestCase):
    """A relay, and a server whose responses a test defines."""

    def setUp(self):
        self.clock, self.sent, self.lost = ManualClock(1000.0), [], False
        self.answers, self.took_ms, self.bounds = {}, 0.0, []
        self.relay = Relay(self, self.clock)

    def has_closed_connection(self, server, address):
        """Return whether the kept connection was closed."""
        return self.lost

    def grant(self, server, address, first, last, token, hold_ms, *rest, **bounds):
        """Record a grant."""
        self.sent.append((server, first, last, token, hold_ms))
        self.bounds.append(bounds)
        self.clock.advance(self.took_ms)
        return self.answers.get(first, Success(None))

    def statuses(self):
        """Return the relay's status for each renewal."""
        return self.relay.send(MESSAGE)["results"]

    def test_renewals_are_sent_as_requested(self):
        self.assertEqual(self.statuses(), ["done"] * 3)
        self.assertEqual(self.sent[2], ("s1", 20, 29, 5, 7000.0))
        self.assertEqual(self.bounds[1], {"life": 3, "reuse_only": True})
        may_send = self.bounds[2].pop("may_send")
        self.assertEqual(self.bounds[2], {"life": 3, "reuse_only": False})
        self.clock.advance(999.0)
        self.assertTrue(may_send())
        self.clock.advance(1.0)
        self.assertFalse(may_send())

    def test_relay_that_reaches_no_server_says_so_at_once(self):
        """Guards against renewals in doubt, one time-out each, at a relay cut off."""
        self.relay.monitor.record_check(False, 0.0)
        self.assertEqual(self.statuses(), ["not sent"])
        self.assertEqual(self.sent, [])

    def test_new_tokens_of_older_message_open_no_connection(self):
        """Guards against a token that the next leader has raised meanwhile."""
        self.relay.send({**MESSAGE, "new_token_until_ms": 1000.0})
        self.assertEqual([b["reuse_only"] for b in self.bounds], [True] * 3)

    def test_relay_stops_after_pause(self):
        """The relay is paused between two grants; ranges may have moved meanwhile."""
        self.took_ms = SEND_WINDOW_MS + 1.0
        self.assertEqual(self.statuses(), ["done"])
        self.assertEqual(len(self.sent), 1)

    def test_outdated_message_is_rejected(self):
        """A relay may resume while cut off from the leader, with an unread message."""
        for clock_ms in (1000.0 - MAX_MESSAGE_AGE_MS, 1000.5, None):
            answer = self.relay.send({**MESSAGE, "clock_ms": clock_ms})
            self.assertEqual(answer, {"clock_ms": 1000.0})
        self.assertEqual(self.sent, [])
        nearly_outdated = {**MESSAGE, "clock_ms": 1100.0 - MAX_MESSAGE_AGE_MS}
        self.took_ms = 101.0
        self.assertEqual(self.relay.send(nearly_outdated)["results"], ["done"])

    def test_relay_stops_at_unresponsive_server(self):
        self.answers = {
            0: Failure(OvertakenGrantError("higher token")),
            10: Failure(UnansweredError("no answer")),
        }
        self.assertEqual(self.statuses(), ["overtaken", "silent"])

    def test_abandoned_message_is_not_sent(self):
        """A relay may resume with an old unread message."""
        self.assertEqual(self.relay.send(MESSAGE, lambda: False)["results"], [])
        self.assertEqual(self.sent, [])

    def test_leader_disconnects_before_message_is_read(self):
        """A relay may resume with an old unread message."""
        application = PeerApplication(None, None, self.relay, None, None)
        server = DaemonServer(free_address(), application, self.clock)
        server.start()
        self.addCleanup(server.close)
        packed = zlib.compress(json.dumps(MESSAGE).encode())
        head = f"POST {RELAY_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(packed)}"
        for disconnects, n_sent in ((True, 0), (False, 3)):
            leader = gevent.socket.create_connection(server.address)
            leader.sendall(head.encode() + b"\r\n\r\n" + packed)
            if disconnects:
                leader.close()
            gevent.sleep(0.2)
            self.assertEqual(len(self.sent), n_sent)
            leader.close()

    def test_missing_connection_does_not_stop_other_renewals(self):
        """Otherwise one new range would cost a server all its keys in an outage."""
        self.answers = {0: Failure(NoConnectionError("none is open"))}
        self.assertEqual(self.statuses(), ["no connection", "done", "done"])

    def test_address_of_another_server(self):
        self.answers = {0: Failure(WrongServerError("another one"))}
        self.assertEqual(self.statuses(), ["wrong server"])

    def test_closed_connection_is_left_to_leader(self):
        """The server may have restarted and must not get the old token."""
        self.lost = True
        self.assertEqual(self.statuses(), ["not sent"])
        self.assertEqual(self.sent, [])


class RelayPoolTest(unittest.TestCase):
    """The leader's side."""

    def setUp(self):
        self.clock = ManualClock(1000.0)
        view = FleetView(self.clock)
        for name, domain in (("s1", "b"), ("s2", "a")):
            view.directory.upsert(BackendServer(name, 1, "x", "s:80", domain, 3))
        daemons = {"b": ["d2:1", "d3:1"]}
        self.leadership = types.SimpleNamespace(
            daemons_in=lambda d: daemons.get(d, []),
            clock_reading_of=lambda relay: self.reading,
            record_clock_reading=self.record_clock_reading,
            sole_until_ms=2500.0,
        )
        self.reading = ClockReading(500.0, 900.0)
        self.answer, self.messages = Success({"results": ["done", "done"]}), []
        peers = types.SimpleNamespace(relay=self.relay_message)
        self.relays = RelayPool(view, self.leadership, peers, self.clock)

    def record_clock_reading(self, relay, clock_ms):
        """Record a reading that a relay has responded with."""
        self.reading = ClockReading(clock_ms, self.clock.now_ms())

    def relay_message(self, relay, message, timeout_ms):
        """Respond as a relay whose clock shows 9000 ms."""
        self.messages.append(message)
        if message["clock_ms"] in (500.0, 9000.0):
            return self.answer
        return Success({"clock_ms": 9000.0})

    def send(self):
        """Renew two ranges; return the error type of each, or None for success."""
        relay = self.relays.pick("s1")
        are_new_tokens = [True, False]
        results = self.relays.send(relay, "s1", "s1:80", ITEMS, 7000.0, are_new_tokens)
        return [r.swap().map(type).value_or(None) for r in results]

    def test_relay_only_for_other_failure_domains(self):
        self.assertIn(self.relays.pick("s1"), ("d2:1", "d3:1"))
        self.assertEqual(self.relays.pick("s2"), "")
        self.assertEqual(self.relays.pick("unknown"), "")

    def test_server_responses_are_returned(self):
        self.assertEqual(self.send(), [None, None])
        ranges = self.messages[0]["ranges"]
        self.assertEqual(ranges, [[0, 9, 1, True], [10, 19, 1, False]])
        self.answer = Success({"results": ["overtaken", "silent"]})
        self.assertEqual(self.send(), [OvertakenGrantError, UnansweredError])

    def test_unsent_renewals_are_not_in_doubt(self):
        self.answer = Success({"results": ["done"]})
        self.assertEqual(self.send(), [None, NotSentError])
        self.answer = Failure(NotSentError("refused"))
        self.assertEqual(self.send(), [NotSentError, NotSentError])

    def test_message_is_resent_with_newer_clock_reading(self):
        """Otherwise no daemon renews keys while a reading is missing or old."""
        for known in (None, ClockReading(None, 900.0), ClockReading(100.0, 900.0)):
            self.messages.clear()
            self.reading = known
            self.assertEqual(self.send(), [None, None])
            sent = [message["clock_ms"] for message in self.messages]
            self.assertEqual(sent, [known and known.clock_ms, 9000.0])

    def test_new_tokens_end_with_the_lease_on_the_relays_clock(self):
        """Guards against a token that the next leader has raised meanwhile."""
        self.send()
        self.assertEqual(self.messages[0]["new_token_until_ms"], 2100.0)
        self.reading = ClockReading(100.0, 900.0)
        self.send()
        until_ms = [message["new_token_until_ms"] for message in self.messages[1:]]
        self.assertEqual(until_ms, [1700.0, 10_500.0])
        self.leadership.sole_until_ms = float("-inf")
        self.send()
        self.assertEqual(self.messages[-1]["new_token_until_ms"], 0.0)
        self.reading = None
        self.send()
        self.assertEqual(self.messages[-2]["new_token_until_ms"], 0.0)

    def test_relay_that_rejects_all_clock_readings_sent_nothing(self):
        self.answer = Success({"clock_ms": 9000.0})
        self.assertEqual(self.send(), [NotSentError, NotSentError])
        self.assertEqual(len(self.messages), 2)

    def test_relay_without_connection_sent_nothing(self):
        self.answer = Success({"results": ["no connection"]})
        self.assertEqual(self.send(), [NoConnectionError, NoConnectionError])

    def test_renewals_after_unanswered_one_are_not_unconnected(self):
        """A renewal that was not sent must not count as one without a connection."""
        self.answer = Success({"results": ["no connection"]})
        self.assertEqual(self.send(), [NoConnectionError] * 2)
        self.answer = Success({"results": ["silent"]})
        self.assertEqual(self.send(), [UnansweredError, NotSentError])
        three = [*ITEMS, KeyRange(20, 29, "s1", 1, 1)]
        self.answer = Success({"results": ["no connection", "silent"]})
        results = self.relays.send("d2:1", "s1", "s1:80", three, 7000.0, [False] * 3)
        kinds = [type(result.failure()) for result in results]
        self.assertEqual(kinds, [NoConnectionError, UnansweredError, NotSentError])

    def test_unanswered_message_leaves_all_in_doubt(self):
        self.answer = Failure(UnansweredError("no answer"))
        self.assertEqual(self.send(), [UnansweredError, UnansweredError])

    def test_failed_relay_is_excluded_for_some_time(self):
        first = self.relays.pick("s1")
        self.answer = Failure(UnansweredError("no answer"))
        self.send()
        self.assertNotEqual(self.relays.pick("s1"), first)
        self.send()
        self.assertEqual(self.relays.pick("s1"), "")
        self.clock.advance(EXCLUSION_MS + 1.0)
        self.assertEqual(self.relays.pick("s1"), first)


if __name__ == "__main__":
    unittest.main()
