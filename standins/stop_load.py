"""Callers that use a daemon until its process is gone, and what they get."""

import time

import attrs
import gevent
from gevent import socket
from gevent.select import select

from tarragonramp.adapters.http import split_address

from .fleet_site import HOST

__all__ = ["PATH", "Attempt", "StopLoad"]

PATH = "/view/"

RECEIVE_BYTES = 65_536


@attrs.define(eq=False)
class Attempt:
    """One request and what its caller got.

    Parameters
    ----------
    request_id, method, path : str
    sent_ms, answered_ms : float
        Unix time; the second also of a connection's end without a whole response.
    status : int
        Of a whole response; 0 without one.
    body : bytes
        Of the response.
    failure : str
        Why there is no whole response: ``refused`` if no connection was established, or
        how the connection ended.
    """

    request_id: str
    method: str = "GET"
    path: str = PATH
    sent_ms: float = attrs.Factory(lambda: time.time() * 1000.0)
    answered_ms: float = 0.0
    status: int = 0
    body: bytes = b""
    failure: str = ""

    def fail(self, failure):
        """Record the end of the connection."""
        self.failure, self.answered_ms = failure, time.time() * 1000.0


@attrs.define(eq=False)
class StopLoad:
    """Callers of one daemon.

    Parameters
    ----------
    address : str
        Where the daemon takes callers.
    attempts : list of Attempt
    headers : list of (str, str)
        Further headers of each request.
    deadline_ms : int
        Time limit of each request.
    """

    address: str
    attempts: list = attrs.Factory(list)
    headers: list = attrs.Factory(list)
    deadline_ms: int = 1500
    _callers: list = attrs.Factory(list)
    _n_attempts: int = 0

    def start_new_connections(self, gap_ms, lasts_ms):
        """Send one GET on a new connection at each interval."""

        def run():
            until_s = time.monotonic() + lasts_ms / 1000.0
            while time.monotonic() < until_s:
                self._callers.append(gevent.spawn(self._call_once))
                gevent.sleep(gap_ms / 1000.0)

        self._callers.append(gevent.spawn(run))

    def start_kept_connections(self, count, pause_ms, lasts_ms):
        """Send one GET after the other on kept connections, until the daemon is gone.

        A connection that the daemon has closed is replaced by a new one.
        """
        for _ in range(count):
            self._callers.append(gevent.spawn(self._call_kept, pause_ms, lasts_ms))

    def start_pipelined(self, count, path=PATH):
        """Send a GET and behind it a POST with a body on a connection each, once.

        ``path`` is that of the POST.
        """
        for _ in range(count):
            self._callers.append(gevent.spawn(self._call_pipelined, path))

    def start_slow_bodies(self, path, whole_after_ms):
        """Begin a POST on a connection each; the rest of its body comes later.

        Parameters
        ----------
        path : str
        whole_after_ms : iterable of float
            By connection, when its request is whole.
        """
        for after_ms in whole_after_ms:
            call = gevent.spawn(self._call_slow, path, b"12", -1, after_ms)
            self._callers.append(call)

    def start_slow_heads(self, whole_after_ms):
        """Begin a GET on a connection each; the rest of its head comes later.

        Every other one begins with a part of its request line only. The parameter is
        that of :meth:`start_slow_bodies`.
        """
        for number, after_ms in enumerate(whole_after_ms):
            n_first = len("GET /") if number % 2 else -1
            call = gevent.spawn(self._call_slow, PATH, b"", n_first, after_ms)
            self._callers.append(call)

    def wait(self):
        """Wait until all callers have ended; raise their unexpected errors."""
        gevent.joinall(self._callers, raise_error=True)

    def lost(self, runs):
        """Return the attempts that a server has run and that got no whole response.

        Parameters
        ----------
        runs : dict of str to int
            How often servers ran each request.
        """
        return [a for a in self.attempts if runs.get(a.request_id) and not a.status]

    def _new_attempt(self, method="GET", path=PATH):
        self._n_attempts += 1
        request_id = f"stop-{self.address}-{self._n_attempts}"
        attempt = Attempt(request_id, method, path)
        self.attempts.append(attempt)
        return attempt

    def _connect(self, attempt):
        """Return a connection, or None if the daemon refuses it."""
        try:
            return socket.create_connection(split_address(self.address), timeout=8.0)
        except ConnectionRefusedError:
            attempt.fail("refused")
        except OSError as error:
            attempt.fail(f"not connected: {type(error).__name__}")
        return None

    def _call_once(self):
        attempt = self._new_attempt()
        connection = self._connect(attempt)
        if connection is not None:
            with connection:
                self._exchange(connection, attempt)

    def _call_kept(self, pause_ms, lasts_ms):
        until_s, connection = time.monotonic() + lasts_ms / 1000.0, None
        while time.monotonic() < until_s:
            attempt = self._new_attempt()
            connection = connection or self._connect(attempt)
            if connection is None:
                return
            if not self._exchange(connection, attempt):
                connection.close()
                connection = None
            gevent.sleep(pause_ms / 1000.0)

    def _call_slow(self, path, body, n_first, after_ms):
        """Send a request in two parts; an answer to the first one ends it."""
        attempt = self._new_attempt("POST" if body else "GET", path)
        connection = self._connect(attempt)
        if connection is None:
            return
        request = self._request(attempt.method, attempt.request_id, body, path)
        with connection:
            try:
                connection.sendall(request[:n_first])
                if not select([connection], [], [], after_ms / 1000.0)[0]:
                    attempt.sent_ms = time.time() * 1000.0
                    connection.sendall(request[n_first:])
                self._receive(connection, attempt, b"")
            except OSError as error:
                attempt.fail(_describe(error))

    def _call_pipelined(self, path):
        first, second = self._new_attempt(), self._new_attempt("POST", path)
        connection = self._connect(first)
        if connection is None:
            second.fail(first.failure)
            return
        with connection:
            post = self._request("POST", second.request_id, b"lookup", path)
            try:
                connection.sendall(self._request("GET", first.request_id) + post)
                data = self._receive(connection, first, b"")
                if data is not None:
                    self._receive(connection, second, data)
            except OSError as error:
                attempt = second if first.status else first
                attempt.fail(_describe(error))
        if not second.status and not second.failure:
            second.fail(first.failure or "behind the last response")

    def _exchange(self, connection, attempt):
        """Send a GET and read the response; return whether the connection stays open.

        A connection that ends before any byte of the response is an attempt without a
        response, also if the daemon had closed it before the request was sent.
        """
        try:
            connection.sendall(self._request("GET", attempt.request_id))
            data = self._receive(connection, attempt, b"")
        except OSError as error:
            attempt.fail(_describe(error))
            return False
        return data is not None

    def _receive(self, connection, attempt, data):
        """Read one response; return what follows it, or None if the connection ends."""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(RECEIVE_BYTES)
            if not piece:
                attempt.fail("closed")
                return None
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", 0))
        while len(body) < length:
            piece = connection.recv(RECEIVE_BYTES)
            if not piece:
                attempt.fail("closed within the response")
                return None
            body += piece
        attempt.status = int(lines[0].split()[1])
        attempt.answered_ms, attempt.body = time.time() * 1000.0, body[:length]
        return None if headers.get("connection") == "close" else body[length:]

    def _request(self, method, request_id, body=b"", path=PATH):
        head = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {self.deadline_ms}",
            *(f"{name}: {value}" for name, value in self.headers),
        ]
        if body:
            head.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def _describe(error):
    return "timed out" if isinstance(error, TimeoutError) else type(error).__name__
