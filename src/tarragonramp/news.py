"""What daemons tell each other about changes."""

import attrs

from .model import Stored
from .vms import VmChanges

__all__ = ["NewsAnswer", "NewsQuestion"]


@attrs.frozen
class NewsQuestion:
    """Ask another daemon for what this one lacks.

    Parameters
    ----------
    since : int
        The sender has taken in every change up to this version.
    newest : int
        Highest version it has seen.
    vms_digest : str
        Of its list of VMs.
    reached : bool
        Whether it believes that news of the platform arrives.
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
    """What the other daemon knows beyond the question.

    Parameters
    ----------
    version : int
        The items are complete up to it.
    items : tuple of Stored
    vms : VmChanges or None
        None if the list of VMs is the same.
    reached : bool
        Whether news of the platform arrives there.
    """

    version: int
    items: tuple[Stored, ...]
    vms: VmChanges | None
    reached: bool
