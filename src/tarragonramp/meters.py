"""Counters and histograms that a daemon keeps of its own operation.

They are plain attributes, cheap enough to update for each request. An adapter exports
them on request.
"""

import bisect

import attrs

__all__ = [
    "ANSWERED",
    "BOUNDS_MS",
    "NOT_RUN",
    "UNKNOWN",
    "LatencyHistogram",
    "RequestMeter",
    "RequestTimes",
    "TrafficMeter",
]

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
BOUNDS_MS = (1, 2, 4, 8, 16, 32, 64, 125, 250, 500, 1000, 2000, 5000, 10_000)
OTHER = "other"


@attrs.define
class LatencyHistogram:
    """A histogram of times.

    Parameters
    ----------
    counts : list of int
        One for each bound of ``BOUNDS_MS``, and one for longer times.
    sum_ms, max_ms : float
    """

    counts: list[int] = attrs.Factory(lambda: [0] * (len(BOUNDS_MS) + 1))
    sum_ms: float = 0.0
    max_ms: float = 0.0

    def add(self, time_ms):
        """Record a time in milliseconds."""
        self.counts[bisect.bisect_left(BOUNDS_MS, time_ms)] += 1
        self.sum_ms += time_ms
        if time_ms > self.max_ms:
            self.max_ms = time_ms

    @property
    def count(self):
        """Number of recorded times."""
        return sum(self.counts)


@attrs.define
class RequestTimes:
    """Start time of one request and its time at backend servers.

    Parameters
    ----------
    began_ms : float
        Start on the daemon's clock.
    service : str
        ``team/service``; empty until it is known.
    service_ms : float
        Time spent at backend servers, in all attempts together.
    """

    began_ms: float
    service: str = ""
    service_ms: float = 0.0


@attrs.define
class _OutcomeHistograms:
    wait: LatencyHistogram = attrs.Factory(LatencyHistogram)
    service: LatencyHistogram = attrs.Factory(LatencyHistogram)
    total: LatencyHistogram = attrs.Factory(LatencyHistogram)


@attrs.define
class RequestMeter:
    """Counts callers' requests by service and outcome.

    Parameters
    ----------
    by_outcome : dict of (str, str) to object
        By service and outcome, the histograms ``service`` (time at backend servers),
        ``wait`` (the rest of the time) and ``total``.
    in_flight : int
        Requests started and not yet finished.
    """

    by_outcome: dict = attrs.Factory(dict)
    in_flight: int = 0

    def begin(self, now_ms):
        """Return the RequestTimes of a request that starts now."""
        self.in_flight += 1
        return RequestTimes(now_ms)

    def finish(self, times, outcome, now_ms):
        """Record a request that ends now.

        Parameters
        ----------
        times : RequestTimes
        outcome : {"answered", "not-run", "unknown"}
        now_ms : float
        """
        self.in_flight -= 1
        key = (times.service, outcome)
        counts = self.by_outcome.get(key)
        if counts is None:
            counts = self.by_outcome[key] = _OutcomeHistograms()
        total_ms = now_ms - times.began_ms
        counts.wait.add(total_ms - times.service_ms)
        counts.service.add(times.service_ms)
        counts.total.add(total_ms)


@attrs.define
class TrafficMeter:
    """Counts control messages and their bytes, by kind and direction.

    Parameters
    ----------
    messages, bytes : dict of (str, str) to int
        Keys are kind and ``"in"`` or ``"out"``. Bytes are counted above TCP; for gRPC,
        they are the payload and a measured constant for headers and frames.
    """

    messages: dict = attrs.Factory(dict)
    bytes: dict = attrs.Factory(dict)

    def sent(self, kind, n_bytes):
        """Count one message that was sent."""
        self._count((kind, "out"), n_bytes)

    def received(self, kind, n_bytes):
        """Count one message that was received."""
        self._count((kind, "in"), n_bytes)

    def _count(self, key, n_bytes):
        self.messages[key] = self.messages.get(key, 0) + 1
        self.bytes[key] = self.bytes.get(key, 0) + n_bytes


def kind_of(method, target):
    """Return the kind of control message that an HTTP request is.

    The set of kinds is small and fixed, because a metric label must not grow with the
    names of objects.
    """
    path = target.partition("?")[0]
    parts = path.strip("/").split("/")
    if parts[0] == "v1" and len(parts) > 1:
        operation = "get" if method == "GET" else "write"
        return {"watch": "watch", "vms": "vm-list"}.get(
            parts[1], f"platform-{operation}"
        )
    if parts[:2] == ["peer", "request"]:
        return "request"
    if parts[0] in ("tarragon", "peer") and len(parts) == 2:
        known = {"grant", "clock", "ping", "digest", "news"}
        return parts[1] if parts[1] in known else OTHER
    known = {"operator", "metrics", "healthy", "ready"}
    return parts[0] if parts[0] in known else OTHER
