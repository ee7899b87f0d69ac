"""Base class of the fault-injection tests: a small site behind a proxy."""

import shutil
import unittest

import gevent

from standins.checker import check_run
from standins.layouts import ALL_DAEMONS, CALLS, NAMES_BY_DOMAIN, holder_of, start_small
from standins.load import Load
from standins.pauses import read_pauses
from standins.proxy import Fault
from standins.site import Site

__all__ = ["ALL_DAEMONS", "NAMES_BY_DOMAIN", "FaultTestCase", "partition"]


PAUSE_MS = 20.0
"""Pause between a caller's requests.

Keeps the load far below the servers' capacity, so that every refusal is due to the
injected fault.
"""


def partition(names, others, kind="cut"):
    """Return the faults that separate two groups of processes in both directions."""
    return Fault(list(names), list(others), kind), Fault(
        list(others), list(names), kind
    )


class FaultTestCase(unittest.TestCase):
    """Starts a site for each test and offers load generation and invariant checks.

    Subclasses may override the class attributes.

    Attributes
    ----------
    proxied : bool
        Whether connections between processes pass the fault-injecting proxy.
    servers_check_grants : bool
        Whether the servers of the divided service check grants.
    backend_options : dict
        Fields of :class:`standins.site.Backend` to set for every backend server.
    """

    proxied = True
    servers_check_grants = True
    backend_options = {}

    def setUp(self):
        """Start the platform, daemons and backend servers, and declare a team."""
        self.site = Site(proxied=self.proxied)
        self.addCleanup(shutil.rmtree, self.site.folder, ignore_errors=True)
        self.addCleanup(self.site.stop)
        start_small(self.site, self.servers_check_grants, **self.backend_options)

    def run_load(
        self,
        seconds,
        *events,
        daemons=ALL_DAEMONS,
        calls=CALLS,
        n_keys=200,
        n_callers=12,
    ):
        """Send requests for some time and trigger events during the run.

        Parameters
        ----------
        seconds : float
        *events : (float, callable)
            Seconds after the start of the load, and the function to call then.
        daemons : list of str
            Daemons that receive the requests.
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

    def check_invariants(self, outcomes):
        """Fail if the execution logs or outcomes violate an invariant."""
        faults = check_run(self.site.executions(), outcomes)
        self.assertEqual({k: v[:3] for k, v in faults.items() if v}, {})

    def check_recovered(self, outcomes):
        """Fail unless every request succeeds during one further second of load."""
        after = self.run_load(1.0)
        if any(o.result != "well" for o in after):
            self.print_daemon_logs()
        self.assertGreater(len(after), 20)
        self.assertEqual([o for o in after if o.result != "well"][:3], [])
        self.check_invariants([*outcomes, *after])

    def _callTestMethod(self, method):  # noqa: N802
        """Run the test; if it fails, print which processes were paused meanwhile.

        A server or proxy that the machine does not schedule looks like an injected
        fault.
        """
        try:
            super()._callTestMethod(method)
        except Exception:
            print("\n".join(["pauses:", *read_pauses(self.site.folder)]))
            raise

    def print_daemon_logs(self):
        """Print each daemon's last log lines, as a failure may not be reproducible."""
        for name in ALL_DAEMONS:
            lines = self.site.daemon_log(name).splitlines()
            print("\n".join([f"last events of {name}:", *lines[-20:]]))

    def steward_of(self, server):
        """Return the name of the daemon that is the steward of a server."""
        return holder_of(self.site, f"steward.fraser-valley.records.{server}")

    def planner(self):
        """Return the name of the daemon that is the team's planner."""
        return holder_of(self.site, "planner.fraser-valley")
