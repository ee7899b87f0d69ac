"""The demo: a site on loopback, load, one killed backend server, and a verdict."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.checker import check_run  # noqa: E402
from standins.load import Call, Load, summary  # noqa: E402
from standins.site import Backend, DaemonSpec, Site, StartError  # noqa: E402

DAEMONS = (DaemonSpec("d1", "a"), DaemonSpec("d2", "a"), DaemonSpec("d3", "b"))
BACKENDS = (
    Backend("records1", "a", "fraser-valley", "records", slots=3),
    Backend("records2", "a", "fraser-valley", "records", slots=3),
    Backend("records3", "b", "fraser-valley", "records", slots=3),
    Backend("claims1", "a", "fraser-valley", "claims", divided=False, slots=3),
    Backend("claims2", "b", "fraser-valley", "claims", divided=False, slots=3),
    Backend("jobs1", "a", "cooperative", "jobs"),
    Backend("jobs2", "b", "cooperative", "jobs"),
    Backend("catalogue1", "a", "cooperative", "catalogue"),
)
CALLS = [
    Call("record lookup", "GET", lambda key: "/records/status", "X-Grant-Record"),
    Call("record claim", "POST", lambda key: "/records", "X-Grant-Record", 200),
    Call("claim check", "GET", lambda key: "/claims/check"),
    Call("job booking", "POST", lambda key: f"/jobs/{key}/book", "", 200),
    Call("catalogue page", "GET", lambda key: f"/catalogue/page/{key}"),
]
KILLED = "records1"


WITHIN_MS = 2000
EXIT_BROKEN = 1
EXIT_NOT_STARTED = 3
EXIT_INTERRUPTED = 130
STOPPING = (signal.SIGINT, signal.SIGTERM)


class Interrupted(BaseException):
    """Somebody stops the demo."""


def main():
    """Run the demo.

    Returns
    -------
    exit_code : int
        0 only if every promise that was checked held; 1 if one was broken, 3 if the
        site did not start, 130 after an interrupt.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keep", action="store_true", help="keep logs")
    options = parser.parse_args()
    _interrupt_on_signals(gevent.getcurrent())
    site = Site()
    try:
        return _run(site, options.seconds)
    except Interrupted:
        print("\ninterrupted; stopping all processes")
        return EXIT_INTERRUPTED
    except (StartError, TimeoutError) as error:
        print(f"\nthe site did not start: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    finally:
        # A second interrupt must not leave processes behind.
        for number in STOPPING:
            signal.signal(number, signal.SIG_IGN)
        site.stop()
        if options.keep:
            print(f"logs kept in {site.folder}")
        else:
            shutil.rmtree(site.folder, ignore_errors=True)


def _interrupt_on_signals(greenlet):
    """Let the first signal to stop raise Interrupted in a greenlet, and no other one.

    Raised wherever the signal finds the process, an interrupt may end in a callback or
    a finalizer, which swallow it: the demo then went on to its end.
    """
    pending = [greenlet]

    def interrupt():
        while pending:
            gevent.kill(pending.pop(), Interrupted)

    for number in STOPPING:
        gevent.signal_handler(number, interrupt)


def _run(site, seconds):
    began_s = time.monotonic()
    print("starting platform, daemons and backend servers")
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
            raise StartError(f"{file} was not taken: {done.stderr}")
    for spec in DAEMONS:
        site.wait_owned(spec.name)
    print(f"site is up after {time.monotonic() - began_s:.1f} s; load begins")
    load = Load([site.caller_address(spec.name) for spec in DAEMONS], CALLS)
    killed_ms = []
    gevent.spawn_later(seconds / 3, _kill, site, killed_ms)
    load.run(seconds, _progress)
    print()
    _print_table(load.outcomes)
    return _verdict(site, load.outcomes, killed_ms[0])


def _kill(site, killed_ms):
    print(f"\nkilling backend server {KILLED}")
    killed_ms.append(time.monotonic() * 1000.0)
    site.kill(KILLED)


def _progress(outcomes):
    """Rewrite one line on a terminal; elsewhere write a new one each time."""
    well = sum(1 for outcome in outcomes if outcome.result == "well")
    text = f"{len(outcomes)} requests, {well} answered well"
    if sys.stdout.isatty():
        print(f"\r{text}", end="", flush=True)
    else:
        print(text, flush=True)


def _print_table(outcomes):
    columns = ("label", "well", "not-run", "unknown", "wrong", "p50_ms", "p99_ms")
    print("".join(f"{name:>16}" for name in columns))
    for row in summary(outcomes):
        cells = [row[name] for name in columns]
        texts = [f"{c:.1f}" if isinstance(c, float) else str(c) for c in cells]
        print("".join(f"{text:>16}" for text in texts))


def _verdict(site, outcomes, killed_ms):
    executions = site.executions()
    faults = check_run(executions, outcomes)
    gaps_ms = served_again_ms(executions, KILLED, killed_ms)
    served_ms = [gap_ms for gap_ms in gaps_ms.values() if gap_ms is not None]
    print(
        f"{KILLED} owned {len(gaps_ms)} slices in use; {len(served_ms)} of them served"
        f" again, the first {min(served_ms, default=0):.0f} ms after the kill, the last"
        f" {max(served_ms, default=0):.0f} ms"
    )
    promise = f"keys of a killed server served again within {WITHIN_MS} ms"
    faults[promise] = [
        f"slice {index} not served again"
        for index, gap_ms in gaps_ms.items()
        if gap_ms is None
    ] + [
        f"{item.label} {item.key}: {item.result} {item.began_ms - killed_ms:.0f} ms"
        " after the kill"
        for item in outcomes
        if item.result != "well" and item.began_ms > killed_ms + WITHIN_MS
    ]
    for check, found in faults.items():
        print(f"{'held' if not found else 'BROKEN':>7}  {check}")
        for fault in found[:5]:
            print(f"         {fault}")
    return EXIT_BROKEN if any(faults.values()) else 0


def served_again_ms(executions, server, killed_ms):
    """Return when the slices of a killed server were first served again.

    Parameters
    ----------
    executions : list of dict
        Log entries of all backend servers.
    server : str
    killed_ms : float

    Returns
    -------
    gaps_ms : dict of int to float or None
        By slice, from the kill to the first execution elsewhere; None for never.
        Nobody may have asked for the slice earlier.
    """
    service = {e["path"].split("/")[1] for e in executions if e["server"] == server}
    mine = [e for e in executions if e["path"].split("/")[1] in service]
    gaps_ms = {e["slice"]: None for e in mine if e["server"] == server}
    for entry in sorted(mine, key=lambda e: e["started_ms"]):
        index = entry["slice"]
        elsewhere = entry["server"] != server and entry["started_ms"] > killed_ms
        if elsewhere and index in gaps_ms and gaps_ms[index] is None:
            gaps_ms[index] = entry["started_ms"] - killed_ms
    return gaps_ms


if __name__ == "__main__":
    sys.exit(main())
