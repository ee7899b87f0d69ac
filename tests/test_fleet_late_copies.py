"""Servers that send copies of their responses late, and what callers get.

Real processes. Callers send orders to a divided service, each once and over a
connection of its own; the servers' logs tell which of them have run.
"""

import collections
import itertools
import unittest

import gevent

from standins.fleet_site import FleetSite, manifest

SERVERS = {"parts0": "a", "parts1": "b", "parts2": "a"}
FAULTY = "parts0"
DAEMONS = {"d1": "a", "d2": "b"}
N_CALLERS, PLAY_S = 10, 8.0
KEY_STEP = 7919
NOT_RUN_STATUSES = (408, 421, 429, 503)
UNLIMITED = 1_000_000


class LateCopiesTest(unittest.TestCase):
    """Three servers, one of them faulty, and two daemons."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        spec = manifest(1, orders="parts")
        self.site.control_store(write=["config", "main", spec, None])
        self.site.start_server("desk0", "desk", "a")
        for name, domain in SERVERS.items():
            self.site.start_server(name, "parts", domain, "--work-ms", "20")
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        self.answers = {}

    def play(self, repeats=False, **faults):
        """Send orders while a server is faulty; fill ``answers`` by request id."""
        self.site.inject_server_faults(FAULTY, **faults)
        self.stopped = False
        names = sorted(DAEMONS)
        tasks = [
            gevent.spawn(self.send_orders, names[number % len(names)], number, repeats)
            for number in range(N_CALLERS)
        ]
        gevent.sleep(PLAY_S)
        self.stopped = True
        gevent.joinall(tasks, timeout=5.0, raise_error=True)
        self.runs = self.site.runs()
        self.statuses = collections.Counter(self.answers.values())
        self.assertGreater(len(self.runs), len(self.answers) / 2)

    def send_orders(self, daemon, caller, repeats):
        """Send one order after the other."""
        for number in itertools.count():
            if self.stopped:
                return
            request_id = f"order-{caller}-{number}"
            key = (caller * 5003 + number * KEY_STEP) % 65_536
            for _ in range(3 if repeats else 1):
                answer = self.site.call(
                    daemon, "/order/new", request_id, key, method="POST"
                )
                self.answers[request_id] = answer.status if answer else 0
                if self.answers[request_id] not in NOT_RUN_STATUSES:
                    break
                if not repeats:
                    gevent.sleep(float(answer.header("Retry-After", "0")))

    def check_promises(self):
        """Fail if an order ran twice, or was answered "not run" and ran."""
        self.assertEqual([i for i, n in self.runs.items() if n > 1], [])
        refused = [i for i, s in self.answers.items() if s in NOT_RUN_STATUSES]
        self.assertEqual([i for i in refused if i in self.runs], [])

    def n_copies(self):
        """Return how many copies the faulty server has sent."""
        log = self.site.server_log_entries(FAULTY)
        return sum(entry[0] == "copy" for entry in log)

    def test_copy_without_id_is_no_answer(self):
        """Guards against a copy that is believed because it names no request."""
        self.play(shed=UNLIMITED, copy_without_id=UNLIMITED, share=0.3)
        self.check_promises()
        self.assertGreater(self.n_copies(), 20)
        self.assertEqual(self.statuses[502] + self.statuses[504], 0, self.statuses)

    def test_copy_with_id_costs_no_answer(self):
        """Guards against an order that fails for each copy that is noticed."""
        self.play(shed=UNLIMITED, copy_responses=UNLIMITED, share=0.3)
        self.check_promises()
        self.assertGreater(self.n_copies(), 20)
        self.assertEqual(self.statuses[502] + self.statuses[504], 0, self.statuses)

    def test_status_without_statement_is_no_promise(self):
        """Guards against an order that ran and is answered with a server's 503."""
        self.play(unstated=UNLIMITED, share=0.2)
        self.check_promises()
        self.assertGreater(self.statuses[502], 20)

    def test_order_that_comes_back_under_its_id_runs_once(self):
        """Guards against the copy of an order's first refusal."""
        self.play(repeats=True, shed=UNLIMITED, copy_responses=UNLIMITED, share=0.5)
        self.check_promises()
        self.assertGreater(self.n_copies(), 20)


if __name__ == "__main__":
    unittest.main()
