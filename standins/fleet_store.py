"""A stand-in for the users' metadata store, as their pages describe it, with faults."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from tarragonramp.adapters.web import SOCKET_KEY, WebServer  # noqa: E402

PREFIX = "/-/objects/"
CONTROL = "/control"
PAGE = 500
FIRST_REVISION = 100


@attrs.define
class StoreFaults:
    """What goes wrong at the moment.

    Parameters
    ----------
    down : bool
        Answer nothing but 503.
    lose_answers : int
        So many writes take effect without an answer.
    lose_watches : int
        So many watches that have something to tell stay silent for good.
    delay_ms : float
        Before every answer.
    """

    down: bool = False
    lose_answers: int = 0
    lose_watches: int = 0
    delay_ms: float = 0.0


@attrs.define(eq=False, repr=False)
class FleetStore:
    """Objects by kind and name, one counter of revisions, and watches."""

    revision: int = FIRST_REVISION
    oldest: int = FIRST_REVISION
    kinds: dict = attrs.Factory(dict)
    events: list = attrs.Factory(list)
    calls: dict = attrs.Factory(dict)
    faults: StoreFaults = attrs.Factory(StoreFaults)
    _changed: Event = attrs.Factory(Event)

    def __call__(self, environ, start_response):
        """Serve one call."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        body = environ["wsgi.input"].read()
        if path == CONTROL:
            return self._control(body, start_response)
        kind, _, rest = path.removeprefix(PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        purpose = "watch" if "watch" in query else method.lower()
        key = f"{purpose} {kind}"
        self.calls[key] = self.calls.get(key, 0) + 1
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000.0)
        if self.faults.down:
            return _reply(start_response, 503, {})
        raw = json.loads(body) if body else {}
        status, answer = self._serve(method, kind, rest, query, raw)
        is_lost = self._is_lost(method, query, status)
        if is_lost:
            # Nothing more comes on this connection, and it is not closed either.
            environ[SOCKET_KEY].settimeout(None)
            gevent.sleep(60.0)
        return _reply(start_response, status, answer)

    def _is_lost(self, method, query, status):
        if method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        if "watch" in query and status == 200 and self.faults.lose_watches > 0:
            self.faults.lose_watches -= 1
            return True
        return False

    def _serve(self, method, kind, rest, query, raw):
        name, _, part = rest.partition("/")
        name = urllib.parse.unquote(name)
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query["waitMs"]))
        if method == "GET" and not name:
            names = sorted(n for n in objects if n > query.get("after", ""))
            items = [objects[n] for n in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {
                "items": items,
                "hasMore": more,
                "storeRevision": self.revision,
            }
        if method == "GET":
            found = objects.get(name)
            return (200, found) if found else (404, {})
        if method == "POST":
            name = raw["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.write(kind, name, raw["spec"])
        if name not in objects:
            return 404, {}
        current = objects[name]
        expected = raw.get("meta", {}).get("rev")
        if expected is not None and expected != current["meta"]["rev"]:
            return 409, current
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if part == "status":
            return 200, self.write(kind, name, current["spec"], raw["status"])
        return 200, self.write(kind, name, raw["spec"])

    def write(self, kind, name, spec, status=None):
        """Create or replace an object and tell the watches."""
        objects = self.kinds.setdefault(kind, {})
        before = objects.get(name)
        if before and (before["spec"], before["status"]) == (spec, status):
            return before
        self.revision += 1
        created = before["meta"]["createRevision"] if before else self.revision
        meta = {
            "name": name,
            "rev": self.revision,
            "createRevision": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"meta": meta, "spec": spec, "status": status}
        self._tell(kind, objects[name], False)
        return objects[name]

    def delete(self, kind, name):
        """Remove an object and tell the watches."""
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is None:
            return
        self.revision += 1
        gone["meta"]["rev"] = self.revision
        self._tell(kind, gone, True)

    def forget_history(self):
        """Drop all events: watches from before get 410."""
        self.oldest = self.revision
        self.events.clear()
        self._wake()

    def _tell(self, kind, item, deleted):
        event = {"deleted": deleted, "object": json.loads(json.dumps(item))}
        self.events.append((self.revision, kind, event))
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, Event()
        changed.set()

    def _watch(self, kind, since, wait_ms):
        until_s = time.monotonic() + wait_ms / 1000.0
        while True:
            if since < self.oldest:
                return 410, {}
            found = [e for rev, k, e in self.events if k == kind and rev > since]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            self._changed.wait(left_s)

    def _control(self, body, start_response):
        order = json.loads(body)
        if "write" in order:
            self.write(*order["write"])
        if "delete" in order:
            self.delete(*order["delete"])
        if order.get("forget_history"):
            self.forget_history()
        for name, value in order.get("faults", {}).items():
            setattr(self.faults, name, value)
        answer = {"calls": self.calls, "objects": self.kinds}
        return _reply(start_response, 200, answer)


def _reply(start_response, status, answer):
    body = json.dumps(answer).encode()
    start_response(f"{status} Status", [("Content-Length", str(len(body)))])
    return [body]


def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    options = parser.parse_args()
    WebServer(options.address, FleetStore()).serve_forever()


if __name__ == "__main__":
    main()
