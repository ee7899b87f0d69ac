"""One request's story, from the logs of several daemons.

Each line of a log is ``key=value`` pairs. A request is named by ``id``; what a daemon
came to believe of a server, of keys or of the store, shortly before or while it had the
request, may have decided its fate and is part of the story.
"""

import datetime
import json
import re

import attrs

__all__ = ["REQUEST_EVENTS", "LogLine", "parse_line", "story_of"]

BEFORE_MS = 5000.0
"""How far back a belief may stem from that decided over a request."""

SKEW_MS = 100.0
"""By how much the clocks of two VMs are taken to differ; within it the order of two
lines of different daemons is not certain."""

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
REQUEST_EVENTS = frozenset(("request-refused", "request-served", "try-failed"))


@attrs.frozen
class LogLine:
    """One line of a daemon's log.

    Parameters
    ----------
    at_ms : float
        Time of day by its daemon's clock, in ms since 1970.
    daemon, event : str
    fields : dict of str to str
    text : str
        As it was written.
    """

    at_ms: float
    daemon: str
    event: str
    fields: dict
    text: str


def parse_line(text):
    """Return the LogLine of a text, or None if it is none."""
    start = text.find("time=")
    if start < 0:
        return None
    text = text[start:].strip()
    fields = {key: _unquoted(value) for key, value in _PAIR.findall(text)}
    try:
        at = datetime.datetime.fromisoformat(fields["time"])
        return LogLine(
            at.timestamp() * 1000.0, fields["daemon"], fields["event"], fields, text
        )
    except (KeyError, ValueError):
        return None


def story_of(request_id, lines):
    """Return what the logs say of one request, in the order of time.

    Parameters
    ----------
    request_id : str
    lines : iterable of LogLine

    Returns
    -------
    story : list of (LogLine, str)
        Each line with a remark: empty for the request's own lines, else why it
        belongs here. Empty if no line names the request.
    """
    lines = sorted(lines, key=lambda line: line.at_ms)
    own = [line for line in lines if line.fields.get("id") == request_id]
    if not own:
        return []
    daemons = {line.daemon for line in own}
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    first_ms, last_ms = own[0].at_ms - BEFORE_MS, own[-1].at_ms + SKEW_MS
    story = []
    for line in lines:
        if not first_ms <= line.at_ms <= last_ms:
            continue
        if line.fields.get("id") == request_id:
            story.append((line, ""))
        elif line.event not in REQUEST_EVENTS:
            remark = _remark(line, daemons, servers)
            if remark:
                story.append((line, remark))
    return story


def _remark(line, daemons, servers):
    """Return why a line that does not name the request belongs to its story."""
    named = set(",".join(line.fields.values()).split(","))
    if servers & named:
        return "about a server that it was sent to"
    if line.daemon in daemons:
        return "what its daemon came to know"
    return ""


def _unquoted(value):
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.strip('"')
