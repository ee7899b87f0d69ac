"""Records what servers announce of themselves in their answers, and logs it.

Every header of an answer that concerns more than its own request is handled here. A
header that the platform's adapter does not know is logged, so that a new announcement
does not go unheard.
"""

import time

import attrs

from ..adapters.logs import log_event
from ..backoffs import ServerBackoffs
from ..limits import ServerLimits

__all__ = ["Announcements"]

MAX_UNKNOWN_HEADERS = 32
"""Names of unknown headers that are logged, each of them once."""

MAX_LOGGED_CHARS = 40


@attrs.define(eq=False, repr=False)
class Announcements:
    """What this daemon has heard from servers about themselves.

    Parameters
    ----------
    directory : Directory
        Told of servers that leave.
    limits : ServerLimits
    backoffs : ServerBackoffs
    n_sent_in_backoff : int
        Requests sent to servers in their pauses.
    """

    directory: object
    limits: ServerLimits = attrs.Factory(ServerLimits)
    backoffs: ServerBackoffs = attrs.Factory(ServerBackoffs)
    n_sent_in_backoff: int = 0
    _unreadable: dict = attrs.Factory(dict)
    _unknown_headers: set = attrs.Factory(set)

    def record_sent(self, server, now_ms):
        """Record that a request is being sent to a server."""
        if self.backoffs.find(server, now_ms) is not None:
            self.n_sent_in_backoff += 1

    def record_answer(self, server, facts, request_id, sent_ms, now_ms):
        """Record what an answer announces.

        Parameters
        ----------
        server : BackendServer
            The server that the request was sent to.
        facts : ResponseFacts
        request_id : str
        sent_ms, now_ms : float
            When the request was sent, and when its answer arrived.
        """
        self._log_unknown(server, facts)
        self._record_limit(server, facts, sent_ms, now_ms)
        if facts.misdirected and not facts.genuine:
            # From another process at the address, or from this server.
            return
        self._record_backoff(server, facts, request_id, now_ms)
        self._record_leaving(server, facts, request_id)

    def record_health(self, server, facts, now_ms):
        """Record what the answer to a health check announces.

        Health checks name no server, so another one that has the address may answer.
        """
        if facts.server_name != server.name:
            return
        self._log_unknown(server, facts)
        self._record_backoff(server, facts, "", now_ms)
        self._record_leaving(server, facts, "")
        if facts.cold_ms:
            self.directory.mark_cold(server.name, facts.cold_ms)

    def tidy(self, now_ms):
        """Log the pauses that have ended, and forget servers that have left."""
        self.directory.forget_left()
        for name, backoff in self.backoffs.take_ended(now_ms):
            log_event(
                "server-backoff-ended",
                server=name,
                lasted_ms=round(backoff.until_ms - backoff.began_ms),
                asked_by=backoff.request_id,
            )

    def retain(self, listed):
        """Forget what was logged of servers that are not listed any more."""
        for key in [key for key in self._unreadable if key[1] not in listed]:
            del self._unreadable[key]

    def _record_limit(self, server, facts, sent_ms, now_ms):
        """Record the limit that a server names in an answer, or that it names none."""
        per_s, text = facts.limit_per_s, facts.limit_text
        if per_s is None and text is not None:
            self._log_unreadable("limit", server, text)
            return
        # Another process at the address may have sent a misdirected answer.
        is_from_server = facts.genuine or (facts.not_run and not facts.misdirected)
        if per_s is None and not is_from_server:
            return
        if self.limits.record_answer(server, per_s, sent_ms, now_ms):
            log_event(
                "server-limit",
                server=server.name,
                service=server.service,
                per_s="none" if per_s is None else per_s,
            )

    def _record_backoff(self, server, facts, request_id, now_ms):
        if facts.backoff_ms is None:
            if facts.backoff_text is not None:
                self._log_unreadable("backoff", server, facts.backoff_text)
            return
        self.tidy(now_ms)
        unix_ms = time.time() * 1000.0
        if self.backoffs.record(server, facts.backoff_ms, request_id, now_ms, unix_ms):
            log_event(
                "server-backoff",
                server=server.name,
                service=server.service,
                for_ms=round(facts.backoff_ms),
                id=request_id,
            )

    def _record_leaving(self, server, facts, request_id):
        if facts.leaving is None:
            self._log_unreadable("leaving", server, facts.leaving_text)
        elif facts.leaving:
            self.record_leaving(server.name, server.life, id=request_id)

    def record_leaving(self, name, life, **source):
        """Record that a server leaves; ``source`` tells for the log how it was heard.

        Whoever sends requests stops in time, and a leader moves the server's keys.
        """
        if self.directory.mark_leaving(name, life):
            log_event("server-leaving", server=name, life=life, **source)

    def _log_unreadable(self, what, server, text):
        """Log once for each value that a server says something not understood."""
        if self._unreadable.get((what, server.name)) == text:
            return
        self._unreadable[what, server.name] = text
        log_event(
            f"{what}-not-understood",
            server=server.name,
            value=text[:MAX_LOGGED_CHARS],
        )

    def _log_unknown(self, server, facts):
        for name in facts.unknown_headers:
            is_logged = name in self._unknown_headers
            if is_logged or len(self._unknown_headers) >= MAX_UNKNOWN_HEADERS:
                continue
            self._unknown_headers.add(name)
            log_event(
                "header-not-known",
                server=server.name,
                name=name[:MAX_LOGGED_CHARS],
            )
