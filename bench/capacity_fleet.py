"""Measures CPU time, memory, platform calls and traffic of real daemons."""

import contextlib
import json
import shutil
import socket
import time

import gevent
import psutil

from standins.load import Call, Load
from standins.site import Backend, DaemonSpec, Site
from tarragonramp.adapters.http import HttpPool, split_address

__all__ = ["measure_entry", "measure_exchange_bytes", "measure_fleet"]

SETTLE_S = 3.0
OWNERSHIP_TIMEOUT_S = 20.0
PROPAGATION_TIMEOUT_S = 30.0
TEAM = "sized"
_METRIC_FIELDS = {
    "tarragonramp_control_cpu_milliseconds_total": "cpu_ms",
    "tarragonramp_control_traffic_bytes_total": "bytes",
    "tarragonramp_control_messages_total": "messages",
}
_EXCLUDED_KINDS = ('kind="metrics"', 'kind="operator"', 'kind="ready"')
TEMPLATE = {
    "parameters": {"note": {"type": "string", "default": "none"}},
    "services": [
        {
            "name": "records",
            "path_prefix": "/records",
            "divided_by": {"source": "header", "name": "X-Key"},
            "n_slices": 640,
            "checks_grants": True,
        },
        {"name": "pages", "path_prefix": "/pages"},
    ],
}


def measure_fleet(n_daemons, domains, window_s, n_servers, n_other_vms=0):
    """Measure the cost of idle daemons, which get no requests from callers.

    Parameters
    ----------
    n_daemons : int
    domains : sequence of str
        Failure domains, assigned to daemons and servers round-robin.
    window_s : float
        Length of the measurement, which begins once the fleet has settled.
    n_servers : int
        Backend servers of one divided service.
    n_other_vms : int, default=0
        VMs in the platform's list that belong to other services.

    Returns
    -------
    row : dict of str to int or float
    """
    with _site() as site:
        start_s = time.monotonic()
        specs, owned = _start_fleet(site, n_daemons, domains, n_servers, n_other_vms)
        up_s = time.monotonic() - start_s
        startup_calls = site.platform("calls")["calls"]
        gevent.sleep(SETTLE_S)
        usage = _usage(site, specs, window_s)
        propagation_s = _propagation_s(site, specs)
        status_began_s = time.monotonic()
        status = site.operator(specs[0].name, "status")
        status_s = time.monotonic() - status_began_s
    n_calls = sum(startup_calls.values())
    return {
        "daemons": n_daemons,
        "servers": n_servers,
        "other VMs": n_other_vms,
        "up s": up_s,
        "all slices owned": owned,
        "calls to start": n_calls,
        **usage,
        "in force s": propagation_s,
        "status ms": 1000 * status_s,
        "status bytes": len(json.dumps(status)),
    }


def measure_entry(duration_s=4.0):
    """Measure throughput and CPU time of an entry saturated with small requests.

    All requests go to one shared service.
    """
    with _site() as site:
        _put(site, "Template", "sized", TEMPLATE)
        _put(site, "Team", TEAM, {"template": "sized"})
        site.start_daemon(DaemonSpec("d1", "a"))
        backends = [
            Backend(f"pages{i}", "a", TEAM, "pages", False, slots=64, work_ms=0.0)
            for i in range(2)
        ]
        for backend in backends:
            site.start_backend(backend)
        site.wait_ready(["d1"])
        gevent.sleep(2.0)
        calls = [Call("page", "POST", lambda key: f"/pages/{key}", "", 500)]
        load = Load([site.caller_address("d1")], calls, n_callers=32, pause_ms=0.0)
        process = psutil.Process(site.processes["d1"].pid)
        before_s, start_s = _cpu_s(process), time.monotonic()
        load.run(duration_s)
        cpu_s, elapsed_s = _cpu_s(process) - before_s, time.monotonic() - start_s
    well = sum(1 for outcome in load.outcomes if outcome.result == "well")
    return {
        "requests": len(load.outcomes),
        "well": well,
        "requests/s": len(load.outcomes) / elapsed_s,
        "core used %": 100 * cpu_s / elapsed_s,
        "CPU ms/request": 1000 * cpu_s / len(load.outcomes),
    }


def measure_exchange_bytes():
    """Measure the bytes of each small control exchange, including HTTP framing."""
    with _site() as site:
        site.start_daemon(DaemonSpec("d1", "a"))
        site.start_backend(Backend("records1", "a", TEAM, "records"))
        site.wait_ready(["d1"])
        ping_body = json.dumps({"identity": "entry-660#0123456789ab"}).encode()
        control = site.settings["d1"]["control_address"]
        grant = {
            "term": 12,
            "sequence": 345,
            "boot_id": "0123456789ab",
            "tokens": [[100, 53, 7]],
            "until_ms": 1234567.891,
        }
        return [
            _exchange_row("ping", control, "POST", "/peer/ping", ping_body),
            _exchange_row(
                "probe", site.addresses["records1"], "GET", "/tarragon/clock", b""
            ),
            _exchange_row(
                "grant of one range",
                site.addresses["records1"],
                "POST",
                "/tarragon/grant",
                json.dumps(grant).encode(),
            ),
        ]


@contextlib.contextmanager
def _site():
    site = Site()
    try:
        site.start_platform()
        yield site
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)


def _start_fleet(site, n_daemons, domains, n_servers, n_other_vms):
    _put(site, "Template", "sized", TEMPLATE)
    _put(site, "Team", TEAM, {"template": "sized"})
    site.vms = [_other_vm(i, domains) for i in range(n_other_vms)]
    backends = [
        Backend(f"records{i}", domains[i % len(domains)], TEAM, "records")
        for i in range(n_servers)
    ]
    site.start_backends(backends)
    specs = [
        DaemonSpec(f"entry-{i:03}", domains[i % len(domains)]) for i in range(n_daemons)
    ]
    for spec in specs:
        site.start_daemon(spec)
    site.wait_ready([spec.name for spec in specs])
    domains_with_daemons = {spec.failure_domain for spec in specs}
    if all(backend.failure_domain in domains_with_daemons for backend in backends):
        with contextlib.suppress(TimeoutError):
            site.wait_owned(specs[0].name, timeout_s=OWNERSHIP_TIMEOUT_S)
            return specs, "yes"
        return specs, f"not in {OWNERSHIP_TIMEOUT_S:.0f} s"
    return specs, "some have no daemon"


def _other_vm(index, domains):
    return {
        "name": f"other{index}",
        "address": f"10.0.{index // 250}.{index % 250}:7000",
        "failure_domain": domains[index % len(domains)],
        "team": "elsewhere",
        "service": "elsewhere",
        "state": "live",
    }


def _usage(site, specs, window_s):
    processes = [psutil.Process(site.processes[s.name].pid) for s in specs]
    metrics = [_metrics(site, spec) for spec in specs]
    calls, start_s = site.platform("calls"), time.monotonic()
    cpu_s = [_cpu_s(process) for process in processes]
    gevent.sleep(window_s)
    cpu_s = [_cpu_s(p) - u for p, u in zip(processes, cpu_s, strict=True)]
    calls_after, elapsed_s = site.platform("calls"), time.monotonic() - start_s
    increments = [
        {name: value - before.get(name, 0) for name, value in _metrics(site, s).items()}
        for s, before in zip(specs, metrics, strict=True)
    ]
    control_ms = [change["cpu_ms"] for change in increments]
    rates = {
        label: (count - calls["calls"].get(label, 0)) / elapsed_s
        for label, count in calls_after["calls"].items()
    }
    traffic = [change["bytes"] / elapsed_s for change in increments]
    messages = [change["messages"] / elapsed_s for change in increments]
    writes = sum(rate for label, rate in rates.items() if not label.startswith("GET"))
    return {
        "CPU % mean": 100 * sum(cpu_s) / len(cpu_s) / elapsed_s,
        "CPU % max": 100 * max(cpu_s) / elapsed_s,
        "own control CPU % mean": sum(control_ms) / len(control_ms) / elapsed_s / 10,
        "RSS MB max": max(p.memory_info().rss for p in processes) / 1e6,
        "VM lists/s": rates.get("GET vms", 0.0),
        "watches/s": rates.get("GET watch", 0.0),
        "waiting watches": calls_after["waiting_watches"],
        "object reads/s": rates.get("GET objects", 0.0),
        "writes/s": writes,
        "bytes/s mean": sum(traffic) / len(traffic),
        "bytes/s max": max(traffic),
        "messages/s mean": sum(messages) / len(messages),
    }


def _metrics(site, spec):
    """Return a daemon's own control metrics, without the traffic of this benchmark."""
    pool = HttpPool(site.settings[spec.name]["control_address"])
    page = pool.exchange("GET", "/metrics", (), b"", 2000).unwrap().body.decode()
    found = {"cpu_ms": 0.0, "bytes": 0.0, "messages": 0.0}
    for line in page.splitlines():
        name = line.partition("{")[0]
        if name in _METRIC_FIELDS and not any(kind in line for kind in _EXCLUDED_KINDS):
            found[_METRIC_FIELDS[name]] += float(line.rpartition(" ")[2])
    return found


def _propagation_s(site, specs):
    """Return the time until a change of a team has reached all daemons."""
    spec = {"template": "sized", "parameters": {"note": "changed"}}
    version = _get(site, "Team", TEAM)["version"]
    new_version = _put(site, "Team", TEAM, spec, version)["version"]
    start_s = time.monotonic()
    lagging_names = [spec.name for spec in specs]
    while lagging_names and time.monotonic() - start_s < PROPAGATION_TIMEOUT_S:
        lagging_names = [
            name
            for name in lagging_names
            if site.operator(name, "status")["view_version"] < new_version
        ]
    return time.monotonic() - start_s if not lagging_names else float("inf")


def _put(site, kind, name, spec, version=0):
    target = f"/v1/objects/{kind}/{name}?version={version}"
    body = json.dumps(spec).encode()
    pool = HttpPool(site.platform_address)
    return json.loads(pool.exchange("PUT", target, (), body, 2000).unwrap().body)


def _get(site, kind, name):
    pool = HttpPool(site.platform_address)
    target = f"/v1/objects/{kind}/{name}"
    return json.loads(pool.exchange("GET", target, (), b"", 2000).unwrap().body)


def _exchange_row(label, address, method, target, body):
    request = (
        f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
    with socket.create_connection(split_address(address), timeout=2.0) as connection:
        connection.sendall(request)
        gevent.sleep(0.3)
        response = connection.recv(65_536)
    return {
        "exchange": label,
        "request bytes": len(request),
        "answer bytes": len(response),
        "both": len(request) + len(response),
    }


def _cpu_s(process):
    times = process.cpu_times()
    return times.user + times.system
