"""Planner role: assigns the slices of a team's services to backend servers."""

import uuid

import attrs
import gevent
from gevent.event import Event

from ..adapters.logs import log_event
from ..assignments import slices_to_release
from ..errors import ConflictError
from ..model import (
    DEPARTED,
    KIND_ASSIGNMENT,
    KIND_TEAM,
    LIVE,
    RELEASING,
    SILENT,
    UNOWNED,
    UP,
)
from ..placement import ServerView, initial_assignment, next_slices
from ..results import is_successful
from ..view import assignment_name, planner_role, steward_role

__all__ = ["Planners"]

RETRY_MS = 500
REPORT_WAIT_MS = 1500
"""How long the planner waits for stewards' reports after the start of its term.

Stewards report within tens of milliseconds, and a dead server is reported silent within
the duration of a grant. After this time the slices of a server without a report are
assigned to the others.
"""


@attrs.define(eq=False, repr=False)
class Planners:
    """The planner role of this daemon, for all teams whose planner terms it holds.

    Parameters
    ----------
    view : View
    keeper : TermKeeper
    platform : Platform
    peers : Peers
    clock : Clock
    timing : Timing
    """

    view: object
    keeper: object
    platform: object
    peers: object
    clock: object
    timing: object
    _term_began_ms: dict = attrs.Factory(dict)
    _reports: dict = attrs.Factory(dict)
    _settled_inputs: dict = attrs.Factory(dict)
    _changed: Event = attrs.Factory(Event)

    def handle_report(self, sender, reports):
        """Store a steward's reports about its servers.

        Returns
        -------
        accepted : bool
            False if this daemon is not the planner of every reported team.
        """
        accepted = True
        for report in reports:
            state = self.keeper.holding(planner_role(report.team))
            if state is None:
                accepted = False
                continue
            key = (report.team, report.service, report.server)
            previous = self._current_report(*key)
            if previous is None or previous.term <= report.term:
                self._reports[key] = (state.held.number, report)
                self._changed.set()
        return accepted

    def _current_report(self, team, service, server):
        """Return the newest report on a server in the current planner term, or None.

        Stewards repeat their reports for every new term of the planner. Reports of an
        earlier term may be outdated: a server that was silent then would lose its keys
        now.
        """
        state = self.keeper.holding(planner_role(team))
        number, report = self._reports.get((team, service, server), (0, None))
        if state is None or number != state.held.number:
            return None
        return report

    def run(self):
        """Plan for all teams whose planner terms are held here. Never returns."""
        self.view.on_change(self._changed.set)
        while True:
            is_moving = False
            self._changed.clear()
            # Wait for the first VM list: a planner that knows the assignment but no
            # VMs, as after a start, would take every slice from its owner.
            known_services = (
                list(self.view.services().items()) if self.view.vms_digest else ()
            )
            for (team, _), service in known_services:
                if service.divided and self.keeper.may_act(planner_role(team)):
                    is_moving |= self._plan(team, service)
            for team in self.view.all_of(KIND_TEAM):
                if self.view.leaving(team) and self.keeper.may_act(planner_role(team)):
                    self._finish_deletion(team)
            wait_ms = self.timing.planning_ms if is_moving else RETRY_MS
            self._changed.wait(wait_ms / 1000.0)

    def _plan(self, team, service):
        """Perform one planning step for a service; True if a move is in progress."""
        name = assignment_name(team, service.name)
        version = self.view.version_of(KIND_ASSIGNMENT, name)
        assignment = self.view.assignment(team, service.name)
        if assignment is None and self.view.leaving(team):
            return False
        if assignment is None:
            assignment = initial_assignment(team, service.name, service.n_slices)
        servers = self._servers(team, service)
        if self._settled_inputs.get(name) == (version, servers):
            return False
        awaits_reports = self._awaits_reports(team, service)
        released = self._proved_releases(assignment, version)
        slices = next_slices(assignment.slices, servers, released, awaits_reports)
        if slices != assignment.slices or version == 0:
            self._write(name, attrs.evolve(assignment, slices=slices), version)
            return any(item.state == RELEASING for item in slices)
        moving = any(item.state == RELEASING for item in slices)
        if not moving and not awaits_reports:
            # Nothing to decide until the assignment or a server changes.
            self._settled_inputs[name] = (version, servers)
        return moving

    def _awaits_reports(self, team, service):
        """Return whether first reports on a service may still arrive in this term."""
        term = self.keeper.holding(planner_role(team)).held.number
        now_ms = self.clock.now_ms()
        began_ms = self._term_began_ms.setdefault((team, service.name, term), now_ms)
        return now_ms - began_ms < REPORT_WAIT_MS

    def _finish_deletion(self, team):
        """Delete a team that is being removed once none of its keys has an owner.

        The assignments are kept, without owners: if a team is declared again under
        this name, its fencing tokens continue from there, so that servers can still
        reject older ones.
        """
        for (name, _), service in self.view.services().items():
            if name != team or not service.divided:
                continue
            assignment = self.view.assignment(team, service.name)
            slices = assignment.slices if assignment else ()
            if any(item.state != UNOWNED for item in slices):
                return
        version = self.view.version_of(KIND_TEAM, team)
        result = self.platform.delete(KIND_TEAM, team, version)
        if is_successful(result):
            self.view.apply(result.unwrap())
        log_event("team-deleted", team=team, done=is_successful(result))

    def _servers(self, team, service):
        weights = self.view.get(KIND_TEAM, team).domain_weights
        views = {}
        for name, vm in self.view.servers_of(team, service.name).items():
            report = self._current_report(team, service.name, name)
            weight = weights.get(vm.failure_domain, 1.0)
            is_leaving = vm.state != LIVE or not self.view.is_domain_in_service(
                vm.failure_domain
            )
            is_leaving = is_leaving or self.view.leaving(team)
            views[name] = ServerView(
                name=name,
                weight=0.0 if is_leaving else weight,
                usable=report is not None and report.condition == UP,
                lost=report is not None and report.condition == SILENT,
            )
        return views

    def _proved_releases(self, assignment, version):
        tasks = {
            server: gevent.spawn(
                self._request_release_proof, assignment, version, server, indexes
            )
            for server, indexes in slices_to_release(assignment).items()
        }
        gevent.joinall(tasks.values())
        return {
            (index, assignment.slices[index].token)
            for task in tasks.values()
            for index in task.value or ()
        }

    def _request_release_proof(self, assignment, version, server, indexes):
        if server not in assignment.stewards:
            # No steward was ever registered for it, so nothing was ever granted.
            return indexes
        vm = self.view.vms.get(server)
        if vm is not None and self.view.is_domain_lost(vm.failure_domain):
            # An operator has declared that nothing runs there any more.
            return indexes
        if vm is not None and vm.state == DEPARTED:
            # The platform reports the VM as departed. Its absence from the list would
            # prove nothing: the list lags, and an older one may follow a newer one.
            return indexes
        role = steward_role(assignment.team, assignment.service, server)
        term = self.view.term(role)
        member = self.view.member_of(term.holder) if term else None
        if member is None:
            return []
        request = {
            "team": assignment.team,
            "service": assignment.service,
            "server": server,
            "assignment_version": version,
            "slices": indexes,
            "steward_term": assignment.stewards[server],
        }
        return self.peers.prove_release(member.peer_address, request).value_or([])

    def _write(self, name, assignment, version):
        new = attrs.evolve(assignment, request_id=uuid.uuid4().hex)
        result = self.platform.put(KIND_ASSIGNMENT, name, new.to_spec(), version)
        if is_successful(result):
            self.view.apply(result.unwrap())
            log_event("assignment-written", name=name, version=result.unwrap().version)
            return
        error = result.failure()
        log_event("assignment-write-failed", name=name, error=error)
        if isinstance(error, ConflictError) and error.current is not None:
            self.view.apply(error.current)
