"""Expansion of templates with the parameters of a team into services."""

import re

import attrs
from returns.result import Failure, Result, Success

from . import checks
from .documents import Fault
from .errors import TeamError
from .model import Service
from .results import is_successful
from .structuring import structure

__all__ = ["expand", "service_faults", "template_faults"]

MIN_RENEWALS_PER_GRANT = 3
"""Minimum number of renewals that fit into the duration of a grant.

A grant survives a lost message or a short pause of a server or steward; with fewer
renewals, a single late one would leave keys without an owner.
"""

RESERVED_HEADERS = ("host", "content-length", "transfer-encoding", "connection")
INTERNAL_HEADER_PREFIX = "tarragon-"
MAX_CALLER_CLASSES = 20

_PLACEHOLDER = re.compile(r"\$\{([^}]*)\}")
_PYTHON_TYPES = {
    "string": str,
    "integer": int,
    "number": (int, float),
    "boolean": bool,
}


def expand(template, team) -> Result:
    """Expand a template with a team's parameters.

    Parameters
    ----------
    template : tarragonramp.model.Template
    team : tarragonramp.model.Team

    Returns
    -------
    services : Success of tuple of Service, or Failure of TeamError
        The error lists every fault.
    """
    values, faults = _parameter_values(template, team)
    if faults:
        return Failure(TeamError(faults))
    services, faults = _build_services(template, values)
    if not faults:
        faults = _duplicate_faults(services)
    return Failure(TeamError(faults)) if faults else Success(tuple(services))


def template_faults(template):
    """Return the faults of a template that do not depend on a team's parameters.

    Parameters
    ----------
    template : tarragonramp.model.Template

    Returns
    -------
    faults : list of Fault
        Paths are relative to ``spec``.
    """
    faults = []
    for name, parameter in template.parameters.items():
        given = parameter.default is not None
        if given and not _has_type(parameter.type, parameter.default):
            faults.append(
                Fault(
                    f"parameters.{name}.default",
                    f"{parameter.default!r} is not of type {parameter.type}",
                )
            )
    if not template.services:
        faults.append(Fault("services", "expected at least one service"))
    defaults = {name: item.default for name, item in template.parameters.items()}
    if faults:
        return faults
    services, faults = _build_services(template, defaults)
    return faults or _duplicate_faults(services)


def service_faults(service, path=""):
    """Return the faults of a service's fields that are inconsistent with each other.

    Parameters
    ----------
    service : Service
    path : str, default=""
        Field path of the service.

    Returns
    -------
    faults : list of Fault
    """
    faults = []
    if service.renewal_ms * MIN_RENEWALS_PER_GRANT > service.grant_ms:
        faults.append(
            Fault(
                f"{path}.renewal_ms",
                f"{service.renewal_ms}: {MIN_RENEWALS_PER_GRANT} renewals have to fit "
                f"into grant_ms ({service.grant_ms})",
            )
        )
    if service.cold_slots_per_server > service.slots_per_server:
        faults.append(
            Fault(
                f"{path}.cold_slots_per_server",
                f"{service.cold_slots_per_server}: more than slots_per_server "
                f"({service.slots_per_server})",
            )
        )
    if service.connections_per_server < service.slots_per_server:
        faults.append(
            Fault(
                f"{path}.connections_per_server",
                f"{service.connections_per_server}: fewer than slots_per_server "
                f"({service.slots_per_server})",
            )
        )
    message = _key_source_fault(service.divided_by)
    if message:
        faults.append(Fault(f"{path}.divided_by.name", message))
    return faults + _class_faults(service.classes, f"{path}.classes")


def _parameter_values(template, team):
    """Return the team's parameters completed with defaults, and a list of faults."""
    faults = [
        Fault(f"parameters.{name}", f"template {team.template!r} has no such parameter")
        for name in team.parameters
        if name not in template.parameters
    ]
    values = {}
    for name, parameter in template.parameters.items():
        path = f"parameters.{name}"
        given = name in team.parameters
        if not given and (parameter.required or parameter.default is None):
            faults.append(Fault(path, "required, not given"))
            continue
        value = team.parameters.get(name, parameter.default)
        if not _has_type(parameter.type, value):
            faults.append(Fault(path, f"{value!r} is not of type {parameter.type}"))
            continue
        values[name] = value
    return values, faults


def _has_type(type_name, value):
    is_bool_mismatch = isinstance(value, bool) and type_name != "boolean"
    return isinstance(value, _PYTHON_TYPES[type_name]) and not is_bool_mismatch


def _build_services(template, values):
    """Build the services of a template.

    A service that uses a parameter without a value is skipped; only the names of its
    fields are checked.

    Returns
    -------
    services : list of Service
    faults : list of Fault
    """
    services, faults = [], []
    for index, raw in enumerate(template.services):
        path = f"services[{index}]"
        unknown = sorted(set(_placeholder_names(raw)) - set(template.parameters))
        if unknown:
            faults.extend(Fault(path, f"no parameter named {n!r}") for n in unknown)
            continue
        if any(values.get(name) is None for name in _placeholder_names(raw)):
            fields = {field.name for field in attrs.fields(Service)}
            faults.extend(
                Fault(f"{path}.{key}", "no such field") for key in set(raw) - fields
            )
            continue
        result = structure(_substitute(raw, values), Service, path)
        if not is_successful(result):
            faults.extend(result.failure())
            continue
        services.append(result.unwrap())
        faults.extend(service_faults(result.unwrap(), path))
    return services, faults


def _duplicate_faults(services):
    """Return a fault for each service with the name or path of an earlier one."""
    faults = []
    for index, service in enumerate(services):
        earlier = services[:index]
        if any(other.name == service.name for other in earlier):
            path = f"services[{index}].name"
            faults.append(Fault(path, f"{service.name!r}: another service has it"))
        if any(
            other.path_prefix.rstrip("/") == service.path_prefix.rstrip("/")
            for other in earlier
        ):
            path = f"services[{index}].path_prefix"
            faults.append(
                Fault(path, f"{service.path_prefix!r}: another service has it")
            )
    return faults


def _key_source_fault(key_source):
    """Return what is wrong with the name in a key source; empty if it is valid."""
    name = key_source.name
    if key_source.source == "none":
        return "only together with a source" if name else ""
    if key_source.source == "path":
        fits = name.isascii() and name.isdigit() and int(name) < 32
        return "" if fits else f"{name!r}: expected the part's number, from '0' on"
    if not name:
        return "missing"
    if key_source.source == "header":
        is_internal = name.lower().startswith(INTERNAL_HEADER_PREFIX)
        if not checks.header_name(name):
            return f"{name!r}: not the name of a header"
        if is_internal or name.lower() in RESERVED_HEADERS:
            return f"{name!r}: this header is not the callers' to set"
    return ""


def _class_faults(classes, path):
    faults = []
    if len(classes) > MAX_CALLER_CLASSES:
        faults.append(Fault(path, f"more than {MAX_CALLER_CLASSES} caller classes"))
    for index, caller_class in enumerate(classes):
        if not caller_class.methods:
            faults.append(Fault(f"{path}[{index}].methods", "expected at least one"))
            continue
        for earlier in classes[:index]:
            if earlier.name == caller_class.name:
                message = f"{caller_class.name!r}: another class has it"
                faults.append(Fault(f"{path}[{index}].name", message))
            elif _shadows(earlier, caller_class):
                message = f"never used: every request of it matches {earlier.name!r}"
                faults.append(Fault(f"{path}[{index}]", message))
    return faults


def _shadows(earlier, later):
    """Return whether every request of a class already matches an earlier class."""
    same_methods = set(later.methods) <= set(earlier.methods)
    return same_methods and later.path_prefix.startswith(earlier.path_prefix)


def _placeholder_names(raw):
    """Return the names of all ``${name}`` placeholders in nested data."""
    if isinstance(raw, dict):
        raw = list(raw.values())
    if isinstance(raw, list):
        return [name for item in raw for name in _placeholder_names(item)]
    return _PLACEHOLDER.findall(raw) if isinstance(raw, str) else []


def _substitute(raw, values):
    """Replace placeholders in nested data.

    A text that consists of one placeholder becomes the value itself and keeps its type.
    """
    if isinstance(raw, dict):
        return {key: _substitute(item, values) for key, item in raw.items()}
    if isinstance(raw, list):
        return [_substitute(item, values) for item in raw]
    if not isinstance(raw, str):
        return raw
    whole = _PLACEHOLDER.fullmatch(raw)
    if whole:
        return values[whole.group(1)]
    return _PLACEHOLDER.sub(lambda match: str(values[match.group(1)]), raw)
