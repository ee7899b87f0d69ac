"""The known backend servers, and whether each may be sent requests.

State only, no I/O: updated with the store's entries.
"""

import math

import attrs

__all__ = ["BackendServer", "Directory"]

RETURN_GRACE_MS = 2500.0
"""How long the entry of a server may be missing after an outage of the store. Entries
that expired during the outage return within two seconds; the half second allows for the
time until this daemon reads them. A server that is missing for longer has left."""

MISSING_ROUTABLE_MS = 1000.0
"""How long a server whose entry is missing is still sent requests. When the store
returns and reports expired entries, a service would otherwise have no servers until
they have registered again. With the time until the first daemon notices that an entry
is gone, less than the two seconds after which a server that has left must not be sent
requests."""

LEFT_RETENTION_MS = 60_000.0
"""How long it is remembered that a server leaves after its entry has gone. An outdated
entry of it may return meanwhile, as that of a server that is ready."""


@attrs.frozen
class BackendServer:
    """A backend server as described by its own entry.

    Parameters
    ----------
    name : str
        Its id.
    life : int
        Start time of the process in Unix milliseconds. Keys granted to one process are
        not held by another.
    service, address, failure_domain : str
    slots : int
        Number of requests that it processes at once.
    draining : bool
    cold_ms : float
        Remaining cold start when the entry was written.
    """

    name: str
    life: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    cold_ms: float = 0.0

    @property
    def identity(self):
        """Name and life, which identify the process that a grant is for."""
        return self.name, self.life


@attrs.define(eq=False, repr=False)
class Directory:
    """The backend servers that this daemon knows.

    Parameters
    ----------
    clock : Clock
    servers : dict of str to BackendServer
        All servers that may still be running, including draining ones.
    taken_out : frozenset of str
        Failure domains that get no work.
    key_move_ms : float
        How long an owner that has said that it leaves is still sent requests. Its keys
        can move meanwhile; whoever is to move them may have to be told first.
    """

    clock: object
    servers: dict = attrs.Factory(dict)
    taken_out: frozenset = frozenset()
    key_move_ms: float = 1500.0
    _leaving_since_ms: dict = attrs.Factory(dict)
    _cold_end_ms: dict = attrs.Factory(dict)
    _cold_start_recorded: set = attrs.Factory(set)
    _missing_since_ms: dict = attrs.Factory(dict)
    _by_service: dict = attrs.Factory(dict)

    def upsert(self, server):
        """Add or replace a server's entry."""
        before = self.servers.get(server.name)
        self.servers[server.name] = server
        self._missing_since_ms.pop(server.name, None)
        is_recorded = server.identity in self._cold_start_recorded
        is_same_life = before is not None and before.life == server.life
        is_colder = is_same_life and server.cold_ms > before.cold_ms
        if server.cold_ms > 0 and (is_colder or not is_recorded):
            # Once per cold start: entries are written seconds apart, and an old one
            # that is read late would mark a warm server as cold again.
            self._cold_start_recorded.add(server.identity)
            self.mark_cold(server.name, server.cold_ms)
        elif before is not None and before.life != server.life:
            self._cold_end_ms.pop(server.name, None)
        self._by_service.clear()

    def remove_server(self, name, may_return=False, missing_ms=0.0):
        """Remove a server whose entry is gone, or mark it as missing.

        Parameters
        ----------
        name : str
        may_return : bool, default=False
            Whether the store has just failed: the server is then only marked as
            missing, since its entry may have expired and may return.
        missing_ms : float, default=0.0
            How long the entry has been missing, as far as known.
        """
        if may_return and name in self.servers:
            since_ms = self.clock.now_ms() - missing_ms
            self._missing_since_ms.setdefault(name, since_ms)
            return
        self.servers.pop(name, None)
        self._missing_since_ms.pop(name, None)
        self._by_service.clear()

    def missing_ms(self, name):
        """Return how long a server's entry has been missing; None if it is present."""
        since_ms = self._missing_since_ms.get(name)
        return None if since_ms is None else self.clock.now_ms() - since_ms

    def all_missing_ms(self):
        """Return how long the entry of each missing server has been missing."""
        return {name: round(self.missing_ms(name)) for name in self._missing_since_ms}

    def drop_missing(self):
        """Remove the servers whose grace period has ended; return their names."""
        limit_ms = self.clock.now_ms() - RETURN_GRACE_MS
        late = [n for n, since in self._missing_since_ms.items() if since <= limit_ms]
        for name in late:
            self.remove_server(name)
        return late

    def set_taken_out(self, domains, warmup_of):
        """Set the failure domains that get no work.

        Servers of a returning domain may have become cold without reporting it, so they
        count as cold for the whole warm-up time of their service.

        Parameters
        ----------
        domains : iterable of str
        warmup_of : callable
            ``warmup_of(service)`` is the duration of a cold start in milliseconds.
        """
        returned = self.taken_out - frozenset(domains)
        self.taken_out = frozenset(domains)
        self._by_service.clear()
        for server in self.servers.values():
            if server.failure_domain in returned:
                self.mark_cold(server.name, warmup_of(server.service))

    def mark_cold(self, name, for_ms):
        """Mark a server as cold for some time from now."""
        until_ms = self.clock.now_ms() + for_ms
        self._cold_end_ms[name] = max(self._cold_end_ms.get(name, 0.0), until_ms)

    def is_cold(self, name):
        """Tell whether a server is in a cold start and can handle only little load."""
        return self._cold_end_ms.get(name, -math.inf) > self.clock.now_ms()

    def warm(self, servers):
        """Return a list of those servers that are not in a cold start."""
        now_ms = self.clock.now_ms()
        # Servers come and go, so the ends of past cold starts would accumulate.
        over = [name for name, end_ms in self._cold_end_ms.items() if end_ms <= now_ms]
        for name in over:
            del self._cold_end_ms[name]
        return [server for server in servers if server.name not in self._cold_end_ms]

    def mark_leaving(self, name, life):
        """Record that a server says that it leaves; return whether that is news.

        It holds for that life of the server, whatever its entry says.
        """
        if (name, life) in self._leaving_since_ms:
            return False
        self._leaving_since_ms[name, life] = self.clock.now_ms()
        self._by_service.clear()
        return True

    def is_leaving(self, server):
        """Tell whether a server says that it leaves, in its entry or its answers."""
        return server.draining or server.identity in self._leaving_since_ms

    def leaving(self):
        """Return name and life of the listed servers that said so in answers."""
        return [
            identity
            for identity in self._leaving_since_ms
            if identity[0] in self.servers
            and self.servers[identity[0]].identity == identity
        ]

    def forget_left(self):
        """Forget servers that have left."""
        oldest_ms = self.clock.now_ms() - LEFT_RETENTION_MS
        listed = set(self.leaving())
        for identity, since_ms in list(self._leaving_since_ms.items()):
            if identity not in listed and since_ms < oldest_ms:
                del self._leaving_since_ms[identity]

    def may_serve_keys(self, server):
        """Tell whether an owner of keys may be sent new requests for them."""
        since_ms = self._leaving_since_ms.get(server.identity)
        if since_ms is None or server.draining:
            return self.may_serve(server)
        is_in_time = self.clock.now_ms() - since_ms < self.key_move_ms
        return is_in_time and self._is_present(server)

    def may_serve(self, server):
        """Tell whether a server, cold or not, may be sent new requests."""
        return not self.is_leaving(server) and self._is_present(server)

    def _is_present(self, server):
        if server.failure_domain in self.taken_out:
            return False
        missing_ms = self.missing_ms(server.name)
        return missing_ms is None or missing_ms < MISSING_ROUTABLE_MS

    def usable(self, service):
        """Return a tuple of a service's servers that may be sent requests."""
        found = self._by_service.get(service)
        if found is None or self._missing_since_ms:
            found = self._by_service[service] = tuple(
                server
                for server in self.servers.values()
                if server.service == service and self.may_serve(server)
            )
        return found
