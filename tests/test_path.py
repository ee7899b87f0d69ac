"""End-to-end requests through a site of real processes on loopback."""

import shutil
import unittest

import gevent

from demo.run import BACKENDS, CALLS, DAEMONS
from standins.checker import check_run
from standins.load import Load
from standins.site import Site
from tarragonramp.adapters.http import HttpPool


class PathTest(unittest.TestCase):
    """A site of three daemons in two failure domains and eight backend servers."""

    @classmethod
    def setUpClass(cls):
        cls.site = Site()
        cls.addClassCleanup(shutil.rmtree, cls.site.folder, ignore_errors=True)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start_platform()
        for spec in DAEMONS:
            cls.site.start_daemon(spec)
        for backend in BACKENDS:
            cls.site.start_backend(backend)
        cls.site.wait_ready([spec.name for spec in DAEMONS])
        for file in ("demo/fraser-valley.yaml", "demo/cooperative.yaml"):
            done = cls.site.command("apply", "--file", file, daemon="d1")
            assert done.returncode == 0, done.stderr
        for spec in DAEMONS:
            cls.site.wait_owned(spec.name)

    def send_request(self, daemon, method, target, headers=(), body=b""):
        """Send a request to a daemon; return the response."""
        pool = HttpPool(self.site.caller_address(daemon))
        return pool.exchange(method, target, headers, body, 5000).unwrap()

    def test_1_key_is_routed_to_one_owner_by_all_daemons(self):
        header = [("X-Grant-Record", "record-17")]
        servers = set()
        for spec in DAEMONS:
            response = self.send_request(
                spec.name, "POST", "/records", header, b"claim"
            )
            self.assertEqual(response.status, 200)
            servers.add(response.header("X-Server"))
        self.assertEqual(len(servers), 1)
        explained = self.site.operator(
            "d2", "explain/fraser-valley/records?key=record-17"
        )
        self.assertEqual({explained["owner"]}, servers)

    def test_2_each_server_is_reached_through_each_daemon(self):
        for spec in DAEMONS:
            responses = set()
            for i in range(60):
                header = [("X-Grant-Record", f"k{i}")]
                responses.add(self.send_request(spec.name, "GET", "/records", header))
                responses.add(self.send_request(spec.name, "GET", f"/jobs/k{i}"))
                responses.add(self.send_request(spec.name, "GET", "/claims"))
                responses.add(
                    self.send_request(spec.name, "GET", f"/catalogue/page/k{i}")
                )
            names = {response.header("X-Server") for response in responses}
            self.assertEqual(names, {backend.name for backend in BACKENDS})

    def test_3_refusals_have_the_expected_status(self):
        self.assertEqual(self.send_request("d1", "GET", "/nowhere").status, 404)
        self.assertEqual(self.send_request("d1", "GET", "/records").status, 400)
        body = b"x" * 1_100_000
        header = [("X-Grant-Record", "k")]
        response = self.send_request("d1", "POST", "/records", header, body)
        self.assertEqual(response.status, 413)
        self.assertEqual(response.header("Tarragon-Outcome"), "not-run")

    def test_4_killed_server_violates_no_invariant(self):
        """A backend server is killed while claims are in flight.

        Requests for its keys get the outcome "not run", or "unknown" for the few in
        flight at the server. After its grant has expired, other servers own its keys.
        """
        load = Load([self.site.caller_address(s.name) for s in DAEMONS], CALLS)
        gevent.spawn_later(1.0, self.site.kill, "records1")
        load.run(5.0)
        faults = check_run(self.site.executions(), load.outcomes)
        self.assertEqual({k: v for k, v in faults.items() if v}, {})
        last = [o for o in load.outcomes if o.began_ms > last_began_ms(load) - 1000.0]
        self.assertGreater(len(last), 100)
        self.assertEqual({o.result for o in last}, {"well"})


def last_began_ms(load):
    """Return the time when the last request began."""
    return max(outcome.began_ms for outcome in load.outcomes)
