"""Raw socket client and scripted HTTP server, for tests at the protocol level."""

import re

import attrs
import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from tarragonramp.adapters.http import split_address

__all__ = [
    "EchoServer",
    "LateCopyServer",
    "ScriptedServer",
    "response_bytes",
    "send_raw",
]


def send_raw(address, data, idle_timeout_s=0.5):
    """Send bytes; return the bytes received and whether the server closed.

    Reading ends when the server closes the connection, or when nothing arrives within
    the timeout.
    """
    with socket.create_connection(split_address(address), timeout=2.0) as connection:
        connection.sendall(data)
        connection.settimeout(idle_timeout_s)
        received = b""
        while True:
            try:
                part = connection.recv(65_536)
            except TimeoutError:
                return received, False
            except ConnectionResetError:
                return received, True
            if not part:
                return received, True
            received += part


@attrs.define(eq=False)
class ScriptedServer:
    """Responds to each request with the next bytes of a script.

    Parameters
    ----------
    script : list of bytes or None
        One response per request, None for no response. The last one is repeated.
    closes : bool
        Whether to close the connection after each response.
    """

    script: list
    closes: bool = False
    requests: list = attrs.Factory(list)
    n_connections: int = 0
    client_closed: Event = attrs.Factory(Event)
    _server: StreamServer = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Listen on loopback."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        """Close the listener and every connection."""
        self._server.stop(timeout=0)

    def _serve(self, connection, _):
        self.n_connections += 1
        previous = b""
        while True:
            try:
                data = connection.recv(65_536)
            except OSError:
                data = b""
            if not data:
                self.client_closed.set()
                return
            self.requests.append(data.decode("latin-1"))
            self._begin_response(connection, previous)
            step = min(len(self.requests), len(self.script)) - 1
            if self.script[step] is not None:
                connection.sendall(self.script[step])
                previous = self.script[step]
            if self.closes:
                connection.close()
                return
            gevent.sleep(0)

    def _begin_response(self, connection, previous):
        """Called before each response with the one before it on the connection."""


class LateCopyServer(ScriptedServer):
    """Sends a copy of each response late, where the next one is expected."""

    def _begin_response(self, connection, previous):
        connection.sendall(previous)


class EchoServer(ScriptedServer):
    """Returns the id of each request, and sends what a test adds.

    Parameters
    ----------
    respond : callable
        ``respond(request_id, earlier)`` returns the bytes to send for a request;
        ``earlier`` are the ids of earlier requests on its connection.
    """

    def __init__(self, respond):
        self.respond = respond
        super().__init__([])

    def _serve(self, connection, _):
        self.n_connections += 1
        earlier = []
        while data := self._receive(connection):
            self.requests.append(data.decode("latin-1"))
            match = re.search(r"\r\nrequest-id: ([^\r]+)", self.requests[-1], re.I)
            request_id = match[1] if match else ""
            connection.sendall(self.respond(request_id, earlier))
            earlier.append(request_id)
            if self.closes:
                connection.close()
                break
        self.client_closed.set()

    def _receive(self, connection):
        try:
            return connection.recv(65_536)
        except OSError:
            return b""


def response_bytes(request_id="", status=200, body=None, headers=""):
    """Return a response; its body names the request unless another one is given."""
    data = request_id.encode() if body is None else body
    id_line = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status} S\r\n{id_line}{headers}Content-Length: {len(data)}\r\n"
    return head.encode() + b"\r\n" + data
