"""Status for operators: intended and effective configuration, and owners of keys."""

import random

import attrs
import gevent

from ..model import (
    KIND_ASSIGNMENT,
    KIND_FAILURE_DOMAIN,
    KIND_STATUS,
    OWNED,
    RELEASING,
    Assignment,
    FailureDomain,
)
from ..results import is_successful
from ..slices import slice_of
from ..view import CONFIGURED_KINDS, assignment_name, steward_role

__all__ = ["Overview"]

MAX_CHECKS_PER_DOMAIN = 20
CHECK_TIMEOUT_MS = 500


@attrs.define(eq=False, repr=False)
class Overview:
    """Answers operators' queries.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
    pools : HttpPools
        For health checks of other daemons.
    """

    me: object
    view: object
    platform: object
    pools: object

    def domains(self):
        """Return the failure domains that have a daemon or a backend server."""
        found = {member.failure_domain for member in self.view.members().values()}
        return found | {vm.failure_domain for vm in self.view.vms.values()}

    def services(self):
        """Return the services and their slices, from the local view only."""
        return [
            self._service_row(team, service)
            for (team, _), service in sorted(self.view.services().items())
        ]

    def status(self):
        """Return the intended version, and the one in force in each failure domain."""
        intended, statuses, reached = self._intended_state()
        names = sorted(self.domains() | set(statuses))
        tasks = [gevent.spawn(self._failing_daemons, name) for name in names]
        gevent.joinall(tasks)
        domains = [
            self._domain_row(name, statuses.get(name), intended, task.value)
            for name, task in zip(names, tasks, strict=True)
        ]
        return {
            "daemon": self.me.identity,
            "view_version": self.view.version,
            "platform_reached": reached,
            "intended_version": intended,
            "members": sorted(self.view.members()),
            "failure_domains": domains,
            "unreadable": [
                f"{kind}/{name}: {fault}"
                for (kind, name), fault in sorted(self.view.unreadable.items())
            ],
            "services": self.services(),
        }

    def _intended_state(self):
        """Return the intended version, the Status specs, and whether both are current.

        They are not if the platform could not be reached; the view is used then.
        """
        kinds = (*CONFIGURED_KINDS, KIND_STATUS)
        # In parallel, so that a slow platform delays the call once, not four times.
        tasks = [gevent.spawn(self.platform.list, kind) for kind in kinds]
        gevent.joinall(tasks)
        *configured, found = [task.value for task in tasks]
        reached = all(is_successful(result) for result in configured)
        versions = [self.view.config_version]
        for result in configured:
            versions += [item.version for item in result.value_or([])]
        statuses = self.view.all_of(KIND_STATUS)
        statuses |= {item.name: item.spec for item in found.value_or([])}
        return max(versions), statuses, reached

    def _failing_daemons(self, failure_domain):
        """Return the daemons of a failure domain that fail a health check.

        Needed because a failure domain that is lost or cut off cannot update its
        Status. In a large failure domain only a random sample is checked.
        """
        members = self._members(failure_domain)
        sampled = random.sample(members, min(len(members), MAX_CHECKS_PER_DOMAIN))
        tasks = [gevent.spawn(self._is_healthy, member) for member in sampled]
        gevent.joinall(tasks)
        found = zip(sampled, tasks, strict=True)
        return sorted(member.name for member, task in found if not task.value)

    def _is_healthy(self, member):
        pool = self.pools.at(member.control_address)
        result = pool.exchange("GET", "/healthy", (), b"", CHECK_TIMEOUT_MS)
        return is_successful(result) and result.unwrap().status == 200

    def _members(self, failure_domain):
        return [
            member
            for member in self.view.members().values()
            if member.failure_domain == failure_domain
        ]

    def _domain_row(self, name, status, intended, silent):
        declared = self.view.get(KIND_FAILURE_DOMAIN, name) or FailureDomain()
        version = status["version"] if status else 0
        daemons = [member.name for member in self._members(name)]
        lagging = status["lagging"] if status else sorted(daemons)
        if version < intended and not lagging:
            lagging = [status["reporter"]] if status else []
        return {
            "failure_domain": name,
            "order": declared.state,
            "daemons": len(daemons),
            "answers": len(silent) < min(len(daemons), MAX_CHECKS_PER_DOMAIN),
            "silent": silent,
            "in_force_version": version,
            "in_force": version >= intended and not lagging,
            "lagging": lagging,
            "slices_owned": self._n_slices_owned(name),
        }

    def _n_slices_owned(self, failure_domain):
        return sum(
            1
            for assignment in self.view.all_of(KIND_ASSIGNMENT).values()
            for item in assignment.slices
            if item.server in self.view.vms
            and self.view.vms[item.server].failure_domain == failure_domain
        )

    def _service_row(self, team, service):
        assignment = self.view.assignment(team, service.name)
        slices = assignment.slices if assignment else ()
        return {
            "team": team,
            "service": service.name,
            "divided": service.divided,
            "slices": service.n_slices if service.divided else 0,
            "owned": sum(1 for item in slices if item.state == OWNED),
            "releasing": sum(1 for item in slices if item.state == RELEASING),
            "servers": len(self.view.servers_of(team, service.name)),
            "leaving": self.view.leaving(team),
        }

    def explain(self, team, name, key):
        """Return an HTTP status code, and the owner of a key with the explanation."""
        service = self.view.services().get((team, name))
        if service is None or not service.divided:
            known = sorted(
                f"{t}/{s.name}"
                for (t, _), s in self.view.services().items()
                if s.divided
            )
            message = f"no such divided service; known: {', '.join(known) or 'none'}"
            return 404, {"error": message}
        assignment: Assignment = self.view.assignment(team, name)
        if assignment is None:
            return 404, {"error": "no assignment yet: no planner has acted"}
        index = slice_of(key, service.n_slices)
        item = assignment.slices[index]
        term = self.view.term(steward_role(team, name, item.server))
        vm = self.view.vms.get(item.server)
        return 200, {
            "key": key,
            "slice": index,
            "state": item.state,
            "owner": item.server,
            "fencing_token": item.token,
            "owner_failure_domain": vm.failure_domain if vm else "",
            "owner_address": vm.address if vm else "",
            "steward": term.holder if term else "",
            "steward_term": term.number if term else 0,
            "assignment_version": self.view.version_of(
                KIND_ASSIGNMENT, assignment_name(team, name)
            ),
            "why": _explain_owner(item, vm, self.view),
        }


def _explain_owner(item, vm, view):
    if item.state == RELEASING:
        return "moving: the old owner is not yet proved to have let go"
    if item.state != OWNED:
        return "no backend server can take it now"
    if vm is None:
        return "owned by a server that is not listed any more; about to move"
    if not view.is_domain_in_service(vm.failure_domain):
        return "owned in a failure domain that was taken out; about to move"
    return "owned: callers are sent to the owner"
