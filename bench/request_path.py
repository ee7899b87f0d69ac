"""Measures what the router adds to a request: latency, and CPU time of the entry.

Small replies over loopback, direct, through a bare relay and through one daemon, all
in the same run. Ends by itself in about a minute.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import shutil  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
import psutil  # noqa: E402

from standins.site import DaemonSpec, Site, free_address  # noqa: E402
from tarragonramp.adapters.http import HttpPool  # noqa: E402

N_CALLERS = 8
MAX_CPU_RATIO = 1.6
MAX_P50_RATIO = 3.0
NAGLE_GAP_MS = 20.0
NAGLE_REQUESTS = 30
DECLARED = """
kind: Template
name: bench
spec:
  services:
    - name: pages
      path_prefix: /pages
      classes: [{name: lookup, methods: [GET], idempotent: true}]
    - name: records
      path_prefix: /records
      divided_by: {source: header, name: X-Key}
      checks_grants: true
      classes: [{name: lookup, methods: [GET], idempotent: true}]
---
kind: Team
name: bench
spec: {template: bench}
"""


@attrs.frozen
class Path:
    """One way to a server.

    Parameters
    ----------
    label, address, target : str
    process : psutil.Process or None
        Whose CPU time is read.
    """

    label: str
    address: str
    target: str
    process: object = None


def main():
    """Measure, print a table, and return 0 if the targets are met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--requests", type=int, default=1500)
    options = parser.parse_args()
    site, others = Site(), []
    try:
        paths, nagle = _start(site, others)
        return _measure(paths, nagle, options)
    finally:
        site.stop()
        for process in others:
            process.kill()
            process.wait()
        shutil.rmtree(site.folder, ignore_errors=True)


def _start(site, others):
    def start(*arguments):
        command = [sys.executable, "-m", "bench.relay", *arguments]
        others.append(subprocess.Popen(command))
        return psutil.Process(others[-1].pid)

    pages, records, relay, nagle = (free_address() for _ in range(4))
    start("server", "--address", pages)
    start("divided-server", "--address", records)
    relay_process = start("relay", "--address", relay, "--upstream", pages)
    start("relay", "--address", nagle, "--upstream", pages, "--nagle")
    site.start_platform()
    site.start_daemon(DaemonSpec("d1", "a"))
    vms = [("pages", pages), ("records", records)]
    site.platform(
        "vms",
        [
            {
                "name": name,
                "address": address,
                "failure_domain": "a",
                "team": "bench",
                "service": name,
            }
            for name, address in vms
        ],
    )
    site.wait_ready(["d1"])
    declared = f"{site.folder}/bench.yaml"
    with open(declared, "w", encoding="utf-8") as stream:
        stream.write(DECLARED)
    done = site.command("apply", "--file", declared, daemon="d1")
    if done.returncode != 0:
        raise RuntimeError(done.stderr)
    site.wait_owned("d1")
    daemon = psutil.Process(site.processes["d1"].pid)
    entry = site.caller_address("d1")
    paths = [
        Path("direct", pages, "/pages/1"),
        Path("relay", relay, "/pages/1", relay_process),
        Path("router, shared", entry, "/pages/1", daemon),
        Path("router, divided", entry, "/records/1", daemon),
    ]
    return paths, Path("relay, no TCP_NODELAY", nagle, "/pages/1")


def _measure(paths, nagle, options):
    p50_ms = {path.label: [] for path in (*paths, nagle)}
    cpu_us = {path.label: [] for path in paths if path.process}
    for path in paths:
        _latencies_ms(path, 200)
    for _ in range(options.repetitions):
        for path in paths:
            times_ms = _latencies_ms(path, options.requests)
            p50_ms[path.label].append(statistics.median(times_ms))
        p50_ms[nagle.label].append(
            statistics.median(_latencies_ms(nagle, NAGLE_REQUESTS))
        )
        for path in paths:
            if path.process:
                cpu_us[path.label].append(_cpu_us(path, 2 * options.requests))
    _print_table("p50, one caller, ms", p50_ms)
    _print_table(f"CPU per request, {N_CALLERS} callers, us", cpu_us)
    return _verdict(p50_ms, cpu_us)


def _print_table(title, rows):
    print(f"{title:<34}{'min':>10}{'median':>10}{'max':>10}")
    for label, values in rows.items():
        cells = (min(values), statistics.median(values), max(values))
        print(f"  {label:<32}" + "".join(f"{cell:>10.3f}" for cell in cells))


def _verdict(p50_ms, cpu_us):
    """Compare medians of the same run with the targets."""
    middle = statistics.median
    faults = 0
    for label in ("router, shared", "router, divided"):
        p50_ratio = middle(p50_ms[label]) / middle(p50_ms["direct"])
        cpu_ratio = middle(cpu_us[label]) / middle(cpu_us["relay"])
        gap_ms = max(p50_ms[label]) - min(p50_ms["direct"])
        met = (
            p50_ratio <= MAX_P50_RATIO
            and cpu_ratio <= MAX_CPU_RATIO
            and gap_ms < NAGLE_GAP_MS
        )
        faults += not met
        print(
            f"{label}: p50 {p50_ratio:.2f} of direct (at most {MAX_P50_RATIO}), CPU"
            f" {cpu_ratio:.2f} of relay (at most {MAX_CPU_RATIO}), gap {gap_ms:.1f} ms"
            f" (a lost TCP_NODELAY shows as some 40): {'met' if met else 'MISSED'}"
        )
    return 1 if faults else 0


def _latencies_ms(path, n_requests):
    pool = HttpPool(path.address)
    times_ms = []
    for i in range(n_requests):
        began_s = time.perf_counter()
        _request(pool, path, i)
        times_ms.append((time.perf_counter() - began_s) * 1000.0)
    pool.close()
    return times_ms


def _cpu_us(path, n_requests):
    """Return the CPU time of a process for each request, its control included."""
    pool = HttpPool(path.address)

    def call(first):
        for i in range(first, n_requests, N_CALLERS):
            _request(pool, path, i)

    before = path.process.cpu_times()
    tasks = [gevent.spawn(call, first) for first in range(N_CALLERS)]
    gevent.joinall(tasks, raise_error=True)
    after = path.process.cpu_times()
    pool.close()
    used_s = after.user + after.system - before.user - before.system
    return used_s / n_requests * 1e6


def _request(pool, path, number):
    headers = [
        ("X-Key", f"k{number % 500}"),
        ("X-Request-Id", f"bench-{number}"),
        ("User-Agent", "bench"),
        ("Accept", "*/*"),
    ]
    answer = pool.exchange("GET", path.target, headers, b"", 5000).unwrap()
    if answer.status != 200 or len(answer.body) != 200:
        raise RuntimeError(f"{path.label}: {answer.status} {answer.body[:100]!r}")


if __name__ == "__main__":
    sys.exit(main())
