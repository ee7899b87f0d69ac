"""A caller's request on its way through the router."""

import attrs

from ..errors import RequestError
from ..meters import NOT_RUN, UNKNOWN

__all__ = ["Order"]

LEAST_RETRY_S = 0.02
PATIENCE = 3.2
"""Callers wait up to a third of the time that they have left; a little less is told."""


@attrs.define
class Order:
    """A request, where it goes, and what has become of it.

    Parameters
    ----------
    named : str
        Its id.
    method, target : str
    headers : list of (str, str)
    body : bytes
    route : Route
    service : str
    key : int or None
    arrived_ms, until_ms : float
        When its head was read, and until when it can be answered.
    is_wanted : callable
        Tells whether its caller still waits.
    clock : Clock
    tried : list of str
        Servers that it was sent to.
    in_doubt : bool
        Whether one of them may have run it.
    """

    named: str
    method: str
    target: str
    headers: list
    body: bytes
    route: object
    service: str
    key: object
    arrived_ms: float
    until_ms: float
    is_wanted: object
    clock: object
    tried: list = attrs.Factory(list)
    in_doubt: bool = False

    def refusal(self, status, reason, retry_after_s=None, **inputs):
        """Return the error of a request that is not sent (again).

        "Not run" only if no earlier try may have run. The inputs are what decided it.
        """
        if self.in_doubt:
            return RequestError(502, UNKNOWN, reason, None, inputs)
        return RequestError(status, NOT_RUN, reason, retry_after_s, inputs)

    def refusal_for_now(self, reason, wanted_s, **inputs):
        """Return the error that says to come back, within the time a caller waits."""
        left_s = (self.until_ms - self.clock.now_ms()) / 1000.0
        retry_s = max(LEAST_RETRY_S, min(wanted_s, left_s / PATIENCE))
        return self.refusal(503, reason, retry_s, **inputs)
