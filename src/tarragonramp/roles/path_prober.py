"""Checks whether this daemon reaches the backend servers, if its requests raise doubts.

Nothing is sent while servers answer.
"""

import random

import attrs
import gevent
from gevent.event import Event

from ..adapters.logs import log_event
from ..backoffs import ServerBackoffs
from ..errors import UnansweredError
from ..limits import ServerLimits
from ..results import is_successful
from ..server_paths import pick_probe_targets, reaches_servers

__all__ = ["PathProber"]

TICK_MS = 100.0
RECHECK_MS = 400.0
"""Interval of checks while the servers are not reached."""

HEALTH_TIMEOUT_MS = 300.0
"""How long a server may take to answer a health check over a new connection. One with a
free slot answers within milliseconds."""

N_FIRST_TARGETS, N_TARGETS, MIN_TARGETS = 2, 6, 2
"""Servers that are checked first, those that are checked if not all of these answer,
and those that must be known: with one, a lost path can't be told from a lost server."""

HEDGE_MS = 100.0
"""How long only the first servers are checked."""

MAX_CHECK_MS = HEDGE_MS + HEALTH_TIMEOUT_MS + 200.0
"""Longest time of a check whose failure counts. After a longer one this process has
stood still, and its timeouts say nothing about the servers."""


@attrs.define(eq=False, repr=False)
class PathProber:
    """Keeps a PathMonitor's verdict up to date.

    Parameters
    ----------
    monitor : PathMonitor
    view : FleetView
    pools : HttpPools
        Those of callers' requests: a connection that a check has opened is kept there.
    clock : Clock
    selector : ServerSelector
        Knows this daemon's failure domain, and what other daemons have in flight.
    limits : ServerLimits
        Servers with limits are not checked while there are enough others.
    backoffs : ServerBackoffs
        Servers that have asked this daemon to wait are not checked.
    on_answer : callable
        Called with a server and the Response to its health check.
    """

    monitor: object
    view: object
    pools: object
    clock: object
    selector: object
    limits: ServerLimits = attrs.Factory(ServerLimits)
    backoffs: ServerBackoffs = attrs.Factory(ServerBackoffs)
    on_answer: object = attrs.field(default=lambda server, response: None)
    _check_ended: object = None
    _suspicion: Event = attrs.Factory(Event)
    _rng: random.Random = attrs.Factory(random.Random)

    def run(self):
        """Check the paths when requests wait in vain, and until they are back."""
        while True:
            if self.monitor.is_cut_off:
                gevent.sleep(RECHECK_MS * (0.8 + 0.4 * self._rng.random()) / 1000.0)
                self._check()
                continue
            is_suspected = self._suspicion.wait(TICK_MS / 1000.0)
            self._suspicion.clear()
            if is_suspected:
                self.confirm_cut_off()
            elif self.monitor.is_silent(self.clock.now_ms()):
                self._check()

    def suspect(self):
        """Have the paths checked soon, after an exchange has failed."""
        self._suspicion.set()

    def confirm_cut_off(self):
        """Tell whether this daemon is cut off from the servers, after a failure.

        Returns
        -------
        is_cut_off : bool
            From a check that takes at most ``MAX_CHECK_MS``; none is made if a recent
            one has reached servers.
        """
        if self.monitor.is_cut_off:
            return True
        if self.monitor.has_valid_check(self.clock.now_ms()):
            return False
        self._check()
        return self.monitor.is_cut_off

    def _check(self):
        """Check the paths, or wait for the check that is running."""
        if self._check_ended is not None:
            self._check_ended.wait()
            return
        ended = self._check_ended = Event()
        try:
            self._check_once()
        finally:
            self._check_ended = None
            ended.set()

    def _check_once(self):
        was_cut_off, began_ms = self.monitor.is_cut_off, self.clock.now_ms()
        targets = self._pick_targets()
        if len(targets) < MIN_TARGETS:
            return
        answered = set()
        is_enough = lambda: reaches_servers(
            targets, answered, self.selector.failure_domain, was_cut_off
        )
        n_first = 0 if was_cut_off else N_FIRST_TARGETS
        probes = self._start_probes(targets[:n_first], answered)
        gevent.joinall(probes, timeout=HEDGE_MS / 1000.0)
        is_reached = 0 < n_first == len(answered)
        if not is_reached:
            probes += self._start_probes(targets[n_first:], answered)
            is_reached = any(is_enough() for _ in gevent.iwait(probes))
        now_ms = self.clock.now_ms()
        if is_reached or now_ms - began_ms <= MAX_CHECK_MS:
            self._record(is_reached, targets, answered)

    def _pick_targets(self):
        directory = self.view.directory
        usable = [s for s in directory.servers.values() if directory.may_serve(s)]
        usable = self.backoffs.without_paused(usable, self.clock.now_ms())
        servers = directory.warm(usable) or usable
        unlimited = [s for s in servers if self.limits.limit_of(s) is None]
        if len(unlimited) >= N_TARGETS:
            servers = unlimited
        return pick_probe_targets(
            servers, N_TARGETS, self.selector.failure_domain, self._rng
        )

    def _start_probes(self, servers, answered):
        return [gevent.spawn(self._probe, server, answered) for server in servers]

    def _probe(self, server, answered):
        """Send a health check; add the server to ``answered`` if it is reached."""
        path = self.view.service(server.service).health_path
        pool, began_ms = self.pools.at(server.address), self.clock.now_ms()
        result = pool.exchange(
            "GET", path, (), b"", HEALTH_TIMEOUT_MS, new_connection=True
        )
        is_reached = is_successful(result) or (
            isinstance(result.failure(), UnansweredError)
            and (self._is_full(server) or self._is_slow(began_ms))
        )
        if is_successful(result):
            self.on_answer(server, result.unwrap())
        if is_reached:
            answered.add(server.name)

    def _is_slow(self, began_ms):
        """Tell whether servers answered requests while a health check timed out.

        With little processor time, here or on the way, health checks are late.
        """
        now_ms = self.clock.now_ms()
        has_timed_out = now_ms - began_ms >= HEALTH_TIMEOUT_MS
        return has_timed_out and self.monitor.n_heard_since(began_ms) >= MIN_TARGETS

    def _is_full(self, server):
        """Tell whether other daemons keep a server busy, as far as this one knows.

        Full servers reset new connections or leave them waiting. This daemon's own
        requests do not count: they may be waiting in vain.
        """
        now_ms = self.clock.now_ms()
        in_flight = self.selector.peer_in_flight(server.name, now_ms)
        return in_flight is not None and in_flight >= server.slots

    def _record(self, is_reached, targets, answered):
        """Record the result of a check; log a change."""
        now_ms, since_ms = self.clock.now_ms(), self.monitor.cut_off_since_ms
        self.monitor.record_check(is_reached, now_ms)
        if (since_ms is not None) == self.monitor.is_cut_off:
            return
        lasted_ms = 0.0 if since_ms is None else now_ms - since_ms
        log_event(
            "servers-reached" if is_reached else "servers-not-reached",
            checked=",".join(server.name for server in targets),
            answered=",".join(sorted(answered)) or "none",
            servers_heard=self.monitor.n_heard(now_ms),
            lasted_ms=round(lasted_ms),
        )
        self.view.notify_waiters()
