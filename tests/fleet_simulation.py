"""Deterministic simulation of a small fleet that assigns keys to backend servers.

Time, messages, the store and the backend servers are simulated here. Leader election,
grants, renewals, fencing tokens, range moves and relays are the package's own code.
"""

import collections
import contextlib
import functools
import heapq
import json
import os
import random
import sys
import types
from unittest import mock

import attrs
import gevent
from gevent.event import Event
from returns.result import Failure, Success

from tarragonramp import range_placement
from tarragonramp.adapters.http import Response
from tarragonramp.balancing import ServerSelector
from tarragonramp.clock import Clock
from tarragonramp.directory import BackendServer
from tarragonramp.errors import (
    ConflictError,
    NoConnectionError,
    NotFoundError,
    NotSentError,
    PlatformUnreachableError,
    UnansweredError,
)
from tarragonramp.fleet_view import RANGES, SERVER, FleetView
from tarragonramp.manifest import N_KEYS, FleetService, Manifest, RouteTable
from tarragonramp.model import Stored
from tarragonramp.roles import granter, grants, leadership, mover, relay, tasks
from tarragonramp.server_paths import PathMonitor

from .ownership_simulation import InvariantViolationError

sys.path.insert(0, os.path.join(os.path.dirname(__file__), os.pardir, "platform"))

from bridge.grants import HttpGrants  # noqa: E402

__all__ = [
    "FAULTS",
    "SCENARIOS",
    "HttpGrants",
    "Simulation",
    "Store",
    "run_scenario",
    "run_seed",
    "simulated",
]

SERVICE = "parts"
RECORD_CHECK_MS, STORE_POLL_MS, HEARTBEAT_MS, EXPIRY_MS = 500.0, 300.0, 300.0, 2000.0
STORE_TIMEOUT_MS, CONNECT_TIMEOUT_MS = 800.0, 700.0
MAX_DELIVERY_DELAY_MS, STARTUP_MS = 12_000.0, 50.0
SETTLING_MS, RECOVERY_MS = 6000.0, 60_000.0
YIELDS_PER_EVENT = 12
NAME_HEADER, MISDIRECTED = "Expect-Upstream", 421
DAEMONS = {"d0": "a", "d1": "a", "d2": "b", "d3": "b"}
SERVERS = {"s0": "a", "s1": "a", "s2": "b"}


@attrs.define(eq=False)
class Process:
    """A process that may be paused or restarted; ``boot`` counts its starts."""

    name: str
    domain: str
    boot: int = 1
    paused: bool = False
    running: bool = True
    buffer: list = attrs.Factory(list)
    tasks: list = attrs.Factory(list)


@attrs.define(eq=False)
class Scheduler:
    """Runs actions in simulated time; those of paused processes wait until resumed."""

    now_ms: float = 0.0
    failures: list = attrs.Factory(list)
    _queue: list = attrs.Factory(list)
    _count: int = 0

    def after(self, delay_ms, action, process=None):
        """Schedule an action; it is dropped if its process has ended by then."""
        self._count += 1
        boot = process.boot if process else 0
        entry = (self.now_ms + delay_ms, self._count, process, boot, action)
        heapq.heappush(self._queue, entry)

    def sleep(self, seconds):
        """Suspend the calling greenlet, as ``gevent.sleep`` does."""
        woken = Event()
        self.after(seconds * 1000.0, woken.set, _current_process())
        woken.wait()

    def spawn(self, task, *arguments):
        """Start a greenlet in the caller's process, as ``gevent.spawn`` does."""
        return self.spawn_in(_current_process(), task, *arguments)

    def spawn_in(self, process, task, *arguments):
        """Start a greenlet in a process."""
        greenlet = gevent.spawn(task, *arguments)
        greenlet.process = process
        greenlet.link_exception(lambda ended: self.failures.append(ended.exception))
        process.tasks = [t for t in process.tasks if not t.ready()] + [greenlet]
        return greenlet

    def run(self, for_ms):
        """Run all actions that are due within a period of simulated time."""
        until_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, process, boot, action = heapq.heappop(self._queue)
            if process is not None and (process.boot != boot or not process.running):
                continue
            if process is not None and process.paused:
                process.buffer.append((boot, action))
                continue
            action()
            # Lets the greenlets run that the action has woken, and those they wake.
            for _ in range(YIELDS_PER_EVENT):
                gevent.sleep(0)
            if self.failures:
                raise self.failures[0]
        self.now_ms = until_ms

    def resume(self, process):
        """Resume a process and schedule the actions that waited for it."""
        process.paused = False
        waiting, process.buffer = process.buffer, []
        for boot, action in waiting:
            if boot == process.boot:
                self.after(0.0, action, process)


def _current_process():
    return gevent.getcurrent().process


class SimulatedEvent:
    """An event whose wait times out in simulated time."""

    def __init__(self, scheduler):
        self._scheduler, self._event = scheduler, Event()
        self.set, self.clear = self._event.set, self._event.clear

    def wait(self, timeout_s):
        """Wait until the event is set or the time is over; return whether it is set."""
        woken = Event()
        self._event.rawlink(lambda event: woken.set())
        self._scheduler.after(timeout_s * 1000.0, woken.set, _current_process())
        woken.wait()
        return self._event.is_set()


@attrs.define(eq=False)
class ProcessClock(Clock):
    """A process's clock, which keeps running while the process is paused."""

    scheduler: Scheduler
    offset_ms: float

    def now_ms(self):
        """Return the time that this clock shows."""
        return self.scheduler.now_ms + self.offset_ms


@attrs.define
class ServerRequest:
    """A grant or release request in transit to a backend server."""

    is_grant: bool
    fields: dict
    name: str
    arrived_ms: float = 0.0
    is_token_checked: bool = False

    @property
    def first(self):
        """First key."""
        return self.fields["from"]

    @property
    def last(self):
        """Last key."""
        return self.fields["to"]

    @property
    def token(self):
        """Fencing token."""
        return self.fields["fence"]

    @property
    def hold_ms(self):
        """How long the grant lasts."""
        return float(self.fields["hold_time"].removesuffix("ms"))


@attrs.define(eq=False)
class Server(Process):
    """A backend server; a restart clears the tokens it has seen and its grants."""

    life: int = 1
    clock_rate: float = 1.0
    draining: bool = False
    delay_probability: float = 0.0
    seen_tokens: dict = attrs.Factory(dict)
    granted_ranges: dict = attrs.Factory(dict)

    @property
    def address(self):
        """Address it listens on, the same after a restart."""
        return f"{self.name}:80"

    def overlapping(self, first, last):
        """Return its granted ranges that overlap a range."""
        return [k for k in self.granted_ranges if k[0] <= last and k[1] >= first]

    def is_overtaken(self, request):
        """Return whether a higher token was seen for one of the request's keys."""
        return any(
            token > request.token
            for (first, last), token in self.seen_tokens.items()
            if first <= request.last and last >= request.first
        )

    def is_held(self, key_range, now_ms):
        """Return whether the grant of a range is still valid by the server's clock."""
        began_ms, hold_ms, _ = self.granted_ranges[key_range]
        return self.running and (now_ms - began_ms) * self.clock_rate < hold_ms


class Daemon:
    """A daemon process: the package's code with simulated store, peers and servers."""

    def __init__(self, simulation, process):
        self.simulation, self.process = simulation, process
        draw = simulation.random.uniform
        self.clock = ProcessClock(simulation.scheduler, draw(0, 1e7))
        self.view = FleetView(self.clock)
        services = {SERVICE: FleetService(SERVICE, divided=True)}
        self.view.update_routes(RouteTable(Manifest(1, (), services)))
        self.pools = {}
        self.grants = HttpGrants(
            types.SimpleNamespace(at=self.pool, discard=self.discard_pool)
        )
        self.monitor = PathMonitor()
        self.relay = relay.Relay(self.grants, self.clock, self.monitor)
        follower = mock.Mock(failing_since_ms={})
        self.leadership = leadership.Leadership(
            process.name,
            f"{process.name}-{process.boot}",
            process.name,
            self.view,
            self,
            self,
            follower,
            ServerSelector(process.domain),
            self.clock,
        )
        self.granter = granter.Granter(
            self.view,
            self.leadership,
            self,
            self.grants,
            self.clock,
            relay.RelayPool(self.view, self.leadership, self, self.clock),
        )
        self.granter._wake_up = SimulatedEvent(simulation.scheduler)
        self.granter._rng = random.Random(simulation.random.random())
        self.leadership.in_doubt_grants = self.granter.tracker.in_doubt_grants
        self.leadership.monitor = self.monitor
        for task in (self.run_leadership, self.poll_store, self.granter.run):
            simulation.scheduler.spawn_in(process, task)

    def pool(self, address, user):
        """Return the connection pool of a backend server."""
        return self.pools.setdefault((address, user), ConnectionPool(self, address))

    def discard_pool(self, address, user):
        """Forget the connection pool of a backend server."""
        self.pools.pop((address, user), None)

    def run_leadership(self):
        """Renew the leader's record while leading, otherwise check it."""
        while True:
            if self.leadership._should_yield():
                self.leadership._release_record("reaches no server")
                pause_ms = RECORD_CHECK_MS
            elif self.leadership.leadership_state.is_named:
                self.leadership._renew_record()
                pause_ms = self.leadership.timing.renew_ms
            else:
                self.leadership._check_record()
                pause_ms = RECORD_CHECK_MS * self.simulation.random.uniform(0.8, 1.2)
            self.simulation.scheduler.sleep(pause_ms / 1000.0)

    def poll_store(self):
        """Poll the store for servers and range tables, and record reachable daemons."""
        while True:
            result = self.simulation.call_store(self, self.simulation.store.snapshot)
            self.apply_objects(result.value_or({}))
            for name, other in self.simulation.daemons.items():
                if (
                    self.simulation.is_connected(name, self.process.name)
                    and other.is_up
                ):
                    self.leadership._record_daemon(name, name)
                    self.view.daemon_domains[name] = other.process.domain
                    self.leadership.record_reach(name, other.is_cut_off)
                    self.leadership.record_clock_reading(name, other.clock.now_ms())
            self.simulation.scheduler.sleep(STORE_POLL_MS / 1000.0)

    @property
    def is_cut_off(self):
        """Whether the daemon has found that it reaches no server."""
        return self.monitor.is_cut_off

    @property
    def is_up(self):
        """Whether the process runs and is not paused."""
        return self.process.running and not self.process.paused

    def apply_objects(self, objects):
        """Update the view from a snapshot of the store; an empty one is ignored."""
        listed = {n: s.spec for (kind, n), s in objects.items() if kind == SERVER}
        if not objects:
            return
        self.view.servers_loaded = True
        for name in sorted(set(self.view.directory.servers) - set(listed)):
            self.view.directory.remove_server(name)
        for server in listed.values():
            if self.view.directory.servers.get(server.name) != server:
                self.view.directory.upsert(server)
        table = objects.get((RANGES, SERVICE))
        if table is not None and table.version > self.view.table_version(SERVICE):
            self.view.load_stored_table(table)

    # Interface of the store adapter.

    def get(self, kind, name):
        """Read an object."""
        result = self.simulation.call_store(
            self, lambda: self.simulation.store.get(kind, name)
        )
        return result.bind(lambda found: found)

    def put(self, kind, name, spec, expected_version):
        """Write an object if its current version is the expected one."""
        put = lambda: self.simulation.store.put(kind, name, spec, expected_version)
        return self.simulation.call_store(self, put, writes=True).bind(
            lambda done: done
        )

    # Interface of the peers adapter.

    def step_down(self, address, term, successor):
        """Ask the previous leader to step down."""
        other = self.simulation.daemons[address]
        handle = lambda: other.leadership.handle_step_down(term, successor)
        return self.simulation.call_daemon(self, other, handle, 400.0)

    def relay_message(self, address, message, timeout_ms):
        """Send another daemon the renewals that it should relay."""
        other = self.simulation.daemons[address]
        # Converts tuples and keys as the JSON encoding on the wire does.
        message = json.loads(json.dumps(message))

        until_ms = self.simulation.scheduler.now_ms + timeout_ms

        def is_wanted():
            # A sender that times out closes the connection; a relay that is
            # partitioned from it cannot see that.
            is_partitioned = not self.simulation.is_connected(
                self.process.name, address
            )
            return is_partitioned or self.simulation.scheduler.now_ms <= until_ms

        def send():
            self.simulation.relaying.add(address)
            try:
                return other.relay.send(message, is_wanted)
            finally:
                self.simulation.relaying.discard(address)

        return self.simulation.call_daemon(self, other, send, timeout_ms)


class Peers:
    """The calls to other daemons that the roles of a daemon make."""

    def __init__(self, daemon):
        self.step_down, self.relay = daemon.step_down, daemon.relay_message


@attrs.define(eq=False)
class Connection:
    """A connection to one server process, with the tags it has carried."""

    boot: int
    tags: set = attrs.Factory(set)


@attrs.define(eq=False)
class ConnectionPool:
    """Connections from one daemon to one server; a restart of the server closes all."""

    daemon: Daemon
    address: str
    _idle: list = attrs.Factory(list)

    @property
    def server(self):
        """Backend server that listens on the address."""
        return self.daemon.simulation.servers[self.address.partition(":")[0]]

    def has_open_idle(self):
        """Return whether the next idle connection is open; if not, drop all."""
        return bool(self._idle) and not self.has_closed_idle()

    def has_closed_idle(self):
        """Return whether the next idle connection was closed; if so, drop all."""
        if not self._idle or self._is_open(self._idle[-1]):
            return False
        self.close()
        return True

    def close(self):
        """Close idle connections."""
        self._idle.clear()

    def exchange(
        self,
        method,
        target,
        headers,
        body,
        timeout_ms,
        reuse_only=False,
        tag=None,
        may_send=None,
        new_connection=False,
        kept_after=(),
    ):
        """Send a grant or release request, as ``HttpPool`` does."""
        simulation, server = self.daemon.simulation, self.server
        until_ms = simulation.scheduler.now_ms + timeout_ms
        connection = None
        if not new_connection:
            connection = self._take_idle(tag if reuse_only else None)
        if connection is None and reuse_only:
            return Failure(NoConnectionError("no open connection"))
        if connection is None:
            if not simulation.is_connected(self.daemon.process.name, server.name):
                simulation.scheduler.sleep(CONNECT_TIMEOUT_MS / 1000.0)
                return Failure(NotSentError("not reached"))
            simulation.scheduler.sleep(simulation.latency_s())
            if not server.running:
                return Failure(NotSentError("refused"))
            if simulation.scheduler.now_ms > until_ms:
                return Failure(UnansweredError("timed out"))
            connection = Connection(server.boot)
        if may_send is not None and not may_send():
            return Failure(NotSentError("right to send has expired"))
        connection.tags.add(tag)
        boot = connection.boot
        request = ServerRequest(
            target.endswith("grant"), json.loads(body), dict(headers)[NAME_HEADER]
        )
        result = simulation.call_server(self.daemon, server, boot, request, timeout_ms)
        if isinstance(result, Success) and result.unwrap().status in kept_after:
            self._idle.append(connection)
        return result

    def _take_idle(self, tag):
        for connection in reversed(self._idle.copy()):
            if tag is None or tag in connection.tags:
                self._idle.remove(connection)
                if self._is_open(connection):
                    return connection
        return None

    def _is_open(self, connection):
        return self.server.running and self.server.boot == connection.boot


@attrs.define(eq=False, slots=False)
class Store:
    """Versioned objects with conditional writes."""

    objects: dict = attrs.Factory(dict)
    version: int = 0

    def snapshot(self):
        """Return all objects."""
        return dict(self.objects)

    def get(self, kind, name):
        """Return an object."""
        found = self.objects.get((kind, name))
        return Success(found) if found else Failure(NotFoundError("none"))

    def put(self, kind, name, spec, expected_version):
        """Write an object if its current version is the expected one."""
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != expected_version:
            return Failure(ConflictError(expected_version, current))
        self.version += 1
        stored = Stored(kind, name, self.version, spec)
        self.objects[kind, name] = stored
        return Success(stored)


class Simulation:
    """Daemons and servers in two failure domains, and a store.

    Parameters
    ----------
    seed : int
    scheduler : Scheduler
    compares_on_arrival : bool, default=False
        Whether a server compares the token of a delayed grant when it arrives rather
        than when it is executed.
    stale_entries : bool, default=False
        Whether the store may list the previous process of a server until the next
        heartbeat, after the server has restarted or the store has recovered.
    """

    def __init__(self, seed, scheduler, compares_on_arrival=False, stale_entries=False):
        self.random = random.Random(seed)
        self.scheduler = scheduler
        self.compares_on_arrival = compares_on_arrival
        self.stale_entries = stale_entries
        self.store, self.last_heartbeat_ms = Store(), {}
        self.earlier_task_failures = collections.Counter(tasks.task_failures())
        self.partitions, self.without_store, self.answer_loss = (
            set(),
            collections.Counter(),
            0.0,
        )
        self.history = collections.defaultdict(list)
        self.relaying, self.moves = set(), 0
        draw = self.random.uniform
        self.servers = {
            name: Server(name, domain, clock_rate=draw(0.98, 1.0))
            for name, domain in SERVERS.items()
        }
        self.processes = {n: Process(n, d) for n, d in DAEMONS.items()}
        self.daemons = {n: self.start_daemon(p) for n, p in self.processes.items()}
        self.processes |= self.servers
        self.run_heartbeats()

    def start_daemon(self, process):
        """Start a daemon's process."""
        daemon = Daemon(self, process)
        daemon.leadership.peers = daemon.granter.relays.peers = Peers(daemon)
        return daemon

    def run(self, for_ms):
        """Advance simulated time."""
        self.scheduler.run(for_ms)

    def close(self):
        """Kill all greenlets."""
        gevent.killall([t for p in self.processes.values() for t in p.tasks])

    # Messages.

    def latency_s(self):
        """Draw the transmission time of a message."""
        return self.random.uniform(0.0005, 0.004)

    def is_connected(self, one, other):
        """Return whether messages pass between two processes."""
        return frozenset((one, other)) not in self.partitions

    def call_store(self, daemon, action, writes=False):
        """Run an action at the store; return Success of its result, or Failure."""
        lost = self.random.random() < self.answer_loss
        if self.without_store[daemon.process.name] or (lost and not writes):
            self.scheduler.sleep(STORE_TIMEOUT_MS / 1000.0)
            return Failure(PlatformUnreachableError("no answer"))
        if lost:
            # The write takes effect, possibly late, and its answer is lost.
            self.scheduler.after(self.random.choice((2.0, 3000.0)), action)
            self.scheduler.sleep(STORE_TIMEOUT_MS / 1000.0)
            return Failure(PlatformUnreachableError("no answer"))
        self.scheduler.sleep(self.latency_s())
        done = Success(action())
        self.scheduler.sleep(self.latency_s())
        return done

    def call_daemon(self, daemon, other, action, timeout_ms):
        """Run an action at another daemon; return Success of its answer, or Failure."""
        if not other.process.running:
            return Failure(NotSentError("refused"))
        if not self.is_connected(daemon.process.name, other.process.name):
            self.scheduler.sleep(timeout_ms / 1000.0)
            return Failure(UnansweredError("no answer"))
        begin = lambda answer: self.scheduler.spawn_in(
            other.process, lambda: answer(action())
        )
        return self._exchange(daemon.process, other.process, begin, timeout_ms)

    def call_server(self, daemon, server, boot, request, timeout_ms):
        """Send a request to a server; it is not delivered to a restarted process."""
        if server.boot != boot or not server.running:
            return Failure(UnansweredError("connection closed"))
        is_connected = self.is_connected(daemon.process.name, server.name)
        is_late = self.random.random() < server.delay_probability
        if is_connected and not is_late:
            begin = lambda answer: answer(self.execute(server, request))
            result = self._exchange(daemon.process, server, begin, timeout_ms)
            return result.map(lambda status: Response(status, (), b"{}"))
        if is_connected:
            # The hold time counts from arrival, even if the request is executed later.
            request.arrived_ms = self.scheduler.now_ms
            if self.compares_on_arrival:
                request.is_token_checked = not server.is_overtaken(request)
            delay_ms = self.random.uniform(0, MAX_DELIVERY_DELAY_MS)
            deliver = lambda: self.execute(server, request)
            self.scheduler.after(delay_ms, deliver, server)
        self.scheduler.sleep(timeout_ms / 1000.0)
        return Failure(UnansweredError("no answer"))

    def _exchange(self, process, target, begin, timeout_ms):
        """Deliver a message to a process and its answer back, within a timeout."""
        answers, done = [], Event()

        def receive(found):
            answers.append(found)
            done.set()

        def answer(found):
            delay_ms = self.latency_s() * 1000.0
            self.scheduler.after(delay_ms, lambda: receive(found), process)

        self.scheduler.after(self.latency_s() * 1000.0, lambda: begin(answer), target)
        self.scheduler.after(timeout_ms, done.set, process)
        done.wait()
        return Success(answers[0]) if answers else Failure(UnansweredError("none"))

    # Servers.

    def run_heartbeats(self):
        """Write the entry of each live server and delete those that have expired."""
        now_ms = self.scheduler.now_ms
        for server in self.servers.values():
            name = server.name
            if server.running and not server.paused and not self.without_store[name]:
                self.write_entry(server)
                continue
            has_expired = now_ms - self.last_heartbeat_ms.get(name, now_ms) > EXPIRY_MS
            if has_expired and not self.without_store["store"]:
                self.store.objects.pop((SERVER, name), None)
        self.scheduler.after(
            HEARTBEAT_MS * self.random.uniform(0.9, 1.1), self.run_heartbeats
        )

    def write_entry(self, server):
        """Write a server's entry to the store if it has changed."""
        name = server.name
        self.last_heartbeat_ms[name] = self.scheduler.now_ms
        found = self.store.objects.get((SERVER, name))
        if found is None or found.spec != self.entry(server):
            version = found.version if found else 0
            self.store.put(SERVER, name, self.entry(server), version)

    def entry(self, server):
        """Return the entry with which a server registers."""
        return BackendServer(
            server.name,
            server.life,
            SERVICE,
            server.address,
            server.domain,
            3,
            draining=server.draining,
        )

    def execute(self, server, request):
        """Execute a request at a server; return the HTTP status."""
        if request.name != server.name:
            return MISDIRECTED
        first, last, token = request.first, request.last, request.token
        if not request.is_grant:
            for key_range in server.overlapping(first, last):
                del server.granted_ranges[key_range]
            return 200
        if not request.is_token_checked and server.is_overtaken(request):
            return 409
        server.seen_tokens[first, last] = max(
            token, server.seen_tokens.get((first, last), 0)
        )
        arrived_ms = request.arrived_ms or self.scheduler.now_ms
        server.granted_ranges[first, last] = arrived_ms, request.hold_ms, token
        if not server.is_held((first, last), self.scheduler.now_ms):
            return 200
        self.check_grant(server, first, last, token)
        return 200

    def check_grant(self, server, first, last, token):
        """Fail if another process holds a key of the range or had a token as high."""
        now_ms = self.scheduler.now_ms
        for other in self.servers.values():
            if other is server:
                continue
            held = [
                p for p in other.overlapping(first, last) if other.is_held(p, now_ms)
            ]
            if held:
                raise InvariantViolationError(
                    f"{now_ms:.0f} ms: {server.name} was granted {first} to {last}"
                    f" under {token},"
                    f" {other.name} holds {held} {other.granted_ranges[held[0]]}"
                )
        life = server.name, server.boot
        for owner, highest in self.history[first].copy():
            if owner != life and highest >= token:
                raise InvariantViolationError(
                    f"{now_ms:.0f} ms: {life} was granted {first} under {token},"
                    f" {owner} had {highest}"
                )
        if not self.history[first] or self.history[first][-1][0] != life:
            self.moves += 1
        self.history[first].append((life, token))

    def unserved_keys(self):
        """Return those of 64 sample keys that no server holds."""
        now_ms = self.scheduler.now_ms
        return [
            key
            for key in range(0, N_KEYS, N_KEYS // 64)
            if not any(
                s.is_held(key_range, now_ms)
                for s in self.servers.values()
                for key_range in s.overlapping(key, key)
            )
        ]

    # Faults. Each method returns a function that ends the fault.

    def pause(self, name):
        """Pause a process; what arrives meanwhile waits in its socket buffers."""
        process = self.processes[name]
        process.paused = True
        return lambda: self.scheduler.resume(process)

    def kill(self, name):
        """Kill a process."""
        process = self.processes[name]
        process.running, process.paused = False, False
        process.boot += 1
        process.buffer = []
        gevent.killall(process.tasks, block=False)
        process.tasks = []
        return lambda: self.start(name)

    def start(self, name):
        """Restart a process unless it runs."""
        process = self.processes[name]
        if process.running:
            return
        if name in self.daemons:
            process.running = True
            self.daemons[name] = self.start_daemon(process)
            return
        process.life = round(self.scheduler.now_ms) + 2
        process.seen_tokens, process.granted_ranges, process.draining = {}, {}, False
        if not self.stale_entries and not self.without_store[name]:
            self.write_entry(process)
        elif not self.stale_entries and not self.without_store["store"]:
            self.store.objects.pop((SERVER, name), None)
        self.scheduler.after(STARTUP_MS, lambda: setattr(process, "running", True))

    def drain(self, name):
        """Have a server announce that it is draining."""
        server = self.servers[name]
        server.draining = True

        def undrain():
            server.draining = False

        return undrain

    def partition_pair(self, one, other):
        """Drop all messages between two processes."""
        pair = frozenset((one, other))
        self.partitions.add(pair)
        return lambda: self.partitions.discard(pair)

    def partition_domain(self, domain):
        """Partition a failure domain from the others, but not from the store."""
        inside = [p.name for p in self.processes.values() if p.domain == domain]
        outside = [p.name for p in self.processes.values() if p.domain != domain]
        undo_actions = [
            self.partition_pair(one, other) for one in inside for other in outside
        ]
        return lambda: [undo() for undo in undo_actions]

    def cut_off_from_store(self, *names):
        """Cut processes off from the store."""
        self.without_store.update(names)
        first_call = iter([True])

        def reconnect():
            if next(first_call, False):
                self.without_store.subtract(names)
            for name in sorted(SERVERS.keys() & set(names)):
                can_write = self.servers[name].running and not self.without_store[name]
                if not self.stale_entries and can_write:
                    self.write_entry(self.servers[name])

        return reconnect

    def isolate(self, name):
        """Partition a daemon from store and other daemons, but not from servers."""
        undo_actions = [self.cut_off_from_store(name)]
        undo_actions += [
            self.partition_pair(name, other) for other in DAEMONS if other != name
        ]
        return lambda: [undo() for undo in undo_actions]

    def cut_off_from_servers(self, name):
        """Partition a daemon from all servers; it finds out within some checks."""
        undo_actions = [self.partition_pair(name, server) for server in SERVERS]
        daemon, process = self.daemons[name], self.processes[name]
        check = lambda is_reached: daemon.monitor.record_check(
            is_reached, daemon.clock.now_ms()
        )
        found_ms = self.random.uniform(500, 1500)
        self.scheduler.after(found_ms, lambda: check(False), process)
        undo_actions.append(lambda: check(True))
        return lambda: [undo() for undo in undo_actions]

    def lose_store_answers(self, answer_loss):
        """Lose a fraction of the store's answers."""
        self.answer_loss = answer_loss
        return lambda: setattr(self, "answer_loss", 0.0)

    def delay_requests(self, name):
        """Have a server execute half of its requests late and without an answer."""
        server = self.servers[name]
        server.delay_probability = 0.5
        return lambda: setattr(server, "delay_probability", 0.0)


FAULTS = {
    "daemon paused": lambda w, pick: w.pause(pick(DAEMONS)),
    "daemon restarted": lambda w, pick: w.kill(pick(DAEMONS)),
    "leader paused": lambda w, pick: w.pause(leader_of(w) or pick(DAEMONS)),
    "leader restarted": lambda w, pick: w.kill(leader_of(w) or pick(DAEMONS)),
    "leader cut off from daemons and store": lambda w, pick: w.isolate(
        leader_of(w) or pick(DAEMONS)
    ),
    "leader cut off from store": lambda w, pick: w.cut_off_from_store(
        leader_of(w) or pick(DAEMONS)
    ),
    "server paused": lambda w, pick: w.pause(pick(SERVERS)),
    "server restarted": lambda w, pick: w.kill(pick(SERVERS)),
    "server drained": lambda w, pick: w.drain(pick(SERVERS)),
    "requests delayed": lambda w, pick: w.delay_requests(pick(SERVERS)),
    "link partitioned": lambda w, pick: w.partition_pair(
        pick(DAEMONS), pick([*DAEMONS, *SERVERS])
    ),
    "domain partitioned": lambda w, pick: w.partition_domain(pick("ab")),
    "store unavailable": lambda w, pick: w.cut_off_from_store(
        "store", *DAEMONS, *SERVERS
    ),
    "server cut off from store": lambda w, pick: w.cut_off_from_store(pick(SERVERS)),
    "answers lost": lambda w, pick: w.lose_store_answers(0.3),
}


def leader_of(simulation):
    """Return the name of a daemon that is leader, or None."""
    leading = (n for n, d in simulation.daemons.items() if d.leadership.leads)
    return next(leading, None)


@contextlib.contextmanager
def simulated(seed, **options):
    """Create a Simulation and run the package's roles on its simulated time."""
    scheduler = Scheduler()
    simulated_gevent = types.SimpleNamespace(
        sleep=scheduler.sleep, spawn=scheduler.spawn, killall=gevent.killall
    )
    ignore_log = lambda *arguments, **fields: None
    with contextlib.ExitStack() as stack:
        patch = lambda *target: stack.enter_context(mock.patch.object(*target))
        for module in (granter, mover, tasks, leadership):
            patch(module, "gevent", simulated_gevent)
        for module in (granter, grants, mover, relay, leadership, tasks):
            patch(module, "log_event", ignore_log)
        # Fewer ranges exercise the same moves in less time.
        patch(range_placement, "RANGES_PER_SERVER", 3)
        simulation = Simulation(seed, scheduler, **options)
        stack.callback(simulation.close)
        yield simulation


def _leader_isolated_for_long(simulation):
    """Isolate the leader for longer than its grants stay in doubt, then move keys."""
    leader = leader_of(simulation)
    own = [n for n, domain in SERVERS.items() if domain == DAEMONS[leader]]
    undo_actions = [simulation.isolate(leader)]
    simulation.run(28_000)
    undo_actions.append(simulation.drain(own[0]))
    simulation.run(8000)
    return undo_actions


def _new_owner_restarts(simulation):
    """Restart a server just before it is granted keys, then drain it."""
    restart = simulation.kill("s1")
    undo_actions = [simulation.drain("s0")]
    simulation.run(simulation.random.uniform(600, 1400))
    restart()
    simulation.run(100)
    undo_actions.append(simulation.drain("s1"))
    simulation.run(4000)
    return undo_actions


def _server_isolated(simulation):
    """Isolate a server, so that its keys move only once its grants have expired."""
    undo_actions = [
        simulation.cut_off_from_store("s0"),
        *(simulation.partition_pair("s0", name) for name in DAEMONS),
    ]
    simulation.run(12_000)
    return undo_actions


def _owner_listed_elsewhere(simulation, life_step=1, kills_leader=False):
    """Let another program list an owner at another server's address, and drain it."""
    owner, store = simulation.servers["s0"], simulation.store
    undo_actions = []
    for number in range(30):
        if number == 10:
            # Its keys would be given to the owner.
            undo_actions.append(simulation.drain("s2"))
        entry = simulation.entry(owner)
        foreign = attrs.evolve(
            entry, life=entry.life + life_step, address=simulation.servers["s1"].address
        )
        found = store.objects.get((SERVER, owner.name))
        store.put(SERVER, owner.name, foreign, found.version if found else 0)
        simulation.run(simulation.random.uniform(30, 200))
    undo_actions.append(simulation.drain(owner.name))
    if kills_leader:
        simulation.kill(leader_of(simulation))()
    simulation.run(9000)
    return undo_actions


def _leader_killed_after_move(simulation):
    """Kill the leader just after a move that no other daemon has observed."""
    leader = leader_of(simulation)
    others = [name for name in DAEMONS if name != leader]
    undo_actions = [simulation.drain("s0")]
    n_moves = simulation.moves
    while simulation.moves == n_moves:
        simulation.run(5)
    reconnect = simulation.cut_off_from_store(*others)
    simulation.run(simulation.random.uniform(0, 600))
    undo_actions.append(simulation.kill(leader))
    simulation.run(2000 + simulation.random.uniform(0, 800))
    reconnect()
    simulation.run(10_000)
    return undo_actions


def _relay_paused(simulation, is_partitioned=False):
    """Pause a relay that is sending renewals until no leader fences them any more."""
    while not simulation.relaying:
        simulation.run(1)
    name = min(simulation.relaying)
    resume = simulation.pause(name)
    undo_actions = [
        simulation.partition_pair(name, other)
        for other in DAEMONS
        if is_partitioned and other != name
    ]
    simulation.run(22_000)
    undo_actions += [simulation.drain(name) for name in ("s0", "s2")][
        : simulation.random.randint(1, 2)
    ]
    simulation.run(4000)
    resume()
    simulation.run(4000)
    return undo_actions


def _relay_and_server_isolated(simulation):
    """Pause a relay that is sending renewals and partition it with its server."""
    while not simulation.relaying:
        simulation.run(1)
    name = min(simulation.relaying)
    resume = simulation.pause(name)
    undo_actions = [simulation.partition_domain(DAEMONS[name])]
    simulation.run(simulation.random.uniform(10_000, 14_000))
    resume()
    simulation.run(12_000)
    return undo_actions


def _message_unread_by_relays(simulation):
    """Pause relays before they read a message, then partition their failure domain.

    Their leader cannot reach the servers of that domain directly.
    """
    while not simulation.relaying:
        simulation.run(1)
    # The next renewals are sent while the relays still count as reachable.
    simulation.run(1200)
    leader = leader_of(simulation)
    near = DAEMONS[leader]
    far = [name for name, domain in SERVERS.items() if domain != near]
    undo_actions = [simulation.partition_pair(leader, name) for name in far]
    paused = [name for name, domain in DAEMONS.items() if domain != near]
    resume_actions = [simulation.pause(name) for name in paused]
    simulation.run(4500)
    undo_actions.append(simulation.partition_domain(near))
    simulation.run(simulation.random.uniform(6000, 9000))
    for resume in resume_actions:
        resume()
    simulation.run(12_000)
    return undo_actions


def _leader_and_servers_isolated(simulation):
    """Cut the leader off from the store and partition its failure domain."""
    leader = leader_of(simulation)
    undo_actions = [
        simulation.cut_off_from_store(leader),
        simulation.partition_domain(DAEMONS[leader]),
    ]
    simulation.run(40_000)
    return undo_actions


def _leader_replaced_during_delays(simulation):
    """Replace a reachable leader while a draining server executes requests late."""
    undo_actions = [simulation.delay_requests("s0")]
    simulation.run(simulation.random.uniform(2000, 5000))
    undo_actions.append(simulation.cut_off_from_store(leader_of(simulation)))
    simulation.run(2400)
    undo_actions.append(simulation.drain("s0"))
    simulation.run(12_000)
    return undo_actions


def _leader_isolated_during_move(simulation):
    """Isolate the leader while a server releases keys, then restart that server."""
    leader = leader_of(simulation)
    near = next(n for n, domain in SERVERS.items() if domain == DAEMONS[leader])
    reconnect = simulation.partition_pair(leader, near)
    simulation.run(3500)
    undo_actions = [simulation.drain(near)]
    simulation.run(1500)
    undo_actions.append(simulation.isolate(leader))
    simulation.run(3500 + simulation.random.uniform(0, 1000))
    simulation.kill(near)()
    simulation.run(100)
    reconnect()
    simulation.run(6000)
    return undo_actions


def _server_restarts_between_renewals(simulation):
    """Restart a server that is cut off from the store, and move keys to it."""
    simulation.run(simulation.random.uniform(500, 1200))
    undo_actions = [simulation.cut_off_from_store("s1")]
    simulation.kill("s1")()
    undo_actions.append(simulation.drain("s0"))
    simulation.run(4000)
    return undo_actions


def _lose_store(simulation):
    """Make the store unavailable; return the function that ends the outage."""
    return simulation.cut_off_from_store("store", *DAEMONS, *SERVERS)


def _server_restarts_without_store(simulation, n_restarts=1):
    """Restart a server between two renewals while no entry can be read."""
    undo_actions = [_lose_store(simulation)]
    name = simulation.random.choice(sorted(SERVERS))
    for _ in range(n_restarts):
        simulation.run(simulation.random.uniform(100, 3000))
        simulation.kill(name)()
    simulation.run(6000)
    return undo_actions


def _relay_and_server_restart_without_store(simulation):
    """Kill a daemon that relays renewals, and restart its server, without the store."""
    undo_actions = [_lose_store(simulation)]
    simulation.run(simulation.random.uniform(100, 3000))
    near = DAEMONS[leader_of(simulation)]
    far = [name for name, domain in SERVERS.items() if domain != near]
    server = simulation.random.choice(far)
    relays = [name for name, domain in DAEMONS.items() if domain != near]
    undo_actions.append(simulation.kill(simulation.random.choice(relays)))
    simulation.kill(server)()
    simulation.run(6000)
    return undo_actions


def _leader_restarts_before_outage(simulation):
    """Restart the leader, lose the store and restart a server."""
    simulation.kill(leader_of(simulation))()
    simulation.run(simulation.random.uniform(20, 2500))
    undo_actions = [_lose_store(simulation)]
    simulation.run(simulation.random.uniform(0, 500))
    simulation.kill(simulation.random.choice(sorted(SERVERS)))()
    simulation.run(6000)
    return undo_actions


def _moving_owner_restarts_without_store(simulation):
    """Restart a server whose keys are on the move when the store is lost."""
    name = simulation.random.choice(sorted(SERVERS))
    undo_actions = [simulation.drain(name)]
    simulation.run(simulation.random.uniform(0, 700))
    undo_actions.append(_lose_store(simulation))
    simulation.run(simulation.random.uniform(0, 700))
    simulation.kill(name)()
    simulation.run(6000)
    return undo_actions


def _servers_restart_during_answer_loss(simulation):
    """Restart servers while most writes of the store have no response."""
    undo_actions = [simulation.lose_store_answers(0.8)]
    for _ in range(2):
        simulation.run(simulation.random.uniform(0, 2600))
        simulation.kill(simulation.random.choice(sorted(SERVERS)))()
    simulation.run(4000)
    return undo_actions


def _leader_without_store_and_server_restarts(simulation):
    """Cut only the leader off from the store, and restart a server."""
    undo_actions = [simulation.cut_off_from_store(leader_of(simulation))]
    simulation.run(simulation.random.uniform(0, 2600))
    simulation.kill(simulation.random.choice(sorted(SERVERS)))()
    simulation.run(6000)
    return undo_actions


def _leader_paused_before_new_tokens(simulation):
    """Pause the leader between raising tokens and sending them, until it is replaced.

    Its successor raises the tokens again, and then a server restarts.
    """
    leader, table = leader_of(simulation), (RANGES, SERVICE)
    simulation.kill(leader)()
    version = simulation.store.objects[table].version
    while simulation.store.objects[table].version == version:
        simulation.run(1)
    resume = simulation.pause(leader)
    undo_actions = [simulation.isolate(leader), resume]
    simulation.run(simulation.random.uniform(4500, 7500))
    simulation.kill(simulation.random.choice(sorted(SERVERS)))()
    simulation.run(simulation.random.uniform(52, 120))
    resume()
    simulation.run(6000)
    return undo_actions


def _leader_without_servers(simulation, n_others=0):
    """Cut the leader, and some other daemons, off from all servers, and drain one."""
    leader = leader_of(simulation)
    others = sorted(set(DAEMONS) - {leader})[:n_others]
    undo_actions = [simulation.delay_requests("s0")]
    simulation.run(simulation.random.uniform(0, 3000))
    undo_actions += [simulation.cut_off_from_servers(n) for n in (leader, *others)]
    simulation.run(simulation.random.uniform(0, 2500))
    undo_actions.append(simulation.drain("s0"))
    simulation.run(12_000)
    if n_others < len(DAEMONS) - 1 and leader_of(simulation) == leader:
        raise InvariantViolationError(f"{leader} leads and reaches no server")
    return undo_actions


SCENARIOS = {
    "leader cut off from the servers": _leader_without_servers,
    "most daemons cut off from the servers": functools.partial(
        _leader_without_servers, n_others=len(DAEMONS) - 2
    ),
    "all daemons cut off from the servers": functools.partial(
        _leader_without_servers, n_others=len(DAEMONS) - 1
    ),
    "server restarts without the store": _server_restarts_without_store,
    "server restarts twice without the store": functools.partial(
        _server_restarts_without_store, n_restarts=2
    ),
    "server and relay restart without the store": (
        _relay_and_server_restart_without_store
    ),
    "leader restarts before an outage": _leader_restarts_before_outage,
    "owner of moving keys restarts without the store": (
        _moving_owner_restarts_without_store
    ),
    "servers restart while answers of the store are lost": (
        _servers_restart_during_answer_loss
    ),
    "server restarts while its leader lacks the store": (
        _leader_without_store_and_server_restarts
    ),
    "leader paused before it sends new tokens": _leader_paused_before_new_tokens,
    "leader isolated while a server releases keys": _leader_isolated_during_move,
    "server restarts between two renewals": _server_restarts_between_renewals,
    "relay partitioned with its server": _relay_and_server_isolated,
    "message unread by partitioned relays": _message_unread_by_relays,
    "leader partitioned with its servers": _leader_and_servers_isolated,
    "leader replaced while requests are delayed": _leader_replaced_during_delays,
    "leader isolated for long": _leader_isolated_for_long,
    "server isolated": _server_isolated,
    "owner listed at another address": functools.partial(
        _owner_listed_elsewhere, life_step=0
    ),
    "later life listed at another address": _owner_listed_elsewhere,
    "later life listed elsewhere, leader killed": functools.partial(
        _owner_listed_elsewhere, kills_leader=True
    ),
    "leader killed after an unobserved move": _leader_killed_after_move,
    "relay paused for long": _relay_paused,
    "relay paused and partitioned": functools.partial(
        _relay_paused, is_partitioned=True
    ),
    "server restarts while keys move to it": _new_owner_restarts,
}


def run_scenario(name, seed=0, **options):
    """Run a scenario of coinciding faults and check recovery, as ``run_seed`` does."""
    with simulated(seed, **options) as simulation:
        simulation.run(SETTLING_MS)
        _recover(simulation, SCENARIOS[name](simulation))
        return simulation


def run_seed(seed, n_faults=14, **options):
    """Run a random schedule of faults, end all of them and check recovery.

    Parameters
    ----------
    seed, n_faults : int
    **options
        Passed to ``Simulation``.

    Raises
    ------
    InvariantViolationError
        If two servers held a key, a token did not rise, or a key stayed unserved.

    Returns
    -------
    simulation : Simulation
    """
    with simulated(seed, **options) as simulation:
        draw = simulation.random
        simulation.run(SETTLING_MS)
        undo_actions = []
        for _ in range(n_faults):
            name = draw.choice(sorted(FAULTS))
            undo = FAULTS[name](simulation, lambda names: draw.choice(sorted(names)))
            simulation.scheduler.after(draw.choice((300, 2500, 9000, 16_000)), undo)
            undo_actions.append(undo)
            simulation.run(draw.choice((50, 400, 1500, 4000)))
        simulation.run(16_000)
        _recover(simulation, undo_actions)
        return simulation


def _recover(simulation, undo_actions):
    """End all faults; fail unless every key is served after the recovery time."""
    for undo in undo_actions:
        undo()
    simulation.run(RECOVERY_MS)
    failed = (
        collections.Counter(tasks.task_failures()) - simulation.earlier_task_failures
    )
    if failed:
        raise AssertionError(f"tasks failed: {dict(failed)}")
    unserved_keys = simulation.unserved_keys()
    if unserved_keys:
        raise InvariantViolationError(
            f"keys not served after recovery: {unserved_keys}"
        )
