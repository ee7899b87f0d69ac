"""Who may act in a term, on manual clocks."""

import unittest

from tarragonramp import HeldTerm, Takeover, Term, may_claim


def held(successor="b#1"):
    """Return a term that the platform has just confirmed at time 0."""
    term = HeldTerm("steward.t.s.x", 1, 10, successor, right_ms=800.0)
    term.observed(Term(1, "a#1", successor), 10, sent_ms=0.0)
    return term


class HeldTermTest(unittest.TestCase):
    """The holder's side."""

    def test_the_right_counts_from_the_sending(self):
        """A holder is paused between sending its ping and reading the answer.

        Counted from the answer's arrival the right would outlast what the successor
        waits for, and both would act.
        """
        term = held()
        term.renewed_by_successor("b#1", sent_ms=100.0)
        self.assertTrue(term.may_act(899.0))
        self.assertFalse(term.may_act(900.0))

    def test_a_strangers_word_prolongs_nothing(self):
        term = held()
        term.renewed_by_successor("c#1", sent_ms=700.0)
        self.assertFalse(term.may_act(800.0))

    def test_during_a_rename_both_words_are_needed(self):
        """A holder renames its successor and the platform's answer is lost.

        Either of the two may be the one that the platform names, so either may take
        over: the word of the old one alone must not keep the holder going.
        """
        term = held()
        term.begin_update("a#1", "c#1", "request-1")
        term.renewed_by_successor("b#1", sent_ms=700.0)
        self.assertFalse(term.may_act(800.0))
        term.renewed_by_successor("c#1", sent_ms=600.0)
        self.assertTrue(term.may_act(1399.0))
        self.assertFalse(term.may_act(1400.0))

    def test_nobody_can_take_over_from_a_holder_without_successor(self):
        self.assertTrue(held(successor="").may_act(1e12))


class TakeoverTest(unittest.TestCase):
    """The successor's side."""

    def test_the_old_right_is_waited_for(self):
        takeover = Takeover("r", began_ms=500.0, last_word_ms=0.0, right_ms=800.0)
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
