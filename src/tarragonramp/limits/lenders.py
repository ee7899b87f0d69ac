"""Which daemon of a failure domain lends tokens of a team's usage cap."""

import attrs

from .rates import rank_by_hash

__all__ = ["Lenders"]


@attrs.define(eq=False, repr=False)
class Lenders:
    """Chooses one daemon of each failure domain for each team.

    All daemons that know the same fleet choose alike.
    """

    _domains: dict = attrs.Factory(dict)
    _chosen: dict = attrs.Factory(dict)
    _teams: dict = attrs.Factory(dict)

    def update(self, daemons, domains):
        """Adopt which daemons there are.

        Parameters
        ----------
        daemons : collection of str
        domains : dict of str to str
            Failure domain by daemon; may name daemons that are gone.
        """
        present = {name: domains.get(name, "") for name in daemons}
        if present != self._domains:
            self._domains = present
            self._chosen.clear()
            self._teams.clear()

    def lender(self, team, domain):
        """Return the lender of a team in a failure domain; None without daemons."""
        key = team, domain
        if key not in self._chosen:
            daemons = [name for name, at in self._domains.items() if at == domain]
            ranked = rank_by_hash(team, daemons)
            self._chosen[key] = ranked[0] if ranked else None
        return self._chosen[key]

    def others(self, team, domain):
        """Return the lenders of a team in all failure domains but one."""
        domains = sorted({*self._domains.values()} - {domain})
        return [self.lender(team, other) for other in domains]

    def parts(self, daemon, teams):
        """Return a daemon's part of what the lenders of each team hold together.

        Parameters
        ----------
        daemon : str
        teams : collection of str

        Returns
        -------
        parts : dict of str to float
            Teams of which the daemon is no lender are left out.
        """
        domain = self._domains.get(daemon)
        if domain is None:
            return {}
        teams = frozenset(teams)
        if (daemon, teams) not in self._teams:
            part = 1.0 / len({*self._domains.values()})
            lent = {t: part for t in teams if self.lender(t, domain) == daemon}
            self._teams[daemon, teams] = lent
        return self._teams[daemon, teams]
