"""Pooled HTTP client that reports whether any byte of a request was sent.

The HTTP library's own client retries idempotent requests by itself and does not tell
whether bytes were sent. A router needs to control both, so only the library's response
parser is used.
"""

import ipaddress
import math
import re
import socket as plain_socket
import struct
import time
import weakref

import attrs
import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ..echoes import EchoHistory, ResponseMatch
from ..errors import (
    AbandonedError,
    AnswerRevokedError,
    KernelError,
    NoConnectionError,
    NotSentError,
    SendRevokedError,
    UnansweredError,
)
from ..meters import kind_of
from .abandonment import AbandonmentWatch
from .logs import log_event
from .optional import optional_step
from .parser import ResponseParser
from .response_memory import RECEIVE_BUFFER_BYTES, ResponseMemory

__all__ = [
    "Response",
    "HttpPool",
    "HttpPools",
    "check_address",
    "check_bounded_sends",
    "split_address",
]

RECEIVE_BYTES = 16_384
MAX_TURN_BYTES, PAUSE_MS = 65_536, 1.0
"""Bytes of a response that are parsed before other greenlets get their turn, and the
pause for them. Without a timer, gevent would not let those run that wait for one."""

MAX_JOINED_BYTES = 16_384
"""Bodies up to this size are sent in one segment with their head."""

MAX_IDLE_CONNECTIONS = 64
MAX_RESPONSE_HEAD_BYTES = 65_536
# Bytes beside the body that a response may have: its heads and trailers, and for each
# byte of the body the frame of a chunk of one byte.
MAX_FRAMING_BYTES, FRAMING_BYTES_PER_BODY_BYTE = 4 * MAX_RESPONSE_HEAD_BYTES, 8
MIN_ERROR_STATUS = 400

STATED_TIMEOUT_SHARE = 0.75
"""Fraction of the idle timeout that a server states for which a connection is reused. A
request that is sent as the server closes it is lost."""

_STATED_TIMEOUT = re.compile(
    r"(?:^|[\s,;])timeout=([0-9]{1,6})(?![0-9])", re.IGNORECASE
)

# Servers that know these headers echo them. A value other than the one sent means that
# the response belongs to another request.
ECHOED_HEADERS = ("x-request-id", "tarragon-exchange")

_watch = AbandonmentWatch()

_PORT, N_PORTS = re.compile(r"[0-9]{1,5}\Z", re.ASCII), 65_536
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
_TARGET = re.compile(r"/[^\x00-\x20\x7f]*\Z")


@attrs.frozen
class Response:
    """A complete HTTP response.

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
        """Return the first value of a header; the name is case-insensitive.

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
    """Split ``ip:port`` into a ``(host, port)`` pair for the socket module."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_address(address):
    """Raise ValueError unless an address is ``ip:port`` of a machine.

    Any other host would be looked up by name, and port 0 or a longer number may be
    taken for another port.
    """
    host, _, port = address.rpartition(":")
    if not _PORT.match(port) or not 0 < int(port) < N_PORTS:
        raise ValueError(f"address {address!r:.200} has no valid port")
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(f"address {address!r:.200} is of no machine")


@attrs.define(eq=False, repr=False)
class HttpPool:
    """Pool of connections to one address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    answer_bytes : int
        Longest response body accepted.
    traffic : TrafficMeter, optional
        Counts the exchanges of a pool that carries control traffic.
    user_timeout_ms : float, default=0.0
        How long the kernel may retransmit unacknowledged data, also after the
        connection was closed (TCP_USER_TIMEOUT); 0 for the kernel's default. If set,
        closing a connection also discards its unsent data.
    echoed_headers : tuple of str
        Lower-case names of headers that, if present in a response, must have the value
        that was sent. They tell extra responses, which are put aside.
    requires_echo : bool
        Whether servers return these headers in each response to a request that has
        them. A request without them gets a connection of its own, as nothing but its
        place identifies the response.
    drops_trailing : bool
        Whether bytes behind a complete response are dropped, and its connection closed,
        also if it has no id. Otherwise they make such a response unusable.
    max_idle : int
        Maximum number of idle connections kept.
    max_idle_ms : float
        A connection that was idle for longer is closed instead of reused, because the
        server may be about to close it. 0 for no limit. A shorter time that the server
        states with ``Keep-Alive`` goes first.
    takes_unframed : bool
        Whether to accept close-delimited responses (no length, ended by the close of
        the connection). One that ends with a reset is never accepted.
    keepalive : bool
        Whether to enable TCP keep-alive, so that a connection whose peer has silently
        disappeared fails after a few seconds.
    connect_ms : float
        Longest time to open a connection; 0 for the timeout of the exchange.
    holdings : HoldingTable, optional
        Accounts for the memory of responses, and breaks off exchanges if there is none
        left.
    """

    address: str
    answer_bytes: int = 8_388_608
    traffic: object = None
    user_timeout_ms: float = 0.0
    echoed_headers: tuple = ECHOED_HEADERS
    requires_echo: bool = False
    drops_trailing: bool = False
    max_idle: int = MAX_IDLE_CONNECTIONS
    max_idle_ms: float = 0.0
    takes_unframed: bool = False
    keepalive: bool = False
    connect_ms: float = 0.0
    holdings: object = None
    _idle: list = attrs.Factory(list)
    _idle_since_s: dict = attrs.Factory(dict)
    _idle_until_s: dict = attrs.Factory(dict)
    _tags: object = attrs.Factory(weakref.WeakKeyDictionary)
    _histories: object = attrs.Factory(weakref.WeakKeyDictionary)

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
        new_connection=False,
        kept_after=None,
    ) -> Result:
        """Send a request once and read the complete response.

        Parameters
        ----------
        method, target : str
        headers : list of (str, str)
            Without framing headers, which are set here. A connection is not used if
            the copy of an earlier response could pass for the response to these.
        body : bytes
        timeout_ms : float
            For the whole exchange.
        is_wanted : callable, optional
            Returns whether the response is still needed; polled while waiting for it.
            Once it returns False the connection is closed, which tells the server to
            stop.
        reuse_only : bool, default=False
            Whether to fail rather than open a new connection.
        tag : hashable, optional
            Identifies what the request is about. With ``reuse_only``, only a connection
            that has carried a request with this tag is used: any other one may lead to
            a later process at the same address.
        may_send : callable, optional
            Returns whether the request may still be sent; called immediately before
            the first byte. The sender's right may expire while this process is paused
            between the decision to send and the sending.
        new_connection : bool, default=False
            Whether to open a connection although an idle one may be open.
        kept_after : collection of int, optional
            Statuses after which the connection is kept for other requests; by default
            any. A late copy of the response would be taken for that of the next one.

        Returns
        -------
        response : Success of Response, or Failure of ExchangeError
            NotSentError if no byte was sent, and its subclasses NoConnectionError if
            ``reuse_only`` found no open connection and SendRevokedError if ``may_send``
            returned False; AbandonedError if ``is_wanted``
            returned False; AnswerRevokedError if the response was broken off for its
            memory; otherwise UnansweredError.
        """
        # Computed first, so that a pause of this process at any later point counts
        # against the timeout.
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        try:
            parts = _request_parts(method, target, self.address, headers, body)
        except ValueError as error:
            return Failure(NotSentError(str(error)))
        try:
            connection, sent = None, self._echoed_part(headers)
            if not new_connection and (sent or not self.requires_echo):
                connection = self._acquire_idle(tag if reuse_only else None, sent)
            if connection is None and reuse_only:
                return Failure(NoConnectionError(f"{self.address}: no open connection"))
            connection = connection or self._open(deadline_s)
        except (OSError, UnicodeError) as error:
            # A host that is not an IP address may not even be a valid name.
            return Failure(NotSentError(f"{self.address}: {error}"))
        if may_send is not None and not may_send():
            connection.close()
            reason = f"{self.address}: right to send has expired"
            return Failure(SendRevokedError(reason))
        if tag is not None:
            self._tags.setdefault(connection, set()).add(tag)
        history = self._histories.setdefault(connection, EchoHistory())
        parser = ResponseParser(
            method, self._extra_check(history, sent), self.drops_trailing
        )
        try:
            for part in parts:
                connection.settimeout(_remaining_s(deadline_s))
                connection.sendall(part)
            if self.traffic is not None:
                self.traffic.sent(kind_of(method, target), sum(map(len, parts)))
            with ResponseMemory(
                self.holdings, self.address, connection, deadline_s
            ) as memory:
                n_received = self._read(
                    connection, parser, deadline_s, is_wanted, memory
                )
        except (AbandonedError, AnswerRevokedError) as error:
            connection.close()
            # Its traceback would keep the response until the next garbage collection.
            return Failure(error.with_traceback(None))
        except (OSError, HTTPParseError) as error:
            connection.close()
            return Failure(UnansweredError(f"{self.address}: {error}"))
        except BaseException:
            # The greenlet is being killed or timed out from outside. The response may
            # still arrive, and the connection's next request must not receive it.
            connection.close()
            raise
        if self.traffic is not None:
            self.traffic.received(kind_of(method, target), n_received)
        history.record(parser.echoed)
        is_kept = kept_after is None or parser.status_code in kept_after
        if sent and not parser.is_identified:
            # A late copy could not be told from the next response. It is worst for one
            # that says that a request did not run.
            is_error = parser.status_code >= MIN_ERROR_STATUS
            is_kept = is_kept and not (self.requires_echo or is_error)
        self._release(connection, parser, is_kept)
        response = Response(
            parser.status_code, tuple(parser.items()), bytes(parser._body_buffer)
        )
        return Success(response)

    def connect_once(self, timeout_ms) -> Result:
        """Open a connection and close it, to find out whether a process listens.

        Parameters
        ----------
        timeout_ms : float

        Returns
        -------
        result : Success of None, or Failure of NotSentError
        """
        try:
            self._open(time.monotonic() + timeout_ms / 1000.0).close()
        except (OSError, UnicodeError) as error:
            return Failure(NotSentError(f"{self.address}: {error}"))
        return Success(None)

    def has_open_idle(self):
        """Return whether the idle connection that is used next is still open.

        If the server has closed it, all idle connections are closed, because a new
        process may be running at the address.
        """
        if self._idle and _is_open_and_empty(self._idle[-1]):
            return True
        self.close()
        return False

    def has_closed_idle(self):
        """Return whether the server has closed the idle connection used next."""
        return bool(self._idle) and not self.has_open_idle()

    def close(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
        self._idle_since_s.clear()
        self._idle_until_s.clear()

    def _echoed_part(self, headers):
        """Return the echoed headers as a frozenset of lower-case names and values.

        The values of a repeated header are joined, and match no single value.
        """
        found = {}
        for name, value in headers:
            lower = name.lower()
            if value and lower in self.echoed_headers:
                found[lower] = f"{found[lower]}, {value}" if lower in found else value
        return frozenset(found.items())

    def _extra_check(self, history, sent):
        """Return a function that tells whether a response is an extra one.

        It raises HTTPParseError if the response belongs to no known request.
        """

        def is_extra(parser):
            echoed = parser.echoed = self._echoed_part(parser.items())
            parser.is_identified = not sent.isdisjoint(echoed)
            match = history.match(echoed, sent, self.requires_echo)
            if match is ResponseMatch.FOREIGN:
                raise HTTPParseError("response belongs to another request")
            if match is ResponseMatch.EXTRA:
                log_event(
                    "extra-response",
                    address=self.address,
                    status=parser.status_code,
                    id=_joined_values(echoed),
                    awaited=_joined_values(sent),
                )
            return match is ResponseMatch.EXTRA

        return is_extra

    def _acquire_idle(self, tag, sent):
        """Remove and return an open idle connection, or None.

        With a tag, only a connection that has carried this tag; never one on which the
        copy of an earlier response would match the headers ``sent``.
        """
        oldest_s = time.monotonic() - self.max_idle_ms / 1000.0
        for connection in reversed(self._idle.copy()):
            if tag is not None and tag not in self._tags.get(connection, ()):
                continue
            if sent and self._histories[connection].may_confuse(sent):
                continue
            self._idle.remove(connection)
            since_s = self._idle_since_s.pop(connection, 0.0)
            until_s = self._idle_until_s.pop(connection, math.inf)
            is_stale = self.max_idle_ms and since_s < oldest_s
            is_stale = is_stale or time.monotonic() > until_s
            if not is_stale and _is_open_and_empty(connection):
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
        with optional_step("server-connection-nodelay"):
            connection.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        if self.user_timeout_ms:
            _set_user_timeout(connection, self.user_timeout_ms)
        if self.keepalive:
            with optional_step("server-connection-keepalive"):
                _enable_keepalive(connection)
        if self.holdings is not None:
            with optional_step("server-connection-buffer"):
                connection.setsockopt(
                    plain_socket.SOL_SOCKET,
                    plain_socket.SO_RCVBUF,
                    RECEIVE_BUFFER_BYTES,
                )
        return connection

    def _read(self, connection, parser, deadline_s, is_wanted, memory):
        """Feed a parser until the response is complete; return the bytes received."""
        n_received = n_head = n_turn = 0
        while not parser.is_final:
            if n_turn >= MAX_TURN_BYTES:
                # A receive does not switch greenlets while bytes are there.
                gevent.sleep(PAUSE_MS / 1000.0)
                n_turn = 0
                # Otherwise asked only while no bytes are there.
                if is_wanted is not None and not is_wanted():
                    raise AbandonedError("caller disconnected")
            data = _receive(connection, deadline_s, is_wanted)
            memory.check()
            if not data:
                if self.takes_unframed and parser.end_by_close():
                    break
                # Close-delimited responses are refused as well: they cannot be
                # distinguished from truncated ones.
                raise HTTPParseError(
                    "connection closed before the response was complete"
                )
            parser.feed(data)
            n_received += len(data)
            n_turn += len(data)
            n_head = 0 if parser.headers_complete else n_head + len(data)
            if n_head > MAX_RESPONSE_HEAD_BYTES:
                raise HTTPParseError("response headers longer than the limit")
            n_body = len(parser._body_buffer) + parser.n_extra_bytes
            if n_body > self.answer_bytes:
                raise HTTPParseError("response body longer than the limit")
            max_framing = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * n_body
            if n_received - n_body > max_framing:
                raise HTTPParseError("framing of the response longer than the limit")
            memory.record(len(parser._body_buffer) + n_head)
        return n_received

    def _release(self, connection, parser, is_kept):
        closes = not is_kept or parser.should_close() or not parser.is_final
        if closes or len(self._idle) >= self.max_idle:
            connection.close()
            return
        now_s = time.monotonic()
        self._idle.append(connection)
        self._idle_since_s[connection] = now_s
        stated_s = _stated_timeout_s(parser)
        if stated_s is not None:
            self._idle_until_s[connection] = now_s + STATED_TIMEOUT_SHARE * stated_s


def _stated_timeout_s(parser):
    """Return the idle timeout that a response states; None if it states none."""
    for name, value in parser.items():
        if name.lower() == "keep-alive" and (found := _STATED_TIMEOUT.search(value)):
            return float(found[1])
    return None


@attrs.define(eq=False, repr=False)
class HttpPools:
    """One pool per address and user, created on first use.

    Parameters
    ----------
    answer_bytes, traffic, user_timeout_ms
        As for :class:`HttpPool`.
    options : dict
        Further keyword arguments of :class:`HttpPool`.
    """

    answer_bytes: int = 8_388_608
    traffic: object = None
    user_timeout_ms: float = 0.0
    options: dict = attrs.Factory(dict)
    _pools: dict = attrs.Factory(dict)

    def at(self, address, user=""):
        """Return the pool of an address, with connections that only ``user`` shares."""
        pool = self._pools.get((address, user))
        if pool is None:
            pool = self._pools[address, user] = HttpPool(
                address,
                self.answer_bytes,
                self.traffic,
                self.user_timeout_ms,
                **self.options,
            )
        return pool

    def discard(self, address, user=""):
        """Close a pool and forget it."""
        pool = self._pools.pop((address, user), None)
        if pool is not None:
            pool.close()


def check_bounded_sends():
    """Check that the kernel lets a connection's unsent data be discarded in time.

    Raises
    ------
    KernelError
        If it refuses. A request could then be delivered long after its timeout.
    """
    with plain_socket.socket(plain_socket.AF_INET, plain_socket.SOCK_STREAM) as probe:
        try:
            _set_user_timeout(probe, 1000.0)
        except OSError as error:
            raise KernelError(
                f"TCP_USER_TIMEOUT and SO_LINGER are needed: {error.strerror}"
            ) from error


def _set_user_timeout(connection, user_timeout_ms):
    """Keep the kernel from delivering a request long after it has timed out.

    The kernel keeps retransmitting to an unreachable server even after the sending
    process has died. Once the network recovers, the server would run the request
    although its key has another owner by then. TCP_USER_TIMEOUT bounds retransmission,
    and a zero linger time discards unsent data on close.
    """
    connection.setsockopt(
        plain_socket.IPPROTO_TCP, plain_socket.TCP_USER_TIMEOUT, int(user_timeout_ms)
    )
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)


def _enable_keepalive(connection):
    """Detect connections whose peer disappears without a reset.

    Without probes neither side would notice, and a pending response would never arrive.
    Probes are sent every second; three unanswered ones close the connection, or fewer
    if TCP_USER_TIMEOUT is set and passes first.
    """
    connection.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    for option, value in (
        (plain_socket.TCP_KEEPIDLE, 1),
        (plain_socket.TCP_KEEPINTVL, 1),
        (plain_socket.TCP_KEEPCNT, 3),
    ):
        connection.setsockopt(plain_socket.IPPROTO_TCP, option, value)


def _receive(connection, deadline_s, is_wanted):
    """Receive bytes while the response is wanted.

    Raises
    ------
    AbandonedError
        Once ``is_wanted`` returns False.
    TimeoutError
        At the deadline.
    """
    connection.settimeout(_remaining_s(deadline_s))
    if is_wanted is None:
        return connection.recv(RECEIVE_BYTES)
    return _watch.receive(connection, RECEIVE_BYTES, is_wanted)


def _joined_values(id_headers):
    return ",".join(value for _, value in sorted(id_headers)) or "none"


def _remaining_s(deadline_s):
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("timed out")
    return remaining_s


def _is_open_and_empty(connection):
    """Return whether a pooled connection is open and has no unread bytes.

    A closed connection must not be reused, nor one with bytes that belong to an earlier
    response.
    """
    connection.settimeout(0)
    try:
        connection.recv(1, plain_socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _request_parts(method, target, host, headers, body):
    """Return a request as the parts that are sent, without a copy of a long body."""
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
    head = "".join(lines).encode("latin-1")
    return (head + body,) if len(body) <= MAX_JOINED_BYTES else (head, body)
