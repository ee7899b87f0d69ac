"""Who watches and who learns from whom, without sockets."""

import random
import unittest

from tarragonramp.model import Member
from tarragonramp.spreading import (
    CHILDREN,
    LAG_MS,
    PLATFORM,
    SUSPECT_MS,
    Sources,
    fallback_ms,
    outside_sources,
    retry_ms,
    source_of,
    start_delay_ms,
)


def fleet(n_daemons, domains="abcde"):
    """Return members by name, dealt out to failure domains in turn."""
    names = [f"entry-{i:03}" for i in range(n_daemons)]
    return {
        name: Member(name, "boot", domains[i % len(domains)], "", "")
        for i, name in enumerate(names)
    }


def sources_of(members, n_watchers=2, silent=()):
    """Return every live daemon's source, all suspecting the silent ones."""
    usable = lambda name: name not in silent
    return {
        name: source_of(member, members, n_watchers, usable)
        for name, member in members.items()
        if name not in silent
    }


def hops(name, sources):
    """Return how many daemons are between one and the platform."""
    count = 0
    while sources[name] != PLATFORM:
        name, count = sources[name], count + 1
    return count


class SourceTest(unittest.TestCase):
    def test_two_of_each_failure_domain_watch(self):
        members = fleet(660)
        sources = sources_of(members)
        watching = [members[n].failure_domain for n, s in sources.items() if not s]
        self.assertEqual(sorted(watching), sorted("abcde" * 2))

    def test_degree_and_depth_are_bounded(self):
        sources = sources_of(fleet(660))
        followed = [source for source in sources.values() if source != PLATFORM]
        self.assertLessEqual(max(map(followed.count, set(followed))), CHILDREN)
        self.assertLessEqual(max(hops(name, sources) for name in sources), 4)

    def test_sources_are_of_the_own_failure_domain(self):
        members = fleet(60)
        for name, source in sources_of(members).items():
            if source != PLATFORM:
                self.assertEqual(
                    members[name].failure_domain, members[source].failure_domain
                )

    def test_small_site_all_watch(self):
        self.assertEqual(set(sources_of(fleet(8, "abcd")).values()), {PLATFORM})

    def test_a_newcomer_unknown_to_all_has_a_source(self):
        members = fleet(660)
        me = Member("newcomer", "boot", "a", "", "")
        source = source_of(me, members, 2, lambda name: True)
        self.assertIn(source, {PLATFORM, *members})

    def test_silent_watchers_are_replaced_by_their_first_child(self):
        members = fleet(660)
        silent = {name for name, source in sources_of(members).items() if not source}
        sources = sources_of(members, silent=silent)
        watching = [members[n].failure_domain for n, s in sources.items() if not s]
        self.assertEqual(sorted(watching), sorted("abcde" * 2))
        self.assertFalse(silent & set(sources.values()))

    def test_no_cycle_while_daemons_differ_in_whom_they_suspect(self):
        """Daemons see different neighbours silent after a partial partition.

        Each orders the others by its own suspicions. Were two to become each
        other's source, neither would ever hear of a change again.
        """
        members = fleet(60, "a")
        rng = random.Random(7)
        for _ in range(200):
            sources = {}
            for name, member in members.items():
                suspected = set(rng.sample(sorted(members), rng.randrange(40)))
                usable = lambda other, bad=suspected: other not in bad
                sources[name] = source_of(member, members, 2, usable)
            self.assertLess(max(hops(name, sources) for name in sources), 60)

    def test_cut_off_failure_domain_asks_watchers_of_several_others(self):
        members = fleet(60)
        near = [m for m in members.values() if m.failure_domain == "a"]
        first = [outside_sources(m, members, 2, lambda name: True)[0] for m in near]
        self.assertNotIn("a", {members[name].failure_domain for name in first})
        self.assertGreater(len(set(first)), 2)


class SuspicionTest(unittest.TestCase):
    def test_suspicion_ends_with_time_or_an_answer(self):
        sources = Sources()
        sources.suspect("b", 100.0)
        sources.suspect("c", 100.0)
        self.assertFalse(sources.usable("b", 100.0 + SUSPECT_MS - 1))
        self.assertTrue(sources.usable("b", 100.0 + SUSPECT_MS))
        sources.trust("c")
        self.assertTrue(sources.usable("c", 101.0))

    def test_a_neighbour_ahead_for_long_is_pulled_from(self):
        """The watch of this daemon hangs while its neighbours go on.

        Nothing fails and nothing closes; only the neighbours' newest version shows
        it. News that is merely on its way must not lead to a second fetch.
        """
        sources = Sources()
        self.assertFalse(sources.lags("b", 11, 10, 0.0))
        self.assertFalse(sources.lags("b", 11, 11, 100.0))
        self.assertFalse(sources.lags("b", 12, 11, 200.0))
        self.assertFalse(sources.lags("b", 12, 11, 200.0 + LAG_MS - 1))
        self.assertTrue(sources.lags("b", 12, 11, 200.0 + LAG_MS))

    def test_one_neighbour_ahead_and_one_level(self):
        """The neighbour on one side has the change, the one on the other has not.

        Were the second to count as a sign that all is well, the change would stop
        here for ever.
        """
        sources = Sources()
        for now_ms in range(0, LAG_MS, 50):
            self.assertFalse(sources.lags("b", 11, 10, float(now_ms)))
            self.assertFalse(sources.lags("d", 10, 10, float(now_ms)))
        self.assertTrue(sources.lags("b", 11, 10, float(LAG_MS)))

    def test_a_neighbour_behind_is_no_reason(self):
        sources = Sources()
        self.assertFalse(sources.lags("b", 9, 10, 0.0))
        self.assertFalse(sources.lags("b", 9, 10, 10_000.0))


class PaceTest(unittest.TestCase):
    def test_fleet_start_writes_at_most_200_a_second(self):
        rng = random.Random(3)
        for n_members in (9, 66, 660):
            delays = [start_delay_ms(n_members, rng.random()) for _ in range(n_members)]
            self.assertLessEqual(max(delays), 5 * n_members)
        in_one_second = sum(1 for delay in delays if delay < 1000)
        self.assertLess(in_one_second, 260)

    def test_polls_of_a_fleet_without_platform_do_not_grow_with_it(self):
        for n_members in (9, 66, 660, 6600):
            per_second = n_members * 1000.0 / fallback_ms(n_members, 0.5)
            self.assertLess(per_second, 51)

    def test_retries_back_off_and_spread(self):
        self.assertEqual(retry_ms(1, 0.5), 200)
        self.assertEqual(retry_ms(2, 0.5), 400)
        self.assertEqual(retry_ms(50, 0.5), 1000)
        self.assertEqual({retry_ms(1, draw) for draw in (0.0, 0.99)}, {100.0, 298.0})
