"""Which backend server a request goes to, and whether it is sent at all.

Pure decisions on what one daemon has seen: its own requests under way, and what
servers said of their load with their latest answers. Nothing here sends or waits.
"""

import math
import random

import attrs

from .sightings import ServerSeen

__all__ = [
    "Chosen",
    "Loads",
    "Refused",
    "Wanted",
]

ROUTE_WEIGHT = 0.05
"""Weight of the newest answer in a route's mean, which all its servers share."""

FAILURE_MS = 1000.0
"""How long a server is passed over after a connection failed, while others are there.
Load: a server that is gone. Harm prevented: each request trying it first. A second
finds one that is back soon enough."""

AWAY_COST = 0.35
"""What a server of another failure domain costs, as part of the request's usual time.
Load: calm times. Harm prevented: bytes between failure domains, which are paid for.
A third of the usual time keeps work at home until home has about one more waiting."""

LATE_SHARE = 0.95
"""Part of the time left that the expected answer may take. Load: bursts. Harm
prevented: work for callers that give up before it is done."""

MOST_KEPT = 0.4
"""Most of the room for waiting that is kept for the most urgent requests of a service:
as much as they take of its work, up to this part. Load: more requests than the servers
can take. Harm prevented: claims refused because lookups came first; and lookups refused
for the sake of claims that hardly ever come."""

SHARE_WEIGHT = 0.02
"""Weight of the newest request in the share of urgent work: some fifty requests move
it, about a second of one daemon's at a busy service."""

UNSEEN_SPEED = 0.25
"""How long work is taken to last at an idle server of the own failure domain that was
never asked, as a factor. Load: servers join while the others are quick and not busy.
Harm prevented: nobody ever asking the new ones. Below the quickest of a service."""

MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0
FIRST_WORK_MS = 150.0


@attrs.frozen
class Wanted:
    """What a request needs.

    Parameters
    ----------
    route : str
        Requests of one route are alike in how long they take.
    left_ms : float
        Until the caller or the route gives up.
    target_left_ms : float
        Until the answer loses most of its value; may be past.
    urgent : bool
        Whether no other route of the service is more urgent.
    """

    route: str
    left_ms: float
    target_left_ms: float
    urgent: bool = True


@attrs.frozen
class Chosen:
    """The server that a request goes to.

    Parameters
    ----------
    server : BackendServer
    route : str
        Of the request.
    expected_ms : float
        Until its answer, waiting included.
    wait_ms : float
        Until it is expected to begin.
    """

    server: object
    route: str
    expected_ms: float
    wait_ms: float = 0.0


@attrs.frozen
class Refused:
    """Why no server gets a request, and when to come back.

    Parameters
    ----------
    reason : str
    retry_after_s : float
    inputs : dict
        What decided it, for the log.
    """

    reason: str
    retry_after_s: float
    inputs: dict = attrs.Factory(dict)


@attrs.define(eq=False)
class _Asked:
    """Work of the latest requests for a service, in ms a request."""

    all_ms: float
    urgent_ms: float = 0.0

    def note(self, work_ms, urgent):
        """Take in a request."""
        self.urgent_ms += SHARE_WEIGHT * (work_ms * urgent - self.urgent_ms)
        self.all_ms += SHARE_WEIGHT * (work_ms - self.all_ms)

    @property
    def urgent_share(self):
        """Which part of the work the most urgent requests are."""
        return self.urgent_ms / self.all_ms if self.all_ms else 0.0


@attrs.define(eq=False, repr=False)
class Loads:
    """What one daemon knows of the load of all servers.

    Parameters
    ----------
    failure_domain : str
        The daemon's own.
    rng : random.Random
    """

    failure_domain: str
    rng: random.Random = attrs.Factory(random.Random)
    _seen: dict = attrs.Factory(dict)
    _work_ms: dict = attrs.Factory(dict)
    _asked: dict = attrs.Factory(dict)

    def choose(self, servers, wanted, now_ms):
        """Choose the server from which the answer should come first, or none.

        Load: servers whose speed differs two or three times, and that slow down for
        moments. Harm prevented: a queue before a slow server beside idle quick ones;
        and requests queued where they cannot be answered in time.

        Parameters
        ----------
        servers : sequence of BackendServer
        wanted : Wanted
        now_ms : float

        Returns
        -------
        choice : Chosen or Refused
        """
        usable = [s for s in servers if not self.is_passed_over(s.name, now_ms)]
        usable = usable or list(servers)
        if not usable:
            return Refused("no server", 0.5)
        work_ms = self.work_ms(wanted.route)
        best, best_cost, best_ms = None, math.inf, math.inf
        for server in usable:
            expected_ms = self.expected_ms(server, wanted.route, now_ms)
            cost = expected_ms * (1.0 + 0.1 * self.rng.random())
            if server.failure_domain != self.failure_domain:
                cost += AWAY_COST * work_ms
            elif not self._of(server.name).is_asked and expected_ms <= work_ms:
                cost *= UNSEEN_SPEED
            if cost < best_cost:
                best, best_cost, best_ms = server, cost, expected_ms
        wait_ms = self.wait_ms(best, wanted.route, now_ms)
        kept_share = self._note_asked(best.service, wanted, work_ms)
        objection = self._objection(wanted, best, best_ms, kept_share, now_ms)
        if objection:
            retry_after_s = self._retry_after_s(wait_ms, work_ms)
            inputs = {
                "rule": objection,
                "least_busy": best.name,
                "wait_ms": round(wait_ms),
                "expected_ms": round(best_ms),
                "target_left_ms": round(wanted.target_left_ms),
                "kept_share": round(kept_share, 2),
                "servers": len(usable),
            }
            return Refused("servers are busy", retry_after_s, inputs)
        return Chosen(best, wanted.route, best_ms, wait_ms)

    def expected_ms(self, server, route, now_ms):
        """Return how long an answer from a server should take, waiting included."""
        seen = self._of(server.name)
        work_ms = self.work_ms(route) * seen.speed_now(now_ms)
        failures = min(0.9, seen.failure_share(now_ms))
        wait_ms = self.wait_ms(server, route, now_ms)
        return (work_ms + wait_ms) / (1.0 - failures)

    def wait_ms(self, server, route, now_ms):
        """Return how long a request would wait for one of a server's slots.

        As if all that is in hand there were of its own route.
        """
        work_ms = self.work_ms(route) * self._of(server.name).speed_now(now_ms)
        return self._excess(server, work_ms, now_ms) * work_ms / server.slots

    def _excess(self, server, work_ms, now_ms):
        """Return how many requests have to end before one more begins."""
        seen = self._of(server.name)
        in_hand = seen.in_flight + seen.others(work_ms, now_ms)
        return max(0.0, in_hand - server.slots + 1.0)

    def in_flight(self, name):
        """Return how many requests of this daemon a server has."""
        return self._of(name).in_flight

    def told_in_flight(self, name, now_ms):
        """Return the other daemons' requests at a server; None if that is old."""
        return self._of(name).told_lately(now_ms)

    def speed(self, name, now_ms):
        """Return how long work takes at a server lately, as a factor; 1 as usual."""
        return self._of(name).usual_speed(now_ms)

    def is_passed_over(self, name, now_ms):
        """Tell whether a server failed a moment ago."""
        return self._of(name).passed_over_until_ms > now_ms

    def work_ms(self, route):
        """Return how long a server of usual speed works on a request of a route."""
        return self._work_ms.get(route, FIRST_WORK_MS)

    def sent(self, chosen):
        """Take in that a request was sent to the server that was chosen."""
        seen = self._of(chosen.server.name)
        seen.in_flight += 1
        seen.is_asked = True

    def answered(self, chosen, took_ms, report, now_ms):
        """Take in an answer of a request that ran.

        Parameters
        ----------
        chosen : Chosen
            As it was chosen.
        took_ms : float
        report : LoadReport or None
        now_ms : float
        """
        route = chosen.route
        seen = self._done(chosen, report, now_ms)
        speed = seen.usual_speed(now_ms)
        # Waiting and work can't be told apart, so both are taken to have been off by
        # the same factor.
        expected_ms = max(1.0, chosen.wait_ms + self.work_ms(route) * speed)
        seen.note_answer(took_ms / expected_ms, now_ms)
        if not chosen.wait_ms:
            usual_ms = self._work_ms.get(route, took_ms)
            own_ms = took_ms / speed
            self._work_ms[route] = usual_ms + ROUTE_WEIGHT * (own_ms - usual_ms)

    def shed(self, chosen, report, now_ms):
        """Take in that a server refused a request without running it."""
        seen = self._done(chosen, report, now_ms)
        seen.note_failure(now_ms)

    def failed(self, chosen, now_ms, at_connect=False):
        """Take in that an exchange failed; whether not even a connection came up."""
        seen = self._done(chosen, None, now_ms)
        seen.note_failure(now_ms)
        if at_connect:
            seen.passed_over_until_ms = now_ms + FAILURE_MS

    def cancelled(self, chosen):
        """Take in that nobody waits for an answer any more."""
        self._done(chosen, None, 0.0)

    def in_hand(self):
        """Return this daemon's requests under way by server, for the other daemons."""
        counts = {name: seen.in_flight for name, seen in self._seen.items()}
        return {name: count for name, count in counts.items() if count}

    def take_told(self, totals, now_ms):
        """Take in the other daemons' requests under way.

        Parameters
        ----------
        totals : dict of str to int
            By server; servers that are not named have none.
        now_ms : float
        """
        for name in totals:
            self._of(name)
        for name, seen in self._seen.items():
            seen.note_told(totals.get(name, 0), now_ms)

    def forget(self, names):
        """Forget all servers but some, and those with requests under way."""
        for name in set(self._seen) - set(names):
            if not self._seen[name].in_flight:
                del self._seen[name]

    def _note_asked(self, service, wanted, work_ms):
        """Take in a request; return what part of the room is kept from lower ones."""
        asked = self._asked.get(service)
        if asked is None:
            asked = self._asked[service] = _Asked(all_ms=work_ms)
        asked.note(work_ms, wanted.urgent)
        return 0.0 if wanted.urgent else min(MOST_KEPT, asked.urgent_share)

    def _objection(self, wanted, server, expected_ms, kept_share, now_ms):
        """Return why a request should not be sent to wait there; empty if it should.

        Load: more requests than a server can take. Harm prevented: a queue that makes
        all answers late: an answer after its target is worth a fraction, and the time
        it takes is missing to others. What would not wait at all costs nobody.

        How long the queue may be goes by the server's usual speed. A neighbour on its
        machine slows it for moments; whoever is refused then comes back too late for
        the target anyway, and nobody behind gains much, as a short queue has drained
        soon after.
        """
        seen = self._of(server.name)
        work_ms = self.work_ms(wanted.route)
        excess = self._excess(server, work_ms * seen.speed_now(now_ms), now_ms)
        if excess <= 0:
            return ""
        if expected_ms > wanted.left_ms * LATE_SHARE:
            return "no time"
        usual_ms = work_ms * seen.usual_speed(now_ms)
        room_ms = wanted.target_left_ms * LATE_SHARE - usual_ms
        wait_ms = excess * usual_ms / server.slots
        if wait_ms > room_ms:
            return "queue too long"
        return "kept for urgent" if wait_ms > room_ms * (1.0 - kept_share) else ""

    def _retry_after_s(self, wait_ms, work_ms):
        """Return when a refused caller should come back: when the queue has drained.

        Load: many refused at once. Harm prevented: all of them coming back at once,
        so it is spread over as long again.
        """
        retry_s = max(wait_ms, work_ms / 2) * (0.5 + self.rng.random()) / 1000.0
        return min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))

    def _of(self, name):
        seen = self._seen.get(name)
        if seen is None:
            seen = self._seen[name] = ServerSeen()
        return seen

    def _done(self, chosen, report, now_ms):
        seen = self._of(chosen.server.name)
        seen.in_flight -= 1
        if report is not None:
            seen.note_report(report, now_ms)
        return seen
