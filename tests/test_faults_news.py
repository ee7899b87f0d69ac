"""Propagation of changes to all daemons while the leader gets none from the store."""

import signal
import threading
import time
import unittest

from standins.fleet_site import FleetSite, manifest
from standins.proxy import Fault
from standins.site import free_address

DAEMONS = ("d1", "d2", "d3", "d4")
PROPAGATION_LIMIT_S = 2.0
SETTLE_S = 2.0


class UnresponsiveStoreTest(unittest.TestCase):
    """The leader's calls to the store get no response; most other daemons' calls do."""

    def setUp(self):
        """Start a fleet and wait until it has settled."""
        self.site = site = FleetSite(proxy=free_address())
        self.addCleanup(site.close)
        site.start_store()
        site.control_store(write=["config", "main", manifest(1), None])
        for i in range(6):
            site.start_server(f"desk{i}", "desk", "ab"[i % 2])
        site.start_server("parts0", "parts", "a")
        for name, domain in zip(DAEMONS, "abab", strict=True):
            site.start_daemon(name, domain)
        site.wait_ready(*DAEMONS)
        time.sleep(SETTLE_S)

    def isolate_leader(self, n_followers=0):
        """Partition the leader and some followers from the store.

        Done just after the leader has renewed its record, so that it leads for as long
        as possible without the store.
        """
        before = self.leader_record()["meta"]["rev"]
        self.site.wait(lambda: self.leader_record()["meta"]["rev"] > before, "renewal")
        leader = self.leader_record()["spec"]["name"]
        others = [name for name in DAEMONS if name != leader][:n_followers]
        self.site.set_faults(Fault([leader, *others], ["store"], "cut"))

    def leader_record(self):
        """Return the stored object that names the leader."""
        return self.site.control_store()["objects"]["ramp-leader"]["leader"]

    def test_new_manifest_reaches_all_if_the_leader_is_cut_off(self):
        self.isolate_leader()
        self.assert_new_route_is_served()

    def test_new_manifest_reaches_all_if_both_watchers_are_cut_off(self):
        """The leader and the second daemon that watches the store are cut off.

        That second daemon is the first follower by name.
        """
        self.isolate_leader(n_followers=1)
        self.assert_new_route_is_served()

    def test_new_manifest_reaches_all_if_the_leader_then_freezes(self):
        """Guards against two losses whose time limits add up.

        The store leaves both watchers without an answer, and before that is noticed the
        leader leaves everybody else without one.
        """
        self.isolate_leader(n_followers=1)
        leader = self.leader_record()["spec"]["name"]
        frozen = threading.Timer(1.2, self.site.signal, (leader, signal.SIGSTOP))
        frozen.start()
        self.addCleanup(frozen.cancel)
        others = [name for name in DAEMONS if name != leader]
        self.assert_new_route_is_served(others[1:])

    def test_new_manifest_reaches_a_follower_without_leader_and_store(self):
        """Guards against a daemon that learns nothing while its peers know it all."""
        self.isolate_leader(n_followers=1)
        leader = self.leader_record()["spec"]["name"]
        self.site.signal(leader, signal.SIGSTOP)
        self.assert_new_route_is_served([name for name in DAEMONS if name != leader])

    def assert_new_route_is_served(self, daemons=DAEMONS):
        """Add a route and fail unless daemons serve it two seconds later."""
        self.site.control_store(
            write=["config", "main", manifest(5, fresh="desk"), None]
        )
        time.sleep(PROPAGATION_LIMIT_S)
        statuses = {
            name: self.site.call(name, "/fresh/", f"m-{name}").status
            for name in daemons
        }
        self.assertEqual(statuses, dict.fromkeys(daemons, 200))

    def test_draining_server_gets_no_requests_if_the_leader_is_cut_off(self):
        self.isolate_leader()
        self.signal_servers(signal.SIGUSR1, "desk0")
        self.assert_no_new_requests("desk0")

    def test_deregistered_servers_get_no_requests_if_the_leader_is_cut_off(self):
        self.isolate_leader()
        names = ("desk0", "desk1", "desk2")
        self.signal_servers(signal.SIGUSR2, *names)
        self.assert_no_new_requests(*names)

    def test_deregistered_server_gets_no_requests_after_a_store_outage(self):
        self.site.control_store(faults={"down": True})
        time.sleep(1.0)
        self.site.control_store(faults={"down": False})
        time.sleep(SETTLE_S)
        self.signal_servers(signal.SIGUSR2, "desk0")
        self.assert_no_new_requests("desk0")

    def signal_servers(self, number, *names):
        """Signal servers to leave, and wait until the store shows it.

        Parameters
        ----------
        number : int
            SIGUSR1 to announce draining, SIGUSR2 to deregister without announcement.
        *names : str
        """
        for name in names:
            self.site.signal(name, number)
        self.site.wait(
            lambda: all(map(self.is_draining_or_gone, names)), "servers have left"
        )

    def is_draining_or_gone(self, name):
        """Tell whether the store lists a server as draining or not at all."""
        entry = self.site.control_store()["objects"]["servers"].get(name)
        return entry is None or entry["spec"]["status"]["state"] == "draining"

    def assert_no_new_requests(self, *names):
        """Fail if servers get a request that is sent two seconds after they left."""
        time.sleep(PROPAGATION_LIMIT_S)
        for daemon in DAEMONS:
            for i in range(20):
                self.site.call(daemon, "/view/", f"late-{daemon}-{i}")
        runs = [
            e[2]
            for name in names
            for e in self.site.server_log_entries(name)
            if e[0] == "run"
        ]
        self.assertEqual([named for named in runs if named.startswith("late")], [])


if __name__ == "__main__":
    unittest.main()
