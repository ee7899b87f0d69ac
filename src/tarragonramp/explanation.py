"""Subcommands that explain failures from the logs of daemons."""

import datetime
import sys

from .client import EXIT_FAILED, EXIT_INVALID, CommandError
from .console import Output, format_table, render
from .losses import losses_of, suppressed_in
from .storylines import parse_line, story_of

__all__ = ["explain_losses", "explain_request"]

COLUMNS = ("service", "status", "count", "held_ms", "reason", "examples")


def explain_request(request_id: str, *, log: list[str] | None = None):
    """Tell what became of one request, from the logs of the daemons.

    Lines of all daemons are put in the order of time, by clocks that may differ by
    100 ms. Beside the request's own lines stands what its daemon came to know, and
    what any daemon says of the servers that it was sent to, from 5 s before.

    Example: tarragonramp explain-request 9c41d07be2a35f68 --log d1.log d2.log

    Parameters
    ----------
    request_id
        As the caller sent it; refusals carry it back.
    log
        Files with the standard output of daemons; else standard input.
    """
    lines = _lines_of(log or [])
    story = story_of(request_id, lines)
    if not story:
        hint = "answers that went well are not logged; was the log complete?"
        message = f"{request_id}: no line of {len(lines)} names it"
        raise CommandError(EXIT_FAILED, f"{message}; {hint}")
    for line, remark in story:
        print(f"{line.text}{f'  # {remark}' if remark else ''}")
    daemons = sorted({line.daemon for line, _ in story})
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
    """Tell why requests were refused or failed over a span of time, by service.

    Each row names some requests; explain-request tells the story of one of them.

    Example: tarragonramp explain-losses --since 2026-04-05T16:25:00Z --log d1.log

    Parameters
    ----------
    log
        Files with the standard output of daemons; else standard input.
    since
        Time of day by the daemons' clocks; from the beginning if not given.
    until
        The same; to the end if not given.
    output
        Form of the output.
    """
    span = _time_ms(since, "-inf"), _time_ms(until, "inf")
    lines = _lines_of(log or [])
    losses = losses_of(lines, *span)
    rows = [
        {
            "service": loss.service,
            "status": loss.status,
            "count": loss.count,
            "held_ms": round(loss.median_held_ms),
            "reason": loss.reason,
            "examples": " ".join(loss.examples),
        }
        for loss in losses
    ]
    print(render(rows, output, lambda data: format_table(data, COLUMNS)))
    suppressed = suppressed_in(lines, *span)
    if suppressed:
        message = f"{suppressed} more have no line; the refusals metric counts them all"
        print(message, file=sys.stderr)


def _lines_of(paths):
    """Return the LogLines of files, or of standard input if there are none."""
    return [line for text in _log_texts(paths) if (line := parse_line(text))]


def _time_ms(text, default):
    if not text:
        return float(default)
    try:
        return datetime.datetime.fromisoformat(text).timestamp() * 1000.0
    except ValueError:
        raise CommandError(EXIT_INVALID, f"{text}: no time of day") from None


def _log_texts(paths):
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise CommandError(EXIT_INVALID, f"{path}: {error.strerror}") from error
