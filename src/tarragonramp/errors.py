"""Exception hierarchy of all layers.

Each layer raises or returns the exceptions of its own branch and converts those of the
layer below it.
"""

import attrs

__all__ = [
    "AbandonedError",
    "AddressError",
    "AnswerRevokedError",
    "ConflictError",
    "DocumentError",
    "EntryError",
    "ExchangeError",
    "FaultsError",
    "HistoryGoneError",
    "KernelError",
    "MalformedBodyError",
    "NoConnectionError",
    "NotFoundError",
    "NotSentError",
    "OvertakenError",
    "OvertakenGrantError",
    "PlatformBusyError",
    "PlatformError",
    "PlatformNotSentError",
    "PlatformUnreachableError",
    "RequestError",
    "SendRevokedError",
    "SettingsError",
    "TarragonError",
    "TeamError",
    "UnansweredError",
    "WrongServerError",
]


class TarragonError(Exception):
    """Base class of all exceptions of this package."""


class AddressError(TarragonError):
    """The daemon cannot bind one of its addresses."""


class KernelError(TarragonError):
    """The kernel refuses a socket option that the daemon relies on."""


class FaultsError(TarragonError):
    """Input is invalid.

    Parameters
    ----------
    faults : list of str or of Fault
        Every fault found, each with its field path.
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = list(faults)


class DocumentError(FaultsError):
    """A YAML file cannot be read or is invalid."""


class SettingsError(FaultsError):
    """Settings are invalid."""


class TeamError(FaultsError):
    """A template or team cannot be expanded into services."""


class ExchangeError(TarragonError):
    """An HTTP exchange did not end with a complete response."""


class NotSentError(ExchangeError):
    """No byte of the request was sent, so the request was not executed."""


class NoConnectionError(NotSentError):
    """No connection was open, and opening one was not allowed."""


class SendRevokedError(NotSentError):
    """The request was no longer to be sent once a connection was open."""


class UnansweredError(ExchangeError):
    """The request may have been sent, but no complete response was received.

    Whether the request was executed is unknown.
    """


class OvertakenGrantError(ExchangeError):
    """A server rejected a grant because it has seen a higher fencing token."""


class WrongServerError(ExchangeError):
    """The address that a message was sent to now belongs to another server."""


class AbandonedError(UnansweredError):
    """The exchange was cancelled because nothing waits for its response any more."""


class AnswerRevokedError(UnansweredError):
    """The exchange was broken off because the memory for its response is needed."""


class PlatformError(TarragonError):
    """A call of the platform's object API failed."""


class PlatformUnreachableError(PlatformError):
    """The platform did not answer; a write may or may not have taken effect."""


class PlatformNotSentError(PlatformUnreachableError):
    """No byte of the call was sent, so a write was not executed."""


class PlatformBusyError(PlatformNotSentError):
    """The platform rejected the call because it is busy; nothing was changed."""


class HistoryGoneError(PlatformError):
    """The changes since a version are no longer available; the full state is needed."""


class EntryError(PlatformError):
    """An object written by another writer cannot be parsed."""


class NotFoundError(PlatformError):
    """The object does not exist."""


@attrs.define(eq=False)
class ConflictError(PlatformError):
    """A conditional update was rejected because the object has another version.

    Parameters
    ----------
    expected_version : int
        The version that the update was conditional on.
    current : tarragonramp.model.Stored or None
        The object as the platform stores it now.
    """

    expected_version: int
    current: object

    def __str__(self):
        """Return a message with both versions."""
        now = 0 if self.current is None else self.current.version
        return f"expected version {self.expected_version}, platform holds {now}"


class OvertakenError(ConflictError):
    """A conditional update conflicted after an attempt whose response was lost.

    The update may have been in force before another one replaced it.
    """

    def __str__(self):
        """Return a message with both versions and the uncertainty."""
        return f"{super().__str__()}; this change may have been in force before it"


class MalformedBodyError(TarragonError, ValueError):
    """The body of a request has a malformed framing, or ends early."""


@attrs.define(eq=False)
class RequestError(TarragonError):
    """The router answers a caller's request with an error of its own.

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : str
        ``"not-run"`` or ``"unknown"``.
    reason : str
        Short description of the cause.
    retry_after_s : float or None
        Delay after which the caller may retry.
    inputs : dict
        Values on which the decision is based, for the log.
    """

    status: int
    outcome: str
    reason: str
    retry_after_s: float | None = None
    inputs: dict = attrs.Factory(dict)

    def __str__(self):
        """Return outcome and reason."""
        return f"{self.outcome}: {self.reason}"
