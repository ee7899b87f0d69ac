"""gevent's WSGI server with strict HTTP framing and low latency for small responses."""

import contextlib
import json
import re
import select
import socket

import gevent
from gevent import monkey
from gevent.pywsgi import WSGIHandler, WSGIServer, unquote_latin1

from ..errors import AddressError, RequestError
from ..holdings import MAX_UNFREED_BYTES, HoldingTable
from ..meters import NOT_RUN
from ..pacing import AheadPacing
from ..sizes import Limits
from ..stopping import STOPPING_REASON, STOPPING_RETRY_S
from .bodies import CONTINUE, BodyReader
from .fields import read_fields
from .http import split_address
from .logs import log_event
from .optional import optional_step
from .usage import FreedMemory

__all__ = [
    "ARRIVED_KEY",
    "HEADERS_KEY",
    "REASONS",
    "TARGET_KEY",
    "WebServer",
    "backend_reply",
    "caller_disconnected",
    "error_reply",
    "json_reply",
    "read_body",
]

BACKLOG = 1024

# gevent's poll switches greenlets; the original one only reads the state.
_original_poll = monkey.get_original("select", "poll")
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
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
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    499: "499 Client Closed Request",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
BODILESS_STATUSES = frozenset((204, 304))
METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))

# Bodies up to this size are sent in one segment with their headers.
MAX_JOINED_BYTES = 16_384

OUTCOME_HEADER = "Tarragon-Outcome"
"""Of answers of the process itself."""

REQUEST_BYTES, FIELD_BYTES = 16_384, 300
"""What a request in progress, and each of its header fields, take beside their text."""

RECEIVE_BUFFER_BYTES, LONG_RECEIVE_BUFFER_BYTES = 32_768, 1 << 20
"""Sizes of the kernel's buffer of a connection. Bytes that a client sends ahead take
memory, too; only a long body that is being read gets more, while there is room."""

SENT_PIECE_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
NO_MEMORY_RETRY_S = 0.5
FREEING_PAUSES_MS = tuple(2.0**n for n in range(10))

MAX_TURN_REQUESTS = 8
BUSY_STATUSES = frozenset((429, 503))

# Keys added to the WSGI environment: header fields as (lower-case name, value) in the
# caller's order, the request target as sent, the caller's socket, and the arrival time
# (milliseconds on the server's clock; only set by servers that have a clock).
HEADERS_KEY = "tarragon.headers"
TARGET_KEY = "tarragon.target"
SOCKET_KEY = "tarragon.socket"
ARRIVED_KEY = "tarragon.arrived_ms"

# Up to this much of an unread body is read and discarded before the connection is
# closed: closing with unread bytes resets the connection, and the response may be lost.
DISCARD_BYTES = 4 << 20
DISCARD_S = 1.0

_freed_memory = FreedMemory()

# Headers that a request may contain only once.
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
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})|%00")
_LENGTH = re.compile(r"[0-9]{1,18}\Z")


class RequestInput(BodyReader):
    """The body of the request that a handler serves; ``wsgi.input``."""

    def __init__(self, handler, is_chunked, send_continue):
        super().__init__(
            handler.rfile,
            handler.content_length,
            is_chunked,
            handler.server.limits,
            self._hold_piece,
            handler.record_progress,
            send_continue,
        )
        self.handler, self._n_held = handler, 0

    def read(self, size=None):
        """Read as :class:`BodyReader` does; the client is waited for meanwhile."""
        with self.handler.receiving():
            return super().read(size)

    def _malformed(self, reason):
        error = super()._malformed(reason)
        # The body may have been cut off by this side.
        return _stopping_error() if self.handler.receive_shut_down else error

    def _hold_piece(self, n_bytes):
        self._n_held += n_bytes
        if self._n_held > RECEIVE_BUFFER_BYTES:
            self.handler.lengthen_receive_buffer()
        self.handler.hold(n_bytes)

    def _discard(self):
        """Discard the rest of the body, within limits of size and time.

        The connection stays open only if the end of the body was reached. Without the
        limits, a caller with a huge or endless body would occupy the connection's
        greenlet forever. Called by the WSGI handler.
        """
        if self.is_exhausted:
            return
        handler = self.handler
        was_persistent = not handler.close_connection
        handler.close_connection = True
        if self.is_continue_due or self.is_malformed or handler.holding.is_revoked:
            # The caller still waits for "100 Continue" and may never send the body, or
            # the rest cannot be read.
            return
        try:
            with handler.receiving(), gevent.Timeout(DISCARD_S, False):
                self.discard(DISCARD_BYTES)
        except (OSError, ValueError, RequestError):
            return
        if was_persistent and self.is_exhausted:
            handler.close_connection = False


class WebHandler(WSGIHandler):
    """Handles the requests of one connection, with a strict request parser.

    gevent's parser is lenient: it uses the last of two lengths, lets a transfer coding
    override a length, and folds lines. A load balancer in front or a backend server
    behind may then see other request boundaries, which allows request smuggling. Each
    line is therefore validated here first.
    """

    headers = ()
    holding = None
    head_timer = None
    receive_shut_down = False
    has_long_buffer = False
    held_bytes = n_read = 0

    def handle(self):
        """Serve the connection until it ends, if there is room for it."""
        server = self.server
        self.holding = server.holdings.open(server, self.revoke, server.max_connections)
        if self.holding is None:
            self.socket.close()
            return
        try:
            super().handle()
        finally:
            server.holdings.close(self.holding)

    def revoke(self):
        """End the connection, because its memory or descriptor is needed.

        A greenlet that waits for the client is woken: by the end of the stream, or by
        an error if it sends.
        """
        log_event(
            "connection-revoked",
            waited_for=self.holding.phase.value,
            held_bytes=self.holding.n_bytes,
            requests=self.holding.n_requests,
            client=self.client_address[0],
        )
        how = socket.SHUT_RDWR if self.holding.n_sending else socket.SHUT_RD
        try:
            # On the underlying socket: gevent's would also raise an error in the
            # greenlet that waits for data.
            self.socket._sock.shutdown(how)
        except (AttributeError, OSError):
            # The handler is closing the connection concurrently.
            return

    def hold(self, n_bytes):
        """Record bytes that the request in progress holds until it is answered.

        Raises
        ------
        RequestError
            503 if there is no room for them.
        """
        holdings = self.server.holdings
        self.held_bytes += n_bytes
        if not holdings.charge(self.holding, n_bytes):
            raise RequestError(503, NOT_RUN, "no memory left", NO_MEMORY_RETRY_S)
        # Those that gave way free their memory once they have their turn.
        for pause_ms in FREEING_PAUSES_MS:
            if holdings.n_revoked_bytes <= MAX_UNFREED_BYTES:
                return
            gevent.sleep(pause_ms / 1000.0)
        raise RequestError(503, NOT_RUN, "no memory left", NO_MEMORY_RETRY_S)

    def record_progress(self, n_bytes):
        """Record bytes that the client has sent."""
        self.server.holdings.record_progress(self.holding, n_bytes)

    @contextlib.contextmanager
    def receiving(self):
        """Wait for the client to send the body of a request."""
        holdings = self.server.holdings
        holdings.begin_receiving(self.holding)
        try:
            yield
        finally:
            holdings.end_receiving(self.holding)
            if self.has_long_buffer:
                self.has_long_buffer = False
                self._set_receive_buffer(RECEIVE_BUFFER_BYTES)
                holdings.release(self.holding, LONG_RECEIVE_BUFFER_BYTES)

    def lengthen_receive_buffer(self):
        """Give a long body a larger buffer in the kernel while there is room."""
        holdings = self.server.holdings
        if self.has_long_buffer or not holdings.has_spare(LONG_RECEIVE_BUFFER_BYTES):
            return
        self.has_long_buffer = True
        holdings.charge(self.holding, LONG_RECEIVE_BUFFER_BYTES)
        self._set_receive_buffer(LONG_RECEIVE_BUFFER_BYTES)

    def _set_receive_buffer(self, n_bytes):
        with optional_step("caller-connection-buffer"):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, n_bytes)

    def read_request(self, raw_requestline):
        """Parse and validate the request line and headers, and set the body's framing.

        Raises
        ------
        RequestError
            400, 405, 408, 414, 431 or 503; the connection is closed.
        """
        holdings = self.server.holdings
        try:
            self._parse_head(raw_requestline)
        finally:
            self._cancel_head_timer()
            holdings.end_receiving(self.holding)
        self.held_bytes = self._head_cost()
        if not holdings.begin_request(self.holding, self.held_bytes):
            self.end_request()
            raise RequestError(503, NOT_RUN, "no memory left", NO_MEMORY_RETRY_S)
        return True

    def end_request(self):
        """Give back what the request in progress holds."""
        self.server.holdings.end_request(self.holding, self.held_bytes)
        _freed_memory.record(self.held_bytes)
        self.held_bytes = 0

    def _head_cost(self):
        """Return the bytes that a request without its body holds, about."""
        return (
            REQUEST_BYTES
            + 6 * len(self.requestline)
            + sum(
                FIELD_BYTES + 4 * (len(name) + len(value))
                for name, value in self.headers
            )
        )

    def _parse_head(self, raw_requestline):
        self.command = None
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
        self.headers = read_fields(self.rfile, self.server.limits)
        self._check_framing(dict(self.headers))
        if self.command not in METHODS:
            raise RequestError(405, NOT_RUN, "method not supported")

    def read_requestline(self):
        """Return the request line, truncated if it exceeds the limit."""
        self._give_way()
        buffered = self.rfile.peek()
        if not buffered:
            return ""
        limits = self.server.limits
        self.server.holdings.begin_receiving(self.holding)
        if HEAD_END not in buffered:
            error = TimeoutError("request head not received in time")
            self.head_timer = gevent.Timeout.start_new(limits.head_ms / 1000.0, error)
        try:
            return self.rfile.readline(limits.request_line_bytes).decode("latin-1")
        except OSError:
            self._cancel_head_timer()
            raise

    def _give_way(self):
        """Let others run before a request that may have been sent ahead.

        Its connection is read more slowly while requests are refused.
        """
        self.n_read += 1
        if self.n_read == 1:
            return
        if self.n_read % MAX_TURN_REQUESTS == 0:
            gevent.sleep(0)
        pause_ms = self.server.pacing.pause_ms(self.holding.n_refused)
        if pause_ms and _has_unread(self.socket):
            gevent.sleep(pause_ms / 1000.0)

    def _cancel_head_timer(self):
        if self.head_timer is not None:
            self.head_timer.close()
            self.head_timer = None

    def handle_one_response(self):
        """Serve a request, and give back what it holds."""
        try:
            super().handle_one_response()
        finally:
            self.end_request()

    def write(self, data):
        """Write a part of an answer, which is held until the client has taken it.

        The answer to a HEAD request, and one with 204 or 304, has no body whatever the
        application returns: the client would take it for its next answer.
        """
        if self.command == "HEAD" or self.code in BODILESS_STATUSES:
            data = b""
        self.held_bytes += len(data)
        self.server.holdings.charge(self.holding, len(data))
        super().write(data)

    def _sendall(self, data):
        """Send data in pieces, to see whether the client takes them."""
        holdings = self.server.holdings
        holdings.begin_sending(self.holding)
        try:
            view = memoryview(data)
            for begin in range(0, len(view), SENT_PIECE_BYTES):
                piece = view[begin : begin + SENT_PIECE_BYTES]
                super()._sendall(piece)
                holdings.record_progress(self.holding, len(piece))
        finally:
            holdings.end_sending(self.holding)

    def get_environ(self):
        """Return the WSGI environment of a request whose head has been validated."""
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
        expects_continue = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        sock = self.socket
        self.wsgi_input = RequestInput(
            self,
            "HTTP_TRANSFER_ENCODING" in environ,
            (lambda: sock.sendall(CONTINUE)) if expects_continue else None,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        return environ

    def finalize_headers(self):
        """Add a missing ``Content-Length``, but not to a response without a body."""
        if self.command == "HEAD" and self.provided_content_length is None:
            # gevent would set 0, which is wrong for most resources.
            self.provided_content_length = ""
        names = {name.lower() for name, _ in self.response_headers}
        is_refusal = OUTCOME_HEADER.lower().encode() in names
        self.holding.record_answer(is_refusal)
        if is_refusal and self.code in BUSY_STATUSES:
            self.server.pacing.record_refusal()
        if self.holding.is_revoked and b"connection" not in names:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _write_with_headers(self, data):
        """Send headers and a small body as one segment.

        gevent sends them separately, which costs an additional system call and wakes
        the peer twice.
        """
        self.headers_sent = True
        self.finalize_headers()
        parts = [b"HTTP/1.1 ", self.status, b"\r\n"]
        for name, value in self.response_headers:
            parts += (name, b": ", value, b"\r\n")
        parts.append(b"\r\n")
        if self.response_use_chunked or len(data) > MAX_JOINED_BYTES:
            self._sendall(b"".join(parts))
            self._write(data)
            return
        parts.append(data)
        self._sendall(b"".join(parts))

    def log_request(self):
        """Do nothing: the application does the logging."""

    def _handle_client_error(self, ex):
        # What was read of the head may have been cut off by this side.
        if self.holding.is_revoked:
            ex = RequestError(503, NOT_RUN, "no memory left", NO_MEMORY_RETRY_S)
        elif self.receive_shut_down:
            ex = _stopping_error()
        elif isinstance(ex, TimeoutError):
            ex = RequestError(408, NOT_RUN, "request head not received in time")
        elif not isinstance(ex, RequestError):
            ex = RequestError(400, NOT_RUN, "malformed request")
        body = _error_body(ex)
        retry_after = ""
        if ex.retry_after_s is not None:
            retry_after = f"Retry-After: {ex.retry_after_s:.2f}\r\n"
        head = (
            f"HTTP/1.1 {REASONS[ex.status]}\r\n"
            f"Connection: close\r\n{retry_after}"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{OUTCOME_HEADER}: {ex.outcome}\r\n\r\n"
        )
        return str(ex.status), head.encode() + (b"" if self.command == "HEAD" else body)

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
    """A WSGI server with a strict request parser and TCP_NODELAY on each connection.

    If headers and body of a response are sent as two segments, Nagle's algorithm holds
    the second one until the peer's delayed ACK arrives, after about 40 ms.

    Parameters
    ----------
    address : str
        ``ip:port``.
    application : callable
        WSGI application.
    reuse_port : bool, default=False
        Allow several processes on this VM to share the port (SO_REUSEPORT).
    limits : Limits, optional
        Limits of a request's head and of the idle time of a connection.
    holdings : HoldingTable, optional
        Shared by all servers of a process.
    max_connections : int, optional
        By default as many as callers may have.
    """

    handler_class = WebHandler

    def __init__(
        self,
        address,
        application,
        reuse_port=False,
        limits=None,
        holdings=None,
        max_connections=None,
    ):
        self.limits = limits or Limits()
        self.holdings = HoldingTable() if holdings is None else holdings
        self.pacing = AheadPacing()
        resources = self.holdings.resources
        self.max_connections = max_connections or resources.caller_connections
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with optional_step("listener-reuse-address"):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            if reuse_port:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(split_address(address))
        except OSError as error:
            listener.close()
            raise AddressError(f"{address}: {error.strerror}") from error
        listener.setblocking(False)
        super().__init__(listener, application, log=None, error_log=None)

    def init_socket(self):
        """Start listening; called when the server starts, not when it is created.

        The kernel distributes connections among all listeners that share a port. Those
        assigned to a listener before its server runs would wait until it accepts them.
        """
        try:
            self.socket.listen(BACKLOG)
        except OSError as error:
            address = "{}:{}".format(*self.address)
            raise AddressError(f"{address}: {error.strerror}") from error
        super().init_socket()

    def handle(self, sock, address):
        """Serve one connection."""
        with optional_step("caller-connection-nodelay"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with optional_step("caller-connection-buffer"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(self.limits.idle_ms / 1000.0)
        super().handle(sock, address)


def _has_unread(sock):
    """Return whether the peer of a socket has sent more than was read."""
    poll = _original_poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
    except (OSError, ValueError):
        return False
    return bool(poll.poll(0))


def caller_disconnected(environ):
    """Return whether the caller of a request has closed its side of the connection.

    Parameters
    ----------
    environ : dict
        WSGI environment made by :class:`WebServer`.
    """
    sock = environ.get(SOCKET_KEY)
    if sock is None:
        return False
    # Polls the state of the socket instead of peeking at its bytes: a caller may have
    # sent another request before it closed, and only reading past that would show EOF.
    poll = _original_poll()
    try:
        poll.register(sock.fileno(), _DISCONNECT_EVENTS)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def read_body(environ, limit_bytes, caller_timeout_ms):
    """Read the complete body of a request, within a size limit and a timeout.

    Parameters
    ----------
    environ : dict
    limit_bytes : int
    caller_timeout_ms : float
        Longest time to wait for the body.

    Returns
    -------
    body : bytes
        Empty if the request has no body.

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
        with gevent.Timeout(caller_timeout_ms / 1000.0, False):
            body = environ["wsgi.input"].read(limit_bytes + 1)
    except (OSError, ValueError):
        raise RequestError(400, NOT_RUN, "malformed or incomplete body") from None
    if body is None:
        raise RequestError(408, NOT_RUN, "body not received in time")
    if len(body) > limit_bytes:
        raise RequestError(413, NOT_RUN, "body longer than the limit")
    return body


def json_reply(start_response, status, payload):
    """Respond to a WSGI request with JSON.

    Parameters
    ----------
    start_response : callable
    status : int
    payload : object
        JSON-serializable data.

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


def backend_reply(start_response, method, response, headers):
    """Respond to a WSGI request with a backend server's response.

    Parameters
    ----------
    start_response : callable
    method : str
        Method of the request.
    response : Response
    headers : list of (str, str)
        Headers to forward, without ``Content-Length``.

    Returns
    -------
    body : list of bytes
    """
    if response.status not in BODILESS_STATUSES:
        length = len(response.body)
        if method == "HEAD":
            length = response.header("Content-Length", None)
        if length is not None:
            headers = [*headers, ("Content-Length", str(length))]
    reason = REASONS.get(response.status, f"{response.status} Status")
    start_response(reason, headers)
    return [response.body]


def error_reply(start_response, error, headers=()):
    """Respond to a WSGI request with an error.

    Parameters
    ----------
    start_response : callable
    error : RequestError
    headers : iterable of (str, str)
        Headers in addition to those of every error response.

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
            (OUTCOME_HEADER, error.outcome),
            *headers,
        ],
    )
    return [body]


def _stopping_error():
    return RequestError(503, NOT_RUN, STOPPING_REASON, STOPPING_RETRY_S)


def _error_body(error):
    return f'{{"outcome": "{error.outcome}", "reason": "{error.reason}"}}\n'.encode()


def _environ_key(name):
    key = name.replace("-", "_").upper()
    return key if key in ("CONTENT_TYPE", "CONTENT_LENGTH") else f"HTTP_{key}"
