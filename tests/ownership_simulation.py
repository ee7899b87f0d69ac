"""Deterministic simulation of daemons, backend servers and a platform.

Time, messages and the platform are simulated here; terms, grants, proofs of release and
moves are decided by the package's own state machines.
"""

import collections
import heapq
import random

import attrs

from tarragonramp import assignments, terms
from tarragonramp.leases import END_MARGIN_MS, GrantLedger, ServerAnswer
from tarragonramp.model import Assignment, Member, SliceState
from tarragonramp.placement import ServerView, next_slices

TIMEOUT_MS, PLATFORM_TIMEOUT_MS = 250.0, 600.0
TICK_MS, PING_MS, RENEWAL_MS, PLANNING_MS, WATCH_MS = 50.0, 150.0, 250.0, 100.0, 70.0
ASSIGNMENT, PLANNER = "assignment", "planner"
DOMAINS = {"d0": "a", "d1": "a", "d2": "b", "s0": "a", "s1": "b"}
N_SLICES = 3


class InvariantViolationError(AssertionError):
    """An invariant of key ownership did not hold."""


@attrs.define(eq=False)
class Process:
    """A process with its own clock that may be paused and restarted."""

    name: str
    clock_rate: float
    offset_ms: float
    boot: int = 1
    paused: bool = False
    buffer: list = attrs.Factory(list)

    @property
    def boot_id(self):
        """Identifier of the running process, new after each restart."""
        return f"b{self.boot}"


@attrs.define(eq=False)
class Server(Process):
    """A backend server that refuses grants of superseded stewards."""

    term: int = 0
    sequence: int = 0
    tokens: dict = attrs.Factory(dict)
    until_ms: float = 0.0

    def accept_grant(self, grant):
        """Apply a grant; return False if it is refused."""
        offered = (grant.term, grant.sequence)
        if grant.boot_id != self.boot_id or offered < (self.term, self.sequence):
            return False
        self.term, self.sequence = offered
        self.tokens, self.until_ms = dict(grant.tokens), grant.until_ms
        return True

    def reset(self):
        """Reset the state that a restart loses."""
        self.term, self.sequence, self.tokens, self.until_ms = 0, 0, {}, 0.0


@attrs.define(eq=False)
class Daemon(Process):
    """The in-memory state of a daemon process."""

    seen: dict = attrs.Factory(dict)
    roles: dict = attrs.Factory(dict)
    ledgers: dict = attrs.Factory(dict)
    last_heard_ms: dict = attrs.Factory(dict)
    missed_pings: collections.Counter = attrs.Factory(collections.Counter)
    busy: set = attrs.Factory(set)
    reports: dict = attrs.Factory(dict)
    registered: bool = False

    @property
    def identity(self):
        """Identity of the running process towards other daemons."""
        return f"{self.name}#{self.boot_id}"

    def reset(self):
        """Reset all state; a daemon stores nothing on disk."""
        fresh = Daemon(self.name, self.clock_rate, self.offset_ms)
        for field in (
            "seen",
            "roles",
            "ledgers",
            "last_heard_ms",
            "missed_pings",
            "busy",
        ):
            setattr(self, field, getattr(fresh, field))
        self.reports, self.registered = {}, False


class Simulation:
    """Three daemons in two failure domains, two backend servers and a platform."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        # The rules must hold whatever the order of these three durations.
        self.right_ms = self.random.choice((500.0, 800.0, 2500.0))
        self.grant_ms = self.random.choice((400.0, 1200.0, 2500.0))
        self.silence_ms = self.random.choice((200.0, 500.0))
        self.now = 0.0
        self.queue = []
        self.n_events = 0
        self.partitions = set()
        self.without_watch = set()
        self.platform_mode = "ok"
        self.message_loss = 0.0
        self.version = 1
        self.objects = {ASSIGNMENT: (1, Assignment("t", "s", (SliceState(),) * 3))}
        self.history = [(0.0, {})]
        self.weights = {"s0": 1.0, "s1": 1.0}
        self.proofs = {}
        self.moves = 0
        self.trace = []
        draw = self.random.uniform
        self.daemons = {
            n: Daemon(n, draw(0.999, 1.001), draw(0, 1e7)) for n in ("d0", "d1", "d2")
        }
        self.servers = {
            n: Server(n, draw(0.999, 1.001), draw(0, 1e7)) for n in ("s0", "s1")
        }
        self.processes = {**self.daemons, **self.servers}
        for daemon in self.daemons.values():
            self.start_daemon(daemon)

    # Time and processes.

    def clock(self, process):
        """Return the time by the clock of a process."""
        return process.offset_ms + process.clock_rate * self.now

    def after(self, process, delay_ms, action):
        """Schedule an action; it is dropped if its process has restarted by then."""
        self.n_events += 1
        due = (self.now + delay_ms, self.n_events, process, process.boot, action)
        heapq.heappush(self.queue, due)

    def every(self, process, period_ms, action):
        """Run an action in a process periodically."""

        def again():
            action()
            self.after(process, period_ms * self.random.uniform(0.9, 1.1), again)

        self.after(process, self.random.uniform(0, period_ms), again)

    def run(self, for_ms):
        """Run all actions due within a period, and check the invariants after each."""
        until = self.now + for_ms
        while self.queue and self.queue[0][0] <= until:
            self.now, _, process, boot, action = heapq.heappop(self.queue)
            if process.boot != boot:
                continue
            if process.paused:
                process.buffer.append((boot, action))
                continue
            action()
            self.check()
        self.now = until

    def pause(self, name):
        """Pause a process; what arrives meanwhile waits in its socket buffers."""
        self.processes[name].paused = True

    def resume(self, name):
        """Resume a process; it processes buffered messages first, in random order."""
        process = self.processes[name]
        process.paused = False
        waiting, process.buffer = process.buffer, []
        self.random.shuffle(waiting)
        for boot, action in waiting:
            if process.boot == boot:
                self.after(process, self.random.uniform(0, 5), action)

    def restart(self, name):
        """Kill a process and start it again."""
        process = self.processes[name]
        process.boot += 1
        process.paused, process.buffer = False, []
        process.reset()
        if name in self.daemons:
            self.start_daemon(process)

    # Messages.

    def delay_ms(self):
        """Draw the transmission time of a message, or None if the message is lost."""
        if self.random.random() < self.message_loss / 2:
            return None
        if self.random.random() < self.message_loss:
            longest_ms = self.random.choice((120, 120, 2500))
            return self.random.uniform(50, longest_ms)
        return self.random.uniform(0.5, 3)

    def send(self, source, target, action):
        """Deliver a message, possibly late, twice or not at all."""
        if (source.name, getattr(target, "name", "platform")) in self.partitions:
            return
        copies = 2 if self.random.random() < self.message_loss / 2 else 1
        for _ in range(copies):
            delay = self.delay_ms()
            if delay is not None:
                self.after(target, delay, action)

    def call(self, daemon, target, serve, on_answer, on_silence, timeout_ms=TIMEOUT_MS):
        """Call another process; an answer after the timeout is discarded."""
        open_call = [True]

        def answer(value):
            if open_call:
                open_call.clear()
                on_answer(value)

        def timeout():
            if open_call:
                open_call.clear()
                on_silence()

        def request():
            value = serve()
            self.send(target, daemon, lambda: answer(value))

        self.send(daemon, target, request)
        self.after(daemon, timeout_ms, timeout)

    # The platform.

    def put(self, daemon, name, spec, expected, on_answer, on_silence):
        """Send a conditional write; ``on_answer`` gets the stored version and spec."""

        def serve():
            version, _ = self.objects.get(name, (0, None))
            if version == expected:
                self.version += 1
                self.objects[name] = (self.version, spec)
                self.history.append((self.now, dict(self.objects)))
            if name == ASSIGNMENT and version == expected:
                self.check_assignment()
            return self.objects.get(name)

        def on_shown(shown):
            self.apply(daemon, {name: shown} if shown else {})
            on_answer(shown)

        target = Process("platform", 1.0, 0.0)
        if self.platform_mode == "down":
            self.after(daemon, PLATFORM_TIMEOUT_MS, on_silence)
            return
        if self.platform_mode == "slow":
            self.after(target, self.random.uniform(500, 5000), serve)
            self.after(daemon, PLATFORM_TIMEOUT_MS, on_silence)
            return
        if self.platform_mode == "no answer":
            self.send(daemon, target, serve)
            self.after(daemon, PLATFORM_TIMEOUT_MS, on_silence)
            return
        self.call(daemon, target, serve, on_shown, on_silence, PLATFORM_TIMEOUT_MS)

    def watch(self, daemon):
        """Read all objects; in mode "stale" their state may be up to 3 s old."""
        if self.platform_mode == "down" or (daemon.name, "platform") in self.partitions:
            return
        if daemon.name in self.without_watch:
            return
        lag_ms = 0.0
        if self.platform_mode == "stale":
            lag_ms = self.random.choice((0, 300, 3000))
        index = len(self.history) - 1
        while index > 0 and self.history[index][0] > self.now - lag_ms:
            index -= 1
        objects = self.history[index][1]
        delay = self.delay_ms()
        if delay is not None:
            self.after(daemon, delay, lambda: self.apply(daemon, objects))

    def apply(self, daemon, objects):
        """Store newer versions of objects in a daemon's cache."""
        for name, (version, spec) in objects.items():
            if daemon.seen.get(name, (0, None))[0] >= version:
                continue
            daemon.seen[name] = (version, spec)

    # A daemon: connects the package's state machines as its roles do.

    def start_daemon(self, daemon):
        """Start a daemon's tasks."""
        self.every(daemon, WATCH_MS, lambda: self.watch(daemon))
        self.every(daemon, TICK_MS, lambda: self.tick(daemon))
        self.every(daemon, PING_MS, lambda: self.ping(daemon))
        self.every(daemon, PLANNING_MS, lambda: self.plan(daemon))
        for server in self.servers.values():
            self.every(daemon, RENEWAL_MS, lambda s=server: self.renew_grant(daemon, s))

    def register(self, daemon):
        """Register the daemon as a member, which precedes all its other work."""
        version, seen = daemon.seen.get(daemon.name, (0, None))
        if seen is not None and seen.boot_id == daemon.boot_id:
            daemon.registered = True
            return
        if daemon.name in daemon.busy:
            return
        daemon.busy.add(daemon.name)
        member = Member(daemon.name, daemon.boot_id, DOMAINS[daemon.name], "", "")
        free = lambda *_: daemon.busy.discard(daemon.name)
        self.put(daemon, daemon.name, member, version, free, free)

    def tick(self, daemon):
        """Advance all roles that have no write in progress."""
        if not daemon.registered:
            self.register(daemon)
            return
        for role in (PLANNER, *self.servers):
            if role not in daemon.busy:
                self.advance_role(daemon, role)

    def role(self, daemon, role):
        """Return a daemon's state of a role, updated from the last term it has seen."""
        state = daemon.roles.get(role)
        if state is None:
            right_ms = self.right_ms * self.random.choice((1, 1, 1.5))
            state = terms.RoleTerm(role, daemon.identity, right_ms)
            daemon.roles[role] = state
        version, term = daemon.seen.get(role, (0, None))
        if term is not None:
            state.observe(term, version, self.clock(daemon))
        return state

    def advance_role(self, daemon, role):
        """Claim a role or renew the term that is held."""
        state, now = self.role(daemon, role), self.clock(daemon)
        version, term = daemon.seen.get(role, (0, None))
        successor, lasting = self.choose_successor(daemon, role)
        request_id = f"{daemon.identity}-{self.n_events}"
        if state.held is not None:
            write = state.keep(now, successor, lasting, request_id)
        elif state.claiming is None and not self.may_claim(daemon, role, term, version):
            return
        else:
            heard_ms = None
            gone = self.has_departed(daemon, term, version)
            if term is not None and term.holder and not gone:
                heard_ms = daemon.last_heard_ms.setdefault(term.holder, now)
            grant_ms = self.grant_ms * self.random.choice((1, 1, 1.5))
            plan = terms.ClaimPlan(successor, lasting, heard_ms, grant_ms)
            write = state.claim(term, version, now, plan, request_id)
        if write is not None:
            self.write_term(daemon, state, write)

    def write_term(self, daemon, state, write):
        """Write a term to the platform."""
        daemon.busy.add(state.role)
        sent_ms = self.clock(daemon)

        def on_answer(shown):
            daemon.busy.discard(state.role)
            if shown is not None:
                now = self.clock(daemon)
                state.observe(
                    shown[1], shown[0], now, self.right_start_ms(sent_ms, now)
                )

        free = lambda: daemon.busy.discard(state.role)
        spec, expected = write.term, write.expected_version
        self.put(daemon, state.role, spec, expected, on_answer, free)

    def right_start_ms(self, sent_ms, now_ms):
        """Return the time from which the duration of a right is counted."""
        return sent_ms

    def may_claim(self, daemon, role, term, version):
        """Apply the package's rule.

        A daemon of another failure domain may only claim as the named successor.
        """
        vacant = term is None or not term.holder
        near = role == PLANNER or DOMAINS[role] == DOMAINS[daemon.name]
        if not near and (vacant or term.successor != daemon.identity):
            return False
        silent = lambda identity: (
            self.clock(daemon)
            - daemon.last_heard_ms.setdefault(identity, self.clock(daemon))
            > self.silence_ms
        )
        gone = lambda identity: self.has_departed(daemon, term, version)
        return terms.may_claim(term, daemon.identity, gone, silent)

    def has_departed(self, daemon, term, version):
        """Return whether a term's holder has departed, by the package's rule."""
        if term is None or not term.holder:
            return False
        member_version, member = daemon.seen.get(
            term.holder.partition("#")[0], (0, None)
        )
        return terms.has_departed(term.holder, version, member, member_version)

    def choose_successor(self, daemon, role):
        """Choose a reachable successor, preferably in the same failure domain."""
        up = []
        for other in self.daemons:
            member = daemon.seen.get(other, (0, None))[1]
            if other != daemon.name and member and daemon.missed_pings[other] < 2:
                up.append(f"{other}#{member.boot_id}")
        if role == PLANNER:
            return (up[0] if up else ""), False
        near = [i for i in up if DOMAINS[i[:2]] == DOMAINS[daemon.name]]
        if near:
            return near[0], False
        return (up[0] if up else ""), bool(up)

    def ping(self, daemon):
        """Ping all other daemons."""
        for other in self.daemons.values():
            if other is daemon:
                continue
            sent_ms = self.clock(daemon)
            self.call(
                daemon,
                other,
                lambda o=other, me=daemon.identity: self.answer_ping(o, me),
                lambda answer, o=other, s=sent_ms: self.on_ping_answer(
                    daemon, o, answer, s
                ),
                lambda o=other: daemon.missed_pings.update([o.name]),
            )

    def answer_ping(self, daemon, asker):
        """Answer a ping with the identity and the revoked confirmations by role."""
        daemon.last_heard_ms[asker] = self.clock(daemon)
        revoked = {r: s.revoked_for(asker) for r, s in daemon.roles.items()}
        return daemon.identity, revoked

    def on_ping_answer(self, daemon, other, answer, sent_ms):
        """Apply a ping answer to all terms that name the other daemon as successor."""
        daemon.missed_pings[other.name] = 0
        identity, revoked = answer
        sent_ms = self.right_start_ms(sent_ms, self.clock(daemon))
        for role, state in daemon.roles.items():
            if state.held is not None and state.held.number > revoked.get(role, 0):
                state.held.confirmed_by_successor(identity, sent_ms)

    def renew_grant(self, daemon, server):
        """Renew a server's grant if the daemon is its steward."""
        state = self.role(daemon, server.name)
        if state.held is None:
            daemon.ledgers.pop(server.name, None)
            return
        ledger = daemon.ledgers.get(server.name)
        if ledger is None or ledger.term != state.held.number:
            ledger = daemon.ledgers[server.name] = self.new_ledger(state)
        key = f"renew grant of {server.name}"
        if key in daemon.busy:
            return
        if not self.ensure_registered(daemon, server.name, ledger):
            return
        daemon.busy.add(key)
        grant, now = None, self.clock(daemon)
        assignment = daemon.seen[ASSIGNMENT][1]
        if state.held.may_renew_grants(now):
            known_only = not state.held.may_act(now)
            tokens = assignments.tokens_of(assignment, server.name)
            grant = ledger.next_grant(tokens, now, known_only)

        def serve():
            accepted = server.accept_grant(grant) if grant is not None else True
            return ServerAnswer(
                server.boot_id,
                self.clock(server),
                server.term,
                server.sequence,
                accepted,
            )

        def on_answer(answer):
            daemon.busy.discard(key)
            if daemon.ledgers.get(server.name) is ledger:
                ledger.observe(answer, now, self.clock(daemon))
                state_held = state.held is not None and state.held.number == ledger.term
                if ledger.fenced and state_held:
                    state.held.unbounded = False
                    state.held.longest_grant_ms = ledger.grant_ms
                self.report(daemon, server.name, "up")

        def on_silence():
            daemon.busy.discard(key)
            self.report(daemon, server.name, "silent")

        self.call(daemon, server, serve, on_answer, on_silence)

    def new_ledger(self, state):
        """Create the ledger of a server's grants for the current term."""
        ends_ms = state.earlier_right_ends_ms
        wanted_ms = self.grant_ms * self.random.choice((1, 1, 1.5))
        longest_ms = max(wanted_ms, state.held.longest_grant_ms)
        inherited_ms = ends_ms + END_MARGIN_MS + longest_ms * terms.RIGHT_MARGIN
        if state.held.unbounded:
            inherited_ms = None
        return GrantLedger(
            state.held.number, state.held.grant_ms(wanted_ms), inherited_ms, ends_ms
        )

    def ensure_registered(self, daemon, server, ledger):
        """Record a steward's term in the assignment; return whether it may grant."""
        version, assignment = daemon.seen.get(ASSIGNMENT, (0, None))
        new = assignments.with_steward_term(assignment, server, ledger.term, "r")
        if new is not None and ASSIGNMENT not in daemon.busy:
            self.write_assignment(daemon, new, version)
        return assignment is not None and assignments.may_grant(
            assignment, server, ledger.term
        )

    def write_assignment(self, daemon, assignment, version):
        """Write the assignment to the platform."""
        daemon.busy.add(ASSIGNMENT)
        free = lambda *_: daemon.busy.discard(ASSIGNMENT)
        self.put(daemon, ASSIGNMENT, assignment, version, free, free)

    def report(self, daemon, server, condition):
        """Report a server's condition to all daemons, as each may be the planner."""
        for other in self.daemons.values():
            update = lambda o=other: o.reports.update({server: condition})
            self.send(daemon, other, update)

    def plan(self, daemon):
        """Run one planning step if the daemon is the planner."""
        state = self.role(daemon, PLANNER)
        if state.held is None or not state.held.may_act(self.clock(daemon)):
            return
        if ASSIGNMENT in daemon.busy or ASSIGNMENT not in daemon.seen:
            return
        daemon.busy.add(ASSIGNMENT)
        version, assignment = daemon.seen[ASSIGNMENT]
        released, open_calls = set(), []

        def finish():
            daemon.busy.discard(ASSIGNMENT)
            slices = next_slices(assignment.slices, self.server_views(daemon), released)
            if slices != assignment.slices:
                new = attrs.evolve(assignment, slices=slices)
                self.write_assignment(daemon, new, version)

        def on_release(found=()):
            released.update((i, assignment.slices[i].token) for i in found)
            open_calls.pop()
            if not open_calls:
                finish()

        asked = assignments.slices_to_release(assignment)
        open_calls.extend([None] * (len(asked) + 1))
        for server, indexes in asked.items():
            self.request_release(
                daemon, server, indexes, version, assignment, on_release
            )
        on_release()

    def request_release(self, daemon, server, indexes, version, assignment, on_release):
        """Request proof of release from a server's steward."""
        if server not in assignment.stewards:
            on_release(indexes)
            return
        _, term = daemon.seen.get(server, (0, None))
        steward = self.daemons.get(term.holder[:2]) if term else None
        if steward is None:
            on_release()
            return
        number = assignment.stewards[server]
        serve = lambda: self.answer_release_request(
            steward, server, indexes, version, number
        )
        self.call(daemon, steward, serve, on_release, on_release)

    def answer_release_request(self, daemon, server, indexes, version, number):
        """Return the slices whose release the daemon can prove as steward."""
        ledger = daemon.ledgers.get(server)
        seen_version, _ = daemon.seen.get(ASSIGNMENT, (0, None))
        if ledger is None or ledger.term != number or seen_version < version:
            return []
        now = self.clock(daemon)
        return [i for i in indexes if ledger.released(i, now)]

    def server_views(self, daemon):
        """Return what a planner knows of the servers."""
        return {
            name: ServerView(
                name,
                weight=self.weights[name],
                usable=daemon.reports.get(name) == "up",
                lost=daemon.reports.get(name) == "silent",
            )
            for name in self.servers
        }

    # Invariants.

    def fail(self, what):
        """Raise an invariant violation; the trace lists the faults before it."""
        raise InvariantViolationError(f"{self.now:.0f}: {what}")

    def check(self):
        """Check the invariants; called after each event."""
        self.check_one_holder()
        self.check_one_owner()

    def check_one_holder(self):
        """Check that one daemon at most may act in a role, its wait being over."""
        for role in (PLANNER, *self.servers):
            acting = []
            for daemon in self.daemons.values():
                state, now = daemon.roles.get(role), self.clock(daemon)
                if state is None or state.held is None:
                    continue
                waited = now >= state.earlier_right_ends_ms
                if waited and state.held.may_act(now):
                    acting.append(f"{daemon.identity} in {state.held.number}")
            if len(acting) > 1:
                raise InvariantViolationError(
                    f"{self.now:.0f}: {role} has two holders: {acting}"
                )

    def check_one_owner(self):
        """Check that a slice has one owner at most and no replaced token is valid."""
        owners = {}
        for server in self.servers.values():
            if self.clock(server) >= server.until_ms:
                continue
            for index, token in server.tokens.items():
                if index in owners:
                    both = f"{owners[index]} and {server.name}"
                    self.fail(f"slice {index} at {both}")
                owners[index] = server.name
                if token <= self.proofs.get((server.name, index), 0):
                    raise InvariantViolationError(
                        f"{self.now:.0f}: {server.name} holds {index} by an old token"
                    )

    def check_assignment(self):
        """Check that tokens and terms only rise; record the tokens of moved slices."""
        before = self.history[-2][1].get(ASSIGNMENT, (1, None))[1]
        after = self.objects[ASSIGNMENT][1]
        if before is None:
            return
        for index, (old, new) in enumerate(
            zip(before.slices, after.slices, strict=True)
        ):
            if new.token < old.token:
                self.fail(f"token of {index} went down")
            if new.token > old.token:
                self.moves += 1
                for server in self.servers:
                    self.proofs[server, index] = old.token
        for server, number in before.stewards.items():
            if after.stewards.get(server, 0) < number:
                raise InvariantViolationError(
                    f"{self.now:.0f}: steward term of {server} went down"
                )
        self.check_one_owner()


FAULTS = ("pause", "resume", "restart", "partition", "isolate", "no watch", "heal")
FAULTS += ("platform", "loss", "weight")
PROCESSES = ("d0", "d1", "d2", "s0", "s1")
MODES = ("ok", "ok", "down", "slow", "no answer", "stale")


def inject_fault(simulation, fault, draw):
    """Inject a fault; ``draw(options)`` chooses among options."""
    simulation.trace.append(f"{simulation.now:.0f} {fault}")
    if fault in ("pause", "resume", "restart"):
        getattr(simulation, fault)(draw(PROCESSES))
    elif fault == "partition":
        one, other = draw(PROCESSES), draw((*PROCESSES, "platform"))
        simulation.partitions.add((one, other))
        if draw((True, False)):
            simulation.partitions.add((other, one))
    elif fault == "isolate":
        # Partitioned from the platform and the daemons, but not from the servers.
        one = draw(("d0", "d1", "d2"))
        others = {"d0", "d1", "d2", "platform"} - {one}
        simulation.partitions |= {(one, o) for o in others} | {(o, one) for o in others}
    elif fault == "no watch":
        simulation.without_watch.add(draw(("d0", "d1", "d2")))
    elif fault == "heal":
        simulation.partitions.clear()
        simulation.without_watch.clear()
    elif fault == "platform":
        simulation.platform_mode = draw(MODES)
    elif fault == "loss":
        simulation.message_loss = draw((0.0, 0.1, 0.3))
    elif fault == "weight":
        simulation.weights[draw(("s0", "s1"))] = draw((0.0, 1.0, 1.0))


def run_seed(seed, n_faults=40):
    """Run a simulation under the random schedule of faults of a seed."""
    simulation = Simulation(seed)
    chooser = random.Random(f"faults {seed}")
    simulation.run(1500)
    for _ in range(n_faults):
        inject_fault(simulation, chooser.choice(FAULTS), chooser.choice)
        simulation.run(chooser.choice((20, 100, 300, 700, 1500)))
    return simulation


def holder_of(simulation, role):
    """Return the name of the daemon that holds a role, or "d0" if none does."""
    for name, daemon in simulation.daemons.items():
        state = daemon.roles.get(role)
        if state is not None and state.held is not None:
            return name
    return "d0"


def isolate(simulation, name, others):
    """Partition a process from others, in both directions."""
    for other in others:
        simulation.partitions |= {(name, other), (other, name)}


def scenario_takeover(simulation, draw):
    """Isolate a steward, then restart its server and move all keys away from it."""
    server = draw(("s0", "s1"))
    old = holder_of(simulation, server)
    isolate(simulation, old, {"d0", "d1", "d2", "platform"} - {old})
    if draw((True, False)):
        simulation.run(draw(range(0, 2500, 50)))
    else:
        # The new steward loses its server right after the first accepted grant.
        for _ in range(300):
            simulation.run(10)
            ledger = simulation.daemons[old].ledgers.get(server)
            if ledger is None or simulation.servers[server].term > ledger.term:
                break
        isolate(simulation, server, {"d0", "d1", "d2"} - {old})
    simulation.restart(server)
    simulation.run(draw(range(0, 600, 20)))
    simulation.weights[server] = 0.0
    simulation.run(3000)


def scenario_successor_change(simulation, draw):
    """Have a holder change its successor twice while the platform is slow."""
    role = draw((PLANNER, "s0"))
    old = holder_of(simulation, role)
    simulation.without_watch.add(old)
    first, second = [n for n in ("d0", "d1", "d2") if n != old]
    simulation.platform_mode = "slow"
    isolate(simulation, old, (first,))
    simulation.run(draw(range(300, 1500, 50)))
    simulation.partitions.clear()
    isolate(simulation, old, (second,))
    simulation.run(draw(range(0, 600, 50)))
    simulation.platform_mode = draw(("ok", "slow", "down"))
    simulation.run(4000)
    simulation.platform_mode = "ok"
    simulation.run(2500)


def scenario_silent_server(simulation, draw):
    """Delay messages, then pause or isolate a server until it is replaced."""
    server = draw(("s0", "s1"))
    simulation.message_loss = 0.3
    simulation.run(draw(range(500, 1500, 50)))
    simulation.message_loss = 0.0
    if draw((True, False)):
        simulation.pause(server)
    else:
        isolate(simulation, server, ("d0", "d1", "d2"))
    simulation.run(simulation.grant_ms + 1500)
    simulation.resume(server)


SCENARIOS = (scenario_takeover, scenario_successor_change, scenario_silent_server)


def run_scenario(seed, n_scenarios=4):
    """Run scenarios in sequence; the seed chooses them and all their times."""
    simulation = Simulation(seed)
    # The text seeds the generator: another one changes all schedules.
    chooser = random.Random(f"stories {seed}")
    simulation.run(2500)
    for _ in range(n_scenarios):
        scenario = chooser.choice(SCENARIOS)
        simulation.trace.append(f"{simulation.now:.0f} {scenario.__name__}")
        scenario(simulation, chooser.choice)
        simulation.partitions.clear()
        simulation.without_watch.clear()
        simulation.platform_mode, simulation.message_loss = "ok", 0.0
        simulation.weights = {"s0": 1.0, "s1": 1.0}
        simulation.run(chooser.choice((500, 2500)))
    return simulation
