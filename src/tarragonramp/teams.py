"""From a template and a team's parameters to services."""

import re

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from . import checks
from .documents import Fault
from .errors import TeamError
from .model import Service
from .structuring import structure

__all__ = ["expand", "service_faults", "template_faults"]

MIN_RENEWALS_PER_GRANT = 3
"""Renewals that have to fit into a grant.

Load: a server or steward that pauses for a moment, or a lost message. Harm
prevented: keys without an owner after a single late renewal.
"""

RESERVED_HEADERS = ("host", "content-length", "transfer-encoding", "connection")
INNER_PREFIX = "tarragon-"
CLASS_LIMIT = 20

_PLACE = re.compile(r"\$\{([^}]*)\}")
_TYPES = {
    "string": str,
    "integer": int,
    "number": (int, float),
    "boolean": bool,
}


def expand(template, team) -> Result:
    """Fill a template in with a team's parameters.

    Parameters
    ----------
    template : tarragonramp.model.Template
    team : tarragonramp.model.Team

    Returns
    -------
    services : Success of tuple of Service, or Failure of TeamError
        The error lists all faults.
    """
    values, faults = _values(template, team)
    if faults:
        return Failure(TeamError(faults))
    services, faults = _services(template, values)
    if not faults:
        faults = _names_twice(services)
    return Failure(TeamError(faults)) if faults else Success(tuple(services))


def template_faults(template):
    """Find what is wrong with a template, whatever its teams will say.

    Parameters
    ----------
    template : tarragonramp.model.Template

    Returns
    -------
    faults : list of Fault
        Paths begin below ``spec``.
    """
    faults = []
    for name, parameter in template.parameters.items():
        given = parameter.default is not None
        if given and not _is_of(parameter.type, parameter.default):
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
    services, faults = _services(template, defaults)
    return faults or _names_twice(services)


def service_faults(service, path=""):
    """Find fields of a service that do not go together.

    Parameters
    ----------
    service : Service
    path : str, default=""

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
    message = _divisor_fault(service.divided_by)
    if message:
        faults.append(Fault(f"{path}.divided_by.name", message))
    return faults + _class_faults(service.classes, f"{path}.classes")


def _values(template, team):
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
        if not _is_of(parameter.type, value):
            faults.append(Fault(path, f"{value!r} is not of type {parameter.type}"))
            continue
        values[name] = value
    return values, faults


def _is_of(type_name, value):
    wrong_bool = isinstance(value, bool) and type_name != "boolean"
    return isinstance(value, _TYPES[type_name]) and not wrong_bool


def _services(template, values):
    """Return services and faults; a service that awaits a value is left out."""
    services, faults = [], []
    for index, raw in enumerate(template.services):
        path = f"services[{index}]"
        unknown = sorted(set(_places(raw)) - set(template.parameters))
        if unknown:
            faults.extend(Fault(path, f"no parameter named {n!r}") for n in unknown)
            continue
        if any(values.get(name) is None for name in _places(raw)):
            fields = {field.name for field in attrs.fields(Service)}
            faults.extend(
                Fault(f"{path}.{key}", "no such field") for key in set(raw) - fields
            )
            continue
        result = structure(_fill(raw, values), Service, path)
        if not is_successful(result):
            faults.extend(result.failure())
            continue
        services.append(result.unwrap())
        faults.extend(service_faults(result.unwrap(), path))
    return services, faults


def _names_twice(services):
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


def _divisor_fault(key_source):
    """Return what is wrong with a divisor's name; empty if nothing is."""
    name = key_source.name
    if key_source.source == "none":
        return "only together with a source" if name else ""
    if key_source.source == "path":
        fits = name.isascii() and name.isdigit() and int(name) < 32
        return "" if fits else f"{name!r}: expected the part's number, from '0' on"
    if not name:
        return "missing"
    if key_source.source == "header":
        inner = name.lower().startswith(INNER_PREFIX)
        if not checks.header_name(name):
            return f"{name!r}: not the name of a header"
        if inner or name.lower() in RESERVED_HEADERS:
            return f"{name!r}: this header is not the callers' to set"
    return ""


def _class_faults(classes, path):
    faults = []
    if len(classes) > CLASS_LIMIT:
        faults.append(Fault(path, f"more than {CLASS_LIMIT} caller classes"))
    for index, item in enumerate(classes):
        if not item.methods:
            faults.append(Fault(f"{path}[{index}].methods", "expected at least one"))
            continue
        for other in classes[:index]:
            if other.name == item.name:
                message = f"{item.name!r}: another class has it"
                faults.append(Fault(f"{path}[{index}].name", message))
            elif _shadows(other, item):
                message = f"never used: every request of it matches {other.name!r}"
                faults.append(Fault(f"{path}[{index}]", message))
    return faults


def _shadows(earlier, later):
    same_methods = set(later.methods) <= set(earlier.methods)
    return same_methods and later.path_prefix.startswith(earlier.path_prefix)


def _places(raw):
    if isinstance(raw, dict):
        raw = list(raw.values())
    if isinstance(raw, list):
        return [name for item in raw for name in _places(item)]
    return _PLACE.findall(raw) if isinstance(raw, str) else []


def _fill(raw, values):
    if isinstance(raw, dict):
        return {key: _fill(item, values) for key, item in raw.items()}
    if isinstance(raw, list):
        return [_fill(item, values) for item in raw]
    if not isinstance(raw, str):
        return raw
    whole = _PLACE.fullmatch(raw)
    if whole:
        return values[whole.group(1)]
    return _PLACE.sub(lambda match: str(values[match.group(1)]), raw)
