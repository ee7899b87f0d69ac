"""Control exchanges between daemons: gRPC for news, small HTTP pings."""

import json
from concurrent import futures

import attrs
import grpc
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..credentials import METADATA_KEY, Secrets
from ..errors import AddressError, NotSentError, UnansweredError
from ..gates import Order
from ..model import Stored, Vm
from ..news import NewsAnswer, NewsQuestion
from ..vms import VmChanges
from ..wire import peer_pb2, peer_pb2_grpc
from .http import Answer, HttpPools

__all__ = ["GrpcPeers", "PeerServer", "PingAnswer", "news_payload", "news_question"]

PING_TARGET = "/peer/ping"
NEWS_TARGET = "/peer/news"
MAX_WORKERS = 64
NOT_CONNECTED = "failed to connect"
ANY_LENGTH = -1
GRPC_OVERHEAD_BYTES = 60


@attrs.frozen
class PingAnswer:
    """A neighbour's word.

    Parameters
    ----------
    identity : str
        Of the process that answered.
    taken : dict of str to int
        By role, the highest term that it has taken, or begun to take, from the asking
        daemon: no word is given for that one and earlier ones.
    newest : int
        Highest version of the platform's objects that it has seen.
    leaving : bool
        Whether it is about to stop, and so no successor for anybody.
    """

    identity: str
    taken: dict[str, int]
    newest: int = 0
    leaving: bool = False


@attrs.define(eq=False, repr=False)
class GrpcPeers:
    """Client side of the exchanges between daemons.

    Parameters
    ----------
    pools : HttpPools
    timeout_ms : float
    traffic : TrafficMeter
    secrets : Secrets
        Of the peer port.
    """

    pools: HttpPools
    timeout_ms: float
    traffic: object
    secrets: Secrets = Secrets()
    _stubs: dict = attrs.Factory(dict)

    def ping(self, address, identity, newest) -> Result:
        """Ask a neighbour whether it has taken over anything."""
        body = json.dumps({"identity": identity, "newest": newest}).encode()
        pool = self.pools.at(address)
        result = pool.exchange(
            "POST", PING_TARGET, self.secrets.headers, body, self.timeout_ms
        )
        return result.bind(_ping_answer)

    def news(self, address, question) -> Result:
        """Ask another daemon for what this one lacks."""
        body = json.dumps(attrs.asdict(question)).encode()
        timeout_ms = question.wait_ms + self.timeout_ms
        pool = self.pools.at(address)
        result = pool.exchange(
            "POST", NEWS_TARGET, self.secrets.headers, body, timeout_ms
        )
        return result.bind(_news_answer)

    def report(self, address, sender, reports) -> Result:
        """Tell a planner about backend servers.

        Parameters
        ----------
        address : str
            The planner's gRPC ``ip:port``.
        sender : str
            Identity of the steward's daemon.
        reports : list of dict
            Fields of the message ``ServerReport``.

        Returns
        -------
        accepted : Success of bool, or Failure of UnansweredError
            False if that daemon is no planner of the team.
        """
        servers = [peer_pb2.ServerReport(**item) for item in reports]
        request = peer_pb2.ReportRequest(sender=sender, servers=servers)
        return self._call(address, "Report", request).map(lambda r: r.accepted)

    def prove_release(self, address, question) -> Result:
        """Ask a steward which slices of a server are released.

        Parameters
        ----------
        address : str
        question : dict
            Fields of the message ``ReleaseRequest``.

        Returns
        -------
        released : Success of list of int, or Failure of UnansweredError
        """
        request = peer_pb2.ReleaseRequest(**question)
        return self._call(address, "ProveRelease", request).map(
            lambda r: list(r.released)
        )

    def forward(self, address, order) -> Result:
        """Have a steward send a caller's request to its server.

        Parameters
        ----------
        address : str
        order : Order

        Returns
        -------
        answer : Success of Answer, or Failure of ExchangeError
            NotSentError if no byte left for the server, else UnansweredError.
        """
        request = _forward_request(order)
        try:
            reply = self._stub(address).Forward(
                request,
                timeout=order.deadline_ms / 1000.0,
                metadata=self.secrets.metadata,
            )
        except grpc.RpcError as error:
            if NOT_CONNECTED in (error.details() or ""):
                return Failure(NotSentError(f"{address}: {error.details()}"))
            return Failure(UnansweredError(f"{address}: {error.code().name}"))
        return _forwarded(reply)

    def _stub(self, address):
        stub = self._stubs.get(address)
        if stub is None:
            # Bodies are bounded where they are read from callers and servers.
            options = [("grpc.max_receive_message_length", ANY_LENGTH)]
            channel = grpc.insecure_channel(address, options)
            stub = self._stubs[address] = peer_pb2_grpc.PeerStub(channel)
        return stub

    def _call(self, address, method, request):
        stub = self._stub(address)
        self.traffic.sent(method, message_bytes(request))
        try:
            reply = getattr(stub, method)(
                request,
                timeout=self.timeout_ms / 1000.0,
                metadata=self.secrets.metadata,
            )
            self.traffic.received(method, message_bytes(reply))
            return Success(reply)
        except grpc.RpcError as error:
            return Failure(UnansweredError(f"{address}: {error.code().name}"))


class _SecretCheck(grpc.ServerInterceptor):
    """Refuses every call that does not show the secret.

    Without it whoever reaches the port could prove releases that never happened,
    and a key would get two owners.
    """

    def __init__(self, secrets):
        self._secrets = secrets
        self._refusal = grpc.unary_unary_rpc_method_handler(_refuse)

    def intercept_service(self, continuation, handler_call_details):
        """Pass a call on, or refuse it."""
        shown = dict(handler_call_details.invocation_metadata)
        if self._secrets.admits(shown.get(METADATA_KEY)):
            return continuation(handler_call_details)
        return self._refusal


def _refuse(request, context):
    context.abort(grpc.StatusCode.UNAUTHENTICATED, "the peer secret is wrong")


class PeerServer(peer_pb2_grpc.PeerServicer):
    """Server side: hands each message to a function.

    Parameters
    ----------
    address : str
        ``ip:port``.
    on_report : callable
        ``on_report(sender, list of ServerReport) -> bool``
    on_prove_release : callable
        ``on_prove_release(ReleaseRequest) -> (list of int, str)``
    traffic : TrafficMeter
    secrets : Secrets
        Of the peer port.
    on_forward : callable
        ``on_forward(Order) -> Result``, as :meth:`GrpcPeers.forward` returns it.
    """

    def __init__(
        self,
        address,
        on_report,
        on_prove_release,
        traffic,
        secrets=Secrets(),
        on_forward=None,
    ):
        self._traffic = traffic
        self._on_report = on_report
        self._on_prove_release = on_prove_release
        self._on_forward = on_forward
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=MAX_WORKERS),
            options=[
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", ANY_LENGTH),
            ],
            interceptors=[_SecretCheck(secrets)],
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)
        try:
            self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise AddressError(f"{address}: address cannot be bound") from error

    def start(self):
        """Begin to serve."""
        self._server.start()

    def stop(self, timeout_ms):
        """Take no more calls, and finish those under way within a time."""
        self._server.stop(grace=timeout_ms / 1000.0).wait()

    def Report(self, request, context):  # noqa: N802
        """Take a steward's report."""
        accepted = self._on_report(request.sender, request.servers)
        return self._counted("Report", request, peer_pb2.ReportReply(accepted=accepted))

    def ProveRelease(self, request, context):  # noqa: N802
        """Answer a planner's question."""
        released, proof = self._on_prove_release(request)
        reply = peer_pb2.ReleaseReply(released=released, proof=proof)
        return self._counted("ProveRelease", request, reply)

    def Forward(self, request, context):  # noqa: N802
        """Send a caller's request on."""
        return _forward_reply(self._on_forward(_order(request)))

    def _counted(self, method, request, reply):
        self._traffic.received(method, message_bytes(request))
        self._traffic.sent(method, message_bytes(reply))
        return reply


def _forward_request(order):
    return peer_pb2.ForwardRequest(
        team=order.team,
        service=order.service,
        server=order.server,
        slice=order.slice_index,
        token=order.token,
        method=order.method,
        target=order.target,
        headers=_wire_headers(order.headers),
        body=order.body,
        deadline_ms=order.deadline_ms,
    )


def _order(request):
    return Order(
        request.team,
        request.service,
        request.server,
        request.slice,
        request.token,
        request.method,
        request.target,
        _plain_headers(request.headers),
        request.body,
        request.deadline_ms,
    )


def _forward_reply(result):
    if not is_successful(result):
        error = result.failure()
        not_sent = isinstance(error, NotSentError)
        return peer_pb2.ForwardReply(not_sent=not_sent, error=str(error))
    answer = result.unwrap()
    return peer_pb2.ForwardReply(
        status=answer.status, headers=_wire_headers(answer.headers), body=answer.body
    )


def _forwarded(reply):
    if reply.status:
        headers = _plain_headers(reply.headers)
        return Success(Answer(reply.status, headers, reply.body))
    error_type = NotSentError if reply.not_sent else UnansweredError
    return Failure(error_type(reply.error))


def _wire_headers(headers):
    # Header fields may hold bytes that are no text; they are kept as they are.
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def _plain_headers(headers):
    return tuple((item.name, item.value) for item in headers)


def message_bytes(message):
    """Return what a gRPC message takes on the wire, headers and frames with it."""
    return message.ByteSize() + GRPC_OVERHEAD_BYTES


def news_question(raw):
    """Read a question that came as bytes.

    Raises
    ------
    ValueError, KeyError, TypeError
        If it is not one. Fields of a newer version are passed over.
    """
    found = json.loads(raw)
    return NewsQuestion(*(found[field.name] for field in attrs.fields(NewsQuestion)))


def news_payload(news):
    """Return a NewsAnswer as JSON can hold it."""
    return attrs.asdict(news)


def _news_answer(answer):
    try:
        raw = json.loads(answer.body)
        items = tuple(Stored(**item) for item in raw["items"])
        return Success(
            NewsAnswer(raw["version"], items, _vm_changes(raw["vms"]), raw["reached"])
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(UnansweredError(f"news not understood: {error!r}"))


def _vm_changes(raw):
    if raw is None:
        return None
    changed = tuple(Vm(**item) for item in raw["changed"])
    return VmChanges(raw["digest"], raw["whole"], changed, tuple(raw["removed"]))


def _ping_answer(answer):
    try:
        raw = json.loads(answer.body)
        newest = raw.get("newest", 0)
        leaving = raw.get("leaving", False)
        return Success(PingAnswer(raw["identity"], dict(raw["taken"]), newest, leaving))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(UnansweredError(f"ping answer not understood: {error!r}"))
