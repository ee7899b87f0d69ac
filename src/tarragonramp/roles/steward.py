"""Renews the grants of one backend server and proves releases."""

import uuid

import attrs
import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import ConflictError, NotSentError
from ..leases import END_MARGIN_MS, GrantLedger
from ..model import KIND_ASSIGNMENT, OWNED, SILENT, UNKNOWN, UP
from ..terms import RIGHT_MARGIN
from ..view import assignment_name, planner_role, steward_role

__all__ = ["Stewards"]

TICK_MS = 50
SERVER_SILENCE_MS = 400
REPORT_RETRY_MS = 100


@attrs.define
class _Charge:
    """One backend server that this daemon is steward of."""

    vm: object
    role: str
    service: object
    ledger: GrantLedger
    condition: str = UNKNOWN
    answered_ms: float = 0.0
    reported: tuple = ()
    changed: Event = attrs.Factory(Event)


@attrs.define(eq=False, repr=False)
class Stewards:
    """The steward role of this daemon, for all its backend servers.

    Parameters
    ----------
    me : Member
    view : View
    keeper : TermKeeper
    platform : Platform
    backends : Backends
    peers : Peers
    clock : Clock
    timing : Timing
    """

    me: object
    view: object
    keeper: object
    platform: object
    backends: object
    peers: object
    clock: object
    timing: object
    _charges: dict = attrs.Factory(dict)

    def run(self):
        """Start and stop the task of each server, for ever."""
        self.view.on_change(self._wake)
        while True:
            for vm in list(self.view.vms.values()):
                role = steward_role(vm.team, vm.service, vm.name)
                service = self.view.services().get((vm.team, vm.service))
                wanted = service is not None and self.keeper.holding(role)
                if wanted and role not in self._charges:
                    self._charges[role] = self._new_charge(vm, role, service)
                    gevent.spawn(self._attend, self._charges[role])
            gevent.sleep(TICK_MS / 1000.0)

    def conditions(self):
        """Return how many backend servers looked after here are in each condition."""
        counts = dict.fromkeys((UP, SILENT, UNKNOWN), 0)
        for charge in self._charges.values():
            counts[charge.condition] += 1
        return counts

    def prove_release(self, question):
        """Answer a planner.

        Parameters
        ----------
        question : ReleaseRequest

        Returns
        -------
        released : list of int
            Slices without an owner at the server, for as long as this steward's
            term is the one the assignment shows.
        proof : str
        """
        role = steward_role(question.team, question.service, question.server)
        charge = self._charges.get(role)
        if charge is None or charge.ledger.term != question.steward_term:
            return [], ""
        name = assignment_name(question.team, question.service)
        if self.view.version_of(KIND_ASSIGNMENT, name) < question.assignment_version:
            return [], ""
        now_ms = self.clock.now_ms()
        proofs = {i: charge.ledger.released(i, now_ms) for i in question.slices}
        released = [i for i, proof in proofs.items() if proof]
        return released, ",".join(sorted({p for p in proofs.values() if p}))

    def _new_charge(self, vm, role, service):
        holding = self.keeper.holding(role)
        inherited_end_ms = holding.earlier_right_ends_ms + END_MARGIN_MS
        if holding.term.number > 1:
            inherited_end_ms += service.grant_ms * RIGHT_MARGIN
        ledger = GrantLedger(holding.term.number, service.grant_ms, inherited_end_ms)
        return _Charge(vm, role, service, ledger, answered_ms=self.clock.now_ms())

    def _attend(self, charge):
        log_event("steward-began", role=charge.role, term=charge.ledger.term)
        while self._holds(charge):
            charge.changed.clear()
            self._exchange(charge)
            self._report(charge)
            charge.changed.wait(charge.service.renewal_ms / 1000.0)
        del self._charges[charge.role]
        log_event("steward-ended", role=charge.role, term=charge.ledger.term)

    def _holds(self, charge):
        holding = self.keeper.holding(charge.role)
        return holding is not None and holding.term.number == charge.ledger.term

    def _may_act(self, charge, now_ms):
        return self._holds(charge) and self.keeper.holding(charge.role).term.may_act(
            now_ms
        )

    def _exchange(self, charge):
        """Renew the grant, or only ask for the clock."""
        registered = charge.service.divided and self._is_registered(charge)
        # Registering may wait. One reading from here on, both for the right and for
        # the end: a pause after it cannot make the grant outlast the right by more
        # than a grant's length.
        now_ms = self.clock.now_ms()
        grant = None
        if registered and self._may_act(charge, now_ms):
            grant = charge.ledger.next_grant(self._wanted(charge), now_ms)
        timeout_ms = self.timing.control_timeout_ms
        if grant is None:
            result = self.backends.probe(charge.vm.address, timeout_ms)
        else:
            result = self.backends.grant(charge.vm.address, grant, timeout_ms)
        if is_successful(result):
            self._note_answer(charge, result.unwrap(), now_ms)
            return
        if grant is not None and isinstance(result.failure(), NotSentError):
            charge.ledger.not_sent()
        if self.clock.now_ms() - charge.answered_ms > SERVER_SILENCE_MS:
            self._set_condition(charge, SILENT)

    def _note_answer(self, charge, answer, sent_ms):
        arrived_ms = self.clock.now_ms()
        first = not charge.ledger.boot_id
        restarted = charge.ledger.observe(answer, sent_ms, arrived_ms)
        charge.answered_ms = arrived_ms
        self._set_condition(charge, UP)
        if restarted:
            log_event("server-restarted", server=charge.vm.name, boot=answer.boot_id)
        if first or restarted:
            charge.changed.set()

    def _set_condition(self, charge, condition):
        if charge.condition == condition:
            return
        log_event(
            "server-condition",
            server=charge.vm.name,
            condition=condition,
            before=charge.condition,
        )
        charge.condition = condition

    def _wanted(self, charge):
        assignment = self.view.assignment(charge.vm.team, charge.vm.service)
        return {
            index: item.token
            for index, item in enumerate(assignment.slices)
            if item.state == OWNED and item.server == charge.vm.name
        }

    def _is_registered(self, charge):
        """Make the assignment show this steward's term before anything is granted.

        Guards against a steward with a lagging view that grants a slice which was
        moved away on an earlier steward's proof: the write that shows its term is
        conditional on the newest assignment, and later moves need its own proof.
        """
        vm = charge.vm
        assignment = self.view.assignment(vm.team, vm.service)
        if assignment is None:
            return False
        shown = assignment.stewards.get(vm.name, 0)
        if shown == charge.ledger.term:
            return True
        if shown > charge.ledger.term:
            return False
        name = assignment_name(vm.team, vm.service)
        stewards = {**assignment.stewards, vm.name: charge.ledger.term}
        new = attrs.evolve(assignment, stewards=stewards, request_id=uuid.uuid4().hex)
        version = self.view.version_of(KIND_ASSIGNMENT, name)
        result = self.platform.put(KIND_ASSIGNMENT, name, new.to_spec(), version)
        if is_successful(result):
            self.view.apply(result.unwrap())
            return True
        error = result.failure()
        if isinstance(error, ConflictError) and error.current is not None:
            self.view.apply(error.current)
        charge.changed.set()
        return False

    def _report(self, charge):
        """Tell the planner once about each change, until it has taken it in."""
        planner = self.view.term(planner_role(charge.vm.team))
        if planner is None or charge.condition == UNKNOWN:
            return
        news = (planner.number, charge.condition, charge.ledger.boot_id)
        if news == charge.reported:
            return
        member = self.view.member_of(planner.holder)
        if member is None:
            return
        report = {
            "team": charge.vm.team,
            "service": charge.vm.service,
            "server": charge.vm.name,
            "boot_id": charge.ledger.boot_id,
            "condition": charge.condition,
            "term": charge.ledger.term,
        }
        result = self.peers.report(member.peer_address, self.me.identity, [report])
        if result.value_or(False):
            charge.reported = news

    def _wake(self):
        for charge in self._charges.values():
            charge.changed.set()
