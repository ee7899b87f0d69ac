"""The review's cases disturb the fleet as they say, with the stand-ins of today."""

import json
import os
import subprocess
import sys
import unittest

from standins.fleet_site import FleetSite
from standins.site import free_address
from tarragonramp.adapters.http import HttpPool

UPSTREAM = os.path.join("review", "1", "upstream.py")
N_REQUESTS = 400


class LateCopyCaseTest(unittest.TestCase):
    """The faulty server of the case on late copies of refusals."""

    def test_faulty_server_sends_late_copies(self):
        """Guards against a case that holds because it disturbs nothing."""
        site = FleetSite()
        self.addCleanup(site.close)
        site.start_store()
        name, address = "parts0", free_address()
        log = open(os.path.join(site.folder.name, "out"), "w+b")  # noqa: SIM115
        self.addCleanup(log.close)
        site.processes[name] = subprocess.Popen(
            [sys.executable, UPSTREAM, name, "parts", "a", address, site.store],
            stdout=log,
            env={**os.environ, "FAULTY": "1"},
        )
        site._wait_for_port(address, site.processes[name])
        pool = HttpPool(address, echoed_headers=("request-id",))
        for number in range(N_REQUESTS):
            headers = [("Request-Id", f"r{number}")]
            pool.exchange("POST", "/book/", headers, b"", 1000)
        log.seek(0)
        events = [json.loads(line)[2] for line in log.read().splitlines()]
        self.assertGreater(events.count("shed"), N_REQUESTS / 4)
        self.assertGreater(events.count("copy"), 0)


if __name__ == "__main__":
    unittest.main()
