"""Checks that daemons heed what servers announce in their answers."""

import collections

__all__ = ["late_after_leaving", "sent_in_pauses"]

MAX_IN_PAUSE, TRANSIT_MS = 2, 500.0
"""Requests that may reach a server from a daemon in a pause that it was asked for, from
this time after the answer."""

DRAIN_MS = 2000.0
"""No request that a caller sends later than this, after it got an answer in which a
server says that it leaves, may reach that server from the same daemon."""

CONTACT_MS = 3000.0
"""Links to a server that were faulty up to this long before may delay its answers."""

LIMIT_KNOWN_MS = 10_000.0
"""How long after a server has named a limit daemons may still hand requests over."""


def sent_in_pauses(run, disturbances, overlaps):
    """Return the pauses in which a daemon sent a server too many requests.

    Servers that have lately named limits are left out: requests for them may be sent by
    another daemon than the one that the caller is connected to.

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
        if not overlaps(disturbances(run, outcome.daemon), since_ms, at_ms):
            found.append(f"{outcome.request_id}: {server}, told at {since_ms}")
    return found


def _parse_ms(text):
    """Return a pause in ms; None if the server wrote something else."""
    return float(text) * 1000.0 if text.replace(".", "", 1).isdecimal() else None
