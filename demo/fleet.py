"""The demo of the users' platform: a fleet on loopback, a killed leader, a verdict."""

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
EXIT_BROKEN = 1


def main():
    """Run the demo; 0 only if each key was served after the kill and none ran twice."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    site = FleetSite()
    try:
        _start(site)
        return _judge(site, *_load(site, options.seconds))
    finally:
        site.close()


def _start(site):
    site.start_store()
    site.order(write=["config", "main", manifest(1), None])
    for i in range(3):
        site.start_server(f"desk{i}", "desk", "ab"[i % 2])
        site.start_server(f"parts{i}", "parts", "ab"[i % 2])
    for name, domain in DAEMONS.items():
        site.start_daemon(name, domain)
    site.wait_ready(*DAEMONS)
    print("a store, six servers and three daemons are up", flush=True)


def _load(site, seconds):
    """Let callers call; kill the leader midway. Return statuses, ids and its name."""
    statuses, bookings = collections.Counter(), []
    until_s = time.monotonic() + seconds

    def call(place):
        daemon, n = list(DAEMONS)[place % len(DAEMONS)], 0
        while time.monotonic() < until_s:
            n += 1
            named = f"{place}-{n}"
            if n % 3:
                key = (n * 7919 + place * 104_729) % N_KEYS
                answer = site.call(daemon, "/parts/", named, key)
            else:
                bookings.append(named)
                answer = site.call(daemon, "/book/", named, method="POST")
            statuses[answer.status if answer else "no answer"] += 1
            gevent.sleep(0.005)

    callers = [gevent.spawn(call, place) for place in range(N_CALLERS)]
    gevent.sleep(seconds / 2)
    leader = site.order()["objects"]["ramp-leader"]["leader"]["spec"]["name"]
    site.kill(leader)
    print(f"killed the leader, {leader}", flush=True)
    gevent.joinall(callers)
    return statuses, bookings, leader


def _judge(site, statuses, bookings, leader):
    survivor = next(name for name in DAEMONS if name != leader)
    site.wait(lambda: site.is_ready(survivor), "a daemon ready")
    unserved = [
        key
        for key in range(0, N_KEYS, 2048)
        if (answer := site.call(survivor, "/parts/", f"after-{key}", key)) is None
        or answer.status != 200
    ]
    runs = site.runs()
    doubled = [named for named in bookings if runs.get(named, 0) > 1]
    print(
        "answers:", ", ".join(f"{s}: {n}" for s, n in sorted(statuses.items(), key=str))
    )
    print(f"keys not served after the kill: {len(unserved)}")
    print(f"bookings that ran twice: {len(doubled)}")
    return EXIT_BROKEN if unserved or doubled or not statuses[200] else 0


if __name__ == "__main__":
    sys.exit(main())
