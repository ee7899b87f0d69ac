"""Outcome of a Result, without loading the library's other containers."""

from returns.result import Success

__all__ = ["is_successful"]


def is_successful(result):
    """Return whether a Result is a Success.

    The library's function of this name takes any of its containers, and loads them all
    when it is imported, which delays the start of a daemon.

    Parameters
    ----------
    result : returns.result.Result
    """
    return isinstance(result, Success)
