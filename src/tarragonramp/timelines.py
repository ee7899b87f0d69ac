"""Timeline of one request, assembled from the logs of several daemons.

A log line consists of ``key=value`` pairs; ``id`` is the id of a request. The timeline
also contains what the request's daemons logged about servers, keys or the store, and
what any daemon logged about the servers the request was sent to, shortly before and
while it was processed: that may have determined the outcome.
"""

import datetime
import json
import re

import attrs

__all__ = ["REQUEST_EVENTS", "LogLine", "parse_line", "request_timeline"]

LOOKBACK_MS = 5000.0
"""How long before the request's first line its timeline begins: an observation of this
age may still have determined the outcome."""

MAX_CLOCK_SKEW_MS = 100.0
"""Assumed maximum difference between the clocks of two VMs; the order of two lines of
different daemons within this time is uncertain."""

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
REQUEST_EVENTS = frozenset(
    ("delegated-request-refused", "request-refused", "request-served", "try-failed")
)


@attrs.frozen
class LogLine:
    """One line of a daemon's log.

    Parameters
    ----------
    at_ms : float
        Time in ms since the Unix epoch, by the daemon's clock.
    daemon, event : str
    fields : dict of str to str
    text : str
        The line as logged.
    """

    at_ms: float
    daemon: str
    event: str
    fields: dict
    text: str


def parse_line(text):
    """Parse a line of text; return None if it is not a log line of a daemon."""
    start = text.find("time=")
    if start < 0:
        return None
    text = text[start:].strip()
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    try:
        logged_at = datetime.datetime.fromisoformat(fields["time"])
        return LogLine(
            logged_at.timestamp() * 1000.0,
            fields["daemon"],
            fields["event"],
            fields,
            text,
        )
    except (KeyError, ValueError):
        return None


def request_timeline(request_id, lines):
    """Return the log lines that concern one request, in order of time.

    Parameters
    ----------
    request_id : str
    lines : iterable of LogLine

    Returns
    -------
    timeline : list of (LogLine, str)
        Each line with its relevance: empty for lines of the request itself, otherwise
        why the line is included. The list is empty if no line names the request.
    """
    lines = sorted(lines, key=lambda line: line.at_ms)
    own_lines = [line for line in lines if line.fields.get("id") == request_id]
    if not own_lines:
        return []
    daemons = {line.daemon for line in own_lines}
    servers = {line.fields["server"] for line in own_lines if "server" in line.fields}
    contents = {
        line.fields["content"] for line in own_lines if "content" in line.fields
    }
    first_ms, last_ms = (
        own_lines[0].at_ms - LOOKBACK_MS,
        own_lines[-1].at_ms + MAX_CLOCK_SKEW_MS,
    )
    timeline = []
    for line in lines:
        if line.at_ms <= last_ms and line.fields.get("content") in contents:
            is_own = line.fields.get("id") == request_id
            timeline.append((line, "" if is_own else "about the same content"))
            continue
        if not first_ms <= line.at_ms <= last_ms:
            continue
        if line.fields.get("id") == request_id:
            timeline.append((line, ""))
        elif line.event not in REQUEST_EVENTS:
            relevance = _relevance(line, daemons, servers)
            if relevance:
                timeline.append((line, relevance))
    return timeline


def _relevance(line, daemons, servers):
    """Return why a line without the request's id is relevant; empty if it is not."""
    values = set(",".join(line.fields.values()).split(","))
    if servers & values:
        return "about a server that the request was sent to"
    if line.daemon in daemons:
        return "observed by its daemon"
    return ""


def _unquote(value):
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.strip('"')
