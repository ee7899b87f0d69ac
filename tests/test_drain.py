"""Stops and starts of daemons, with real processes under load."""

import shutil
import signal
import socket
import time
import unittest

import gevent

from demo.run import BACKENDS, CALLS, DAEMONS
from standins.checker import check_run
from standins.load import Load, summary
from standins.site import Backend, DaemonSpec, Site, free_address
from tarragonramp.adapters.http import HttpPool, split_address
from tarragonramp.adapters.serving import DaemonServer
from tarragonramp.adapters.web import caller_disconnected
from tarragonramp.clock import Clock

TIMING = {"unready_ms": 300, "drain_idle_ms": 300}


def new_site(case):
    """Return a site with a platform that ends with the test class."""
    site = Site()
    case.addClassCleanup(shutil.rmtree, site.folder, ignore_errors=True)
    case.addClassCleanup(site.stop)
    site.start_platform()
    return site


def apply_teams(site, *names):
    """Declare teams of the demo."""
    for name in names:
        done = site.command("apply", "--file", f"demo/{name}.yaml", daemon="d1")
        assert done.returncode == 0, done.stderr


def log_line(site, daemon, event):
    """Return a daemon's latest log line of an event; empty if there is none."""
    lines = [x for x in site.daemon_log(daemon).splitlines() if f"event={event}" in x]
    return lines[-1] if lines else ""


class ServerTest(unittest.TestCase):
    """A server of a daemon, in this process."""

    def setUp(self):
        self.served = []
        self.server = DaemonServer(free_address(), self.application, Clock())
        self.server.start()
        self.addCleanup(self.server.close)
        self.caller = gevent.socket.create_connection(self.server.address)
        self.addCleanup(self.caller.close)
        gevent.sleep(0.05)

    def application(self, environ, start_response):
        """Note whether the caller seems to be there, and answer."""
        self.served.append(not caller_disconnected(environ))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def test_request_that_arrives_with_the_close_is_served(self):
        """An idle connection is closed just as its caller sends the next request.

        The bytes are in this machine already. Dropped, the caller could not know
        whether its claim ran; taken for a caller that has gone, it would be cancelled.
        """
        (handler,) = self.server.connections
        self.caller.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        self.server.begin_shutdown()
        handler.shut_down_receive()
        answer = b""
        while data := self.caller.recv(65536):
            answer += data
        self.assertTrue(answer.endswith(b"ok"), answer)
        self.assertIn(b"Connection: close\r\n", answer)
        self.assertEqual(self.served, [True])

    def test_queued_connection_is_accepted_before_the_close(self):
        """A caller's connection is still in the listener's queue at the stop."""
        queued = gevent.socket.create_connection(self.server.address)
        self.addCleanup(queued.close)
        drain = gevent.spawn(self.server.drain, 200, 2000)
        queued.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(queued.recv(65536).endswith(b"ok"))
        self.assertEqual(drain.get().n_aborted, 0)

    def test_no_connection_begins_between_last_accept_and_close(self):
        """Callers connect without a pause while the server stops.

        Each of them may be refused, or answered; none may be accepted and then
        reset.
        """
        results = []
        callers = [gevent.spawn(self.call_anew, results) for _ in range(8)]
        gevent.sleep(0.2)
        self.server.drain(100, 2000)
        gevent.joinall(callers, raise_error=True)
        self.assertIn(b"ok", results)
        self.assertLessEqual(set(results), {b"ok", "refused"})

    def call_anew(self, results):
        """Make a connection for each request until none is taken."""
        while "refused" not in results:
            try:
                sock = gevent.socket.create_connection(self.server.address, timeout=5)
            except ConnectionRefusedError:
                results.append("refused")
                return
            sock.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            results.append(sock.recv(65536)[-2:])
            sock.close()


class RollingRestartTest(unittest.TestCase):
    """Two daemons in each of two failure domains, and eight backend servers."""

    daemons = (*DAEMONS, DaemonSpec("d4", "b"))

    @classmethod
    def setUpClass(cls):
        cls.site = new_site(cls)
        for spec in cls.daemons:
            cls.site.start_daemon(spec, timing=TIMING)
        for backend in BACKENDS:
            cls.site.start_backend(backend)
        cls.site.wait_ready([spec.name for spec in cls.daemons])
        apply_teams(cls.site, "fraser-valley", "cooperative")
        for spec in cls.daemons:
            cls.site.wait_owned(spec.name)

    def restart(self, name):
        """Stop a daemon as a service manager does, and start it again."""
        self.assertEqual(self.site.terminate(name), 0)
        stopped = log_line(self.site, name, "daemon-stopped")
        self.assertIn("requests_cut=0", stopped)
        self.assertIn("all_terms_handed_over=True", stopped)
        self.assertNotIn("Traceback", self.site.daemon_log(name))
        self.site.restart_daemon(name)
        self.site.wait_ready([name])

    def test_rolling_restart_of_all_costs_no_request(self):
        """Every daemon is restarted in turn while callers are at work.

        Were requests cut, callers would get "unknown" for claims that may have run;
        were terms left behind, keys would go unserved until a successor had waited.
        """
        load = Load([self.site.caller_address(s.name) for s in self.daemons], CALLS)
        callers = gevent.spawn(load.run, 60.0)
        gevent.sleep(1.0)
        for spec in self.daemons:
            self.restart(spec.name)
            gevent.sleep(0.5)
        load.stopping = True
        callers.get()
        bad = [o for o in load.outcomes if o.result != "well"]
        for outcome in bad[:5]:
            print(outcome, *self.site.lines_about(outcome.request_id), sep="\n")
        self.assertEqual(bad[:5], [], summary(load.outcomes))
        self.assertGreater(len(load.outcomes), 1000)
        faults = check_run(self.site.executions(), load.outcomes)
        self.assertEqual({k: v for k, v in faults.items() if v}, {})


class SharedPortTest(unittest.TestCase):
    """Two daemons of one VM that share the caller port."""

    @classmethod
    def setUpClass(cls):
        cls.site = new_site(cls)
        cls.shared = free_address()
        for name in ("d1", "d2"):
            cls.site.start_daemon(
                DaemonSpec(name, "a"), caller_address=cls.shared, timing=TIMING
            )
        for i in range(3):
            cls.site.start_backend(
                Backend(f"c{i}", "a", "fraser-valley", "claims", False, 8, 1.0)
            )
        cls.site.wait_ready(["d1", "d2"])
        apply_teams(cls.site, "fraser-valley")
        cls.wait_warm()

    @classmethod
    def wait_warm(cls):
        """Wait until as many callers at once as the test has are all served.

        New servers are let a little load through at first, and refuse the rest: that
        is the cold start's rule and not what is looked at here.
        """
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s:
            pools = [HttpPool(cls.shared) for _ in range(24)]
            calls = [
                gevent.spawn(pool.exchange, "GET", "/claims/check", (), b"", 5000)
                for pool in pools
            ]
            results = [call.get() for call in calls]
            for pool in pools:
                pool.close()
            if all(r.map(lambda a: a.status).value_or(0) == 200 for r in results):
                return
            gevent.sleep(0.1)
        raise TimeoutError("servers did not become warm")

    def test_queued_connections_outlive_a_drain(self):
        """One of two daemons on a port stops while callers connect anew each time.

        The kernel resets what waits in the queue of a listener that closes. A caller
        would see its connection accepted and then reset, for no fault of its own.
        """
        results = []
        until_s = time.monotonic() + 4.0
        callers = [gevent.spawn(self.call_anew, until_s, results) for _ in range(24)]
        for _ in range(2):
            gevent.sleep(0.4)
            self.assertEqual(self.site.terminate("d1"), 0)
            self.site.restart_daemon("d1")
            self.site.wait_ready(["d1"])
        gevent.joinall(callers, raise_error=True)
        self.assertGreater(len(results), 500)
        self.assertEqual([item for item in results if item != 200][:5], [])

    def call_anew(self, until_s, results):
        """Make a connection for each request."""
        while time.monotonic() < until_s:
            pool = HttpPool(self.shared)
            result = pool.exchange("GET", "/claims/check", (), b"", 5000)
            results.append(result.map(lambda a: a.status).value_or(result))
            pool.close()


class StopTest(unittest.TestCase):
    """One daemon and a slow server at a time."""

    @classmethod
    def setUpClass(cls):
        cls.site = new_site(cls)
        cls.site.start_backend(
            Backend("slow", "a", "fraser-valley", "claims", False, 8, 1500.0)
        )
        cls.site.start_backend(Backend("records1", "a", "fraser-valley", "records"))
        cls.start("d1")
        apply_teams(cls.site, "fraser-valley")
        cls.site.wait_owned("d1")

    @classmethod
    def start(cls, name, **timing):
        """Start a daemon and wait until it takes callers."""
        cls.site.start_daemon(DaemonSpec(name, "a"), timing={**TIMING, **timing})
        cls.site.wait_ready([name])

    def setUp(self):
        self.addCleanup(self.site.platform, "faults", {"down": False, "delay_ms": 0})

    def end(self, name):
        """Wait for a process to end; return its exit code."""
        return self.site.processes[name].wait(20)

    def look_up(self, pool):
        """Return the answer to a quick request."""
        header = [("X-Grant-Record", "k1")]
        return pool.exchange("GET", "/records", header, b"", 1000).unwrap()

    def is_ready(self, name):
        """Return what the balancer is told."""
        pool = HttpPool(self.site.settings[name]["control_address"])
        return pool.exchange("GET", "/ready", (), b"", 1000).unwrap().status

    def test_not_ready_comes_before_refusing(self):
        """A balancer reads readiness now and then, and sends callers until then."""
        self.start("d2", unready_ms=1200)
        address = self.site.caller_address("d2")
        self.site.signal("d2", signal.SIGTERM)
        gevent.sleep(0.3)
        self.assertEqual(self.is_ready("d2"), 503)
        answer = self.look_up(HttpPool(address))
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.header("Connection"), "close")
        self.assertEqual(self.end("d2"), 0)

    def test_held_request_is_answered_in_full(self):
        """A claim is with a slow server when its daemon is told to stop, twice."""
        self.start("d3", unready_ms=0)
        pool = HttpPool(self.site.caller_address("d3"))
        call = gevent.spawn(pool.exchange, "POST", "/claims", (), b"claim", 5000)
        gevent.sleep(0.3)
        self.site.signal("d3", signal.SIGTERM)
        gevent.sleep(0.3)
        self.site.signal("d3", signal.SIGTERM)
        answer = call.get().unwrap()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.header("Connection"), "close")
        self.assertEqual(self.end("d3"), 0)
        self.assertIn("requests_cut=0", log_line(self.site, "d3", "daemon-stopped"))

    def test_idle_connection_is_closed_politely(self):
        """A caller keeps its connection open between requests.

        Its next request on it is answered, with word that the connection closes; one
        that stays idle is closed, so that it does not hold up the stop.
        """
        self.start("d4", drain_idle_ms=1000)
        pool = HttpPool(self.site.caller_address("d4"))
        self.assertEqual(self.look_up(pool).header("Connection"), "")
        idle = socket.create_connection(
            split_address(self.site.caller_address("d4")), timeout=5
        )
        self.addCleanup(idle.close)
        self.site.signal("d4", signal.SIGTERM)
        gevent.sleep(0.6)
        answer = self.look_up(pool)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.header("Connection"), "close")
        self.assertEqual(idle.recv(1), b"")
        self.assertEqual(self.end("d4"), 0)

    def test_request_still_running_at_the_end_is_counted_as_cut(self):
        self.start("d5", unready_ms=0, drain_ms=300)
        pool = HttpPool(self.site.caller_address("d5"))
        call = gevent.spawn(pool.exchange, "POST", "/claims", (), b"claim", 5000)
        gevent.sleep(0.3)
        self.assertFalse(call.ready(), call.value)
        self.assertEqual(self.site.terminate("d5"), 0)
        call.get()
        self.assertIn("requests_cut=1", log_line(self.site, "d5", "daemon-stopped"))

    def test_interrupt_drains_too(self):
        self.start("d6")
        self.site.signal("d6", signal.SIGINT)
        self.assertEqual(self.end("d6"), 0)
        self.assertIn("unregistered=True", log_line(self.site, "d6", "daemon-stopped"))

    def test_stop_is_bounded_while_the_platform_is_down(self):
        """The platform is down when a daemon that holds terms is told to stop."""
        self.start("e1", handover_ms=500, platform_timeout_ms=500)
        self.site.terminate("d1")
        self.wait_for_terms("e1")
        self.site.platform("faults", {"down": True})
        self.assertEqual(self.site.terminate("e1", 8.0), 0)
        stopped = log_line(self.site, "e1", "daemon-stopped")
        self.assertIn("all_terms_handed_over=False", stopped)
        self.assertIn("unregistered=False", stopped)

    def wait_for_terms(self, name):
        """Wait until a daemon has been handed the terms of the one before."""
        until_s = time.monotonic() + 10
        while "steward-began" not in self.site.daemon_log(name):
            self.assertLess(time.monotonic(), until_s)
            gevent.sleep(0.05)


class StartTest(unittest.TestCase):
    """Daemons that start while something is wrong."""

    @classmethod
    def setUpClass(cls):
        cls.site = new_site(cls)

    def setUp(self):
        self.addCleanup(self.site.platform, "faults", {"down": False, "delay_ms": 0})

    def wait_for_log(self, name, text):
        """Wait until a daemon has logged something."""
        until_s = time.monotonic() + 10
        while text not in self.site.daemon_log(name):
            self.assertLess(time.monotonic(), until_s, self.site.daemon_log(name))
            gevent.sleep(0.05)

    def test_without_the_platform_a_daemon_is_up_but_not_ready(self):
        """The platform is down when a VM boots, and comes back later.

        A daemon that gave up would need an operator; one that took callers without
        a view would tell them that their service does not exist.
        """
        self.site.platform("faults", {"down": True})
        self.site.start_daemon(DaemonSpec("d1", "a"), timing=TIMING)
        self.wait_for_log("d1", "event=platform-unreachable")
        control = HttpPool(self.site.settings["d1"]["control_address"])
        self.assertEqual(
            control.exchange("GET", "/healthy", (), b"", 1000).unwrap().status, 200
        )
        self.assertEqual(
            control.exchange("GET", "/ready", (), b"", 1000).unwrap().status, 503
        )
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(split_address(self.site.caller_address("d1")))
        self.site.platform("faults", {"down": False})
        self.site.wait_ready(["d1"])
        self.assertEqual(self.site.terminate("d1"), 0)

    def test_stop_during_start(self):
        """A daemon is told to stop while it still waits for the platform."""
        self.site.platform("faults", {"down": True})
        self.site.start_daemon(DaemonSpec("d2", "a"))
        self.wait_for_log("d2", "event=platform-unreachable")
        began_s = time.monotonic()
        self.assertEqual(self.site.terminate("d2", 10.0), 0)
        self.assertLess(time.monotonic() - began_s, 8.0)
        self.assertIn("was_ready=False", log_line(self.site, "d2", "daemon-draining"))

    def test_taken_address_is_named(self):
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        for field in ("control_address", "peer_address", "caller_address"):
            self.site.start_daemon(DaemonSpec("d3", "a"), **{field: address})
            self.assertEqual(self.site.processes["d3"].wait(10), 1)
            self.assertIn(address, log_line(self.site, "d3", "daemon-not-started"))
