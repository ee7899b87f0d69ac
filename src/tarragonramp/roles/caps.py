"""Keeps teams within their usage caps: gets shares from the leader, or deals them."""

import base64
import collections
import json
import math
import zlib

import attrs
import gevent
from gevent.event import Event

from ..adapters.json_lists import parse_json
from ..adapters.logs import log_event
from ..limits import (
    CLOCK_DRIFT,
    MARGIN_MS,
    PART_STEPS,
    SHARE_MS,
    Lenders,
    ShareDealer,
    ShareHolder,
)
from ..results import is_successful

__all__ = ["CapKeeper", "Denial", "without_promises"]

LEADER_WAIT_MS, ANSWER_WAIT_MS = 200.0, 300.0
"""How long the leader may take to answer a question, and how long a request waits for
a token, from whomever."""

NO_LEADER_RETRY_MS = 1000.0
"""How long the leader is not asked after it has not answered, unless it answers a
ping."""

NOT_KNOWN_RETRY_MS = 300.0
"""When a caller may try again if nobody has a token for its request."""

LENDER_WAIT_MS, SILENT_LENDER_MS = 40.0, 1000.0
"""How long a lender may take to answer, and for how long it is not asked again if it
has not."""

EXTRA_TOKENS = 3
"""Tokens that are borrowed beyond those needed at once, if there is room for them."""

NEAR_RETRY_MS = 100.0
"""How long nobody is asked again for tokens of a team that is below its cap, and of
which nobody asked had one."""

PROMISES = ""
"""Stands in a record for the tokens that are left to a successor, beside the names of
daemons."""

UNREPORTED_RETRY_MS = 700.0
"""When a caller may try again while a new leader waits for the daemons' reports."""

MAX_TEAMS_REPORTED = 20
"""Teams whose requests are counted one by one in the metrics; the others are summed."""

OTHER_TEAMS = "(others)"

UNNAMED_STEPS = 35
"""Steps of a whole cap in a record that does not name them."""


@attrs.frozen
class Denial:
    """Why a request may not be sent now.

    Parameters
    ----------
    is_cap_reached : bool
        False if it is not known whether the cap allows the request.
    retry_ms : float
    """

    is_cap_reached: bool
    retry_ms: float


@attrs.define(eq=False, repr=False)
class CapKeeper:
    """Takes tokens for requests; on the leader, deals shares to all daemons.

    Parameters
    ----------
    name : str
        Of this daemon.
    boot : int
        Number of this process; each later one of this daemon has a larger number.
    view : FleetView
    peers : FleetPeers
    clock : Clock
    bounds : CapBounds
    leadership : Leadership
    counts : Counter
        Requests by team and result.
    """

    name: str
    boot: int
    view: object
    peers: object
    clock: object
    bounds: object
    leadership: object = None
    counts: collections.Counter = attrs.Factory(collections.Counter)
    _holder: ShareHolder = attrs.field(init=False)
    _dealer: object = None
    _records: list = attrs.Factory(lambda: [{}])
    _dealt_version: int = 0
    _tells_all: bool = False
    _needs: collections.Counter = attrs.Factory(collections.Counter)
    _asked: Event = attrs.Factory(Event)
    _asking: object = None
    _silent_until_ms: float = 0.0
    _is_dealer_waiting: bool = False
    _denied_until_ms: dict = attrs.Factory(dict)
    _below_cap: set = attrs.Factory(set)
    _lenders: Lenders = attrs.Factory(Lenders)
    _silent_lenders_ms: dict = attrs.Factory(dict)

    def __attrs_post_init__(self):
        """Start without shares."""
        self._holder = ShareHolder(self.boot)

    @property
    def is_active(self):
        """Whether the manifest in force caps any team."""
        manifest = self.view.manifest
        return manifest is not None and manifest.teams is not None

    def take(self, team, is_first, until_ms):
        """Take a token for a request that is about to be sent.

        Parameters
        ----------
        team : CallerTeam
        is_first : bool
            Whether no token was asked for on behalf of this request before.
        until_ms : float
            Deadline of the request.

        Returns
        -------
        denial : Denial or None
        """
        name, now_ms = team.name, self.clock.now_ms()
        if is_first:
            self._holder.note_request(name, now_ms)
        if self._holder.try_take(name, team.cap, now_ms):
            return self._count(name, "sent")
        if now_ms >= self._denied_until_ms.get(name, 0.0):
            self._ask(name, min(ANSWER_WAIT_MS, until_ms - now_ms))
            now_ms = self.clock.now_ms()
            if self._holder.try_take(name, team.cap, now_ms):
                return self._count(name, "sent")
        denied_ms = self._denied_until_ms.get(name, 0.0) - now_ms
        is_reached = denied_ms > 0.0 and name not in self._below_cap
        if not is_reached or self._is_dealer_waiting:
            self._count(name, "cap not known")
            is_waiting = self._is_dealer_waiting
            retry_ms = UNREPORTED_RETRY_MS if is_waiting else NOT_KNOWN_RETRY_MS
            return Denial(False, retry_ms)
        self._count(name, "over the cap")
        share_ms = self._holder.ms_until_token(name, now_ms)
        return Denial(True, min(denied_ms, share_ms))

    def give_back(self, team):
        """Return the token of a request that certainly was not run."""
        self._holder.give_back(team.name)
        self.counts[team.name, "sent"] -= 1

    def request_counts(self):
        """Return the counts of the teams with most requests, and of the others."""
        totals = collections.Counter()
        for (team, _), count in self.counts.items():
            totals[team] += count
        shown = {team for team, _ in totals.most_common(MAX_TEAMS_REPORTED)}
        found = collections.Counter()
        for (team, result), count in self.counts.items():
            found[f"{team if team in shown else OTHER_TEAMS}: {result}"] += count
        return dict(found)

    def to_report(self):
        """Return what the leader is told with a ping; None without teams."""
        if not self.is_active:
            return None
        return self._holder.to_report(self.clock.now_ms(), None, self._tells_all)

    def apply(self, answer, sent_ms):
        """Apply the leader's answer to a report that was sent at a time."""
        if answer is None:
            return
        now_ms = self.clock.now_ms()
        try:
            self._tells_all = "dealer" not in answer
            self._holder.apply(answer, sent_ms, now_ms)
            self._is_dealer_waiting = bool(answer.get("waits"))
            self._silent_until_ms = 0.0
            below_cap = {str(team) for team in answer.get("below", ())}
            for team, wait_ms in answer.get("retry_ms", {}).items():
                self._note_denial(str(team), float(wait_ms), str(team) in below_cap)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log_event("shares-not-understood", reason=repr(error))

    def _note_denial(self, team, wait_ms, is_below_cap):
        """Note that the leader had no token of a team."""
        (self._below_cap.add if is_below_cap else self._below_cap.discard)(team)
        wait_ms = min(wait_ms, NEAR_RETRY_MS) if is_below_cap else wait_ms
        self._denied_until_ms[team] = self.clock.now_ms() + wait_ms

    def answer(self, daemon, report):
        """As leader, return what a daemon gets; None if this daemon does not lead.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the report is malformed.
        """
        leadership, now_ms = self.leadership, self.clock.now_ms()
        if report is None or not leadership.leads or not self.is_active:
            return None
        self._prepare_dealer(now_ms)
        may_grow = now_ms < leadership.sole_until_ms
        recorded = self._recorded_steps(daemon)
        self._lenders.update(self.view.daemons, self.view.daemon_domains)
        lent_parts = self._lenders.parts(daemon, self.view.manifest.teams.caps)
        return self._dealer.deal(daemon, report, now_ms, may_grow, recorded, lent_parts)

    def hear(self, daemon, report):
        """As leader, note what a daemon's report proves; raises as :meth:`answer`."""
        if report is not None and self.leadership.leads and self.is_active:
            now_ms = self.clock.now_ms()
            self._prepare_dealer(now_ms)
            self._dealer.hear(daemon, report, now_ms)

    def renew_own(self):
        """As leader, have this daemon's own shares extended."""
        if self.is_active:
            sent_ms = self.clock.now_ms()
            self.apply(self.answer(self.name, self.to_report()), sent_ms)

    def record_to_write(self):
        """As leader, renew the own shares; return what a successor has to know.

        The answer is a text. Until :meth:`confirm_record` is called with it, the store
        may hold this text or any earlier one since the last that was confirmed.
        """
        if not self.is_active:
            return self.leadership.inherited_holders
        self._prepare_dealer(self.clock.now_ms())
        self.renew_own()
        record = self._dealer.record()
        promised = self._dealer.tokens_to_promise(self.clock.now_ms())
        record[PROMISES] = {team: n for team, n in promised.items() if n}
        self._records.append(record)
        self._keep_promises()
        return _encode_record(record)

    def confirm_record(self, text):
        """As leader, note that the store holds a text of :meth:`record_to_write`."""
        if self._dealer is None or not self._records:
            return
        if _encode_record(self._records[-1]) == text:
            del self._records[:-1]
            self._keep_promises()

    def _keep_promises(self):
        """Have the dealer leave what any record that may be stored promises."""
        promised = collections.Counter()
        for record in self._records:
            promised |= collections.Counter(record.get(PROMISES, {}))
        self._dealer.promised = promised

    def _recorded_steps(self, daemon):
        """Return the steps by team that the store has for a daemon in any case."""
        first, *others = (record.get(daemon, {}) for record in self._records)
        return {
            team: min(steps, *(other.get(team, 0) for other in others))
            if others
            else steps
            for team, steps in first.items()
        }

    def _dealer_id(self):
        return self.leadership.term, self.leadership.boot_id

    def _prepare_dealer(self, now_ms):
        """Create the dealer of a new term, and apply a new manifest to it."""
        manifest, dealer_id = self.view.manifest, self._dealer_id()
        if self._dealer is None or self._dealer.dealer != dealer_id:
            holders = _decode_record(self.leadership.inherited_holders)
            # What was promised is given out by this dealer, and not promised again.
            inherited = holders.pop(PROMISES, {})
            self._records = [holders]
            stopped_ms = max(now_ms, self.leadership.inherited.stopped_ms)
            ended_ms = stopped_ms + CLOCK_DRIFT * SHARE_MS + MARGIN_MS
            is_first = self.leadership.term == 1
            self._dealer = ShareDealer(
                dealer_id, dict(holders), ended_ms, is_first, self.bounds, inherited
            )
            self._dealt_version = 0
            log_event("caps-dealt", term=dealer_id[0], daemons_listed=len(holders))
        if manifest.version != self._dealt_version:
            self._dealt_version = manifest.version
            self._dealer.update_caps(manifest.teams.caps, now_ms)
        self._dealer.bounds = self.bounds

    def _count(self, team, result):
        self.counts[team, result] += 1

    def _ask(self, team, wait_ms):
        """Have a token asked for; other requests that wait share the question."""
        self._needs[team] += 1
        answered = self._asked
        if self._asking is None:
            self._asking = gevent.spawn(self._run_questions)
        answered.wait(max(0.0, wait_ms) / 1000.0)

    def _run_questions(self):
        try:
            while self._needs:
                needs, self._needs = self._needs, collections.Counter()
                answered, self._asked = self._asked, Event()
                try:
                    self._meet(dict(needs))
                finally:
                    answered.set()
        finally:
            self._asking = None

    def _meet(self, needs):
        """Get tokens of the own failure domain, else of the leader, else of others.

        Nearly all requests get one nearby, whatever becomes of the leader.
        """
        domains = self.view.daemon_domains
        domain = domains.get(self.name, "")
        self._lenders.update(self.view.daemons, domains)
        needs = self._borrow(needs, lambda team: [self._lenders.lender(team, domain)])
        if not needs:
            return
        is_silent = self.clock.now_ms() < self._silent_until_ms
        if not is_silent and self._question(needs):
            needs = {t: n for t, n in needs.items() if t in self._below_cap}
        self._borrow(needs, lambda team: self._lenders.others(team, domain))

    def _question(self, needs):
        """Ask the leader for tokens; return whether it has answered."""
        for _ in range(2):
            sent_ms = self.clock.now_ms()
            if self._tells_all:
                report = self._holder.to_report(sent_ms, needs, True)
            else:
                report = self._holder.to_question(sent_ms, needs)
            answer = self._exchange(report)
            if answer is None:
                self._silent_until_ms = self.clock.now_ms() + NO_LEADER_RETRY_MS
                return False
            self._below_cap.difference_update(needs)
            self.apply(answer, sent_ms)
            if not self._tells_all:
                return True
        return False

    def _exchange(self, report):
        if self.leadership.leads:
            return self.answer(self.name, report)
        address = self.leadership.leader_address
        if not address or address == self.leadership.address:
            return None
        message = {"name": self.name, "shares": report}
        result = self.peers.ask_shares(address, message, LEADER_WAIT_MS)
        return result.unwrap().get("shares") if is_successful(result) else None

    def _borrow(self, needs, lenders_of):
        """Borrow tokens of other daemons; return what is still needed, by team.

        A token changes hands, so that the sum stays the same.

        Parameters
        ----------
        needs : dict of str to int
        lenders_of : callable
            Returns the daemons to ask for tokens of a team, in this order.
        """
        missing = {}
        for team, n_needed in needs.items():
            for lender in lenders_of(team):
                if n_needed <= 0:
                    break
                n_needed -= self._borrow_of(lender, team, n_needed)
            if n_needed > 0:
                missing[team] = n_needed
        return missing

    def _borrow_of(self, lender, team, n_needed):
        """Borrow tokens of one daemon; return how many it gave."""
        now_ms = self.clock.now_ms()
        address = self.view.daemons.get(lender)
        if lender == self.name or address is None:
            return 0
        if now_ms < self._silent_lenders_ms.get(lender, 0.0):
            return 0
        n_extra = min(EXTRA_TOKENS, self._holder.room(team, now_ms))
        message = {"name": self.name, "borrow": {team: n_needed + n_extra}}
        result = self.peers.ask_shares(address, message, LENDER_WAIT_MS)
        now_ms = self.clock.now_ms()
        if not is_successful(result):
            self._silent_lenders_ms[lender] = now_ms + SILENT_LENDER_MS
            return 0
        lent = result.unwrap().get("lent") or {}
        self._holder.borrow(lent, now_ms)
        return lent.get(team, 0)

    def handle_question(self, message):
        """Answer a daemon that asks for tokens; an empty answer if this one can't."""
        if "borrow" in message:
            needs = {str(team): int(n) for team, n in message["borrow"].items()}
            return {"lent": self._holder.lend(needs, self.clock.now_ms())}
        answer = self.answer(str(message["name"]), message["shares"])
        return {} if answer is None else {"shares": answer}


def without_promises(text):
    """Return a record's text without the tokens that are left to one successor."""
    if not text:
        return ""
    record = _decode_record(text)
    record.pop(PROMISES, None)
    return _encode_record(record)


def _encode_record(record):
    """Return the steps by daemon and team as a short text; empty if there are none."""
    if not record:
        return ""
    text = json.dumps(record, separators=(",", ":"), sort_keys=True)
    return f"{PART_STEPS}:" + base64.b64encode(zlib.compress(text.encode())).decode()


def _decode_record(text):
    """Return the steps by daemon and team; none if the text is not a record.

    Records of earlier builds do not name how many steps a whole cap has.
    """
    n_steps, _, body = text.rpartition(":")
    try:
        factor = PART_STEPS / int(n_steps or UNNAMED_STEPS)
        raw = parse_json(zlib.decompress(base64.b64decode(body))) if body else {}
        return {
            str(name): {str(team): _scaled(name, n, factor) for team, n in held.items()}
            for name, held in raw.items()
        }
    except (AttributeError, TypeError, ValueError, zlib.error) as error:
        log_event("holders-not-understood", reason=repr(error))
        return {}


def _scaled(name, count, factor):
    """Return a count of a record in steps of this build; promises are whole tokens."""
    return int(count) if name == PROMISES else math.ceil(int(count) * factor)
