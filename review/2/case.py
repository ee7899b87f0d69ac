"""LOST: a stopping daemon breaks off a request that was sent behind another one."""

import os
import re
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), os.pardir))

from harness import HOST, run_case  # noqa: E402

from standins.fleet_site import manifest  # noqa: E402

UPSTREAMS = ("desk0", "desk1", "desk2", "desk3")
STOPPED = "front-a-1"
WORK_MS = 400
N_CONSUMERS = 6
CALM_S = 4.0
"""Longer than ``contact`` (3 s), so that all machines are in touch."""

STOP_AFTER_S = 0.2
"""When SIGTERM comes after the first requests: an upstream is at work on each of them.
"""

READ_S = 4.0
DEADLINE_MS = 1500
BODY = b'{"quote": 17}'


def case(site, record, with_trouble):
    """Stop a daemon while requests wait behind others; return those broken off."""
    site.start_store()
    site.control_store(write=["config", "main", manifest(1), None])
    for name in UPSTREAMS:
        site.start_server(name, "desk", "a", "--work-ms", str(WORK_MS))
    site.start_server("parts0", "parts", "a")
    site.start_daemon(STOPPED, "a")
    site.start_daemon("front-b-1", "b")
    site.wait_ready(STOPPED, "front-b-1")
    time.sleep(CALM_S)
    consumers = [Consumer(site, record, number) for number in range(N_CONSUMERS)]
    threads = [threading.Thread(target=consumer.run) for consumer in consumers]
    for thread in threads:
        thread.start()
    time.sleep(STOP_AFTER_S)
    if with_trouble:
        record.add(f"{STOPPED} gets SIGTERM")
        site.signal(STOPPED, signal.SIGTERM)
    for thread in threads:
        thread.join()
    runs = {}
    for name in UPSTREAMS:
        for kind, at_ms, *details in site.server_log_entries(name):
            if kind == "run":
                record.add(f"{name} begins to run {details[0]}", at_ms / 1000.0)
                runs[details[0]] = name
    return [reason for consumer in consumers for reason in consumer.broken_off(runs)]


class Consumer:
    """Sends two safe requests on one connection without waiting for the first answer.

    Both have a third of their time limit left when their upstreams have ended the work.
    """

    def __init__(self, site, record, number):
        self._address = site.daemons[STOPPED]["front"]
        self._record, self._name = record, f"consumer-{number}"
        self._ids = [f"{self._name}-first", f"{self._name}-second"]
        self._data = b""

    def run(self):
        """Send the requests, and read until the connection ends or no more comes."""
        host, _, port = self._address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=READ_S) as connection:
            connection.sendall(_request("GET", self._ids[0]))
            self._record.add(f"{self._name} sends {self._ids[0]} (GET)")
            time.sleep(0.02)
            connection.sendall(_request("POST", self._ids[1], BODY))
            self._record.add(f"{self._name} sends {self._ids[1]} (POST) behind it")
            until_s = time.time() + READ_S
            try:
                while time.time() < until_s and self._data.count(b"HTTP/1.1 ") < 3:
                    connection.settimeout(max(0.01, until_s - time.time()))
                    piece = connection.recv(65_536)
                    if not piece:
                        self._record.add(f"{self._name}: the connection has ended")
                        break
                    self._record.add(f"{self._name} reads {piece!r}")
                    self._data += piece
            except OSError as error:
                self._record.add(f"{self._name}: {error!r}")

    def broken_off(self, runs):
        """Return why the rule counts as broken for each request passed on.

        It has not got its upstream's answer, although no time limit was reached.
        """
        answers = {}
        for text in re.split(r"(?=HTTP/1\.1 )", self._data.decode("latin-1")):
            head, _, _ = text.partition("\r\n\r\n")
            found = re.search(r"(?mi)^request-id: (\S+)", head)
            if found:
                answers[found[1]] = head
        reasons = []
        for request_id in self._ids:
            head = answers.get(request_id, "")
            if request_id in runs and "upstream-stamp" not in head.lower():
                got = head.partition("\r\n")[0] or "no answer"
                reasons.append(
                    f"LOST: {request_id} was passed on to {runs[request_id]}, which was"
                    f" at work on it; the consumer got: {got}"
                )
        return reasons


def _request(method, request_id, body=b""):
    lines = [
        f"{method} /view/quote HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {DEADLINE_MS}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
