"""OWNER: an entry of another writer makes the leader take an upstream for ended."""

import itertools
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), os.pardir))

from harness import Consumers, run_case  # noqa: E402

from standins.fleet_site import manifest  # noqa: E402

UPSTREAMS = ("parts0", "parts1", "parts2")
LEAVING = "parts0"
KEYS = range(0, 65_536, 701)
MAX_OVERLAP_S = 0.5
"""Bound of the rule: two upstreams hold the same keys for over half a second."""

CALM_S = 4.0
"""Longer than ``contact`` (3 s), so that all machines are in touch."""

AFTER_S = 9.0
"""Longer than a hold, so that the end of each is seen."""


def case(site, record, with_trouble):
    """Have an upstream leave; return where two upstreams held the same keys."""
    site.start_store()
    site.control_store(write=["config", "main", manifest(1), None])
    site.start_server("desk0", "desk", "a")
    for name, domain in zip(UPSTREAMS, "aba", strict=True):
        site.start_server(name, "parts", domain, "--work-ms", "40")
    site.start_daemon("front-a-1", "a")
    site.start_daemon("front-b-1", "b")
    site.wait_ready("front-a-1", "front-b-1")
    consumers = Consumers(site, record, "/parts/list", 0.05, KEYS)
    consumers.start()
    time.sleep(CALM_S)
    if with_trouble:
        entry = {
            "addr": site.server_addresses[LEAVING],
            "born": int(time.time() * 1000),
            "info": {"service": "inventory", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
        }
        site.control_store(write=["servers", "i-note", entry, None])
        record.add(f"another writer has written servers/i-note: {entry}")
        time.sleep(1.0)
    site.signal(LEAVING, signal.SIGUSR1)
    record.add(f"{LEAVING} reports that it is draining, and goes on serving")
    time.sleep(AFTER_S)
    consumers.stop()
    if any(site.processes[name].poll() is not None for name in UPSTREAMS):
        raise RuntimeError("an upstream has ended")
    holds = [hold for name in UPSTREAMS for hold in read_holds(site, record, name)]
    if {hold[0] for hold in holds} != set(UPSTREAMS):
        raise RuntimeError("not all upstreams were given keys")
    return describe_overlaps(holds)


def read_holds(site, record, name):
    """Return what an upstream held, as (name, first, last, token, begin_s, end_s).

    A hold ends with its time, or once the upstream has answered its release.
    """
    holds = {}
    for kind, at_ms, *details in site.server_log_entries(name):
        record.add(f"{name} {kind} {details}", at_ms / 1000.0)
        if kind == "grant":
            first, last, token, hold_ms = details
            begin_s, end_s = at_ms / 1000.0, (at_ms + hold_ms) / 1000.0
            spans = holds.setdefault((name, first, last, token), [])
            if spans and begin_s <= spans[-1][1]:
                spans[-1][1] = end_s
            else:
                spans.append([begin_s, end_s])
        elif kind == "release":
            for (_, first, last, _), spans in holds.items():
                if details[0] <= first and last <= details[1]:
                    spans[-1][1] = min(spans[-1][1], at_ms / 1000.0)
    return [(*key, *span) for key, spans in holds.items() for span in spans]


def describe_overlaps(holds):
    """Return a line for each two upstreams that held a key for too long together."""
    longest = {}
    for one, other in itertools.combinations(holds, 2):
        if one[0] == other[0] or one[1] > other[2] or other[1] > one[2]:
            continue
        overlap_s = min(one[5], other[5]) - max(one[4], other[4])
        pair = tuple(sorted((one[0], other[0])))
        if overlap_s > MAX_OVERLAP_S and overlap_s > longest.get(pair, (0.0,))[0]:
            keys = f"{max(one[1], other[1])} to {min(one[2], other[2])}"
            longest[pair] = overlap_s, keys, one[3], other[3]
    return [
        f"OWNER: {a} and {b}, both up, held keys {keys} together for {overlap_s:.2f} s,"
        f" under fencing tokens {one} and {other}"
        for (a, b), (overlap_s, keys, one, other) in longest.items()
    ]


if __name__ == "__main__":
    run_case(case)
