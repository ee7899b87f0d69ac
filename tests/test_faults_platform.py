"""Fault tests with a platform that is down, slow, stale, or loses responses."""

from tests.faults import FaultTestCase


class PlatformFaultTest(FaultTestCase):
    """Faults of the platform's object API."""

    def fault_setter(self, **changes):
        """Return a function that changes the faults of the platform's stand-in."""
        return lambda: self.site.platform("faults", changes)

    def test_platform_outage_fails_no_request(self):
        """The platform is down for four seconds, several times the length of a grant.

        Stewards keep their rights by their successors' confirmations and entries route
        by the state they have, so that no request may fail.
        """
        outcomes = self.run_load(
            6.0,
            (0.5, self.fault_setter(down=True)),
            (4.5, self.fault_setter(down=False)),
        )
        self.check_invariants(outcomes)
        self.assertEqual([o for o in outcomes if o.result != "well"][:3], [])

    def test_lost_answers_while_keys_move(self):
        """A server is killed, and the responses to the next writes are lost.

        The writes took effect. A daemon that retries must recognise its own write, and
        must not treat a lost response as a write that was not done.
        """
        outcomes = self.run_load(
            6.0,
            (0.9, self.fault_setter(lose_answers=6)),
            (1.0, lambda: self.site.kill("records1")),
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_steward_killed_while_the_platform_is_slow(self):
        """A steward is killed while each response of the platform takes a second.

        The response to the successor's takeover write is late. The server's grant
        expires before and requests for its keys are refused, but no execution may be
        lost or duplicated.
        """
        steward = self.steward_of("records1")
        others = [n for n in ("d1", "d2", "d3", "d4") if n != steward]
        outcomes = self.run_load(
            8.0,
            (0.5, self.fault_setter(delay_ms=1000)),
            (1.0, lambda: self.site.kill(steward)),
            (4.0, self.fault_setter(delay_ms=0)),
            daemons=others,
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_stale_reads_and_watches(self):
        """Lists and watches return old objects for a while as a server is killed.

        Conditional updates still see the current versions. No daemon may go back to an
        older assignment or configuration.
        """
        outcomes = self.run_load(
            7.0,
            (0.9, self.fault_setter(freeze_reads=True)),
            (1.0, lambda: self.site.kill("records1")),
            (4.0, self.fault_setter(freeze_reads=False)),
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)
