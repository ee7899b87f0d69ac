"""The demo: a site on loopback, load, one killed backend server, and a verdict."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.checker import check_run  # noqa: E402
from standins.load import Call, Load, summary  # noqa: E402
from standins.site import Backend, DaemonSpec, Site  # noqa: E402

DAEMONS = (DaemonSpec("d1", "a"), DaemonSpec("d2", "a"), DaemonSpec("d3", "b"))
BACKENDS = (
    Backend("records1", "a", "fraser-valley", "records", slots=3),
    Backend("records2", "a", "fraser-valley", "records", slots=3),
    Backend("records3", "b", "fraser-valley", "records", slots=3),
    Backend("claims1", "a", "fraser-valley", "claims", divided=False, slots=3),
    Backend("claims2", "b", "fraser-valley", "claims", divided=False, slots=3),
    Backend("jobs1", "a", "cooperative", "jobs"),
    Backend("jobs2", "b", "cooperative", "jobs"),
    Backend("catalogue1", "a", "cooperative", "catalogue", divided=False),
)
CALLS = [
    Call("record lookup", "GET", lambda key: "/records/status", "X-Grant-Record"),
    Call("record claim", "POST", lambda key: "/records", "X-Grant-Record", 200),
    Call("claim check", "GET", lambda key: "/claims/check"),
    Call("job booking", "POST", lambda key: f"/jobs/{key}/book", "", 200),
    Call("catalogue page", "GET", lambda key: "/catalogue/trays"),
]
KILLED = "records1"


def main():
    """Run the demo; 0 only if every promise that was checked held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keep", action="store_true", help="keep logs")
    options = parser.parse_args()
    site = Site()
    try:
        return _run(site, options.seconds)
    finally:
        site.stop()
        if options.keep:
            print(f"logs kept in {site.folder}")
        else:
            shutil.rmtree(site.folder, ignore_errors=True)


def _run(site, seconds):
    began_s = time.monotonic()
    site.start_platform()
    for spec in DAEMONS:
        site.start_daemon(spec)
    for backend in BACKENDS:
        site.start_backend(backend)
    site.wait_ready([spec.name for spec in DAEMONS])
    for file in ("demo/fraser-valley.yaml", "demo/cooperative.yaml"):
        done = site.command("apply", "--file", file, daemon="d1")
        print(done.stdout, end="")
        if done.returncode != 0:
            print(done.stderr)
            return 1
    for spec in DAEMONS:
        site.wait_owned(spec.name)
    print(f"site is up after {time.monotonic() - began_s:.1f} s; load begins")
    load = Load([site.caller_address(spec.name) for spec in DAEMONS], CALLS)
    gevent.spawn_later(seconds / 3, _kill, site)
    load.run(seconds, _progress)
    print()
    _print_table(load.outcomes)
    return _verdict(site, load.outcomes)


def _kill(site):
    print(f"\nkilling backend server {KILLED}")
    site.kill(KILLED)


def _progress(outcomes):
    well = sum(1 for outcome in outcomes if outcome.result == "well")
    print(f"\r{len(outcomes)} requests, {well} answered well", end="", flush=True)


def _print_table(outcomes):
    columns = ("label", "well", "not-run", "unknown", "wrong", "p50_ms", "p99_ms")
    print("".join(f"{name:>16}" for name in columns))
    for row in summary(outcomes):
        cells = [row[name] for name in columns]
        texts = [f"{c:.1f}" if isinstance(c, float) else str(c) for c in cells]
        print("".join(f"{text:>16}" for text in texts))


def _verdict(site, outcomes):
    faults = check_run(site.executions(), outcomes)
    for check, found in faults.items():
        print(f"{'held' if not found else 'BROKEN':>7}  {check}")
        for fault in found[:5]:
            print(f"         {fault}")
    return 1 if any(faults.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
