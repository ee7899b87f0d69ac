"""Measures the latency and CPU time that the router adds to a request.

Sends requests with small responses over loopback: directly, through a minimal relay and
through one daemon, all in the same run. Takes about a minute.
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
DECLARATIONS = """
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
class MeasuredPath:
    """One way to send requests to a server.

    Parameters
    ----------
    label, address, target : str
    process : psutil.Process or None
        Process whose CPU time is measured; None for none.
    """

    label: str
    address: str
    target: str
    process: object = None


def main():
    """Run the benchmark and print tables.

    Returns
    -------
    exit_code : int
        0 if the targets are met, else 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--requests", type=int, default=1500)
    options = parser.parse_args()
    site, helper_processes = Site(), []
    try:
        paths, nagle = _start(site, helper_processes)
        return _measure(paths, nagle, options)
    finally:
        site.stop()
        for process in helper_processes:
            process.kill()
            process.wait()
        shutil.rmtree(site.folder, ignore_errors=True)


def _start(site, helper_processes):
    def start(*arguments):
        command = [sys.executable, "-m", "bench.relay", *arguments]
        helper_processes.append(subprocess.Popen(command))
        return psutil.Process(helper_processes[-1].pid)

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
    declarations_path = f"{site.folder}/bench.yaml"
    with open(declarations_path, "w", encoding="utf-8") as stream:
        stream.write(DECLARATIONS)
    done = site.command("apply", "--file", declarations_path, daemon="d1")
    if done.returncode != 0:
        raise RuntimeError(done.stderr)
    site.wait_owned("d1")
    daemon = psutil.Process(site.processes["d1"].pid)
    entry = site.caller_address("d1")
    paths = [
        MeasuredPath("direct", pages, "/pages/1"),
        MeasuredPath("relay", relay, "/pages/1", relay_process),
        MeasuredPath("router, shared", entry, "/pages/1", daemon),
        MeasuredPath("router, divided", entry, "/records/1", daemon),
    ]
    return paths, MeasuredPath("relay, no TCP_NODELAY", nagle, "/pages/1")


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
    return _check_targets(p50_ms, cpu_us)


def _print_table(title, rows):
    print(f"{title:<34}{'min':>10}{'median':>10}{'max':>10}")
    for label, values in rows.items():
        cells = (min(values), statistics.median(values), max(values))
        print(f"  {label:<32}" + "".join(f"{cell:>10.3f}" for cell in cells))


def _check_targets(p50_ms, cpu_us):
    """Compare the medians of this run with the targets; return the exit code."""
    compute_median = statistics.median
    n_missed = 0
    for label in ("router, shared", "router, divided"):
        p50_ratio = compute_median(p50_ms[label]) / compute_median(p50_ms["direct"])
        cpu_ratio = compute_median(cpu_us[label]) / compute_median(cpu_us["relay"])
        gap_ms = max(p50_ms[label]) - min(p50_ms["direct"])
        is_met = (
            p50_ratio <= MAX_P50_RATIO
            and cpu_ratio <= MAX_CPU_RATIO
            and gap_ms < NAGLE_GAP_MS
        )
        n_missed += not is_met
        print(
            f"{label}: p50 {p50_ratio:.2f} of direct (at most {MAX_P50_RATIO}), CPU"
            f" {cpu_ratio:.2f} of relay (at most {MAX_CPU_RATIO}), gap {gap_ms:.1f} ms"
            f" (about 40 ms without TCP_NODELAY): {'met' if is_met else 'MISSED'}"
        )
    return 1 if n_missed else 0


def _latencies_ms(path, n_requests):
    pool = HttpPool(path.address)
    times_ms = []
    for i in range(n_requests):
        start_s = time.perf_counter()
        _request(pool, path, i)
        times_ms.append((time.perf_counter() - start_s) * 1000.0)
    pool.close()
    return times_ms


def _cpu_us(path, n_requests):
    """Return a process's CPU time per request, including its control work."""
    pool = HttpPool(path.address)

    def call(first):
        for i in range(first, n_requests, N_CALLERS):
            _request(pool, path, i)

    before = path.process.cpu_times()
    tasks = [gevent.spawn(call, first) for first in range(N_CALLERS)]
    gevent.joinall(tasks, raise_error=True)
    after = path.process.cpu_times()
    pool.close()
    cpu_s = after.user + after.system - before.user - before.system
    return cpu_s / n_requests * 1e6


def _request(pool, path, number):
    headers = [
        ("X-Key", f"k{number % 500}"),
        ("X-Request-Id", f"bench-{number}"),
        ("User-Agent", "bench"),
        ("Accept", "*/*"),
    ]
    response = pool.exchange("GET", path.target, headers, b"", 5000).unwrap()
    if response.status != 200 or len(response.body) != 200:
        raise RuntimeError(f"{path.label}: {response.status} {response.body[:100]!r}")


if __name__ == "__main__":
    sys.exit(main())
