"""Stops of daemons on the users' platform under load, with calls that are refused."""

import collections
import signal
import unittest
from unittest import mock

import gevent

from standins.fleet_site import FleetSite, manifest
from standins.proxy import Fault
from standins.site import free_address
from standins.stop_load import StopLoad
from tarragonramp.adapters.fleet_peers import DELEGATED_PREFIX
from tarragonramp.adapters.http import HttpPool
from tarragonramp.adapters.serving import DrainResult, RequestInProgress
from tarragonramp.clock import Clock
from tarragonramp.fleet import FleetDaemon

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
        refusals = "TCP_NODELAY,SO_KEEPALIVE,TCP_KEEPIDLE,TCP_KEEPCNT,SO_REUSEADDR"
        self.assertEqual(self.stop_under_new_connections("f6", refusals), 0)
        self.assertIn("event=optional-step-failed", self.site.log_text("f6"))

    def test_metrics_are_served_without_the_memory_figure(self):
        """Guards against one figure that cannot be read and takes all others along."""
        self.start("f9", "memory")
        pool = HttpPool(self.site.daemons["f9"]["control"])
        page = pool.exchange("GET", "/metrics", (), b"", 3000).unwrap()
        self.assertIn(b"store_calls", page.body)
        self.assertNotIn(b"memory_resident", page.body)

    def test_daemon_runs_without_listening_at_its_metrics_address(self):
        """Guards against a scraper's address without which no caller is served."""
        settings = 'ip = "127.0.0.79"'
        self.site.start_daemon("g1", "a", settings, refusals="listen=3")
        self.addCleanup(self.end, "g1")
        self.site.wait_ready("g1")
        self.assertIn("step=metrics-listen", self.site.log_text("g1"))

    def test_daemon_that_cannot_listen_names_the_address_and_ends(self):
        """Guards against a start that ends with a traceback alone."""
        self.site.start_daemon("g2", "a", refusals="listen=2")
        self.addCleanup(self.end, "g2")
        self.site.wait(lambda: self.site.processes["g2"].poll() is not None, "exit")
        self.assertEqual(self.site.processes["g2"].returncode, 1)
        found = [x for x in self.site.log_text("g2").splitlines() if "not-started" in x]
        self.assertIn(self.site.daemons["g2"]["control"], "".join(found))

    def test_stop_without_a_log_answers_requests_in_hand(self):
        """Guards against a log that cannot be written and ends the drain."""
        load = self.start("f8", "output,filter")
        load.start_new_connections(40.0, LOAD_MS)
        gevent.sleep(0.2)
        self.assertEqual(self.stop("f8"), 0)
        self.assert_answered("f8", load, 50)

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


class StopInSeriesTest(unittest.TestCase):
    """Three daemons whose listeners take no filter, behind a fault proxy."""

    NAMES = ("d1", "d2", "d3")

    def setUp(self):
        self.site = FleetSite(proxy=free_address())
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        options = ("--slots", "64", "--work-ms", str(WORK_MS))
        for i in range(3):
            self.site.start_server(f"desk{i}", "desk", "ab"[i % 2], *options)
        self.site.start_server("parts0", "parts", "a")
        for name in self.NAMES:
            self.site.start_daemon(name, "a", refusals="filter")
        self.site.wait_ready(*self.NAMES)
        self.loads = {
            name: StopLoad(self.site.daemons[name]["front"]) for name in self.NAMES
        }

    def start_load(self, lasts_ms=LOAD_MS):
        """Start callers of all daemons, on new and on kept connections."""
        for load in self.loads.values():
            load.start_new_connections(80.0, lasts_ms)
            load.start_kept_connections(3, 50.0, lasts_ms)
        gevent.sleep(0.4)

    def wait_for_end(self, *names):
        """Wait until daemons have ended by themselves within the grace period."""
        with gevent.Timeout(GRACE_S):
            while any(self.site.processes[name].poll() is None for name in names):
                gevent.sleep(0.02)
        codes = {name: self.site.processes[name].returncode for name in names}
        self.assertEqual(codes, dict.fromkeys(names, 0))

    def assert_answered(self, statuses=(200,)):
        """Assert that what servers ran was answered, with these statuses only."""
        for load in self.loads.values():
            load.wait()
        runs = self.site.runs()
        lost = [a for load in self.loads.values() for a in load.lost(runs)]
        self.assertEqual(lost, [])
        attempts = [a for load in self.loads.values() for a in load.attempts]
        found = collections.Counter(a.status for a in attempts if a.status)
        self.assertGreater(found[200], 100)
        self.assertLessEqual(set(found), set(statuses), found)

    def test_all_stop_at_once_without_the_store(self):
        """Guards against a stop of a leader or relay that needs the store."""
        self.start_load()
        self.site.control_store(faults={"down": True})
        for name in self.NAMES:
            self.site.signal(name, signal.SIGTERM)
        self.wait_for_end(*self.NAMES)
        self.assert_answered()

    def test_signals_in_series(self):
        """Guards against a later signal that ends or prolongs a drain."""
        self.start_load()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.site.signal("d1", number)
            gevent.sleep(0.3)
        self.site.signal("d1", signal.SIGINT)
        self.wait_for_end("d1")
        self.assert_answered()

    def test_stop_of_a_daemon_that_serves_and_of_one_that_delegates(self):
        """Guards against a delegated request that ends with either daemon."""
        self.start_load(9000.0)
        servers = list(self.site.servers)
        self.site.set_faults(Fault(["d1"], servers, "cut"))
        while "event=servers-not-reached" not in self.site.log_text("d1"):
            gevent.sleep(0.05)
        gevent.sleep(1.5)
        for load in self.loads.values():
            load.attempts.clear()
        self.site.signal("d2", signal.SIGTERM)
        gevent.sleep(1.0)
        self.site.signal("d1", signal.SIGTERM)
        self.wait_for_end("d1", "d2")
        self.assert_answered((200, 503))

    def test_stop_while_starting(self):
        """Guards against a start that outlives its grace period or ends in an error."""
        for i, wait_s in enumerate((0.2, 0.4, 0.5, 0.6, 0.7, 0.9)):
            name = f"e{i}"
            self.site.start_daemon(name, "b", refusals="filter")
            gevent.sleep(wait_s)
            self.site.signal(name, signal.SIGTERM)
        for i in range(6):
            process = self.site.processes[f"e{i}"]
            self.assertIn(process.wait(GRACE_S), (0, -signal.SIGTERM))


class DelegatedDrainTest(unittest.TestCase):
    """A drain with requests of other daemons' callers in progress."""

    def drain(self, grace_ms):
        """Drain a daemon with one such request; return the requests logged as cut."""
        self.daemon = mock.Mock(is_ready=False, clock=Clock())
        self.daemon.settings.bounds.grace_ms = grace_ms
        mine = RequestInProgress("r1", "/view/", 9.0)
        self.daemon.caller_server.drain.return_value = DrainResult(1, (mine,))
        self.daemon.delegate.in_progress = 1
        delegated = RequestInProgress("r2", f"{DELEGATED_PREFIX}/view/", 9.0)
        self.daemon._delegated_requests.side_effect = lambda: (
            [delegated] if self.daemon.delegate.in_progress else []
        )
        ending = gevent.spawn_later(
            0.3, lambda: setattr(self.daemon.delegate, "in_progress", 0)
        )
        with mock.patch("tarragonramp.fleet.log_requests_cut") as log:
            FleetDaemon._drain(self.daemon)
        ending.kill()
        return [request.request_id for request in log.call_args.args[0]]

    def test_drain_waits_for_delegated_requests(self):
        """Guards against a request that ends with the process that has taken it."""
        self.assertEqual(self.drain(4000.0), ["r1"])

    def test_requests_in_hand_at_the_end_of_grace_are_logged(self):
        """Guards against a request that ends with the process and leaves no line."""
        self.assertEqual(self.drain(500.0), ["r1", "r2"])


class LateRequestTest(StopTestCase):
    """Requests become whole at any time of a stop, and may take longer than it does."""

    TIMEOUT_MS, GAP_MS = 9000, 40
    work_ms = 1000

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        changed = manifest(2)
        for rule in changed["listeners"][0]["rules"]:
            rule["action"]["timeout"] = f"{cls.TIMEOUT_MS}ms"
        changed["limits"].update(headerTimeout="9s", idleTimeout="60s")
        cls.site.control_store(write=["config", "main", changed, None])

    def play(self, name, begin, is_warm=True):
        """Stop a daemon while requests become whole; return its callers' load.

        ``begin`` starts the callers, given when each of their requests is whole.
        """
        load = self.start(name)
        load.deadline_ms = self.TIMEOUT_MS
        if is_warm:
            load.start_slow_bodies("/book/", [0.0] * 3)
            load.wait()
            load.attempts.clear()
        begin(
            load, [n * self.GAP_MS for n in range(int(GRACE_S * 1000) // self.GAP_MS)]
        )
        gevent.sleep(0.2)
        self.assertEqual(self.stop(name), 0)
        load.wait()
        return load

    def check(self, name, load):
        """Fail if a request ran without an answer, or is told to be at fault."""
        self.assert_answered(name, load, 100)
        statuses = collections.Counter(a.status for a in load.attempts)
        self.assertLessEqual(set(statuses), {0, 200, 503}, statuses)
        self.assertIn("requests_cut=0", self.site.log_text(name))
        return statuses

    def test_bodies_that_are_whole_late(self):
        """Guards against a request that is sent on and cut at the end of the stop."""
        load = self.play(
            "l1", lambda load, times: load.start_slow_bodies("/book/", times)
        )
        statuses = self.check("l1", load)
        self.assertGreater(statuses[200], 60)
        self.assertGreater(statuses[503], 20)

    def test_bodies_of_a_route_whose_times_are_not_known(self):
        """Guards against the same for a daemon that has served no such request."""
        begin = lambda load, times: load.start_slow_bodies("/book/", times)  # noqa: E731
        self.check("l2", self.play("l2", begin, is_warm=False))

    def test_heads_that_are_whole_late(self):
        """Guards against a head that the stop cuts off, and that is called too long."""
        load = self.play("l3", StopLoad.start_slow_heads)
        self.check("l3", load)


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
