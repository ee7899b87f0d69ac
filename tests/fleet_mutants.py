"""Mutants of the fleet's key ownership rules: each patch breaks one rule.

The tests of the exploration have to detect every one of them.
"""

import contextlib
import math
from unittest import mock

from tarragonramp.leadership import InheritedGrants, LeadershipState, LeaseTiming
from tarragonramp.roles import relay
from tarragonramp.roles.granter import Granter
from tarragonramp.roles.grants import GrantTracker
from tarragonramp.roles.leadership import Leadership
from tarragonramp.roles.mover import Mover

from .fleet_simulation import HttpGrants

__all__ = ["MUTANTS", "apply_mutant"]

_grant = HttpGrants.grant
_post = HttpGrants._post
_record_outcome = GrantTracker._record_outcome
_handle_step_down = Leadership.handle_step_down
_original_prove_release = Mover._prove_release
_send_message = relay.Relay.send


def _patch(owner, name, replacement):
    return lambda: mock.patch.object(owner, name, replacement)


def _prove_without_asking(self, service, item):
    return "released", ""


def _expired_after_half_the_hold(self, service, first, token):
    held = self._state_of(service, first, token)
    return self.clock.now_ms() > held.hold_from_ms + self.timing.hold_ms / 2


def _release_without_fence(self, service, item):
    address = self._address(service, item.old_identity)
    return self.grants.release(
        item.old_owner, address, item.first, item.last, item.old_token, 8000.0
    )


def _listed_address(self, service, identity):
    server = self.view.directory.servers.get(identity[0])
    if server is not None:
        return server.address
    return self.view.tables[service].addresses.get(identity, "")


def _inherit_no_grants(self, before, term):
    return InheritedGrants(-1e9, -1e9)


def _step_down_without_in_doubt_grants(self, term, successor=""):
    answer = _handle_step_down(self, term, successor)
    return {**answer, "doubts": {"all_ms": 0.0, "ranges": []}}


def _grant_over_any_connection(self, *arguments, **options):
    return _grant(self, *arguments)


def _send_at_any_age(self, message, is_wanted=lambda: True):
    return _send_message(self, {**message, "clock_ms": self.clock.now_ms()}, is_wanted)


def _send_after_caller_gave_up(self, message, is_wanted):
    return _send_at_any_age(self, message)


def _later_life_proves_release(self, service, item):
    if self.tracker.has_later_life(item.old_owner, item.old_life):
        return "life ended", ""
    return _original_prove_release(self, service, item)


def _record_outcome_as_sent(self, held, sent_ms, result):
    _record_outcome(self, held, sent_ms, result)
    held.hold_from_ms = min(held.hold_from_ms, sent_ms)
    held.in_doubt_until_ms = -math.inf


def _grant_before_write(self, service, item, key):
    self._release_tasks.pop(key, None)
    proof, handover = self._prove_release(service, item)
    if proof is not None:
        self.tracker.grant(service, item, item.identity, item.token, handover)


def _leave_tokens_unraised(self, service, items):
    for item in items:
        self.tracker.mark_unsent(service, item)
    return True


def _post_over_any_open_connection(self, *arguments, tag=None, **options):
    return _post(self, *arguments, **options)


@contextlib.contextmanager
def _unconfirmed_leader_moves_keys():
    """Moves need new tokens; a leader that may not send them moves nothing."""
    may_renew = LeadershipState.may_renew
    until_ms = property(lambda self: self._confirmed_ms + self.timing.right_ms)
    with mock.patch.multiple(
        LeadershipState, may_move=may_renew, sole_until_ms=until_ms
    ):
        yield


MUTANTS = {
    "release assumed without asking the server": _patch(
        Mover, "_prove_release", _prove_without_asking
    ),
    "grants count as expired before the hold has ended": _patch(
        GrantTracker, "have_expired", _expired_after_half_the_hold
    ),
    "release without a fence": _patch(GrantTracker, "release", _release_without_fence),
    "an owner is asked at the address that is listed": _patch(
        GrantTracker, "_address", _listed_address
    ),
    "keys are granted to an owner that is listed elsewhere": _patch(
        Granter, "_is_granted_elsewhere", lambda self, table, server: False
    ),
    "a new leader does not wait for earlier grants": _patch(
        Leadership, "_inherit", _inherit_no_grants
    ),
    "in-doubt grants are not handed over": _patch(
        Leadership, "handle_step_down", _step_down_without_in_doubt_grants
    ),
    "a resumed relay sends delayed renewals": lambda: mock.patch.multiple(
        relay, SEND_WINDOW_MS=1e9, MAX_MESSAGE_AGE_MS=1e9
    ),
    "a relay sends a message of any age": _patch(relay.Relay, "send", _send_at_any_age),
    "a relay sends for a leader that has timed out": _patch(
        relay.Relay, "send", _send_after_caller_gave_up
    ),
    "renewals open connections without the store": _patch(
        HttpGrants, "grant", _grant_over_any_connection
    ),
    "a restart proves that earlier grants have ended": _patch(
        Mover, "_prove_release", _later_life_proves_release
    ),
    "a grant without a response is not in doubt": _patch(
        GrantTracker, "_record_outcome", _record_outcome_as_sent
    ),
    "granted before the release is written to the store": _patch(
        Mover, "_release_range", _grant_before_write
    ),
    "tokens are not raised for a new connection": _patch(
        Granter, "_raise_tokens", _leave_tokens_unraised
    ),
    "a token is sent over a connection that has not carried it": _patch(
        HttpGrants, "_post", _post_over_any_open_connection
    ),
    "an unconfirmed leader sends new tokens": _patch(
        GrantTracker, "_may_send_new_token", lambda self: True
    ),
    "an unconfirmed leader moves keys": _unconfirmed_leader_moves_keys,
    "an unconfirmed leader renews forever": _patch(
        LeadershipState, "may_renew", lambda self, now_ms: self.is_named
    ),
    "a new leader acts without reading the range table": _patch(
        Granter, "_ensure_table_read", lambda self, service: True
    ),
    "no allowance for a slow clock": _patch(
        LeaseTiming, "longest_hold_ms", property(lambda self: self.hold_ms * 0.9)
    ),
}


@contextlib.contextmanager
def apply_mutant(name):
    """Apply a mutant while the context is entered."""
    with MUTANTS[name]():
        yield
