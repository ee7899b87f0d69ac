"""Retries that all daemons of a fleet add together, over their whole traffic."""

import bisect
import collections
import random
import types
import unittest

import attrs

from tarragonramp.clock import ManualClock
from tarragonramp.fleet import FleetBounds
from tarragonramp.roles.router import Router

N_DAEMONS, LENGTH_MS, STEP_MS = 91, 50_000, 100
WINDOW_MS = 10_000.0
BOUNDS = FleetBounds(retry_ratio=0.2, retry_slack=222)
MAX_RETRIES_OF_REQUEST = 3


def make_router(clock, n_known):
    """Return a daemon's Router that knows some daemons, itself among them."""
    daemons = dict.fromkeys(map(str, range(n_known)))
    view = types.SimpleNamespace(daemons=daemons, directory=None)
    return Router(view, None, None, None, None, BOUNDS, None, clock, None)


@attrs.define
class Traffic:
    """Requests of callers, and retries that the daemons' budgets have allowed.

    Parameters
    ----------
    requests, retries : dict of int to int
        Numbers by time in ms.
    """

    requests: dict = attrs.Factory(collections.Counter)
    retries: dict = attrs.Factory(collections.Counter)

    def worst_excess(self):
        """Return the largest number of retries beyond what a window allows.

        Requests are counted in the window, in the one before it, or in the one that
        begins half a window before it, whichever has most.
        """
        n_requests, n_retries = _sums(self.requests), _sums(self.retries)

        def allowed(begin_ms):
            return BOUNDS.retry_slack + BOUNDS.retry_ratio * max(
                n_requests(begin_ms - back_ms)
                for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
            )

        return max(n_retries(begin) - allowed(begin) for begin in self.retries)


def _sums(counts):
    """Return a function that sums the counts of the window that begins at a time."""
    times = sorted(counts)
    totals = [0]
    for at_ms in times:
        totals.append(totals[-1] + counts[at_ms])

    def total(begin_ms):
        first = bisect.bisect_left(times, begin_ms)
        return totals[bisect.bisect_left(times, begin_ms + WINDOW_MS)] - totals[first]

    return total


def play(
    rate_at, views, restart_share=0.0, fails_at=lambda at_ms: True, restart_ms=1000
):
    """Send requests through a fleet whose servers refuse everything at some times.

    Parameters
    ----------
    rate_at : callable
        Requests a second at a time in ms, from all callers together.
    views : sequence of int
        How many daemons a daemon knows; one is chosen for each start of a daemon.
    restart_share : float
        Share of the daemons that are started again, each ``restart_ms``.
    fails_at : callable
        Whether requests are refused at a time, and sent again if the budget allows it.

    Returns
    -------
    traffic : Traffic
    """
    clock, rng, traffic = ManualClock(), random.Random(5), Traffic()
    start = lambda: make_router(clock, rng.choice(views))
    routers = [start() for _ in range(N_DAEMONS)]
    for at_ms in range(0, LENGTH_MS, STEP_MS):
        clock.reading_ms = float(at_ms)
        for _ in range(round(rate_at(at_ms) * STEP_MS / 1000.0)):
            budget = rng.choice(routers)._budget("parts")
            budget.earn()
            traffic.requests[at_ms] += 1
            tries = range(MAX_RETRIES_OF_REQUEST if fails_at(at_ms) else 0)
            traffic.retries[at_ms] += sum(budget.spend() for _ in tries)
        if at_ms % restart_ms == 0:
            for index in rng.sample(range(N_DAEMONS), int(restart_share * N_DAEMONS)):
                routers[index] = start()
    return traffic


def steady(at_ms):
    """Return the rate of the same load at all times, 5,760 requests in a window."""
    return 576.0


class FleetRetryBudgetTest(unittest.TestCase):
    """Guards against daemons that together send more retries than a service allows."""

    def test_daemons_that_know_few_others(self):
        for n_known in (1, 8, 30, 91):
            with self.subTest(n_known=n_known):
                self.assertLessEqual(play(steady, [n_known]).worst_excess(), 0)

    def test_daemons_that_restart_under_load(self):
        for n_known in (1, 8, 91):
            for share in (0.1, 0.6):
                with self.subTest(n_known=n_known, share=share):
                    traffic = play(steady, [n_known], share)
                    self.assertLessEqual(traffic.worst_excess(), 0)

    def test_many_daemons_restart_under_any_load(self):
        """Guards against retries without credit that each start brings again."""
        for rate_per_s in (50, 100, 200, 364, 1500):
            for share in (0.0, 0.6):
                with self.subTest(rate_per_s=rate_per_s, share=share):
                    rate_at = lambda at_ms, rate_per_s=rate_per_s: float(rate_per_s)
                    traffic = play(rate_at, [N_DAEMONS], share, restart_ms=5000)
                    self.assertLessEqual(traffic.worst_excess(), 0)

    def test_daemons_with_different_views_restart(self):
        self.assertLessEqual(play(steady, (1, 8, 30, 91), 0.3).worst_excess(), 0)

    def test_traffic_comes_in_bursts(self):
        bursts = lambda at_ms: 2000.0 if at_ms % 15_000 < 3000 else 40.0
        for n_known in (1, 91):
            self.assertLessEqual(play(bursts, [n_known]).worst_excess(), 0)

    def test_credit_is_not_kept_while_there_is_no_traffic(self):
        ebb = lambda at_ms: 600.0 if at_ms < 15_000 else 60.0 if at_ms > 30_000 else 0.0
        fails_at = lambda at_ms: at_ms > 30_000
        traffic = play(ebb, [N_DAEMONS], fails_at=fails_at)
        self.assertLessEqual(traffic.worst_excess(), 0)

    def test_not_all_credit_of_a_calm_window_is_saved_for_the_next(self):
        fails_at = lambda at_ms: at_ms > 25_000
        traffic = play(lambda at_ms: 1500.0, [N_DAEMONS], fails_at=fails_at)
        self.assertLessEqual(traffic.worst_excess(), 0)

    def test_a_known_fleet_uses_half_of_what_is_allowed(self):
        """Guards against callers who are refused although a retry was allowed."""
        traffic = play(steady, [N_DAEMONS])
        n_requests, n_retries = _sums(traffic.requests), _sums(traffic.retries)
        begin_ms = 20_000.0
        allowed = BOUNDS.retry_slack + BOUNDS.retry_ratio * n_requests(begin_ms)
        self.assertGreaterEqual(n_retries(begin_ms), 0.45 * allowed)

    def test_a_service_with_little_traffic_can_retry(self):
        """Guards against a lost server that each of its few callers notices."""
        rarely = lambda at_ms: 10.0 if at_ms % 5000 == 0 else 0.0
        traffic = play(rarely, [N_DAEMONS], fails_at=lambda at_ms: at_ms >= 0)
        self.assertGreaterEqual(sum(traffic.retries.values()), 9)

    def test_a_daemon_with_little_traffic_can_retry_more_than_once(self):
        """Guards against a second failure in ten seconds that a caller notices."""
        clock = ManualClock()
        router = make_router(clock, N_DAEMONS)
        clock.reading_ms = WINDOW_MS / 2
        budget = router._budget("parts")
        budget.earn()
        self.assertEqual([budget.spend() for _ in range(3)], [True, True, False])
        clock.reading_ms += WINDOW_MS
        self.assertFalse(budget.spend())
        clock.reading_ms += 0.3 * WINDOW_MS
        self.assertTrue(budget.spend())

    def test_a_lost_server_is_bridged_by_saved_credit(self):
        """Guards against refusals by a daemon whose traffic was served before."""
        traffic = play(steady, [N_DAEMONS], fails_at=lambda at_ms: at_ms == 20_000)
        self.assertGreaterEqual(traffic.retries[20_000], traffic.requests[20_000])
