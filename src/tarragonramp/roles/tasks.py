"""Runs the endless tasks of a daemon."""

import traceback

import gevent

from ..adapters.logs import log_event

__all__ = ["keep_running"]

RESTART_MS = 200


def keep_running(task):
    """Start an endless task, and start it again whenever it fails.

    Guards against an unforeseen error in one round of a role: unseen, it would leave
    a daemon that serves but renews no grant. It shows as ``event=task-failed``.

    Parameters
    ----------
    task : callable
        Without arguments.

    Returns
    -------
    greenlet : gevent.Greenlet
    """

    def run():
        while True:
            try:
                task()
                return
            except Exception:
                log_event("task-failed", task=task.__qualname__)
                traceback.print_exc()
            gevent.sleep(RESTART_MS / 1000.0)

    return gevent.spawn(run)
