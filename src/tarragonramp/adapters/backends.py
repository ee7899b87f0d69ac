"""Control requests to backend servers over HTTP."""

import json

import attrs
from returns.result import Failure, Result, Success

from ..errors import UnansweredError
from ..leases import ServerAnswer
from .http import HttpPools
from .json_lists import parse_json

__all__ = ["HttpBackends"]

GRANT_TARGET = "/tarragon/grant"
PROBE_TARGET = "/tarragon/clock"


@attrs.define(eq=False, repr=False)
class HttpBackends:
    """Sends grants and probes to backend servers.

    Implements :class:`tarragonramp.ports.Backends`.

    Parameters
    ----------
    pools : HttpPools
        Connections for control traffic only, separate from those for callers'
        requests.
    """

    pools: HttpPools

    def probe(self, address, timeout_ms) -> Result:
        """Read a server's clock, boot id and the latest grant it accepted."""
        pool = self.pools.at(address)
        return pool.exchange("GET", PROBE_TARGET, (), b"", timeout_ms).bind(
            _parse_answer
        )

    def grant(self, address, grant, timeout_ms) -> Result:
        """Grant a server its slices until a given reading of the server's clock."""
        body = json.dumps(
            {
                "term": grant.term,
                "sequence": grant.sequence,
                "boot_id": grant.boot_id,
                "tokens": _token_ranges(grant.tokens),
                "until_ms": grant.until_ms,
            }
        ).encode()
        pool = self.pools.at(address)
        return pool.exchange("POST", GRANT_TARGET, (), body, timeout_ms).bind(
            _parse_answer
        )


def _parse_answer(response):
    try:
        raw = parse_json(response.body)
        return Success(
            ServerAnswer(
                boot_id=raw["boot_id"],
                clock_ms=raw["clock_ms"],
                term=raw["term"],
                sequence=raw["sequence"],
                accepted=response.status == 200,
                cold=raw["cold"],
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(
            UnansweredError(f"invalid response to a control request: {error!r}")
        )


def _token_ranges(tokens):
    """Return runs of adjacent slices with equal tokens as ``[first, count, token]``."""
    ranges = []
    for index in sorted(tokens):
        token = tokens[index]
        if ranges and ranges[-1][0] + ranges[-1][1] == index and ranges[-1][2] == token:
            ranges[-1][1] += 1
            continue
        ranges.append([index, 1, token])
    return ranges
