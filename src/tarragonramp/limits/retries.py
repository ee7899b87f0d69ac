"""Limits how many retries the routers may add to the callers' own requests."""

import collections

import attrs

__all__ = ["RetryBudget", "WindowedRetryBudget"]

MAX_SAVED_RETRIES = 4.0
"""Retries that one daemon may save for a service: what it can add at once in a sudden
outage."""

N_FREE_RETRIES = 2
"""Retries without credit that a daemon may send to a service in one window."""

FREE_RETRY_WINDOWS = 1.2
"""After how many windows each of these may be sent again."""

NEW_DAEMON_WINDOWS = 0.5
"""For how many windows after its start a daemon's first such retry counts as all of
them. Daemons that are started again together would otherwise exceed the slack."""

ROUNDING = 1e-9


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


@attrs.define(eq=False, repr=False)
class WindowedRetryBudget:
    """One daemon's part of the retries that all daemons together may add to a service.

    The servers' owners limit the retries in each window of time: a ratio of the
    requests in that window or in the one before it, whichever has more, and some slack.
    Daemons stay within this limit without knowing how many they are: a retry is only
    paid for with credit that the daemon's own requests have earned within a window. The
    retries of a window are then earned in it or in the one before, and one of these two
    has at least half of the requests. A budget begins without credit, as a daemon that
    is started again would otherwise add its reserve once more. A service with little
    traffic earns too little, so a few retries in each window need no credit; they count
    against the slack.

    Parameters
    ----------
    clock : Clock
    share : callable
        Returns the retries earned with each request, up to half of the ratio.
    window_ms : callable
        Returns how long credit is valid.
    started_ms : float
        When the daemon was started.
    """

    clock: object
    share: object
    window_ms: object
    started_ms: float
    _earned: collections.deque = attrs.Factory(collections.deque)
    _balance: float = 0.0
    _free_ms: collections.deque = attrs.Factory(collections.deque)

    def earn(self):
        """Record the first attempt of a request."""
        now_ms = self.clock.now_ms()
        self._expire(now_ms)
        credit = min(self.share(), MAX_SAVED_RETRIES - self._balance)
        if credit > ROUNDING:
            self._earned.append((now_ms, credit))
            self._balance += credit

    def spend(self):
        """Pay for one retry with the oldest credit; False if there is too little."""
        now_ms = self.clock.now_ms()
        self._expire(now_ms)
        if self._balance < 1.0 - ROUNDING:
            return self._spend_free(now_ms)
        due = 1.0
        while due > ROUNDING and self._earned:
            at_ms, credit = self._earned.popleft()
            if credit > due:
                self._earned.appendleft((at_ms, credit - due))
            due -= credit
        self._balance = max(0.0, self._balance - 1.0)
        return True

    def _spend_free(self, now_ms):
        """Take a retry that needs no credit; False if there is none left."""
        oldest_ms = now_ms - FREE_RETRY_WINDOWS * self.window_ms()
        while self._free_ms and self._free_ms[0] <= oldest_ms:
            self._free_ms.popleft()
        if len(self._free_ms) >= N_FREE_RETRIES:
            return False
        is_new = now_ms - self.started_ms < NEW_DAEMON_WINDOWS * self.window_ms()
        self._free_ms.extend([now_ms] * (N_FREE_RETRIES if is_new else 1))
        return True

    def _expire(self, now_ms):
        oldest_ms = now_ms - self.window_ms()
        while self._earned and self._earned[0][0] <= oldest_ms:
            self._balance -= self._earned.popleft()[1]
        if not self._earned:
            self._balance = 0.0
