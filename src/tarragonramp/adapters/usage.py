"""Resource usage of this process: CPU time by kind of work, memory, pauses."""

import ctypes
import os
import time

import attrs
import gevent
import greenlet

from .optional import optional_step

__all__ = [
    "CpuMeter",
    "FreedMemory",
    "LoopWatch",
    "limit_kept_memory",
    "mark_request_work",
    "resident_bytes",
]

REQUEST_MARK = "on_request_path"
LOOP_CHECK_MS = 100
LOOP_BLOCKED_MS = 200
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

# Of malloc.h.
_M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 262_144

LONG_BUFFER_BYTES, MAX_KEPT_BYTES, TRIM_DELAY_S = 65_536, 1 << 20, 0.5
"""Buffers that count as long, how much of them may be freed without memory being
returned to the kernel, and how long after it that is done."""

_running_meters = []


def mark_request_work():
    """Account this greenlet, and all greenlets it spawns, to callers' requests."""
    gevent.getcurrent().spawn_tree_locals[REQUEST_MARK] = True
    for meter in _running_meters:
        # A meter would notice the mark only when the greenlet is switched to again.
        meter.switch_kind(True)


def resident_bytes():
    """Return this process's resident memory in bytes."""
    with open("/proc/self/statm", encoding="ascii") as stream:
        return int(stream.read().split()[1]) * PAGE_BYTES


def limit_kept_memory():
    """Have the C library return the memory of long buffers once they are freed.

    By default its threshold rises with each long buffer that is freed, up to 32 MB, and
    from then on such buffers stay with the process.
    """
    with optional_step("allocator-threshold"):
        if not ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES):
            raise OSError("mallopt failed")


@attrs.define(eq=False)
class FreedMemory:
    """Returns freed memory to the kernel after many long buffers.

    Parameters
    ----------
    n_bytes : int
        Freed since it was last returned.
    """

    n_bytes: int = 0
    _is_trim_due: bool = False

    def record(self, n_bytes):
        """Record a buffer that is freed."""
        if n_bytes < LONG_BUFFER_BYTES:
            return
        self.n_bytes += n_bytes
        if self.n_bytes > MAX_KEPT_BYTES and not self._is_trim_due:
            self._is_trim_due = True
            gevent.spawn_later(TRIM_DELAY_S, self._trim)

    def _trim(self):
        self.n_bytes, self._is_trim_due = 0, False
        with optional_step("allocator-trim"):
            ctypes.CDLL(None).malloc_trim(0)


@attrs.define(eq=False, repr=False)
class CpuMeter:
    """Splits the CPU time of this process into callers' requests and control work.

    A greenlet works either on requests (see :func:`mark_request_work`) or on control;
    gevent's hub counts as the kind that ran last. The thread's CPU clock is read only
    when the kind changes, so a switch between two requests costs one comparison. Other
    threads belong to gRPC, which carries control traffic only.

    Parameters
    ----------
    request_ms : float
        CPU time of callers' requests on this thread, in milliseconds.
    """

    request_ms: float = 0.0
    _on_request: bool = False
    _since_s: float = 0.0

    def start(self):
        """Start metering; a process can run only one meter."""
        self._since_s = time.thread_time()
        hub = gevent.get_hub()

        def trace_switch(event, greenlets):
            target = greenlets[1]
            if target is hub:
                return
            # An exception raised here would silently disable the tracing.
            on_request = REQUEST_MARK in (
                getattr(target, "spawn_tree_locals", None) or ()
            )
            if on_request is not self._on_request:
                self.switch_kind(on_request)

        _running_meters[:] = [self]
        greenlet.settrace(trace_switch)

    def stop(self):
        """Stop metering."""
        _running_meters.clear()
        greenlet.settrace(None)

    def control_ms(self):
        """Return the CPU time in milliseconds of everything but callers' requests."""
        self.switch_kind(self._on_request)
        return time.process_time() * 1000.0 - self.request_ms

    def switch_kind(self, on_request):
        """Account the CPU time since the last call; set what runs from now on."""
        now_s = time.thread_time()
        if self._on_request:
            self.request_ms += (now_s - self._since_s) * 1000.0
        self._since_s = now_s
        self._on_request = on_request


@attrs.define(eq=False, repr=False)
class LoopWatch:
    """Detects when the event loop was blocked.

    A blocking call, a long computation or a paused VM stops all tasks at once: grants
    are not renewed and callers wait, without any log line. A timer that fires late
    shows it afterwards at almost no cost.

    Parameters
    ----------
    on_block : callable
        ``on_block(blocked_ms, cpu_ms)``: how long the loop was blocked (a lower bound;
        the actual time may be up to ``LOOP_CHECK_MS`` longer), and the CPU time of this
        thread since the last check. Little CPU time means that the process was paused
        or waited in a call, much that it was computing.
    count : int
        Number of times the loop was blocked.
    longest_ms : float
        Longest time it was blocked, as in ``on_block``.
    """

    on_block: object
    count: int = 0
    longest_ms: float = 0.0
    _paused_ms: float = 0.0
    _sleep_began_s: float | None = None

    def total_pause_ms(self):
        """Return the total time for which the loop has been blocked, until now."""
        late_ms = self._late_ms()
        return self._paused_ms + (late_ms if late_ms >= LOOP_BLOCKED_MS else 0.0)

    def _late_ms(self):
        if self._sleep_began_s is None:
            return 0.0
        return (time.monotonic() - self._sleep_began_s) * 1000.0 - LOOP_CHECK_MS

    def run(self):
        """Check the event loop forever."""
        while True:
            self._sleep_began_s, cpu_s = time.monotonic(), time.thread_time()
            gevent.sleep(LOOP_CHECK_MS / 1000.0)
            late_ms = self._late_ms()
            if late_ms < LOOP_BLOCKED_MS:
                continue
            self._paused_ms += late_ms
            self.count += 1
            self.longest_ms = max(self.longest_ms, late_ms)
            self.on_block(late_ms, (time.thread_time() - cpu_s) * 1000.0)
