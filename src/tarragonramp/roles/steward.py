"""Steward role: renews the grants of backend servers and proves their release."""

import uuid

import attrs
import gevent
from gevent.event import Event

from ..adapters.logs import log_event
from ..assignments import may_grant, tokens_of, with_steward_term
from ..errors import ConflictError, NotSentError
from ..gates import ColdStartState, Gate
from ..leases import END_MARGIN_MS, GrantLedger
from ..model import KIND_ASSIGNMENT, SILENT, UNKNOWN, UP
from ..results import is_successful
from ..terms import RIGHT_MARGIN
from ..view import assignment_name, planner_role, steward_role

__all__ = ["Stewards"]

TICK_MS = 50
STEWARD_PREFIX = "steward."
SILENCE_FRACTION = 0.75
"""Fraction of a grant's length for which a server may be silent before it is reported.

The planner moves the keys of a server that is reported silent. The fraction is large
enough that a server keeps its keys while its machine or link is slow for a moment and
probes time out. Waiting costs callers nothing, since the server's last grant runs for
longer than this in any case; waiting for a whole grant's length would.
"""


@attrs.define
class _ManagedServer:
    """A backend server that this daemon is steward of.

    Parameters
    ----------
    vm : Vm
    role : str
        Name of the steward's term.
    service : Service
    ledger : GrantLedger
    gate : Gate
    checks_grants : bool
        Whether the server refuses superseded stewards. Also true for a service that is
        not divided, whose servers need no grants.
    condition : {"up", "silent", "unknown"}
    last_answer_ms : float
        When the server last answered, at first when this was created.
    last_report_key : tuple
        Planner's term, condition and boot id in the newest report that was accepted.
    report_in_flight : bool
    seen_assignment_version : int
        Version of the assignment for which the last renewal was triggered.
    changed : Event
        Set to renew without waiting for the next interval.
    """

    vm: object
    role: str
    service: object
    ledger: GrantLedger
    gate: Gate
    checks_grants: bool
    condition: str = UNKNOWN
    last_answer_ms: float = 0.0
    last_report_key: tuple = ()
    report_in_flight: bool = False
    seen_assignment_version: int = 0
    changed: Event = attrs.Factory(Event)


@attrs.define(eq=False, repr=False)
class Stewards:
    """The steward role of this daemon, for all backend servers whose terms it holds.

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
    is_known_warm : callable
        ``is_known_warm(server, address) -> bool``: whether this daemon's entry role
        sends to a server directly, because it was reported warm.
    """

    me: object
    view: object
    keeper: object
    platform: object
    backends: object
    peers: object
    clock: object
    timing: object
    is_known_warm: object = lambda server, address: False
    _managed_servers: dict = attrs.Factory(dict)

    def run(self):
        """Start a renewal task for each steward term held here. Never returns."""
        self.view.on_change(self._on_view_change)
        while True:
            # Scan the VMs only if a held term has no task yet: there may be thousands
            # of VMs, and a tick is short.
            all_started = all(
                role in self._managed_servers for role in self._held_steward_roles()
            )
            for vm in () if all_started else list(self.view.vms.values()):
                role = steward_role(vm.team, vm.service, vm.name)
                service = self.view.services().get((vm.team, vm.service))
                wanted = service is not None and self.keeper.holding(role)
                if wanted and role not in self._managed_servers:
                    self._managed_servers[role] = self._new_managed_server(
                        vm, role, service
                    )
                    gevent.spawn(
                        self._renew_until_term_ends, self._managed_servers[role]
                    )
            gevent.sleep(TICK_MS / 1000.0)

    def _held_steward_roles(self):
        return [r for r in self.keeper.holdings if r.startswith(STEWARD_PREFIX)]

    def conditions(self):
        """Return the number of backend servers managed here, by condition."""
        counts = dict.fromkeys((UP, SILENT, UNKNOWN), 0)
        for managed in self._managed_servers.values():
            counts[managed.condition] += 1
        return counts

    def prove_release(self, request):
        """Return which of the requested slices are proved to be released.

        Parameters
        ----------
        request : ReleaseRequest

        Returns
        -------
        released : list of int
            Slices for which the server cannot act as owner any more. Valid as long as
            this steward's term is the one in the assignment.
        proof : str
            Kinds of proof, comma-separated.
        """
        role = steward_role(request.team, request.service, request.server)
        managed = self.managed_server(role)
        if managed is None or managed.ledger.term != request.steward_term:
            return [], ""
        name = assignment_name(request.team, request.service)
        if self.view.version_of(KIND_ASSIGNMENT, name) < request.assignment_version:
            return [], ""
        proofs = {i: self._release_proof(managed, i) for i in request.slices}
        released = [i for i, proof in proofs.items() if proof]
        return released, ",".join(sorted({p for p in proofs.values() if p}))

    def managed_server(self, role):
        """Return the server managed here under a role, or None."""
        return self._managed_servers.get(role)

    def _release_proof(self, managed, index):
        if not managed.checks_grants:
            return managed.gate.released(index)
        return managed.ledger.released(index, self.clock.now_ms())

    def _new_gate(self, vm, service, held, right_ends_ms, checks_grants):
        return Gate(
            ColdStartState(
                service.cold_slots_per_server,
                service.slots_per_server,
                self.is_known_warm(vm.name, vm.address),
            ),
            held.right_ms,
            right_ends_ms,
            max(held.right_ms, held.longest_right_ms),
            checks_grants,
        )

    def _new_managed_server(self, vm, role, service):
        state = self.keeper.holding(role)
        right_ends_ms = state.earlier_right_ends_ms
        inherited_end_ms = right_ends_ms + END_MARGIN_MS
        if state.held.number > 1:
            longest_ms = max(service.grant_ms, state.held.longest_grant_ms)
            inherited_end_ms += longest_ms * RIGHT_MARGIN
        if state.held.unbounded:
            inherited_end_ms = None
        ledger = GrantLedger(
            state.held.number,
            state.held.grant_ms(service.grant_ms),
            inherited_end_ms,
            right_ends_ms,
        )
        checks_grants = service.checks_grants or not service.divided
        gate = self._new_gate(vm, service, state.held, right_ends_ms, checks_grants)
        return _ManagedServer(
            vm,
            role,
            service,
            ledger,
            gate,
            checks_grants,
            last_answer_ms=self.clock.now_ms(),
        )

    def _renew_until_term_ends(self, managed):
        log_event("steward-began", role=managed.role, term=managed.ledger.term)
        while self._holds_term(managed):
            managed.changed.clear()
            self._refresh(managed)
            try:
                self._renew_or_probe(managed)
            except Exception as error:
                # Keep the ledger after an unexpected error: a new one for the same
                # term would not know what has been granted.
                log_event("steward-failed", role=managed.role, error=repr(error))
            self._report_condition(managed)
            managed.changed.wait(managed.service.renewal_ms / 1000.0)
        del self._managed_servers[managed.role]
        log_event("steward-ended", role=managed.role, term=managed.ledger.term)

    def _refresh(self, managed):
        """Apply changes of the service's settings and of the server's address."""
        vm = self.view.vms.get(managed.vm.name)
        if vm is not None and vm.address != managed.vm.address:
            managed.ledger.address_changed(self.clock.now_ms())
            managed.gate.address_changed(self.clock.now_ms())
        managed.vm = vm or managed.vm
        found = self.view.services().get((managed.vm.team, managed.vm.service))
        managed.service = found or managed.service

    def _holds_term(self, managed):
        state = self.keeper.holding(managed.role)
        return state is not None and state.held.number == managed.ledger.term

    def _renew_or_probe(self, managed):
        """Renew the grant, or only probe the server to read its clock."""
        registered = managed.service.divided and self._ensure_registered(managed)
        # Registering may block, so the clock is read after it. The same reading is used
        # to check the right and to compute the grant's end: a pause after it cannot
        # make the grant outlast the right by more than a grant's length.
        now_ms = self.clock.now_ms()
        grant = None
        if registered and managed.checks_grants and self._holds_term(managed):
            grant = self._next_grant(managed, now_ms)
        timeout_ms = self.timing.control_timeout_ms
        if grant is None:
            result = self.backends.probe(managed.vm.address, timeout_ms)
        else:
            result = self.backends.grant(managed.vm.address, grant, timeout_ms)
        if is_successful(result):
            self._note_answer(managed, result.unwrap(), now_ms)
            return
        if grant is not None and isinstance(result.failure(), NotSentError):
            managed.ledger.not_sent()
        silent_ms = self.clock.now_ms() - managed.last_answer_ms
        if silent_ms > managed.service.grant_ms * SILENCE_FRACTION:
            self._set_condition(managed, SILENT)

    def _next_grant(self, managed, now_ms):
        held = self.keeper.holding(managed.role).held
        if not held.may_renew_grants(now_ms):
            return None
        vm = managed.vm
        tokens = tokens_of(self.view.assignment(vm.team, vm.service), vm.name)
        known_only = not held.may_act(now_ms)
        return managed.ledger.next_grant(tokens, now_ms, known_only)

    def _note_answer(self, managed, answer, sent_ms):
        arrived_ms = self.clock.now_ms()
        is_first = not managed.ledger.boot_id
        restarted = managed.ledger.observe(answer, sent_ms, arrived_ms)
        managed.last_answer_ms = arrived_ms
        managed.gate.observe(answer.boot_id, sent_ms, arrived_ms)
        managed.gate.cold_start.observe(answer.boot_id, answer.cold, arrived_ms)
        if managed.ledger.fenced and self._holds_term(managed):
            held = self.keeper.holding(managed.role).held
            held.unbounded = False
            held.longest_grant_ms = managed.ledger.grant_ms
        self._set_condition(managed, UP)
        if restarted:
            log_event("server-restarted", server=managed.vm.name, boot=answer.boot_id)
        if is_first or restarted:
            managed.changed.set()

    def _set_condition(self, managed, condition):
        if managed.condition == condition:
            return
        log_event(
            "server-condition",
            server=managed.vm.name,
            condition=condition,
            before=managed.condition,
        )
        managed.condition = condition

    def _ensure_registered(self, managed):
        """Write this steward's term into the assignment; return whether it is there.

        Nothing may be granted before it is there.
        """
        vm = managed.vm
        assignment = self.view.assignment(vm.team, vm.service)
        new = with_steward_term(
            assignment, vm.name, managed.ledger.term, uuid.uuid4().hex
        )
        if new is None:
            return may_grant(assignment, vm.name, managed.ledger.term)
        name = assignment_name(vm.team, vm.service)
        version = self.view.version_of(KIND_ASSIGNMENT, name)
        result = self.platform.put(KIND_ASSIGNMENT, name, new.to_spec(), version)
        if is_successful(result):
            self.view.apply(result.unwrap())
            return True
        error = result.failure()
        if isinstance(error, ConflictError) and error.current is not None:
            self.view.apply(error.current)
        managed.changed.set()
        return False

    def _report_condition(self, managed):
        """Report a change of condition to the planner, until it is accepted once."""
        planner = self.view.term(planner_role(managed.vm.team))
        if planner is None or managed.condition == UNKNOWN:
            return
        report_key = (planner.number, managed.condition, managed.ledger.boot_id)
        if report_key == managed.last_report_key or managed.report_in_flight:
            return
        member = self.view.member_of(planner.holder)
        if member is None:
            return
        report = {
            "team": managed.vm.team,
            "service": managed.vm.service,
            "server": managed.vm.name,
            "boot_id": managed.ledger.boot_id,
            "condition": managed.condition,
            "term": managed.ledger.term,
        }
        # Sent from a greenlet of its own: an unresponsive planner must not delay
        # renewals.
        managed.report_in_flight = True
        gevent.spawn(
            self._send_report, managed, member.peer_address, report, report_key
        )

    def _send_report(self, managed, address, report, report_key):
        try:
            result = self.peers.report(address, self.me.identity, [report])
            if result.value_or(False):
                managed.last_report_key = report_key
        finally:
            managed.report_in_flight = False

    def _on_view_change(self):
        """Trigger an immediate renewal for servers whose assignment has changed.

        Other changes are ignored: terms, members and VM lists of a large fleet change
        all the time, and each change would cause a renewal to every server.
        """
        for managed in self._managed_servers.values():
            name = assignment_name(managed.vm.team, managed.vm.service)
            version = self.view.version_of(KIND_ASSIGNMENT, name)
            if version != managed.seen_assignment_version:
                managed.seen_assignment_version = version
                managed.changed.set()
