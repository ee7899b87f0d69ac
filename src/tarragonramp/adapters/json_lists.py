"""Reads JSON lists in which one element may be unreadable, without losing the others.

A parser of whole documents fails as a whole: on bytes that are no text, a number with
too many digits, or more nesting than it can follow. So a list that can't be read is cut
into its elements first, by a scan that neither nests nor converts anything.
"""

import contextlib
import json
import math

import attrs
import logbook

from .json_scan import (
    MAX_TURN_BYTES,
    MAX_WHOLE_BYTES,
    JsonScan,
    WorkTurns,
    parse_json,
)
from .logs import log_event

__all__ = [
    "ListFormat",
    "WorkTurns",
    "is_plain",
    "parse_elements",
    "parse_json",
    "read_list",
]

MAX_DEPTH = 32
"""Levels of nesting in an element. Whoever passes it on, or logs it, may follow fewer
levels than the parser."""

MAX_INTEGER = (1 << 63) - 1
MAX_LOGGED_CHARS = 200

MAX_ELEMENT_BYTES = 65_536
"""Of an element that takes more, only the parts that are wanted are kept."""

VALUE_BYTES = 16
"""What a parsed value counts at least, as bytes that take the same time to look at."""

_MISSING = object()


@attrs.frozen
class ListFormat:
    """What is read of an object with a list.

    Parameters
    ----------
    list_name : str
        The member with the list.
    paths : tuple of tuple of str
        For each member that is read of an element that cannot be read as a whole, the
        names that lead to it.
    wanted : tuple of tuple of str, optional
        Paths of all members that are needed of an element; the others are dropped if it
        is long. By default all are needed.
    checks : bool, default=True
        Whether elements that are not plain count as unreadable, see :func:`is_plain`.
    """

    list_name: str
    paths: tuple
    wanted: tuple | None = None
    checks: bool = True

    @classmethod
    def partial(cls, list_name, fields, place="", beside=""):
        """Return a function that creates formats of a list for kinds of objects.

        Parameters
        ----------
        list_name : str
        fields : str
            What is read of an object that cannot be read as a whole: paths with dots,
            separated by spaces.
        place : str, default=""
            Path of the object in an element; empty if the element is the object.
        beside : str, default=""
            Paths of what is read of an element beside the object.

        Returns
        -------
        create : callable
            ``create(wanted, checks)`` returns a ListFormat; ``wanted`` has the paths in
            an object, or is None.
        """

        def paths_of(fields):
            prefix = f"{place}." if place else ""
            texts = [*beside.split(), *(prefix + field for field in fields.split())]
            return tuple(tuple(text.split(".")) for text in texts)

        def create(wanted, checks):
            wanted = None if wanted is None else paths_of(wanted)
            return cls(list_name, paths_of(fields), wanted, checks)

        return create


def read_list(data, list_format, turns=None):
    """Parse a JSON object that has a list.

    Parameters
    ----------
    data : bytes
    list_format : ListFormat
    turns : WorkTurns, optional

    Returns
    -------
    raw : dict
        The object, with its list.

    Raises
    ------
    ValueError
        If the object cannot be read, or has no such list.
    """
    turns, name = turns or WorkTurns(), list_format.list_name
    raw = None
    if len(data) <= MAX_WHOLE_BYTES:
        with contextlib.suppress(ValueError):
            raw = parse_json(data)
        turns.spend(len(data))
    if raw is None:
        raw = _read_in_parts(data, name, list_format.paths, turns)
    if not isinstance(raw, dict) or not isinstance(raw.get(name), list):
        raise ValueError(f"no object with a list of {name}")
    if list_format.checks:
        raw[name] = [_checked(element, list_format, turns) for element in raw[name]]
    return raw


def parse_elements(parse, kind, elements):
    """Return what can be parsed of some elements: other programs may store anything.

    Parameters
    ----------
    parse : callable
        Takes the kind and an element.
    kind : str
    elements : list

    Returns
    -------
    parsed : list
    """
    parsed = []
    for element in elements:
        try:
            parsed.append(parse(kind, element))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log_event(
                "entry-not-understood",
                level=logbook.WARNING,
                kind=kind,
                reason=repr(error),
            )
    return parsed


def is_plain(value, max_depth=MAX_DEPTH, spend=None):
    """Return whether a parsed value can be passed on as it is.

    Not if it is nested too deeply, or has numbers that other programs can't represent.

    Parameters
    ----------
    value : object
    max_depth : int
    spend : callable, optional
        Called with about the number of bytes of each value that is looked at.
    """
    if spend is not None:
        spend(VALUE_BYTES + (len(value) if isinstance(value, str) else 0))
    if isinstance(value, dict):
        if spend is not None:
            spend(sum(map(len, value)))
        value = value.values()
    elif not isinstance(value, list):
        return not isinstance(value, (int, float)) or _is_usual_number(value)
    return max_depth > 0 and all(is_plain(part, max_depth - 1, spend) for part in value)


def _is_usual_number(value):
    if isinstance(value, float):
        return math.isfinite(value)
    return -MAX_INTEGER <= value <= MAX_INTEGER


class _LongElementError(Exception):
    """An element takes more than is kept of one."""


def _checked(element, list_format, turns):
    """Return a parsed element, or the parts of it that are kept."""
    try:
        if is_plain(element, spend=_spender(turns, list_format.wanted is not None)):
            return element
    except _LongElementError:
        reason = f"longer than {MAX_ELEMENT_BYTES} bytes"
        return _keep(element, list_format.wanted, reason, turns)
    return _keep(element, list_format.paths, "not plain", turns)


def _spender(turns, is_limited):
    """Return a function that counts what is looked at of one element.

    If the element is limited it raises _LongElementError once there is too much.
    """
    if not is_limited:
        return turns.spend
    n_left = MAX_ELEMENT_BYTES

    def spend(n_bytes):
        nonlocal n_left
        n_left -= n_bytes
        if n_left < 0:
            raise _LongElementError
        turns.spend(n_bytes)

    return spend


def _keep(element, paths, reason, turns):
    """Return only the members of an element at some paths."""
    parts = {}
    for path in paths:
        part = element
        for name in path:
            part = part.get(name, _MISSING) if isinstance(part, dict) else _MISSING
        if part is not _MISSING:
            parts[path] = part if _is_short_and_plain(part, turns) else None
    return _assemble(parts, reason)


def _is_short_and_plain(part, turns):
    try:
        return is_plain(part, spend=_spender(turns, True))
    except _LongElementError:
        return False


def _assemble(parts, reason):
    """Return an element that consists of its readable parts, by path."""
    element = {}
    for path, part in parts.items():
        place = element
        for name in path[:-1]:
            place = place.setdefault(name, {})
        place[path[-1]] = part
    log_event(
        "element-not-readable",
        level=logbook.WARNING,
        reason=reason[:MAX_LOGGED_CHARS],
        kept=json.dumps(element)[:MAX_LOGGED_CHARS],
    )
    return element


def _read_in_parts(data, list_name, paths, turns=None):
    scan = JsonScan(data, turns or WorkTurns())
    raw, position, is_last = {}, scan.skip_bracket(0, b"{"), False
    while not is_last:
        name, first = scan.name(position)
        if name == list_name and data[first : first + 1] == b"[":
            raw[name], first = _read_elements(scan, first, paths)
            position, is_last = scan.element_end(first)
            scan.check_blank(first, position)
        else:
            position, is_last = scan.element_end(first)
            raw[name] = scan.parse(first, position)
        position += 1
    return raw


def _read_elements(scan, start, paths):
    """Return the elements of a list, as far as they can be read, and its end."""
    elements, end = [], start
    for first, end in scan.runs(start):
        try:
            elements += scan.parse_run(first, end)
        except ValueError as error:
            is_one = end - first > MAX_TURN_BYTES
            found = [(first, end)] if is_one else scan.elements(first, end)
            elements += [
                _read_element(scan, begin, last, paths, error if is_one else None)
                for begin, last in found
            ]
    return elements, end + 1


def _read_element(scan, first, last, paths, error):
    """Return an element, or its parts at some paths if it is known to be unreadable."""
    if error is None:
        try:
            return scan.parse(first, last)
        except ValueError as found:
            error = found
    parts = {path: _read_part(scan, first, path) for path in paths}
    return _assemble(parts, str(error))


def _read_part(scan, start, path):
    """Return the value at a path of members; None if it cannot be read."""
    last = None
    try:
        for wanted in path:
            places = (place for name, *place in scan.members(start) if name == wanted)
            start, last = next(places, (start, None))
            if last is None:
                return None
        return scan.parse(start, last)
    except ValueError:
        return None
