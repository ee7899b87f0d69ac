"""Subcommands that explain failures from the logs of daemons."""

import datetime
import sys

from .client import EXIT_FAILED, EXIT_INVALID, CommandError
from .console import Output, format_table, render
from .losses import count_suppressed, group_losses
from .timelines import parse_line, request_timeline

__all__ = ["explain_losses", "explain_request"]

LOSS_COLUMNS = ("service", "status", "count", "held_ms", "reason", "examples")


def explain_request(request_id: str, *, log: list[str] | None = None):
    """Trace one request through the logs of the daemons.

    Prints log lines in order of time; the clocks of daemons may differ by 100 ms. These
    are the lines of the request itself and, from 5 s before its first one, other lines
    of its daemon and lines of any daemon about the servers that the request was sent
    to. Lines of other requests are left out.

    Example: tarragonramp explain-request 9c41d07be2a35f68 --log d1.log d2.log

    Parameters
    ----------
    request_id
        Request id as the caller sent it; refused requests carry it in their response.
    log
        Files with the standard output of daemons; standard input if not given.
    """
    lines = _read_log_lines(log or [])
    timeline = request_timeline(request_id, lines)
    if not timeline:
        hint = "successful requests are not logged; is the log complete?"
        message = f"{request_id}: none of {len(lines)} log lines names it"
        raise CommandError(EXIT_FAILED, f"{message}; {hint}")
    for line, relevance in timeline:
        print(f"{line.text}{f'  # {relevance}' if relevance else ''}")
    daemons = sorted({line.daemon for line, _ in timeline})
    if len(daemons) > 1:
        names = ", ".join(daemons)
        print(f"order between {names} is certain only beyond 100 ms", file=sys.stderr)


def explain_losses(
    *,
    log: list[str] | None = None,
    since: str = "",
    until: str = "",
    output: Output = "table",
):
    """Summarize why requests were refused or failed in a time range, by service.

    Each row lists some request ids; explain-request traces one of them.

    Example: tarragonramp explain-losses --since 2026-04-05T16:25:00Z --log d1.log

    Parameters
    ----------
    log
        Files with the standard output of daemons; standard input if not given.
    since
        Start of the time range (ISO 8601, by the daemons' clocks); the beginning of
        the logs if not given.
    until
        End of the time range; the end of the logs if not given.
    output
        Output format.
    """
    time_range = _parse_time_ms(since, "-inf"), _parse_time_ms(until, "inf")
    lines = _read_log_lines(log or [])
    losses = group_losses(lines, *time_range)
    rows = [
        {
            "service": group.service,
            "status": group.status,
            "count": group.count,
            "held_ms": round(group.median_held_ms),
            "reason": group.reason,
            "examples": " ".join(group.examples),
        }
        for group in losses
    ]
    print(render(rows, output, lambda data: format_table(data, LOSS_COLUMNS)))
    suppressed = count_suppressed(lines, *time_range)
    if suppressed:
        message = f"{suppressed} more were not logged; the refusals metric counts all"
        print(message, file=sys.stderr)


def _read_log_lines(paths):
    """Return the LogLines of the given files, or of standard input without any."""
    return [line for text in _read_texts(paths) if (line := parse_line(text))]


def _parse_time_ms(text, default):
    if not text:
        return float(default)
    try:
        return datetime.datetime.fromisoformat(text).timestamp() * 1000.0
    except ValueError:
        raise CommandError(EXIT_INVALID, f"{text}: not an ISO 8601 time") from None


def _read_texts(paths):
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise CommandError(EXIT_INVALID, f"{path}: {error.strerror}") from error
