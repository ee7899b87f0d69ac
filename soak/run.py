"""Runs the soak: ``python -m soak.run --seeds 1 2 3`` or ``--fresh 4``.

Ends only processes that it has started itself.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import secrets  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import traceback  # noqa: E402

import attrs  # noqa: E402
import defopt  # noqa: E402
import gevent  # noqa: E402

from standins.fleet_site import HOST, FleetSite, manifest  # noqa: E402
from standins.proxy import Fault  # noqa: E402
from standins.site import free_address  # noqa: E402
from tarragonramp.adapters.http import HttpPool  # noqa: E402
from tarragonramp.manifest import N_KEYS  # noqa: E402

from .checks import Outcome, Probe, Run, find_faults  # noqa: E402
from .plan import DAEMONS, FIRST_NEWER_SEED, SERVERS, draw_plan  # noqa: E402

__all__ = ["Soak", "main"]

SETTLE_S = 25.0
"""Until every key is served again after the last fault: a hold, the time in which
grants without an answer may be carried out, and a change of the leader."""

N_CALLERS = 8
PAUSE_MS = 40.0
MANY = 10_000
IN_FORCE_S = 2.0
SEEDS_FILE = "soak/seeds.txt"
KEPT_LOGS = "out/soak"

READY_LINE = "event=daemon-ready"
"""Until a daemon has said so it may not have taken up its signals yet: it serves
nobody, and ends at once if it is stopped."""


@attrs.define(eq=False)
class Soak:
    """One run with one seed.

    Parameters
    ----------
    seed : int
    length_s : float
        For which faults strike; serving again is waited for after that.
    """

    seed: int
    length_s: float
    site: FleetSite = attrs.Factory(lambda: FleetSite(proxy=free_address()))
    seen: Run = attrs.Factory(Run)
    version: int = 1
    links: list = attrs.Factory(list)
    stopping: bool = False
    n_calls: int = 0
    odd: list = attrs.Factory(list)
    said_before: dict = attrs.Factory(dict)
    starting: set = attrs.Factory(set)

    def play(self):
        """Return the broken promises of a run by name, and what else went wrong.

        What every process wrote is kept unless nothing did, also if the run fails.
        """
        is_clean = False
        try:
            self._start()
            callers = [gevent.spawn(self._call, i) for i in range(N_CALLERS)]
            self._strike_all()
            settled = self._settles()
            self.stopping = True
            gevent.joinall(callers, timeout=10.0)
            self._read_logs()
            faults = find_faults(self.seen)
            faults["all keys served again"] = [] if settled else ["not in time"]
            faults["nothing odd in the logs"] = self.odd
            is_clean = not any(faults.values())
            return faults
        finally:
            if not is_clean:
                self._keep_logs()
            self.site.close()

    def _start(self):
        self.site.start_store()
        self._write_manifest()
        for name, (service, domain) in SERVERS.items():
            self.site.start_server(name, service, domain)
        for name in DAEMONS:
            self._start_daemon(name)
        self.site.wait_ready(*DAEMONS)

    def _start_daemon(self, name):
        is_known = name in self.site.processes
        self.said_before[name] = len(self.site.log_text(name)) if is_known else 0
        self.site.start_daemon(name, DAEMONS[name])

    def _is_new(self, name):
        """Tell whether a daemon's process has not yet said that it is ready."""
        return READY_LINE not in self.site.log_text(name)[self.said_before[name] :]

    def _strike_all(self):
        began_s, tasks = time.monotonic(), []
        for strike in draw_plan(self.seed, self.length_s * 1000.0):
            gevent.sleep(max(0.0, began_s + strike.at_ms / 1000.0 - time.monotonic()))
            tasks.append(gevent.spawn(self._strike, strike))
        gevent.joinall(tasks, raise_error=True)

    def _strike(self, strike):
        kind = strike.kind.replace("-", "_")
        pause_s = strike.for_ms / 1000.0
        if strike.name == "leader":
            strike = attrs.evolve(strike, name=self._leader())
        getattr(self, f"_{kind}")(strike, pause_s)

    def _leader(self):
        objects = self.site.order()["objects"].get("ramp-leader", {})
        name = objects.get("leader", {}).get("spec", {}).get("name")
        return name if name in DAEMONS else "d1"

    def _kill(self, strike, pause_s):
        if not self._is_up(strike.name):
            return
        self.site.kill(strike.name)
        self.seen.ends.append((strike.name, time.time() * 1000.0))
        gevent.sleep(pause_s)
        self._restart(strike.name)

    def _kill_all(self, strike, pause_s):
        tasks = [
            gevent.spawn(self._kill, attrs.evolve(strike, name=name), pause_s)
            for name in DAEMONS
        ]
        gevent.joinall(tasks)

    def _freeze(self, strike, pause_s):
        if not self._is_up(strike.name):
            return
        process = self.site.processes[strike.name]
        began_ms = time.time() * 1000.0
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(pause_s)
        process.send_signal(signal.SIGCONT)
        if strike.name in DAEMONS:
            ill = strike.name, began_ms, time.time() * 1000.0
            self.seen.daemons_ill.append(ill)

    def _stop(self, strike, pause_s):
        if not self._is_up(strike.name):
            return
        process = self.site.processes[strike.name]
        is_new = self._is_new(strike.name)
        process.terminate()
        with gevent.Timeout(12.0, False):
            while process.poll() is None:
                gevent.sleep(0.05)
        expected = {0, -signal.SIGKILL} | ({-signal.SIGTERM} if is_new else set())
        if process.poll() not in expected:
            self.odd.append(f"{strike.name} ended with {process.poll()}")
        gevent.sleep(pause_s)
        self._restart(strike.name)

    def _leave(self, strike, pause_s):
        if not self._is_up(strike.name) or strike.name in self.starting:
            # One that starts knows no signals yet: it would end without leaving.
            return
        process = self.site.processes[strike.name]
        is_unsaid = strike.detail == "unsaid"
        process.send_signal(signal.SIGUSR2 if is_unsaid else signal.SIGUSR1)
        gevent.sleep(3.0 + pause_s)
        if self.site.processes[strike.name] is process:
            self._kill(strike, 0.5)
            self._restart(strike.name)

    def _restart(self, name):
        if self._is_up(name):
            return
        if name in DAEMONS:
            self._start_daemon(name)
            return
        self.starting.add(name)
        try:
            self.site.start_server(name, *SERVERS[name])
        except ChildProcessError as error:
            # Whoever killed it while it started starts it again.
            if self.site.processes[name].poll() != -signal.SIGKILL:
                self.odd.append(f"{name}: {error}")
        finally:
            self.starting.discard(name)

    def _misbehave(self, strike, pause_s):
        if not self._is_up(strike.name):
            return
        process = self.site.processes[strike.name]
        for count in (MANY, 0):
            if process.poll() is None:
                body = json.dumps({strike.detail: count}).encode()
                pool = HttpPool(self.site.servers[strike.name])
                pool.exchange("POST", "/stand-in/faults", (), body, 2000)
            gevent.sleep(pause_s if count else 0.0)

    def _link(self, strike, pause_s):
        sources = list(DAEMONS) if strike.name == "*" else [strike.name]
        fault = Fault(sources, [strike.target], strike.detail, 300.0)
        began_ms = time.time() * 1000.0
        self.links.append(fault)
        self.site.set_faults(*self.links)
        gevent.sleep(pause_s)
        self.links.remove(fault)
        self.site.set_faults(*self.links)
        ended_ms = time.time() * 1000.0
        if strike.target == "store" and len(sources) > 1:
            self.seen.store_ill.append((began_ms, ended_ms))
        elif strike.target == "store":
            self.seen.daemons_ill.append((strike.name, began_ms, ended_ms))
        else:
            self.seen.links_ill.append((strike.target, began_ms, ended_ms))

    def _store(self, strike, pause_s):
        if strike.detail == "forget":
            self.site.order(forget_history=True)
            return
        value = {"down": True, "delay_ms": 400.0}.get(strike.detail, 3)
        began_ms = time.time() * 1000.0
        self.site.order(faults={strike.detail: value})
        gevent.sleep(pause_s)
        self.site.order(faults={strike.detail: type(value)()})
        self.seen.store_ill.append((began_ms, time.time() * 1000.0))

    def _take_out(self, strike, pause_s):
        self.site.order(write=["evacuations", strike.name, {}, None])
        gevent.sleep(pause_s)
        self.site.order(delete=["evacuations", strike.name])

    def _manifest(self, strike, pause_s):
        version = self._write_manifest()
        added_ms = time.time() * 1000.0
        gevent.sleep(IN_FORCE_S)
        if version != self.version:
            # The next one has dropped the route.
            return
        for daemon in DAEMONS:
            self._probe(daemon, f"/v{version}/", added_ms)

    def _probe(self, daemon, route, added_ms):
        sent_ms = time.time() * 1000.0
        answer = self.site.call(daemon, route, f"probe-{daemon}-{route.strip('/')}")
        status = answer.status if answer else 0
        self.seen.probes.append(Probe(daemon, route, added_ms, sent_ms, status))

    def _write_manifest(self):
        self.version += 1
        spec = manifest(self.version, **{f"v{self.version}": "desk"})
        self.site.order(write=["config", "main", spec, None])
        return self.version

    def _keep_logs(self):
        """Save what every process has written: it is not there a second time."""
        folder = os.path.join(KEPT_LOGS, f"seed-{self.seed}")
        os.makedirs(folder, exist_ok=True)
        started = (n for n in ("store", *DAEMONS, *SERVERS) if n in self.site.processes)
        for name in started:
            with open(os.path.join(folder, f"{name}.log"), "w") as stream:
                stream.write(self.site.log_text(name))

    def _is_up(self, name):
        return self.site.processes[name].poll() is None

    def _call(self, number):
        """Call through one daemon after the other, on connections that are kept."""
        rng, pools = random.Random(self.seed * 100 + number), {}
        while not self.stopping:
            daemon = rng.choice(list(DAEMONS))
            pool = pools.setdefault(
                daemon, HttpPool(self.site.daemons[daemon]["front"])
            )
            self._call_once(rng, daemon, pool, number)
            gevent.sleep(PAUSE_MS * rng.uniform(0.5, 1.5) / 1000.0)

    def _call_once(self, rng, daemon, pool, number):
        self.n_calls += 1
        named = f"s{number}-{self.n_calls}"
        key = rng.randrange(N_KEYS)
        method, path = rng.choice(
            (("GET", "/view/"), ("POST", "/book/"), ("GET", "/parts/"))
        )
        headers = [("Host", HOST), ("Request-Id", named), ("Deadline-Ms", "1500")]
        if path == "/parts/":
            headers.append(("Shard-Key", str(key)))
        body = b"claim" if method == "POST" else b""
        sent_ms = time.time() * 1000.0
        result = pool.exchange(method, path, headers, body, 2500)
        answer = result.value_or(None)
        status, text = (answer.status, answer.body) if answer else (0, b"")
        answered_ms = time.time() * 1000.0
        times_ms = sent_ms, answered_ms
        outcome = Outcome(named, method, path, *times_ms, status, text, daemon)
        self.seen.outcomes.append(outcome)

    def _settles(self):
        """Wait until every daemon serves keys all over the space; whether it does."""
        until_s = time.monotonic() + SETTLE_S
        while time.monotonic() < until_s:
            if all(self._serves(daemon) for daemon in DAEMONS):
                return True
            gevent.sleep(0.5)
        return False

    def _serves(self, daemon):
        for key in range(0, N_KEYS, N_KEYS // 16):
            answer = self.site.call(daemon, "/parts/", f"end-{daemon}-{key}", key)
            if answer is None or answer.status != 200:
                return False
        return True

    def _read_logs(self):
        for name in SERVERS:
            for line in self.site.log_text(name).splitlines():
                if line.startswith("["):
                    self.seen.entries.append(json.loads(line))
        for name in DAEMONS:
            for line in self.site.log_text(name).splitlines():
                if "event=task-failed" in line or line.startswith("Traceback"):
                    self.odd.append(f"{name}: {line[:300]}")


def main(*, seeds: list[int] = (), fresh: int = 0, length_s: float = 30.0):
    """Play seeds one after the other; exit with 1 if a promise broke.

    Parameters
    ----------
    seeds : list[int]
        Those of ``soak/seeds.txt`` if neither these nor fresh ones are asked for.
    fresh : int
        How many seeds to draw anew.
    length_s : float
        For which faults strike in each run.
    """
    drawn = (FIRST_NEWER_SEED + secrets.randbelow(1_000_000) for _ in range(fresh))
    chosen = [*seeds, *drawn]
    return sum(not is_clean(seed, length_s) for seed in chosen or kept_seeds())


def is_clean(seed, length_s, make=Soak):
    """Play a seed and print what became of it; whether nothing broke or failed.

    The seed is printed before its play: one that ends otherwise would be lost.
    """
    print(f"seed {seed}: ", end="", flush=True)
    soak = make(seed, length_s)
    try:
        broken = {name: found for name, found in soak.play().items() if found}
    except Exception:
        print("failed", flush=True)
        traceback.print_exc(file=sys.stdout)
        return False
    served = sum(o.status == 200 for o in soak.seen.outcomes)
    print(f"{len(soak.seen.outcomes)} calls, {served} served", end="")
    print(f", broken: {sorted(broken)}" if broken else ", nothing broken")
    for name, found in broken.items():
        print(f"  {name}: {len(found)}", *found[:5], sep="\n    ", flush=True)
    return not broken


def kept_seeds(path=SEEDS_FILE):
    """Return the seeds that once failed, each on a line before its cause."""
    with open(path, encoding="utf-8") as stream:
        lines = [line.split("#")[0].split() for line in stream]
    return [int(words[0]) for words in lines if words]


if __name__ == "__main__":
    sys.exit(1 if defopt.run(main) else 0)
