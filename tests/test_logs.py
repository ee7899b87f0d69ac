"""Log lines: their format for all sources, and the rate limit."""

import io
import json
import logging
import re
import shutil
import signal
import subprocess
import sys
import unittest
import warnings

import gevent

from standins.site import DaemonSpec, Site
from tarragonramp.adapters.http import HttpPool
from tarragonramp.adapters.logs import (
    LogLimiter,
    log_event,
    log_lines_suppressed,
    set_up_logs,
)
from tarragonramp.adapters.usage import LoopWatch
from tarragonramp.roles.tasks import keep_running, task_failures

LINE = re.compile(
    r"time=\S+Z level=[a-z]+ daemon=(?P<daemon>\S*)"
    r'(?P<pairs>( [a-z_]+=("(\\.|[^"\\])*"|[^ "=]+))+)'
)


def parse(line):
    """Return the key=value pairs of a log line; None if it is malformed."""
    match = LINE.fullmatch(line)
    if match is None:
        return None
    pairs = re.findall(r'([a-z_]+)=("(?:\\.|[^"\\])*"|[^ "=]+)', match["pairs"])
    values = {k: json.loads(v) if v[0] == '"' else v for k, v in pairs}
    return {"daemon": match["daemon"], **values}


UNREAD_OUTPUT_PROGRAM = """
import sys
from tarragonramp.adapters.logs import log_event, log_lines_suppressed, set_up_logs

set_up_logs("d1", "info", sys.stdout)
for i in range(300):
    log_event(f"event-{i % 20}", text="x" * 1000)
print(log_lines_suppressed(), file=sys.stderr)
"""


class StalledReaderTest(unittest.TestCase):
    """The reader of standard output has stopped reading."""

    def test_lines_are_dropped_without_blocking(self):
        """The pipe of a daemon's log is full because its reader has stopped.

        A blocking write would stop the whole process, and all callers with it.
        """
        process = subprocess.Popen(
            [sys.executable, "-c", UNREAD_OUTPUT_PROGRAM],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        self.assertEqual(process.wait(20.0), 0)
        with process.stderr as error_stream:
            self.assertGreater(int(error_stream.read()), 100)
        lines = process.stdout.read().decode().splitlines()
        self.assertGreater(len(lines), 30)
        self.assertTrue(all(parse(line) for line in lines))


class LineFormatTest(unittest.TestCase):
    """The log of this process, written to a buffer."""

    @classmethod
    def setUpClass(cls):
        cls.stream = io.StringIO()
        root = logging.getLogger()
        cls.addClassCleanup(setattr, root, "handlers", list(root.handlers))
        cls.addClassCleanup(logging.captureWarnings, False)
        cls.addClassCleanup(setattr, sys, "excepthook", sys.excepthook)
        cls.addClassCleanup(setattr, sys, "unraisablehook", sys.unraisablehook)
        hub = gevent.get_hub()
        cls.addClassCleanup(setattr, hub, "print_exception", hub.print_exception)
        handler = set_up_logs("d1", "info", cls.stream)
        cls.addClassCleanup(handler.pop_application)

    def setUp(self):
        self.stream.seek(0)
        self.stream.truncate()

    def only_line(self):
        """Return the parsed line; fail unless exactly one was written."""
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(len(lines), 1, lines)
        parsed = parse(lines[0])
        self.assertIsNotNone(parsed, lines[0])
        return parsed

    def test_values_with_spaces_quotes_and_newlines(self):
        injection = 'a "b"=c\nevent=forged level=error'
        log_event("something", reason=injection, empty="", count=3)
        found = self.only_line()
        self.assertEqual(found["reason"], injection)
        self.assertEqual((found["event"], found["daemon"]), ("something", "d1"))
        self.assertEqual((found["empty"], found["count"]), ("", "3"))

    def test_library_message_and_warning(self):
        logging.getLogger("grpc._server").error("call failed:\n%s", "second line")
        found = self.only_line()
        self.assertEqual(found["library"], "grpc._server")
        self.assertEqual(found["message"], "call failed:\nsecond line")
        self.setUp()
        warnings.warn("old habit", UserWarning, stacklevel=1)
        self.assertIn("old habit", self.only_line()["message"])

    def test_traceback_of_a_greenlet_is_one_line(self):
        def fail():
            raise ValueError("in a greenlet")

        gevent.spawn(fail).join()
        found = self.only_line()
        self.assertEqual(found["event"], "uncaught-error")
        self.assertEqual(found["message"], "in a greenlet")
        self.assertIn("Traceback", found["trace"])

    def test_failed_call_survives_a_shortened_line(self):
        """Guards against an error whose line no longer says which call failed."""

        def open_the_missing_file():
            raise PermissionError(1, "Operation not permitted")

        def fail(depth):
            return fail(depth - 1) if depth else open_the_missing_file()

        gevent.spawn(fail, 60).join()
        line = self.stream.getvalue().partition(" event=")[2][:200]
        self.assertIn("open_the_missing_file", line)
        self.setUp()
        try:
            fail(60)
        except PermissionError as error:
            log_event("something", error=error)
        line = self.stream.getvalue().partition(" event=")[2][:200]
        self.assertIn("open_the_missing_file", line)

    def test_value_without_a_text_ends_nothing(self):
        """Guards against a log line that ends the work that it is about."""

        class Unprintable:
            def __str__(self):
                raise ValueError("no text")

        n_before = log_lines_suppressed()
        log_event("something", value=Unprintable())
        self.assertEqual(log_lines_suppressed(), n_before + 1)

    def test_failing_task_is_counted_and_started_again(self):
        rounds = []

        def broken_role():
            rounds.append(1)
            if len(rounds) < 3:
                raise KeyError("gone")

        keep_running(broken_role).join(timeout=5)
        self.assertEqual(len(rounds), 3)
        self.assertEqual(task_failures()[broken_role.__qualname__], 2)
        lines = [parse(line) for line in self.stream.getvalue().splitlines()]
        self.assertEqual([line["event"] for line in lines], ["task-failed"] * 2)
        self.assertIn("KeyError", lines[0]["trace"])

    def test_blocked_event_loop_is_measured(self):
        """A blocking call stops the whole process; a paused VM looks the same."""
        found = []
        watch = LoopWatch(lambda blocked_ms, cpu_ms: found.append(blocked_ms))
        task = gevent.spawn(watch.run)
        gevent.sleep(0.05)
        gevent.monkey.get_original("time", "sleep")(0.6)
        gevent.sleep(0.15)
        task.kill()
        self.assertEqual(len(found), watch.count)
        self.assertGreater(max(found), 400)
        self.assertEqual(watch.longest_ms, max(found))


class LimiterTest(unittest.TestCase):
    """The rate limiter of log lines."""

    def test_flood_of_one_event_leaves_room_for_others(self):
        """10,000 requests per second log the same fault for ten seconds."""
        limiter = LogLimiter()
        written = 0
        for i in range(100_000):
            written += limiter.admit("request-failed", i / 10.0) is not None
        self.assertLessEqual(written, limiter.burst + limiter.per_second * 10 + 1)
        self.assertGreaterEqual(written, limiter.burst)
        self.assertEqual(limiter.admit("term-taken", 10_000.0), 0)
        self.assertEqual(limiter.total, 100_000 - written)

    def test_next_line_reports_the_number_of_suppressed_lines(self):
        limiter = LogLimiter(burst=1, per_second=1)
        self.assertEqual(limiter.admit("e", 0.0), 0)
        for _ in range(7):
            self.assertIsNone(limiter.admit("e", 1.0))
        self.assertEqual(limiter.admit("e", 1001.0), 7)
        self.assertEqual(limiter.admit("e", 3000.0), 0)

    def test_flood_of_many_events_is_limited(self):
        limiter = LogLimiter()
        written = sum(
            limiter.admit(f"event-{i % 1000}", i / 10.0) is not None
            for i in range(100_000)
        )
        bound = limiter.overall_burst + limiter.overall_per_second * 10 + 1
        self.assertLessEqual(written, bound)


class DaemonLogTest(unittest.TestCase):
    """The log of a running daemon."""

    SECRET = "a-secret-that-nobody-may-read"

    @classmethod
    def setUpClass(cls):
        cls.site = Site()
        cls.addClassCleanup(shutil.rmtree, cls.site.folder, ignore_errors=True)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start_platform()

    def start(self, name, **settings):
        """Start a daemon and wait until it is ready."""
        security = {"operator_secret": self.SECRET, "peer_secret": self.SECRET}
        self.site.start_daemon(
            DaemonSpec(name, "a"),
            security=security,
            timing={"unready_ms": 0, "drain_idle_ms": 0},
            **settings,
        )
        self.site.wait_ready([name])

    def test_every_line_parses_and_none_contains_a_secret(self):
        self.start("d1")
        control = HttpPool(self.site.settings["d1"]["control_address"])
        wrong_secret = [("Authorization", f"Bearer {self.SECRET}-not")]
        right_secret = [("Authorization", f"Bearer {self.SECRET}")]
        for headers in ((), wrong_secret, right_secret):
            control.exchange("GET", "/operator/status", headers, b"", 2000)
            control.exchange("POST", "/peer/ping", headers, b"no json", 2000)
            control.exchange("PUT", "/operator/objects/Team/x", headers, b"{", 2000)
        self.site.signal("d1", signal.SIGSTOP)
        gevent.sleep(0.6)
        self.site.signal("d1", signal.SIGCONT)
        gevent.sleep(0.3)
        self.assertEqual(self.site.terminate("d1"), 0)
        log = self.site.daemon_log("d1")
        self.assertNotIn(self.SECRET, log)
        parsed = [parse(line) for line in log.splitlines()]
        invalid_lines = [
            x for x, p in zip(log.splitlines(), parsed, strict=True) if not p
        ]
        self.assertEqual(invalid_lines, [])
        self.assertEqual({line["daemon"] for line in parsed}, {"d1"})
        events = [line["event"] for line in parsed]
        self.assertIn("event-loop-blocked", events)
        self.assertIn("uncaught-error", events, "a malformed ping should show up")

    def test_lines_below_the_log_level_are_not_written(self):
        self.start("d2", log_level="error")
        self.assertEqual(self.site.terminate("d2"), 0)
        self.assertEqual(self.site.daemon_log("d2"), "")
