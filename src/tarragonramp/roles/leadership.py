"""Elects the one daemon that grants keys to servers, by a record in the store."""

import random

import attrs
import gevent
import logbook

from ..adapters.logs import log_event
from ..errors import ConflictError, NotFoundError
from ..in_flight import InFlightReports
from ..key_load import KeyLoadAggregate
from ..leadership import (
    LATE_GRANT_MS,
    InheritedGrants,
    LeaderRecord,
    LeadershipState,
    LeaseTiming,
    is_small,
)
from ..limits import ServerLimits
from ..results import is_successful
from ..server_paths import PathMonitor
from .caps import without_promises

__all__ = ["Leadership"]

LEADER_KIND, LEADER_NAME = "ramp-leader", "leader"
NO_LEADER = LeaderRecord("", "", "", 0)

MAX_UPDATE_WAIT_MS = 500.0
"""Longest time that a leader delays its response to a daemon until there are updates.

It is also part of the time after which a leader that does not respond is noticed.
Together with the timeout of the ping it leaves enough time for changes to be in force
after two seconds."""

MIN_UPDATE_WAIT_MS, UPDATE_WAIT_PER_DAEMON_MS = 150.0, 14.0
"""Replace the longest time while requests queue at some server: the delay is then the
second value times the number of daemons, but at least the first value and at most the
longest time.

The daemons' counts of requests in flight are exchanged with the pings. While all
daemons send to the owners of the same busy keys, counts that are half a second old hide
the queues there. More frequent pings cost traffic between failure domains, so they are
used only while there are queues. The leader of a large fleet could not respond that
often, so the delay grows with the number of daemons."""

WATCHER_REPORT_MS = 100.0
"""Longest delay of the response to a daemon that follows the store for this leader.

It is used while the leader is cut off from the store. What the daemon has read reaches
the leader only with its next ping."""

MIN_PING_INTERVAL_MS = 30.0
PING_INTERVAL_PER_DAEMON_MS = 2.0
"""Interval between two pings of a daemon: the second value times the number of daemons,
with the first value as the minimum pause after a response.

While something changes all the time, the leader responds to each ping at once. Without
a minimum interval the responses would fill the link of a leader on a small VM, and all
updates would be late."""

MAX_UNANSWERED_PINGS = 2
"""Unanswered pings after which a daemon reads the leader's record in the store."""

RECORD_CHECK_INTERVAL_MS = 500.0
"""Interval between two reads of a record whose leader may have stopped."""

RESIGN_POLL_MS = 200.0
"""Interval at which a resigning leader checks whether the store responds to it."""

YIELD_AFTER_MS = 1000.0
"""How long a leader reaches no server until another daemon replaces it.

It can't renew the grants of its own failure domain, nor move keys. Longer than two
checks of the paths, as a change of leader leaves earlier grants in doubt; the servers'
holds last longer."""

IN_FLIGHT_VALID_MS = 1500.0
"""How long a daemon's counts of its requests in flight are passed on."""

RECENTLY_HEARD_MS = 2000.0
"""How recently a daemon must have sent a ping to be chosen as a watcher of the store or
as a relay."""

WATCHERS_WHEN_CUT_OFF = 8
"""Daemons that follow the store for a leader that is cut off from it.

During an outage of the store, or of the leader's connection to it, it would cost too
much if every daemon of a large fleet read everything again and kept asking: the traffic
is paid for, and it delays what the store can still do. Eight are all other daemons at
the smallest sites, and two in each of four failure domains."""

CONFIRMATION_EXPIRY_MS = 1400.0
"""Age of the last confirmation by the store after which a leader counts as cut off.

Other daemons then follow the store in its place, and one replaces it. The value allows
for one late renewal of the record; changes made meanwhile still have to be in force
after two seconds."""

DAEMON_EXPIRY_MS = 15_000.0
"""How long a daemon that sends no pings any more counts as part of the fleet.

The time is long, since other daemons may use its share of the load of cold servers only
once it has certainly stopped."""


@attrs.frozen
class ClockReading:
    """A reading of another daemon's clock.

    Parameters
    ----------
    clock_ms : float or None
        What the other daemon's clock showed; None if it has reported none.
    received_ms : float
        When it was received, on this daemon's clock.
    """

    clock_ms: float | None
    received_ms: float

    def convert(self, own_ms):
        """Return a reading of the other clock that is not later than ``own_ms``."""
        return self.clock_ms + own_ms - self.received_ms


@attrs.define(eq=False, repr=False)
class Leadership:
    """Acquires, keeps and hands over leadership, and tracks the daemons of the fleet.

    Parameters
    ----------
    name, boot_id, address : str
        Of this daemon; peers send requests to the address.
    view : FleetView
    store : object
        See :class:`.FleetPorts`.
    peers : FleetPeers
    follower : Follower
        Receives the updates of peers.
    selector : ServerSelector
        Shared among the daemons.
    clock : Clock
    seeds : tuple of str
        Addresses of some daemons, which may be gone; asked for the leader while the
        store does not respond.
    timing : LeaseTiming
    capacity : float
        How much control work this VM can take.
    inherited : InheritedGrants
        Of the leaders before this one.
    in_doubt_grants : callable
        Returns the InheritedGrants for the next leader.
    monitor : PathMonitor
        Whether this daemon reaches servers.
    limits : ServerLimits
        What servers in need take from all daemons together.
    caps : CapKeeper or None
        Shares of usage caps.
    record_leaving : callable
        Takes name and life of a server that told another daemon that it leaves.
    inherited_holders : str
        Which daemons may hold shares of the leaders before this one.
    """

    name: str
    boot_id: str
    address: str
    view: object
    store: object
    peers: object
    follower: object
    selector: object
    clock: object
    seeds: tuple = ()
    timing: LeaseTiming = LeaseTiming()
    capacity: float = 1.0
    leadership_state: LeadershipState = attrs.field(init=False)
    stopping: bool = False
    inherited: InheritedGrants = InheritedGrants()
    in_doubt_grants: object = InheritedGrants
    monitor: PathMonitor = attrs.Factory(PathMonitor)
    limits: ServerLimits = attrs.Factory(ServerLimits)
    caps: object = None
    record_leaving: object = attrs.field(default=lambda name, life, told_by: None)
    inherited_holders: str = ""
    _limit_change_seen: tuple = ("", 0)
    _key_loads: KeyLoadAggregate = attrs.Factory(KeyLoadAggregate)
    _reported_in_flight: InFlightReports = attrs.Factory(
        lambda: InFlightReports(IN_FLIGHT_VALID_MS)
    )
    _last_heard_ms: dict = attrs.Factory(dict)
    _cut_off_daemons: set = attrs.Factory(set)
    _clock_readings: dict = attrs.Factory(dict)
    _logged_hears_store: bool = True
    _unanswered_pings: int = 0
    _next_check_ms: float = 0.0
    _record_check: object = None
    _successor: str = ""
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Start without a known leader."""
        self.leadership_state = LeadershipState(
            self.address, self.boot_id, self.timing, started_ms=self.clock.now_ms()
        )
        self.view.daemons[self.name] = self.address
        self.view.daemon_domains[self.name] = self.selector.failure_domain
        self.view.capacities[self.name] = self.capacity

    @property
    def leads(self):
        """Whether this daemon may renew grants now."""
        return self.leadership_state.may_renew(self.clock.now_ms())

    @property
    def term(self):
        """The term of the record that this daemon knows; 0 if there is none."""
        return self.leadership_state.record.term if self.leadership_state.record else 0

    @property
    def leader_address(self):
        """Address of the leader; empty if none is known."""
        return self._leader_address()

    @property
    def may_move(self):
        """Whether this daemon may move keys now."""
        return not self.stopping and self.leadership_state.may_move(self.clock.now_ms())

    @property
    def sole_until_ms(self):
        """Until when no other daemon can lead, so that new tokens may be sent."""
        if self.stopping:
            return float("-inf")
        return self.leadership_state.sole_until_ms

    def run(self):
        """Lead, or follow the leader, forever."""
        while True:
            if self._should_yield():
                self._release_record("reaches no server")
                pause_ms = MIN_PING_INTERVAL_MS
            elif self.leadership_state.is_named:
                self._renew_record()
                pause_ms = self.timing.renew_ms
            elif self.leadership_state.record is None:
                self._discover_leader()
                pause_ms = RECORD_CHECK_INTERVAL_MS * (0.8 + 0.4 * self._rng.random())
            else:
                pause_ms = self._follow()
            gevent.sleep(pause_ms / 1000.0)

    def _follow(self):
        """Ping the leader, and check its record if the leader does not respond.

        The record is checked in a separate greenlet, since a store that does not
        respond would delay the leader's updates.

        Returns
        -------
        pause_ms : float
            Time until the next ping.
        """
        is_in_doubt = self._unanswered_pings >= MAX_UNANSWERED_PINGS
        if is_in_doubt and self.clock.now_ms() >= self._next_check_ms:
            interval_ms = RECORD_CHECK_INTERVAL_MS * (0.8 + 0.4 * self._rng.random())
            self._next_check_ms = self.clock.now_ms() + interval_ms
            if self._record_check is None or self._record_check.ready():
                self._record_check = gevent.spawn(self._check_record)
        began_ms = self.clock.now_ms()
        is_answered = self._ping()
        if is_in_doubt and not is_answered:
            return RECORD_CHECK_INTERVAL_MS
        next_ms = began_ms + PING_INTERVAL_PER_DAEMON_MS * len(self.view.daemons)
        return max(MIN_PING_INTERVAL_MS, next_ms - self.clock.now_ms())

    def resign(self):
        """Release leadership, so that another daemon can acquire it at once.

        Blocks while the store does not respond: no daemon could take over, and the
        servers' grants would expire without renewals. Renewals continue until the store
        responds or this process ends.
        """
        self.stopping = True
        while self.leadership_state.is_named and not self._is_confirmed():
            gevent.sleep(RESIGN_POLL_MS / 1000.0)
        if self.leadership_state.is_named:
            self._release_record("stopping")

    def _should_yield(self):
        """Return whether another daemon should lead, since it reaches servers."""
        since_ms, now_ms = self.monitor.cut_off_since_ms, self.clock.now_ms()
        if since_ms is None or now_ms < since_ms + YIELD_AFTER_MS:
            return False
        if not self.leadership_state.is_named or not self._is_confirmed():
            return False
        oldest_ms = now_ms - RECENTLY_HEARD_MS
        return any(
            heard_ms >= oldest_ms and name not in self._cut_off_daemons
            for name, heard_ms in self._last_heard_ms.items()
            if name != self.name
        )

    def _release_record(self, reason):
        """Stop leading, and let another daemon take over at once."""
        version = self.leadership_state.version
        term = self.leadership_state.record.term
        # Renewals stop before the write, as the successor relies on the record to mean
        # that nothing more is sent.
        self.leadership_state.give_up()
        holders = self.leadership_state.record.holders
        record = attrs.evolve(NO_LEADER, term=term, holders=holders)
        result = self.store.put(LEADER_KIND, LEADER_NAME, record.to_spec(), version)
        if is_successful(result):
            self._observe_record(record, result.unwrap().version)
        log_event("leader-resigned", reason=reason, told_store=is_successful(result))

    def _is_confirmed(self):
        age_ms = self.leadership_state.confirmed_age_ms(self.clock.now_ms())
        return age_ms < 2 * self.timing.renew_ms

    def handle_ping(self, message):
        """Handle a ping, and respond once there are updates for the sender.

        Returns
        -------
        answer : dict
            Plain data: whether this daemon leads, and the updates for the sender.
        """
        name, address = message["name"], message["address"]
        arrived_ms = self.clock.now_ms()
        if not self.leads or self.stopping:
            return {
                "boot_id": self.boot_id,
                "leads": False,
                "leader": self._leader_address(),
            }
        # Raises for a malformed report, so it comes before anything is recorded.
        self._reported_in_flight.record(
            name, message.get("loads", {}), self.clock.now_ms()
        )
        leaving = [(str(n), int(life)) for n, life in message.get("leaving", ())]
        self.limits.add_report(message.get("limits", []), self.clock.now_ms())
        for server, life in leaving:
            self.record_leaving(server, life, told_by=name)
        if self.caps is not None:
            self.caps.hear(name, message.get("shares"))
        if name not in self.view.daemons:
            log_event("daemon-heard", peer=name, address=address)
        self._record_daemon(name, address)
        self.view.daemon_domains[name] = str(message.get("domain", ""))
        self.view.capacities[name] = float(message.get("capacity", 1.0))
        self.record_reach(name, bool(message.get("cut_off")))
        self.record_clock_reading(address, message.get("clock_ms"))
        self._key_loads.add(message.get("heat", {}), self.clock.now_ms())
        self.follower.compare_digests(name, message.get("digest", {}))
        versions = message["versions"]
        self.follower.catch_up(address, versions)
        updates = self._await_updates(name, versions)
        now_ms = self.clock.now_ms()
        hears_store = self._hears_store(now_ms)
        self._log_store_reachability(hears_store, now_ms)
        answer = {
            "boot_id": self.boot_id,
            "leads": self.leads and not self.stopping,
            "hears_store": hears_store,
            "watch": name in self._choose_watchers(now_ms),
            "news": updates,
            "freshness": self.view.describe_freshness(arrived_ms),
        }
        if message.get("n_daemons") != len(self.view.daemons):
            answer["daemons"] = self.view.daemons
            answer["domains"] = self.view.daemon_domains
            answer["capacities"] = self.view.capacities
        self._assign_limit_senders(now_ms)
        seen = message.get("limits_seen", ["", 0])
        change = seen[1] if seen[0] == self.boot_id else 0
        if self.limits.n_changes > change:
            answer["limits"] = self.limits.changes_since(change, now_ms)
            answer["limits_seen"] = [self.boot_id, self.limits.n_changes]
        answer["loads"] = self.follower.roster.pack(
            self._in_flight_except(name, now_ms)
        )
        if "digest" in message:
            answer["digest"] = self.view.digest()
        if "shares" in message and self.caps is not None:
            answer["shares"] = self.caps.answer(name, message["shares"])
        return answer

    def _assign_limit_senders(self, now_ms):
        """Choose which daemons send to servers that name a limit."""
        if not self.limits.limited():
            return
        oldest_ms = now_ms - RECENTLY_HEARD_MS
        heard = [name for name, ms in self._last_heard_ms.items() if ms >= oldest_ms]
        able = {name for name in heard if name not in self._cut_off_daemons}
        able.discard(self.name)
        if not self.monitor.is_cut_off:
            able.add(self.name)
        for server in self.limits.assign_senders(able):
            statement = self.limits.limited()[server]
            log_event(
                "limit-senders",
                server=server,
                per_s=statement.per_s,
                senders=",".join(statement.senders),
            )

    def _await_updates(self, name, versions):
        """Return what is newer than a daemon's versions, waiting for it for a time.

        Returns nothing after that time, or as soon as this daemon loses the store: the
        sender may have to follow the store in its place.
        """
        had_store = self._hears_store(self.clock.now_ms())
        is_watcher = not had_store and name in self.view.watchers
        wait_ms = WATCHER_REPORT_MS if is_watcher else self._update_wait_ms()
        until_ms = self.clock.now_ms() + wait_ms
        updates = self.follower.updates_since(versions)
        while not updates and self.leads and not self.stopping:
            now_ms = self.clock.now_ms()
            if now_ms >= until_ms or had_store != self._hears_store(now_ms):
                break
            left_ms = until_ms - now_ms
            if had_store:
                left_ms = min(left_ms, self._ms_until_store_lost(now_ms))
            self.view.wait(left_ms)
            updates = self.follower.updates_since(versions)
        return updates

    def _update_wait_ms(self):
        """Return how long the response to a ping is delayed for updates."""
        scaled_ms = UPDATE_WAIT_PER_DAEMON_MS * len(self.view.daemons)
        if scaled_ms >= MAX_UPDATE_WAIT_MS or not self._has_queues():
            return MAX_UPDATE_WAIT_MS
        return max(MIN_UPDATE_WAIT_MS, scaled_ms)

    def _has_queues(self):
        """Return whether any server has more requests in flight than slots."""
        servers = self.view.directory.servers
        totals = self._in_flight_except("", self.clock.now_ms())
        return any(
            name in servers and count > servers[name].slots
            for name, count in totals.items()
        )

    def _in_flight_except(self, name, now_ms):
        """Return the requests in flight by server, of all daemons but one."""
        totals = self._reported_in_flight.totals_except(name, now_ms)
        if name != self.name:
            for server, count in self.selector.in_flight_by_server().items():
                totals[server] = totals.get(server, 0) + count
        return {server: count for server, count in totals.items() if count}

    def _hears_store(self, now_ms):
        return self.follower.hears_store and self._ms_until_store_lost(now_ms) > 0

    def _ms_until_store_lost(self, now_ms):
        """Return the time in ms until the store counts as lost if no call succeeds."""
        stale_in_ms = CONFIRMATION_EXPIRY_MS - self.leadership_state.confirmed_age_ms(
            now_ms
        )
        return min(stale_in_ms, self.follower.ms_until_cut_off)

    def _log_store_reachability(self, hears_store, now_ms):
        """Log once that this leader has lost the store, or reaches it again."""
        if hears_store == self._logged_hears_store:
            return
        self._logged_hears_store = hears_store
        log_event(
            "leader-hears-store" if hears_store else "leader-lost-store",
            confirmed_ms_ago=round(self.leadership_state.confirmed_age_ms(now_ms)),
            failing=",".join(self.follower.failing_since_ms) or "none",
        )

    def daemons_in(self, domain):
        """Return addresses of another domain's daemons that may renew grants there.

        They were heard from recently and reach servers. Empty if the domain is this
        daemon's own.
        """
        if domain == self.selector.failure_domain:
            return []
        oldest_ms = self.clock.now_ms() - RECENTLY_HEARD_MS
        return [
            self.view.daemons[name]
            for name, heard_ms in self._last_heard_ms.items()
            if heard_ms >= oldest_ms
            and name not in self._cut_off_daemons
            and self.view.daemon_domains.get(name) == domain
            and name in self.view.daemons
        ]

    def record_reach(self, name, is_cut_off):
        """Record whether a daemon reaches servers, as it has just reported."""
        if is_cut_off:
            self._cut_off_daemons.add(name)
        else:
            self._cut_off_daemons.discard(name)

    def record_clock_reading(self, address, clock_ms):
        """Record a reading of a daemon's clock that has just been received."""
        self._clock_readings[address] = ClockReading(clock_ms, self.clock.now_ms())

    def clock_reading_of(self, address):
        """Return the latest ClockReading of a daemon, or None."""
        return self._clock_readings.get(address)

    def _choose_watchers(self, now_ms):
        """Choose and return the other daemons that follow the store themselves.

        If only the leader followed it, a watch whose response was lost would leave all
        daemons with outdated state; a second daemon notices the difference. A leader
        that is cut off from the store needs more watchers: one that reaches the store
        replaces it, and until then the leader learns from them what has changed.
        """
        oldest_ms = now_ms - RECENTLY_HEARD_MS
        recent = [name for name, ms in self._last_heard_ms.items() if ms >= oldest_ms]
        others = sorted(name for name in recent if name != self.name)
        # A leader that has just started has not read the store yet, but reaches it.
        is_starting = not self.follower.is_synced
        is_cut_off = self._ms_until_store_lost(now_ms) <= 0 or not (
            is_starting or self.follower.hears_store
        )
        n_watchers = WATCHERS_WHEN_CUT_OFF if is_cut_off else 1
        # Names of one failure domain are adjacent, so each group lies in one of them.
        # Of each, the daemon fittest to lead, as a watcher may have to take over.
        step = max(1, len(others) // n_watchers)
        groups = [others[i : i + step] for i in range(0, len(others), step)]
        capacities = self.view.capacities
        self.view.watchers = frozenset(
            max(group, key=lambda name: capacities.get(name, 1.0))
            for group in groups[:n_watchers]
        )
        return self.view.watchers

    def handle_step_down(self, term, successor=""):
        """Stop leading if another daemon has taken over with a later term.

        Parameters
        ----------
        term : int
        successor : str, default=""
            Address of the daemon that leads in this term; empty if unknown.

        Returns
        -------
        answer : dict
            Plain data: whether this daemon still leads, and its grants in doubt.
        """
        record = self.leadership_state.record
        if self.leadership_state.is_named and record is not None and term > record.term:
            log_event("leader-superseded", term=term, successor=successor)
            self.leadership_state.give_up()
            self._successor = successor
            self._unanswered_pings = 0 if successor else MAX_UNANSWERED_PINGS
        in_doubt_grants = self.in_doubt_grants().to_message(self.clock.now_ms())
        leads = self.leadership_state.is_named
        return {"boot_id": self.boot_id, "leads": leads, "doubts": in_doubt_grants}

    def recent_load(self, service):
        """Return the KeyLoad of a service, as reported by all daemons."""
        return self._key_loads.recent_load(service, self.clock.now_ms())

    def _record_daemon(self, name, address):
        now_ms = self.clock.now_ms()
        self.view.daemons[name] = address
        self._last_heard_ms[name] = now_ms
        oldest_ms = now_ms - DAEMON_EXPIRY_MS
        for other, heard_ms in list(self._last_heard_ms.items()):
            if heard_ms < oldest_ms and other != self.name:
                del self._last_heard_ms[other]
                self._clock_readings.pop(self.view.daemons.pop(other, None), None)
                self.view.daemon_domains.pop(other, None)
                self.view.capacities.pop(other, None)
                self._cut_off_daemons.discard(other)
                log_event("daemon-lost", peer=other)

    def _renew_record(self):
        """Renew the record, so that the other daemons see its version change."""
        sent_ms = self.clock.now_ms()
        version = self.leadership_state.version
        record = self.leadership_state.record
        if self.caps is not None:
            record = attrs.evolve(record, holders=self.caps.record_to_write())
        spec = {**record.to_spec(), "beat": round(sent_ms)}
        result = self.store.put(LEADER_KIND, LEADER_NAME, spec, version)
        if is_successful(result):
            self.leadership_state.confirmed(record, result.unwrap().version, sent_ms)
            if self.caps is not None:
                self.caps.confirm_record(record.holders)
            now_ms = self.clock.now_ms()
            self._assign_limit_senders(now_ms)
            if self.follower.hears_store:
                self.view.note_manifest_known(sent_ms)
            self._key_loads.add(
                self.view.key_load_recorder.drain(self.view.tables), now_ms
            )
            self.selector.update_peer_in_flight(
                self._in_flight_except(self.name, now_ms), now_ms
            )
            return
        error = result.failure()
        if isinstance(error, ConflictError):
            self._handle_other_record(error.current)
        else:
            log_event("leader-unconfirmed", reason=str(error))
            self.follower.record_store_failure()
            self._read_back_record()

    def _read_back_record(self):
        """Read the record after a write that had no response but may be in effect."""
        result = self.store.get(LEADER_KIND, LEADER_NAME)
        if is_successful(result):
            self._handle_other_record(result.unwrap())

    def _handle_other_record(self, stored):
        """Handle a record that differs from the one last written."""
        record = None if stored is None else _parse_record(stored)
        if record is not None and record.boot_id == self.boot_id:
            # The record is from this daemon's own write, whose response was lost.
            self.leadership_state.version = stored.version
            return
        log_event("leader-superseded", by=record.name if record else "nobody")
        self.leadership_state.give_up()
        self._observe_record(record, stored.version if stored else 0)

    def _discover_leader(self):
        """Read the record and lead if it is stale; without the store, ask the seeds."""
        if not self._check_record():
            self._ask_seeds()
        elif not self.leadership_state.is_named:
            self._ping()

    def _check_record(self):
        """Read the record, and take over leadership if the record is stale.

        Returns
        -------
        is_read : bool
        """
        result = self.store.get(LEADER_KIND, LEADER_NAME)
        now_ms = self.clock.now_ms()
        if is_successful(result):
            stored = result.unwrap()
            self._observe_record(_parse_record(stored), stored.version)
        elif isinstance(result.failure(), NotFoundError):
            self._observe_record(None, 0)
        else:
            self.follower.follow_store("leader not known")
            return False
        is_cut_off = self.monitor.is_cut_off
        if not self.stopping and self.leadership_state.may_take_over(
            now_ms, is_cut_off, self._is_small()
        ):
            self._take_over()
        return True

    def _is_small(self):
        """Return whether other daemons that may be alive are much fitter to lead."""
        daemons, capacities = self.view.daemons, self.view.capacities
        others = [capacities.get(n, 1.0) for n in daemons if n != self.name]
        return is_small(self.capacity, others)

    def _ask_seeds(self):
        """Ask for the leader while the store does not respond.

        That is the case after a start, or in an outage.
        """
        if self.leadership_state.record is not None:
            self._ping()
            return
        message = {"name": self.name, "address": self.address, "versions": {}}
        for address in self.seeds:
            if address == self.address:
                continue
            result = self.peers.ping(address, message, 0.0)
            response = result.unwrap() if is_successful(result) else {}
            leader = address if response.get("leads") else response.get("leader")
            if leader:
                self.leadership_state.record = LeaderRecord(
                    "(from a seed)", "", leader, 0
                )
                self._ping()
                return

    def _observe_record(self, record, version):
        if version != self.leadership_state.version:
            self._unanswered_pings = 0
            self._successor = ""
        self.leadership_state.observe(record, version, self.clock.now_ms())

    def _take_over(self):
        before = self.leadership_state.record
        sent_ms = self.clock.now_ms()
        term = before.term + 1 if before else 1
        holders = before.holders if before else ""
        written = without_promises(holders)
        record = LeaderRecord(self.name, self.boot_id, self.address, term, written)
        spec = record.to_spec()
        # Set before the write, which may take effect although its response is lost.
        self.inherited = self._inherited_after(
            max(self.inherited.stopped_ms, self._latest_right_end_ms())
        )
        result = self.store.put(
            LEADER_KIND, LEADER_NAME, spec, self.leadership_state.version
        )
        if not is_successful(result):
            error = result.failure()
            if isinstance(error, ConflictError) and error.current is not None:
                self._observe_record(
                    _parse_record(error.current), error.current.version
                )
            return
        self._unanswered_pings = 0
        self.inherited_holders = holders
        for name in self.view.daemons:
            self._last_heard_ms.setdefault(name, sent_ms)
        self.inherited = self._inherit(before, term)
        self.leadership_state.confirmed(record, result.unwrap().version, sent_ms)
        self.follower.leader_hears_store = False
        self.follower.follow_store("leads")
        log_event(
            "leader-taken-over",
            level=logbook.NOTICE,
            term=term,
            capacity=self.capacity,
            before=before.name if before else "nobody",
            stopped_in_ms=round(self.inherited.stopped_ms - self.clock.now_ms()),
            in_doubt_ms=round(self.inherited.in_doubt_until_ms - self.clock.now_ms()),
            ranges_in_doubt=len(self.inherited.ranges),
        )
        self.view.notify_waiters()

    def _latest_right_end_ms(self):
        """Return when a leader that was confirmed until now has to stop renewing."""
        right_ms = self.timing.right_ms * self.timing.drift + self.timing.margin_ms
        return self.clock.now_ms() + right_ms

    def _inherited_after(self, stopped_ms):
        """Return the InheritedGrants of leaders that have stopped by the given time.

        Their grants are not known, so any of them may still take effect for a while.
        """
        return InheritedGrants(stopped_ms, stopped_ms + LATE_GRANT_MS)

    def _inherit(self, before, term):
        """Return when the previous leader has stopped, and its grants in doubt.

        It has stopped already if it resigned, if it was an earlier process at this
        address, or if it, or its successor at its address, confirms that. Otherwise it
        stops when its right to renew ends; the store may have confirmed that right for
        the last time just before this daemon's write. Only the previous process itself
        knows which of its grants had no response; unless it reports them, all of its
        grants are in doubt.
        """
        now_ms = self.clock.now_ms()
        if before is None:
            # No daemon has led yet, or the record cannot be parsed.
            nobody_led_before = not self.leadership_state.version
            right_ms = self._latest_right_end_ms()
            return (
                InheritedGrants(now_ms)
                if nobody_led_before
                else self._inherited_after(right_ms)
            )
        if not before.name or before.address == self.address:
            return self._inherited_after(now_ms)
        result = self.peers.step_down(before.address, term, self.address)
        if not is_successful(result):
            return self._inherited_after(self._latest_right_end_ms())
        response, now_ms = result.unwrap(), self.clock.now_ms()
        boot_id = response.get("boot_id")
        if not boot_id:
            # Whoever answers is no daemon, which proves nothing about the leader.
            return self._inherited_after(self._latest_right_end_ms())
        if boot_id != before.boot_id:
            return self._inherited_after(now_ms)
        if response.get("leads", True):
            return self._inherited_after(self._latest_right_end_ms())
        try:
            return InheritedGrants.from_message(response.get("doubts"), now_ms)
        except ValueError as error:
            log_event("doubts-not-understood", leader=before.name, reason=str(error))
            return self._inherited_after(now_ms)

    def _ping(self):
        """Ping the leader and apply its updates.

        Returns
        -------
        is_answered : bool
        """
        address = self._leader_address()
        if not address or address == self.address:
            self._unanswered_pings = MAX_UNANSWERED_PINGS
            self.follower.leader_hears_store = False
            self.follower.follow_store("no leader", reread=False)
            return False
        message = {
            "name": self.name,
            "address": self.address,
            "domain": self.selector.failure_domain,
            "capacity": self.capacity,
            "clock_ms": int(self.clock.now_ms()),
            "heat": self.view.key_load_recorder.drain(self.view.tables),
            "versions": self.follower.changed,
            "n_daemons": len(self.view.daemons),
            "loads": self.selector.in_flight_by_server(),
            "limits_seen": self._limit_change_seen,
        }
        limits = self.limits.to_report(self.clock.now_ms())
        if limits:
            message["limits"] = limits
        # Repeated, as a leader that takes over meanwhile does not know of them.
        leaving = self.view.directory.leaving()
        if leaving:
            message["leaving"] = leaving
        if self.monitor.is_cut_off:
            message["cut_off"] = True
        shares = self.caps.to_report() if self.caps is not None else None
        if shares is not None:
            message["shares"] = shares
        if self.follower.follows_store:
            message["digest"] = self.view.digest()
        sent_ms = self.clock.now_ms()
        result = self.peers.ping(address, message, MAX_UPDATE_WAIT_MS)
        if not is_successful(result):
            self._unanswered_pings = (
                MAX_UNANSWERED_PINGS if self._successor else self._unanswered_pings + 1
            )
            self._successor = ""
            self.follower.leader_hears_store = False
            self.follower.follow_store("leader does not answer", reread=False)
            return False
        if not self.leadership_state.is_named:
            self._apply_ping_response(address, result.unwrap(), sent_ms)
        return True

    def _apply_limits(self, response):
        """Apply the limits of servers that the leader tells of."""
        if "limits" not in response:
            return
        self.limits.apply_changes(response["limits"], self.clock.now_ms())
        boot_id, change = response["limits_seen"]
        self._limit_change_seen = str(boot_id), int(change)

    def _leader_address(self):
        """Return the leader's address: that of a known successor, or the record's."""
        record = self.leadership_state.record
        return self._successor or (record.address if record is not None else "")

    def _apply_ping_response(self, address, response, sent_ms):
        if not response.get("leads"):
            successor = str(response.get("leader", ""))
            if not self._successor and successor not in ("", address, self.address):
                # The response names the current leader, so the store need not be read.
                self._successor = successor
                return
            self._successor = ""
            self._unanswered_pings = MAX_UNANSWERED_PINGS
            self.follower.leader_hears_store = False
            self.follower.follow_store("nobody leads", reread=False)
            return
        self._unanswered_pings = 0
        self.follower.leader_hears_store = bool(response.get("hears_store"))
        daemons = response.get("daemons")
        if isinstance(daemons, dict) and self.name in daemons:
            self.view.daemons = dict(daemons)
            domains = response.get("domains")
            if isinstance(domains, dict):
                self.view.daemon_domains.update(domains)
            capacities = response.get("capacities")
            if isinstance(capacities, dict):
                self.view.capacities.update(capacities)
        try:
            self.follower.apply_updates(response.get("news", {}))
            self.view.adopt_freshness(response.get("freshness"), sent_ms)
            loads = self.follower.roster.unpack(response["loads"])
            self._apply_limits(response)
        except (KeyError, TypeError, ValueError) as error:
            log_event("news-not-understood", leader=address, reason=repr(error))
            self.follower.follow_store("news not understood")
            return
        if loads is not None:
            self.selector.update_peer_in_flight(loads, self.clock.now_ms())
        if self.caps is not None:
            self.caps.apply(response.get("shares"), sent_ms)
        self.follower.compare_digests(address, response.get("digest", {}))
        if response.get("watch"):
            self.follower.follow_store("told by the leader")
            if not response.get("hears_store"):
                self._unanswered_pings = MAX_UNANSWERED_PINGS
        elif self.follower.is_synced:
            self.follower.follow_leader(address)


def _parse_record(stored):
    try:
        return LeaderRecord.from_spec(stored.spec)
    except (ValueError, TypeError):
        return None
