"""Steps that only help: their errors are logged and end nothing else."""

import collections
import contextlib

import logbook

from .logs import log_event

__all__ = ["optional_step", "optional_step_failures"]

MAX_LOGGED = 100

_failures = collections.Counter()
_logged = set()


@contextlib.contextmanager
def optional_step(name):
    """Log an error of a step that the work around it can do without.

    An error is logged the first time a step fails with it, and counted each time: what
    the kernel refuses on one connection it refuses on all.

    Parameters
    ----------
    name : str
        Name of the step in kebab case.
    """
    try:
        yield
    except Exception as error:
        _failures[name] += 1
        key = name, type(error), str(error)
        if key not in _logged and len(_logged) < MAX_LOGGED:
            _logged.add(key)
            log_event(
                "optional-step-failed", level=logbook.WARNING, step=name, error=error
            )


def optional_step_failures():
    """Return how often each optional step of this process has failed, by name."""
    return dict(_failures)
