"""The daemon of a fleet whose servers check fencing tokens and register themselves.

One daemon of the fleet is the leader, which grants ranges of keys to servers.
"""

import signal
import sys
import time
import uuid

import attrs
import gevent
import logbook
from gevent.event import Event

from .adapters.fleet_peers import DELEGATED_PREFIX, FleetPeers, PeerApplication
from .adapters.http import HttpPools, check_bounded_sends
from .adapters.logs import log_event, log_lines_suppressed, set_up_logs
from .adapters.optional import optional_step, optional_step_failures
from .adapters.pipelining import PipeliningServer
from .adapters.serving import DaemonServer, log_requests_cut
from .adapters.usage import CpuMeter, limit_kept_memory
from .adapters.web import json_reply
from .balancing import ServerSelector
from .clock import SuspendAwareClock
from .errors import AddressError, KernelError
from .fleet_view import FOLLOWED_KINDS, FleetView
from .holdings import HoldingTable
from .leadership import LeaseTiming
from .limits import CapBounds, ColdStartLimiter, ServerLimits
from .meters import RequestMeter, TrafficMeter
from .results import is_successful
from .roles.caps import CapKeeper
from .roles.delegate import DelegateApplication
from .roles.follower import Follower
from .roles.freshness import ManifestFreshness
from .roles.granter import Granter
from .roles.leadership import Leadership
from .roles.peer_delegator import PeerDelegator
from .roles.relay import Relay, RelayPool
from .roles.router import Router
from .roles.tasks import keep_running, run_until_drained, task_failures
from .sizes import Limits, Resources

__all__ = ["FleetBounds", "FleetDaemon", "FleetPorts", "FleetSettings", "run_daemon"]

EXIT_FAILED = 1

UNREADY_MS = 2600.0
"""How long a stopping daemon reports not ready and still accepts connections: the load
balancer sends callers here until two checks, a second apart, have failed."""

MIN_DRAIN_MS = 500.0
GRACE_MARGIN_MS = 400.0
"""Part of the grace period reserved for the exit of the process after the drain."""

DRAIN_IDLE_MS = 100.0
DRAIN_POLL_MS = 20.0
SERVER_MAX_IDLE_MS = 6000.0
"""Longest idle time after which a connection to a server is reused. Servers close idle
connections after about ten seconds, and a request sent at that moment is lost."""

SERVER_CONNECT_MS = 700.0
USER_TIMEOUT_MS = 1500.0
"""TCP_USER_TIMEOUT: how long the kernel retransmits data that a server does not
acknowledge."""

KEY_MOVE_SHARE = 0.75
"""Fraction of ``drain_ms`` in which an owner that leaves is still sent requests for its
keys. The rest allows for requests on their way."""

MAX_HEADER_LINES = 100
MAX_HEADER_BLOCK_BYTES = 1 << 20
MAX_ADDED_HEADERS, DELEGATION_BYTES = 4, 16_384
"""What a daemon adds at most to the headers of a request that it hands to another."""


@attrs.frozen
class FleetBounds:
    """Limits that the users of a fleet set for all daemons.

    Parameters
    ----------
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    drain_ms : float
        How long a server that says that it leaves still takes requests.
    longest_hold_ms : float
        Longest duration of a grant that a server accepts.
    retry_ratio, retry_slack, retry_window_ms : float
        Retries that all daemons together may send in ``retry_window_ms``:
        ``retry_ratio`` times the number of requests, plus ``retry_slack``.
    cold_burst_factor, cold_slack : float
        Requests that a server in a cold start accepts in a second:
        ``cold_burst_factor`` times its rate, plus ``cold_slack``.
    cap_window_ms, cap_over, cap_slack : float
        How far all daemons together may exceed a usage cap, see :class:`.CapBounds`.
    strict_revocation : bool
        Whether requests that need an API key are refused while this daemon does not
        know of the keys taken away since ``revocation_ms``.
    revocation_ms : float
    """

    grace_ms: float = 6000.0
    drain_ms: float = 2000.0
    longest_hold_ms: float = 10_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: float = 10_000.0
    cold_burst_factor: float = 1.5
    cold_slack: float = 5.0
    cap_window_ms: float = 5000.0
    cap_over: float = 0.1
    cap_slack: float = 20.0
    strict_revocation: bool = False
    revocation_ms: float = 5000.0

    @property
    def caps(self):
        """How far the sum over all daemons may exceed a usage cap."""
        return CapBounds(self.cap_window_ms, self.cap_over, self.cap_slack)


@attrs.frozen
class FleetSettings:
    """Settings of one daemon; addresses are ``ip:port``.

    Parameters
    ----------
    name, failure_domain : str
    caller_address, ready_address, peer_address : str
        Listen addresses for callers, for the load balancer's readiness check, and for
        other daemons.
    platform_address : str
    seeds : tuple of str
        Peer addresses of some daemons, which may no longer exist.
    bounds : FleetBounds
    metrics_address : str
        Separate listen address for metrics, which are always served at the peer address
        too; empty for none.
    capacity : float
        How much control work this VM can take: processor cores, or the part of a link
        that never limits it, whichever is less.
    resources : Resources
    """

    USUAL_CAPACITY = 1.0

    name: str
    failure_domain: str
    caller_address: str
    ready_address: str
    peer_address: str
    platform_address: str
    seeds: tuple[str, ...] = ()
    bounds: FleetBounds = FleetBounds()
    metrics_address: str = ""
    capacity: float = USUAL_CAPACITY
    resources: Resources = Resources()


@attrs.frozen
class FleetPorts:
    """Adapters of the platform that the daemon runs on.

    Parameters
    ----------
    store : object
        The object store, with the methods ``get``, ``snapshot``, ``put`` and ``watch``,
        and ``calls``: the number of calls by purpose.
    grants : object
        Sends grants to servers, with the methods ``grant``, ``release`` and
        ``has_closed_connection``, and the attribute ``on_leaving``: called with name
        and life of a server that says in an answer to a grant that it leaves.
    dialect : Dialect
    read_server, read_manifest : callable
        Parse objects that other programs have stored, which may be malformed, into a
        Result of BackendServer and of Manifest.
    read_settings : callable
        Reads the settings file again and returns a Result of FleetSettings.
    ready_path : str
        Path of the load balancer's readiness check.
    """

    store: object
    grants: object
    dialect: object
    read_server: object
    read_manifest: object
    read_settings: object
    ready_path: str


@attrs.define(eq=False, repr=False)
class FleetDaemon:
    """One running daemon of a fleet.

    Parameters
    ----------
    settings : FleetSettings
    ports : FleetPorts
    """

    settings: FleetSettings
    ports: FleetPorts
    view: FleetView
    follower: Follower
    leadership: Leadership
    granter: Granter
    router: Router
    requests: RequestMeter
    clock: object
    freshness: ManifestFreshness
    delegate: DelegateApplication
    holdings: HoldingTable
    traffic: TrafficMeter = attrs.Factory(TrafficMeter)
    cpu: CpuMeter = attrs.Factory(CpuMeter)
    caller_server: object = None
    readiness_server: object = None
    peer_server: object = None
    metrics_server: object = None
    metrics: object = None
    open_task: object = None
    started_ns: int = attrs.Factory(time.time_ns)
    is_ready: bool = False
    replaced_limits: tuple = ()
    stopped: Event = attrs.Factory(Event)

    @classmethod
    def from_config(cls, settings, ports):
        """Create a daemon with its roles and adapters from the settings."""
        check_bounded_sends()
        clock = SuspendAwareClock()
        view = FleetView(clock)
        holdings = HoldingTable(settings.resources, clock)
        peers = FleetPeers(view, settings.name, holdings)
        follower = Follower(view, ports.store, peers, ports, clock)
        selector = ServerSelector(settings.failure_domain)
        leadership = Leadership(
            settings.name,
            uuid.uuid4().hex[:12],
            settings.peer_address,
            view,
            ports.store,
            peers,
            follower,
            selector,
            clock,
            settings.seeds,
            LeaseTiming.from_bounds(settings.bounds),
            settings.capacity,
        )
        requests = RequestMeter()
        options = {
            "echoed_headers": ports.dialect.echoed_headers,
            "requires_echo": ports.dialect.requires_echo,
            "max_idle_ms": SERVER_MAX_IDLE_MS,
            "takes_unframed": True,
            "keepalive": True,
            "connect_ms": SERVER_CONNECT_MS,
            "holdings": holdings,
        }
        router = Router(
            view,
            selector,
            ColdStartLimiter(settings.name, clock.now_ms()),
            HttpPools(32 << 20, user_timeout_ms=USER_TIMEOUT_MS, options=options),
            ports.dialect,
            settings.bounds,
            requests,
            clock,
            PeerDelegator(settings.name, settings.failure_domain, view, peers, clock),
            limits=ServerLimits(settings.name),
        )
        leadership.monitor, leadership.limits = router.monitor, router.limits
        router.suspects.name, router.suspects.peers = settings.name, peers
        for part in (leadership, router.delegator):
            part.record_leaving = router.announcements.record_leaving
        ports.grants.on_leaving = router.announcements.record_leaving
        started_ms = time.time_ns() // 1_000_000
        caps = CapKeeper(
            settings.name, started_ms, view, peers, clock, settings.bounds.caps
        )
        caps.leadership, leadership.caps, router.caps = leadership, caps, caps
        router.delegator.secret_headers = ports.dialect.secret_headers
        freshness = ManifestFreshness(settings.name, view, follower, clock)
        router.confirm_manifest = freshness.confirm
        router.manifest_age_ms = freshness.age_ms
        granter = Granter(
            view,
            leadership,
            ports.store,
            ports.grants,
            clock,
            RelayPool(view, leadership, peers, clock),
            router.limits,
        )
        leadership.in_doubt_grants = granter.tracker.in_doubt_grants
        daemon = cls(
            settings=settings,
            ports=ports,
            view=view,
            follower=follower,
            leadership=leadership,
            granter=granter,
            router=router,
            requests=requests,
            clock=clock,
            freshness=freshness,
            delegate=DelegateApplication(router, view, clock, DELEGATED_PREFIX),
            holdings=holdings,
        )
        daemon._apply_bounds(settings.bounds)
        daemon._add_servers()
        return daemon

    def _add_servers(self):
        settings, clock = self.settings, self.clock
        id_header = self.ports.dialect.request_id_header
        self.caller_server = PipeliningServer(
            settings.caller_address,
            self.router,
            clock,
            id_header=id_header,
            holdings=self.holdings,
        )
        control = {
            "holdings": self.holdings,
            "max_connections": settings.resources.control_connections,
        }
        self.readiness_server = DaemonServer(
            settings.ready_address,
            self._serve_readiness,
            clock,
            self.traffic,
            **control,
        )
        application = PeerApplication(
            self.leadership,
            self.follower,
            Relay(self.ports.grants, clock, self.router.monitor),
            self._metrics_page,
            self.delegate,
            self.router.caps,
            self.router.suspects,
        )
        self.peer_server = DaemonServer(
            settings.peer_address,
            application,
            clock,
            self.traffic,
            id_header,
            **control,
        )
        if settings.metrics_address:
            self._add_metrics_server(settings.metrics_address, application, control)

    def _add_metrics_server(self, address, application, options):
        """Serve the metrics at a separate address.

        If the address is in use, the daemon runs without it: callers do not depend on
        metrics.
        """
        try:
            self.metrics_server = DaemonServer(
                address,
                application.metrics_only,
                self.clock,
                self.traffic,
                **options,
            )
        except AddressError as error:
            log_event("metrics-not-served", level=logbook.WARNING, reason=str(error))

    def run(self):
        """Serve until :meth:`stop` is called, then drain.

        Returns
        -------
        is_clean : bool
            Whether no error in the main greenlet has ended the service.

        Raises
        ------
        AddressError
            If it cannot listen on one of its addresses.
        """
        self.cpu.start()
        self.readiness_server.start()
        self.peer_server.start()
        if self.metrics_server is not None:
            with optional_step("metrics-listen"):
                self.metrics_server.start()
        for kind in FOLLOWED_KINDS:
            keep_running(lambda kind=kind: self.follower.run(kind))
        keep_running(self.follower.run_missing)
        keep_running(self.freshness.run)
        keep_running(self.leadership.run)
        keep_running(self.granter.run)
        keep_running(self.router.prober.run)
        keep_running(self.router.suspects.run)
        self.open_task = keep_running(self._open)
        keep_running(self._tidy)
        return run_until_drained(self.stopped, self._drain)

    def stop(self):
        """Start draining; further calls have no effect."""
        is_repeated = self.stopped.is_set()
        self.stopped.set()
        log_event("daemon-told-to-stop", again=is_repeated)

    def reload(self):
        """Read the settings file again and apply its bounds.

        An invalid file changes nothing. All other settings, and the lease timing that
        was derived from the bounds, stay as they were at the start.
        """
        loaded = self.ports.read_settings()
        if not is_successful(loaded):
            reason = "; ".join(map(str, loaded.failure().faults))
            log_event("settings-refused", level=logbook.WARNING, reason=reason)
            return
        bounds = loaded.unwrap().bounds
        self._apply_bounds(bounds)
        self.settings = attrs.evolve(self.settings, bounds=bounds)
        log_event("settings-reloaded")

    def _apply_bounds(self, bounds):
        self.router.bounds, self.router.caps.bounds = bounds, bounds.caps
        self.view.directory.key_move_ms = KEY_MOVE_SHARE * bounds.drain_ms

    def _open(self):
        """Start accepting callers once the routing state has been read.

        From then on, apply each change of the manifest's limits.
        """
        while not self._has_routing_state():
            self.view.wait(500.0)
        self._apply_limits()
        self.caller_server.start()
        self.is_ready = self.delegate.is_open = True
        log_event("daemon-ready", boot_id=self.leadership.boot_id)
        while True:
            self.view.wait(60_000.0)
            self._apply_limits()

    def _has_routing_state(self):
        manifest = self.view.manifest
        if manifest is None or not self.follower.is_synced:
            return False
        # A service without servers gets no table, and must not keep the others waiting.
        served = {server.service for server in self.view.directory.servers.values()}
        divided = [
            name
            for name, service in manifest.services.items()
            if service.divided and name in served
        ]
        return all(name in self.view.tables for name in divided)

    def _apply_limits(self):
        limits = self.view.manifest.limits
        self.caller_server.limits, replaced = Limits.from_config(
            header_line_bytes=min(limits.header_bytes, 65_536),
            header_block_bytes=limits.header_bytes,
            header_count=MAX_HEADER_LINES,
            idle_ms=limits.idle_timeout_ms,
            head_ms=limits.header_timeout_ms,
            body_bytes=limits.body_bytes,
        )
        if replaced and replaced != self.replaced_limits:
            names = ",".join(replaced)
            log_event("limits-out-of-range", level=logbook.WARNING, limits=names)
        self.replaced_limits = replaced
        # A request that another daemon hands over has more headers than the caller's.
        usual = Limits()
        self.peer_server.limits = attrs.evolve(
            usual,
            request_line_bytes=usual.request_line_bytes + len(DELEGATED_PREFIX),
            header_line_bytes=max(
                usual.header_line_bytes, self.caller_server.limits.header_line_bytes
            ),
            header_block_bytes=min(
                MAX_HEADER_BLOCK_BYTES,
                max(usual.header_block_bytes, limits.header_bytes + DELEGATION_BYTES),
            ),
            header_count=MAX_HEADER_LINES + MAX_ADDED_HEADERS,
        )

    def _tidy(self):
        """Periodically drop the state of removed servers and finished moves."""
        while True:
            gevent.sleep(10.0)
            self.router.forget_servers()
            self.router.owners.forget_delays()

    def _serve_readiness(self, environ, start_response):
        if environ["PATH_INFO"] != self.ports.ready_path:
            return json_reply(start_response, 404, {})
        return json_reply(start_response, 200 if self._takes_callers else 503, {})

    @property
    def _takes_callers(self):
        """Whether callers may be sent here: their requests can reach a server."""
        router = self.router
        is_stranded = router.monitor.is_cut_off and router.delegator.is_stranded
        return self.is_ready and not is_stranded

    def _drain(self):
        """Shut down in an order that fails no request.

        The daemon first reports not ready while still accepting connections, until the
        load balancer sends no new callers; meanwhile each response closes its
        connection. Then it accepts no more connections and completes the requests in
        progress.
        """
        began_ms = self.clock.now_ms()
        self.open_task.kill()
        was_ready, self.is_ready = self.is_ready, False
        log_event("daemon-draining", was_ready=was_ready)
        gevent.spawn(self.leadership.resign)
        self.delegate.is_open = False
        end_ms = began_ms + self.settings.bounds.grace_ms - GRACE_MARGIN_MS
        self.router.stop.ends_ms = end_ms
        self.caller_server.begin_shutdown()
        if was_ready:
            gevent.sleep(UNREADY_MS / 1000.0)
        left_ms = max(MIN_DRAIN_MS, end_ms - self.clock.now_ms())
        drained = self.caller_server.drain(DRAIN_IDLE_MS, left_ms)
        while self.delegate.in_progress and self.clock.now_ms() < end_ms:
            gevent.sleep(DRAIN_POLL_MS / 1000.0)
        # The last response is still being written.
        gevent.sleep(DRAIN_POLL_MS / 1000.0)
        log_requests_cut((*drained.requests, *self._delegated_requests()))
        log_event(
            "daemon-stopped",
            requests_cut=drained.n_aborted,
            after_ms=round(self.clock.now_ms() - began_ms),
        )

    def _delegated_requests(self):
        """Return the requests of other daemons' callers that are in progress here."""
        return [
            request
            for request in self.peer_server.requests_in_progress()
            if request.path.startswith(DELEGATED_PREFIX)
        ]

    def _metrics_page(self):
        """Return the metrics page, and its content type.

        The metrics library is loaded by the first call. Callers wait for the start of a
        daemon, and need no metrics.
        """
        if self.metrics is None:
            self.metrics = self._create_metrics()
        return self.metrics.page()

    def _create_metrics(self):
        from .adapters.metrics import Metrics

        metrics = Metrics(
            self.settings.name, self.requests, self.traffic, self.cpu, self.started_ns
        )
        count, gauge = metrics.add_counter, metrics.add_gauge
        gauge(
            "ready", "1 if callers may be sent here.", lambda: int(self._takes_callers)
        )
        gauge("leads", "1 if it gives out keys.", lambda: int(self.leadership.leads))
        gauge("daemons", "Daemons heard of.", lambda: len(self.view.daemons))
        gauge(
            "servers",
            "Backend servers known.",
            lambda: len(self.view.directory.servers),
        )
        gauge(
            "servers.heard",
            "Backend servers that have answered a request in the last 2 s.",
            lambda: self.router.monitor.n_heard(self.clock.now_ms()),
        )
        gauge(
            "servers.limited",
            "Backend servers that name a limit for their requests.",
            lambda: len(self.router.limits.limited()),
        )
        gauge(
            "servers.in_backoff",
            "Backend servers that have asked this daemon to send nothing for a time.",
            lambda: self.router.announcements.backoffs.n_active(self.clock.now_ms()),
        )
        gauge(
            "requests.held_back",
            "Contents of requests that are held back, as servers end under them.",
            lambda: self.router.suspects.quarantine.n_active(self.clock.now_ms()),
        )
        gauge(
            "cut_off",
            "1 if it reaches no backend server.",
            lambda: int(self.router.monitor.is_cut_off),
        )
        gauge(
            "manifest.limits_replaced",
            "Limits of the manifest in force that were out of range.",
            lambda: len(self.replaced_limits),
        )
        gauge("manifest.version", "Manifest in force.", self._manifest_version)
        gauge(
            "manifest.age_ms",
            "How long ago the manifest in force was known to be the newest.",
            self._manifest_age_ms,
        )
        gauge(
            "store.failing",
            "Kinds of objects that can't be followed.",
            lambda: len(self.follower.failing_since_ms),
        )
        count("grants", "Grants sent.", lambda: self.granter.tracker.n_grants)
        count("moves", "Ranges moved.", lambda: self.granter.n_moves)
        count(
            "handovers", "Moves with handover.", lambda: self.granter.mover.n_handovers
        )
        count(
            "store.calls",
            "Calls to the store.",
            lambda: self.ports.store.calls,
            "purpose",
        )
        count("refusals", "Failed tries and refusals.", self._refusal_counts, "reason")
        count(
            "exchanges.failed",
            "Failed exchanges with backend servers.",
            lambda: dict(self.router.monitor.failures),
            "cause",
        )
        count(
            "backoffs",
            "Pauses that backend servers have asked for.",
            lambda: self.router.announcements.backoffs.n_begun,
        )
        count(
            "backoffs.requests_sent",
            "Requests sent to backend servers in their pauses.",
            lambda: self.router.announcements.n_sent_in_backoff,
        )
        count(
            "servers.ended",
            "Backend servers that ended while they had requests of this daemon.",
            lambda: self.router.suspects.n_ended,
        )
        count(
            "requests.hold_backs",
            "Contents of requests that were held back.",
            lambda: self.router.suspects.quarantine.n_held,
        )
        count(
            "requests.releases",
            "Contents that are held back no longer, as a server answered them.",
            lambda: self.router.suspects.quarantine.n_released,
        )
        count(
            "delegations",
            "Requests handed to other daemons.",
            lambda: dict(self.router.delegator.counts),
            "result",
        )
        count(
            "delegated.requests",
            "Requests taken from other daemons.",
            lambda: dict(self.delegate.counts),
            "result",
        )
        count(
            "teams.requests",
            "Requests of teams with usage caps; the largest teams, and the others.",
            self.router.caps.request_counts,
            "team",
        )
        gauge(
            "connections.held_bytes",
            "What connections of clients, and answers, hold of the memory, about.",
            lambda: self.holdings.n_bytes,
        )
        gauge(
            "connections.open",
            "Connections of clients by what they wait for; answers being read.",
            self.holdings.counts,
            "phase",
        )
        count(
            "connections.revoked",
            "Connections that were closed to make room, by what they waited for.",
            lambda: dict(self.holdings.n_revoked),
            "phase",
        )
        count("tasks.failures", "Failed rounds of a task.", task_failures, "task")
        count(
            "optional_steps.failures",
            "Failed steps that only help.",
            optional_step_failures,
            "step",
        )
        count("log.lines_suppressed", "Log lines left out.", log_lines_suppressed)
        return metrics

    def _manifest_version(self):
        return self.view.manifest.version if self.view.manifest else 0

    def _manifest_age_ms(self):
        return 0 if self.view.manifest is None else self.freshness.age_ms()

    def _refusal_counts(self):
        counts = list(self.router.counts.items())
        return {f"{service}: {why}": n for (service, why), n in counts}


def run_daemon(settings, ports):
    """Run a daemon until it is stopped by a signal; return the exit code.

    Parameters
    ----------
    settings : FleetSettings
    ports : FleetPorts
    """
    set_up_logs(settings.name, "info", sys.stdout)
    log_event("daemon-starting", domain=settings.failure_domain)
    limit_kept_memory()
    try:
        daemon = FleetDaemon.from_config(settings, ports)
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, daemon.stop)
        gevent.signal_handler(signal.SIGHUP, daemon.reload)
        is_clean = daemon.run()
    except (AddressError, KernelError) as error:
        log_event("daemon-not-started", error=error)
        return EXIT_FAILED
    return 0 if is_clean else EXIT_FAILED
