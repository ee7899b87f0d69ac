"""Fault tests with servers that do not check grants.

Requests to such a server are sent only by its steward.
"""

import signal

import gevent

from standins.layouts import successor_of
from standins.load import Call
from standins.proxy import Fault
from tests.faults import ALL_DAEMONS, FaultTestCase

RECORDS = (
    Call("record lookup", "GET", lambda key: "/records/status", "X-Grant-Record"),
    Call("record claim", "POST", lambda key: "/records", "X-Grant-Record", 200),
)


class GatedServerFaultTest(FaultTestCase):
    """The servers of the divided service execute every request that reaches them."""

    servers_check_grants = False

    def daemons_except(self, name):
        """Return the names of all daemons but one."""
        return [other for other in ALL_DAEMONS if other != name]

    def test_paused_steward_resumes_with_requests_in_flight(self):
        """The steward is paused with forwarded claims in flight, then resumed.

        Meanwhile its successor sends to the server. The requests that the former
        steward still holds must not reach the server, which would execute them.
        """
        steward = self.steward_of("records1")
        outcomes = self.run_load(
            6.0,
            (1.0, lambda: self.site.signal(steward, signal.SIGSTOP)),
            (3.5, lambda: self.site.signal(steward, signal.SIGCONT)),
            daemons=self.daemons_except(steward),
            calls=RECORDS,
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_killed_steward_is_replaced(self):
        """The only daemon that may send to a server is killed under load."""
        steward = self.steward_of("records1")
        outcomes = self.run_load(
            5.0,
            (1.0, lambda: self.site.kill(steward)),
            daemons=self.daemons_except(steward),
            calls=RECORDS,
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_paused_server_executes_buffered_requests(self):
        """A server is paused with claims in its socket buffers, then resumed.

        It executes them, as it does not check grants. Its keys must therefore not be
        assigned to another server meanwhile, however long it does not respond.
        """
        outcomes = self.run_load(
            7.0,
            (1.0, lambda: self.site.signal("records1", signal.SIGSTOP)),
            (3.5, lambda: self.site.signal("records1", signal.SIGCONT)),
            calls=RECORDS,
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_daemon_joins_while_platform_and_pings_are_slow(self):
        """Guards against a steward losing its right while it names a successor.

        A daemon of its failure domain joins while pings and the platform are slow.
        """
        steward = self.steward_of("records3")
        (neighbour,) = {"d3", "d4"} - {steward}
        self.site.terminate(neighbour)
        self.wait_for_successor("records3", "")
        self.site.set_faults(Fault([steward], [neighbour], "delay", 50.0))
        self.site.platform("faults", {"down": False, "delay_ms": 300})
        outcomes = self.run_load(
            6.0,
            (0.5, lambda: self.site.restart_daemon(neighbour)),
            daemons=self.daemons_except(neighbour),
            calls=RECORDS,
        )
        self.wait_for_successor("records3", neighbour)
        self.assertEqual([o for o in outcomes if o.result != "well"][:3], [])
        self.check_invariants(outcomes)

    def wait_for_successor(self, server, name):
        """Wait until a server's steward names a daemon, or none (""), as successor."""
        role = f"steward.fraser-valley.records.{server}"
        with gevent.Timeout(10.0):
            while successor_of(self.site, role) != name:
                gevent.sleep(0.05)
