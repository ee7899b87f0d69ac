"""Graceful shutdown and start-up of daemons, with real processes under load."""

import errno
import os
import shutil
import signal
import socket
import time
import unittest
from unittest import mock

import gevent

from demo.run import BACKENDS, CALLS, DAEMONS
from standins.checker import check_run
from standins.load import Load, summary
from standins.pauses import read_pauses
from standins.site import Backend, DaemonSpec, Site, free_address
from tarragonramp.adapters.http import HttpPool, split_address
from tarragonramp.adapters.serving import DaemonServer, DrainResult
from tarragonramp.adapters.web import caller_disconnected
from tarragonramp.clock import Clock
from tarragonramp.daemon import Daemon
from tarragonramp.settings import Timing

TIMING = {"unready_ms": 300, "drain_idle_ms": 300}


def start_site(case):
    """Start a site with only a platform; it is stopped at the end of the class."""
    site = Site()
    case.addClassCleanup(shutil.rmtree, site.folder, ignore_errors=True)
    case.addClassCleanup(site.stop)
    site.start_platform()
    return site


def declare_teams(site, *names):
    """Declare some of the demo's teams."""
    for name in names:
        done = site.command("apply", "--file", f"demo/{name}.yaml", daemon="d1")
        assert done.returncode == 0, done.stderr


def last_log_line(site, daemon, event):
    """Return a daemon's last log line of an event, or an empty string."""
    lines = [x for x in site.daemon_log(daemon).splitlines() if f"event={event}" in x]
    return lines[-1] if lines else ""


class DaemonServerTest(unittest.TestCase):
    """Shutdown of a :class:`DaemonServer` in this process."""

    def setUp(self):
        self.caller_connected = []
        self.server = DaemonServer(free_address(), self.application, Clock())
        self.server.start()
        self.addCleanup(self.server.close)
        self.connection = gevent.socket.create_connection(self.server.address)
        self.addCleanup(self.connection.close)
        gevent.sleep(0.05)

    def application(self, environ, start_response):
        """Record whether the caller appears to be connected, and respond."""
        self.caller_connected.append(not caller_disconnected(environ))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def test_request_arriving_during_the_close_is_served(self):
        """An idle connection is closed just as its caller sends the next request.

        The request is already in the socket's receive buffer. If it were dropped, the
        caller could not know whether its claim ran; if the caller were considered
        disconnected, the request would be cancelled.
        """
        (handler,) = self.server.connections
        self.connection.sendall(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        )
        self.server.begin_shutdown()
        handler.shut_down_receive()
        response = b""
        while data := self.connection.recv(65536):
            response += data
        self.assertTrue(response.endswith(b"ok"), response)
        self.assertIn(b"Connection: close\r\n", response)
        self.assertEqual(self.caller_connected, [True])

    def test_queued_connection_is_accepted_before_the_close(self):
        """A connection is in the listener's accept queue when the drain begins."""
        queued = gevent.socket.create_connection(self.server.address)
        self.addCleanup(queued.close)
        drain = gevent.spawn(self.server.drain, 200, 2000)
        queued.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(queued.recv(65536).endswith(b"ok"))
        self.assertEqual(drain.get().n_aborted, 0)

    def test_queued_connection_is_accepted_behind_one_that_fails(self):
        """Guards against a failed accept that leaves the others to be reset."""
        queued = gevent.socket.create_connection(self.server.address)
        self.addCleanup(queued.close)
        queued.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        self.server.stop_accepting()
        accept, errors = self.server.do_read, [errno.ECONNABORTED, errno.EPERM]

        def failing_accept():
            if errors:
                number = errors.pop()
                raise OSError(number, os.strerror(number))
            return accept()

        self.server.do_read = failing_accept
        self.assertEqual(self.server.drain(200, 2000).n_aborted, 0)
        self.assertTrue(queued.recv(65536).endswith(b"ok"))

    def test_no_connection_is_established_between_last_accept_and_close(self):
        """Callers connect continuously while the server stops.

        A connection may be refused or served, but must not be accepted and then reset.
        """
        results = []
        callers = [
            gevent.spawn(self.call_on_new_connections, results) for _ in range(8)
        ]
        gevent.sleep(0.2)
        self.server.drain(100, 2000)
        gevent.joinall(callers, raise_error=True)
        self.assertIn(b"ok", results)
        self.assertLessEqual(set(results), {b"ok", "refused"})

    def call_on_new_connections(self, results):
        """Send each request on a new connection until one is refused."""
        while "refused" not in results:
            try:
                sock = gevent.socket.create_connection(self.server.address, timeout=5)
            except ConnectionRefusedError:
                results.append("refused")
                return
            sock.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            results.append(sock.recv(65536)[-2:])
            sock.close()


class FailingStepTest(unittest.TestCase):
    """A daemon whose drain has steps that raise."""

    STEPS = (
        "keeper.hand_over_all",
        "membership.unregister",
        "control_server.drain",
    )

    def test_failing_step_of_a_drain_keeps_forwarded_requests(self):
        """Guards against an error that ends a drain before its last wait."""
        for step in self.STEPS:
            with self.subTest(step):
                daemon = mock.Mock()
                part, _, method = step.partition(".")
                getattr(getattr(daemon, part), method).side_effect = OSError(1, "no")
                daemon.settings.timing = Timing(unready_ms=0)
                daemon.entry.clock.now_ms.return_value = 0.0
                daemon.startup_tasks = []
                daemon.caller_server.drain.return_value = DrainResult(0)
                Daemon._drain(daemon)
                daemon.peer_server.stop.assert_called_once()


class RollingRestartTest(unittest.TestCase):
    """Two daemons in each of two failure domains, and eight backend servers."""

    daemons = (*DAEMONS, DaemonSpec("d4", "b"))

    @classmethod
    def setUpClass(cls):
        cls.site = start_site(cls)
        for spec in cls.daemons:
            cls.site.start_daemon(spec, timing=TIMING)
        for backend in BACKENDS:
            cls.site.start_backend(backend)
        cls.site.wait_ready([spec.name for spec in cls.daemons])
        declare_teams(cls.site, "fraser-valley", "cooperative")
        for spec in cls.daemons:
            cls.site.wait_owned(spec.name)

    def restart(self, name):
        """Stop a daemon with SIGTERM, as a service manager does, and restart it."""
        self.assertEqual(self.site.terminate(name), 0)
        stopped = last_log_line(self.site, name, "daemon-stopped")
        self.assertIn("requests_cut=0", stopped)
        self.assertIn("all_terms_handed_over=True", stopped)
        self.assertNotIn("Traceback", self.site.daemon_log(name))
        self.site.restart_daemon(name)
        self.site.wait_ready([name])

    def test_rolling_restart_of_all_costs_no_request(self):
        """Every daemon is restarted in turn under load.

        Guards against aborted requests, which leave callers with the outcome "unknown"
        for claims that may have run, and against terms that are not handed over, whose
        keys are not served until a successor has waited for them.
        """
        load = Load([self.site.caller_address(s.name) for s in self.daemons], CALLS)
        callers = gevent.spawn(load.run, 60.0)
        gevent.sleep(1.0)
        for spec in self.daemons:
            self.restart(spec.name)
            gevent.sleep(0.5)
        load.stopping = True
        callers.get()
        failures = [o for o in load.outcomes if o.result != "well"]
        for outcome in failures[:5]:
            print(
                outcome, *self.site.log_lines_containing(outcome.request_id), sep="\n"
            )
        if failures:
            print("pauses:", *read_pauses(self.site.folder), sep="\n")
        self.assertEqual(failures[:5], [], summary(load.outcomes))
        self.assertGreater(len(load.outcomes), 1000)
        faults = check_run(self.site.executions(), load.outcomes)
        self.assertEqual({k: v for k, v in faults.items() if v}, {})


class SharedPortTest(unittest.TestCase):
    """Two daemons on one VM that share the caller port."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_site(cls)
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
        declare_teams(cls.site, "fraser-valley")
        cls.wait_warm()

    @classmethod
    def wait_warm(cls):
        """Wait until as many concurrent requests as the test sends all succeed.

        During their cold start, servers get only a little load and the rest is refused,
        which would fail the test for an unrelated reason.
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

    def test_queued_connections_survive_a_drain(self):
        """One of two daemons on a port is stopped while callers open new connections.

        The kernel resets the connections in the accept queue of a listener that closes.
        Guards against callers whose connection is established and then reset.
        """
        results = []
        until_s = time.monotonic() + 4.0
        callers = [
            gevent.spawn(self.call_on_new_connections, until_s, results)
            for _ in range(24)
        ]
        for _ in range(2):
            gevent.sleep(0.4)
            self.assertEqual(self.site.terminate("d1"), 0)
            self.site.restart_daemon("d1")
            self.site.wait_ready(["d1"])
        gevent.joinall(callers, raise_error=True)
        self.assertGreater(len(results), 500)
        self.assertEqual([item for item in results if item != 200][:5], [])

    def call_on_new_connections(self, until_s, results):
        """Send each request on a new connection until a time."""
        while time.monotonic() < until_s:
            pool = HttpPool(self.shared)
            result = pool.exchange("GET", "/claims/check", (), b"", 5000)
            results.append(result.map(lambda a: a.status).value_or(result))
            pool.close()


class StopTest(unittest.TestCase):
    """Shutdown of single daemons, with a slow backend server."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_site(cls)
        cls.site.start_backend(
            Backend("slow", "a", "fraser-valley", "claims", False, 8, 1500.0)
        )
        cls.site.start_backend(Backend("records1", "a", "fraser-valley", "records"))
        cls.start("d1")
        declare_teams(cls.site, "fraser-valley")
        cls.site.wait_owned("d1")

    @classmethod
    def start(cls, name, **timing):
        """Start a daemon and wait until it is ready."""
        cls.site.start_daemon(DaemonSpec(name, "a"), timing={**TIMING, **timing})
        cls.site.wait_ready([name])

    def setUp(self):
        self.addCleanup(self.site.platform, "faults", {"down": False, "delay_ms": 0})

    def wait_for_exit(self, name):
        """Wait for a process to exit; return its exit code."""
        return self.site.processes[name].wait(20)

    def send_lookup(self, pool):
        """Send a request to the fast server; return the response."""
        header = [("X-Grant-Record", "k1")]
        return pool.exchange("GET", "/records", header, b"", 1000).unwrap()

    def readiness_status(self, name):
        """Return the status of a daemon's readiness endpoint."""
        pool = HttpPool(self.site.settings[name]["control_address"])
        return pool.exchange("GET", "/ready", (), b"", 1000).unwrap().status

    def test_not_ready_is_reported_before_connections_are_refused(self):
        """A stopping daemon reports "not ready" while it still serves requests.

        A load balancer polls readiness and sends callers to the daemon until it has
        read the change.
        """
        self.start("d2", unready_ms=1200)
        address = self.site.caller_address("d2")
        self.site.signal("d2", signal.SIGTERM)
        gevent.sleep(0.3)
        self.assertEqual(self.readiness_status("d2"), 503)
        response = self.send_lookup(HttpPool(address))
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header("Connection"), "close")
        self.assertEqual(self.wait_for_exit("d2"), 0)

    def test_forwarded_request_gets_a_complete_response(self):
        """A claim is in flight at a slow server when its daemon gets SIGTERM twice."""
        self.start("d3", unready_ms=0)
        pool = HttpPool(self.site.caller_address("d3"))
        call = gevent.spawn(pool.exchange, "POST", "/claims", (), b"claim", 5000)
        gevent.sleep(0.3)
        self.site.signal("d3", signal.SIGTERM)
        gevent.sleep(0.3)
        self.site.signal("d3", signal.SIGTERM)
        response = call.get().unwrap()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header("Connection"), "close")
        self.assertEqual(self.wait_for_exit("d3"), 0)
        self.assertIn(
            "requests_cut=0", last_log_line(self.site, "d3", "daemon-stopped")
        )

    def test_idle_connection_is_closed_without_losing_a_request(self):
        """A caller keeps its connection open between requests.

        The next request on it is served with "Connection: close". A connection that
        stays idle is closed, so that it does not delay the shutdown.
        """
        self.start("d4", drain_idle_ms=1000)
        pool = HttpPool(self.site.caller_address("d4"))
        self.assertEqual(self.send_lookup(pool).header("Connection"), "")
        idle = socket.create_connection(
            split_address(self.site.caller_address("d4")), timeout=5
        )
        self.addCleanup(idle.close)
        self.site.signal("d4", signal.SIGTERM)
        gevent.sleep(0.6)
        response = self.send_lookup(pool)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header("Connection"), "close")
        self.assertEqual(idle.recv(1), b"")
        self.assertEqual(self.wait_for_exit("d4"), 0)

    def test_request_still_running_at_the_time_limit_is_counted_as_cut(self):
        self.start("d5", unready_ms=0, drain_ms=300)
        pool = HttpPool(self.site.caller_address("d5"))
        call = gevent.spawn(pool.exchange, "POST", "/claims", (), b"claim", 5000)
        gevent.sleep(0.3)
        self.assertFalse(call.ready(), call.value)
        self.assertEqual(self.site.terminate("d5"), 0)
        call.get()
        self.assertIn(
            "requests_cut=1", last_log_line(self.site, "d5", "daemon-stopped")
        )

    def test_request_that_is_cut_is_logged(self):
        """Guards against a request that ends with the process and leaves no line."""
        self.start("d7", unready_ms=0, drain_ms=300)
        pool = HttpPool(self.site.caller_address("d7"))
        headers = [("X-Request-Id", "cut-1")]
        call = gevent.spawn(pool.exchange, "POST", "/claims", headers, b"claim", 5000)
        gevent.sleep(0.3)
        self.assertEqual(self.site.terminate("d7"), 0)
        call.get()
        cut = last_log_line(self.site, "d7", "request-cut")
        self.assertIn("id=cut-1", cut)
        self.assertIn("held_ms=", cut)

    def test_request_that_is_whole_too_late_is_refused(self):
        """Guards against a request that is sent on and cut at the end of the stop."""
        self.start("d8", unready_ms=0, drain_ms=1500)
        address = self.site.caller_address("d8")
        HttpPool(address).exchange("POST", "/claims", (), b"claim", 5000).unwrap()
        caller = socket.create_connection(split_address(address), timeout=5)
        self.addCleanup(caller.close)
        head = b"POST /claims HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
        caller.sendall(head + b"1")
        gevent.sleep(0.2)
        self.site.signal("d8", signal.SIGTERM)
        gevent.sleep(0.4)
        caller.sendall(b"2")
        answer = caller.recv(4096)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b"not-run", answer)
        self.assertEqual(self.wait_for_exit("d8"), 0)

    def test_interrupt_drains(self):
        self.start("d6")
        self.site.signal("d6", signal.SIGINT)
        self.assertEqual(self.wait_for_exit("d6"), 0)
        self.assertIn(
            "unregistered=True", last_log_line(self.site, "d6", "daemon-stopped")
        )

    def test_stop_is_bounded_while_the_platform_is_down(self):
        """A daemon that holds terms is stopped while the platform is down."""
        self.start("e1", handover_ms=500, platform_timeout_ms=500)
        self.site.terminate("d1")
        self.wait_for_handover("e1")
        self.site.platform("faults", {"down": True})
        self.assertEqual(self.site.terminate("e1", 8.0), 0)
        stopped = last_log_line(self.site, "e1", "daemon-stopped")
        self.assertIn("all_terms_handed_over=False", stopped)
        self.assertIn("unregistered=False", stopped)

    def wait_for_handover(self, name):
        """Wait until a daemon has taken over a steward's term."""
        until_s = time.monotonic() + 10
        while "steward-began" not in self.site.daemon_log(name):
            self.assertLess(time.monotonic(), until_s)
            gevent.sleep(0.05)


class RefusedCallTest(unittest.TestCase):
    """The kernel refuses a daemon's calls, or an error reaches its main greenlet."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_site(cls)
        cls.site.start_backend(
            Backend("slow", "a", "fraser-valley", "claims", False, 8, 1500.0)
        )
        cls.site.start_backend(Backend("records1", "a", "fraser-valley", "records"))
        cls.start("d1")
        declare_teams(cls.site, "fraser-valley")
        cls.site.wait_owned("d1")

    @classmethod
    def start(cls, name, refusals=""):
        """Start a daemon that stops at once, and wait until it is ready."""
        cls.site.refusals[name] = refusals
        timing = {**TIMING, "unready_ms": 0}
        cls.site.start_daemon(DaemonSpec(name, "a"), timing=timing)
        cls.site.wait_ready([name])

    def start_claim(self, name):
        """Send a claim to a daemon, and wait until it is in progress."""
        pool = HttpPool(self.site.caller_address(name))
        call = gevent.spawn(pool.exchange, "POST", "/claims", (), b"claim", 5000)
        gevent.sleep(0.3)
        return call

    def wait_for_exit(self, name):
        """Wait for a process to exit; return its exit code."""
        return self.site.processes[name].wait(20)

    def test_stop_with_refused_calls_answers_requests_in_hand(self):
        """Guards against a refused call that ends the process in its drain."""
        refusals = "filter,accept-empty,close-listener,receive-shutdown,TCP_NODELAY"
        self.start("d2", refusals)
        call = self.start_claim("d2")
        self.assertEqual(self.site.terminate("d2"), 0)
        self.assertEqual(call.get().unwrap().status, 200)
        stopped = last_log_line(self.site, "d2", "daemon-stopped")
        self.assertIn("requests_cut=0", stopped)

    def test_error_in_the_main_greenlet_drains(self):
        """Guards against an error anywhere that ends the process with its requests."""
        self.start("d3", "system-error")
        call = self.start_claim("d3")
        self.site.signal("d3", signal.SIGUSR2)
        self.assertEqual(self.wait_for_exit("d3"), 1)
        self.assertEqual(call.get().unwrap().status, 200)

    def test_daemon_without_bounded_retransmission_names_the_reason_and_ends(self):
        """Guards against a daemon that cannot keep a request from being late."""
        self.site.refusals["d4"] = "TCP_USER_TIMEOUT"
        self.site.start_daemon(DaemonSpec("d4", "a"), timing=TIMING)
        self.assertEqual(self.wait_for_exit("d4"), 1)
        line = last_log_line(self.site, "d4", "daemon-not-started")
        self.assertIn("TCP_USER_TIMEOUT", line)


class StartTest(unittest.TestCase):
    """Start-up of daemons without a platform or with an address in use."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_site(cls)

    def setUp(self):
        self.addCleanup(self.site.platform, "faults", {"down": False, "delay_ms": 0})

    def wait_for_log(self, name, text):
        """Wait until a daemon's log contains a text."""
        until_s = time.monotonic() + 10
        while text not in self.site.daemon_log(name):
            self.assertLess(time.monotonic(), until_s, self.site.daemon_log(name))
            gevent.sleep(0.05)

    def test_without_the_platform_a_daemon_is_healthy_but_not_ready(self):
        """The platform is down when a VM boots, and recovers later.

        A daemon that exited would need an operator; one that accepted requests before
        it has read the platform would report that their service does not exist.
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
        """A daemon is stopped while it still waits for the platform."""
        self.site.platform("faults", {"down": True})
        self.site.start_daemon(DaemonSpec("d2", "a"))
        self.wait_for_log("d2", "event=platform-unreachable")
        start_s = time.monotonic()
        self.assertEqual(self.site.terminate("d2", 10.0), 0)
        self.assertLess(time.monotonic() - start_s, 8.0)
        self.assertIn(
            "was_ready=False", last_log_line(self.site, "d2", "daemon-draining")
        )

    def test_taken_address_is_reported(self):
        listening_socket = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening_socket.close)
        address = f"127.0.0.1:{listening_socket.getsockname()[1]}"
        for field in ("control_address", "peer_address", "caller_address"):
            self.site.start_daemon(DaemonSpec("d3", "a"), **{field: address})
            self.assertEqual(self.site.processes["d3"].wait(10), 1)
            self.assertIn(address, last_log_line(self.site, "d3", "daemon-not-started"))
