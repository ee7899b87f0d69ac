"""Limits that servers in need name for the requests they get, without I/O.

A server names in its answers how many requests a second it takes from all daemons
together, for as long as it needs that. A share for each daemon would often be less than
one request in several seconds, and unused at most of them. So one daemon sends to such
a server, or a few if the limit is large, and others hand their requests to them.
"""

import math

import attrs

from .rates import SentRequests, divide, rank_by_hash

__all__ = ["LimitStatement", "ServerLimits"]

USED_SHARE = 0.75
"""Fraction of a limit that the daemons use. A server may get half more than its limit,
so this holds while two daemons, as the sender changes, both use its part."""

WINDOW_MS = 4100.0
"""Time over which requests are counted: four seconds, and a little more because they
take different times to arrive."""

MIN_PERMITS_PER_SENDER = 8
"""Requests in a window for which a further daemon sends to a server."""

MIN_RATE_PER_S = 0.05
"""Rate at which a server that takes next to nothing is asked whether that has ended."""

MAX_RESERVED_SHARE = 0.4
"""Largest part of the permits that less urgent requests leave to urgent ones."""

CHECK_INTERVAL_MS = 1000.0
"""Interval at which a limited server is sent a request although others are preferred.
Its answer tells whether the limit has changed or ended."""

STATEMENT_REPORT_MS = 3000.0
"""How long a daemon reports a statement to the leader after it was heard."""

PLACEMENT_MS = 10_000.0
"""How long a limit is considered in the placement of keys after a server last named it.

A server without keys gets no requests, and nobody would hear that its limit has ended.
"""


@attrs.frozen
class LimitStatement:
    """What a server said of its limit.

    Parameters
    ----------
    life : int
        Of the server; a later life has no limit until it names one.
    per_s : float or None
        Requests a second; None if the server names no limit any more.
    at_ms : float
        When it was last heard, on this daemon's clock.
    senders : tuple of str
        Daemons that the leader has chosen to send to the server; empty if not known.
    change : int
        Number of the change that this value came with.
    is_own : bool
        Whether this daemon has heard it from the server itself.
    """

    life: int
    per_s: float | None
    at_ms: float
    senders: tuple = ()
    change: int = 0
    is_own: bool = False

    @property
    def n_permits(self):
        """Requests that all daemons together may send in a window."""
        return max(1, math.ceil(USED_SHARE * self.per_s * WINDOW_MS / 1000.0))

    @property
    def window_ms(self):
        """Window in which the permits are valid; longer for a very small limit."""
        return max(WINDOW_MS, 1000.0 / max(self.per_s, MIN_RATE_PER_S))


@attrs.define(eq=False, repr=False)
class ServerLimits:
    """The limits that one daemon knows, and what it may send within them.

    Parameters
    ----------
    name : str
        Of this daemon.
    n_changes : int
        Number of the last change of any limit.
    """

    name: str = ""
    n_changes: int = 0
    _statements: dict = attrs.Factory(dict)
    _sent: SentRequests = attrs.Factory(SentRequests)

    def record_answer(self, server, per_s, sent_ms, now_ms):
        """Record whether an answer of a server names a limit.

        Parameters
        ----------
        server : BackendServer
        per_s : float or None
        sent_ms : float
            When the request was sent. Answers may overtake each other, so only one to a
            later request shows that a limit has ended or is larger now.
        now_ms : float

        Returns
        -------
        has_changed : bool
        """
        before = self._statements.get(server.name)
        if before is not None and before.life != server.life:
            before = None
        limit_before = before.per_s if before is not None else None
        if per_s is None and limit_before is None:
            return False
        is_relaxed = limit_before is not None and (
            per_s is None or per_s > limit_before
        )
        if is_relaxed and sent_ms < before.at_ms:
            return False
        return self._set(server.name, server.life, per_s, now_ms, is_own=True)

    def limit_of(self, server):
        """Return the LimitStatement of a server that names a limit, or None."""
        found = self._statements.get(server.name)
        if found is None or found.per_s is None or found.life != server.life:
            return None
        return found

    @property
    def are_known(self):
        """Whether any server has named a limit; without one, all may be sent to."""
        return bool(self._statements)

    def senders_of(self, server, daemons):
        """Return the names of the daemons that send to a limited server.

        Parameters
        ----------
        server : BackendServer
        daemons : collection of str
            All that are known; they agree on some of them while no leader has chosen.
        """
        statement = self.limit_of(server)
        if statement.senders or len(daemons) < 2:
            # A daemon that knows of no other does not know how many there are.
            return statement.senders
        return self._choose_senders(server.name, daemons)

    def sends_to(self, server, daemons):
        """Tell whether this daemon is one of those that send to a limited server."""
        return self.name in self.senders_of(server, daemons)

    def n_free(self, server, daemons, now_ms):
        """Return how many requests this daemon may send to a limited server now."""
        statement, quota = self.limit_of(server), self._quota(server, daemons)
        window_ms = statement.window_ms
        return quota - self._sent.n_in_window(server.name, window_ms, now_ms)

    def may_send(self, server, daemons, reserved_share, now_ms):
        """Tell whether a request may be sent to a server, limited or not.

        Parameters
        ----------
        server : BackendServer
        daemons : collection of str
        reserved_share : float
            Part of the permits to leave to more urgent requests.
        now_ms : float
        """
        if self.limit_of(server) is None:
            return True
        n_free = self.n_free(server, daemons, now_ms)
        reserved = min(MAX_RESERVED_SHARE, reserved_share)
        return n_free >= 1 and n_free > reserved * self._quota(server, daemons)

    def is_check_due(self, server, now_ms):
        """Tell whether a limited server has lately been neither heard nor asked."""
        statement = self.limit_of(server)
        if statement is None or now_ms - statement.at_ms < CHECK_INTERVAL_MS:
            return False
        return self._sent.ms_since_last(server.name, now_ms) >= CHECK_INTERVAL_MS

    def record_sent(self, server, now_ms):
        """Record a request to a server, if it is limited."""
        if self.limit_of(server) is not None:
            self._sent.record(server.name, now_ms)

    def ms_until_free(self, server, daemons, now_ms):
        """Return when this daemon may send to a limited server again."""
        statement, quota = self.limit_of(server), self._quota(server, daemons)
        if not quota:
            return statement.window_ms / statement.n_permits
        return self._sent.ms_until_fewer(
            server.name, quota, statement.window_ms, now_ms
        )

    def usable_slots(self, server, request_ms, now_ms):
        """Return how many of a server's slots its limit lets requests occupy.

        Parameters
        ----------
        server : BackendServer
        request_ms : float
            Time that a request takes.
        now_ms : float
        """
        statement = self.limit_of(server)
        if statement is None or now_ms - statement.at_ms > PLACEMENT_MS:
            return server.slots
        rate_per_s = max(MIN_RATE_PER_S, USED_SHARE * statement.per_s)
        return min(server.slots, rate_per_s * max(1.0, request_ms) / 1000.0)

    def limited(self):
        """Return the LimitStatements of all servers that name a limit, by name."""
        return {n: s for n, s in self._statements.items() if s.per_s is not None}

    def to_report(self, now_ms):
        """Return what this daemon has lately heard from servers, for the leader."""
        return [
            [name, item.life, item.per_s, round(now_ms - item.at_ms)]
            for name, item in self._statements.items()
            if item.is_own and now_ms - item.at_ms <= STATEMENT_REPORT_MS
        ]

    def add_report(self, rows, now_ms):
        """Adopt what another daemon has heard, as far as it is news here.

        Raises
        ------
        ValueError, TypeError
            If the report is malformed; nothing is adopted then.
        """
        parsed = [_parse_row(row, now_ms) for row in rows]
        for name, heard in parsed:
            before = self._statements.get(name)
            if before is None or heard.at_ms > before.at_ms:
                self._set(name, heard.life, heard.per_s, heard.at_ms)

    def changes_since(self, change, now_ms):
        """Return the statements that have changed since a change, as plain data."""
        return [
            [name, item.life, item.per_s, round(now_ms - item.at_ms), item.senders]
            for name, item in self._statements.items()
            if item.change > change
        ]

    def apply_changes(self, rows, now_ms):
        """Apply the leader's statements, except those older than what is known here.

        The leader's choice of senders holds in any case.

        Raises
        ------
        ValueError, TypeError
            If they are malformed; nothing is applied then.
        """
        parsed = [
            (*_parse_row(row[:4], now_ms), tuple(str(name) for name in row[4]))
            for row in rows
        ]
        for name, heard, senders in parsed:
            before = self._statements.get(name)
            if before is None or heard.at_ms > before.at_ms:
                self._set(name, heard.life, heard.per_s, heard.at_ms, senders=senders)
            elif before.life == heard.life:
                self._statements[name] = attrs.evolve(before, senders=senders)

    def assign_senders(self, daemons):
        """As leader, choose who sends to each limited server; return what has changed.

        A sender stays chosen while it is among the daemons that may be: two that both
        use its part would come near the limit.

        Parameters
        ----------
        daemons : collection of str
            Those that were heard lately and reach servers.

        Returns
        -------
        changed : list of str
            Names of servers.
        """
        changed = []
        for name, item in self.limited().items():
            kept = [sender for sender in item.senders if sender in daemons]
            wanted = _n_senders(item, len(daemons))
            others = [d for d in rank_by_hash(name, daemons) if d not in kept]
            senders = tuple([*kept, *others][:wanted])
            if senders and senders != item.senders:
                self.n_changes += 1
                self._statements[name] = attrs.evolve(
                    item, senders=senders, change=self.n_changes
                )
                changed.append(name)
        return changed

    def retain(self, servers):
        """Forget all servers but the given ones."""
        self._sent.retain(servers)
        for name in set(self._statements) - set(servers):
            del self._statements[name]

    def _set(self, name, life, per_s, at_ms, is_own=False, senders=None):
        before = self._statements.get(name)
        is_same_life = before is not None and before.life == life
        if senders is None:
            senders = before.senders if is_same_life else ()
        is_same = is_same_life and (before.per_s, before.senders) == (per_s, senders)
        if not is_same:
            self.n_changes += 1
        change = before.change if is_same else self.n_changes
        self._statements[name] = LimitStatement(
            life, per_s, at_ms, senders, change, is_own
        )
        return not is_same

    def _quota(self, server, daemons):
        senders = self.senders_of(server, daemons)
        return divide(self.limit_of(server).n_permits, senders, self.name)

    def _choose_senders(self, name, daemons):
        n_senders = _n_senders(self._statements[name], len(daemons))
        return tuple(rank_by_hash(name, daemons)[:n_senders])


def _n_senders(statement, n_daemons):
    return min(n_daemons, max(1, statement.n_permits // MIN_PERMITS_PER_SENDER))


def _parse_row(row, now_ms):
    """Return a server's name and its LimitStatement as another daemon tells it."""
    name, life, per_s, age_ms = row
    if per_s is not None and not (0.0 <= float(per_s) < math.inf):
        raise ValueError(f"limit of {name}: {per_s!r}")
    heard = LimitStatement(
        int(life), None if per_s is None else float(per_s), now_ms - float(age_ms)
    )
    return str(name), heard
