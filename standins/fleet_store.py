"""A stand-in for the users' metadata store, with fault injection.

It follows the users' documentation of the store.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import base64  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from tarragonramp.adapters.web import SOCKET_KEY, WebServer  # noqa: E402

PREFIX = "/-/objects/"
CONTROL = "/control"
PAGE_SIZE = 500
FIRST_REVISION = 100


@attrs.define
class StoreFaults:
    """Faults that are active now.

    Parameters
    ----------
    down : bool
        Respond to every call with 503.
    lose_answers : int
        Number of further writes that are applied without a response.
    lose_watches : int
        Number of further watches that never respond, once they have events to return.
    delay_ms : float
        Delay of every response.
    """

    down: bool = False
    lose_answers: int = 0
    lose_watches: int = 0
    delay_ms: float = 0.0


@attrs.define(eq=False, repr=False)
class FleetStore:
    """Objects by kind and name with one revision counter, and watches of changes.

    Parameters
    ----------
    revision : int
        Of the last change.
    oldest_revision : int
        Watches from earlier revisions are refused, as their events are gone.
    kinds : dict of str to dict
        Objects by kind and name.
    events : list of (int, str, dict)
        Revision, kind and event of each change.
    calls : dict of str to int
        Number of calls, by purpose and kind.
    raw_parts : dict of str to bytes
        Text that answers have in place of a quoted name: what no JSON library writes.
    faults : StoreFaults
    """

    revision: int = FIRST_REVISION
    oldest_revision: int = FIRST_REVISION
    kinds: dict = attrs.Factory(dict)
    events: list = attrs.Factory(list)
    calls: dict = attrs.Factory(dict)
    raw_parts: dict = attrs.Factory(dict)
    faults: StoreFaults = attrs.Factory(StoreFaults)
    _changed: Event = attrs.Factory(Event)

    def __call__(self, environ, start_response):
        """Handle one call."""
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
        status, payload = self._serve(method, kind, rest, query, raw)
        drops_response = self._drops_response(method, query, status)
        if drops_response:
            # The connection stays open without a response.
            environ[SOCKET_KEY].settimeout(None)
            gevent.sleep(60.0)
        return _reply(start_response, status, payload, self.raw_parts)

    def _drops_response(self, method, query, status):
        if method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        if "watch" in query and status == 200 and self.faults.lose_watches > 0:
            self.faults.lose_watches -= 1
            return True
        return False

    def _serve(self, method, kind, rest, query, raw):
        name, _, subresource = rest.partition("/")
        name = urllib.parse.unquote(name)
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query["waitMs"]))
        if method == "GET" and not name:
            names = sorted(n for n in objects if n > query.get("after", ""))
            items = [objects[n] for n in names[:PAGE_SIZE]]
            more = len(names) > PAGE_SIZE
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
        if subresource == "status":
            return 200, self.write(kind, name, current["spec"], raw["status"])
        return 200, self.write(kind, name, raw["spec"])

    def write(self, kind, name, spec, status=None):
        """Create or replace an object and notify the watches."""
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
        self._publish(kind, objects[name], False)
        return objects[name]

    def delete(self, kind, name):
        """Remove an object and notify the watches."""
        removed = self.kinds.get(kind, {}).pop(name, None)
        if removed is None:
            return
        self.revision += 1
        removed["meta"]["rev"] = self.revision
        self._publish(kind, removed, True)

    def forget_history(self):
        """Drop all events, so that watches from earlier revisions get 410."""
        self.oldest_revision = self.revision
        self.events.clear()
        self._notify_watchers()

    def _publish(self, kind, item, deleted):
        event = {"deleted": deleted, "object": json.loads(json.dumps(item))}
        self.events.append((self.revision, kind, event))
        self._notify_watchers()

    def _notify_watchers(self):
        changed, self._changed = self._changed, Event()
        changed.set()

    def _watch(self, kind, since, wait_ms):
        until_s = time.monotonic() + wait_ms / 1000.0
        while True:
            if since < self.oldest_revision:
                return 410, {}
            found = [e for rev, k, e in self.events if k == kind and rev > since]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            self._changed.wait(left_s)

    def _control(self, body, start_response):
        command = json.loads(body)
        for name, encoded in command.get("raw_parts", {}).items():
            self.raw_parts[name] = base64.b64decode(encoded)
        if "write" in command:
            self.write(*command["write"])
        if "delete" in command:
            self.delete(*command["delete"])
        if command.get("forget_history"):
            self.forget_history()
        for name, value in command.get("faults", {}).items():
            setattr(self.faults, name, value)
        payload = {"calls": self.calls, "objects": self.kinds}
        return _reply(start_response, 200, payload)


def _reply(start_response, status, payload, raw_parts=None):
    body = json.dumps(payload).encode()
    for name, raw in (raw_parts or {}).items():
        body = body.replace(json.dumps(name).encode(), raw)
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
