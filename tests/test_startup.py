"""What a daemon on the users' platform loads before it serves."""

import subprocess
import sys
import unittest

import tarragonramp

LATER = ("opentelemetry", "prometheus_client", "yaml", "cattrs", "grpc")
"""Libraries that a daemon loads when it needs them, or never."""

CODE = """
import runpy, sys
sys.path.insert(0, "platform")
runpy.run_path("platform/run.py", run_name="loaded")
print(" ".join(sys.modules))
"""


class StartupTest(unittest.TestCase):
    """Imports of a daemon, whose callers wait for its start."""

    def test_libraries_that_no_request_needs_are_not_loaded(self):
        """Guards against a slow start, which hundreds of daemons pay at once."""
        command = [sys.executable, "-c", CODE]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        loaded = {name.partition(".")[0] for name in done.stdout.split()}
        self.assertIn("gevent", loaded)
        self.assertEqual(loaded.intersection(LATER), set())

    def test_all_public_names_exist(self):
        for name in tarragonramp.__all__:
            self.assertIsNotNone(getattr(tarragonramp, name), name)
            self.assertIn(name, dir(tarragonramp))
        self.assertRaises(AttributeError, getattr, tarragonramp, "unknown")


if __name__ == "__main__":
    unittest.main()
