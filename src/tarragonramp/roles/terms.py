"""Claims, renews and hands over the terms of this daemon."""

import uuid

import attrs
import gevent
import gevent.pool
import xxhash

from ..adapters.logs import log_event
from ..errors import ConflictError
from ..model import KIND_TERM, Term
from ..results import is_successful
from ..terms import ClaimPlan, RoleTerm, may_claim
from ..view import planner_role, steward_role

__all__ = ["TermKeeper"]

TICK_MS = 50
CLAIM_STAGGER_MS = 700
MAX_CONCURRENT_WRITES = 8
HAND_OVER_TRIES = 3
HAND_OVER_RETRY_MS = 100


@attrs.define(eq=False, repr=False)
class TermKeeper:
    """Manages all terms of one daemon.

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
    _view_changed: bool = True
    _states: dict = attrs.Factory(dict)
    _unheld_since_ms: dict = attrs.Factory(dict)
    _named_since_ms: dict = attrs.Factory(dict)
    _writing: set = attrs.Factory(set)

    @property
    def holdings(self):
        """The RoleTerm of each role held here, by role."""
        return {r: s for r, s in self._states.items() if s.held is not None}

    def holding(self, role):
        """Return the RoleTerm of a role held here, or None.

        A claim that is still in flight does not count: only a held term gives a right.
        """
        state = self._states.get(role)
        return state if state is not None and state.held is not None else None

    def may_act(self, role):
        """Return whether this daemon may act in a role now."""
        state = self.holding(role)
        return state is not None and state.held.may_act(self.clock.now_ms())

    def revoked_terms(self, identity):
        """Return, by role, up to which term number a holder is not confirmed any more.

        Parameters
        ----------
        identity : str
            Of the holder that asks for confirmation.
        """
        numbers = {r: s.revoked_for(identity) for r, s in self._states.items()}
        return {role: number for role, number in numbers.items() if number}

    def named_successors(self):
        """Return the identities that the terms held here name as successors."""
        found = set()
        for state in self.holdings.values():
            found.add(state.held.successor)
            if state.held.pending is not None:
                found.add(state.held.pending.term.successor)
        return found

    def on_ping_answer(self, answer, sent_ms):
        """Extend the rights that the answer to a ping confirms.

        Parameters
        ----------
        answer : PingAnswer
        sent_ms : float
            When the ping was sent.
        """
        for role, state in self._states.items():
            held = state.held
            if held is not None and held.number > answer.taken.get(role, 0):
                held.confirmed_by_successor(answer.identity, sent_ms)

    def run(self):
        """Claim and renew terms. Never returns.

        With hundreds of VMs most roles belong to other daemons, and only a change of
        the view can require action here. So all roles are checked after a change, and
        only those that may need action at each tick: checking all of them takes more
        than a daemon's share of a core.
        """
        self.view.on_change(self._on_view_change)
        polled_roles = []
        while not self.stopping:
            changed, self._view_changed = self._view_changed, False
            roles = list(self._roles()) if changed else polled_roles
            for role, vm in roles:
                if (
                    role not in self._writing
                    and len(self._writing) < MAX_CONCURRENT_WRITES
                ):
                    self._check_role(role, vm)
            if changed:
                polled_roles = [
                    (role, vm) for role, vm in roles if self._may_need_action(role)
                ]
            gevent.sleep(TICK_MS / 1000.0)

    def _on_view_change(self):
        self._view_changed = True

    def _may_need_action(self, role):
        """Return whether a role may need action without a change of the view."""
        state, term = self._states.get(role), self.view.term(role)
        if state is not None and (state.held or state.claiming is not None):
            return True
        if term is None or not term.holder:
            return True
        if self.membership.me.identity in (term.holder, term.successor):
            return True
        version = self.view.version_of(KIND_TERM, role)
        return self.membership.is_departed(term.holder, version)

    def leave(self):
        """Stop claiming terms; those that are held are still renewed."""
        self.leaving = True

    def hand_over_all(self, timeout_ms):
        """Hand over every held term before a planned stop.

        Each goes to its successor, or is left without a holder. While the platform is
        down no other daemon can take a term, and the servers' grants would expire: so
        this daemon keeps acting until the platform answers or the timeout passes.

        Parameters
        ----------
        timeout_ms : float
            How long to wait for the platform to answer at all.

        Returns
        -------
        all_handed : bool
            False if the platform has not confirmed each of them. Then this daemon
            must stay registered, since its departure could not be detected otherwise.
        """
        until_ms = self.clock.now_ms() + timeout_ms
        while self.holdings and not self._platform_answers():
            if self.clock.now_ms() > until_ms:
                break
            gevent.sleep(HAND_OVER_RETRY_MS / 1000.0)
        self.stopping = True
        next_holders = self._next_holders()
        held = [state for state in self._states.values() if state.held is not None]
        pool = gevent.pool.Pool(MAX_CONCURRENT_WRITES)
        tasks = [pool.spawn(self._hand_over, s, next_holders[s.role]) for s in held]
        gevent.joinall(tasks)
        return all(task.value for task in tasks) and not self._claims_in_doubt()

    def _platform_answers(self):
        result = self.platform.get(KIND_TERM, next(iter(self.holdings)))
        return is_successful(result)

    def _next_holders(self):
        """Return the next holder of each role held here.

        That is the successor, or another candidate if the successor seems down or is
        stopping too.
        """
        vms = dict(self._roles())
        next_holders = {}
        for role, state in self.holdings.items():
            chosen = state.held.successor
            if self.membership.seems_down(chosen) or self.membership.is_leaving(chosen):
                chosen, _ = self._choose_successor(vms.get(role))
            next_holders[role] = chosen
        return next_holders

    def _claims_in_doubt(self):
        return any(state.claiming is not None for state in self._states.values())

    def _roles(self):
        """Yield the roles that concern this daemon, each with its VM.

        The VM is None for a planner's role.
        """
        own_domain = self.membership.me.failure_domain
        identity = self.membership.me.identity
        services = self.view.services()
        for vm in list(self.view.vms.values()):
            if (vm.team, vm.service) not in services:
                continue
            role = steward_role(vm.team, vm.service, vm.name)
            term = self.view.term(role)
            is_named = term is not None and identity in (term.holder, term.successor)
            if vm.failure_domain == own_domain or is_named or role in self._states:
                yield role, vm
        for team in {team for team, _ in services}:
            yield planner_role(team), None

    def _state_of(self, role):
        state = self._states.get(role)
        if state is None:
            identity = self.membership.me.identity
            state = RoleTerm(role, identity, self.timing.right_ms)
            self._states[role] = state
        return state

    def _check_role(self, role, vm):
        state = self._state_of(role)
        term, version = self.view.term(role), self.view.version_of(KIND_TERM, role)
        if term is not None:
            self._apply_term(state, term, version)
        if state.held is not None:
            self._renew(state, vm)
            return
        if state.claiming is not None or self._may_claim(role, term, version, vm):
            self._claim(state, term, version, vm)

    def _apply_term(self, state, term, version, sent_ms=None):
        before = state.held.number if state.held is not None else 0
        state.observe(term, version, self.clock.now_ms(), sent_ms)
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
        is_successor = term is not None and term.successor == identity
        if self.leaving or (not self._is_local(vm) and not is_successor):
            return False
        is_departed = lambda holder: self.membership.is_departed(holder, version)
        is_silent = lambda holder: self._is_silent(role, holder)
        if not may_claim(term, identity, is_departed, is_silent):
            return False
        return is_successor or self._claim_delay_has_passed(role, vm)

    def _is_silent(self, role, holder):
        """Return whether a holder has been silent since it named this daemon.

        Guards against a takeover from a holder that has just changed its successor to
        this daemon: it pinged this daemon rarely until then, and its next ping may not
        have arrived yet.
        """
        now_ms = self.clock.now_ms()
        version = self.view.version_of(KIND_TERM, role)
        seen_version, since_ms = self._named_since_ms.get(role, (0, now_ms))
        if seen_version != version:
            since_ms = now_ms
            self._named_since_ms[role] = (version, since_ms)
        waited = now_ms - since_ms > self.timing.silence_ms
        return waited and self.membership.is_silent(holder)

    def _is_local(self, vm):
        return vm is None or vm.failure_domain == self.membership.me.failure_domain

    def _claim_delay_has_passed(self, role, vm):
        """Return whether this daemon's delay for claiming an unheld term has passed.

        Claims are staggered by rank. Otherwise all daemons would write at once after a
        start of the fleet; one write succeeds and the others only load the platform.
        """
        since_ms = self._unheld_since_ms.setdefault(role, self.clock.now_ms())
        waited_ms = self.clock.now_ms() - since_ms
        return waited_ms >= self._claim_rank(role, vm) * CLAIM_STAGGER_MS

    def _claim_rank(self, role, vm):
        own_domain = self.membership.me.failure_domain
        names = [
            name
            for name, member in self.view.members().items()
            if vm is None or member.failure_domain == own_domain
        ]
        names.sort(key=lambda name: _rendezvous(role, name))
        me = self.membership.me.name
        return names.index(me) if me in names else len(names)

    def _choose_successor(self, vm):
        """Choose the successor to name in a term.

        A steward's successor is a daemon of the same failure domain, so that a failure
        domain that is cut off continues to serve. If there is none, a daemon of another
        failure domain is named only if the server refuses superseded stewards: then the
        holder may continue to renew grants while that daemon is unreachable. Otherwise
        nobody is named, and the term stays with its holder until that returns or is
        known to have departed.

        Returns
        -------
        successor : str
            Identity; empty for nobody.
        lasting : bool
            Whether grants may be renewed after the right has ended.
        """
        if vm is None:
            return self.membership.successor(False), False
        if self._is_local(vm):
            local = self.membership.successor(True)
            if local:
                return local, False
        service = self.view.services().get((vm.team, vm.service))
        if service is None or not service.checks_grants:
            return "", False
        remote = self.membership.successor(False)
        return remote, bool(remote)

    def _grant_ms(self, vm):
        service = vm and self.view.services().get((vm.team, vm.service))
        return service.grant_ms if service else 0.0

    def _claim(self, state, term, version, vm):
        now_ms = self.clock.now_ms()
        successor, lasting = self._choose_successor(vm)
        last_confirmation_ms = None
        if term is not None and term.holder:
            departed = self.membership.is_departed(term.holder, version)
            if not departed:
                last_confirmation_ms = self.membership.last_ping_ms(term.holder)
        plan = ClaimPlan(successor, lasting, last_confirmation_ms, self._grant_ms(vm))
        write = state.claim(term, version, now_ms, plan, uuid.uuid4().hex)
        self._write_in_background(state, write)

    def _renew(self, state, vm):
        successor, lasting = self._choose_successor(vm)
        request_id = uuid.uuid4().hex
        write = state.keep(self.clock.now_ms(), successor, lasting, request_id)
        if write is not None:
            self._write_in_background(state, write)

    def _write_in_background(self, state, write):
        def run():
            try:
                self._write(state, write)
            finally:
                self._writing.discard(state.role)

        self._writing.add(state.role)
        gevent.spawn(run)

    def _write(self, state, write):
        """Send a conditional update and apply the term that the response shows.

        The response shows the current term whether the update succeeded or conflicted.
        """
        sent_ms = self.clock.now_ms()
        spec = attrs.asdict(write.term)
        result = self.platform.put(KIND_TERM, state.role, spec, write.expected_version)
        stored = self._apply_shown_object(result)
        if stored is None:
            log_event("term-write-failed", role=state.role, error=result.failure())
            return
        # The view may hold a newer version by now; this one still extends the right.
        term = Term.from_spec(stored.spec)
        self._apply_term(state, term, stored.version, sent_ms)

    def _apply_shown_object(self, result):
        """Apply the object that a response shows to the view, and return it or None."""
        if is_successful(result):
            stored = result.unwrap()
        else:
            error = result.failure()
            stored = error.current if isinstance(error, ConflictError) else None
        if stored is None or stored.spec is None:
            return None
        self.view.apply(stored)
        return stored

    def _hand_over(self, state, next_holder):
        write = state.give_up(self.clock.now_ms(), next_holder, uuid.uuid4().hex)
        spec = attrs.asdict(write.term)
        version = write.expected_version
        for _ in range(HAND_OVER_TRIES):
            result = self.platform.put(KIND_TERM, state.role, spec, version)
            stored = self._apply_shown_object(result)
            if stored is None:
                continue
            if stored.spec["number"] >= write.term.number:
                log_event("term-handed-over", role=state.role, to=next_holder)
                return True
            # An earlier update of this daemon, whose outcome was unknown, has taken
            # effect meanwhile: retry against the new version.
            version = stored.version
        log_event("hand-over-failed", role=state.role)
        return False


def _rendezvous(role, name):
    return xxhash.xxh3_64_intdigest(f"{role}/{name}".encode())
