"""Demo of a site on loopback.

Starts a platform, daemons and backend servers, sends requests, kills a backend server
and checks that no invariant was violated and its keys are served again in time.
"""

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
KILLED_SERVER = "records1"

RECOVERY_LIMIT_MS = 2000
EXIT_VIOLATION = 1
EXIT_NOT_STARTED = 3
EXIT_INTERRUPTED = 130
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Interrupted(BaseException):
    """Raised in the main greenlet by a signal to stop."""


def main():
    """Run the demo.

    Returns
    -------
    exit_code : int
        0 if all checks passed, 1 if one failed, 3 if the site did not start, 130 after
        an interrupt.
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
        # A second signal during the cleanup must not leave processes behind.
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        site.stop()
        if options.keep:
            print(f"logs kept in {site.folder}")
        else:
            shutil.rmtree(site.folder, ignore_errors=True)


def _interrupt_on_signals(greenlet):
    """Raise Interrupted in a greenlet on the first signal to stop; ignore later ones.

    An exception that is raised wherever the signal arrives may occur in a callback or a
    finalizer, where it is swallowed; the demo would then run to its end.
    """
    pending = [greenlet]

    def interrupt():
        while pending:
            gevent.kill(pending.pop(), Interrupted)

    for number in STOP_SIGNALS:
        gevent.signal_handler(number, interrupt)


def _run(site, seconds):
    start_s = time.monotonic()
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
            raise StartError(f"{file} was not applied: {done.stderr}")
    for spec in DAEMONS:
        site.wait_owned(spec.name)
    print(f"site is up after {time.monotonic() - start_s:.1f} s; load begins")
    load = Load([site.caller_address(spec.name) for spec in DAEMONS], CALLS)
    killed_ms = []
    gevent.spawn_later(seconds / 3, _kill_server, site, killed_ms)
    load.run(seconds, _print_progress)
    print()
    _print_table(load.outcomes)
    return _check_and_report(site, load.outcomes, killed_ms[0])


def _kill_server(site, killed_ms):
    print(f"\nkilling backend server {KILLED_SERVER}")
    killed_ms.append(time.monotonic() * 1000.0)
    site.kill(KILLED_SERVER)


def _print_progress(outcomes):
    """Update one line in place on a terminal; otherwise print a new line."""
    n_successful = sum(1 for outcome in outcomes if outcome.result == "well")
    text = f"{len(outcomes)} requests, {n_successful} successful"
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


def _check_and_report(site, outcomes, killed_ms):
    executions = site.executions()
    violations_by_check = check_run(executions, outcomes)
    times_ms = recovery_times_ms(executions, KILLED_SERVER, killed_ms)
    recovered_ms = [time_ms for time_ms in times_ms.values() if time_ms is not None]
    print(
        f"{KILLED_SERVER} owned {len(times_ms)} slices in use;"
        f" {len(recovered_ms)} of them served again,"
        f" the first {min(recovered_ms, default=0):.0f} ms after the kill,"
        f" the last {max(recovered_ms, default=0):.0f} ms"
    )
    check_name = f"keys of a killed server served again within {RECOVERY_LIMIT_MS} ms"
    violations_by_check[check_name] = [
        f"slice {index} not served again"
        for index, time_ms in times_ms.items()
        if time_ms is None
    ] + [
        f"{item.label} {item.key}: {item.result} {item.began_ms - killed_ms:.0f} ms"
        " after the kill"
        for item in outcomes
        if item.result != "well" and item.began_ms > killed_ms + RECOVERY_LIMIT_MS
    ]
    for check, violations in violations_by_check.items():
        print(f"{'passed' if not violations else 'FAILED':>7}  {check}")
        for violation in violations[:5]:
            print(f"         {violation}")
    return EXIT_VIOLATION if any(violations_by_check.values()) else 0


def recovery_times_ms(executions, server, killed_ms):
    """Return how long the slices of a killed server were without service.

    Parameters
    ----------
    executions : list of dict
        Log entries of all backend servers.
    server : str
    killed_ms : float

    Returns
    -------
    times_ms : dict of int to float or None
        By slice, the time from the kill to the first execution at another server, or
        None if there was none. It includes the time in which no caller requested the
        slice.
    """
    services = {e["path"].split("/")[1] for e in executions if e["server"] == server}
    service_executions = [e for e in executions if e["path"].split("/")[1] in services]
    times_ms = {e["slice"]: None for e in service_executions if e["server"] == server}
    for entry in sorted(service_executions, key=lambda e: e["started_ms"]):
        index = entry["slice"]
        elsewhere = entry["server"] != server and entry["started_ms"] > killed_ms
        if elsewhere and index in times_ms and times_ms[index] is None:
            times_ms[index] = entry["started_ms"] - killed_ms
    return times_ms


if __name__ == "__main__":
    sys.exit(main())
