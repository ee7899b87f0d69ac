"""What one daemon knows of the fleet: routes, servers, owners and daemons."""

import attrs
import xxhash
from gevent.event import Event

from .directory import Directory
from .heat import WorkCounts
from .manifest import FleetService
from .ranges import RangeTable

__all__ = [
    "FOLLOWED_KINDS",
    "MANIFEST",
    "RANGES",
    "SERVER",
    "TAKEN_OUT",
    "FleetView",
]

MANIFEST, SERVER, TAKEN_OUT, RANGES = "manifest", "server", "domain-out", "ramp-ranges"
FOLLOWED_KINDS = (MANIFEST, SERVER, TAKEN_OUT, RANGES)
"""Kinds of objects that a view is made of, as the product calls them."""


@attrs.define(eq=False, repr=False)
class FleetView:
    """State that the roles of one daemon share.

    Versions only go up: whatever is older than what is here is left out.

    Parameters
    ----------
    clock : Clock
    routes : RouteTable or None
        None until a manifest has been read.
    tables : dict of str to RangeTable
        By service.
    daemons : dict of str to str
        Addresses of all daemons heard of lately, by name.
    watchers : frozenset of str
        Names of those that a leader has told to follow the store; empty if this
        daemon does not lead.
    work : WorkCounts
        Of requests with keys that this daemon sent.
    """

    clock: object
    directory: Directory = attrs.field(init=False)
    routes: object = None
    tables: dict = attrs.Factory(dict)
    daemons: dict = attrs.Factory(dict)
    watchers: frozenset = frozenset()
    servers_read: bool = False
    work: WorkCounts = attrs.Factory(WorkCounts)
    _table_versions: dict = attrs.Factory(dict)
    _changed: Event = attrs.Factory(Event)

    def __attrs_post_init__(self):
        """Begin with no servers."""
        self.directory = Directory(self.clock)

    @property
    def manifest(self):
        """The manifest in force, or None."""
        return self.routes.manifest if self.routes else None

    def service(self, name):
        """Return the FleetService of a name; one with defaults if it is unknown."""
        found = self.manifest.services.get(name) if self.manifest else None
        return found or FleetService(name)

    def take_routes(self, routes):
        """Take in a manifest's routes; False if they are not newer."""
        current = self.manifest
        if current is not None and routes.manifest.version <= current.version:
            return False
        self.routes = routes
        self.wake()
        return True

    def take_table(self, table, version):
        """Take in who owns a service's keys; False if it is not newer."""
        if version <= self._table_versions.get(table.service, 0):
            return False
        self.tables[table.service] = table
        self._table_versions[table.service] = version
        self.wake()
        return True

    def take_stored_table(self, stored):
        """Take in who owns a service's keys, as the store has it; return the table.

        Raises
        ------
        ValueError
            If that is no table.
        """
        if self._table_versions.get(stored.name) == stored.version:
            return self.tables[stored.name]
        table = RangeTable.from_spec(stored.spec)
        self.take_table(table, stored.version)
        return table

    def take_exact_table(self, stored):
        """Take in a table as it was read in the store itself, unless it is older.

        Other daemons do not tell of raised tokens, which the version counts.

        Raises
        ------
        ValueError
            If that is no table.
        """
        if stored.version >= self._table_versions.get(stored.name, 0):
            self._table_versions.pop(stored.name, None)
            self.take_table(RangeTable.from_spec(stored.spec), stored.version)

    def table_version(self, service):
        """Return the store's version of a service's table; 0 if there is none."""
        return self._table_versions.get(service, 0)

    def digest(self):
        """Return in few words what is known here, to compare with other daemons.

        Returns
        -------
        digest : dict of str to object
            By kind of what was read: plain data, equal if the same was read.
        """
        servers = [
            f"{server.name} {server.life} {server.draining}"
            for server in self.directory.servers.values()
        ]
        tables = [f"{name} {n}" for name, n in self._table_versions.items()]
        return {
            MANIFEST: self.manifest.version if self.manifest else 0,
            SERVER: _hash(servers),
            TAKEN_OUT: _hash(self.directory.taken_out),
            RANGES: _hash(tables),
        }

    def wait(self, timeout_ms):
        """Wait until something changes; for the given time at most."""
        self._changed.wait(max(0.0, timeout_ms) / 1000.0)

    def wake(self):
        """Let everybody who waits for a change look again."""
        changed, self._changed = self._changed, Event()
        changed.set()


def _hash(words):
    return xxhash.xxh32_hexdigest(" ".join(sorted(words)).encode())
