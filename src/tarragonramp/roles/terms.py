"""Takes, keeps and hands over the terms of this daemon."""

import uuid

import attrs
import gevent
import gevent.pool
import xxhash
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import ConflictError
from ..model import KIND_TERM, Term
from ..terms import ClaimPlan, RoleTerm, may_claim
from ..view import planner_role, steward_role

__all__ = ["TermKeeper"]

TICK_MS = 50
RANK_DELAY_MS = 700
MAX_WRITES_AT_ONCE = 8
HAND_OVER_TRIES = 3
HAND_OVER_RETRY_MS = 100


@attrs.define(eq=False, repr=False)
class TermKeeper:
    """All terms of one daemon.

    Parameters
    ----------
    view : View
    platform : Platform
    membership : Membership
    clock : Clock
    timing : Timing
    """

    view: object
    platform: object
    membership: object
    clock: object
    timing: object
    leaving: bool = False
    stopping: bool = False
    _changed: bool = True
    _states: dict = attrs.Factory(dict)
    _unheld_since_ms: dict = attrs.Factory(dict)
    _named_since_ms: dict = attrs.Factory(dict)
    _busy: set = attrs.Factory(set)

    @property
    def holdings(self):
        """Roles held here, each with its RoleTerm."""
        return {r: s for r, s in self._states.items() if s.held is not None}

    def holding(self, role):
        """Return the RoleTerm of a role held here, or None.

        What is None here may still be under way: only a held term gives any right.
        """
        state = self._states.get(role)
        return state if state is not None and state.held is not None else None

    def may_act(self, role):
        """Tell whether this daemon may act in a role at this moment."""
        state = self.holding(role)
        return state is not None and state.held.may_act(self.clock.now_ms())

    def taken_from(self, identity):
        """Return, by role, up to which number a daemon gets no word any more."""
        numbers = {r: s.revoked_for(identity) for r, s in self._states.items()}
        return {role: number for role, number in numbers.items() if number}

    def named(self):
        """Return the identities that the terms held here name as successors."""
        found = set()
        for state in self.holdings.values():
            found.add(state.held.successor)
            if state.held.pending is not None:
                found.add(state.held.pending.term.successor)
        return found

    def on_word(self, answer, sent_ms):
        """Use a neighbour's word for all terms that name it."""
        for role, state in self._states.items():
            held = state.held
            if held is not None and held.number > answer.taken.get(role, 0):
                held.renewed_by_successor(answer.identity, sent_ms)

    def run(self):
        """Look after all roles, for ever.

        Load: with hundreds of VMs most roles are other daemons' and only a change of
        the view can make them this one's business. Harm prevented: a scan of them all
        at each tick, which alone would take more than a daemon's share of a core.
        """
        self.view.on_change(self._note_change)
        open_roles = []
        while not self.stopping:
            changed, self._changed = self._changed, False
            roles = list(self._roles()) if changed else open_roles
            for role, vm in roles:
                if role not in self._busy and len(self._busy) < MAX_WRITES_AT_ONCE:
                    self._look_after(role, vm)
            if changed:
                open_roles = [(role, vm) for role, vm in roles if self._is_open(role)]
            gevent.sleep(TICK_MS / 1000.0)

    def _note_change(self):
        self._changed = True

    def _is_open(self, role):
        """Tell whether time alone may make a role this daemon's business."""
        state, term = self._states.get(role), self.view.term(role)
        if state is not None and (state.held or state.claiming is not None):
            return True
        if term is None or not term.holder:
            return True
        if self.membership.me.identity in (term.holder, term.successor):
            return True
        version = self.view.version_of(KIND_TERM, role)
        return self.membership.departed(term.holder, version)

    def leave(self):
        """Take no further terms; keep those that are held."""
        self.leaving = True

    def hand_over_all(self, timeout_ms):
        """Give every term to its successor, or to nobody, before a planned stop.

        While the platform is down nobody else can take a term, and the servers'
        grants would run out: so this daemon acts on until it answers, for a time.

        Parameters
        ----------
        timeout_ms : float
            How long to wait for the platform to answer at all.

        Returns
        -------
        all_handed : bool
            False if the platform has not confirmed each of them; then this daemon
            must stay registered, or nobody could learn that it has gone.
        """
        until_ms = self.clock.now_ms() + timeout_ms
        while self.holdings and not self._platform_answers():
            if self.clock.now_ms() > until_ms:
                break
            gevent.sleep(HAND_OVER_RETRY_MS / 1000.0)
        self.stopping = True
        targets = self._targets()
        held = [state for state in self._states.values() if state.held is not None]
        pool = gevent.pool.Pool(MAX_WRITES_AT_ONCE)
        tasks = [pool.spawn(self._hand_over, s, targets[s.role]) for s in held]
        gevent.joinall(tasks)
        return all(task.value for task in tasks) and not self._claims_in_doubt()

    def _platform_answers(self):
        result = self.platform.get(KIND_TERM, next(iter(self.holdings)))
        return is_successful(result)

    def _targets(self):
        """Return by role who is to have it: the successor, unless it goes too."""
        vms = dict(self._roles())
        targets = {}
        for role, state in self.holdings.items():
            named = state.held.successor
            if self.membership.seems_down(named) or self.membership.leaves(named):
                named, _ = self._wanted(vms.get(role))
            targets[role] = named
        return targets

    def _claims_in_doubt(self):
        return any(state.claiming is not None for state in self._states.values())

    def _roles(self):
        """Return roles to look after, each with the VM if it is a steward's."""
        own = self.membership.me.failure_domain
        identity = self.membership.me.identity
        services = self.view.services()
        for vm in list(self.view.vms.values()):
            if (vm.team, vm.service) not in services:
                continue
            role = steward_role(vm.team, vm.service, vm.name)
            term = self.view.term(role)
            named = term is not None and identity in (term.holder, term.successor)
            if vm.failure_domain == own or named or role in self._states:
                yield role, vm
        for team in {team for team, _ in services}:
            yield planner_role(team), None

    def _state(self, role):
        state = self._states.get(role)
        if state is None:
            identity = self.membership.me.identity
            state = RoleTerm(role, identity, self.timing.right_ms)
            self._states[role] = state
        return state

    def _look_after(self, role, vm):
        state = self._state(role)
        term, version = self.view.term(role), self.view.version_of(KIND_TERM, role)
        if term is not None:
            self._see(state, term, version)
        if state.held is not None:
            self._keep(state, vm)
            return
        if state.claiming is not None or self._may_claim(role, term, version, vm):
            self._claim(state, term, version, vm)

    def _see(self, state, term, version, sent_ms=None):
        before = state.held.number if state.held is not None else 0
        state.see(term, version, self.clock.now_ms(), sent_ms)
        after = state.held.number if state.held is not None else 0
        if before and not after:
            log_event("term-lost", role=state.role, term=before, to=term.holder)
        if after > before:
            self._unheld_since_ms.pop(state.role, None)
            log_event(
                "term-taken",
                role=state.role,
                term=after,
                successor=term.successor,
                lasting=term.lasting,
            )

    def _may_claim(self, role, term, version, vm):
        identity = self.membership.me.identity
        named = term is not None and term.successor == identity
        if self.leaving or (not self._is_near(vm) and not named):
            return False
        departed = lambda holder: self.membership.departed(holder, version)
        silent = lambda holder: self._is_silent(role, holder)
        if not may_claim(term, identity, departed, silent):
            return False
        return named or self._is_turn(role, vm)

    def _is_silent(self, role, holder):
        """Tell whether a holder has been silent since it named this daemon.

        Guards against a takeover from a holder that has just renamed its successor: it
        pinged this daemon rarely until then, and its next ping is on its way.
        """
        now_ms = self.clock.now_ms()
        version = self.view.version_of(KIND_TERM, role)
        seen_version, since_ms = self._named_since_ms.get(role, (0, now_ms))
        if seen_version != version:
            since_ms = now_ms
            self._named_since_ms[role] = (version, since_ms)
        waited = now_ms - since_ms > self.timing.silence_ms
        return waited and self.membership.silent(holder)

    def _is_near(self, vm):
        return vm is None or vm.failure_domain == self.membership.me.failure_domain

    def _is_turn(self, role, vm):
        """Stagger claims on terms that nobody holds.

        Without it every daemon would write at once after a start of the fleet; one
        write wins and the others only load the platform.
        """
        since_ms = self._unheld_since_ms.setdefault(role, self.clock.now_ms())
        waited_ms = self.clock.now_ms() - since_ms
        return waited_ms >= self._rank(role, vm) * RANK_DELAY_MS

    def _rank(self, role, vm):
        own = self.membership.me.failure_domain
        names = [
            name
            for name, member in self.view.members().items()
            if vm is None or member.failure_domain == own
        ]
        names.sort(key=lambda name: _rendezvous(role, name))
        me = self.membership.me.name
        return names.index(me) if me in names else len(names)

    def _wanted(self, vm):
        """Choose the successor to name, and whether the holder may outlast its right.

        A steward's successor is a daemon of the same failure domain, so that a domain
        that is cut off goes on serving. Where there is no other, an outsider is named
        only if the server itself refuses superseded stewards: the holder then goes on
        renewing although the outsider is out of reach. Otherwise nobody is named, and
        the term waits for its holder's return or the news that it departed.
        """
        if vm is None:
            return self.membership.successor(False), False
        if self._is_near(vm):
            near = self.membership.successor(True)
            if near:
                return near, False
        service = self.view.services().get((vm.team, vm.service))
        if service is None or not service.checks_grants:
            return "", False
        outsider = self.membership.successor(False)
        return outsider, bool(outsider)

    def _grant_ms(self, vm):
        service = vm and self.view.services().get((vm.team, vm.service))
        return service.grant_ms if service else 0.0

    def _claim(self, state, term, version, vm):
        now_ms = self.clock.now_ms()
        successor, lasting = self._wanted(vm)
        word_ms = None
        if term is not None and term.holder:
            departed = self.membership.departed(term.holder, version)
            if not departed:
                word_ms = self.membership.last_heard_ms(term.holder)
        plan = ClaimPlan(successor, lasting, word_ms, self._grant_ms(vm))
        write = state.claim(term, version, now_ms, plan, uuid.uuid4().hex)
        self._spawn(state, write)

    def _keep(self, state, vm):
        successor, lasting = self._wanted(vm)
        request_id = uuid.uuid4().hex
        write = state.keep(self.clock.now_ms(), successor, lasting, request_id)
        if write is not None:
            self._spawn(state, write)

    def _spawn(self, state, write):
        def run():
            try:
                self._write(state, write)
            finally:
                self._busy.discard(state.role)

        self._busy.add(state.role)
        gevent.spawn(run)

    def _write(self, state, write):
        """Send an update; its answer shows the term, whether granted or refused."""
        sent_ms = self.clock.now_ms()
        spec = attrs.asdict(write.term)
        result = self.platform.put(KIND_TERM, state.role, spec, write.expected_version)
        stored = self._shown(result)
        if stored is None:
            log_event("term-write-failed", role=state.role, error=result.failure())
            return
        # The view may hold a newer version by now; this one still counts for the right.
        term = Term.from_spec(stored.spec)
        self._see(state, term, stored.version, sent_ms)

    def _shown(self, result):
        """Return the object that an answer shows, and take it into the view."""
        if is_successful(result):
            stored = result.unwrap()
        else:
            error = result.failure()
            stored = error.current if isinstance(error, ConflictError) else None
        if stored is None or stored.spec is None:
            return None
        self.view.apply(stored)
        return stored

    def _hand_over(self, state, to):
        write = state.give_up(self.clock.now_ms(), to, uuid.uuid4().hex)
        spec = attrs.asdict(write.term)
        version = write.expected_version
        for _ in range(HAND_OVER_TRIES):
            result = self.platform.put(KIND_TERM, state.role, spec, version)
            stored = self._shown(result)
            if stored is None:
                continue
            if stored.spec["number"] >= write.term.number:
                log_event("term-handed-over", role=state.role, to=to)
                return True
            # An update of ours that was in doubt has landed meanwhile.
            version = stored.version
        log_event("hand-over-failed", role=state.role)
        return False


def _rendezvous(role, name):
    return xxhash.xxh3_64_intdigest(f"{role}/{name}".encode())
