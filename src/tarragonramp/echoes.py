"""Matches responses to requests by the headers that servers return as they were sent.

A faulty server may send a response once more, late, where the next one is expected. Its
place on the connection does not tell whose response it is; its id does.
"""

import collections

import attrs

__all__ = ["EchoHistory"]

N_REMEMBERED_RESPONSES = 8
"""Responses remembered by connection. A late copy follows within a few."""


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
