"""Measures the slopes that docs/CAPACITY.md extrapolates from.

Real daemons in growing numbers, then state in decades inside this process. It
loads loopback only and ends by itself.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from .capacity_fleet import (  # noqa: E402
    measure_entry,
    measure_exchange_bytes,
    measure_fleet,
)
from .capacity_state import (  # noqa: E402
    measure_assignment,
    measure_grants,
    measure_objects,
)

DOMAINS = ("a", "b", "c", "d", "e")
FLEET_STEPS = (3, 9, 18, 36)
SERVER_STEPS = (5, 50, 200)
VM_STEPS = (0, 200, 2000)
SLICE_STEPS = (64, 640, 6_400, 64_000)
DAEMON_MB = 70
MEMORY_LIMIT_MB = 14_000


def main():
    """Measure, and print tables in Markdown."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--window-s", type=float, default=8.0)
    parser.add_argument("--fleet", type=int, nargs="*", default=FLEET_STEPS)
    parser.add_argument("--servers", type=int, nargs="*", default=SERVER_STEPS)
    parser.add_argument("--vms", type=int, nargs="*", default=VM_STEPS)
    parser.add_argument("--slices", type=int, nargs="*", default=SLICE_STEPS)
    options = parser.parse_args()
    if max((*options.fleet, 0)) * DAEMON_MB > MEMORY_LIMIT_MB:
        parser.error(f"more daemons than {MEMORY_LIMIT_MB} MB hold")
    began_s = time.monotonic()
    print(f"command: python -m bench.capacity {' '.join(sys.argv[1:])}".rstrip())
    print(f"commit: {_commit()}\n")
    _measure_fleets(options)
    if options.slices:
        _measure_state(options)
    print(f"ended after {time.monotonic() - began_s:.0f} s")
    return 0


def _measure_fleets(options):
    for n_daemons in options.fleet:
        row = measure_fleet(n_daemons, DOMAINS, options.window_s, n_servers=5)
        _print_row("daemons, 5 backend servers", row)
    for n_servers in options.servers:
        row = measure_fleet(5, DOMAINS, options.window_s, n_servers=n_servers)
        _print_row("backend servers, 5 daemons", row)
    for n_vms in options.vms:
        row = measure_fleet(
            5, DOMAINS, options.window_s, n_servers=5, n_other_vms=n_vms
        )
        _print_row("listed VMs of other services, 5 daemons", row)


def _measure_state(options):
    _print_table("control exchanges", measure_exchange_bytes())
    _print_table("objects in a view", measure_objects((660, 6_600)))
    rows = [
        measure_assignment(n_slices, n_servers, mixed)
        for n_slices in options.slices
        for n_servers in (12, 120, 1_200)
        for mixed in (False, True)
        if n_servers <= n_slices
    ]
    _print_table("assignment of one service", rows)
    _print_table("grant of one backend server", measure_grants((1, 6, 64, 640)))
    _print_table("entry, saturated by 32 callers", [measure_entry()])


_last_title = None


def _print_row(title, row):
    global _last_title
    if title != _last_title:
        _print_head(title, row)
        _last_title = title
    print(_cells(row), flush=True)


def _print_table(title, rows):
    _print_head(title, rows[0])
    for row in rows:
        print(_cells(row), flush=True)
    print()


def _print_head(title, row):
    print(f"\n{title}\n")
    print("| " + " | ".join(row) + " |")
    print("|" + " --- |" * len(row))


def _cells(row):
    texts = [f"{v:.4g}" if isinstance(v, float) else str(v) for v in row.values()]
    return "| " + " | ".join(texts) + " |"


def _commit():
    run = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return run.stdout.strip() or "unknown"


if __name__ == "__main__":
    sys.exit(main())
