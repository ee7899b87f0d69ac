"""Pauses that servers ask this daemon for, without I/O.

A server that turns a request away may say for how long it wants no further ones from
the daemon that sent it. What it says binds that daemon only.
"""

import random

import attrs

__all__ = ["Backoff", "ServerBackoffs"]

MAX_BACKOFF_MS = 3_600_000.0
"""A server that asks for a longer pause by mistake would not be used again until it is
restarted."""

RETURN_SPREAD = 0.5
"""Callers that are refused during a pause come back over this fraction of what is left
of it, after its end. If all of them came back at once, the server would ask for the
next pause."""


@attrs.frozen
class Backoff:
    """A pause that a server has asked for.

    Parameters
    ----------
    life : int
        Of the server, as it was known. A later life that has started since has not
        asked for anything.
    began_ms, until_ms : float
    request_id : str
        Id of the request that the server turned away first.
    asked_unix_ms : float
        When the server asked last, as Unix time.
    """

    life: int
    began_ms: float
    until_ms: float
    request_id: str
    asked_unix_ms: float = 0.0


@attrs.define(eq=False, repr=False)
class ServerBackoffs:
    """The pauses that this daemon has been asked for.

    Parameters
    ----------
    n_begun : int
        Pauses so far.
    rng : random.Random
    """

    n_begun: int = 0
    rng: random.Random = attrs.Factory(random.Random)
    _backoffs: dict = attrs.Factory(dict)

    @property
    def are_known(self):
        """Whether there may be any pause; without one, all servers may be sent to."""
        return bool(self._backoffs)

    def record(self, server, for_ms, request_id, now_ms, unix_ms=0.0):
        """Record that a server asks for a pause from now on.

        Each answer holds for itself: a shorter pause does not end one that was asked
        for before, whichever answer arrives first.

        Parameters
        ----------
        server : BackendServer
        for_ms : float
        request_id : str
        now_ms : float
        unix_ms : float, default=0.0
            The same moment as Unix time. A life that started before it has asked, as
            the one before had ended, although its entry may be known only later.

        Returns
        -------
        has_begun : bool
            False if the pause continues one, or if a later life of the server is known.
        """
        until_ms = now_ms + min(for_ms, MAX_BACKOFF_MS)
        known = self._backoffs.get(server.name)
        if known is not None and known.life > server.life:
            return False
        before = self.find(server, now_ms)
        if before is not None:
            until_ms = max(until_ms, before.until_ms)
            self._backoffs[server.name] = attrs.evolve(
                before, until_ms=until_ms, asked_unix_ms=unix_ms
            )
            return False
        if until_ms <= now_ms:
            return False
        self._backoffs[server.name] = Backoff(
            server.life, now_ms, until_ms, request_id, unix_ms
        )
        self.n_begun += 1
        return True

    def find(self, server, now_ms):
        """Return the Backoff that a server is in; None if it may be sent requests."""
        found = self._backoffs.get(server.name)
        if found is None or now_ms >= found.until_ms:
            return None
        has_asked = found.life < server.life <= found.asked_unix_ms
        return found if found.life == server.life or has_asked else None

    def without_paused(self, servers, now_ms):
        """Return a list of those servers that may be sent requests."""
        return [server for server in servers if self.find(server, now_ms) is None]

    def first_to_end(self, servers, now_ms):
        """Return the server whose pause ends first, and its Backoff.

        Parameters
        ----------
        servers : sequence of BackendServer
            At least one, all of them in a pause.
        now_ms : float
        """
        pauses = [(server, self.find(server, now_ms)) for server in servers]
        return min(pauses, key=lambda pair: pair[1].until_ms)

    def retry_after_ms(self, backoff, now_ms):
        """Return when a caller should retry that was refused because of a pause."""
        left_ms = backoff.until_ms - now_ms
        return left_ms * (1.0 + RETURN_SPREAD * self.rng.random())

    def n_active(self, now_ms):
        """Return the number of servers that are in a pause."""
        return sum(found.until_ms > now_ms for found in self._backoffs.values())

    def take_ended(self, now_ms):
        """Remove the pauses that have ended; return a list of names and Backoffs.

        A pause is kept until its end although the server is not listed: its entry may
        have expired during an outage of the store, and return.
        """
        ended = [
            (name, found)
            for name, found in self._backoffs.items()
            if found.until_ms <= now_ms
        ]
        for name, _ in ended:
            del self._backoffs[name]
        return ended
