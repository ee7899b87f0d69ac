"""Fault tests with servers in a cold start, when their capacity is reduced."""

from standins.layouts import ALL_DAEMONS
from tests.faults import FaultTestCase


class ColdServerFaultTest(FaultTestCase):
    """Servers are cold for two seconds after a start.

    Requests take 25 ms each, so that concurrent ones overlap.
    """

    backend_options = {"cold_ms": 2000.0, "work_ms": 25.0}

    def test_servers_restart_cold_under_load(self):
        """A server of each service is killed and restarted under load.

        Guards against each of the four entries sending its own small share to a cold
        server: it can process only one request at a time from all of them together.
        """
        names = ("claims1", "records1")

        def restart_servers():
            for name in names:
                self.site.kill(name)
            for name in names:
                self.site.restart_backend(name)

        outcomes = self.run_load(10.0, (1.0, restart_servers), daemons=ALL_DAEMONS)
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)
        restarted = {
            e["boot_id"] for e in self.site.executions() if e["server"] in names
        }
        self.assertEqual(len(restarted), 4)
