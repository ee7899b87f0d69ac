"""What all daemons together send within limits that they share, without a network.

Each daemon decides by what it knows; the sum is read as a ratio of what is allowed.
"""

import random
import unittest

from tarragonramp import ManualClock
from tarragonramp.directory import BackendServer
from tarragonramp.limits import ColdStartLimiter, ServerLimits, WindowedRetryBudget

N_DAEMONS = (1, 8, 30, 90, 180)
RATIO, WINDOW_MS = 0.2, 10_000.0
RESTARTED_SHARE = 0.6
COLD_PER_S, COLD_FACTOR, COLD_SLACK = 3.5, 1.5, 8.0
SERVER = BackendServer("s1", 1, "desk", "s1:80", "a", 6)
LIMIT_FACTOR, LIMIT_SLACK, LIMIT_WINDOW_MS = 1.5, 5, 4000.0


def largest_count(times_ms, window_ms):
    """Return the largest number of times within any window."""
    times_ms = sorted(times_ms)
    most = first = 0
    for last, at_ms in enumerate(times_ms):
        while times_ms[first] <= at_ms - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def names(n_daemons):
    """Return the names of daemons."""
    return [f"d{i}" for i in range(n_daemons)]


class RetryTest(unittest.TestCase):
    """Retries of daemons that always want one."""

    def play(self, n_daemons, per_s, restarts_at_ms=()):
        """Return the largest ratio of retries to what is allowed in a window."""
        rng, clock = random.Random(7), ManualClock()
        slack = 40.0 + 2.0 * n_daemons

        def start():
            return WindowedRetryBudget(
                clock, lambda: 0.5 * RATIO, lambda: 0.95 * WINDOW_MS, clock.now_ms()
            )

        budgets = [start() for _ in range(n_daemons)]
        requests, retries, restarts = [], [], list(restarts_at_ms)
        at_ms = 0.0
        while at_ms < 40_000.0:
            step_ms = rng.expovariate(per_s / 1000.0)
            at_ms += step_ms
            clock.advance(step_ms)
            if restarts and at_ms >= restarts[0]:
                restarts.pop(0)
                for i in rng.sample(range(n_daemons), int(RESTARTED_SHARE * n_daemons)):
                    budgets[i] = start()
            # A few daemons have most of the callers.
            budget = budgets[int(n_daemons * rng.random() ** 3)]
            requests.append(at_ms)
            budget.earn()
            if budget.spend():
                retries.append(at_ms)
        worst = 0.0
        for end_ms in range(1000, 40_000, 250):
            spans = [
                (end_ms - back_ms, end_ms - back_ms - WINDOW_MS)
                for back_ms in (0.0, WINDOW_MS / 2.0, WINDOW_MS)
            ]
            n_requests = max(
                sum(begin < ms <= end for ms in requests) for end, begin in spans
            )
            n_retries = sum(end_ms - WINDOW_MS < ms <= end_ms for ms in retries)
            worst = max(worst, n_retries / (RATIO * n_requests + slack))
        return worst

    def test_retries_stay_within_the_budget_of_all(self):
        for n_daemons in N_DAEMONS:
            for per_s in (20.0, 300.0):
                with self.subTest(n_daemons=n_daemons, per_s=per_s):
                    usual = self.play(n_daemons, per_s)
                    restarted = self.play(n_daemons, per_s, (12_000.0, 15_000.0))
                    print(
                        f"retries, {n_daemons} daemons, {per_s:.0f} a second: "
                        f"{usual:.3f}, with two restarts of 0.6: {restarted:.3f}"
                    )
                    self.assertLessEqual(max(usual, restarted), 1.0)


class ColdStartTest(unittest.TestCase):
    """Requests to one cold server from daemons that all have some."""

    def play(self, n_daemons, n_seen, restart=False):
        """Return the largest ratio of requests to what is allowed in a second."""
        rng, everyone = random.Random(3), names(n_daemons)
        bound = COLD_PER_S * COLD_FACTOR + COLD_SLACK
        views = {}
        for name in everyone:
            others = [other for other in everyone if other != name]
            seen = {name, *rng.sample(others, min(n_seen, n_daemons) - 1)}
            # A daemon that knows only itself does not know how many there are.
            views[name] = seen if len(seen) > 1 or n_daemons == 1 else ()
        limiters = {name: ColdStartLimiter(name) for name in everyone}
        sent = []
        for at_ms in range(0, 6000, 20):
            if restart and at_ms == 3100:
                for name in rng.sample(everyone, int(RESTARTED_SHARE * n_daemons)):
                    limiters[name] = ColdStartLimiter(name, float(at_ms))
            for name in everyone:
                if limiters[name].try_acquire("s1", bound, views[name], float(at_ms)):
                    sent.append(at_ms)
        return largest_count(sent, 1000.0) / bound

    def test_a_cold_server_gets_no_more_than_it_bears(self):
        for n_daemons in N_DAEMONS:
            with self.subTest(n_daemons=n_daemons):
                ratio = self.play(n_daemons, n_daemons)
                print(f"cold server, {n_daemons} daemons that know all: {ratio:.3f}")
                self.assertLessEqual(ratio, 1.0)

    def test_a_daemon_that_knows_none_sends_little(self):
        for n_daemons in (8, 30, 90, 180):
            with self.subTest(n_daemons=n_daemons):
                ratio = self.play(n_daemons, 1)
                print(f"cold server, {n_daemons} daemons that know none: {ratio:.3f}")
                self.assertLessEqual(ratio, 1.0)

    def test_restarted_daemons_do_not_send_their_share_again(self):
        """Guards against shares that are spent once more by new processes."""
        for n_daemons in (8, 30, 90, 180):
            with self.subTest(n_daemons=n_daemons):
                ratio = self.play(n_daemons, n_daemons, restart=True)
                print(f"cold server, 0.6 of {n_daemons} restarted: {ratio:.3f}")
                self.assertLessEqual(ratio, 1.0)

    def test_daemons_that_know_a_part_of_the_others(self):
        """Guards against shares of a fleet that is larger than a daemon knows."""
        ratios = {}
        for n_daemons, n_seen in ((30, 8), (90, 8), (90, 30), (180, 90)):
            ratios[n_daemons, n_seen] = ratio = self.play(n_daemons, n_seen)
            print(f"cold server, {n_daemons} that know {n_seen}: {ratio:.3f}")
        self.assertLessEqual(max(ratios.values()), 1.0, ratios)


class ServerLimitTest(unittest.TestCase):
    """Requests to a server that names a limit, from daemons that all have some."""

    def play(self, n_daemons, per_s, chosen, restart=False):
        """Return the largest ratio of requests to what is allowed in four seconds."""
        rng, everyone = random.Random(5), names(n_daemons)
        limits = {name: ServerLimits(name) for name in everyone}
        for item in limits.values():
            item.record_answer(SERVER, per_s, 0.0, 0.0)
        if chosen:
            leader = limits["d0"]
            leader.assign_senders(everyone)
            rows = leader.changes_since(0, 0.0)
            for item in limits.values():
                item.apply_changes(rows, 0.0)
        sent = []
        for at_ms in range(0, 16_000, 25):
            if restart and at_ms == 6000:
                for name in rng.sample(everyone, int(RESTARTED_SHARE * n_daemons)):
                    limits[name] = ServerLimits(name)
                    limits[name].record_answer(SERVER, per_s, 5999.0, 6000.0)
            for name in everyone:
                item = limits[name]
                is_sender = item.sends_to(SERVER, everyone)
                if is_sender and item.may_send(SERVER, everyone, 0.0, at_ms):
                    item.record_sent(SERVER, at_ms)
                    sent.append(at_ms)
        allowed = LIMIT_FACTOR * per_s * LIMIT_WINDOW_MS / 1000.0 + LIMIT_SLACK
        return largest_count(sent, LIMIT_WINDOW_MS) / allowed

    def test_a_limited_server_gets_no_more_than_it_names(self):
        for n_daemons in N_DAEMONS:
            for per_s in (0.5, 4.0, 20.0):
                with self.subTest(n_daemons=n_daemons, per_s=per_s):
                    chosen = self.play(n_daemons, per_s, True)
                    restarted = self.play(n_daemons, per_s, True, restart=True)
                    print(
                        f"limit of {per_s} a second, {n_daemons} daemons: "
                        f"{chosen:.3f}, 0.6 restarted: {restarted:.3f}"
                    )
                    self.assertLessEqual(max(chosen, restarted), 1.0)


if __name__ == "__main__":
    unittest.main()
