"""Deals the usage caps of teams to daemons, without I/O.

docs/design/api-keys-and-usage-caps.md shows why the sum over all daemons holds.
"""

import math

import attrs

from .caps import (
    CLOCK_DRIFT,
    MARGIN_MS,
    NO_SHARE,
    SHARE_MS,
    SPARE_TOLERANCE,
    START_TOLERANCE,
    CapBounds,
    UsageCap,
)

__all__ = ["PART_STEPS", "ShareDealer"]

PROMISED_SHARE = 0.5
"""Part of its balance that a dealer leaves to a successor, until the next record."""

DEALT_DEPTH, DEALT_RATE = 0.85, 0.95
"""Parts of the depth and of the rate that shares may have. The rest is left for
questions."""

LENT_DEPTH, LENT_RATE = 0.5, 0.6
"""Parts of the depth and of the rate that the lenders of all failure domains have. One
share of a failure domain refuses fewer requests than many small ones with its sum."""

SHARE_ROOM = 1.3
"""Rate of a share as a multiple of the use reported, if the cap allows that."""

PART_STEPS = 250
"""Steps in which the part of a cap that a daemon holds is recorded for a successor."""

BASE_DEPTH, DEPTH_S = 2.0, 1.5
"""Depth of a share: the first value, and the use in as many seconds."""

BELOW_CAP = 0.85
"""Part of a rate below which a team's use is within its cap: who is denied a token then
may get one of a lender."""

OWN_USE_SHARE = 0.5
"""Part of a lender's rate from which its own use counts as the reason for its share."""

MIN_SHARE_USE_PER_S = 0.5
"""Use from which a share has a rate. Much of a smaller rate would be lost while the
bucket is full. Such a share is filled with the daemon's reports, and has a rate only
while no dealer answers."""

MIN_RATE_DEPTH = 3.0
"""Depth from which a share has a rate: a smaller bucket is full most of the time."""

RECOMPUTE_MS = 900.0
"""Shortest time between two changes of a daemon's shares."""

RATE_CHANGE, RATE_CHANGE_PER_S, DEPTH_CHANGE = 0.15, 0.05, 0.25
"""Changes of a share that are too small to be told: relative, and per second."""

MAX_RETRY_MS, UNREPORTED_RETRY_MS = 1000.0, 200.0
"""Longest time until a daemon without a token asks again; the second value while other
daemons have yet to tell a new dealer what they hold."""

RECIPIENT_EXPIRY_MS = 30_000.0


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

    def deal(self, daemon, report, now_ms, may_grow, recorded=None, lent_parts=None):
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
        lent_parts : dict of str to float, optional
            The daemon's part of what the lenders of a team hold together, by team.

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
            shares = self._shares_for(
                recipient, may_grow, recorded, lent_parts or {}, now_ms
            )
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
        """Tell when to ask again, and of which teams others have tokens for sure."""
        if not retry_ms:
            return
        answer["retry_ms"] = retry_ms
        below_cap = [team for team in retry_ms if self._is_below_cap(team)]
        if below_cap:
            answer["below"] = below_cap
        if self.unreported:
            answer["waits"] = True

    def _is_below_cap(self, team):
        """Return whether other daemons may well have tokens of a team."""
        account = self._accounts[team]
        most_per_s = BELOW_CAP * account.cap.rate_per_s
        # Of a small team, a few requests more already look like a reached cap.
        tolerated = self.bounds.tolerance(account.cap) / 2.0
        most_per_s += 1000.0 * tolerated / self.bounds.window_ms
        return account.use < most_per_s and account.depth >= 1.0

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

    def _shares_for(self, recipient, may_grow, recorded, lent_parts, now_ms):
        """Return the shares that a daemon gets, by team."""
        shares, recipient.wanted_steps = {}, {}
        for team in {**recipient.use, **lent_parts}:
            account = self._accounts.get(team)
            if account is None:
                continue
            self._refill(account, now_ms)
            current = recipient.shares.get(team, NO_SHARE)
            per_s = recipient.use.get(team, 0.0)
            share = self._share_for(
                account,
                recipient.counted(team),
                current,
                per_s,
                lent_parts.get(team, 0.0),
            )
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

    def _share_for(self, account, counted, current, per_s, lent_part):
        """Return a share within what other daemons leave."""
        cap, part = account.cap, min(1.0, account.set_aside)
        total, dealt = self.bounds.depth(cap), DEALT_RATE * cap.rate_per_s
        own_rate = (DEALT_RATE - LENT_RATE) * cap.rate_per_s / max(account.use, 1e-9)
        wanted = per_s * min(SHARE_ROOM, own_rate)
        wanted += lent_part * LENT_RATE * cap.rate_per_s
        others = account.rate - counted[0] - counted[2]
        left = dealt - part * cap.rate_per_s - others
        held = current[0] + current[2]
        rate = max(0.0, min(wanted, max(left, held)))
        depth = self._own_depth(account, per_s) if per_s else 0.0
        depth += lent_part * LENT_DEPTH * total
        left = (1.0 - part) * DEALT_DEPTH * total - (account.depth - counted[1])
        depth = max(0.0, math.floor(min(depth, max(left, current[1]))))
        # What exceeds the cap is always taken back.
        slightly = RATE_CHANGE * held + RATE_CHANGE_PER_S
        is_within = account.rate <= cap.rate_per_s
        if is_within and held and abs(rate - held) <= slightly:
            rate = held
        is_within = account.depth <= DEALT_DEPTH * total
        if is_within and abs(depth - current[1]) <= DEPTH_CHANGE * current[1]:
            depth = current[1]
        rate = round(rate, 3)
        is_lent = lent_part and per_s < OWN_USE_SHARE * rate
        if is_lent or per_s < MIN_SHARE_USE_PER_S or depth < MIN_RATE_DEPTH:
            return 0.0, depth, rate
        return rate, depth, 0.0

    def _own_depth(self, account, per_s):
        """Return the depth for a daemon's own callers."""
        total = (DEALT_DEPTH - LENT_DEPTH) * self.bounds.depth(account.cap)
        wanted = BASE_DEPTH * account.n_users + DEPTH_S * account.use
        scale = min(1.0, total / max(wanted, 1e-9))
        return max(1.0, (BASE_DEPTH + DEPTH_S * per_s) * scale)

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
