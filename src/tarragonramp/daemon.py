"""tarragonrampd: the one daemon, with the roles entry, steward and planner."""

# gevent has to replace the blocking calls before anything else is imported.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import uuid  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
import grpc.experimental.gevent as grpc_gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from returns.pipeline import is_successful  # noqa: E402

from .adapters.backends import HttpBackends  # noqa: E402
from .adapters.http import HttpPools  # noqa: E402
from .adapters.logs import log_event, set_up_logs  # noqa: E402
from .adapters.metrics import Metrics  # noqa: E402
from .adapters.peers import (  # noqa: E402
    GrpcPeers,
    PeerServer,
    news_payload,
    news_question,
)
from .adapters.platform import HttpPlatform  # noqa: E402
from .adapters.process import CpuMeter  # noqa: E402
from .adapters.web import REASONS, WebServer, json_reply  # noqa: E402
from .clock import Clock  # noqa: E402
from .credentials import Secrets  # noqa: E402
from .meters import RequestMeter, TrafficMeter  # noqa: E402
from .model import Member  # noqa: E402
from .roles.audit import AuditTrail  # noqa: E402
from .roles.entry import Entry  # noqa: E402
from .roles.gatekeeper import Forwarder, GateKeeper  # noqa: E402
from .roles.membership import Membership  # noqa: E402
from .roles.news import News  # noqa: E402
from .roles.operators import Operators  # noqa: E402
from .roles.planner import Planners  # noqa: E402
from .roles.status import IN_FORCE_TARGET, StatusReporter  # noqa: E402
from .roles.steward import Stewards  # noqa: E402
from .roles.tasks import keep_running  # noqa: E402
from .roles.terms import TermKeeper  # noqa: E402
from .settings import load_settings  # noqa: E402
from .spreading import PLATFORM  # noqa: E402
from .view import View  # noqa: E402

__all__ = ["Daemon", "main"]

EXIT_SETTINGS = 2


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
    gatekeeper: object = None
    ready: bool = False
    stopped: Event = attrs.Factory(Event)

    @classmethod
    def from_config(cls, settings):
        """Join roles and adapters as the settings say."""
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
        pools = HttpPools(traffic=traffic)
        peers = GrpcPeers(pools, timing.control_timeout_ms, traffic, peer_secrets)
        membership = Membership(me, view, platform, peers, clock, timing)
        keeper = TermKeeper(view, platform, membership, clock, timing)
        membership.on_word = keeper.on_word
        membership.named = keeper.named
        news = News(me, view, platform, watcher, peers, clock, timing)
        membership.on_newest = news.heard
        backends = HttpBackends(HttpPools(traffic=traffic))
        daemon = cls(
            settings=settings,
            me=me,
            view=view,
            entry=Entry(
                view,
                HttpPools(settings.limits.answer_bytes),
                clock,
                timing,
                settings.limits,
                requests,
            ),
            membership=membership,
            news=news,
            keeper=keeper,
            stewards=Stewards(
                me, view, keeper, platform, backends, peers, clock, timing
            ),
            planners=Planners(view, keeper, platform, peers, timing),
            operators=Operators(
                me,
                view,
                platform,
                pools,
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
        )
        gate_pools = HttpPools(settings.limits.answer_bytes, unsent_ms=timing.right_ms)
        daemon.gatekeeper = GateKeeper(daemon.stewards, view, keeper, gate_pools, clock)
        forwarder = Forwarder(me, view, peers, daemon.gatekeeper)
        daemon.entry.forward = forwarder.send
        daemon._add_gauges()
        return daemon

    def run(self):
        """Serve until a signal says stop, then drain."""
        settings = self.settings
        peer_server = PeerServer(
            settings.peer_address,
            self.planners.take_report,
            self.stewards.prove_release,
            self.traffic,
            self.peer_secrets,
            self.gatekeeper.serve,
        )
        control = WebServer(
            settings.control_address, self._control, traffic=self.traffic
        )
        callers = WebServer(
            settings.caller_address,
            self.entry,
            reuse_port=True,
            limits=settings.limits,
        )
        self.cpu.start()
        peer_server.start()
        control.start()
        keep_running(self.news.run)
        keep_running(self.news.run_vm_list)
        self.news.wait_started()
        self.membership.register()
        for task in (
            self.membership.run_pings,
            self.keeper.run,
            self.stewards.run,
            self.planners.run,
            self.status.run,
        ):
            keep_running(task)
        callers.start()
        self.ready = True
        log_event("daemon-ready", name=self.me.identity)
        self.stopped.wait()
        self.ready = False
        log_event("daemon-draining", name=self.me.identity)
        callers.stop(timeout=settings.timing.drain_ms / 1000.0)
        if self.keeper.hand_over_all():
            self.membership.unregister()
        control.stop(timeout=1)
        peer_server.stop()
        log_event("daemon-stopped", name=self.me.identity)

    def _add_gauges(self):
        add = self.metrics.add_gauge
        add("ready", "1 if callers may be sent here.", lambda: int(self.ready))
        add("view.version", "Newest platform version.", lambda: self.view.version)
        add("news.watching", "1 if it watches the platform.", self._watching)
        add("terms.held", "Terms held here.", self._terms_held, "role")
        add(
            "servers",
            "Backend servers looked after here.",
            self.stewards.conditions,
            "condition",
        )

    def _watching(self):
        return int(self.news.source == PLATFORM)

    def _terms_held(self):
        kinds = collections.Counter(
            role.partition(".")[0] for role in self.keeper.holdings
        )
        return {kind: kinds[kind] for kind in ("planner", "steward")}

    def _control(self, environ, start_response):
        path = environ["PATH_INFO"]
        is_peer = self.peer_secrets.admits(environ.get("HTTP_AUTHORIZATION"))
        if path.startswith("/peer/") and not is_peer:
            return json_reply(start_response, 401, {"error": "peer secret is wrong"})
        if path == IN_FORCE_TARGET:
            told = json.loads(environ["wsgi.input"].read())
            self.status.take(told["identity"], told["version"])
            return json_reply(start_response, 200, {})
        if path == "/peer/ping":
            question = json.loads(environ["wsgi.input"].read())
            asked = question["identity"]
            self.membership.heard(asked)
            self.news.heard(asked.partition("#")[0], question.get("newest", 0))
            word = {
                "identity": self.me.identity,
                "taken": self.keeper.taken_from(asked),
                "newest": self.view.newest,
            }
            return json_reply(start_response, 200, word)
        if path == "/peer/news":
            question = news_question(environ["wsgi.input"].read())
            news = news_payload(self.news.answer(question))
            return json_reply(start_response, 200, news)
        if path == "/metrics":
            page, content_type = self.metrics.page()
            headers = [("Content-Type", content_type)]
            start_response(REASONS[200], headers)
            return [page]
        if path == "/healthy":
            return json_reply(start_response, 200, {"healthy": True})
        if path == "/ready":
            status = 200 if self.ready else 503
            return json_reply(start_response, status, {"ready": self.ready})
        if path.startswith("/operator/"):
            return self.operators(environ, start_response)
        return json_reply(start_response, 404, {"error": "no such path"})


def main(argv=None):
    """Run the daemon from the command line.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program's name.

    Returns
    -------
    exit_code : int
        0 after a graceful stop, 2 for settings that cannot be used.
    """
    parser = argparse.ArgumentParser("tarragonrampd", description=__doc__)
    parser.add_argument("--settings", required=True, help="YAML settings file")
    options = parser.parse_args(argv)
    loaded = load_settings(options.settings)
    if not is_successful(loaded):
        for fault in loaded.failure().faults:
            print(f"tarragonrampd: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    grpc_gevent.init_gevent()
    set_up_logs()
    daemon = Daemon.from_config(loaded.unwrap())
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, daemon.stopped.set)
    daemon.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
