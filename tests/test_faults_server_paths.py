"""Entry VMs that lose their paths to all backend servers, and nothing else."""

import collections
import signal
import time
import unittest

import gevent

from standins.fleet_site import HOST, FleetSite, manifest
from standins.proxy import Fault
from standins.site import free_address
from tarragonramp.adapters.http import HttpPool
from tarragonramp.manifest import N_KEYS

from .test_fleet_path import all_keys_served, leader_of

DAEMONS = {"d1": "a", "d2": "b", "d3": "a", "d4": "b"}
SERVERS = {
    f"{service}{i}": (service, "ab"[i % 2])
    for service in ("desk", "parts")
    for i in range(4)
}

CONTACT_S = 3.0
"""From this time after the cut on, callers of the VMs that are cut off have to be
served."""

MEASURED_S = 4.0
LONGER_THAN_A_HOLD_S = 9.0
CALLERS_PER_DAEMON = 3
PAUSE_S = 0.03
CALLER_TIMEOUT_MS = 1000
NOT_RUN_STATUSES = (408, 421, 429, 503)
CALLS = (("GET", "/view/"), ("POST", "/book/"), ("GET", "/parts/"))


class NoServerReachedTest(unittest.TestCase):
    """Guards against VMs that take callers and serve none while others could."""

    def setUp(self):
        self.site = FleetSite(proxy=free_address())
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        for name, (service, domain) in SERVERS.items():
            self.site.start_server(name, service, domain)
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        self.site.wait(lambda: all_keys_served(self.site), "all keys served")
        self.leader = leader_of(self.site)
        self.followers = [name for name in DAEMONS if name != self.leader]
        self.statuses = collections.defaultdict(list)
        self.by_request = {}

    def cut(self, daemons, *kinds):
        """Replace the faults between some daemons and all servers."""
        faults = [Fault(list(daemons), list(SERVERS), kind) for kind in kinds]
        self.site.set_faults(*faults)

    def call_all(self, for_s, daemons=tuple(DAEMONS)):
        """Send requests to daemons for some time, each once, and record them."""
        self.statuses.clear()
        until_s = time.monotonic() + for_s
        callers = [
            gevent.spawn(self._call_repeatedly, daemon, i, until_s)
            for daemon in daemons
            for i in range(CALLERS_PER_DAEMON)
        ]
        gevent.joinall(callers, raise_error=True)

    def _call_repeatedly(self, daemon, number, until_s):
        pool = HttpPool(self.site.daemons[daemon]["front"])
        while time.monotonic() < until_s:
            n = len(self.by_request)
            method, path = CALLS[n % len(CALLS)]
            request_id = f"{daemon}-{number}-{n}"
            self.by_request[request_id] = method, 0
            status = self._call(pool, method, path, request_id, n * 257 % N_KEYS)
            self.by_request[request_id] = method, status
            self.statuses[daemon].append(status)
            gevent.sleep(PAUSE_S)
        pool.close()

    def _call(self, pool, method, path, request_id, key):
        headers = [
            ("Host", HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(CALLER_TIMEOUT_MS)),
            ("Shard-Key", str(key)),
        ]
        body = b"claim" if method == "POST" else b""
        result = pool.exchange(method, path, headers, body, CALLER_TIMEOUT_MS)
        response = result.value_or(None)
        return response.status if response else 0

    def assert_served_alike(self, cut_off):
        """Fail if the daemons that are cut off serve fewer first tries than others."""
        served, sent = collections.Counter(), collections.Counter()
        for daemon, statuses in self.statuses.items():
            served[daemon in cut_off] += statuses.count(200)
            sent[daemon in cut_off] += len(statuses)
        found = f"cut off {served[True]}/{sent[True]}, others "
        found += f"{served[False]}/{sent[False]}, {dict(self._n_by_status())}"
        self.assertGreater(sent[True], 50, found)
        failed = sum(sent.values()) - sum(served.values())
        self.assertLessEqual(failed, 10 + sum(sent.values()) / 50, found)
        if sent[False]:
            others = served[False] / sent[False]
            self.assertGreaterEqual(served[True] / sent[True], 2 / 3 * others, found)

    def _n_by_status(self):
        return collections.Counter(
            status for statuses in self.statuses.values() for status in statuses
        )

    def assert_promises_kept(self):
        """Fail if a request ran twice, or ran although it was refused as not run."""
        runs = self.site.runs()
        broken = [
            (request_id, status, runs.get(request_id))
            for request_id, (method, status) in self.by_request.items()
            if method == "POST"
            and runs.get(request_id, 0) > (0 if status in NOT_RUN_STATUSES else 1)
        ]
        self.assertEqual(broken, [])

    def check_cut(self, cut_off, kind, for_s=MEASURED_S):
        """Cut daemons off, compare what callers get, and heal the cut."""
        self.cut(cut_off, kind)
        self.call_all(CONTACT_S)
        self.call_all(for_s)
        self.assert_served_alike(cut_off)
        self.assert_promises_kept()
        self.cut(())
        self.call_all(CONTACT_S)
        self.assert_promises_kept()

    def test_callers_are_served_while_connections_hang(self):
        self.check_cut(self.followers[:2], "cut")

    def test_callers_are_served_while_answers_are_lost(self):
        self.check_cut(self.followers[:2], "cut-answers")

    def test_callers_are_served_while_connections_are_reset(self):
        self.check_cut(self.followers[:2], "reset")

    def test_callers_are_served_while_new_connections_are_refused(self):
        self.check_cut(self.followers[:2], "refuse")

    def test_callers_are_served_while_a_failure_domain_is_cut_off(self):
        self.check_cut([n for n, domain in DAEMONS.items() if domain == "b"], "cut")

    def test_callers_are_served_while_a_daemon_that_serves_them_stops(self):
        """Guards against requests of other daemons that are lost in a drain."""
        cut_off, stopped = self.followers[0], self.followers[1]
        self.cut([cut_off], "cut")
        self.call_all(CONTACT_S)
        stopping = gevent.spawn_later(0.5, self.site.signal, stopped, signal.SIGTERM)
        self.call_all(MEASURED_S, [cut_off])
        stopping.get()
        self.assertEqual(dict(self._n_by_status()).keys(), {200})
        self.assert_promises_kept()

    def test_callers_are_served_while_the_leader_is_cut_off(self):
        """The servers' holds end meanwhile unless another daemon renews them."""
        self.check_cut([self.leader], "cut", LONGER_THAN_A_HOLD_S)


if __name__ == "__main__":
    unittest.main()
