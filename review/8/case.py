"""After a kill of all daemons none comes back if the idle time is two hours."""

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
IDLE_TIME = "7200s"
BEFORE_S, AFTER_S, GAP_S = 8.0, 12.0, 0.05
RECOVER_S, DOWN_S, MIN_SHARE = 15.0, 1.0, 0.25


def play(site: Deployment, record: Record):
    """Let consumers stay idle for two hours, then kill all daemons."""
    site.set_up(record, manifest(7, *RULES))
    balancer = Balancer(site)
    try:
        before = send_for(site, record, balancer, BEFORE_S, "before")
        site.write_manifest(manifest(9, *RULES, idleTimeout=IDLE_TIME))
        if has_trouble():
            site.restart_daemons(DOWN_S)
        send_for(site, record, balancer, RECOVER_S, "recovering")
        after = send_for(site, record, balancer, AFTER_S, "after")
        ready = [name for name in site.daemons if site.is_ready(name)]
        record.say(f"daemons that say they are ready: {ready}")
        for line in site.daemon_warnings():
            record.add(line)
    finally:
        balancer.close()
    is_broken = before >= MIN_SHARE > after
    record.say(f"served before: {before:.3f}; later than 15 s after: {after:.3f}")
    return BROKEN if is_broken else HELD


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
