"""Data model shared by daemons, the operators' command and the platform."""

from typing import Any

import attrs

from . import checks

__all__ = [
    "Assignment",
    "CallerClass",
    "KeySource",
    "FailureDomain",
    "Member",
    "Parameter",
    "Service",
    "SliceState",
    "Stored",
    "Team",
    "Template",
    "Term",
    "Vm",
]

KIND_TEMPLATE = "Template"
KIND_TEAM = "Team"
KIND_FAILURE_DOMAIN = "FailureDomain"
KIND_ASSIGNMENT = "Assignment"
KIND_TERM = "Term"
KIND_MEMBER = "Member"
KIND_STATUS = "Status"
KIND_AUDIT_ENTRY = "AuditEntry"

VIEWED_KINDS = (
    KIND_TEMPLATE,
    KIND_TEAM,
    KIND_FAILURE_DOMAIN,
    KIND_ASSIGNMENT,
    KIND_TERM,
    KIND_MEMBER,
    KIND_STATUS,
)
"""Kinds that daemons follow. The audit trail is left out: it only grows and is read on
demand."""

# States of a slice.
OWNED = "owned"
RELEASING = "releasing"
UNOWNED = "unowned"

# Declared states of a failure domain.
IN = "in"
OUT = "out"
LOST = "lost"

# A team's setting ``on_silence``.
HOLD = "hold"

MAX_SLICES = 16_384
"""Maximum number of slices of a service: an assignment fits into one value of the
platform even if no two neighbouring slices have the same owner."""

# States of a VM in the platform's list.
LIVE = "live"
DEPARTED = "departed"

# Conditions of a backend server in its steward's report.
UP = "up"
SILENT = "silent"
UNKNOWN = "unknown"


@attrs.frozen
class Stored:
    """One object as stored by the platform.

    Parameters
    ----------
    kind, name : str
    version : int
        Increases with every write to the platform; 0 means that there is no object.
    spec : dict or None
        None if the object is deleted.
    """

    kind: str
    name: str
    version: int
    spec: dict | None


@attrs.frozen
class Vm:
    """A VM in the platform's list, which may lag behind.

    Parameters
    ----------
    name : str
    address : str
        ``ip:port`` of its backend server.
    failure_domain : str
    team, service : str
        Team and service that the backend server belongs to.
    state : {"live", "departing", "departed"}
        A departing VM is still running; on a departed one no process runs any more.
    """

    name: str
    address: str
    failure_domain: str
    team: str
    service: str
    state: str = LIVE


@attrs.frozen
class Member:
    """A registered daemon.

    Parameters
    ----------
    name : str
    boot_id : str
        Unique for each process.
    failure_domain : str
    control_address, peer_address : str
        ``ip:port`` for HTTP control and for gRPC.
    unproven : tuple of str
        Boot ids of earlier processes of this name that may still run: they had other
        addresses, so that this registration does not prove that they have ended.
    """

    name: str
    boot_id: str
    failure_domain: str
    control_address: str
    peer_address: str
    unproven: tuple[str, ...] = ()

    @property
    def identity(self):
        """Name and boot id, which identify one process."""
        return f"{self.name}#{self.boot_id}"


@attrs.frozen
class KeySource:
    """Where a request carries the key of a divided service.

    Parameters
    ----------
    source : {"none", "header", "path", "query"}
    name : str
        Name of the header or query field; for ``path``, the zero-based index of the
        path segment after the prefix.
    """

    source: str = attrs.field(
        default="none", validator=checks.one_of("none", "header", "path", "query")
    )
    name: str = ""


@attrs.frozen
class CallerClass:
    """A class of requests with the same priority and deadline.

    Parameters
    ----------
    name : str
    methods : tuple of str
        Methods that belong to the class.
    path_prefix : str
        Path prefix of the class, relative to the service's prefix.
    priority : int
        Lower values are served first.
    deadline_ms : int
        Maximum time that a caller of the class waits.
    idempotent : bool
        Whether a request may be sent again after an unknown outcome.
    """

    name: str = attrs.field(validator=checks.name)
    methods: tuple[str, ...] = attrs.field(
        default=("GET", "HEAD"),
        validator=checks.each(checks.one_of(*checks.METHODS)),
    )
    path_prefix: str = attrs.field(default="/", validator=checks.path_prefix)
    priority: int = attrs.field(default=1, validator=checks.between(0, 9))
    deadline_ms: int = attrs.field(default=2000, validator=checks.between(10, 600_000))
    idempotent: bool = False


@attrs.frozen
class Service:
    """One service of a team, with the template's parameters filled in.

    Parameters
    ----------
    name : str
    path_prefix : str
        Path prefix of the requests for this service.
    divided_by : KeySource
    n_slices : int
        Number of slices of a divided service.
    slots_per_server, connections_per_server, cold_slots_per_server : int
        Capacity of a backend server: requests processed at once, open connections, and
        requests processed at once in a cold start.
    checks_grants : bool
        Whether the backend servers refuse a superseded steward or token.
    grant_ms, renewal_ms : int
        Duration of a grant, and interval between its renewals.
    classes : tuple of CallerClass
        The first match applies.
    """

    name: str = attrs.field(validator=checks.name)
    path_prefix: str = attrs.field(validator=checks.path_prefix)
    divided_by: KeySource = KeySource()
    n_slices: int = attrs.field(default=64, validator=checks.between(1, MAX_SLICES))
    slots_per_server: int = attrs.field(default=4, validator=checks.between(1, 10_000))
    connections_per_server: int = attrs.field(
        default=50, validator=checks.between(1, 100_000)
    )
    cold_slots_per_server: int = attrs.field(
        default=1, validator=checks.between(1, 10_000)
    )
    checks_grants: bool = False
    grant_ms: int = attrs.field(default=1200, validator=checks.between(200, 600_000))
    renewal_ms: int = attrs.field(default=250, validator=checks.between(20, 60_000))
    classes: tuple[CallerClass, ...] = ()

    @property
    def divided(self):
        """Whether the keys of this service have owners."""
        return self.divided_by.source != "none"


@attrs.frozen
class Parameter:
    """A parameter of a template; without a default it must be given.

    Parameters
    ----------
    type : {"string", "integer", "number", "boolean"}
    default : object, optional
        A value of that type.
    required : bool
        Whether a team must give it even though there is a default.
    description : str
    """

    type: str = attrs.field(
        default="string",
        validator=checks.one_of("string", "integer", "number", "boolean"),
    )
    default: Any = None
    required: bool = False
    description: str = ""


@attrs.frozen
class Template:
    """Services with ``${parameter}`` placeholders.

    Parameters
    ----------
    parameters : dict of str to Parameter
    services : list of dict
        Fields of :class:`Service`, any scalar of which may be ``${name}``.
    request_id : str
        Of the write; identifies it if the response is lost.
    """

    services: list[dict]
    parameters: dict[str, Parameter] = attrs.Factory(dict)
    request_id: str = ""


@attrs.frozen
class Team:
    """An operator's declaration of a team: a template and values for its parameters.

    Parameters
    ----------
    template : str
    parameters : dict
        Values by parameter name.
    domain_weights : dict of str to float
        Relative share of the keys for the servers of a failure domain; 1 if not listed,
        0 for none.
    on_silence : {"hold"}
        What happens to the keys of a failure domain that does not answer: they stay
        with their owners until it is proved that these have released them.
    leaving : bool
        Whether the team is being deleted: it takes no requests, and is deleted once it
        is proved that the owners have released its keys.
    request_id : str
        Of the write.
    """

    template: str = attrs.field(validator=checks.name)
    parameters: dict[str, Any] = attrs.Factory(dict)
    domain_weights: dict[str, float] = attrs.field(
        factory=dict, validator=checks.values_between(0, 1000)
    )
    on_silence: str = attrs.field(default=HOLD, validator=checks.one_of(HOLD))
    leaving: bool = False
    request_id: str = ""


@attrs.frozen
class FailureDomain:
    """The state of a failure domain as declared by an operator.

    Parameters
    ----------
    state : {"in", "out", "lost"}
        ``lost`` declares that no process runs there any more, which counts as proof
        that its servers own nothing.
    changed_by : str
    request_id : str
        Of the write.
    """

    state: str = attrs.field(default=IN, validator=checks.one_of(IN, OUT, LOST))
    changed_by: str = ""
    request_id: str = ""


@attrs.frozen
class SliceState:
    """Owner and fencing token of one slice.

    Parameters
    ----------
    state : {"owned", "releasing", "unowned"}
    server : str
        The owner; while releasing, the server that may still act as owner.
    token : int
        Increases with every change of owner.
    """

    state: str = UNOWNED
    server: str = ""
    token: int = 0


@attrs.frozen
class Assignment:
    """Owners of the slices of one service.

    Parameters
    ----------
    team, service : str
    slices : tuple of SliceState
        Indexed by slice.
    stewards : dict of str to int
        By server, the term of the steward whose proofs of release count. A steward
        sends no grants until it has seen its own term here: by then it has seen every
        change of owner that was made without its proof.
    request_id : str
        Of the write; identifies it if the response is lost.
    """

    team: str
    service: str
    slices: tuple[SliceState, ...]
    stewards: dict[str, int] = attrs.Factory(dict)
    request_id: str = ""

    def to_spec(self):
        """Return the stored form, with neighbouring equal slices joined into ranges."""
        ranges = []
        for index, item in enumerate(self.slices):
            if ranges and ranges[-1][2:] == [item.state, item.server, item.token]:
                ranges[-1][1] += 1
                continue
            ranges.append([index, 1, item.state, item.server, item.token])
        return {
            "team": self.team,
            "service": self.service,
            "ranges": ranges,
            "stewards": self.stewards,
            "request_id": self.request_id,
        }

    @classmethod
    def from_spec(cls, spec):
        """Return the assignment for its stored form.

        Parameters
        ----------
        spec : dict
            As written by :meth:`to_spec`.
        """
        slices = []
        for _, count, state, server, token in spec["ranges"]:
            slices.extend([SliceState(state, server, token)] * count)
        return cls(
            team=spec["team"],
            service=spec["service"],
            slices=tuple(slices),
            stewards=spec["stewards"],
            request_id=spec["request_id"],
        )


@attrs.frozen
class Term:
    """A role that at most one daemon holds at a time.

    Parameters
    ----------
    number : int
        Fencing token of the role.
    holder : str
        Identity of the process that holds it; empty if it was given up.
    successor : str
        Identity of the only process that may take over from a silent holder.
    request_id : str
        Of the write.
    lasting : bool
        Whether the holder may keep renewing grants of the server process that it knows
        after its right has ended. Waiting then proves nothing about the holder.
    unbounded : bool
        Whether an earlier holder may still be doing so.
    settled : bool
        Whether the rights of all earlier holders had ended when this term was written.
    right_ms, grant_ms : float
        Longest right and longest grant that this holder uses, or that an earlier one
        used and that may still be valid. Settings may change, and a new holder has to
        wait for the durations that were in force then.
    """

    number: int
    holder: str
    successor: str = ""
    request_id: str = ""
    lasting: bool = False
    unbounded: bool = False
    settled: bool = False
    right_ms: float = 0.0
    grant_ms: float = 0.0

    @classmethod
    def from_spec(cls, spec):
        """Return the term for its stored form; unknown fields are ignored."""
        known = {field.name for field in attrs.fields(cls)}
        return cls(**{name: item for name, item in spec.items() if name in known})
