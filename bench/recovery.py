"""Measures how long keys are not served after a process is killed or paused.

Each kind of event is repeated on one site; the table gives the minimum, median and
maximum outage. Run it with ``python -m bench.recovery``.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from returns.pipeline import is_successful  # noqa: E402

from standins.layouts import ALL_DAEMONS, holder_of, start_small  # noqa: E402
from standins.site import Site  # noqa: E402
from tarragonramp import slice_of  # noqa: E402
from tarragonramp.adapters.http import HttpPool  # noqa: E402

SERVER = "records1"
STEWARD = f"steward.fraser-valley.records.{SERVER}"
PLANNER = "planner.fraser-valley"
N_SLICES = 64
REQUEST_TIMEOUT_MS = 300.0
PAUSE_S = 0.02
TIMEOUT_S = 15.0
SETTLE_S = 2.5


@attrs.define
class Probe:
    """Requests one key continuously and records whether it was served.

    Parameters
    ----------
    site : Site
    key : str
    """

    site: object
    key: str
    samples: list = attrs.Factory(list)
    running: bool = True

    def run(self):
        """Send requests until ``running`` is false, to one daemon after the other."""
        attempt = 0
        while self.running:
            attempt += 1
            start_s = time.monotonic()
            is_served = self._is_served(ALL_DAEMONS[attempt % len(ALL_DAEMONS)])
            if is_served is not None:
                self.samples.append((start_s, is_served))
            gevent.sleep(PAUSE_S)

    def _is_served(self, daemon):
        """Tell whether a request was served; None if the daemon is not running."""
        if not self.site.is_running(daemon):
            return None
        pool = HttpPool(self.site.caller_address(daemon))
        headers = [("X-Grant-Record", self.key)]
        result = pool.exchange(
            "GET", "/records/status", headers, b"", REQUEST_TIMEOUT_MS
        )
        pool.close()
        if not self.site.is_running(daemon):
            return None
        return is_successful(result) and result.unwrap().status == 200

    def outage_s(self, since_s):
        """Return the time from an event to the first attempt after the last failure.

        0 without a failure; ``TIMEOUT_S`` if the last attempt failed.
        """
        later = [(at, ok) for at, ok in self.samples if at >= since_s]
        failed_indexes = [index for index, (_, ok) in enumerate(later) if not ok]
        if not failed_indexes:
            return 0.0
        after = failed_indexes[-1] + 1
        return later[after][0] - since_s if after < len(later) else TIMEOUT_S


def measure_outages(site, inject, recover, n_events):
    """Measure the outages that repeated events cause.

    Parameters
    ----------
    site : Site
    inject, recover : callable
        ``inject(site)`` causes the fault; ``recover(site, injected)`` ends it, given
        the value that ``inject`` returned.
    n_events : int

    Returns
    -------
    outages_s : list of float
        By event, the longest time that one of the probed keys was not served.
    """
    outages_s = []
    for _ in range(n_events):
        probes = [Probe(site, key) for key in owned_keys(site, SERVER, 8)]
        tasks = [gevent.spawn(probe.run) for probe in probes]
        gevent.sleep(0.3)
        event_s = time.monotonic()
        injected = inject(site)
        gevent.sleep(SETTLE_S)
        for probe in probes:
            probe.running = False
        gevent.joinall(tasks)
        outages_s.append(max(probe.outage_s(event_s) for probe in probes))
        recover(site, injected)
        gevent.sleep(0.5)
        wait_until_rebalanced(site)
    return outages_s


def owned_keys(site, server, n_keys):
    """Return some of the keys that a server currently owns."""
    stored = site.operator("d1", "objects/Assignment/fraser-valley.records")
    owned = set()
    for first, count, state, owner, _ in stored["spec"]["ranges"]:
        if owner == server and state == "owned":
            owned.update(range(first, first + count))
    keys = [f"key{number}" for number in range(2000)]
    return [key for key in keys if slice_of(key, N_SLICES) in owned][:n_keys]


def wait_until_rebalanced(site):
    """Wait until the probed server owns keys again and every slice has an owner."""
    until_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < until_s:
        if len(owned_keys(site, SERVER, 8)) == 8:
            for name in ALL_DAEMONS:
                site.wait_owned(name)
            return
        gevent.sleep(0.1)
    raise TimeoutError(f"{SERVER} got no keys back")


def kill_server(site):
    """Kill the backend server."""
    site.kill(SERVER)


def restart_server(site, injected):
    """Restart the backend server."""
    site.restart_backend(SERVER)


def pause_server(site):
    """Pause the backend server's process."""
    site.signal(SERVER, signal.SIGSTOP)


def resume_server(site, injected):
    """Resume the backend server's process."""
    site.signal(SERVER, signal.SIGCONT)


def make_kill_holder(role):
    """Return a function that kills the daemon that holds a role."""

    def kill(site):
        running = next(name for name in ALL_DAEMONS if site.is_running(name))
        name = holder_of(site, role, running)
        site.kill(name)
        return name

    return kill


def restart_daemon(site, name):
    """Restart a killed daemon and wait until it is ready."""
    site.restart_daemon(name)
    site.wait_ready([name])


EVENTS = {
    "server-killed": (kill_server, restart_server),
    "server-frozen": (pause_server, resume_server),
    "steward-killed": (make_kill_holder(STEWARD), restart_daemon),
    "planner-killed": (make_kill_holder(PLANNER), restart_daemon),
}


def main():
    """Run the benchmark and print a table.

    Exits with 0 once everything was measured, whatever the figures.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--kinds", nargs="*", default=list(EVENTS))
    options = parser.parse_args()
    print(f"{'event':>16}{'events':>8}{'min_ms':>10}{'median_ms':>11}{'max_ms':>10}")
    for kind in options.kinds:
        site = Site()
        try:
            start_small(site)
            outages_s = measure_outages(site, *EVENTS[kind], options.events)
        finally:
            site.stop()
            shutil.rmtree(site.folder, ignore_errors=True)
        min_s, median_s, max_s = (
            min(outages_s),
            statistics.median(outages_s),
            max(outages_s),
        )
        cells = "".join(f"{value * 1000:>10.0f} " for value in (min_s, median_s, max_s))
        print(f"{kind:>16}{len(outages_s):>8}{cells}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
