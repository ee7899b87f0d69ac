"""Takes, keeps and hands over the terms of this daemon."""

import uuid

import attrs
import gevent
import gevent.pool
import xxhash
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import ConflictError
from ..model import KIND_TERM
from ..terms import HeldTerm, Takeover, may_claim, next_term
from ..view import planner_role, steward_role

__all__ = ["Holding", "TermKeeper"]

TICK_MS = 50
RANK_DELAY_MS = 700
MAX_WRITES_AT_ONCE = 8
HANDOVER_RETRY_MS = 100
STEWARD_PREFIX = "steward."


@attrs.define
class Holding:
    """A term held here, and what is known of the holder before.

    Parameters
    ----------
    term : HeldTerm
    earlier_right_ends_ms : float
        On this daemon's clock; when no earlier holder can be acting any more.
    """

    term: HeldTerm
    earlier_right_ends_ms: float


@attrs.define(eq=False, repr=False)
class TermKeeper:
    """All terms of one daemon.

    Parameters
    ----------
    view : View
    platform : Platform
    membership : Membership
    clock : Clock
    timing : Timing
    """

    view: object
    platform: object
    membership: object
    clock: object
    timing: object
    holdings: dict = attrs.Factory(dict)
    leaving: bool = False
    stopping: bool = False
    _takeovers: dict = attrs.Factory(dict)
    _unheld_since_ms: dict = attrs.Factory(dict)
    _busy: set = attrs.Factory(set)

    def holding(self, role):
        """Return the Holding of a role, or None if another daemon has it."""
        return self.holdings.get(role)

    def may_act(self, role):
        """Tell whether this daemon may act in a role at this moment."""
        holding = self.holdings.get(role)
        return holding is not None and holding.term.may_act(self.clock.now_ms())

    def taken_from(self, identity):
        """Return the roles taken, or begun to be taken, from a daemon."""
        return [
            role for role, (holder, _) in self._takeovers.items() if holder == identity
        ]

    def on_word(self, answer, sent_ms):
        """Use a neighbour's word for all terms that name it."""
        for role, holding in self.holdings.items():
            if role not in answer.taken:
                holding.term.renewed_by_successor(answer.identity, sent_ms)

    def run(self):
        """Look after all roles, for ever."""
        while not self.stopping:
            for role, in_domain in self._roles():
                if role not in self._busy and len(self._busy) < MAX_WRITES_AT_ONCE:
                    self._look_after(role, in_domain)
            gevent.sleep(TICK_MS / 1000.0)

    def leave(self):
        """Take no further terms; keep those that are held."""
        self.leaving = True

    def hand_over_all(self, timeout_ms):
        """Give every term to its successor, or to nobody, before a planned stop.

        Parameters
        ----------
        timeout_ms : float
            Bound on the time for all of them together.

        Returns
        -------
        kept : list of str
            Roles that were not surely handed over. Nothing is done in them here any
            more; their successors find this daemon silent.
        """
        self.stopping = True
        roles = list(self.holdings)
        pool = gevent.pool.Pool(MAX_WRITES_AT_ONCE)
        tasks = {role: pool.spawn(self._hand_over, role) for role in roles}
        gevent.joinall(tasks.values(), timeout=timeout_ms / 1000.0)
        kept = [role for role, task in tasks.items() if not task.value]
        gevent.killall(tasks.values())
        self.holdings.clear()
        return kept

    def _roles(self):
        own = self.membership.me.failure_domain
        services = self.view.services()
        for vm in list(self.view.vms.values()):
            known = (vm.team, vm.service) in services
            if known and vm.failure_domain == own:
                yield steward_role(vm.team, vm.service, vm.name), True
        for team in {team for team, _ in services}:
            yield planner_role(team), False

    def _look_after(self, role, in_domain):
        term = self.view.term(role)
        identity = self.membership.me.identity
        if role in self.holdings:
            self._keep(role, term, in_domain)
            return
        if term is not None and term.holder == identity:
            self._accept(role, term)
            return
        if self.leaving:
            return
        allowed = may_claim(
            term, identity, self.membership.departed, self.membership.silent
        )
        if not allowed or not self._is_turn(role, term, in_domain):
            return
        self._spawn(role, self._take, role, term, in_domain)

    def _spawn(self, role, task, *arguments):
        def run():
            try:
                task(*arguments)
            finally:
                self._busy.discard(role)

        self._busy.add(role)
        gevent.spawn(run)

    def _is_turn(self, role, term, in_domain):
        """Stagger claims on terms that nobody holds.

        Without it every daemon would write at once after a start of the fleet; one
        write wins and the others only load the platform.
        """
        if term is not None and term.successor == self.membership.me.identity:
            return True
        since_ms = self._unheld_since_ms.setdefault(role, self.clock.now_ms())
        waited_ms = self.clock.now_ms() - since_ms
        return waited_ms >= self._rank(role, in_domain) * RANK_DELAY_MS

    def _rank(self, role, in_domain):
        own = self.membership.me.failure_domain
        names = [
            name
            for name, member in self.view.members().items()
            if not in_domain or member.failure_domain == own
        ]
        names.sort(key=lambda name: _rendezvous(role, name))
        me = self.membership.me.name
        return names.index(me) if me in names else len(names)

    def _take(self, role, term, in_domain):
        now_ms = self.clock.now_ms()
        takeover = self._begin(role, term, now_ms)
        new = next_term(
            term,
            self.membership.me.identity,
            self.membership.successor(in_domain),
            uuid.uuid4().hex,
        )
        version = self.view.version_of(KIND_TERM, role)
        sent_ms = self.clock.now_ms()
        stored = self._write(role, new, version)
        if stored is None:
            current = self.view.term(role)
            if current is None or current.successor != self.membership.me.identity:
                self._takeovers.pop(role, None)
            return
        self._unheld_since_ms.pop(role, None)
        answered_ms = self.clock.now_ms()
        ends_ms = answered_ms
        if takeover is not None:
            ends_ms = takeover.old_right_ends_ms(answered_ms)
        held = HeldTerm(
            role, new.number, stored.version, new.successor, self.timing.right_ms
        )
        held.renewed_by_platform(stored.version, new.successor, sent_ms)
        self.holdings[role] = Holding(held, ends_ms)
        log_event(
            "term-taken",
            role=role,
            term=new.number,
            before=term.holder if term else "",
            successor=new.successor,
        )

    def _begin(self, role, term, now_ms):
        if term is None or not term.holder or self.membership.departed(term.holder):
            return None
        if role not in self._takeovers:
            heard_ms = self.membership.last_heard_ms(term.holder)
            takeover = Takeover(role, now_ms, heard_ms, self.timing.right_ms)
            self._takeovers[role] = (term.holder, takeover)
        return self._takeovers[role][1]

    def _accept(self, role, term):
        """Begin to act in a term that its holder handed over by consent."""
        version = self.view.version_of(KIND_TERM, role)
        held = HeldTerm(
            role, term.number, version, term.successor, self.timing.right_ms
        )
        ends_ms = self.clock.now_ms()
        if role in self._takeovers:
            # The answer to the taking update was lost, and nobody consented.
            ends_ms = self._takeovers[role][1].old_right_ends_ms(ends_ms)
        self.holdings[role] = Holding(held, ends_ms)
        log_event("term-accepted", role=role, term=term.number)

    def _keep(self, role, term, in_domain):
        held = self.holdings[role].term
        if term is not None and term.number > held.number:
            del self.holdings[role]
            log_event("term-lost", role=role, term=held.number, to=term.holder)
            return
        wanted = self.membership.successor(in_domain)
        now_ms = self.clock.now_ms()
        renames = wanted != held.successor
        lapsing = bool(held.successor) and not held.may_act(now_ms)
        if renames or lapsing or held.renaming_to is not None:
            self._spawn(role, self._renew, role, wanted)

    def _renew(self, role, successor):
        held = self.holdings[role].term
        held.rename_started(successor)
        new = next_term(None, self.membership.me.identity, successor, uuid.uuid4().hex)
        new = attrs.evolve(new, number=held.number)
        sent_ms = self.clock.now_ms()
        stored = self._write(role, new, held.version)
        if stored is None:
            return
        held.renewed_by_platform(stored.version, successor, sent_ms)
        log_event("successor-named", role=role, term=held.number, successor=successor)

    def _hand_over(self, role):
        """Give a term away; True once the platform shows it.

        The daemon acts on until the platform answers at all: while it is down nobody
        else can take the term, and the servers' grants would run out.
        """
        while not is_successful(self.platform.get(KIND_TERM, role)):
            gevent.sleep(HANDOVER_RETRY_MS / 1000.0)
        held = self.holdings.pop(role).term
        in_domain = role.startswith(STEWARD_PREFIX)
        to = self.membership.successor(in_domain)
        new = attrs.evolve(
            next_term(None, to, "", uuid.uuid4().hex), number=held.number + 1
        )
        version = held.version
        while True:
            if self._write(role, new, version) is not None:
                log_event("term-handed-over", role=role, to=to, term=new.number)
                return True
            current = self.view.term(role)
            if current is None or current.number > held.number:
                return True
            # A lost answer, or a renewal of this daemon that came in between.
            version = self.view.version_of(KIND_TERM, role)
            gevent.sleep(HANDOVER_RETRY_MS / 1000.0)

    def _write(self, role, term, version):
        """Write a term; a conflict that shows the own request id is a success."""
        result = self.platform.put(KIND_TERM, role, attrs.asdict(term), version)
        if is_successful(result):
            self.view.apply(result.unwrap())
            return result.unwrap()
        error = result.failure()
        if isinstance(error, ConflictError) and error.current is not None:
            self.view.apply(error.current)
            if error.current.spec["request_id"] == term.request_id:
                return error.current
        log_event("term-write-failed", role=role, error=error)
        return None


def _rendezvous(role, name):
    return xxhash.xxh3_64_intdigest(f"{role}/{name}".encode())
