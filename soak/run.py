"""Runs the soak test: ``python -m soak.run --seeds 1 2 3`` or ``--fresh 4``.

Only processes that it has started itself are killed.
"""

from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import collections  # noqa: E402
import itertools  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import secrets  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import traceback  # noqa: E402

import attrs  # noqa: E402
import defopt  # noqa: E402
import gevent  # noqa: E402
from gevent.lock import BoundedSemaphore  # noqa: E402

from standins.fleet_site import HOST, FleetSite, manifest  # noqa: E402
from standins.proxy import Fault  # noqa: E402
from standins.site import free_address  # noqa: E402
from standins.stop_load import StopLoad  # noqa: E402
from tarragonramp.adapters.http import HttpPool  # noqa: E402
from tarragonramp.limits import UsageCap  # noqa: E402
from tarragonramp.manifest import N_KEYS  # noqa: E402
from tarragonramp.timelines import parse_line  # noqa: E402

from .announcements import delegating_spans  # noqa: E402
from .checks import Outcome, Probe, RunRecord, find_violations  # noqa: E402
from .plan import (  # noqa: E402
    DAEMONS,
    FIRST_ANNOUNCEMENT_SEED,
    FIRST_COPY_SEED,
    FIRST_DEADLY_SEED,
    FIRST_OUTAGE_SEED,
    FIRST_STOP_SEED,
    FIRST_TEAM_SEED,
    REFUSALS,
    SERVERS,
    generate_plan,
)

__all__ = ["Soak", "main"]

RECOVERY_TIMEOUT_S = 25.0
"""Time limit for serving every key again after the last fault. It covers a hold, the
time in which unanswered grants may still be applied, and a change of leader."""

N_CALLERS, N_CALLERS_OF_ANNOUNCERS = 8, 24
"""Number of callers, and of those in runs whose servers ask for pauses: with fewer, a
daemon that sends on in a pause would send hardly more requests than it may."""

PAUSE_MS = 40.0
PIPELINED_GAP_S = 0.15
UNLIMITED = 10_000
FAULTY_SHARE = 0.3
"""Share of a server's responses with a fault, so that copies meet requests that run."""
ROUTE_PROPAGATION_S = 2.0
SEEDS_FILE = "soak/seeds.txt"
LOG_FOLDER = "out/soak"

TEAM_SHARES = {"common": 0.55, "capped": 0.3, "rotating": 0.1, "unknown": 0.05}
"""Teams of the callers. One has a usage cap, one a key that comes and goes, and one is
in no manifest."""

HIGH_CAP, LOW_CAP = UsageCap(20.0, 10.0), UsageCap(5.0, 5.0)
API_KEY = "key-of-{}"

ENTRY_INTERVAL_S = 0.1
"""Interval at which another program writes an entry: shorter than that of servers."""

RESTART_S, CHECK_S = 0.8, 0.1
"""After what time a server that ended under a request is started again, and how often
that is looked at."""

DEADLY_INTERVAL_S, DEADLY_KEY = 0.5, 4711
ODD_PLACE = "put raw text here"

READY_LINE = "event=daemon-ready"
"""Logged by a daemon once it is ready. Before that it serves no callers, and it may not
have installed its signal handlers yet, so that SIGTERM ends it at once."""


@attrs.define(eq=False)
class Soak:
    """One run of the soak test with one seed.

    Parameters
    ----------
    seed : int
    length_s : float
        Duration of the faults, after which the fleet has to recover.
    site : FleetSite
    record : RunRecord
    version : int
        Of the latest manifest.
    active_link_faults : list of Fault
    n_active : Counter
        Events that have begun and not ended, by the fault that they cause.
    stopping : bool
        Ends the callers.
    n_calls : int
    anomalies : list of str
        Unexpected errors of processes.
    log_offsets : dict of str to int
        Length of a daemon's log when it was last started, by name.
    starting : set of str
        Servers that are being started.
    restarting : set of str
        Servers that have ended under a request and are not started again yet.
    start_locks : dict of str to BoundedSemaphore
        Held while a process is checked and started, by name.
    n_starts : Counter
        How often each daemon was started.
    cap : UsageCap
        Of the team that has one.
    has_rotating_key : bool
        Whether the manifest has the key that comes and goes.
    """

    seed: int
    length_s: float
    site: FleetSite = attrs.Factory(lambda: FleetSite(proxy=free_address()))
    record: RunRecord = attrs.Factory(RunRecord)
    version: int = 1
    active_link_faults: list = attrs.Factory(list)
    n_active: collections.Counter = attrs.Factory(collections.Counter)
    stopping: bool = False
    n_calls: int = 0
    anomalies: list = attrs.Factory(list)
    log_offsets: dict = attrs.Factory(dict)
    starting: set = attrs.Factory(set)
    restarting: set = attrs.Factory(set)
    n_starts: collections.Counter = attrs.Factory(collections.Counter)
    start_locks: dict = attrs.Factory(lambda: collections.defaultdict(BoundedSemaphore))
    cap: UsageCap = HIGH_CAP
    has_rotating_key: bool = True

    def execute(self):
        """Execute the plan; return violations by name of the check.

        The logs of all processes are saved unless the run succeeds.
        """
        succeeded = False
        try:
            self._start()
            is_announced = self.seed >= FIRST_ANNOUNCEMENT_SEED
            n_callers = N_CALLERS_OF_ANNOUNCERS if is_announced else N_CALLERS
            callers = [gevent.spawn(self._call, i) for i in range(n_callers)]
            if self.seed >= FIRST_STOP_SEED:
                callers.append(gevent.spawn(self._call_pipelined))
            if self.seed >= FIRST_DEADLY_SEED:
                callers.append(gevent.spawn(self._restart_ended))
            self._run_plan()
            recovered = self._recovers()
            self.stopping = True
            gevent.joinall(callers, timeout=10.0)
            self._read_logs()
            violations = find_violations(self.record)
            violations["all keys served again"] = [] if recovered else ["not in time"]
            violations["no unexpected errors"] = self.anomalies
            succeeded = not any(violations.values())
            return violations
        finally:
            if not succeeded:
                self._save_logs()
            self.site.close()

    def _start(self):
        self.site.start_store()
        self._write_manifest()
        for name, (service, domain) in SERVERS.items():
            self.site.start_server(name, service, domain, *self._server_options())
        for name in DAEMONS:
            self._start_daemon(name)
        self.site.wait_ready(*DAEMONS)

    def _server_options(self):
        deadly = ("--deadly-path", "deadly")
        return deadly if self.seed >= FIRST_DEADLY_SEED else ()

    def _restart_ended(self):
        """Start the servers again that have ended under a request."""
        while not self.stopping:
            gevent.sleep(CHECK_S)
            for name in SERVERS:
                process = self.site.processes[name]
                if process.poll() == 1 and name not in self.restarting:
                    self.restarting.add(name)
                    gevent.spawn(self._restart_later, name)

    def _restart_later(self, name):
        ended_ms = time.time() * 1000.0
        self.record.kills.append((name, ended_ms))
        self.record.unplanned.append((name, ended_ms - CHECK_S * 1000.0, ended_ms))
        gevent.sleep(RESTART_S)
        self._restart(name)
        self.restarting.discard(name)
        self._record_outage(name, ended_ms - CHECK_S * 1000.0)

    def _send_deadly(self, event, duration_s):
        """Repeat one request under new ids, at one daemon after the other."""
        until_s = time.monotonic() + duration_s
        path, key = event.name, DEADLY_KEY if "parts" in event.name else None
        method = "POST" if "book" in path else "GET"
        for daemon in itertools.cycle(DAEMONS):
            if time.monotonic() >= until_s:
                return
            self.n_calls += 1
            request_id, sent_ms = f"deadly-{self.n_calls}", time.time() * 1000.0
            self.record.teams[request_id] = "common"
            answer = self.site.call(
                daemon,
                path,
                request_id,
                key,
                method,
                extra_headers=self._secret("common"),
            )
            times_ms = sent_ms, time.time() * 1000.0
            status, body = (answer.status, answer.body) if answer else (0, b"")
            outcome = Outcome(request_id, method, path, *times_ms, status, body, daemon)
            self.record.outcomes.append(outcome)
            gevent.sleep(DEADLY_INTERVAL_S)

    def _odd_entry(self, event, duration_s):
        """Have another program write an entry that may make others unreadable."""
        entry = {
            "addr": {"no address": "a" * 300 + ":80", "no port": "127.0.0.1:x"}.get(
                event.detail, "127.0.0.1:9"
            ),
            "born": int(time.time() * 1000),
            "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
            "extra": f"{ODD_PLACE} {event.detail}",
        }
        raw = {
            "nested": b"[" * 100_000 + b"]" * 100_000,
            "long number": b"9" * 6000,
            "no text": b'"\xff"',
        }.get(event.detail, b"0")
        self.site.control_store(
            raw_parts={entry["extra"]: base64.b64encode(raw).decode()},
            write=["servers", f"odd-{event.detail}", entry, None],
        )

    def _start_daemon(self, name):
        was_started = name in self.site.processes
        self.log_offsets[name] = len(self.site.log_text(name)) if was_started else 0
        if self.seed < FIRST_STOP_SEED:
            self.site.start_daemon(name, DAEMONS[name])
            return
        n_start = self.n_starts[name] = self.n_starts[name] + 1
        rng = random.Random(f"{self.seed} {name} {n_start}")
        self.site.start_daemon(name, DAEMONS[name], "", rng.choice(REFUSALS))
        self.record.n_daemon_lives += 1

    def _is_starting(self, name):
        """Tell whether a daemon's process has not yet reported that it is ready."""
        return READY_LINE not in self.site.log_text(name)[self.log_offsets[name] :]

    def _run_plan(self):
        began_s, tasks = time.monotonic(), []
        for event in generate_plan(self.seed, self.length_s * 1000.0):
            gevent.sleep(max(0.0, began_s + event.at_ms / 1000.0 - time.monotonic()))
            tasks.append(gevent.spawn(self._apply, event))
        gevent.joinall(tasks, raise_error=True)

    def _apply(self, event):
        kind = event.kind.replace("-", "_")
        duration_s = event.duration_ms / 1000.0
        if event.name == "leader":
            event = attrs.evolve(event, name=self._leader())
        getattr(self, f"_{kind}")(event, duration_s)

    def _leader(self):
        objects = self.site.control_store()["objects"].get("ramp-leader", {})
        name = objects.get("leader", {}).get("spec", {}).get("name")
        return name if name in DAEMONS else "d1"

    def _kill(self, event, duration_s):
        if not self._is_up(event.name):
            return
        began_ms = time.time() * 1000.0
        self.site.kill(event.name)
        self.record.kills.append((event.name, time.time() * 1000.0))
        self.record.unplanned.append((event.name, began_ms, time.time() * 1000.0))
        gevent.sleep(duration_s)
        self._restart(event.name)
        self._record_outage(event.name, began_ms)

    def _record_outage(self, name, began_ms):
        """Record that a process was not ready or frozen since a time, until now."""
        if name in DAEMONS:
            with gevent.Timeout(RECOVERY_TIMEOUT_S, False):
                while self._is_up(name) and self._is_starting(name):
                    gevent.sleep(0.05)
        self.record.outages.append((name, began_ms, time.time() * 1000.0))

    def _kill_all(self, event, duration_s):
        tasks = [
            gevent.spawn(self._kill, attrs.evolve(event, name=name), duration_s)
            for name in DAEMONS
        ]
        gevent.joinall(tasks)

    def _freeze(self, event, duration_s):
        if not self._is_up(event.name):
            return
        process = self.site.processes[event.name]
        began_ms = time.time() * 1000.0
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(duration_s)
        process.send_signal(signal.SIGCONT)
        self.record.unplanned.append((event.name, began_ms, time.time() * 1000.0))
        self._record_outage(event.name, began_ms)
        if event.name in DAEMONS:
            fault_span = event.name, began_ms, time.time() * 1000.0
            self.record.daemon_faults.append(fault_span)

    def _stop(self, event, duration_s):
        if not self._is_up(event.name):
            return
        process, began_ms = self.site.processes[event.name], time.time() * 1000.0
        is_starting = self._is_starting(event.name)
        process.terminate()
        with gevent.Timeout(12.0, False):
            while process.poll() is None:
                gevent.sleep(0.05)
        self.record.stops.append((event.name, began_ms, time.time() * 1000.0))
        expected = {0, -signal.SIGKILL} | ({-signal.SIGTERM} if is_starting else set())
        if process.poll() not in expected:
            self.anomalies.append(f"{event.name}: exit code {process.poll()}")
        gevent.sleep(duration_s)
        self._restart(event.name)
        self._record_outage(event.name, began_ms)

    def _leave(self, event, duration_s):
        if not self._is_up(event.name) or event.name in self.starting:
            # A starting server has not installed its signal handlers: the signal would
            # end the process instead.
            return
        process = self.site.processes[event.name]
        deregisters = event.detail == "unsaid"
        process.send_signal(signal.SIGUSR2 if deregisters else signal.SIGUSR1)
        gevent.sleep(3.0 + duration_s)
        if self.site.processes[event.name] is process:
            self._kill(event, 0.5)
            self._restart(event.name)

    def _announce_leaving(self, event, duration_s):
        """Have a server say in all answers that it leaves, then restart it."""
        if not self._is_up(event.name):
            return
        process = self.site.processes[event.name]
        said = attrs.evolve(event, detail="leaving")
        self._set_server_fault(process, said, "1")
        gevent.sleep(duration_s)
        if self.site.processes[event.name] is process:
            self._kill(event, 0.5)
            self._restart(event.name)

    def _restart(self, name):
        # Starting a process lets other greenlets run before it is registered.
        with self.start_locks[name]:
            if self._is_up(name):
                return
            if name in DAEMONS:
                self._start_daemon(name)
            else:
                self._start_server(name)

    def _start_server(self, name):
        self.starting.add(name)
        try:
            options = self._server_options()
            self.site.start_server(name, *SERVERS[name], *options)
        except ChildProcessError as error:
            # If another event killed it while it started, that event restarts it.
            ended = {-signal.SIGKILL} | ({1} if options else set())
            if self.site.processes[name].poll() not in ended:
                self.anomalies.append(f"{name}: {error}")
        finally:
            self.starting.discard(name)

    def _wait_for_end(self, event, duration_s):
        """Wait until an event ends; return whether the fault that it causes ends, too.

        It does not while another event causes it. With seeds below
        ``FIRST_OUTAGE_SEED`` the first event to end also ends the fault.
        """
        fault = event.kind, event.name, event.detail
        self.n_active[fault] += 1
        gevent.sleep(duration_s)
        self.n_active[fault] -= 1
        return not self.n_active[fault] or self.seed < FIRST_OUTAGE_SEED

    def _misbehave(self, event, duration_s):
        if not self._is_up(event.name):
            return
        process = self.site.processes[event.name]
        self._set_server_fault(process, event, UNLIMITED)
        if self._wait_for_end(event, duration_s):
            self._set_server_fault(process, event, 0)

    def _set_server_fault(self, process, event, count):
        if process.poll() is not None:
            return
        faults = {event.detail: count}
        if event.detail in ("limit", "retry_after"):
            faults = {event.detail: event.target if count else ""}
        elif self.seed >= FIRST_COPY_SEED:
            faults["share"] = FAULTY_SHARE
        body = json.dumps(faults).encode()
        pool = HttpPool(self.site.servers[event.name])
        pool.exchange("POST", "/stand-in/faults", (), body, 2000)

    def _link(self, event, duration_s):
        sources = list(DAEMONS) if event.name == "*" else [event.name]
        fault = Fault(sources, [event.target], event.detail, 300.0)
        span_ms = self._inject_link_fault(fault, duration_s)
        if event.target == "store" and len(sources) > 1:
            self.record.store_faults.append(span_ms)
        elif event.target == "store":
            self.record.daemon_faults.append((event.name, *span_ms))
        else:
            self.record.link_faults.append((event.target, *span_ms))

    def _cut_servers(self, event, duration_s):
        fault = Fault([event.name], list(SERVERS), event.detail)
        span_ms = self._inject_link_fault(fault, duration_s)
        self.record.server_cuts.append((event.name, *span_ms))
        self.record.link_faults += [(name, *span_ms) for name in SERVERS]

    def _inject_link_fault(self, fault, duration_s):
        """Inject a fault for some time; return its start and end in Unix ms."""
        began_ms = time.time() * 1000.0
        self.active_link_faults.append(fault)
        self.site.set_faults(*self.active_link_faults)
        gevent.sleep(duration_s)
        self.active_link_faults.remove(fault)
        self.site.set_faults(*self.active_link_faults)
        return began_ms, time.time() * 1000.0

    def _store(self, event, duration_s):
        if event.detail == "forget":
            self.site.control_store(forget_history=True)
            return
        value = {"down": True, "delay_ms": 400.0}.get(event.detail, 3)
        began_ms = time.time() * 1000.0
        self.site.control_store(faults={event.detail: value})
        if self._wait_for_end(event, duration_s):
            self.site.control_store(faults={event.detail: type(value)()})
        self.record.store_faults.append((began_ms, time.time() * 1000.0))

    def _entry(self, event, duration_s):
        """Have another program write or delete a server's entry, once or repeatedly."""
        until_s = time.monotonic() + duration_s
        while True:
            self._write_entry(event)
            if time.monotonic() >= until_s:
                break
            gevent.sleep(ENTRY_INTERVAL_S)
        if event.detail == "beside":
            self.site.control_store(delete=["servers", f"beside-{event.name}"])

    def _write_entry(self, event):
        """Write the entry of an event, based on what the server itself has written."""
        name, kind = event.name, event.detail
        if kind == "deleted":
            self.site.control_store(delete=["servers", name])
            return
        if kind == "unreadable":
            self.site.control_store(write=["servers", name, {"addr": 7}, None])
            return
        servers = self.site.control_store()["objects"].get("servers", {})
        entry = servers.get(name, {}).get("spec", {})
        if "info" not in entry:
            return
        if kind in ("beside", "unused service"):
            entry["info"]["service"] = "inventory"
        if kind == "beside":
            name = f"beside-{name}"
        else:
            entry["addr"] = self.site.server_addresses[event.target]
        entry["born"] = int(time.time() * 1000)
        self.site.control_store(write=["servers", name, entry, None])

    def _take_out(self, event, duration_s):
        self.site.control_store(write=["evacuations", event.name, {}, None])
        if self._wait_for_end(event, duration_s):
            self.site.control_store(delete=["evacuations", event.name])

    def _manifest(self, event, duration_s):
        version = self._write_manifest()
        added_ms = time.time() * 1000.0
        gevent.sleep(ROUTE_PROPAGATION_S)
        if version != self.version:
            # A later manifest has removed the route.
            return
        for daemon in DAEMONS:
            self._probe(daemon, f"/v{version}/", added_ms)

    def _probe(self, daemon, route, added_ms):
        sent_ms = time.time() * 1000.0
        request_id = f"probe-{daemon}-{route.strip('/')}"
        secret = self._secret("common")
        response = self.site.call(daemon, route, request_id, extra_headers=secret)
        status = response.status if response else 0
        self.record.probes.append(Probe(daemon, route, added_ms, sent_ms, status))

    def _write_manifest(self):
        self.version += 1
        orders = "parts" if self.seed >= FIRST_COPY_SEED else ""
        spec = manifest(self.version, orders, **{f"v{self.version}": "desk"})
        if self.seed >= FIRST_TEAM_SEED:
            spec["tenants"] = self._teams()
            self.record.caps.append((time.time() * 1000.0, self.cap))
        self.site.control_store(write=["config", "main", spec, None])
        return self.version

    def _teams(self):
        """Return the teams of the manifest."""
        names = ("common", "capped", *(("rotating",) if self.has_rotating_key else ()))
        teams = [{"name": n, "apiKeys": [API_KEY.format(n)]} for n in names]
        teams[1] |= {"ratePerS": self.cap.rate_per_s, "burst": self.cap.burst}
        return teams

    def _secret(self, team):
        """Return the header that presents a team's key; none in runs without teams."""
        if self.seed < FIRST_TEAM_SEED:
            return []
        return [("Authorization", f"Token {API_KEY.format(team)}")]

    def _change_teams(self, event, duration_s):
        if event.detail.endswith("cap"):
            self.cap = LOW_CAP if event.detail == "low cap" else HIGH_CAP
        else:
            self.has_rotating_key = event.detail == "key added"
        self._write_manifest()

    def _save_logs(self):
        """Save the logs of all processes, as a failure may not recur with the seed."""
        folder = os.path.join(LOG_FOLDER, f"seed-{self.seed}")
        os.makedirs(folder, exist_ok=True)
        started = (n for n in ("store", *DAEMONS, *SERVERS) if n in self.site.processes)
        for name in started:
            with open(os.path.join(folder, f"{name}.log"), "w") as stream:
                stream.write(self.site.log_text(name))

    def _is_up(self, name):
        return self.site.processes[name].poll() is None

    def _call(self, number):
        """Send requests to randomly chosen daemons, over persistent connections."""
        rng, pools = random.Random(self.seed * 100 + number), {}
        while not self.stopping:
            daemon = rng.choice(list(DAEMONS))
            pool = pools.setdefault(
                daemon, HttpPool(self.site.daemons[daemon]["front"])
            )
            self._call_once(rng, daemon, pool, number)
            gevent.sleep(PAUSE_MS * rng.uniform(0.5, 1.5) / 1000.0)

    def _call_once(self, rng, daemon, pool, number):
        self.n_calls += 1
        request_id = f"s{number}-{self.n_calls}"
        team = ""
        if self.seed >= FIRST_TEAM_SEED:
            names, shares = zip(*TEAM_SHARES.items(), strict=True)
            team = rng.choices(names, shares)[0]
            self.record.teams[request_id] = team
        key = rng.randrange(N_KEYS)
        kinds = [("GET", "/view/"), ("POST", "/book/"), ("GET", "/parts/")]
        if self.seed >= FIRST_COPY_SEED:
            kinds.append(("POST", "/order/"))
        method, path = rng.choice(kinds)
        headers = [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", "1500")]
        headers += self._secret(team)
        if path in ("/parts/", "/order/"):
            headers.append(("Shard-Key", str(key)))
        body = b"claim" if method == "POST" else b""
        sent_ms = time.time() * 1000.0
        result = pool.exchange(method, path, headers, body, 2500)
        response = result.value_or(None)
        status, text = (response.status, response.body) if response else (0, b"")
        answered_ms = time.time() * 1000.0
        times_ms = sent_ms, answered_ms
        failure = "" if response else str(result.failure())
        outcome = Outcome(
            request_id, method, path, *times_ms, status, text, daemon, failure
        )
        self.record.outcomes.append(outcome)

    def _call_pipelined(self):
        """Send a look-up and a request with a body behind it to random daemons."""
        rng = random.Random(self.seed)
        loads = {
            name: StopLoad(addresses["front"], headers=self._secret("common"))
            for name, addresses in self.site.daemons.items()
        }
        while not self.stopping:
            loads[rng.choice(list(DAEMONS))].start_pipelined(1, "/book/")
            gevent.sleep(PIPELINED_GAP_S)
        for name, load in loads.items():
            load.wait()
            for a in load.attempts:
                times_ms = a.sent_ms, a.answered_ms
                outcome = Outcome(
                    a.request_id, a.method, a.path, *times_ms, a.status, a.body, name
                )
                self.record.outcomes.append(attrs.evolve(outcome, failure=a.failure))

    def _recovers(self):
        """Wait until every daemon serves keys of the whole key space.

        Returns
        -------
        recovered : bool
            False if they do not within ``RECOVERY_TIMEOUT_S``.
        """
        until_s = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < until_s:
            if all(self._serves_all_ranges(daemon) for daemon in DAEMONS):
                return True
            gevent.sleep(0.5)
        return False

    def _serves_all_ranges(self, daemon):
        for key in range(0, N_KEYS, N_KEYS // 16):
            request_id, secret = f"end-{daemon}-{key}", self._secret("common")
            response = self.site.call(
                daemon, "/parts/", request_id, key, extra_headers=secret
            )
            if response is None or response.status != 200:
                return False
        return True

    def _read_logs(self):
        for name in SERVERS:
            for line in self.site.log_text(name).splitlines():
                if line.startswith("["):
                    self.record.entries.append(json.loads(line))
        end_ms = time.time() * 1000.0
        for name in DAEMONS:
            parsed = map(parse_line, self.site.log_text(name).splitlines())
            spans = delegating_spans(filter(None, parsed), end_ms)
            self.record.delegating += [(name, *span) for span in spans]
            for line in self.site.log_text(name).splitlines():
                if "event=task-failed" in line or line.startswith("Traceback"):
                    self.anomalies.append(f"{name}: {line[:300]}")


def main(*, seeds: list[int] = (), fresh: int = 0, length_s: float = 30.0):
    """Run seeds one after the other; exit with 1 if any run fails.

    Parameters
    ----------
    seeds : list[int]
        Seeds to run; those of ``soak/seeds.txt`` if neither seeds nor fresh is given.
    fresh : int
        Number of new random seeds to run.
    length_s : float
        Duration of the faults in each run, in seconds.
    """
    fresh_seeds = (
        FIRST_DEADLY_SEED + secrets.randbelow(1_000_000) for _ in range(fresh)
    )
    chosen = [*seeds, *fresh_seeds]
    return sum(not run_seed(seed, length_s) for seed in chosen or regression_seeds())


def run_seed(seed, length_s, soak_class=Soak):
    """Run a seed and print the result; return whether the run succeeded.

    The seed is printed first, so that it is known even if the run does not finish.
    """
    print(f"seed {seed}: ", end="", flush=True)
    soak = soak_class(seed, length_s)
    try:
        violations = {name: found for name, found in soak.execute().items() if found}
    except Exception:
        print("failed", flush=True)
        traceback.print_exc(file=sys.stdout)
        return False
    served = sum(o.status == 200 for o in soak.record.outcomes)
    copies = sum(entry[2] == "copy" for entry in soak.record.entries)
    print(f"{len(soak.record.outcomes)} calls, {served} served", end="")
    print(f", {copies} late copies" if copies else "", end="")
    print(f", violated: {sorted(violations)}" if violations else ", no violations")
    for name, found in violations.items():
        print(f"  {name}: {len(found)}", *found[:5], sep="\n    ", flush=True)
    return not violations


def regression_seeds(path=SEEDS_FILE):
    """Return the seeds of a file that lists one per line, each with its cause."""
    with open(path, encoding="utf-8") as stream:
        lines = [line.split("#")[0].split() for line in stream]
    return [int(words[0]) for words in lines if words]


if __name__ == "__main__":
    sys.exit(1 if defopt.run(main) else 0)
