"""Requests that servers with limits get from all daemons together, without I/O."""

import itertools
import math
import random
import unittest

import attrs

from tarragonramp.directory import BackendServer
from tarragonramp.limits.servers import PLACEMENT_MS, ServerLimits

WINDOW_MS, BURST_FACTOR, SLACK = 4000.0, 1.5, 5
CONTACT_MS, TOLD_DELAY_MS = 3000.0, 500.0
"""Time after a server first named a limit, and after a daemon passed on an answer that
named it, from which the daemon's requests count."""

LENGTH_MS, STEP_MS = 60_000, 20
PING_MS = 500
SERVER = BackendServer("s1", 1, "parts", "s1:80", "a", 4)


@attrs.define(eq=False)
class Daemon:
    """A daemon with its own view of the fleet.

    Parameters
    ----------
    limits : ServerLimits
    known : tuple of str
        Names of the daemons that it knows.
    seen : int
        Number of the leader's last change that it has applied.
    told_ms : float
        When it first passed on an answer that named a limit.
    """

    limits: object
    known: tuple
    seen: int = 0
    told_ms: float = math.inf


class Fleet:
    """Daemons whose callers send requests to one limited server.

    Parameters
    ----------
    n_daemons : int
    per_s : callable
        Limit that the server names at a time in ms; None for none.
    views : callable
        Returns the names that a daemon knows, by its name and those of all.
    has_leader : bool
        Whether the first daemon tells the others what it knows, each half second.
    """

    def __init__(self, n_daemons, per_s, views=lambda name, names: names, leader=True):
        self.rng, self.per_s, self.has_leader = random.Random(n_daemons), per_s, leader
        self.names, self.views = [f"d{i}" for i in range(n_daemons)], views
        self.daemons = {}
        for name in self.names:
            self.start(name)
        self.arrivals, self.counted, self.refused, self.dead = [], [], 0, set()

    def start(self, name):
        """Start a daemon that has heard of no limit."""
        known = tuple(self.views(name, self.names))
        self.daemons[name] = Daemon(ServerLimits(name), known)

    def send(self, at_ms):
        """Send one request by way of a random daemon, and hand it on if needed."""
        name = self.rng.choice([n for n in self.names if n not in self.dead])
        daemon = self.daemons[name]
        if daemon.limits.limit_of(SERVER) is None:
            return self.arrive(daemon, at_ms)
        senders = daemon.limits.senders_of(SERVER, daemon.known)
        sender = name if name in senders else self.rng.choice(senders or [""])
        if sender in self.dead or not sender:
            self.refused += 1
            return None
        chosen = self.daemons[sender]
        if not chosen.limits.may_send(SERVER, chosen.known, 0.0, at_ms):
            self.refused += 1
            return None
        return self.arrive(chosen, at_ms)

    def arrive(self, daemon, at_ms):
        """Let a request reach the server, which answers at once."""
        daemon.limits.record_sent(SERVER, at_ms)
        self.arrivals.append(at_ms)
        if at_ms >= daemon.told_ms + TOLD_DELAY_MS:
            self.counted.append(at_ms)
        per_s = self.per_s(at_ms)
        daemon.limits.record_answer(SERVER, per_s, at_ms, at_ms)
        if per_s is not None:
            daemon.told_ms = min(daemon.told_ms, at_ms)

    def tell(self, at_ms):
        """Exchange what the daemons and their leader know."""
        leader = self.daemons[self.names[0]].limits
        alive = [name for name in self.names if name not in self.dead]
        for name in alive[1:]:
            leader.add_report(self.daemons[name].limits.to_report(at_ms), at_ms)
        leader.assign_senders(alive)
        for name in alive[1:]:
            daemon = self.daemons[name]
            daemon.limits.apply_changes(leader.changes_since(daemon.seen, at_ms), at_ms)
            daemon.seen = leader.n_changes

    def play(self, rate_per_s, at=None):
        """Play a minute with a load; ``at`` maps times in ms to what happens then."""
        due = 0.0
        for at_ms in range(0, LENGTH_MS, STEP_MS):
            if at and at_ms in at:
                at[at_ms]()
            if self.has_leader and at_ms % PING_MS == 0:
                self.tell(float(at_ms))
            due += rate_per_s(at_ms) * STEP_MS / 1000.0
            while due >= 1.0:
                due -= 1.0
                self.send(float(at_ms))

    def worst_window(self, after_ms=CONTACT_MS):
        """Return the most requests in four seconds from daemons that had been told."""
        times = [at for at in self.counted if at >= after_ms]
        ends = itertools.accumulate(
            times,
            lambda end, begin: next(
                (i for i in range(end, len(times)) if times[i] >= begin + WINDOW_MS),
                len(times),
            ),
            initial=0,
        )
        return max((end - i for i, end in enumerate(list(ends)[1:])), default=0)

    def rate(self, after_ms=CONTACT_MS):
        """Return the requests a second that the server got."""
        return (
            sum(at >= after_ms for at in self.arrivals)
            * 1000.0
            / (LENGTH_MS - after_ms)
        )


def allowed(per_s):
    """Return how many requests a server with a limit may get in four seconds."""
    return BURST_FACTOR * per_s * WINDOW_MS / 1000.0 + SLACK


def steady(rate):
    """Return a load that does not change."""
    return lambda at_ms: rate


class FleetLimitTest(unittest.TestCase):
    """Guards against daemons that together send more than a server takes."""

    sizes, limits = (9, 91, 195), (0.3, 1.0, 2.8, 4.2, 20.0, 60.0)

    def check(self, fleet, per_s, is_used=True):
        """Fail if the server gets too much, or less than half of what it takes."""
        self.assertLessEqual(fleet.worst_window(), allowed(per_s))
        if is_used:
            self.assertGreater(fleet.rate(), per_s / 2)

    def test_limit_is_kept_and_used_by_fleets_of_any_size(self):
        for n_daemons, per_s in itertools.product(self.sizes, self.limits):
            with self.subTest(n_daemons=n_daemons, per_s=per_s):
                fleet = Fleet(n_daemons, steady(per_s))
                fleet.play(steady(5 * per_s + 10))
                self.check(fleet, per_s)

    def test_limit_is_kept_in_bursts(self):
        bursts = lambda at_ms: 300.0 if at_ms % 7000 < 500 else 1.0
        for n_daemons, per_s in itertools.product(self.sizes, self.limits):
            with self.subTest(n_daemons=n_daemons, per_s=per_s):
                fleet = Fleet(n_daemons, steady(per_s))
                fleet.play(bursts)
                self.check(fleet, per_s, is_used=False)

    def test_limit_is_kept_and_used_without_a_leader(self):
        for n_daemons in self.sizes:
            fleet = Fleet(n_daemons, steady(2.8), leader=False)
            fleet.play(steady(60.0))
            self.check(fleet, 2.8)

    def test_limit_is_kept_by_daemons_that_do_not_know_all_others(self):
        """Some have just joined, and half of the fleet knows nothing of them."""
        for n_daemons, has_leader in itertools.product(self.sizes, (True, False)):
            half = [f"d{i}" for i in range(n_daemons // 2)]
            views = lambda name, names: half if name in half else names  # noqa: B023
            fleet = Fleet(n_daemons, steady(2.8), views, has_leader)
            fleet.play(steady(60.0))
            self.check(fleet, 2.8)

    def test_daemons_that_know_only_themselves_send_nothing(self):
        """Guards against daemons that each take the whole limit after a start."""
        fleet = Fleet(91, steady(2.8), lambda name, names: [name], leader=False)
        fleet.play(steady(60.0))
        self.assertEqual([at for at in fleet.arrivals if at > 20_000], [])

    def test_limit_is_kept_while_daemons_are_killed_and_start_again(self):
        for n_daemons in self.sizes:
            fleet = Fleet(n_daemons, steady(2.8))
            rng, events = random.Random(1), {}

            def kill(fleet=fleet, rng=rng):
                fleet.dead.update(rng.sample(fleet.names[1:], len(fleet.names) // 2))

            def restart(fleet=fleet):
                for name in fleet.dead:
                    fleet.start(name)
                fleet.dead.clear()

            for begin_ms in range(10_000, 50_000, 8000):
                events[begin_ms], events[begin_ms + 3000] = kill, restart
            fleet.play(steady(60.0), events)
            self.check(fleet, 2.8)

    def test_smaller_limit_binds_at_once_and_a_larger_one_is_used(self):
        per_s = lambda at_ms: (
            20.0 if at_ms < 20_000 else 2.8 if at_ms < 40_000 else 30.0
        )
        fleet = Fleet(91, per_s)
        fleet.play(steady(90.0))
        smaller = [at for at in fleet.arrivals if 21_000 <= at < 40_000]
        worst = max(sum(b <= at < b + WINDOW_MS for at in smaller) for b in smaller)
        self.assertLessEqual(worst, allowed(2.8))
        larger = [at for at in fleet.arrivals if at >= 45_000]
        self.assertGreater(len(larger) / 15.0, 30.0 / 2)

    def test_limit_ends_everywhere_within_four_seconds(self):
        fleet = Fleet(91, lambda at_ms: 2.8 if at_ms < 30_000 else None)
        fleet.play(steady(90.0))
        after = sum(at >= 34_000 for at in fleet.arrivals)
        self.assertEqual(after, 26 * 90)

    def test_server_that_takes_nothing_is_asked_now_and_then(self):
        """Guards against a limit whose end nobody would hear."""
        fleet = Fleet(91, lambda at_ms: 0.0 if at_ms < 30_000 else None)
        fleet.play(steady(90.0))
        during = sum(CONTACT_MS <= at < 30_000 for at in fleet.arrivals)
        self.assertLessEqual(during, 3)
        self.assertGreater(sum(at >= 55_000 for at in fleet.arrivals), 400)


class ServerLimitsTest(unittest.TestCase):
    """What one daemon makes of a server's answers."""

    def setUp(self):
        self.limits = ServerLimits("d1")

    def answer(self, per_s, sent_ms, now_ms, server=SERVER):
        return self.limits.record_answer(server, per_s, sent_ms, now_ms)

    def test_answer_to_an_earlier_request_ends_no_limit(self):
        """Guards against a limit lost to an answer that was made before it."""
        self.answer(2.8, 100.0, 200.0)
        self.answer(None, 150.0, 300.0)
        self.answer(9.0, 150.0, 300.0)
        self.assertEqual(self.limits.limit_of(SERVER).per_s, 2.8)
        self.answer(1.0, 150.0, 300.0)
        self.assertEqual(self.limits.limit_of(SERVER).per_s, 1.0)
        self.answer(None, 301.0, 400.0)
        self.assertIsNone(self.limits.limit_of(SERVER))

    def test_new_life_of_a_server_has_no_limit(self):
        self.answer(2.8, 0.0, 1.0)
        reborn = attrs.evolve(SERVER, life=2)
        self.assertIsNone(self.limits.limit_of(reborn))
        self.assertTrue(self.limits.may_send(reborn, ["d1", "d2"], 0.0, 2.0))

    def test_late_report_does_not_revive_a_limit_that_has_ended(self):
        other = ServerLimits("d2")
        other.record_answer(SERVER, 2.8, 0.0, 1.0)
        self.answer(2.8, 0.0, 1.0)
        self.answer(None, 500.0, 510.0)
        self.limits.add_report(other.to_report(600.0), 600.0)
        self.limits.apply_changes(other.changes_since(0, 600.0), 600.0)
        self.assertIsNone(self.limits.limit_of(SERVER))

    def test_malformed_messages_change_nothing(self):
        for row in (["s1"], ["s1", 1, -1.0, 0], ["s1", 1, "x", 0], ["s1", "x", 1.0, 0]):
            with self.assertRaises((ValueError, TypeError)):
                self.limits.add_report([["s2", 1, 1.0, 0], row], 0.0)
            with self.assertRaises((ValueError, TypeError)):
                self.limits.apply_changes([[*row, []], ["s2", 1, 1.0, 0, []]], 0.0)
        self.assertEqual(self.limits.limited(), {})

    def test_less_urgent_requests_leave_permits_to_urgent_ones(self):
        self.answer(2.8, 0.0, 1.0)
        self.limits.assign_senders(["d1", "d2"])
        while self.limits.may_send(SERVER, (), 0.4, 2.0):
            self.limits.record_sent(SERVER, 2.0)
        self.assertGreaterEqual(self.limits.n_free(SERVER, (), 2.0), 3)
        self.assertTrue(self.limits.may_send(SERVER, (), 0.0, 2.0))

    def test_time_until_a_request_may_be_sent(self):
        self.answer(0.5, 0.0, 1.0)
        self.limits.assign_senders(["d1"])
        self.limits.record_sent(SERVER, 10.0)
        self.limits.record_sent(SERVER, 1000.0)
        self.assertFalse(self.limits.may_send(SERVER, (), 0.0, 2000.0))
        free_ms = 2000.0 + self.limits.ms_until_free(SERVER, (), 2000.0)
        self.assertFalse(self.limits.may_send(SERVER, (), 0.0, free_ms - 1.0))
        self.assertTrue(self.limits.may_send(SERVER, (), 0.0, free_ms + 1.0))

    def test_server_that_was_not_heard_is_asked_once_a_second(self):
        """Guards against a server in need to which all requests are sent."""
        self.assertFalse(self.limits.is_check_due(SERVER, 5000.0))
        self.answer(2.8, 0.0, 1.0)
        self.assertFalse(self.limits.is_check_due(SERVER, 900.0))
        self.assertTrue(self.limits.is_check_due(SERVER, 1500.0))
        self.limits.record_sent(SERVER, 1500.0)
        self.assertFalse(self.limits.is_check_due(SERVER, 2400.0))
        self.assertTrue(self.limits.is_check_due(SERVER, 2600.0))
        self.assertEqual(self.limits.n_free(SERVER, (), 2600.0), -1)

    def test_limited_server_counts_with_the_slots_that_it_can_use(self):
        self.answer(2.8, 0.0, 1.0)
        self.assertLess(self.limits.usable_slots(SERVER, 440.0, 2.0), 1.0)
        self.assertEqual(self.limits.usable_slots(SERVER, 1e6, 2.0), 4)
        unheard_ms = 2.0 + PLACEMENT_MS
        self.assertEqual(self.limits.usable_slots(SERVER, 440.0, unheard_ms), 4)

    def test_large_limit_is_divided_among_several_senders(self):
        """Guards against one daemon through which all requests of a service go."""
        self.answer(20.0, 0.0, 1.0)
        names = [f"d{i}" for i in range(20)]
        self.limits.assign_senders(names)
        statement = self.limits.limit_of(SERVER)
        self.assertEqual(len(statement.senders), statement.n_permits // 8)
        quotas = []
        for name in names:
            self.limits.name = name
            quotas.append(self.limits.n_free(SERVER, names, 2.0))
        self.assertEqual(sum(quotas), statement.n_permits)
        self.assertLessEqual(max(quotas), 9)

    def test_senders_change_only_when_one_is_lost(self):
        """Guards against two senders at each change of the fleet."""
        self.answer(2.8, 0.0, 1.0)
        names = [f"d{i}" for i in range(50)]
        self.limits.assign_senders(names[:20])
        (chosen,) = self.limits.limit_of(SERVER).senders
        self.assertEqual(self.limits.assign_senders(names), [])
        others = [name for name in names if name != chosen]
        self.assertEqual(self.limits.assign_senders(others), ["s1"])

    def test_servers_that_are_gone_are_forgotten(self):
        self.answer(2.8, 0.0, 1.0)
        self.limits.retain([])
        self.assertEqual(self.limits.limited(), {})


if __name__ == "__main__":
    unittest.main()
