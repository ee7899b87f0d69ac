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

__all__ = ["HttpPlatform", "platform_error"]

_WATCH_GRACE_MS = 500


@attrs.define(eq=False, repr=False)
class HttpPlatform:
    """Objects of the platform.

    Parameters
    ----------
    pool : HttpPool
    timeout_ms : float
        For every call but a watch.
    """

    pool: HttpPool
    timeout_ms: float
    _vms: list = attrs.Factory(list)
    _vms_body: bytes = b""

    @classmethod
    def from_config(cls, settings, traffic=None):
        """Make one from a daemon's settings; ``traffic`` counts its calls."""
        pool = HttpPool(settings.platform_address, traffic=traffic)
        return cls(pool, settings.timing.platform_timeout_ms)

    def get(self, kind, name) -> Result:
        """Return Success of Stored, or Failure of PlatformError."""
        return self._call("GET", f"/v1/objects/{kind}/{name}").map(_stored)

    def list(self, kind) -> Result:
        """Return Success of a list of Stored, or Failure of PlatformError."""
        return self._call("GET", f"/v1/objects/{kind}").map(_stored_list)

    def put(self, kind, name, spec, expected_version) -> Result:
        """Write if the object is at the expected version (0: does not exist)."""
        target = f"/v1/objects/{kind}/{name}?version={expected_version}"
        return self._call("PUT", target, spec, expected_version).map(_stored)

    def delete(self, kind, name, expected_version) -> Result:
        """Delete if the object is at the expected version."""
        target = f"/v1/objects/{kind}/{name}?version={expected_version}"
        return self._call("DELETE", target, None, expected_version).map(_stored)

    def watch(self, since_version, wait_ms, kinds=()) -> Result:
        """Return Success of ``(version, changes)`` once there are any, or in time."""
        target = f"/v1/watch?since={since_version}&wait_ms={int(wait_ms)}"
        if kinds:
            target += f"&kinds={','.join(kinds)}"
        result = self._call("GET", target, timeout_ms=wait_ms + _WATCH_GRACE_MS)
        return result.map(lambda raw: (raw["version"], _stored_list(raw)))

    def list_vms(self) -> Result:
        """Return Success of a list of Vm, the same object for the same answer.

        The list has no version: reading thousands of unchanged VMs each second would
        cost more than all other control.
        """
        result = self._exchange("GET", "/v1/vms", b"", self.timeout_ms)
        return result.bind(self._read_vms)

    def _read_vms(self, answer):
        if answer.status == 200 and answer.body == self._vms_body:
            return Success(self._vms)
        return _checked(answer, 0).map(lambda raw: self._hold_vms(raw, answer.body))

    def _hold_vms(self, raw, body):
        self._vms = [Vm(**item) for item in raw["items"]]
        self._vms_body = body
        return self._vms

    def _call(self, method, target, spec=None, expected_version=0, timeout_ms=None):
        body = b"" if spec is None else json.dumps(spec).encode()
        wait_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        result = self._exchange(method, target, body, wait_ms)
        return result.bind(lambda answer: _checked(answer, expected_version))

    def _exchange(self, method, target, body, wait_ms):
        headers = [("Content-Type", "application/json")]
        result = self.pool.exchange(method, target, headers, body, wait_ms)
        return result.alt(platform_error)


def platform_error(error: ExchangeError):
    """Return the PlatformError of an exchange without a whole answer."""
    if isinstance(error, NotSentError):
        return PlatformNotSentError(str(error))
    return PlatformUnreachableError(str(error))


def _checked(answer, expected_version):
    if answer.status == 404:
        return Failure(NotFoundError("no such object"))
    if answer.status >= 500:
        return Failure(PlatformUnreachableError(f"platform answered {answer.status}"))
    try:
        raw = json.loads(answer.body)
    except ValueError:
        return Failure(PlatformUnreachableError("platform answer is not JSON"))
    if answer.status == 409:
        current = raw.get("current")
        return Failure(ConflictError(expected_version, current and _stored(current)))
    if answer.status != 200:
        return Failure(PlatformError(f"platform answered {answer.status}: {raw}"))
    return Success(raw)


def _stored(raw):
    return Stored(raw["kind"], raw["name"], raw["version"], raw["spec"])


def _stored_list(raw):
    return [_stored(item) for item in raw["items"]]
