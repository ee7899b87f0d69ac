"""Conditional updates that say what became of them, also after a lost answer."""

import gevent
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..errors import (
    ConflictError,
    NotFoundError,
    OvertakenError,
    PlatformNotSentError,
    PlatformUnreachableError,
)

__all__ = ["delete_surely", "put_surely"]

RETRY_MS = 200


def put_surely(platform, clock, stored, until_ms) -> Result:
    """Write an object, and find out whether the write took effect.

    An answer can be lost after the change has taken effect, and the write can still
    land later: reading the old version back proves nothing. The same update is sent
    again instead. It is conditional on the same version, so it cannot run twice,
    and a conflict that shows the own request id is a success.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    stored : Stored
        With the version the update is conditional on; its spec has a ``request_id``.
    until_ms : float
        When to give up, on the clock.

    Returns
    -------
    stored : Success of Stored, or Failure of PlatformError
        ConflictError if another write was first; OvertakenError if the own write
        may have been in force before that; PlatformNotSentError if it did not run;
        PlatformUnreachableError if nobody can say.
    """

    def attempt():
        return platform.put(stored.kind, stored.name, stored.spec, stored.version)

    def is_own(current):
        return current.spec.get("request_id") == stored.spec["request_id"]

    return _until_known(attempt, is_own, clock, until_ms)


def delete_surely(platform, clock, kind, name, version, until_ms) -> Result:
    """Delete an object, and find out whether it is gone.

    Returns
    -------
    stored : Success of Stored or None, or Failure of PlatformError
        None if it was found to be gone after a lost answer.
    """
    in_doubt = []

    def attempt():
        result = platform.delete(kind, name, version)
        error = None if is_successful(result) else result.failure()
        gone = isinstance(error, NotFoundError) or (
            isinstance(error, ConflictError) and error.current is None
        )
        if gone and in_doubt:
            return Success(None)
        if isinstance(error, PlatformUnreachableError):
            in_doubt.append(error)
        return result

    return _until_known(attempt, lambda current: False, clock, until_ms)


def _until_known(attempt, is_own, clock, until_ms):
    in_doubt = False
    while True:
        result = attempt()
        if is_successful(result):
            return result
        error = result.failure()
        if isinstance(error, ConflictError):
            if error.current is not None and is_own(error.current):
                return Success(error.current)
            if in_doubt:
                error = OvertakenError(error.expected_version, error.current)
            return Failure(error)
        if not isinstance(error, PlatformUnreachableError):
            return result
        in_doubt = in_doubt or not isinstance(error, PlatformNotSentError)
        if clock.now_ms() + RETRY_MS >= until_ms:
            return Failure(PlatformUnreachableError(str(error)) if in_doubt else error)
        gevent.sleep(RETRY_MS / 1000.0)
