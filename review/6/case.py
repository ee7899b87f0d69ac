"""Entries of another writer that can't be read keep daemons from answering."""

import base64
import sys
import threading
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

TIMEOUT_MS, LATER_S, DEADLINE_MS = 1500, 0.5, 4000
RULES = (
    route("/view/", "desk", "safe", f"{TIMEOUT_MS}ms"),
    route("/parts/", "parts", "safe", f"{TIMEOUT_MS}ms"),
)
N_ENTRIES, BEAT_S, VALUE_BYTES = 3, 1.5, 1_000_000
CALM_S, WRITTEN_S = 4.0, 20.0
N_CONSUMERS, GAP_S = 12, 0.1
MIN_UNANSWERED = 8
PLACE, ELEMENT, BAD_BYTE = "put raw text here", b'{"k":1},', b'"\xff"'


def play(site: Deployment, record: Record):
    """Call while another writer keeps long entries with a byte that is no text."""
    site.set_up(record, manifest(7, *RULES))
    balancer, ended = Balancer(site), threading.Event()
    writer = threading.Thread(target=write_entries, args=(site, record, ended))
    try:
        send_for(site, record, balancer, CALM_S, "calm")
        if has_trouble():
            writer.start()
        found = send_for(site, record, balancer, WRITTEN_S, "written")
    finally:
        ended.set()
        balancer.close()
    for line in site.daemon_warnings():
        record.add(line)
    n_at_timeout, n_later = found
    is_broken = n_at_timeout >= MIN_UNANSWERED and 2 * n_later > n_at_timeout
    return BROKEN if is_broken else HELD


def write_entries(site, record, ended):
    """Write some entries of upstreams each beat, as upstreams do."""
    elements = ELEMENT * (VALUE_BYTES // len(ELEMENT))
    raw = base64.b64encode(b"[" + elements + BAD_BYTE + b"]").decode()
    began_s, number = time.monotonic(), 0
    while not ended.wait(max(0.0, began_s + number * BEAT_S - time.monotonic())):
        number += 1
        for place in range(N_ENTRIES):
            entry = {"addr": "127.0.0.1:9", "seq": number, "info": PLACE}
            write = ["servers", f"i-odd{place}", entry, None]
            site.control_store(raw_parts={PLACE: raw}, write=write)
    record.say(f"{N_ENTRIES} entries of {VALUE_BYTES} bytes written {number} times")


def send_for(site, record, balancer, seconds, phase):
    """Have consumers send requests; count those unanswered at and after the timeout."""
    until_s, waits = time.monotonic() + seconds, []

    def consume(consumer):
        number = 0
        while time.monotonic() < until_s:
            number += 1
            name = balancer.pick()
            request_id = f"{phase}-{consumer}-{number}"
            took_s, result = call(site, name, request_id)
            waits.append(took_s)
            record.add(f"{request_id} at {name}: {result} after {took_s:.3f} s")
            time.sleep(GAP_S)

    tasks = [
        threading.Thread(target=consume, args=(consumer,))
        for consumer in range(N_CONSUMERS)
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    limit_s = TIMEOUT_MS / 1000.0
    n_at_timeout = sum(took_s > limit_s for took_s in waits)
    n_later = sum(took_s > limit_s + LATER_S for took_s in waits)
    record.say(
        f"{phase}: {len(waits)} requests, {n_at_timeout} unanswered at the timeout, "
        f"{n_later} half a second later"
    )
    return n_at_timeout, n_later


def call(site, daemon, request_id):
    """Send a request on a new connection; return how long it took, and its status."""
    try:
        connection = Connection(site.daemons[daemon]["front"], DEADLINE_MS / 1000.0)
    except OSError as error:
        return 0.0, repr(error)
    began_s = time.monotonic()
    try:
        connection.send("GET", "/view/1", request_id, deadline_ms=DEADLINE_MS)
        result = connection.read_answer("GET")[0]
    except (OSError, ValueError) as error:
        result = repr(error)
    finally:
        connection.close()
    return time.monotonic() - began_s, result


if __name__ == "__main__":
    run_case(sys.argv[1], play)
