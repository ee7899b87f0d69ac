"""What a site's processes say of their own pauses."""

import shutil
import signal
import unittest

import gevent

from standins.pauses import pauses_in
from standins.site import Backend, Site


class PausesTest(unittest.TestCase):
    """A proxy and a backend server, one of which stands still."""

    def test_who_stood_still_is_told(self):
        """Guards against a machine's pause that looks like a fault of the service."""
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
        told = [line for line in pauses_in(site.folder) if "records1" in line]
        self.assertTrue(told)
        self.assertIn("event=stood-still", told[-1])
