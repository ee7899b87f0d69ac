"""Fault tests with network partitions, in both directions or in one."""

import gevent

from standins.layouts import CALLS
from tests.faults import ALL_DAEMONS, NAMES_BY_DOMAIN, FaultTestCase, partition

RECORD_CALLS = [call for call in CALLS if call.key_header]


class PartitionTest(FaultTestCase):
    """A failure domain, or some of its processes, are partitioned from others."""

    def test_a_cut_off_failure_domain_goes_on(self):
        """Failure domain b is partitioned from the platform and from domain a.

        Each side serves the keys of its own servers to the callers it can reach and
        refuses the other side's keys as not run. Ownership does not move.
        """
        faults = partition(NAMES_BY_DOMAIN["b"], [*NAMES_BY_DOMAIN["a"], "platform"])
        # More callers on each side than there are slots at the servers of the other:
        # requests in flight when the partition begins block theirs until the deadline.
        load_a = gevent.spawn(
            self.run_load_during_faults, faults, 7.0, daemons=["d1", "d2"], n_callers=24
        )
        load_b = gevent.spawn(self.run_load, 7.0, daemons=["d3", "d4"], n_callers=24)
        gevent.joinall([load_a, load_b], raise_error=True)
        outcomes = [*load_a.value, *load_b.value]
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)
        for load in (load_a, load_b):
            during = self.outcomes_between(load.value, 2.5, 3.9)
            well = {o.label for o in during if o.result == "well"}
            self.assertEqual(
                well, {"record lookup", "record claim", "claim check", "claim"}
            )

    def test_steward_partitioned_from_its_server(self):
        """The steward cannot reach its server, but all other daemons can.

        The grant expires and the keys move. Requests that entries still have in flight
        at the old owner must take effect under its grant or not at all.
        """
        steward = self.steward_of("records1")
        faults = partition([steward], ["records1"])
        outcomes = self.run_load_during_faults(faults, 6.0)
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_an_entry_with_an_old_route_and_a_steward_without_its_server(self):
        """A steward cannot reach its server, and an entry elsewhere gets no updates.

        The entry keeps sending to the old owner, which is healthy and accepts requests
        until its grant expires; only then may the new owner start. The number of
        callers is high enough that some continue while others wait for the daemon of
        the isolated steward.
        """
        steward = self.steward_of("records1")
        others = [name for name in ALL_DAEMONS if name != "d4"]
        faults = (
            *partition([steward], ["records1"]),
            *partition(["d4"], [*others, "platform"]),
        )
        outcomes = self.run_load_during_faults(
            faults, 5.0, calls=RECORD_CALLS, n_keys=8, n_callers=40
        )
        self.check_invariants(outcomes)

    def test_responses_to_a_steward_are_blocked(self):
        """Renewals reach the server, but its responses do not reach the steward.

        The steward cannot know which renewals were accepted. It must treat each as
        accepted and prove the release only when the latest has certainly expired.
        """
        steward = self.steward_of("records1")
        faults = partition([steward], ["records1"], "cut-answers")
        outcomes = self.run_load_during_faults(faults, 6.0)
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_daemons_of_a_failure_domain_partitioned_from_each_other(self):
        """The two daemons of a failure domain cannot reach each other.

        Each appears to have failed to the other. The platform decides who holds each
        term, and a former holder's right ends before the new holder acts.
        """
        faults = partition(["d1"], ["d2"])
        outcomes = self.run_load_during_faults(faults, 7.0)
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def run_load_during_faults(self, faults, seconds, **options):
        """Run load with faults that begin after one second and end after four."""
        return self.run_load(
            seconds,
            (1.0, lambda: self.site.set_faults(*faults)),
            (4.0, self.site.set_faults),
            **options,
        )

    def outcomes_between(self, outcomes, from_s, to_s):
        """Return the outcomes of requests that began within a part of the run."""
        first_ms = min(o.began_ms for o in outcomes)
        return [
            o
            for o in outcomes
            if from_s * 1000.0 < o.began_ms - first_ms < to_s * 1000.0
        ]
