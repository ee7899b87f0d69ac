"""Serves requests that other daemons hand to this one."""

import collections

import attrs

from ..adapters.logs import log_event
from ..adapters.usage import mark_request_work
from ..adapters.web import HEADERS_KEY, TARGET_KEY, backend_reply, error_reply
from ..delegation import (
    DECLINED,
    DELEGATION_HEADER,
    REFUSED,
    SERVED,
    Delegation,
    Report,
)
from ..errors import RequestError
from ..meters import NOT_RUN
from ..request import end_to_end_response_headers
from .refusals import ABANDONED_STATUS

__all__ = ["DelegateApplication"]

VERSION_WAIT_MS = 200.0
"""How long a request waits for the version of the manifest that its sender has used."""


@attrs.define(eq=False, repr=False)
class DelegateApplication:
    """WSGI application for requests of other daemons' callers.

    Parameters
    ----------
    router : Router
    view : FleetView
    clock : Clock
    prefix : str
        Stands before the request target.
    is_open : bool
        Whether requests are taken: not before the daemon is ready, nor while it drains.
    in_progress : int
        Requests whose responses have not been written.
    counts : Counter
        Requests by what became of them, for the metrics.
    """

    router: object
    view: object
    clock: object
    prefix: str
    is_open: bool = False
    in_progress: int = 0
    counts: collections.Counter = attrs.Factory(collections.Counter)

    def __call__(self, environ, start_response):
        """Serve one request; the response carries a Report."""
        mark_request_work()
        self.in_progress += 1
        try:
            body = self._respond(environ, start_response)
        except BaseException:
            self._end_request()
            raise
        return _Body(body, self._end_request)

    def _end_request(self):
        self.in_progress -= 1

    def _respond(self, environ, start_response):
        try:
            delegation = self._read(environ)
        except (TypeError, ValueError):
            error = RequestError(400, NOT_RUN, "delegation not understood")
            return error_reply(start_response, error)
        try:
            self._check_able(delegation)
            response = self.router.serve_delegated(environ, delegation)
        except RequestError as error:
            return self._refuse(start_response, environ, error)
        headers = [
            header
            for header in end_to_end_response_headers(response)
            if header[0].lower() != DELEGATION_HEADER
        ]
        headers.append(self._report(SERVED).to_header())
        return backend_reply(
            start_response, environ["REQUEST_METHOD"], response, headers
        )

    def _read(self, environ):
        """Return the Delegation, and restore the request target."""
        delegation = Delegation.from_header(
            dict(environ[HEADERS_KEY]).get(DELEGATION_HEADER)
        )
        for key in (TARGET_KEY, "PATH_INFO"):
            environ[key] = environ[key].removeprefix(self.prefix)
        return delegation

    def _check_able(self, delegation):
        """Raise if this daemon can't take a request."""
        if not self.is_open:
            raise _DeclinedError(503, NOT_RUN, "daemon is starting or stopping")
        if self.router.monitor.is_cut_off:
            raise _DeclinedError(503, NOT_RUN, "reaches no server")
        until_ms = self.clock.now_ms() + VERSION_WAIT_MS
        while self._version < delegation.manifest_version:
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise _DeclinedError(503, NOT_RUN, "manifest is older")
            self.view.wait(left_ms)

    @property
    def _version(self):
        return self.view.manifest.version if self.view.manifest else 0

    def _refuse(self, start_response, environ, error):
        # Another daemon may take what this one has no path, or no time left, to serve.
        is_unable = self.router.monitor.is_cut_off or not self.is_open
        is_declined = isinstance(error, _DeclinedError) or (
            error.outcome == NOT_RUN and is_unable
        )
        report = self._report(DECLINED if is_declined else REFUSED, error)
        if error.status != ABANDONED_STATUS:
            log_event(
                "delegated-request-refused",
                id=dict(environ[HEADERS_KEY]).get("request-id", ""),
                result=report.result,
                outcome=error.outcome,
                reason=error.reason,
                **error.inputs,
            )
        return error_reply(start_response, error, [report.to_header()])

    def _report(self, result, error=None):
        self.counts[result] += 1
        if error is None:
            # The sender passes on the answer, so what it announces binds it as well.
            leaving = tuple(self.view.directory.leaving())
            return Report(result, self._version, leaving=leaving)
        return Report(
            result,
            self._version,
            error.outcome,
            error.reason,
            error.retry_after_s,
            bool(error.inputs.get("was_sent")),
        )


class _Body(list):
    """A response body whose ``close`` the server calls once it has been written."""

    def __init__(self, parts, on_close):
        super().__init__(parts)
        self._on_close = on_close

    def close(self):
        """Report that the response has been written, or cannot be."""
        self._on_close()


class _DeclinedError(RequestError):
    """This daemon can't take a request, which another one may."""
