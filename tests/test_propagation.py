"""Which daemons watch the platform and which get updates from others."""

import random
import unittest

from tarragonramp.model import Member
from tarragonramp.propagation import (
    MAX_CHILDREN,
    MAX_LAG_MS,
    PLATFORM,
    SUSPICION_MS,
    SourceHealth,
    fallback_ms,
    outside_sources,
    retry_ms,
    source_of,
    start_delay_ms,
)


def fleet(n_daemons, domains="abcde"):
    """Return members by name, distributed over failure domains in turn."""
    names = [f"entry-{i:03}" for i in range(n_daemons)]
    return {
        name: Member(name, "boot", domains[i % len(domains)], "", "")
        for i, name in enumerate(names)
    }


def sources_of(members, n_watchers=2, silent=()):
    """Return the source of every live daemon if all suspect the silent ones."""
    usable = lambda name: name not in silent
    return {
        name: source_of(member, members, n_watchers, usable)
        for name, member in members.items()
        if name not in silent
    }


def hops(name, sources):
    """Return the number of daemons between one and the platform."""
    count = 0
    while sources[name] != PLATFORM:
        name, count = sources[name], count + 1
    return count


class SourceTest(unittest.TestCase):
    def test_two_daemons_of_each_failure_domain_watch(self):
        members = fleet(660)
        sources = sources_of(members)
        watching = [members[n].failure_domain for n, s in sources.items() if not s]
        self.assertEqual(sorted(watching), sorted("abcde" * 2))

    def test_degree_and_depth_are_bounded(self):
        sources = sources_of(fleet(660))
        followed = [source for source in sources.values() if source != PLATFORM]
        self.assertLessEqual(max(map(followed.count, set(followed))), MAX_CHILDREN)
        self.assertLessEqual(max(hops(name, sources) for name in sources), 4)

    def test_source_is_in_the_same_failure_domain(self):
        members = fleet(60)
        for name, source in sources_of(members).items():
            if source != PLATFORM:
                self.assertEqual(
                    members[name].failure_domain, members[source].failure_domain
                )

    def test_all_daemons_of_a_small_site_watch(self):
        self.assertEqual(set(sources_of(fleet(8, "abcd")).values()), {PLATFORM})

    def test_unregistered_daemon_has_a_source(self):
        members = fleet(660)
        me = Member("newcomer", "boot", "a", "", "")
        source = source_of(me, members, 2, lambda name: True)
        self.assertIn(source, {PLATFORM, *members})

    def test_first_child_replaces_a_silent_watcher(self):
        members = fleet(660)
        silent = {name for name, source in sources_of(members).items() if not source}
        sources = sources_of(members, silent=silent)
        watching = [members[n].failure_domain for n, s in sources.items() if not s]
        self.assertEqual(sorted(watching), sorted("abcde" * 2))
        self.assertFalse(silent & set(sources.values()))

    def test_no_cycle_while_suspicions_differ(self):
        """After a partial partition, daemons suspect different neighbours.

        Each orders the others by its own suspicions. If two became each other's source,
        neither would ever receive a change again.
        """
        members = fleet(60, "a")
        rng = random.Random(7)
        for _ in range(200):
            sources = {}
            for name, member in members.items():
                suspected = set(rng.sample(sorted(members), rng.randrange(40)))
                usable = lambda other, suspected_names=suspected: (
                    other not in suspected_names
                )
                sources[name] = source_of(member, members, 2, usable)
            self.assertLess(max(hops(name, sources) for name in sources), 60)

    def test_outside_sources_are_in_several_failure_domains(self):
        members = fleet(60)
        same_domain = [m for m in members.values() if m.failure_domain == "a"]
        first = [
            outside_sources(m, members, 2, lambda name: True)[0] for m in same_domain
        ]
        self.assertNotIn("a", {members[name].failure_domain for name in first})
        self.assertGreater(len(set(first)), 2)


class SuspicionTest(unittest.TestCase):
    def test_suspicion_ends_with_time_or_a_response(self):
        health = SourceHealth()
        health.suspect("b", 100.0)
        health.suspect("c", 100.0)
        self.assertFalse(health.usable("b", 100.0 + SUSPICION_MS - 1))
        self.assertTrue(health.usable("b", 100.0 + SUSPICION_MS))
        health.trust("c")
        self.assertTrue(health.usable("c", 101.0))

    def test_neighbour_that_stays_ahead_is_fetched_from(self):
        """A neighbour that stays ahead reveals that this daemon's watch hangs.

        Nothing fails and no connection closes; only the neighbours' newest version
        shows it. Updates that are merely in transit must not cause a second fetch.
        """
        health = SourceHealth()
        self.assertFalse(health.needs_pull("b", 11, 10, 0.0))
        self.assertFalse(health.needs_pull("b", 11, 11, 100.0))
        self.assertFalse(health.needs_pull("b", 12, 11, 200.0))
        self.assertFalse(health.needs_pull("b", 12, 11, 200.0 + MAX_LAG_MS - 1))
        self.assertTrue(health.needs_pull("b", 12, 11, 200.0 + MAX_LAG_MS))

    def test_one_neighbour_ahead_and_one_equal(self):
        """One neighbour has a change that this daemon and the other neighbour lack.

        If the other neighbour counted as a sign that nothing is missing, the change
        would never spread further.
        """
        health = SourceHealth()
        for now_ms in range(0, MAX_LAG_MS, 50):
            self.assertFalse(health.needs_pull("b", 11, 10, float(now_ms)))
            self.assertFalse(health.needs_pull("d", 10, 10, float(now_ms)))
        self.assertTrue(health.needs_pull("b", 11, 10, float(MAX_LAG_MS)))

    def test_neighbour_behind_is_ignored(self):
        health = SourceHealth()
        self.assertFalse(health.needs_pull("b", 9, 10, 0.0))
        self.assertFalse(health.needs_pull("b", 9, 10, 10_000.0))


class RateTest(unittest.TestCase):
    def test_fleet_start_writes_at_most_200_per_second(self):
        rng = random.Random(3)
        for n_members in (9, 66, 660):
            delays = [start_delay_ms(n_members, rng.random()) for _ in range(n_members)]
            self.assertLessEqual(max(delays), 5 * n_members)
        in_one_second = sum(1 for delay in delays if delay < 1000)
        self.assertLess(in_one_second, 260)

    def test_fallback_polls_do_not_grow_with_the_fleet(self):
        for n_members in (9, 66, 660, 6600):
            per_second = n_members * 1000.0 / fallback_ms(n_members, 0.5)
            self.assertLess(per_second, 51)

    def test_retries_back_off_with_jitter(self):
        self.assertEqual(retry_ms(1, 0.5), 200)
        self.assertEqual(retry_ms(2, 0.5), 400)
        self.assertEqual(retry_ms(50, 0.5), 1000)
        self.assertEqual({retry_ms(1, draw) for draw in (0.0, 0.99)}, {100.0, 298.0})
