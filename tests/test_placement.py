"""Planner decisions: callers' keys keep their owners wherever they can."""

import collections
import unittest

from tarragonramp import ServerView, SliceState, next_slices

N_SLICES = 60


def views(*names, **changes):
    """Return usable servers of equal weight."""
    return {n: changes.get(n, ServerView(n)) for n in names}


def settled(servers):
    """Return slices after the planner has nothing left to do."""
    slices = (SliceState(),) * N_SLICES
    for _ in range(200):
        released = {(i, s.token) for i, s in enumerate(slices)}
        new = next_slices(slices, servers, released)
        if new == slices:
            return slices
        slices = new
    raise AssertionError("the planner never settles")


def counts(slices):
    """Return slices owned by server."""
    return collections.Counter(s.server for s in slices if s.state == "owned")


class PlacementTest(unittest.TestCase):
    """Steps of the planner."""

    def test_slices_are_shared_evenly(self):
        found = counts(settled(views("a", "b", "c")))
        self.assertEqual(found, {"a": 20, "b": 20, "c": 20})

    def test_a_lost_server_loses_only_its_own_slices(self):
        before = settled(views("a", "b", "c"))
        servers = views("a", "b", "c", c=ServerView("c", usable=False, lost=True))
        after = next_slices(before, servers, set())
        changed = [i for i in range(N_SLICES) if before[i] != after[i]]
        self.assertTrue(all(before[i].server == "c" for i in changed))
        self.assertEqual({after[i].state for i in changed}, {"releasing"})

    def test_no_new_owner_without_proof(self):
        before = settled(views("a", "b"))
        servers = views("a", "b", b=ServerView("b", usable=False, lost=True))
        once = next_slices(before, servers, set())
        self.assertEqual(next_slices(once, servers, set()), once)

    def test_a_new_owner_has_a_higher_token(self):
        before = settled(views("a", "b"))
        servers = views("a", "b", b=ServerView("b", usable=False, lost=True))
        releasing = next_slices(before, servers, set())
        proved = {(i, s.token) for i, s in enumerate(releasing)}
        after = next_slices(releasing, servers, proved)
        for old, new in zip(before, after, strict=True):
            if new.server != old.server:
                self.assertGreater(new.token, old.token)

    def test_an_added_server_gets_its_share_and_no_more(self):
        before = settled(views("a", "b", "c"))
        servers = views("a", "b", "c", "d")
        slices, moved = before, set()
        for _ in range(100):
            released = {(i, s.token) for i, s in enumerate(slices)}
            new = next_slices(slices, servers, released)
            moved |= {i for i in range(N_SLICES) if new[i].server != before[i].server}
            if new == slices:
                break
            slices = new
        self.assertEqual(counts(slices)["d"], 15)
        self.assertEqual(len(moved), 15)

    def test_a_domain_that_is_out_is_emptied(self):
        before = settled(views("a", "b"))
        servers = views("a", "b", b=ServerView("b", weight=0.0))
        after = next_slices(before, servers, set())
        self.assertEqual(counts(after)["b"], 0)

    def test_each_slice_goes_to_the_server_furthest_below_its_share(self):
        servers = {f"s{i}": ServerView(f"s{i}", weight=1 + i % 3) for i in range(7)}
        given = next_slices((SliceState(),) * N_SLICES, servers, set())
        owned = collections.Counter()
        for item in given:
            loads = {n: (owned[n] + 1) / s.weight for n, s in servers.items()}
            self.assertEqual(loads[item.server], min(loads.values()))
            owned[item.server] += 1

    def test_unequal_weights_settle(self):
        servers = views("a", "b", "c", a=ServerView("a", weight=2.5))
        found = counts(settled(servers))
        self.assertAlmostEqual(found["a"], N_SLICES * 2.5 / 4.5, delta=1.5)

    def test_the_first_server_to_report_does_not_get_everything(self):
        """A team is declared, and one of three servers is the first to report.

        It would own every key, cold as it is, and lose two thirds of them as soon
        as the others have reported.
        """
        servers = {n: ServerView(n, usable=n == "a") for n in ("a", "b", "c")}
        empty = (SliceState(),) * N_SLICES
        first = next_slices(empty, servers, set(), settling=True)
        self.assertEqual(counts(first), {"a": 20})
        second = next_slices(first, views("a", "b", "c"), set(), settling=True)
        self.assertEqual(counts(second), {"a": 20, "b": 20, "c": 20})
        self.assertEqual(counts(next_slices(first, servers, set())), {"a": 60})
