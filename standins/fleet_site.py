"""Starts a fleet on loopback: the store, backend servers, and daemons."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

import attrs

from tarragonramp.adapters.http import HttpPool

from .site import free_address

__all__ = ["FleetSite", "manifest"]

START_S = 20.0
HOST = "desk.example"

SETTINGS = """
[self]
node = "{name}"
zone = "{domain}"
{more}
[network]
seeds = ["{control}"]
[network.listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[platform.platform]
addr = "{store}"
[terms.bounds]
drain = "2000ms"
grace = "6s"
holdMax = "10s"
retryRatio = 0.2
retrySlack = 50
"""


def manifest(version, **routes):
    """Return a manifest with a shared service ``desk`` and a divided one ``parts``.

    Parameters
    ----------
    version : int
    **routes : str
        Further prefixes and the service each goes to.
    """
    prefixes = {"view": "desk", "parts": "parts", **routes}
    rules = [
        _rule(f"/{prefix}/", service, "safe") for prefix, service in prefixes.items()
    ]
    rules.append(_rule("/book/", "desk", "unsafe"))
    return {
        "version": f"r{version}",
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeout": "3s",
            "idleTimeout": "15s",
        },
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [
            {"name": "desk", "maxConns": 50, "warmup": "1s", "warmupPerS": 12.0},
            {"name": "parts", "maxConns": 50, "sharded": True, "warmup": "1s"},
        ],
    }


def _rule(prefix, service, kind):
    action = {"service": service, "timeout": "1500ms", "attempts": 2}
    return {
        "name": prefix,
        "kind": kind,
        "slo": "600ms",
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": action,
    }


@attrs.define(eq=False)
class FleetSite:
    """Processes of one fleet, ended by :meth:`close`.

    Parameters
    ----------
    proxy : str
        Control address of a fault-injecting proxy between the daemons and the store
        and servers; empty for none.
    """

    proxy: str = ""
    store: str = attrs.Factory(free_address)
    store_link: str = attrs.field(init=False, default="")
    folder: object = attrs.Factory(tempfile.TemporaryDirectory)
    processes: dict = attrs.Factory(dict)
    daemons: dict = attrs.Factory(dict)
    servers: dict = attrs.Factory(dict)
    links: dict = attrs.Factory(dict)

    def start_store(self):
        """Start the store's stand-in, and the proxy if there is to be one."""
        if self.proxy:
            self._start("proxy", "-m", "standins.proxy", "--control", self.proxy)
            self._wait_port(self.proxy)
        self._start("store", "-m", "standins.fleet_store", self.store)
        self._wait_port(self.store)
        self.store_link = self._link(self.store, "store")

    def start_server(self, name, service, domain, *options, address=""):
        """Start a backend server's stand-in."""
        listen = self.servers[name] = address or self.servers.get(name, free_address())
        if name not in self.links:
            self.links[name] = self._link(listen, name)
        module = ("-m", "standins.fleet_server")
        divided = ("--divided",) if service == "parts" else ()
        arguments = (name, service, domain, self.links[name], self.store)
        self._start(name, *module, *arguments, "--listen", listen, *divided, *options)
        self._wait_port(listen, self.processes[name])

    def start_daemon(self, name, domain, more=""):
        """Start a daemon through the platform's adapter; ``more`` of its settings."""
        if name not in self.daemons:
            self.daemons[name] = {
                part: free_address() for part in ("front", "ready", "control")
            }
        settings = SETTINGS.format(
            name=name,
            domain=domain,
            store=self.store_link,
            more=more,
            **self.daemons[name],
        )
        path = os.path.join(self.folder.name, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(settings)
        environment = {**os.environ, "TARRAGONRAMP_CONFIG": path}
        self._start(name, "platform/run.py", environment=environment)

    def order(self, **order):
        """Give the store's stand-in an order; return what it holds and was asked."""
        body = json.dumps(order).encode()
        result = HttpPool(self.store).exchange("POST", "/control", (), body, 2000)
        return json.loads(result.unwrap().body)

    def break_server(self, name, **faults):
        """Make a server's stand-in fail so many times."""
        body = json.dumps(faults).encode()
        pool = HttpPool(self.servers[name])
        pool.exchange("POST", "/stand-in/faults", (), body, 2000).unwrap()

    def log_of(self, name):
        """Return what a server's stand-in has done."""
        pool = HttpPool(self.servers[name])
        result = pool.exchange("GET", "/stand-in/log", (), b"", 2000)
        return json.loads(result.unwrap().body)

    def runs(self):
        """Return how often each request ran, over all living servers."""
        counts = {}
        for name in self.servers:
            if self.processes[name].poll() is None:
                for entry in self.log_of(name):
                    if entry[0] == "run":
                        counts[entry[2]] = counts.get(entry[2], 0) + 1
        return counts

    def call(self, daemon, path, named, key=None, method="GET", caller_timeout_ms=1500):
        """Send one request to a daemon; an Answer, or None without one."""
        headers = [
            ("Host", HOST),
            ("Request-Id", named),
            ("Deadline-Ms", str(caller_timeout_ms)),
        ]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        body = b"claim" if method == "POST" else b""
        pool = HttpPool(self.daemons[daemon]["front"])
        result = pool.exchange(method, path, headers, body, caller_timeout_ms + 1000)
        pool.close()
        return result.value_or(None)

    def is_ready(self, daemon):
        """Tell whether a daemon says that it takes callers."""
        pool = HttpPool(self.daemons[daemon]["ready"])
        result = pool.exchange("GET", "/-/ready", (), b"", 500)
        answer = result.value_or(None)
        return answer is not None and answer.status == 200

    def wait_ready(self, *daemons):
        """Wait until daemons take callers."""
        self.wait(lambda: all(map(self.is_ready, daemons)), "daemons ready")

    def wait(self, condition, what, timeout_s=START_S):
        """Wait until a condition holds."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                raise TimeoutError(f"{what}: not within {timeout_s} s")
            time.sleep(0.05)

    def signal(self, name, number):
        """Send a process of this site a signal."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """End a process of this site at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def log_text(self, name):
        """Return what a process has written."""
        path = os.path.join(self.folder.name, f"{name}.log")
        with open(path, encoding="utf-8", errors="replace") as stream:
            return stream.read()

    def close(self):
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()

    def set_faults(self, *faults):
        """Let some links suffer, in place of those that did; see ``standins.proxy``."""
        self._tell_proxy("faults", [attrs.asdict(fault) for fault in faults])

    def _link(self, address, name):
        """Return where others reach a process: through the proxy, if there is one."""
        if not self.proxy:
            return address
        listen = free_address()
        link = {"listen": listen, "target_address": address, "target": name}
        self._tell_proxy("links", [link])
        return listen

    def _tell_proxy(self, what, payload):
        body = json.dumps(payload).encode()
        HttpPool(self.proxy).exchange("POST", f"/{what}", (), body, 5000).unwrap()

    def _start(self, name, *arguments, environment=None):
        path = os.path.join(self.folder.name, f"{name}.log")
        with open(path, "ab") as stream:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        if self.proxy and name != "proxy":
            self._tell_proxy("pids", {name: self.processes[name].pid})

    def _wait_port(self, address, process=None):
        """Wait until a process listens; EnvironmentError at once if it ends before."""
        host, _, port = address.rpartition(":")

        def listens():
            if process is not None and process.poll() is not None:
                raise ChildProcessError(f"{address}: ended with {process.poll()}")
            with socket.socket() as probe:
                return probe.connect_ex((host, int(port))) == 0

        self.wait(listens, f"{address} listens")
