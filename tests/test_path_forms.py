"""The form of a path that decides where a request goes, with real processes."""

import unittest

from standins.fleet_site import FleetSite, manifest

KEY = 7
PATHS = {
    "/x/1": "desk",
    "/x/y/1": "parts",
    "/x/y%2F1": "desk",
    "/x/y%2f1": "desk",
    "/x/%79/1": "desk",
    "/x/y/%25": "parts",
    "/x//y/1": "desk",
    "/x/y;z/1": "desk",
    "/x/../x/y/1": "desk",
    "/a%20b/1": "desk",
    "/X/1": 404,
    "/x/%": 400,
    "/x/%0": 400,
}
"""Paths as callers send them, and the service that runs them or the status."""


class PathFormTest(unittest.TestCase):
    """Routes are found by the path as it was sent, which is what servers read."""

    def test_routes_are_found_by_the_path_as_it_was_sent(self):
        """Guards against a route that fits another reading than the server's."""
        site = FleetSite()
        self.addCleanup(site.close)
        site.start_store()
        routes = {"x": "desk", "x/y": "parts", "a%20b": "desk"}
        site.control_store(write=["config", "main", manifest(1, **routes), None])
        site.start_server("desk0", "desk", "a")
        site.start_server("parts0", "parts", "a")
        site.start_daemon("d1", "a")
        site.wait_ready("d1")
        for number, (path, wanted) in enumerate(PATHS.items()):
            with self.subTest(path):
                answer = site.call("d1", path, f"path-{number}", KEY)
                service = answer.body.decode().partition("0 ")[0]
                is_served = answer.status == 200
                self.assertEqual(service if is_served else answer.status, wanted)
