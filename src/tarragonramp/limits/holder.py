"""The shares of usage caps that one daemon holds, without I/O."""

import math

import attrs

from .caps import MIN_USE_PER_S, SHARE_MS

__all__ = ["ShareHolder"]

SILENT_MS = 900.0
"""How long no dealer answers until such a rate is used."""

LUMP_VALID_MS = 300.0
"""How long a token that was asked for is valid, beyond the depth of the share."""

USE_INTERVAL_MS = 1400.0
"""How often a daemon tells its use; other reports leave it out."""

USE_WINDOW_MS, MIN_USE_AGE_MS = 10_000.0, 2000.0
"""Time constant of the use that a daemon reports, and the shortest time over which it
is taken: one request just after a start is no rate yet."""


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

    began_ms: float
    count: float = 0.0
    at_ms: float = 0.0

    def note(self, now_ms):
        self.count, self.at_ms = self._count_at(now_ms) + 1.0, now_ms

    def per_s(self, now_ms):
        age_ms = max(MIN_USE_AGE_MS, now_ms - self.began_ms)
        seen_share = 1.0 - math.exp(-age_ms / USE_WINDOW_MS)
        return self._count_at(now_ms) * 1000.0 / (USE_WINDOW_MS * seen_share)

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
            use = self._use[team] = _Use(now_ms)
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

    def room(self, team, now_ms):
        """Return how many more tokens the share of a team can hold."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return 0
        bucket.refill(now_ms, self._silent_from_ms)
        return max(0, math.floor(bucket.depth - bucket.tokens))

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
        needs = dict(needs or {})
        for team, bucket in self._buckets.items():
            if not bucket.rate_per_s:
                missing = math.floor(bucket.depth - bucket.tokens)
                if missing > 0:
                    needs[team] = needs.get(team, 0) + missing
        silent_ms = self._silent_ms + max(0.0, now_ms - self._silent_from_ms)
        report = {"boot": self.boot, "number": self._number}
        if tells_all or now_ms >= self._use_told_ms + USE_INTERVAL_MS:
            self._use_told_ms = now_ms
            report["use"] = self._recent_use(now_ms)
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
