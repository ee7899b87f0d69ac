"""Stops of daemons on the users' platform under load, with calls that are refused."""

import signal
import unittest

import gevent

from standins.fleet_site import FleetSite, manifest
from standins.stop_load import StopLoad

WORK_MS = 400
GRACE_S = 6.0
LOAD_MS = 4200.0


class StopTestCase(unittest.TestCase):
    """A store and servers that work long enough to have requests in hand at a stop."""

    work_ms = WORK_MS

    @classmethod
    def setUpClass(cls):
        cls.site = FleetSite()
        cls.addClassCleanup(cls.site.close)
        cls.site.start_store()
        cls.site.control_store(write=["config", "main", manifest(1), None])
        options = ("--slots", "64", "--work-ms", str(cls.work_ms))
        for i in range(3):
            cls.site.start_server(f"desk{i}", "desk", "ab"[i % 2], *options)
        cls.site.start_server("parts0", "parts", "a")

    def start(self, name, refusals=""):
        """Start a daemon and wait until it takes callers; return their load."""
        self.site.start_daemon(name, "a", refusals=refusals)
        self.addCleanup(self.end, name)
        self.site.wait_ready(name)
        return StopLoad(self.site.daemons[name]["front"])

    def end(self, name):
        """Kill a daemon that is still running."""
        if self.site.processes[name].poll() is None:
            self.site.kill(name)

    def stop(self, name):
        """Send SIGTERM and wait for the exit within the grace period; return its code.

        Waiting is cooperative, as the callers run in this process.
        """
        self.site.signal(name, signal.SIGTERM)
        with gevent.Timeout(GRACE_S):
            while self.site.processes[name].poll() is None:
                gevent.sleep(0.02)
        return self.site.processes[name].returncode

    def assert_answered(self, name, load, least):
        """Assert that each request that ran has a whole response, of at least some."""
        load.wait()
        runs = self.site.runs()
        lost = load.lost(runs)
        log = self.site.log_text(name)[-3000:] if lost else ""
        self.assertEqual(lost, [], log)
        answered = [a for a in load.attempts if a.status]
        self.assertGreaterEqual(len(answered), least)

    def stop_under_new_connections(self, name, refusals, gap_ms=40.0):
        """Stop a daemon whose callers open a connection each; return the exit code."""
        load = self.start(name, refusals)
        load.start_new_connections(gap_ms, LOAD_MS)
        gevent.sleep(0.2)
        code = self.stop(name)
        self.assert_answered(name, load, 50)
        self.assertIn("requests_cut=0", self.site.log_text(name))
        return code


class RefusedCallTest(StopTestCase):
    """The kernel refuses calls that a stop makes or that its connections need."""

    def test_stop_without_a_listener_filter_answers_requests_in_hand(self):
        """Guards against a refused socket filter that ends the process in its drain."""
        self.assertEqual(self.stop_under_new_connections("f1", "filter"), 0)

    def test_stop_with_refused_accepts_answers_requests_in_hand(self):
        """Guards against a refused accept that ends the process in its drain."""
        self.assertEqual(self.stop_under_new_connections("f2", "accept-empty"), 0)

    def test_stop_with_some_refused_accepts_answers_requests_in_hand(self):
        """Guards against the same if only some accepts are refused."""
        self.assertEqual(self.stop_under_new_connections("f3", "accept=5"), 0)

    def test_stop_with_refused_closes_answers_requests_in_hand(self):
        """Guards against a listener or receiving side that cannot be closed."""
        refusals = "close-listener,receive-shutdown"
        self.assertEqual(self.stop_under_new_connections("f4", refusals), 0)

    def test_stop_without_a_listener_filter_answers_on_kept_connections(self):
        """Guards against the same end of the process for callers that keep theirs."""
        load = self.start("f5", "filter")
        load.start_kept_connections(16, 100.0, LOAD_MS)
        gevent.sleep(0.5)
        self.assertEqual(self.stop("f5"), 0)
        self.assert_answered("f5", load, 50)

    def test_connections_are_served_without_options_that_only_help(self):
        """Guards against a refused TCP_NODELAY or keep-alive that ends connections."""
        refusals = "TCP_NODELAY,SO_KEEPALIVE,TCP_KEEPIDLE,TCP_KEEPCNT,memory"
        self.assertEqual(self.stop_under_new_connections("f6", refusals), 0)
        self.assertIn("event=optional-step-failed", self.site.log_text("f6"))

    def test_daemon_without_bounded_retransmission_names_the_reason_and_ends(self):
        """Guards against a daemon that never becomes ready and does not say why."""
        self.site.start_daemon("f7", "a", refusals="TCP_USER_TIMEOUT")
        self.addCleanup(self.end, "f7")
        self.site.wait(lambda: self.site.processes["f7"].poll() is not None, "exit")
        self.assertEqual(self.site.processes["f7"].returncode, 1)
        found = [x for x in self.site.log_text("f7").splitlines() if "not-started" in x]
        self.assertIn("TCP_USER_TIMEOUT", "".join(found))


class FailedMainTest(StopTestCase):
    """An error ends what the main greenlet of a daemon does."""

    def test_error_in_the_main_greenlet_drains(self):
        """Guards against an error anywhere that ends the process with its requests."""
        load = self.start("m1", "system-error")
        load.start_new_connections(40.0, LOAD_MS)
        gevent.sleep(0.3)
        self.site.signal("m1", signal.SIGUSR2)
        with gevent.Timeout(GRACE_S):
            while self.site.processes["m1"].poll() is None:
                gevent.sleep(0.02)
        self.assertEqual(self.site.processes["m1"].returncode, 1)
        self.assert_answered("m1", load, 50)
        self.assertIn("requests_cut=0", self.site.log_text("m1"))

    def test_error_in_the_main_greenlet_of_a_stopping_daemon_cuts_no_request(self):
        """Guards against an error that ends a drain."""
        load = self.start("m2", "system-error")
        load.start_new_connections(40.0, LOAD_MS)
        gevent.sleep(0.2)
        self.site.signal("m2", signal.SIGTERM)
        gevent.sleep(2.4)
        self.site.signal("m2", signal.SIGUSR2)
        with gevent.Timeout(GRACE_S):
            while self.site.processes["m2"].poll() is None:
                gevent.sleep(0.02)
        self.assert_answered("m2", load, 50)
        self.assertIn("requests_cut=0", self.site.log_text("m2"))


class PipelinedStopTest(StopTestCase):
    """Callers send a request behind another one on their connection."""

    def test_stop_passes_no_request_on_behind_the_last_response(self):
        """Guards against a request that is passed on after "Connection: close"."""
        load = self.start("p1")
        load.start_pipelined(6)
        gevent.sleep(0.2)
        self.assertEqual(self.stop("p1"), 0)
        self.assert_answered("p1", load, 6)


if __name__ == "__main__":
    unittest.main()
