"""What one daemon knows of the platform's objects."""

import attrs
import cattrs
from returns.pipeline import is_successful

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
from .teams import expand
from .vms import VmList

__all__ = ["View", "assignment_name", "planner_role", "steward_role"]

CONFIGURED_KINDS = (KIND_TEMPLATE, KIND_TEAM, KIND_FAILURE_DOMAIN)
"""Kinds that operators declare: their newest version is the configuration's."""

# Fields of a newer version are passed over: during a rolling upgrade or rollback
# daemons of both versions read each other's objects.
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
    """Return the name of the term of a backend server's steward."""
    return f"steward.{team}.{service}.{server}"


def planner_role(team):
    """Return the name of the term of a team's planner."""
    return f"planner.{team}"


@attrs.define(eq=False, repr=False)
class View:
    """The newest version seen of each object.

    Versions only go up: an older object from a lagging watch, a peer or a restart
    is dropped, so that an accepted configuration never reverts.

    Parameters
    ----------
    version : int
        Every change up to it has been taken in.
    newest : int
        Highest version seen of anything, be it with gaps below.
    """

    version: int = 0
    newest: int = 0
    config_version: int = 0
    unreadable: dict = attrs.Factory(dict)
    _vms: VmList = attrs.Factory(VmList)
    _stored: dict = attrs.Factory(dict)
    _typed: dict = attrs.Factory(dict)
    _by_kind: dict = attrs.Factory(dict)
    _earlier: dict = attrs.Factory(dict)
    _services: dict = attrs.Factory(dict)
    _prefixes: list = attrs.Factory(list)
    _listeners: list = attrs.Factory(list)

    def on_change(self, listener):
        """Call a function without arguments after every change."""
        self._listeners.append(listener)

    def apply(self, stored):
        """Take in one object.

        Parameters
        ----------
        stored : Stored

        Returns
        -------
        newer : bool
            False if it was dropped.
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
        before = self._typed.pop(key, None)
        if before is not None and stored.kind in CONFIGURED_KINDS:
            self._earlier[key] = before
        if stored.kind in CONFIGURED_KINDS:
            self.config_version = max(self.config_version, stored.version)
        if stored.kind in (KIND_TEMPLATE, KIND_TEAM) or first_assignment:
            self._expand_teams()
        self._tell()
        return True

    def advance_to(self, version):
        """Note that every change up to a version has been taken in."""
        self.version = max(self.version, version)
        self.newest = max(self.newest, version)

    @property
    def vms(self):
        """The platform's list of VMs, by name; not to be altered."""
        return self._vms.by_name

    @property
    def vms_digest(self):
        """Digest of the list of VMs; empty as long as none was seen."""
        return self._vms.digest

    def apply_vms(self, vms):
        """Take in the platform's list of VMs."""
        if self._vms.replace(vms):
            self._tell()

    def question(self, wait_ms, reached):
        """Return the NewsQuestion that asks for all this view lacks."""
        return NewsQuestion(
            self.version, self.newest, self.vms_digest, reached, wait_ms
        )

    def news_after(self, question, reached):
        """Return the NewsAnswer with all that a question's sender lacks."""
        items = [s for s in self._stored.values() if s.version > question.since]
        changes = self._vms.changes_from(question.vms_digest)
        return NewsAnswer(self.version, tuple(items), changes, reached)

    def apply_vm_changes(self, changes):
        """Take in changes of the list of VMs."""
        if self._vms.apply(changes):
            self._tell()

    def stored(self, kind, name):
        """Return the newest Stored of an object, or None if there is none."""
        held = self._stored.get((kind, name))
        return held if held is not None and held.spec is not None else None

    def deleted(self, kind, name):
        """Tell whether an object was seen to be deleted."""
        held = self._stored.get((kind, name))
        return held is not None and held.spec is None

    def version_of(self, kind, name):
        """Return the version a conditional update has to name; 0 for no object."""
        held = self.stored(kind, name)
        return held.version if held else 0

    def version_seen(self, kind, name):
        """Return the newest version seen of an object or of its deletion, or 0."""
        held = self._stored.get((kind, name))
        return held.version if held else 0

    def get(self, kind, name):
        """Return an object as its attrs class, or None."""
        key = (kind, name)
        if key not in self._typed:
            self._typed[key] = self._read(key)
        return self._typed[key]

    def _read(self, key):
        """Return an object as its attrs class.

        A declaration that cannot be read, because somebody wrote it past the
        checks, leaves the one before in force; ``unreadable`` names it. Raised, the
        error would stop this daemon from following any change at all.
        """
        held = self.stored(*key)
        self.unreadable.pop(key, None)
        if held is None:
            return None
        if held.kind not in CONFIGURED_KINDS:
            return _structured(held)
        try:
            return _structured(held)
        except Exception as error:
            self.unreadable[key] = "; ".join(cattrs.transform_error(error))
            return self._earlier.get(key)

    def all_of(self, kind):
        """Return a new dict of name to attrs object of a kind."""
        return dict(self._all_of(kind))

    def _all_of(self, kind):
        """Return the same dict until an object of the kind changes.

        Load: every ping and every look at a term needs the members. Harm prevented:
        a scan of all objects for each, which grows with the fleet.
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
        """Return the Member that is this very process, or None."""
        member = self.get(KIND_MEMBER, identity.partition("#")[0])
        return member if member and member.identity == identity else None

    def members(self):
        """Return registered daemons by name; not to be altered."""
        return self._all_of(KIND_MEMBER)

    def domain_in(self, failure_domain):
        """Tell whether a failure domain takes new work."""
        order = self.get(KIND_FAILURE_DOMAIN, failure_domain)
        return order is None or order.state == IN

    def domain_lost(self, failure_domain):
        """Tell whether an operator declared that nothing runs there any more."""
        order = self.get(KIND_FAILURE_DOMAIN, failure_domain)
        return order is not None and order.state == LOST

    def leaving(self, team):
        """Tell whether a team is being deleted."""
        declared = self.get(KIND_TEAM, team)
        return declared is not None and declared.leaving

    def services(self):
        """Return a dict of (team, service name) to Service."""
        return self._services

    def service_at(self, path):
        """Return ``(team, Service)`` with the longest prefix of a path, or None."""
        for prefix, team, service in self._prefixes:
            if path.startswith(prefix):
                rest = path[len(prefix) :]
                if not rest or rest[0] == "/" or prefix.endswith("/"):
                    return team, service
        return None

    def servers_of(self, team, service):
        """Return the listed VMs of a service, by name; not to be altered."""
        return self._vms.of_service(team, service)

    def _tell(self):
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
                services[name, service.name] = self._as_assigned(name, service)
        self._services = services
        self._prefixes = sorted(
            (
                (s.path_prefix, team, s)
                for (team, _), s in services.items()
                if not self.leaving(team)
            ),
            # By name among equals: all daemons have to choose the same one, in
            # whatever order they came to know the teams.
            key=lambda item: (-len(item[0]), item[1]),
        )

    def _as_assigned(self, team, service):
        """Return a service with the number of slices that its assignment has.

        Guards against two operators whose changes of template and team pass the
        checks at the same moment: the assignment never changes its length, so all
        daemons send a key to the same slice.
        """
        assignment = service.divided and self.assignment(team, service.name)
        if not assignment:
            return service
        return attrs.evolve(service, n_slices=len(assignment.slices))


def _structured(stored):
    if stored.kind == KIND_ASSIGNMENT:
        return Assignment.from_spec(stored.spec)
    wanted = _TYPES.get(stored.kind)
    if wanted is None:
        return stored.spec
    return _CONVERTER.structure(stored.spec, wanted)
