"""Reads key, class, deadline and headers of a caller's request."""

import re
import urllib.parse

import attrs

from .errors import RequestError
from .meters import NOT_RUN, UNKNOWN
from .model import CallerClass

__all__ = [
    "COLD_HEADER",
    "DIRECT_HEADER",
    "EXCHANGE_HEADER",
    "OUTCOME_HEADER",
    "Request",
    "caller_response_headers",
    "check_path",
    "class_of",
    "deadline_ms",
    "end_to_end_request_headers",
    "end_to_end_response_headers",
    "key_of",
    "named_by_connection",
    "request_id",
]

INTERNAL_PREFIX = "tarragon-"
OUTCOME_HEADER = "Tarragon-Outcome"
EXCHANGE_HEADER = "Tarragon-Exchange"
DIRECT_HEADER = "Tarragon-Direct"
COLD_HEADER = "Tarragon-Cold"
REQUEST_ID_HEADER = "x-request-id"
TIMEOUT_HEADER = "x-request-timeout-ms"
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# These two headers are set by each hop.
_DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {REQUEST_ID_HEADER, TIMEOUT_HEADER}
_STANDARD_CONNECTION_VALUES = frozenset(("", "keep-alive", "close"))
DEFAULT_CLASS = CallerClass("default", ())

_REQUEST_ID = re.compile(r"[!-~]{1,128}\Z")
_MILLISECONDS = re.compile(r"[0-9]{1,9}\Z")
_DOT_SEGMENT = re.compile(r"/\.{1,2}(/|\Z)")
_ENCODED_SEPARATOR = re.compile(r"%2f|%5c", re.IGNORECASE)


@attrs.define
class Request:
    """A caller's request after parsing and validation.

    Parameters
    ----------
    method, target : str
        The target as the caller sent it.
    headers : list of (str, str)
        End-to-end headers, without those that only this project may set.
    body : bytes
    request_id : str
        For people and logs. It is chosen by the caller, so two callers may use the same
        one: it is never used for lookup or deduplication.
    deadline_at_ms : float
        On this process's clock.
    caller_class : CallerClass
    is_wanted : callable
        Returns False once the caller has disconnected.
    times : RequestTimes
    in_doubt : bool, default=False
        Whether an earlier attempt may have run.
    """

    method: str
    target: str
    headers: list
    body: bytes
    request_id: str
    deadline_at_ms: float
    caller_class: CallerClass
    is_wanted: object
    times: object
    in_doubt: bool = False

    def refusal(self, status, reason, retry_after_s=None, **inputs):
        """Return the error for a caller whose request is not sent, or not sent again.

        The outcome is "not run" only if no earlier attempt may have run. ``inputs`` are
        the values on which the decision is based, for the log.
        """
        if self.in_doubt:
            return RequestError(status, UNKNOWN, reason, inputs=inputs)
        return RequestError(status, NOT_RUN, reason, retry_after_s, inputs)


def class_of(service, method, path):
    """Return the first caller class that matches a request, or the default class.

    Parameters
    ----------
    service : Service
    method, path : str
    """
    subpath = path[len(service.path_prefix) :] or "/"
    for caller_class in service.classes:
        if method in caller_class.methods and subpath.startswith(
            caller_class.path_prefix
        ):
            return caller_class
    return DEFAULT_CLASS


def check_path(path):
    """Reject a path that servers may interpret as a different one.

    Guards against ``/jobs/k1/../k2``, which would be routed to the owner of k1 but
    treated as k2 by a server that resolves dot segments.

    Parameters
    ----------
    path : str
        Without escapes.

    Raises
    ------
    RequestError
        400.
    """
    if "/." in path and _DOT_SEGMENT.search(path):
        raise RequestError(400, NOT_RUN, "dot segments in the path")


def key_of(service, headers, target):
    """Return the key that a request carries.

    Parameters
    ----------
    service : Service
        A divided service.
    headers : list of (str, str)
        Names in lower case.
    target : str

    Raises
    ------
    RequestError
        400 if there is no key or more than one. With several keys, the server might use
        a different one than the router and act for a key that it does not own.
    """
    key_source = service.divided_by
    path, _, query = target.partition("?")
    if key_source.source == "header":
        wanted = key_source.name.lower()
        found = [_decode_header(value) for name, value in headers if name == wanted]
    elif key_source.source == "query":
        fields = urllib.parse.parse_qs(query, keep_blank_values=True)
        found = fields.get(key_source.name, [])
    else:
        found = _path_keys(path, service.path_prefix, int(key_source.name))
    if not found or not found[0]:
        raise RequestError(400, NOT_RUN, "the request carries no key")
    if len(found) > 1:
        raise RequestError(400, NOT_RUN, "the request carries more than one key")
    return found[0]


def request_id(headers):
    """Return the caller's request id, or an empty string.

    Raises
    ------
    RequestError
        400 if it is longer than 128 characters or not visible ASCII.
    """
    for name, value in headers:
        if name == REQUEST_ID_HEADER and value:
            if not _REQUEST_ID.match(value):
                raise RequestError(400, NOT_RUN, "malformed x-request-id")
            return value
    return ""


def deadline_ms(headers, caller_class):
    """Return how long a caller waits at most: its own limit, bounded by its class's.

    Parameters
    ----------
    headers : list of (str, str)
    caller_class : CallerClass

    Raises
    ------
    RequestError
        400 if the caller's own limit is not a number of milliseconds.
    """
    for name, value in headers:
        if name == TIMEOUT_HEADER:
            if not _MILLISECONDS.match(value):
                raise RequestError(400, NOT_RUN, f"malformed {TIMEOUT_HEADER}")
            return min(int(value), caller_class.deadline_ms)
    return caller_class.deadline_ms


def end_to_end_request_headers(headers):
    """Return the headers of a request that are forwarded to the server.

    Left out are hop-by-hop headers, those that the sender's ``Connection`` header names
    and all that only this project may set: a server would accept a caller's own
    ``Tarragon-Token`` as a fencing token.

    Parameters
    ----------
    headers : list of (str, str)
        Names in lower case, without underscores.
    """
    dropped = _DROPPED_REQUEST_HEADERS | named_by_connection(headers)
    return [
        item
        for item in headers
        if item[0] not in dropped and not item[0].startswith(INTERNAL_PREFIX)
    ]


def caller_response_headers(response, sent_request_id):
    """Return the headers of a server's response that are forwarded to the caller.

    Parameters
    ----------
    response : Response
    sent_request_id : str
        Added if the server did not echo it.
    """
    kept, echoed = [], False
    for name, value in end_to_end_response_headers(response):
        lower_name = name.lower().replace("_", "-")
        if lower_name.startswith(INTERNAL_PREFIX):
            continue
        echoed = echoed or lower_name == REQUEST_ID_HEADER
        kept.append((name, value))
    if not echoed:
        kept.append(("X-Request-Id", sent_request_id))
    return kept


def end_to_end_response_headers(response):
    """Return the headers of a response without hop-by-hop headers.

    Parameters
    ----------
    response : Response
    """
    dropped = HOP_BY_HOP_HEADERS
    if response.header("Connection"):
        lower = [(name.lower(), value) for name, value in response.headers]
        dropped = HOP_BY_HOP_HEADERS | named_by_connection(lower)
    return [
        (name, value)
        for name, value in response.headers
        if name.lower().replace("_", "-") not in dropped
    ]


def named_by_connection(headers):
    """Return the header names that a ``Connection`` header declares hop-by-hop."""
    named = set()
    for name, value in headers:
        if name == "connection" and value.lower() not in _STANDARD_CONNECTION_VALUES:
            named.update(option.strip().lower() for option in value.split(","))
    return named


def _path_keys(path, prefix, position):
    """Return the path's part at a position after the prefix, as a list of at most one.

    Raises
    ------
    RequestError
        400 if the path contains an encoded separator: servers may count it as one.
    """
    if _ENCODED_SEPARATOR.search(path):
        raise RequestError(400, NOT_RUN, "encoded separator in the path")
    # The caller may have escaped the prefix differently than it is declared.
    rest = urllib.parse.unquote(path)[len(prefix) :]
    parts = rest.removeprefix("/").split("/")
    return parts[position : position + 1]


def _decode_header(value):
    """Return a header value as the text that its bytes encode."""
    return (
        value if value.isascii() else value.encode("latin-1").decode(errors="replace")
    )
