"""gevent's WSGI server, set up so that small answers leave at once."""

import json
import socket

from gevent.pywsgi import WSGIHandler, WSGIServer

from ..errors import AddressError
from .http import split_address

__all__ = ["REASONS", "WebServer", "json_reply"]

BACKLOG = 1024
REASONS = {
    200: "200 OK",
    201: "201 Created",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    413: "413 Content Too Large",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


class WebHandler(WSGIHandler):
    """Handles the requests of one connection."""

    def log_request(self):
        """Leave logging to the application."""


class WebServer(WSGIServer):
    """A WSGI server that sets TCP_NODELAY on each accepted connection.

    Headers and body of a reply leave as two segments; with Nagle's algorithm the
    second waits for the peer's delayed ACK, some 40 ms.

    Parameters
    ----------
    address : str
        ``ip:port``.
    application : callable
        WSGI application.
    reuse_port : bool, default=False
        Let several processes of this VM share the port.
    """

    handler_class = WebHandler

    def __init__(self, address, application, reuse_port=False):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            listener.bind(split_address(address))
        except OSError as error:
            listener.close()
            raise AddressError(f"{address}: {error.strerror}") from error
        listener.setblocking(False)
        super().__init__(listener, application, log=None, error_log=None)

    def init_socket(self):
        """Listen, when the server starts.

        Not earlier: the kernel gives a listener that shares its port a share of the
        connections, and they would wait until somebody accepts them.
        """
        try:
            self.socket.listen(BACKLOG)
        except OSError as error:
            raise AddressError(f"{self.address}: {error.strerror}") from error
        super().init_socket()

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def json_reply(start_response, status, payload):
    """Answer a WSGI request with JSON.

    Parameters
    ----------
    start_response : callable
    status : int
    payload : object
        Anything JSON can hold.

    Returns
    -------
    body : list of bytes
    """
    body = json.dumps(payload).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(REASONS[status], headers)
    return [body]
