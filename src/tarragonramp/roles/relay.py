"""Renewals that the leader has a daemon of the server's own failure domain send.

One message for all ranges of a server crosses failure domains instead of a call for
each, and the work is divided among the daemons. Who may hold what is the leader's
knowledge alone: a relay sends what it was told at once or not at all, and a renewal of
which the leader has no answer is in doubt, as one that it sent itself would be.
"""

import attrs
import xxhash
from returns.pipeline import is_successful
from returns.result import Failure, Success

from ..adapters.logs import log_event
from ..errors import (
    NoConnectionError,
    NotSentError,
    OvertakenGrantError,
    UnansweredError,
    WrongServerError,
)

__all__ = ["Relay", "Relays", "has_no_connection"]

VALID_MS = 800.0
"""How long after a relay has read a message it still sends. Less than the leader waits:
a relay that stood still meanwhile must not renew what has moved on since."""

FRESH_MS = 2500.0
"""How old a message may be. It names a reading of the relay's clock that the leader had
before it sent the message, so that its age is known without the leader: a relay that
stood still may thaw cut off from it, and sees no end of the connection. A reading comes
with each question for news, some half a second apart."""

GRANT_MS = 600.0
"""Timeout of a grant that a relay sends; a server answers in a millisecond."""

ANSWER_MS = VALID_MS + GRANT_MS + 100.0
"""Timeout of a message to a relay, whose last grant may be late and unanswered."""

PASSED_OVER_MS = 10_000.0
"""How long a relay that failed is not used; the leader then renews by itself."""

LEAST_RANGES = 3
"""Fewer are not worth a message."""

DONE = "done"
GOES_ON = (DONE, "overtaken", "no connection")
"""After these a relay goes on with the next range: a token that no connection has
carried must not hold up the others of its server."""

ERRORS = {
    "overtaken": OvertakenGrantError,
    "wrong server": WrongServerError,
    "no connection": NoConnectionError,
    "not sent": NotSentError,
    "silent": UnansweredError,
}


@attrs.define(eq=False, repr=False)
class Relay:
    """The side of the daemon that is asked.

    Parameters
    ----------
    grants : Grants
    clock : Clock
    """

    grants: object
    clock: object

    def send(self, message, is_wanted=lambda: True):
        """Send the renewals of a message one after the other.

        Parameters
        ----------
        message : dict
            Plain data, as :meth:`Relays.send` makes it.
        is_wanted : callable, optional
            Whether the leader still waits. One that does not may have waited while
            this process stood still, and counts on time to prove that none is sent.

        Returns
        -------
        answer : dict
            ``results``: a word for each renewal, in their order; those for which there
            is none were not sent. If the message may be too old, only ``clock_ms``:
            the reading for the next one.
        """
        now_ms, asked_ms = self.clock.now_ms(), message["clock_ms"]
        if asked_ms is None or not asked_ms <= now_ms < asked_ms + FRESH_MS:
            return {"clock_ms": now_ms}
        until_ms = min(now_ms + VALID_MS, asked_ms + FRESH_MS)
        server, address = message["server"], message["address"]
        results = []
        if self.grants.has_lost(address):
            # It may have started again; the leader has to find out first.
            return {"results": ["not sent"]}
        for first, last, token, is_first in message["ranges"]:
            if self.clock.now_ms() > until_ms or not is_wanted():
                break
            result = self.grants.grant(
                server,
                address,
                first,
                last,
                token,
                message["hold_ms"],
                "",
                GRANT_MS,
                life=message.get("life", 0),
                reuse_only=not is_first,
            )
            results.append(_word_of(result))
            if results[-1] not in GOES_ON:
                break
        return {"results": results}


@attrs.define(eq=False, repr=False)
class Relays:
    """The leader's side.

    Parameters
    ----------
    view : FleetView
    leadership : Leadership
    peers : FleetPeers
    clock : Clock
    """

    view: object
    leadership: object
    peers: object
    clock: object
    _passed_over_ms: dict = attrs.Factory(dict)

    def pick(self, server_name):
        """Return the address of the relay for a server; empty if there is none.

        None for servers of the leader's own failure domain.
        """
        server = self.view.directory.servers.get(server_name)
        if server is None:
            return ""
        now_ms = self.clock.now_ms()
        addresses = [
            address
            for address in self.leadership.daemons_in(server.failure_domain)
            if self._passed_over_ms.get(address, 0.0) <= now_ms
        ]
        return max(addresses, key=lambda a: _rank(server_name, a), default="")

    def send(self, relay, server, address, items, hold_ms, are_first):
        """Have a relay renew ranges of one life of a server.

        Parameters
        ----------
        relay, server, address : str
        items : list of KeyRange
            At least one.
        hold_ms : float
        are_first : list of bool
            Whether nobody has sent a range's token before; only then may the relay
            open a connection for it.

        Returns
        -------
        results : list of Result
            One for each range: as the server answered, NotSentError for those that the
            relay did not send, UnansweredError for all if it did not answer.
        """
        message = {
            "server": server,
            "address": address,
            "hold_ms": hold_ms,
            "life": items[0].life,
            "ranges": [
                [item.first, item.last, item.token, is_first]
                for item, is_first in zip(items, are_first, strict=True)
            ],
        }
        result = self._ask(relay, message)
        if is_successful(result):
            words = result.unwrap().get("results", [])
            results = [_result_of(word) for word in words[: len(items)]]
            unsent = "no connection" if set(words) == {"no connection"} else "not sent"
            results += [_result_of(unsent)] * (len(items) - len(results))
        else:
            results = [Failure(result.failure())] * len(items)
        unanswered = [r for r in results if not _is_answered(r)]
        if not all(map(has_no_connection, unanswered)):
            self.pass_over(relay, server)
        return results

    def _ask(self, relay, message):
        """Send a message, and again if the relay's clock reading has to be newer."""
        clock_ms = self.leadership.clock_of(relay)
        for _ in range(2):
            dated = {**message, "clock_ms": clock_ms}
            result = self.peers.relay(relay, dated, ANSWER_MS)
            clock_ms = result.value_or({}).get("clock_ms")
            if clock_ms is None:
                break
        return result

    def pass_over(self, relay, server):
        """Use others than a relay for a while, as it could not reach a server."""
        self._passed_over_ms[relay] = self.clock.now_ms() + PASSED_OVER_MS
        log_event("relay-passed-over", relay=relay, server=server)


def has_no_connection(result):
    """Tell whether a grant was not sent because no connection was open."""
    failed = not is_successful(result)
    return failed and isinstance(result.failure(), NoConnectionError)


def _is_answered(result):
    return is_successful(result) or isinstance(result.failure(), OvertakenGrantError)


def _word_of(result):
    if is_successful(result):
        return DONE
    error = result.failure()
    return next((w for w, kind in ERRORS.items() if isinstance(error, kind)), "silent")


def _result_of(word):
    if word == DONE:
        return Success(None)
    return Failure(ERRORS.get(word, UnansweredError)(f"told by the relay: {word}"))


def _rank(server_name, address):
    return xxhash.xxh64_intdigest(f"{server_name} {address}".encode())
