"""Which hot keys move, measured by what callers of these keys get."""

import heapq
import itertools
import random
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonramp.hotspots import MAX_RANGES_PER_SERVER, rebalance_hot_keys
from tarragonramp.key_load import (
    HALF_LIFE_MS,
    MAX_REPORTED_KEYS,
    KeyLoad,
    KeyLoadAggregate,
    KeyLoadRecorder,
)
from tarragonramp.manifest import N_KEYS
from tarragonramp.range_placement import Candidate, initial_table
from tarragonramp.ranges import TOKEN_STEP

WINDOW_MS = 4300.0


def servers(n, slots=3):
    """Return n candidates."""
    return [Candidate(f"s{i}", 1, f"10.0.0.{i}:80", slots) for i in range(n)]


def load_of(table, work):
    """Return the load of each owner, by its keys."""
    loads = {}
    for key, took_ms in work.items():
        owner = table.find(key).owner
        loads[owner] = loads.get(owner, 0.0) + took_ms
    return loads


class RebalanceTest(unittest.TestCase):
    """Keys become hot, and servers slow."""

    def spread(self, table, work, n=15, request_ms=600.0, rounds=12):
        """Move hot keys until none is left to move; return table and move count."""
        n_moved = 0
        for _ in range(rounds):
            key_load = KeyLoad(work, request_ms, WINDOW_MS)
            moved = rebalance_hot_keys(table, servers(n), key_load)
            if not moved:
                break
            n_moved += sum(item.is_moving for item in moved)
            table = table.with_ranges([item.settled() for item in moved])
        return table, n_moved

    def test_hot_ranges_of_one_owner_are_spread(self):
        """One owner has five hot ranges; callers wait while other servers are idle."""
        table = initial_table("parts", servers(15))
        own = [item for item in table.ranges if item.owner == "s3"][:5]
        work = {item.first: 400.0 for item in table.ranges[:150]}
        work |= {item.first: 8000.0 for item in own}
        before = load_of(table, work)
        after, n_moved = self.spread(table, work)
        loads = load_of(after, work)
        self.assertLess(max(loads.values()), 0.4 * max(before.values()))
        # The five ranges, and some of the owners' other ranges.
        self.assertLess(n_moved, 24)

    def test_ranges_being_moved_are_not_moved_again(self):
        """Guards against a move that forgets who may still hold the keys."""
        table = initial_table("parts", servers(15))
        own = [item for item in table.ranges if item.owner == "s3"][:5]
        work = {item.first: 400.0 for item in table.ranges[:150]}
        work |= {item.first: 8000.0 for item in own}
        table = table.with_ranges([item.moved_to("s3", 1) for item in own[:3]])
        moved = rebalance_hot_keys(table, servers(15), KeyLoad(work, 600.0, WINDOW_MS))
        self.assertTrue(moved)
        for item in moved:
            self.assertFalse(table.find(item.first).is_moving)

    def test_random_variation_moves_nothing(self):
        """With uniform demand, the counts of a few requests differ by chance alone."""
        rng = random.Random(7)
        table = initial_table("parts", servers(15))
        n_moved = 0
        for _ in range(20):
            work = {}
            for _ in range(120):
                first = rng.choice(table.ranges).first
                work[first] = work.get(first, 0.0) + 600.0
            key_load = KeyLoad(work, 600.0, WINDOW_MS)
            n_moved += len(rebalance_hot_keys(table, servers(15), key_load))
        self.assertLess(n_moved, 20)

    def test_servers_with_low_utilization_keep_their_keys(self):
        """A server with low utilization gains nothing by giving keys away."""
        table = initial_table("parts", servers(15))
        work = {table.ranges[0].first: 900.0}
        self.assertEqual(self.spread(table, work)[1], 0)

    def test_single_hot_key_does_not_move(self):
        """Its owner always has the most load, so moving the key would only cost."""
        table = initial_table("parts", servers(15))
        work = {table.ranges[0].first: 12_000.0}
        self.assertEqual(self.spread(table, work)[1], 0)

    def test_hot_range_is_split(self):
        """A range with 200 adjacent hot keys, a third of all requests, is split.

        Guards against rejecting their callers for as long as a promotion lasts: all
        keys were in one range, whose owner always had the most load, so nothing could
        be moved.
        """
        table = initial_table("parts", servers(13))
        rng = random.Random(3)
        begin = table.ranges[50].first + 20
        work = {key: 60.0 for key in rng.sample(range(N_KEYS), 600)}
        work |= {key: 120.0 for key in range(begin, begin + 200)}
        after, n_moved = self.spread(table, work, 13, request_ms=90.0)
        loads = load_of(after, work)
        mean = sum(loads.values()) / 13
        self.assertGreater(max(load_of(table, work).values()), 4 * mean)
        self.assertLess(max(loads.values()), 1.6 * mean)
        self.assertLess(n_moved, 30)

    def test_owner_of_the_hottest_key_gives_all_other_keys_away(self):
        table = initial_table("parts", servers(13))
        item = table.ranges[50]
        work = {item.first + 40: 9000.0}
        work |= {item.first + at: 400.0 for at in range(30, 50) if at != 40}
        after, _ = self.spread(table, work, 13)
        owner = after.find(item.first + 40).owner
        self.assertGreater(load_of(table, work)[item.owner], 16_000.0)
        self.assertLess(load_of(after, work)[owner], 9000.0 + 1300.0)

    def test_slow_server_gives_keys_away(self):
        """All servers get as many requests, but one takes six times as long."""
        table = initial_table("parts", servers(13))
        slow = table.ranges[0].owner
        rng = random.Random(5)
        keys = rng.sample(range(N_KEYS), 400)
        work = {key: 600.0 if table.find(key).owner == slow else 100.0 for key in keys}
        after, n_moved = self.spread(table, work, 13)
        self.assertLess(load_of(after, work)[slow], 0.4 * load_of(table, work)[slow])
        self.assertLess(n_moved, 20)

    def test_hottest_key_moves_to_the_fastest_server_once(self):
        table = initial_table("parts", servers(13))
        item = table.ranges[50]
        candidates = [
            attrs.evolve(c, slowdown=0.5 if c.name in ("s4", "s9") else 1.0)
            for c in servers(13)
            if item.owner not in ("s4", "s9")
        ]
        work = {item.first + at: 90.0 for at in (8, 10)} | {item.first + 9: 9000.0}
        key_load = KeyLoad(work, 90.0, WINDOW_MS)
        for _ in range(3):
            changed = rebalance_hot_keys(table, candidates, key_load)
            table = table.with_ranges([r.settled() for r in changed])
        owned = table.find(item.first + 9)
        self.assertEqual((owned.owner, owned.n_keys), ("s4", 1))
        self.assertEqual(owned.token, 1 + TOKEN_STEP)

    def test_number_of_ranges_is_limited(self):
        """Hot spots move over all keys for days, and ranges are never merged."""
        table = initial_table("parts", servers(4))
        rng = random.Random(1)
        for _ in range(300):
            begin = rng.randrange(N_KEYS - 60)
            work = {key: 300.0 for key in range(begin, begin + 60)}
            table, _ = self.spread(table, work, 4, rounds=2)
        self.assertLessEqual(len(table.ranges), 4 * MAX_RANGES_PER_SERVER)

    @settings(max_examples=40, deadline=None)
    @given(st.integers(2, 40), st.integers(1, 8), st.integers(0, 1 << 30))
    def test_every_key_keeps_exactly_one_owner(self, n, slots, seed):
        """For any servers, slots and skew, no key is lost or duplicated.

        The highest load of an owner does not increase either.
        """
        rng = random.Random(seed)
        table = initial_table("parts", servers(n, slots))
        centre, width = rng.randrange(N_KEYS), rng.choice((5, 300, 9000))
        work = {}
        for _ in range(rng.randrange(20, 900)):
            key = int(rng.gauss(centre, width)) % N_KEYS
            work[key] = work.get(key, 0.0) + rng.expovariate(1 / 150.0)
        key_load = KeyLoad(work, 150.0, WINDOW_MS)
        changed = rebalance_hot_keys(table, servers(n, slots), key_load)
        after = table.with_ranges([item.settled() for item in changed])
        self.assertEqual(
            (after.ranges[0].first, after.ranges[-1].last), (0, N_KEYS - 1)
        )
        for one, other in itertools.pairwise(after.ranges):
            self.assertEqual(one.last + 1, other.first)
        kept = [item for item in changed if not item.is_moving]
        for item in kept:
            before = table.find(item.first)
            self.assertEqual((item.owner, item.token), (before.owner, before.token))
        before, later = load_of(table, work), load_of(after, work)
        self.assertLessEqual(max(later.values()), max(before.values()) + 1e-6)


@attrs.define(eq=False)
class KeySimulation:
    """Simulates owners with slots and queues, and callers with a skewed choice of keys.

    An owner rejects a request that it would answer after the target, as the router
    does. Time is simulated.
    """

    slowdowns: list
    work_ms: float = 90.0
    slots: int = 4
    target_ms: float = 300.0
    seed: int = 1

    def run(self, per_s, for_s, hot, moves=True):
        """Return the fraction of requests for divided keys that are answered in time.

        Parameters
        ----------
        per_s, for_s : float
        hot : callable
            ``hot(rng, now_ms)`` returns the key of the next request.
        moves : bool
            Whether hot keys move.
        """
        rng, aggregate = random.Random(self.seed), KeyLoadAggregate()
        owners = [
            attrs.evolve(candidate, slowdown=slowdown)
            for candidate, slowdown in zip(
                servers(len(self.slowdowns), self.slots), self.slowdowns, strict=True
            )
        ]
        table = initial_table("parts", owners)
        free = {c.name: [0.0] * self.slots for c in owners}
        slowdown = {c.name: s for c, s in zip(owners, self.slowdowns, strict=True)}
        now_ms, last_move_ms, n, n_in_time, recorder = 0.0, 0.0, 0, 0, KeyLoadRecorder()
        while now_ms < for_s * 1000.0:
            now_ms += rng.expovariate(per_s) * 1000.0
            n += 1
            key = hot(rng, now_ms)
            name = table.find(key).owner
            work_ms = self.work_ms * slowdown[name] * rng.uniform(0.6, 1.4)
            start_ms = max(now_ms, free[name][0])
            if start_ms + work_ms - now_ms <= self.target_ms:
                n_in_time += 1
                heapq.heapreplace(free[name], start_ms + work_ms)
                recorder.note("parts", key, start_ms + work_ms - now_ms)
            else:
                recorder.note("parts", key, self.work_ms)
            if now_ms >= last_move_ms + 700.0:
                last_move_ms = now_ms
                aggregate.add(recorder.drain({"parts": table}), now_ms)
                if moves:
                    key_load = aggregate.recent_load("parts", now_ms)
                    changed = rebalance_hot_keys(table, owners, key_load)
                    table = table.with_ranges([item.settled() for item in changed])
        return n_in_time / n


def zipf_keys(centre):
    """Return a source of keys, of which those next to a centre are the hottest."""

    def key(rng, now_ms):
        rank = int(6000 ** rng.random() ** 0.55)
        return (centre + rank) % N_KEYS

    return key


class CallersOfHotKeysTest(unittest.TestCase):
    """What callers get while keys are hot, with and without moves."""

    SLOWDOWNS = (0.7, 1.0, 1.0, 1.5)

    def shares(self, hot_at, n=13, per_s=240.0, for_s=12.0, **settings):
        """Return the fraction answered in time without and with moves.

        The mean over hot spots that start at different owners.
        """
        simulation = KeySimulation(
            [self.SLOWDOWNS[i % 4] for i in range(n)], **settings
        )
        hot_spots = [N_KEYS * at // 8 + 40 for at in range(8)]
        return [
            sum(simulation.run(per_s, for_s, hot_at(p), moves) for p in hot_spots)
            / len(hot_spots)
            for moves in (False, True)
        ]

    def test_burst_on_adjacent_keys(self):
        """Two fifths of all requests are for 200 adjacent keys, for five seconds."""

        def hot_at(hot_spot):
            def hot(rng, now_ms):
                if 3000 < now_ms < 8000 and rng.random() < 0.4:
                    return hot_spot + rng.randrange(200)
                return rng.randrange(N_KEYS)

            return hot

        without, with_moves = self.shares(hot_at)
        self.assertLess(without, 0.93)
        self.assertGreater(with_moves, without + 0.04)

    def test_permanent_skew(self):
        without, with_moves = self.shares(zipf_keys, per_s=320.0)
        self.assertGreater(with_moves, without + 0.04)
        self.assertGreater(with_moves, 0.85)

    def test_key_beyond_the_capacity_of_a_server(self):
        """A third of all requests are for one key, twice its owner's capacity.

        The key can't be split, but the fastest server, relieved of all other keys,
        answers twice as many of its callers as the others would.
        """

        def hot_at(hot_spot):
            def hot(rng, now_ms):
                if 2000 < now_ms < 10_000 and rng.random() < 0.35:
                    return hot_spot
                return rng.randrange(N_KEYS)

            return hot

        without, with_moves = self.shares(hot_at, per_s=250.0)
        self.assertGreater(with_moves, without + 0.05)
        self.assertGreater(with_moves, 0.88)

    def test_one_slow_server(self):
        """A noisy neighbour makes one of nine servers six times slower."""
        simulation = KeySimulation([1.0] * 8 + [6.0], target_ms=800.0)

        def even(rng, now_ms):
            return rng.randrange(N_KEYS)

        without = simulation.run(120.0, 15.0, even, moves=False)
        with_moves = simulation.run(120.0, 15.0, even)
        self.assertGreater(with_moves, without + 0.02)

    def test_saturation_is_not_made_worse(self):
        """All servers are saturated: moves can't help and must not harm."""

        def even(hot_spot):
            return lambda rng, now_ms: rng.randrange(N_KEYS)

        without, with_moves = self.shares(even, per_s=700.0)
        self.assertGreater(with_moves, without - 0.03)

    def test_other_numbers_of_servers_and_slots(self):
        """Server counts, slots, processing times and targets that no site has."""
        for n, slots, work_ms, per_s in (
            (5, 2, 40.0, 90.0),
            (30, 8, 15.0, 5000.0),
            (40, 3, 500.0, 110.0),
        ):
            without, with_moves = self.shares(
                zipf_keys,
                n,
                per_s,
                for_s=6.0,
                slots=slots,
                work_ms=work_ms,
                target_ms=3 * work_ms,
            )
            self.assertGreaterEqual(with_moves, without)


class ReportTest(unittest.TestCase):
    """What daemons report about the load by key."""

    def test_load_is_halved_in_a_half_life(self):
        aggregate = KeyLoadAggregate()
        aggregate.add({"parts": {"7": [10, 1000]}}, 50_000.0)
        key_load = aggregate.recent_load("parts", 50_000.0 + HALF_LIFE_MS)
        self.assertAlmostEqual(key_load.by_key[7], 500.0)
        self.assertAlmostEqual(key_load.request_ms, 100.0)
        aggregate.add({"parts": {"7": [1, 100]}}, 50_000.0 + 2 * HALF_LIFE_MS)
        key_load = aggregate.recent_load("parts", 50_000.0 + 2 * HALF_LIFE_MS)
        self.assertAlmostEqual(key_load.by_key[7], 350.0)

    def test_keys_without_recent_load_are_dropped(self):
        aggregate = KeyLoadAggregate()
        aggregate.add({"parts": {k: [1, 100] for k in range(500)}}, 0.0)
        aggregate.add({}, 12 * HALF_LIFE_MS)
        self.assertEqual(aggregate.recent_load("parts", 12 * HALF_LIFE_MS).by_key, {})

    def test_only_the_hottest_keys_are_reported(self):
        """Other keys are reported with their range, so owners' sums stay correct."""
        table = initial_table("parts", servers(13))
        recorder, rng = KeyLoadRecorder(), random.Random(2)
        total = {}
        for key in rng.choices(range(N_KEYS), k=5000):
            recorder.note("parts", key, 10)
            total[key] = total.get(key, 0) + 10
        for _ in range(50):
            recorder.note("parts", 777, 10)
        total[777] = total.get(777, 0) + 500
        reported = recorder.drain({"parts": table})["parts"]
        self.assertLessEqual(len(reported), MAX_REPORTED_KEYS + len(table.ranges))
        self.assertGreaterEqual(reported[777][1], 500)
        by_key = {key: took_ms for key, (_, took_ms) in reported.items()}
        self.assertEqual(load_of(table, by_key), load_of(table, total))
        self.assertEqual(recorder.drain({}), {})
