"""Accounting of the grants that a steward has sent to one backend server.

A grant ends at a reading of the server's own monotonic clock. A server that is paused
and resumed may read an old renewal from its socket buffer; a duration counted from
receipt would extend its lease by mistake, while an absolute end on its own clock has
passed by then.
"""

import attrs

__all__ = ["Grant", "GrantLedger", "ServerAnswer"]

CLOCK_RATE_MARGIN = 0.002
"""Bound on the relative rate difference of two clocks, each accurate to 1 in 1000."""

END_MARGIN_MS = 5.0
"""Allowance for rounding and scheduling between reading a clock and acting on it."""


@attrs.frozen
class ServerAnswer:
    """State that a backend server reports in every control response.

    Parameters
    ----------
    boot_id : str
        Changes with every start of the server.
    clock_ms : float
        Reading of the server's monotonic clock at the time of the response.
    term, sequence : int
        Term and sequence number of the latest grant that it accepted.
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
        Term of the steward that sends the grant.
    sequence : int
        Increases within the term with every change of the set of slices.
    boot_id : str
        The server process that the grant is valid for.
    tokens : dict of int to int
        Fencing token of each slice.
    until_ms : float
        End of the grant on the server's clock.
    """

    term: int
    sequence: int
    boot_id: str
    tokens: dict[int, int]
    until_ms: float


@attrs.define
class _ClockReading:
    """The server's clock, and the steward's before the request and at the response."""

    clock_ms: float
    sent_ms: float
    arrived_ms: float


@attrs.define
class _SentGrant:
    """A grant and its renewals with the same slices; ``until_ms`` is the latest end."""

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
        Duration of a grant.
    inherited_end_ms : float or None
        When all grants of earlier stewards have expired even if the server does not
        answer, on the steward's clock. None if waiting cannot prove it.
    earlier_right_ends_ms : float
        When no earlier steward may send grants any more, on the steward's clock.
    boot_id : str
        Boot id in the server's latest response.
    acknowledged_sequence : int
        Sequence number of the latest grant of this term that the current server process
        accepted.
    superseded : bool
        Whether the server has reported a higher term.
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
    _reading: _ClockReading | None = None
    _sent: list[_SentGrant] = attrs.Factory(list)
    _awaiting_answer: bool = False
    _previous_until_ms: float = 0.0

    @property
    def in_doubt(self):
        """Whether the latest grant may have been delivered but is not answered yet."""
        return self._awaiting_answer

    @property
    def fenced(self):
        """Whether no earlier steward can send a grant to any process of the server."""
        return self._fenced

    def next_grant(self, tokens, now_ms, known_process_only=False):
        """Prepare a grant and record it as if it had been delivered.

        No later end is sent while a grant is unanswered: a paused server would find all
        of these grants in its socket buffer and keep its keys for longer.

        Parameters
        ----------
        tokens : dict of int to int
            Fencing token of each slice that the server is to own.
        now_ms : float
            The steward's clock.
        known_process_only : bool, default=False
            Send a grant only to the server process that the previous grant was for.

        Returns
        -------
        grant : Grant or None
            None if the server's clock has not been read yet, a grant is unanswered, or
            the server refuses this steward.
        """
        if self._reading is None or self._awaiting_answer or self.superseded:
            return None
        if known_process_only and self.boot_id != self._granted_boot_id:
            return None
        self._granted_boot_id = self.boot_id
        if not self._sent or self._sent[-1].tokens != tokens:
            self._sequence += 1
            self._sent.append(
                _SentGrant(self._sequence, self.boot_id, dict(tokens), 0.0)
            )
        until_ms = self._min_server_clock_ms(now_ms) + self.grant_ms
        latest = self._sent[-1]
        self._previous_until_ms = latest.until_ms
        latest.until_ms = max(latest.until_ms, until_ms)
        self._awaiting_answer = True
        return Grant(self.term, latest.sequence, self.boot_id, latest.tokens, until_ms)

    def observe(self, answer, sent_ms, arrived_ms):
        """Process a control response of the server.

        Parameters
        ----------
        answer : ServerAnswer
        sent_ms, arrived_ms : float
            The steward's clock before the request was sent and after the response
            arrived.

        Returns
        -------
        restarted : bool
            True if the server is a new process.
        """
        self._awaiting_answer = False
        restarted = bool(self.boot_id) and answer.boot_id != self.boot_id
        if answer.boot_id != self.boot_id:
            # The previous process has ended, and every grant is bound to its boot id.
            self._sent.clear()
            self.acknowledged_sequence = 0
            self.boot_id = answer.boot_id
        self._reading = _ClockReading(answer.clock_ms, sent_ms, arrived_ms)
        self.superseded = self.superseded or answer.term > self.term
        own = answer.term == self.term and 0 < answer.sequence <= self._sequence
        if own and answer.sequence >= self.acknowledged_sequence:
            self.acknowledged_sequence = answer.sequence
            self._sent = [s for s in self._sent if s.sequence >= answer.sequence]
            self._fenced = self._fenced or sent_ms >= self.earlier_right_ends_ms
        return restarted

    def address_changed(self, now_ms):
        """Record that the server's name now refers to another address.

        A response from the new address proves nothing about the process at the old one,
        so the grants of that process have to expire.

        Parameters
        ----------
        now_ms : float
        """
        ends_ms = [self._expires_at_ms(item) for item in self._sent]
        if self.inherited_end_ms is not None:
            self.inherited_end_ms = max([self.inherited_end_ms, now_ms, *ends_ms])
        self._fenced = False
        self._sent.clear()
        self.acknowledged_sequence = 0
        self.boot_id = ""
        self._granted_boot_id = ""
        self._reading = None
        self._awaiting_answer = False
        self.earlier_right_ends_ms = max([self.earlier_right_ends_ms, now_ms, *ends_ms])

    def not_sent(self):
        """Record that the latest grant was never sent.

        Its end is then disregarded. A killed server refuses connections, and without
        this each attempt would postpone the time at which its grants have expired.
        """
        if self._awaiting_answer and self._sent:
            self._sent[-1].until_ms = self._previous_until_ms
        self._awaiting_answer = False

    def released(self, slice_index, now_ms):
        """Return the proof that no process of this server owns a slice, if any.

        Parameters
        ----------
        slice_index : int
        now_ms : float
            The steward's clock, read after the last operation that may block.

        Returns
        -------
        proof : str
            ``"acknowledged"`` or ``"expired"``; empty without proof.
        """
        if self._earlier_grants_may_be_valid(now_ms):
            return ""
        holding = [s for s in self._sent if slice_index in s.tokens]
        if not holding:
            return "acknowledged"
        if all(self._has_expired(item, now_ms) for item in holding):
            return "expired"
        return ""

    def _earlier_grants_may_be_valid(self, now_ms):
        """Tell whether unrevoked grants of an earlier steward may still be valid.

        That the server has accepted this term is not enough while the earlier steward's
        right lasts: a server that restarts forgets the term, and the earlier steward
        may be the first to send a grant to the new process. Once the server has
        accepted a grant of this term after that right has ended, no earlier steward can
        send a grant to any process of the server.
        """
        if self._fenced:
            return False
        return self.inherited_end_ms is None or now_ms < self.inherited_end_ms

    def _has_expired(self, item, now_ms):
        if item.boot_id != self.boot_id:
            return True
        return now_ms >= self._expires_at_ms(item)

    def _expires_at_ms(self, item):
        """Return when a grant has expired for certain, on the steward's clock."""
        reading = self._reading
        left_ms = item.until_ms - reading.clock_ms + END_MARGIN_MS
        return reading.arrived_ms + left_ms / (1.0 - CLOCK_RATE_MARGIN)

    def _min_server_clock_ms(self, now_ms):
        """Return a lower bound of the server's clock reading at this time.

        Grants are counted from it, so that none ends later than intended.
        """
        reading = self._reading
        elapsed_ms = (now_ms - reading.arrived_ms) * (1.0 - CLOCK_RATE_MARGIN)
        return reading.clock_ms + max(0.0, elapsed_ms)
