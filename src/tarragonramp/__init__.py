"""tarragonramp: a router for servers that own their keys exclusively."""

from .clock import Clock, ManualClock
from .errors import TarragonError
from .leases import Grant, GrantLedger, ServerAnswer
from .model import Assignment, Service, SliceState, Team, Template, Term
from .placement import ServerView, next_slices
from .slices import slice_of
from .teams import expand
from .terms import HeldTerm, Takeover, may_claim

__all__ = [
    "Assignment",
    "Clock",
    "Grant",
    "GrantLedger",
    "HeldTerm",
    "ManualClock",
    "ServerAnswer",
    "ServerView",
    "Service",
    "SliceState",
    "Takeover",
    "TarragonError",
    "Team",
    "Template",
    "Term",
    "expand",
    "may_claim",
    "next_slices",
    "slice_of",
]
__version__ = "0.1.0"
