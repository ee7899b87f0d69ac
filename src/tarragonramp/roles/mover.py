"""Releases ranges of keys from their owners and grants them to new owners.

Between the two, a write to the store records that the earlier owner has released the
range. The new owner is granted the range only afterwards, so that the next leader knows
what each server may hold. If it were granted earlier, a new leader would fence the
earlier owner with a token below that of the new owner, and both would hold the keys.
"""

import attrs
import gevent

from ..adapters.logs import log_event
from ..errors import OvertakenGrantError, WrongServerError
from ..results import is_successful
from .relay import has_no_connection

__all__ = ["Mover"]

RETRY_MS = 250.0
"""Delay between two attempts to release or to grant a range."""


@attrs.frozen
class _ReleaseProof:
    """How a range was released.

    Parameters
    ----------
    proof : str
        Reason why the old owner cannot hold the range any more.
    handover : str
        State that the old owner handed over; empty if there is none.
    began_ms : float
        When the release was started.
    """

    proof: str
    handover: str
    began_ms: float


@attrs.define(eq=False, repr=False)
class Mover:
    """Carries out the moves that the store records as in progress.

    Parameters
    ----------
    view : FleetView
    tracker : GrantTracker
    clock : Clock
    on_released : callable
        Called without arguments whenever an owner has released a range.
    n_handovers : int
        Moves whose new owner received state from the old one.
    """

    view: object
    tracker: object
    clock: object
    on_released: object
    n_handovers: int = 0
    _release_tasks: dict = attrs.Factory(dict)
    _proofs: dict = attrs.Factory(dict)
    _granting: set = attrs.Factory(set)

    def start_release(self, service, item):
        """Start to release a range, unless the release is in progress or done."""
        key = service, item.first, item.token
        if key not in self._release_tasks and key not in self._proofs:
            self._release_tasks[key] = gevent.spawn(
                self._release_range, service, item, key
            )

    def is_released(self, service, item):
        """Return whether the earlier owner of a range has released it.

        True until the range has been granted to its new owner. Only this mover grants
        it meanwhile, since the first grant carries the state that the earlier owner
        handed over.
        """
        return (service, item.first, item.token) in self._proofs

    def released_ranges(self, service):
        """Return first key and token of the ranges that await their first grant."""
        return [key[1:] for key in self._proofs if key[0] == service]

    def begin_term(self):
        """Discard proofs of release: other leaders may have fenced the owners since."""
        gevent.killall(list(self._release_tasks.values()), block=False)
        self._release_tasks.clear()
        self._proofs.clear()
        self._granting.clear()

    def grant_to_new_owner(self, service, item):
        """Start to grant a range that the store records as free, once per release."""
        key = service, item.first, item.token
        if key in self._proofs and key not in self._granting:
            self._granting.add(key)
            gevent.spawn(self._grant_to_new_owner, service, item, key)

    def _release_range(self, service, item, key):
        began_ms = self.clock.now_ms()
        try:
            proof, handover = self._prove_release(service, item)
            if proof is None:
                return
            self._proofs[key] = _ReleaseProof(proof, handover, began_ms)
            self.tracker.forget(service, item.first, item.old_token)
            self.on_released()
        finally:
            self._release_tasks.pop(key, None)

    def _prove_release(self, service, item):
        """Release a range; return the proof of the release and the handed over state.

        The proof is None if this daemon may no longer continue the move.

        An old owner that is still listed is asked first, even if its grants have
        expired: the state that it hands over spares the new owner a cold start. A later
        process instance of it is asked as well: a grant meant for the earlier instance
        may have reached it before it was listed.

        Stored entries prove nothing, as any program may write them. The old owner is
        asked at the address of its grants: that another server has the address by now
        is learned from whoever answers there.
        """
        release_tried = self.view.directory.servers.get(item.old_owner) is None
        while self.tracker.may_act(service, item):
            has_restarted = self.tracker.has_later_life(item.old_owner, item.old_life)
            if (release_tried or has_restarted) and self.tracker.have_expired(
                service, item.first, item.old_token
            ):
                return "time", ""
            result = self.tracker.release(service, item)
            if is_successful(result):
                if has_restarted:
                    return "life ended", ""
                return "released", result.unwrap()
            if isinstance(result.failure(), WrongServerError):
                # An address is reused only after the process that had it has ended.
                return "address reused", ""
            release_tried = True
            gevent.sleep(RETRY_MS / 1000.0)
        return None, ""

    def _grant_to_new_owner(self, service, item, key):
        """Grant a range for the first time; renewals take over, even if this fails."""
        release = self._proofs.get(key)
        if release is None:
            return
        try:
            if not self._send_first_grant(service, item, release.handover):
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
            self._proofs.pop(key, None)
            self._granting.discard(key)

    def _send_first_grant(self, service, item, handover):
        """Return whether the new owner has accepted the range; False if unknown.

        In that case renewals continue, under a raised token if they need a new
        connection. A leader that is not confirmed opens no connection and waits, so
        that the state that the old owner handed over is not lost.
        """
        while self.tracker.is_current(service, item):
            result = self.tracker.grant(
                service, item, item.identity, item.token, handover
            )
            if is_successful(result):
                return True
            if has_no_connection(result):
                if not self.tracker.is_unsent(service, item):
                    return False
                gevent.sleep(RETRY_MS / 1000.0)
                continue
            if isinstance(result.failure(), OvertakenGrantError):
                self.tracker.refused.add((service, item.first, item.token))
                return False
            directory = self.view.directory
            server = directory.servers.get(item.owner)
            if server is None or server.life != item.life:
                return False
            if directory.is_leaving(server):
                return False
            connection_state = self.tracker.connection_state((item.owner, item.life))
            if connection_state.failing_since_ms is None:
                connection_state.failing_since_ms = self.clock.now_ms()
            if self.tracker.is_unreachable((item.owner, item.life)):
                return False
            gevent.sleep(RETRY_MS / 1000.0)
        return False
