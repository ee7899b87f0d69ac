"""Registers this daemon and monitors its ring neighbours by pings."""

import random

import attrs
import gevent

from ..adapters.logs import log_event
from ..model import KIND_FAILURE_DOMAIN, KIND_MEMBER
from ..propagation import start_delay_ms
from ..results import is_successful
from ..terms import has_departed

__all__ = ["Membership"]

REMOTE_PING_ROUNDS = 8
"""Rounds of pings between two pings of the next daemon of any failure domain."""

REGISTER_RETRY_MS = 200


@attrs.define(eq=False, repr=False)
class Membership:
    """This daemon's registration, and its failure detector for the others.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
    peers : Peers
    clock : Clock
    timing : Timing
    on_ping_answer : callable
        ``on_ping_answer(PingAnswer, sent_ms)``, called with each answer to a ping.
    on_peer_version : callable
        ``on_peer_version(name, version)``, called with the newest platform version that
        the answering daemon has seen.
    named_successors : callable
        Returns the identities that the terms held here name as successors.
    revoked_terms : callable
        ``revoked_terms(identity)``: as :meth:`TermKeeper.revoked_terms`.
    """

    me: object
    view: object
    platform: object
    peers: object
    clock: object
    timing: object
    on_ping_answer: object = None
    on_peer_version: object = None
    named_successors: object = set
    revoked_terms: object = None
    _last_ping_ms: dict = attrs.Factory(dict)
    _missed_pings: dict = attrs.Factory(dict)
    _rounds: int = 0
    _pings_in_flight: dict = attrs.Factory(dict)
    _leaving: set = attrs.Factory(set)
    _rings_members: object = None
    _rings: tuple = ()

    def register(self):
        """Write this daemon's registration to the platform, retrying as needed."""
        n_members = len(self.view.members())
        gevent.sleep(start_delay_ms(n_members, random.random()) / 1000.0)
        while True:
            version = self.view.version_of(KIND_MEMBER, self.me.name)
            self._record_predecessor(self.view.get(KIND_MEMBER, self.me.name))
            result = self.platform.put(
                KIND_MEMBER, self.me.name, attrs.asdict(self.me), version
            )
            if is_successful(result):
                self.view.apply(result.unwrap())
                return
            found = self.platform.get(KIND_MEMBER, self.me.name)
            if is_successful(found):
                self.view.apply(found.unwrap())
                if self.view.member_of(self.me.identity):
                    return
            gevent.sleep(REGISTER_RETRY_MS / 1000.0)

    def _record_predecessor(self, earlier):
        """Record an earlier process of this name, if it may still run."""
        if earlier is None or earlier.identity == self.me.identity:
            return
        unproven = earlier.unproven
        own_addresses = (self.me.control_address, self.me.peer_address)
        if (earlier.control_address, earlier.peer_address) != own_addresses:
            unproven += (earlier.boot_id,)
        self.me = attrs.evolve(self.me, unproven=unproven)

    def unregister(self):
        """Delete this daemon's registration, in one attempt.

        Kept if the end of a predecessor is not proved: without the registration that
        lists it, that process would count as departed.

        Returns
        -------
        removed : bool
        """
        if self.me.unproven:
            return False
        version = self.view.version_of(KIND_MEMBER, self.me.name)
        if not version:
            return False
        result = self.platform.delete(KIND_MEMBER, self.me.name, version)
        return is_successful(result)

    def successor(self, same_domain_only):
        """Return the identity of the next daemon on the ring that answers pings.

        Daemons of other failure domains come first, unless they are left out: a role
        that is not bound to a failure domain must survive the loss of the one that its
        holder is in.

        Parameters
        ----------
        same_domain_only : bool
            Whether daemons of other failure domains are left out.

        Returns
        -------
        identity : str
            Empty if there is none.
        """
        members = self.view.members()
        local, remote = self._ring(members)
        names = local if same_domain_only else remote + local
        for name in names:
            identity = members[name].identity
            if not self.seems_down(identity) and not self.is_leaving(identity):
                return identity
        return ""

    def _ring(self, members):
        """Return the other daemons in ring order: own failure domain, and the rest.

        Cached per set of members, as it is needed at every ping and tick.
        """
        if self._rings_members is not members:
            own_domain = self.me.failure_domain
            local = sorted(
                n for n, m in members.items() if m.failure_domain == own_domain
            )
            remote = sorted(
                n for n, m in members.items() if m.failure_domain != own_domain
            )
            self._rings_members = members
            self._rings = tuple(
                _rotate_after(self.me.name, part) for part in (local, remote)
            )
        return self._rings

    def record_ping(self, identity):
        """Record a ping from another daemon."""
        self._last_ping_ms[identity] = self.clock.now_ms()

    def last_ping_ms(self, identity):
        """Return when a daemon last pinged this one.

        A daemon that has never pinged counts from the first call.
        """
        return self._last_ping_ms.setdefault(identity, self.clock.now_ms())

    def is_silent(self, identity):
        """Return whether a daemon that should ping this one has stopped doing so."""
        silent_ms = self.clock.now_ms() - self.last_ping_ms(identity)
        return silent_ms > self.timing.silence_ms

    def seems_down(self, identity):
        """Return whether a daemon failed to answer its last two pings."""
        return self._missed_pings.get(identity, 0) >= 2

    def is_leaving(self, identity):
        """Return whether a daemon has announced that it is about to stop."""
        return identity in self._leaving

    def is_departed(self, identity, named_at_version):
        """Return whether a daemon process is known to have ended.

        Parameters
        ----------
        identity : str
        named_at_version : int
            Platform version of the newest object that names it.
        """
        name, _, boot_id = identity.partition("#")
        if name == self.me.name:
            # A late write of a predecessor may take effect after this process's
            # registration, so versions do not show whether a predecessor has ended.
            # This process knows which of its predecessors may still run.
            return boot_id not in (self.me.boot_id, *self.me.unproven)
        member = self.view.get(KIND_MEMBER, name)
        if member is not None and self._is_declared_lost(member):
            return True
        version = self.view.version_seen(KIND_MEMBER, name)
        return has_departed(identity, named_at_version, member, version)

    def _is_declared_lost(self, member):
        """Return whether an operator has declared a daemon's failure domain lost.

        Without that declaration, a role whose holder and successor were lost together
        would stay with them. A daemon that registered after the declaration is a new
        one: if it counted as lost, it and its neighbours would keep taking each
        other's terms.
        """
        domain = member.failure_domain
        if not self.view.is_domain_lost(domain):
            return False
        registered = self.view.version_seen(KIND_MEMBER, member.name)
        return registered < self.view.version_seen(KIND_FAILURE_DOMAIN, domain)

    def run_pings(self):
        """Ping the successors of the terms held here. Never returns."""
        while True:
            for identity in self._identities_to_ping():
                if identity not in self._pings_in_flight:
                    task = gevent.spawn(self._ping, identity)
                    self._pings_in_flight[identity] = task
            gevent.sleep(self.timing.ping_ms / 1000.0)

    def _identities_to_ping(self):
        """Return the identities to ping in this round.

        Pings cost both sides, so only necessary ones are sent: to the successors that
        held terms name, since the rights depend on their confirmation; to daemons that
        missed pings, until they answer; to the next daemon of the own failure domain,
        which must be known to answer before it is named; and every few rounds to the
        next daemon of any failure domain.
        """
        local = self.successor(True)
        found = {local} | self.named_successors()
        found |= {name for name in self._missed_pings if self.view.member_of(name)}
        self._rounds += 1
        if not local or self._rounds % REMOTE_PING_ROUNDS == 0:
            found.add(self.successor(False))
        return found - {""}

    def _ping(self, identity):
        try:
            member = self.view.member_of(identity)
            if member is None:
                self._missed_pings.pop(identity, None)
                return
            sent_ms = self.clock.now_ms()
            result = self.peers.ping(
                member.control_address, self.me.identity, self.view.newest
            )
            if not is_successful(result) or result.unwrap().identity != identity:
                self._record_missed_ping(identity)
                return
            if result.unwrap().leaving:
                self._leaving.add(identity)
            if self._missed_pings.pop(identity, 0) >= 2:
                log_event("peer-back", peer=identity)
            self.on_ping_answer(result.unwrap(), sent_ms)
            self.on_peer_version(member.name, result.unwrap().newest)
        finally:
            self._pings_in_flight.pop(identity, None)

    def _record_missed_ping(self, identity):
        self._missed_pings[identity] = self._missed_pings.get(identity, 0) + 1
        if self._missed_pings[identity] == 2:
            log_event("peer-down", peer=identity)


def _rotate_after(name, names):
    others = [n for n in names if n != name]
    return [n for n in others if n > name] + [n for n in others if n < name]
