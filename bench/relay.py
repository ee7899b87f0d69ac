"""Baselines for the request path: a minimal relay and a server without processing time.

The relay uses the same two libraries as the entry, but makes no routing decisions,
checks, retries or measurements. The difference to the entry is the cost of these.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import io  # noqa: E402
import socket  # noqa: E402

from gevent.pywsgi import WSGIServer  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402

from standins.backend import BackendStandIn  # noqa: E402
from tarragonramp.adapters.http import split_address  # noqa: E402
from tarragonramp.adapters.web import REASONS, WebServer  # noqa: E402

RESPONSE_BODY = b"x" * 200
CONCURRENCY = 64


class ImmediateServer(BackendStandIn):
    """A backend server that checks ownership and responds immediately."""

    def _serve(self, environ, body, start_response):
        status = REASONS[200 if self._owns(environ) else 409]
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(RESPONSE_BODY))),
            ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
        ]
        start_response(status, headers)
        return [RESPONSE_BODY]


class RelayServer(WSGIServer):
    """The library's server with its defaults, except that TCP_NODELAY is settable."""

    no_delay = True

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, int(self.no_delay))
        super().handle(sock, address)


def make_relay(address):
    """Return a WSGI application that forwards each request to an address."""
    host, port = split_address(address)
    client = HTTPClient(host, port, concurrency=CONCURRENCY)

    def relay(environ, start_response):
        headers = {
            name[5:].replace("_", "-").title(): value
            for name, value in environ.items()
            if name.startswith("HTTP_") and name not in ("HTTP_HOST", "HTTP_CONNECTION")
        }
        target = environ["PATH_INFO"]
        if environ["QUERY_STRING"]:
            target += "?" + environ["QUERY_STRING"]
        body = environ["wsgi.input"].read()
        response = client.request(environ["REQUEST_METHOD"], target, body, headers)
        response_body = bytes(response.read())
        start_response(f"{response.status_code} Status", list(response.items()))
        return [response_body]

    return relay


def main():
    """Run one of the baseline servers until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=("server", "divided-server", "relay"))
    parser.add_argument("--address", required=True)
    parser.add_argument("--upstream", default="")
    parser.add_argument("--nagle", action="store_true")
    options = parser.parse_args()
    if options.role == "relay":
        server = RelayServer(
            split_address(options.address),
            make_relay(options.upstream),
            log=None,
            error_log=None,
        )
        server.no_delay = not options.nagle
    else:
        divided = options.role == "divided-server"
        application = ImmediateServer("quick", io.StringIO(), divided, 64, 0.0)
        server = WebServer(options.address, application)
    server.serve_forever()


if __name__ == "__main__":
    main()
