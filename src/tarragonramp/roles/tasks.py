"""Runs the tasks of a daemon: endless ones, and the drain that ends it."""

import time

import gevent
import logbook

from ..adapters.logs import log_event

__all__ = ["keep_running", "run_until_drained", "task_failures"]

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


def run_until_drained(stopped, drain):
    """Wait in the main greenlet until a daemon is to stop, then drain it.

    gevent raises a SystemError, SystemExit or KeyboardInterrupt of any greenlet in the
    main greenlet, whose end is the end of the process and of callers' requests. Such an
    error is a request to stop here, and does not end a drain.

    Parameters
    ----------
    stopped : Event
        Set when the daemon is to stop.
    drain : callable
        Called without arguments.

    Returns
    -------
    is_clean : bool
        Whether no error occurred.
    """
    errors = []
    _note_error(stopped.wait, errors)
    stopped.set()
    draining = gevent.spawn(drain)
    while not draining.ready():
        _note_error(draining.join, errors)
    return not errors and draining.successful()


def _note_error(call, errors):
    try:
        call()
    except BaseException as error:
        errors.append(error)
        log_event("daemon-failed", level=logbook.ERROR, error=error)
