"""Tests of the summary of refused and failed requests from daemons' logs."""

import json
import subprocess
import sys
import unittest

from tarragonramp.losses import count_suppressed, group_losses
from tarragonramp.timelines import parse_line

LOG = """\
time=2026-04-05T16:25:01.000Z level=info daemon=d1 event=request-refused id=r1 \
service=desk status=503 reason="servers are busy" rule="queue too long" held_ms=1
time=2026-04-05T16:25:02.000Z level=info daemon=d2 event=request-refused id=r2 \
service=desk status=503 reason="servers are busy" rule="queue too long" held_ms=5
time=2026-04-05T16:25:02.500Z level=info daemon=d2 event=request-refused id=r3 \
service=desk status=503 reason="servers are busy" rule="no time" held_ms=0 suppressed=7
time=2026-04-05T16:25:03.000Z level=info daemon=d2 event=request-refused id=r4 \
service=parts status=502 reason="no whole answer from the server" held_ms=400
time=2026-04-05T16:25:03.500Z level=info daemon=d2 event=try-failed id=r4 server=s1
time=2026-04-05T16:26:00.000Z level=info daemon=d2 event=request-refused id=r5 \
service="" status=404 reason="no route" held_ms=0
not a line
"""


class LossesTest(unittest.TestCase):
    """Grouping a burst of refused requests by their reasons."""

    def setUp(self):
        self.lines = [line for t in LOG.splitlines() if (line := parse_line(t))]

    def test_refusals_are_grouped_by_service_and_reason_largest_first(self):
        found = group_losses(self.lines)
        self.assertEqual(
            [(group.service, group.reason, group.count) for group in found],
            [
                ("desk", "servers are busy: queue too long", 2),
                ("desk", "servers are busy: no time", 1),
                ("parts", "no whole answer from the server", 1),
                ("none", "no route", 1),
            ],
        )
        self.assertEqual(found[0].examples, ["r1", "r2"])
        self.assertEqual(found[0].median_held_ms, 3.0)

    def test_lines_outside_the_time_range_are_ignored(self):
        since_ms = self.lines[1].at_ms
        found = group_losses(self.lines, since_ms, since_ms + 600.0)
        self.assertEqual([group.count for group in found], [1, 1])
        self.assertEqual(group_losses([]), [])

    def test_suppressed_lines_are_counted(self):
        self.assertEqual(count_suppressed(self.lines), 7)

    def test_explain_losses_command(self):
        command = [sys.executable, "-m", "tarragonramp.command", "explain-losses"]
        done = subprocess.run(command, input=LOG, capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("queue too long", done.stdout.splitlines()[1])
        self.assertIn("7 more were not logged", done.stderr)
        time_range = ["--until", "2026-04-05T16:25:01.500Z", "--output", "json"]
        done = subprocess.run(
            [*command, *time_range], input=LOG, capture_output=True, text=True
        )
        (row,) = json.loads(done.stdout)
        self.assertEqual((row["count"], row["examples"]), (1, "r1"))
        for invalid in (["--since", "yesterday"], ["--log", "no-such-file"]):
            done = subprocess.run([*command, *invalid], capture_output=True, text=True)
            self.assertEqual(done.returncode, 2)
            self.assertIn(invalid[1], done.stderr)
