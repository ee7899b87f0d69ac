"""Rights of a term's holder and successor, on manual clocks."""

import unittest

from tarragonramp import HeldTerm, Takeover, Term, may_claim
from tarragonramp.model import Member
from tarragonramp.terms import ClaimPlan, RoleTerm, has_departed


def held(successor="b#1"):
    """Return a term that the platform has confirmed at time 0."""
    term = HeldTerm("steward.t.s.x", 1, 10, successor, right_ms=800.0)
    term.observe(Term(1, "a#1", successor), 10, sent_ms=0.0)
    return term


class HeldTermTest(unittest.TestCase):
    """The holder's side of a term."""

    def test_right_counts_from_the_sending_of_the_request(self):
        """Guards against counting a right from the arrival of a response.

        A holder is paused between sending its ping and reading the response. Its right
        would outlast the time that the successor waits, and both would act.
        """
        term = held()
        term.confirmed_by_successor("b#1", sent_ms=100.0)
        self.assertTrue(term.may_act(899.0))
        self.assertFalse(term.may_act(900.0))

    def test_confirmation_of_another_daemon_extends_nothing(self):
        term = held()
        term.confirmed_by_successor("c#1", sent_ms=700.0)
        self.assertFalse(term.may_act(800.0))

    def test_both_confirmations_are_needed_during_a_change_of_successor(self):
        """Guards against relying on one of two possible successors.

        The platform's response to a change of successor is lost, so it may name either
        of the two and either may take over: the old successor's confirmation alone must
        not extend the right.
        """
        term = held()
        term.begin_update("a#1", "c#1", "request-1", now_ms=0.0)
        term.confirmed_by_successor("b#1", sent_ms=700.0)
        self.assertFalse(term.may_act(800.0))
        term.confirmed_by_successor("c#1", sent_ms=600.0)
        self.assertTrue(term.may_act(1399.0))
        self.assertFalse(term.may_act(1400.0))

    def test_right_without_successor_does_not_end(self):
        self.assertTrue(held(successor="").may_act(1e12))

    def test_holder_may_act_while_naming_its_first_successor(self):
        """Guards against refusing callers until the platform has responded."""
        term = held(successor="")
        term.begin_update("a#1", "b#1", "request-1", now_ms=5000.0)
        self.assertTrue(term.may_act(5799.0))
        self.assertFalse(term.may_act(5800.0))

    def test_naming_a_first_successor_again_does_not_extend_the_right(self):
        """Guards against a holder that acts after its lost update has taken effect."""
        term = held(successor="")
        term.begin_update("a#1", "b#1", "request-1", now_ms=5000.0)
        term.begin_update("a#1", "b#1", "request-2", now_ms=5700.0)
        self.assertFalse(term.may_act(5800.0))

    def test_confirmation_without_successor_changes_nothing(self):
        """Guards against an error that skips the terms after one without a successor.

        A neighbour's confirmation applies to all terms that a daemon holds. If a term
        without a successor raised an error, the following terms would not be extended
        and each would need a write to be renewed.
        """
        term = held(successor="")
        term.confirmed_by_successor("b#1", sent_ms=0.0)
        self.assertTrue(term.may_act(1e12))


class TakeoverTest(unittest.TestCase):
    """The successor's side of a term."""

    def test_takeover_waits_for_the_old_right(self):
        takeover = Takeover(
            "r", began_ms=500.0, last_confirmation_ms=0.0, right_ms=800.0
        )
        self.assertGreater(takeover.old_right_ends_ms(600.0), 1400.0)

    def test_who_may_claim(self):
        term = Term(3, "a#1", "b#1")
        never = lambda identity: False
        always = lambda identity: True
        self.assertTrue(may_claim(None, "c#1", never, never))
        self.assertFalse(may_claim(term, "b#1", never, never))
        self.assertTrue(may_claim(term, "b#1", never, always))
        self.assertFalse(may_claim(term, "c#1", never, always))
        self.assertTrue(may_claim(term, "c#1", always, never))


class RoleTermTest(unittest.TestCase):
    """A role over its whole life cycle in one daemon."""

    def holder(self, identity="a#1", term=None):
        """Return a daemon whose claim was granted at time 0, and its term."""
        state = RoleTerm("r", identity, right_ms=800.0)
        write = state.claim(term, 5 if term else 0, 0.0, ClaimPlan("b#1"), "q1")
        state.observe(write.term, 10, 0.0, sent_ms=0.0)
        return state, write.term

    def test_update_in_doubt_is_resent_unchanged(self):
        """Guards against retrying an update in doubt as a new one.

        A change of successor takes effect but the response is lost. With a new request
        id the retry would end in a conflict for ever, and with a third successor the
        holder would lose track of the second.
        """
        state, _ = self.holder()
        first = state.keep(100.0, "c#1", False, "q2")
        self.assertIs(state.keep(200.0, "d#1", False, "q3"), first)
        state.observe(first.term, 11, 300.0, sent_ms=200.0)
        self.assertEqual(state.held.successor, "c#1")
        self.assertEqual(state.keep(300.0, "d#1", False, "q4").expected_version, 11)

    def test_consent_does_not_shorten_the_wait_for_earlier_holders(self):
        """Guards against skipping the wait for the holder before the previous one.

        b takes a silent holder's term and hands it over to c at once. b consented, but
        a did not, and its right may still run.
        """
        old = Term(1, "a#1", "b#1", right_ms=800.0)
        taker = RoleTerm("r", "b#1", right_ms=800.0)
        plan = ClaimPlan("c#1", last_confirmation_ms=0.0)
        taker.observe(taker.claim(old, 5, 500.0, plan, "q").term, 10, 500.0, 500.0)
        given = taker.give_up(510.0, "c#1", "q2").term
        self.assertFalse(given.settled)
        next_holder = RoleTerm("r", "c#1", right_ms=800.0)
        next_holder.observe(given, 11, 520.0)
        self.assertGreater(next_holder.earlier_right_ends_ms, 1320.0)

    def test_consent_after_the_wait_needs_no_further_wait(self):
        state, _ = self.holder()
        given = state.give_up(10.0, "b#1", "q2").term
        next_holder = RoleTerm("r", "b#1", right_ms=800.0)
        next_holder.observe(given, 11, 20.0)
        self.assertEqual(next_holder.earlier_right_ends_ms, 20.0)

    def test_stale_view_does_not_restore_a_term_given_up(self):
        state, term = self.holder()
        state.give_up(10.0, "b#1", "q2")
        state.observe(term, 10, 20.0)
        self.assertIsNone(state.held)

    def test_confirmations_resume_after_a_failed_takeover(self):
        old = Term(1, "a#1", "b#1", right_ms=800.0)
        taker = RoleTerm("r", "b#1", right_ms=800.0)
        taker.claim(old, 5, 500.0, ClaimPlan("c#1", last_confirmation_ms=0.0), "q")
        self.assertEqual(taker.revoked_for("a#1"), 1)
        taker.observe(old, 5, 600.0)
        self.assertEqual(taker.revoked_for("a#1"), 1)
        taker.observe(old, 6, 600.0)
        self.assertEqual(taker.revoked_for("a#1"), 0)


class DepartedTest(unittest.TestCase):
    """What a registration proves about earlier processes."""

    def member(self, boot_id, unproven=()):
        return Member("d1", boot_id, "a", "", "", unproven)

    def test_newer_registration_proves_the_end_of_the_previous_process(self):
        self.assertTrue(has_departed("d1#old", 5, self.member("new"), 7))
        self.assertTrue(has_departed("d1#old", 5, None, 7))
        self.assertFalse(has_departed("d1#new", 5, self.member("new"), 7))

    def test_stale_registration_proves_nothing(self):
        """Guards against comparing a process with an older registration.

        A daemon restarts and takes a term before its registration is seen. Compared
        with the old registration, the new process would look replaced.
        """
        self.assertFalse(has_departed("d1#new", 9, self.member("old"), 5))
        self.assertFalse(has_departed("d1#new", 9, None, 0))

    def test_new_vm_under_an_old_name_proves_nothing(self):
        """A cut-off VM is replaced by one with its name and another address."""
        self.assertFalse(has_departed("d1#old", 5, self.member("new", ("old",)), 7))
