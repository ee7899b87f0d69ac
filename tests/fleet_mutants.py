"""The rules of who may hold keys in a fleet, each one broken."""

import contextlib
import math
from unittest import mock

from tarragonramp.leadership import InheritedGrants, LeadershipState, LeaseTiming
from tarragonramp.roles import relay
from tarragonramp.roles.granter import Granter
from tarragonramp.roles.grants import GrantTracker
from tarragonramp.roles.leadership import Leadership
from tarragonramp.roles.mover import Mover

from .fleet_world import HttpGrants

__all__ = ["MUTANTS", "broken"]

_grant = HttpGrants.grant
_post = HttpGrants._post
_record_outcome = GrantTracker._record_outcome
_told = Leadership.handle_step_down
_prove = Mover._prove_release
_send = relay.Relay.send


def _patch(owner, name, replacement):
    return lambda: mock.patch.object(owner, name, replacement)


def _released_unasked(self, service, item):
    return "released", ""


def _proves_by_half_the_hold(self, service, first, token):
    held = self._state_of(service, first, token)
    return self.clock.now_ms() > held.hold_from_ms + self.timing.hold_ms / 2


def _release_unfenced(self, service, item):
    address = self._address(service, item.old_owner)
    return self.grants.release(
        item.old_owner, address, item.first, item.last, item.old_token, 8000.0
    )


def _inherit_nothing(self, before, term):
    return InheritedGrants(-1e9, -1e9)


def _step_down_without_doubts(self, term, successor=""):
    answer = _told(self, term, successor)
    return {**answer, "doubts": {"all_ms": 0.0, "ranges": []}}


def _grant_over_any_connection(self, *arguments, life=0, reuse_only=False):
    return _grant(self, *arguments)


def _send_whatever_its_age(self, message, is_wanted=lambda: True):
    return _send(self, {**message, "clock_ms": self.clock.now_ms()}, is_wanted)


def _send_for_whoever_gave_up(self, message, is_wanted):
    return _send_whatever_its_age(self, message)


def _later_life_is_proof(self, service, item):
    if self.tracker.has_later_life(item.old_owner, item.old_life):
        return "life ended", ""
    return _prove(self, service, item)


def _note_from_sending(self, held, sent_ms, result):
    _record_outcome(self, held, sent_ms, result)
    held.hold_from_ms = min(held.hold_from_ms, sent_ms)
    held.in_doubt_until_ms = -math.inf


def _give_before_it_is_written(self, service, item, key):
    self._release_tasks.pop(key, None)
    proof, handover = self._prove_release(service, item)
    if proof is not None:
        self.tracker.grant(service, item, item.owner, item.token, handover)


def _tokens_as_they_were(self, service, items):
    for item in items:
        self.tracker.mark_unsent(service, item)
    return True


def _post_over_any_open_connection(self, *arguments, tag=None, **options):
    return _post(self, *arguments, **options)


MUTANTS = {
    "released without being asked": _patch(Mover, "_prove_release", _released_unasked),
    "time proves before the hold has ended": _patch(
        GrantTracker, "have_expired", _proves_by_half_the_hold
    ),
    "no fence before a release": _patch(GrantTracker, "release", _release_unfenced),
    "a new leader does not wait for the one before": _patch(
        Leadership, "_inherit", _inherit_nothing
    ),
    "doubts are not handed on": _patch(
        Leadership, "handle_step_down", _step_down_without_doubts
    ),
    "a thawed relay sends what it held": lambda: mock.patch.multiple(
        relay, SEND_WINDOW_MS=1e9, MAX_MESSAGE_AGE_MS=1e9
    ),
    "a relay sends a message of any age": _patch(
        relay.Relay, "send", _send_whatever_its_age
    ),
    "a relay sends for a leader that has given up": _patch(
        relay.Relay, "send", _send_for_whoever_gave_up
    ),
    "renewals open connections without the store": _patch(
        HttpGrants, "grant", _grant_over_any_connection
    ),
    "a later life proves the end of the earlier one's grants": _patch(
        Mover, "_prove_release", _later_life_is_proof
    ),
    "a grant without an answer is not in doubt": _patch(
        GrantTracker, "_record_outcome", _note_from_sending
    ),
    "granted before the store says that the keys are free": _patch(
        Mover, "_release_range", _give_before_it_is_written
    ),
    "a first connection carries the token that was sent before": _patch(
        Granter, "_raise_tokens", _tokens_as_they_were
    ),
    "a token goes over a connection that others have opened": _patch(
        HttpGrants, "_post", _post_over_any_open_connection
    ),
    "a leader moves keys while it is not confirmed": _patch(
        LeadershipState, "may_move", LeadershipState.may_renew
    ),
    "a leader renews without an end": _patch(
        LeadershipState, "may_renew", lambda self, now_ms: self.is_named
    ),
    "a new leader acts on the table that it knew": _patch(
        Granter, "_ensure_table_read", lambda self, service: True
    ),
    "a slow clock is not allowed for": _patch(
        LeaseTiming, "longest_hold_ms", property(lambda self: self.hold_ms * 0.9)
    ),
}


@contextlib.contextmanager
def broken(name):
    """Break a rule for a while."""
    with MUTANTS[name]():
        yield
