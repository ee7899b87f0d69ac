"""tarragonrampd: the router daemon, with the roles entry, steward and planner."""

# gevent must patch the blocking calls before anything else is imported.
from gevent import monkey

monkey.patch_all()

import os  # noqa: E402

# gRPC's core would log to standard error in a format of its own.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

import argparse  # noqa: E402
import collections  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import uuid  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
import grpc.experimental.gevent as grpc_gevent  # noqa: E402
import logbook  # noqa: E402
from gevent.event import Event  # noqa: E402

from .adapters.backends import HttpBackends  # noqa: E402
from .adapters.http import HttpPools, check_bounded_sends  # noqa: E402
from .adapters.logs import (  # noqa: E402
    log_event,
    log_lines_suppressed,
    set_up_logs,
)  # noqa: E402
from .adapters.metrics import Metrics  # noqa: E402
from .adapters.optional import optional_step, optional_step_failures  # noqa: E402
from .adapters.peers import GrpcPeers, PeerServer  # noqa: E402
from .adapters.platform import HttpPlatform  # noqa: E402
from .adapters.serving import DaemonServer, log_requests_cut  # noqa: E402
from .adapters.usage import CpuMeter, LoopWatch, limit_kept_memory  # noqa: E402
from .clock import Clock  # noqa: E402
from .credentials import Secrets  # noqa: E402
from .errors import AddressError, KernelError  # noqa: E402
from .holdings import HoldingTable  # noqa: E402
from .meters import RequestMeter, TrafficMeter  # noqa: E402
from .model import Member  # noqa: E402
from .propagation import PLATFORM  # noqa: E402
from .results import is_successful  # noqa: E402
from .roles.audit import AuditTrail  # noqa: E402
from .roles.control import Control  # noqa: E402
from .roles.entry import Entry  # noqa: E402
from .roles.forwarding import Forwarder, ForwardHandler  # noqa: E402
from .roles.membership import Membership  # noqa: E402
from .roles.news import News  # noqa: E402
from .roles.operators import Operators  # noqa: E402
from .roles.overview import Overview  # noqa: E402
from .roles.planner import Planners  # noqa: E402
from .roles.status import StatusReporter  # noqa: E402
from .roles.steward import Stewards  # noqa: E402
from .roles.tasks import keep_running, run_until_drained, task_failures  # noqa: E402
from .roles.terms import TermKeeper  # noqa: E402
from .settings import load_settings  # noqa: E402
from .view import View  # noqa: E402

__all__ = ["Daemon", "main"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2

# Interval of the log line of a daemon that still waits for the platform.
WAITING_LOG_MS = 5000

CONTROL_DRAIN_IDLE_MS = 200


@attrs.define(eq=False, repr=False)
class Daemon:
    """One running daemon.

    Parameters
    ----------
    settings : DaemonSettings
    """

    settings: object
    me: object
    view: object
    entry: object
    membership: object
    news: object
    keeper: object
    stewards: object
    planners: object
    operators: object
    status: object
    peer_secrets: object
    traffic: object
    cpu: object
    metrics: object
    holdings: HoldingTable
    forward_handler: object = None
    peer_server: object = None
    control_server: object = None
    caller_server: object = None
    startup_tasks: list = attrs.Factory(list)
    ready: bool = False
    stopped: Event = attrs.Factory(Event)
    loop_watch: LoopWatch = attrs.Factory(lambda: LoopWatch(_log_blocked))

    @classmethod
    def from_config(cls, settings):
        """Create a daemon with its roles and adapters from the settings."""
        check_bounded_sends()
        clock, timing = Clock(), settings.timing
        me = Member(
            settings.name,
            uuid.uuid4().hex[:12],
            settings.failure_domain,
            settings.advertised_control_address or settings.control_address,
            settings.advertised_peer_address or settings.peer_address,
        )
        view = View()
        peer_secrets = Secrets.from_text(settings.security.peer_secret)
        operator_secrets = Secrets.from_text(settings.security.operator_secret)
        requests, traffic, cpu = RequestMeter(), TrafficMeter(), CpuMeter()
        platform = HttpPlatform.from_config(settings, traffic)
        watcher = HttpPlatform.from_config(settings, traffic)
        holdings = HoldingTable(settings.resources, clock)
        answers = {"holdings": holdings}
        pools = HttpPools(traffic=traffic)
        peers = GrpcPeers(pools, timing.control_timeout_ms, traffic, peer_secrets)
        membership = Membership(me, view, platform, peers, clock, timing)
        keeper = TermKeeper(view, platform, membership, clock, timing)
        membership.on_ping_answer = keeper.on_ping_answer
        membership.named_successors = keeper.named_successors
        news = News(me, view, platform, watcher, peers, clock, timing)
        membership.on_peer_version = news.on_peer_version
        backends = HttpBackends(HttpPools(traffic=traffic))
        stewards = Stewards(me, view, keeper, platform, backends, peers, clock, timing)
        planners = Planners(view, keeper, platform, peers, clock, timing)
        daemon = cls(
            settings=settings,
            me=me,
            view=view,
            entry=Entry(
                view,
                HttpPools(settings.limits.answer_bytes, options=answers),
                clock,
                timing,
                settings.limits,
                requests,
                backends,
            ),
            membership=membership,
            news=news,
            keeper=keeper,
            stewards=stewards,
            planners=planners,
            operators=Operators(
                me,
                view,
                platform,
                Overview(me, view, platform, pools),
                clock,
                AuditTrail(me, platform, clock, settings.audit.keep_entries),
                operator_secrets,
            ),
            status=StatusReporter(
                me, view, platform, pools, peer_secrets, clock, timing
            ),
            peer_secrets=peer_secrets,
            traffic=traffic,
            cpu=cpu,
            metrics=Metrics(me.name, requests, traffic, cpu),
            holdings=holdings,
        )
        daemon.entry.total_pause_ms = daemon.loop_watch.total_pause_ms
        gate_pools = HttpPools(
            settings.limits.answer_bytes,
            user_timeout_ms=timing.right_ms,
            options=answers,
        )
        daemon.forward_handler = ForwardHandler(
            daemon.stewards,
            view,
            keeper,
            gate_pools,
            daemon.stewards.backends.pools,
            clock,
        )
        stewards.is_known_warm = daemon.entry.is_known_warm
        forwarder = Forwarder(me, view, peers, daemon.forward_handler)
        daemon.entry.forward = forwarder.send
        daemon._add_servers()
        daemon._add_gauges()
        return daemon

    def _add_servers(self):
        settings, clock = self.settings, self.entry.clock
        self.peer_server = PeerServer(
            settings.peer_address,
            self.planners.handle_report,
            self.stewards.prove_release,
            self.traffic,
            self.peer_secrets,
            self.forward_handler.serve,
        )
        application = Control(
            self.me,
            self.view,
            self.membership,
            self.news,
            self.keeper,
            self.status,
            self.operators,
            self.metrics,
            self.peer_secrets,
            lambda: (self.ready, self._readiness()),
            self.stopped.is_set,
        )
        self.control_server = DaemonServer(
            settings.control_address,
            application,
            clock,
            self.traffic,
            holdings=self.holdings,
            max_connections=settings.resources.control_connections,
        )
        self.caller_server = DaemonServer(
            settings.caller_address,
            self.entry,
            clock,
            reuse_port=True,
            limits=settings.limits,
            holdings=self.holdings,
        )

    def run(self):
        """Serve until :meth:`stop` is called, then drain.

        If the platform is unavailable at the start, the daemon runs without a view,
        reports not ready, and keeps trying to read the platform.

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
        self.peer_server.start()
        self.control_server.start()
        keep_running(self.loop_watch.run)
        keep_running(self.news.run)
        keep_running(self.news.run_vm_list)
        self.startup_tasks = [keep_running(self._join_fleet), keep_running(self._open)]
        return run_until_drained(self.stopped, self._drain)

    def stop(self):
        """Start draining; further calls have no effect."""
        is_repeated = self.stopped.is_set()
        self.stopped.set()
        log_event("daemon-told-to-stop", again=is_repeated)

    def _join_fleet(self):
        """Register this daemon, then start the control roles."""
        self.news.wait_for_members()
        self.membership.register()
        for task in (
            self.membership.run_pings,
            self.keeper.run,
            self.stewards.run,
            self.planners.run,
            self.status.run,
        ):
            keep_running(task)

    def _open(self):
        """Start accepting callers once the view has been read from the platform."""
        while not self.news.synced.wait(WAITING_LOG_MS / 1000.0):
            log_event("daemon-waiting", reason="platform not read yet")
        self.caller_server.start()
        self.ready = True
        log_event("daemon-ready", identity=self.me.identity)

    def _drain(self):
        """Shut down in an order that fails no request and leaves no term unheld.

        The daemon first reports not ready while still serving, so that the load
        balancer sends new callers elsewhere; then it accepts no more connections and
        completes the requests in progress. Terms are handed over only after that, since
        these requests may need a steward of this daemon.
        """
        timing, began_ms = self.settings.timing, self.entry.clock.now_ms()
        gevent.killall(self.startup_tasks)
        was_ready, self.ready = self.ready, False
        log_event("daemon-draining", was_ready=was_ready)
        self.keeper.leave()
        unready_ms = timing.unready_ms if was_ready else 0.0
        self.entry.stop.ends_ms = began_ms + unready_ms + timing.drain_ms
        self.caller_server.begin_shutdown()
        gevent.sleep(unready_ms / 1000.0)
        drained = self.caller_server.drain(timing.drain_idle_ms, timing.drain_ms)
        log_requests_cut(drained.requests)
        all_handed = unregistered = False
        with optional_step("terms-hand-over"):
            all_handed = self.keeper.hand_over_all(timing.handover_ms)
            unregistered = all_handed and self.membership.unregister()
        with optional_step("control-close"):
            self.control_server.drain(
                CONTROL_DRAIN_IDLE_MS, timing.control_timeout_ms * 2
            )
        # gRPC calls may carry callers' requests forwarded by other daemons.
        self.peer_server.stop(timing.drain_ms)
        log_event(
            "daemon-stopped",
            requests_cut=drained.n_aborted,
            all_terms_handed_over=all_handed,
            unregistered=unregistered,
            after_ms=round(self.entry.clock.now_ms() - began_ms),
        )

    def _readiness(self):
        """Return the reason why this daemon is or is not ready.

        A daemon that loses the platform after its start stays ready and serves with the
        last known view. Otherwise an outage of the platform would make all daemons not
        ready, and the load balancer would take the whole site out of service.
        """
        if self.ready:
            return "serving"
        return "stopping" if self.stopped.is_set() else "no view of the platform yet"

    def _add_gauges(self):
        add = self.metrics.add_gauge
        add("ready", "1 if callers may be sent here.", lambda: int(self.ready))
        add("view.version", "Newest platform version.", lambda: self.view.version)
        add("news.watching", "1 if it watches the platform.", self._is_watching)
        add("terms.held", "Terms held here.", self._terms_held, "role")
        add(
            "servers",
            "Backend servers looked after here.",
            self.stewards.conditions,
            "condition",
        )

        add(
            "event_loop.blocked_longest",
            "Longest time the event loop stood still.",
            lambda: self.loop_watch.longest_ms,
            unit="ms",
        )
        count = self.metrics.add_counter
        count(
            "event_loop.blocked",
            "How often the event loop stood still.",
            lambda: self.loop_watch.count,
        )
        count("tasks.failures", "Failed rounds of a task.", task_failures, "task")
        count(
            "optional_steps.failures",
            "Failed steps that only help.",
            optional_step_failures,
            "step",
        )
        count(
            "log.lines_suppressed",
            "Log lines left out because there were too many.",
            log_lines_suppressed,
        )

    def _is_watching(self):
        return int(self.news.source == PLATFORM)

    def _terms_held(self):
        kinds = collections.Counter(
            role.partition(".")[0] for role in self.keeper.holdings
        )
        return {kind: kinds[kind] for kind in ("planner", "steward")}


def _log_blocked(blocked_ms, cpu_ms):
    log_event(
        "event-loop-blocked",
        level=logbook.WARNING,
        blocked_ms=round(blocked_ms),
        cpu_ms=round(cpu_ms),
    )


def main(argv=None):
    """Run the daemon from the command line.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program's name.

    Returns
    -------
    exit_code : int
        0 after a graceful stop; 1 if an address is in use, the kernel refuses what the
        daemon needs, or an error has ended the service; 2 for invalid settings.
    """
    parser = argparse.ArgumentParser("tarragonrampd", description=__doc__)
    parser.add_argument("--settings", required=True, help="YAML settings file")
    options = parser.parse_args(argv)
    loaded = load_settings(options.settings)
    if not is_successful(loaded):
        for fault in loaded.failure().faults:
            print(f"tarragonrampd: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    grpc_gevent.init_gevent()
    set_up_logs(settings.name, settings.log_level)
    limit_kept_memory()
    try:
        daemon = Daemon.from_config(settings)
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, daemon.stop)
        is_clean = daemon.run()
    except (AddressError, KernelError) as error:
        log_event("daemon-not-started", error=error)
        return EXIT_FAILED
    return 0 if is_clean else EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
