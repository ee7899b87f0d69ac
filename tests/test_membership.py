"""Who stands in for whom, and who is known to be gone."""

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
        """Let the view take in an object."""
        self.version += 1
        self.view.apply(Stored(kind, name, self.version, spec))

    def test_a_role_of_no_failure_domain_survives_the_loss_of_its_own(self):
        """Failure domain a is lost with the planner of a team and its neighbours.

        A successor in a as well would be lost with it, and nobody could move the
        team's keys until an operator steps in.
        """
        self.assertEqual(self.membership.successor(False), "b1#1")
        self.assertEqual(self.membership.successor(True), "a2#1")

    def test_an_operators_word_ends_the_terms_of_a_lost_failure_domain(self):
        """All of failure domain b is lost: holder and successor of a term at once."""
        self.assertFalse(self.membership.departed("b1#1", 0))
        self.apply("FailureDomain", "b", {"state": "out"})
        self.assertFalse(self.membership.departed("b1#1", 0))
        self.apply("FailureDomain", "b", {"state": "lost"})
        self.assertTrue(self.membership.departed("b1#1", 0))
        self.assertFalse(self.membership.departed("a2#1", 0))

    def test_daemons_that_start_in_a_lost_failure_domain_are_there(self):
        """A lost failure domain is rebuilt before the operator brings it back.

        Its new daemons took each other for gone and took the terms from each other
        in turns, a hundred writes a second.
        """
        self.apply("FailureDomain", "b", {"state": "lost"})
        self.apply("Member", "b1", attrs.asdict(member("b1", "b")))
        self.assertFalse(self.membership.departed("b1#1", 0))
        self.assertTrue(self.membership.departed("b2#1", 0))
