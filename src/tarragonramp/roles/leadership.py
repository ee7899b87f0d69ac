"""Which daemon gives keys to servers: one at a time, named in the store."""

import random

import attrs
import gevent
import logbook
from returns.pipeline import is_successful

from ..adapters.logs import log_event
from ..errors import ConflictError, NotFoundError
from ..heat import HeatCounts
from ..leading import (
    LATE_GRANT_MS,
    Inherited,
    LeaderRecord,
    LeaseTiming,
    Standing,
)

__all__ = ["Leadership"]

LEADER, LEADER_NAME = "ramp-leader", "leader"
NOBODY = LeaderRecord("", "", "", 0)

NEWS_WAIT_MS = 500.0
"""Longest time that a leader lets a daemon wait for news. Also how soon a silent leader
shows: within this and the timeout, so that what changes meanwhile can still be in force
after two seconds."""

LEAST_NEWS_WAIT_MS, NEWS_WAIT_EACH_MS = 150.0, 14.0
"""Shortest time while requests queue at some server, and by how much each daemon
lengthens it. Load: owners of busy keys, which all daemons ask at once. Harm prevented:
queues there that no daemon sees, as the others' requests under way were told half a
second ago. It costs bytes between failure domains, so not in calm times; and a large
fleet's leader could not answer so often."""

REPORT_MS = 100.0
"""Longest time that daemons wait for news while they follow the store in place of this
one, which is cut off from it: what they read comes here with their next question."""

LEAST_PING_MS = 30.0
PING_EACH_MS = 2.0
"""Shortest time between two questions of a daemon, by the number of daemons. Load:
changes all the time, so that each question is answered at once. Harm prevented: answers
filling the link of a small VM that leads, and all news coming late."""

SILENT_PINGS = 2
"""Unanswered pings after which a daemon looks at the record in the store."""

LOOK_MS = 500.0
"""Between two looks at a record that may stand still."""

RESIGN_MS = 200.0
"""Between two looks whether the store answers a leader that is to stop."""

LOADS_MS = 1500.0
"""How long a daemon's count of its requests under way is passed on."""

WATCHER_HEARD_MS = 2000.0
"""How lately a daemon must have been heard to be the second that follows the store."""

DEAF_WATCHERS = 8
"""Daemons that follow the store beside a leader that does not hear it. Load: an outage
of the store, or of the leader's way to it. Harm prevented: each daemon of a large fleet
reading everything anew and asking again and again, which is paid for and delays what
the store still can do. Eight are all others at the smallest sites, and two in each of
four failure domains."""

STALE_MS = 1400.0
"""A leader that answers, but has not been heard by the store for so long, counts as cut
off from it: others follow the store in its place, and replace it. One late renewal is
allowed for; what changes meanwhile still has to be in force after two seconds."""

HEARD_MS = 15_000.0
"""How long a daemon that is not heard any more counts as one of the fleet. Long, as
its share of what cold servers bear is only free once it has surely stopped."""


@attrs.define(eq=False, repr=False)
class Leadership:
    """Takes, keeps and hands over leadership, and knows the daemons of the fleet.

    Parameters
    ----------
    name, boot_id, address : str
        Of this daemon; peers ask it at the address.
    view : FleetView
    store : Platform
    peers : FleetPeers
    follower : Follower
        Told what peers know.
    loads : Loads
        Shared among the daemons.
    clock : Clock
    seeds : tuple of str
        Addresses of some daemons, which may be gone; asked while the store is away.
    timing : LeaseTiming
    inherited : Inherited
        Of the leaders before this one.
    doubts : callable
        Returns the Inherited that the next leader has to know.
    """

    name: str
    boot_id: str
    address: str
    view: object
    store: object
    peers: object
    follower: object
    loads: object
    clock: object
    seeds: tuple = ()
    timing: LeaseTiming = LeaseTiming()
    standing: Standing = attrs.field(init=False)
    stopping: bool = False
    inherited: Inherited = Inherited()
    doubts: object = Inherited
    _heat: HeatCounts = attrs.Factory(HeatCounts)
    _told_loads: dict = attrs.Factory(dict)
    _heard_ms: dict = attrs.Factory(dict)
    _domains: dict = attrs.Factory(dict)
    _clocks: dict = attrs.Factory(dict)
    _heard_store: bool = True
    _silent: int = 0
    _next_look_ms: float = 0.0
    _looking: object = None
    _successor: str = ""
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self):
        """Begin without knowing who leads."""
        self.standing = Standing(self.address, self.boot_id, self.timing)
        self.view.daemons[self.name] = self.address

    @property
    def leads(self):
        """Whether this daemon may renew grants now."""
        return self.standing.may_renew(self.clock.now_ms())

    @property
    def term(self):
        """The term of the record that this daemon knows; 0 if there is none."""
        return self.standing.record.term if self.standing.record else 0

    @property
    def may_move(self):
        """Whether this daemon may move keys now."""
        return not self.stopping and self.standing.may_move(self.clock.now_ms())

    def run(self):
        """Lead, or follow the leader, for ever."""
        while True:
            if self.standing.is_named:
                self._keep()
                pause_ms = self.timing.renew_ms
            elif self.standing.record is None:
                self._look()
                pause_ms = LOOK_MS * (0.8 + 0.4 * self._rng.random())
            else:
                pause_ms = self._follow()
            gevent.sleep(pause_ms / 1000.0)

    def _follow(self):
        """Ask the leader, and look beside it at the record if the leader is in doubt.

        Beside, since a store that does not answer would hold up the leader's news.

        Returns
        -------
        pause_ms : float
            Until it is asked again.
        """
        is_in_doubt = self._silent >= SILENT_PINGS
        if is_in_doubt and self.clock.now_ms() >= self._next_look_ms:
            look_ms = LOOK_MS * (0.8 + 0.4 * self._rng.random())
            self._next_look_ms = self.clock.now_ms() + look_ms
            if self._looking is None or self._looking.ready():
                self._looking = gevent.spawn(self._check_record)
        began_ms = self.clock.now_ms()
        is_answered = self._ping()
        if is_in_doubt and not is_answered:
            return LOOK_MS
        next_ms = began_ms + PING_EACH_MS * len(self.view.daemons)
        return max(LEAST_PING_MS, next_ms - self.clock.now_ms())

    def resign(self):
        """Hand leadership back, so that another daemon takes it at once.

        Not while the store does not answer: nobody could take over, and the servers'
        grants would end for want of renewals. Renewing goes on until it answers again
        or this process ends.
        """
        self.stopping = True
        while self.standing.is_named and not self._is_confirmed():
            gevent.sleep(RESIGN_MS / 1000.0)
        if not self.standing.is_named:
            return
        version = self.standing.version
        term = self.standing.record.term
        # First, as the successor takes the record's word that nothing more is sent.
        self.standing.give_up()
        record = attrs.evolve(NOBODY, term=term)
        result = self.store.put(LEADER, LEADER_NAME, record.to_spec(), version)
        log_event("leader-resigned", told_store=is_successful(result))

    def _is_confirmed(self):
        age_ms = self.standing.confirmed_age_ms(self.clock.now_ms())
        return age_ms < 2 * self.timing.renew_ms

    def heard(self, message):
        """Take in what a daemon says of itself, and answer once there is news for it.

        Returns
        -------
        answer : dict
            Plain data: whether this daemon leads, and what the other should know.
        """
        name, address = message["name"], message["address"]
        if not self.leads or self.stopping:
            return {
                "boot_id": self.boot_id,
                "leads": False,
                "leader": self._leader_address(),
            }
        if name not in self.view.daemons:
            log_event("daemon-heard", peer=name, address=address)
        self._note_daemon(name, address)
        self._domains[name] = message.get("domain", "")
        self.note_clock(address, message.get("clock_ms"))
        self._heat.add(message.get("heat", {}), self.clock.now_ms())
        self._told_loads[name] = message.get("loads", {}), self.clock.now_ms()
        self.follower.compare(name, message.get("digest", {}))
        versions = message["versions"]
        self.follower.catch_up(address, versions)
        news = self._await_news(name, versions)
        now_ms = self.clock.now_ms()
        hears_store = self._hears_store(now_ms)
        self._note_hearing(hears_store, now_ms)
        answer = {
            "boot_id": self.boot_id,
            "leads": self.leads and not self.stopping,
            "hears_store": hears_store,
            "watch": name in self._watchers(now_ms),
            "news": news,
        }
        if message.get("n_daemons") != len(self.view.daemons):
            answer["daemons"] = self.view.daemons
        answer["loads"] = self.follower.roster.pack(self._loads_beside(name, now_ms))
        if "digest" in message:
            answer["digest"] = self.view.digest()
        return answer

    def _await_news(self, name, versions):
        """Return what is newer than a daemon's versions, or nothing after a time.

        Also nothing as soon as this daemon loses the store: who asks may have to
        follow the store in its place.
        """
        heard_store = self._hears_store(self.clock.now_ms())
        is_relied_on = not heard_store and name in self.view.watchers
        wait_ms = REPORT_MS if is_relied_on else self._news_wait_ms()
        until_ms = self.clock.now_ms() + wait_ms
        news = self.follower.news_since(versions)
        while not news and self.leads and not self.stopping:
            now_ms = self.clock.now_ms()
            if now_ms >= until_ms or heard_store != self._hears_store(now_ms):
                break
            left_ms = until_ms - now_ms
            if heard_store:
                left_ms = min(left_ms, self._lost_store_in_ms(now_ms))
            self.view.wait(left_ms)
            news = self.follower.news_since(versions)
        return news

    def _news_wait_ms(self):
        """Return how long a daemon waits for news here."""
        each_ms = NEWS_WAIT_EACH_MS * len(self.view.daemons)
        if each_ms >= NEWS_WAIT_MS or not self._has_queues():
            return NEWS_WAIT_MS
        return max(LEAST_NEWS_WAIT_MS, each_ms)

    def _has_queues(self):
        """Tell whether any server has more requests than it works on at once."""
        servers = self.view.directory.servers
        totals = self._loads_beside("", self.clock.now_ms())
        return any(
            name in servers and count > servers[name].slots
            for name, count in totals.items()
        )

    def _loads_beside(self, name, now_ms):
        """Return the requests under way of all daemons but one, by server."""
        totals = dict(self.loads.in_hand()) if name != self.name else {}
        for other, (loads, at_ms) in self._told_loads.items():
            if other == name or at_ms < now_ms - LOADS_MS:
                continue
            for server, count in loads.items():
                totals[server] = totals.get(server, 0) + count
        return totals

    def _hears_store(self, now_ms):
        return self.follower.hears_store and self._lost_store_in_ms(now_ms) > 0

    def _lost_store_in_ms(self, now_ms):
        """Return how long until the store counts as lost, if nothing gets better."""
        stale_in_ms = STALE_MS - self.standing.confirmed_age_ms(now_ms)
        return min(stale_in_ms, self.follower.deaf_in_ms)

    def _note_hearing(self, hears_store, now_ms):
        """Tell once that the store was lost to this leader, or found again."""
        if hears_store == self._heard_store:
            return
        self._heard_store = hears_store
        log_event(
            "leader-hears-store" if hears_store else "leader-lost-store",
            confirmed_ms_ago=round(self.standing.confirmed_age_ms(now_ms)),
            failing=",".join(self.follower.failing_since_ms) or "none",
        )

    def daemons_in(self, domain):
        """Return addresses of the daemons of another failure domain, heard lately.

        Empty if the domain is this daemon's own.
        """
        if domain == self.loads.failure_domain:
            return []
        late_ms = self.clock.now_ms() - WATCHER_HEARD_MS
        return [
            self.view.daemons[name]
            for name, heard_ms in self._heard_ms.items()
            if heard_ms >= late_ms
            and self._domains.get(name) == domain
            and name in self.view.daemons
        ]

    def note_clock(self, address, clock_ms):
        """Take in what a daemon's clock showed when it asked for news."""
        self._clocks[address] = clock_ms

    def clock_of(self, address):
        """Return the last reading heard of a daemon's clock, in ms, or None."""
        return self._clocks.get(address)

    def _watchers(self, now_ms):
        """Return the other daemons that follow the store themselves.

        Were the leader the only one, a watch of its whose answer was lost would leave
        all daemons with what they knew; a second one notices that they differ. A leader
        that does not hear the store needs more of them: one that hears it replaces it,
        and until then it learns from them what is new.
        """
        late_ms = now_ms - WATCHER_HEARD_MS
        heard = [name for name, ms in self._heard_ms.items() if ms >= late_ms]
        others = sorted(name for name in heard if name != self.name)
        n_watchers = 1 if self._hears_store(now_ms) else DEAF_WATCHERS
        # Names of one failure domain stand side by side.
        step = max(1, len(others) // n_watchers)
        self.view.watchers = frozenset(others[::step][:n_watchers])
        return self.view.watchers

    def told_to_step_down(self, term, successor=""):
        """Stop leading, as another daemon, at the given address, has a later term.

        Returns
        -------
        answer : dict
            Plain data: whether this daemon still leads, and what it leaves in doubt.
        """
        record = self.standing.record
        if self.standing.is_named and record is not None and term > record.term:
            log_event("leader-superseded", term=term, successor=successor)
            self.standing.give_up()
            self._successor = successor
            self._silent = 0 if successor else SILENT_PINGS
        doubts = self.doubts().to_message(self.clock.now_ms())
        leads = self.standing.is_named
        return {"boot_id": self.boot_id, "leads": leads, "doubts": doubts}

    def heat_of(self, service):
        """Return the Heat of a service."""
        return self._heat.heat_of(service, self.clock.now_ms())

    def _note_daemon(self, name, address):
        now_ms = self.clock.now_ms()
        self.view.daemons[name] = address
        self._heard_ms[name] = now_ms
        late_ms = now_ms - HEARD_MS
        for other, heard_ms in list(self._heard_ms.items()):
            if heard_ms < late_ms and other != self.name:
                del self._heard_ms[other]
                self._clocks.pop(self.view.daemons.pop(other, None), None)
                log_event("daemon-lost", peer=other)

    def _keep(self):
        """Write the record again: the others see that it does not stand still."""
        sent_ms = self.clock.now_ms()
        version = self.standing.version
        record = self.standing.record
        spec = {**record.to_spec(), "beat": round(sent_ms)}
        result = self.store.put(LEADER, LEADER_NAME, spec, version)
        if is_successful(result):
            self.standing.confirmed(record, result.unwrap().version, sent_ms)
            now_ms = self.clock.now_ms()
            self._heat.add(self.view.work.take(self.view.tables), now_ms)
            self.loads.take_told(self._loads_beside(self.name, now_ms), now_ms)
            return
        error = result.failure()
        if isinstance(error, ConflictError):
            self._lost_to(error.current)
        else:
            log_event("leader-unconfirmed", reason=str(error))
            self.follower.note_trouble()
            self._find_own_write()

    def _find_own_write(self):
        """Read back after a write without an answer: it may have taken effect."""
        result = self.store.get(LEADER, LEADER_NAME)
        if is_successful(result):
            self._lost_to(result.unwrap())

    def _lost_to(self, stored):
        """Take in a record that is not the one last written."""
        record = None if stored is None else _record(stored)
        if record is not None and record.boot_id == self.boot_id:
            # The own write, whose answer was lost.
            self.standing.version = stored.version
            return
        log_event("leader-superseded", by=record.name if record else "nobody")
        self.standing.give_up()
        self._saw(record, stored.version if stored else 0)

    def _look(self):
        """Read the record; then lead if it stands still, or ask who leads."""
        if not self._check_record():
            self._ask_seeds()
        elif not self.standing.is_named:
            self._ping()

    def _check_record(self):
        """Read the record, and take it over if it stands still.

        Returns
        -------
        is_read : bool
        """
        result = self.store.get(LEADER, LEADER_NAME)
        now_ms = self.clock.now_ms()
        if is_successful(result):
            stored = result.unwrap()
            self._saw(_record(stored), stored.version)
        elif isinstance(result.failure(), NotFoundError):
            self._saw(None, 0)
        else:
            self.follower.use_store("leader not known")
            return False
        if not self.stopping and self.standing.may_take_over(now_ms):
            self._take_over()
        return True

    def _ask_seeds(self):
        """Ask who leads while the store can't say: after a start, or in an outage."""
        if self.standing.record is not None:
            self._ping()
            return
        message = {"name": self.name, "address": self.address, "versions": {}}
        for address in self.seeds:
            if address == self.address:
                continue
            result = self.peers.ping(address, message, 0.0)
            told = result.unwrap() if is_successful(result) else {}
            leader = address if told.get("leads") else told.get("leader")
            if leader:
                self.standing.record = LeaderRecord("(from a seed)", "", leader, 0)
                self._ping()
                return

    def _saw(self, record, version):
        if version != self.standing.version:
            self._silent = 0
            self._successor = ""
        self.standing.saw(record, version, self.clock.now_ms())

    def _take_over(self):
        before = self.standing.record
        sent_ms = self.clock.now_ms()
        term = before.term + 1 if before else 1
        record = LeaderRecord(self.name, self.boot_id, self.address, term)
        spec = record.to_spec()
        # Also right if the write takes effect and its answer is lost.
        self.inherited = self._inherited_by(
            max(self.inherited.stopped_ms, self._right_end_ms())
        )
        result = self.store.put(LEADER, LEADER_NAME, spec, self.standing.version)
        if not is_successful(result):
            error = result.failure()
            if isinstance(error, ConflictError) and error.current is not None:
                self._saw(_record(error.current), error.current.version)
            return
        self._silent = 0
        for name in self.view.daemons:
            self._heard_ms.setdefault(name, sent_ms)
        self.inherited = self._inherit(before, term)
        self.standing.confirmed(record, result.unwrap().version, sent_ms)
        self.follower.use_store("leads")
        log_event(
            "leader-taken-over",
            level=logbook.NOTICE,
            term=term,
            before=before.name if before else "nobody",
            stopped_in_ms=round(self.inherited.stopped_ms - self.clock.now_ms()),
            in_doubt_ms=round(self.inherited.in_doubt_until_ms - self.clock.now_ms()),
            ranges_in_doubt=len(self.inherited.ranges),
        )
        self.view.wake()

    def _right_end_ms(self):
        """Return when a leader confirmed until now would have to stop."""
        right_ms = self.timing.right_ms * self.timing.drift + self.timing.margin_ms
        return self.clock.now_ms() + right_ms

    def _inherited_by(self, stopped_ms):
        """Return what is known if only time tells that others have stopped."""
        return Inherited(stopped_ms, stopped_ms + LATE_GRANT_MS)

    def _inherit(self, before, term):
        """Return when the leader before has surely stopped, and what it left behind.

        At once if it resigned, if it was an earlier process at this address, or if it
        or its successor at its address says so. Else once its right has ended, which
        the store can have confirmed for the last time just before this daemon's write.
        Only the process itself knows which of its grants had no answer; without its
        word all are in doubt.
        """
        now_ms = self.clock.now_ms()
        if before is None:
            # Nobody has led yet, or the record can't be read.
            never = not self.standing.version
            right_ms = self._right_end_ms()
            return Inherited(now_ms) if never else self._inherited_by(right_ms)
        if not before.name or before.address == self.address:
            return self._inherited_by(now_ms)
        result = self.peers.step_down(before.address, term, self.address)
        if not is_successful(result):
            return self._inherited_by(self._right_end_ms())
        told, now_ms = result.unwrap(), self.clock.now_ms()
        if told.get("boot_id") != before.boot_id:
            return self._inherited_by(now_ms)
        if told.get("leads", True):
            return self._inherited_by(self._right_end_ms())
        try:
            return Inherited.from_message(told.get("doubts"), now_ms)
        except ValueError as error:
            log_event("doubts-not-understood", leader=before.name, reason=str(error))
            return self._inherited_by(now_ms)

    def _ping(self):
        """Tell the leader of this daemon and take in its news.

        Returns
        -------
        is_answered : bool
        """
        address = self._leader_address()
        if not address or address == self.address:
            self._silent = SILENT_PINGS
            self.follower.use_store("no leader")
            return False
        message = {
            "name": self.name,
            "address": self.address,
            "domain": self.loads.failure_domain,
            "clock_ms": int(self.clock.now_ms()),
            "heat": self.view.work.take(self.view.tables),
            "versions": self.follower.changed,
            "n_daemons": len(self.view.daemons),
            "loads": self.loads.in_hand(),
        }
        if self.follower.uses_store:
            message["digest"] = self.view.digest()
        result = self.peers.ping(address, message, NEWS_WAIT_MS)
        if not is_successful(result):
            self._silent = SILENT_PINGS if self._successor else self._silent + 1
            self._successor = ""
            self.follower.use_store("leader does not answer")
            return False
        if not self.standing.is_named:
            self._take_answer(address, result.unwrap())
        return True

    def _leader_address(self):
        """Return where the leader is asked: as others told last, or the record says."""
        record = self.standing.record
        return self._successor or (record.address if record is not None else "")

    def _take_answer(self, address, told):
        if not told.get("leads"):
            successor = str(told.get("leader", ""))
            if not self._successor and successor not in ("", address, self.address):
                # It knows who leads now: nobody needs to ask the store.
                self._successor = successor
                return
            self._successor = ""
            self._silent = SILENT_PINGS
            self.follower.use_store("nobody leads")
            return
        self._silent = 0
        daemons = told.get("daemons")
        if isinstance(daemons, dict) and self.name in daemons:
            self.view.daemons = dict(daemons)
        try:
            self.follower.take_news(told.get("news", {}))
            loads = self.follower.roster.unpack(told["loads"])
        except (KeyError, TypeError, ValueError) as error:
            log_event("news-not-understood", leader=address, reason=repr(error))
            self.follower.use_store("news not understood")
            return
        if loads is not None:
            self.loads.take_told(loads, self.clock.now_ms())
        self.follower.compare(address, told.get("digest", {}))
        if told.get("watch"):
            self.follower.use_store("told by the leader")
            if not told.get("hears_store"):
                self._silent = SILENT_PINGS
        elif self.follower.is_synced:
            self.follower.lean_on(address)


def _record(stored):
    try:
        return LeaderRecord.from_spec(stored.spec)
    except (ValueError, TypeError):
        return None
