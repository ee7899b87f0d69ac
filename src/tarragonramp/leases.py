"""Grants of one backend server, as its steward accounts for them.

A grant ends at a reading of the server's own monotonic clock. A server that
freezes and thaws may read an old renewal from its socket buffer; a duration
counted from receipt would then give it a lease nobody meant. An absolute end on
its own clock has passed by then.
"""

import attrs

__all__ = ["Grant", "GrantLedger", "ServerAnswer"]

CLOCK_RATE_MARGIN = 0.002
"""Two clocks that each run within 1 in 1000 of true time differ by this at most."""

END_MARGIN_MS = 5.0
"""Rounding and scheduling between reading a clock and acting on it."""


@attrs.frozen
class ServerAnswer:
    """What a backend server says about itself in every control answer.

    Parameters
    ----------
    boot_id : str
        New with every start of the server.
    clock_ms : float
        The server's monotonic clock when it answered.
    term, sequence : int
        Of the latest grant that it accepted.
    accepted : bool
        False if it refused the grant in the request.
    cold : bool
        Whether it is in a cold start.
    """

    boot_id: str
    clock_ms: float
    term: int = 0
    sequence: int = 0
    accepted: bool = True
    cold: bool = False


@attrs.frozen
class Grant:
    """The right to own some slices until a reading of the server's clock.

    Parameters
    ----------
    term : int
        Term of the steward that gives it.
    sequence : int
        Grows with every change of slices within the term.
    boot_id : str
        The only process of the server that it is meant for.
    tokens : dict of int to int
        Fencing token of each slice.
    until_ms : float
        End, on the server's clock.
    """

    term: int
    sequence: int
    boot_id: str
    tokens: dict[int, int]
    until_ms: float


@attrs.define
class _Reading:
    clock_ms: float
    sent_ms: float
    arrived_ms: float


@attrs.define
class _SentSet:
    sequence: int
    boot_id: str
    tokens: dict[int, int]
    until_ms: float


@attrs.define
class GrantLedger:
    """All grants that a steward has sent to one server in one term.

    Parameters
    ----------
    term : int
        The steward's term.
    grant_ms : float
        Length of a grant.
    inherited_end_ms : float or None
        On the steward's clock, when grants of earlier stewards have surely run
        out if the server stays silent. None: time alone does not prove it.
    earlier_right_ends_ms : float
        On the steward's clock, when no earlier steward has a right any more.
    boot_id : str
        Of the server's process that answered last.
    acknowledged_sequence : int
        The latest grant of this term that this process of the server accepted.
    superseded : bool
        Whether the server has shown a higher term.
    """

    term: int
    grant_ms: float
    inherited_end_ms: float | None = None
    earlier_right_ends_ms: float = 0.0
    boot_id: str = ""
    acknowledged_sequence: int = 0
    superseded: bool = False
    _fenced: bool = False
    _granted_boot_id: str = ""
    _sequence: int = 0
    _reading: _Reading | None = None
    _sent: list[_SentSet] = attrs.Factory(list)
    _waiting: bool = False
    _until_before_ms: float = 0.0

    @property
    def in_doubt(self):
        """Whether the latest grant sent has neither been answered nor given up."""
        return self._waiting

    @property
    def fenced(self):
        """Whether no earlier steward can get any grant to the server any more."""
        return self._fenced

    def next_grant(self, tokens, now_ms, known_process_only=False):
        """Prepare a grant and account for it as if it had arrived.

        While a grant is unanswered no later end is handed out: a frozen server
        would hold each of them in its socket buffer and keep its keys longer.

        Parameters
        ----------
        tokens : dict of int to int
            Fencing token of each slice that the server shall own.
        now_ms : float
            The steward's clock.
        known_process_only : bool, default=False
            Grant only to the process of the server that was granted to before.

        Returns
        -------
        grant : Grant or None
            None as long as the server's clock has not been read, a grant is in
            doubt, or the server refuses this steward.
        """
        if self._reading is None or self._waiting or self.superseded:
            return None
        if known_process_only and self.boot_id != self._granted_boot_id:
            return None
        self._granted_boot_id = self.boot_id
        if not self._sent or self._sent[-1].tokens != tokens:
            self._sequence += 1
            self._sent.append(_SentSet(self._sequence, self.boot_id, dict(tokens), 0.0))
        until_ms = self._earliest_server_clock(now_ms) + self.grant_ms
        latest = self._sent[-1]
        self._until_before_ms = latest.until_ms
        latest.until_ms = max(latest.until_ms, until_ms)
        self._waiting = True
        return Grant(self.term, latest.sequence, self.boot_id, latest.tokens, until_ms)

    def observe(self, answer, sent_ms, arrived_ms):
        """Take in any control answer of the server.

        Parameters
        ----------
        answer : ServerAnswer
        sent_ms, arrived_ms : float
            The steward's clock before the request left and after the answer came.

        Returns
        -------
        restarted : bool
            True if the server is a new process.
        """
        self._waiting = False
        restarted = bool(self.boot_id) and answer.boot_id != self.boot_id
        if answer.boot_id != self.boot_id:
            # The earlier process is gone, and every grant names its boot id.
            self._sent.clear()
            self.acknowledged_sequence = 0
            self.boot_id = answer.boot_id
        self._reading = _Reading(answer.clock_ms, sent_ms, arrived_ms)
        self.superseded = self.superseded or answer.term > self.term
        own = answer.term == self.term and 0 < answer.sequence <= self._sequence
        if own and answer.sequence >= self.acknowledged_sequence:
            self.acknowledged_sequence = answer.sequence
            self._sent = [s for s in self._sent if s.sequence >= answer.sequence]
            self._fenced = self._fenced or sent_ms >= self.earlier_right_ends_ms
        return restarted

    def moved(self, now_ms):
        """Note that the server's name now stands for another address.

        Nothing that answers there speaks for the process at the old one, so its
        grants have to run out by the clock.

        Parameters
        ----------
        now_ms : float
        """
        ends_ms = [self._has_run_out_at(item) for item in self._sent]
        if self.inherited_end_ms is not None:
            self.inherited_end_ms = max([self.inherited_end_ms, now_ms, *ends_ms])
        self._fenced = False
        self._sent.clear()
        self.acknowledged_sequence = 0
        self.boot_id = ""
        self._granted_boot_id = ""
        self._reading = None
        self._waiting = False
        self.earlier_right_ends_ms = max([self.earlier_right_ends_ms, now_ms, *ends_ms])

    def not_sent(self):
        """Note that the latest grant never left this process.

        Its end does not count then: a server that was killed refuses connections, and
        each try would put off the moment when its grants have surely run out.
        """
        if self._waiting and self._sent:
            self._sent[-1].until_ms = self._until_before_ms
        self._waiting = False

    def released(self, slice_index, now_ms):
        """Tell whether nobody can be acting as owner of a slice at this server.

        Parameters
        ----------
        slice_index : int
        now_ms : float
            The steward's clock, read after the last wait.

        Returns
        -------
        proof : str
            Empty without proof; else ``"acknowledged"`` or ``"expired"``.
        """
        if self._older_may_hold(now_ms):
            return ""
        holding = [s for s in self._sent if slice_index in s.tokens]
        if not holding:
            return "acknowledged"
        if all(self._has_run_out(item, now_ms) for item in holding):
            return "expired"
        return ""

    def _older_may_hold(self, now_ms):
        """Guard against grants of an earlier steward that never were revoked.

        The server's accepting this term is not enough while the earlier steward still
        has its right: a server that restarts forgets this term, and the earlier
        steward may be the first to grant to the new process. Once the server has been
        seen to stand by this term after that right, no process of it can be granted to
        by anybody earlier.
        """
        if self._fenced:
            return False
        return self.inherited_end_ms is None or now_ms < self.inherited_end_ms

    def _has_run_out(self, item, now_ms):
        if item.boot_id != self.boot_id:
            return True
        return now_ms >= self._has_run_out_at(item)

    def _has_run_out_at(self, item):
        """Return from when on, by the steward's clock, a grant has surely run out."""
        reading = self._reading
        left_ms = item.until_ms - reading.clock_ms + END_MARGIN_MS
        return reading.arrived_ms + left_ms / (1.0 - CLOCK_RATE_MARGIN)

    def _earliest_server_clock(self, now_ms):
        """Return the least that the server's clock can read now.

        Grants start from it, so that an end never lies later than meant.
        """
        reading = self._reading
        elapsed_ms = (now_ms - reading.arrived_ms) * (1.0 - CLOCK_RATE_MARGIN)
        return reading.clock_ms + max(0.0, elapsed_ms)
