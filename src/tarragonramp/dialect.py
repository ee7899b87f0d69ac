"""What the request path reads from messages, whatever their headers are called."""

from typing import Protocol

import attrs

from .request import HOP_HEADERS, named_by_connection

__all__ = ["AnswerFacts", "Dialect", "RequestFacts", "end_to_end_headers"]

_ROUTING_HEADERS = HOP_HEADERS - {"host"}


@attrs.frozen
class RequestFacts:
    """What a caller says of its request.

    Parameters
    ----------
    request_id, host : str
    patience_ms : float or None
        How long the caller waits.
    key : int or None
        The key that the request is about.
    """

    request_id: str
    host: str
    patience_ms: float | None = None
    key: int | None = None


@attrs.frozen
class AnswerFacts:
    """What a server says with its answer.

    Parameters
    ----------
    not_run : bool
        The server's word that the request did not run and never will.
    misdirected : bool
        It was not for this server, or not for a key that it holds.
    genuine : bool
        Whether the answer bears the mark that a server's own answers bear.
    load : LoadReport or None
    """

    not_run: bool = False
    misdirected: bool = False
    genuine: bool = True
    load: object = None


class Dialect(Protocol):
    """How callers and servers write these facts."""

    echoed_headers: tuple

    def read_request(self, headers):
        """Return the RequestFacts of a caller's headers; ValueError if malformed."""

    def server_headers(self, headers, server, left_ms):
        """Return the headers for a server that has ``left_ms`` to answer."""

    def read_answer(self, answer):
        """Return the AnswerFacts of an Answer."""

    def refusal_headers(self, request_id, retry_after_s):
        """Return the headers of an answer of the router's own."""


def end_to_end_headers(headers, dropped=frozenset()):
    """Return the headers that go on, the caller's host among them.

    Leaves out those for one hop, and those that the sender's ``Connection`` names.

    Parameters
    ----------
    headers : list of (str, str)
        Names in lower case.
    dropped : frozenset of str
        Further names to leave out.
    """
    out = _ROUTING_HEADERS | dropped | named_by_connection(headers)
    return [item for item in headers if item[0] not in out]
