"""Operator actions under load."""

import json
import time

import gevent

from standins.checker import new_work_after
from tarragonramp.adapters.http import HttpPool
from tests.faults import ALL_DAEMONS, NAMES_BY_DOMAIN, FaultTestCase

PROPAGATION_LIMIT_S = 5.0


def now_ms():
    """Return the machine's monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


class OperatorTest(FaultTestCase):
    """Changes of failure domains, VMs and teams."""

    proxied = False

    def run_operator_command(self, *arguments):
        """Run an operator command; return the time when it completed, in ms."""
        done = self.site.command(*arguments, daemon="d1")
        self.assertEqual(done.returncode, 0, done.stderr)
        return now_ms()

    def test_a_failure_domain_is_taken_out_and_brought_back(self):
        """Failure domain b is taken out under load and brought back.

        Its keys move without a failed request, and three seconds after the command no
        new execution starts there until it is brought back. It serves again within
        three seconds of the acknowledgement of the second command; the acknowledgement
        is used because the command takes up to three seconds to start on a loaded
        machine.
        """
        times = {}

        def take_out():
            times["out"] = self.run_operator_command("domain", "take-out", "b")

        def bring_back():
            times["back"] = now_ms()
            times["acknowledged"] = self.run_operator_command(
                "domain", "bring-back", "b"
            )

        outcomes = self.run_load(14.0, (0.5, take_out), (6.0, bring_back))
        self.check_invariants(outcomes)
        self.assertEqual([o for o in outcomes if o.result != "well"][:3], [])
        faults = new_work_after(
            self.site.executions(), NAMES_BY_DOMAIN["b"], times["out"], times["back"]
        )
        self.assertEqual(faults[:3], [])
        used_ms = [
            item["ended_ms"]
            for item in self.site.executions()
            if item["server"] == "records3" and item["ended_ms"] > times["back"]
        ]
        self.assertLess(min(used_ms), times["acknowledged"] + 3000.0)

    def test_a_departing_server_gets_no_new_work(self):
        """Two servers are marked as departing in the VM list.

        Their keys move to others without a failed request, and three seconds later no
        new execution starts there.
        """
        times = {}

        def depart():
            times["order"] = now_ms()
            for vm in self.site.vms:
                if vm["name"] in ("records1", "claims1"):
                    vm["state"] = "departing"
            self.site.platform("vms", self.site.vms)

        outcomes = self.run_load(6.0, (0.5, depart))
        self.check_invariants(outcomes)
        self.assertEqual([o for o in outcomes if o.result != "well"][:3], [])
        faults = new_work_after(
            self.site.executions(), ["records1", "claims1"], times["order"]
        )
        self.assertEqual(faults[:3], [])

    def test_operators_race_each_other(self):
        """Four operators change one team concurrently through four daemons.

        All have read the same version. One update succeeds and the others get a
        conflict; every daemon converges on the version that was written.
        """
        team = self.site.operator("d1", "objects/Team/fraser-valley")
        replies = {}

        def change(daemon, slots):
            spec = {k: v for k, v in team["spec"].items() if k != "request_id"}
            spec["parameters"] = {**team["spec"]["parameters"]}
            spec["parameters"]["slots"] = slots
            replies[daemon] = self.put(daemon, team, spec)

        tasks = [
            gevent.spawn(change, daemon, 4 + index)
            for index, daemon in enumerate(ALL_DAEMONS)
        ]
        gevent.joinall(tasks, raise_error=True)
        statuses = sorted(reply.status for reply in replies.values())
        self.assertEqual(statuses, [200, 409, 409, 409])
        won = self.site.operator("d1", "objects/Team/fraser-valley")
        winner = next(d for d, reply in replies.items() if reply.status == 200)
        expected = 4 + ALL_DAEMONS.index(winner)
        self.assertEqual(won["spec"]["parameters"]["slots"], expected)
        until_s = time.monotonic() + PROPAGATION_LIMIT_S
        while time.monotonic() < until_s and not self.have_version(won["version"]):
            gevent.sleep(0.05)
        self.assertTrue(self.have_version(won["version"]))

    def put(self, daemon, stored, spec):
        """Write a spec with a conditional update against the version that was read."""
        address = self.site.settings[daemon]["control_address"]
        name = f"{stored['kind']}/{stored['name']}?version={stored['version']}"
        body = json.dumps(spec).encode()
        target = f"/operator/objects/{name}"
        return HttpPool(address).exchange("PUT", target, (), body, 5000).unwrap()

    def have_version(self, version):
        """Tell whether all daemons have reached a platform version."""
        return all(
            self.site.operator(daemon, "status")["view_version"] >= version
            for daemon in ALL_DAEMONS
        )
