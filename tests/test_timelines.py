"""Tests of a request's timeline assembled from the logs of several daemons."""

import os
import subprocess
import sys
import tempfile
import unittest

from tarragonramp.timelines import parse_line, request_timeline

D1 = """\
time=2026-04-05T16:25:01.000Z level=info daemon=d1 event=server-lost server=s7 reason=x
time=2026-04-05T16:25:02.000Z level=info daemon=d1 event=try-failed id=r1 server=s1
time=2026-04-05T16:25:02.100Z level=info daemon=d1 event=request-refused id=r2
  3.1 d1 time=2026-04-05T16:25:02.200Z level=info daemon=d1 event=request-refused id=r1
time=2026-04-05T16:25:09.000Z level=info daemon=d1 event=store-lost kind=manifest
"""
D2 = """\
time=2026-04-05T16:25:01.500Z level=info daemon=d2 event=keys-to-move owners="s1,s2"
time=2026-04-05T16:25:01.600Z level=info daemon=d2 event=store-lost kind=server
no line at all
time=yesterday daemon=d2 event=odd
"""


class RequestTimelineTest(unittest.TestCase):
    """Selection and order of the log lines that concern one request."""

    def setUp(self):
        texts = (D2 + D1).splitlines()
        self.lines = [line for text in texts if (line := parse_line(text))]

    def test_lines_of_several_daemons_are_sorted_by_time(self):
        events = [
            (line.daemon, line.event) for line, _ in request_timeline("r1", self.lines)
        ]
        self.assertEqual(
            events,
            [
                ("d1", "server-lost"),
                ("d2", "keys-to-move"),
                ("d1", "try-failed"),
                ("d1", "request-refused"),
            ],
        )

    def test_other_requests_and_lines_outside_the_time_range_are_excluded(self):
        timeline = request_timeline("r1", self.lines)
        self.assertNotIn("r2", [line.fields.get("id") for line, _ in timeline])
        self.assertNotIn("store-lost", [line.event for line, _ in timeline])

    def test_each_line_states_its_relevance(self):
        relevance_by_event = {
            line.event: relevance
            for line, relevance in request_timeline("r1", self.lines)
        }
        self.assertEqual(relevance_by_event["try-failed"], "")
        self.assertIn("server", relevance_by_event["keys-to-move"])
        self.assertIn("daemon", relevance_by_event["server-lost"])

    def test_unknown_request_has_an_empty_timeline(self):
        self.assertEqual(request_timeline("r9", self.lines), [])

    def test_explain_request_command_reads_files_and_standard_input(self):
        command = [sys.executable, "-m", "tarragonramp.command", "explain-request"]
        with tempfile.TemporaryDirectory() as folder:
            paths = [os.path.join(folder, name) for name in ("d1.log", "d2.log")]
            for path, text in zip(paths, (D1, D2), strict=True):
                with open(path, "w", encoding="utf-8") as stream:
                    stream.write(text)
            done = subprocess.run(
                [*command, "r1", "--log", *paths], capture_output=True, text=True
            )
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertEqual(done.stdout.count("event="), 4)
            self.assertIn("certain only beyond 100 ms", done.stderr)
        done = subprocess.run(
            [*command, "r9"], input=D1, capture_output=True, text=True
        )
        self.assertEqual(done.returncode, 1)
        self.assertIn("names it", done.stderr)
