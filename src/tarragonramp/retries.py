"""How many further tries the routers may add to the callers' own traffic."""

import attrs

__all__ = ["RetryBudget"]


@attrs.define
class RetryBudget:
    """Allows extra sends up to a share of the first ones.

    Load: every server of a service slow or failing at once, as after an outage of
    some seconds. Harm prevented: each request being sent several times, so that the
    servers meet a multiple of the load that they already cannot bear, and stay down.

    Parameters
    ----------
    share : float, default=0.1
        Extra sends for each first send. A tenth hides the loss of one server among a
        dozen; twice the load, as one retry each would make, is what keeps a server
        with three slots from coming back.
    reserve : float, default=5.0
        Extra sends that may be saved up, so that a quiet service can still retry.
        Small, since it is what each entry can add at once to a sudden outage.
    """

    share: float = 0.1
    reserve: float = 5.0
    _balance: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Begin with the full reserve."""
        self._balance = self.reserve

    def earn(self):
        """Note the first send of a request."""
        self._balance = min(self.reserve, self._balance + self.share)

    def spend(self):
        """Take one extra send; False if there is none left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
