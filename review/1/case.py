"""REFUSED: an order that an upstream runs is answered 503, which says "not run"."""

import http.client
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir))

from harness import HOST, ReviewSite, run_case  # noqa: E402

from standins.fleet_site import manifest  # noqa: E402

UPSTREAMS = {"parts0": "a", "parts1": "b", "parts2": "a"}
FAULTY = "parts0"
N_CONSUMERS = 12
CALM_S = 4.0
"""Longer than ``contact`` (3 s), so that all machines are in touch."""

LOAD_S = 45.0
PROMISES = (408, 421, 429, 503)
KEY_STEP = 7919
TEXTS = {
    "run": "begins to run",
    "shed": "answers 503, not run, to",
    "copy": "sends a late copy of its answer to",
}


class Site(ReviewSite):
    """A site with the upstreams of this case."""

    def start_upstream(self, name, domain, is_faulty):
        """Start an upstream of the divided service."""
        address = self.reserve_address(name)
        environment = {**self.helper_environment(), "FAULTY": "1" if is_faulty else "0"}
        arguments = (name, "parts", domain, address, self.store, "--divided")
        module = os.path.join(FOLDER, "upstream.py")
        options = ("--work-ms", "40")
        self._start(name, module, *arguments, *options, environment=environment)
        self._wait_for_port(address, self.processes[name])


def case(site, record, with_trouble):
    """Send orders for a while; return those that were refused although they ran."""
    site.start_store()
    site.control_store(write=["config", "main", orders_to_divided_service(), None])
    for name, domain in UPSTREAMS.items():
        site.start_upstream(name, domain, with_trouble and name == FAULTY)
    site.start_daemon("front-a-1", "a")
    site.start_daemon("front-b-1", "b")
    site.wait_ready("front-a-1", "front-b-1")
    time.sleep(CALM_S)
    consumers = [Consumer(site, record, number) for number in range(N_CONSUMERS)]
    until_s = time.time() + LOAD_S
    threads = [
        threading.Thread(target=consumer.run, args=(until_s,)) for consumer in consumers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    runs = read_runs(site, record)
    answers = {}
    for consumer in consumers:
        answers.update(consumer.answers)
    record.conclude(f"{len(answers)} orders were sent, {len(runs)} of them have run")
    if len(runs) < len(answers) / 2:
        raise RuntimeError("the fleet did not serve the orders")
    for request_id, where in runs.items():
        if len(where) > 1:
            record.conclude(f"also TWICE: {request_id} has run at {', '.join(where)}")
    return [
        f"REFUSED: {request_id} was answered {answers[request_id]} and has run at"
        f" {', '.join(where)}"
        for request_id, where in runs.items()
        if answers.get(request_id) in PROMISES
    ]


def orders_to_divided_service():
    """Return a manifest whose ``unsafe`` route leads to the divided service."""
    found = manifest(1)
    for rule in found["listeners"][0]["rules"]:
        if rule["kind"] == "unsafe":
            rule["action"]["service"] = "parts"
    return found


def read_runs(site, record):
    """Return the upstreams at which each order has run, by its id."""
    runs = {}
    for name in UPSTREAMS:
        for kind, at_ms, *details in site.server_log_entries(name):
            if kind == "run":
                runs.setdefault(details[0], []).append(name)
            if kind in TEXTS:
                record.add(f"{name} {TEXTS[kind]} {details[0]}", at_ms / 1000.0)
    return runs


class Consumer:
    """Sends one order after the other, each once, on connections of its own."""

    def __init__(self, site, record, number):
        daemons = sorted(site.daemons)
        self._address = site.daemons[daemons[number % len(daemons)]]["front"]
        self._record, self._number = record, number
        self.answers = {}

    def run(self, until_s):
        """Send orders until a time; after a refusal, wait as it says."""
        count = 0
        while time.time() < until_s:
            count += 1
            retry_after_s = self._send(f"order-{self._number}-{count}", count)
            time.sleep(retry_after_s)

    def _send(self, request_id, count):
        host, _, port = self._address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "1500",
            "Shard-Key": str((self._number * 5003 + count * KEY_STEP) % 65_536),
        }
        sent_s, retry_after_s = time.time(), 0.0
        try:
            connection.request("POST", "/book/visit", b"order", headers)
            response = connection.getresponse()
            response.read()
            answer = response.status
            retry_after_s = float(response.headers.get("Retry-After", "0"))
        except (OSError, http.client.HTTPException) as error:
            answer = type(error).__name__
        finally:
            connection.close()
        self.answers[request_id] = answer
        text = f"{request_id} sent; got {answer} at {time.time() - sent_s:.3f} s"
        self._record.add(text, sent_s)
        return retry_after_s


if __name__ == "__main__":
    run_case(case, Site)
