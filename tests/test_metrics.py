"""Metrics: the meters, the exported page, and the CPU time by kind of work."""

import shutil
import time
import unittest

import gevent

from standins.site import Backend, DaemonSpec, Site
from tarragonramp.adapters.http import HttpPool
from tarragonramp.adapters.metrics import Metrics
from tarragonramp.adapters.usage import CpuMeter, mark_request_work
from tarragonramp.meters import RequestMeter, TrafficMeter, kind_of


def samples(page):
    """Parse a metrics page into a dict from ``name{labels}`` to value."""
    lines = [line for line in page.splitlines() if line and not line.startswith("#")]
    return {name: float(value) for name, _, value in (s.rpartition(" ") for s in lines)}


def total(page, name, *labels):
    """Return the sum of a metric's samples that have all given labels."""
    return sum(
        value
        for key, value in samples(page).items()
        if key.partition("{")[0] == name and all(label in key for label in labels)
    )


class RequestMeterTest(unittest.TestCase):
    def test_times_are_split_into_wait_and_service(self):
        meter = RequestMeter()
        times = meter.begin(100.0)
        self.assertEqual(meter.in_flight, 1)
        times.service, times.service_ms = "team/claims", 30.0
        meter.finish(times, "answered", 140.0)
        counts = meter.by_outcome["team/claims", "answered"]
        self.assertEqual((counts.wait.sum_ms, counts.service.sum_ms), (10.0, 30.0))
        self.assertEqual((counts.total.sum_ms, counts.total.count), (40.0, 1))
        self.assertEqual(meter.in_flight, 0)

    def test_bucket_bounds_are_inclusive(self):
        meter = RequestMeter()
        for total_ms in (1.0, 1.1, 20_000.0):
            meter.finish(meter.begin(0.0), "answered", total_ms)
        counts = meter.by_outcome["", "answered"].total.counts
        self.assertEqual((counts[0], counts[1], counts[-1]), (1, 1, 1))


class KindTest(unittest.TestCase):
    def test_kinds_are_a_fixed_set(self):
        cases = {
            ("GET", "/v1/objects/Term/x"): "platform-get",
            ("PUT", "/v1/objects/Term/x?version=3"): "platform-write",
            ("GET", "/v1/watch?since=3"): "watch",
            ("GET", "/v1/vms"): "vm-list",
            ("POST", "/tarragon/grant"): "grant",
            ("POST", "/peer/ping"): "ping",
            ("GET", "/operator/status"): "operator",
            ("GET", "/whatever/a/caller/sends"): "other",
            ("GET", "/peer/a-new-name"): "other",
        }
        for (method, target), kind in cases.items():
            self.assertEqual(kind_of(method, target), kind, target)


class CpuMeterTest(unittest.TestCase):
    """A meter in this process, the only user of ``greenlet.settrace`` here."""

    def test_cpu_time_is_accounted_to_the_greenlet_that_uses_it(self):
        meter = CpuMeter()
        meter.start()
        self.addCleanup(meter.stop)
        before_ms = meter.control_ms()
        request = gevent.spawn(self._request)
        control = gevent.spawn(self._use_cpu, 0.05)
        gevent.joinall([request, control], raise_error=True)
        self.assertGreaterEqual(meter.request_ms, 200.0)
        self.assertGreaterEqual(meter.control_ms() - before_ms, 50.0)
        # The request and its child use 200 ms of CPU time, control 50 ms. If they were
        # confused, control would have at least 200 ms.
        self.assertLess(meter.control_ms() - before_ms, 200.0)

    def _request(self):
        mark_request_work()
        child = gevent.spawn(self._use_cpu, 0.1)
        self._use_cpu(0.1)
        child.join()

    def _use_cpu(self, cpu_s):
        until_s = time.thread_time() + cpu_s
        while time.thread_time() < until_s:
            began_s = time.thread_time()
            while time.thread_time() < began_s + 0.001:
                pass
            paused_s = time.thread_time()
            gevent.sleep(0)
            until_s += time.thread_time() - paused_s


class PageTest(unittest.TestCase):
    def test_page_shows_histograms_counters_and_gauges(self):
        requests, traffic = RequestMeter(), TrafficMeter()
        metrics = Metrics("d1", requests, traffic, CpuMeter())
        metrics.add_gauge("terms.held", "", lambda: {"steward": 3}, "role")
        times = requests.begin(0.0)
        times.service = "t/s"
        requests.finish(times, "unknown", 3.0)
        traffic.sent("ping", 60)
        page = metrics.page()[0].decode()
        self.assertEqual(
            total(
                page,
                "tarragonramp_request_total_milliseconds_bucket",
                'le="4"',
                'outcome="unknown"',
                'service="t/s"',
                'daemon="d1"',
            ),
            1,
        )
        self.assertEqual(total(page, "tarragonramp_requests_total"), 1)
        self.assertEqual(
            total(page, "tarragonramp_control_traffic_bytes_total", 'kind="ping"'), 60
        )
        self.assertEqual(total(page, "tarragonramp_terms_held", 'role="steward"'), 3)
        self.assertGreater(total(page, "tarragonramp_memory_resident_bytes"), 10e6)


class ScrapeTest(unittest.TestCase):
    """One daemon with one server of each kind of service."""

    @classmethod
    def setUpClass(cls):
        cls.site = Site()
        cls.addClassCleanup(shutil.rmtree, cls.site.folder, ignore_errors=True)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start_platform()
        cls.site.start_daemon(DaemonSpec("d1", "a"))
        cls.site.start_backend(Backend("records1", "a", "fraser-valley", "records"))
        cls.site.wait_ready(["d1"])
        done = cls.site.command(
            "apply", "--file", "demo/fraser-valley.yaml", daemon="d1"
        )
        assert done.returncode == 0, done.stderr
        cls.site.wait_owned("d1")

    def page(self):
        """Return the daemon's metrics page."""
        pool = HttpPool(self.site.settings["d1"]["control_address"])
        response = pool.exchange("GET", "/metrics", (), b"", 5000).unwrap()
        self.assertEqual(response.status, 200)
        self.assertTrue(response.header("Content-Type").startswith("text/plain"))
        return response.body.decode()

    def test_requests_are_counted_by_outcome(self):
        pool = HttpPool(self.site.caller_address("d1"))
        for i in range(20):
            header = [("X-Grant-Record", f"k{i}")]
            response = pool.exchange("POST", "/records", header, b"x", 5000).unwrap()
            self.assertEqual(response.status, 200)
        pool.exchange("GET", "/claims", (), b"", 5000).unwrap()
        page = self.page()
        name = "tarragonramp_requests_total"
        records = 'service="fraser-valley/records"'
        self.assertEqual(total(page, name, records, 'outcome="answered"'), 20)
        claims = 'service="fraser-valley/claims"'
        self.assertEqual(total(page, name, claims, 'outcome="not-run"'), 1)
        self.assertEqual(total(page, "tarragonramp_requests_in_flight"), 0)
        self.assertEqual(total(page, "tarragonramp_terms_held", '"steward"'), 1)
        self.assertEqual(total(page, "tarragonramp_servers", 'condition="up"'), 1)
        self.assertEqual(total(page, "tarragonramp_ready"), 1)
        self.assertGreater(total(page, "tarragonramp_view_version"), 0)

    def test_control_traffic_and_cpu_time_are_metered_separately(self):
        page = self.page()
        name = "tarragonramp_control_traffic_bytes_total"
        for kind in ("grant", "watch", "platform-write", "operator"):
            for direction in ("in", "out"):
                labels = (f'kind="{kind}"', f'direction="{direction}"')
                self.assertGreater(total(page, name, *labels), 0, labels)
        cpu_ms = total(page, "tarragonramp_control_cpu_milliseconds_total")
        self.assertGreater(cpu_ms, 0)
        time.sleep(0.5)
        later = total(self.page(), "tarragonramp_control_cpu_milliseconds_total")
        self.assertGreater(later, cpu_ms)
