"""A stand-in for the platform's object API, with fault injection."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from tarragonramp.adapters.web import WebServer, json_reply  # noqa: E402

REPLAY_INTERVAL_MS = 200.0
MAX_VALUE_BYTES = 1_048_576


@attrs.define
class Faults:
    """Faults that are active now.

    Parameters
    ----------
    down : bool
        Respond to every call with 503.
    delay_ms : float
        Delay of every response.
    lose_answers : int
        Number of further writes that are applied but answered with 504.
    freeze_reads : bool
        Watches and lists show the state at the time when this was set. A watch returns
        all of it repeatedly, like a stale replica without a record of what the watcher
        has already received.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    freeze_reads: bool = False


@attrs.define(eq=False, repr=False)
class PlatformStandIn:
    """Versioned objects with conditional updates and watches, and the VM list."""

    version: int = 0
    objects: dict = attrs.Factory(dict)
    vms: list = attrs.Factory(list)
    calls: dict = attrs.Factory(dict)
    sent_bytes: dict = attrs.Factory(dict)
    waiting_watches: int = 0
    faults: Faults = attrs.Factory(Faults)
    _frozen_state: tuple = (0, {})
    _changed: Event = attrs.Factory(Event)

    def __call__(self, environ, start_response):
        """Handle one call."""
        path = environ["PATH_INFO"].strip("/").split("/")
        query = {
            k: v[0]
            for k, v in urllib.parse.parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        raw = environ["wsgi.input"].read()
        body = json.loads(raw) if raw else None
        if path[0] == "standin":
            return json_reply(start_response, 200, self._control(path[1], body))
        label = f"{environ['REQUEST_METHOD']} {path[1]}"
        self.calls[label] = self.calls.get(label, 0) + 1
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000.0)
        if self.faults.down:
            return json_reply(start_response, 503, {"error": "down"})
        if len(raw) > MAX_VALUE_BYTES:
            return json_reply(start_response, 413, {"error": "value too large"})
        status, payload = self._serve(environ["REQUEST_METHOD"], path[1:], query, body)
        written = environ["REQUEST_METHOD"] != "GET" and status == 200
        if written and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            status, payload = 504, {"error": "answer lost"}
        reply = json_reply(start_response, status, payload)
        self.sent_bytes[label] = self.sent_bytes.get(label, 0) + len(reply[0])
        return reply

    def _serve(self, method, path, query, body):
        if path[0] == "vms":
            return 200, {"items": self.vms}
        if path[0] == "watch":
            kinds = query["kinds"].split(",") if "kinds" in query else None
            since, wait_ms = int(query["since"]), int(query["wait_ms"])
            return 200, self._watch(since, wait_ms, kinds)
        if method == "GET":
            return self._read(path[1:])
        return self._write(method, path[1], path[2], body, int(query["version"]))

    def _visible_state(self):
        if self.faults.freeze_reads:
            return self._frozen_state
        return self.version, self.objects

    def _read(self, names):
        _, objects = self._visible_state()
        if len(names) == 1:
            items = [
                item
                for (kind, _), item in objects.items()
                if kind == names[0] and item["spec"] is not None
            ]
            return 200, {"items": items}
        item = objects.get(tuple(names))
        if item is None or item["spec"] is None:
            return 404, {"error": "not found"}
        return 200, item

    def _write(self, method, kind, name, spec, expected_version):
        stored = self.objects.get((kind, name))
        current = 0 if stored is None or stored["spec"] is None else stored["version"]
        if current != expected_version:
            return 409, {"current": stored if current else None}
        self.version += 1
        item = {
            "kind": kind,
            "name": name,
            "version": self.version,
            "spec": None if method == "DELETE" else spec,
        }
        self.objects[kind, name] = item
        self._notify_watchers()
        return 200, item

    def _watch(self, since, wait_ms, kinds):
        until_s = time.monotonic() + wait_ms / 1000.0
        if self.faults.freeze_reads:
            since = -1
            gevent.sleep(min(wait_ms, REPLAY_INTERVAL_MS) / 1000.0)
        self.waiting_watches += 1
        try:
            while True:
                changed = self._changed
                version, objects = self._visible_state()
                items = [
                    item
                    for (kind, _), item in objects.items()
                    if item["version"] > since and (not kinds or kind in kinds)
                ]
                left_s = until_s - time.monotonic()
                if items or left_s <= 0:
                    return {"version": version, "items": sorted(items, key=_version)}
                changed.wait(left_s)
        finally:
            self.waiting_watches -= 1

    def _notify_watchers(self):
        changed, self._changed = self._changed, Event()
        changed.set()

    def _control(self, resource, body):
        if resource == "vms" and body is not None:
            self.vms = body
        if resource == "faults" and body is not None:
            if body.get("freeze_reads") and not self.faults.freeze_reads:
                self._frozen_state = (self.version, dict(self.objects))
            self.faults = attrs.evolve(self.faults, **body)
        return {
            "vms": self.vms,
            "faults": attrs.asdict(self.faults),
            "calls": self.calls,
            "sent_bytes": self.sent_bytes,
            "waiting_watches": self.waiting_watches,
        }


def _version(item):
    return item["version"]


def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    options = parser.parse_args()
    WebServer(options.address, PlatformStandIn()).serve_forever()


if __name__ == "__main__":
    main()
