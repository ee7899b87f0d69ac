"""Refusals that several roles share, and why a request was refused."""

import logbook

from ..adapters.logs import log_event
from ..errors import RequestError
from ..meters import UNKNOWN
from ..stopping import STOPPING_REASON, STOPPING_RETRY_S

__all__ = [
    "ABANDONED_STATUS",
    "log_refusal",
    "revoked_answer_error",
    "stopping_refusal",
]

ABANDONED_STATUS = 499
"""Status of a request whose caller has gone, which needs no explanation."""


def stopping_refusal(request):
    """Return the error for a request that this process would not live to answer.

    Parameters
    ----------
    request : RoutedRequest or Request
    """
    return request.refusal(503, STOPPING_REASON, STOPPING_RETRY_S)


def revoked_answer_error():
    """Return the error for a request whose answer was broken off for its memory.

    It is not sent again, as a further attempt would need the same memory.
    """
    return RequestError(502, UNKNOWN, "no memory left for the answer")


def log_refusal(request_id, error, times, now_ms, **context):
    """Log a refusal with what decided it, unless the caller has gone.

    Parameters
    ----------
    request_id : str
    error : RequestError
    times : RequestTimes
    now_ms : float
    **context : object
        Further values to log, about the daemon rather than the request.
    """
    if error.status == ABANDONED_STATUS:
        return
    log_event(
        "request-refused",
        level=logbook.INFO,
        id=request_id,
        service=times.service,
        status=error.status,
        outcome=error.outcome,
        reason=error.reason,
        retry_after_s=round(error.retry_after_s or 0.0, 3),
        held_ms=round(now_ms - times.began_ms),
        **error.inputs,
        **context,
    )
