"""Tests of the pause reports of a site's processes."""

import shutil
import signal
import unittest

import gevent

from standins.pauses import read_pauses
from standins.site import Backend, Site


class PausesTest(unittest.TestCase):
    """A backend server behind a proxy is paused."""

    def test_a_paused_process_reports_it(self):
        """Guards against a machine's pause being mistaken for a fault of the router."""
        site = Site(proxied=True)
        self.addCleanup(shutil.rmtree, site.folder, ignore_errors=True)
        self.addCleanup(site.stop)
        site.start_platform()
        site.start_backend(Backend("records1", "a", "t", "records"))
        gevent.sleep(1.5)
        site.signal("records1", signal.SIGSTOP)
        gevent.sleep(0.8)
        site.signal("records1", signal.SIGCONT)
        gevent.sleep(0.5)
        reported = [line for line in read_pauses(site.folder) if "records1" in line]
        self.assertTrue(reported)
        self.assertIn("event=stood-still", reported[-1])
