"""Decides for a team which backend server owns which slices."""

import uuid

import attrs
import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..assignments import questions
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
from ..view import assignment_name, planner_role, steward_role

__all__ = ["Planners"]

RETRY_MS = 500
SETTLING_MS = 1500
"""How long after the start of a term stewards may take to report their servers.

They do so within tens of milliseconds; a server that is dead is reported silent within
a grant. After this a server that nobody reports leaves its share to the others.
"""


@attrs.define(eq=False, repr=False)
class Planners:
    """The planner role of this daemon, for all its teams.

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
    _began_ms: dict = attrs.Factory(dict)
    _reports: dict = attrs.Factory(dict)
    _settled: dict = attrs.Factory(dict)
    _changed: Event = attrs.Factory(Event)

    def take_report(self, sender, reports):
        """Take in what a steward says about its servers.

        Returns
        -------
        accepted : bool
            False if this daemon plans for none of the teams.
        """
        accepted = True
        for report in reports:
            state = self.keeper.holding(planner_role(report.team))
            if state is None:
                accepted = False
                continue
            key = (report.team, report.service, report.server)
            known = self._report(*key)
            if known is None or known.term <= report.term:
                self._reports[key] = (state.held.number, report)
                self._changed.set()
        return accepted

    def _report(self, team, service, server):
        """Return the newest report of a server that was made to this term, or None.

        Stewards report anew to every new term of the planner. What was told to an
        earlier one may be long over: a server that was silent then would lose its
        keys now.
        """
        state = self.keeper.holding(planner_role(team))
        number, report = self._reports.get((team, service, server), (0, None))
        if state is None or number != state.held.number:
            return None
        return report

    def run(self):
        """Plan for every team held, for ever."""
        self.view.on_change(self._changed.set)
        while True:
            busy = False
            self._changed.clear()
            # Guards against a planner that has seen the assignment and no VM yet, as
            # after a start: it would take every slice from its owner.
            seen = list(self.view.services().items()) if self.view.vms_digest else ()
            for (team, _), service in seen:
                if service.divided and self.keeper.may_act(planner_role(team)):
                    busy |= self._plan(team, service)
            for team in self.view.all_of(KIND_TEAM):
                if self.view.leaving(team) and self.keeper.may_act(planner_role(team)):
                    self._finish_deletion(team)
            wait_ms = self.timing.planning_ms if busy else RETRY_MS
            self._changed.wait(wait_ms / 1000.0)

    def _plan(self, team, service):
        """Take one step for one service; True if a move is under way."""
        name = assignment_name(team, service.name)
        version = self.view.version_of(KIND_ASSIGNMENT, name)
        assignment = self.view.assignment(team, service.name)
        if assignment is None and self.view.leaving(team):
            return False
        if assignment is None:
            assignment = initial_assignment(team, service.name, service.n_slices)
        servers = self._servers(team, service)
        if self._settled.get(name) == (version, servers):
            return False
        settling = self._is_settling(team, service)
        released = self._released(assignment, version)
        slices = next_slices(assignment.slices, servers, released, settling)
        if slices != assignment.slices or version == 0:
            self._write(name, attrs.evolve(assignment, slices=slices), version)
            return any(item.state == RELEASING for item in slices)
        moving = any(item.state == RELEASING for item in slices)
        if not moving and not settling:
            # Until the assignment or a server changes there is nothing to decide.
            self._settled[name] = (version, servers)
        return moving

    def _is_settling(self, team, service):
        """Tell whether reports to this term about a service may still come in."""
        term = self.keeper.holding(planner_role(team)).held.number
        now_ms = self.clock.now_ms()
        began_ms = self._began_ms.setdefault((team, service.name, term), now_ms)
        return now_ms - began_ms < SETTLING_MS

    def _finish_deletion(self, team):
        """Delete a leaving team once nobody owns any of its keys.

        The assignments stay, without owners: a team declared anew under the name
        goes on with higher fencing tokens, so that servers can still tell old from
        new.
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
            report = self._report(team, service.name, name)
            weight = weights.get(vm.failure_domain, 1.0)
            leaves = vm.state != LIVE or not self.view.domain_in(vm.failure_domain)
            leaves = leaves or self.view.leaving(team)
            views[name] = ServerView(
                name=name,
                weight=0.0 if leaves else weight,
                usable=report is not None and report.condition == UP,
                lost=report is not None and report.condition == SILENT,
            )
        return views

    def _released(self, assignment, version):
        tasks = {
            server: gevent.spawn(self._ask, assignment, version, server, indexes)
            for server, indexes in questions(assignment).items()
        }
        gevent.joinall(tasks.values())
        return {
            (index, assignment.slices[index].token)
            for task in tasks.values()
            for index in task.value or ()
        }

    def _ask(self, assignment, version, server, indexes):
        if server not in assignment.stewards:
            # No steward ever was registered for it, so nothing was ever granted.
            return indexes
        vm = self.view.vms.get(server)
        if vm is not None and self.view.domain_lost(vm.failure_domain):
            # An operator's word that nothing runs there any more.
            return indexes
        if vm is not None and vm.state == DEPARTED:
            # The platform's word. That a VM is not listed proves nothing: the list
            # lags, and an older one may be shown after a newer.
            return indexes
        role = steward_role(assignment.team, assignment.service, server)
        term = self.view.term(role)
        member = self.view.member_of(term.holder) if term else None
        if member is None:
            return []
        question = {
            "team": assignment.team,
            "service": assignment.service,
            "server": server,
            "assignment_version": version,
            "slices": indexes,
            "steward_term": assignment.stewards[server],
        }
        return self.peers.prove_release(member.peer_address, question).value_or([])

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
