"""Daemon settings, read from YAML and validated in full before the daemon starts."""

import os

import attrs
import yaml
from returns.result import Failure, Result, Success

from . import checks
from .documents import Document, Fault, read_file
from .errors import SettingsError
from .results import is_successful
from .sizes import Limits, Resources
from .structuring import structure

__all__ = [
    "Audit",
    "DaemonSettings",
    "Limits",
    "Resources",
    "Security",
    "Timing",
    "check_settings",
    "is_settings",
    "load_settings",
]

ENVIRONMENT_PREFIX = "TARRAGONRAMP_"
COMMAND_ENVIRONMENT_PREFIX = "TARRAGONRAMP_COMMAND_"
LOG_LEVELS = ("debug", "info", "warning", "error")
MIN_SECRET_LENGTH = 16
MAX_SECRETS = 2

_milliseconds = checks.between


@attrs.frozen
class Timing:
    """Intervals and timeouts in milliseconds, and the number of ``watchers``.

    Parameters
    ----------
    ping_ms : int
        Interval between pings to the neighbours in the ring.
    silence_ms : int
        Silence of a term's holder after which its named successor takes the term over.
    right_ms : int
        How long the holder of a term may act after its successor last confirmed it.
        Has to be the same on all daemons, because a successor waits this long before it
        acts.
    control_timeout_ms : int
        Timeout of pings, grants and calls between daemons.
    platform_timeout_ms : int
        Timeout of calls to the platform other than watches.
    watch_ms : int
        How long one watch call waits for changes.
    vm_list_ms : int
        Interval at which a watching daemon reads the VM list.
    planning_ms : int
        Interval between the steps of moves in progress.
    route_wait_ms : int
        How long a request waits for a key that is being moved.
    watchers : int
        Number of daemons in a failure domain that watch the platform; the others get
        their updates from these.
    unready_ms : int
        On shutdown, how long to report "not ready" while still accepting connections.
    drain_idle_ms : int
        On shutdown, how long a connection has to be idle before it is closed.
    drain_ms : int
        On shutdown, how long to wait for requests in flight.
    handover_ms : int
        On shutdown, how long to retry handing over terms while the platform does not
        answer.
    status_ms : int
        Minimum interval between two reports of the version in force.
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
class Security:
    """Authentication on the control and peer ports.

    Parameters
    ----------
    operator_secret, operator_secret_file : str
        Secret that the operators' command has to present, or a file that contains it.
    peer_secret, peer_secret_file : str
        Secret that daemons present to each other, or a file that contains it. While a
        secret is being rotated, the file may hold two lines: the first is presented,
        both are accepted.
    insecure : bool
        Serve without secrets; accepted only if both ports are on loopback.
    """

    operator_secret: str = attrs.field(default="", repr=False)
    operator_secret_file: str = ""
    peer_secret: str = attrs.field(default="", repr=False)
    peer_secret_file: str = ""
    insecure: bool = False


@attrs.frozen
class Audit:
    """Retention of the audit trail.

    Parameters
    ----------
    keep_entries : int
        Number of entries to keep; older ones are pruned.
    """

    keep_entries: int = attrs.field(default=5000, validator=checks.between(100, 15_000))


@attrs.frozen
class DaemonSettings:
    """Settings of one daemon.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    failure_domain : str
    caller_address, control_address, peer_address : str
        ``ip:port`` to listen on for callers, for the HTTP control API and for gRPC.
    platform_address : str
        ``ip:port`` of the platform's object API.
    advertised_control_address, advertised_peer_address : str, default=""
        Addresses at which other daemons reach this one, if they differ from the
        addresses it binds.
    log_level : {"debug", "info", "warning", "error"}
    timing : Timing
    limits : Limits
    resources : Resources
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
    resources: Resources = Resources()
    security: Security = Security()
    audit: Audit = Audit()


def load_settings(path, environment=os.environ) -> Result:
    """Read and validate a settings file and the secret files that it names.

    Parameters
    ----------
    path : str
    environment : mapping, default=os.environ
        ``TARRAGONRAMP_NAME`` overrides ``name``, ``TARRAGONRAMP_TIMING__PING_MS``
        overrides ``timing.ping_ms``, and so on. ``TARRAGONRAMP_COMMAND_...`` belongs to
        the operators' command and is ignored.

    Returns
    -------
    settings : Success of DaemonSettings, or Failure of SettingsError
        The error lists every fault with its file, line and field path.
    """
    documents = read_file(path)
    if not is_successful(documents):
        return Failure(SettingsError(documents.failure().faults))
    return check_settings(documents.unwrap(), environment).bind(_load_secrets)


def check_settings(documents, environment) -> Result:
    """Validate the documents of a settings file without reading the secret files.

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
    data, from_environment, faults = _apply_environment(document.data, environment)
    result = structure(data, DaemonSettings)
    found = result.failure() if not is_successful(result) else []
    found = found or _consistency_faults(result.unwrap())
    for fault in found:
        variable = from_environment.get(fault.path)
        faults.append(f"{variable}: {fault}" if variable else document.locate(fault))
    return Failure(SettingsError(faults)) if faults else result


def _apply_environment(data, environment):
    """Apply environment variables to settings data.

    Returns
    -------
    data : dict
    from_environment : dict of str to str
        Variable by the field path that it has set.
    faults : list of str
    """
    data = dict(data)
    from_environment, faults = {}, []
    for variable, text in sorted(environment.items()):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        if variable.startswith(COMMAND_ENVIRONMENT_PREFIX):
            continue
        path_parts = variable[len(ENVIRONMENT_PREFIX) :].lower().split("__")
        field_type = _setting_type(path_parts)
        if field_type is None:
            faults.append(f"{variable}: no such setting")
            continue
        path = ".".join(path_parts)
        try:
            value = text if field_type is str else yaml.safe_load(text)
        except yaml.YAMLError:
            faults.append(f"{variable}: {path}: {text!r} cannot be parsed as YAML")
            continue
        if _set_field(data, path_parts, value):
            from_environment[path] = variable
    return data, from_environment, faults


def _setting_type(path_parts):
    """Return the type of a scalar setting, or None if there is no such setting."""
    current_type = DaemonSettings
    for step in path_parts:
        if not attrs.has(current_type):
            return None
        current_type = getattr(attrs.fields_dict(current_type).get(step), "type", None)
        if current_type is None:
            return None
    return None if attrs.has(current_type) else current_type


def _set_field(data, path_parts, value):
    """Set a field; return False if a parent of it is not a mapping in the file."""
    *parents, last = path_parts
    for parent in parents:
        section = data.get(parent, {})
        if not isinstance(section, dict):
            return False
        data[parent] = dict(section)
        data = data[parent]
    data[last] = value
    return True


def _consistency_faults(settings):
    """Return the faults of settings that are valid by themselves but not together."""
    return (
        _address_faults(settings)
        + _timing_faults(settings.timing)
        + _security_faults(settings)
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


def _security_faults(settings):
    """Return a fault for each port that would accept unauthenticated calls.

    Anyone who reaches an unprotected control port could take a failure domain out of
    service. On an unprotected peer port, they could impersonate a daemon, so that two
    daemons hold the same term.
    """
    security, faults = settings.security, []
    ports = [settings.control_address, settings.peer_address]
    loopback = all(address.startswith("127.") for address in ports)
    for port_role in ("operator", "peer"):
        value = getattr(security, f"{port_role}_secret")
        file = getattr(security, f"{port_role}_secret_file")
        path = f"security.{port_role}_secret_file"
        if value and file:
            faults.append(Fault(path, f"cannot be combined with {port_role}_secret"))
        if value and len(value) < MIN_SECRET_LENGTH:
            message = f"shorter than {MIN_SECRET_LENGTH} characters"
            faults.append(Fault(f"security.{port_role}_secret", message))
        if not value and not file and not loopback:
            faults.append(
                Fault(path, "missing: needed on addresses other than loopback")
            )
        if not value and not file and loopback and not security.insecure:
            message = "missing: give one, or set insecure: true (loopback only)"
            faults.append(Fault(path, message))
    return faults


def _load_secrets(settings) -> Result:
    """Return the settings with the secrets read from the files that they name."""
    security, faults = settings.security, []
    for port_role in ("operator", "peer"):
        path = getattr(security, f"{port_role}_secret_file")
        if not path:
            continue
        try:
            with open(path, encoding="utf-8") as stream:
                lines = [line.strip() for line in stream if line.strip()]
        except (OSError, UnicodeDecodeError) as error:
            faults.append(f"security.{port_role}_secret_file: {path}: {error}")
            continue
        too_short = any(len(line) < MIN_SECRET_LENGTH for line in lines)
        if not 1 <= len(lines) <= MAX_SECRETS or too_short:
            faults.append(
                f"security.{port_role}_secret_file: {path}: expected one or two "
                f"lines of {MIN_SECRET_LENGTH} characters or more"
            )
            continue
        security = attrs.evolve(security, **{f"{port_role}_secret": "\n".join(lines)})
    if faults:
        return Failure(SettingsError(faults))
    return Success(attrs.evolve(settings, security=security))


def is_settings(document: Document):
    """Return whether a document contains settings rather than a declaration."""
    return isinstance(document.data, dict) and "kind" not in document.data
