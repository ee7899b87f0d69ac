"""Checks that daemons heed what servers announce in their answers."""

import collections

__all__ = ["delegating_spans", "late_after_leaving", "sent_in_pauses"]

MAX_IN_PAUSE, TRANSIT_MS = 2, 500.0
"""Requests that may reach a server from a daemon in a pause that it was asked for, from
this time after the answer."""

DRAIN_MS = 2000.0
"""No request that a caller sends later than this, after it got an answer in which a
server says that it leaves, may reach that server from the same daemon."""

CONTACT_MS = 3000.0
"""Links to a server that were faulty up to this long before may delay its answers."""

HAND_OVER_MS = 1500.0
"""How long a request that was handed to another daemon may take."""

LIMIT_KNOWN_MS = 10_000.0
"""How long after a server has named a limit daemons may still hand requests over."""


def sent_in_pauses(run, disturbances, overlaps):
    """Return the pauses in which a daemon sent a server too many requests.

    Left out is what another daemon may have sent than the one that the caller is
    connected to: to servers that have lately named limits, and while the caller's
    daemon reaches no server.

    Parameters
    ----------
    run : RunRecord
    disturbances : callable
        Returns the spans in which a daemon, by name, was not running or cut off.
    overlaps : callable
        Tells whether any of some spans overlaps a time.
    """
    daemons = {outcome.request_id: outcome.daemon for outcome in run.outcomes}
    arrivals, pauses, limited = collections.defaultdict(list), [], []
    for server, life, event, at_ms, *details in run.entries:
        if event == "arrival":
            arrivals[server, life, daemons.get(details[0], "")].append(at_ms)
            if len(details) > 1 and details[1]:
                limited.append((server, at_ms, at_ms + LIMIT_KNOWN_MS))
        if event == "asked-to-wait" and (for_ms := _parse_ms(details[1])) is not None:
            pauses.append((server, life, daemons.get(details[0], ""), at_ms, for_ms))
    found = []
    for server, life, daemon, at_ms, for_ms in pauses:
        until_ms = at_ms + for_ms
        links = [span[1:] for span in run.link_faults if span[0] == server]
        limits = [span[1:] for span in limited if span[0] == server]
        if overlaps(links, at_ms - CONTACT_MS, until_ms):
            continue
        if overlaps(limits, at_ms, until_ms):
            continue
        if overlaps(_handed_over(run, daemon), at_ms, until_ms):
            continue
        if overlaps(disturbances(run, daemon), at_ms, until_ms):
            continue
        times_ms = arrivals[server, life, daemon]
        n_sent = sum(at_ms + TRANSIT_MS < sent < until_ms for sent in times_ms)
        if n_sent > MAX_IN_PAUSE:
            found.append(f"{server}: {n_sent} of {daemon} in {for_ms} ms at {at_ms}")
    return found


def late_after_leaving(run, disturbances, overlaps):
    """Return the requests that reached a server later than it said that it leaves.

    The parameters are those of :func:`sent_in_pauses`.
    """
    outcomes = {outcome.request_id: outcome for outcome in run.outcomes}
    told_ms, found = {}, []
    for server, life, event, _, *details in run.entries:
        outcome = outcomes.get(details[0]) if event == "leaving-said" else None
        if outcome is not None and outcome.status == 200:
            key = server, life, outcome.daemon
            answered_ms = outcome.answered_ms
            told_ms[key] = min(told_ms.get(key, answered_ms), answered_ms)
    for server, life, event, at_ms, *details in run.entries:
        outcome = outcomes.get(details[0]) if event == "arrival" else None
        since_ms = outcome and told_ms.get((server, life, outcome.daemon))
        if since_ms is None or outcome.sent_ms <= since_ms + DRAIN_MS:
            continue
        if overlaps(_handed_over(run, outcome.daemon), since_ms, at_ms):
            continue
        if not overlaps(disturbances(run, outcome.daemon), since_ms, at_ms):
            found.append(f"{outcome.request_id}: {server}, told at {since_ms}")
    return found


def delegating_spans(lines, end_ms):
    """Return from when to when a daemon reached no server, by its log.

    Parameters
    ----------
    lines : iterable of LogLine
    end_ms : float
        End of a span that has no other.
    """
    spans, since_ms = [], None
    for line in lines:
        if line.event == "servers-not-reached" and since_ms is None:
            since_ms = line.at_ms
        if (
            line.event in ("servers-reached", "daemon-starting")
            and since_ms is not None
        ):
            spans.append((since_ms, line.at_ms))
            since_ms = None
    return spans if since_ms is None else [*spans, (since_ms, end_ms)]


def _handed_over(run, daemon):
    """Return the spans in which other daemons may send what a daemon's callers send."""
    return [
        (from_ms, to_ms + HAND_OVER_MS)
        for name, from_ms, to_ms in run.delegating
        if name == daemon
    ]


def _parse_ms(text):
    """Return a pause in ms; None if the server wrote something else."""
    return float(text) * 1000.0 if text.replace(".", "", 1).isdecimal() else None
