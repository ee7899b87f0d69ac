"""Configuration declared by operators: routes, services and caller limits."""

import attrs

__all__ = [
    "CallerLimits",
    "FleetService",
    "Manifest",
    "WeightedService",
    "Route",
    "RouteTable",
]

GOLDEN_RATIO = 0.6180339887498949
N_KEYS = 65_536
"""Number of keys of each divided service."""


@attrs.frozen
class WeightedService:
    """One of the services that a route's requests are split among.

    Parameters
    ----------
    service : str
    weight : float
        Share of the requests, relative to the weights of the route's other services.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Destination of the requests for one host and path prefix.

    Parameters
    ----------
    host, path_prefix : str
    parts : tuple of WeightedService
    idempotent : bool
    timeout_ms, target_ms : float
        Longest time to wait for a response, and the target response time: a later
        response is worth less to the caller.
    attempts : int
        Maximum number of servers that one request may be sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether it takes requests without an API key, if others need one.
    """

    host: str
    path_prefix: str
    parts: tuple[WeightedService, ...]
    idempotent: bool
    timeout_ms: float
    target_ms: float
    attempts: int = 1
    priority: int = 0
    public: bool = False

    @property
    def name(self):
        """Name of the route in logs."""
        return f"{self.host}{self.path_prefix}"


@attrs.frozen
class FleetService:
    """A service, with the capacity of its servers.

    Parameters
    ----------
    name : str
    divided : bool
        Whether each key has one owner among the servers.
    connections : int
        Maximum number of connections that one server accepts from all callers together.
    warmup_ms : float
        Duration of the cold start of a server.
    cold_per_s : float
        Requests per second that a server can handle in a cold start.
    health_path : str
        Target of a request that a server answers without work.
    """

    name: str
    divided: bool = False
    connections: int = 64
    warmup_ms: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = "/health"


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests, in bytes, and their timeouts, in milliseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


@attrs.frozen(eq=False)
class Manifest:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to FleetService
    limits : CallerLimits
    teams : ApiKeyIndex or None
        None if callers need no API key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict = attrs.Factory(dict)
    limits: CallerLimits = CallerLimits()
    teams: object = None


@attrs.define(eq=False, repr=False)
class RouteTable:
    """Finds the route of a request and the service that the request goes to.

    Prefixes end with a slash, so the longest match is found with one dict lookup per
    slash of the path, even with hundreds of routes.
    """

    manifest: Manifest
    _by_host: dict = attrs.Factory(dict)
    _positions: dict = attrs.Factory(dict)
    _top_priority: dict = attrs.Factory(dict)

    def __attrs_post_init__(self):
        for route in self.manifest.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
            for part in route.parts:
                known = self._top_priority.get(part.service, route.priority)
                self._top_priority[part.service] = min(known, route.priority)

    def names_service(self, name):
        """Tell whether the manifest declares a service or routes requests to it."""
        return name in self.manifest.services or name in self._top_priority

    def is_urgent(self, route, team=None):
        """Tell whether no other route to one of its services is more urgent.

        The route may come from an earlier manifest. The priority of a team takes
        precedence over that of the route.

        Parameters
        ----------
        route : Route
        team : CallerTeam, optional
        """
        if team is not None and team.priority is not None:
            teams = self.manifest.teams
            top = teams.top_priority if teams is not None else None
            return top is None or team.priority <= top
        return any(
            self._top_priority.get(part.service, route.priority) == route.priority
            for part in route.parts
        )

    def find(self, host, path):
        """Return the Route of a request, or None.

        Parameters
        ----------
        host : str
            With or without a port.
        path : str
            Without the query.
        """
        routes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0])
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose_service(self, route, initial_position=0.0):
        """Return the service that the next request of a route goes to.

        Multiples of the golden ratio are spread evenly over the unit interval at any
        length of the sequence, so the shares are close to the weights after a few
        requests. Random draws would still be off by a tenth after a hundred requests.

        Parameters
        ----------
        route : Route
        initial_position : float
            Where this process's sequence starts, between 0 and 1; it should differ
            between daemons, so that they do not all choose the same service.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        position = self._positions.get(route.name, initial_position)
        self._positions[route.name] = (position + GOLDEN_RATIO) % 1.0
        at = position * sum(part.weight for part in route.parts)
        for part in route.parts:
            at -= part.weight
            if at < 0:
                return part.service
        return route.parts[-1].service
