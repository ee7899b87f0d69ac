"""The control port: requests of other daemons and operators, probes and metrics."""

import attrs

from ..adapters.json_lists import parse_json
from ..adapters.peers import news_payload, parse_news_question
from ..adapters.web import REASONS, json_reply
from .status import IN_FORCE_TARGET

__all__ = ["Control"]

PEER_PREFIX = "/peer/"
OPERATOR_PREFIX = "/operator/"


@attrs.define(eq=False, repr=False)
class Control:
    """The control port's WSGI application.

    Parameters
    ----------
    me : Member
    view : View
    membership : Membership
    news : News
    keeper : TermKeeper
    status : StatusReporter
    operators : Operators
    metrics : Metrics
    peer_secrets : Secrets
    readiness : callable
        ``readiness() -> (bool, str)``: whether callers should be sent here, and the
        reason.
    is_leaving : callable
        ``is_leaving() -> bool``
    """

    me: object
    view: object
    membership: object
    news: object
    keeper: object
    status: object
    operators: object
    metrics: object
    peer_secrets: object
    readiness: object
    is_leaving: object

    def __call__(self, environ, start_response):
        """Handle one request."""
        path = environ["PATH_INFO"]
        if path.startswith(OPERATOR_PREFIX):
            return self.operators(environ, start_response)
        if path == "/metrics":
            return self._metrics(start_response)
        if path.startswith(PEER_PREFIX):
            return self._peer(path, environ, start_response)
        if path == "/healthy":
            # Liveness only: any response shows that the event loop is running.
            return json_reply(start_response, 200, {"healthy": True})
        if path == "/ready":
            ready, reason = self.readiness()
            state = {"ready": ready, "reason": reason}
            return json_reply(start_response, 200 if ready else 503, state)
        return json_reply(start_response, 404, {"error": "no such path"})

    def _metrics(self, start_response):
        page, content_type = self.metrics.page()
        start_response(REASONS[200], [("Content-Type", content_type)])
        return [page]

    def _peer(self, path, environ, start_response):
        if not self.peer_secrets.accepts(environ.get("HTTP_AUTHORIZATION")):
            return json_reply(start_response, 401, {"error": "peer secret is wrong"})
        body = environ["wsgi.input"].read()
        if path == IN_FORCE_TARGET:
            report = parse_json(body)
            self.status.record_version(report["identity"], report["version"])
            return json_reply(start_response, 200, {})
        if path == "/peer/ping":
            return json_reply(start_response, 200, self._answer_ping(parse_json(body)))
        if path == "/peer/news":
            news = news_payload(self.news.answer(parse_news_question(body)))
            return json_reply(start_response, 200, news)
        return json_reply(start_response, 404, {"error": "no such path"})

    def _answer_ping(self, request):
        """Return the payload that answers a neighbour's ping."""
        peer_identity = request["identity"]
        self.membership.record_ping(peer_identity)
        self.news.on_peer_version(
            peer_identity.partition("#")[0], request.get("newest", 0)
        )
        return {
            "identity": self.me.identity,
            "taken": self.keeper.revoked_terms(peer_identity),
            "newest": self.view.newest,
            "leaving": self.is_leaving(),
        }
