"""Requests that a daemon takes from another one, over HTTP."""

import types
import unittest

import attrs
import gevent

from standins.site import free_address
from tarragonramp.adapters.fleet_peers import (
    DELEGATED_PREFIX,
    FleetPeers,
    PeerApplication,
)
from tarragonramp.adapters.http import Response
from tarragonramp.adapters.serving import DaemonServer
from tarragonramp.adapters.web import (
    HEADERS_KEY,
    TARGET_KEY,
    caller_disconnected,
    read_body,
)
from tarragonramp.clock import Clock
from tarragonramp.delegation import DELEGATION_HEADER, Delegation, Report
from tarragonramp.directory import BackendServer
from tarragonramp.errors import AbandonedError, RequestError
from tarragonramp.fleet_view import FleetView
from tarragonramp.manifest import Manifest, RouteTable
from tarragonramp.meters import NOT_RUN, UNKNOWN
from tarragonramp.roles.delegate import DelegateApplication
from tarragonramp.server_paths import PathMonitor

DELEGATION = Delegation(40.0, "desk", 3, ["s1"], True)


class DelegateTest(unittest.TestCase):
    """A daemon's peer port, in front of a router that a test scripts."""

    def setUp(self):
        self.clock, self.monitor = Clock(), PathMonitor()
        self.view = FleetView(self.clock)
        self.view.update_routes(RouteTable(Manifest(3)))
        self.seen, self.error, self.blocks = [], None, False
        self.response = Response(200, (("Upstream-Stamp", "m"),), b"whole")
        self.delegate = DelegateApplication(
            self, self.view, self.clock, DELEGATED_PREFIX
        )
        self.delegate.is_open = True
        application = PeerApplication(None, None, None, None, self.delegate)
        address = free_address()
        server = DaemonServer(address, application, self.clock)
        server.start()
        self.addCleanup(server.close)
        self.address = address
        self.peers = FleetPeers(self.view, "d1")

    def serve_delegated(self, environ, delegation):
        """Stand in for the router, as this test case does with its monitor."""
        body = read_body(environ, 1000, 1000.0)
        self.seen.append(
            types.SimpleNamespace(
                delegation=delegation,
                target=environ[TARGET_KEY],
                path=environ["PATH_INFO"],
                headers=dict(environ[HEADERS_KEY]),
                body=body,
            )
        )
        while self.blocks:
            if caller_disconnected(environ):
                self.seen.append("gone")
                raise RequestError(499, UNKNOWN, "caller has gone")
            gevent.sleep(0.01)
        if self.error is not None:
            raise self.error
        return self.response

    def hand_over(self, method="GET", target="/a/b%2f?c=1", body=b"", **options):
        """Return the result of handing a request to the daemon."""
        headers = options.get("headers", [("host", "h"), ("request-id", "r1")])
        delegation = options.get("delegation", DELEGATION)
        return self.peers.delegate(
            self.address,
            method,
            target,
            [*headers, delegation.to_header()],
            body,
            1000.0,
            options.get("is_wanted", lambda: True),
        )

    def report_of(self, response):
        """Return the Report in a response."""
        return Report.from_header(response.header(DELEGATION_HEADER))

    def test_the_request_is_served_as_the_caller_sent_it(self):
        response = self.hand_over("POST", body=b"claim").unwrap()
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.header("Upstream-Stamp"), "m")
        self.assertEqual(self.report_of(response), Report("served", 3))
        (seen,) = self.seen
        self.assertEqual((seen.target, seen.path), ("/a/b%2f?c=1", "/a/b/"))
        self.assertEqual(seen.body, b"claim")
        self.assertEqual(seen.headers["request-id"], "r1")
        self.assertEqual(seen.delegation, DELEGATION)

    def test_a_report_names_the_servers_that_leave(self):
        """Guards against requests to a server that told only this daemon."""
        self.view.directory.upsert(BackendServer("s1", 7, "desk", "s1:80", "a", 3))
        self.view.directory.mark_leaving("s1", 7)
        report = self.report_of(self.hand_over().unwrap())
        self.assertEqual(report, Report("served", 3, leaving=(("s1", 7),)))

    def test_a_server_can_not_forge_a_report(self):
        forged = Report("declined", 3).to_header()
        self.response = attrs.evolve(self.response, headers=(forged,))
        response = self.hand_over().unwrap()
        names = [name.lower() for name, _ in response.headers]
        self.assertEqual(names.count(DELEGATION_HEADER), 1)
        self.assertEqual(self.report_of(response).result, "served")

    def test_a_response_without_a_body_is_complete(self):
        for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304)):
            headers = (("Content-Length", "5"),) if method == "HEAD" else ()
            self.response = Response(status, headers, b"")
            self.assertEqual(self.hand_over(method).unwrap().status, status)

    def test_refusals_name_their_outcome(self):
        self.error = RequestError(503, NOT_RUN, "servers are busy", 0.25)
        response = self.hand_over().unwrap()
        expected = Report("refused", 3, NOT_RUN, "servers are busy", 0.25)
        self.assertEqual((response.status, self.report_of(response)), (503, expected))
        self.error = RequestError(502, UNKNOWN, "no whole answer from the server")
        self.assertEqual(self.report_of(self.hand_over().unwrap()).outcome, UNKNOWN)

    def test_requests_are_declined_while_no_server_is_reached(self):
        self.monitor.record_check(False, 0.0)
        response = self.hand_over().unwrap()
        self.assertEqual(self.report_of(response).result, "declined")
        self.assertEqual(self.seen, [])

    def test_a_cut_found_while_serving_declines_only_what_did_not_run(self):
        """Guards against a request that another daemon runs once more."""
        for outcome, result in ((NOT_RUN, "declined"), (UNKNOWN, "refused")):
            self.monitor.cut_off_since_ms = None
            self.error = RequestError(503, outcome, "server not reached")
            found = gevent.spawn(self.hand_over)
            self.blocks = True
            gevent.sleep(0.05)
            self.monitor.record_check(False, 0.0)
            self.blocks = False
            self.assertEqual(self.report_of(found.get().unwrap()).result, result)

    def test_requests_are_declined_until_the_daemon_is_ready_and_while_it_drains(self):
        self.delegate.is_open = False
        response = self.hand_over().unwrap()
        self.assertEqual(self.report_of(response).result, "declined")
        self.assertEqual(self.seen, [])

    def test_a_stop_while_serving_declines_only_what_did_not_run(self):
        """Guards against a refusal of what another daemon has the time to serve."""
        for outcome, result in ((NOT_RUN, "declined"), (UNKNOWN, "refused")):
            self.delegate.is_open = True
            self.error = RequestError(503, outcome, "daemon is stopping")
            found = gevent.spawn(self.hand_over)
            self.blocks = True
            gevent.sleep(0.05)
            self.delegate.is_open = False
            self.blocks = False
            self.assertEqual(self.report_of(found.get().unwrap()).result, result)

    def test_requests_in_progress_are_counted_for_the_drain(self):
        self.blocks = True
        task = gevent.spawn(self.hand_over)
        gevent.sleep(0.05)
        self.assertEqual(self.delegate.in_progress, 1)
        self.blocks = False
        task.join()
        self.assertEqual(self.delegate.in_progress, 0)

    def test_request_that_fails_is_not_in_progress(self):
        """Guards against a drain that waits for a request that has ended."""
        self.error = ZeroDivisionError()
        self.assertEqual(self.hand_over().unwrap().status, 500)
        self.assertEqual(self.delegate.in_progress, 0)

    def test_response_being_written_is_in_progress(self):
        """Guards against a process that ends within a response to another daemon."""
        self.response = Response(200, (("Upstream-Stamp", "m"),), b"x" * (8 << 20))
        host, port = self.address.split(":")
        reader = gevent.socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(reader.close)
        head = f"GET {DELEGATED_PREFIX}/a HTTP/1.1\r\nHost: h\r\n"
        name, value = DELEGATION.to_header()
        reader.sendall(f"{head}{name}: {value}\r\n\r\n".encode())
        gevent.sleep(0.1)
        self.assertEqual(self.delegate.in_progress, 1)
        n_received = 0
        while self.delegate.in_progress:
            n_received += len(reader.recv(1 << 20))
        self.assertGreater(n_received, 4 << 20)

    def test_an_older_manifest_is_waited_for_or_the_request_declined(self):
        """Guards against callers' routes that go back to an older manifest."""
        newer = attrs.evolve(DELEGATION, manifest_version=5)
        response = self.hand_over(delegation=newer).unwrap()
        self.assertEqual(self.report_of(response).reason, "manifest is older")
        update = lambda: self.view.update_routes(RouteTable(Manifest(5)))
        gevent.spawn_later(0.05, update)
        response = self.hand_over(delegation=newer).unwrap()
        self.assertEqual(self.report_of(response), Report("served", 5))

    def test_a_caller_that_has_gone_ends_the_work(self):
        self.blocks, wanted = True, [True]
        task = gevent.spawn(self.hand_over, is_wanted=lambda: wanted[0])
        gevent.sleep(0.05)
        wanted[0] = False
        self.assertIsInstance(task.get().failure(), AbandonedError)
        gevent.sleep(0.05)
        self.assertEqual(self.seen[-1], "gone")

    def test_a_malformed_delegation_is_refused(self):
        response = self.peers.delegate(
            self.address,
            "GET",
            "/a",
            [("host", "h"), (DELEGATION_HEADER, "{")],
            b"",
            1000.0,
            lambda: True,
        ).unwrap()
        self.assertEqual(response.status, 400)
        self.assertEqual(self.seen, [])


if __name__ == "__main__":
    unittest.main()
