"""The platform is down, slow, or loses answers."""

from tests.faults import FaultTestCase


class PlatformFaultTest(FaultTestCase):
    """The platform's object API is in trouble while servers live."""

    def faults(self, **changes):
        """Return a function that sets the stand-in's faults."""
        return lambda: self.site.platform("faults", changes)

    def test_an_outage_costs_callers_nothing(self):
        """The platform answers nothing for four seconds, several grants long.

        Stewards go on by their successors' words, entries route on what they know:
        no caller sees it.
        """
        outcomes = self.load_during(
            6.0, (0.5, self.faults(down=True)), (4.5, self.faults(down=False))
        )
        self.check_promises(outcomes)
        self.assertEqual([o for o in outcomes if o.result != "well"][:3], [])

    def test_lost_answers_while_keys_move(self):
        """A server dies, and the answers to the next writes are lost.

        The writes took effect. Whoever tries again must recognise its own, and
        nobody may take a lost answer for a write that never was.
        """
        outcomes = self.load_during(
            6.0,
            (0.9, self.faults(lose_answers=6)),
            (1.0, lambda: self.site.kill("records1")),
        )
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def test_a_slow_platform_while_a_steward_dies(self):
        """Each answer of the platform takes a second when a steward is killed.

        The taking write is answered late; until then the server's grant runs out
        and its callers are refused, but nothing is lost or doubled.
        """
        steward = self.steward_of("records1")
        others = [n for n in ("d1", "d2", "d3", "d4") if n != steward]
        outcomes = self.load_during(
            8.0,
            (0.5, self.faults(delay_ms=1000)),
            (1.0, lambda: self.site.kill(steward)),
            (4.0, self.faults(delay_ms=0)),
            daemons=others,
        )
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def test_old_versions_on_reads_and_watches(self):
        """Lists and watches show old objects for a while, as a server dies.

        Conditional updates still tell the truth. No daemon may go back to an older
        assignment or configuration.
        """
        outcomes = self.load_during(
            7.0,
            (0.9, self.faults(freeze_reads=True)),
            (1.0, lambda: self.site.kill("records1")),
            (4.0, self.faults(freeze_reads=False)),
        )
        self.check_promises(outcomes)
        self.check_recovered(outcomes)
