"""tarragonramp: a router for servers that own their keys exclusively."""

import importlib

_MODULES = {
    "Assignment": "model",
    "Clock": "clock",
    "Grant": "leases",
    "GrantLedger": "leases",
    "HeldTerm": "terms",
    "ManualClock": "clock",
    "ServerAnswer": "leases",
    "ServerView": "placement",
    "Service": "model",
    "SliceState": "model",
    "Takeover": "terms",
    "TarragonError": "errors",
    "Team": "model",
    "Template": "model",
    "Term": "model",
    "expand": "teams",
    "may_claim": "terms",
    "next_slices": "placement",
    "slice_of": "slices",
}
"""Module of each public name. Imported on first use: a daemon needs few of them, and
its start delays callers."""

__all__ = sorted(_MODULES)  # noqa: PLE0605
__version__ = "0.1.0"


def __getattr__(name):
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_MODULES[name]}", __name__), name)


def __dir__():
    return sorted([*globals(), *__all__])
