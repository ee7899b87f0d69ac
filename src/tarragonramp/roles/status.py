"""Which configuration is in force in a failure domain: one Status object for each."""

import json

import attrs
import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import ConflictError
from ..model import KIND_STATUS

__all__ = ["IN_FORCE_TARGET", "StatusReporter"]

IN_FORCE_TARGET = "/peer/in-force"
IDLE_MS = 1000
AVOID_MS = 10_000
MAX_NAMED = 20
"""Most daemons that a Status names as lagging: the value stays small."""


@attrs.define(eq=False, repr=False)
class StatusReporter:
    """Tells what is in force here, and writes for the failure domain if it is its turn.

    Each daemon tells the first daemon of its failure domain, by name, whenever its
    configuration has changed; that one writes. So a change costs a message a daemon
    and one or two writes a failure domain, and nothing while nothing changes.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
    pools : HttpPools
    secrets : Secrets
        Of the peer port.
    clock : Clock
    timing : Timing
    """

    me: object
    view: object
    platform: object
    pools: object
    secrets: object
    clock: object
    timing: object
    _versions: dict = attrs.Factory(dict)
    _told: tuple = ()
    _avoided_until_ms: dict = attrs.Factory(dict)
    _newest: int = 0
    _newest_since_ms: float = 0.0
    _changed: Event = attrs.Factory(Event)

    def run(self):
        """Tell or write whenever there is something new, for ever."""
        self.view.on_change(self._changed.set)
        while True:
            self._changed.clear()
            reporter = self._reporter()
            if reporter is None or reporter.identity == self.me.identity:
                self.take(self.me.identity, self.view.config_version)
                self._write()
            else:
                self._tell(reporter)
            self._changed.wait(IDLE_MS / 1000.0)
            # Several changes at once make one message and one write.
            gevent.sleep(self.timing.status_ms / 1000.0)

    def take(self, identity, version):
        """Note what another daemon of the failure domain has in force.

        Parameters
        ----------
        identity : str
        version : int
        """
        if self._versions.get(identity, 0) < version:
            self._versions[identity] = version
            self._changed.set()

    def _reporter(self):
        now_ms = self.clock.now_ms()
        for name in sorted(self._members()):
            member = self._members()[name]
            if member.identity == self.me.identity:
                return member
            if self._avoided_until_ms.get(member.identity, 0.0) <= now_ms:
                return member
        return None

    def _members(self):
        return {
            name: member
            for name, member in self.view.members().items()
            if member.failure_domain == self.me.failure_domain
        }

    def _tell(self, reporter):
        news = (reporter.identity, self.view.config_version)
        if news == self._told:
            return
        body = json.dumps({"identity": self.me.identity, "version": news[1]}).encode()
        result = self.pools.at(reporter.control_address).exchange(
            "POST",
            IN_FORCE_TARGET,
            self.secrets.headers,
            body,
            self.timing.control_timeout_ms,
        )
        if is_successful(result) and result.unwrap().status == 200:
            self._told = news
            return
        # It may be dead and still registered: the next one reports meanwhile.
        until_ms = self.clock.now_ms() + AVOID_MS
        self._avoided_until_ms[reporter.identity] = until_ms
        self._changed.set()

    def _write(self):
        status = self._status()
        name = self.me.failure_domain
        held = self.view.stored(KIND_STATUS, name)
        if held is not None and held.spec == status:
            return
        settled_ms = self.clock.now_ms() - self._newest_since_ms
        if status["lagging"] and settled_ms < self.timing.status_ms:
            self._changed.set()
            return
        version = held.version if held else 0
        result = self.platform.put(KIND_STATUS, name, status, version)
        if is_successful(result):
            self.view.apply(result.unwrap())
            return
        error = result.failure()
        if isinstance(error, ConflictError) and error.current is not None:
            self.view.apply(error.current)
        log_event("status-not-written", failure_domain=name, error=error)

    def _status(self):
        members = self._members()
        versions = {
            name: self._versions.get(member.identity, 0)
            for name, member in members.items()
        }
        newest = max([*versions.values(), self._newest])
        if newest > self._newest:
            self._newest = newest
            self._newest_since_ms = self.clock.now_ms()
        known = {member.identity for member in members.values()}
        self._versions = {i: v for i, v in self._versions.items() if i in known}
        lagging = sorted(name for name, v in versions.items() if v < newest)
        return {
            "failure_domain": self.me.failure_domain,
            "reporter": self.me.name,
            "daemons": len(members),
            "version": min(versions.values(), default=0),
            "lagging": lagging[:MAX_NAMED],
            "n_lagging": len(lagging),
        }
