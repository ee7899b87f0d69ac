"""Requests under which servers end, summed up over many daemons, without processes."""

import json
import random
import types
import unittest
from unittest import mock

import gevent
from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.directory import BackendServer
from tarragonramp.errors import NotSentError, RequestError, UnansweredError
from tarragonramp.fleet_view import FleetView
from tarragonramp.quarantine import FIRST_HOLD_MS, SECOND_HOLD_MS
from tarragonramp.roles.routed_request import RoutedRequest
from tarragonramp.roles.suspects import SuspectFinder

ROUTE = types.SimpleNamespace(idempotent=True, attempts=2)
MAX_ENDS = 4
"""Ends under a content until all daemons hold it back: the two that count, and those of
requests that were sent before the daemons knew."""


class Fleet:
    """Daemons whose messages are delivered at once, and servers that may end.

    Parameters
    ----------
    n_daemons : int
    clock : ManualClock
    rng : random.Random
    """

    def __init__(self, n_daemons, clock, rng):
        self.clock, self.rng = clock, rng
        self.cut_off, self.n_bytes, self.n_ends, self.lives = set(), 0, 0, {}
        self.is_deadly, self.listening = True, False
        pools = types.SimpleNamespace(at=lambda address: self)
        daemons = {f"d{n}": f"10.0.0.{n}:1" for n in range(n_daemons)}
        self.finders = {}
        for name in daemons:
            view = FleetView(clock)
            view.daemons = dict(daemons)
            finder = SuspectFinder(view, clock, pools, lambda: False, name)
            finder.peers = types.SimpleNamespace(tell_suspects=self.deliver)
            self.finders[name] = finder
        self.by_address = {daemons[name]: name for name in daemons}

    def connect_once(self, timeout_ms):
        """Stand for a connection to a server that may have ended."""
        if self.listening:
            return Success(None)
        return Failure(NotSentError("Connection refused"))

    def deliver(self, address, message, timeout_ms):
        """Deliver a message between daemons that are not cut off."""
        name = self.by_address[address]
        if {name, message["from"]} & self.cut_off:
            return Failure(UnansweredError("cut off"))
        text = json.dumps(message)
        answer = json.dumps(self.finders[name].handle(json.loads(text)))
        self.n_bytes += len(text) + len(answer)
        return Success(json.loads(answer))

    def request(self, path="/deadly"):
        """Return a new request with a content."""
        return RoutedRequest(
            f"id{self.rng.random()}",
            "GET",
            path,
            [],
            b"",
            ROUTE,
            "desk",
            None,
            self.clock.now_ms(),
            self.clock.now_ms() + 1500.0,
            lambda: True,
            self.clock,
        )

    def next_server(self):
        """Return a server; each life of it ends once."""
        name = f"s{self.rng.randrange(400)}"
        self.lives[name] = self.lives.get(name, 0) + 1
        return BackendServer(name, self.lives[name], "desk", "10.1.0.1:80", "a", 3)

    def send(self, daemon, path="/deadly"):
        """Send a request once or twice; return whether it was refused unsent."""
        request, finder = self.request(path), self.finders[daemon]
        for _ in range(ROUTE.attempts):
            try:
                finder.check(request)
            except RequestError as error:
                return error.status == 503
            server = self.next_server()
            if not self.is_deadly:
                finder.record_answer(request)
                return False
            self.n_ends += 1
            request.in_doubt = True
            finder.record_break(request, server).join()
        return False

    def settle(self):
        """Let the messages that are on their way arrive."""
        for _ in range(60):
            gevent.sleep(0)


class SuspectFinderTest(unittest.TestCase):
    """One content, sent to ever other daemons."""

    def setUp(self):
        self.clock = ManualClock(0.0)
        patch = mock.patch("tarragonramp.roles.suspects.log_event")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def fleet(self, n_daemons):
        """Return a fleet of daemons."""
        return Fleet(n_daemons, self.clock, random.Random(n_daemons))

    def test_ends_are_summed_up_over_all_daemons(self):
        """Guards against a request that ends two servers for each daemon."""
        for n_daemons in (1, 2, 9, 90, 195):
            fleet = self.fleet(n_daemons)
            for _ in range(300):
                fleet.send(fleet.rng.choice(list(fleet.finders)))
                fleet.settle()
            self.assertLessEqual(fleet.n_ends, 2, n_daemons)

    def test_requests_that_are_under_way_at_the_same_time(self):
        """Guards against repeats of each of them before the daemons know."""
        for n_daemons in (9, 90):
            fleet = self.fleet(n_daemons)
            tasks = [gevent.spawn(fleet.send, f"d{n}") for n in range(3)]
            gevent.joinall(tasks)
            fleet.settle()
            for daemon in fleet.finders:
                fleet.send(daemon)
            self.assertLessEqual(fleet.n_ends, 3 + MAX_ENDS, n_daemons)

    def test_unreachable_keepers_leave_each_daemon_its_own_count(self):
        """Guards against a daemon that waits for keepers, or forgets, while cut off."""
        fleet = self.fleet(9)
        mark = fleet.finders["d0"]
        fleet.send("d0", "/other")
        keepers = mark._keepers(next(iter(mark.quarantine.suspects)))
        fleet = self.fleet(9)
        fleet.cut_off = set(fleet.finders)
        for _ in range(10):
            for daemon in fleet.finders:
                fleet.send(daemon)
        self.assertEqual(len(keepers), 2)
        self.assertEqual(fleet.n_ends, 2 * 9)

    def test_one_request_is_let_through_by_all_daemons_together(self):
        """Guards against a trial of each daemon once the time is over."""
        fleet = self.fleet(90)
        fleet.send("d0")
        fleet.settle()
        second_ms = SECOND_HOLD_MS
        for hold_ms in (FIRST_HOLD_MS, second_ms, 2 * second_ms, 4 * second_ms):
            before = fleet.n_ends
            self.clock.advance(hold_ms + 100.0)
            for daemon in fleet.finders:
                fleet.send(daemon)
                fleet.settle()
            self.assertEqual(fleet.n_ends - before, 1, hold_ms)

    def test_an_answer_releases_the_content_at_all_daemons(self):
        """Guards against a request that stays held back once its servers are mended."""
        fleet = self.fleet(90)
        fleet.send("d0")
        fleet.settle()
        self.assertTrue(all(fleet.send(name) for name in fleet.finders))
        fleet.is_deadly = False
        self.clock.advance(FIRST_HOLD_MS + 100.0)
        fleet.send("d7")
        fleet.settle()
        self.assertFalse(any(fleet.send(name) for name in fleet.finders))

    def test_a_trial_that_is_refused_unsent_is_followed_by_another(self):
        """Guards against a wait after an outage of all servers of a service."""
        fleet = self.fleet(9)
        fleet.send("d0")
        fleet.settle()
        self.clock.advance(FIRST_HOLD_MS + 100.0)
        for daemon in fleet.finders:
            request = fleet.request()
            fleet.finders[daemon].check(request)
            self.assertTrue(request.is_trial)
            fleet.finders[daemon].end_trial(request)
            fleet.settle()

    def test_other_contents_are_not_held_back(self):
        """Guards against refusals of whatever was at the same servers once."""
        fleet = self.fleet(9)
        for number in range(50):
            finder, request = fleet.finders["d0"], fleet.request(f"/{number}")
            finder.record_break(request, fleet.next_server()).join()
            finder.check(fleet.request(f"/{number}"))

    def test_a_broken_connection_alone_is_no_end(self):
        """Guards against blame for resets of full servers and answers that are cut."""
        fleet = self.fleet(2)
        fleet.listening = True
        for _ in range(20):
            self.assertFalse(fleet.send("d0"))
        finder = fleet.finders["d0"]
        self.assertEqual((finder.n_ended, finder.quarantine.suspects), (0, {}))

    def test_a_server_that_was_restarted_at_once_has_ended(self):
        """Guards against a process that listens again before it is looked at."""
        fleet = self.fleet(2)
        fleet.listening = True
        finder = fleet.finders["d0"]
        for life in (1, 2):
            server = BackendServer("s1", life, "desk", "10.1.0.1:80", "a", 3)
            finder.record_break(fleet.request(), server).join()
            other = BackendServer("s1", life + 1, "desk", "10.1.0.1:80", "a", 3)
            finder.view.directory.upsert(other)
            finder.examine_unsure()
        with self.assertRaises(RequestError):
            finder.check(fleet.request())

    def test_nothing_is_told_while_this_daemon_reaches_no_server(self):
        """Guards against blame for paths that are cut with resets."""
        fleet = self.fleet(2)
        finder = fleet.finders["d0"]
        finder.confirm_cut_off = lambda: True
        for _ in range(4):
            fleet.send("d0")
        self.assertEqual(finder.quarantine.suspects, {})

    def test_the_lines_tell_what_led_to_a_hold(self):
        """Guards against refusals that nobody can explain afterwards."""
        fleet = self.fleet(3)
        fleet.send("d0")
        fleet.settle()
        events = [call.args[0] for call in self.log.call_args_list]
        self.assertEqual(events.count("server-ended"), 2)
        self.assertEqual(events.count("request-suspected"), 2)
        self.assertEqual(events.count("request-held"), 3)

    def test_messages_that_are_not_understood_are_refused(self):
        finder = self.fleet(2).finders["d0"]
        for message in ({}, {"kind": "end", "content": "m", "from": "d1", "ends": 3}):
            with self.assertRaises((KeyError, TypeError, ValueError)):
                finder.handle(message)
