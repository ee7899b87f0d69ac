"""Audit trail: who changed what and when, and the outcome."""

import random
import time
import uuid

import attrs
import gevent
from returns.result import Result

from ..adapters.logs import log_event
from ..model import KIND_AUDIT_ENTRY, Stored
from ..results import is_successful
from .writes import put_until_resolved

__all__ = ["AuditTrail", "Change"]

BEGUN = "begun"
DONE = "done"
REFUSED = "refused"
CONFLICT = "conflict"
UNKNOWN = "unknown"
NOT_DONE = "not-done"

WRITE_TIMEOUT_MS = 3000
PRUNE_INTERVAL_WRITES = 50
"""Average number of writes between two prunings, which happen at random.

With a counter pruning might never happen in a large fleet: each daemon writes few
entries and may be restarted before its counter is full.
"""

MAX_PRUNED_ENTRIES = 200
UNAUTHENTICATED_INTERVAL_MS = 60_000
"""Minimum time between two entries about unauthenticated calls.

Limits the writes to the platform while a caller tries secrets as fast as the port
answers. One entry a minute names the latest call and counts all of them.
"""

MAX_DETAIL_LENGTH = 200


@attrs.frozen
class Change:
    """A change requested by an operator.

    Parameters
    ----------
    actor : str
        As given by the caller, not verified.
    remote : str
        IP address of the caller.
    action : str
    kind, name : str
    before_version : int
    change_id : str
        Request id, also stored in the changed object.
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
    """Writes audit entries, and prunes the oldest.

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
    _n_unauthenticated: int = 0
    _next_unauthenticated_ms: float = 0.0

    def begin(self, change) -> Result:
        """Write the entry of a change that is about to be attempted.

        Changes are attempted only after this write, so none is without an entry. If
        the second write of an entry is lost, its outcome stays ``begun``.

        Returns
        -------
        entry : Success of Stored, or Failure of PlatformError
        """
        return self._write_new({**self._fields(change), "outcome": BEGUN})

    def finish(self, entry, outcome, detail="", after_version=0):
        """Write the outcome of a change into its entry.

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
            "detail": detail[:MAX_DETAIL_LENGTH],
            "after_version": after_version,
            "request_id": uuid.uuid4().hex,
        }
        result = self._put(entry.name, spec, entry.version)
        if not is_successful(result):
            log_event("audit-not-finished", entry=entry.name, error=result.failure())

    def refused(self, change, detail):
        """Write an entry for a change that was refused before it was attempted."""
        spec = {
            **self._fields(change),
            "outcome": REFUSED,
            "detail": detail[:MAX_DETAIL_LENGTH],
        }
        result = self._write_new(spec)
        if not is_successful(result):
            log_event("audit-not-written", action=change.action, outcome=REFUSED)

    def record_unauthenticated(self, change):
        """Count an unauthenticated call, and write at most one entry a minute."""
        self._n_unauthenticated += 1
        now_ms = self.clock.now_ms()
        if now_ms < self._next_unauthenticated_ms:
            return
        self._next_unauthenticated_ms = now_ms + UNAUTHENTICATED_INTERVAL_MS
        count, self._n_unauthenticated = self._n_unauthenticated, 0
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
        if random.randrange(PRUNE_INTERVAL_WRITES) == 0:
            gevent.spawn(self._prune)
        return result

    def _put(self, name, spec, version):
        stored = Stored(KIND_AUDIT_ENTRY, name, version, spec)
        until_ms = self.clock.now_ms() + WRITE_TIMEOUT_MS
        return put_until_resolved(self.platform, self.clock, stored, until_ms)

    def _prune(self):
        """Delete the oldest entries in excess of ``keep_entries``."""
        found = self.platform.list(KIND_AUDIT_ENTRY).value_or([])
        oldest = sorted(found, key=lambda item: item.name)
        surplus = max(0, len(oldest) - self.keep_entries)
        for item in oldest[: min(surplus, MAX_PRUNED_ENTRIES)]:
            self.platform.delete(KIND_AUDIT_ENTRY, item.name, item.version)
        if surplus:
            log_event("audit-pruned", entries=min(surplus, MAX_PRUNED_ENTRIES))
