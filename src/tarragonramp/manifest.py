"""What operators declared: routes by host and prefix, services, caller limits."""

import attrs

__all__ = ["CallerLimits", "FleetService", "Manifest", "Part", "Route", "RouteTable"]

GOLDEN_RATIO = 0.6180339887498949
N_KEYS = 65_536


@attrs.frozen
class Part:
    """One of the services that a route's requests are divided among.

    Parameters
    ----------
    service : str
    weight : float
        Its share, relative to those of the other parts.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Where the requests below one path prefix of one host go.

    Parameters
    ----------
    host, path_prefix : str
    parts : tuple of Part
    idempotent : bool
    timeout_ms, target_ms : float
        Longest wait, and the time within which an answer has its full value.
    attempts : int
        Most servers that one request may be sent to.
    priority : int
        0 goes first.
    """

    host: str
    path_prefix: str
    parts: tuple[Part, ...]
    idempotent: bool
    timeout_ms: float
    target_ms: float
    attempts: int = 1
    priority: int = 0

    @property
    def name(self):
        """How logs call the route."""
        return f"{self.host}{self.path_prefix}"


@attrs.frozen
class FleetService:
    """A service as its servers bear it.

    Parameters
    ----------
    name : str
    divided : bool
        Whether each key has one owner among its servers.
    connections : int
        Most connections that one server takes from all callers together.
    warmup_ms : float
        How long a server is cold after it started.
    cold_per_s : float
        Requests a second that a cold server bears.
    """

    name: str
    divided: bool = False
    connections: int = 64
    warmup_ms: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """What a caller may send, in bytes, and how slowly, in milliseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


@attrs.frozen(eq=False)
class Manifest:
    """One version of all that operators declared.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to FleetService
    limits : CallerLimits
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict = attrs.Factory(dict)
    limits: CallerLimits = CallerLimits()


@attrs.define(eq=False, repr=False)
class RouteTable:
    """Finds the route of a request, and the part that it goes to.

    Load: hundreds of routes, a lookup for each request. Prefixes end with a slash, so
    the longest match is found by one look into a dict for each slash of the path.
    """

    manifest: Manifest
    _by_host: dict = attrs.Factory(dict)
    _turns: dict = attrs.Factory(dict)
    _most_urgent: dict = attrs.Factory(dict)

    def __attrs_post_init__(self):
        """Index the routes."""
        for route in self.manifest.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
            for part in route.parts:
                known = self._most_urgent.get(part.service, route.priority)
                self._most_urgent[part.service] = min(known, route.priority)

    def is_urgent(self, route):
        """Tell whether no other route to one of the same services is more urgent."""
        return any(
            self._most_urgent[part.service] == route.priority for part in route.parts
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

    def part_of(self, route, first_turn=0.0):
        """Return the service that the next request of a route goes to.

        The golden ratio's multiples fill the unit interval evenly at every length, so
        few requests already come close to the weights; a random draw would be off by
        a tenth after a hundred.

        Parameters
        ----------
        route : Route
        first_turn : float
            Where this process begins, so that daemons do not move in step.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        turn = self._turns.get(route.name, first_turn)
        self._turns[route.name] = (turn + GOLDEN_RATIO) % 1.0
        at = turn * sum(part.weight for part in route.parts)
        for part in route.parts:
            at -= part.weight
            if at < 0:
                return part.service
        return route.parts[-1].service
