"""Updates from the platform among real daemons, only a few of which watch it."""

import json
import shutil
import signal
import time
import unittest

import attrs

from standins.site import DaemonSpec, Site
from tarragonramp.adapters.http import HttpPool
from tarragonramp.model import Member
from tarragonramp.news import NewsQuestion
from tarragonramp.propagation import PLATFORM, source_of

SPECS = [DaemonSpec(f"entry-{i}", "a") for i in range(7)]
WAIT_LIMIT_S = 15.0


def watchers_first():
    """Return the daemons' names, watchers first."""
    members = {s.name: Member(s.name, "", "a", "", "") for s in SPECS}
    watchers = [
        name
        for name, member in members.items()
        if source_of(member, members, 2, lambda other: True) == PLATFORM
    ]
    return watchers + sorted(members.keys() - set(watchers))


class SpreadingTest(unittest.TestCase):
    """Seven daemons of one failure domain, two of which watch."""

    def setUp(self):
        self.site = Site()
        self.addCleanup(shutil.rmtree, self.site.folder, ignore_errors=True)
        self.addCleanup(self.site.stop)
        self.site.start_platform()
        for spec in SPECS:
            self.site.start_daemon(spec)
        self.names = watchers_first()
        self.site.wait_ready(self.names)
        self.wait_until_known(self.write("FailureDomain", "b", {"state": "in"}))

    def write(self, kind, name, spec, version=0):
        """Write an object directly to the platform; return its version."""
        target = f"/v1/objects/{kind}/{name}?version={version}"
        pool = HttpPool(self.site.platform_address)
        answer = pool.exchange("PUT", target, (), json.dumps(spec).encode(), 2000)
        return json.loads(answer.unwrap().body)["version"]

    def news(self, name, since):
        """Return a daemon's updates since a version, as its followers receive them."""
        question = NewsQuestion(since, since, "", True, 0)
        address = self.site.settings[name]["control_address"]
        body = json.dumps(attrs.asdict(question)).encode()
        answer = HttpPool(address).exchange("POST", "/peer/news", (), body, 2000)
        return json.loads(answer.unwrap().body)

    def view_version(self, name):
        """Return the version up to which a daemon knows all changes."""
        return self.news(name, 1_000_000)["version"]

    def object_version(self, name, kind, wanted):
        """Return the version of an object that a daemon holds; 0 if it has none."""
        items = self.news(name, 0)["items"]
        return max(
            (i["version"] for i in items if (i["kind"], i["name"]) == (kind, wanted)),
            default=0,
        )

    def wait_until_known(self, version, names=None):
        """Wait until daemons know all changes up to a version."""
        until_s = time.monotonic() + WAIT_LIMIT_S
        behind = list(names or self.names)
        while behind and time.monotonic() < until_s:
            behind = [name for name in behind if self.view_version(name) < version]
            time.sleep(0.02)
        self.assertEqual(behind, [])

    def wait_for_watches(self, count):
        """Wait until the number of waiting watches is stable at a count."""
        until_s = time.monotonic() + WAIT_LIMIT_S
        seen = []
        while time.monotonic() < until_s and seen[-5:] != [count] * 5:
            seen.append(self.site.platform("calls")["waiting_watches"])
            time.sleep(0.05)
        self.assertEqual(seen[-5:], [count] * 5)

    def test_two_daemons_watch_and_all_are_updated(self):
        self.wait_for_watches(2)
        before = self.site.platform("calls")["calls"]
        version = 0
        for state in ("out", "in", "out"):
            version = self.write("FailureDomain", "c", {"state": state}, version)
            self.wait_until_known(version)
        calls = self.site.platform("calls")["calls"]
        self.assertEqual(calls["GET objects"], before["GET objects"])
        self.wait_for_watches(2)

    def test_killed_and_paused_watchers_are_replaced(self):
        """A failure domain is taken out of service while both watchers are down.

        One is killed, so its connections close; the other is paused, so no connection
        closes and its followers only wait. If no daemon replaced them, all followers
        would keep sending requests to the failure domain.
        """
        killed, paused, *others = self.names
        self.site.kill(killed)
        self.site.signal(paused, signal.SIGSTOP)
        version = self.write("FailureDomain", "c", {"state": "out"})
        self.wait_until_known(version, others)
        self.site.signal(paused, signal.SIGCONT)
        self.wait_until_known(version, [paused])

    def test_a_platform_that_shows_the_past_reverts_nobody(self):
        """The platform's reads return an old state while operators continue to write.

        Guards against a daemon that trusts these reads and brings a failure domain back
        that was taken out of service. Its peers' newer versions must prevail and reach
        all daemons.
        """
        before = self.set_domain_state("in", 0)
        self.wait_until_known(before)
        self.site.platform("faults", {"freeze_reads": True})
        self.wait_for_watches(2)
        written = self.set_domain_state("out", before)
        versions = dict.fromkeys(self.names, 0)
        until_s = time.monotonic() + WAIT_LIMIT_S
        while min(versions.values()) < written and time.monotonic() < until_s:
            for name in self.names:
                now = self.object_version(name, "FailureDomain", "a")
                self.assertGreaterEqual(now, versions[name])
                versions[name] = now
        self.assertEqual(set(versions.values()), {written})
        self.site.platform("faults", {"freeze_reads": False})
        self.wait_until_known(written)

    def set_domain_state(self, state, version):
        """Set the state of failure domain a as an operator; return its version."""
        address = self.site.settings[self.names[0]]["control_address"]
        answer = HttpPool(address).exchange(
            "PUT",
            f"/operator/objects/FailureDomain/a?version={version}",
            [("Tarragon-Actor", "test")],
            json.dumps({"state": state}).encode(),
            5000,
        )
        self.assertEqual(answer.unwrap().status, 200, answer.unwrap().body)
        return json.loads(answer.unwrap().body)["version"]
