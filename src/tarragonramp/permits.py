"""Servers to which an entry may send directly, without their stewards."""

import attrs

__all__ = ["DirectSendPermits"]

MAX_UNCONNECTED_MS = 250.0
"""How long a permit is valid while no open connection shows that the server process is
the same."""


@attrs.define
class DirectSendPermits:
    """Servers whose stewards have reported that they can handle their full load.

    When a server has started or come back while callers wait, entries that each know
    only their own requests would together send it more than it can handle in a cold
    start. So an entry sends to a server directly only once its steward has reported it
    as warm, and until there is any sign of a restart or a cold start.
    """

    _permits: dict = attrs.Factory(dict)

    def allow(self, server, address, now_ms):
        """Record that the steward has reported a server as warm."""
        self._permits[server] = (address, now_ms)

    def revoke(self, server):
        """Withdraw a permit after a failed exchange or a sign of a cold start.

        Signs of a cold start are a shed request and a response that reports it.
        """
        self._permits.pop(server, None)

    def contains(self, server):
        """Tell whether there is a permit, valid or not."""
        return server in self._permits

    def is_valid(self, server, address, is_connected, now_ms):
        """Tell whether a request may be sent directly to a server now.

        Guards against a server that was replaced between two requests: the only sign is
        that its kernel has closed this entry's connections.

        Parameters
        ----------
        server, address : str
        is_connected : callable
            ``is_connected()`` is True if a connection to the server is open.
        now_ms : float
        """
        permit_address, allowed_ms = self._permits.get(server, ("", 0.0))
        if permit_address != address:
            return False
        if is_connected() or now_ms - allowed_ms <= MAX_UNCONNECTED_MS:
            return True
        self.revoke(server)
        return False
