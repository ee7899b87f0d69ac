"""Deals the usage caps of teams to daemons, without I/O.

All daemons together may send a team's requests at a certain rate. One dealer divides
the rate into shares, which daemons use without asking; the dealer may change, and
messages may be lost. docs/design/api-keys-and-usage-caps.md shows why the sum holds.
"""

import math

import attrs

__all__ = ["CapBounds", "ShareDealer", "ShareHolder", "UsageCap"]

SHARE_MS = 12_000.0
"""How long a share is valid without an extension. Longer than a leader keeps its right
without the store, and than most cuts."""

CLOCK_DRIFT, MARGIN_MS = 1.02, 300.0
"""Factor and time by which the dealer counts a share for longer than its holder."""

DEPTH_TOLERANCE, SPARE_TOLERANCE, START_TOLERANCE = 0.6, 0.2, 0.1
"""Parts of the tolerance that are dealt as depth, by a dealer that may have a
successor, and by a new one at once. The rest covers tokens on their way."""

PROMISED_SHARE = 0.5
"""Part of its balance that a dealer leaves to a successor, until the next record."""

DEALT_DEPTH = 0.7
"""Part of the depth that shares may have. The rest is left for questions."""

DEALT_RATE = 0.97
"""Part of a rate that shares may have."""

SHARE_ROOM = 1.3
"""Rate of a share as a multiple of the use reported, if the cap allows that."""

PART_STEPS = 35
"""Steps in which the part of a cap that a daemon holds is recorded for a successor."""

BASE_DEPTH, DEPTH_S = 2.0, 1.5
"""Depth of a share: the first value, and the use in as many seconds."""

MIN_SHARE_USE_PER_S = 0.5
"""Use from which a share has a rate. Much of a smaller rate would be lost while the
bucket is full. Such a share is filled with the daemon's reports, and has a rate only
while no dealer answers."""

SILENT_MS = 1500.0
"""How long no dealer answers until such a rate is used."""

MIN_RATE_DEPTH = 3.0
"""Depth from which a share has a rate: a smaller bucket is full most of the time."""

RECOMPUTE_MS = 900.0
"""Shortest time between two changes of a daemon's shares."""

RATE_CHANGE, RATE_CHANGE_PER_S, DEPTH_CHANGE = 0.15, 0.05, 0.25
"""Changes of a share that are too small to be told: relative, and per second."""

LUMP_VALID_MS = 300.0
"""How long a token that was asked for is valid, beyond the depth of the share."""

USE_INTERVAL_MS = 1400.0
"""How often a daemon tells its use; other reports leave it out."""

USE_WINDOW_MS = 10_000.0
"""Time constant of the use that a daemon reports."""

MIN_USE_PER_S = 0.02
"""Use below which a daemon has no share."""

MAX_RETRY_MS, UNREPORTED_RETRY_MS = 1000.0, 200.0
"""Longest time until a daemon without a token asks again; the second value while other
daemons have yet to tell a new dealer what they hold."""

RECIPIENT_EXPIRY_MS = 30_000.0


NO_SHARE = (0.0, 0.0, 0.0)


@attrs.frozen
class UsageCap:
    """How many requests of a team may be sent to servers.

    Parameters
    ----------
    rate_per_s, burst : float
        In any time, the rate multiplied by it, and the burst.
    """

    rate_per_s: float
    burst: float = 0.0


@attrs.frozen
class CapBounds:
    """How far the sum over all daemons may exceed a cap.

    Parameters
    ----------
    window_ms : float
        Time over which requests are counted.
    over : float
        Tolerated excess, as a fraction of what the cap allows in a window.
    slack : float
        Further requests tolerated in a window.
    """

    window_ms: float = 5000.0
    over: float = 0.1
    slack: float = 20.0

    def tolerance(self, cap):
        """Return how many requests in a window are tolerated beyond a cap."""
        in_window = cap.rate_per_s * self.window_ms / 1000.0 + cap.burst
        return self.over * in_window + self.slack

    def max_in_window(self, cap):
        """Return how many requests in a window are tolerated in all."""
        in_window = cap.rate_per_s * self.window_ms / 1000.0 + cap.burst
        return in_window + self.tolerance(cap)

    def depth(self, cap):
        """Return how many tokens may be unspent at a time, at all daemons together."""
        return cap.burst + DEPTH_TOLERANCE * self.tolerance(cap)


@attrs.define(eq=False)
class _Bucket:
    """A share of one cap: a token bucket, and tokens that were asked for.

    The reserve is a rate that is used only while no dealer answers.
    """

    rate_per_s: float
    depth: float
    at_ms: float
    reserve_per_s: float = 0.0
    tokens: float = 0.0
    lump: int = 0
    lump_until_ms: float = -math.inf

    def refill(self, now_ms, silent_from_ms):
        gained = self.rate_per_s * max(0.0, now_ms - self.at_ms) / 1000.0
        if self.reserve_per_s and now_ms > silent_from_ms:
            silent_ms = max(0.0, now_ms - max(self.at_ms, silent_from_ms))
            gained += self.reserve_per_s * silent_ms / 1000.0
        self.tokens = min(self.depth, self.tokens + gained)
        self.at_ms = max(self.at_ms, now_ms)
        if now_ms >= self.lump_until_ms:
            self.lump = 0

    def take(self):
        if self.lump:
            self.lump -= 1
            return True
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define(eq=False)
class _Use:
    """Moving average of the requests of a team at one daemon."""

    count: float = 0.0
    at_ms: float = 0.0

    def note(self, now_ms):
        self.count, self.at_ms = self._count_at(now_ms) + 1.0, now_ms

    def per_s(self, now_ms):
        return self._count_at(now_ms) * 1000.0 / USE_WINDOW_MS

    def _count_at(self, now_ms):
        return self.count * math.exp(-max(0.0, now_ms - self.at_ms) / USE_WINDOW_MS)


@attrs.define(eq=False, repr=False)
class ShareHolder:
    """The shares of one daemon.

    Parameters
    ----------
    boot : int
        Number of this process; each later process of a daemon has a larger one.
    """

    boot: int
    _dealer: tuple = (0, "")
    _number: int = 0
    _until_ms: float = -math.inf
    _told_all_ms: float = -math.inf
    _silent_from_ms: float = -math.inf
    _silent_ms: float = 0.0
    _use_told_ms: float = -math.inf
    _buckets: dict = attrs.Factory(dict)
    _use: dict = attrs.Factory(dict)

    def note_request(self, team, now_ms):
        """Record that a caller of a team has sent a request."""
        use = self._use.get(team)
        if use is None:
            use = self._use[team] = _Use()
        use.note(now_ms)

    def try_take(self, team, cap, now_ms):
        """Take a token for one request; False if there is none.

        Parameters
        ----------
        team : str
        cap : UsageCap
            As this daemon knows it, which may be lower than when the share was dealt.
        now_ms : float
        """
        self._drop_ended(now_ms)
        bucket = self._buckets.get(team)
        if bucket is None:
            return False
        bucket.rate_per_s = min(bucket.rate_per_s, cap.rate_per_s)
        bucket.refill(now_ms, self._silent_from_ms)
        return bucket.take()

    def give_back(self, team):
        """Return the token of a request that was not run."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.tokens = min(bucket.depth, bucket.tokens + 1.0)

    def lend(self, needs, now_ms):
        """Take tokens for another daemon, as far as there are any; return them by team.

        Parameters
        ----------
        needs : dict of str to int
        now_ms : float
        """
        self._drop_ended(now_ms)
        lent = {}
        for team, n_tokens in needs.items():
            bucket = self._buckets.get(team)
            while bucket is not None and lent.get(team, 0) < n_tokens:
                bucket.refill(now_ms, self._silent_from_ms)
                if not bucket.take():
                    break
                lent[team] = lent.get(team, 0) + 1
        return lent

    def borrow(self, lent, now_ms):
        """Add tokens that another daemon has lent; they are valid for a short time."""
        if now_ms >= self._until_ms:
            self._until_ms = now_ms + LUMP_VALID_MS
        self._add_lumps(lent, now_ms)

    def ms_until_token(self, team, now_ms):
        """Return when this daemon's share has a token; infinite without a share."""
        bucket = self._buckets.get(team)
        if bucket is None or not bucket.rate_per_s or bucket.depth < 1.0:
            return math.inf
        bucket.refill(now_ms, self._silent_from_ms)
        return max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_s * 1000.0

    def to_report(self, now_ms, needs=None, tells_all=False):
        """Return this daemon's use and needs, for the dealer.

        Parameters
        ----------
        now_ms : float
        needs : dict of str to int, optional
            Tokens needed at once, by team.
        tells_all : bool
            Whether the dealer may not know what this daemon holds.

        Returns
        -------
        report : dict
            JSON-compatible.
        """
        self._drop_ended(now_ms)
        use = self._recent_use(now_ms)
        needs = dict(needs or {})
        for team, bucket in self._buckets.items():
            if not bucket.rate_per_s and team in use:
                missing = math.floor(bucket.depth - bucket.tokens)
                if missing > 0:
                    needs[team] = needs.get(team, 0) + missing
        silent_ms = self._silent_ms + max(0.0, now_ms - self._silent_from_ms)
        report = {"boot": self.boot, "number": self._number}
        if tells_all or now_ms >= self._use_told_ms + USE_INTERVAL_MS:
            self._use_told_ms = now_ms
            report["use"] = use
        if self._number:
            report["silent_ms"] = round(silent_ms)
        if self._number:
            report["dealer"] = list(self._dealer)
            if tells_all:
                self._told_all_ms = now_ms
                held = self._shares().items()
                report["held"] = {team: list(share) for team, share in held}
        if needs:
            report["needs"] = needs
        return report

    def _recent_use(self, now_ms):
        """Return the use of each team with callers here; forget the others."""
        use = {}
        for team, item in list(self._use.items()):
            per_s = round(item.per_s(now_ms), 2)
            if per_s >= MIN_USE_PER_S:
                use[team] = per_s
            else:
                del self._use[team]
        return use

    def to_question(self, now_ms, needs):
        """Return a short report that only asks for tokens; as :meth:`to_report`."""
        use = {t: round(self._use[t].per_s(now_ms), 2) for t in needs if t in self._use}
        return {
            "boot": self.boot,
            "number": self._number,
            "dealer": list(self._dealer),
            "use": use,
            "needs": needs,
            "short": True,
        }

    def apply(self, answer, sent_ms, now_ms):
        """Apply a dealer's answer, unless a later one is known.

        Parameters
        ----------
        answer : dict
            As from :meth:`ShareDealer.deal`.
        sent_ms, now_ms : float
            When the report was sent that it answers, and now.

        Raises
        ------
        KeyError, TypeError, ValueError
            If it is malformed; nothing is applied then.
        """
        if "dealer" not in answer:
            return
        term, boot_id = answer["dealer"]
        dealer, number = (int(term), str(boot_id)), int(answer["number"])
        self._drop_ended(now_ms)
        lumps = {str(team): int(n) for team, n in answer.get("lumps", {}).items()}
        if answer.get("short"):
            # Tokens of a question do not depend on the shares, and arrive once.
            if dealer[0] >= self._dealer[0]:
                self.borrow(lumps, now_ms)
            return
        is_same = dealer == self._dealer
        if dealer[0] < self._dealer[0] or (is_same and number < self._number):
            return
        if is_same and self._number and sent_ms < self._told_all_ms:
            # Another dealer counts on what was told to it since.
            return
        if "shares" not in answer:
            if not is_same or number > self._number + bool(lumps):
                return
            self._end_silence(sent_ms, now_ms)
            if number > self._number:
                self._number = number
                self._add_lumps(lumps, now_ms)
            self._until_ms = max(self._until_ms, sent_ms + SHARE_MS)
            return
        if is_same and number == self._number:
            return
        shares = {
            str(team): (float(rate), float(depth), float(reserve))
            for team, (rate, depth, reserve) in answer["shares"].items()
        }
        if "base" in answer:
            if not is_same or int(answer["base"]) != self._number:
                return
            shares = {**self._shares(), **shares}
            shares = {team: share for team, share in shares.items() if any(share)}
        self._end_silence(sent_ms, now_ms)
        before, self._buckets = self._buckets, {}
        for team, (rate, depth, reserve) in shares.items():
            bucket = before.get(team) or _Bucket(rate, depth, now_ms)
            bucket.rate_per_s, bucket.depth = rate, depth
            bucket.reserve_per_s = reserve
            bucket.tokens = min(bucket.tokens, depth)
            self._buckets[team] = bucket
        self._dealer, self._number = dealer, number
        self._until_ms = sent_ms + SHARE_MS
        self._add_lumps(lumps, now_ms)

    def _shares(self):
        return {
            team: (bucket.rate_per_s, bucket.depth, bucket.reserve_per_s)
            for team, bucket in self._buckets.items()
        }

    def _add_lumps(self, lumps, now_ms):
        """Add tokens; those beyond the depth of a share are valid for a short time."""
        for team, n_tokens in lumps.items():
            bucket = self._buckets.get(team)
            if bucket is None:
                bucket = self._buckets[team] = _Bucket(0.0, 0.0, now_ms)
            bucket.refill(now_ms, self._silent_from_ms)
            n_kept = min(n_tokens, max(0, math.floor(bucket.depth - bucket.tokens)))
            bucket.tokens += n_kept
            if n_kept < n_tokens:
                bucket.lump += n_tokens - n_kept
                bucket.lump_until_ms = now_ms + LUMP_VALID_MS

    def _end_silence(self, sent_ms, now_ms):
        """Note that a dealer has answered a report that was sent at a time."""
        for bucket in self._buckets.values():
            bucket.refill(now_ms, self._silent_from_ms)
        if self._number:
            self._silent_ms += max(0.0, now_ms - self._silent_from_ms)
        self._silent_from_ms = max(sent_ms + SILENT_MS, now_ms)

    def _drop_ended(self, now_ms):
        if now_ms >= self._until_ms:
            self._buckets, self._number = {}, 0


@attrs.define(eq=False)
class _Grant:
    """All shares that a daemon was dealt at a time, by team.

    Each has a rate, a depth, and a rate in reserve.
    """

    number: int
    shares: dict
    until_ms: float


@attrs.define(eq=False)
class _Recipient:
    """What the dealer knows of one daemon.

    ``grants`` are those that the daemon may be using, the latest one last.
    """

    boot: int
    heard_ms: float
    grants: list = attrs.Factory(list)
    number: int = 0
    use: dict = attrs.Factory(dict)
    wanted_steps: dict = attrs.Factory(dict)
    dealt_ms: float = -math.inf
    credited_ms: float = 0.0
    silent_ms: float = 0.0

    @property
    def shares(self):
        return self.grants[-1].shares if self.grants else {}

    def counted(self, team):
        """Return the largest values of a share that the daemon may be using."""
        if len(self.grants) == 1:
            return self.grants[0].shares.get(team, NO_SHARE)
        held = [grant.shares.get(team, NO_SHARE) for grant in self.grants]
        return tuple(map(max, zip(*held, strict=True))) if held else NO_SHARE


@attrs.define(eq=False)
class _Account:
    """One team's cap at the dealer, and the sums over all daemons."""

    cap: UsageCap
    at_ms: float
    balance: float = 0.0
    start: float = 0.0
    spare: float = 0.0
    returned: float = 0.0
    rate: float = 0.0
    depth: float = 0.0
    reserve: float = 0.0
    use: float = 0.0
    n_users: int = 0
    set_aside: float = 0.0


@attrs.define(eq=False, repr=False)
class ShareDealer:
    """Deals all caps.

    Parameters
    ----------
    dealer : tuple of (int, str)
        Its term, and the id of its process.
    unreported : dict of str to dict
        Daemons that may hold shares of an earlier dealer, with the steps that were
        recorded for each, by team.
    inherited_until_ms : float
        When all of these shares have ended.
    is_first : bool
        Whether no dealer came before it.
    bounds : CapBounds
    inherited : dict of str to int
        Tokens that the dealer before it has left, by team.
    promised : dict of str to int
        Tokens that it has to leave to a successor, by team.
    """

    dealer: tuple
    unreported: dict = attrs.Factory(dict)
    inherited_until_ms: float = -math.inf
    is_first: bool = False
    bounds: CapBounds = CapBounds()
    inherited: dict = attrs.Factory(dict)
    promised: dict = attrs.Factory(dict)
    _accounts: dict = attrs.Factory(dict)
    _recipients: dict = attrs.Factory(dict)
    _next_sweep_ms: float = -math.inf

    def update_caps(self, caps, now_ms):
        """Adopt the caps of a manifest.

        Parameters
        ----------
        caps : dict of str to UsageCap
            By team; teams without a cap are left out.
        now_ms : float
        """
        for team, cap in caps.items():
            account = self._accounts.get(team)
            if account is None:
                account = self._accounts[team] = _Account(cap, now_ms)
                steps = sum(held.get(team, 0) for held in self.unreported.values())
                account.set_aside = steps / PART_STEPS
                account.start = START_TOLERANCE * self.bounds.tolerance(cap)
                account.start += self.inherited.get(team, 0)
                if self.is_first or now_ms >= self.inherited_until_ms:
                    account.balance = cap.burst
            else:
                self._refill(account, now_ms)
                account.cap = cap

    def deal(self, daemon, report, now_ms, may_grow, recorded=None):
        """Return what a daemon gets.

        Parameters
        ----------
        daemon : str
        report : dict
            As from :meth:`ShareHolder.to_report`.
        now_ms : float
        may_grow : bool
            Whether no other dealer can be in office.
        recorded : dict of str to int, optional
            Steps that a successor would learn of for this daemon, by team. No share
            grows beyond them.

        Returns
        -------
        answer : dict
            JSON-compatible; empty if it is to report all that it holds.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the report is malformed; nothing is changed then.
        """
        boot, number = int(report["boot"]), int(report["number"])
        told = report.get("use")
        use = {str(team): float(per_s) for team, per_s in (told or {}).items()}
        needs = {str(team): int(n) for team, n in report.get("needs", {}).items()}
        held = {
            str(team): (float(rate), float(depth), float(reserve))
            for team, (rate, depth, reserve) in report.get("held", {}).items()
        }
        silent_ms = float(report.get("silent_ms", 0.0))
        if not all(math.isfinite(value) and value >= 0.0 for value in use.values()):
            raise ValueError("use is not a finite number")
        dealer = tuple(report.get("dealer", ()))
        self._sweep(now_ms)
        recipient = self._recipients.get(daemon)
        if recipient is None or recipient.boot < boot:
            if number and dealer != self.dealer and "held" not in report:
                return {}
            recipient = self._add(daemon, boot, held, now_ms)
            recipient.silent_ms = silent_ms
        elif boot < recipient.boot:
            # From a process that has ended.
            return {}
        if report.get("short"):
            return self._answer_question(recipient, use, needs, may_grow, now_ms)
        self._credit_reserves(recipient, silent_ms, may_grow, now_ms)
        self._record_use(recipient, recipient.use if told is None else use, now_ms)
        if dealer == self.dealer and number > recipient.grants[0].number:
            self._confirm(recipient, number, now_ms)
        shares = before = recipient.shares
        if needs or now_ms >= recipient.dealt_ms + RECOMPUTE_MS:
            recipient.dealt_ms = now_ms
            shares = self._shares_for(recipient, may_grow, recorded, now_ms)
        lumps, retry_ms = self._lumps_for(needs, may_grow, now_ms)
        answer = {"dealer": list(self.dealer)}
        is_current = dealer == self.dealer and number == recipient.number
        if shares != recipient.shares or not is_current:
            recipient.number += 1
            grant = _Grant(recipient.number, shares, self._end_ms(now_ms))
            recipient.grants.append(grant)
            self._recount(recipient, shares, now_ms)
            answer["shares"] = {team: list(share) for team, share in shares.items()}
            if is_current:
                answer["base"] = number
                answer["shares"] = _changes(before, shares)
        elif lumps:
            recipient.number += 1
            recipient.grants[-1].number = recipient.number
        if lumps:
            answer["lumps"] = lumps
        for grant in recipient.grants:
            grant.until_ms = self._end_ms(now_ms)
        answer["number"] = recipient.number
        self._add_retry(answer, retry_ms)
        return answer

    def _answer_question(self, recipient, use, needs, may_grow, now_ms):
        """Return tokens, without a look at the daemon's shares."""
        self._record_use(recipient, {**recipient.use, **use}, now_ms)
        lumps, retry_ms = self._lumps_for(needs, may_grow, now_ms)
        answer = {"dealer": list(self.dealer), "number": 0, "short": True}
        if lumps:
            answer["lumps"] = lumps
        self._add_retry(answer, retry_ms)
        return answer

    def _add_retry(self, answer, retry_ms):
        if retry_ms:
            answer["retry_ms"] = retry_ms
            if self.unreported:
                answer["waits"] = True

    def hear(self, daemon, report, now_ms):
        """Note what a report proves, before its answer is due.

        A new process of a daemon holds nothing of what the one before was dealt.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the report is malformed; nothing is changed then.
        """
        boot, number = int(report["boot"]), int(report["number"])
        recipient = self._recipients.get(daemon)
        if not number and (recipient is None or recipient.boot < boot):
            self._add(daemon, boot, {}, now_ms)

    def n_recipients(self):
        """Return how many daemons have been heard."""
        return len(self._recipients)

    def _end_ms(self, now_ms):
        return now_ms + CLOCK_DRIFT * SHARE_MS + MARGIN_MS

    def _add(self, daemon, boot, held, now_ms):
        """Register a process, in place of an earlier one of the same daemon."""
        before = self._recipients.get(daemon)
        if before is not None:
            self._forget(daemon, before, now_ms)
        for team, steps in self.unreported.pop(daemon, {}).items():
            account = self._accounts.get(team)
            if account is not None:
                self._refill(account, now_ms)
                account.set_aside -= steps / PART_STEPS
        grants = [_Grant(0, held, self._end_ms(now_ms))]
        recipient = _Recipient(boot, now_ms, grants, credited_ms=now_ms)
        self._recipients[daemon] = recipient
        self._counted_sums(recipient, held, now_ms, 1.0)
        return recipient

    def _forget(self, daemon, recipient, now_ms):
        self._record_use(recipient, {}, now_ms)
        teams = {team for grant in recipient.grants for team in grant.shares}
        self._counted_sums(recipient, teams, now_ms, -1.0)
        del self._recipients[daemon]

    def _counted_sums(self, recipient, teams, now_ms, sign):
        for team in teams:
            account = self._accounts.get(team)
            if account is not None:
                self._refill(account, now_ms)
                rate, depth, reserve = recipient.counted(team)
                account.rate += sign * (rate + reserve)
                account.depth += sign * depth
                account.reserve += sign * reserve

    def _credit_reserves(self, recipient, silent_ms, may_grow, now_ms):
        """Take back what a daemon has not used of its reserves since its last report.

        Reserves are counted all the time, and used while no dealer answers. They are
        dealt again also by a dealer that may have a successor, which counts them too.
        """
        passed_ms = now_ms - recipient.credited_ms
        unused_ms = passed_ms - (silent_ms - recipient.silent_ms)
        recipient.credited_ms, recipient.silent_ms = now_ms, silent_ms
        for team in {team for grant in recipient.grants for team in grant.shares}:
            account, reserve = self._accounts.get(team), recipient.counted(team)[2]
            if account is not None and reserve:
                self._refill(account, now_ms)
                credit = reserve * unused_ms / 1000.0
                if may_grow:
                    account.balance += credit
                else:
                    account.returned = min(account.reserve, account.returned + credit)

    def _confirm(self, recipient, number, now_ms):
        """Drop the grants that a daemon has replaced."""
        teams = {team for grant in recipient.grants for team in grant.shares}
        self._counted_sums(recipient, teams, now_ms, -1.0)
        recipient.grants = [g for g in recipient.grants if g.number >= number]
        self._counted_sums(recipient, teams, now_ms, 1.0)

    def _recount(self, recipient, teams, now_ms):
        """Count a grant that was just appended."""
        latest = recipient.grants.pop()
        self._counted_sums(recipient, teams, now_ms, -1.0)
        recipient.grants.append(latest)
        self._counted_sums(recipient, teams, now_ms, 1.0)

    def _record_use(self, recipient, use, now_ms):
        recipient.heard_ms = now_ms
        for team, per_s in recipient.use.items():
            account = self._accounts.get(team)
            if account is not None:
                account.use -= per_s
                account.n_users -= 1
        recipient.use = {t: per_s for t, per_s in use.items() if t in self._accounts}
        for team, per_s in recipient.use.items():
            account = self._accounts[team]
            account.use += per_s
            account.n_users += 1

    def tokens_to_promise(self, now_ms):
        """Return the tokens to leave to a successor, by team."""
        found = {}
        for team, account in self._accounts.items():
            self._refill(account, now_ms)
            found[team] = max(0, math.floor(PROMISED_SHARE * account.balance))
        return found

    def record(self):
        """Return what a successor has to know: steps by daemon and team."""
        found = {name: dict(held) for name, held in self.unreported.items()}
        for name, recipient in self._recipients.items():
            teams = {team for grant in recipient.grants for team in grant.shares}
            steps = {team: self._counted_steps(recipient, team) for team in teams}
            for team, wanted in recipient.wanted_steps.items():
                steps[team] = max(steps.get(team, 0), wanted)
            steps = {team: n for team, n in steps.items() if n}
            if steps:
                found[name] = steps
        return found

    def _counted_steps(self, recipient, team):
        account = self._accounts.get(team)
        return 0 if account is None else self._steps(account, recipient.counted(team))

    def _steps(self, account, share):
        """Return the part of a cap that a share is, in steps, rounded up."""
        rate, depth, reserve = share
        total = DEALT_DEPTH * self.bounds.depth(account.cap)
        part = max(
            (rate + reserve) / max(account.cap.rate_per_s, 1e-9),
            depth / max(total, 1e-9),
        )
        return min(PART_STEPS, math.ceil(PART_STEPS * part - 1e-6))

    def _shares_for(self, recipient, may_grow, recorded, now_ms):
        """Return the shares that a daemon gets, by team."""
        shares, recipient.wanted_steps = {}, {}
        for team, per_s in recipient.use.items():
            account = self._accounts[team]
            self._refill(account, now_ms)
            current = recipient.shares.get(team, NO_SHARE)
            share = self._share_for(account, recipient.counted(team), current, per_s)
            recipient.wanted_steps[team] = self._steps(account, share)
            is_recorded = (
                recorded is None
                or recorded.get(team, 0) >= recipient.wanted_steps[team]
            )
            if not (may_grow and is_recorded):
                share = tuple(map(min, share, current))
            if share[1] >= 1.0:
                shares[team] = share
        return shares

    def _share_for(self, account, counted, current, per_s):
        """Return a share within what other daemons leave."""
        cap, part = account.cap, min(1.0, account.set_aside)
        factor = min(SHARE_ROOM, DEALT_RATE * cap.rate_per_s / max(account.use, 1e-9))
        others = account.rate - counted[0] - counted[2]
        left = (DEALT_RATE - part) * cap.rate_per_s - others
        held = current[0] + current[2]
        rate = max(0.0, min(per_s * factor, max(left, held)))
        total = DEALT_DEPTH * self.bounds.depth(cap)
        wanted = BASE_DEPTH * account.n_users + DEPTH_S * account.use
        scale = min(1.0, total / max(wanted, 1e-9))
        left = (1.0 - part) * total - (account.depth - counted[1])
        depth = (BASE_DEPTH + DEPTH_S * per_s) * scale
        depth = min(max(1.0, depth), max(left, current[1]))
        depth = max(0.0, math.floor(depth))
        # What exceeds the cap is always taken back.
        slightly = RATE_CHANGE * held + RATE_CHANGE_PER_S
        is_within = account.rate <= cap.rate_per_s
        if is_within and held and abs(rate - held) <= slightly:
            rate = held
        is_within = account.depth <= total
        if is_within and abs(depth - current[1]) <= DEPTH_CHANGE * current[1]:
            depth = current[1]
        rate = round(rate, 3)
        if per_s < MIN_SHARE_USE_PER_S or depth < MIN_RATE_DEPTH:
            return 0.0, depth, rate
        return rate, depth, 0.0

    def _lumps_for(self, needs, may_grow, now_ms):
        """Return the tokens that a daemon gets at once, and when to ask again."""
        lumps, retry_ms = {}, {}
        for team, wanted in needs.items():
            account = self._accounts.get(team)
            if account is None:
                continue
            self._refill(account, now_ms)
            if may_grow:
                available = account.start
                available += max(0.0, account.balance - self.promised.get(team, 0))
            else:
                available = max(0.0, account.returned) + account.spare
            given = max(0, min(wanted, math.floor(available)))
            if given:
                lumps[team] = given
                if may_grow:
                    from_start = min(given, account.start)
                    account.start -= from_start
                    account.balance -= given - from_start
                else:
                    from_returned = min(given, max(0.0, account.returned))
                    account.returned -= from_returned
                    account.spare -= given - from_returned
            if given < wanted:
                filling = self._filling_per_s(account) + account.reserve
                missing = max(0.0, 1.0 - available + given)
                wait_ms = 1000.0 * missing / filling if filling > 0.0 else math.inf
                longest_ms = UNREPORTED_RETRY_MS if self.unreported else MAX_RETRY_MS
                retry_ms[team] = round(min(longest_ms, wait_ms))
        return lumps, retry_ms

    def _filling_per_s(self, account):
        set_aside = min(1.0, account.set_aside) * account.cap.rate_per_s
        return max(0.0, account.cap.rate_per_s - account.rate - set_aside)

    def _refill(self, account, now_ms):
        """Fill a balance up to the present; has to come before any change of sums."""
        passed_s = max(0.0, now_ms - account.at_ms) / 1000.0
        account.at_ms = max(account.at_ms, now_ms)
        filling = self._filling_per_s(account)
        depth = self.bounds.depth(account.cap)
        room = max(0.0, (1.0 - min(1.0, account.set_aside)) * depth - account.depth)
        if account.start and not self.unreported:
            account.balance += account.start
            account.start = 0.0
        account.balance = min(room, account.balance + filling * passed_s)
        spare = SPARE_TOLERANCE * self.bounds.tolerance(account.cap)
        spare_per_s = 1000.0 * spare / self.bounds.window_ms
        account.spare = min(spare, account.spare + spare_per_s * passed_s)

    def _sweep(self, now_ms):
        """Drop what has ended."""
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + MARGIN_MS
        if now_ms >= self.inherited_until_ms:
            self.unreported.clear()
            for account in self._accounts.values():
                account.set_aside = 0.0
        for daemon, recipient in list(self._recipients.items()):
            if any(grant.until_ms <= now_ms for grant in recipient.grants):
                teams = {team for grant in recipient.grants for team in grant.shares}
                self._counted_sums(recipient, teams, now_ms, -1.0)
                kept = [g for g in recipient.grants if g.until_ms > now_ms]
                recipient.grants = kept or [_Grant(recipient.number, {}, math.inf)]
                self._counted_sums(recipient, teams, now_ms, 1.0)
            if recipient.heard_ms < now_ms - RECIPIENT_EXPIRY_MS:
                self._forget(daemon, recipient, now_ms)


def _changes(before, shares):
    """Return the shares that differ, with a share of nothing for those that ended."""
    ended = {team: list(NO_SHARE) for team in before if team not in shares}
    changed = {
        team: list(share) for team, share in shares.items() if before.get(team) != share
    }
    return {**ended, **changed}
