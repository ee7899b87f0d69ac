"""Terms: the one mechanism for roles that a single daemon may hold.

The platform decides who holds a term, by conditional updates. Between its
decisions the named successor's word "I have not taken over" prolongs the
holder's right, so that a platform outage stops nobody. This is neither a
consensus group nor a store.
"""

import attrs

from .model import Term

__all__ = ["HeldTerm", "Takeover", "may_claim"]

RIGHT_MARGIN = 1.002
"""Allows for two clocks whose rates differ by 2 in 1000."""


@attrs.define
class HeldTerm:
    """A term as its holder sees it.

    Parameters
    ----------
    role : str
        Name of the term's object.
    number : int
    version : int
        Platform version of the object that shows this holder.
    successor : str
        Identity of the daemon whose word prolongs the right; empty for nobody,
        then the right lasts until it is given up.
    right_ms : float
        How long a right lasts from the sending of the request that prolonged it.
    right_ends_ms : float
        On the holder's clock.
    """

    role: str
    number: int
    version: int
    successor: str
    right_ms: float
    right_ends_ms: float = 0.0
    renaming_to: str | None = None
    _words_ms: dict[str, float] = attrs.Factory(dict)

    def may_act(self, now_ms):
        """Tell whether the holder may act.

        Parameters
        ----------
        now_ms : float
            Read after the last wait and right before acting: a process that was
            paused in between finds its right gone.
        """
        if not self.successor and self.renaming_to is None:
            return True
        return now_ms < self.right_ends_ms

    def renewed_by_platform(self, version, successor, sent_ms):
        """Note that a conditional update showed the number still current.

        Parameters
        ----------
        version : int
            Of the object after the update.
        successor : str
            As the update named it.
        sent_ms : float
            Before the update was sent: a paused holder that counted from the
            answer would act on a right that is long over.
        """
        self.version = version
        self.successor = successor
        self.renaming_to = None
        self._prolong(sent_ms)

    def renewed_by_successor(self, identity, sent_ms):
        """Note a daemon's word that it has not taken over.

        While a rename is in doubt the old and the new successor may each believe
        to be the named one, so the earlier of their two words counts.
        """
        self._words_ms[identity] = max(sent_ms, self._words_ms.get(identity, sent_ms))
        needed = {self.successor}
        if self.renaming_to is not None:
            needed.add(self.renaming_to)
        needed.discard("")
        if not needed or not needed <= self._words_ms.keys():
            return
        self._prolong(min(self._words_ms[name] for name in needed))

    def rename_started(self, successor):
        """Note, before sending it, an update that names another successor."""
        if not self.successor and self.renaming_to is None:
            # The unlimited right ends with the first update that names somebody.
            self.right_ends_ms = 0.0
        self.renaming_to = successor

    def _prolong(self, sent_ms):
        self.right_ends_ms = max(self.right_ends_ms, sent_ms + self.right_ms)


@attrs.define
class Takeover:
    """A named successor's way to a silent holder's term.

    Parameters
    ----------
    role : str
    began_ms : float
        From here on no word is given to the old holder any more.
    last_word_ms : float
        When the latest word was given to the old holder; its right was counted
        from a moment before this.
    right_ms : float
    """

    role: str
    began_ms: float
    last_word_ms: float
    right_ms: float

    def old_right_ends_ms(self, write_answered_ms):
        """Return when the old holder's right is surely over, on the taker's clock.

        Parameters
        ----------
        write_answered_ms : float
            When the platform's answer to the taking update arrived. The old
            holder's own last update came before it.
        """
        latest_ms = max(self.last_word_ms, write_answered_ms)
        return latest_ms + self.right_ms * RIGHT_MARGIN


def may_claim(term, identity, departed, silent):
    """Decide whether a daemon may try to take a term.

    Parameters
    ----------
    term : Term or None
        As last seen; a conditional update checks that it still is current.
    identity : str
        Of the daemon that asks.
    departed : callable
        ``departed(identity)`` is True if that process is known to be gone.
    silent : callable
        ``silent(identity)`` is True if it has not been heard for the set time.

    Returns
    -------
    allowed : bool
    """
    if term is None or not term.holder:
        return True
    if term.holder == identity:
        return False
    if departed(term.holder):
        return True
    return term.successor == identity and silent(term.holder)


def next_term(term, holder, successor, request_id):
    """Return the term that a taking update writes."""
    number = 0 if term is None else term.number
    return Term(number + 1, holder, successor, request_id)
