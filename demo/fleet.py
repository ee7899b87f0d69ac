"""Demo of a fleet on the users' platform.

Starts stand-ins and daemons on loopback, sends requests, kills the leader midway and
checks that all keys are served and no booking was executed twice.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.fleet_site import FleetSite, manifest  # noqa: E402

DAEMONS = {"d1": "a", "d2": "a", "d3": "b"}
N_CALLERS = 6
N_KEYS = 65_536
EXIT_VIOLATION = 1


def main():
    """Run the demo.

    Returns
    -------
    exit_code : int
        0 if requests succeeded, all checked keys were served after the kill and no
        booking was executed twice; else 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    site = FleetSite()
    try:
        _start(site)
        return _check_and_report(site, *_run_load(site, options.seconds))
    finally:
        site.close()


def _start(site):
    site.start_store()
    site.control_store(write=["config", "main", manifest(1), None])
    for i in range(3):
        site.start_server(f"desk{i}", "desk", "ab"[i % 2])
        site.start_server(f"parts{i}", "parts", "ab"[i % 2])
    for name, domain in DAEMONS.items():
        site.start_daemon(name, domain)
    site.wait_ready(*DAEMONS)
    print("a store, six servers and three daemons are up", flush=True)


def _run_load(site, seconds):
    """Send requests and kill the leader midway.

    Returns
    -------
    statuses : collections.Counter
        Number of responses by HTTP status, "no answer" for none.
    bookings : list of str
        Request IDs of the bookings, which are not idempotent.
    leader : str
        Name of the killed daemon.
    """
    statuses, bookings = collections.Counter(), []
    until_s = time.monotonic() + seconds

    def call(caller_index):
        daemon, n = list(DAEMONS)[caller_index % len(DAEMONS)], 0
        while time.monotonic() < until_s:
            n += 1
            request_id = f"{caller_index}-{n}"
            if n % 3:
                key = (n * 7919 + caller_index * 104_729) % N_KEYS
                response = site.call(daemon, "/parts/", request_id, key)
            else:
                bookings.append(request_id)
                response = site.call(daemon, "/book/", request_id, method="POST")
            statuses[response.status if response else "no answer"] += 1
            gevent.sleep(0.005)

    callers = [gevent.spawn(call, caller_index) for caller_index in range(N_CALLERS)]
    gevent.sleep(seconds / 2)
    leader = site.control_store()["objects"]["ramp-leader"]["leader"]["spec"]["name"]
    site.kill(leader)
    print(f"killed the leader, {leader}", flush=True)
    gevent.joinall(callers)
    return statuses, bookings, leader


def _check_and_report(site, statuses, bookings, leader):
    survivor = next(name for name in DAEMONS if name != leader)
    site.wait(lambda: site.is_ready(survivor), "a daemon ready")
    unserved = [
        key
        for key in range(0, N_KEYS, 2048)
        if (response := site.call(survivor, "/parts/", f"after-{key}", key)) is None
        or response.status != 200
    ]
    runs = site.runs()
    executed_twice = [
        request_id for request_id in bookings if runs.get(request_id, 0) > 1
    ]
    print(
        "responses:",
        ", ".join(f"{s}: {n}" for s, n in sorted(statuses.items(), key=str)),
    )
    print(f"keys not served after the kill: {len(unserved)}")
    print(f"bookings that ran twice: {len(executed_twice)}")
    return EXIT_VIOLATION if unserved or executed_twice or not statuses[200] else 0


if __name__ == "__main__":
    sys.exit(main())
