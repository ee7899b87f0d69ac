"""Networks that are cut, in both directions or in one."""

from standins.layouts import CALLS
from tests.faults import ALL_DAEMONS, IN_DOMAIN, FaultTestCase, cut

RECORD_CALLS = [call for call in CALLS if call.key_header]


class CutTest(FaultTestCase):
    """A failure domain, or a part of it, is cut off."""

    def test_a_cut_off_failure_domain_goes_on(self):
        """Failure domain b is cut off from the platform and from domain a.

        Each side serves its own servers' keys to the callers it can reach; the
        other side's keys are refused as not run. Nobody takes them over.
        """
        faults = cut(IN_DOMAIN["b"], [*IN_DOMAIN["a"], "platform"])
        outcomes = self.load_through(faults, 7.0)
        self.check_promises(outcomes)
        self.check_recovered(outcomes)
        during = self.during(outcomes, 2.5, 3.9)
        well = {o.label for o in during if o.result == "well"}
        self.assertEqual(
            well, {"record lookup", "record claim", "claim check", "claim"}
        )

    def test_a_steward_cut_off_from_its_server(self):
        """The steward cannot reach its server, everybody else can.

        The grant runs out, the keys move, and the requests that entries still have
        under way at the old owner take effect under its grant or not at all.
        """
        steward = self.steward_of("records1")
        faults = cut([steward], ["records1"])
        outcomes = self.load_through(faults, 6.0)
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def test_an_entry_with_an_old_route_and_a_steward_without_its_server(self):
        """A steward loses its server, and an entry elsewhere loses all news.

        The entry goes on sending to the old owner, which is well and takes requests
        until its grant ends. Only then may the new owner begin. There are enough
        callers for some to go on while others wait for the cut-off steward's daemon.
        """
        steward = self.steward_of("records1")
        others = [name for name in ALL_DAEMONS if name != "d4"]
        faults = (*cut([steward], ["records1"]), *cut(["d4"], [*others, "platform"]))
        outcomes = self.load_through(
            faults, 5.0, calls=RECORD_CALLS, n_keys=8, n_callers=40
        )
        self.check_promises(outcomes)

    def test_answers_to_a_steward_are_cut(self):
        """Renewals reach the server but its answers do not come back.

        The steward cannot know which of its renewals were taken: it counts each as
        taken, and proves the release only when the latest has surely run out.
        """
        steward = self.steward_of("records1")
        faults = cut([steward], ["records1"], "cut-answers")
        outcomes = self.load_through(faults, 6.0)
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def test_neighbours_cut_off_from_each_other(self):
        """The two daemons of a failure domain lose each other, nothing else.

        Each looks dead to the other. The platform decides who holds which term;
        the old holder's right is over before the new one relies on it.
        """
        faults = cut(["d1"], ["d2"])
        outcomes = self.load_through(faults, 7.0)
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def load_through(self, faults, seconds, **options):
        """Put load on while a cut begins after one second and heals after four."""
        return self.load_during(
            seconds,
            (1.0, lambda: self.site.set_faults(*faults)),
            (4.0, self.site.set_faults),
            **options,
        )

    def during(self, outcomes, from_s, to_s):
        """Return what began in a part of the run."""
        first_ms = min(o.began_ms for o in outcomes)
        return [
            o
            for o in outcomes
            if from_s * 1000.0 < o.began_ms - first_ms < to_s * 1000.0
        ]
