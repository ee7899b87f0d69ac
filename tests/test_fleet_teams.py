"""API keys and usage caps with real processes.

The servers' logs tell whose requests ran, and when.
"""

import collections
import itertools
import json
import random
import unittest

import gevent

from standins.fleet_site import HOST, FleetSite, manifest
from tarragonramp.adapters.http import HttpPool
from tarragonramp.limits import CapBounds, UsageCap

DAEMONS = dict(zip(("d1", "d2", "d3", "d4", "d5", "d6"), "ababab", strict=True))
KEYS = {"capped": "key-of-capped", "open": "key-of-open", "late": "key-of-late"}
CAP = UsageCap(20.0, 10.0)
APPLY_S = 2.5


def manifest_with_teams(version, *teams, cap=CAP):
    """Return a manifest in which the named teams have a key each."""
    tenants = [{"name": team, "apiKeys": [KEYS[team]], "priority": 1} for team in teams]
    for tenant in tenants:
        if tenant["name"] == "capped":
            tenant |= {"ratePerS": cap.rate_per_s, "burst": cap.burst}
    return {**manifest(version), "tenants": tenants}


class TeamTest(unittest.TestCase):
    """Six daemons and two servers, with callers of two teams."""

    def setUp(self):
        self.site = FleetSite()
        self.addCleanup(self.site.close)
        self.site.start_store()
        self.put(1, "capped", "open")
        for name, domain in (("desk0", "a"), ("desk1", "b"), ("parts0", "a")):
            service = name[:-1]
            options = ("--work-ms", "20", "--slots", "8")
            self.site.start_server(name, service, domain, *options)
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        self.site.wait_ready(*DAEMONS)
        self.statuses = collections.defaultdict(collections.Counter)
        self.tasks = []
        self.addCleanup(lambda: gevent.killall(self.tasks))

    def put(self, version, *teams, cap=CAP):
        """Store a manifest."""
        spec = manifest_with_teams(version, *teams, cap=cap)
        self.site.control_store(write=["config", "main", spec, None])

    def call(self, daemon, team, request_id, *more):
        """Send a request with a team's key, or none; return the response."""
        secret = [("Authorization", f"Token {KEYS[team]}")] if team else []
        headers = [*secret, *more]
        return self.site.call(daemon, "/view/", request_id, extra_headers=headers)

    def call_forever(self, daemon, team, interval_s):
        """Send requests of a team at an interval; count the statuses."""
        for number in itertools.count():
            gevent.sleep(interval_s * (0.5 + random.random()))
            answer = self.call(daemon, team, f"{daemon}-{team}-{number}")
            self.statuses[team][answer.status if answer is not None else 0] += 1

    def spawn_callers(self, team, per_s):
        """Have a team's callers send at all daemons, with a rate in all."""
        interval_s = len(DAEMONS) / per_s
        self.tasks += [
            gevent.spawn(self.call_forever, name, team, interval_s) for name in DAEMONS
        ]

    def callers_seen(self):
        """Return (time in ms, team, secret) of each request that reached a server."""
        found = []
        for name in ("desk0", "desk1"):
            for line in self.site.log_text(name).splitlines():
                entry = json.loads(line) if line.startswith("[") else []
                if entry[2:3] == ["caller"]:
                    found.append((entry[3], entry[5], entry[6]))
        return sorted(found)

    def worst_ratio(self, team, cap, from_ms=0.0):
        """Return the most in any window, relative to what is tolerated."""
        bounds = CapBounds()
        times = [ms for ms, name, _ in self.callers_seen() if name == team]
        times = [ms for ms in times if ms >= from_ms]
        most, first = 0, 0
        for last, ms in enumerate(times):
            while times[first] <= ms - bounds.window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most / bounds.max_in_window(cap)

    def test_keys_are_checked_and_kept(self):
        """Guards against requests without a known key, and keys that leave the VM."""
        forged = ("Tenant", "open")
        self.assertEqual(self.call("d1", "open", "a1", forged).status, 200)
        self.assertEqual(self.call("d1", "capped", "a2", forged).status, 200)
        self.assertEqual(self.call("d2", None, "a3", forged).status, 401)
        self.assertEqual(self.call("d2", "late", "a4").status, 401)
        seen = [(team, secret) for _, team, secret in self.callers_seen()]
        self.assertEqual(sorted(seen), [("capped", None), ("open", None)])
        logs = "".join(map(self.site.log_text, DAEMONS))
        for key in KEYS.values():
            self.assertNotIn(key, logs)

    def test_keys_come_and_go_on_open_connections(self):
        """Guards against a connection that outlives the key it was opened with."""
        pool = HttpPool(self.site.daemons["d3"]["front"])

        def call(team, request_id):
            headers = [
                ("Host", HOST),
                ("Request-Id", request_id),
                ("Deadline-Ms", "1500"),
                ("Authorization", f"Token {KEYS[team]}"),
            ]
            result = pool.exchange("GET", "/view/", headers, b"", 2500.0)
            return result.unwrap().status

        self.assertEqual(call("open", "b1"), 200)
        self.put(2, "capped", "late")
        gevent.sleep(APPLY_S)
        self.assertEqual(call("late", "b2"), 200)
        self.assertEqual(call("open", "b3"), 401)
        pool.close()

    def test_a_cap_holds_while_daemons_are_killed(self):
        """Guards against a sum that a restart, or another leader, counts anew."""
        self.spawn_callers("capped", 80.0)
        self.spawn_callers("open", 12.0)
        gevent.sleep(6.0)
        for name in ("d1", "d2", "d3", "d4"):
            self.site.kill(name)
            self.site.start_daemon(name, DAEMONS[name])
        gevent.sleep(6.0)
        for name in DAEMONS:
            self.site.kill(name)
        for name, domain in DAEMONS.items():
            self.site.start_daemon(name, domain)
        gevent.sleep(8.0)
        ratio = self.worst_ratio("capped", CAP)
        n_ran = sum(team == "capped" for _, team, _ in self.callers_seen())
        print(f"\ncap: largest ratio {ratio:.3f}; {n_ran} of 400 allowed in 20 s ran")
        print(f"statuses: { {team: dict(n) for team, n in self.statuses.items()} }")
        self.assertLessEqual(ratio, 1.0)
        self.assertGreater(n_ran, 0.5 * 20.0 * CAP.rate_per_s)
        # A team without a cap is not limited by the other one's.
        self.assertEqual(self.statuses["open"][429], 0)

    def test_a_cap_that_is_lowered_binds(self):
        low = UsageCap(5.0, 5.0)
        self.spawn_callers("capped", 60.0)
        gevent.sleep(4.0)
        self.put(2, "capped", "open", cap=low)
        gevent.sleep(APPLY_S)
        from_ms = max(ms for ms, _, _ in self.callers_seen())
        gevent.sleep(8.0)
        ratio = self.worst_ratio("capped", low, from_ms)
        print(f"\nlower cap: largest ratio {ratio:.3f}")
        self.assertLessEqual(ratio, 1.0)

    def test_usual_use_is_not_refused(self):
        self.spawn_callers("capped", 10.0)
        gevent.sleep(8.0)
        statuses = self.statuses["capped"]
        print(f"\nhalf of the cap: {dict(statuses)}")
        self.assertGreaterEqual(statuses[200], 0.97 * sum(statuses.values()))


if __name__ == "__main__":
    unittest.main()
