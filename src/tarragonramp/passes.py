"""Which servers an entry may send to without asking their stewards."""

import attrs

__all__ = ["Passes"]

WITHOUT_CONNECTION_MS = 250.0
"""How long a pass holds while nothing else shows that the server is the same."""


@attrs.define
class Passes:
    """What stewards have said about servers that bear their full load.

    Load: a server that was started or has come back while its callers wait. Harm
    prevented: it gets more than it bears in a cold start, from entries that each know
    of their own requests only. So an entry sends to a server itself once its steward
    has said that it is warm, and until anything hints at a restart or a cold start.
    """

    _given: dict = attrs.Factory(dict)

    def give(self, server, address, now_ms):
        """Note that the steward has said that a server is warm."""
        self._given[server] = (address, now_ms)

    def take(self, server):
        """Note a failed exchange, a shed request or an answer that says cold."""
        self._given.pop(server, None)

    def known(self, server):
        """Tell whether there is a pass, which may not hold any more."""
        return server in self._given

    def holds(self, server, address, is_connected, now_ms):
        """Tell whether a request may be sent to a server now.

        Guards against a server that was replaced between two requests: its kernel has
        closed this entry's connections, and nothing else tells.

        Parameters
        ----------
        server, address : str
        is_connected : callable
            ``is_connected()`` is True if a connection to the server is open.
        now_ms : float
        """
        given_at, given_ms = self._given.get(server, ("", 0.0))
        if given_at != address:
            return False
        if is_connected() or now_ms - given_ms <= WITHOUT_CONNECTION_MS:
            return True
        self.take(server)
        return False
