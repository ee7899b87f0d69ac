"""Entries of other writers that no program can read, with real processes."""

import base64
import itertools
import json
import signal
import time
import unittest

import gevent

from standins.fleet_site import FleetSite, manifest

DAEMONS = {"d1": "a", "d2": "b"}
OLD, NEW = ("desk0", "desk1"), "desk2"
PLACE = "put raw text here"
DRAIN_MS, MARGIN_MS = 2000.0, 500.0
N_CALLERS, CALL_INTERVAL_S = 4, 0.05


def nested(depth):
    """Return JSON text of nested lists."""
    return b"[" * depth + b"]" * depth


ODD_VALUES = {
    "nested deeply": nested(100_000),
    "nested objects": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    "nested to the limit": nested(985),
    "nested a little less": nested(900),
    "long number": b"9" * 6000,
    "large number": b"9" * 400,
    "infinite number": b"1e999",
    "not a number": b"NaN",
    "no text": b'"\xff\xfe"',
    "control characters": b'"\x00\r\n"',
    "half a character": b'"\\ud800"',
}
"""JSON text, more or less, of a value in an entry."""

ODD_ADDRESSES = (
    "a" * 300 + ".example:80",
    "a..b:80",
    "localhost:80",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:+8_0",
    "127.0.0.1:" + "9" * 6000,
    "127.0.0.1:\u0668\u0660",
    "0.0.0.0:80",
    "127.0.0.1:80\r\nX: y",
    ":80",
    "",
)


class OddEntryTest(unittest.TestCase):
    """Two daemons and servers of a service, beside entries that can't be read."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        for name in (*OLD, "parts0"):
            self.site.start_server(name, name.rstrip("0123456789"), "a")
        self.statuses, self.n_odd = [], 0

    def start_daemons(self):
        """Start the daemons, and callers of the shared service."""
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        tasks = [gevent.spawn(self.call_forever, n) for n in range(N_CALLERS)]
        self.addCleanup(gevent.killall, tasks)

    def call_forever(self, caller):
        """Send requests to the daemons in turn, and keep status and time."""
        daemons = itertools.cycle(DAEMONS)
        for number in itertools.count():
            request_id = f"c{caller}-{number}"
            answer = self.site.call(next(daemons), "/view/", request_id)
            self.statuses.append(answer.status if answer is not None else 0)
            gevent.sleep(CALL_INTERVAL_S)

    def write_odd_entries(self):
        """Write an entry of each kind, under names that come first and last."""
        for raw in ODD_VALUES.values():
            entry = self.entry("127.0.0.1:9")
            self.write({**entry, "extra": PLACE}, raw)
            self.write({**entry, "born": PLACE}, raw)
            self.write(entry, raw, status=PLACE)
            self.write(PLACE, raw)
        for address in ODD_ADDRESSES:
            self.write(self.entry(address), b"0")
        for entry in ([], "text", 7, {}):
            self.write(entry, b"0")

    def entry(self, address):
        """Return an entry of a server of the service that callers use."""
        return {
            "addr": address,
            "born": 1000,
            "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
        }

    def write(self, entry, raw, status=None):
        """Write an entry with raw text in one place."""
        self.n_odd += 1
        place = f"{PLACE} {self.n_odd}"
        name = f"{'a' if self.n_odd % 2 else 'z'}-odd{self.n_odd}"
        entry = json.loads(json.dumps(entry).replace(PLACE, place))
        parts = {place: base64.b64encode(raw).decode()}
        status = status and place
        write = ["servers", name, entry, status]
        self.site.control_store(raw_parts=parts, write=write)

    def check_followed(self):
        """Fail unless servers that come and drain are heard of as without the odd."""
        self.site.start_server(NEW, "desk", "b")
        for name in OLD:
            self.site.signal(name, signal.SIGUSR1)
        drained_ms = time.time() * 1000.0
        gevent.sleep(5.0)
        late = [
            entry
            for name in OLD
            for entry in self.site.server_log_entries(name)
            if entry[0] == "arrival" and entry[1] > drained_ms + DRAIN_MS + MARGIN_MS
        ]
        entries = self.site.server_log_entries(NEW)
        n_served = sum(entry[0] == "arrival" for entry in entries)
        self.assertEqual(late, [])
        self.assertGreater(n_served, 50)

    def check_unharmed(self):
        """Fail if a daemon ended, a task failed, or a caller got an error."""
        for name in DAEMONS:
            log = self.site.log_text(name)
            self.assertIsNone(self.site.processes[name].poll())
            self.assertEqual(log.count("Traceback"), 0, log[:3000])
            self.assertEqual(log.count("event=task-failed"), 0)
            self.assertEqual(log.count("event=uncaught-error"), 0)
        self.assertGreater(len(self.statuses), 50)
        bad = [status for status in self.statuses if status != 200]
        self.assertLess(len(bad), 0.02 * len(self.statuses), bad)
        self.assertEqual([status for status in bad if status == 500], [])

    def test_entries_that_cannot_be_read_are_there_before_the_daemons(self):
        """Guards against a fleet that never gets ready, as one entry stops all."""
        self.write_odd_entries()
        self.start_daemons()
        gevent.sleep(1.0)
        self.check_followed()
        self.check_unharmed()

    def test_entries_that_cannot_be_read_come_while_others_change(self):
        """Guards against a list of servers that isn't followed any more."""
        self.start_daemons()
        gevent.sleep(2.0)
        self.write_odd_entries()
        gevent.sleep(1.0)
        self.check_followed()
        self.check_unharmed()

    def test_a_leader_takes_over_and_reads_entries_that_cannot_be_read(self):
        """Guards against a new leader that can't read the list anew."""
        self.start_daemons()
        self.write_odd_entries()
        self.site.control_store(forget_history=True)
        leader = next(
            n for n in DAEMONS if "leader-taken-over" in self.site.log_text(n)
        )
        self.site.kill(leader)
        self.site.start_daemon(leader, DAEMONS[leader])
        gevent.sleep(4.0)
        self.site.wait_ready(*DAEMONS)
        self.statuses.clear()
        self.check_followed()
        self.check_unharmed()
