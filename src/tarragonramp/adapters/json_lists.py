"""Reads JSON lists in which one element may be unreadable, without losing the others.

A parser of whole documents fails as a whole: on bytes that are no text, a number with
too many digits, or more nesting than it can follow. So a list that can't be read is cut
into its elements first, by a scan that neither nests nor converts anything.
"""

import json
import math
import re

import logbook

from .logs import log_event

__all__ = ["is_plain", "parse_json", "read_list"]

MAX_DEPTH = 32
"""Levels of nesting in an element. Whoever passes it on, or logs it, may follow fewer
levels than the parser."""

MAX_INTEGER = (1 << 63) - 1
MAX_LOGGED_CHARS = 200

_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)
_SPACE = re.compile(r"[ \t\r\n]*")
_UNDECODABLE = re.compile("[\udc80-\udcff]")


def read_list(data, list_name, paths, checks=True):
    """Parse a JSON object that has a list.

    Of an element that cannot be read only the members at ``paths`` are returned.

    Parameters
    ----------
    data : bytes
    list_name : str
        The member with the list.
    paths : sequence of tuple of str
        For each of these members, the names that lead to it.
    checks : bool, default=True
        Whether elements that are not plain count as unreadable, see :func:`is_plain`.

    Returns
    -------
    raw : dict
        The object, with its list.

    Raises
    ------
    ValueError
        If the object cannot be read, or has no such list.
    """
    try:
        raw = parse_json(data)
    except ValueError:
        raw = _read_in_parts(data, list_name, paths)
    if not isinstance(raw, dict) or not isinstance(raw.get(list_name), list):
        raise ValueError(f"no object with a list of {list_name}")
    if checks:
        raw[list_name] = [
            element if is_plain(element) else _keep(element, paths, "not plain")
            for element in raw[list_name]
        ]
    return raw


def parse_json(data):
    """Parse JSON; ValueError for whatever cannot be parsed.

    Parameters
    ----------
    data : bytes or str
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def is_plain(value, max_depth=MAX_DEPTH):
    """Return whether a parsed value can be passed on as it is.

    Not if it is nested too deeply, or has numbers that other programs can't represent.
    """
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return not isinstance(value, (int, float)) or _is_usual_number(value)
    return max_depth > 0 and all(is_plain(part, max_depth - 1) for part in value)


def _is_usual_number(value):
    if isinstance(value, float):
        return math.isfinite(value)
    return -MAX_INTEGER <= value <= MAX_INTEGER


def _read_in_parts(data, list_name, paths):
    text = data.decode(errors="surrogateescape")
    first, last = _member(text, 0, list_name)
    if text[first : first + 1] != "[":
        raise ValueError(f"no list of {list_name}")
    elements = [
        _read_element(text[begin:end], paths) for begin, end in _elements(text, first)
    ]
    raw = _loads(text[:first] + "[]" + text[last:])
    raw[list_name] = elements
    return raw


def _read_element(text, paths):
    try:
        return _loads(text)
    except ValueError as error:
        parts = {path: _read_part(text, path) for path in paths}
        return _assemble(parts, str(error))


def _keep(element, paths, reason):
    """Return only the members of an element at some paths."""
    parts = {}
    for path in paths:
        part = element
        for name in path:
            part = part.get(name) if isinstance(part, dict) else None
        parts[path] = part if is_plain(part) else None
    return _assemble(parts, reason)


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


def _loads(text):
    if _UNDECODABLE.search(text):
        raise ValueError("bytes that are no text")
    return parse_json(text)


def _read_part(text, path):
    """Return the value at a path of members; None if it cannot be read."""
    first, last = 0, len(text)
    try:
        for member in path:
            first, last = _member(text, first, member)
        return _loads(text[first:last])
    except ValueError:
        return None


def _member(text, start, name):
    """Return where the value of a member begins and ends.

    ``start`` is where its object begins.
    """
    quoted = json.dumps(name)
    for begin, end in _elements(text, start):
        key = _TOKEN.match(text, begin, end)
        colon = _skip_space(text, key.end()) if key else end
        if text[colon : colon + 1] != ":":
            raise ValueError("not a member of an object")
        if key[0] == quoted:
            return _skip_space(text, colon + 1), end
    raise ValueError(f"no member {name}")


def _elements(text, start):
    """Yield where each element of the list or object at ``start`` begins and ends."""
    start = _skip_space(text, start)
    if text[start : start + 1] not in ("[", "{"):
        raise ValueError("neither a list nor an object")
    depth, begin = 0, start + 1
    for token in _TOKEN.finditer(text, start):
        mark, end = token[0], token.start()
        if mark[0] in "[{":
            depth += len(mark)
        elif mark[0] in "]}":
            # Of a run of closing brackets, the one that ends the whole may be any.
            end += depth - 1
            depth -= len(mark)
        if depth <= 0 or (depth == 1 and mark == ","):
            first = _skip_space(text, begin)
            if first < end:
                yield first, first + len(text[first:end].rstrip(" \t\r\n"))
            begin = token.end()
        if depth <= 0:
            return
    raise ValueError("a list or object without its end")


def _skip_space(text, position):
    return _SPACE.match(text, position).end()
