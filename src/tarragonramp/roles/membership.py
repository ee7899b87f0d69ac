"""Registers this daemon and watches its ring neighbours."""

import attrs
import gevent
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..model import KIND_MEMBER

__all__ = ["Membership"]

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
    """

    me: object
    view: object
    platform: object
    peers: object
    clock: object
    timing: object
    on_word: object = None
    taken_from: object = None
    _heard_ms: dict = attrs.Factory(dict)
    _missed: dict = attrs.Factory(dict)
    _pinging: dict = attrs.Factory(dict)
    _leaving: set = attrs.Factory(set)

    def register(self):
        """Write this daemon into the platform, trying until it is there."""
        while True:
            version = self.view.version_of(KIND_MEMBER, self.me.name)
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

    def unregister(self):
        """Remove this daemon from the platform; try once.

        Returns
        -------
        removed : bool
        """
        version = self.view.version_of(KIND_MEMBER, self.me.name)
        if not version:
            return False
        result = self.platform.delete(KIND_MEMBER, self.me.name, version)
        return is_successful(result)

    def successor(self, same_domain_only):
        """Return the identity of the next daemon on the ring that answers.

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
        own = self.me.failure_domain
        near = sorted(n for n, m in members.items() if m.failure_domain == own)
        names = _ring_after(self.me.name, near)
        if not same_domain_only:
            far = sorted(n for n in members if n not in near)
            names += _ring_after(self.me.name, far)
        for name in names:
            identity = members[name].identity
            if not self.seems_down(identity) and identity not in self._leaving:
                return identity
        return ""

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

    def departed(self, identity):
        """Tell whether a process is known to be gone.

        A daemon registers only after it has bound its addresses, which the kernel
        gives to one process: a newer boot id proves that the older process ended.
        """
        name = identity.partition("#")[0]
        member = self.view.get(KIND_MEMBER, name)
        if member is None:
            return self.view.deleted(KIND_MEMBER, name)
        return member.identity != identity

    def run_pings(self):
        """Ping the successors of the terms held here, for ever."""
        while True:
            for identity in self._successors():
                if identity not in self._pinging:
                    task = gevent.spawn(self._ping, identity)
                    self._pinging[identity] = task
            gevent.sleep(self.timing.ping_ms / 1000.0)

    def _successors(self):
        found = {self.successor(True), self.successor(False)}
        found |= {name for name in self._missed if self.view.member_of(name)}
        return found - {""}

    def _ping(self, identity):
        try:
            member = self.view.member_of(identity)
            if member is None:
                self._missed.pop(identity, None)
                return
            sent_ms = self.clock.now_ms()
            result = self.peers.ping(member.control_address, self.me.identity)
            if not is_successful(result) or result.unwrap().identity != identity:
                self._note_missed(identity)
                return
            if result.unwrap().leaving:
                self._leaving.add(identity)
            if self._missed.pop(identity, 0) >= 2:
                log_event("peer-back", peer=identity)
            self.on_word(result.unwrap(), sent_ms)
        finally:
            self._pinging.pop(identity, None)

    def _note_missed(self, identity):
        self._missed[identity] = self._missed.get(identity, 0) + 1
        if self._missed[identity] == 2:
            log_event("peer-down", peer=identity)


def _ring_after(name, names):
    others = [n for n in names if n != name]
    return [n for n in others if n > name] + [n for n in others if n < name]
