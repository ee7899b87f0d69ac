"""What each connection holds of a process's memory, and which one gives way.

Connections share one budget, as a fixed part for each would be too small for the
longest body and too large for a crowd. Once the budget is spent, connections that keep
the process waiting are closed first: nothing that runs is lost with them. Only if the
answers of servers take a large part of the budget, some are broken off before: a server
at fault would otherwise cost the clients of all others their place.
"""

import collections
import enum
import itertools

import attrs

from .clock import Clock
from .sizes import Resources

__all__ = ["MAX_UNFREED_BYTES", "Holding", "HoldingTable", "Phase"]

CONNECTION_BYTES = 57_344
"""What a connection without a request holds: its buffers here and in the kernel."""

STALL_MS = 1000.0
"""A connection without progress for this time gives way before others."""

MAX_UNFREED_BYTES = 1 << 20
"""What revoked connections may still hold while others go on to take bytes."""

SPARE_SHARE = 0.5
"""Fraction of the budget up to which bytes may be used to make connections faster."""

MAX_ANSWER_SHARE = 0.5
"""Fraction of the budget from which answers of servers give way before clients do."""

PROGRESS_BYTES = 1024
"""Bytes that count as progress; a client that sends fewer at a time hardly gets on."""


class Phase(enum.Enum):
    """What a connection is doing.

    Parameters
    ----------
    UNUSED, IDLE
        It waits for its first, or for its next request.
    CLIENT
        The process waits for the client: for the rest of a request, or until it takes
        an answer.
    SERVER
        Its requests are being served.
    ANSWER
        It is a connection to a server, whose answer is being read.
    """

    UNUSED = "unused"
    IDLE = "idle"
    CLIENT = "client"
    SERVER = "server"
    ANSWER = "answer"


# Phases in the order in which connections give way.
_FOR_BYTES = (Phase.CLIENT, Phase.UNUSED, Phase.IDLE)
_FOR_CONNECTIONS = (Phase.UNUSED, Phase.IDLE, Phase.CLIENT)


@attrs.define(eq=False)
class Holding:
    """What one connection holds.

    Parameters
    ----------
    group : hashable
        The listener that accepted it, or the server that it leads to.
    revoke : callable
        Called without arguments to end the connection; must not block.
    n_bytes : int
    phase : Phase
    since_ms : float
        When it began this phase, or last made progress in it.
    n_requests : int
        Requests that have been read and whose answers have not been written.
    n_sending : int
        Answers that are being written.
    is_receiving : bool
        Whether a request is being read.
    n_refused : int
        How many of its last requests in a row were refused.
    is_revoked : bool
    """

    group: object
    revoke: object
    n_bytes: int = 0
    phase: Phase = Phase.UNUSED
    since_ms: float = 0.0
    n_requests: int = 0
    n_sending: int = 0
    is_receiving: bool = False
    n_refused: int = 0
    is_revoked: bool = False
    _progress_bytes: int = 0
    _was_used: bool = False

    def record_answer(self, is_refusal):
        """Count an answer; whether this process refused the request."""
        self.n_refused = self.n_refused + 1 if is_refusal else 0

    def current_phase(self):
        """Return the phase that follows from what is being read and written."""
        if self.n_sending:
            return Phase.CLIENT
        if self.is_receiving and self.n_requests <= 1:
            return Phase.CLIENT
        if self.n_requests:
            return Phase.SERVER
        return Phase.IDLE if self._was_used else Phase.UNUSED


@attrs.define(eq=False)
class HoldingTable:
    """The holdings of all connections of a process.

    Parameters
    ----------
    resources : Resources
    clock : Clock
    n_bytes : int
        Bytes held by connections that have not been revoked.
    n_revoked_bytes : int
        Bytes held by those that have been, until they are freed.
    n_revoked : collections.Counter
        Connections that had to give way, by what they were waiting for.
    """

    resources: Resources = Resources()
    clock: object = attrs.Factory(Clock)
    n_bytes: int = 0
    n_revoked_bytes: int = 0
    n_revoked: collections.Counter = attrs.Factory(collections.Counter)
    _by_group: dict = attrs.Factory(dict)
    _answers: dict = attrs.Factory(dict)
    _answer_bytes: int = 0
    _n_broken: collections.Counter = attrs.Factory(collections.Counter)
    _awaited: dict = attrs.Factory(collections.OrderedDict)

    def open(self, group, revoke, max_connections):
        """Return the Holding of a new connection; None if there is no room for it.

        Parameters
        ----------
        group : hashable
        revoke : callable
        max_connections : int
            Of the group.
        """
        phases = self._phases(group)
        is_full = sum(map(len, phases.values())) >= max_connections
        if is_full and not self._revoke_one([group], _FOR_CONNECTIONS):
            self.n_revoked["new"] += 1
            return None
        holding = Holding(group, revoke, since_ms=self.clock.now_ms())
        phases[holding.phase][holding] = None
        if not self.charge(holding, CONNECTION_BYTES):
            self.close(holding)
            return None
        return holding

    def open_answer(self, source, revoke):
        """Return the Holding of an answer that is being read.

        Parameters
        ----------
        source : hashable
            The server that sends it.
        revoke : callable
            As of a Holding.
        """
        now_ms = self.clock.now_ms()
        holding = Holding(source, revoke, phase=Phase.ANSWER, since_ms=now_ms)
        self._answers.setdefault(source, {})[holding] = None
        return holding

    def record_answer(self, holding, is_whole):
        """Record that an answer has been read whole, or that its server failed to."""
        if is_whole:
            self._n_broken.pop(holding.group, None)
        elif not holding.is_revoked:
            self._n_broken[holding.group] += 1

    def close(self, holding):
        """Forget a connection that has ended."""
        if holding.is_revoked:
            self.n_revoked_bytes -= holding.n_bytes
        else:
            self._take_out(holding)
        holding.n_bytes = 0

    def charge(self, holding, n_bytes):
        """Add bytes to a holding; return whether there was room for them.

        Others are revoked for it. If none is left that may be, the bytes are added
        nevertheless, and the caller has to refuse what can be refused.
        """
        holding.n_bytes += n_bytes
        if holding.is_revoked:
            self.n_revoked_bytes += n_bytes
            return False
        self.n_bytes += n_bytes
        if holding.phase is Phase.ANSWER:
            self._answer_bytes += n_bytes
        while self.n_bytes > self.resources.shared_bytes:
            if not self._make_room(holding) or holding.is_revoked:
                return False
        return True

    def bytes_of(self, source):
        """Return what the answers of one server hold that are not broken off."""
        return sum(holding.n_bytes for holding in self._answers.get(source, ()))

    def has_spare(self, n_bytes):
        """Tell whether bytes may be used for what only makes a connection faster."""
        return self.n_bytes + n_bytes <= SPARE_SHARE * self.resources.shared_bytes

    def release(self, holding, n_bytes):
        """Take bytes off a holding."""
        n_bytes = min(n_bytes, holding.n_bytes)
        holding.n_bytes -= n_bytes
        if holding.is_revoked:
            self.n_revoked_bytes -= n_bytes
        else:
            self.n_bytes -= n_bytes

    def begin_receiving(self, holding):
        """Record that a request, or the body of one, is being read."""
        holding.is_receiving = holding._was_used = True
        self._settle(holding)

    def end_receiving(self, holding):
        """Record that it has been read, or will not be."""
        holding.is_receiving = False
        self._settle(holding)

    def begin_request(self, holding, n_bytes):
        """Record a request whose head has been read; return whether there is room."""
        holding.n_requests += 1
        self._settle(holding)
        return self.charge(holding, n_bytes)

    def end_request(self, holding, n_bytes):
        """Record that an answer has been written, or cannot be."""
        holding.n_requests -= 1
        self.release(holding, n_bytes)
        self._settle(holding)

    def begin_sending(self, holding):
        """Record that a part of an answer is being written."""
        holding.n_sending += 1
        self._settle(holding)

    def end_sending(self, holding):
        """Record that it has been written, or cannot be."""
        holding.n_sending -= 1
        self._settle(holding)

    def record_progress(self, holding, n_bytes):
        """Record bytes that a client has sent or taken."""
        holding._progress_bytes += n_bytes
        if holding._progress_bytes < PROGRESS_BYTES or holding.is_revoked:
            return
        holding._progress_bytes = 0
        holding.since_ms = self.clock.now_ms()
        self._phases(holding.group)[holding.phase].move_to_end(holding)

    def counts(self):
        """Return the number of connections by phase."""
        counts = dict.fromkeys((phase.value for phase in Phase), 0)
        for phases in self._by_group.values():
            for phase, members in phases.items():
                counts[phase.value] += len(members)
        counts[Phase.ANSWER.value] = sum(map(len, self._answers.values()))
        return counts

    def _settle(self, holding):
        phase = holding.current_phase()
        if phase is holding.phase or holding.is_revoked:
            return
        phases = self._phases(holding.group)
        del phases[holding.phase][holding]
        phases[phase][holding] = None
        holding.phase, holding.since_ms = phase, self.clock.now_ms()
        holding._progress_bytes = 0
        if phase is Phase.CLIENT:
            self._awaited[holding] = None
        else:
            self._awaited.pop(holding, None)

    def _phases(self, group):
        """Return the holdings of a group by phase, those without progress first."""
        found = self._by_group.get(group)
        if found is None:
            found = self._by_group[group] = {
                phase: collections.OrderedDict() for phase in Phase
            }
        return found

    def _make_room(self, holding):
        """Revoke what gives way for the bytes of a holding; return whether any did."""
        if self._answer_bytes >= MAX_ANSWER_SHARE * self.resources.shared_bytes:
            return self._revoke_answer()
        if self._revoke_one(self._by_group, _FOR_BYTES, holding):
            return True
        return holding.phase is Phase.ANSWER and self._revoke_answer()

    def _revoke_answer(self):
        """Revoke the longest answer of the server that is most likely at fault.

        That is the one of which most answers were broken off since the last whole one,
        or the one whose answers hold most.
        """
        source = max(
            self._answers, key=lambda name: (self._n_broken[name], self.bytes_of(name))
        )
        self._n_broken[source] += 1
        return self._revoke(max(self._answers[source], key=lambda h: h.n_bytes))

    def _revoke_one(self, groups, order, spared=None):
        """Revoke the holding that gives way first; return whether there is one.

        Those that stall go first. Of the others, the oldest request gives way: any that
        comes in faster than a crowd can fill the budget is read to its end.
        """
        groups = list(groups)
        stalled_ms = self.clock.now_ms() - STALL_MS
        for phase in _FOR_BYTES:
            found = self._without_progress(groups, phase, spared)
            if found is not None and found.since_ms <= stalled_ms:
                return self._revoke(found)
        for phase in order:
            if phase is Phase.CLIENT:
                found = self._oldest_awaited(groups, spared)
            else:
                found = self._without_progress(groups, phase, spared)
            if found is not None:
                return self._revoke(found)
        return False

    def _without_progress(self, groups, phase, spared):
        """Return the holding of a phase that made no progress for longest, or None."""
        firsts = []
        for group in groups:
            members = self._phases(group)[phase]
            firsts += itertools.islice((h for h in members if h is not spared), 1)
        return min(firsts, key=lambda holding: holding.since_ms, default=None)

    def _oldest_awaited(self, groups, spared):
        """Return the holding whose client has been waited for longest, or None."""
        for holding in self._awaited:
            if holding is not spared and holding.group in groups:
                return holding
        return None

    def _revoke(self, holding):
        self.n_revoked[holding.phase.value] += 1
        self._take_out(holding)
        holding.is_revoked = True
        self.n_revoked_bytes += holding.n_bytes
        holding.revoke()
        return True

    def _take_out(self, holding):
        if holding.phase is Phase.ANSWER:
            answers = self._answers[holding.group]
            del answers[holding]
            if not answers:
                del self._answers[holding.group]
            self._answer_bytes -= holding.n_bytes
        else:
            del self._phases(holding.group)[holding.phase][holding]
            self._awaited.pop(holding, None)
        self.n_bytes -= holding.n_bytes
