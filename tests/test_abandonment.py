"""Waits for responses that end once nobody needs them."""

import time
import unittest

import gevent
from gevent import socket

from tarragonramp.adapters.abandonment import CHECK_MS, AbandonmentWatch
from tarragonramp.errors import AbandonedError


class AbandonmentWatchTest(unittest.TestCase):
    def setUp(self):
        self.watch = AbandonmentWatch()
        self.wanted = [True]

    def pair(self):
        """Return two connected sockets."""
        ends = socket.socketpair()
        for end in ends:
            self.addCleanup(end.close)
            end.settimeout(5.0)
        return ends

    def receive(self, end):
        """Return the bytes received, or the error."""
        try:
            return self.watch.receive(end, 100, lambda: self.wanted[0])
        except (AbandonedError, TimeoutError) as error:
            return error

    def test_bytes_are_returned_while_the_response_is_wanted(self):
        here, there = self.pair()
        task = gevent.spawn(self.receive, here)
        gevent.sleep(3 * CHECK_MS / 1000.0)
        there.sendall(b"response")
        self.assertEqual(task.get(timeout=1.0), b"response")

    def test_all_waits_end_once_nobody_needs_the_responses(self):
        """Guards against servers that work on for callers who have gone."""
        tasks = [gevent.spawn(self.receive, self.pair()[0]) for _ in range(50)]
        gevent.sleep(2 * CHECK_MS / 1000.0)
        self.wanted[0] = False
        began_s = time.monotonic()
        gevent.joinall(tasks, timeout=5.0)
        self.assertLess(time.monotonic() - began_s, 0.5)
        self.assertTrue(all(isinstance(t.value, AbandonedError) for t in tasks))

    def test_an_error_is_not_thrown_into_later_work_of_the_same_task(self):
        """Guards against an abandoned wait that ends another one."""
        here, there = self.pair()

        def serve():
            first = self.receive(here)
            self.wanted[0] = True
            gevent.sleep(3 * CHECK_MS / 1000.0)
            return first, self.receive(here)

        task = gevent.spawn(serve)
        gevent.sleep(CHECK_MS / 1000.0)
        self.wanted[0] = False
        there.sendall(b"1")
        gevent.sleep(4 * CHECK_MS / 1000.0)
        there.sendall(b"2")
        first, second = task.get(timeout=2.0)
        self.assertTrue(first == b"1" or isinstance(first, AbandonedError))
        self.assertIsInstance(second, bytes)

    def test_a_timeout_of_the_connection_holds(self):
        here, _ = self.pair()
        here.settimeout(0.1)
        self.assertIsInstance(self.receive(here), TimeoutError)

    def test_the_check_ends_with_the_last_wait(self):
        here, there = self.pair()
        there.sendall(b"response")
        self.receive(here)
        gevent.sleep(3 * CHECK_MS / 1000.0)
        self.assertIsNone(self.watch._task)


if __name__ == "__main__":
    unittest.main()
