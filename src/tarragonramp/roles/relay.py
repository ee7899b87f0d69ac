"""Renewals that the leader sends through a daemon in the server's failure domain.

A single message for all ranges of a server crosses failure domains instead of one call
for each range, and the work is spread over the daemons. Only the leader knows which
server may hold what: a relay sends a renewal immediately or not at all, and a renewal
for which the leader has no response is in doubt, like one that it sent itself.
"""

import attrs
import xxhash
from returns.result import Failure, Success

from ..adapters.logs import log_event
from ..errors import (
    NoConnectionError,
    NotSentError,
    OvertakenGrantError,
    UnansweredError,
    WrongServerError,
)
from ..results import is_successful
from ..server_paths import PathMonitor

__all__ = ["Relay", "RelayPool", "has_no_connection"]

SEND_WINDOW_MS = 800.0
"""How long after reading a message a relay still sends its renewals.

The leader waits longer than this. A relay that was paused meanwhile must not renew
ranges that have moved since."""

MAX_MESSAGE_AGE_MS = 2500.0
"""Maximum age of a message.

The message carries a reading of the relay's clock that the leader had before it sent
the message, so the relay can tell its age without the leader. A relay that was paused
may resume while it is cut off from the leader, and does not see that the connection has
ended. The leader gets a new reading with each ping, about every half second."""

GRANT_TIMEOUT_MS = 600.0
"""Timeout of a grant that a relay sends. A server normally responds within a
millisecond."""

MESSAGE_TIMEOUT_MS = SEND_WINDOW_MS + GRANT_TIMEOUT_MS + 100.0
"""Timeout of a message to a relay, whose last grant may be sent late and time out."""

EXCLUSION_MS = 10_000.0
"""How long a relay that failed is not used.

Meanwhile another relay of the failure domain is used, or the leader renews directly."""

MIN_RELAYED_RANGES = 3
"""With fewer ranges a message to a relay is not worthwhile."""

GRANTED = "done"
CONTINUE_AFTER = (GRANTED, "overtaken", "no connection")
"""Results after which a relay continues with the next range.

A token for which no connection is open must not delay the other ranges of its server.
"""

ERRORS_BY_STATUS = {
    "overtaken": OvertakenGrantError,
    "wrong server": WrongServerError,
    "no connection": NoConnectionError,
    "not sent": NotSentError,
    "silent": UnansweredError,
}


@attrs.define(eq=False, repr=False)
class Relay:
    """Sends renewals on behalf of the leader.

    Parameters
    ----------
    grants : object
        See :class:`.FleetPorts`.
    clock : Clock
    monitor : PathMonitor
        Whether this daemon reaches servers.
    """

    grants: object
    clock: object
    monitor: PathMonitor = attrs.Factory(PathMonitor)

    def send(self, message, is_wanted=lambda: True):
        """Send the renewals of a message one after the other.

        Parameters
        ----------
        message : dict
            Plain data, as :meth:`RelayPool.send` builds it.
        is_wanted : callable, optional
            Returns whether the leader still waits. A leader that has given up may have
            waited while this process was paused, and relies on the renewals not being
            sent any more.

        Returns
        -------
        answer : dict
            ``results``: a status for each renewal, in their order; renewals without a
            status were not sent. If the message may be too old, only ``clock_ms``: the
            clock reading for the next message.
        """
        now_ms, clock_reading_ms = self.clock.now_ms(), message["clock_ms"]
        if (
            clock_reading_ms is None
            or not clock_reading_ms <= now_ms < clock_reading_ms + MAX_MESSAGE_AGE_MS
        ):
            return {"clock_ms": now_ms}
        until_ms = min(now_ms + SEND_WINDOW_MS, clock_reading_ms + MAX_MESSAGE_AGE_MS)
        new_token_until_ms = message["new_token_until_ms"]
        may_send_new_token = lambda: self.clock.now_ms() < new_token_until_ms
        server, address = message["server"], message["address"]
        results = []
        if self.monitor.is_cut_off:
            return {"results": ["not sent"]}
        if self.grants.has_closed_connection(server, address):
            # The server may have restarted, which the leader has to find out first.
            return {"results": ["not sent"]}
        for first, last, token, is_new_token in message["ranges"]:
            if self.clock.now_ms() > until_ms or not is_wanted():
                break
            options = {"reuse_only": True}
            if is_new_token and may_send_new_token():
                options = {"reuse_only": False, "may_send": may_send_new_token}
            result = self.grants.grant(
                server,
                address,
                first,
                last,
                token,
                message["hold_ms"],
                "",
                GRANT_TIMEOUT_MS,
                life=message.get("life", 0),
                **options,
            )
            results.append(_status_of(result))
            if results[-1] not in CONTINUE_AFTER:
                break
        return {"results": results}


@attrs.define(eq=False, repr=False)
class RelayPool:
    """Selects relays and sends them renewals, on the leader.

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
    _excluded_until_ms: dict = attrs.Factory(dict)

    def pick(self, server_name):
        """Return the address of the relay for a server; empty if there is none.

        Servers in the leader's own failure domain have no relay.
        """
        server = self.view.directory.servers.get(server_name)
        if server is None:
            return ""
        now_ms = self.clock.now_ms()
        addresses = [
            address
            for address in self.leadership.daemons_in(server.failure_domain)
            if self._excluded_until_ms.get(address, 0.0) <= now_ms
        ]
        return max(addresses, key=lambda a: _rank(server_name, a), default="")

    def send(self, relay, server, address, items, hold_ms, are_new_tokens):
        """Have a relay renew ranges of one process instance of a server.

        Parameters
        ----------
        relay, server, address : str
        items : list of KeyRange
            At least one.
        hold_ms : float
        are_new_tokens : list of bool
            Whether the token of each range has never been sent; only then may the relay
            open a connection for it, and only while this leader is confirmed.

        Returns
        -------
        results : list of Result
            One for each range: the server's response, NotSentError for renewals that
            the relay did not send, or UnansweredError for all if the relay did not
            respond.
        """
        message = {
            "server": server,
            "address": address,
            "hold_ms": hold_ms,
            "life": items[0].life,
        }
        result = self._send_message(relay, message, items, are_new_tokens)
        if is_successful(result):
            statuses = result.unwrap().get("results", [])
            results = [_result_of(status) for status in statuses[: len(items)]]
            unsent = (
                "no connection" if set(statuses) == {"no connection"} else "not sent"
            )
            results += [_result_of(unsent)] * (len(items) - len(results))
        else:
            results = [Failure(result.failure())] * len(items)
        unanswered = [r for r in results if not _is_answered(r)]
        if not all(map(has_no_connection, unanswered)):
            self.exclude(relay, server)
        return results

    def _send_message(self, relay, message, items, are_new_tokens):
        """Send a message; send it once more if the relay asks for a newer reading.

        The message says until when on the relay's clock no other daemon can lead. A
        successor may raise tokens again that no server has seen, so the relay sends
        them until then only.
        """
        message["ranges"] = [
            [item.first, item.last, item.token, is_new_token]
            for item, is_new_token in zip(items, are_new_tokens, strict=True)
        ]
        for _ in range(2):
            result = self.peers.relay(
                relay, self._stamp(relay, message), MESSAGE_TIMEOUT_MS
            )
            clock_ms = result.value_or({}).get("clock_ms")
            if clock_ms is None:
                break
            self.leadership.record_clock_reading(relay, clock_ms)
        return result

    def _stamp(self, relay, message):
        """Return a message with a reading of the relay's clock, if one is known."""
        reading = self.leadership.clock_reading_of(relay)
        if reading is None or reading.clock_ms is None:
            return {**message, "clock_ms": None, "new_token_until_ms": 0.0}
        until_ms = max(0.0, reading.convert(self.leadership.sole_until_ms))
        return {**message, "clock_ms": reading.clock_ms, "new_token_until_ms": until_ms}

    def exclude(self, relay, server):
        """Exclude a relay for some time, since it could not reach a server."""
        self._excluded_until_ms[relay] = self.clock.now_ms() + EXCLUSION_MS
        log_event("relay-passed-over", relay=relay, server=server)


def has_no_connection(result):
    """Return whether a grant was not sent because no connection was open."""
    failed = not is_successful(result)
    return failed and isinstance(result.failure(), NoConnectionError)


def _is_answered(result):
    return is_successful(result) or isinstance(result.failure(), OvertakenGrantError)


def _status_of(result):
    if is_successful(result):
        return GRANTED
    error = result.failure()
    return next(
        (
            status
            for status, kind in ERRORS_BY_STATUS.items()
            if isinstance(error, kind)
        ),
        "silent",
    )


def _result_of(status):
    if status == GRANTED:
        return Success(None)
    return Failure(
        ERRORS_BY_STATUS.get(status, UnansweredError)(f"told by the relay: {status}")
    )


def _rank(server_name, address):
    return xxhash.xxh64_intdigest(f"{server_name} {address}".encode())
