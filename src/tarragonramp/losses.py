"""Summary of refused and failed requests, computed from the logs of daemons."""

import statistics

import attrs

__all__ = ["LossGroup", "count_suppressed", "group_losses"]

MAX_EXAMPLES = 3


@attrs.define
class LossGroup:
    """Requests of one service that were refused or failed for one reason.

    Parameters
    ----------
    service, status, reason : str
        The reason includes the rule that led to it, where there are several.
    held_ms : list of float
        How long each request was held before it was answered.
    examples : list of str
        Ids of some of the requests, for ``explain-request``.
    """

    service: str
    status: str
    reason: str
    held_ms: list = attrs.Factory(list)
    examples: list = attrs.Factory(list)

    @property
    def count(self):
        """Number of requests."""
        return len(self.held_ms)

    @property
    def median_held_ms(self):
        """Median of the times for which the requests were held."""
        return statistics.median(self.held_ms)


def group_losses(lines, since_ms=float("-inf"), until_ms=float("inf")):
    """Group requests that were not served by service, status and reason.

    Parameters
    ----------
    lines : iterable of LogLine
    since_ms, until_ms : float
        Bounds of the time range, both included, in ms since the Unix epoch by the
        daemons' clocks.

    Returns
    -------
    losses : list of LossGroup
        The largest groups first.
    """
    found = {}
    for line in _refusals(lines, since_ms, until_ms):
        fields = line.fields
        reason = fields.get("reason", "unknown")
        if fields.get("rule"):
            reason = f"{reason}: {fields['rule']}"
        key = fields.get("service") or "none", fields.get("status", "?"), reason
        group = found.setdefault(key, LossGroup(*key))
        group.held_ms.append(float(fields.get("held_ms", 0.0)))
        if len(group.examples) < MAX_EXAMPLES and fields.get("id"):
            group.examples.append(fields["id"])
    return sorted(found.values(), key=lambda group: group.count, reverse=True)


def count_suppressed(lines, since_ms=float("-inf"), until_ms=float("inf")):
    """Return how many refusals were not logged because of the daemons' rate limits.

    Parameters
    ----------
    lines, since_ms, until_ms
        As for :func:`group_losses`.
    """
    refusals = _refusals(lines, since_ms, until_ms)
    return sum(int(line.fields.get("suppressed", 0)) for line in refusals)


def _refusals(lines, since_ms, until_ms):
    return (
        line
        for line in lines
        if line.event == "request-refused" and since_ms <= line.at_ms <= until_ms
    )
