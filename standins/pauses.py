"""Tells when a stand-in's process stood still, in its standard error."""

import os
import re
import sys

import gevent

from tarragonramp.adapters.usage import LoopWatch

__all__ = ["note_pauses", "pauses_in"]

LINE = re.compile(r"event=(?:stood-still|event-loop-blocked) .*")


def note_pauses():
    """Watch this process for as long as it runs.

    A machine that gives a server or the proxy no time looks to callers like a server
    that is silent; only the process itself can tell.
    """
    gevent.spawn(LoopWatch(_print_pause).run)


def _print_pause(blocked_ms, cpu_ms):
    line = f"event=stood-still ms={blocked_ms:.0f} cpu_ms={cpu_ms:.0f}"
    print(line, file=sys.stderr, flush=True)


def pauses_in(folder):
    """Return what the processes of a site have said of their pauses.

    Parameters
    ----------
    folder : str
        Of the site.

    Returns
    -------
    pauses : list of str
        One for each, with the name of its process.
    """
    found = []
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".err"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8") as stream:
            found += [f"{name[:-4]}: {line}" for line in LINE.findall(stream.read())]
    return found
