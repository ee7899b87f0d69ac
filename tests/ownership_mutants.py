"""Deliberate faults in the ownership rules; the exploration has to see each of them.

Each is a context manager that breaks one rule of the package while it is entered.
"""

import contextlib
from unittest import mock

from tarragonramp import assignments, terms
from tarragonramp.leases import GrantLedger

from . import ownership_world

__all__ = ["MUTANTS"]

_claim = terms.RoleTerm.claim
_begin_update = terms.HeldTerm.begin_update
_observe = GrantLedger.observe
_released = GrantLedger.released
_next_grant = GrantLedger.next_grant


def _patch(owner, name, replacement):
    return lambda: mock.patch.object(owner, name, replacement)


def _use_new_successor_only(self):
    named = self.successor if self.pending is None else self.pending.term.successor
    if named in self._confirmations_ms:
        self._extend(self._confirmations_ms[named])


def _update_forgets_the_one_in_doubt(self, *arguments, **named):
    self.pending = None
    return _begin_update(self, *arguments, **named)


def _word_still_given(self, term, *arguments):
    write = _claim(self, term, *arguments)
    self._revoked.clear()
    return write


def _released_by_silence(self, slice_index, now_ms):
    if self._reading is None or now_ms - self._reading.arrived_ms > 600.0:
        return "silent"
    return _released(self, slice_index, now_ms)


def _end_from_sending(self, item):
    reading = self._reading
    return reading.sent_ms + item.until_ms - reading.clock_ms


def _restart_lifts_the_wait(self, answer, sent_ms, arrived_ms):
    restarted = _observe(self, answer, sent_ms, arrived_ms)
    if restarted:
        self.inherited_end_ms = arrived_ms
    return restarted


def _fenced_by_any_acceptance(self, answer, sent_ms, arrived_ms):
    restarted = _observe(self, answer, sent_ms, arrived_ms)
    self._fenced = self._fenced or self.acknowledged_sequence > 0
    return restarted


def _lasts_for_any_process(self, tokens, now_ms, known_process_only=False):
    return _next_grant(self, tokens, now_ms)


def _departed_without_versions(identity, term_version, member, member_version):
    return member is not None and f"{member.name}#{member.boot_id}" != identity


def _registers_late(assignment, server, term, request_id):
    return None


def _without_proof(self, daemon, server, indexes, version, assignment, closed):
    closed(indexes)


_World = ownership_world.World

MUTANTS = {
    "taker's wait left out": _patch(
        terms.RoleTerm, "_earlier_right_ends_ms", lambda self, term, now_ms: now_ms
    ),
    "right counted from the answer's arrival": _patch(
        _World, "counted_from", lambda self, sent_ms, now_ms: now_ms
    ),
    "old successor forgotten on a rename": _patch(
        terms.HeldTerm, "_apply_confirmations", _use_new_successor_only
    ),
    "update in doubt forgotten for a newer one": _patch(
        terms.HeldTerm, "begin_update", _update_forgets_the_one_in_doubt
    ),
    "word given after the takeover began": _patch(
        terms.RoleTerm, "claim", _word_still_given
    ),
    "proof by silence": _patch(GrantLedger, "released", _released_by_silence),
    "expiry counted from sending": _patch(
        GrantLedger, "_expires_at_ms", _end_from_sending
    ),
    "a server's restart lifts the wait for earlier grants": _patch(
        GrantLedger, "observe", _restart_lifts_the_wait
    ),
    "any acceptance counts while the earlier right runs": _patch(
        GrantLedger, "observe", _fenced_by_any_acceptance
    ),
    "renewal without a right for any process of a server": _patch(
        GrantLedger, "next_grant", _lasts_for_any_process
    ),
    "new steward grants before it is registered": lambda: mock.patch.multiple(
        assignments,
        may_grant=lambda assignment, server, term: assignment is not None,
        with_steward_term=_registers_late,
    ),
    "a shorter setting shortens the wait for longer rights": _patch(
        terms.RoleTerm,
        "_earlier_right_ends_ms",
        lambda self, term, now_ms: now_ms + self.right_ms * terms.RIGHT_MARGIN,
    ),
    "planner writes the new owner without proof": _patch(_World, "ask", _without_proof),
    "departed by a registration older than the process": _patch(
        terms, "has_departed", _departed_without_versions
    ),
}


@contextlib.contextmanager
def broken(name):
    """Break one rule."""
    with MUTANTS[name]():
        yield
