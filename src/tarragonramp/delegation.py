"""What two daemons tell each other about a request that one hands to the other."""

import json

import attrs

__all__ = ["DELEGATION_HEADER", "DECLINED", "REFUSED", "SERVED", "Delegation", "Report"]

DELEGATION_HEADER = "tarragon-delegation"
"""Name of the header with a Delegation in a request, or a Report in its response."""

SERVED, REFUSED, DECLINED = "served", "refused", "declined"


@attrs.frozen
class Delegation:
    """State of a request when it is handed to another daemon.

    Parameters
    ----------
    elapsed_ms : float
        Time since the head of the request was read.
    service : str
    manifest_version : int
        Version that the delegate must know at least.
    tried : list of str
        Servers that may have run it.
    is_credited : bool
        Whether the retry budget has been credited for it.
    is_unpaid_retry : bool
        Whether a server has got it and no retry budget has paid for the next send.
    team : str or None
        Name of the caller's team, empty if it has none; None if callers need no key.
    """

    elapsed_ms: float
    service: str
    manifest_version: int
    tried: list = attrs.Factory(list)
    is_credited: bool = False
    is_unpaid_retry: bool = False
    team: str | None = None

    def to_header(self):
        """Return the header as a (str, str) pair."""
        fields = attrs.asdict(self)
        if self.team is None:
            del fields["team"]
        return DELEGATION_HEADER, json.dumps(fields)

    @classmethod
    def from_header(cls, text):
        """Return the Delegation of a header's value; ValueError if it is invalid."""
        raw = _read_fields(text)
        return cls(
            max(0.0, float(raw["elapsed_ms"])),
            str(raw["service"]),
            int(raw["manifest_version"]),
            [str(name) for name in raw["tried"]],
            bool(raw["is_credited"]),
            bool(raw.get("is_unpaid_retry", False)),
            None if raw.get("team") is None else str(raw["team"]),
        )


@attrs.frozen
class Report:
    """What became of a request at its delegate.

    Parameters
    ----------
    result : {"served", "refused", "declined"}
        A declined request was not run, and another daemon may take it.
    manifest_version : int
        Version by which the delegate handled it.
    outcome, reason : str
        Of a refusal, as for RequestError.
    retry_after_s : float or None
    was_sent : bool
        Whether a server has got the request.
    leaving : tuple of (str, int)
        Names and lives of servers that have told the delegate that they leave.
    """

    result: str
    manifest_version: int
    outcome: str = ""
    reason: str = ""
    retry_after_s: float | None = None
    was_sent: bool = False
    leaving: tuple = ()

    def to_header(self):
        """Return the header as a (str, str) pair."""
        fields = attrs.asdict(self)
        if not self.leaving:
            del fields["leaving"]
        return DELEGATION_HEADER, json.dumps(fields)

    @classmethod
    def from_header(cls, text):
        """Return the Report of a header's value; ValueError if it is invalid."""
        raw = _read_fields(text)
        retry_after_s = raw["retry_after_s"]
        return cls(
            str(raw["result"]),
            int(raw["manifest_version"]),
            str(raw["outcome"]),
            str(raw["reason"]),
            None if retry_after_s is None else float(retry_after_s),
            bool(raw.get("was_sent", False)),
            tuple((str(name), int(life)) for name, life in raw.get("leaving", ())),
        )


class _Fields(dict):
    def __missing__(self, name):
        raise ValueError(f"delegation header lacks {name}")


def _read_fields(text):
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError("delegation header is not a mapping")
    return _Fields(raw)
