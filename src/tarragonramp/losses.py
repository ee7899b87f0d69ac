"""Why requests were refused or failed in a span of time, from the logs of daemons."""

import statistics

import attrs

__all__ = ["Loss", "losses_of", "suppressed_in"]

MOST_EXAMPLES = 3


@attrs.define
class Loss:
    """Requests of one service that were refused or failed for one reason.

    Parameters
    ----------
    service, status, reason : str
        The reason with the rule that decided, where there are several.
    held_ms : list of float
        How long each was held before it was answered.
    examples : list of str
        Ids of some of them, for ``explain-request``.
    """

    service: str
    status: str
    reason: str
    held_ms: list = attrs.Factory(list)
    examples: list = attrs.Factory(list)

    @property
    def count(self):
        """How many requests."""
        return len(self.held_ms)

    @property
    def median_held_ms(self):
        """How long half of them were held at most."""
        return statistics.median(self.held_ms)


def losses_of(lines, since_ms=float("-inf"), until_ms=float("inf")):
    """Return why requests were not served, most frequent reasons first.

    Parameters
    ----------
    lines : iterable of LogLine
    since_ms, until_ms : float
        Time of day by the daemons' clocks, in ms since 1970.

    Returns
    -------
    losses : list of Loss
    """
    found = {}
    for line in _refusals(lines, since_ms, until_ms):
        fields = line.fields
        reason = fields.get("reason", "unknown")
        if fields.get("rule"):
            reason = f"{reason}: {fields['rule']}"
        key = fields.get("service") or "none", fields.get("status", "?"), reason
        loss = found.setdefault(key, Loss(*key))
        loss.held_ms.append(float(fields.get("held_ms", 0.0)))
        if len(loss.examples) < MOST_EXAMPLES and fields.get("id"):
            loss.examples.append(fields["id"])
    return sorted(found.values(), key=lambda loss: loss.count, reverse=True)


def suppressed_in(lines, since_ms=float("-inf"), until_ms=float("inf")):
    """Return how many lines on such requests the daemons left out to bound their logs.

    Parameters
    ----------
    lines, since_ms, until_ms
        As for :func:`losses_of`.
    """
    refusals = _refusals(lines, since_ms, until_ms)
    return sum(int(line.fields.get("suppressed", 0)) for line in refusals)


def _refusals(lines, since_ms, until_ms):
    return (
        line
        for line in lines
        if line.event == "request-refused" and since_ms <= line.at_ms <= until_ms
    )
