"""Requests under which servers end, and that are held back for it, without I/O.

A server may end because of what one request contains. Callers send it again, under
another id and to another daemon, so it is known by its content.
"""

import hashlib

import attrs

__all__ = ["Quarantine", "Suspect", "content_mark"]

MAX_ENDS = 2
"""Ends of servers under one content after which it is held back, if no server has
answered it since. A request that is repeated once may have seen two."""

SUSPICION_MS = 60_000.0
"""How long an end counts. Two ends that lie further apart are taken for chance."""

FIRST_HOLD_MS, SECOND_HOLD_MS, MAX_HOLD_MS = 1_000.0, 10_000.0, 300_000.0
"""How long a content is held back until one request is let through. The first time is
short: servers that were killed together end under whatever they had in hand, and no
answer clears it while none of them runs. If a server ends under the one request, the
second time follows, and then twice the time before, up to the last."""

TRIAL_MS = 2_000.0
"""How long the outcome of the request that is let through is awaited."""

MAX_SUSPECTS = 1024
"""Contents that are remembered. Beyond it those held back are kept before others."""

MAX_RECORDED_ENDS = 16
RETRY_SPREAD = 0.5
MARK_BYTES = 8


def content_mark(service, method, target, key, body):
    """Return what identifies a request's content, as text.

    Headers are left out: some of them differ each time, such as ids and times.

    Parameters
    ----------
    service, method, target : str
    key : int or None
    body : bytes
    """
    digest = hashlib.blake2b(digest_size=MARK_BYTES)
    digest.update(f"{service} {method} {target} {key} ".encode(errors="replace"))
    digest.update(body)
    return digest.hexdigest()


@attrs.define
class Suspect:
    """A content that was with a server when it ended.

    Parameters
    ----------
    service : str
    ends_ms : dict of (str, int) to float
        By name and life of each server that ended, when.
    hold_ms : float
        How long it is held back; 0 if it never was.
    held_until_ms : float
    trial_until_ms : float
        Until when the outcome of the one request is awaited.
    """

    service: str
    ends_ms: dict = attrs.Factory(dict)
    hold_ms: float = 0.0
    held_until_ms: float = 0.0
    trial_until_ms: float = 0.0

    @property
    def is_held(self):
        """Whether it is held back, but for one request now and then."""
        return self.hold_ms > 0.0


@attrs.define(eq=False, repr=False)
class Quarantine:
    """The contents that this daemon knows servers to have ended under.

    Parameters
    ----------
    suspects : dict of str to Suspect
        By mark.
    n_held, n_released : int
        How often a content was held back, and released since a server answered it.
    """

    suspects: dict = attrs.Factory(dict)
    n_held: int = 0
    n_released: int = 0

    def find(self, mark, now_ms):
        """Return the Suspect of a mark; None if no recent end is known."""
        found = self.suspects.get(mark)
        if found is not None and self._is_over(found, now_ms):
            del self.suspects[mark]
            return None
        return found

    def record_end(self, mark, service, server, now_ms, age_ms=0.0):
        """Record that a server ended while it had a content.

        Parameters
        ----------
        mark, service : str
        server : (str, int)
            Name and life. Each life of a server ends once, however many requests it
            had and however many daemons tell of it.
        now_ms : float
        age_ms : float, default=0.0
            How long ago it ended.

        Returns
        -------
        suspect : Suspect
        """
        found = self._suspect(mark, service, now_ms)
        if server in found.ends_ms:
            return found
        found.ends_ms = {
            known: at_ms
            for known, at_ms in list(found.ends_ms.items())[1 - MAX_RECORDED_ENDS :]
            if found.is_held or now_ms - at_ms < SUSPICION_MS
        }
        found.ends_ms[server] = now_ms - age_ms
        if found.is_held or len(found.ends_ms) >= MAX_ENDS:
            self._hold(found, now_ms)
        return found

    def _suspect(self, mark, service, now_ms):
        """Return the Suspect of a mark, a new one if need be."""
        found = self.find(mark, now_ms)
        if found is None:
            self._make_room(now_ms)
            found = self.suspects[mark] = Suspect(service)
        return found

    def _hold(self, suspect, now_ms):
        """Hold a content back; longer if it was let through once more."""
        if not suspect.is_held:
            self.n_held += 1
            suspect.hold_ms = FIRST_HOLD_MS
        elif now_ms >= suspect.held_until_ms:
            longer_ms = max(SECOND_HOLD_MS, 2.0 * suspect.hold_ms)
            suspect.hold_ms = min(longer_ms, MAX_HOLD_MS)
        suspect.trial_until_ms = 0.0
        suspect.held_until_ms = max(suspect.held_until_ms, now_ms + suspect.hold_ms)

    def adopt_hold(self, mark, service, hold_ms, left_ms, now_ms):
        """Hold a content back as another daemon does.

        Parameters
        ----------
        mark, service : str
        hold_ms, left_ms : float
            How long it is held back in all, and from now on.
        now_ms : float
        """
        found = self._suspect(mark, service, now_ms)
        if not found.is_held:
            self.n_held += 1
        found.hold_ms = min(max(found.hold_ms, hold_ms), MAX_HOLD_MS)
        left_ms = min(left_ms, MAX_HOLD_MS)
        found.held_until_ms = max(found.held_until_ms, now_ms + left_ms)

    def record_answer(self, mark):
        """Record that a server has run a content and answered; return the Suspect.

        It then was not the cause, or is none any more. None if it was not suspected.
        """
        found = self.suspects.pop(mark, None)
        if found is not None and found.is_held:
            self.n_released += 1
        return found

    def left_ms(self, suspect, now_ms):
        """Return for how long a content is still held back."""
        return max(suspect.held_until_ms, suspect.trial_until_ms) - now_ms

    def begin_trial(self, mark, now_ms):
        """Return whether one request may be let through now.

        For the one daemon that decides this for all; others ask it.
        """
        found = self.find(mark, now_ms)
        if found is None or not found.is_held:
            return True
        if self.left_ms(found, now_ms) > 0.0:
            return False
        found.trial_until_ms = now_ms + TRIAL_MS
        return True

    def cancel_trial(self, mark):
        """Let another request through: the one that was is not sent, or was refused."""
        found = self.suspects.get(mark)
        if found is not None:
            found.trial_until_ms = 0.0

    def n_active(self, now_ms):
        """Return the number of contents that are held back."""
        return sum(
            found.is_held and not self._is_over(found, now_ms)
            for found in self.suspects.values()
        )

    def _is_over(self, suspect, now_ms):
        """Return whether a suspicion is too old to count."""
        if suspect.is_held:
            end_ms = max(suspect.held_until_ms, suspect.trial_until_ms)
            return now_ms >= end_ms + MAX_HOLD_MS
        return all(now_ms - at >= SUSPICION_MS for at in suspect.ends_ms.values())

    def _make_room(self, now_ms):
        """Forget what is over, and if need be the oldest suspicion."""
        if len(self.suspects) < MAX_SUSPECTS:
            return
        for mark, found in list(self.suspects.items()):
            if self._is_over(found, now_ms):
                del self.suspects[mark]
        while len(self.suspects) >= MAX_SUSPECTS:
            free = (mark for mark, found in self.suspects.items() if not found.is_held)
            del self.suspects[next(free, next(iter(self.suspects)))]
