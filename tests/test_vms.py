"""The list of VMs, and what a follower is sent of it."""

import random
import unittest

import attrs

from tarragonramp.model import Vm
from tarragonramp.vms import N_EARLIER, VmList


def vm(i, state="live"):
    return Vm(f"records{i}", f"10.0.0.{i}:7000", "a", "sized", "records", state)


class VmListTest(unittest.TestCase):
    def test_a_follower_is_sent_the_change_alone(self):
        source, follower = VmList(), VmList()
        source.replace([vm(i) for i in range(100)])
        follower.apply(source.changes_from(""))
        source.replace([vm(i) for i in range(1, 100)] + [vm(100)])
        changes = source.changes_from(follower.digest)
        self.assertFalse(changes.whole)
        self.assertEqual(
            (changes.changed, changes.removed), ((vm(100),), ("records0",))
        )

    def test_nothing_is_sent_for_the_same_list(self):
        source = VmList()
        source.replace([vm(1), vm(2)])
        self.assertFalse(source.replace([vm(2), vm(1)]))
        self.assertIsNone(source.changes_from(source.digest))

    def test_who_has_seen_no_list_takes_none_from_a_follower(self):
        """A daemon that has just started is asked before it has read any list.

        Were its empty list an answer, every follower would lose all routes.
        """
        self.assertIsNone(VmList().changes_from("0123456789abcdef"))

    def test_follower_of_any_age_ends_with_the_same_list(self):
        rng = random.Random(5)
        source, followers = VmList(), [VmList() for _ in range(4)]
        for _ in range(200):
            listed = rng.sample(range(20), rng.randrange(20))
            source.replace([vm(i, rng.choice(("live", "departing"))) for i in listed])
            for follower in followers:
                changes = source.changes_from(follower.digest)
                if changes is not None and rng.random() < 1 / (2 * N_EARLIER):
                    follower.apply(changes)
                    self.assertEqual(follower.digest, source.digest)
                    self.assertEqual(follower.by_name, source.by_name)

    def test_services_are_found_by_name(self):
        held = VmList()
        held.replace([vm(1), attrs.evolve(vm(2), service="pages")])
        self.assertEqual(held.of_service("sized", "pages").keys(), {"records2"})
        self.assertEqual(held.of_service("sized", "none"), {})
