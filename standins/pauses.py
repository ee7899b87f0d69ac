"""Reports pauses of a stand-in's process on its standard error.

A pause is a time in which the process was not scheduled or its event loop was blocked.
"""

import os
import re
import sys

import gevent

from tarragonramp.adapters.usage import LoopWatch

__all__ = ["watch_pauses", "read_pauses"]

PAUSE_LINE = re.compile(r"event=(?:stood-still|event-loop-blocked) .*")


def watch_pauses():
    """Print a line for each pause of this process, until it ends.

    To callers, a server or proxy that gets no CPU time looks like one that does not
    respond; only the process itself can tell the difference.
    """
    gevent.spawn(LoopWatch(_print_pause).run)


def _print_pause(blocked_ms, cpu_ms):
    line = f"event=stood-still ms={blocked_ms:.0f} cpu_ms={cpu_ms:.0f}"
    print(line, file=sys.stderr, flush=True)


def read_pauses(folder):
    """Return the pauses that the processes of a site have reported.

    Parameters
    ----------
    folder : str
        The site's folder, with the standard error of each process.

    Returns
    -------
    pauses : list of str
        One line per pause, prefixed with the name of the process.
    """
    found = []
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".err"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8") as stream:
            found += [
                f"{name[:-4]}: {line}" for line in PAUSE_LINE.findall(stream.read())
            ]
    return found
