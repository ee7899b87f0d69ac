"""Starts a whole site of plain processes on loopback, for tests and the demo."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import attrs
import yaml

from tarragonramp.adapters.http import HttpPool

__all__ = ["Backend", "DaemonSpec", "Site", "StartError", "free_address"]


class StartError(Exception):
    """A process of a site that ended when it should have begun to serve."""


START_TIMEOUT_S = 20.0
PORTS = (12_000, 32_000)
PORTS_IN_BLOCK = 100
_guards = []
_free_ports = []


def free_address():
    """Return a loopback ``ip:port`` that no other launcher gives out.

    Ports come in blocks below the kernel's range for connecting sockets. Whoever binds
    the first port of a block has the others: without that, two launchers on one machine
    give out a port that neither server has bound yet.
    """
    while True:
        if not _free_ports:
            _claim_block()
        port = _free_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def _claim_block():
    blocks = list(range(*PORTS, PORTS_IN_BLOCK))
    random.shuffle(blocks)
    for first in blocks:
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        _free_ports.extend(range(first + 1, first + PORTS_IN_BLOCK))
        return
    raise RuntimeError("every block of ports is taken")


@attrs.frozen
class Backend:
    """A backend server to start.

    Parameters
    ----------
    name, failure_domain, team, service : str
    divided : bool
    slots : int
    work_ms : float
    checks : bool
        Whether a divided one refuses whoever has no grant.
    cold_ms : float
        How long it is cold after each start.
    """

    name: str
    failure_domain: str
    team: str
    service: str
    divided: bool = True
    slots: int = 4
    work_ms: float = 3.0
    checks: bool = True
    cold_ms: float = 0.0


@attrs.frozen
class DaemonSpec:
    """A daemon to start."""

    name: str
    failure_domain: str


@attrs.define
class Site:
    """Processes of one site, and what they write.

    Parameters
    ----------
    folder : str
        Settings, server logs and daemon logs go here.
    proxied : bool
        Whether all connections between processes pass a fault-injecting proxy.
    """

    folder: str = attrs.Factory(lambda: tempfile.mkdtemp(prefix="site-"))
    proxied: bool = False
    proxy_address: str = attrs.Factory(free_address)
    platform_address: str = attrs.Factory(free_address)
    processes: dict = attrs.Factory(dict)
    addresses: dict = attrs.Factory(dict)
    settings: dict = attrs.Factory(dict)
    vms: list = attrs.Factory(list)
    _backends: dict = attrs.Factory(dict)
    _links: dict = attrs.Factory(dict)

    def start_platform(self):
        """Start the platform's stand-in, and the proxy if there is to be one."""
        if self.proxied:
            self._spawn(
                "proxy", ["-m", "standins.proxy", "--control", self.proxy_address]
            )
            self._wait_until(lambda: self._proxy("pids", {}) is not None, "proxy")
        self._spawn(
            "platform", ["-m", "standins.platform", "--address", self.platform_address]
        )
        self._wait_until(lambda: self.platform("vms") is not None, "platform")

    def start_backend(self, backend):
        """Start a backend server and list its VM."""
        self.start_backends([backend])

    def start_backends(self, backends):
        """Start one process that stands for backend servers of one kind.

        The first one's name is the process's, and its kind that of them all.
        """
        first, names = backends[0], [backend.name for backend in backends]
        addresses = [self.addresses.setdefault(n, free_address()) for n in names]
        arguments = ["-m", "standins.backend", "--address", *addresses]
        arguments += ["--name", *names, "--log", self.server_log(first.name)]
        arguments += ["--slots", str(first.slots), "--work-ms", str(first.work_ms)]
        if first.divided:
            arguments.append("--divided")
        arguments += ["--cold-ms", str(first.cold_ms)]
        if not first.checks:
            arguments.append("--unchecked")
        self._spawn(first.name, arguments)
        self._backends[first.name] = first
        self.vms = [vm for vm in self.vms if vm["name"] not in names]
        for backend, address in zip(backends, addresses, strict=True):
            self.vms.append(
                {
                    "name": backend.name,
                    "address": self._link(address, backend.name),
                    "failure_domain": backend.failure_domain,
                    "team": backend.team,
                    "service": backend.service,
                    "state": "live",
                }
            )
        self.platform("vms", self.vms)

    def restart_backend(self, name):
        """Start a killed backend server again, at its address."""
        self.start_backend(self._backends[name])

    def start_daemon(self, spec, **settings):
        """Start a daemon; further settings override the usual ones."""
        control, peer = free_address(), free_address()
        written = {
            "name": spec.name,
            "failure_domain": spec.failure_domain,
            "caller_address": free_address(),
            "control_address": control,
            "peer_address": peer,
            "advertised_control_address": self._link(control, spec.name),
            "advertised_peer_address": self._link(peer, spec.name),
            "platform_address": self._link(self.platform_address, "platform"),
            "security": {"insecure": True},
            **settings,
        }
        self.settings[spec.name] = written
        self.restart_daemon(spec.name)

    def restart_daemon(self, name):
        """Start a daemon with the settings it had."""
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as stream:
            yaml.safe_dump(self.settings[name], stream)
        self._spawn(name, ["-m", "tarragonramp.daemon", "--settings", path])

    def wait_ready(self, names):
        """Wait until daemons say they are ready."""
        for name in names:
            self._wait_until(lambda name=name: self._is_ready(name), name)

    def wait_owned(self, name, timeout_s=START_TIMEOUT_S):
        """Wait until a daemon sees an owner for every slice of every service."""

        def all_owned():
            # Answered from the daemon's own view, also while the platform is slow.
            status = self.operator(name, "services")
            services = status["services"] if status else ()
            return services and all(s["owned"] == s["slices"] for s in services)

        self._wait_until(all_owned, "owners", timeout_s)

    def command(self, *arguments, daemon=None):
        """Run the operators' command; return its completed process."""
        if daemon is not None:
            address = self.settings[daemon]["control_address"]
            arguments += ("--daemon", address)
        return subprocess.run(
            [sys.executable, "-m", "tarragonramp.command", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def operator(self, daemon, what):
        """Ask a daemon's operator port."""
        address = self.settings[daemon]["control_address"]
        return _ask(address, f"/operator/{what}")

    def platform(self, what, payload=None):
        """Read or set what the platform's stand-in does; None if not reached."""
        return _ask(self.platform_address, f"/standin/{what}", payload)

    def caller_address(self, daemon):
        """Return where a daemon takes callers' requests."""
        return self.settings[daemon]["caller_address"]

    def set_faults(self, *faults):
        """Replace what is wrong between processes; nothing is without arguments.

        Parameters
        ----------
        *faults : standins.proxy.Fault
        """
        self._proxy("faults", [attrs.asdict(fault) for fault in faults])

    def signal(self, name, number):
        """Send a signal to one of this site's processes."""
        self.processes[name].send_signal(number)

    def is_running(self, name):
        """Tell whether a process was started and has not ended."""
        return name in self.processes and self.processes[name].poll() is None

    def kill(self, name):
        """Kill a process at once and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name, timeout_s=30.0):
        """Ask a process to stop; return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def stop(self):
        """Kill everything that is left."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def server_log(self, name):
        """Return the path of a backend server's log of executions."""
        return os.path.join(self.folder, f"{name}.log")

    def executions(self):
        """Return the log entries of all backend servers."""
        entries = []
        for name in self._backends:
            with open(self.server_log(name), encoding="utf-8") as stream:
                entries += [json.loads(line) for line in stream if line.endswith("\n")]
        return entries

    def lines_about(self, text):
        """Return the lines of all daemons' logs that contain a text, by time."""
        lines = [
            x for name in self.settings for x in self.daemon_log(name).splitlines()
        ]
        return sorted(line for line in lines if text in line)

    def daemon_log(self, name):
        """Return what a process wrote to standard error."""
        path = os.path.join(self.folder, f"{name}.err")
        with open(path, encoding="utf-8") as stream:
            return stream.read()

    def _spawn(self, name, arguments):
        path = os.path.join(self.folder, f"{name}.err")
        with open(path, "ab") as stream:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stream,
                stderr=stream,
                # An interrupt at the terminal is for the launcher alone.
                start_new_session=True,
            )

        if self.proxied:
            self._proxy("pids", {name: self.processes[name].pid})

    def _link(self, address, target):
        """Return where others reach a process: the proxy, if there is one."""
        if not self.proxied:
            return address
        if address not in self._links:
            listen = self._links[address] = free_address()
            link = {"listen": listen, "target_address": address, "target": target}
            self._proxy("links", [link])
        return self._links[address]

    def _proxy(self, what, payload):
        return _ask(self.proxy_address, f"/{what}", payload)

    def _is_ready(self, name):
        self._check_alive(name)
        return (_ask(self.settings[name]["control_address"], "/ready") or {}).get(
            "ready", False
        )

    def _check_alive(self, name):
        code = self.processes[name].poll()
        if code is not None:
            last = self.daemon_log(name).strip().rpartition("\n")[2]
            raise StartError(f"{name} ended with exit code {code}: {last}")

    def _wait_until(self, condition, what, timeout_s=START_TIMEOUT_S):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if condition():
                return
            if what in self.processes and not self.is_running(what):
                break
            time.sleep(0.05)
        logs = "".join(f"\n{name}: {self._end_of(name)}" for name in self.processes)
        raise TimeoutError(f"{what} not there within {timeout_s} s{logs}")

    def _end_of(self, name):
        state = self.processes[name].poll()
        return f"exit code {state}; {self.daemon_log(name)[-300:]}"


def _ask(address, target, payload=None):
    method = "GET" if payload is None else "POST"
    body = b"" if payload is None else json.dumps(payload).encode()
    answer = HttpPool(address).exchange(method, target, (), body, 2000).value_or(None)
    return None if answer is None else json.loads(answer.body)
