"""Which server a request about a key goes to, also while the key changes hands."""

import attrs

__all__ = ["OWNER_GONE_RETRY_S", "Owners"]

OWNER_WAIT_MS = 200.0
"""How long a request waits for keys that are on their way between two servers that
live: a release and a grant take some milliseconds, unless work has to end first. After
that the new owner is asked: it may have its grant while the store is slow to say so."""

GRANT_WAIT_MS = 30.0
"""How long a request that its key's owner refused waits, and twice as long after the
second time: a new owner's grant comes some milliseconds after its naming."""

OWNER_GONE_RETRY_S = 0.6


@attrs.define(eq=False, repr=False)
class Owners:
    """Finds the owners of keys, as this daemon knows them.

    Parameters
    ----------
    view : FleetView
    clock : Clock
    """

    view: object
    clock: object
    _slow_moves: set = attrs.Factory(set)

    def find(self, order):
        """Return the owner of a request's key, waiting a moment while it changes.

        Load: an owner that vanished, so that its keys are free only when time has
        proved it, or one whose work lasts for long. Harm prevented: each request being
        held, and then refused by the next owner, which has no grant yet. One waits in
        vain; all others are told at once.

        Raises
        ------
        RequestError
            If there is no owner that may be sent requests.
        """
        until_ms = min(self.clock.now_ms() + OWNER_WAIT_MS, order.until_ms)
        while True:
            item = self._range_of(order)
            server = self._server_of(item)
            if server is None or not order.is_wanted():
                raise self._refusal(order, "key has no owner")
            if not item.is_moving:
                return server
            move = order.service, item.first, item.token
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0:
                self._slow_moves.add(move)
                return server
            if move in self._slow_moves:
                raise self._refusal(order, "key is on its way")
            self.view.wait(min(left_ms, 50.0))

    def await_next(self, order):
        """Wait a moment for a newer owner, or for a new owner's grant to arrive."""
        before = self._range_of(order)
        pause_ms = GRANT_WAIT_MS * len(order.tried)
        until_ms = min(self.clock.now_ms() + pause_ms, order.until_ms)
        while (left_ms := until_ms - self.clock.now_ms()) > 0 and order.is_wanted():
            self.view.wait(left_ms)
            if self._range_of(order) != before:
                return

    def forget_moves(self):
        """Forget which moves took long; those still under way are noted again."""
        self._slow_moves.clear()

    def _refusal(self, order, reason):
        inputs = {
            "key": order.key,
            "table_version": self.view.table_version(order.service),
        }
        item = self._range_of(order)
        if item is not None:
            inputs |= {
                "first": item.first,
                "token": item.token,
                "owner": item.owner,
                "owner_before": item.old_owner,
            }
        return order.refusal_for_now(reason, OWNER_GONE_RETRY_S, **inputs)

    def _range_of(self, order):
        table = self.view.tables.get(order.service)
        return table.find(order.key) if table is not None else None

    def _server_of(self, item):
        if item is None or not item.owner:
            return None
        directory = self.view.directory
        server = directory.servers.get(item.owner)
        if server is None or server.life != item.life:
            return None
        return server if directory.may_serve(server) else None
