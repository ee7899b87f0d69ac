"""Runs the endless tasks of a daemon."""

import time

import gevent
import logbook

from ..adapters.logs import log_event

__all__ = ["keep_running", "task_failures"]

MIN_RESTART_DELAY_MS = 200
MAX_RESTART_DELAY_MS = 5000

_failures = {}


def task_failures():
    """Return how often each task of this process has failed, by task name."""
    return dict(_failures)


def keep_running(task):
    """Start an endless task, and restart it whenever it fails.

    This guards against an unforeseen error in one round of a role, which would
    otherwise go unnoticed and leave a daemon that serves requests but renews no grants.
    Failures are logged as ``event=task-failed`` and counted in the metric
    ``tasks.failures``. A task that keeps failing is restarted at longer intervals, so
    that it does not take time from the others.

    Parameters
    ----------
    task : callable
        Called without arguments.

    Returns
    -------
    greenlet : gevent.Greenlet
    """
    name = task.__qualname__
    _failures.setdefault(name, 0)

    def run():
        restart_delay_ms = MIN_RESTART_DELAY_MS
        while True:
            began_s = time.monotonic()
            try:
                task()
                return
            except Exception as error:
                _failures[name] += 1
                log_event("task-failed", level=logbook.ERROR, task=name, error=error)
            ran_ms = (time.monotonic() - began_s) * 1000.0
            if ran_ms > MAX_RESTART_DELAY_MS:
                restart_delay_ms = MIN_RESTART_DELAY_MS
            gevent.sleep(restart_delay_ms / 1000.0)
            restart_delay_ms = min(restart_delay_ms * 2, MAX_RESTART_DELAY_MS)

    return gevent.spawn(run)
