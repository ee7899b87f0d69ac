"""Backend servers restart at their addresses while the store cannot be read.

Their entries then name the earlier processes, or are not known at all.
"""

import json
import time
import unittest

from soak.checks import RunRecord, find_violations
from standins.fleet_site import FleetSite, manifest
from standins.proxy import Fault
from standins.site import free_address

from .test_fleet_path import all_keys_served, leader_of

DAEMONS = {"d1": "a", "d2": "a", "d3": "b", "d4": "b"}
SERVERS = {"parts0": "a", "parts1": "a", "parts2": "b", "parts3": "b"}

RENEWED_S = 4.5
"""In this time each server is due for a renewal, also if the first attempt failed."""

REPLACED_S = 4.0
"""In this time a leader that is cut off from the store is replaced."""

RECOVERY_TIMEOUT_S = 25.0
"""Time limit for serving every key again, as in the soak."""


class RestartTest(unittest.TestCase):
    """Guards against a restarted server that gets a token of its earlier process."""

    def setUp(self):
        self.site = FleetSite(proxy=free_address())
        self.addCleanup(self.site.close)
        self.kills = []
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        for name, domain in SERVERS.items():
            self.site.start_server(name, "parts", domain)
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        self.wait_until_served()
        self.leader = leader_of(self.site)
        # Each server's ranges have been renewed by whoever renews them from now on.
        time.sleep(RENEWED_S)

    def wait_until_served(self):
        """Wait until all keys are served."""
        served = lambda: all_keys_served(self.site)
        self.site.wait(served, "all keys served", RECOVERY_TIMEOUT_S)

    def set_store_down(self, down):
        """Let the store refuse all calls, or accept them again."""
        self.site.control_store(faults={"down": down})

    def restart_servers(self):
        """Kill all servers and start each again at its address."""
        for name in SERVERS:
            self.site.kill(name)
            self.kills.append((name, time.time() * 1000.0))
        for name, domain in SERVERS.items():
            self.site.start_server(name, "parts", domain)

    def check_grants(self):
        """Fail if a token did not rise, or two servers held a key at the same time."""
        entries = [
            json.loads(line)
            for name in SERVERS
            for line in self.site.log_text(name).splitlines()
            if line.startswith("[")
        ]
        lives = {(name, life) for name, life, event, *_ in entries if event == "grant"}
        self.assertGreater(len(lives), len(SERVERS))
        violations = find_violations(RunRecord([], entries, self.kills))
        for check in ("increasing tokens", "one owner"):
            self.assertEqual(violations[check], [], check)

    def test_servers_restart_between_two_renewals(self):
        self.set_store_down(True)
        self.restart_servers()
        time.sleep(RENEWED_S)
        self.set_store_down(False)
        self.wait_until_served()
        self.check_grants()

    def test_servers_restart_twice_in_one_outage(self):
        self.set_store_down(True)
        self.restart_servers()
        time.sleep(RENEWED_S / 2)
        self.restart_servers()
        time.sleep(RENEWED_S / 2)
        self.set_store_down(False)
        self.wait_until_served()
        self.check_grants()

    def test_servers_restart_after_a_relay_was_killed(self):
        """Another relay of the failure domain, which has no connection, is used."""
        near = DAEMONS[self.leader]
        for relay in [name for name, domain in DAEMONS.items() if domain != near]:
            with self.subTest(relay):
                self.set_store_down(True)
                self.site.kill(relay)
                self.restart_servers()
                time.sleep(RENEWED_S)
                self.set_store_down(False)
                self.site.start_daemon(relay, DAEMONS[relay])
                self.site.wait_ready(relay)
                self.wait_until_served()
                time.sleep(RENEWED_S)
        self.check_grants()

    def test_servers_restart_just_after_their_leader(self):
        """The new leader has no connections yet when the store is lost."""
        self.site.kill(self.leader)
        taken_over = "event=leader-taken-over"
        n_before = self.site.log_text(self.leader).count(taken_over)
        self.site.start_daemon(self.leader, DAEMONS[self.leader])
        self.site.wait(
            lambda: self.site.log_text(self.leader).count(taken_over) > n_before,
            "leader taken over",
        )
        self.set_store_down(True)
        self.restart_servers()
        time.sleep(RENEWED_S)
        self.set_store_down(False)
        self.wait_until_served()
        self.check_grants()

    def test_servers_restart_while_only_their_leader_lacks_the_store(self):
        """The leader that is cut off and its successor both renew for a time."""
        self.site.set_faults(Fault([self.leader], ["store"], "cut"))
        self.restart_servers()
        time.sleep(REPLACED_S)
        self.restart_servers()
        time.sleep(RENEWED_S)
        self.site.set_faults()
        self.wait_until_served()
        self.check_grants()


if __name__ == "__main__":
    unittest.main()
