"""Reports which configuration version a failure domain has in force.

Each failure domain has one Status object.
"""

import json

import attrs
import gevent
from gevent.event import Event

from ..adapters.logs import log_event
from ..errors import ConflictError
from ..model import KIND_STATUS
from ..results import is_successful

__all__ = ["IN_FORCE_TARGET", "StatusReporter"]

IN_FORCE_TARGET = "/peer/in-force"
POLL_INTERVAL_MS = 1000
SKIP_REPORTER_MS = 10_000
MAX_LAGGING_NAMED = 20
"""Maximum number of lagging daemons named in a Status, which bounds its size."""


@attrs.define(eq=False, repr=False)
class StatusReporter:
    """Reports the version in force here, and writes the Status if this is the reporter.

    The reporter of a failure domain is its first daemon by name. Every other daemon
    sends it a message when its own version changes, and the reporter writes the
    Status. So a change costs one message per daemon and one or two writes per failure
    domain, and nothing while nothing changes.

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
    _last_report: tuple = ()
    _skipped_until_ms: dict = attrs.Factory(dict)
    _newest: int = 0
    _newest_since_ms: float = 0.0
    _changed: Event = attrs.Factory(Event)

    def run(self):
        """Send or write a report after each change. Never returns."""
        self.view.on_change(self._changed.set)
        while True:
            self._changed.clear()
            reporter = self._choose_reporter()
            if reporter is None or reporter.identity == self.me.identity:
                self.record_version(self.me.identity, self.view.config_version)
                self._write()
            else:
                self._report_to(reporter)
            self._changed.wait(POLL_INTERVAL_MS / 1000.0)
            # Batches changes that arrive together into one message and one write.
            gevent.sleep(self.timing.status_ms / 1000.0)

    def record_version(self, identity, version):
        """Record the version that a daemon of the failure domain has in force.

        Parameters
        ----------
        identity : str
        version : int
        """
        if self._versions.get(identity, 0) < version:
            self._versions[identity] = version
            self._changed.set()

    def _choose_reporter(self):
        now_ms = self.clock.now_ms()
        for name in sorted(self._members()):
            member = self._members()[name]
            if member.identity == self.me.identity:
                return member
            if self._skipped_until_ms.get(member.identity, 0.0) <= now_ms:
                return member
        return None

    def _members(self):
        return {
            name: member
            for name, member in self.view.members().items()
            if member.failure_domain == self.me.failure_domain
        }

    def _report_to(self, reporter):
        report = (reporter.identity, self.view.config_version)
        if report == self._last_report:
            return
        body = json.dumps({"identity": self.me.identity, "version": report[1]}).encode()
        result = self.pools.at(reporter.control_address).exchange(
            "POST",
            IN_FORCE_TARGET,
            self.secrets.headers,
            body,
            self.timing.control_timeout_ms,
        )
        if is_successful(result) and result.unwrap().status == 200:
            self._last_report = report
            return
        # It may be dead and still registered, so the next daemon is the reporter for
        # some time.
        until_ms = self.clock.now_ms() + SKIP_REPORTER_MS
        self._skipped_until_ms[reporter.identity] = until_ms
        self._changed.set()

    def _write(self):
        status = self._build_status()
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

    def _build_status(self):
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
            "lagging": lagging[:MAX_LAGGING_NAMED],
            "n_lagging": len(lagging),
        }
