"""Finds requests under which servers end, and holds them back at all daemons.

Callers come back at other daemons, so the ends under one content are a sum over all of
them. For each content two daemons, its keepers, are told of every end and sum them up.
They follow from the content and the names of the daemons, so that nobody has to choose
or announce them. Once a content is held back its keepers tell all daemons; one that
did not hear of it is told in answer to its next report.
"""

import random

import attrs
import gevent
import xxhash
from gevent.pool import Pool

from ..adapters.logs import log_event
from ..errors import NotSentError
from ..quarantine import RETRY_SPREAD, Quarantine, Suspect, content_mark
from ..results import is_successful

__all__ = ["SuspectFinder"]

N_KEEPERS = 2
"""Daemons that sum up the ends under a content; one of them may be out of reach."""

KEEPER_TIMEOUT_MS = 150.0
"""How long a keeper may take to answer. A request that waits for it is repeated
otherwise on what this daemon knows by itself."""

PROBE_MS = 200.0
"""How long a connection to a server that may have ended may take to open."""

UNSURE_MS = 5000.0
"""How long after a broken connection another process at the server's address, or a
later life of the server, shows that it has ended."""

CHECK_MS = 250.0
MAX_UNSURE = 256
N_TOLD_AT_ONCE = 16


@attrs.frozen
class _BrokenExchange:
    """An exchange of which it is not known yet whether its server has ended."""

    mark: str
    service: str
    server: object
    request_id: str
    at_ms: float


@attrs.define(eq=False, repr=False)
class SuspectFinder:
    """Tells for each request whether its content is held back.

    Parameters
    ----------
    view : FleetView
    clock : Clock
    pools : HttpPools
        Connections to servers.
    confirm_cut_off : callable
        Returns whether this daemon is cut off from the servers, so that nothing it
        sees tells that one has ended.
    name : str
        Name of this daemon.
    peers : FleetPeers, optional
        Without it only this daemon's own observations count.
    quarantine : Quarantine
    n_ended : int
        Servers that were seen to end.
    """

    view: object
    clock: object
    pools: object
    confirm_cut_off: object
    name: str = ""
    peers: object = None
    quarantine: Quarantine = attrs.Factory(Quarantine)
    n_ended: int = 0
    _ended: dict = attrs.Factory(dict)
    _probes: dict = attrs.Factory(dict)
    _unsure: list = attrs.Factory(list)
    _rng: random.Random = attrs.Factory(random.Random)

    def check(self, request):
        """Raise if the content of a request is held back.

        Raises
        ------
        RequestError
        """
        if not self.quarantine.suspects:
            return
        mark, now_ms = _mark_of(request), self.clock.now_ms()
        found = self.quarantine.find(mark, now_ms)
        if found is None or not found.is_held:
            return
        if self.quarantine.left_ms(found, now_ms) <= 0.0 and self._may_try(mark):
            request.is_trial = True
            log_event("request-let-through", id=request.request_id, content=mark)
            return
        left_ms = max(0.0, self.quarantine.left_ms(found, self.clock.now_ms()))
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        raise request.retryable_refusal(
            "servers end under this request",
            left_ms * spread / 1000.0,
            rule="held back",
            content=mark,
            ends=len(found.ends_ms),
            hold_left_ms=round(left_ms),
        )

    def record_answer(self, request):
        """Record that a server has run a request and answered."""
        if not self.quarantine.suspects:
            return
        mark = _mark_of(request)
        if self.quarantine.record_answer(mark) is not None:
            self._log_released(mark, id=request.request_id)
            gevent.spawn(self._tell_keepers, {"kind": "answered", "content": mark})

    def end_trial(self, request):
        """Have another request tried if this one showed nothing, as it did not run."""
        if not request.is_trial or request.in_doubt:
            return
        self.quarantine.cancel_trial(request.mark)
        if request.mark in self.quarantine.suspects:
            message = {"kind": "untried", "content": request.mark}
            gevent.spawn(self._tell_keepers, message)

    def record_break(self, request, server):
        """Find out whether a server ended while it had a request.

        Returns
        -------
        task : gevent.Greenlet
            Ends once it is known what all daemons know of the content.
        """
        broken = _BrokenExchange(
            _mark_of(request),
            request.service,
            server,
            request.request_id,
            self.clock.now_ms(),
        )
        return gevent.spawn(self._examine, broken)

    def run(self):
        """Look whether servers have ended of which it was not certain, forever."""
        while True:
            gevent.sleep(CHECK_MS / 1000.0)
            self.examine_unsure()

    def examine_unsure(self):
        """Look at the entries of servers whose connections have broken."""
        now_ms, unsure = self.clock.now_ms(), self._unsure
        self._unsure = []
        for broken in unsure:
            if self._is_replaced(broken.server):
                self._record_end(broken, "replaced")
            elif now_ms - broken.at_ms < UNSURE_MS:
                self._unsure.append(broken)

    def handle(self, message):
        """Handle a message of another daemon; return the answer as plain data.

        Raises
        ------
        KeyError, TypeError, ValueError
            If it is malformed.
        """
        kind, mark = message["kind"], str(message["content"])
        if kind == "untried":
            self.quarantine.cancel_trial(mark)
            return {}
        if kind in ("answered", "released"):
            found = self.quarantine.record_answer(mark)
            if found is not None:
                self._log_released(mark, told_by=str(message["from"]))
            if found is not None and found.is_held and kind == "answered":
                self._tell_all({"kind": "released", "content": mark})
            return {}
        if self._adopt(mark, message, str(message["from"])) and kind != "held":
            self._tell_all({"kind": "held", **self._describe(mark)})
        may_send = kind == "try" and self.quarantine.begin_trial(
            mark, self.clock.now_ms()
        )
        return {**self._describe(mark), "may_send": may_send}

    def _examine(self, broken):
        if not self._refuses_connections(broken.server):
            if len(self._unsure) < MAX_UNSURE:
                self._unsure.append(broken)
            return
        if not self.confirm_cut_off():
            self._record_end(broken, "refused")

    def _record_end(self, broken, evidence):
        """Record an end under a content, and tell its keepers."""
        server, mark, now_ms = broken.server, broken.mark, self.clock.now_ms()
        self._log_ended(server, evidence, now_ms)
        n_held, age_ms = self.quarantine.n_held, now_ms - broken.at_ms
        found = self.quarantine.record_end(
            mark, broken.service, server.identity, now_ms, age_ms
        )
        log_event(
            "request-suspected",
            id=broken.request_id,
            content=mark,
            service=broken.service,
            server=server.name,
            life=server.life,
            ends=len(found.ends_ms),
        )
        if self.quarantine.n_held > n_held:
            self._log_held(mark, self.name)
            if self.name in self._keepers(mark):
                self._tell_all({"kind": "held", **self._describe(mark)})
        tasks = [
            gevent.spawn(self._ask, name, "end", mark) for name in self._others(mark)
        ]
        gevent.joinall(tasks, timeout=KEEPER_TIMEOUT_MS / 1000.0)

    def _adopt(self, mark, described, told_by):
        """Adopt what another daemon knows; return whether a hold has begun by it."""
        ends = [(str(n), int(life), float(age)) for n, life, age in described["ends"]]
        hold_ms, left_ms = float(described["hold_ms"]), float(described["left_ms"])
        service, now_ms = str(described["service"]), self.clock.now_ms()
        n_held = self.quarantine.n_held
        for name, life, age_ms in ends:
            identity = name, life
            self.quarantine.record_end(mark, service, identity, now_ms, age_ms)
        if hold_ms > 0.0:
            self.quarantine.adopt_hold(mark, service, hold_ms, left_ms, now_ms)
        if self.quarantine.n_held == n_held:
            return False
        self._log_held(mark, told_by)
        return True

    def _may_try(self, mark):
        """Return whether this daemon may let one request through for all of them."""
        if not self._others(mark) or self.name == self._keepers(mark)[0]:
            return self.quarantine.begin_trial(mark, self.clock.now_ms())
        # The first keeper decides; the second one only if the first is out of reach.
        for keeper in self._keepers(mark):
            if keeper == self.name:
                return self.quarantine.begin_trial(mark, self.clock.now_ms())
            answer = self._ask(keeper, "try", mark)
            if answer is not None:
                return bool(answer.get("may_send"))
        return False

    def _ask(self, keeper, kind, mark):
        """Tell a keeper what is known here, and adopt its answer; None without one."""
        answer = self._send(keeper, {"kind": kind, **self._describe(mark)})
        if not answer:
            return None
        try:
            self._adopt(mark, answer, keeper)
        except (KeyError, TypeError, ValueError):
            return None
        return answer

    def _tell_keepers(self, message):
        for keeper in self._others(message["content"]):
            self._send(keeper, message)

    def _tell_all(self, message):
        """Start to tell all other daemons something."""

        def tell():
            pool = Pool(N_TOLD_AT_ONCE)
            for name in list(self.view.daemons):
                if name != self.name:
                    pool.spawn(self._send, name, message)
            pool.join()

        if self.peers is not None:
            gevent.spawn(tell)

    def _send(self, peer, message):
        """Send a message to a daemon; return its answer, empty without one."""
        address = self.view.daemons.get(peer)
        if address is None or self.peers is None:
            return {}
        message = {**message, "from": self.name}
        result = self.peers.tell_suspects(address, message, KEEPER_TIMEOUT_MS)
        return result.unwrap() if is_successful(result) else {}

    def _describe(self, mark):
        """Return what this daemon knows of a content, as plain data."""
        now_ms = self.clock.now_ms()
        found = self.quarantine.find(mark, now_ms)
        if found is None:
            found = Suspect("")
        return {
            "content": mark,
            "service": found.service,
            "ends": [[*key, round(now_ms - at)] for key, at in found.ends_ms.items()],
            "hold_ms": found.hold_ms,
            "left_ms": max(0.0, round(self.quarantine.left_ms(found, now_ms))),
        }

    def _keepers(self, mark):
        names = {*self.view.daemons, self.name}
        rank = lambda name: xxhash.xxh32_intdigest(f"{mark} {name}".encode())
        return sorted(names, key=rank)[:N_KEEPERS]

    def _others(self, mark):
        if self.peers is None:
            return []
        return [keeper for keeper in self._keepers(mark) if keeper != self.name]

    def _refuses_connections(self, server):
        """Return whether no process listens at a server's address any more."""
        probe = self._probes.get(server.identity)
        if probe is None:
            probe = gevent.spawn(self._probe, server)
            self._probes[server.identity] = probe
            probe.link(lambda _: self._probes.pop(server.identity, None))
        return bool(probe.get())

    def _probe(self, server):
        result = self.pools.at(server.address).connect_once(PROBE_MS)
        if is_successful(result):
            return False
        error = result.failure()
        return isinstance(error, NotSentError) and "refused" in str(error)

    def _is_replaced(self, server):
        """Return whether the entries show that a server's process has ended."""
        listed = self.view.directory.servers
        known = listed.get(server.name)
        if known is not None and known.life > server.life:
            return True
        return any(
            other.address == server.address and other.life > server.life
            for other in listed.values()
        )

    def _log_ended(self, server, evidence, now_ms):
        """Log once that a server has ended."""
        oldest_ms = now_ms - UNSURE_MS
        self._ended = {k: at for k, at in self._ended.items() if at > oldest_ms}
        if server.identity in self._ended:
            return
        self._ended[server.identity] = now_ms
        self.n_ended += 1
        log_event(
            "server-ended",
            server=server.name,
            life=server.life,
            service=server.service,
            address=server.address,
            evidence=evidence,
        )

    def _log_held(self, mark, told_by):
        found = self.quarantine.suspects[mark]
        log_event(
            "request-held",
            content=mark,
            service=found.service,
            servers=",".join(name for name, _ in found.ends_ms),
            ends=len(found.ends_ms),
            hold_ms=round(found.hold_ms),
            told_by=told_by,
        )

    def _log_released(self, mark, **source):
        log_event("request-cleared", content=mark, **source)


def _mark_of(request):
    if not request.mark:
        request.mark = content_mark(
            request.service, request.method, request.target, request.key, request.body
        )
    return request.mark
