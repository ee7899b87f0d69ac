"""The view that one daemon has of the platform's objects."""

import attrs
import cattrs

from .model import (
    IN,
    KIND_ASSIGNMENT,
    KIND_FAILURE_DOMAIN,
    KIND_MEMBER,
    KIND_TEAM,
    KIND_TEMPLATE,
    KIND_TERM,
    LOST,
    VIEWED_KINDS,
    Assignment,
    FailureDomain,
    Member,
    Team,
    Template,
    Term,
)
from .news import NewsAnswer, NewsQuestion
from .results import is_successful
from .teams import expand
from .vms import VmList

__all__ = ["View", "assignment_name", "planner_role", "steward_role"]

CONFIGURED_KINDS = (KIND_TEMPLATE, KIND_TEAM, KIND_FAILURE_DOMAIN)
"""Kinds that operators declare; their newest version is that of the configuration."""

# Unknown fields are ignored: during a rolling upgrade or rollback, daemons of both
# releases read each other's objects.
_CONVERTER = cattrs.Converter()
_TYPES = {
    KIND_TEMPLATE: Template,
    KIND_TEAM: Team,
    KIND_FAILURE_DOMAIN: FailureDomain,
    KIND_MEMBER: Member,
    KIND_TERM: Term,
}


def assignment_name(team, service):
    """Return the name of the assignment of a team's service."""
    return f"{team}.{service}"


def steward_role(team, service, server):
    """Return the role name of a backend server's steward."""
    return f"steward.{team}.{service}.{server}"


def planner_role(team):
    """Return the role name of a team's planner."""
    return f"planner.{team}"


@attrs.define(eq=False, repr=False)
class View:
    """The newest version seen of each object.

    Versions only increase: an older object from a lagging watch, from a peer or after a
    restart is dropped, so that an accepted configuration never reverts.

    Parameters
    ----------
    version : int
        All changes up to this version have been applied.
    newest : int
        Highest version seen of any object; earlier changes may be missing.
    config_version : int
        Highest version seen of an object that operators declare.
    unreadable : dict of (str, str) to str
        By kind and name, why the newest version of a declaration is invalid.
    """

    version: int = 0
    newest: int = 0
    config_version: int = 0
    unreadable: dict = attrs.Factory(dict)
    _vms: VmList = attrs.Factory(VmList)
    _stored: dict = attrs.Factory(dict)
    _parsed: dict = attrs.Factory(dict)
    _by_kind: dict = attrs.Factory(dict)
    _last_valid: dict = attrs.Factory(dict)
    _services: dict = attrs.Factory(dict)
    _by_prefix: list = attrs.Factory(list)
    _listeners: list = attrs.Factory(list)

    def on_change(self, listener):
        """Register a function that is called without arguments after every change."""
        self._listeners.append(listener)

    def apply(self, stored):
        """Apply one object.

        Parameters
        ----------
        stored : Stored

        Returns
        -------
        newer : bool
            False if the object was dropped as outdated.
        """
        if stored.kind not in VIEWED_KINDS:
            return False
        key = (stored.kind, stored.name)
        held = self._stored.get(key)
        if held is not None and held.version >= stored.version:
            return False
        self._stored[key] = stored
        self._by_kind.pop(stored.kind, None)
        self.newest = max(self.newest, stored.version)
        first_assignment = stored.kind == KIND_ASSIGNMENT and held is None
        before = self._parsed.pop(key, None)
        if before is not None and stored.kind in CONFIGURED_KINDS:
            self._last_valid[key] = before
        if stored.kind in CONFIGURED_KINDS:
            self.config_version = max(self.config_version, stored.version)
        if stored.kind in (KIND_TEMPLATE, KIND_TEAM) or first_assignment:
            self._expand_teams()
        self._notify()
        return True

    def advance_to(self, version):
        """Record that all changes up to a version have been applied."""
        self.version = max(self.version, version)
        self.newest = max(self.newest, version)

    @property
    def vms(self):
        """The platform's list of VMs, by name; must not be modified."""
        return self._vms.by_name

    @property
    def vms_digest(self):
        """Digest of the list of VMs; empty until a list has been seen."""
        return self._vms.digest

    def apply_vms(self, vms):
        """Replace the list of VMs by the platform's."""
        if self._vms.replace(vms):
            self._notify()

    def question(self, wait_ms, reached):
        """Return the NewsQuestion that asks for everything missing here."""
        return NewsQuestion(
            self.version, self.newest, self.vms_digest, reached, wait_ms
        )

    def updates_after(self, question, reached):
        """Return the NewsAnswer with everything that the sender of a question lacks."""
        items = [s for s in self._stored.values() if s.version > question.since]
        changes = self._vms.changes_from(question.vms_digest)
        return NewsAnswer(self.version, tuple(items), changes, reached)

    def apply_vm_changes(self, changes):
        """Apply changes of the list of VMs."""
        if self._vms.apply(changes):
            self._notify()

    def stored(self, kind, name):
        """Return the newest Stored of an object, or None if there is none."""
        held = self._stored.get((kind, name))
        return held if held is not None and held.spec is not None else None

    def deleted(self, kind, name):
        """Tell whether an object was seen to be deleted."""
        held = self._stored.get((kind, name))
        return held is not None and held.spec is None

    def version_of(self, kind, name):
        """Return the version for a conditional update; 0 if there is no object."""
        held = self.stored(kind, name)
        return held.version if held else 0

    def version_seen(self, kind, name):
        """Return the newest version seen of an object or of its deletion, or 0."""
        held = self._stored.get((kind, name))
        return held.version if held else 0

    def get(self, kind, name):
        """Return an object as an instance of its attrs class, or None."""
        key = (kind, name)
        if key not in self._parsed:
            self._parsed[key] = self._get_valid(key)
        return self._parsed[key]

    def _get_valid(self, key):
        """Return an object as an instance of its attrs class.

        An invalid declaration, written without the usual checks, leaves the last valid
        one in force and is listed in ``unreadable``. If the error were raised, this
        daemon would not apply any further change.
        """
        held = self.stored(*key)
        self.unreadable.pop(key, None)
        if held is None:
            return None
        if held.kind not in CONFIGURED_KINDS:
            return _parse(held)
        try:
            return _parse(held)
        except Exception as error:
            self.unreadable[key] = "; ".join(cattrs.transform_error(error))
            return self._last_valid.get(key)

    def all_of(self, kind):
        """Return a new dict of all objects of a kind, by name."""
        return dict(self._all_of(kind))

    def _all_of(self, kind):
        """Return the objects of a kind; the same dict until one of them changes.

        Every ping and every check of a term needs the members. Scanning all objects
        each time would cost more the larger the fleet is.
        """
        if kind not in self._by_kind:
            names = [n for k, n in self._stored if k == kind]
            found = {name: self.get(kind, name) for name in names}
            self._by_kind[kind] = {n: i for n, i in found.items() if i is not None}
        return self._by_kind[kind]

    def term(self, role):
        """Return the Term of a role, or None."""
        return self.get(KIND_TERM, role)

    def assignment(self, team, service):
        """Return the Assignment of a service, or None."""
        return self.get(KIND_ASSIGNMENT, assignment_name(team, service))

    def member_of(self, identity):
        """Return the Member of exactly this process, or None."""
        member = self.get(KIND_MEMBER, identity.partition("#")[0])
        return member if member and member.identity == identity else None

    def members(self):
        """Return the registered daemons by name; must not be modified."""
        return self._all_of(KIND_MEMBER)

    def is_domain_in_service(self, failure_domain):
        """Tell whether a failure domain is given new work."""
        declared = self.get(KIND_FAILURE_DOMAIN, failure_domain)
        return declared is None or declared.state == IN

    def is_domain_lost(self, failure_domain):
        """Tell whether an operator has declared a failure domain lost."""
        declared = self.get(KIND_FAILURE_DOMAIN, failure_domain)
        return declared is not None and declared.state == LOST

    def leaving(self, team):
        """Tell whether a team is being deleted."""
        declared = self.get(KIND_TEAM, team)
        return declared is not None and declared.leaving

    def services(self):
        """Return a dict of (team, service name) to Service."""
        return self._services

    def service_at(self, path):
        """Return ``(team, Service)`` for the longest matching path prefix, or None."""
        for prefix, team, service in self._by_prefix:
            if path.startswith(prefix):
                rest = path[len(prefix) :]
                if not rest or rest[0] == "/" or prefix.endswith("/"):
                    return team, service
        return None

    def servers_of(self, team, service):
        """Return the listed VMs of a service, by name; must not be modified."""
        return self._vms.of_service(team, service)

    def _notify(self):
        for listener in self._listeners:
            listener()

    def _expand_teams(self):
        services = {}
        for name, team in self.all_of(KIND_TEAM).items():
            template = self.get(KIND_TEMPLATE, team.template)
            if template is None:
                continue
            expanded = expand(template, team)
            if not is_successful(expanded):
                continue
            for service in expanded.unwrap():
                services[name, service.name] = self._with_assigned_slices(name, service)
        self._services = services
        self._by_prefix = sorted(
            (
                (s.path_prefix, team, s)
                for (team, _), s in services.items()
                if not self.leaving(team)
            ),
            # Ties are resolved by name: all daemons must choose the same service, in
            # whatever order they learned of the teams.
            key=lambda item: (-len(item[0]), item[1]),
        )

    def _with_assigned_slices(self, team, service):
        """Return a service with the number of slices of its assignment.

        Guards against concurrent changes of template and team that both pass the
        checks. The length of an assignment never changes, so all daemons map a key to
        the same slice.
        """
        assignment = service.divided and self.assignment(team, service.name)
        if not assignment:
            return service
        return attrs.evolve(service, n_slices=len(assignment.slices))


def _parse(stored):
    if stored.kind == KIND_ASSIGNMENT:
        return Assignment.from_spec(stored.spec)
    wanted = _TYPES.get(stored.kind)
    if wanted is None:
        return stored.spec
    return _CONVERTER.structure(stored.spec, wanted)
