"""Requests under which servers end, with real processes.

The servers' output tells which requests reached them, and under which they ended.
"""

import itertools
import json
import time
import unittest

import gevent

from standins.fleet_site import FleetSite, manifest

DAEMONS = dict(zip(("d1", "d2", "d3"), "aba", strict=True))
N_SERVERS = 6
KEYS = range(0, 65_536, 701)
KEY = 4_711
RESTART_S = 0.8
SENDING_S = 14.0
N_SENDERS, SEND_INTERVAL_S = 3, 0.7
N_CALLERS, CALL_INTERVAL_S = 12, 0.2

MAX_ENDS = 8
MAX_LATE_ARRIVALS = 2
"""Arrivals of the request later than ``KNOWN_MS`` after the third end under it."""
KNOWN_MS = 1000.0
BACK_S = 2.0
"""How long after killed servers are back a request that is sent often has to be served
again: the time of a cold start, and one second."""
MIN_SERVED, MIN_SERVED_OF_KEYS = 0.95, 0.8


class DeadlyRequestTestCase(unittest.TestCase):
    """Three daemons, six servers that are started again, and callers."""

    service = "desk"
    deadly_after_ms = 20

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        self.path = "/view/" if self.service == "desk" else "/parts/"
        self.names = [f"{self.service}{n}" for n in range(N_SERVERS)]
        if self.service == "desk":
            self.site.start_server("parts0", "parts", "a")
        else:
            self.site.start_server("desk0", "desk", "a")
        for name in self.names:
            self.start_server(name)
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        self.others, self.answers, self.n_restarted = [], [], 0
        self.tasks = [
            gevent.spawn(self.call_forever, number) for number in range(N_CALLERS)
        ]
        self.tasks += [gevent.spawn(self.restart_forever, n) for n in self.names]
        self.addCleanup(gevent.killall, self.tasks)
        gevent.sleep(4.0)

    def start_server(self, name):
        """Start a server that ends under requests for paths with ``deadly``."""
        domain = "ab"[int(name[-1]) % 2]
        options = ("--work-ms", "20", "--deadly-path", "deadly")
        options += ("--deadly-after-ms", str(self.deadly_after_ms))
        self.site.start_server(name, self.service, domain, *options)

    def restart_forever(self, name):
        """Start a server again some time after it has ended."""
        while True:
            gevent.sleep(0.02)
            if self.site.processes[name].poll() is not None:
                gevent.sleep(RESTART_S)
                self.start_server(name)
                self.n_restarted += 1

    def wait_restarted(self, count):
        """Wait until servers have been started again, and listen, so many times."""
        self.site.wait(lambda: self.n_restarted >= count, "servers are back")

    def call_forever(self, caller):
        """Send usual requests to all daemons in turn; keep their statuses."""
        daemons = itertools.cycle(DAEMONS)
        for number in itertools.count(caller * len(KEYS) // N_CALLERS):
            key = KEYS[number % len(KEYS)] if self.service == "parts" else None
            request_id = f"other-{caller}-{number}"
            path = f"{self.path}{number}"
            answer = self.site.call(next(daemons), path, request_id, key)
            self.others.append(answer.status if answer is not None else 0)
            gevent.sleep(CALL_INTERVAL_S)

    def send_from_all(self, path, method="GET"):
        """Have callers send one and the same request, each time to another daemon."""
        key = KEY if self.service == "parts" else None
        until_s = time.monotonic() + SENDING_S

        def send(caller):
            daemons = itertools.cycle((*DAEMONS, *DAEMONS))
            for _ in range(caller):
                next(daemons)
            for number in itertools.count():
                if time.monotonic() > until_s:
                    return
                request_id = f"same-{caller}-{number}"
                answer = self.site.call(next(daemons), path, request_id, key, method)
                self.answers.append(answer.status if answer is not None else 0)
                gevent.sleep(SEND_INTERVAL_S)

        self.others.clear()
        gevent.joinall([gevent.spawn(send, n) for n in range(N_SENDERS)])

    def entries(self, event):
        """Return the times of an event, in ms, for the request that is sent by all."""
        return sorted(
            entry[3]
            for name in self.names
            for line in self.site.log_text(name).splitlines()
            if line.startswith("[")
            and (entry := json.loads(line))[2] == event
            and entry[4].startswith("same-")
        )

    def check_contained(self, min_served):
        """Fail if servers went on ending, or if other callers suffered."""
        ends_ms, arrivals_ms = self.entries("ended-by"), self.entries("arrival")
        known_ms = ends_ms[2] + KNOWN_MS if len(ends_ms) > 2 else float("inf")
        n_late = sum(at_ms > known_ms for at_ms in arrivals_ms)
        served = self.others.count(200) / len(self.others)
        found = f"{len(ends_ms)} ended, {len(arrivals_ms)} arrivals, {n_late} late"
        found += f", others served {served:.3f}"
        self.assertLessEqual(len(ends_ms), MAX_ENDS, found)
        self.assertLessEqual(n_late, MAX_LATE_ARRIVALS, found)
        self.assertGreater(served, min_served, found)
        self.assertEqual({500} & {*self.answers, *self.others}, set())


class DeadlyRequestTest(DeadlyRequestTestCase):
    """A request to a shared service under which each server ends."""

    def test_a_request_under_which_servers_end_is_not_sent_to_all_of_them(self):
        """Guards against one request that callers repeat and that ends all servers."""
        self.send_from_all("/view/deadly")
        self.check_contained(MIN_SERVED)

    def test_an_unsafe_request_under_which_servers_end_is_not_sent_to_all(self):
        """Guards against the same request under new ids, which is not retried here."""
        self.send_from_all("/book/deadly", "POST")
        self.check_contained(MIN_SERVED)

    def test_a_frequent_request_is_served_while_its_servers_are_killed(self):
        """Guards against holding back a request that servers end under by chance."""

        def kill_in_turn():
            for name in itertools.cycle(self.names):
                gevent.sleep(0.6)
                if self.site.processes[name].poll() is None:
                    self.site.processes[name].kill()

        task = gevent.spawn(kill_in_turn)
        self.send_hot()
        task.kill()
        self.assertGreater(self.answers.count(200) / len(self.answers), 0.97)

    def test_a_frequent_request_is_served_once_killed_servers_are_back(self):
        """Guards against a request held back as all its servers ended with it."""

        def kill_all():
            for _ in range(2):
                gevent.sleep(2.0)
                for name in self.names:
                    if self.site.processes[name].poll() is None:
                        self.site.processes[name].kill()
                self.wait_restarted(self.n_restarted + len(self.names))
                gevent.sleep(BACK_S)
                self.answers.clear()
                gevent.sleep(1.0)
                shares.append(self.answers.count(200) / len(self.answers))

        shares = []
        sending = gevent.spawn(self.send_hot, 2 * SENDING_S)
        kill_all()
        sending.kill()
        self.assertGreater(min(shares), 0.95, shares)

    def send_hot(self, for_s=SENDING_S):
        """Have all callers send the same request often."""
        self.answers.clear()
        until_s = time.monotonic() + for_s

        def send(caller):
            daemons = itertools.cycle(DAEMONS)
            for number in itertools.count():
                if time.monotonic() > until_s:
                    return
                request_id = f"same-{caller}-{number}"
                answer = self.site.call(next(daemons), "/view/hot", request_id)
                self.answers.append(answer.status if answer is not None else 0)
                gevent.sleep(0.1)

        tasks = [gevent.spawn(send, n) for n in range(6)]
        self.addCleanup(gevent.killall, tasks)
        gevent.joinall(tasks)


class SlowlyDeadlyRequestTest(DeadlyRequestTestCase):
    """Servers end some time after they began to run the request."""

    deadly_after_ms = 400

    def test_a_request_under_which_servers_end_late_is_not_sent_to_all_of_them(self):
        """Guards against ends that are not told apart from a slow answer."""
        self.send_from_all("/view/deadly")
        self.check_contained(MIN_SERVED)


class DeadlyKeyRequestTest(DeadlyRequestTestCase):
    """A request of a divided service under which its owner ends."""

    service = "parts"

    def test_a_request_under_which_owners_end_is_not_sent_to_all_of_them(self):
        """Guards against one request that follows its key to each new owner."""
        self.send_from_all("/parts/deadly")
        self.check_contained(MIN_SERVED_OF_KEYS)
