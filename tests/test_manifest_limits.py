"""Limits of a manifest beyond what a daemon can hold, with real processes."""

import unittest

from standins.fleet_site import FleetSite, manifest
from tarragonramp.sizes import Limits

ENDS = {
    "maxHeaderBytes": (1, 200, 1 << 40),
    "maxBodyBytes": (0, 1 << 40),
    "headerTimeout": ("0ms", "90000s"),
    "idleTimeout": ("0ms", "7200s"),
}


class LimitsTest(unittest.TestCase):
    """Numbers that another program states."""

    def test_numbers_out_of_range_are_replaced_by_the_nearest(self):
        limits, replaced = Limits.from_config(idle_ms=7.2e6, body_bytes=5, head_ms=0.5)
        self.assertEqual(limits.idle_ms, 3_600_000)
        self.assertEqual((limits.body_bytes, limits.head_ms), (5, 100))
        self.assertEqual(replaced, ("idle_ms", "head_ms"))


class ManifestLimitsTest(unittest.TestCase):
    """A daemon is started, and changes, under each limit at its ends."""

    def test_no_limit_keeps_a_daemon_from_listening(self):
        """Guards against a manifest after which no restarted daemon listens."""
        site = FleetSite()
        self.addCleanup(site.close)
        site.start_store()
        config = manifest(1)
        site.control_store(write=["config", "main", config, None])
        site.start_server("desk0", "desk", "a")
        site.start_server("parts0", "parts", "a")
        site.start_daemon("d1", "a")
        site.wait_ready("d1")
        version = 1
        for name, values in ENDS.items():
            for value in values:
                version += 1
                with self.subTest(name=name, value=value):
                    config = manifest(version)
                    config["limits"][name] = value
                    site.control_store(write=["config", "main", config, None])
                    site.kill("d1")
                    site.start_daemon("d1", "a")
                    site.wait_ready("d1")
                    self.assertIsNone(site.processes["d1"].poll())
        site.control_store(write=["config", "main", manifest(version + 1), None])

        def is_served():
            answer = site.call("d1", "/view/1", "after")
            return answer is not None and answer.status == 200

        site.wait(is_served, "requests are served")


class ServiceWithoutServersTest(unittest.TestCase):
    """A manifest names a divided service that no server belongs to."""

    def test_the_other_services_are_served_after_a_restart(self):
        """Guards against a part that can't be used and costs all others."""
        site = FleetSite()
        self.addCleanup(site.close)
        site.start_store()
        config = manifest(1)
        config["clusters"].append({"name": "empty", "maxConns": 50, "sharded": True})
        site.control_store(write=["config", "main", config, None])
        site.start_server("desk0", "desk", "a")
        site.start_server("parts0", "parts", "a")
        site.start_daemon("d1", "a")
        site.wait_ready("d1")
        site.kill("d1")
        site.start_daemon("d1", "a")
        site.wait_ready("d1")
        for path, key in (("/view/1", None), ("/parts/1", 7)):

            def is_served(path=path, key=key):
                answer = site.call("d1", path, "after", key)
                return answer is not None and answer.status == 200

            site.wait(is_served, f"{path} is served")
