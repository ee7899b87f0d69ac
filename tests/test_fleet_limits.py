"""Servers that name how many requests a second they take, with real processes.

The servers' logs tell which requests reached them, and when.
"""

import collections
import itertools
import json
import unittest

import gevent

from standins.fleet_site import FleetSite, manifest
from tarragonramp.adapters.http import HttpPool

from .test_metrics import total

DAEMONS = dict(zip(("d1", "d2", "d3", "d4", "d5", "d6"), "ababab", strict=True))
DESKS, OWNERS = ("desk0", "desk1", "desk2"), ("parts0", "parts1", "parts2")
KEYS = range(0, 65_536, 701)
N_CALLERS, CALL_INTERVAL_S = 4, 0.25

WINDOW_MS, CONTACT_MS = 4000.0, 3000.0
BURST_FACTOR, SLACK = 1.5, 5
TOLD_MS = CONTACT_MS + 500.0
"""Time after which a limit binds all daemons that have passed on an answer with it."""


class ServerLimitTest(unittest.TestCase):
    """Six daemons, three servers of each kind, and callers of all of them."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.site.control_store(write=["config", "main", manifest(1), None])
        for name, domain in zip((*DESKS, *OWNERS), "abaaba", strict=True):
            service = "desk" if name in DESKS else "parts"
            options = ("--work-ms", "40", "--slots", "4")
            self.site.start_server(name, service, domain, *options)
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        self.statuses = collections.defaultdict(list)
        tasks = [
            gevent.spawn(self.call_forever, name, path, number)
            for name in DAEMONS
            for path in ("/view/", "/parts/")
            for number in range(N_CALLERS)
        ]
        self.addCleanup(gevent.killall, tasks)
        gevent.sleep(3.0)

    def call_forever(self, daemon, path, caller):
        """Send requests for all keys in turn; keep status and time of each answer."""
        for number in itertools.count(caller * len(KEYS) // N_CALLERS):
            key = KEYS[number % len(KEYS)] if path == "/parts/" else None
            request_id = f"{daemon}{path}{caller}-{number}"
            began_s = gevent.get_hub().loop.now()
            answer = self.site.call(daemon, path, request_id, key)
            took_s = gevent.get_hub().loop.now() - began_s
            status = answer.status if answer is not None else 0
            self.statuses[path].append((status, took_s))
            gevent.sleep(CALL_INTERVAL_S)

    def name_limit(self, limit, *servers):
        """Have servers name a limit from now on; none if it is empty."""
        for name in servers:
            self.site.inject_server_faults(name, limit=limit)

    def arrivals_ms(self, server):
        """Return the times of requests by the limit that the server named then."""
        found = collections.defaultdict(list)
        for line in self.site.log_text(server).splitlines():
            entry = json.loads(line) if line.startswith("[") else []
            if entry[2:3] == ["arrival"]:
                found[entry[5]].append(entry[3])
        return found

    def check_limit(self, server, limit):
        """Fail if a server got more than it takes, or less than half; return counts."""
        times = self.arrivals_ms(server)[limit]
        bound_from_ms = times[0] + TOLD_MS
        worst = max(
            (
                sum(begin <= at < begin + WINDOW_MS for at in times)
                for begin in times
                if begin >= bound_from_ms
            ),
            default=0,
        )
        allowed = BURST_FACTOR * float(limit) * WINDOW_MS / 1000.0 + SLACK
        self.assertLessEqual(worst, allowed, server)
        counted_s = (times[-1] - bound_from_ms) / 1000.0
        return sum(at >= bound_from_ms for at in times) / counted_s

    def served_share(self, path, n_before):
        """Return the share of answers since then with status 200."""
        statuses = [status for status, _ in self.statuses[path][n_before:]]
        return statuses.count(200) / len(statuses)

    def play(self, path, limit, servers, for_s=12.0):
        """Name a limit for a time; return the share of requests served meanwhile."""
        n_before = len(self.statuses[path])
        self.name_limit(limit, *servers)
        gevent.sleep(for_s)
        return self.served_share(path, n_before)

    def test_other_servers_serve_what_a_limited_one_does_not_take(self):
        served = self.play("/view/", "2.8", DESKS[:1])
        self.check_limit(DESKS[0], "2.8")
        self.assertGreaterEqual(served, 0.97)

    def test_limits_of_all_servers_of_a_service_are_kept_and_used(self):
        self.play("/view/", "4", DESKS)
        for server in DESKS:
            self.assertGreater(self.check_limit(server, "4"), 4 / 2, server)

    def test_busy_ranges_of_a_limited_owner_move_to_others(self):
        self.play("/parts/", "2.8", OWNERS[:1])
        self.check_limit(OWNERS[0], "2.8")
        n_before = len(self.statuses["/parts/"])
        gevent.sleep(4.0)
        self.assertGreaterEqual(self.served_share("/parts/", n_before), 0.9)

    def test_limits_of_all_owners_are_kept_and_used(self):
        n_before = len(self.statuses["/parts/"])
        self.play("/parts/", "4", OWNERS)
        for server in OWNERS:
            self.assertGreater(self.check_limit(server, "4"), 4 / 2, server)
        refused_s = [
            s for status, s in self.statuses["/parts/"][n_before:] if status == 503
        ]
        self.assertGreater(len(refused_s), 100)
        self.assertLess(sorted(refused_s)[len(refused_s) * 9 // 10], 0.15)

    def test_a_smaller_limit_binds_while_a_larger_one_is_named(self):
        self.play("/view/", "20", DESKS[:1], for_s=5.0)
        self.play("/view/", "2.8", DESKS[:1], for_s=9.0)
        times = self.arrivals_ms(DESKS[0])["2.8"]
        late = [at for at in times if at > times[0] + 1000.0]
        allowed = BURST_FACTOR * 2.8 * WINDOW_MS / 1000.0 + SLACK
        worst = max(sum(b <= at < b + WINDOW_MS for at in late) for b in late)
        self.assertLessEqual(worst, allowed)

    def n_limited(self):
        """Return how many limited servers each daemon knows, by its metrics."""
        counts = {}
        for name in DAEMONS:
            pool = HttpPool(self.site.daemons[name]["control"])
            page = pool.exchange("GET", "/metrics", (), b"", 2000).unwrap().body
            counts[name] = total(page.decode(), "tarragonramp_servers_limited")
        return counts

    def test_a_limit_that_is_no_longer_named_ends(self):
        """Guards against a limit whose end nobody hears, as others are preferred."""
        for path, server, others in (
            ("/view/", DESKS[0], DESKS[1:]),
            ("/parts/", OWNERS[0], ()),
        ):
            with self.subTest(server=server):
                self.play(path, "2.8", [server], for_s=7.0)
                self.assertEqual(self.n_limited(), dict.fromkeys(DAEMONS, 1.0))
                self.name_limit("", server)
                gevent.sleep(5.0)
                self.assertEqual(self.n_limited(), dict.fromkeys(DAEMONS, 0.0))
                # A shared server need not be chosen while others have room.
                for other in others:
                    self.site.kill(other)
                n_before = len(self.arrivals_ms(server)[""])
                gevent.sleep(4.0)
                rate = (len(self.arrivals_ms(server)[""]) - n_before) / 4.0
                self.assertGreater(rate, 2 * 2.8)

    def test_malformed_limits_are_ignored(self):
        for limit in ("-1", "nan", "1e999", "2;x", "0x2"):
            self.assertGreater(self.play("/view/", limit, DESKS, for_s=1.0), 0.99)

    def test_a_limit_holds_when_daemons_are_killed(self):
        """Guards against daemons that take over the share of those that were lost."""
        self.name_limit("2.8", DESKS[0], OWNERS[0])
        gevent.sleep(4.0)
        for name in ("d1", "d2"):
            self.site.kill(name)
        gevent.sleep(2.0)
        self.site.start_daemon("d1", "a")
        gevent.sleep(8.0)
        self.check_limit(DESKS[0], "2.8")
        self.check_limit(OWNERS[0], "2.8")


if __name__ == "__main__":
    unittest.main()
