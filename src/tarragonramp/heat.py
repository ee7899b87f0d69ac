"""How busy keys are: what daemons count, and what the leader makes of it."""

import math

import attrs

__all__ = ["Heat", "HeatCounts", "WorkCounts"]

HALF_LIFE_MS = 1500.0
"""Time in which half of the counted work for a key is forgotten: keys become busy
within seconds."""

LEAST_WORK_MS = 5.0
"""Work of a key below which it is forgotten altogether: a single request's some seconds
later. Load: thousands of keys that are asked for once. Harm prevented: looking at all
of them each time it is decided what moves."""

TOLD_KEYS = 48
"""Most keys of a service that a daemon names in one message. Load: thousands of
requests a second at each daemon. Harm prevented: messages, and a leader's table, that
grow with the traffic; it is the few busiest keys that decide what moves."""


@attrs.frozen
class Heat:
    """Recent work of the servers of one service.

    Parameters
    ----------
    by_key : dict of int to float
        Time that requests spent at servers, in ms, by their key.
    request_ms : float
        What one of them spent on average.
    window_ms : float
        Over which time the work was summed.
    """

    by_key: dict
    request_ms: float
    window_ms: float


@attrs.define(eq=False, repr=False)
class WorkCounts:
    """Work that one daemon has seen since it last told the leader."""

    _by_service: dict = attrs.Factory(dict)

    def note(self, service, key, took_ms):
        """Add what a request for a key took at its server."""
        work = self._by_service.setdefault(service, {}).setdefault(key, [0, 0])
        work[0] += 1
        work[1] += round(took_ms)

    def take(self, tables):
        """Return the counts as plain data, and begin anew.

        Parameters
        ----------
        tables : dict of str to RangeTable
            By service. What is left beside the busiest keys is told under the first key
            of its range, so that the sum of each owner stays right.

        Returns
        -------
        work : dict of str to dict
            By service and key: number of requests, and their time at servers in ms.
        """
        counted, self._by_service = self._by_service, {}
        return {
            service: _busiest(by_key, tables.get(service))
            for service, by_key in counted.items()
        }


def _busiest(by_key, table):
    if len(by_key) <= TOLD_KEYS or table is None:
        return by_key
    ordered = sorted(by_key.items(), key=lambda entry: entry[1][1], reverse=True)
    told = dict(ordered[:TOLD_KEYS])
    for key, (count, took_ms) in ordered[TOLD_KEYS:]:
        item = table.find(key)
        first = item.first if item is not None else key
        n_before, before_ms = told.get(first, (0, 0))
        told[first] = [n_before + count, before_ms + took_ms]
    return told


@attrs.define(eq=False, repr=False)
class HeatCounts:
    """Work for keys as all daemons told it, of which half is forgotten in a time.

    What is added counts the more the later it comes, in place of making all that is
    known less with each message: there are many keys, and many daemons.
    """

    _by_service: dict = attrs.Factory(dict)
    _since_ms: float = 0.0

    def add(self, work, now_ms):
        """Add what a daemon has counted; as ``WorkCounts.take`` returns it."""
        if now_ms >= self._since_ms + HALF_LIFE_MS:
            self._forget(now_ms)
        weight = 2.0 ** ((now_ms - self._since_ms) / HALF_LIFE_MS)
        for service, by_key in work.items():
            mine = self._by_service.setdefault(service, {})
            for key, (count, took_ms) in by_key.items():
                entry = mine.setdefault(int(key), [0.0, 0.0])
                entry[0] += weight * count
                entry[1] += weight * took_ms

    def heat_of(self, service, now_ms):
        """Return the Heat of a service."""
        kept = 0.5 ** ((now_ms - self._since_ms) / HALF_LIFE_MS)
        entries = self._by_service.get(service, {})
        count = kept * sum(count for count, _ in entries.values())
        by_key = {key: kept * took_ms for key, (_, took_ms) in entries.items()}
        request_ms = sum(by_key.values()) / max(1.0, count)
        return Heat(by_key, request_ms, HALF_LIFE_MS / math.log(2.0))

    def _forget(self, now_ms):
        """Weigh all that is known as of now, and drop what is next to nothing."""
        kept = 0.5 ** ((now_ms - self._since_ms) / HALF_LIFE_MS)
        self._since_ms = now_ms
        for service, entries in self._by_service.items():
            self._by_service[service] = {
                key: [kept * count, kept * took_ms]
                for key, (count, took_ms) in entries.items()
                if kept * took_ms >= LEAST_WORK_MS
            }
