"""Messages between the daemons of a fleet: deflate-compressed JSON over HTTP."""

import json
import random
import urllib.parse
import zlib

import attrs
from returns.result import Failure, Result, Success

from ..errors import UnansweredError
from ..fleet_view import MANIFEST
from ..meters import NOT_RUN
from ..results import is_successful
from .http import HttpPools
from .json_lists import parse_json
from .web import ARRIVED_KEY, RequestError, caller_disconnected, error_reply

__all__ = ["DELEGATED_PREFIX", "FleetPeers", "PeerApplication"]

PING_PATH, STEP_DOWN_PATH, NEWS_PATH, RELAY_PATH = (
    "/peer/ping",
    "/peer/step-down",
    "/peer/news",
    "/peer/relay",
)
SHARES_PATH, SUSPECTS_PATH, METRICS_PATH = "/peer/shares", "/peer/suspects", "/metrics"
DELEGATED_PREFIX = "/peer/request"
"""Stands before the target of a request that one daemon hands to another."""

TIMEOUT_MS = 450.0
DELEGATE_CONNECT_MS = 200.0
"""How long a connection to a daemon that is to take a request may take to open."""

DELEGATE_OPTIONS = {
    "max_idle": 16,
    "keepalive": True,
    "connect_ms": DELEGATE_CONNECT_MS,
    "max_idle_ms": 6000.0,
}
MAX_MESSAGE_BYTES = 16 << 20
MAX_DELEGATED_BYTES = 32 << 20
"""Longest response to a request that was handed to another daemon."""

DEFLATE_HEADER = ("Content-Encoding", "deflate")


@attrs.define(eq=False, repr=False)
class FleetPeers:
    """Client side of the messages between daemons.

    Parameters
    ----------
    view : FleetView
        Holds the addresses of the other daemons.
    name : str
        Name of this daemon.
    holdings : HoldingTable, optional
        Accounts for the memory of delegates' responses.
    """

    view: object
    name: str
    holdings: object = None
    _pools: HttpPools = attrs.field(init=False)
    _delegate_pools: HttpPools = attrs.field(init=False)
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Create the connection pools."""
        options = {"max_idle": 2, "keepalive": True, "connect_ms": TIMEOUT_MS}
        self._pools = HttpPools(16 << 20, user_timeout_ms=TIMEOUT_MS, options=options)
        self._delegate_pools = HttpPools(
            MAX_DELEGATED_BYTES,
            user_timeout_ms=1500.0,
            options={**DELEGATE_OPTIONS, "holdings": self.holdings},
        )

    def ping(self, address, message, wait_ms) -> Result:
        """Report this daemon to the leader and wait up to ``wait_ms`` for updates.

        Returns
        -------
        reply : Success of dict, or Failure of ExchangeError
        """
        timeout_ms = wait_ms + TIMEOUT_MS
        return self._exchange("POST", address, PING_PATH, message, timeout_ms)

    def step_down(self, address, term, successor) -> Result:
        """Tell a former leader that the daemon at ``successor`` has a later term.

        Returns as :meth:`ping` does.
        """
        message = {"term": term, "successor": successor}
        return self._exchange("POST", address, STEP_DOWN_PATH, message)

    def relay(self, address, message, timeout_ms) -> Result:
        """Have a daemon renew grants; returns as :meth:`ping` does."""
        return self._exchange("POST", address, RELAY_PATH, message, timeout_ms)

    def ask_shares(self, address, message, timeout_ms) -> Result:
        """Ask the leader for shares of usage caps; returns as :meth:`ping` does."""
        return self._exchange("POST", address, SHARES_PATH, message, timeout_ms)

    def tell_suspects(self, address, message, timeout_ms) -> Result:
        """Tell a daemon of requests under which servers ended; returns as `ping`."""
        return self._exchange("POST", address, SUSPECTS_PATH, message, timeout_ms)

    def delegate(
        self, address, method, target, headers, body, timeout_ms, is_wanted
    ) -> Result:
        """Hand a caller's request to a daemon; parameters as for HttpPool.exchange."""
        pool = self._delegate_pools.at(address)
        target = DELEGATED_PREFIX + target
        return pool.exchange(method, target, headers, body, timeout_ms, is_wanted)

    def news(self, kind, since_version, address=""):
        """Ask a peer for objects of a kind that changed after a version.

        Parameters
        ----------
        kind : str
        since_version : int
        address : str, default=""
            Address of the peer. If empty, a random peer is asked, preferably one that
            follows the store itself.

        Returns
        -------
        updates : dict
            As ``Follower.updates_since`` returns it, and as "freshness", if asked for
            the manifest, what ``FleetView.describe_freshness`` returns; empty if there
            are no updates or no peer answered.
        """
        address = address or self._pick_peer()
        if not address:
            return {}
        query = urllib.parse.urlencode({"kind": kind, "since": since_version})
        result = self._exchange("GET", address, f"{NEWS_PATH}?{query}", None)
        return result.unwrap() if is_successful(result) else {}

    def _pick_peer(self):
        """Return the address of a random peer to ask; empty if there is none."""
        others = {n: a for n, a in self.view.daemons.items() if n != self.name}
        watchers = [a for name, a in others.items() if name in self.view.watchers]
        others = watchers or list(others.values())
        return self._rng.choice(others) if others else ""

    def _exchange(self, method, address, target, message, timeout_ms=TIMEOUT_MS):
        data = b"" if message is None else _encode(message)
        pool = self._pools.at(address)
        headers = [DEFLATE_HEADER] if data else []
        result = pool.exchange(method, target, headers, data, timeout_ms)
        return result.bind(_parse_response)


def _encode(message):
    # Compressed because traffic between failure domains is billed.
    return zlib.compress(json.dumps(message, separators=(",", ":")).encode())


def _decode(data):
    """Decompress and parse a peer's message; ValueError if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        return parse_json(decompressor.decompress(data, MAX_MESSAGE_BYTES))
    except zlib.error as error:
        raise ValueError("message is not deflate-compressed") from error


def _parse_response(response):
    try:
        raw = _decode(response.body)
    except ValueError:
        raw = None
    if response.status != 200 or not isinstance(raw, dict):
        return Failure(
            UnansweredError(f"unusable response from peer, status {response.status}")
        )
    return Success(raw)


@attrs.define(eq=False, repr=False)
class PeerApplication:
    """WSGI application that serves other daemons and the metrics scraper.

    Parameters
    ----------
    leadership : Leadership
    follower : Follower
    relay : Relay
    metrics : callable
        Returns the metrics page as bytes, and its content type.
    delegate : callable
        WSGI application for requests that other daemons hand to this one.
    caps : CapKeeper, optional
    suspects : SuspectFinder, optional
    """

    leadership: object
    follower: object
    relay: object
    metrics: object
    delegate: object
    caps: object = None
    suspects: object = None

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path.startswith(DELEGATED_PREFIX + "/"):
            return self.delegate(environ, start_response)
        try:
            if path == PING_PATH:
                response = self.leadership.handle_ping(_read_message(environ))
            elif path == STEP_DOWN_PATH:
                request = _read_message(environ)
                response = self.leadership.handle_step_down(
                    request["term"], str(request.get("successor", ""))
                )
            elif path == RELAY_PATH:
                is_wanted = lambda: not caller_disconnected(environ)
                response = self.relay.send(_read_message(environ), is_wanted)
            elif path == SHARES_PATH and self.caps is not None:
                response = self.caps.handle_question(_read_message(environ))
            elif path == SUSPECTS_PATH and self.suspects is not None:
                response = self.suspects.handle(_read_message(environ))
            elif path == NEWS_PATH:
                response = self._news(environ)
            elif path == METRICS_PATH:
                return self._metrics(start_response)
            else:
                raise RequestError(404, NOT_RUN, "no such page")
        except (ValueError, KeyError, TypeError, IndexError):
            error = RequestError(400, NOT_RUN, "message not understood")
            return error_reply(start_response, error)
        except RequestError as error:
            return error_reply(start_response, error)
        body = _encode(response)
        start_response("200 OK", [DEFLATE_HEADER, ("Content-Length", str(len(body)))])
        return [body]

    def metrics_only(self, environ, start_response):
        """Serve only the metrics, for the scraper's address.

        The scraper is not a peer and gets no access to the peer messages.
        """
        if environ["PATH_INFO"] != METRICS_PATH:
            error = RequestError(404, NOT_RUN, "no such page")
            return error_reply(start_response, error)
        return self._metrics(start_response)

    def _news(self, environ):
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        kind, since = query["kind"][0], int(query["since"][0])
        updates = self.follower.updates_since({kind: since})
        news = {kind: updates[kind]} if kind in updates else {}
        if kind == MANIFEST:
            arrived_ms = environ[ARRIVED_KEY]
            news["freshness"] = self.follower.view.describe_freshness(arrived_ms)
        return news

    def _metrics(self, start_response):
        page, content_type = self.metrics()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(page)))]
        start_response("200 OK", headers)
        return [page]


def _read_message(environ):
    raw = _decode(environ["wsgi.input"].read())
    if not isinstance(raw, dict):
        raise ValueError("message is not a mapping")
    return raw
