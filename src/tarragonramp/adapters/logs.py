"""Log lines of key=value pairs."""

import json
import sys

import logbook

__all__ = ["log_event", "set_up_logs"]

_LOGGER = logbook.Logger("tarragonramp")


def set_up_logs(level="INFO", stream=sys.stderr):
    """Send this process's log lines to a stream, one event a line.

    Parameters
    ----------
    level : str, default="INFO"
    stream : file object, default=sys.stderr
    """
    handler = logbook.StreamHandler(stream, level=level)
    handler.format_string = (
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name}"
        " {record.message}"
    )
    handler.push_application()


def log_event(event, level=logbook.INFO, **fields):
    """Write one event.

    Parameters
    ----------
    event : str
        What happened, in kebab case.
    level : int, default=logbook.INFO
    **fields : object
        Logged as ``key=value``; values with spaces are quoted.
    """
    pairs = " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())
    _LOGGER.log(level, "{}", f"event={event} {pairs}".rstrip())


def _quoted(value):
    text = str(value)
    plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return text if plain else json.dumps(text)
