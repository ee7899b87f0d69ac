"""Whether a backend server answers at all, as one entry sees it; without I/O."""

import attrs

__all__ = ["Reachability"]

PROBE_AFTER_MS = 250.0
"""How long the oldest request may be unanswered, with no other answer since.

Load: a server that is frozen or cut off, and callers who keep asking for its keys. Harm
prevented: each of them waits for its whole deadline, and a claim ends with an unknown
outcome that could have been refused as not run. Suspicion alone refuses nobody, since
long work looks the same; it only asks for a probe. Shorter would probe servers that are
merely busy; longer adds to the time until callers are told.
"""


@attrs.define(eq=False)
class Reachability:
    """Requests under way at one server, and what a probe found.

    Parameters
    ----------
    down : bool
        Whether the latest probe went unanswered: nothing is sent meanwhile.
    """

    down: bool = False
    _probing: bool = False
    _answered_ms: float = float("-inf")
    _sent_ms: dict[int, float] = attrs.Factory(dict)
    _last_number: int = 0

    def sent(self, now_ms):
        """Note a request that leaves; return what :meth:`ended` wants."""
        self._last_number += 1
        self._sent_ms[self._last_number] = now_ms
        return self._last_number

    def ended(self, number, answered, now_ms):
        """Note the end of a request.

        Parameters
        ----------
        number : int
        answered : bool
            Whether the server said anything at all.
        now_ms : float
        """
        del self._sent_ms[number]
        if answered:
            self._answered_ms = now_ms

    def should_probe(self, now_ms):
        """Tell whether to begin probing; true once for each suspicion."""
        if self._probing or not self._sent_ms:
            return False
        oldest_ms = next(iter(self._sent_ms.values()))
        silent_since_ms = max(oldest_ms, self._answered_ms)
        if now_ms - silent_since_ms < PROBE_AFTER_MS:
            return False
        self._probing = True
        return True

    def probed(self, answered, now_ms):
        """Note the outcome of a probe; probing goes on until this returns True."""
        self.down = not answered
        if answered:
            self._probing = False
            self._answered_ms = now_ms
        return answered
