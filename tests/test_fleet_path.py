"""End-to-end tests of the fleet on the users' platform, with real processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import gevent

from standins.fleet_site import FleetSite, manifest
from tarragonramp.limits.retries import NEW_DAEMON_WINDOWS
from tarragonramp.roles.router import CREDIT_VALIDITY

DAEMONS = ("d1", "d2", "d3")
KEYS = range(0, 65_536, 4096)
RETRY_WINDOW_MS = 10_000.0


def start_healthy_site(case):
    """Start three daemons in two failure domains and wait until ``KEYS`` are served."""
    site = FleetSite()
    case.addClassCleanup(site.close)
    site.start_store()
    site.control_store(write=["config", "main", manifest(1), None])
    for i in range(3):
        site.start_server(f"desk{i}", "desk", "ab"[i % 2])
        site.start_server(f"parts{i}", "parts", "ab"[i % 2])
    for name, domain in zip(DAEMONS, "abb", strict=True):
        site.start_daemon(name, domain)
    site.wait_ready(*DAEMONS)
    site.wait(lambda: all_keys_served(site), "all keys served")
    return site


def all_keys_served(site):
    """Return whether the first daemon serves requests for each of ``KEYS``."""
    return all(
        (answer := site.call("d1", "/parts/", f"k{key}-{time.monotonic()}", key))
        and answer.status == 200
        for key in KEYS
    )


def leader_of(site):
    """Return the name of the leader according to the store."""
    objects = site.control_store()["objects"]
    return objects["ramp-leader"]["leader"]["spec"]["name"]


class HealthyFleetTest(unittest.TestCase):
    """A fleet without faults."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_healthy_site(cls)

    def test_responses_are_forwarded_unchanged(self):
        for daemon in DAEMONS:
            answer = self.site.call(daemon, "/view/7", f"v-{daemon}")
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.header("Upstream-Stamp"), f"mark.v-{daemon}")
            self.assertEqual(answer.header("Request-Id"), f"v-{daemon}")
            self.assertTrue(answer.body.endswith(b"/view/7 0"))

    def test_an_unknown_route_is_not_found_and_the_longest_prefix_wins(self):
        self.assertEqual(self.site.call("d1", "/nowhere/", "n1").status, 404)
        self.assertEqual(self.site.call("d1", "/view", "n2").status, 404)

    def test_servers_get_the_remaining_deadline(self):
        self.site.call("d2", "/view/", "left-1", caller_timeout_ms=700)
        runs = [
            entry
            for name in self.site.servers
            for entry in self.site.server_log_entries(name)
            if entry[0] == "run" and entry[2] == "left-1"
        ]
        self.assertEqual(len(runs), 1)
        self.assertLessEqual(int(runs[0][5]), 700)
        self.assertGreater(int(runs[0][5]), 500)

    def test_every_range_has_one_owner_per_token(self):
        """Two servers are never granted the same range under one token."""
        holds = {}
        for name in ("parts0", "parts1", "parts2"):
            for entry in self.site.server_log_entries(name):
                if entry[0] == "grant":
                    holds.setdefault((entry[2], entry[3]), set()).add((name, entry[4]))
        self.assertGreater(len(holds), 20)
        for keys, owners in holds.items():
            tokens = {token for _, token in owners}
            self.assertEqual(len(tokens), len(owners), keys)

    def test_a_new_manifest_is_in_force_everywhere_within_two_seconds(self):
        self.site.control_store(
            write=["config", "main", manifest(5, late="desk"), None]
        )
        time.sleep(2.0)
        for daemon in DAEMONS:
            self.assertEqual(self.site.call(daemon, "/late/", "l1").status, 200)
        # An older manifest that is written later has no effect.
        self.site.control_store(write=["config", "main", manifest(3), None])
        time.sleep(1.0)
        for daemon in DAEMONS:
            self.assertEqual(self.site.call(daemon, "/late/", "l2").status, 200)
        # Neither has an invalid one.
        self.site.control_store(write=["config", "main", {"version": "r9"}, None])
        time.sleep(1.0)
        for daemon in DAEMONS:
            self.assertEqual(self.site.call(daemon, "/late/", "l3").status, 200)

    def test_malformed_server_entries_are_ignored(self):
        for name, entry in (
            ("x1", {"addr": 7}),
            ("x2", {"info": {}, "status": None}),
            ("x3", {"addr": "a:b", "born": "soon", "info": {}, "status": {}}),
        ):
            self.site.control_store(write=["servers", name, entry, None])
        time.sleep(0.5)
        self.assertEqual(self.site.call("d1", "/view/", "after-bad").status, 200)

    def test_only_two_daemons_follow_the_store(self):
        """Each daemon that watches the store costs calls, so only two do."""
        before = self.site.control_store()["calls"]
        self.site.control_store(write=["evacuations", "nowhere", {}, None])
        time.sleep(1.5)
        after = self.site.control_store()["calls"]
        asked = after["watch evacuations"] - before["watch evacuations"]
        self.assertIn(asked, (2, 3))
        self.site.control_store(delete=["evacuations", "nowhere"])


class FaultyServersTest(unittest.TestCase):
    """Servers that shed requests, lose responses or return invalid ones."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_healthy_site(cls)
        cls.started_s = time.monotonic()

    def inject_faults(self, **faults):
        """Make the next requests at every server of the shared service fail."""
        for name in ("desk0", "desk1", "desk2"):
            self.site.inject_server_faults(name, **faults)

    def tearDown(self):
        none = dict.fromkeys(("shed", "lose", "truncate", "foreign", "unmarked"), 0)
        self.inject_faults(**none)

    def test_an_unsafe_request_whose_response_is_lost_runs_once(self):
        self.inject_faults(lose=5)
        for i in range(3):
            answer = self.site.call("d1", "/book/", f"book-{i}", method="POST")
            self.assertIn(answer.status, (502, 504))
        runs = self.site.runs()
        self.assertEqual([runs.get(f"book-{i}") for i in range(3)], [1, 1, 1])

    def test_a_safe_request_is_retried_at_a_second_server(self):
        # The first retry of a new daemon counts as all that it may send without credit.
        new_s = CREDIT_VALIDITY * NEW_DAEMON_WINDOWS * RETRY_WINDOW_MS / 1000.0
        time.sleep(max(0.0, self.started_s + new_s - time.monotonic()))
        self.inject_faults(lose=1)
        answer = self.site.call("d2", "/view/", "again-1")
        # Both attempts may reach a server that loses one response; the outcome is then
        # unknown.
        self.assertIn(answer.status, (200, 502))
        self.assertEqual(self.site.call("d2", "/view/", "again-2").status, 200)

    def test_a_request_refused_as_not_run_did_not_run(self):
        self.inject_faults(shed=50)
        answer = self.site.call("d3", "/book/", "shed-1", method="POST")
        self.assertEqual(answer.status, 503)
        self.assertTrue(answer.header("Retry-After"))
        self.assertNotIn("shed-1", self.site.runs())

    def test_invalid_responses_are_not_forwarded(self):
        for fault in ("truncate", "foreign", "unmarked"):
            with self.subTest(fault):
                self.inject_faults(**{fault: 9})
                answer = self.site.call("d1", "/book/", f"{fault}-1", method="POST")
                self.assertIn(answer.status, (502, 504))
                self.inject_faults(**{fault: 0})

    def test_unanswered_grants_lose_no_key(self):
        for name in ("parts0", "parts1", "parts2"):
            self.site.inject_server_faults(name, silent_grants=3)
        time.sleep(6.0)
        self.assertTrue(all_keys_served(self.site))


class ProcessFailureTest(unittest.TestCase):
    """Killed, draining and stopping processes, and failures of the store."""

    @classmethod
    def setUpClass(cls):
        cls.site = start_healthy_site(cls)

    def test_a_killed_leader_is_replaced_and_no_key_is_lost(self):
        before = leader_of(self.site)
        self.site.kill(before)
        others = [name for name in DAEMONS if name != before]
        self.site.wait(lambda: leader_of(self.site) != before, "another leader")
        for key in KEYS:
            answer = self.site.call(others[0], "/parts/", f"lost-leader-{key}", key)
            self.assertEqual(answer.status, 200)
        self.site.start_daemon(before, "a")
        self.site.wait_ready(before)

    def test_a_draining_server_keeps_no_key(self):
        """Its keys move to other servers, together with its handover state."""
        self.site.start_server("parts9", "parts", "a")
        time.sleep(4.0)
        self.site.signal("parts9", signal.SIGUSR1)
        time.sleep(2.0)
        started = time.time() * 1000.0
        for key in KEYS:
            self.site.call("d2", "/parts/", f"drained-{key}", key)
        late = [
            entry
            for entry in self.site.server_log_entries("parts9")
            if entry[0] == "run" and entry[1] > started
        ]
        self.assertEqual(late, [])
        self.assertTrue(all_keys_served(self.site))
        self.site.kill("parts9")
        self.site.control_store(delete=["servers", "parts9"])

    def test_requests_are_served_during_an_outage_of_the_store(self):
        self.site.control_store(faults={"down": True})
        until_s = time.monotonic() + 8.0
        i = 0
        while time.monotonic() < until_s:
            i += 1
            key = KEYS[i % len(KEYS)]
            answer = self.site.call("d3", "/parts/", f"away-{i}", key)
            self.assertEqual(answer.status, 200)
            gevent.sleep(0.1)
        self.site.control_store(faults={"down": False})

    def test_a_lost_watch_response_hides_no_manifest(self):
        """A response to a watch is lost while its connection stays open.

        The daemon would use the old manifest until the watch times out. It notices the
        change by comparing with a peer whose watch was answered.
        """
        self.site.control_store(faults={"lose_watches": 1})
        self.site.control_store(
            write=["config", "main", manifest(20, fresh="desk"), None]
        )
        time.sleep(3.0)
        for daemon in DAEMONS:
            self.assertEqual(self.site.call(daemon, "/fresh/", "f1").status, 200)

    def test_all_objects_are_read_again_after_the_history_is_gone(self):
        self.site.control_store(forget_history=True)
        self.site.control_store(
            write=["config", "main", manifest(30, again="desk"), None]
        )
        time.sleep(2.0)
        for daemon in DAEMONS:
            self.assertEqual(self.site.call(daemon, "/again/", "g1").status, 200)

    def test_a_stopping_daemon_aborts_no_request(self):
        """Callers send requests while the daemons are stopped one after the other."""
        for name in DAEMONS:
            callers = [
                gevent.spawn(self.site.call, name, "/view/", f"stop-{name}-{i}")
                for i in range(10)
            ]
            gevent.sleep(0.002)
            self.site.signal(name, signal.SIGTERM)
            answers = [caller.get() for caller in callers]
            self.assertEqual([a.status for a in answers if a], [200] * len(answers))
            self.assertEqual(self.site.processes[name].wait(10.0), 0)
            self.assertIn("event=daemon-stopped", self.site.log_text(name))
            self.site.start_daemon(name, "a")
            self.site.wait_ready(name)


class SettingsTest(unittest.TestCase):
    """Startup of a daemon with invalid settings, and its Python path."""

    def test_all_faults_are_reported_at_once(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as stream:
            stream.write('[self]\nnode = 3\n[terms.bounds]\ngrace = "soon"\n')
            stream.flush()
            environment = {**os.environ, "TARRAGONRAMP_CONFIG": stream.name}
            done = subprocess.run(
                [sys.executable, "platform/run.py"],
                env=environment,
                capture_output=True,
                text=True,
                check=False,
                timeout=30,
            )
        self.assertEqual(done.returncode, 2)
        for path in ("self.node", "self.zone", "network.listen.front", "bounds.grace"):
            self.assertIn(path, done.stderr)

    def test_the_folder_shadows_no_standard_module(self):
        """A package called platform would shadow the standard library's module."""
        code = "import platform; print(platform.python_implementation())"
        for folder in (".", "platform"):
            done = subprocess.run(
                [sys.executable, "-c", code],
                cwd=folder,
                capture_output=True,
                text=True,
                check=False,
            )
            self.assertIn("Python", done.stdout, done.stderr)
