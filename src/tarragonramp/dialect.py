"""Interface between the request path and the header names of a platform."""

from typing import Protocol

import attrs

from .request import HOP_BY_HOP_HEADERS, named_by_connection

__all__ = ["ResponseFacts", "Dialect", "RequestFacts", "end_to_end_headers"]

_ROUTING_HEADERS = HOP_BY_HOP_HEADERS - {"host"}


@attrs.frozen
class RequestFacts:
    """Data parsed from the headers of a caller's request.

    Parameters
    ----------
    request_id, host : str
    caller_timeout_ms : float or None
        How long the caller waits for a response; None if it does not say.
    key : int or None
        Key of the request in a divided service; None if it has none.
    api_key : str or None
        Secret that the caller presents; None if there is none, or a malformed one.
    """

    request_id: str
    host: str
    caller_timeout_ms: float | None = None
    key: int | None = None
    api_key: str | None = attrs.field(default=None, repr=False)


@attrs.frozen
class ResponseFacts:
    """Data parsed from the headers of a server's response.

    Parameters
    ----------
    not_run : bool
        Whether the server guarantees that it did not and will not run the request.
    implies_not_run : bool
        Whether callers take the response's status for such a guarantee.
    misdirected : bool
        Whether the request was meant for another server, or for a key that the server
        does not own.
    genuine : bool
        Whether the response carries the header that identifies the server's own
        responses.
    load : LoadReport or None
    limit_per_s : float or None
        Requests a second that the server takes from all daemons together; None if it
        names no limit, or one that is malformed.
    limit_text : str or None
        The limit as the server wrote it; None if it names none.
    backoff_ms : float or None
        How long the server wants no further requests from this daemon; None if it does
        not say, or in a malformed way.
    backoff_text : str or None
        The pause as the server wrote it; None if it asks for none.
    leaving : bool or None
        Whether the server announces that it is about to stop; None if malformed.
    leaving_text : str or None
        The announcement as the server wrote it; None if there is none.
    server_name : str
        In answers to health checks, the server that answers; empty if not given.
    cold_ms : float or None
        In answers to health checks, what is left of a cold start.
    unknown_headers : tuple of str
        Lower-case names of headers that the dialect does not know.
    """

    not_run: bool = False
    implies_not_run: bool = False
    misdirected: bool = False
    genuine: bool = True
    load: object = None
    limit_per_s: float | None = None
    limit_text: str | None = None
    backoff_ms: float | None = None
    backoff_text: str | None = None
    leaving: bool | None = False
    leaving_text: str | None = None
    server_name: str = ""
    cold_ms: float | None = None
    unknown_headers: tuple = ()


class Dialect(Protocol):
    """Parses and builds the headers that callers and servers use.

    ``request_id_header`` is the lower-case name of the header with a request's id.
    ``echoed_headers`` are the lower-case names of request headers that, if present in a
    response, have the value that was sent. ``requires_echo`` tells whether servers
    return these headers in each response to a request that has them.
    ``secret_headers`` are the lower-case names of headers that stay with the daemon
    that a caller is connected to.
    """

    request_id_header: str
    echoed_headers: tuple
    requires_echo: bool
    secret_headers: frozenset

    def read_request(self, headers):
        """Parse a caller's headers into RequestFacts; ValueError if malformed."""

    def server_headers(self, headers, server, left_ms, team=None):
        """Return the headers to send to a server with a timeout of ``left_ms``.

        If callers need API keys, ``team`` is the CallerTeam to name to the server.
        """

    def read_response(self, response):
        """Parse the headers of a server's response into ResponseFacts."""

    def refusal_headers(self, request_id, retry_after_s):
        """Return the headers of a response that the router generates itself."""


def end_to_end_headers(headers, dropped=frozenset()):
    """Return the end-to-end headers, including the caller's ``Host``.

    Removes hop-by-hop headers and those that the sender's ``Connection`` header lists.

    Parameters
    ----------
    headers : list of (str, str)
        Names in lower case.
    dropped : frozenset of str
        Names of further headers to remove.
    """
    excluded = _ROUTING_HEADERS | dropped | named_by_connection(headers)
    return [item for item in headers if item[0] not in excluded]
