"""Limits how many retries the routers may add to the callers' own requests."""

import attrs

__all__ = ["RetryBudget"]


@attrs.define
class RetryBudget:
    """Allows retries up to a share of the first attempts.

    If all servers of a service are slow or failing at once, for example after an outage
    of some seconds, unlimited retries would multiply a load that the servers already
    cannot handle, and keep them down.

    Parameters
    ----------
    share : float, default=0.1
        Retries for each first attempt. A tenth hides the loss of one server of a dozen.
        One retry of each request would double the load, which keeps a server with three
        slots from recovering.
    reserve : float, default=5.0
        Retries that may be accumulated, so that a service with little traffic can still
        retry. Small, because it is what each entry can add at once in a sudden outage.
    """

    share: float = 0.1
    reserve: float = 5.0
    _balance: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Start with the full reserve."""
        self._balance = self.reserve

    def earn(self):
        """Record the first attempt of a request."""
        self._balance = min(self.reserve, self._balance + self.share)

    def spend(self):
        """Take one retry from the budget; False if none is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
