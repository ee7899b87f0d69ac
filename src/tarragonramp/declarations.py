"""Validation of operators' declarations before any of them is written."""

import attrs
from returns.result import Failure, Result, Success

from . import checks
from .documents import Document, Fault, read_file
from .errors import DocumentError, TeamError
from .model import (
    KIND_FAILURE_DOMAIN,
    KIND_TEAM,
    KIND_TEMPLATE,
    FailureDomain,
    Team,
    Template,
)
from .results import is_successful
from .structuring import structure
from .teams import expand, template_faults

__all__ = [
    "DECLARED_KINDS",
    "Declaration",
    "DeclaredObjects",
    "check_declarations",
    "check_deletion",
    "declarations_of",
    "read_declarations",
]

DECLARED_KINDS = {
    KIND_TEMPLATE: Template,
    KIND_TEAM: Team,
    KIND_FAILURE_DOMAIN: FailureDomain,
}
SYSTEM_FIELDS = ("request_id", "leaving", "changed_by")
"""Fields of a stored spec that only the system may write."""

RECREATE_TEAM = "delete the team, wait until it is gone, and declare it again"


@attrs.frozen
class Declaration:
    """One declared object.

    Parameters
    ----------
    kind, name : str
    spec : dict
    version : int or None
        The version that the object must still have; None for any.
    document : Document or None
        The document that it was read from.
    """

    kind: str
    name: str
    spec: dict
    version: int | None = None
    document: Document | None = None

    @property
    def label(self):
        """``Kind/name``, for messages."""
        return f"{self.kind}/{self.name}"

    def locate(self, fault):
        """Return a fault as text with file and line, or with the object's name."""
        if self.document is None:
            return f"{self.label}: {fault}"
        return self.document.locate(fault)


@attrs.frozen
class DeclaredObjects:
    """Existing objects that new declarations are checked against.

    Parameters
    ----------
    templates : dict of str to Template
    teams : dict of str to Team
    assigned_slices : dict of (str, str) to int
        Number of slices of the existing assignments, by team and service.
    """

    templates: dict = attrs.Factory(dict)
    teams: dict = attrs.Factory(dict)
    assigned_slices: dict = attrs.Factory(dict)

    def services(self, team_name):
        """Return the services of a team by name; empty if it cannot be expanded."""
        team = self.teams.get(team_name)
        template = team and self.templates.get(team.template)
        if template is None:
            return {}
        return {item.name: item for item in expand(template, team).value_or(())}


def read_declarations(path) -> Result:
    """Read the declarations of a YAML file.

    Returns
    -------
    declarations : Success of tuple of Declaration, or Failure of DocumentError
    """
    return read_file(path).bind(declarations_of)


def declarations_of(documents) -> Result:
    """Return the declarations in documents.

    Parameters
    ----------
    documents : sequence of Document

    Returns
    -------
    declarations : Success of tuple of Declaration, or Failure of DocumentError
    """
    declarations, faults = [], []
    for document in documents:
        found = _envelope_faults(document.data)
        faults.extend(document.locate(fault) for fault in found)
        if not found:
            declarations.append(Declaration(**document.data, document=document))
    return Failure(DocumentError(faults)) if faults else Success(tuple(declarations))


def check_declarations(declarations, declared):
    """Find all faults of declarations that are to be applied together.

    Parameters
    ----------
    declarations : sequence of Declaration
    declared : DeclaredObjects

    Returns
    -------
    faults : list of (int, Fault)
        Each with the index of its declaration; empty if all can be applied.
    """
    faults, items = [], {}
    for index, declaration in enumerate(declarations):
        key = declaration.kind, declaration.name
        if key in items:
            faults.append(
                (index, Fault("name", f"{declaration.label} declared more than once"))
            )
        result = _parse(declaration)
        if is_successful(result):
            items[key] = index, result.unwrap()
        else:
            faults.extend((index, fault) for fault in result.failure())
    after = _state_after(declared, items)
    for index, item in items.values():
        if isinstance(item, Template):
            found = template_faults(item)
            faults.extend((index, _under_spec(fault)) for fault in found)
    if faults:
        return faults
    for name in _affected_teams(items, after):
        index = _index_of_declaration(name, items, after)
        faults.extend((index, f) for f in _team_faults(name, items, declared, after))
    return faults


def check_deletion(kind, name, declared):
    """Find the reasons why an object cannot be deleted.

    Returns
    -------
    faults : list of Fault
    """
    if kind not in DECLARED_KINDS:
        return [Fault("kind", _unknown_kind(kind))]
    if kind != KIND_TEMPLATE:
        return []
    users = sorted(n for n, team in declared.teams.items() if team.template == name)
    if not users:
        return []
    return [Fault("", f"in use by {', '.join(users)}: delete these teams first")]


def _envelope_faults(data):
    if not isinstance(data, dict):
        return [Fault("", "expected a mapping with kind, name and spec")]
    faults = [
        Fault(key, "missing") for key in ("kind", "name", "spec") if key not in data
    ]
    known = ("kind", "name", "spec", "version")
    faults += [Fault(key, "no such field") for key in data if key not in known]
    if "kind" in data and data["kind"] not in list(DECLARED_KINDS):
        faults.append(Fault("kind", _unknown_kind(data["kind"])))
    if "name" in data and not isinstance(data["name"], str):
        faults.append(Fault("name", f"{data['name']!r}: expected text"))
    if "spec" in data and not isinstance(data["spec"], dict):
        faults.append(Fault("spec", f"{data['spec']!r}: expected a mapping"))
    version = data.get("version")
    if version is not None and type(version) is not int:
        faults.append(Fault("version", f"{version!r}: expected a whole number"))
    return faults


def _unknown_kind(kind):
    known = ", ".join(DECLARED_KINDS)
    return f"{kind!r} cannot be declared; use one of {known}"


def _parse(declaration) -> Result:
    faults = []
    try:
        checks.name(None, None, declaration.name)
    except ValueError as error:
        faults.append(Fault("name", str(error)))
    faults += [
        Fault(f"spec.{key}", "set by the system; leave it out")
        for key in SYSTEM_FIELDS
        if key in declaration.spec
    ]
    wanted = DECLARED_KINDS[declaration.kind]
    result = structure(declaration.spec, wanted, "spec")
    if not is_successful(result):
        faults += result.failure()
    return Failure(faults) if faults else result


def _under_spec(fault):
    return Fault(f"spec.{fault.path}" if fault.path else "spec", fault.message)


def _state_after(declared, items):
    """Return the declared objects as they would be with all items applied.

    ``items`` maps kind and name to the index of the declaration and the parsed object.
    """
    templates, teams = dict(declared.templates), dict(declared.teams)
    for (kind, name), (_, item) in items.items():
        if kind == KIND_TEMPLATE:
            templates[name] = item
        if kind == KIND_TEAM:
            teams[name] = item
    return DeclaredObjects(templates, teams, declared.assigned_slices)


def _affected_teams(items, after):
    """Return the teams that are declared or whose template is declared."""
    templates = {name for kind, name in items if kind == KIND_TEMPLATE}
    return sorted(
        name
        for name, team in after.teams.items()
        if (KIND_TEAM, name) in items or team.template in templates
    )


def _index_of_declaration(team_name, items, after):
    """Return the index of a team's declaration or, without one, of its template's."""
    key = KIND_TEAM, team_name
    if key not in items:
        key = KIND_TEMPLATE, after.teams[team_name].template
    return items[key][0]


def _team_faults(name, items, before, after):
    team = after.teams[name]
    declared_here = (KIND_TEAM, name) in items
    template = after.templates.get(team.template)
    if template is None:
        return [Fault("spec.template", f"no template named {team.template!r}")]
    if team.domain_weights and not any(team.domain_weights.values()):
        return [Fault("spec.domain_weights", "at least one weight must be above 0")]
    expanded = expand(template, team)
    if not is_successful(expanded):
        error: TeamError = expanded.failure()
        if declared_here:
            return [_under_spec(fault) for fault in error.faults]
        return [Fault("spec", f"team {name}: {fault}") for fault in error.faults]
    services = {service.name: service for service in expanded.unwrap()}
    faults = _prefix_faults(name, services, after)
    faults += _unsafe_change_faults(name, services, before)
    return faults if declared_here else [_with_team(name, f) for f in faults]


def _with_team(name, fault):
    return Fault(fault.path, f"team {name}: {fault.message}")


def _prefix_faults(team_name, services, after):
    """Find paths that two teams claim: requests for one would reach the other."""
    faults = []
    taken = {
        service.path_prefix.rstrip("/"): other
        for other in sorted(after.teams)
        if other != team_name
        for service in after.services(other).values()
    }
    for service in services.values():
        other = taken.get(service.path_prefix.rstrip("/"))
        if other is not None:
            message = f"path_prefix {service.path_prefix!r} is claimed by team {other}"
            faults.append(Fault("spec", f"service {service.name}: {message}"))
    return faults


def _unsafe_change_faults(team_name, services, before):
    """Find changes that would map keys to other slices or change the length of grants.

    Daemons apply a change one after the other. With two numbers of slices in force, two
    daemons would send the same key to two servers, each of which owns the slice that it
    is sent. With two durations of a grant, a new steward could wait for a shorter grant
    than its predecessor sent.
    """
    faults = []
    for name, old in before.services(team_name).items():
        new = services.get(name)
        if not old.divided:
            if new is not None and new.divided:
                faults.append(
                    _unsafe_change(name, "cannot become divided", RECREATE_TEAM)
                )
            continue
        if new is None:
            faults.append(_unsafe_change(name, "its keys have owners", RECREATE_TEAM))
            continue
        for field in ("n_slices", "divided_by", "grant_ms"):
            if getattr(new, field) != getattr(old, field):
                change = f"{field} cannot change while its keys have owners"
                faults.append(_unsafe_change(name, change, RECREATE_TEAM))
    for name, service in services.items():
        n_slices = before.assigned_slices.get((team_name, name))
        if not service.divided or n_slices in (None, service.n_slices):
            continue
        message = f"keys were assigned in {n_slices} slices"
        fix = f"set n_slices to {n_slices} or rename the service"
        if name not in before.services(team_name):
            faults.append(_unsafe_change(name, message, fix))
    return faults


def _unsafe_change(service_name, message, fix):
    return Fault("spec", f"service {service_name}: {message}; {fix}")
