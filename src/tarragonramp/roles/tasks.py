"""Runs the endless tasks of a daemon."""

import time

import gevent
import logbook

from ..adapters.logs import log_event

__all__ = ["keep_running", "task_failures"]

FIRST_RESTART_MS = 200
LAST_RESTART_MS = 5000

_failures = {}


def task_failures():
    """Return how often each task of this process has failed, by its name."""
    return dict(_failures)


def keep_running(task):
    """Start an endless task, and start it again whenever it fails.

    Guards against an unforeseen error in one round of a role: unseen, it would leave
    a daemon that serves but renews no grant. It shows as ``event=task-failed`` and in
    the metric ``tasks.failures``. A task that goes on failing is started less often,
    so that it does not take the time of the others.

    Parameters
    ----------
    task : callable
        Without arguments.

    Returns
    -------
    greenlet : gevent.Greenlet
    """
    name = task.__qualname__
    _failures.setdefault(name, 0)

    def run():
        restart_ms = FIRST_RESTART_MS
        while True:
            began_s = time.monotonic()
            try:
                task()
                return
            except Exception as error:
                _failures[name] += 1
                log_event("task-failed", level=logbook.ERROR, task=name, error=error)
            ran_ms = (time.monotonic() - began_s) * 1000.0
            if ran_ms > LAST_RESTART_MS:
                restart_ms = FIRST_RESTART_MS
            gevent.sleep(restart_ms / 1000.0)
            restart_ms = min(restart_ms * 2, LAST_RESTART_MS)

    return gevent.spawn(run)
