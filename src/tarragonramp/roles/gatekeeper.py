"""Takes callers' requests to servers that do not check who gives them orders."""

import attrs
from gevent.event import Event
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..adapters.http import Answer
from ..assignments import may_grant
from ..errors import NotSentError
from ..gates import Order
from ..meters import NOT_RUN
from ..model import OWNED
from ..request import OUTCOME_HEADER
from ..view import steward_role

__all__ = ["Forwarder", "GateKeeper"]

STALE_ROUTE = 409
BUSY = 503
TERM_HEADER = "Tarragon-Term"


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
    clock : Clock
    """

    stewards: object
    view: object
    keeper: object
    pools: object
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
        if charge is None or charge.gate is None:
            return _refused(STALE_ROUTE, "not this server's steward")
        if charge.gate.is_full and not self._wait(charge.gate, deadline_at_ms):
            return _refused(BUSY, "server is busy")
        # Nothing waits from here to the sending: what is read now still holds then.
        held = self._held(charge, order)
        if held is None:
            return _refused(STALE_ROUTE, "not the owner's steward")
        now_ms = self.clock.now_ms()
        admission = charge.gate.admit(
            order.slice_index, now_ms, deadline_at_ms, held.right_until_ms
        )
        if not admission.timeout_ms:
            return _refused(BUSY, admission.reason)
        return self._send(charge, order, admission.timeout_ms)

    def _wait(self, gate, deadline_at_ms):
        """Wait for a slot; False if there is none in time."""
        if gate.is_crowded:
            return False
        gate.waiting += 1
        try:
            while gate.is_full:
                left_ms = deadline_at_ms - self.clock.now_ms()
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
        assignment = self.view.assignment(order.team, order.service)
        if not may_grant(assignment, order.server, term):
            return None
        if not 0 <= order.slice_index < len(assignment.slices):
            return None
        item = assignment.slices[order.slice_index]
        wanted = (OWNED, order.server, order.token)
        return state.held if (item.state, item.server, item.token) == wanted else None

    def _send(self, charge, order, timeout_ms):
        headers = [
            *order.headers,
            ("Tarragon-Deadline-Ms", str(int(timeout_ms))),
            (TERM_HEADER, str(charge.ledger.term)),
        ]
        ended = False
        try:
            pool = self.pools.at(charge.vm.address)
            result = pool.exchange(
                order.method, order.target, headers, order.body, timeout_ms
            )
            ended = is_successful(result) or isinstance(result.failure(), NotSentError)
            return result
        finally:
            if ended:
                charge.gate.answered(order.slice_index)
            else:
                charge.gate.unanswered(order.slice_index, self.clock.now_ms())
            self._wake()

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


def _refused(status, reason):
    body = f"not run: {reason}\n".encode()
    return Success(Answer(status, ((OUTCOME_HEADER, NOT_RUN),), body))
