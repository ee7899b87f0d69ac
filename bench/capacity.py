"""Measures the cost slopes that docs/CAPACITY.md extrapolates from.

Starts real daemons in growing numbers on loopback. Then measures state inside this
process, at sizes that grow tenfold from step to step.
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
MEMORY_PER_DAEMON_MB = 70
MEMORY_LIMIT_MB = 14_000


def main():
    """Run the measurements and print their results as Markdown tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--window-s", type=float, default=8.0)
    parser.add_argument("--fleet", type=int, nargs="*", default=FLEET_STEPS)
    parser.add_argument("--servers", type=int, nargs="*", default=SERVER_STEPS)
    parser.add_argument("--vms", type=int, nargs="*", default=VM_STEPS)
    parser.add_argument("--slices", type=int, nargs="*", default=SLICE_STEPS)
    options = parser.parse_args()
    if max((*options.fleet, 0)) * MEMORY_PER_DAEMON_MB > MEMORY_LIMIT_MB:
        parser.error(f"that many daemons need more than {MEMORY_LIMIT_MB} MB")
    start_s = time.monotonic()
    print(f"command: python -m bench.capacity {' '.join(sys.argv[1:])}".rstrip())
    print(f"commit: {_commit()}\n")
    _measure_fleets(options)
    if options.slices:
        _measure_state(options)
    print(f"ended after {time.monotonic() - start_s:.0f} s")
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
        measure_assignment(n_slices, n_servers, is_scattered)
        for n_slices in options.slices
        for n_servers in (12, 120, 1_200)
        for is_scattered in (False, True)
        if n_servers <= n_slices
    ]
    _print_table("assignment of one service", rows)
    _print_table("grant of one backend server", measure_grants((1, 6, 64, 640)))
    _print_table("entry, saturated by 32 callers", [measure_entry()])


_printed_title = None


def _print_row(title, row):
    global _printed_title
    if title != _printed_title:
        _print_header(title, row)
        _printed_title = title
    print(_format_row(row), flush=True)


def _print_table(title, rows):
    _print_header(title, rows[0])
    for row in rows:
        print(_format_row(row), flush=True)
    print()


def _print_header(title, row):
    print(f"\n{title}\n")
    print("| " + " | ".join(row) + " |")
    print("|" + " --- |" * len(row))


def _format_row(row):
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
