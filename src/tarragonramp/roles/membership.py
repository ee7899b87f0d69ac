"""Registers this daemon and watches its ring neighbours."""

import random

import attrs
import gevent
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..model import KIND_FAILURE_DOMAIN, KIND_MEMBER
from ..spreading import start_delay_ms
from ..terms import has_departed

__all__ = ["Membership"]

OUTSIDE_EVERY = 8
REGISTER_RETRY_MS = 200


@attrs.define(eq=False, repr=False)
class Membership:
    """This daemon among the others.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
    peers : Peers
    clock : Clock
    timing : Timing
    on_word, on_newest : callable
        Called with what a ping's answer says.
    named : callable
        Returns the identities that the terms held here name as successors.
    """

    me: object
    view: object
    platform: object
    peers: object
    clock: object
    timing: object
    on_word: object = None
    on_newest: object = None
    named: object = set
    taken_from: object = None
    _heard_ms: dict = attrs.Factory(dict)
    _missed: dict = attrs.Factory(dict)
    _rounds: int = 0
    _pinging: dict = attrs.Factory(dict)
    _leaving: set = attrs.Factory(set)
    _ring_of: object = None
    _rings: tuple = ()

    def register(self):
        """Write this daemon into the platform, trying until it is there."""
        n_members = len(self.view.members())
        gevent.sleep(start_delay_ms(n_members, random.random()) / 1000.0)
        while True:
            version = self.view.version_of(KIND_MEMBER, self.me.name)
            self._note_predecessor(self.view.get(KIND_MEMBER, self.me.name))
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

    def _note_predecessor(self, earlier):
        """List an earlier process of this name that may still run."""
        if earlier is None or earlier.identity == self.me.identity:
            return
        unproven = earlier.unproven
        own = (self.me.control_address, self.me.peer_address)
        if (earlier.control_address, earlier.peer_address) != own:
            unproven += (earlier.boot_id,)
        self.me = attrs.evolve(self.me, unproven=unproven)

    def unregister(self):
        """Remove this daemon from the platform; try once.

        It stays if it has unproven predecessors: they would pass for departed.

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
        """Return the identity of the next daemon on the ring that answers.

        Daemons of other failure domains come first where they may: a role that is
        not bound to a failure domain must survive the loss of its own.

        Parameters
        ----------
        same_domain_only : bool
            Whether daemons of other failure domains are left out.

        Returns
        -------
        identity : str
            Empty if there is nobody.
        """
        members = self.view.members()
        near, far = self._ring(members)
        names = near if same_domain_only else far + near
        for name in names:
            identity = members[name].identity
            if not self.seems_down(identity) and not self.leaves(identity):
                return identity
        return ""

    def _ring(self, members):
        """Return the others' names, own failure domain and the rest, in ring order.

        Computed once for a set of members: it is asked for at every ping and tick.
        """
        if self._ring_of is not members:
            own = self.me.failure_domain
            near = sorted(n for n, m in members.items() if m.failure_domain == own)
            far = sorted(n for n, m in members.items() if m.failure_domain != own)
            self._ring_of = members
            self._rings = tuple(_ring_after(self.me.name, part) for part in (near, far))
        return self._rings

    def heard(self, identity):
        """Note a ping from another daemon."""
        self._heard_ms[identity] = self.clock.now_ms()

    def last_heard_ms(self, identity):
        """Return when a daemon last pinged; first asked counts as heard."""
        return self._heard_ms.setdefault(identity, self.clock.now_ms())

    def silent(self, identity):
        """Tell whether a daemon that should ping this one has stopped."""
        quiet_ms = self.clock.now_ms() - self.last_heard_ms(identity)
        return quiet_ms > self.timing.silence_ms

    def seems_down(self, identity):
        """Tell whether a daemon missed two pings in a row."""
        return self._missed.get(identity, 0) >= 2

    def leaves(self, identity):
        """Tell whether a daemon said that it is about to stop."""
        return identity in self._leaving

    def departed(self, identity, named_at_version):
        """Tell whether a process is known to be gone.

        Parameters
        ----------
        identity : str
        named_at_version : int
            Platform version of the newest object that names it.
        """
        name, _, boot_id = identity.partition("#")
        if name == self.me.name:
            # A write of this daemon's predecessor may land after its successor's
            # registration; this process knows which predecessors have ended.
            return boot_id not in (self.me.boot_id, *self.me.unproven)
        member = self.view.get(KIND_MEMBER, name)
        if member is not None and self._was_lost(member):
            return True
        version = self.view.version_seen(KIND_MEMBER, name)
        return has_departed(identity, named_at_version, member, version)

    def _was_lost(self, member):
        """Tell whether an operator's word says that a daemon does not run any more.

        Without it, a role whose holder and successor were lost together would stay
        with them. A daemon that registered after the word is a new one: taken for
        gone, it and its neighbours would take each other's terms in turns.
        """
        domain = member.failure_domain
        if not self.view.domain_lost(domain):
            return False
        registered = self.view.version_seen(KIND_MEMBER, member.name)
        return registered < self.view.version_seen(KIND_FAILURE_DOMAIN, domain)

    def run_pings(self):
        """Ping the successors of the terms held here, for ever."""
        while True:
            for identity in self._successors():
                if identity not in self._pinging:
                    task = gevent.spawn(self._ping, identity)
                    self._pinging[identity] = task
            gevent.sleep(self.timing.ping_ms / 1000.0)

    def _successors(self):
        """Return whom to ping in this round.

        Load: each ping costs both sides. A right needs the word of the daemons that
        its term names, and the next of the failure domain must be known to answer
        before it is named; of outsiders that are not named, only now and then.
        """
        near = self.successor(True)
        found = {near} | self.named()
        found |= {name for name in self._missed if self.view.member_of(name)}
        self._rounds += 1
        if not near or self._rounds % OUTSIDE_EVERY == 0:
            found.add(self.successor(False))
        return found - {""}

    def _ping(self, identity):
        try:
            member = self.view.member_of(identity)
            if member is None:
                self._missed.pop(identity, None)
                return
            sent_ms = self.clock.now_ms()
            result = self.peers.ping(
                member.control_address, self.me.identity, self.view.newest
            )
            if not is_successful(result) or result.unwrap().identity != identity:
                self._note_missed(identity)
                return
            if result.unwrap().leaving:
                self._leaving.add(identity)
            if self._missed.pop(identity, 0) >= 2:
                log_event("peer-back", peer=identity)
            self.on_word(result.unwrap(), sent_ms)
            self.on_newest(member.name, result.unwrap().newest)
        finally:
            self._pinging.pop(identity, None)

    def _note_missed(self, identity):
        self._missed[identity] = self._missed.get(identity, 0) + 1
        if self._missed[identity] == 2:
            log_event("peer-down", peer=identity)


def _ring_after(name, names):
    others = [n for n in names if n != name]
    return [n for n in others if n > name] + [n for n in others if n < name]
