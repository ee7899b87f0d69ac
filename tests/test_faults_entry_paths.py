"""Fault tests with an entry that reaches none of the backend servers."""

import collections

from standins.proxy import Fault
from tests.faults import ALL_DAEMONS, FaultTestCase

SERVERS = ("records1", "records2", "records3", "claims1", "claims2")
CUT_AT_S, CONTACT_S, MEASURED_S = 1.0, 3.0, 4.0


class NoServerReachedTest(FaultTestCase):
    """Guards against entries that refuse everything while stewards reach servers."""

    def check_cut(self, kind):
        """Cut an entry off from all servers and check what its callers get."""
        entry = self.least_steward()
        fault = Fault([entry], list(SERVERS), kind)
        outcomes = self.run_load(
            CUT_AT_S + CONTACT_S + MEASURED_S,
            (CUT_AT_S, lambda: self.site.set_faults(fault)),
            daemons=[entry],
        )
        self.site.set_faults()
        self.check_invariants(outcomes)
        first_ms = min(o.began_ms for o in outcomes)
        measured_ms = first_ms + (CUT_AT_S + CONTACT_S) * 1000.0
        measured = [o for o in outcomes if o.began_ms > measured_ms]
        results = collections.Counter(o.result for o in measured)
        self.assertGreater(len(measured), 50, results)
        failed = len(measured) - results["well"]
        self.assertLessEqual(failed, 10 + len(measured) / 50, results)
        self.check_recovered(outcomes)

    def least_steward(self):
        """Return the daemon that is the steward of the fewest servers."""
        stewards = collections.Counter(
            self.steward_of(name) for name in SERVERS if name.startswith("records")
        )
        return min(ALL_DAEMONS, key=lambda name: stewards[name])

    def test_callers_are_served_while_connections_hang(self):
        self.check_cut("cut")

    def test_callers_are_served_while_connections_are_reset(self):
        self.check_cut("reset")

    def test_callers_are_served_while_new_connections_are_refused(self):
        self.check_cut("refuse")
