"""The demos: recovery times, interrupts, and the exit code of a short run."""

import signal
import subprocess
import sys
import time
import unittest

import psutil

from demo.run import EXIT_INTERRUPTED, recovery_times_ms


def execution(server, index, started_ms):
    """Return an entry of a backend server's execution log."""
    return {
        "server": server,
        "slice": index,
        "started_ms": started_ms,
        "ended_ms": started_ms + 3,
        "path": "/records",
    }


class RecoveryTimesTest(unittest.TestCase):
    def test_time_runs_from_the_kill_to_the_first_execution_elsewhere(self):
        entries = [
            execution("a", 1, 100),
            execution("a", 2, 110),
            execution("b", 3, 120),
            execution("b", 1, 1900),
            execution("b", 1, 2500),
        ]
        self.assertEqual(recovery_times_ms(entries, "a", 500), {1: 1400, 2: None})

    def test_execution_elsewhere_before_the_kill_does_not_count(self):
        entries = [execution("b", 1, 50), execution("a", 1, 100)]
        self.assertEqual(recovery_times_ms(entries, "a", 500), {1: None})


class InterruptTest(unittest.TestCase):
    def test_interrupt_leaves_no_process_behind(self):
        """The demo gets SIGINT (Ctrl-C) twice while the site is starting."""
        demo = subprocess.Popen(
            [sys.executable, "-m", "demo.run"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(demo.wait)
        self.addCleanup(demo.kill)
        until_s = time.monotonic() + 30
        children = []
        while len(children) < 4:
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.05)
            children = psutil.Process(demo.pid).children()
        demo.send_signal(signal.SIGINT)
        time.sleep(0.02)
        demo.send_signal(signal.SIGINT)
        self.assertEqual(demo.wait(20), EXIT_INTERRUPTED)
        gone, alive = psutil.wait_procs(children, timeout=5)
        self.assertEqual(alive, [])


class FleetDemoTest(unittest.TestCase):
    """The demo of a fleet on the users' platform."""

    def test_short_run_passes(self):
        done = subprocess.run(
            [sys.executable, "-m", "demo.fleet", "--seconds", "3"],
            capture_output=True,
            text=True,
            timeout=120,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("killed the leader", done.stdout)
        self.assertIn("bookings that ran twice: 0", done.stdout)
