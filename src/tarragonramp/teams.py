"""From a template and a team's parameters to services."""

import re

import cattrs
from returns.result import Failure, Result, Success

from .errors import TeamError
from .model import Service

__all__ = ["expand"]

_PLACE = re.compile(r"\$\{([a-z][a-z0-9_]*)\}")
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
    services = []
    for index, raw in enumerate(template.services):
        where = f"services[{index}]"
        try:
            services.append(_structure(_fill(raw, values)))
        except KeyError as error:
            faults.append(f"{where}: no parameter named {error.args[0]!r}")
        except Exception as error:
            faults.extend(
                f"{where}: {line}" for line in cattrs.transform_error(error, path="")
            )
    if faults:
        return Failure(TeamError(faults))
    return Success(tuple(services))


def _values(template, team):
    faults = [
        f"parameters.{name}: the template has no such parameter"
        for name in team.parameters
        if name not in template.parameters
    ]
    values = {}
    for name, parameter in template.parameters.items():
        if name not in team.parameters and parameter.required:
            faults.append(f"parameters.{name}: required, not given")
            continue
        value = team.parameters.get(name, parameter.default)
        expected = _TYPES[parameter.type]
        wrong_bool = isinstance(value, bool) and parameter.type != "boolean"
        if wrong_bool or not isinstance(value, expected):
            faults.append(
                f"parameters.{name}: {value!r} is not of type {parameter.type}"
            )
            continue
        values[name] = value
    return values, faults


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


def _structure(raw):
    return _CONVERTER.structure(raw, Service)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
