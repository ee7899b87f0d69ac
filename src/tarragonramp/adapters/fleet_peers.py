"""What daemons of a fleet say to each other, as JSON over HTTP."""

import json
import random
import urllib.parse

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..errors import UnansweredError
from ..meters import NOT_RUN
from .http import HttpPools
from .web import RequestError, error_reply, json_reply

__all__ = ["FleetPeers", "PeerApplication"]

PING, STEP_DOWN, NEWS, METRICS = (
    "/peer/ping",
    "/peer/step-down",
    "/peer/news",
    "/metrics",
)
TIMEOUT_MS = 600.0


@attrs.define(eq=False, repr=False)
class FleetPeers:
    """Asks other daemons.

    Parameters
    ----------
    view : FleetView
        Knows where they are.
    name : str
        Of this daemon.
    """

    view: object
    name: str
    _pools: HttpPools = attrs.field(init=False)
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Prepare the connections."""
        options = {"max_idle": 2, "keepalive": True, "connect_ms": TIMEOUT_MS}
        self._pools = HttpPools(16 << 20, unsent_ms=TIMEOUT_MS, options=options)

    def ping(self, address, message) -> Result:
        """Send what this daemon says of itself; Success of what the other says."""
        return self._exchange("POST", address, PING, message)

    def step_down(self, address, term) -> Result:
        """Tell an earlier leader that another daemon has its term."""
        return self._exchange("POST", address, STEP_DOWN, {"term": term})

    def news(self, kind, since_version):
        """Ask a peer for newer objects of a kind.

        Returns
        -------
        news : tuple of (int, list) or None
            The peer's version, and name, version and spec of each object.
        """
        others = [a for name, a in self.view.daemons.items() if name != self.name]
        if not others:
            return None
        query = urllib.parse.urlencode({"kind": kind, "since": since_version})
        address = self._rng.choice(others)
        result = self._exchange("GET", address, f"{NEWS}?{query}", None)
        if not is_successful(result):
            return None
        raw = result.unwrap()
        return (raw["version"], raw["objects"]) if raw.get("version") else None

    def _exchange(self, method, address, target, message) -> Result:
        data = b"" if message is None else json.dumps(message).encode()
        pool = self._pools.at(address)
        result = pool.exchange(method, target, (), data, TIMEOUT_MS)
        return result.bind(_read)


def _read(answer):
    try:
        raw = json.loads(answer.body)
    except ValueError:
        raw = None
    if answer.status != 200 or not isinstance(raw, dict):
        return Failure(UnansweredError(f"peer answered {answer.status}"))
    return Success(raw)


@attrs.define(eq=False, repr=False)
class PeerApplication:
    """WSGI application for other daemons, and for the reader of metrics.

    Parameters
    ----------
    leadership : Leadership
    follower : Follower
    metrics : callable
        Returns the page and its content type.
    """

    leadership: object
    follower: object
    metrics: object

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        try:
            if path == PING:
                answer = self.leadership.heard(_body(environ))
            elif path == STEP_DOWN:
                answer = self.leadership.told_to_step_down(_body(environ)["term"])
            elif path == NEWS:
                answer = self._news(environ)
            elif path == METRICS:
                return self._metrics(start_response)
            else:
                raise RequestError(404, NOT_RUN, "no such page")
        except (ValueError, KeyError, TypeError, IndexError):
            error = RequestError(400, NOT_RUN, "message not understood")
            return error_reply(start_response, error)
        except RequestError as error:
            return error_reply(start_response, error)
        return json_reply(start_response, 200, answer)

    def _news(self, environ):
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        news = self.follower.news(query["kind"][0], int(query["since"][0]))
        if news is None:
            return {}
        version, items = news
        rows = [[item.name, item.version, item.spec] for item in items]
        return {"version": version, "objects": rows}

    def _metrics(self, start_response):
        page, content_type = self.metrics()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(page)))]
        start_response("200 OK", headers)
        return [page]


def _body(environ):
    raw = json.loads(environ["wsgi.input"].read())
    if not isinstance(raw, dict):
        raise ValueError("no mapping")
    return raw
