"""A request's story out of the logs of several daemons."""

import os
import subprocess
import sys
import tempfile
import unittest

from tarragonramp.storylines import parse_line, story_of

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


class StoryTest(unittest.TestCase):
    """What belongs to one request's story, and what does not."""

    def setUp(self):
        texts = (D2 + D1).splitlines()
        self.lines = [line for text in texts if (line := parse_line(text))]

    def test_lines_of_several_daemons_stand_in_the_order_of_time(self):
        events = [(line.daemon, line.event) for line, _ in story_of("r1", self.lines)]
        self.assertEqual(
            events,
            [
                ("d1", "server-lost"),
                ("d2", "keys-to-move"),
                ("d1", "try-failed"),
                ("d1", "request-refused"),
            ],
        )

    def test_other_requests_and_other_times_are_left_out(self):
        story = story_of("r1", self.lines)
        self.assertNotIn("r2", [line.fields.get("id") for line, _ in story])
        self.assertNotIn("store-lost", [line.event for line, _ in story])

    def test_each_line_says_why_it_belongs(self):
        remarks = {line.event: remark for line, remark in story_of("r1", self.lines)}
        self.assertEqual(remarks["try-failed"], "")
        self.assertIn("server", remarks["keys-to-move"])
        self.assertIn("daemon", remarks["server-lost"])

    def test_a_request_that_nobody_names_has_no_story(self):
        self.assertEqual(story_of("r9", self.lines), [])

    def test_the_command_reads_files_and_standard_input(self):
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
