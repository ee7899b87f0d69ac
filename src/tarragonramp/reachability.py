"""Tracks whether a backend server responds, as one entry sees it, without I/O."""

import attrs

__all__ = ["Reachability"]

PROBE_AFTER_MS = 250.0
"""How long the oldest request may be unanswered, with no other response since, before
the server is probed.

If a server is paused or cut off, each caller that requests one of its keys would wait
for its whole deadline, and a claim would end with an unknown outcome instead of being
rejected as not run. A missing response alone rejects no request, because a long request
looks the same; it only triggers a probe. A shorter time would probe servers that are
merely busy; a longer one would delay the rejections.
"""


@attrs.define(eq=False)
class Reachability:
    """Requests in flight at one server, and the result of probing it.

    Parameters
    ----------
    down : bool
        Whether the latest probe was unanswered; nothing is sent meanwhile.
    """

    down: bool = False
    _probing: bool = False
    _answered_ms: float = float("-inf")
    _sent_ms: dict[int, float] = attrs.Factory(dict)
    _last_number: int = 0

    def request_sent(self, now_ms):
        """Record a request being sent; return its number for :meth:`request_ended`."""
        self._last_number += 1
        self._sent_ms[self._last_number] = now_ms
        return self._last_number

    def request_ended(self, number, answered, now_ms):
        """Record the end of a request.

        Parameters
        ----------
        number : int
        answered : bool
            Whether the server sent any response.
        now_ms : float
        """
        del self._sent_ms[number]
        if answered:
            self._answered_ms = now_ms

    def should_probe(self, now_ms):
        """Tell whether to start probing; true once for each period of silence."""
        if self._probing or not self._sent_ms:
            return False
        oldest_ms = next(iter(self._sent_ms.values()))
        silent_since_ms = max(oldest_ms, self._answered_ms)
        if now_ms - silent_since_ms < PROBE_AFTER_MS:
            return False
        self._probing = True
        return True

    def probe_ended(self, answered, now_ms):
        """Record the result of a probe; probing continues until this returns True."""
        self.down = not answered
        if answered:
            self._probing = False
            self._answered_ms = now_ms
        return answered
