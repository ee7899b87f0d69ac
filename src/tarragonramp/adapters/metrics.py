"""OpenTelemetry metrics of a daemon in the Prometheus text format."""

import time

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    AggregationTemporality,
    Histogram,
    HistogramDataPoint,
    Metric,
    ResourceMetrics,
    ScopeMetrics,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from ..meters import BOUNDS_MS
from .usage import resident_bytes

__all__ = ["Metrics"]

SCOPE = "tarragonramp"


class _Reader(PrometheusMetricReader):
    """Metric reader that also exports histograms kept outside the library.

    Recording a value in the library's own histogram costs about 13 us. Each request
    records three values, which would be a tenth of its total cost.
    """

    def __init__(self, registry, histograms):
        super().__init__(
            registry=registry, scope_info_enabled=False, disable_target_info=True
        )
        self._histograms = histograms

    def _receive_metrics(self, metrics_data, timeout_millis=10_000, **kwargs):
        scope = ScopeMetrics(InstrumentationScope(SCOPE), self._histograms(), "")
        metrics_data.resource_metrics.append(
            ResourceMetrics(Resource.get_empty(), [scope], "")
        )
        super()._receive_metrics(metrics_data, timeout_millis, **kwargs)


class Metrics:
    """All metrics of one daemon.

    Parameters
    ----------
    name : str
        Name of the daemon, a label of every metric.
    requests : RequestMeter
    traffic : TrafficMeter
    cpu : CpuMeter
    started_ns : int, optional
        Unix time since which is counted; now by default.
    """

    def __init__(self, name, requests, traffic, cpu, started_ns=None):
        self._name = name
        self._requests = requests
        self._started_ns = time.time_ns() if started_ns is None else started_ns
        self._registry = CollectorRegistry()
        reader = _Reader(self._registry, self._histograms)
        provider = MeterProvider([reader], resource=Resource.get_empty())
        self._meter = provider.get_meter(SCOPE)
        self._add_requests(requests)
        self._add_traffic(traffic)
        self.add_counter(
            "control.cpu", "CPU time of all but requests.", cpu.control_ms, unit="ms"
        )
        self.add_counter(
            "request.cpu", "CPU time of requests.", lambda: cpu.request_ms, unit="ms"
        )
        self.add_gauge("memory.resident", "Resident memory.", resident_bytes, unit="By")

    def add_gauge(self, name, description, read, label="", unit=""):
        """Export a gauge.

        Parameters
        ----------
        name, description : str
        read : callable
            Returns the value; with a label, a dict from label value to metric value.
        label : str, optional
        unit : str, optional
            OpenTelemetry's abbreviation of the unit.
        """
        self._meter.create_observable_gauge(
            f"{SCOPE}.{name}", [self._callback(read, label)], unit, description
        )

    def add_counter(self, name, description, read, label="", unit=""):
        """Export a monotonic counter; parameters as for :meth:`add_gauge`."""
        self._meter.create_observable_counter(
            f"{SCOPE}.{name}", [self._callback(read, label)], unit, description
        )

    def page(self):
        """Return the metrics page for the scraper as bytes, and its content type."""
        return generate_latest(self._registry), CONTENT_TYPE_LATEST

    def _callback(self, read, label):
        def observe(options):
            if not label:
                return [Observation(read(), {"daemon": self._name})]
            return [
                Observation(value, {"daemon": self._name, label: key})
                for key, value in read().items()
            ]

        return observe

    def _add_requests(self, requests):
        def observe_requests(options):
            return [
                Observation(
                    counts.total.count,
                    {"daemon": self._name, "service": service, "outcome": outcome},
                )
                for (service, outcome), counts in requests.by_outcome.items()
            ]

        self._meter.create_observable_counter(
            f"{SCOPE}.requests", [observe_requests], "", "Callers' requests by outcome."
        )
        self.add_gauge(
            "requests.in_flight", "Requests under way.", lambda: requests.in_flight
        )

    def _add_traffic(self, traffic):
        def make_callback(counts):
            def observe(options):
                return [
                    Observation(
                        value,
                        {"daemon": self._name, "kind": kind, "direction": direction},
                    )
                    for (kind, direction), value in counts.items()
                ]

            return observe

        for name, counts, unit in (
            ("control.messages", traffic.messages, ""),
            ("control.traffic", traffic.bytes, "By"),
        ):
            self._meter.create_observable_counter(
                f"{SCOPE}.{name}", [make_callback(counts)], unit, "Control traffic."
            )

    def _histograms(self):
        now_ns = time.time_ns()
        metrics = []
        for name in ("wait", "service", "total"):
            points = [
                self._point(service, outcome, getattr(counts, name), now_ns)
                for (service, outcome), counts in self._requests.by_outcome.items()
            ]
            data = Histogram(points, AggregationTemporality.CUMULATIVE)
            description = f"Time of callers' requests: {name}."
            metrics.append(Metric(f"{SCOPE}.request.{name}", description, "ms", data))
        return metrics

    def _point(self, service, outcome, counts, now_ns):
        return HistogramDataPoint(
            attributes={"daemon": self._name, "service": service, "outcome": outcome},
            start_time_unix_nano=self._started_ns,
            time_unix_nano=now_ns,
            count=counts.count,
            sum=counts.sum_ms,
            bucket_counts=list(counts.counts),
            explicit_bounds=BOUNDS_MS,
            min=0.0,
            max=counts.max_ms,
        )
