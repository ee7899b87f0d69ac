"""gevent's WSGI server, made strict about framing and prompt with small answers."""

import json
import re
import select
import socket

import gevent
from gevent import monkey
from gevent.pywsgi import Input, WSGIHandler, WSGIServer, unquote_latin1

from ..errors import AddressError, RequestError
from ..meters import NOT_RUN
from ..settings import Limits
from .http import split_address

__all__ = [
    "ARRIVED_KEY",
    "HEADERS_KEY",
    "REASONS",
    "TARGET_KEY",
    "WebServer",
    "answer_reply",
    "caller_is_gone",
    "error_reply",
    "json_reply",
    "read_body",
]

BACKLOG = 1024

# The library's own waits for the loop; this one only looks.
_poll = monkey.get_original("select", "poll")
_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
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
    414: "414 URI Too Long",
    431: "431 Request Header Fields Too Large",
    499: "499 Client Closed Request",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
BODILESS_STATUSES = frozenset((204, 304))
METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))

# Larger bodies are not copied behind their headers.
JOINED_BYTES = 16_384

# Beside the usual WSGI keys: header lines as (lower-case name, value) in the caller's
# order, the request target as it was sent, the caller's socket, and when the request
# arrived (milliseconds on the server's clock; only of servers that have one).
HEADERS_KEY = "tarragon.headers"
TARGET_KEY = "tarragon.target"
SOCKET_KEY = "tarragon.socket"
ARRIVED_KEY = "tarragon.arrived_ms"

# An unread body is read this far before the connection is closed, since a close with
# bytes unread resets the connection and can take the answer with it.
DISCARD_BYTES = 4 << 20
DISCARD_S = 1.0

_SINGLE_HEADERS = frozenset(
    (
        "authorization",
        "content-length",
        "content-type",
        "expect",
        "host",
        "transfer-encoding",
        "x-request-id",
        "x-request-timeout-ms",
    )
)
_REQUEST_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]{1,32}) (/[!\"$-~]*) HTTP/1\.([01])\r\n\Z"
)
_HEADER_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n\Z"
)
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})|%00")
_LENGTH = re.compile(r"[0-9]{1,18}\Z")


class BoundedInput(Input):
    """A request body of which little is read once nobody wants it."""

    __slots__ = ("handler",)

    def __init__(self, handler, **options):
        super().__init__(handler.rfile, handler.content_length, **options)
        self.handler = handler

    def _discard(self):
        """Read what is left within bounds; the connection survives only a clean end.

        Guards against a caller that declares a huge body, or sends one without an
        end, and so holds the connection's task for ever.
        """
        if self._at_end():
            return
        keeps_open = not self.handler.close_connection
        self.handler.close_connection = True
        if self.socket is not None or self._chunked_input_error:
            # The caller still waits for "100 Continue" and may never send the body,
            # or sent one that cannot be followed any further.
            return
        self.send_100_continue_enabled = False
        left = DISCARD_BYTES
        try:
            with gevent.Timeout(DISCARD_S, False):
                while left > 0:
                    data = self.read(16_384)
                    if not data:
                        break
                    left -= len(data)
        except (OSError, ValueError):
            return
        if keeps_open and self._at_end():
            self.handler.close_connection = False

    def _at_end(self):
        if self.chunked_input:
            return self.chunk_length == 0 and not self._chunked_input_error
        return self.position >= (self.content_length or 0)


class WebHandler(WSGIHandler):
    """Handles the requests of one connection.

    The library's own reading of a request head is lenient: it takes the last of two
    lengths, lets a transfer coding override a length, and folds lines. A balancer
    before us or a server behind us may then see other request boundaries, and one
    caller's bytes become another's request. So each line is checked here first.
    """

    headers = ()

    def read_request(self, raw_requestline):
        """Check the request line and headers and take over what frames the body.

        Raises
        ------
        RequestError
            400, 405, 414 or 431; the connection is closed.
        """
        self.requestline = raw_requestline
        if not raw_requestline.endswith("\n"):
            raise RequestError(414, NOT_RUN, "request line longer than the limit")
        match = _REQUEST_LINE.match(raw_requestline)
        if match is None:
            raise RequestError(400, NOT_RUN, "malformed request line")
        self.command, self.path, minor = match.groups()
        self.request_version = f"HTTP/1.{minor}"
        if "%" in self.path and _BAD_ESCAPE.search(self.path):
            raise RequestError(400, NOT_RUN, "malformed request target")
        self.headers = self._read_headers()
        self._check_framing(dict(self.headers))
        if self.command not in METHODS:
            raise RequestError(405, NOT_RUN, "method not supported")
        return True

    def read_requestline(self):
        """Return the request line; without its end if it is too long."""
        limit = self.server.limits.request_line_bytes
        return self.rfile.readline(limit).decode("latin-1")

    def get_environ(self):
        """Return the WSGI environment of a request whose head has been checked."""
        environ = self.server.get_environ()
        path, _, query = self.path.partition("?")
        environ["REQUEST_METHOD"] = self.command
        environ["SCRIPT_NAME"] = ""
        environ["PATH_INFO"] = unquote_latin1(path) if "%" in path else path
        environ["QUERY_STRING"] = query
        environ["SERVER_PROTOCOL"] = self.request_version
        environ["REMOTE_ADDR"] = self.client_address[0]
        environ["REMOTE_PORT"] = str(self.client_address[1])
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = self.headers
        environ[SOCKET_KEY] = self.socket
        for name, value in self.headers:
            key = _environ_key(name)
            if key in environ:
                value = f"{environ[key]}{'; ' if name == 'cookie' else ','}{value}"
            environ[key] = value
        waits = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        self.wsgi_input = BoundedInput(
            self,
            socket=self.socket if waits else None,
            chunked_input="HTTP_TRANSFER_ENCODING" in environ,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        return environ

    def finalize_headers(self):
        """Add a length where none is given, but not to an answer without a body."""
        if self.command == "HEAD" and self.provided_content_length is None:
            # The library would say 0, which is false for most resources.
            self.provided_content_length = ""
        super().finalize_headers()

    def _write_with_headers(self, data):
        """Send headers and a small body as one segment.

        The library sends them one after the other, which costs a system call here
        and wakes the peer twice.
        """
        self.headers_sent = True
        self.finalize_headers()
        parts = [b"HTTP/1.1 ", self.status, b"\r\n"]
        for name, value in self.response_headers:
            parts += (name, b": ", value, b"\r\n")
        parts.append(b"\r\n")
        if self.response_use_chunked or len(data) > JOINED_BYTES:
            self._sendall(b"".join(parts))
            self._write(data)
            return
        parts.append(data)
        self._sendall(b"".join(parts))

    def log_request(self):
        """Leave logging to the application."""

    def _handle_client_error(self, ex):
        if isinstance(ex, TimeoutError):
            ex = RequestError(408, NOT_RUN, "request head not received in time")
        elif not isinstance(ex, RequestError):
            ex = RequestError(400, NOT_RUN, "malformed request")
        body = _error_body(ex)
        head = (
            f"HTTP/1.1 {REASONS[ex.status]}\r\n"
            "Connection: close\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Tarragon-Outcome: {ex.outcome}\r\n\r\n"
        )
        return str(ex.status), head.encode() + body

    def _read_headers(self):
        limits = self.server.limits
        left = limits.header_block_bytes
        headers = []
        while True:
            line = self.rfile.readline(min(limits.header_line_bytes, left) + 1)
            if line == b"\r\n":
                return headers
            left -= len(line)
            if left < 0 or len(line) > limits.header_line_bytes:
                raise RequestError(431, NOT_RUN, "headers longer than the limit")
            if len(headers) >= limits.header_count:
                raise RequestError(431, NOT_RUN, "more headers than the limit")
            match = _HEADER_LINE.match(line.decode("latin-1"))
            if match is None:
                raise RequestError(400, NOT_RUN, "malformed header")
            name, value = match.groups()
            if "_" in name:
                # It would share its WSGI key with the name that has dashes.
                continue
            headers.append((name.lower(), value.strip(" \t")))

    def _check_framing(self, by_name):
        if len(by_name) < len(self.headers):
            names = [name for name, _ in self.headers]
            for name in _SINGLE_HEADERS:
                if names.count(name) > 1:
                    raise RequestError(400, NOT_RUN, f"more than one {name}")
        length = by_name.get("content-length")
        coding = by_name.get("transfer-encoding")
        if self.request_version == "HTTP/1.1" and "host" not in by_name:
            raise RequestError(400, NOT_RUN, "no host")
        if coding is not None:
            if length is not None or self.request_version == "HTTP/1.0":
                raise RequestError(400, NOT_RUN, "ambiguous body length")
            if coding.lower() != "chunked":
                raise RequestError(400, NOT_RUN, "transfer coding not supported")
        if length is not None and not _LENGTH.match(length):
            raise RequestError(400, NOT_RUN, "malformed content-length")
        self.content_length = None if length is None else int(length)
        options = by_name.get("connection", "").lower()
        if self.request_version == "HTTP/1.1":
            self.close_connection = "close" in options
        else:
            self.close_connection = "keep-alive" not in options


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
    limits : Limits, optional
        Bounds on a request's head, and on how long a connection may be idle.
    """

    handler_class = WebHandler

    def __init__(self, address, application, reuse_port=False, limits=None):
        self.limits = limits or Limits()
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
        sock.settimeout(self.limits.idle_ms / 1000.0)
        super().handle(sock, address)


def caller_is_gone(environ):
    """Tell whether the caller of a request has closed its side of the connection.

    Parameters
    ----------
    environ : dict
        Of a request that :class:`WebServer` took.
    """
    sock = environ.get(SOCKET_KEY)
    if sock is None:
        return False
    # Asked for its state and not for its bytes: a caller may have sent a further
    # request behind this one and then gone, and only reading past it would show that.
    poll = _poll()
    try:
        poll.register(sock.fileno(), _GONE)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def read_body(environ, limit_bytes, patience_ms):
    """Return the whole body of a request, within a limit and a time.

    Parameters
    ----------
    environ : dict
    limit_bytes : int
    patience_ms : float

    Raises
    ------
    RequestError
        400, 408 or 413; the request did not run.
    """
    length = environ.get("CONTENT_LENGTH")
    if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    if int(length or 0) > limit_bytes:
        raise RequestError(413, NOT_RUN, "body longer than the limit")
    body = None
    try:
        with gevent.Timeout(patience_ms / 1000.0, False):
            body = environ["wsgi.input"].read(limit_bytes + 1)
    except (OSError, ValueError):
        raise RequestError(400, NOT_RUN, "malformed or incomplete body") from None
    if body is None:
        raise RequestError(408, NOT_RUN, "body not received in time")
    if len(body) > limit_bytes:
        raise RequestError(413, NOT_RUN, "body longer than the limit")
    return body


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


def answer_reply(start_response, method, answer, headers):
    """Answer a WSGI request with a server's answer.

    Parameters
    ----------
    start_response : callable
    method : str
        Of the request.
    answer : Answer
    headers : list of (str, str)
        Those of the answer that go on, without its length.

    Returns
    -------
    body : list of bytes
    """
    if answer.status not in BODILESS_STATUSES:
        length = len(answer.body)
        if method == "HEAD":
            length = answer.header("Content-Length", None)
        if length is not None:
            headers = [*headers, ("Content-Length", str(length))]
    reason = REASONS.get(answer.status, f"{answer.status} Status")
    start_response(reason, headers)
    return [answer.body]


def error_reply(start_response, error, headers=()):
    """Answer a WSGI request with a refusal.

    Parameters
    ----------
    start_response : callable
    error : RequestError
    headers : iterable of (str, str)
        Beside those that every refusal has.

    Returns
    -------
    body : list of bytes
    """
    body = _error_body(error)
    start_response(
        REASONS[error.status],
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Tarragon-Outcome", error.outcome),
            *headers,
        ],
    )
    return [body]


def _error_body(error):
    return f'{{"outcome": "{error.outcome}", "reason": "{error.reason}"}}\n'.encode()


def _environ_key(name):
    key = name.replace("-", "_").upper()
    return key if key in ("CONTENT_TYPE", "CONTENT_LENGTH") else f"HTTP_{key}"
