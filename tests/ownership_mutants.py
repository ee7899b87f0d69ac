"""Mutants of the ownership rules: each patch breaks one rule of the package.

The tests of the exploration have to detect every one of them.
"""

import contextlib
from unittest import mock

from tarragonramp import assignments, terms
from tarragonramp.leases import GrantLedger

from . import ownership_simulation

__all__ = ["MUTANTS"]

_claim = terms.RoleTerm.claim
_begin_update = terms.HeldTerm.begin_update
_observe = GrantLedger.observe
_released = GrantLedger.released
_next_grant = GrantLedger.next_grant


def _patch(owner, name, replacement):
    return lambda: mock.patch.object(owner, name, replacement)


def _confirm_by_new_successor_only(self):
    named = self.successor if self.pending is None else self.pending.term.successor
    if named in self._confirmations_ms:
        self._extend(self._confirmations_ms[named])


def _drop_update_in_doubt(self, *arguments, **named):
    self.pending = None
    return _begin_update(self, *arguments, **named)


def _confirm_while_claiming(self, term, *arguments):
    write = _claim(self, term, *arguments)
    self._revoked.clear()
    return write


def _released_after_silence(self, slice_index, now_ms):
    if self._reading is None or now_ms - self._reading.arrived_ms > 600.0:
        return "silent"
    return _released(self, slice_index, now_ms)


def _expires_from_sending(self, item):
    reading = self._reading
    return reading.sent_ms + item.until_ms - reading.clock_ms


def _restart_ends_the_wait(self, answer, sent_ms, arrived_ms):
    restarted = _observe(self, answer, sent_ms, arrived_ms)
    if restarted:
        self.inherited_end_ms = arrived_ms
    return restarted


def _fenced_by_any_acceptance(self, answer, sent_ms, arrived_ms):
    restarted = _observe(self, answer, sent_ms, arrived_ms)
    self._fenced = self._fenced or self.acknowledged_sequence > 0
    return restarted


def _renew_for_any_process(self, tokens, now_ms, known_process_only=False):
    return _next_grant(self, tokens, now_ms)


def _departed_without_versions(identity, term_version, member, member_version):
    return member is not None and f"{member.name}#{member.boot_id}" != identity


def _never_register(assignment, server, term, request_id):
    return None


def _release_without_proof(
    self, daemon, server, indexes, version, assignment, on_release
):
    on_release(indexes)


_Simulation = ownership_simulation.Simulation

MUTANTS = {
    "no wait for earlier rights after a takeover": _patch(
        terms.RoleTerm, "_earlier_right_ends_ms", lambda self, term, now_ms: now_ms
    ),
    "right counted from the arrival of the answer": _patch(
        _Simulation, "right_start_ms", lambda self, sent_ms, now_ms: now_ms
    ),
    "previous successor ignored after a change": _patch(
        terms.HeldTerm, "_apply_confirmations", _confirm_by_new_successor_only
    ),
    "update in doubt dropped for a newer one": _patch(
        terms.HeldTerm, "begin_update", _drop_update_in_doubt
    ),
    "confirmation given after the takeover began": _patch(
        terms.RoleTerm, "claim", _confirm_while_claiming
    ),
    "silence accepted as proof of release": _patch(
        GrantLedger, "released", _released_after_silence
    ),
    "expiry counted from sending": _patch(
        GrantLedger, "_expires_at_ms", _expires_from_sending
    ),
    "a server's restart ends the wait for earlier grants": _patch(
        GrantLedger, "observe", _restart_ends_the_wait
    ),
    "any accepted grant fences while the earlier right runs": _patch(
        GrantLedger, "observe", _fenced_by_any_acceptance
    ),
    "renewal without a right for an unknown process": _patch(
        GrantLedger, "next_grant", _renew_for_any_process
    ),
    "new steward grants before it is registered": lambda: mock.patch.multiple(
        assignments,
        may_grant=lambda assignment, server, term: assignment is not None,
        with_steward_term=_never_register,
    ),
    "wait for earlier rights taken from the current setting": _patch(
        terms.RoleTerm,
        "_earlier_right_ends_ms",
        lambda self, term, now_ms: now_ms + self.right_ms * terms.RIGHT_MARGIN,
    ),
    "new owner written without proof of release": _patch(
        _Simulation, "request_release", _release_without_proof
    ),
    "departure derived from an older registration": _patch(
        terms, "has_departed", _departed_without_versions
    ),
}


@contextlib.contextmanager
def apply_mutant(name):
    """Apply a mutant while the context is entered."""
    with MUTANTS[name]():
        yield
