"""A caller's request while the fleet's router handles it."""

import attrs

from ..errors import RequestError
from ..meters import NOT_RUN, UNKNOWN

__all__ = ["RoutedRequest"]

MIN_RETRY_S = 0.02
WAIT_DIVISOR = 3.2
"""Callers wait for at most a third of their remaining time before they retry.

Refusals name slightly less than a third."""


@attrs.define
class RoutedRequest:
    """A caller's request, its route, and the attempts to serve it.

    Parameters
    ----------
    request_id : str
    method, target : str
    headers : list of (str, str)
    body : bytes
    route : Route
    service : str
    key : int or None
    arrived_ms, until_ms : float
        When its head was read, and its deadline.
    is_wanted : callable
        Returns whether its caller still waits.
    clock : Clock
    tried : list of str
        Servers to which it was sent.
    in_doubt : bool
        Whether one of them may have run it.
    may_delegate : bool
        Whether it may be handed to another daemon: not if it came from one, nor if none
        took it.
    is_credited : bool
        Whether the retry budget has been credited for it.
    was_sent : bool
        Whether a server has got it.
    is_unpaid_retry : bool
        Whether another daemon has sent it, and no retry budget has paid for a retry.
    team : CallerTeam or None
        Whose caller it is from; None if callers need no API key.
    has_token : bool
        Whether a token of the team's usage cap has been taken for the next send.
    mark : str
        What identifies its content, see :func:`.content_mark`; empty until needed.
    is_trial : bool
        Whether it is sent to find out whether its content still has to be held back.
    """

    request_id: str
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
    may_delegate: bool = True
    is_credited: bool = False
    was_sent: bool = False
    is_unpaid_retry: bool = False
    team: object = None
    has_token: bool = False
    mark: str = ""
    is_trial: bool = False

    @property
    def may_repeat(self):
        """Whether it may be sent to one more server although one may have run it."""
        return self.route.idempotent and len(self.tried) < self.route.attempts

    def refusal(self, status, reason, retry_after_s=None, **inputs):
        """Return the error for a request that is not sent, or not sent again.

        The outcome is "not run" only if no earlier attempt may have run. The inputs are
        the values that led to the refusal.
        """
        if self.was_sent:
            inputs = {**inputs, "was_sent": True}
        if self.in_doubt:
            return RequestError(502, UNKNOWN, reason, None, inputs)
        return RequestError(status, NOT_RUN, reason, retry_after_s, inputs)

    def retryable_refusal(self, reason, preferred_s, **inputs):
        """Return the error that asks the caller to retry within its remaining time."""
        left_s = (self.until_ms - self.clock.now_ms()) / 1000.0
        retry_s = max(MIN_RETRY_S, min(preferred_s, left_s / WAIT_DIVISOR))
        return self.refusal(503, reason, retry_s, **inputs)
