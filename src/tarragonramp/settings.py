"""Settings of a daemon: YAML, checked as a whole before anything starts."""

import os

import attrs
import yaml
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from . import checks
from .documents import Document, Fault, read_file
from .errors import SettingsError
from .structuring import structure

__all__ = [
    "Audit",
    "DaemonSettings",
    "Limits",
    "Security",
    "Timing",
    "check_settings",
    "is_settings",
    "load_settings",
]

ENVIRONMENT_PREFIX = "TARRAGONRAMP_"
COMMAND_PREFIX = "TARRAGONRAMP_COMMAND_"
LOG_LEVELS = ("debug", "info", "warning", "error")
MIN_SECRET_CHARACTERS = 16
MAX_SECRETS = 2

_milliseconds = checks.between


@attrs.frozen
class Timing:
    """Time constants, all in milliseconds, but for ``watchers``.

    Parameters
    ----------
    watchers : int
        Daemons of a failure domain that watch the platform; the others learn from
        them.
    unready_ms : int
        On a stop, how long to say "not ready" and still take new connections.
    drain_idle_ms : int
        On a stop, how long a connection is without a request before it is closed.
    drain_ms : int
        On a stop, how long to wait for requests under way.
    handover_ms : int
        On a stop, how long to try to hand over terms if the platform does not answer.
    """

    ping_ms: int = attrs.field(default=150, validator=_milliseconds(20, 60_000))
    silence_ms: int = attrs.field(default=500, validator=_milliseconds(50, 600_000))
    right_ms: int = attrs.field(default=800, validator=_milliseconds(100, 600_000))
    control_timeout_ms: int = attrs.field(
        default=250, validator=_milliseconds(20, 60_000)
    )
    platform_timeout_ms: int = attrs.field(
        default=2000, validator=_milliseconds(50, 60_000)
    )
    watch_ms: int = attrs.field(default=2000, validator=_milliseconds(100, 600_000))
    vm_list_ms: int = attrs.field(default=1000, validator=_milliseconds(100, 600_000))
    planning_ms: int = attrs.field(default=50, validator=_milliseconds(10, 60_000))
    route_wait_ms: int = attrs.field(default=300, validator=_milliseconds(0, 60_000))
    watchers: int = attrs.field(default=2, validator=checks.between(1, 1000))
    unready_ms: int = attrs.field(default=2000, validator=_milliseconds(0, 600_000))
    drain_idle_ms: int = attrs.field(default=1000, validator=_milliseconds(0, 600_000))
    drain_ms: int = attrs.field(default=10_000, validator=_milliseconds(0, 600_000))
    handover_ms: int = attrs.field(default=10_000, validator=_milliseconds(0, 600_000))
    status_ms: int = attrs.field(default=300, validator=_milliseconds(50, 60_000))


@attrs.frozen
class Limits:
    """Bounds on what one caller's request may bring.

    Parameters
    ----------
    request_line_bytes, header_line_bytes, header_block_bytes : int
        Longest request line, longest header line and all header lines together.
    header_count : int
        Most header lines.
    body_bytes : int
        Longest request body, with or without a declared length.
    answer_bytes : int
        Longest answer body taken from a backend server.
    idle_ms : int
        How long a caller's connection may stay silent before it is closed.
    """

    request_line_bytes: int = attrs.field(
        default=4096, validator=checks.between(64, 8191)
    )
    header_line_bytes: int = attrs.field(
        default=8192, validator=checks.between(64, 65_536)
    )
    header_block_bytes: int = attrs.field(
        default=32_768, validator=checks.between(256, 1 << 20)
    )
    header_count: int = attrs.field(default=100, validator=checks.between(1, 1000))
    idle_ms: int = attrs.field(default=75_000, validator=_milliseconds(100, 3_600_000))
    body_bytes: int = attrs.field(
        default=1_048_576, validator=checks.between(0, 1 << 30)
    )
    answer_bytes: int = attrs.field(
        default=8_388_608, validator=checks.between(1, 1 << 30)
    )


@attrs.frozen
class Security:
    """Who may use the control and peer ports.

    Parameters
    ----------
    operator_secret, operator_secret_file : str
        What the operators' command has to show: itself, or a file with it.
    peer_secret, peer_secret_file : str
        What daemons show each other. A file may hold two lines while a secret is
        replaced: the first is shown, both are accepted.
    insecure : bool
        Serve without secrets; taken only if both ports are on loopback.
    """

    operator_secret: str = attrs.field(default="", repr=False)
    operator_secret_file: str = ""
    peer_secret: str = attrs.field(default="", repr=False)
    peer_secret_file: str = ""
    insecure: bool = False


@attrs.frozen
class Audit:
    """How long the audit trail is kept."""

    keep_entries: int = attrs.field(default=5000, validator=checks.between(100, 15_000))


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
    log_level : {"debug", "info", "warning", "error"}
    timing : Timing
    limits : Limits
    security : Security
    audit : Audit
    """

    name: str = attrs.field(validator=checks.name)
    failure_domain: str = attrs.field(validator=checks.name)
    caller_address: str = attrs.field(validator=checks.address)
    control_address: str = attrs.field(validator=checks.address)
    peer_address: str = attrs.field(validator=checks.address)
    platform_address: str = attrs.field(validator=checks.address)
    advertised_control_address: str = attrs.field(
        default="", validator=checks.address_or_empty
    )
    advertised_peer_address: str = attrs.field(
        default="", validator=checks.address_or_empty
    )
    log_level: str = attrs.field(default="info", validator=checks.one_of(*LOG_LEVELS))
    timing: Timing = Timing()
    limits: Limits = Limits()
    security: Security = Security()
    audit: Audit = Audit()


def load_settings(path, environment=os.environ) -> Result:
    """Read and check a settings file, and read the secrets it names.

    Parameters
    ----------
    path : str
    environment : mapping, default=os.environ
        ``TARRAGONRAMP_NAME`` overrides ``name``, ``TARRAGONRAMP_TIMING__PING_MS``
        overrides ``timing.ping_ms``, and so on. ``TARRAGONRAMP_COMMAND_...`` is the
        operators' command's and left alone.

    Returns
    -------
    settings : Success of DaemonSettings, or Failure of SettingsError
        The error lists every fault with file, line and field path.
    """
    documents = read_file(path)
    if not is_successful(documents):
        return Failure(SettingsError(documents.failure().faults))
    return check_settings(documents.unwrap(), environment).bind(_with_secrets)


def check_settings(documents, environment) -> Result:
    """Check the documents of a settings file, without reading any secret.

    Parameters
    ----------
    documents : sequence of Document
    environment : mapping

    Returns
    -------
    settings : Success of DaemonSettings, or Failure of SettingsError
    """
    document = documents[0]
    if len(documents) > 1 or not isinstance(document.data, dict):
        message = "expected one document, a mapping of settings"
        return Failure(SettingsError([f"{document.source}: {message}"]))
    data, from_environment, faults = _overridden(document.data, environment)
    result = structure(data, DaemonSettings)
    found = result.failure() if not is_successful(result) else []
    found = found or _cross_faults(result.unwrap())
    for fault in found:
        variable = from_environment.get(fault.path)
        faults.append(f"{variable}: {fault}" if variable else document.locate(fault))
    return Failure(SettingsError(faults)) if faults else result


def _overridden(data, environment):
    """Return settings, which variable set which field path, and faults."""
    data = dict(data)
    from_environment, faults = {}, []
    for variable, text in sorted(environment.items()):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        if variable.startswith(COMMAND_PREFIX):
            continue
        steps = variable[len(ENVIRONMENT_PREFIX) :].lower().split("__")
        field_type = _type_at(steps)
        if field_type is None:
            faults.append(f"{variable}: no such setting")
            continue
        path = ".".join(steps)
        try:
            value = text if field_type is str else yaml.safe_load(text)
        except yaml.YAMLError:
            faults.append(f"{variable}: {path}: {text!r} cannot be read")
            continue
        if _put(data, steps, value):
            from_environment[path] = variable
    return data, from_environment, faults


def _type_at(steps):
    """Return the type of a scalar setting, or None if there is none."""
    wanted = DaemonSettings
    for step in steps:
        if not attrs.has(wanted):
            return None
        wanted = getattr(attrs.fields_dict(wanted).get(step), "type", None)
        if wanted is None:
            return None
    return None if attrs.has(wanted) else wanted


def _put(data, steps, value):
    """Set a field; False if the file has something else in place of its parent."""
    *parents, last = steps
    for parent in parents:
        below = data.get(parent, {})
        if not isinstance(below, dict):
            return False
        data[parent] = dict(below)
        data = data[parent]
    data[last] = value
    return True


def _cross_faults(settings):
    return (
        _address_faults(settings)
        + _timing_faults(settings.timing)
        + _security(settings)
    )


def _address_faults(settings):
    faults, seen = [], {}
    for name in ("caller_address", "control_address", "peer_address"):
        address = getattr(settings, name)
        if address in seen:
            faults.append(Fault(name, f"{address!r}: also {seen[address]}"))
        seen[address] = name
    return faults


def _timing_faults(timing):
    faults = []
    if timing.silence_ms < 2 * timing.ping_ms:
        message = f"{timing.silence_ms}: less than two pings (ping_ms {timing.ping_ms})"
        faults.append(Fault("timing.silence_ms", message))
    if timing.right_ms < 2 * timing.ping_ms:
        message = f"{timing.right_ms}: less than two pings (ping_ms {timing.ping_ms})"
        faults.append(Fault("timing.right_ms", message))
    return faults


def _security(settings):
    """Find ports that anybody could use.

    An open control port lets whoever reaches it take a failure domain out; an open
    peer port lets him answer for a daemon, and a term could be held twice.
    """
    security, faults = settings.security, []
    ports = [settings.control_address, settings.peer_address]
    loopback = all(address.startswith("127.") for address in ports)
    for side in ("operator", "peer"):
        value = getattr(security, f"{side}_secret")
        file = getattr(security, f"{side}_secret_file")
        path = f"security.{side}_secret_file"
        if value and file:
            faults.append(Fault(path, f"not together with {side}_secret"))
        if value and len(value) < MIN_SECRET_CHARACTERS:
            message = f"shorter than {MIN_SECRET_CHARACTERS} characters"
            faults.append(Fault(f"security.{side}_secret", message))
        if not value and not file and not loopback:
            faults.append(
                Fault(path, "missing: needed on addresses other than loopback")
            )
        if not value and not file and loopback and not security.insecure:
            message = "missing: give one, or say insecure: true (loopback only)"
            faults.append(Fault(path, message))
    return faults


def _with_secrets(settings) -> Result:
    security, faults = settings.security, []
    for side in ("operator", "peer"):
        path = getattr(security, f"{side}_secret_file")
        if not path:
            continue
        try:
            with open(path, encoding="utf-8") as stream:
                lines = [line.strip() for line in stream if line.strip()]
        except (OSError, UnicodeDecodeError) as error:
            faults.append(f"security.{side}_secret_file: {path}: {error}")
            continue
        too_short = any(len(line) < MIN_SECRET_CHARACTERS for line in lines)
        if not 1 <= len(lines) <= MAX_SECRETS or too_short:
            faults.append(
                f"security.{side}_secret_file: {path}: expected one or two lines of "
                f"{MIN_SECRET_CHARACTERS} characters or more"
            )
            continue
        security = attrs.evolve(security, **{f"{side}_secret": "\n".join(lines)})
    if faults:
        return Failure(SettingsError(faults))
    return Success(attrs.evolve(settings, security=security))


def is_settings(document: Document):
    """Tell whether a document looks like settings rather than a declaration."""
    return isinstance(document.data, dict) and "kind" not in document.data
