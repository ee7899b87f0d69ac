"""Routes by longest prefix, shares of a split, and the version of the manifest."""

import collections
import unittest

from tarragonramp import ManualClock
from tarragonramp.fleet_view import FleetView
from tarragonramp.manifest import Manifest, Route, RouteTable, WeightedService


def route(prefix, *parts, host="h.example", priority=1):
    """Return a route to services with weights."""
    made = tuple(WeightedService(name, weight) for name, weight in parts)
    return Route(host, prefix, made, True, 1000.0, 500.0, priority=priority)


class RouteTableTest(unittest.TestCase):
    """Lookup by host and path."""

    def setUp(self):
        self.table = RouteTable(
            Manifest(
                1,
                (
                    route("/a/", ("one", 1)),
                    route("/a/b/", ("two", 1), priority=0),
                    route("/", ("rest", 1), host="other.example"),
                    route("/s/", ("one", 9), ("two", 1)),
                ),
            )
        )

    def test_longest_prefix_that_ends_at_a_slash_wins(self):
        for path, wanted in (
            ("/a/x", "/a/"),
            ("/a/b/x", "/a/b/"),
            ("/a/b", "/a/"),
            ("/a/bc/x", "/a/"),
            ("/a", None),
            ("/c/", None),
        ):
            found = self.table.find("h.example", path)
            self.assertEqual(found and found.path_prefix, wanted, path)

    def test_routes_are_matched_by_host_without_port(self):
        self.assertIsNone(self.table.find("none.example", "/a/"))
        found = self.table.find("other.example:8080", "/a/")
        self.assertEqual(found.path_prefix, "/")

    def test_split_is_accurate_after_few_requests(self):
        """The shares of nine daemons with a few dozen requests each are summed up."""
        found = self.table.find("h.example", "/s/")
        counts = collections.Counter(
            RouteTable(self.table.manifest).choose_service(found, turn / 9.0)
            for turn in range(9)
        )
        for _ in range(100):
            counts[self.table.choose_service(found, 0.3)] += 1
        self.assertAlmostEqual(counts["two"] / sum(counts.values()), 0.1, delta=0.03)

    def test_most_urgent_route_of_a_service(self):
        urgent = self.table.find("h.example", "/a/b/x")
        other = self.table.find("h.example", "/a/x")
        self.assertTrue(self.table.is_urgent(urgent))
        self.assertTrue(self.table.is_urgent(other))

    def test_route_of_an_earlier_manifest_is_compared(self):
        """Guards against a request that fails as its service has lost its routes."""
        self.assertTrue(self.table.is_urgent(route("/old/", ("gone", 1), priority=3)))


class VersionTest(unittest.TestCase):
    """A manifest in force is never replaced by an older one."""

    def test_older_manifests_are_ignored(self):
        view = FleetView(ManualClock())
        self.assertTrue(view.update_routes(RouteTable(Manifest(7))))
        self.assertFalse(view.update_routes(RouteTable(Manifest(5))))
        self.assertFalse(view.update_routes(RouteTable(Manifest(7))))
        self.assertEqual(view.manifest.version, 7)
