"""How long keys are without service when something dies or freezes.

Each kind of event happens many times over on one site; the table gives minimum, median
and maximum over the events. Run it with ``python -m bench.recovery``.
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
ATTEMPT_MS = 300.0
PAUSE_S = 0.02
GIVE_UP_S = 15.0
SETTLE_S = 2.5


@attrs.define
class Probe:
    """Asks for one key over and over, and notes what it gets.

    Parameters
    ----------
    site : Site
    key : str
    """

    site: object
    key: str
    answers: list = attrs.Factory(list)
    running: bool = True

    def run(self):
        """Ask until told to stop."""
        turn = 0
        while self.running:
            turn += 1
            began_s = time.monotonic()
            answered = self._ask(ALL_DAEMONS[turn % len(ALL_DAEMONS)])
            if answered is not None:
                self.answers.append((began_s, answered))
            gevent.sleep(PAUSE_S)

    def _ask(self, daemon):
        """Return whether the answer was good; None if the daemon does not listen."""
        if not self.site.is_running(daemon):
            return None
        pool = HttpPool(self.site.caller_address(daemon))
        headers = [("X-Grant-Record", self.key)]
        result = pool.exchange("GET", "/records/status", headers, b"", ATTEMPT_MS)
        pool.close()
        if not self.site.is_running(daemon):
            return None
        return is_successful(result) and result.unwrap().status == 200

    def gap_s(self, since_s):
        """Return the time from an event to the last failed attempt's end."""
        later = [(at, ok) for at, ok in self.answers if at >= since_s]
        failed = [index for index, (_, ok) in enumerate(later) if not ok]
        if not failed:
            return 0.0
        after = failed[-1] + 1
        return later[after][0] - since_s if after < len(later) else GIVE_UP_S


def measure(site, event, undo, n_events):
    """Let an event happen over and over.

    Parameters
    ----------
    site : Site
    event, undo : callable
        ``event(site)`` makes the trouble, ``undo(site, token)`` ends it, given what
        the event returned.
    n_events : int

    Returns
    -------
    gaps_s : list of float
        By event, the longest time that one of the watched keys was without service.
    """
    gaps_s = []
    for _ in range(n_events):
        probes = [Probe(site, key) for key in keys_of(site, SERVER, 8)]
        tasks = [gevent.spawn(probe.run) for probe in probes]
        gevent.sleep(0.3)
        event_s = time.monotonic()
        token = event(site)
        gevent.sleep(SETTLE_S)
        for probe in probes:
            probe.running = False
        gevent.joinall(tasks)
        gaps_s.append(max(probe.gap_s(event_s) for probe in probes))
        undo(site, token)
        gevent.sleep(0.5)
        wait_spread(site)
    return gaps_s


def keys_of(site, server, n_keys):
    """Return keys that a server owns now."""
    stored = site.operator("d1", "objects/Assignment/fraser-valley.records")
    owned = set()
    for first, count, state, owner, _ in stored["spec"]["ranges"]:
        if owner == server and state == "owned":
            owned.update(range(first, first + count))
    keys = [f"key{number}" for number in range(2000)]
    return [key for key in keys if slice_of(key, N_SLICES) in owned][:n_keys]


def wait_spread(site):
    """Wait until the watched server owns keys again."""
    until_s = time.monotonic() + GIVE_UP_S
    while time.monotonic() < until_s:
        if len(keys_of(site, SERVER, 8)) == 8:
            for name in ALL_DAEMONS:
                site.wait_owned(name)
            return
        gevent.sleep(0.1)
    raise TimeoutError(f"{SERVER} got no keys back")


def kill_server(site):
    """Kill the backend server."""
    site.kill(SERVER)


def restart_server(site, token):
    """Start it again."""
    site.restart_backend(SERVER)


def freeze_server(site):
    """Freeze the backend server."""
    site.signal(SERVER, signal.SIGSTOP)


def thaw_server(site, token):
    """Let it go on."""
    site.signal(SERVER, signal.SIGCONT)


def killer_of(role):
    """Return an event that kills whoever holds a role."""

    def kill(site):
        running = next(name for name in ALL_DAEMONS if site.is_running(name))
        name = holder_of(site, role, running)
        site.kill(name)
        return name

    return kill


def restart_daemon(site, name):
    """Start a killed daemon again."""
    site.restart_daemon(name)
    site.wait_ready([name])


EVENTS = {
    "server-killed": (kill_server, restart_server),
    "server-frozen": (freeze_server, thaw_server),
    "steward-killed": (killer_of(STEWARD), restart_daemon),
    "planner-killed": (killer_of(PLANNER), restart_daemon),
}


def main():
    """Print the table; the exit code says only whether it could be measured."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--kinds", nargs="*", default=list(EVENTS))
    options = parser.parse_args()
    print(f"{'event':>16}{'events':>8}{'min_ms':>10}{'median_ms':>11}{'max_ms':>10}")
    for kind in options.kinds:
        site = Site()
        try:
            start_small(site)
            gaps_s = measure(site, *EVENTS[kind], options.events)
        finally:
            site.stop()
            shutil.rmtree(site.folder, ignore_errors=True)
        low, mid, high = min(gaps_s), statistics.median(gaps_s), max(gaps_s)
        cells = "".join(f"{value * 1000:>10.0f} " for value in (low, mid, high))
        print(f"{kind:>16}{len(gaps_s):>8}{cells}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
