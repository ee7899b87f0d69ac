"""Finds the server that a request for a key goes to, also while the key moves."""

import attrs

__all__ = ["NO_OWNER_RETRY_S", "OwnerResolver"]

MOVE_WAIT_MS = 200.0
"""How long a request waits for keys that move between two running servers.

A release and a grant take some milliseconds unless running requests have to end first.
After this time the request is sent to the new owner, which may have its grant although
the store has not recorded it yet."""

RETRY_GRANT_WAIT_MS = 30.0
"""How long a request waits after an owner's first refusal, and twice that after the
next.

The grant of a new owner arrives some milliseconds after the owner is recorded."""

NO_OWNER_RETRY_S = 0.6


@attrs.define(eq=False, repr=False)
class OwnerResolver:
    """Finds the owners of keys, as this daemon knows them.

    Parameters
    ----------
    view : FleetView
    clock : Clock
    """

    view: object
    clock: object
    _slow_moves: set = attrs.Factory(set)

    def find(self, request):
        """Return the owner of a request's key, waiting briefly while the key moves.

        If an owner has vanished, its keys are free only once its grants have expired;
        if it has long-running requests, a release takes as long. Only one request then
        waits in vain and is refused by the new owner, which has no grant yet. All later
        requests are refused immediately.

        Raises
        ------
        RequestError
            If there is no owner that may be sent requests.
        """
        until_ms = min(self.clock.now_ms() + MOVE_WAIT_MS, request.until_ms)
        while True:
            item = self._range_of(request)
            server = self._server_of(item)
            if server is None or not request.is_wanted():
                raise self._refusal(request, "key has no owner")
            if not item.is_moving:
                return server
            move_key = request.service, item.first, item.token
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0:
                self._slow_moves.add(move_key)
                return server
            if move_key in self._slow_moves:
                raise self._refusal(request, "key is on its way")
            self.view.wait(min(left_ms, 50.0))

    def await_new_owner(self, request):
        """Wait briefly for a newer owner, or for the grant of a new owner to arrive."""
        before = self._range_of(request)
        pause_ms = RETRY_GRANT_WAIT_MS * len(request.tried)
        until_ms = min(self.clock.now_ms() + pause_ms, request.until_ms)
        while (left_ms := until_ms - self.clock.now_ms()) > 0 and request.is_wanted():
            self.view.wait(left_ms)
            if self._range_of(request) != before:
                return

    def clear_slow_moves(self):
        """Discard which moves were slow; slow moves in progress are recorded again."""
        self._slow_moves.clear()

    def _refusal(self, request, reason):
        inputs = {
            "key": request.key,
            "table_version": self.view.table_version(request.service),
        }
        item = self._range_of(request)
        if item is not None:
            inputs |= {
                "first": item.first,
                "token": item.token,
                "owner": item.owner,
                "owner_before": item.old_owner,
            }
        return request.retryable_refusal(reason, NO_OWNER_RETRY_S, **inputs)

    def _range_of(self, request):
        table = self.view.tables.get(request.service)
        return table.find(request.key) if table is not None else None

    def _server_of(self, item):
        if item is None or not item.owner:
            return None
        directory = self.view.directory
        server = directory.servers.get(item.owner)
        if server is None or server.life != item.life:
            return None
        return server if directory.may_serve(server) else None
