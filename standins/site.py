"""Starts a site of local processes on loopback, for tests and the demo."""

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
    """A process of a site ended before it was ready."""


START_TIMEOUT_S = 20.0
PORT_RANGE = (12_000, 32_000)
PORT_BLOCK_SIZE = 100
_block_sockets = []
_free_ports = []


def free_address():
    """Return a loopback ``ip:port`` that no other launcher hands out.

    Ports are reserved in blocks below the kernel's ephemeral port range. A launcher
    reserves a block by binding its first port; otherwise two launchers on one machine
    could hand out the same port before either server has bound it.
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
    blocks = list(range(*PORT_RANGE, PORT_BLOCK_SIZE))
    random.shuffle(blocks)
    for first in blocks:
        block_socket = socket.socket()
        try:
            block_socket.bind(("127.0.0.1", first))
        except OSError:
            block_socket.close()
            continue
        _block_sockets.append(block_socket)
        _free_ports.extend(range(first + 1, first + PORT_BLOCK_SIZE))
        return
    raise RuntimeError("no free block of ports")


@attrs.frozen
class Backend:
    """A backend server to start.

    Parameters
    ----------
    name, failure_domain, team, service : str
    divided : bool
    slots : int
    work_ms : float
        Duration of an execution.
    checks_grants : bool
        Whether a divided server refuses requests without a valid grant.
    cold_ms : float
        Duration of the cold start after each start.
    """

    name: str
    failure_domain: str
    team: str
    service: str
    divided: bool = True
    slots: int = 4
    work_ms: float = 3.0
    checks_grants: bool = True
    cold_ms: float = 0.0


@attrs.frozen
class DaemonSpec:
    """A daemon to start."""

    name: str
    failure_domain: str


@attrs.define
class Site:
    """The processes of one site, and their logs.

    Parameters
    ----------
    folder : str
        For settings, execution logs of servers and output of processes.
    proxied : bool
        Whether processes connect to each other through a fault-injecting proxy.
    proxy_address, platform_address : str
        Control address of the proxy, and address of the platform's stand-in.
    processes : dict of str to subprocess.Popen
        By name.
    addresses : dict of str to str
        Listening addresses of backend servers, by name.
    settings : dict of str to dict
        Settings of daemons, by name.
    vms : list of dict
        The platform's VM list.
    refusals : dict of str to str
        Calls that the kernel refuses daemons, by name, as for
        ``standins.refused_calls``.
    """

    folder: str = attrs.Factory(lambda: tempfile.mkdtemp(prefix="site-"))
    proxied: bool = False
    proxy_address: str = attrs.Factory(free_address)
    platform_address: str = attrs.Factory(free_address)
    processes: dict = attrs.Factory(dict)
    addresses: dict = attrs.Factory(dict)
    settings: dict = attrs.Factory(dict)
    vms: list = attrs.Factory(list)
    refusals: dict = attrs.Factory(dict)
    _backends: dict = attrs.Factory(dict)
    _links: dict = attrs.Factory(dict)

    def start_platform(self):
        """Start the platform's stand-in, after the proxy if the site has one."""
        if self.proxied:
            self._spawn(
                "proxy", ["-m", "standins.proxy", "--control", self.proxy_address]
            )
            self._wait_until(
                lambda: self._control_proxy("pids", {}) is not None, "proxy"
            )
        self._spawn(
            "platform", ["-m", "standins.platform", "--address", self.platform_address]
        )
        self._wait_until(lambda: self.platform("vms") is not None, "platform")

    def start_backend(self, backend):
        """Start a backend server and add its VM to the platform's list."""
        self.start_backends([backend])

    def start_backends(self, backends):
        """Start one process that serves several backend servers.

        The process is named after the first server, whose options apply to all.
        """
        first, names = backends[0], [backend.name for backend in backends]
        addresses = [self.addresses.setdefault(n, free_address()) for n in names]
        arguments = ["-m", "standins.backend", "--address", *addresses]
        arguments += ["--name", *names, "--log", self.server_log(first.name)]
        arguments += ["--slots", str(first.slots), "--work-ms", str(first.work_ms)]
        if first.divided:
            arguments.append("--divided")
        arguments += ["--cold-ms", str(first.cold_ms)]
        if not first.checks_grants:
            arguments.append("--unchecked")
        self._spawn(first.name, arguments)
        self._backends[first.name] = first
        self.vms = [vm for vm in self.vms if vm["name"] not in names]
        for backend, address in zip(backends, addresses, strict=True):
            self.vms.append(
                {
                    "name": backend.name,
                    "address": self._reachable_address(address, backend.name),
                    "failure_domain": backend.failure_domain,
                    "team": backend.team,
                    "service": backend.service,
                    "state": "live",
                }
            )
        self.platform("vms", self.vms)

    def restart_backend(self, name):
        """Start a killed backend server again at the same address."""
        self.start_backend(self._backends[name])

    def start_daemon(self, spec, **settings):
        """Start a daemon; keyword arguments override its default settings."""
        control, peer = free_address(), free_address()
        merged = {
            "name": spec.name,
            "failure_domain": spec.failure_domain,
            "caller_address": free_address(),
            "control_address": control,
            "peer_address": peer,
            "advertised_control_address": self._reachable_address(control, spec.name),
            "advertised_peer_address": self._reachable_address(peer, spec.name),
            "platform_address": self._reachable_address(
                self.platform_address, "platform"
            ),
            "security": {"insecure": True},
            **settings,
        }
        self.settings[spec.name] = merged
        self.restart_daemon(spec.name)

    def restart_daemon(self, name):
        """Start a daemon with its previous settings."""
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as stream:
            yaml.safe_dump(self.settings[name], stream)
        refusals = self.refusals.get(name)
        launcher = ["-m", "standins.refused_calls", refusals] if refusals else ["-m"]
        self._spawn(name, [*launcher, "tarragonramp.daemon", "--settings", path])

    def wait_ready(self, names):
        """Wait until daemons report that they are ready."""
        for name in names:
            self._wait_until(lambda name=name: self._is_ready(name), name)

    def wait_owned(self, name, timeout_s=START_TIMEOUT_S):
        """Wait until a daemon knows an owner for every slice of every service."""

        def all_owned():
            # Answered from the daemon's view, so it works while the platform is slow.
            status = self.operator(name, "services")
            services = status["services"] if status else ()
            return services and all(s["owned"] == s["slices"] for s in services)

        self._wait_until(all_owned, "owners", timeout_s)

    def command(self, *arguments, daemon=None):
        """Run the operators' command and return the completed process."""
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

    def operator(self, daemon, resource):
        """Read a resource from a daemon's operator interface."""
        address = self.settings[daemon]["control_address"]
        return _request_json(address, f"/operator/{resource}")

    def platform(self, resource, payload=None):
        """Read or set the state of the platform's stand-in; None if unreachable."""
        return _request_json(self.platform_address, f"/standin/{resource}", payload)

    def caller_address(self, daemon):
        """Return the address at which a daemon accepts callers' requests."""
        return self.settings[daemon]["caller_address"]

    def set_faults(self, *faults):
        """Replace the active faults of the proxy; without arguments, remove all.

        Parameters
        ----------
        *faults : standins.proxy.Fault
        """
        self._control_proxy("faults", [attrs.asdict(fault) for fault in faults])

    def signal(self, name, number):
        """Send a signal to one of this site's processes."""
        self.processes[name].send_signal(number)

    def is_running(self, name):
        """Tell whether a process has been started and has not ended."""
        return name in self.processes and self.processes[name].poll() is None

    def kill(self, name):
        """Kill a process and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name, timeout_s=30.0):
        """Send SIGTERM to a process and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def stop(self):
        """Kill all processes that are still running."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def server_log(self, name):
        """Return the path of a backend server's execution log."""
        return os.path.join(self.folder, f"{name}.log")

    def executions(self):
        """Return the log entries of all backend servers."""
        entries = []
        for name in self._backends:
            with open(self.server_log(name), encoding="utf-8") as stream:
                entries += [json.loads(line) for line in stream if line.endswith("\n")]
        return entries

    def log_lines_containing(self, text):
        """Return the log lines of all daemons that contain a text, sorted by time."""
        lines = [
            x for name in self.settings for x in self.daemon_log(name).splitlines()
        ]
        return sorted(line for line in lines if text in line)

    def daemon_log(self, name):
        """Return the standard error of a process."""
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
                # Keeps an interrupt from the terminal from reaching the process.
                start_new_session=True,
            )

        if self.proxied:
            self._control_proxy("pids", {name: self.processes[name].pid})

    def _reachable_address(self, address, target):
        """Return the address at which others reach a process, through any proxy."""
        if not self.proxied:
            return address
        if address not in self._links:
            listen = self._links[address] = free_address()
            link = {"listen": listen, "target_address": address, "target": target}
            self._control_proxy("links", [link])
        return self._links[address]

    def _control_proxy(self, resource, payload):
        return _request_json(self.proxy_address, f"/{resource}", payload)

    def _is_ready(self, name):
        self._raise_if_ended(name)
        return (
            _request_json(self.settings[name]["control_address"], "/ready") or {}
        ).get("ready", False)

    def _raise_if_ended(self, name):
        code = self.processes[name].poll()
        if code is not None:
            last = self.daemon_log(name).strip().rpartition("\n")[2]
            raise StartError(f"{name} exited with code {code}: {last}")

    def _wait_until(self, condition, awaited, timeout_s=START_TIMEOUT_S):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if condition():
                return
            if awaited in self.processes and not self.is_running(awaited):
                break
            time.sleep(0.05)
        logs = "".join(
            f"\n{name}: {self._last_output(name)}" for name in self.processes
        )
        raise TimeoutError(f"{awaited} not ready within {timeout_s} s{logs}")

    def _last_output(self, name):
        state = self.processes[name].poll()
        return f"exit code {state}; {self.daemon_log(name)[-300:]}"


def _request_json(address, target, payload=None):
    method = "GET" if payload is None else "POST"
    body = b"" if payload is None else json.dumps(payload).encode()
    response = HttpPool(address).exchange(method, target, (), body, 2000).value_or(None)
    return None if response is None else json.loads(response.body)
