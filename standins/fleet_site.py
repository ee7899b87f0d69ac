"""Starts a fleet of local processes on loopback: store, backend servers and daemons."""

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

START_TIMEOUT_S = 20.0
HOST = "desk.example"

SETTINGS = """
[self]
node = "{name}"
zone = "{domain}"
{extra_settings}
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


def manifest(version, orders="", **routes):
    """Return a manifest with a shared service ``desk`` and a divided one ``parts``.

    Parameters
    ----------
    version : int
    orders : str, default=""
        Service of a further route, for unsafe requests; none if empty.
    **routes : str
        Further path prefixes, each with the service that it is routed to.
    """
    prefixes = {"view": "desk", "parts": "parts", **routes}
    rules = [
        _rule(f"/{prefix}/", service, "safe") for prefix, service in prefixes.items()
    ]
    rules.append(_rule("/book/", "desk", "unsafe"))
    if orders:
        rules.append(_rule("/order/", orders, "unsafe"))
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
    """The processes of one fleet, which :meth:`close` ends.

    Parameters
    ----------
    proxy : str
        Control address of a fault-injecting proxy between the daemons and the store
        and servers; empty for none.
    store : str
        Listening address of the store.
    store_address : str
        Address at which daemons reach the store, through any proxy.
    folder : tempfile.TemporaryDirectory
        For settings and output of processes.
    processes : dict of str to subprocess.Popen
        By name.
    daemons : dict of str to dict
        By name, the daemon's listening addresses.
    servers : dict of str to str
        Listening addresses of backend servers, by name.
    server_addresses : dict of str to str
        Addresses at which daemons reach backend servers, through any proxy.
    """

    proxy: str = ""
    store: str = attrs.Factory(free_address)
    store_address: str = attrs.field(init=False, default="")
    folder: object = attrs.Factory(tempfile.TemporaryDirectory)
    processes: dict = attrs.Factory(dict)
    daemons: dict = attrs.Factory(dict)
    servers: dict = attrs.Factory(dict)
    server_addresses: dict = attrs.Factory(dict)

    def start_store(self):
        """Start the store's stand-in, after the proxy if there is one."""
        if self.proxy:
            self._start("proxy", "-m", "standins.proxy", "--control", self.proxy)
            self._wait_for_port(self.proxy)
        self._start("store", "-m", "standins.fleet_store", self.store)
        self._wait_for_port(self.store)
        self.store_address = self._reachable_address(self.store, "store")

    def start_server(self, name, service, domain, *options, address=""):
        """Start a backend server's stand-in."""
        listen = self.servers[name] = address or self.servers.get(name, free_address())
        if name not in self.server_addresses:
            self.server_addresses[name] = self._reachable_address(listen, name)
        module = ("-m", "standins.fleet_server")
        divided = ("--divided",) if service == "parts" else ()
        arguments = (name, service, domain, self.server_addresses[name], self.store)
        self._start(name, *module, *arguments, "--listen", listen, *divided, *options)
        self._wait_for_port(listen, self.processes[name])

    def start_daemon(self, name, domain, extra_settings="", refusals=""):
        """Start a daemon of the users' platform.

        Parameters
        ----------
        name, domain : str
        extra_settings : str
            TOML to append to the table ``self`` of its settings.
        refusals : str
            Calls that the kernel refuses, as for ``standins.refused_calls``.
        """
        if name not in self.daemons:
            self.daemons[name] = {
                listener: free_address() for listener in ("front", "ready", "control")
            }
        settings = SETTINGS.format(
            name=name,
            domain=domain,
            store=self.store_address,
            extra_settings=extra_settings,
            **self.daemons[name],
        )
        path = os.path.join(self.folder.name, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(settings)
        environment = {**os.environ, "TARRAGONRAMP_CONFIG": path}
        launcher = ("-m", "standins.refused_calls", refusals) if refusals else ()
        self._start(name, *launcher, "platform/run.py", environment=environment)

    def control_store(self, **command):
        """Control the store's stand-in; return its objects and counts of calls.

        Parameters
        ----------
        **command : object
            ``write``, ``delete``, ``forget_history`` or ``faults``.
        """
        body = json.dumps(command).encode()
        result = HttpPool(self.store).exchange("POST", "/control", (), body, 2000)
        return json.loads(result.unwrap().body)

    def inject_server_faults(self, name, **faults):
        """Set how many of its next requests a server's stand-in fails, by fault."""
        body = json.dumps(faults).encode()
        pool = HttpPool(self.servers[name])
        pool.exchange("POST", "/stand-in/faults", (), body, 2000).unwrap()

    def server_log_entries(self, name):
        """Return the log entries of a server's stand-in."""
        pool = HttpPool(self.servers[name])
        result = pool.exchange("GET", "/stand-in/log", (), b"", 2000)
        return json.loads(result.unwrap().body)

    def runs(self):
        """Return how often each request was executed, over all running servers."""
        counts = {}
        for name in self.servers:
            if self.processes[name].poll() is None:
                for entry in self.server_log_entries(name):
                    if entry[0] == "run":
                        counts[entry[2]] = counts.get(entry[2], 0) + 1
        return counts

    def call(
        self,
        daemon,
        path,
        request_id,
        key=None,
        method="GET",
        caller_timeout_ms=1500,
        extra_headers=(),
    ):
        """Send one request to a daemon; return its Response, or None without one."""
        headers = [
            ("Host", HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(caller_timeout_ms)),
        ]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        headers.extend(extra_headers)
        body = b"claim" if method == "POST" else b""
        pool = HttpPool(self.daemons[daemon]["front"])
        result = pool.exchange(method, path, headers, body, caller_timeout_ms + 1000)
        pool.close()
        return result.value_or(None)

    def is_ready(self, daemon):
        """Tell whether a daemon reports that it accepts callers."""
        pool = HttpPool(self.daemons[daemon]["ready"])
        result = pool.exchange("GET", "/-/ready", (), b"", 500)
        response = result.value_or(None)
        return response is not None and response.status == 200

    def wait_ready(self, *daemons):
        """Wait until daemons report that they accept callers."""
        self.wait(lambda: all(map(self.is_ready, daemons)), "daemons ready")

    def wait(self, condition, awaited, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds; ``awaited`` names it in the TimeoutError."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                raise TimeoutError(f"{awaited}: not within {timeout_s} s")
            time.sleep(0.05)

    def signal(self, name, number):
        """Send a signal to a process of this site."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process of this site and wait until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    def log_text(self, name):
        """Return the output of a process."""
        path = os.path.join(self.folder.name, f"{name}.log")
        with open(path, encoding="utf-8", errors="replace") as stream:
            return stream.read()

    def close(self):
        """Kill all processes and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()

    def set_faults(self, *faults):
        """Replace the active faults of the proxy.

        Parameters
        ----------
        *faults : standins.proxy.Fault
        """
        self._control_proxy("faults", [attrs.asdict(fault) for fault in faults])

    def _reachable_address(self, address, name):
        """Return the address at which others reach a process, through any proxy."""
        if not self.proxy:
            return address
        listen = free_address()
        link = {"listen": listen, "target_address": address, "target": name}
        self._control_proxy("links", [link])
        return listen

    def _control_proxy(self, resource, payload):
        body = json.dumps(payload).encode()
        HttpPool(self.proxy).exchange("POST", f"/{resource}", (), body, 5000).unwrap()

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
            self._control_proxy("pids", {name: self.processes[name].pid})

    def _wait_for_port(self, address, process=None):
        """Wait until a process listens; raise ChildProcessError if it ends before."""
        host, _, port = address.rpartition(":")

        def listens():
            if process is not None and process.poll() is not None:
                raise ChildProcessError(f"{address}: exit code {process.poll()}")
            with socket.socket() as probe:
                return probe.connect_ex((host, int(port))) == 0

        self.wait(listens, f"{address} listens")
