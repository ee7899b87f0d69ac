"""What operators ask a daemon, and the audit trail of what they changed."""

import json
import time
import urllib.parse
import uuid

import attrs
from returns.pipeline import is_successful

from ..adapters.web import json_reply
from ..declarations import check_declaration
from ..errors import ConflictError, NotFoundError
from ..model import KIND_AUDIT_ENTRY, OWNED
from ..slices import slice_of
from ..view import steward_role

__all__ = ["Operators"]


@attrs.define(eq=False, repr=False)
class Operators:
    """The operator port's WSGI application.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
    """

    me: object
    view: object
    platform: object

    def __call__(self, environ, start_response):
        """Serve one call of an operator."""
        parts = environ["PATH_INFO"].strip("/").split("/")[1:]
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        method = environ["REQUEST_METHOD"]
        if parts[0] == "status" and method == "GET":
            return json_reply(start_response, 200, self._status())
        if parts[0] == "explain" and method == "GET" and len(parts) == 3:
            key = query.get("key", [""])[0]
            return json_reply(start_response, *self._explain(parts[1], parts[2], key))
        if parts[0] == "objects" and len(parts) in (2, 3):
            reply = self._objects(method, parts[1:], query, environ)
            return json_reply(start_response, *reply)
        return json_reply(start_response, 404, {"error": "no such operation"})

    def _objects(self, method, names, query, environ):
        if method == "GET" and len(names) == 1:
            return _reply(self.platform.list(names[0]))
        if method == "GET":
            return _reply(self.platform.get(*names))
        actor = environ.get("HTTP_TARRAGON_ACTOR", "unknown")
        version = int(query.get("version", ["0"])[0])
        if method == "DELETE":
            return self._change("delete", names, None, version, actor)
        if method != "PUT" or len(names) != 2:
            return 405, {"error": "use GET, PUT or DELETE"}
        spec = json.loads(environ["wsgi.input"].read())
        faults = check_declaration(names[0], names[1], spec, self.view)
        if faults:
            return 400, {"error": "declaration refused", "faults": faults}
        return self._change("apply", names, spec, version, actor)

    def _change(self, action, names, spec, version, actor):
        """Change an object between two entries of the audit trail.

        The first is written before the change, so that no change is without one.
        """
        entry = {
            "at_ms": int(time.time() * 1000),
            "actor": actor,
            "action": action,
            "kind": names[0],
            "name": names[1],
            "before_version": version,
            "daemon": self.me.identity,
            "outcome": "begun",
        }
        entry_name = f"{entry['at_ms']}-{uuid.uuid4().hex[:8]}"
        begun = self.platform.put(KIND_AUDIT_ENTRY, entry_name, entry, 0)
        if not is_successful(begun):
            return 503, {"error": f"audit trail not written: {begun.failure()}"}
        if spec is None:
            result = self.platform.delete(*names, version)
        else:
            result = self.platform.put(*names, spec, version)
        status, payload = _reply(result)
        entry["outcome"] = "done" if status == 200 else payload["error"]
        self.platform.put(KIND_AUDIT_ENTRY, entry_name, entry, begun.unwrap().version)
        if status == 200:
            self.view.apply(result.unwrap())
        return status, payload

    def _status(self):
        services = []
        for (team, name), service in sorted(self.view.services().items()):
            assignment = self.view.assignment(team, name)
            owned = 0
            if assignment is not None:
                owned = sum(1 for item in assignment.slices if item.state == OWNED)
            services.append(
                {
                    "team": team,
                    "service": name,
                    "divided": service.divided,
                    "slices": service.n_slices if service.divided else 0,
                    "owned": owned,
                    "servers": len(self.view.servers_of(team, name)),
                }
            )
        return {
            "daemon": self.me.identity,
            "view_version": self.view.version,
            "members": sorted(self.view.members()),
            "services": services,
        }

    def _explain(self, team, name, key):
        service = self.view.services().get((team, name))
        if service is None or not service.divided:
            return 404, {"error": "no such divided service"}
        assignment = self.view.assignment(team, name)
        if assignment is None:
            return 404, {"error": "no assignment yet"}
        index = slice_of(key, service.n_slices)
        item = assignment.slices[index]
        term = self.view.term(steward_role(team, name, item.server))
        return 200, {
            "key": key,
            "slice": index,
            "state": item.state,
            "owner": item.server,
            "fencing_token": item.token,
            "steward": term.holder if term else "",
            "steward_term": term.number if term else 0,
        }


def _reply(result):
    if is_successful(result):
        value = result.unwrap()
        if isinstance(value, list):
            return 200, {"items": [attrs.asdict(item) for item in value]}
        return 200, attrs.asdict(value)
    error = result.failure()
    if isinstance(error, NotFoundError):
        return 404, {"error": str(error)}
    if isinstance(error, ConflictError):
        current = attrs.asdict(error.current) if error.current else None
        return 409, {"error": str(error), "current": current}
    return 503, {"error": str(error)}
