"""The list of VMs and the changes that followers are sent."""

import random
import unittest

import attrs

from tarragonramp.model import Vm
from tarragonramp.vms import MAX_PREVIOUS_STATES, VmList


def vm(i, state="live"):
    return Vm(f"records{i}", f"10.0.0.{i}:7000", "a", "sized", "records", state)


class VmListTest(unittest.TestCase):
    def test_follower_is_sent_only_the_changes(self):
        source, follower = VmList(), VmList()
        source.replace([vm(i) for i in range(100)])
        follower.apply(source.changes_from(""))
        source.replace([vm(i) for i in range(1, 100)] + [vm(100)])
        changes = source.changes_from(follower.digest)
        self.assertFalse(changes.whole)
        self.assertEqual(
            (changes.changed, changes.removed), ((vm(100),), ("records0",))
        )

    def test_no_changes_for_an_equal_list(self):
        source = VmList()
        source.replace([vm(1), vm(2)])
        self.assertFalse(source.replace([vm(2), vm(1)]))
        self.assertIsNone(source.changes_from(source.digest))

    def test_source_without_a_list_sends_no_changes(self):
        """Guards against followers that lose all routes.

        A daemon that has just started may be asked before it has read any list; its
        empty list must not be sent.
        """
        self.assertIsNone(VmList().changes_from("0123456789abcdef"))

    def test_followers_end_with_the_same_list(self):
        rng = random.Random(5)
        source, followers = VmList(), [VmList() for _ in range(4)]
        for _ in range(200):
            listed = rng.sample(range(20), rng.randrange(20))
            source.replace([vm(i, rng.choice(("live", "departing"))) for i in listed])
            for follower in followers:
                changes = source.changes_from(follower.digest)
                if changes is not None and rng.random() < 1 / (2 * MAX_PREVIOUS_STATES):
                    follower.apply(changes)
                    self.assertEqual(follower.digest, source.digest)
                    self.assertEqual(follower.by_name, source.by_name)

    def test_services_are_found_by_name(self):
        vm_list = VmList()
        vm_list.replace([vm(1), attrs.evolve(vm(2), service="pages")])
        self.assertEqual(vm_list.of_service("sized", "pages").keys(), {"records2"})
        self.assertEqual(vm_list.of_service("sized", "none"), {})
