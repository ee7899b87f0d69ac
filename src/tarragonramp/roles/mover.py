"""Moves ranges of keys from one server to another, each in a task of its own."""

import collections

import attrs
import gevent
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import OvertakenGrantError, WrongServerError

__all__ = ["Mover"]

RETRY_MS = 250.0
"""Between two tries to release or to grant a range."""


@attrs.define(eq=False, repr=False)
class Mover:
    """Carries on the moves that the store says are under way.

    Parameters
    ----------
    view : FleetView
    keeper : GrantKeeper
    clock : Clock
    on_moved : callable
        Called without arguments whenever a range has arrived.
    n_handovers : int
        Moves whose new owner got what the old one knew.
    """

    view: object
    keeper: object
    clock: object
    on_moved: object
    n_handovers: int = 0
    _moving: dict = attrs.Factory(dict)
    _arrived: dict = attrs.Factory(lambda: collections.defaultdict(dict))

    def start(self, service, item):
        """Begin to move a range, unless that is under way or done."""
        key = service, item.first, item.token
        if key not in self._moving and not self.has_arrived(service, item):
            self._moving[key] = gevent.spawn(self._move, service, item, key)

    def has_arrived(self, service, item):
        """Tell whether a range's new owner has it, which the store may not say yet."""
        return self._arrived[service].get(item.first) == item.token

    def _move(self, service, item, key):
        """Take a range from its old owner and give it to the new one."""
        began_ms = self.clock.now_ms()
        try:
            proof, handover = self._take_back(service, item)
            if proof is None:
                return
            if not self._give(service, item, handover):
                return
            self._arrived[service][item.first] = item.token
            self.keeper.forget(service, item.first, item.old_token)
            log_event(
                "keys-moved",
                service=service,
                first=item.first,
                token=item.token,
                owner_before=item.old_owner,
                owner=item.owner,
                proof=proof,
                handover=bool(handover),
                took_ms=round(self.clock.now_ms() - began_ms),
            )
            self.n_handovers += bool(handover)
            self.on_moved()
        finally:
            self._moving.pop(key, None)

    def _take_back(self, service, item):
        """Return how it is known that the old owner has let go, and its handover.

        It is asked first, also if time has proved it: what it hands over spares the new
        owner a cold start.
        """
        is_silent = self.view.directory.servers.get(item.old_owner) is None
        while self.keeper.may_act(service, item):
            if self.keeper.life_ended(service, item.old_owner, item.old_life):
                return "life ended", ""
            if is_silent and self.keeper.time_proves(
                service, item.first, item.old_token
            ):
                return "time", ""
            result = self.keeper.release(service, item)
            if is_successful(result):
                return "released", result.unwrap()
            if isinstance(result.failure(), WrongServerError):
                # An address is given to another server only after the end of this.
                return "address reused", ""
            is_silent = True
            gevent.sleep(RETRY_MS / 1000.0)
        return None, ""

    def _give(self, service, item, handover):
        """Give a range to its new owner; also done if the owner has gone meanwhile."""
        while self.keeper.may_act(service, item):
            result = self.keeper.grant(service, item, item.owner, item.token, handover)
            if is_successful(result):
                return True
            if isinstance(result.failure(), OvertakenGrantError):
                self.keeper.refused.add((service, item.first, item.token))
                return True
            server = self.view.directory.servers.get(item.owner)
            if server is None or server.life != item.life or server.draining:
                return True
            if self.keeper.is_unreachable((item.owner, item.life)):
                return True
            contact = self.keeper.contact((item.owner, item.life))
            if contact.failing_since_ms is None:
                contact.failing_since_ms = self.clock.now_ms()
            gevent.sleep(RETRY_MS / 1000.0)
        return False
