"""Limits that all daemons keep together, without I/O.

docs/PLATFORM.md, "Shared limits", shows for each of them why the sum over all daemons
holds.
"""

from .caps import CLOCK_DRIFT, MARGIN_MS, SHARE_MS, CapBounds, UsageCap
from .cold_start import ColdStartLimiter
from .dealer import PART_STEPS, ShareDealer
from .holder import ShareHolder
from .lenders import Lenders
from .rates import SentRequests, divide, rank_by_hash
from .retries import RetryBudget, WindowedRetryBudget
from .servers import ServerLimits

__all__ = [
    "CLOCK_DRIFT",
    "MARGIN_MS",
    "PART_STEPS",
    "SHARE_MS",
    "CapBounds",
    "ColdStartLimiter",
    "Lenders",
    "RetryBudget",
    "SentRequests",
    "ServerLimits",
    "ShareDealer",
    "ShareHolder",
    "UsageCap",
    "WindowedRetryBudget",
    "divide",
    "rank_by_hash",
]
