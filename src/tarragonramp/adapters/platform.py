"""The platform's object API over HTTP."""

import json

import attrs
from returns.result import Failure, Result, Success

from ..errors import (
    ConflictError,
    ExchangeError,
    NotFoundError,
    NotSentError,
    PlatformError,
    PlatformNotSentError,
    PlatformUnreachableError,
)
from ..model import Stored, Vm
from .http import HttpPool
from .json_lists import parse_json

__all__ = ["HttpPlatform", "platform_error"]

# Time for the response to a watch to arrive after the platform has stopped waiting.
_WATCH_MARGIN_MS = 500


@attrs.define(eq=False, repr=False)
class HttpPlatform:
    """Client of the platform's object API.

    Implements :class:`tarragonramp.ports.Platform`.

    Parameters
    ----------
    pool : HttpPool
    timeout_ms : float
        Timeout of every call except a watch.
    """

    pool: HttpPool
    timeout_ms: float
    _vms: list = attrs.Factory(list)
    _vms_body: bytes = b""

    @classmethod
    def from_config(cls, settings, traffic=None):
        """Create a client from a daemon's settings; ``traffic`` counts its calls."""
        pool = HttpPool(settings.platform_address, traffic=traffic)
        return cls(pool, settings.timing.platform_timeout_ms)

    def get(self, kind, name) -> Result:
        """Return Success of Stored, or Failure of PlatformError."""
        return self._call("GET", f"/v1/objects/{kind}/{name}").map(_stored)

    def list(self, kind) -> Result:
        """Return Success of a list of Stored, or Failure of PlatformError."""
        return self._call("GET", f"/v1/objects/{kind}").map(_stored_list)

    def put(self, kind, name, spec, expected_version) -> Result:
        """Write the object if it is at the expected version (0: does not exist)."""
        target = f"/v1/objects/{kind}/{name}?version={expected_version}"
        return self._call("PUT", target, spec, expected_version).map(_stored)

    def delete(self, kind, name, expected_version) -> Result:
        """Delete the object if it is at the expected version."""
        target = f"/v1/objects/{kind}/{name}?version={expected_version}"
        return self._call("DELETE", target, None, expected_version).map(_stored)

    def watch(self, since_version, wait_ms, kinds=()) -> Result:
        """Wait up to ``wait_ms`` for changes; Success of ``(version, changes)``."""
        target = f"/v1/watch?since={since_version}&wait_ms={int(wait_ms)}"
        if kinds:
            target += f"&kinds={','.join(kinds)}"
        result = self._call("GET", target, timeout_ms=wait_ms + _WATCH_MARGIN_MS)
        return result.map(lambda raw: (raw["version"], _stored_list(raw)))

    def list_vms(self) -> Result:
        """Return Success of a list of Vm; the same object for an unchanged response.

        The list has no version. Parsing thousands of unchanged VMs every second would
        cost more than all other control work.
        """
        result = self._exchange("GET", "/v1/vms", b"", self.timeout_ms)
        return result.bind(self._parse_vms)

    def _parse_vms(self, response):
        if response.status == 200 and response.body == self._vms_body:
            return Success(self._vms)
        return _parse_response(response, 0).map(
            lambda raw: self._cache_vms(raw, response.body)
        )

    def _cache_vms(self, raw, body):
        self._vms = [Vm(**item) for item in raw["items"]]
        self._vms_body = body
        return self._vms

    def _call(self, method, target, spec=None, expected_version=0, timeout_ms=None):
        body = b"" if spec is None else json.dumps(spec).encode()
        exchange_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        result = self._exchange(method, target, body, exchange_ms)
        return result.bind(lambda response: _parse_response(response, expected_version))

    def _exchange(self, method, target, body, timeout_ms):
        headers = [("Content-Type", "application/json")]
        result = self.pool.exchange(method, target, headers, body, timeout_ms)
        return result.alt(platform_error)


def platform_error(error: ExchangeError):
    """Convert the error of an incomplete exchange into a PlatformError."""
    if isinstance(error, NotSentError):
        return PlatformNotSentError(str(error))
    return PlatformUnreachableError(str(error))


def _parse_response(response, expected_version):
    if response.status == 404:
        return Failure(NotFoundError("no such object"))
    if response.status >= 500:
        return Failure(
            PlatformUnreachableError(
                f"platform responded with status {response.status}"
            )
        )
    try:
        raw = parse_json(response.body)
    except ValueError:
        return Failure(PlatformUnreachableError("platform response is not JSON"))
    if response.status == 409:
        current = raw.get("current")
        return Failure(ConflictError(expected_version, current and _stored(current)))
    if response.status != 200:
        return Failure(
            PlatformError(f"platform responded with status {response.status}: {raw}")
        )
    return Success(raw)


def _stored(raw):
    return Stored(raw["kind"], raw["name"], raw["version"], raw["spec"])


def _stored_list(raw):
    return [_stored(item) for item in raw["items"]]
