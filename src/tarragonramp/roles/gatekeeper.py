"""Takes callers' requests to servers that only their steward may send to."""

import attrs
from gevent.event import Event
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..adapters.http import Answer
from ..adapters.logs import log_event
from ..assignments import may_grant
from ..errors import NotSentError
from ..gates import Order
from ..meters import NOT_RUN
from ..model import OWNED
from ..request import COLD_HEADER, DIRECT_HEADER, OUTCOME_HEADER
from ..view import steward_role

__all__ = ["Forwarder", "GateKeeper"]

STALE_ROUTE = 409
BUSY = 503
TERM_HEADER = "Tarragon-Term"
LOOK_AGAIN_MS = 50.0
SHARED_WAIT_MS = 100.0


@attrs.define(eq=False, repr=False)
class GateKeeper:
    """The steward's side: the only one that sends to its gated servers.

    Parameters
    ----------
    stewards : Stewards
    view : View
    keeper : TermKeeper
    pools : HttpPools
        Must discard what was not delivered within a right.
    control_pools : HttpPools
        Those of probes: a restart closes their connections too.
    clock : Clock
    """

    stewards: object
    view: object
    keeper: object
    pools: object
    control_pools: object
    clock: object
    _changed: Event = attrs.Factory(Event)

    def serve(self, order) -> Result:
        """Send a request to its server, if this daemon may.

        Parameters
        ----------
        order : Order

        Returns
        -------
        answer : Success of Answer, or Failure of ExchangeError
            A refusal is an answer that says "not run".
        """
        deadline_at_ms = self.clock.now_ms() + order.deadline_ms
        role = steward_role(order.team, order.service, order.server)
        charge = self.stewards.charge(role)
        if charge is None:
            return _refused(order, STALE_ROUTE, "not this server's steward")
        pools = (self.pools, self.control_pools)
        if any(pool.at(charge.vm.address).has_lost_idle() for pool in pools):
            charge.gate.warmth.suspect()
        wait_until_ms = deadline_at_ms
        if order.slice_index < 0:
            # Another server can take what has no owner.
            wait_until_ms = min(deadline_at_ms, self.clock.now_ms() + SHARED_WAIT_MS)
        if not self._wait(charge.gate, wait_until_ms):
            return _refused(order, BUSY, "server is busy")
        # Nothing waits from here to the sending: what is read now still holds then.
        held = self._held(charge, order)
        if held is None:
            return _refused(order, STALE_ROUTE, "not the owner's steward")
        now_ms = self.clock.now_ms()
        admission = charge.gate.admit(
            order.slice_index, now_ms, deadline_at_ms, held.right_until_ms
        )
        if not admission.timeout_ms:
            return _refused(order, BUSY, admission.reason)
        return self._send(charge, order, admission.timeout_ms, now_ms)

    def _wait(self, gate, deadline_at_ms):
        """Wait for a slot; False if there is none in time."""
        if not gate.is_full(self.clock.now_ms()):
            return True
        if gate.is_crowded:
            return False
        gate.waiting += 1
        try:
            while gate.is_full(now_ms := self.clock.now_ms()):
                left_ms = min(deadline_at_ms - now_ms, LOOK_AGAIN_MS)
                if left_ms <= 0:
                    return False
                self._changed.wait(left_ms / 1000.0)
            return True
        finally:
            gate.waiting -= 1

    def _held(self, charge, order):
        """Return the held term if the order's server owns its key under it."""
        state = self.keeper.holding(charge.role)
        term = charge.ledger.term
        if state is None or state.held.number != term:
            return None
        if order.slice_index < 0:
            return state.held
        assignment = self.view.assignment(order.team, order.service)
        if not may_grant(assignment, order.server, term):
            return None
        if order.slice_index >= len(assignment.slices):
            return None
        item = assignment.slices[order.slice_index]
        wanted = (OWNED, order.server, order.token)
        return state.held if (item.state, item.server, item.token) == wanted else None

    def _send(self, charge, order, timeout_ms, admitted_ms):
        """Send a request that was admitted at a time, unless that is too long ago.

        Guards against a steward that stands still between the two, and thaws when its
        successor sends to the server.
        """
        until_ms = admitted_ms + timeout_ms
        headers = [
            *order.headers,
            ("Tarragon-Deadline-Ms", str(int(timeout_ms))),
            (TERM_HEADER, str(charge.ledger.term)),
        ]
        ended = False
        try:
            pool = self.pools.at(charge.vm.address)
            result = pool.exchange(
                order.method,
                order.target,
                headers,
                order.body,
                timeout_ms,
                may_send=lambda: self.clock.now_ms() < until_ms,
            )
            ended = is_successful(result) or isinstance(result.failure(), NotSentError)
            return result.map(lambda answer: self._judged(charge, answer))
        finally:
            if ended:
                charge.gate.answered(order.slice_index)
            else:
                charge.gate.warmth.suspect()
                charge.gate.unanswered(order.slice_index, self.clock.now_ms())
            self._wake()

    def _judged(self, charge, answer):
        """Return the answer, marked if the entry may send to the server itself."""
        now_ms = self.clock.now_ms()
        warmth = charge.gate.warmth
        if answer.header(OUTCOME_HEADER) == NOT_RUN and answer.status == BUSY:
            warmth.shed(now_ms)
        if answer.header(COLD_HEADER):
            warmth.suspect()
        if not charge.checks or not warmth.is_warm(now_ms):
            return answer
        return attrs.evolve(answer, headers=(*answer.headers, (DIRECT_HEADER, "1")))

    def _wake(self):
        changed, self._changed = self._changed, Event()
        changed.set()


@attrs.define(eq=False, repr=False)
class Forwarder:
    """The entry's side: finds the steward of a server.

    Parameters
    ----------
    me : Member
    view : View
    peers : Peers
    gatekeeper : GateKeeper
    """

    me: object
    view: object
    peers: object
    gatekeeper: object

    def send(self, order: Order) -> Result:
        """Have the server's steward send a request; returns as it does."""
        term = self.view.term(steward_role(order.team, order.service, order.server))
        if term is None or not term.holder:
            return Failure(NotSentError("the server has no steward"))
        if term.holder == self.me.identity:
            return self.gatekeeper.serve(order)
        member = self.view.member_of(term.holder)
        if member is None:
            return Failure(NotSentError("the server's steward is not known"))
        return self.peers.forward(member.peer_address, order)


def _refused(order, status, reason):
    log_event(
        "steward-refused",
        request=dict(order.headers).get("X-Request-Id", ""),
        server=order.server,
        slice=order.slice_index,
        token=order.token,
        reason=reason,
    )
    body = f"not run: {reason}\n".encode()
    return Success(Answer(status, ((OUTCOME_HEADER, NOT_RUN),), body))
