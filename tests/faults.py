"""A small site behind the fault-injecting proxy, for tests that break things."""

import shutil
import unittest

import gevent

from standins.checker import check_run
from standins.layouts import ALL_DAEMONS, CALLS, IN_DOMAIN, holder_of, start_small
from standins.load import Load
from standins.pauses import pauses_in
from standins.proxy import Fault
from standins.site import Site

__all__ = ["ALL_DAEMONS", "IN_DOMAIN", "FaultTestCase", "cut"]


PAUSE_MS = 20.0
"""Far below what the servers bear: what is refused is refused for the fault."""


def cut(names, others, kind="cut"):
    """Return the faults that cut some processes off from others, both ways."""
    return Fault(list(names), list(others), kind), Fault(
        list(others), list(names), kind
    )


class FaultTestCase(unittest.TestCase):
    """Starts a site for each test and checks every promise at its end."""

    proxied = True
    checks = True
    changes = {}

    def setUp(self):
        """Start platform, daemons and backend servers; declare a team."""
        self.site = Site(proxied=self.proxied)
        self.addCleanup(shutil.rmtree, self.site.folder, ignore_errors=True)
        self.addCleanup(self.site.stop)
        start_small(self.site, self.checks, **self.changes)

    def load_during(
        self,
        seconds,
        *events,
        daemons=ALL_DAEMONS,
        calls=CALLS,
        n_keys=200,
        n_callers=12,
    ):
        """Put load on and let things happen meanwhile.

        Parameters
        ----------
        seconds : float
        *events : (float, callable)
            Seconds after the start of the load, and what happens then.
        daemons : list of str
            Whose caller ports the load is put on.
        calls : sequence of Call
        n_keys, n_callers : int

        Returns
        -------
        outcomes : list of Outcome
        """
        addresses = [self.site.caller_address(name) for name in daemons]
        load = Load(addresses, list(calls), n_keys, n_callers, PAUSE_MS)
        tasks = [gevent.spawn_later(at_s, event) for at_s, event in events]
        load.run(seconds)
        gevent.joinall(tasks, raise_error=True)
        return load.outcomes

    def check_promises(self, outcomes):
        """Fail if the logs show a broken promise."""
        faults = check_run(self.site.executions(), outcomes)
        self.assertEqual({k: v[:3] for k, v in faults.items() if v}, {})

    def check_recovered(self, outcomes):
        """Fail unless everything is answered well for a second from now on."""
        after = self.load_during(1.0)
        if any(o.result != "well" for o in after):
            self.show_daemons()
        self.assertGreater(len(after), 20)
        self.assertEqual([o for o in after if o.result != "well"][:3], [])
        self.check_promises([*outcomes, *after])

    def _callTestMethod(self, method):  # noqa: N802
        """Run the test; if it fails, print which processes stood still meanwhile.

        A server or the proxy that the machine gives no time looks like a fault.
        """
        try:
            super()._callTestMethod(method)
        except Exception:
            print("\n".join(["pauses:", *pauses_in(self.site.folder)]))
            raise

    def show_daemons(self):
        """Print what each daemon did last: a run that fails once may not fail again."""
        for name in ALL_DAEMONS:
            lines = self.site.daemon_log(name).splitlines()
            print("\n".join([f"last events of {name}:", *lines[-20:]]))

    def steward_of(self, server):
        """Return the name of the daemon that is steward of a server."""
        return holder_of(self.site, f"steward.fraser-valley.records.{server}")

    def planner(self):
        """Return the name of the daemon that plans."""
        return holder_of(self.site, "planner.fraser-valley")
