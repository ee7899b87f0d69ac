"""After all daemons are killed, none comes back while a divided service is empty."""

import sys
import time

from review.harness_2 import (
    BROKEN,
    HELD,
    Balancer,
    Connection,
    Deployment,
    Record,
    has_trouble,
    manifest,
    route,
    run_case,
)

RULES = (
    route("/view/", "desk", "safe"),
    route("/book/", "desk", "unsafe"),
    route("/parts/", "parts", "safe"),
)
NEW_RULE = route("/archive/", "archive", "safe")
NEW_SERVICE = {"name": "archive", "maxConns": 51, "warmup": "1s", "sharded": True}
BEFORE_S, AFTER_S, GAP_S = 8.0, 12.0, 0.05
RECOVER_S, DOWN_S, MIN_SHARE = 15.0, 1.0, 0.25


def play(site: Deployment, record: Record):
    """Name a divided service that has no servers yet, then kill all daemons."""
    site.set_up(record, manifest(7, *RULES))
    balancer = Balancer(site)
    try:
        before = send_for(site, record, balancer, BEFORE_S, "before")
        site.write_manifest(manifest(9, *RULES, NEW_RULE, services=[NEW_SERVICE]))
        if has_trouble():
            site.restart_daemons(DOWN_S)
        send_for(site, record, balancer, RECOVER_S, "recovering")
        after = send_for(site, record, balancer, AFTER_S, "after")
        ready = [name for name in site.daemons if site.is_ready(name)]
        record.say(f"daemons that say they are ready: {ready}")
        if has_trouble():
            show_cause(site, record)
    finally:
        balancer.close()
    is_broken = before >= MIN_SHARE > after
    record.say(f"served before: {before:.3f}; later than 15 s after: {after:.3f}")
    return BROKEN if is_broken else HELD


def show_cause(site, record):
    """Start a server of the new service, and see whether the daemons come back."""
    site.start_server("archive0", "archive", "pos", "--divided")
    record.say("a first server of the new service started")
    began_s = time.monotonic()
    while time.monotonic() < began_s + 10.0:
        if all(map(site.is_ready, site.daemons)):
            took_s = time.monotonic() - began_s
            record.say(f"all daemons are ready {took_s:.1f} s after it")
            return
        time.sleep(0.2)
    record.say("the daemons are not ready 10 s after it")


def send_for(site, record, balancer, seconds, phase):
    """Send requests of the services that have servers; return the share served."""
    until_s, number, n_served = time.monotonic() + seconds, 0, 0
    while time.monotonic() < until_s:
        number += 1
        n_served += is_served(site, record, balancer, f"{phase}-{number}", number)
        time.sleep(GAP_S)
    record.say(f"{phase}: {number} requests sent, {n_served} served")
    return n_served / number


def is_served(site, record, balancer, request_id, number):
    """Send a request, and once more elsewhere if it may be sent again."""
    headers, method, path = [], "GET", f"/view/{number}"
    if number % 3 == 1:
        method, path = "POST", f"/book/{number}"
    elif number % 3 == 2:
        headers, path = [("Shard-Key", str(number * 977 % 65_536))], f"/parts/{number}"
    tried = []
    for attempt in range(2):
        tried.append(balancer.pick(tried))
        attempt_id = f"{request_id}.{attempt}"
        status = call(site, tried[-1], method, path, attempt_id, headers)
        record.add(f"{attempt_id} {method} {path} at {tried[-1]}: {status}")
        if status == 200:
            return True
        if method == "POST" and status not in (429, 503, "no connection"):
            return False
    return False


def call(site, daemon, method, path, request_id, headers):
    """Send a request on a new connection; return its status, or what went wrong."""
    try:
        connection = Connection(site.daemons[daemon]["front"])
    except OSError:
        return "no connection"
    try:
        connection.send(method, path, request_id, headers)
        return connection.read_answer(method)[0]
    except (OSError, ValueError) as error:
        return repr(error)
    finally:
        connection.close()


if __name__ == "__main__":
    run_case(sys.argv[1], play)
