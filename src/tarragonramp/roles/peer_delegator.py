"""Hands requests to other daemons while this one reaches no backend server."""

import collections
import random

import attrs

from ..adapters.logs import log_event
from ..delegation import DECLINED, DELEGATION_HEADER, SERVED, Delegation, Report
from ..dialect import end_to_end_headers
from ..errors import (
    AbandonedError,
    AnswerRevokedError,
    NotSentError,
    RequestError,
)
from ..meters import UNKNOWN
from ..results import is_successful
from .refusals import ABANDONED_STATUS, revoked_answer_error

__all__ = ["PeerDelegator"]

MAX_PEERS = 4
"""Daemons that are asked to take one request. Each takes its time to decline."""

MIN_LEFT_MS = 20.0
"""A request with less time left is not handed on."""

DECLINED_MS = 1000.0
"""How long a daemon that declined a request is not asked, and its failure domain is
avoided: it may be cut off as a whole."""

MAX_UNANSWERED = 2
"""Requests in a row that a daemon may leave unanswered until the caller's deadline: a
server may have been slow."""

UNREACHED_MS = 2000.0
"""How long a daemon that did not answer is not asked."""

REJECTION_STATUSES = range(400, 500)
NOT_UNDERSTOOD_MS = 10_000.0
"""How long a daemon of a build that takes no requests of others is not asked."""

CROSS_DOMAIN_COST, AVOIDED_DOMAIN_COST = 4, 12
"""Requests in progress by which a daemon of another failure domain, or of one that is
avoided, counts as busier. Traffic between failure domains is paid for."""


@attrs.define(eq=False, repr=False)
class PeerDelegator:
    """Chooses a daemon for a request and has it serve the request.

    Parameters
    ----------
    name, failure_domain : str
        Of this daemon.
    view : FleetView
    peers : FleetPeers
    clock : Clock
    counts : Counter
        Attempts by what became of them, for the metrics.
    is_stranded : bool
        Whether no daemon took the latest request.
    seen_version : int
        Latest version of the manifest that a delegate has used.
    secret_headers : frozenset of str
        Headers that are not handed on if callers need API keys.
    record_leaving : callable
        Takes name and life of a server that told another daemon that it leaves.
    """

    name: str
    failure_domain: str
    view: object
    peers: object
    clock: object
    counts: collections.Counter = attrs.Factory(collections.Counter)
    is_stranded: bool = False
    seen_version: int = 0
    secret_headers: frozenset = frozenset()
    record_leaving: object = attrs.field(default=lambda name, life, told_by: None)
    _in_progress: collections.Counter = attrs.Factory(collections.Counter)
    _unanswered: collections.Counter = attrs.Factory(collections.Counter)
    _skipped_until_ms: dict = attrs.Factory(dict)
    _domain_avoided_until_ms: dict = attrs.Factory(dict)
    _logged_results: dict = attrs.Factory(dict)
    _rng: random.Random = attrs.Factory(random.Random)

    def serve(self, request):
        """Have another daemon serve a request.

        Parameters
        ----------
        request : RoutedRequest

        Returns
        -------
        response : Response or None
            The server's response; None if no daemon took the request, which was not
            run.

        Raises
        ------
        RequestError
            The refusal of a daemon that took it, or 502 or 504 if that daemon did not
            answer.
        """
        for _ in range(MAX_PEERS):
            if request.until_ms - self.clock.now_ms() < MIN_LEFT_MS:
                return None
            peer = self._choose_peer()
            if peer is None:
                break
            response = self._hand_to(peer, request)
            if response is not None:
                self.is_stranded = False
                return response
        self.is_stranded = True
        return None

    def serve_by(self, peer, request):
        """Have a certain daemon serve a request; returns and raises as :meth:`serve`.

        Parameters
        ----------
        peer : str
            Name of the daemon.
        request : RoutedRequest
        """
        now_ms = self.clock.now_ms()
        is_skipped = self._skipped_until_ms.get(peer, 0.0) > now_ms
        if is_skipped or peer not in self.view.daemons or peer == self.name:
            return None
        if request.until_ms - now_ms < MIN_LEFT_MS:
            return None
        return self._hand_to(peer, request)

    def _choose_peer(self):
        """Return the name of the daemon with the least to do for this one, or None."""
        now_ms = self.clock.now_ms()
        peers = [
            name
            for name in self.view.daemons
            if name != self.name and self._skipped_until_ms.get(name, 0.0) <= now_ms
        ]
        rank = lambda name: (self._cost(name, now_ms), self._rng.random())
        return min(peers, key=rank, default=None)

    def _cost(self, peer, now_ms):
        domain = self.view.daemon_domains.get(peer, "")
        cost = self._in_progress[peer]
        if domain != self.failure_domain:
            cost += CROSS_DOMAIN_COST
        if self._domain_avoided_until_ms.get(domain, 0.0) > now_ms:
            cost += AVOIDED_DOMAIN_COST
        return cost

    def _hand_to(self, peer, request):
        """Return a daemon's response to a request; None if it did not take it."""
        result = self._exchange(peer, request)
        if not is_successful(result):
            self._handle_failure(peer, request, result.failure())
            return None
        response = result.unwrap()
        del self._unanswered[peer]
        try:
            report = Report.from_header(response.header(DELEGATION_HEADER))
        except (TypeError, ValueError):
            self._handle_missing_report(peer, response)
            return None
        if report.result == DECLINED:
            request.is_unpaid_retry |= report.was_sent
            self._avoid_domain_of(peer)
            self._pass_over(peer, "declined", DECLINED_MS, report.reason)
            return None
        self._logged_results.pop(peer, None)
        self.seen_version = max(self.seen_version, report.manifest_version)
        self.counts[report.result] += 1
        for server, life in report.leaving:
            self.record_leaving(server, life, told_by=peer)
        if report.result != SERVED:
            inputs = {"delegate": peer}
            raise RequestError(
                response.status,
                report.outcome,
                report.reason,
                report.retry_after_s,
                inputs,
            )
        self._log_served(peer, request, response)
        headers = tuple(
            header
            for header in response.headers
            if header[0].lower() != DELEGATION_HEADER
        )
        return attrs.evolve(response, headers=headers)

    def _handle_missing_report(self, peer, response):
        """Raise unless a response without a valid report shows that nothing ran.

        A daemon of a build that takes no requests of others rejects them. An error
        later on may have come after the request was sent to a server.
        """
        if response.status not in REJECTION_STATUSES:
            inputs = {"delegate": peer}
            raise RequestError(502, UNKNOWN, "no report from a daemon", None, inputs)
        self._pass_over(peer, "not understood", NOT_UNDERSTOOD_MS)

    def _exchange(self, peer, request):
        now_ms = self.clock.now_ms()
        delegation = Delegation(
            now_ms - request.arrived_ms,
            request.service,
            max(self.view.manifest.version, self.seen_version),
            request.tried if request.in_doubt else [],
            request.is_credited,
            request.is_unpaid_retry,
            None if request.team is None else request.team.name,
        )
        dropped = frozenset((DELEGATION_HEADER,))
        if request.team is not None:
            dropped |= self.secret_headers
        headers = end_to_end_headers(request.headers, dropped)
        self._in_progress[peer] += 1
        try:
            return self.peers.delegate(
                self.view.daemons[peer],
                request.method,
                request.target,
                [*headers, delegation.to_header()],
                request.body,
                request.until_ms - now_ms,
                request.is_wanted,
            )
        finally:
            self._in_progress[peer] -= 1

    def _handle_failure(self, peer, request, error):
        """Raise unless no byte of a request was sent."""
        if isinstance(error, AbandonedError):
            raise RequestError(ABANDONED_STATUS, UNKNOWN, "caller has gone")
        if isinstance(error, NotSentError):
            self._pass_over(peer, "not reached", UNREACHED_MS, str(error))
            return
        if isinstance(error, AnswerRevokedError):
            raise revoked_answer_error()
        late = self.clock.now_ms() >= request.until_ms
        self._unanswered[peer] += 1
        if not late or self._unanswered[peer] >= MAX_UNANSWERED:
            self._pass_over(peer, "no answer", UNREACHED_MS, str(error))
        raise RequestError(
            504 if late else 502,
            UNKNOWN,
            "no whole answer from another daemon",
            None,
            {"delegate": peer},
        )

    def _pass_over(self, peer, result, for_ms, reason=""):
        self.counts[result] += 1
        self._skipped_until_ms[peer] = self.clock.now_ms() + for_ms
        if self._logged_results.get(peer) != result:
            self._logged_results[peer] = result
            log_event("delegate-passed-over", peer=peer, result=result, reason=reason)

    def _avoid_domain_of(self, peer):
        domain = self.view.daemon_domains.get(peer, "")
        self._domain_avoided_until_ms[domain] = self.clock.now_ms() + DECLINED_MS

    def _log_served(self, peer, request, response):
        log_event(
            "request-served",
            id=request.request_id,
            service=request.service,
            delegate=peer,
            status=response.status,
            took_ms=round(self.clock.now_ms() - request.arrived_ms),
        )
