"""Tests of the operators' command, against one operator port and on a whole site."""

import contextlib
import io
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import unittest
import unittest.mock

import yaml
from returns.result import Failure

from demo.run import BACKENDS, DAEMONS
from standins.platform import PlatformStandIn
from standins.site import Site, free_address
from tarragonramp import client, command
from tarragonramp.adapters.http import HttpPool, HttpPools
from tarragonramp.adapters.platform import HttpPlatform
from tarragonramp.adapters.web import WebServer
from tarragonramp.clock import Clock
from tarragonramp.credentials import Secrets
from tarragonramp.errors import PlatformUnreachableError
from tarragonramp.model import KIND_AUDIT_ENTRY, Member, Vm
from tarragonramp.roles import audit, operators
from tarragonramp.roles.audit import AuditTrail
from tarragonramp.roles.operators import Operators
from tarragonramp.roles.overview import Overview
from tarragonramp.view import View

TEAM_FILES = ("demo/fraser-valley.yaml", "demo/cooperative.yaml")
SECRET = "operator-secret-0123456789"
PEER_SECRET = "peer-secret-0123456789"

# Run in a separate process: gRPC's threads do not work in one patched by gevent.
REPORT = """
import sys
from tarragonramp.adapters.peers import GrpcPeers
from tarragonramp.credentials import Secrets
from tarragonramp.meters import TrafficMeter
secrets = Secrets.from_text(sys.argv[2])
peers = GrpcPeers(None, 5000, TrafficMeter(), secrets)
print(peers.report(sys.argv[1], "x#1", []).map(lambda _: "accepted"))
"""


class OperatorPort:
    """An operator port in this process, backed by the platform's stand-in."""

    def __init__(self, secret=""):
        self.stand_in = PlatformStandIn()
        platform_address, self.address = free_address(), free_address()
        self.platform = HttpPlatform(HttpPool(platform_address), 1000)
        member = Member("d1", "b1", "a", self.address, "127.0.0.1:1")
        view = View()
        view.apply_vms([Vm("v1", "127.0.0.1:2", "b", "t", "s")])
        self.trail = AuditTrail(member, self.platform, Clock(), 100)
        secrets = Secrets.from_text(secret)
        overview = Overview(member, view, self.platform, HttpPools())
        self.app = Operators(
            member, view, self.platform, overview, Clock(), self.trail, secrets
        )
        self.servers = [
            WebServer(platform_address, self.stand_in),
            WebServer(self.address, self.app),
        ]
        for server in self.servers:
            server.start()

    def stop(self):
        """Stop both servers."""
        for server in self.servers:
            server.stop(timeout=1)

    def specs(self, kind):
        """Return the specs that the platform stores of a kind, by name."""
        return {
            name: item["spec"]
            for (k, name), item in self.stand_in.objects.items()
            if k == kind and item["spec"] is not None
        }

    def outcomes(self):
        """Return the outcomes in the audit trail, oldest first."""
        entries = sorted(self.specs(KIND_AUDIT_ENTRY).items())
        return [entry["outcome"] for _, entry in entries]


class CommandTest(unittest.TestCase):
    """The command, run in this process against one operator port."""

    def setUp(self):
        self.port = OperatorPort()
        self.addCleanup(self.port.stop)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        # Shorter timeouts for the tests in which the platform does not answer.
        self.enterContext(
            unittest.mock.patch.object(operators, "CHANGE_TIMEOUT_MS", 500)
        )
        self.enterContext(unittest.mock.patch.object(audit, "WRITE_TIMEOUT_MS", 500))

    def run_command(self, *arguments, port=None):
        """Run the command; return its exit code, standard output and standard error."""
        address = (port or self.port).address
        if arguments[0] != "validate":
            arguments += ("--daemon", address)
        with (
            contextlib.redirect_stdout(io.StringIO()) as out,
            contextlib.redirect_stderr(io.StringIO()) as err,
        ):
            exit_code = command.main(list(arguments))
        return exit_code, out.getvalue(), err.getvalue()

    def write(self, documents, name="f.yaml"):
        """Write a file of documents; return its path."""
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as stream:
            yaml.safe_dump_all(documents, stream)
        return path

    def changed_team(self, **parameters):
        """Write the first demo team with some parameters changed; return the path."""
        with open(TEAM_FILES[0], encoding="utf-8") as stream:
            documents = list(yaml.safe_load_all(stream))
        documents[1]["spec"]["parameters"].update(parameters)
        return self.write(documents)

    def test_apply_is_idempotent_and_diff_and_get_show_the_object(self):
        self.assertEqual(self.run_command("apply", "-f", *TEAM_FILES)[0], 0)
        code, out, _ = self.run_command("apply", "-f", *TEAM_FILES, "-o", "json")
        self.assertEqual({row["result"] for row in json.loads(out)}, {"unchanged"})
        self.assertEqual(self.run_command("diff", "-f", *TEAM_FILES)[:2], (0, ""))
        changed = self.changed_team(slots=5)
        code, out, _ = self.run_command("diff", "-f", changed)
        self.assertEqual(code, client.EXIT_DIFFERS)
        self.assertIn("-  slots: 3\n+  slots: 5", out)
        code, out, _ = self.run_command("get", "Team", "fraser-valley", "-o", "yaml")
        self.assertNotIn("request_id", out)
        self.assertEqual(yaml.safe_load(out)["spec"]["template"], "grant-desk")
        self.assertEqual(self.port.outcomes(), ["done"] * 4)

    def test_apply_writes_nothing_if_one_document_is_invalid(self):
        """An operator applies a valid file together with an invalid one.

        If each were written after its own check, the first would be in force before
        the second is rejected, and only half of the change would be applied.
        """
        invalid = self.changed_team(slots=0)
        code, _, err = self.run_command("apply", "-f", TEAM_FILES[1], invalid)
        self.assertEqual(code, client.EXIT_INVALID)
        self.assertIn("spec.services[0].slots_per_server: 0: expected 1 to", err)
        self.assertIn("nothing was changed", err)
        self.assertEqual(self.port.stand_in.objects, {})

    def test_conflict_shows_both_versions(self):
        """Two operators edit one team; the later one edits the older version."""
        self.run_command("apply", "-f", TEAM_FILES[0])
        _, out, _ = self.run_command("get", "Team", "fraser-valley", "-o", "yaml")
        edited = yaml.safe_load(out)
        self.run_command("apply", "-f", self.changed_team(slots=5))
        edited["spec"]["parameters"]["slots"] = 7
        code, _, err = self.run_command("apply", "-f", self.write([edited], "m.yaml"))
        self.assertEqual(code, client.EXIT_CONFLICT)
        held = self.port.stand_in.objects["Team", "fraser-valley"]["version"]
        self.assertIn(f"version {edited['version']}, platform holds {held}", err)
        self.assertIn("-  slots: 5\n+  slots: 7", err)
        self.assertIn("next: ", err)

    def test_conflict_at_the_platform_is_audited(self):
        self.run_command("apply", "-f", TEAM_FILES[0])
        target = "/operator/objects/Team/fraser-valley?version=1"
        spec = {"template": "grant-desk"}
        body = json.dumps(spec).encode()
        answer = HttpPool(self.port.address).exchange("PUT", target, (), body, 5000)
        self.assertEqual(answer.unwrap().status, 409)
        self.assertEqual(self.port.outcomes()[-1], "conflict")

    def test_lost_platform_response_does_not_repeat_the_change(self):
        """The platform applies a change and its response is lost.

        If the command reported a failure, the operator would apply the change again
        and overwrite a change that somebody else made in between.
        """
        self.port.stand_in.faults.lose_answers = 1
        code, _, err = self.run_command("domain", "take-out", "b")
        self.assertEqual((code, err), (0, ""))
        # That lost the first write of the audit entry; now lose the change's own write.
        original_put = self.port.platform.put

        def put(kind, name, spec, version):
            if kind == "FailureDomain":
                self.port.stand_in.faults.lose_answers = 1
            return original_put(kind, name, spec, version)

        self.port.app.platform = _PatchedPlatform(self.port.platform, put=put)
        code, _, err = self.run_command("domain", "bring-back", "b")
        self.assertEqual((code, err), (0, ""))
        self.assertEqual(self.port.specs("FailureDomain")["b"]["state"], "in")
        self.assertEqual(self.port.outcomes(), ["done", "done"])

    def test_concurrent_conflicting_teams_cause_a_warning(self):
        """Two operators declare teams with one path at once; both pass the checks."""
        self.run_command("apply", "-f", TEAM_FILES[0])
        rival = {"kind": "Team", "name": "rival", "spec": {"template": "grant-desk"}}
        with (
            unittest.mock.patch.object(Operators, "_put_faults", return_value=[]),
            unittest.mock.patch.object(command, "check_at_daemon"),
        ):
            code, _, err = self.run_command("apply", "-f", self.write([rival]))
        self.assertEqual(code, 0)
        self.assertIn("warning: clashes", err)
        self.assertIn("claimed by team fraser-valley", err)

    def test_unresolved_write_is_reported_as_outcome_unknown(self):
        def put(kind, name, spec, version):
            return Failure(PlatformUnreachableError("timed out"))

        self.port.app.platform = _PatchedPlatform(self.port.platform, put=put)
        code, _, err = self.run_command("domain", "take-out", "b")
        self.assertEqual(code, client.EXIT_UNKNOWN)
        self.assertIn("outcome unknown", err)
        self.assertEqual(set(self.port.outcomes()), {"unknown"})

    def test_unreachable_platform_is_reported_as_nothing_changed(self):
        self.port.servers[0].stop(timeout=1)
        code, _, err = self.run_command("apply", "-f", TEAM_FILES[0])
        self.assertEqual(code, client.EXIT_UNREACHABLE)
        self.assertIn("nothing changed", err)

    def test_audit_entry_without_second_write_shows_begun(self):
        """A daemon fails between a change and the second write of its audit entry."""
        original_put = self.port.platform.put

        def put(kind, name, spec, version):
            if kind == KIND_AUDIT_ENTRY and version:
                return Failure(PlatformUnreachableError("lost"))
            return original_put(kind, name, spec, version)

        self.port.trail.platform = _PatchedPlatform(self.port.platform, put=put)
        self.assertEqual(self.run_command("domain", "take-out", "b")[0], 0)
        code, out, _ = self.run_command("audit")
        self.assertEqual(code, 0)
        self.assertIn("begun", out)
        self.assertIn("the change is in the object now", out)

    def test_rejected_changes_are_audited(self):
        self.assertEqual(self.run_command("domain", "take-out", "bb")[0], 2)
        _, out, _ = self.run_command("audit", "-o", "json")
        entry = json.loads(out)[0]
        self.assertEqual((entry["outcome"], entry["name"]), ("refused", "bb"))
        self.assertEqual(entry["remote"], "127.0.0.1")

    def test_audit_trail_is_pruned(self):
        for i in range(150):
            spec = {"at_ms": i, "outcome": "done"}
            self.port.platform.put(KIND_AUDIT_ENTRY, f"{i:013d}-x", spec, 0)
        self.port.trail._prune()
        names = sorted(self.port.specs(KIND_AUDIT_ENTRY))
        self.assertEqual((len(names), names[0]), (100, f"{50:013d}-x"))

    def test_declare_lost_requires_confirmation(self):
        code, _, err = self.run_command("domain", "declare-lost", "b")
        self.assertEqual(code, client.EXIT_INVALID)
        self.assertIn("--confirm b", err)
        lost = {"kind": "FailureDomain", "name": "b", "spec": {"state": "lost"}}
        code, _, err = self.run_command("apply", "-f", self.write([lost]))
        self.assertEqual(code, client.EXIT_INVALID)
        self.assertIn("declare-lost b --confirm b", err)
        done = self.run_command("domain", "declare-lost", "b", "--confirm", "b")
        self.assertEqual(done[0], 0)

    def test_validate_needs_no_daemon(self):
        code, out, _ = self.run_command("validate", *TEAM_FILES)
        self.assertEqual(code, 0)
        team = {"kind": "Team", "name": "t", "spec": {"template": "elsewhere"}}
        code, _, err = self.run_command("validate", self.write([team]))
        self.assertEqual(code, 0)
        self.assertIn("note: ", err)
        settings = self.write([{"name": "D1", "failure_domain": "a"}], "s.yaml")
        code, _, err = self.run_command("validate", settings, self.changed_team(x=1))
        self.assertEqual(code, client.EXIT_INVALID)
        self.assertIn("s.yaml:2: name: 'D1'", err)
        self.assertIn("parameters.x: template 'grant-desk' has no such", err)
        self.assertEqual(self.run_command("validate")[0], client.EXIT_INVALID)

    def test_missing_objects_files_and_kinds_are_reported(self):
        self.assertEqual(self.run_command("get", "Team", "x")[0], 1)
        self.assertEqual(self.run_command("delete", "Team", "x")[0], 1)
        self.assertEqual(self.run_command("explain", "a", "b", "c")[0], 1)
        code, _, err = self.run_command("apply", "-f", "/nonexistent.yaml")
        self.assertEqual(code, client.EXIT_INVALID)
        code, _, err = self.run_command("get", "pods")
        self.assertEqual(code, client.EXIT_INVALID)
        self.assertIn("known are Template, Team", err)
        self.assertEqual(self.run_command("get", "team")[0], 0)

    def test_only_declared_objects_can_be_deleted(self):
        self.port.platform.put("Assignment", "x", {"request_id": ""}, 0)
        code, _, err = self.run_command("delete", "Assignment", "x")
        self.assertEqual(code, client.EXIT_INVALID)
        self.assertIn("cannot be declared", err)
        self.assertIn("x", self.port.specs("Assignment"))

    def test_unreachable_daemon_is_reported(self):
        self.port.servers[1].stop(timeout=1)
        code, _, err = self.run_command("status")
        self.assertEqual(code, client.EXIT_UNREACHABLE)
        self.assertIn("another daemon", err)

    def test_unauthenticated_calls_are_rejected_and_audited_once(self):
        """A caller without the secret calls the port repeatedly.

        Each call is rejected; the audit trail gets one write a minute, not one a call,
        so that guessing secrets does not load the platform.
        """
        port = OperatorPort(SECRET)
        self.addCleanup(port.stop)
        path = os.path.join(self.folder, "secret")
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(SECRET + "\n")
        for _ in range(5):
            code, _, err = self.run_command("status", port=port)
            self.assertEqual(code, client.EXIT_REFUSED)
        self.assertIn("--secret-file", err)
        headers = [("Authorization", f"Bearer {SECRET}x")]
        wrong = HttpPool(port.address).exchange(
            "GET", "/operator/status", headers, b"", 5000
        )
        self.assertEqual(wrong.unwrap().status, 401)
        done = self.run_command("status", "--secret-file", path, port=port)
        self.assertEqual(done[0], 0)
        self.assertEqual(port.outcomes(), ["refused"])

    def test_malformed_bodies_are_rejected(self):
        pool = HttpPool(self.port.address)
        target = "/operator/objects/Team/t?version=0"
        for body in (b"{", b"[]", b"null", b'"x"'):
            status = pool.exchange("PUT", target, (), body, 5000).unwrap().status
            self.assertEqual(status, 400, body)
        malformed = pool.exchange("PUT", target + "x", (), b"{}", 5000).unwrap().status
        self.assertEqual(malformed, 400)
        large = pool.exchange("PUT", target, (), b" " * 1_100_000, 5000).unwrap()
        self.assertEqual(large.status, 413)


class _PatchedPlatform:
    """A platform with some of its methods replaced."""

    def __init__(self, platform, **methods):
        self._platform = platform
        self.__dict__.update(methods)

    def __getattr__(self, name):
        return getattr(self._platform, name)


class SiteTest(unittest.TestCase):
    """A site of three daemons in two failure domains, all ports with secrets."""

    @classmethod
    def setUpClass(cls):
        cls.site = Site()
        cls.addClassCleanup(shutil.rmtree, cls.site.folder, ignore_errors=True)
        cls.addClassCleanup(cls.site.stop)
        cls.secret_file = os.path.join(cls.site.folder, "secret")
        with open(cls.secret_file, "w", encoding="utf-8") as stream:
            stream.write(SECRET + "\n")
        security = {
            "operator_secret_file": cls.secret_file,
            "peer_secret": PEER_SECRET,
        }
        cls.site.start_platform()
        for spec in DAEMONS:
            cls.site.start_daemon(spec, security=security)
        for backend in BACKENDS:
            cls.site.start_backend(backend)
        cls.site.wait_ready([spec.name for spec in DAEMONS])

    def run_command(self, *arguments):
        """Run the command as a process; return its exit code and combined output."""
        done = self.site.command(
            *arguments, "--secret-file", self.secret_file, daemon="d1"
        )
        return done.returncode, done.stdout + done.stderr

    def converge(self):
        """Wait until the intended configuration is in force."""
        code, text = self.run_command("watch", "--timeout-s", "20")
        self.assertEqual(code, 0, text)

    def status(self):
        """Return the parsed status."""
        return json.loads(self.run_command("status", "--output", "json")[1])

    def test_1_configuration_comes_into_force_in_every_failure_domain(self):
        code, text = self.run_command("apply", "--file", *TEAM_FILES)
        self.assertEqual(code, 0, text)
        self.converge()
        status = self.status()
        self.assertEqual(
            [row["in_force"] for row in status["failure_domains"]], [True, True]
        )

    def test_1_unauthenticated_peers_are_rejected(self):
        """A caller reaches the peer ports without the secret.

        If it were accepted, it could impersonate a daemon or report releases that never
        happened, and a key would get two owners.
        """
        settings = self.site.settings["d1"]
        for target in ("/peer/ping", "/peer/in-force"):
            pool = HttpPool(settings["control_address"])
            answer = pool.exchange("POST", target, (), b"{}", 5000).unwrap()
            self.assertEqual(answer.status, 401)
        for secret, expected in (("", "UNAUTHENTICATED"), (PEER_SECRET, "accepted")):
            done = subprocess.run(
                [sys.executable, "-c", REPORT, settings["peer_address"], secret],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
            self.assertIn(expected, done.stdout, done.stderr)

    def test_2_a_failure_domain_is_taken_out_and_brought_back(self):
        self.assertEqual(self.run_command("domain", "take-out", "b")[0], 0)
        self.converge()
        rows = {row["failure_domain"]: row for row in self.status()["failure_domains"]}
        self.assertEqual((rows["b"]["order"], rows["b"]["slices_owned"]), ("out", 0))
        self.assertEqual(self.run_command("domain", "bring-back", "b")[0], 0)
        self.converge()

    def test_3_deleted_team_is_removed_once_its_keys_have_no_owner(self):
        """A team is deleted and declared again while its servers keep running.

        If its keys were not released first, the planner of the new team would assign
        them to other servers while the old owners still hold them.
        """
        name = "cooperative.jobs"
        _, text = self.run_command("get", "Assignment", name, "-o", "json")
        before = json.loads(text)["spec"]["ranges"]
        self.assertEqual(self.run_command("delete", "Team", "cooperative")[0], 0)
        self.converge()
        self.assertEqual(self.run_command("get", "Team", "cooperative")[0], 1)
        _, text = self.run_command("get", "Assignment", name, "-o", "json")
        after = json.loads(text)["spec"]["ranges"]
        self.assertEqual({item[2] for item in after}, {"unowned"})
        self.assertEqual(self.run_command("apply", "-f", TEAM_FILES[1])[0], 0)
        self.converge()
        _, text = self.run_command("get", "Assignment", name, "-o", "json")
        tokens = [item[4] for item in json.loads(text)["spec"]["ranges"]]
        self.assertGreater(min(tokens), min(item[4] for item in before))

    def test_4_watch_names_a_lagging_daemon(self):
        """A daemon is paused while the configuration changes."""
        self.site.signal("d2", signal.SIGSTOP)
        try:
            self.assertEqual(self.run_command("domain", "take-out", "b")[0], 0)
            code, text = self.run_command("watch", "--timeout-s", "2")
            self.assertEqual(code, client.EXIT_DIFFERS)
            self.assertIn("d2", text)
        finally:
            self.site.signal("d2", signal.SIGCONT)
        self.assertEqual(self.run_command("domain", "bring-back", "b")[0], 0)
        self.converge()

    def test_5_keys_of_a_failure_domain_declared_lost_are_reassigned(self):
        """All VMs of a failure domain are lost, and no process can prove a release.

        The other daemons cannot tell a dead owner from one that is cut off. The keys
        stay with their owners until an operator declares the failure domain lost.
        """
        for backend in BACKENDS:
            if backend.failure_domain == "b":
                self.site.kill(backend.name)
        self.site.kill("d3")
        code, text = self.run_command("watch", "--timeout-s", "1")
        self.assertEqual(code, client.EXIT_DIFFERS)
        self.assertIn("failure domain b: no daemon answers", text)
        done = self.run_command("domain", "declare-lost", "b", "--confirm", "b")
        self.assertEqual(done[0], 0, done[1])
        self.converge()
        rows = {row["failure_domain"]: row for row in self.status()["failure_domains"]}
        self.assertEqual(rows["b"]["slices_owned"], 0)
        rows = {row["service"]: row for row in self.status()["services"]}
        self.assertEqual(rows["records"]["owned"], rows["records"]["slices"])
