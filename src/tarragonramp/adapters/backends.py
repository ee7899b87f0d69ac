"""Control exchanges with backend servers over HTTP."""

import json

import attrs
from returns.result import Failure, Result, Success

from ..errors import UnansweredError
from ..leases import ServerAnswer
from .http import HttpPools

__all__ = ["HttpBackends"]

GRANT_TARGET = "/tarragon/grant"
PROBE_TARGET = "/tarragon/clock"


@attrs.define(eq=False, repr=False)
class HttpBackends:
    """Grants and probes.

    Parameters
    ----------
    pools : HttpPools
        Kept apart from the pools of callers' requests.
    """

    pools: HttpPools

    def probe(self, address, timeout_ms) -> Result:
        """Read a server's clock, boot id and latest grant."""
        pool = self.pools.at(address)
        return pool.exchange("GET", PROBE_TARGET, (), b"", timeout_ms).bind(_answer)

    def grant(self, address, grant, timeout_ms) -> Result:
        """Give a server its slices until a reading of its own clock."""
        body = json.dumps(
            {
                "term": grant.term,
                "sequence": grant.sequence,
                "boot_id": grant.boot_id,
                "tokens": _ranges(grant.tokens),
                "until_ms": grant.until_ms,
            }
        ).encode()
        pool = self.pools.at(address)
        return pool.exchange("POST", GRANT_TARGET, (), body, timeout_ms).bind(_answer)


def _answer(answer):
    try:
        raw = json.loads(answer.body)
        return Success(
            ServerAnswer(
                boot_id=raw["boot_id"],
                clock_ms=raw["clock_ms"],
                term=raw["term"],
                sequence=raw["sequence"],
                accepted=answer.status == 200,
                cold=raw["cold"],
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(UnansweredError(f"control answer not understood: {error!r}"))


def _ranges(tokens):
    """Join neighbouring slices with one token into ``[first, count, token]``."""
    ranges = []
    for index in sorted(tokens):
        token = tokens[index]
        if ranges and ranges[-1][0] + ranges[-1][1] == index and ranges[-1][2] == token:
            ranges[-1][1] += 1
            continue
        ranges.append([index, 1, token])
    return ranges
