"""State that one daemon has of the fleet: routes, servers, owners and daemons."""

import attrs
import xxhash
from gevent.event import Event

from .directory import Directory
from .key_load import KeyLoadRecorder
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
"""Kinds of objects that make up a view; a platform's adapter maps them to its own
names."""


@attrs.define(eq=False, repr=False)
class FleetView:
    """State that is shared by the roles of one daemon.

    Versions only increase: anything older than the current state is ignored.

    Parameters
    ----------
    clock : Clock
    routes : RouteTable or None
        None until a manifest has been read.
    tables : dict of str to RangeTable
        By service.
    daemons : dict of str to str
        Addresses of all daemons that the leader has recently heard from, by name.
    daemon_domains : dict of str to str
        Failure domains of daemons, by name, as far as known.
    capacities : dict of str to float
        How much control work the VMs of daemons can take, by name, as far as known.
    watchers : frozenset of str
        Names of the daemons that this daemon, as leader, has told to follow the store;
        empty if it does not lead.
    manifest_known_ms : float
        Latest time at which the manifest in force was known to be the newest.
    servers_loaded : bool
        Whether the list of servers has been read.
    work : KeyLoadRecorder
        Load by key of the requests that this daemon sent.
    """

    clock: object
    directory: Directory = attrs.field(init=False)
    routes: object = None
    tables: dict = attrs.Factory(dict)
    daemons: dict = attrs.Factory(dict)
    daemon_domains: dict = attrs.Factory(dict)
    capacities: dict = attrs.Factory(dict)
    watchers: frozenset = frozenset()
    manifest_known_ms: float = float("-inf")
    servers_loaded: bool = False
    key_load_recorder: KeyLoadRecorder = attrs.Factory(KeyLoadRecorder)
    _table_versions: dict = attrs.Factory(dict)
    _changed: Event = attrs.Factory(Event)

    def __attrs_post_init__(self):
        self.directory = Directory(self.clock)

    @property
    def manifest(self):
        """The manifest in force, or None."""
        return self.routes.manifest if self.routes else None

    def service(self, name):
        """Return the FleetService of a name; one with defaults if it is unknown."""
        found = self.manifest.services.get(name) if self.manifest else None
        return found or FleetService(name)

    def update_routes(self, routes):
        """Apply a manifest's routes; False if they are not newer."""
        current = self.manifest
        if current is not None and routes.manifest.version <= current.version:
            return False
        self.routes = routes
        self.notify_waiters()
        return True

    def note_manifest_known(self, at_ms):
        """Record that the manifest in force was the newest at a time."""
        self.manifest_known_ms = max(self.manifest_known_ms, at_ms)

    def describe_freshness(self, arrived_ms):
        """Return how recent this daemon's manifest is, as plain data.

        Parameters
        ----------
        arrived_ms : float
            When the request for it arrived. The time up to which the manifest is known
            is told relative to it, as clocks of daemons are not comparable.
        """
        if self.manifest is None or self.manifest_known_ms == float("-inf"):
            return {}
        known_ms = round(self.manifest_known_ms - arrived_ms)
        return {"version": self.manifest.version, "known_ms": known_ms}

    def adopt_freshness(self, described, sent_ms):
        """Adopt what another daemon knows, if this one's manifest is not older.

        Parameters
        ----------
        described : dict
            As from :meth:`describe_freshness`.
        sent_ms : float
            When the request for it was sent, which is before it arrived.

        Raises
        ------
        KeyError, TypeError
            If it is malformed.
        """
        if not described or self.manifest is None:
            return
        if self.manifest.version >= described["version"]:
            self.note_manifest_known(sent_ms + min(described["known_ms"], 0.0))

    def update_table(self, table, version):
        """Apply the owners of a service's keys; False if they are not newer."""
        if version <= self._table_versions.get(table.service, 0):
            return False
        self.tables[table.service] = table
        self._table_versions[table.service] = version
        self.notify_waiters()
        return True

    def load_stored_table(self, stored):
        """Apply a range table as stored, and return it.

        Raises
        ------
        ValueError
            If the stored object is not a valid table.
        """
        if self._table_versions.get(stored.name) == stored.version:
            return self.tables[stored.name]
        table = RangeTable.from_spec(stored.spec)
        self.update_table(table, stored.version)
        return table

    def reload_table(self, stored):
        """Apply a table that was read from the store itself, unless it is older.

        Updates from other daemons leave out raised tokens, although these change the
        table's version. So a table of the same version is replaced as well.

        Raises
        ------
        ValueError
            If the stored object is not a valid table.
        """
        if stored.version >= self._table_versions.get(stored.name, 0):
            self._table_versions.pop(stored.name, None)
            self.update_table(RangeTable.from_spec(stored.spec), stored.version)

    def table_version(self, service):
        """Return the store's version of a service's table; 0 if there is none."""
        return self._table_versions.get(service, 0)

    def digest(self):
        """Return a compact digest of the view, to compare it with other daemons.

        Returns
        -------
        digest : dict of str to object
            By kind of object; JSON-compatible values that are equal for equal contents.
        """
        servers = [
            f"{server.name} {server.life} {server.draining}"
            for server in self.directory.servers.values()
        ]
        tables = [f"{name} {n}" for name, n in self._table_versions.items()]
        return {
            MANIFEST: self.manifest.version if self.manifest else 0,
            SERVER: _digest_of(servers),
            TAKEN_OUT: _digest_of(self.directory.taken_out),
            RANGES: _digest_of(tables),
        }

    def wait(self, timeout_ms):
        """Wait for a change, up to a timeout."""
        self._changed.wait(max(0.0, timeout_ms) / 1000.0)

    def notify_waiters(self):
        """Wake all tasks that wait for a change."""
        changed, self._changed = self._changed, Event()
        changed.set()


def _digest_of(lines):
    return xxhash.xxh32_hexdigest(" ".join(sorted(lines)).encode())
