"""Tests of how daemons choose successors and detect that others have departed."""

import unittest

import attrs

from tarragonramp.clock import ManualClock
from tarragonramp.model import Member, Stored
from tarragonramp.roles.membership import Membership
from tarragonramp.settings import Timing
from tarragonramp.view import View


def member(name, failure_domain):
    """Return a registered daemon."""
    return Member(name, "1", failure_domain, "127.0.0.1:1", "127.0.0.1:2")


class MembershipTest(unittest.TestCase):
    """Two daemons in each of two failure domains; this one is a1."""

    def setUp(self):
        self.view = View()
        self.version = 0
        for name in ("a1", "a2", "b1", "b2"):
            self.apply("Member", name, attrs.asdict(member(name, name[0])))
        me = member("a1", "a")
        clock = ManualClock()
        self.membership = Membership(me, self.view, None, None, clock, Timing())

    def apply(self, kind, name, spec):
        """Apply the next version of an object to the view."""
        self.version += 1
        self.view.apply(Stored(kind, name, self.version, spec))

    def test_an_unbound_role_survives_the_loss_of_its_failure_domain(self):
        """Failure domain a is lost, with the planner of a team.

        A successor in the same failure domain would be lost with it, and no daemon
        could move the team's keys until an operator intervenes.
        """
        self.assertEqual(self.membership.successor(False), "b1#1")
        self.assertEqual(self.membership.successor(True), "a2#1")

    def test_a_declared_loss_ends_the_terms_of_a_failure_domain(self):
        """Holder and successor of a term are lost together with failure domain b.

        Only an operator's declaration can free the term then.
        """
        self.assertFalse(self.membership.is_departed("b1#1", 0))
        self.apply("FailureDomain", "b", {"state": "out"})
        self.assertFalse(self.membership.is_departed("b1#1", 0))
        self.apply("FailureDomain", "b", {"state": "lost"})
        self.assertTrue(self.membership.is_departed("b1#1", 0))
        self.assertFalse(self.membership.is_departed("a2#1", 0))

    def test_new_daemons_of_a_lost_failure_domain_count_as_running(self):
        """A lost failure domain is rebuilt before the operator brings it back.

        Guards against new daemons that count each other as departed: they kept taking
        each other's terms, with a hundred writes a second.
        """
        self.apply("FailureDomain", "b", {"state": "lost"})
        self.apply("Member", "b1", attrs.asdict(member("b1", "b")))
        self.assertFalse(self.membership.is_departed("b1#1", 0))
        self.assertTrue(self.membership.is_departed("b2#1", 0))
