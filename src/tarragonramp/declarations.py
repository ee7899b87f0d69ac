"""Checks of what operators declare."""

import re

import cattrs
from returns.pipeline import is_successful

from .model import (
    KIND_FAILURE_DOMAIN,
    KIND_TEAM,
    KIND_TEMPLATE,
    FailureDomain,
    Team,
    Template,
)
from .teams import expand

__all__ = ["DECLARED_KINDS", "check_declaration"]

DECLARED_KINDS = {
    KIND_TEMPLATE: Template,
    KIND_TEAM: Team,
    KIND_FAILURE_DOMAIN: FailureDomain,
}

_NAME = re.compile(r"[a-z0-9][a-z0-9-]*\Z")
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def check_declaration(kind, name, spec, view):
    """Find every fault of a declared object.

    Parameters
    ----------
    kind, name : str
    spec : dict
    view : View
        Where a team's template is looked up.

    Returns
    -------
    faults : list of str
        Empty if the object can be applied.
    """
    if kind not in DECLARED_KINDS:
        known = ", ".join(DECLARED_KINDS)
        return [f"kind: {kind!r} cannot be declared; use one of {known}"]
    faults = []
    if not isinstance(name, str) or not _NAME.match(name):
        faults.append(f"name: {name!r}: lower-case letters, digits and '-' only")
    try:
        item = _CONVERTER.structure(spec, DECLARED_KINDS[kind])
    except Exception as error:
        return faults + cattrs.transform_error(error, path="spec")
    if kind == KIND_TEAM:
        faults += _team_faults(item, view)
    return faults


def _team_faults(team, view):
    template = view.get(KIND_TEMPLATE, team.template)
    if template is None:
        return [f"spec.template: no template named {team.template!r}"]
    expanded = expand(template, team)
    if is_successful(expanded):
        return []
    return [f"spec: {fault}" for fault in expanded.failure().faults]
