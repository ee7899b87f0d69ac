"""Logging as lines of key=value pairs, one per event, also for library messages."""

import json
import logging
import os
import select
import sys
import time
import traceback

import attrs
import gevent
import logbook
import logbook.compat
from gevent import monkey

__all__ = ["LogLimiter", "log_event", "log_lines_suppressed", "set_up_logs"]

MAX_VALUE_CHARACTERS = 2000
ALL_EVENTS = "*"

MAX_LINE_BYTES = select.PIPE_BUF
"""Longest line. Writes to a pipe up to this size are atomic: a pipe that is writable
takes the whole line at once."""

_LOGGER = logbook.Logger("tarragonramp")
# gevent's poll would switch to other greenlets in the middle of the code that logs.
_original_poll = monkey.get_original("select", "poll")


@attrs.define
class LogLimiter:
    """Token-bucket rate limiter for log lines, per event and overall.

    A line costs about 30 us and may block on a slow reader. A fault that affects every
    request or every round of a role would log thousands of lines per second and take
    the time of requests that can still be served. The burst shows how a fault begins,
    and a few lines per second show that it persists; the next line written for an event
    gives the number of suppressed ones.

    Parameters
    ----------
    burst, per_second : float
        Limits for each event.
    overall_burst, overall_per_second : float
        Limits for all events together.
    suppressed : dict of str to int
        Lines suppressed since the last one written, by event.
    total : int
        Lines suppressed since the start.
    """

    burst: float = 40
    per_second: float = 5
    overall_burst: float = 400
    overall_per_second: float = 100
    suppressed: dict = attrs.Factory(dict)
    total: int = 0
    _tokens: dict = attrs.Factory(dict)

    def admit(self, event, now_ms):
        """Decide whether to write a line.

        Returns
        -------
        n_suppressed : int or None
            Number of lines of this event suppressed before it; None if this line is to
            be suppressed as well.
        """
        event_tokens = self._refill(event, self.burst, self.per_second, now_ms)
        overall_tokens = self._refill(
            ALL_EVENTS, self.overall_burst, self.overall_per_second, now_ms
        )
        if event_tokens < 1 or overall_tokens < 1:
            self.total += 1
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return None
        self._tokens[event] = (event_tokens - 1, now_ms)
        self._tokens[ALL_EVENTS] = (overall_tokens - 1, now_ms)
        return self.suppressed.pop(event, 0)

    def _refill(self, name, burst, per_second, now_ms):
        tokens, at_ms = self._tokens.get(name, (burst, now_ms))
        tokens = min(burst, tokens + (now_ms - at_ms) * per_second / 1000.0)
        self._tokens[name] = (tokens, now_ms)
        return tokens


_LIMITER = LogLimiter()


class _LineHandler(logbook.StreamHandler):
    """Writes each record as one line."""

    def __init__(self, name, stream, level):
        super().__init__(stream, level=level)
        self._name = name

    def emit(self, record):
        """Write the record unless the rate limiter suppresses it."""
        event = record.extra.get("event") or f"library-{record.channel}"
        n_suppressed = _LIMITER.admit(event, time.monotonic() * 1000.0)
        if n_suppressed is None:
            return
        line = (
            f"time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z"
            f" level={record.level_name.lower()} daemon={self._name} {_text_of(record)}"
        )
        if n_suppressed:
            line += f" suppressed={n_suppressed}"
        if not self._write(line.encode()[: MAX_LINE_BYTES - 1] + b"\n"):
            _LIMITER.total += 1

    def _write(self, data):
        """Write a line without blocking; return whether it was written.

        If the reader of the log stalls, a blocking write to the full pipe would stop
        the process, and all callers with it, until the log is read again.
        """
        try:
            descriptor = self.stream.fileno()
        except (OSError, ValueError):
            self.stream.write(data.decode("utf-8", "replace"))
            return True
        try:
            poll = _original_poll()
            poll.register(descriptor, select.POLLOUT)
            if not poll.poll(0):
                return False
            return os.write(descriptor, data) == len(data)
        except OSError:
            return False


def set_up_logs(name="", level="info", stream=sys.stderr):
    """Send all log output of this process to a stream, one line per event.

    Library log messages, warnings and uncaught exceptions are written in the same form,
    so that the log consists of key=value lines only.

    Parameters
    ----------
    name : str, default=""
        Name of the daemon.
    level : {"debug", "info", "warning", "error"}, default="info"
    stream : file object, default=sys.stderr

    Returns
    -------
    handler : logbook.Handler
        Its ``pop_application`` stops logging to the stream.
    """
    handler = _LineHandler(name, stream, level.upper())
    handler.push_application()
    logbook.compat.redirect_logging()
    logging.getLogger().setLevel(logging.WARNING)
    logging.captureWarnings(True)
    gevent.get_hub().print_exception = _log_uncaught
    sys.excepthook = lambda kind, error, trace: _log_uncaught(None, kind, error, trace)
    sys.unraisablehook = lambda unraisable: _log_uncaught(
        unraisable.object,
        unraisable.exc_type,
        unraisable.exc_value,
        unraisable.exc_traceback,
    )
    return handler


def log_event(event, level=logbook.INFO, **fields):
    """Log one event.

    Parameters
    ----------
    event : str
        Name of the event in kebab case.
    level : int, default=logbook.INFO
    **fields : object
        Logged as ``key=value``; values with spaces are quoted. An exception with a
        traceback gets the further fields ``raised_in`` and ``trace``.

    An error here is counted as a line that was left out: what is logged goes on.
    """
    try:
        line = _format_event(event, fields)
        _LOGGER.log(level, "{}", line, extra={"event": event})
    except Exception:
        _LIMITER.total += 1


def log_lines_suppressed():
    """Return the number of log lines suppressed since the start."""
    return _LIMITER.total


def _log_uncaught(context, kind, error, trace):
    name = type(context).__name__ if context is not None else ""
    log_event(
        "uncaught-error",
        level=logbook.ERROR,
        context=name,
        raised_in=_innermost_call(trace),
        kind=kind.__name__,
        message=error,
        trace=_format_trace(kind, error, trace),
    )


def _format_event(event, fields):
    error = fields.get("error")
    if isinstance(error, BaseException) and error.__traceback__ is not None:
        trace = error.__traceback__
        fields = {"raised_in": _innermost_call(trace), **fields}
        fields["trace"] = _format_trace(type(error), error, trace)
    pairs = " ".join(f"{key}={_quote(value)}" for key, value in fields.items())
    return f"event={event} {pairs}".rstrip()


def _innermost_call(trace):
    """Return ``file:line:function`` of the code that raised an error.

    Logged before the traceback, whose end is lost if the line is shortened.
    """
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    code = trace.tb_frame.f_code
    return f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}:{code.co_name}"


def _format_trace(kind, error, trace):
    return "".join(traceback.format_exception(kind, error, trace))


def _text_of(record):
    if "event" in record.extra:
        return record.message
    text = f"event=library-message library={record.channel}"
    text += f" message={_quote(record.message)}"
    if record.formatted_exception:
        text += f" trace={_quote(record.formatted_exception)}"
    return text


def _quote(value):
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        # Keep the end: that of a traceback is more informative than its beginning.
        text = f"...{text[-MAX_VALUE_CHARACTERS:]}"
    plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return text if plain else json.dumps(text)
