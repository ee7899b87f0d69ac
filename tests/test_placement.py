"""Decisions of the planner: slices keep their owners wherever possible."""

import collections
import unittest

from tarragonramp import ServerView, SliceState, next_slices

N_SLICES = 60


def views(*names, **changes):
    """Return usable servers of equal weight."""
    return {n: changes.get(n, ServerView(n)) for n in names}


def settled(servers):
    """Return the slices once the planner changes nothing any more."""
    slices = (SliceState(),) * N_SLICES
    for _ in range(200):
        released = {(i, s.token) for i, s in enumerate(slices)}
        new = next_slices(slices, servers, released)
        if new == slices:
            return slices
        slices = new
    raise AssertionError("the planner does not converge")


def counts(slices):
    """Return the number of slices that each server owns."""
    return collections.Counter(s.server for s in slices if s.state == "owned")


class PlacementTest(unittest.TestCase):
    """Steps of the planner."""

    def test_slices_are_distributed_evenly(self):
        found = counts(settled(views("a", "b", "c")))
        self.assertEqual(found, {"a": 20, "b": 20, "c": 20})

    def test_only_slices_of_a_lost_server_change(self):
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

    def test_new_owner_has_a_higher_token(self):
        before = settled(views("a", "b"))
        servers = views("a", "b", b=ServerView("b", usable=False, lost=True))
        releasing = next_slices(before, servers, set())
        proved = {(i, s.token) for i, s in enumerate(releasing)}
        after = next_slices(releasing, servers, proved)
        for old, new in zip(before, after, strict=True):
            if new.server != old.server:
                self.assertGreater(new.token, old.token)

    def test_added_server_gets_exactly_its_share(self):
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

    def test_server_of_a_domain_taken_out_owns_nothing(self):
        before = settled(views("a", "b"))
        servers = views("a", "b", b=ServerView("b", weight=0.0))
        after = next_slices(before, servers, set())
        self.assertEqual(counts(after)["b"], 0)

    def test_slices_are_assigned_to_servers_furthest_below_their_share(self):
        servers = {f"s{i}": ServerView(f"s{i}", weight=1 + i % 3) for i in range(7)}
        given = next_slices((SliceState(),) * N_SLICES, servers, set())
        owned = collections.Counter()
        for item in given:
            loads = {n: (owned[n] + 1) / s.weight for n, s in servers.items()}
            self.assertEqual(loads[item.server], min(loads.values()))
            owned[item.server] += 1

    def test_unequal_weights_converge(self):
        servers = views("a", "b", "c", a=ServerView("a", weight=2.5))
        found = counts(settled(servers))
        self.assertAlmostEqual(found["a"], N_SLICES * 2.5 / 4.5, delta=1.5)

    def test_first_server_to_report_gets_only_its_share(self):
        """A team is declared, and one of three servers is the first to report.

        Guards against assigning all keys to it while it is cold, and moving two thirds
        of them again as soon as the others have reported.
        """
        servers = {n: ServerView(n, usable=n == "a") for n in ("a", "b", "c")}
        empty = (SliceState(),) * N_SLICES
        first = next_slices(empty, servers, set(), settling=True)
        self.assertEqual(counts(first), {"a": 20})
        second = next_slices(first, views("a", "b", "c"), set(), settling=True)
        self.assertEqual(counts(second), {"a": 20, "b": 20, "c": 20})
        self.assertEqual(counts(next_slices(first, servers, set())), {"a": 60})
