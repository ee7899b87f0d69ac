"""Terms: roles that at most one daemon holds at a time.

The platform decides by conditional updates who holds a term. The holder's right to act
ends at a time on its own clock. An update extends it, and between updates the named
successor's confirmation that it has not taken over does, so that a platform outage
stops no role. This is neither a consensus group nor a store.
"""

import math

import attrs

from .model import Term

__all__ = [
    "ClaimPlan",
    "HeldTerm",
    "RoleTerm",
    "Takeover",
    "TermWrite",
    "has_departed",
    "may_claim",
]

RIGHT_MARGIN = 1.0025
"""Ratio of two clocks that are each accurate to 1 in 1000: 1.001 / 0.999, rounded up.
"""

RENEWAL_SHARE = 0.4
"""Remaining share of a right at which the holder sends an update to the platform,
because no confirmation has extended the right."""


@attrs.frozen
class TermWrite:
    """One conditional update of a term.

    It is resent unchanged until a version above the expected one has been seen: a lost
    response does not show that the write failed, and it may still take effect later.

    Parameters
    ----------
    role : str
    term : Term
    expected_version : int
    """

    role: str
    term: Term
    expected_version: int


@attrs.define
class HeldTerm:
    """A term as seen by its holder.

    Parameters
    ----------
    role : str
        Name of the term's object.
    number : int
    version : int
        Platform version of the newest object seen that names this holder.
    successor : str
        Identity of the daemon whose confirmations extend the right; empty for none, in
        which case the right lasts until it is given up.
    right_ms : float
        Duration of a right, counted from the sending of the request that extended it.
    right_ends_ms : float
        On the holder's clock.
    lasting, unbounded : bool
        As in :class:`~tarragonramp.model.Term`.
    longest_right_ms, longest_grant_ms : float
        ``right_ms`` and ``grant_ms`` of the term.
    pending : TermWrite or None
        An update whose outcome is not known yet.
    """

    role: str
    number: int
    version: int
    successor: str
    right_ms: float
    right_ends_ms: float = 0.0
    lasting: bool = False
    unbounded: bool = False
    longest_right_ms: float = 0.0
    longest_grant_ms: float = 0.0
    pending: TermWrite | None = None
    _confirmations_ms: dict[str, float] = attrs.Factory(dict)

    @property
    def right_until_ms(self):
        """When the right ends unless it is extended; infinite without a successor."""
        if not self.successor and self.pending is None:
            return math.inf
        return self.right_ends_ms

    def may_act(self, now_ms):
        """Tell whether the holder may act.

        Parameters
        ----------
        now_ms : float
            Read after the last operation that may block and right before acting, so
            that a process that was paused notices that its right has ended.
        """
        return now_ms < self.right_until_ms

    def grant_ms(self, wanted_ms):
        """Return the duration of grants, limited to what the term allows."""
        return min(wanted_ms, self.longest_grant_ms or wanted_ms)

    def may_renew_grants(self, now_ms):
        """Tell whether the holder may still renew grants that it sent within its right.

        Applies only to servers that refuse superseded stewards, and only to the server
        process that the holder knows: a restarted process does not know whom to refuse.
        While an update that ends this permission is in doubt, it counts as ended.
        """
        if self.may_act(now_ms):
            return True
        return self.lasting and (self.pending is None or self.pending.term.lasting)

    def needs_update(self, now_ms, successor, lasting):
        """Tell whether an update has to be sent to the platform.

        Parameters
        ----------
        now_ms : float
        successor : str
            The successor that the term should name.
        lasting : bool
        """
        if self.pending is not None:
            return True
        if (successor, lasting) != (self.successor, self.lasting):
            return True
        left_ms = self.right_ends_ms - now_ms
        return bool(self.successor) and left_ms < self.right_ms * RENEWAL_SHARE

    def begin_update(self, holder, successor, request_id, lasting=False, *, now_ms):
        """Return the update to send, and record it as if it had taken effect.

        Parameters
        ----------
        holder : str
            This daemon's identity.
        successor : str
            The successor to name; ignored while an earlier update is in doubt.
        request_id : str
            Unique for every new update; an update in doubt keeps its own.
        lasting : bool
        now_ms : float
            Read before the update is sent.

        Returns
        -------
        write : TermWrite
        """
        if self.pending is None:
            if not self.successor:
                # Nobody can take the term before this update takes effect, and whoever
                # takes it afterwards waits for the whole duration of a right.
                self.right_ends_ms = now_ms + self.right_ms
            term = Term(
                self.number,
                holder,
                successor,
                request_id,
                lasting=lasting,
                unbounded=self.unbounded,
                right_ms=self.longest_right_ms,
                grant_ms=self.longest_grant_ms,
            )
            self.pending = TermWrite(self.role, term, self.version)
            self._apply_confirmations()
        return self.pending

    def observe(self, term, version, sent_ms=None):
        """Process the term as the platform reported it.

        Parameters
        ----------
        term : Term
        version : int
        sent_ms : float or None
            For the response to a conditional update, granted or refused: a time before
            the update was sent. A paused holder that counted from the response would
            act on a right that has long ended. None for reads and watches, which may be
            stale and do not extend the right.

        Returns
        -------
        held : bool
            False once another daemon holds the term.
        """
        if version < self.version:
            return True
        if term.number != self.number:
            return False
        self.version = version
        self.successor = term.successor
        self.lasting = term.lasting
        if self.pending is not None and version > self.pending.expected_version:
            self.pending = None
        if sent_ms is not None:
            self._extend(sent_ms)
        self._apply_confirmations()
        return True

    def confirmed_by_successor(self, identity, sent_ms):
        """Process a daemon's confirmation that it has not taken over.

        While a change of successor is in doubt, either successor may be the one that
        the platform names, so the earlier of their two confirmations counts.
        """
        self._confirmations_ms[identity] = max(
            sent_ms, self._confirmations_ms.get(identity, sent_ms)
        )
        self._apply_confirmations()

    def _apply_confirmations(self):
        needed = {self.successor}
        if self.pending is not None:
            needed.add(self.pending.term.successor)
        needed.discard("")
        if not needed or not needed <= self._confirmations_ms.keys():
            return
        self._extend(min(self._confirmations_ms[name] for name in needed))

    def _extend(self, sent_ms):
        self.right_ends_ms = max(self.right_ends_ms, sent_ms + self.right_ms)


@attrs.define
class Takeover:
    """A named successor's takeover of a silent holder's term.

    Parameters
    ----------
    role : str
    began_ms : float
        From this time on the old holder is sent no confirmations.
    last_confirmation_ms : float
        Time of the last confirmation sent to the old holder, whose right counts from an
        earlier moment.
    right_ms : float
    """

    role: str
    began_ms: float
    last_confirmation_ms: float
    right_ms: float

    def old_right_ends_ms(self, write_answered_ms):
        """Return when the old holder's right has ended, on this daemon's clock.

        Parameters
        ----------
        write_answered_ms : float
            When the platform's response to the takeover write arrived. The old holder's
            last update precedes it.
        """
        latest_ms = max(self.last_confirmation_ms, write_answered_ms)
        return latest_ms + self.right_ms * RIGHT_MARGIN


@attrs.define
class RoleTerm:
    """State of one daemon for one role: claiming, holding and giving it up. No I/O.

    Every object of the role that this daemon sees is passed to :meth:`observe`, and
    every update that it sends comes from :meth:`claim`, :meth:`keep` or
    :meth:`give_up`.

    Parameters
    ----------
    role : str
    identity : str
        Of this process.
    right_ms : float
    held : HeldTerm or None
    earlier_right_ends_ms : float
        When the rights of all earlier holders have ended, on this daemon's clock. Valid
        while the term is held.
    claiming : TermWrite or None
        A claim whose outcome is not known yet.
    """

    role: str
    identity: str
    right_ms: float
    held: HeldTerm | None = None
    earlier_right_ends_ms: float = 0.0
    claiming: TermWrite | None = None
    _takeover: Takeover | None = None
    _takeover_holder: tuple[str, int] = ("", 0)
    _revoked: dict[str, int] = attrs.Factory(dict)
    _given_up: int = 0

    def revoked_for(self, identity):
        """Return the highest term for which a daemon is sent no confirmations.

        A number rather than a flag: a daemon that lost a term to this one and holds it
        again later needs confirmations again.
        """
        return self._revoked.get(identity, 0)

    def observe(self, term, version, now_ms, sent_ms=None):
        """Process the newest object of the role.

        Parameters
        ----------
        term : Term
        version : int
        now_ms : float
        sent_ms : float or None
            As for :meth:`HeldTerm.observe`.
        """
        if self.held is not None and not self.held.observe(term, version, sent_ms):
            self._given_up = max(self._given_up, self.held.number)
            self.held = None
        self._resolve_claim(term, version)
        mine = term.holder == self.identity and term.number > self._given_up
        if self.held is None and mine:
            self._start_holding(term, version, now_ms, sent_ms)

    def claim(self, term, version, now_ms, plan, request_id):
        """Return the update that takes the role.

        Parameters
        ----------
        term : Term or None
            As last seen, at ``version``.
        version : int
        now_ms : float
        plan : ClaimPlan
        request_id : str
            For a new update; an update in doubt is resent unchanged.

        Returns
        -------
        write : TermWrite
        """
        if self.claiming is not None:
            return self.claiming
        self._takeover = None
        if plan.last_confirmation_ms is not None:
            longest_ms = max(self.right_ms, term.right_ms)
            self._takeover = Takeover(
                self.role, now_ms, plan.last_confirmation_ms, longest_ms
            )
            self._takeover_holder = (term.holder, term.number)
            # Before the update is sent: confirmations stop now.
            self._revoked[term.holder] = term.number
        self.claiming = TermWrite(
            self.role, self._claimed_term(term, plan, request_id), version
        )
        return self.claiming

    def keep(self, now_ms, successor, lasting, request_id):
        """Return the update that the held term needs now, or None."""
        if now_ms >= self.earlier_right_ends_ms:
            self.held.longest_right_ms = self.held.right_ms
        if not self.held.needs_update(now_ms, successor, lasting):
            return None
        return self.held.begin_update(
            self.identity, successor, request_id, lasting, now_ms=now_ms
        )

    def give_up(self, now_ms, to, request_id):
        """Stop acting and return the update that hands the term over.

        Parameters
        ----------
        now_ms : float
        to : str
            Identity of the next holder; empty to let any daemon claim the term.
        request_id : str
        """
        held, self.held = self.held, None
        self._given_up = held.number
        term = Term(
            held.number + 1,
            to,
            "",
            request_id,
            unbounded=held.unbounded,
            right_ms=held.longest_right_ms,
            grant_ms=held.longest_grant_ms,
            settled=now_ms >= self.earlier_right_ends_ms,
        )
        return TermWrite(self.role, term, held.version)

    def _resolve_claim(self, term, version):
        claim = self.claiming
        if claim is None or version <= claim.expected_version:
            return
        self.claiming = None
        holder, number = self._takeover_holder
        if term.number == number and self._revoked.get(holder) == number:
            # Term numbers never decrease: the claim has failed and cannot succeed any
            # more.
            self._revoked[holder] = number - 1
            self._takeover = None

    def _start_holding(self, term, version, now_ms, sent_ms):
        self.held = HeldTerm(
            self.role,
            term.number,
            version,
            term.successor,
            # Limited to what the term says, which is how long a new holder waits.
            min(self.right_ms, term.right_ms or self.right_ms),
            lasting=term.lasting,
            unbounded=term.unbounded,
            longest_right_ms=max(self.right_ms, term.right_ms),
            longest_grant_ms=term.grant_ms,
        )
        if sent_ms is not None:
            self.held.observe(term, version, sent_ms)
        self.earlier_right_ends_ms = self._earlier_right_ends_ms(term, now_ms)
        self._takeover = None

    def _earlier_right_ends_ms(self, term, now_ms):
        """Return when the rights of all earlier holders have ended.

        The previous holder may have consented or departed while the right of its own
        predecessor, which it was waiting for, still runs. So after every change of
        holder, earlier rights count as running for the whole duration of a right,
        unless the term says that they have ended.
        """
        if term.settled:
            return now_ms
        if self._takeover is not None:
            return self._takeover.old_right_ends_ms(now_ms)
        return now_ms + max(self.right_ms, term.right_ms) * RIGHT_MARGIN

    def _claimed_term(self, term, plan, request_id):
        """Return the term that a claim writes."""
        if term is None:
            term = Term(0, "", settled=True)
        vacant = not term.holder
        silent = plan.last_confirmation_ms is not None
        return Term(
            term.number + 1,
            self.identity,
            plan.successor,
            request_id,
            lasting=plan.lasting,
            unbounded=term.unbounded or (silent and term.lasting),
            settled=vacant and term.settled,
            right_ms=max(self.right_ms, term.right_ms),
            grant_ms=max(plan.grant_ms, term.grant_ms),
        )


@attrs.frozen
class ClaimPlan:
    """What a daemon writes in the update that takes a role.

    Parameters
    ----------
    successor : str
    lasting : bool
    last_confirmation_ms : float or None
        When this daemon last sent the silent holder a confirmation. None if nobody
        holds the term or its holder has departed.
    grant_ms : float
        Duration of the grants to be sent; 0 for a role that sends none.
    """

    successor: str
    lasting: bool = False
    last_confirmation_ms: float | None = None
    grant_ms: float = 0.0


def may_claim(term, identity, departed, silent):
    """Decide whether a daemon may try to take a term.

    Parameters
    ----------
    term : Term or None
        As last seen; a conditional update ensures that it is still current.
    identity : str
        Identity of this daemon.
    departed : callable
        ``departed(identity)`` is True if that process is known to have ended.
    silent : callable
        ``silent(identity)`` is True if nothing has been received from that process for
        the silence timeout.

    Returns
    -------
    allowed : bool
    """
    if term is None or not term.holder:
        return True
    if term.holder == identity:
        return False
    if departed(term.holder):
        return True
    return term.successor == identity and silent(term.holder)


def has_departed(identity, term_version, member, member_version):
    """Decide whether a process is known to have ended.

    A daemon registers after it has bound its addresses and before it takes any term,
    and the kernel lets only one process bind an address. So a registration at the same
    addresses proves that the previous process has ended. A registration at other
    addresses (a new VM under an old name) proves nothing and lists such predecessors as
    unproven.

    Parameters
    ----------
    identity : str
    term_version : int
        Platform version of the newest object that names the process.
    member : Member or None
        Newest registration seen under its name; None if it was deleted.
    member_version : int
        Version of the registration or of its deletion; 0 if there never was one.

    Returns
    -------
    departed : bool
        Also False if the registration may be older than the process: with a stale view,
        a daemon that has just started would be taken for one that has been replaced.
    """
    if member_version <= term_version:
        return False
    if member is None:
        return True
    boot_id = identity.partition("#")[2]
    return member.boot_id != boot_id and boot_id not in member.unproven
