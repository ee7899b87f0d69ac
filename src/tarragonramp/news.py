"""Messages by which daemons exchange updates."""

import attrs

from .model import Stored
from .vms import VmChanges

__all__ = ["NewsAnswer", "NewsQuestion"]


@attrs.frozen
class NewsQuestion:
    """Asks another daemon for everything that the sender lacks.

    Parameters
    ----------
    since : int
        The sender has applied all changes up to this version.
    newest : int
        Highest version that the sender has seen.
    vms_digest : str
        Digest of the sender's list of VMs.
    reached : bool
        Whether the sender believes that it gets the platform's updates.
    wait_ms : float
        How long the answer may wait for something new.
    """

    since: int
    newest: int
    vms_digest: str
    reached: bool
    wait_ms: float


@attrs.frozen
class NewsAnswer:
    """Everything that a daemon knows beyond a question.

    Parameters
    ----------
    version : int
        The items are complete up to this version.
    items : tuple of Stored
    vms : VmChanges or None
        None if the list of VMs is unchanged.
    reached : bool
        Whether this daemon gets the platform's updates.
    """

    version: int
    items: tuple[Stored, ...]
    vms: VmChanges | None
    reached: bool
