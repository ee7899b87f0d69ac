"""Tests of which servers a daemon hears from."""

import unittest

from tarragonramp.errors import NotSentError, UnansweredError
from tarragonramp.server_paths import HEARD_WINDOW_MS, ServerPaths


class ServerPathsTest(unittest.TestCase):
    """Answers and failures as they are counted for logs and metrics."""

    def test_servers_that_answered_recently_are_heard(self):
        paths = ServerPaths()
        self.assertEqual(paths.silence_ms(5.0), float("inf"))
        paths.record_answer("s1", 0.0)
        paths.record_answer("s2", 1000.0)
        self.assertEqual(paths.n_heard(HEARD_WINDOW_MS), 2)
        self.assertEqual(paths.n_heard(HEARD_WINDOW_MS + 1.0), 1)
        self.assertEqual(paths.silence_ms(1500.0), 500.0)

    def test_failures_are_counted_by_cause(self):
        paths = ServerPaths()
        for error in (
            NotSentError("a:1: [Errno 111] Connection refused"),
            UnansweredError("a:1: [Errno 104] Connection reset by peer"),
            NotSentError("a:1: timed out"),
            UnansweredError("a:1: timed out"),
        ):
            paths.record_failure(error)
        causes = ("refused", "reset", "no connection", "no answer")
        self.assertEqual(paths.failures, dict.fromkeys(causes, 1))

    def test_removed_servers_are_forgotten(self):
        paths = ServerPaths()
        paths.record_answer("s1", 0.0)
        paths.record_answer("s2", 0.0)
        paths.retain({"s2"})
        self.assertEqual(paths.n_heard(0.0), 1)


if __name__ == "__main__":
    unittest.main()
