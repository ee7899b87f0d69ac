"""The audit trail: who changed what, when, and what became of it."""

import random
import time
import uuid

import attrs
import gevent
from returns.pipeline import is_successful
from returns.result import Result

from ..adapters.logs import log_event
from ..model import KIND_AUDIT_ENTRY, Stored
from .writes import put_surely

__all__ = ["AuditTrail", "Change"]

BEGUN = "begun"
DONE = "done"
REFUSED = "refused"
CONFLICT = "conflict"
UNKNOWN = "unknown"
NOT_DONE = "not-done"

WRITE_MS = 3000
PRUNE_EVERY = 50
"""One write in so many, drawn at random, looks for entries to remove. Counted instead,
none would in a large fleet: each daemon writes few and is restarted before the next."""

PRUNE_AT_ONCE = 200
STRANGERS_EVERY_MS = 60_000
"""Shortest time between two entries about calls without a secret.

Load: somebody tries secrets as fast as the port answers. Harm prevented: a write to
the platform for each try. One entry a minute names the newest call and counts all.
"""

MAX_TEXT = 200


@attrs.frozen
class Change:
    """What an operator asks for.

    Parameters
    ----------
    actor : str
        As the caller names himself.
    remote : str
        IP number of the caller.
    action : str
    kind, name : str
    before_version : int
    change_id : str
        The request id that the changed object carries.
    """

    actor: str
    remote: str
    action: str
    kind: str
    name: str
    before_version: int
    change_id: str


@attrs.define(eq=False, repr=False)
class AuditTrail:
    """Writes entries, and removes the oldest.

    Parameters
    ----------
    me : Member
    platform : Platform
    clock : Clock
    keep_entries : int
    """

    me: object
    platform: object
    clock: object
    keep_entries: int
    _strangers: int = 0
    _next_stranger_ms: float = 0.0

    def begin(self, change) -> Result:
        """Write that a change is about to be tried.

        A change is made only after this: there is none without an entry. An entry
        whose second write was lost goes on saying ``begun``.

        Returns
        -------
        entry : Success of Stored, or Failure of PlatformError
        """
        return self._write_new({**self._fields(change), "outcome": BEGUN})

    def finish(self, entry, outcome, detail="", after_version=0):
        """Write what became of a change.

        Parameters
        ----------
        entry : Stored
            From :meth:`begin`.
        outcome : str
        detail : str
        after_version : int
        """
        spec = {
            **entry.spec,
            "outcome": outcome,
            "detail": detail[:MAX_TEXT],
            "after_version": after_version,
            "request_id": uuid.uuid4().hex,
        }
        result = self._put(entry.name, spec, entry.version)
        if not is_successful(result):
            log_event("audit-not-finished", entry=entry.name, error=result.failure())

    def refused(self, change, detail):
        """Write that a change was refused before anything was tried."""
        spec = {**self._fields(change), "outcome": REFUSED, "detail": detail[:MAX_TEXT]}
        result = self._write_new(spec)
        if not is_successful(result):
            log_event("audit-not-written", action=change.action, outcome=REFUSED)

    def stranger(self, change):
        """Note a call without an accepted secret; at most one entry a minute."""
        self._strangers += 1
        now_ms = self.clock.now_ms()
        if now_ms < self._next_stranger_ms:
            return
        self._next_stranger_ms = now_ms + STRANGERS_EVERY_MS
        count, self._strangers = self._strangers, 0
        detail = f"no accepted secret; {count} such calls since the last entry"
        log_event("operator-unauthenticated", remote=change.remote, calls=count)
        gevent.spawn(self.refused, change, detail)

    def entries(self, limit) -> Result:
        """Return Success of the newest entries' specs, newest first."""

        def newest(items):
            items = sorted(items, key=lambda item: item.name, reverse=True)
            return [item.spec for item in items[:limit]]

        return self.platform.list(KIND_AUDIT_ENTRY).map(newest)

    def _fields(self, change):
        return {
            "at_ms": int(time.time() * 1000),
            **attrs.asdict(change),
            "after_version": 0,
            "daemon": self.me.identity,
            "detail": "",
            "request_id": uuid.uuid4().hex,
        }

    def _write_new(self, spec):
        name = f"{spec['at_ms']:013d}-{spec['request_id'][:8]}"
        result = self._put(name, spec, 0)
        if random.randrange(PRUNE_EVERY) == 0:
            gevent.spawn(self._prune)
        return result

    def _put(self, name, spec, version):
        stored = Stored(KIND_AUDIT_ENTRY, name, version, spec)
        until_ms = self.clock.now_ms() + WRITE_MS
        return put_surely(self.platform, self.clock, stored, until_ms)

    def _prune(self):
        """Delete the oldest entries beyond the number that is kept."""
        found = self.platform.list(KIND_AUDIT_ENTRY).value_or([])
        oldest = sorted(found, key=lambda item: item.name)
        surplus = max(0, len(oldest) - self.keep_entries)
        for item in oldest[: min(surplus, PRUNE_AT_ONCE)]:
            self.platform.delete(KIND_AUDIT_ENTRY, item.name, item.version)
        if surplus:
            log_event("audit-pruned", entries=min(surplus, PRUNE_AT_ONCE))
