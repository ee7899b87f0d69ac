"""Keeps the manifest of one daemon from becoming older than it knows.

A daemon hears of changes from its leader or from the store, and either may fall silent.
It knows up to when its manifest was the newest, and reads the manifest itself once that
is too long ago, whoever has failed.
"""

import random

import attrs
import gevent
from gevent.event import Event

from ..adapters.logs import log_event
from ..fleet_view import FOLLOWED_KINDS, MANIFEST

__all__ = ["MAX_UNCONFIRMED_MS", "ManifestFreshness"]

MAX_AGE_MS = 1400.0
"""Age at which a daemon reads the manifest itself.

What a leader that hears the store has told is at most 1.3 s old: it is confirmed each
0.8 s, and answers within 0.5 s."""

MAX_DELAY_MS = 250.0
"""Up to how much later a daemon reads, so that not all of them call at once, and few if
the leader hears from one of them."""

MAX_UNCONFIRMED_MS = 1800.0
"""Age up to which a route that is missing in the manifest does not exist.

A route has to be served two seconds after it was added."""

HEDGE_MS, READ_TIMEOUT_MS = 100.0, 350.0
"""After the first time without an answer of the store other daemons are asked as well;
after the second one the reading has failed. A call takes some milliseconds."""

MAX_PEERS, ASK_AGAIN_MS = 3, 80.0
"""Other daemons that are asked in place of the store, and how often."""

MAX_LOGGED_MS = 1e9
"""Stands for the age of a manifest of which nothing is known."""

MIN_RETRY_MS, RETRY_PER_DAEMON_MS, MAX_RETRY_MS = 500.0, 25.0, 5000.0
"""Shortest and longest pause after a reading that failed, and the pause for each daemon
of the fleet. All of them fail while the store is away, and each call is paid for."""


@attrs.define(eq=False, repr=False)
class ManifestFreshness:
    """Confirms that a daemon's manifest is the newest, when nobody else does.

    Parameters
    ----------
    name : str
        Of this daemon.
    view : FleetView
    follower : Follower
    clock : Clock
    """

    name: str
    view: object
    follower: object
    clock: object
    _reading_ended: object = None
    _rng: random.Random = attrs.Factory(random.Random)

    def run(self):
        """Read the manifest whenever its age exceeds the limit, forever."""
        retry_ms = 0.0
        while True:
            left_ms = MAX_AGE_MS - self.age_ms()
            delay_ms = MAX_DELAY_MS * self._rng.random()
            gevent.sleep((max(0.0, left_ms, retry_ms) + delay_ms) / 1000.0)
            if self.view.manifest is None or self.age_ms() < MAX_AGE_MS:
                retry_ms = MIN_RETRY_MS if self.view.manifest is None else 0.0
                continue
            self._read()
            is_read = self.age_ms() < MAX_AGE_MS
            retry_ms = 0.0 if is_read else self._next_retry_ms(retry_ms)

    def age_ms(self):
        """Return how long ago the manifest in force was known to be the newest."""
        return self.clock.now_ms() - self.view.manifest_known_ms

    def confirm(self, min_version=0):
        """Return whether what the manifest does not contain does not exist.

        Reads the manifest if its age, or a version that other daemons have used, leaves
        doubt; all that ask meanwhile wait for the same reading.
        """
        if not self._is_in_doubt(min_version):
            return True
        self._read()
        return not self._is_in_doubt(min_version)

    def _is_in_doubt(self, min_version):
        is_old = self.age_ms() > MAX_UNCONFIRMED_MS
        return is_old or self.view.manifest.version < min_version

    def _next_retry_ms(self, retry_ms):
        scaled_ms = RETRY_PER_DAEMON_MS * len(self.view.daemons)
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, scaled_ms, 2.0 * retry_ms))

    def _read(self):
        """Read the manifest, or wait for the reading that is in progress."""
        if self._reading_ended is not None:
            self._reading_ended.wait()
            return
        ended = self._reading_ended = Event()
        try:
            self._read_once()
        finally:
            self._reading_ended = None
            ended.set()

    def _read_once(self):
        """Read the manifest from the store, or from other daemons if it is silent."""
        age_ms, before = self.age_ms(), self.view.manifest.version
        reading = gevent.spawn(self.follower.read_manifest)
        reading.join(HEDGE_MS / 1000.0)
        is_read = reading.ready() and bool(reading.value)
        if not is_read:
            asking = [gevent.spawn(self._ask, peer) for peer in self._choose_peers()]
            gevent.joinall([reading, *asking], (READ_TIMEOUT_MS - HEDGE_MS) / 1000.0)
            is_read = reading.ready() and bool(reading.value)
            gevent.killall([reading, *asking], block=False)
        log_event(
            "manifest-read",
            age_ms=round(min(age_ms, MAX_LOGGED_MS)),
            store_answered=is_read,
            manifest_before=before,
            manifest=self.view.manifest.version,
            known_ms_ago=round(min(self.age_ms(), MAX_LOGGED_MS)),
        )

    def _choose_peers(self):
        """Return addresses of some other daemons, chosen by chance."""
        others = [
            address for name, address in self.view.daemons.items() if name != self.name
        ]
        return self._rng.sample(others, min(MAX_PEERS, len(others)))

    def _ask(self, address):
        """Fetch what a daemon knows: of the manifest first, then of everything else.

        Others may be reading the manifest just now, so they are asked until one of them
        knows the newest.
        """
        self.follower.fetch_from_peer(MANIFEST, address)
        while self.age_ms() >= MAX_AGE_MS:
            gevent.sleep(ASK_AGAIN_MS / 1000.0)
            self.follower.fetch_from_peer(MANIFEST, address)
        for kind in FOLLOWED_KINDS:
            if kind != MANIFEST:
                self.follower.fetch_from_peer(kind, address)
