"""Conditional updates whose outcome is determined even if a response is lost."""

import gevent
from returns.result import Failure, Result, Success

from ..errors import (
    ConflictError,
    NotFoundError,
    OvertakenError,
    PlatformNotSentError,
    PlatformUnreachableError,
)
from ..results import is_successful

__all__ = ["delete_until_resolved", "put_until_resolved"]

RETRY_MS = 200


def put_until_resolved(platform, clock, stored, until_ms) -> Result:
    """Write an object, retrying until it is known whether the write took effect.

    A response can be lost after the write took effect, and a write without a response
    can still take effect later, so reading the old version back proves nothing. The
    same update is sent again instead: it is conditional on the same version, so it
    cannot take effect twice, and a conflict that shows its own request id is a success.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    stored : Stored
        With the version the update is conditional on; its spec has a ``request_id``.
    until_ms : float
        Deadline, as a reading of the clock.

    Returns
    -------
    stored : Success of Stored, or Failure of PlatformError
        ConflictError if another write came first; OvertakenError if this write may
        have been in effect before that one; PlatformNotSentError if it was never
        sent; PlatformUnreachableError if its outcome is unknown.
    """

    def attempt():
        return platform.put(stored.kind, stored.name, stored.spec, stored.version)

    def is_own_write(current):
        return current.spec.get("request_id") == stored.spec["request_id"]

    return _retry_until_resolved(attempt, is_own_write, clock, until_ms)


def delete_until_resolved(platform, clock, kind, name, version, until_ms) -> Result:
    """Delete an object, retrying until it is known whether it is deleted.

    Returns
    -------
    stored : Success of Stored or None, or Failure of PlatformError
        None if it was found to be deleted after a lost response.
    """
    in_doubt = []

    def attempt():
        result = platform.delete(kind, name, version)
        error = None if is_successful(result) else result.failure()
        is_deleted = isinstance(error, NotFoundError) or (
            isinstance(error, ConflictError) and error.current is None
        )
        if is_deleted and in_doubt:
            return Success(None)
        if isinstance(error, PlatformUnreachableError):
            in_doubt.append(error)
        return result

    return _retry_until_resolved(attempt, lambda current: False, clock, until_ms)


def _retry_until_resolved(attempt, is_own_write, clock, until_ms):
    in_doubt = False
    while True:
        result = attempt()
        if is_successful(result):
            return result
        error = result.failure()
        if isinstance(error, ConflictError):
            if error.current is not None and is_own_write(error.current):
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
