"""Takes ranges of keys back from servers, and gives them to the next ones.

In between stands a write to the store: that the earlier owner has let go. Only then is
the next one granted the range, so that whoever leads next knows what each may hold.
Granted before, a new leader would fence the earlier owner under a token below that of
the next, and both would hold the keys.
"""

import attrs
import gevent
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import OvertakenGrantError, WrongServerError
from .relay import has_no_connection

__all__ = ["Mover"]

RETRY_MS = 250.0
"""Between two tries to release or to grant a range."""


@attrs.frozen
class _Release:
    """How a range was taken back."""

    proof: str
    handover: str
    began_ms: float


@attrs.define(eq=False, repr=False)
class Mover:
    """Carries on the moves that the store says are under way.

    Parameters
    ----------
    view : FleetView
    keeper : GrantKeeper
    clock : Clock
    on_released : callable
        Called without arguments whenever an owner has let go of a range.
    n_handovers : int
        Moves whose new owner got what the old one knew.
    """

    view: object
    keeper: object
    clock: object
    on_released: object
    n_handovers: int = 0
    _taking: dict = attrs.Factory(dict)
    _released: dict = attrs.Factory(dict)
    _giving: set = attrs.Factory(set)

    def take_back(self, service, item):
        """Begin to take a range back, unless that is under way or done."""
        key = service, item.first, item.token
        if key not in self._taking and key not in self._released:
            self._taking[key] = gevent.spawn(self._take_back, service, item, key)

    def is_released(self, service, item):
        """Tell whether a range's earlier owner has let go of it.

        True until the range was granted to its new owner, which nobody else should do
        meanwhile: what the earlier owner handed over is for the first grant.
        """
        return (service, item.first, item.token) in self._released

    def begin_term(self):
        """Forget which owners have let go: others may have fenced them since."""
        gevent.killall(list(self._taking.values()), block=False)
        self._taking.clear()
        self._released.clear()
        self._giving.clear()

    def give(self, service, item):
        """Grant a range, of which the store says that it is free, to its new owner.

        Unless that is under way or done.
        """
        key = service, item.first, item.token
        if key in self._released and key not in self._giving:
            self._giving.add(key)
            gevent.spawn(self._give, service, item, key)

    def _take_back(self, service, item, key):
        began_ms = self.clock.now_ms()
        try:
            proof, handover = self._prove_release(service, item)
            if proof is None:
                return
            self._released[key] = _Release(proof, handover, began_ms)
            self.keeper.forget(service, item.first, item.old_token)
            self.on_released()
        finally:
            self._taking.pop(key, None)

    def _prove_release(self, service, item):
        """Return how it is known that the old owner has let go, and its handover.

        It is asked first, also if time has proved it: what it hands over spares the new
        owner a cold start. A later life of it is asked as well: a grant that was meant
        for the earlier one may have reached it before it was listed.
        """
        was_asked = self.view.directory.servers.get(item.old_owner) is None
        while self.keeper.may_act(service, item):
            if self.keeper.address_reused(service, item.old_owner, item.old_life):
                return "address reused", ""
            is_later = self.keeper.has_later_life(item.old_owner, item.old_life)
            if (was_asked or is_later) and self.keeper.time_proves(
                service, item.first, item.old_token
            ):
                return "time", ""
            result = self.keeper.release(service, item)
            if is_successful(result):
                if is_later:
                    return "life ended", ""
                return "released", result.unwrap()
            if isinstance(result.failure(), WrongServerError):
                # An address is given to another server only after the end of this.
                return "address reused", ""
            was_asked = True
            gevent.sleep(RETRY_MS / 1000.0)
        return None, ""

    def _give(self, service, item, key):
        """Grant a range first; later its owner's renewals do, also if this fails."""
        release = self._released.get(key)
        if release is None:
            return
        try:
            if not self._grant_first(service, item, release.handover):
                return
            log_event(
                "keys-moved",
                service=service,
                first=item.first,
                token=item.token,
                owner=item.owner,
                proof=release.proof,
                handover=bool(release.handover),
                took_ms=round(self.clock.now_ms() - release.began_ms),
            )
            self.n_handovers += bool(release.handover)
        finally:
            self._released.pop(key, None)
            self._giving.discard(key)

    def _grant_first(self, service, item, handover):
        """Tell whether the new owner has taken the range; False if that is not known.

        Then its renewals go on, under a higher token if a connection is to be opened.
        """
        while self.keeper.is_current(service, item):
            result = self.keeper.grant(service, item, item.owner, item.token, handover)
            if is_successful(result):
                return True
            if has_no_connection(result):
                return False
            if isinstance(result.failure(), OvertakenGrantError):
                self.keeper.refused.add((service, item.first, item.token))
                return False
            server = self.view.directory.servers.get(item.owner)
            if server is None or server.life != item.life or server.draining:
                return False
            contact = self.keeper.contact((item.owner, item.life))
            if contact.failing_since_ms is None:
                contact.failing_since_ms = self.clock.now_ms()
            if self.keeper.is_unreachable((item.owner, item.life)):
                return False
            gevent.sleep(RETRY_MS / 1000.0)
        return False
