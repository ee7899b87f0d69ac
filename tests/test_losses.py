"""Why requests were not served, out of the logs of several daemons."""

import json
import subprocess
import sys
import unittest

from tarragonramp.losses import losses_of, suppressed_in
from tarragonramp.storylines import parse_line

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
    """A burst of refusals, of which an on-call engineer asks why."""

    def setUp(self):
        self.lines = [line for t in LOG.splitlines() if (line := parse_line(t))]

    def test_reasons_are_counted_by_service_the_most_frequent_first(self):
        found = losses_of(self.lines)
        self.assertEqual(
            [(loss.service, loss.reason, loss.count) for loss in found],
            [
                ("desk", "servers are busy: queue too long", 2),
                ("desk", "servers are busy: no time", 1),
                ("parts", "no whole answer from the server", 1),
                ("none", "no route", 1),
            ],
        )
        self.assertEqual(found[0].examples, ["r1", "r2"])
        self.assertEqual(found[0].median_held_ms, 3.0)

    def test_only_the_asked_span_counts(self):
        since_ms = self.lines[1].at_ms
        found = losses_of(self.lines, since_ms, since_ms + 600.0)
        self.assertEqual([loss.count for loss in found], [1, 1])
        self.assertEqual(losses_of([]), [])

    def test_what_the_logs_left_out_is_told(self):
        self.assertEqual(suppressed_in(self.lines), 7)

    def test_the_command(self):
        command = [sys.executable, "-m", "tarragonramp.command", "explain-losses"]
        done = subprocess.run(command, input=LOG, capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("queue too long", done.stdout.splitlines()[1])
        self.assertIn("7 more have no line", done.stderr)
        span = ["--until", "2026-04-05T16:25:01.500Z", "--output", "json"]
        done = subprocess.run(
            [*command, *span], input=LOG, capture_output=True, text=True
        )
        (row,) = json.loads(done.stdout)
        self.assertEqual((row["count"], row["examples"]), (1, "r1"))
        for bad in (["--since", "yesterday"], ["--log", "no-such-file"]):
            done = subprocess.run([*command, *bad], capture_output=True, text=True)
            self.assertEqual(done.returncode, 2)
            self.assertIn(bad[1], done.stderr)
