"""Operator API: queries, and changes that are recorded in the audit trail."""

import urllib.parse
import uuid

import attrs
from returns.result import Result

from ..adapters.json_lists import parse_json
from ..adapters.web import json_reply
from ..declarations import (
    DECLARED_KINDS,
    SYSTEM_FIELDS,
    Declaration,
    DeclaredObjects,
    check_declarations,
    check_deletion,
)
from ..errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    PlatformNotSentError,
    PlatformUnreachableError,
)
from ..model import (
    KIND_ASSIGNMENT,
    KIND_FAILURE_DOMAIN,
    KIND_TEAM,
    KIND_TEMPLATE,
    LOST,
    Stored,
    Team,
    Template,
)
from ..results import is_successful
from ..structuring import structure
from . import audit
from .writes import delete_until_resolved, put_until_resolved

__all__ = ["Operators"]

MAX_BODY_BYTES = 1_048_576
MAX_DOCUMENTS = 200
MAX_AUDIT_ENTRIES = 1000
DEFAULT_AUDIT_ENTRIES = 50
CHANGE_TIMEOUT_MS = 5000
MAX_ACTOR_LENGTH = 64


class _CallError(Exception):
    """Ends a call with an error response."""

    def __init__(self, status, message, faults=()):
        super().__init__(message)
        self.reply = status, {"error": message, "faults": list(faults)}


@attrs.define(eq=False, repr=False)
class Operators:
    """The WSGI application of the operator API.

    Parameters
    ----------
    me : Member
    view : View
    platform : Platform
    overview : Overview
    clock : Clock
    trail : AuditTrail
    secrets : Secrets
    """

    me: object
    view: object
    platform: object
    overview: object
    clock: object
    trail: object
    secrets: object

    def __call__(self, environ, start_response):
        """Handle one call of an operator."""
        if not self.secrets.accepts(environ.get("HTTP_AUTHORIZATION")):
            self.trail.record_unauthenticated(
                _change(environ, environ["PATH_INFO"][:100], "", 0)
            )
            message = "the operator secret is missing or wrong"
            return json_reply(start_response, 401, {"error": message})
        try:
            status, payload = self._serve(environ)
        except _CallError as error:
            status, payload = error.reply
        return json_reply(start_response, status, payload)

    def _serve(self, environ):
        parts = environ["PATH_INFO"].strip("/").split("/")[1:]
        query = {
            key: values[0]
            for key, values in urllib.parse.parse_qs(
                environ.get("QUERY_STRING", "")
            ).items()
        }
        method = environ["REQUEST_METHOD"]
        if method == "GET" and parts == ["status"]:
            return 200, self.overview.status()
        if method == "GET" and parts == ["services"]:
            return 200, {"services": self.overview.services()}
        if method == "GET" and parts == ["audit"]:
            return self._audit(query)
        if method == "GET" and parts[0] == "explain" and len(parts) == 3:
            return self.overview.explain(parts[1], parts[2], query.get("key", ""))
        if method == "POST" and parts == ["check"]:
            return self._check(_parse_json_body(environ))
        if parts[0] == "objects" and len(parts) in (2, 3):
            return self._objects(method, parts[1:], query, environ)
        return 404, {"error": "no such operation"}

    def _objects(self, method, names, query, environ):
        if method == "GET" and len(names) == 1:
            return _reply(self.platform.list(names[0]))
        if method == "GET":
            return _reply(self.platform.get(*names))
        if method not in ("PUT", "DELETE") or len(names) != 2:
            return 405, {"error": "use GET, PUT or DELETE"}
        change = _change(
            environ, *names, _parse_number(query.get("version", "0"), "version")
        )
        if method == "DELETE":
            return self._delete(change)
        return self._put(change, _parse_json_body(environ), query)

    def _check(self, documents):
        """Validate several declarations together, before any of them is written."""
        if not isinstance(documents, list) or len(documents) > MAX_DOCUMENTS:
            message = f"expected a list of at most {MAX_DOCUMENTS} documents"
            return 400, {"error": message}
        declarations = [_declaration(item) for item in documents]
        found = check_declarations(declarations, self._declared())
        faults = [
            {"index": i, "path": fault.path, "message": fault.message}
            for i, fault in found
        ]
        return 200, {"faults": faults}

    def _put(self, change, spec, query):
        faults = self._put_faults(change, spec, query)
        if faults:
            self.trail.refused(change, faults[0])
            return 400, {"error": "declaration refused", "faults": faults}
        spec = {**spec, "request_id": change.change_id}
        if change.kind == KIND_FAILURE_DOMAIN:
            spec["changed_by"] = change.actor
        status, payload = self._write(change, spec)
        if status == 200 and change.kind != KIND_FAILURE_DOMAIN:
            payload["warnings"] = self._conflict_warnings(change)
        return status, payload

    def _conflict_warnings(self, change):
        """Validate again after the write, and return conflicts as warnings.

        Two operators whose declarations conflict can pass the checks at the same
        time. At least the one whose write came last is warned.
        """
        try:
            declared = self._declared()
        except _CallError:
            return []
        declarations = [
            Declaration(KIND_TEAM, name, attrs.asdict(team))
            for name, team in declared.teams.items()
            if name == change.name or change.kind == KIND_TEMPLATE
        ]
        declarations = [
            attrs.evolve(item, spec=_without_system_fields(item.spec))
            for item in declarations
        ]
        return [
            f"{declarations[index].label}: {fault}"
            for index, fault in check_declarations(declarations, declared)
        ]

    def _put_faults(self, change, spec, query):
        declaration = _declaration(
            {"kind": change.kind, "name": change.name, "spec": spec}
        )
        found = check_declarations([declaration], self._declared())
        faults = [str(fault) for _, fault in found]
        if not faults and change.kind == KIND_FAILURE_DOMAIN:
            faults = self._domain_faults(change.name, spec, query)
        return faults

    def _domain_faults(self, name, spec, query):
        state = spec.get("state", "in")
        if state != "in" and name not in self.overview.domains():
            known = ", ".join(sorted(self.overview.domains())) or "none"
            return [f"name: no daemon or backend server is in {name!r}; known: {known}"]
        if state == LOST and query.get("confirm") != name:
            return [
                f"spec.state: 'lost' says that no process runs in {name} any more; if "
                "one does, keys get two owners. Declare it by "
                f"'tarragonramp domain declare-lost {name} --confirm {name}'"
            ]
        return []

    def _delete(self, change):
        found = check_deletion(change.kind, change.name, self._declared())
        if found:
            faults = [str(fault) for fault in found]
            self.trail.refused(change, faults[0])
            return 400, {"error": "deletion refused", "faults": faults}
        if change.kind == KIND_TEAM and self._has_assignments(change.name):
            return self._start_team_deletion(change)
        return self._write(change, None)

    def _start_team_deletion(self, change):
        """Start the deletion of a team whose keys may have owners.

        The planner has each owner release its keys, with proof, and then deletes the
        team. If it were deleted at once, its servers would continue to act as owners,
        while a team declared again could assign their keys to others.
        """
        held = self.platform.get(KIND_TEAM, change.name)
        if not is_successful(held):
            return _reply(held)
        spec = {**held.unwrap().spec, "leaving": True, "request_id": change.change_id}
        return self._write(change, spec)

    def _write(self, change, spec):
        """Change an object; its audit entry is written before and after the change."""
        begun = self.trail.begin(change)
        if not is_successful(begun):
            message = f"nothing changed: audit trail not written: {begun.failure()}"
            return 503, {"error": message}
        result = self._apply_change(change, spec)
        status, payload = _reply(result, changes=True)
        after_version = 0
        if status == 200 and result.unwrap() is not None:
            after_version = result.unwrap().version
            self.view.apply(result.unwrap())
        outcome = _OUTCOMES_BY_STATUS.get(status, audit.NOT_DONE)
        detail = "" if status == 200 else payload["error"]
        self.trail.finish(begun.unwrap(), outcome, detail, after_version)
        return status, payload

    def _apply_change(self, change, spec) -> Result:
        until_ms = self.clock.now_ms() + CHANGE_TIMEOUT_MS
        if spec is None:
            return delete_until_resolved(
                self.platform,
                self.clock,
                change.kind,
                change.name,
                change.before_version,
                until_ms,
            )
        stored = Stored(change.kind, change.name, change.before_version, spec)
        return put_until_resolved(self.platform, self.clock, stored, until_ms)

    def _declared(self):
        """Return the current declarations, from the platform since the view may lag."""
        templates = self._list_or_raise(KIND_TEMPLATE)
        teams = self._list_or_raise(KIND_TEAM)
        assigned = {
            (item.team, item.service): len(item.slices)
            for item in self.view.all_of(KIND_ASSIGNMENT).values()
        }
        return DeclaredObjects(
            _parsed(templates, Template), _parsed(teams, Team), assigned
        )

    def _list_or_raise(self, kind):
        found = self.platform.list(kind)
        if not is_successful(found):
            raise _CallError(503, f"nothing changed: {found.failure()}")
        return found.unwrap()

    def _has_assignments(self, team):
        found = [
            item
            for item in self.view.all_of(KIND_ASSIGNMENT).values()
            if item.team == team
        ]
        divided = any(
            service.divided
            for (name, _), service in self.view.services().items()
            if name == team
        )
        return bool(found) or divided

    def _audit(self, query):
        limit = _parse_number(query.get("limit", str(DEFAULT_AUDIT_ENTRIES)), "limit")
        result = self.trail.entries(min(limit, MAX_AUDIT_ENTRIES))
        if not is_successful(result):
            return _reply(result)
        entries = result.unwrap()
        for entry in entries:
            if entry["outcome"] == audit.BEGUN:
                entry["detail"] = self._outcome_of(entry)
        return 200, {"items": entries}

    def _outcome_of(self, entry):
        """Describe what is known about a change whose outcome was not recorded."""
        found = self.platform.get(entry["kind"], entry["name"])
        if not is_successful(found):
            return "outcome not recorded; the object is not there or not read"
        if found.unwrap().spec.get("request_id") == entry["change_id"]:
            return "outcome not recorded; the change is in the object now"
        return f"outcome not recorded; object is at version {found.unwrap().version}"


_OUTCOMES_BY_STATUS = {200: audit.DONE, 409: audit.CONFLICT, 504: audit.UNKNOWN}


def _change(environ, kind, name, version):
    actor = environ.get("HTTP_TARRAGON_ACTOR", "unknown")
    actor = "".join(c for c in actor if c.isprintable())[:MAX_ACTOR_LENGTH]
    return audit.Change(
        actor=actor,
        remote=environ.get("REMOTE_ADDR", ""),
        action=environ["REQUEST_METHOD"].lower(),
        kind=kind,
        name=name,
        before_version=version,
        change_id=environ.get("HTTP_TARRAGON_REQUEST_ID") or uuid.uuid4().hex,
    )


def _declaration(raw):
    kind = raw.get("kind") if isinstance(raw, dict) else None
    if kind not in list(DECLARED_KINDS):
        known = ", ".join(DECLARED_KINDS)
        message = f"kind: {kind!r} cannot be declared; use one of {known}"
        raise _CallError(400, "declaration refused", [message])
    name, spec = raw.get("name"), raw.get("spec")
    if not isinstance(name, str) or not isinstance(spec, dict):
        message = "expected name (text) and spec (mapping)"
        raise _CallError(400, "declaration refused", [message])
    return Declaration(kind, name, spec)


def _without_system_fields(spec):
    return {key: value for key, value in spec.items() if key not in SYSTEM_FIELDS}


def _parsed(items, wanted):
    found = {item.name: structure(item.spec, wanted) for item in items}
    return {n: item.unwrap() for n, item in found.items() if is_successful(item)}


def _parse_json_body(environ):
    length = _parse_number(environ.get("CONTENT_LENGTH") or "0", "Content-Length")
    if length > MAX_BODY_BYTES:
        raise _CallError(413, f"longer than {MAX_BODY_BYTES} bytes")
    try:
        return parse_json(environ["wsgi.input"].read(length))
    except ValueError as error:
        raise _CallError(400, f"the body is not JSON: {error}") from error


def _parse_number(text, what):
    if not text.isascii() or not text.isdigit():
        raise _CallError(400, f"{what}: {text!r} is not a whole number")
    return int(text)


def _reply(result, changes=False):
    """Return the HTTP status and payload for a platform result.

    Parameters
    ----------
    result : Result
    changes : bool, default=False
        Whether the call was a write: without a response its outcome is unknown.
    """
    if is_successful(result):
        value = result.unwrap()
        if isinstance(value, list):
            return 200, {"items": [attrs.asdict(item) for item in value]}
        return 200, {} if value is None else attrs.asdict(value)
    error: PlatformError = result.failure()
    if isinstance(error, NotFoundError):
        return 404, {"error": "no such object"}
    if isinstance(error, ConflictError):
        current = attrs.asdict(error.current) if error.current else None
        return 409, {"error": str(error), "current": current}
    not_sent = isinstance(error, PlatformNotSentError)
    if not_sent or (isinstance(error, PlatformUnreachableError) and not changes):
        return 503, {"error": f"platform not reached, nothing changed: {error}"}
    if isinstance(error, PlatformUnreachableError):
        return 504, {"error": f"outcome unknown: {error}"}
    return 500, {"error": str(error)}
