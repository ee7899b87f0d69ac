"""Finds the server that a request for a key goes to, also while the key moves."""

import attrs

__all__ = ["NO_OWNER_RETRY_S", "OwnerResolver"]

MOVE_WAIT_MS = 200.0
"""How long a request waits for keys that move between two running servers.

A release and a grant take some milliseconds unless running requests have to end first.
After this time the request is sent to the new owner, which may have its grant although
the store has not recorded it yet."""

GRANT_WAIT_MS = 30.0
"""How long a request waits after an owner's first refusal.

The grant of a new owner arrives some milliseconds after the owner is recorded."""

GRANT_RECHECK_MS = 100.0
"""Interval at which one request for a range is sent to an owner that has no grant.

Until its grant arrives or the table changes the owner refuses all of them, and each
would be sent twice, by every daemon."""

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
    _recheck_ms: dict = attrs.Factory(dict)

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
                self._check_grant(request, item)
                return server
            move_key = request.service, item.first, item.token
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0:
                self._slow_moves.add(move_key)
                return server
            if move_key in self._slow_moves:
                raise self._refusal(request, "key is on its way")
            self.view.wait(min(left_ms, 50.0))

    def current(self, request):
        """Return the server that the keys of a request are assigned to, or None."""
        return self._server_of(self._range_of(request))

    def may_repeat(self, request):
        """Return whether a request that its owner has refused may be sent once more.

        After the first refusal, waits briefly for a newer owner, or for the grant of
        the owner to arrive. An owner that then refuses again has no grant, and the
        other requests for the range are refused without being sent.
        """
        before = self._range_of(request)
        key = _grant_key(request, before)
        if key in self._recheck_ms or request.tried.count(request.tried[-1]) > 1:
            self._recheck_ms[key] = self.clock.now_ms() + GRANT_RECHECK_MS
            return False
        until_ms = min(self.clock.now_ms() + GRANT_WAIT_MS, request.until_ms)
        while (left_ms := until_ms - self.clock.now_ms()) > 0 and request.is_wanted():
            self.view.wait(left_ms)
            if self._range_of(request) != before:
                break
        return True

    def record_served(self, request):
        """Record that the owner of a request's key has not refused it."""
        if self._recheck_ms:
            self._recheck_ms.pop(_grant_key(request, self._range_of(request)), None)

    def forget_delays(self):
        """Discard which moves were slow, and which owners had no grant.

        Those that still are will be recorded again.
        """
        self._slow_moves.clear()
        self._recheck_ms.clear()

    def _check_grant(self, request, item):
        """Raise if the owner of a range has just refused requests for it.

        Once in a while a request may be sent, and shows whether the grant has arrived.
        """
        key = _grant_key(request, item)
        recheck_ms = self._recheck_ms.get(key)
        if recheck_ms is None:
            return
        now_ms = self.clock.now_ms()
        if now_ms < recheck_ms:
            raise self._refusal(request, "owner has no grant")
        self._recheck_ms[key] = now_ms + GRANT_RECHECK_MS

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
        return server if directory.may_serve_keys(server) else None


def _grant_key(request, item):
    """Return what identifies the grant by which the owner of a request's key acts."""
    return (request.service, item.first, item.token) if item is not None else None
