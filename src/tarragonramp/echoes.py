"""Matches responses to requests by the headers that servers return as they were sent.

A faulty server may send a response once more, late, where the next one is expected. Its
place on the connection does not tell whose response it is; its id does.
"""

import collections
import enum

import attrs

__all__ = ["EchoHistory", "ResponseMatch"]

N_REMEMBERED_RESPONSES = 8
"""Responses remembered by connection. A late copy follows within a few."""


class ResponseMatch(enum.Enum):
    """Whose response has arrived on a connection."""

    OWN = "own"
    """That of the request just sent."""

    EXTRA = "extra"
    """Sent in addition to the responses that were due; another one follows."""

    FOREIGN = "foreign"
    """That of a request which this connection is not known to have carried."""


@attrs.define
class EchoHistory:
    """The ids returned by the latest responses on one connection.

    An id is a frozenset of (str, str): lower-case names and values of echoed headers.
    """

    _past: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=N_REMEMBERED_RESPONSES)
    )

    def record(self, echoed):
        """Remember the id of a response; it is empty for a response without one."""
        self._past.append(echoed)

    def may_confuse(self, sent):
        """Return whether a copy of an earlier response would match a request.

        Parameters
        ----------
        sent : frozenset of (str, str)
            Echoed headers of the request.
        """
        return any(echoed and echoed <= sent for echoed in self._past)

    def match(self, echoed, sent, is_required):
        """Return whose response has arrived.

        Parameters
        ----------
        echoed, sent : frozenset of (str, str)
            Echoed headers of the response, and of the request just sent.
        is_required : bool
            Whether each response to a request with an id returns it. On a connection
            that has been used, one without an id is then an extra one.
        """
        sent_values = dict(sent)
        if any(sent_values.get(name, value) != value for name, value in echoed):
            is_known = echoed in self._past
            return ResponseMatch.EXTRA if is_known else ResponseMatch.FOREIGN
        if is_required and sent and not echoed and self._past:
            return ResponseMatch.EXTRA
        return ResponseMatch.OWN
