"""Tests of how a named successor detects a silent holder, on a manual clock."""

import types
import unittest

import attrs

from tarragonramp import ManualClock, Term
from tarragonramp.model import Stored
from tarragonramp.roles.terms import TermKeeper
from tarragonramp.settings import Timing
from tarragonramp.view import View

ROLE = "steward.valley.records.records3"


class NamedSuccessorTest(unittest.TestCase):
    """A daemon that another one has named as its successor."""

    def test_silence_counts_from_the_naming(self):
        """A steward loses its successor and names a daemon that it pinged rarely.

        Guards against a takeover at once, since that daemon has not been pinged
        lately: taking over from a live steward would leave its server's grants without
        proof of their end.
        """
        clock, view = ManualClock(), View()
        membership = types.SimpleNamespace(is_silent=lambda holder: True)
        keeper = TermKeeper(view, None, membership, clock, Timing())
        term = attrs.asdict(Term(1, "d4#1", "d1#1"))
        view.apply(Stored("Term", ROLE, 5, term))
        self.assertFalse(keeper._is_silent(ROLE, "d4#1"))
        clock.advance(Timing().silence_ms)
        self.assertFalse(keeper._is_silent(ROLE, "d4#1"))
        clock.advance(1.0)
        self.assertTrue(keeper._is_silent(ROLE, "d4#1"))
        view.apply(Stored("Term", ROLE, 6, term))
        self.assertFalse(keeper._is_silent(ROLE, "d4#1"))
