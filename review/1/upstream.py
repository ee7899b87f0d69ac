"""The project's stand-in of an upstream, with two faults that the users' pages name.

With ``FAULTY=1`` in its environment it sheds a share of the requests although it has
room (``srv_grey``, how ``shed``), and sends a second copy of a share of its answers
late, at the point where the next answer is expected (``garble``, how ``extra late``).
Every answer echoes ``Request-Id``, as the pages say.
"""

import os
import random
import re
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), os.pardir, os.pardir)
sys.path[:0] = [ROOT, os.path.join(ROOT, "src")]

from standins import fleet_server  # noqa: E402
from tarragonramp.adapters.web import HEADERS_KEY, WebHandler, WebServer  # noqa: E402

IS_FAULTY = os.environ.get("FAULTY") == "1"
SHED_SHARE, COPIED_SHARE = 0.45, 0.03
"""The doses that the site files name for these faults."""

RANDOM = random.Random(40)


class Upstream(fleet_server.FleetServer):
    """Echoes the id of each request, and sheds some if it is faulty."""

    def __call__(self, environ, start_response):
        """Handle one request."""
        request_id = dict(environ[HEADERS_KEY]).get("request-id", "")

        def start(status, headers):
            if request_id and "Request-Id" not in dict(headers):
                headers = [*headers, ("Request-Id", request_id)]
            return start_response(status, headers)

        if IS_FAULTY and request_id and RANDOM.random() < SHED_SHARE:
            self._record("shed", request_id)
            return self._not_run(start, 503)
        return super().__call__(environ, start)


class Handler(WebHandler):
    """Sends copies of some answers before the next answer on their connection."""

    copied = b""

    def read_requestline(self):
        """Wait for the next request; send the copy of an earlier answer, if any."""
        line = super().read_requestline()
        if line and self.copied:
            copied, self.copied = self.copied, b""
            request_id = re.search(rb"\r\nRequest-Id: ([^\r]*)", copied)[1].decode()
            self.server.application._record("copy", request_id, copied[9:12].decode())
            self.socket.sendall(copied)
        return line

    def _sendall(self, data):
        super()._sendall(data)
        is_answer = data.startswith(b"HTTP/1.1 ") and b"\r\nRequest-Id: " in data
        if IS_FAULTY and is_answer and RANDOM.random() < COPIED_SHARE:
            self.copied = data


class Server(WebServer):
    """A web server with the faulty handler."""

    handler_class = Handler


if __name__ == "__main__":
    fleet_server.FleetServer = Upstream
    fleet_server.WebServer = Server
    fleet_server.main()
