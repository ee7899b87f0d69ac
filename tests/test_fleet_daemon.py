"""A daemon on the users' platform: metrics, settings and log."""

import os
import signal
import socket
import tomllib
import unittest

from standins.fleet_site import FleetSite, manifest
from tarragonramp.adapters.http import HttpPool

OWN_IP, TAKEN_IP = "127.0.0.77", "127.0.0.78"
METRICS_PORT = 9464
SECRET = "Bearer-e1d0c9"


class DaemonTest(unittest.TestCase):
    """Two daemons; the metrics port of one is already in use."""

    @classmethod
    def setUpClass(cls):
        cls.site = FleetSite()
        cls.addClassCleanup(cls.site.close)
        cls.site.start_store()
        cls.site.control_store(write=["config", "main", manifest(1), None])
        cls.site.start_server("desk0", "desk", "a")
        cls.site.start_server("parts0", "parts", "a")
        cls.port_holder = socket.create_server((TAKEN_IP, METRICS_PORT))
        cls.addClassCleanup(cls.port_holder.close)
        cls.site.start_daemon("d1", "a", f'ip = "{OWN_IP}"')
        cls.site.start_daemon("d2", "a", f'ip = "{TAKEN_IP}"')
        cls.site.wait_ready("d1", "d2")

    def test_the_deploy_file_has_the_same_metrics_port(self):
        with open("deploy/system.toml", "rb") as stream:
            role = tomllib.load(stream)["roles"]["router"]
        self.assertEqual(role["metrics"], f"{METRICS_PORT}/metrics")

    def fetch(self, path):
        """Return the response of the metrics address to a GET request."""
        pool = HttpPool(f"{OWN_IP}:{METRICS_PORT}")
        return pool.exchange("GET", path, (), b"", 2000).unwrap()

    def test_the_metrics_address_serves_only_metrics(self):
        """Messages between daemons are not served at the metrics address."""
        page = self.fetch("/metrics")
        self.assertEqual(page.status, 200)
        self.assertIn(b"store_calls", page.body)
        self.assertEqual(self.fetch("/peer/news?kind=server&since=0").status, 404)

    def test_a_daemon_runs_without_its_metrics_port(self):
        self.assertIn("event=metrics-not-served", self.site.log_text("d2"))
        self.assertEqual(self.site.call("d2", "/view/", "m1").status, 200)

    def test_invalid_settings_leave_the_current_ones_in_force(self):
        """An operator saves an invalid settings file and later a valid one."""
        path = os.path.join(self.site.folder.name, "d1.toml")
        with open(path, encoding="utf-8") as stream:
            valid = stream.read()
        for text, event in (
            (valid.replace("retryRatio = 0.2", "retryRatio = 'much'"), "refused"),
            ("[self", "refused"),
            (valid, "reloaded"),
        ):
            with open(path, "w", encoding="utf-8") as stream:
                stream.write(text)
            before = self.count(f"event=settings-{event}")
            self.site.signal("d1", signal.SIGHUP)
            self.site.wait(
                lambda e=event, n=before: self.count(f"event=settings-{e}") > n, event
            )
            self.assertEqual(self.site.call("d1", "/view/", f"r{before}").status, 200)
        self.assertIn("terms.bounds.retryRatio", self.site.log_text("d1"))

    def count(self, text):
        """Return how often a text occurs in the first daemon's log."""
        return self.site.log_text("d1").count(text)

    def test_bodies_and_headers_are_never_logged(self):
        """Requests fail in every way that is logged; their content must not be."""
        for fault in ("shed", "lose", "truncate", "foreign"):
            self.site.inject_server_faults("desk0", **{fault: 2})
            self.send_claim(f"secret-{fault}")
            self.site.inject_server_faults("desk0", **{fault: 0})
        log = self.site.log_text("d1")
        for fault in ("shed", "lose", "truncate", "foreign"):
            self.assertIn(f"id=secret-{fault}", log)
        for text in (SECRET, "claim-of-a-family", "payout=900"):
            self.assertNotIn(text, log)

    def send_claim(self, request_id):
        """Send a request with a body, a query and an authorization header."""
        headers = [
            ("Host", "desk.example"),
            ("Request-Id", request_id),
            ("Deadline-Ms", "900"),
            ("Authorization", SECRET),
        ]
        pool = HttpPool(self.site.daemons["d1"]["front"])
        body = b"claim-of-a-family"
        pool.exchange("POST", "/book/?payout=900", headers, body, 2000)
        pool.close()


if __name__ == "__main__":
    unittest.main()
