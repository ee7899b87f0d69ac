"""API keys of callers, and the teams that hold them."""

import hashlib
import math
import os

import attrs

from .limits import UsageCap

__all__ = ["ANONYMOUS", "ApiKeyIndex", "CallerTeam", "key_mark"]

DIGEST_BYTES, MARK_CHARACTERS = 16, 8
_SECRET = os.urandom(32)


@attrs.frozen
class CallerTeam:
    """A team whose callers present API keys.

    Parameters
    ----------
    name : str
        Told to servers; empty for callers without a team.
    priority : int or None
        Priority of its requests, 0 is the most urgent; None for that of their routes.
    cap : UsageCap or None
        None if the team has no usage cap.
    """

    name: str
    priority: int | None = None
    cap: UsageCap | None = None


ANONYMOUS = CallerTeam("")
"""Stands for callers of public routes that present no known key."""


@attrs.frozen(eq=False, repr=False)
class ApiKeyIndex:
    """Finds the team that holds an API key.

    Keys are kept and looked up by a digest with a secret of the process, so that the
    time of a lookup depends neither on the key presented nor on the keys known.

    Parameters
    ----------
    teams : dict of str to CallerTeam
        By name.
    """

    teams: dict
    _by_digest: dict

    @classmethod
    def from_teams(cls, teams):
        """Build the index.

        Parameters
        ----------
        teams : iterable of (CallerTeam, list of str)
            Teams and their keys.

        Raises
        ------
        ValueError
            If a name or a key is empty or occurs twice, or a cap is not a number of
            requests. Keys are named by their marks only.
        """
        by_name, by_digest = {}, {}
        for team, keys in teams:
            if not isinstance(team.name, str) or not team.name:
                raise ValueError("a team has no name")
            if team.name in by_name:
                raise ValueError(f"team {team.name!r} is named twice")
            _check_cap(team)
            by_name[team.name] = team
            for key in keys:
                if not isinstance(key, str) or not key.isascii() or not key.strip():
                    raise ValueError(f"team {team.name!r} has a key that is no text")
                holder = by_digest.setdefault(_digest(key), team)
                if holder is not team:
                    raise ValueError(
                        f"teams {holder.name!r} and {team.name!r} share the key "
                        f"{key_mark(key)}"
                    )
        return cls(by_name, by_digest)

    def find(self, key):
        """Return the CallerTeam that holds a key; None if no team does."""
        return self._by_digest.get(_digest(key)) if key else None

    @property
    def caps(self):
        """Return the usage caps by team; teams without a cap are left out."""
        return {t.name: t.cap for t in self.teams.values() if t.cap is not None}

    @property
    def top_priority(self):
        """Return the most urgent priority of any team; None if no team has one."""
        priorities = [t.priority for t in self.teams.values()]
        return min((p for p in priorities if p is not None), default=None)


def key_mark(key):
    """Return what stands for a key in logs: the start of its digest."""
    digest = hashlib.blake2b(key.encode("latin-1", "replace")).hexdigest()
    return digest[:MARK_CHARACTERS]


def _digest(key):
    data = key.encode("latin-1", "replace")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=_SECRET).digest()


def _check_cap(team):
    if team.cap is None:
        return
    for what, value in (("rate", team.cap.rate_per_s), ("burst", team.cap.burst)):
        if not math.isfinite(value) or value < 0.0:
            raise ValueError(f"team {team.name!r}: {what} {value!r}")
