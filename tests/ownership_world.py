"""A small world of daemons, servers and a platform around the ownership decisions.

Only time, messages and the platform are imitated here; terms, grants, proofs and
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


class BrokenPromiseError(AssertionError):
    """A promise of ownership did not hold."""


@attrs.define(eq=False)
class Process:
    """A process with a clock of its own, which may freeze and restart."""

    name: str
    rate: float
    offset_ms: float
    boot: int = 1
    frozen: bool = False
    buffer: list = attrs.Factory(list)

    @property
    def boot_id(self):
        """Name the running process."""
        return f"b{self.boot}"


@attrs.define(eq=False)
class Server(Process):
    """A backend server that refuses superseded stewards."""

    term: int = 0
    sequence: int = 0
    tokens: dict = attrs.Factory(dict)
    until_ms: float = 0.0

    def take(self, grant):
        """Accept or refuse a grant."""
        offered = (grant.term, grant.sequence)
        if grant.boot_id != self.boot_id or offered < (self.term, self.sequence):
            return False
        self.term, self.sequence = offered
        self.tokens, self.until_ms = dict(grant.tokens), grant.until_ms
        return True

    def forget(self):
        """Start anew."""
        self.term, self.sequence, self.tokens, self.until_ms = 0, 0, {}, 0.0


@attrs.define(eq=False)
class Daemon(Process):
    """What a daemon's process keeps in memory."""

    seen: dict = attrs.Factory(dict)
    roles: dict = attrs.Factory(dict)
    ledgers: dict = attrs.Factory(dict)
    heard_ms: dict = attrs.Factory(dict)
    missed: collections.Counter = attrs.Factory(collections.Counter)
    busy: set = attrs.Factory(set)
    reports: dict = attrs.Factory(dict)
    registered: bool = False

    @property
    def identity(self):
        """Name the running process to others."""
        return f"{self.name}#{self.boot_id}"

    def forget(self):
        """Start anew: nothing of a daemon is on a disk."""
        fresh = Daemon(self.name, self.rate, self.offset_ms)
        for field in ("seen", "roles", "ledgers", "heard_ms", "missed", "busy"):
            setattr(self, field, getattr(fresh, field))
        self.reports, self.registered = {}, False


class World:
    """Three daemons in two failure domains, two servers, one platform."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        # The rules must not rest on how the three lengths compare.
        self.right_ms = self.random.choice((500.0, 800.0, 2500.0))
        self.grant_ms = self.random.choice((400.0, 1200.0, 2500.0))
        self.silence_ms = self.random.choice((200.0, 500.0))
        self.now = 0.0
        self.queue = []
        self.n_events = 0
        self.cuts = set()
        self.blind = set()
        self.platform_mode = "ok"
        self.loss = 0.0
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
            self.boot(daemon)

    # Time and processes.

    def clock(self, process):
        """Read the clock of a process."""
        return process.offset_ms + process.rate * self.now

    def after(self, process, delay_ms, action):
        """Run something in a process later, unless that process is gone by then."""
        self.n_events += 1
        due = (self.now + delay_ms, self.n_events, process, process.boot, action)
        heapq.heappush(self.queue, due)

    def every(self, process, period_ms, action):
        """Run something in a process again and again."""

        def again():
            action()
            self.after(process, period_ms * self.random.uniform(0.9, 1.1), again)

        self.after(process, self.random.uniform(0, period_ms), again)

    def run(self, for_ms):
        """Let time pass."""
        until = self.now + for_ms
        while self.queue and self.queue[0][0] <= until:
            self.now, _, process, boot, action = heapq.heappop(self.queue)
            if process.boot != boot:
                continue
            if process.frozen:
                process.buffer.append((boot, action))
                continue
            action()
            self.check()
        self.now = until

    def freeze(self, name):
        """Stop a process; what arrives stays in its socket buffers."""
        self.processes[name].frozen = True

    def thaw(self, name):
        """Let a process go on: it first meets what is in its buffers."""
        process = self.processes[name]
        process.frozen = False
        waiting, process.buffer = process.buffer, []
        self.random.shuffle(waiting)
        for boot, action in waiting:
            if process.boot == boot:
                self.after(process, self.random.uniform(0, 5), action)

    def restart(self, name):
        """Kill a process and start it again."""
        process = self.processes[name]
        process.boot += 1
        process.frozen, process.buffer = False, []
        process.forget()
        if name in self.daemons:
            self.boot(process)

    # Messages.

    def delay_ms(self):
        """Draw how long a message is under way, or None if it is lost."""
        if self.random.random() < self.loss / 2:
            return None
        if self.random.random() < self.loss:
            longest_ms = self.random.choice((120, 120, 2500))
            return self.random.uniform(50, longest_ms)
        return self.random.uniform(0.5, 3)

    def send(self, source, target, action):
        """Carry one message, perhaps late, twice or not at all."""
        if (source.name, getattr(target, "name", "platform")) in self.cuts:
            return
        copies = 2 if self.random.random() < self.loss / 2 else 1
        for _ in range(copies):
            delay = self.delay_ms()
            if delay is not None:
                self.after(target, delay, action)

    def call(self, daemon, target, serve, on_answer, on_silence, timeout_ms=TIMEOUT_MS):
        """Ask another process; an answer after the timeout is never read."""
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
        """Send a conditional update; ``on_answer(version, spec)`` shows the result."""

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
        if self.platform_mode == "swallow":
            self.send(daemon, target, serve)
            self.after(daemon, PLATFORM_TIMEOUT_MS, on_silence)
            return
        self.call(daemon, target, serve, on_shown, on_silence, PLATFORM_TIMEOUT_MS)

    def watch(self, daemon):
        """Read all objects, as they were some time ago."""
        if self.platform_mode == "down" or (daemon.name, "platform") in self.cuts:
            return
        if daemon.name in self.blind:
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
        """Take in objects; versions only go up."""
        for name, (version, spec) in objects.items():
            if daemon.seen.get(name, (0, None))[0] >= version:
                continue
            daemon.seen[name] = (version, spec)

    # A daemon, as the roles join the decisions.

    def boot(self, daemon):
        """Start a daemon's tasks."""
        self.every(daemon, WATCH_MS, lambda: self.watch(daemon))
        self.every(daemon, TICK_MS, lambda: self.tick(daemon))
        self.every(daemon, PING_MS, lambda: self.ping(daemon))
        self.every(daemon, PLANNING_MS, lambda: self.plan(daemon))
        for server in self.servers.values():
            self.every(daemon, RENEWAL_MS, lambda s=server: self.attend(daemon, s))

    def register(self, daemon):
        """Register, as the first thing a daemon does."""
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
        """Look after all roles."""
        if not daemon.registered:
            self.register(daemon)
            return
        for role in (PLANNER, *self.servers):
            if role not in daemon.busy:
                self.look_after(daemon, role)

    def role(self, daemon, role):
        """Return a daemon's state of a role, up to date with what it has seen."""
        state = daemon.roles.get(role)
        if state is None:
            right_ms = self.right_ms * self.random.choice((1, 1, 1.5))
            state = terms.RoleTerm(role, daemon.identity, right_ms)
            daemon.roles[role] = state
        version, term = daemon.seen.get(role, (0, None))
        if term is not None:
            state.see(term, version, self.clock(daemon))
        return state

    def look_after(self, daemon, role):
        """Claim or keep one role."""
        state, now = self.role(daemon, role), self.clock(daemon)
        version, term = daemon.seen.get(role, (0, None))
        successor, lasting = self.wanted(daemon, role)
        request_id = f"{daemon.identity}-{self.n_events}"
        if state.held is not None:
            write = state.keep(now, successor, lasting, request_id)
        elif state.claiming is None and not self.may_claim(daemon, role, term, version):
            return
        else:
            word = None
            gone = self.departed(daemon, term, version)
            if term is not None and term.holder and not gone:
                word = daemon.heard_ms.setdefault(term.holder, now)
            grant_ms = self.grant_ms * self.random.choice((1, 1, 1.5))
            plan = terms.ClaimPlan(successor, lasting, word, grant_ms)
            write = state.claim(term, version, now, plan, request_id)
        if write is not None:
            self.write_term(daemon, state, write)

    def write_term(self, daemon, state, write):
        """Send an update of a term."""
        daemon.busy.add(state.role)
        sent_ms = self.clock(daemon)

        def on_answer(shown):
            daemon.busy.discard(state.role)
            if shown is not None:
                now = self.clock(daemon)
                state.see(shown[1], shown[0], now, self.counted_from(sent_ms, now))

        free = lambda: daemon.busy.discard(state.role)
        spec, expected = write.term, write.expected_version
        self.put(daemon, state.role, spec, expected, on_answer, free)

    def counted_from(self, sent_ms, now_ms):
        """Return the moment from which a right is counted."""
        return sent_ms

    def may_claim(self, daemon, role, term, version):
        """Ask the package's rule; outsiders only follow a holder that named them."""
        vacant = term is None or not term.holder
        near = role == PLANNER or DOMAINS[role] == DOMAINS[daemon.name]
        if not near and (vacant or term.successor != daemon.identity):
            return False
        silent = lambda identity: (
            self.clock(daemon)
            - daemon.heard_ms.setdefault(identity, self.clock(daemon))
            > self.silence_ms
        )
        gone = lambda identity: self.departed(daemon, term, version)
        return terms.may_claim(term, daemon.identity, gone, silent)

    def departed(self, daemon, term, version):
        """Ask the package's rule about a term's holder."""
        if term is None or not term.holder:
            return False
        member_version, member = daemon.seen.get(
            term.holder.partition("#")[0], (0, None)
        )
        return terms.has_departed(term.holder, version, member, member_version)

    def wanted(self, daemon, role):
        """Choose a successor that seems to be up; an outsider only at need."""
        up = []
        for other in self.daemons:
            member = daemon.seen.get(other, (0, None))[1]
            if other != daemon.name and member and daemon.missed[other] < 2:
                up.append(f"{other}#{member.boot_id}")
        if role == PLANNER:
            return (up[0] if up else ""), False
        near = [i for i in up if DOMAINS[i[:2]] == DOMAINS[daemon.name]]
        if near:
            return near[0], False
        return (up[0] if up else ""), bool(up)

    def ping(self, daemon):
        """Ask all other daemons for their word."""
        for other in self.daemons.values():
            if other is daemon:
                continue
            sent_ms = self.clock(daemon)
            self.call(
                daemon,
                other,
                lambda o=other, me=daemon.identity: self.word(o, me),
                lambda word, o=other, s=sent_ms: self.on_ping_answer(
                    daemon, o, word, s
                ),
                lambda o=other: daemon.missed.update([o.name]),
            )

    def word(self, daemon, asker):
        """Answer a ping."""
        daemon.heard_ms[asker] = self.clock(daemon)
        taken = {r: s.revoked_for(asker) for r, s in daemon.roles.items()}
        return daemon.identity, taken

    def on_ping_answer(self, daemon, other, word, sent_ms):
        """Use a word for all terms that name the other daemon."""
        daemon.missed[other.name] = 0
        identity, taken = word
        sent_ms = self.counted_from(sent_ms, self.clock(daemon))
        for role, state in daemon.roles.items():
            if state.held is not None and state.held.number > taken.get(role, 0):
                state.held.confirmed_by_successor(identity, sent_ms)

    def attend(self, daemon, server):
        """Renew a server's grant, as its steward."""
        state = self.role(daemon, server.name)
        if state.held is None:
            daemon.ledgers.pop(server.name, None)
            return
        ledger = daemon.ledgers.get(server.name)
        if ledger is None or ledger.term != state.held.number:
            ledger = daemon.ledgers[server.name] = self.new_ledger(state)
        key = f"attend {server.name}"
        if key in daemon.busy:
            return
        if not self.registered(daemon, server.name, ledger):
            return
        daemon.busy.add(key)
        grant, now = None, self.clock(daemon)
        assignment = daemon.seen[ASSIGNMENT][1]
        if state.held.may_renew_grants(now):
            known_only = not state.held.may_act(now)
            tokens = assignments.tokens_of(assignment, server.name)
            grant = ledger.next_grant(tokens, now, known_only)

        def serve():
            accepted = server.take(grant) if grant is not None else True
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
        """Start to account for a server's grants."""
        ends_ms = state.earlier_right_ends_ms
        wanted_ms = self.grant_ms * self.random.choice((1, 1, 1.5))
        longest_ms = max(wanted_ms, state.held.longest_grant_ms)
        inherited_ms = ends_ms + END_MARGIN_MS + longest_ms * terms.RIGHT_MARGIN
        if state.held.unbounded:
            inherited_ms = None
        return GrantLedger(
            state.held.number, state.held.grant_ms(wanted_ms), inherited_ms, ends_ms
        )

    def registered(self, daemon, server, ledger):
        """Make the assignment show a steward's term."""
        version, assignment = daemon.seen.get(ASSIGNMENT, (0, None))
        new = assignments.with_steward_term(assignment, server, ledger.term, "r")
        if new is not None and ASSIGNMENT not in daemon.busy:
            self.write_assignment(daemon, new, version)
        return assignment is not None and assignments.may_grant(
            assignment, server, ledger.term
        )

    def write_assignment(self, daemon, assignment, version):
        """Send an update of the assignment."""
        daemon.busy.add(ASSIGNMENT)
        free = lambda *_: daemon.busy.discard(ASSIGNMENT)
        self.put(daemon, ASSIGNMENT, assignment, version, free, free)

    def report(self, daemon, server, condition):
        """Tell whoever plans about a server."""
        for other in self.daemons.values():
            take = lambda o=other: o.reports.update({server: condition})
            self.send(daemon, other, take)

    def plan(self, daemon):
        """Take the planner's next step."""
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

        def closed(found=()):
            released.update((i, assignment.slices[i].token) for i in found)
            open_calls.pop()
            if not open_calls:
                finish()

        asked = assignments.slices_to_release(assignment)
        open_calls.extend([None] * (len(asked) + 1))
        for server, indexes in asked.items():
            self.ask(daemon, server, indexes, version, assignment, closed)
        closed()

    def ask(self, daemon, server, indexes, version, assignment, closed):
        """Ask a server's steward for proof of release."""
        if server not in assignment.stewards:
            closed(indexes)
            return
        _, term = daemon.seen.get(server, (0, None))
        steward = self.daemons.get(term.holder[:2]) if term else None
        if steward is None:
            closed()
            return
        number = assignment.stewards[server]
        serve = lambda: self.prove(steward, server, indexes, version, number)
        self.call(daemon, steward, serve, closed, closed)

    def prove(self, daemon, server, indexes, version, number):
        """Answer a planner, as steward."""
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

    # What must hold.

    def fail(self, what):
        """Stop at a broken promise; the trace tells how it came about."""
        raise BrokenPromiseError(f"{self.now:.0f}: {what}")

    def check(self):
        """Look at the whole world after each event."""
        self.check_one_holder()
        self.check_one_owner()

    def check_one_holder(self):
        """Never two holders that each may act and have waited for the one before."""
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
                raise BrokenPromiseError(
                    f"{self.now:.0f}: {role} has two holders: {acting}"
                )

    def check_one_owner(self):
        """Never two servers willing to execute one slice; no proof is belied."""
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
                    raise BrokenPromiseError(
                        f"{self.now:.0f}: {server.name} holds {index} again"
                    )

    def check_assignment(self):
        """Tokens only go up; a change of owner rests on a proof from now on."""
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
                raise BrokenPromiseError(
                    f"{self.now:.0f}: steward term of {server} went down"
                )
        self.check_one_owner()


FAULTS = ("freeze", "thaw", "restart", "cut", "isolate", "blind", "heal")
FAULTS += ("platform", "loss", "weight")
PROCESSES = ("d0", "d1", "d2", "s0", "s1")
MODES = ("ok", "ok", "down", "slow", "swallow", "stale")


def bring_about(world, fault, draw):
    """Bring about one fault; ``draw(options)`` chooses among options."""
    world.trace.append(f"{world.now:.0f} {fault}")
    if fault in ("freeze", "thaw", "restart"):
        getattr(world, fault)(draw(PROCESSES))
    elif fault == "cut":
        one, other = draw(PROCESSES), draw((*PROCESSES, "platform"))
        world.cuts.add((one, other))
        if draw((True, False)):
            world.cuts.add((other, one))
    elif fault == "isolate":
        # Cut off from platform and daemons, but not from the servers.
        one = draw(("d0", "d1", "d2"))
        others = {"d0", "d1", "d2", "platform"} - {one}
        world.cuts |= {(one, o) for o in others} | {(o, one) for o in others}
    elif fault == "blind":
        world.blind.add(draw(("d0", "d1", "d2")))
    elif fault == "heal":
        world.cuts.clear()
        world.blind.clear()
    elif fault == "platform":
        world.platform_mode = draw(MODES)
    elif fault == "loss":
        world.loss = draw((0.0, 0.1, 0.3))
    elif fault == "weight":
        world.weights[draw(("s0", "s1"))] = draw((0.0, 1.0, 1.0))


def run_seed(seed, n_faults=40):
    """Run a world under the schedule of faults that a seed stands for."""
    world = World(seed)
    chooser = random.Random(f"faults {seed}")
    world.run(1500)
    for _ in range(n_faults):
        bring_about(world, chooser.choice(FAULTS), chooser.choice)
        world.run(chooser.choice((20, 100, 300, 700, 1500)))
    return world


def holder_of(world, role):
    """Return the name of the daemon that holds a role, or of any."""
    for name, daemon in world.daemons.items():
        state = daemon.roles.get(role)
        if state is not None and state.held is not None:
            return name
    return "d0"


def cut_off(world, name, others):
    """Cut one process off from others, in both directions."""
    for other in others:
        world.cuts |= {(name, other), (other, name)}


def story_takeover(world, draw):
    """A steward loses platform and peers; then its server restarts and is emptied."""
    server = draw(("s0", "s1"))
    old = holder_of(world, server)
    cut_off(world, old, {"d0", "d1", "d2", "platform"} - {old})
    if draw((True, False)):
        world.run(draw(range(0, 2500, 50)))
    else:
        # The new steward has just been accepted when it loses the server.
        for _ in range(300):
            world.run(10)
            ledger = world.daemons[old].ledgers.get(server)
            if ledger is None or world.servers[server].term > ledger.term:
                break
        cut_off(world, server, {"d0", "d1", "d2"} - {old})
    world.restart(server)
    world.run(draw(range(0, 600, 20)))
    world.weights[server] = 0.0
    world.run(3000)


def story_rename(world, draw):
    """A holder names another successor, and another again, on a slow platform."""
    role = draw((PLANNER, "s0"))
    old = holder_of(world, role)
    world.blind.add(old)
    first, second = [n for n in ("d0", "d1", "d2") if n != old]
    world.platform_mode = "slow"
    cut_off(world, old, (first,))
    world.run(draw(range(300, 1500, 50)))
    world.cuts.clear()
    cut_off(world, old, (second,))
    world.run(draw(range(0, 600, 50)))
    world.platform_mode = draw(("ok", "slow", "down"))
    world.run(4000)
    world.platform_mode = "ok"
    world.run(2500)


def story_silence(world, draw):
    """Messages are slow; then a server freezes or is cut off, and is replaced."""
    server = draw(("s0", "s1"))
    world.loss = 0.3
    world.run(draw(range(500, 1500, 50)))
    world.loss = 0.0
    if draw((True, False)):
        world.freeze(server)
    else:
        cut_off(world, server, ("d0", "d1", "d2"))
    world.run(world.grant_ms + 1500)
    world.thaw(server)


STORIES = (story_takeover, story_rename, story_silence)


def run_story(seed, n_stories=4):
    """Run a world through stories in which a seed sets all times."""
    world = World(seed)
    chooser = random.Random(f"stories {seed}")
    world.run(2500)
    for _ in range(n_stories):
        story = chooser.choice(STORIES)
        world.trace.append(f"{world.now:.0f} {story.__name__}")
        story(world, chooser.choice)
        world.cuts.clear()
        world.blind.clear()
        world.platform_mode, world.loss = "ok", 0.0
        world.weights = {"s0": 1.0, "s1": 1.0}
        world.run(chooser.choice((500, 2500)))
    return world
