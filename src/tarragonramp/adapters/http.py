"""Pooled HTTP exchanges whose outcome is never in more doubt than it has to be.

The client of the HTTP library sends an idempotent request again by itself, and
cannot say whether bytes left. Both matter here, so only its parser is used.
"""

import re
import socket as plain_socket
import struct
import time
import weakref

import attrs
from gevent import socket
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)
from returns.result import Failure, Result, Success

from ..errors import (
    AbandonedError,
    NoConnectionError,
    NotSentError,
    UnansweredError,
)
from ..meters import kind_of

__all__ = ["Answer", "HttpPool", "HttpPools", "split_address"]

RECEIVE_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 64
ANSWER_HEAD_BYTES = 65_536
SWITCHING_PROTOCOLS = 101

# Quick answers cost no look at the caller; a slow one is given up on this long after
# its caller has gone.
CANCELLATION_CHECK_MS = 50.0

# Echoed by servers that know them; another value than was sent is another's answer.
ECHOED_HEADERS = ("x-request-id", "tarragon-exchange")

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
_TARGET = re.compile(r"/[^\x00-\x20\x7f]*\Z")


@attrs.frozen
class Answer:
    """A whole HTTP answer.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name, default=""):
        """Return the first value of a header, whatever its case.

        Parameters
        ----------
        name : str
        default : str, default=""
        """
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return default


def split_address(address):
    """Split ``ip:port`` into a pair that sockets take."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.define(eq=False, repr=False)
class HttpPool:
    """Connections to one address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    answer_bytes : int
        Longest answer body taken.
    traffic : TrafficMeter, optional
        Counts the exchanges of a pool that carries control.
    unsent_ms : float, default=0.0
        How long the kernel may try to deliver what was sent, also after the
        connection was closed; 0 for as long as it likes.
    echoed_headers : tuple of str
        Lower-case names of headers whose value, where an answer has them, must be
        the one that was sent.
    max_idle : int
        Most connections kept for later.
    max_idle_ms : float
        A connection unused for longer is closed and not used again: the server may
        be about to close it. 0 for no limit.
    takes_unframed : bool
        Whether an answer without a length that ends with its connection is whole;
        one that ends with a reset never is.
    keepalive : bool
        Whether the kernel asks a silent peer now and then, so that a connection
        that has gone silent for good fails after a few seconds.
    connect_ms : float
        Longest time to open a connection; 0 for the whole timeout.
    """

    address: str
    answer_bytes: int = 8_388_608
    traffic: object = None
    unsent_ms: float = 0.0
    echoed_headers: tuple = ECHOED_HEADERS
    max_idle: int = MAX_IDLE_CONNECTIONS
    max_idle_ms: float = 0.0
    takes_unframed: bool = False
    keepalive: bool = False
    connect_ms: float = 0.0
    _idle: list = attrs.Factory(list)
    _idle_since_s: dict = attrs.Factory(dict)
    _tags: object = attrs.Factory(weakref.WeakKeyDictionary)

    def exchange(
        self,
        method,
        target,
        headers,
        body,
        timeout_ms,
        is_wanted=None,
        reuse_only=False,
        tag=None,
        may_send=None,
    ) -> Result:
        """Send a request once and read its whole answer.

        Parameters
        ----------
        method, target : str
        headers : list of (str, str)
            Without framing headers, which are set here. An ``X-Request-Id`` or
            ``Tarragon-Exchange`` that the answer echoes has to be the same there.
        body : bytes
        timeout_ms : float
            For the whole exchange.
        is_wanted : callable, optional
            Asked now and then while the server is at work; once it returns False
            the connection is closed, which tells the server to stop.
        reuse_only : bool, default=False
            Whether to send over an idle connection or not at all.
        tag : hashable, optional
            What the request is about. With ``reuse_only``, only a connection that has
            carried one with this tag is used: another may reach a later process.
        may_send : callable, optional
            Asked as the last thing before the first byte leaves: whoever has a right
            that ends must not send what it decided before this process stood still.

        Returns
        -------
        answer : Success of Answer, or Failure of ExchangeError
            NotSentError if no byte left, and of these NoConnectionError if none was
            to be opened; AbandonedError if nobody wanted the answer any more, else
            UnansweredError.
        """
        # Before all else: a pause of this process counts, wherever it falls.
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        try:
            data = _request_bytes(method, target, self.address, headers, body)
        except ValueError as error:
            return Failure(NotSentError(str(error)))
        try:
            connection = self._take_idle(tag if reuse_only else None)
            if connection is None and reuse_only:
                return Failure(NoConnectionError(f"{self.address}: none is open"))
            connection = connection or self._open(deadline_s)
        except OSError as error:
            return Failure(NotSentError(f"{self.address}: {error}"))
        if may_send is not None and not may_send():
            connection.close()
            return Failure(NotSentError(f"{self.address}: too late to send"))
        if tag is not None:
            self._tags.setdefault(connection, set()).add(tag)
        try:
            connection.settimeout(_remaining_s(deadline_s))
            connection.sendall(data)
            if self.traffic is not None:
                self.traffic.sent(kind_of(method, target), len(data))
            response, n_received = self._read(connection, method, deadline_s, is_wanted)
            _check_echo(response, headers, self.echoed_headers)
        except AbandonedError as error:
            connection.close()
            return Failure(error)
        except (OSError, HTTPParseError) as error:
            connection.close()
            return Failure(UnansweredError(f"{self.address}: {error}"))
        except BaseException:
            # The greenlet is being killed or timed out from outside: an answer may
            # still be on its way, and must not meet the connection's next request.
            connection.close()
            raise
        if self.traffic is not None:
            self.traffic.received(kind_of(method, target), n_received)
        self._give_back(connection, response)
        answer = Answer(
            response.status_code, tuple(response.items()), bytes(response._body_buffer)
        )
        return Success(answer)

    def has_live_idle(self):
        """Tell whether the idle connection that is used next is still open.

        If the server has closed it, the others are closed too: it may be another
        process by now.
        """
        if self._idle and _is_quiet(self._idle[-1]):
            return True
        self.close()
        return False

    def has_lost_idle(self):
        """Tell whether the server has closed the idle connection used next."""
        return bool(self._idle) and not self.has_live_idle()

    def close(self):
        """Close idle connections."""
        while self._idle:
            self._idle.pop().close()
        self._idle_since_s.clear()

    def _take_idle(self, tag=None):
        """Take a connection out that is open, and has carried a tag if one is given."""
        oldest_s = time.monotonic() - self.max_idle_ms / 1000.0
        for connection in reversed(self._idle.copy()):
            if tag is not None and tag not in self._tags.get(connection, ()):
                continue
            self._idle.remove(connection)
            since_s = self._idle_since_s.pop(connection, 0.0)
            is_stale = self.max_idle_ms and since_s < oldest_s
            if not is_stale and _is_quiet(connection):
                return connection
            connection.close()
        return None

    def _open(self, deadline_s):
        timeout_s = _remaining_s(deadline_s)
        if self.connect_ms:
            timeout_s = min(timeout_s, self.connect_ms / 1000.0)
        connection = socket.create_connection(
            split_address(self.address), timeout=timeout_s
        )
        connection.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        if self.unsent_ms:
            _forget_unsent(connection, self.unsent_ms)
        if self.keepalive:
            _keep_alive(connection)
        return connection

    def _read(self, connection, method, deadline_s, is_wanted):
        response = _StrictResponse(method)
        n_received = 0
        while not response.is_final:
            data = _receive(connection, deadline_s, is_wanted)
            if not data:
                if self.takes_unframed and response.ends_with_connection():
                    break
                # Also an answer that ends with the connection: it cannot be told
                # from one that was cut short.
                raise HTTPParseError("connection closed before the answer was whole")
            response.feed(data)
            n_received += len(data)
            if not response.headers_complete and n_received > ANSWER_HEAD_BYTES:
                raise HTTPParseError("answer headers longer than the limit")
            if len(response._body_buffer) > self.answer_bytes:
                raise HTTPParseError("answer longer than the limit")
        return response, n_received

    def _give_back(self, connection, response):
        closes = response.should_close() or not response.is_final
        if closes or len(self._idle) >= self.max_idle:
            connection.close()
            return
        self._idle.append(connection)
        self._idle_since_s[connection] = time.monotonic()


@attrs.define(eq=False, repr=False)
class HttpPools:
    """One pool an address, made when first needed.

    Parameters
    ----------
    answer_bytes, traffic, unsent_ms
        As for :class:`HttpPool`.
    options : dict
        Further arguments of :class:`HttpPool`.
    """

    answer_bytes: int = 8_388_608
    traffic: object = None
    unsent_ms: float = 0.0
    options: dict = attrs.Factory(dict)
    _pools: dict = attrs.Factory(dict)

    def at(self, address):
        """Return the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = HttpPool(
                address,
                self.answer_bytes,
                self.traffic,
                self.unsent_ms,
                **self.options,
            )
        return pool


def _forget_unsent(connection, unsent_ms):
    """Guard against a request that arrives long after it was given up on.

    The kernel goes on delivering to a server that is cut off, also for a process that
    has died: the server would run the request when the cut is over and the key has
    another owner. Closing discards what has not left, and the kernel gives up in time.
    """
    connection.setsockopt(
        plain_socket.IPPROTO_TCP, plain_socket.TCP_USER_TIMEOUT, int(unsent_ms)
    )
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)


def _keep_alive(connection):
    """Guard against a connection that goes silent without a reset.

    It shows as an answer that never comes, and neither side would notice. Probes each
    second end it after three unanswered ones.
    """
    connection.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    for option, value in (
        (plain_socket.TCP_KEEPIDLE, 1),
        (plain_socket.TCP_KEEPINTVL, 1),
        (plain_socket.TCP_KEEPCNT, 3),
    ):
        connection.setsockopt(plain_socket.IPPROTO_TCP, option, value)


class _StrictResponse(HTTPResponse):
    """Ends with its first final answer; bytes after that are an error.

    The library goes on with whatever follows as if it were the same answer, so a
    late or forged second one would be handed to the caller in place of the first.
    """

    def __init__(self, method):
        super().__init__(method)
        self.is_final = False

    def _on_message_begin(self):
        if self.is_final:
            raise HTTPProtocolViolationError("bytes after the end of the answer")
        super()._on_message_begin()

    def ends_with_connection(self):
        """Tell whether the answer has no length, so that its end is the stream's."""
        return (
            self.headers_complete
            and self.get("content-length") is None
            and "chunked" not in (self.get("transfer-encoding") or "").lower()
        )

    def _flush_header(self):
        if not self.headers_complete:
            super()._flush_header()
        # Else it is a trailer: what was read as headers must not change after them.

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.get_code() == SWITCHING_PROTOCOLS:
            raise HTTPProtocolViolationError("protocol switch that nobody asked for")
        self.is_final = self.get_code() >= 200


def _receive(connection, deadline_s, is_wanted):
    """Receive some bytes, looking now and then whether they are still wanted."""
    while True:
        remaining_s = _remaining_s(deadline_s)
        if is_wanted is None:
            connection.settimeout(remaining_s)
            return connection.recv(RECEIVE_BYTES)
        connection.settimeout(min(remaining_s, CANCELLATION_CHECK_MS / 1000.0))
        try:
            return connection.recv(RECEIVE_BYTES)
        except TimeoutError:
            if not is_wanted():
                raise AbandonedError("the caller has gone") from None


def _check_echo(response, headers, echoed_headers):
    """Refuse an answer that names another request than the one it should be for."""
    for name, sent in headers:
        lower = name.lower()
        if sent and lower in echoed_headers and response.get(lower, sent) != sent:
            raise HTTPParseError(f"answer names another request in {name}")


def _remaining_s(deadline_s):
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("timed out")
    return remaining_s


def _is_quiet(connection):
    """Tell whether a pooled connection is open and has nothing to read.

    Guards against servers that closed it between two requests and against bytes
    that belong to an earlier answer.
    """
    connection.settimeout(0)
    try:
        connection.recv(1, plain_socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _request_bytes(method, target, host, headers, body):
    if not _TOKEN.match(method):
        raise ValueError("invalid method")
    if not _TARGET.match(target):
        raise ValueError("invalid request target")
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {host}\r\n")
    for name, value in headers:
        if not _TOKEN.match(name) or not _VALUE.match(value):
            raise ValueError(f"invalid header {name!r}")
        lines.append(f"{name}: {value}\r\n")
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body
