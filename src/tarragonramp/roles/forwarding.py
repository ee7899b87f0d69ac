"""Forwards callers' requests through a server's steward.

Needed for servers that only their steward may send to: those that do not check
grants, and any server in a cold start.
"""

import attrs
from gevent.event import Event
from returns.result import Failure, Result, Success

from ..adapters.http import Response
from ..adapters.logs import log_event
from ..assignments import may_grant
from ..errors import NotSentError
from ..gates import ForwardedRequest
from ..meters import NOT_RUN
from ..model import OWNED
from ..request import COLD_HEADER, DIRECT_HEADER, OUTCOME_HEADER
from ..results import is_successful
from ..routing import usable_servers
from ..view import steward_role

__all__ = ["Forwarder", "ForwardHandler"]

STALE_ROUTE_STATUS = 409
BUSY_STATUS = 503
TERM_HEADER = "Tarragon-Term"
POLL_INTERVAL_MS = 50.0
SHARED_QUEUE_WAIT_MS = 100.0
"""Longest wait of a request that another server can take."""


@attrs.define(eq=False, repr=False)
class ForwardHandler:
    """The steward's side: sends forwarded requests to the servers it manages.

    Parameters
    ----------
    stewards : Stewards
    view : View
    keeper : TermKeeper
    pools : HttpPools
        Must discard data that was not delivered within the length of a right.
    control_pools : HttpPools
        Connection pools of the probes. A server that restarts closes these connections
        too, which reveals the restart.
    clock : Clock
    """

    stewards: object
    view: object
    keeper: object
    pools: object
    control_pools: object
    clock: object
    _slot_freed: Event = attrs.Factory(Event)

    def serve(self, request) -> Result:
        """Send a forwarded request to its server, if this daemon is its steward.

        Parameters
        ----------
        request : ForwardedRequest

        Returns
        -------
        response : Success of Response, or Failure of ExchangeError
            A refusal is a response with the outcome "not run".
        """
        deadline_at_ms = self.clock.now_ms() + request.deadline_ms
        role = steward_role(request.team, request.service, request.server)
        managed = self.stewards.managed_server(role)
        if managed is None:
            return _refusal(request, STALE_ROUTE_STATUS, "not this server's steward")
        pools = (self.pools, self.control_pools)
        if any(pool.at(managed.vm.address).has_closed_idle() for pool in pools):
            managed.gate.cold_start.invalidate()
        if not self._wait_for_slot(managed.gate, request, deadline_at_ms):
            return _refusal(request, BUSY_STATUS, "server is busy")
        # Nothing blocks from here to the sending, so the state read now is still
        # current then.
        held = self._permitting_term(managed, request)
        if held is None:
            return _refusal(request, STALE_ROUTE_STATUS, "not the owner's steward")
        now_ms = self.clock.now_ms()
        admission = managed.gate.admit(
            request.slice_index, now_ms, deadline_at_ms, held.right_until_ms
        )
        if not admission.timeout_ms:
            # Entries retry after a stale route: this daemon has its right back soon, or
            # another daemon is the steward.
            lacks_right = admission.lacks_right
            status = STALE_ROUTE_STATUS if lacks_right else BUSY_STATUS
            return _refusal(request, status, admission.reason)
        return self._send(managed, request, admission.timeout_ms, now_ms)

    def _wait_for_slot(self, gate, request, deadline_at_ms):
        """Wait for a free slot of the server; False if none is free in time."""
        if not gate.is_full(self.clock.now_ms()):
            return True
        if gate.is_queue_full:
            return False
        if request.slice_index < 0 and self._has_other_server(request):
            shared_ms = self.clock.now_ms() + SHARED_QUEUE_WAIT_MS
            deadline_at_ms = min(deadline_at_ms, shared_ms)
        gate.waiting += 1
        try:
            while gate.is_full(now_ms := self.clock.now_ms()):
                left_ms = min(deadline_at_ms - now_ms, POLL_INTERVAL_MS)
                if left_ms <= 0:
                    return False
                self._slot_freed.wait(left_ms / 1000.0)
            return True
        finally:
            gate.waiting -= 1

    def _has_other_server(self, request):
        """Return whether another server can take a request to a shared service."""
        servers = usable_servers(self.view, request.team, request.service)
        return any(vm.name != request.server for vm in servers)

    def _permitting_term(self, managed, request):
        """Return the held term if it permits this request to the server, else None.

        A request of a divided service is permitted only if the server is the
        registered owner of its slice, with the same fencing token.
        """
        state = self.keeper.holding(managed.role)
        term = managed.ledger.term
        if state is None or state.held.number != term:
            return None
        if request.slice_index < 0:
            return state.held
        assignment = self.view.assignment(request.team, request.service)
        if not may_grant(assignment, request.server, term):
            return None
        if request.slice_index >= len(assignment.slices):
            return None
        item = assignment.slices[request.slice_index]
        expected = (OWNED, request.server, request.token)
        return state.held if (item.state, item.server, item.token) == expected else None

    def _send(self, managed, request, timeout_ms, admitted_ms):
        """Send an admitted request, unless its timeout has passed since admission.

        Guards against a steward process that is paused between admission and sending,
        and resumes when its successor already sends to the server.
        """
        until_ms = admitted_ms + timeout_ms
        headers = [
            *request.headers,
            ("Tarragon-Deadline-Ms", str(int(timeout_ms))),
            (TERM_HEADER, str(managed.ledger.term)),
        ]
        ended = False
        try:
            pool = self.pools.at(managed.vm.address)
            result = pool.exchange(
                request.method,
                request.target,
                headers,
                request.body,
                timeout_ms,
                may_send=lambda: self.clock.now_ms() < until_ms,
            )
            ended = is_successful(result) or isinstance(result.failure(), NotSentError)
            return result.map(lambda response: self._mark_direct(managed, response))
        finally:
            if ended:
                managed.gate.answered(request.slice_index)
            else:
                managed.gate.cold_start.invalidate()
                managed.gate.unanswered(request.slice_index, self.clock.now_ms())
            self._wake_waiters()

    def _mark_direct(self, managed, response):
        """Return a response, marked if the entry may send to the server directly.

        Cold-start hints in the response are recorded first.
        """
        now_ms = self.clock.now_ms()
        cold_start = managed.gate.cold_start
        if (
            response.header(OUTCOME_HEADER) == NOT_RUN
            and response.status == BUSY_STATUS
        ):
            cold_start.shed(now_ms)
        if response.header(COLD_HEADER):
            cold_start.invalidate()
        if not managed.checks_grants or not cold_start.is_warm(now_ms):
            return response
        return attrs.evolve(response, headers=(*response.headers, (DIRECT_HEADER, "1")))

    def _wake_waiters(self):
        changed, self._slot_freed = self._slot_freed, Event()
        changed.set()


@attrs.define(eq=False, repr=False)
class Forwarder:
    """The entry's side: sends a request to the steward of its server.

    Parameters
    ----------
    me : Member
    view : View
    peers : Peers
    forward_handler : ForwardHandler
        Of this daemon, for servers that it is steward of itself.
    """

    me: object
    view: object
    peers: object
    forward_handler: object

    def send(self, request: ForwardedRequest) -> Result:
        """Send a request through the server's steward; returns the steward's result."""
        term = self.view.term(
            steward_role(request.team, request.service, request.server)
        )
        if term is None or not term.holder:
            return Failure(NotSentError("the server has no steward"))
        if term.holder == self.me.identity:
            return self.forward_handler.serve(request)
        member = self.view.member_of(term.holder)
        if member is None:
            return Failure(NotSentError("the server's steward is not known"))
        return self.peers.forward(member.peer_address, request)


def _refusal(request, status, reason):
    log_event(
        "steward-refused",
        request=dict(request.headers).get("X-Request-Id", ""),
        server=request.server,
        slice=request.slice_index,
        token=request.token,
        reason=reason,
    )
    body = f"not run: {reason}\n".encode()
    return Success(Response(status, ((OUTCOME_HEADER, NOT_RUN),), body))
