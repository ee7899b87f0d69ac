"""Settings of a daemon: YAML, checked as a whole before anything starts."""

import os
import re

import attrs
import cattrs
import yaml
from returns.result import Failure, Result, Success

from .errors import SettingsError

__all__ = ["DaemonSettings", "Limits", "Timing", "load_settings"]

ENVIRONMENT_PREFIX = "TARRAGONRAMP_"

_NAME = re.compile(r"[a-z0-9][a-z0-9-]*\Z")
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")


def _name(instance, attribute, value):
    if not _NAME.match(value):
        raise ValueError(f"{value!r}: lower-case letters, digits and '-' only")


def _address(instance, attribute, value):
    if not _ADDRESS.match(value):
        raise ValueError(f"{value!r}: expected IP number and port, as 10.0.0.1:7000")


def _address_or_empty(instance, attribute, value):
    if value:
        _address(instance, attribute, value)


def _between(low, high):
    def check(instance, attribute, value):
        if not low <= value <= high:
            raise ValueError(f"{value!r}: expected {low} to {high}")

    return check


@attrs.frozen
class Timing:
    """Time constants, all in milliseconds.

    Parameters
    ----------
    unready_ms : int
        On a stop, how long to say "not ready" and still take new connections.
    drain_idle_ms : int
        On a stop, how long a connection is without a request before it is closed.
    drain_ms : int
        On a stop, how long to wait for requests under way.
    handover_ms : int
        On a stop, how long to try to hand over terms if the platform does not answer.
    """

    ping_ms: int = attrs.field(default=150, validator=_between(20, 60_000))
    silence_ms: int = attrs.field(default=500, validator=_between(50, 600_000))
    right_ms: int = attrs.field(default=800, validator=_between(100, 600_000))
    control_timeout_ms: int = attrs.field(default=250, validator=_between(20, 60_000))
    platform_timeout_ms: int = attrs.field(default=2000, validator=_between(50, 60_000))
    watch_ms: int = attrs.field(default=2000, validator=_between(100, 600_000))
    planning_ms: int = attrs.field(default=50, validator=_between(10, 60_000))
    route_wait_ms: int = attrs.field(default=300, validator=_between(0, 60_000))
    unready_ms: int = attrs.field(default=2000, validator=_between(0, 600_000))
    drain_idle_ms: int = attrs.field(default=1000, validator=_between(0, 600_000))
    drain_ms: int = attrs.field(default=10_000, validator=_between(0, 600_000))
    handover_ms: int = attrs.field(default=10_000, validator=_between(0, 600_000))


@attrs.frozen
class Limits:
    """Bounds on what one caller's request may bring."""

    body_bytes: int = attrs.field(default=1_048_576, validator=_between(0, 1 << 30))
    answer_bytes: int = attrs.field(default=8_388_608, validator=_between(1, 1 << 30))


@attrs.frozen
class DaemonSettings:
    """Everything a daemon has to be told.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    failure_domain : str
    caller_address, control_address, peer_address : str
        ``ip:port`` for callers, for HTTP control and for gRPC.
    platform_address : str
        ``ip:port`` of the platform's object API.
    advertised_control_address, advertised_peer_address : str, default=""
        Where other daemons reach this one, if not at the addresses it binds.
    timing : Timing
    limits : Limits
    """

    name: str = attrs.field(validator=_name)
    failure_domain: str = attrs.field(validator=_name)
    caller_address: str = attrs.field(validator=_address)
    control_address: str = attrs.field(validator=_address)
    peer_address: str = attrs.field(validator=_address)
    platform_address: str = attrs.field(validator=_address)
    advertised_control_address: str = attrs.field(
        default="", validator=_address_or_empty
    )
    advertised_peer_address: str = attrs.field(default="", validator=_address_or_empty)
    timing: Timing = Timing()
    limits: Limits = Limits()


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def load_settings(path, environment=os.environ) -> Result:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
    environment : mapping, default=os.environ
        ``TARRAGONRAMP_NAME`` overrides ``name``, ``TARRAGONRAMP_TIMING__PING_MS``
        overrides ``timing.ping_ms``, and so on.

    Returns
    -------
    settings : Success of DaemonSettings, or Failure of SettingsError
        The error lists every fault with its field path.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            raw = yaml.safe_load(stream)
    except OSError as error:
        return Failure(SettingsError([f"{path}: {error.strerror}"]))
    except yaml.YAMLError as error:
        return Failure(SettingsError([f"{path}: {error}"]))
    if not isinstance(raw, dict):
        return Failure(SettingsError([f"{path}: expected a mapping of settings"]))
    return _structure(_overridden(raw, environment), path)


def _overridden(raw, environment):
    for key, value in environment.items():
        if not key.startswith(ENVIRONMENT_PREFIX):
            continue
        *parents, last = key[len(ENVIRONMENT_PREFIX) :].lower().split("__")
        target = raw
        for parent in parents:
            target = target.setdefault(parent, {})
        target[last] = yaml.safe_load(value)
    return raw


def _structure(raw, path):
    try:
        return Success(_CONVERTER.structure(raw, DaemonSettings))
    except Exception as error:
        faults = cattrs.transform_error(error, path="settings")
        return Failure(SettingsError([f"{path}: {fault}" for fault in faults]))
