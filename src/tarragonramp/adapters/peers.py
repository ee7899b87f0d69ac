"""Control messages between daemons.

Pings and updates (news) are sent as JSON over HTTP; server reports, release proofs and
forwarded requests as gRPC calls.
"""

import json
from concurrent import futures

import attrs
import grpc
from returns.result import Failure, Result, Success

from ..credentials import METADATA_KEY, Secrets
from ..errors import AddressError, NotSentError, UnansweredError
from ..gates import ForwardedRequest
from ..model import Stored, Vm
from ..news import NewsAnswer, NewsQuestion
from ..results import is_successful
from ..vms import VmChanges
from ..wire import peer_pb2, peer_pb2_grpc
from .http import HttpPools, Response
from .json_lists import parse_json

__all__ = [
    "GrpcPeers",
    "PeerServer",
    "PingAnswer",
    "news_payload",
    "parse_news_question",
]

PING_TARGET = "/peer/ping"
NEWS_TARGET = "/peer/news"
MAX_WORKERS = 64
# Contained in gRPC's error details if no connection could be opened.
CONNECT_FAILED_TEXT = "failed to connect"
UNLIMITED = -1
GRPC_OVERHEAD_BYTES = 60


@attrs.frozen
class PingAnswer:
    """A peer's answer to a ping.

    Parameters
    ----------
    identity : str
        Identity of the process that answered.
    taken : dict of str to int
        By role, the highest term that the peer has taken, or begun to take, from the
        asking daemon. The answer confirms only the asking daemon's terms above it.
    newest : int
        Highest version of the platform's objects that the peer has seen.
    leaving : bool
        Whether the peer is about to stop and must not be named as a successor.
    """

    identity: str
    taken: dict[str, int]
    newest: int = 0
    leaving: bool = False


@attrs.define(eq=False, repr=False)
class GrpcPeers:
    """Client side of the messages between daemons.

    Implements :class:`tarragonramp.ports.Peers`.

    Parameters
    ----------
    pools : HttpPools
    timeout_ms : float
    traffic : TrafficMeter
    secrets : Secrets
        Secrets of the peer port.
    """

    pools: HttpPools
    timeout_ms: float
    traffic: object
    secrets: Secrets = Secrets()
    _stubs: dict = attrs.Factory(dict)

    def ping(self, address, identity, newest) -> Result:
        """Ask a peer which terms it has taken over from this daemon."""
        body = json.dumps({"identity": identity, "newest": newest}).encode()
        pool = self.pools.at(address)
        result = pool.exchange(
            "POST", PING_TARGET, self.secrets.headers, body, self.timeout_ms
        )
        return result.bind(_parse_ping_answer)

    def news(self, address, question) -> Result:
        """Ask another daemon for objects and VMs that this one does not have yet."""
        body = json.dumps(attrs.asdict(question)).encode()
        timeout_ms = question.wait_ms + self.timeout_ms
        pool = self.pools.at(address)
        result = pool.exchange(
            "POST", NEWS_TARGET, self.secrets.headers, body, timeout_ms
        )
        return result.bind(_parse_news_answer)

    def report(self, address, sender, reports) -> Result:
        """Report the condition of backend servers to a planner.

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
            False if that daemon is not the planner of every reported team.
        """
        servers = [peer_pb2.ServerReport(**item) for item in reports]
        request = peer_pb2.ReportRequest(sender=sender, servers=servers)
        return self._call(address, "Report", request).map(lambda r: r.accepted)

    def prove_release(self, address, question) -> Result:
        """Ask a steward which slices of a server are proved to be released.

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

    def forward(self, address, forwarded) -> Result:
        """Have a steward forward a caller's request to its server.

        Parameters
        ----------
        address : str
        forwarded : ForwardedRequest

        Returns
        -------
        response : Success of Response, or Failure of ExchangeError
            NotSentError if no byte was sent to the server, else UnansweredError.
        """
        request = _forward_request(forwarded)
        try:
            reply = self._stub(address).Forward(
                request,
                timeout=forwarded.deadline_ms / 1000.0,
                metadata=self.secrets.metadata,
            )
        except grpc.RpcError as error:
            if CONNECT_FAILED_TEXT in (error.details() or ""):
                return Failure(NotSentError(f"{address}: {error.details()}"))
            return Failure(UnansweredError(f"{address}: {error.code().name}"))
        return _parse_forward_reply(reply)

    def _stub(self, address):
        stub = self._stubs.get(address)
        if stub is None:
            # Body sizes are already limited where they are read from callers and
            # servers.
            options = [("grpc.max_receive_message_length", UNLIMITED)]
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
    """Rejects calls without a valid peer secret.

    Otherwise anybody with access to the port could prove releases that never happened,
    and a key would get two owners.
    """

    def __init__(self, secrets):
        self._secrets = secrets
        self._refusal = grpc.unary_unary_rpc_method_handler(_abort_unauthenticated)

    def intercept_service(self, continuation, handler_call_details):
        """Continue with the call if its secret is valid, else reject it."""
        call_metadata = dict(handler_call_details.invocation_metadata)
        if self._secrets.accepts(call_metadata.get(METADATA_KEY)):
            return continuation(handler_call_details)
        return self._refusal


def _abort_unauthenticated(request, context):
    context.abort(grpc.StatusCode.UNAUTHENTICATED, "the peer secret is wrong")


class PeerServer(peer_pb2_grpc.PeerServicer):
    """Server side of the gRPC messages: passes each one to a callback.

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
        Secrets of the peer port.
    on_forward : callable
        ``on_forward(ForwardedRequest) -> Result``, with the results of
        :meth:`GrpcPeers.forward`.
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
                ("grpc.max_receive_message_length", UNLIMITED),
            ],
            interceptors=[_SecretCheck(secrets)],
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)
        try:
            self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise AddressError(f"{address}: address cannot be bound") from error

    def start(self):
        """Start serving."""
        self._server.start()

    def stop(self, timeout_ms):
        """Reject new calls and wait up to ``timeout_ms`` for those in progress."""
        self._server.stop(grace=timeout_ms / 1000.0).wait()

    def Report(self, request, context):  # noqa: N802
        """Handle a steward's report of its servers."""
        accepted = self._on_report(request.sender, request.servers)
        return self._count_traffic(
            "Report", request, peer_pb2.ReportReply(accepted=accepted)
        )

    def ProveRelease(self, request, context):  # noqa: N802
        """Answer a planner's question which slices are released."""
        released, proof = self._on_prove_release(request)
        reply = peer_pb2.ReleaseReply(released=released, proof=proof)
        return self._count_traffic("ProveRelease", request, reply)

    def Forward(self, request, context):  # noqa: N802
        """Forward a caller's request to its server."""
        return _forward_reply(self._on_forward(_parse_forwarded_request(request)))

    def _count_traffic(self, method, request, reply):
        self._traffic.received(method, message_bytes(request))
        self._traffic.sent(method, message_bytes(reply))
        return reply


def _forward_request(forwarded):
    return peer_pb2.ForwardRequest(
        team=forwarded.team,
        service=forwarded.service,
        server=forwarded.server,
        slice=forwarded.slice_index,
        token=forwarded.token,
        method=forwarded.method,
        target=forwarded.target,
        headers=_to_proto_headers(forwarded.headers),
        body=forwarded.body,
        deadline_ms=forwarded.deadline_ms,
    )


def _parse_forwarded_request(request):
    return ForwardedRequest(
        request.team,
        request.service,
        request.server,
        request.slice,
        request.token,
        request.method,
        request.target,
        _from_proto_headers(request.headers),
        request.body,
        request.deadline_ms,
    )


def _forward_reply(result):
    if not is_successful(result):
        error = result.failure()
        not_sent = isinstance(error, NotSentError)
        return peer_pb2.ForwardReply(not_sent=not_sent, error=str(error))
    response = result.unwrap()
    return peer_pb2.ForwardReply(
        status=response.status,
        headers=_to_proto_headers(response.headers),
        body=response.body,
    )


def _parse_forward_reply(reply):
    if reply.status:
        headers = _from_proto_headers(reply.headers)
        return Success(Response(reply.status, headers, reply.body))
    error_type = NotSentError if reply.not_sent else UnansweredError
    return Failure(error_type(reply.error))


def _to_proto_headers(headers):
    # Header values may contain arbitrary bytes; they are passed on unchanged.
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def _from_proto_headers(headers):
    return tuple((item.name, item.value) for item in headers)


def message_bytes(message):
    """Return the size of a gRPC message on the wire, with headers and frames."""
    return message.ByteSize() + GRPC_OVERHEAD_BYTES


def parse_news_question(raw):
    """Parse a NewsQuestion; fields unknown to this version are ignored.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the data is malformed.
    """
    found = parse_json(raw)
    return NewsQuestion(*(found[field.name] for field in attrs.fields(NewsQuestion)))


def news_payload(news):
    """Return a NewsAnswer as JSON-serializable data."""
    return attrs.asdict(news)


def _parse_news_answer(response):
    try:
        raw = parse_json(response.body)
        items = tuple(Stored(**item) for item in raw["items"])
        return Success(
            NewsAnswer(
                raw["version"], items, _parse_vm_changes(raw["vms"]), raw["reached"]
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(UnansweredError(f"news not understood: {error!r}"))


def _parse_vm_changes(raw):
    if raw is None:
        return None
    changed = tuple(Vm(**item) for item in raw["changed"])
    return VmChanges(raw["digest"], raw["whole"], changed, tuple(raw["removed"]))


def _parse_ping_answer(response):
    try:
        raw = parse_json(response.body)
        newest = raw.get("newest", 0)
        leaving = raw.get("leaving", False)
        return Success(PingAnswer(raw["identity"], dict(raw["taken"]), newest, leaving))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(UnansweredError(f"ping answer not understood: {error!r}"))
