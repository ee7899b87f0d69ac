"""Recent load by key: counted by the daemons, aggregated by the leader."""

import math

import attrs

__all__ = ["KeyLoad", "KeyLoadAggregate", "KeyLoadRecorder"]

HALF_LIFE_MS = 1500.0
"""Half-life of the recorded load of a key; short, as keys become hot within seconds."""

MIN_WORK_MS = 5.0
"""Load below which a key is dropped; a single request falls below it after some
seconds. Otherwise, each decision about moves would have to scan thousands of keys that
were requested once."""

MAX_REPORTED_KEYS = 48
"""Maximum number of keys of a service that a daemon reports in one message. At
thousands of requests a second per daemon, messages and the leader's table would
otherwise grow with the traffic. Only the few hottest keys determine what moves."""


@attrs.frozen
class KeyLoad:
    """Recent load of the servers of one service.

    Parameters
    ----------
    by_key : dict of int to float
        Time that requests spent at servers, in ms, by their key.
    request_ms : float
        Average time of one request.
    window_ms : float
        Effective length of the time over which the load was summed.
    """

    by_key: dict
    request_ms: float
    window_ms: float


@attrs.define(eq=False, repr=False)
class KeyLoadRecorder:
    """Load that one daemon has recorded since its last report to the leader."""

    _by_service: dict = attrs.Factory(dict)

    def note(self, service, key, took_ms):
        """Add the time that a request for a key spent at its server."""
        work = self._by_service.setdefault(service, {}).setdefault(key, [0, 0])
        work[0] += 1
        work[1] += round(took_ms)

    def drain(self, tables):
        """Return the recorded load as plain data and reset it.

        Parameters
        ----------
        tables : dict of str to RangeTable
            Range tables by service. The load of keys beyond the hottest ones is
            reported under the first key of their range, so that the sum of each owner
            stays correct.

        Returns
        -------
        work : dict of str to dict
            By service and key: number of requests, and their time at servers in ms.
        """
        recorded, self._by_service = self._by_service, {}
        return {
            service: _merge_tail(by_key, tables.get(service))
            for service, by_key in recorded.items()
        }


def _merge_tail(by_key, table):
    if len(by_key) <= MAX_REPORTED_KEYS or table is None:
        return by_key
    ordered = sorted(by_key.items(), key=lambda entry: entry[1][1], reverse=True)
    reported = dict(ordered[:MAX_REPORTED_KEYS])
    for key, (count, took_ms) in ordered[MAX_REPORTED_KEYS:]:
        key_range = table.find(key)
        first = key_range.first if key_range is not None else key
        n_before, before_ms = reported.get(first, (0, 0))
        reported[first] = [n_before + count, before_ms + took_ms]
    return reported


@attrs.define(eq=False, repr=False)
class KeyLoadAggregate:
    """Load by key as reported by all daemons, with exponential decay.

    With each message, the new load is multiplied by a weight that grows with time. To
    reduce all existing entries instead would take too long, because there are many keys
    and many daemons.
    """

    _by_service: dict = attrs.Factory(dict)
    _weight_base_ms: float = 0.0

    def add(self, work, now_ms):
        """Add a daemon's report, in the form that ``KeyLoadRecorder.drain`` returns."""
        if now_ms >= self._weight_base_ms + HALF_LIFE_MS:
            self._rebase(now_ms)
        weight = 2.0 ** ((now_ms - self._weight_base_ms) / HALF_LIFE_MS)
        for service, by_key in work.items():
            totals = self._by_service.setdefault(service, {})
            for key, (count, took_ms) in by_key.items():
                entry = totals.setdefault(int(key), [0.0, 0.0])
                entry[0] += weight * count
                entry[1] += weight * took_ms

    def recent_load(self, service, now_ms):
        """Return the KeyLoad of a service."""
        decay = 0.5 ** ((now_ms - self._weight_base_ms) / HALF_LIFE_MS)
        entries = self._by_service.get(service, {})
        count = decay * sum(count for count, _ in entries.values())
        by_key = {key: decay * took_ms for key, (_, took_ms) in entries.items()}
        request_ms = sum(by_key.values()) / max(1.0, count)
        return KeyLoad(by_key, request_ms, HALF_LIFE_MS / math.log(2.0))

    def _rebase(self, now_ms):
        """Scale all entries to the current time and drop negligible ones."""
        decay = 0.5 ** ((now_ms - self._weight_base_ms) / HALF_LIFE_MS)
        self._weight_base_ms = now_ms
        for service, entries in self._by_service.items():
            self._by_service[service] = {
                key: [decay * count, decay * took_ms]
                for key, (count, took_ms) in entries.items()
                if decay * took_ms >= MIN_WORK_MS
            }
