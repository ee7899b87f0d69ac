"""Starts the daemons and stand-ins of a case, and records what was seen.

A case is run by ``review/N/run.sh``. Daemons are started with the command of
``deploy/system.toml``; store and backend servers are the project's own stand-ins.
"""

import http.client
import os
import signal
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEPENDENCIES = os.path.join(ROOT, "target", "deps")
sys.path[:0] = [ROOT, os.path.join(ROOT, "src"), DEPENDENCIES]

from standins.fleet_site import HOST, SETTINGS, FleetSite  # noqa: E402
from standins.site import free_address  # noqa: E402

__all__ = ["HOST", "Consumers", "Record", "ReviewSite", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 10, 2
"""Exit codes of a case; ``run.sh`` translates them."""

MAX_CASE_S = 110.0


class Record:
    """The lines of ``record.txt``, each with the seconds since the start.

    Parameters
    ----------
    path : str
    """

    def __init__(self, path):
        self._began_s = time.time()
        self._lock = threading.Lock()
        self._stream = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def add(self, text, at_s=None):
        """Write a line; ``at_s`` is its Unix time, by default now."""
        seconds = (time.time() if at_s is None else at_s) - self._began_s
        with self._lock:
            print(f"{seconds:8.3f} s  {text}", file=self._stream, flush=True)

    def conclude(self, text):
        """Write a line and print it."""
        self.add(text)
        print(text)


class ReviewSite(FleetSite):
    """A fleet whose daemons are started with the command of the deploy file."""

    def start_daemon(self, name, domain, extra_settings=""):
        """Start a daemon as ``deploy/system.toml`` says."""
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
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": DEPENDENCIES,
            "TARRAGONRAMP_CONFIG": path,
        }
        self._start(name, "-S", "platform/run.py", environment=environment)

    def reserve_address(self, name):
        """Return a free address for an upstream, and record it."""
        address = self.servers[name] = self.server_addresses[name] = free_address()
        return address

    def helper_environment(self):
        """Return the environment of a stand-in."""
        paths = os.pathsep.join((ROOT, os.path.join(ROOT, "src"), DEPENDENCIES))
        return {**os.environ, "PYTHONPATH": paths}

    def _start(self, name, *arguments, environment=None):
        environment = environment or self.helper_environment()
        super()._start(name, *arguments, environment=environment)


class Consumers:
    """Threads that send requests at a steady rate, each on a new connection.

    Parameters
    ----------
    site : ReviewSite
    record : Record
    path : str
    interval_s : float
        Pause of one thread between two requests.
    keys : sequence of int, optional
        Keys that the requests carry in turn.
    """

    def __init__(self, site, record, path, interval_s, keys=()):
        self._site, self._record, self._path = site, record, path
        self._interval_s, self._keys = interval_s, keys
        self._stopped = threading.Event()
        self._threads = []
        self.results = []

    def start(self):
        """Start one thread for each daemon."""
        for daemon in self._site.daemons:
            thread = threading.Thread(target=self._run, args=(daemon,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self):
        """Stop the threads and wait for their last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(5.0)

    def served_between(self, begin_s, end_s):
        """Return how many requests were sent in a time, and how many were served."""
        found = [status for at, status in self.results if begin_s <= at < end_s]
        return len(found), sum(status == 200 for status in found)

    def _run(self, daemon):
        number = 0
        while not self._stopped.wait(self._interval_s):
            number += 1
            key = self._keys[number % len(self._keys)] if self._keys else None
            self._send(daemon, f"{daemon}-{id(self) % 9973}-{number}", key)

    def _send(self, daemon, request_id, key):
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1500"}
        if key is not None:
            headers["Shard-Key"] = str(key)
        sent_s = time.time()
        host, _, port = self._site.daemons[daemon]["front"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2.5)
        try:
            connection.request("GET", self._path, headers=headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        finally:
            connection.close()
        self.results.append((sent_s, status))
        self._record.add(
            f"request {request_id} {self._path} key {key} sent; got {status}"
            f" at {time.time() - sent_s:.3f} s",
            sent_s,
        )


def run_case(case, site_class=ReviewSite):
    """Run a case and exit with its code; the record's path is the first argument.

    Parameters
    ----------
    case : callable
        ``case(site, record, with_trouble)`` returns the reasons why the rule counts as
        broken.
    site_class : type, default=ReviewSite
    """
    os.chdir(ROOT)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record, site = Record(sys.argv[1]), site_class()
    # Ends the processes also if the case itself is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    watchdog = threading.Timer(MAX_CASE_S, _give_up, (site, record))
    watchdog.daemon = True
    watchdog.start()
    try:
        record.add(f"disruption: {'yes' if with_trouble else 'no'}")
        reasons = case(site, record, with_trouble)
        for reason in reasons:
            record.conclude(f"broken: {reason}")
        if not reasons:
            record.conclude("the rule held")
        code = BROKEN if reasons else HELD
    except BaseException:
        record.conclude(f"could not run: {traceback.format_exc()}")
        code = NOT_RUN
    finally:
        site.close()
    sys.stdout.flush()
    os._exit(code)


def _give_up(site, record):
    record.conclude(f"could not run: not over after {MAX_CASE_S:.0f} s")
    site.close()
    os._exit(NOT_RUN)
