"""Changes that the operators' command requests from a daemon."""

import sys

from .client import EXIT_CONFLICT, EXIT_INVALID, CommandError
from .console import spec_diff
from .declarations import DECLARED_KINDS, SYSTEM_FIELDS, read_declarations
from .documents import Fault
from .model import KIND_FAILURE_DOMAIN, KIND_TEAM, KIND_TEMPLATE, VIEWED_KINDS
from .results import is_successful

__all__ = [
    "apply_all",
    "check_at_daemon",
    "format_faults",
    "declared_spec",
    "resolve_kind",
    "set_domain_state",
    "read_declaration_files",
    "as_declaration",
]

APPLY_ORDER = (KIND_TEMPLATE, KIND_FAILURE_DOMAIN, KIND_TEAM)


def resolve_kind(text):
    """Return the kind for an operator's input, ignoring case."""
    for kind in VIEWED_KINDS:
        if kind.lower() == text.lower():
            return kind
    known = ", ".join(VIEWED_KINDS)
    raise CommandError(EXIT_INVALID, f"unknown kind {text!r}; known are {known}")


def read_declaration_files(files):
    """Read the declarations of several files.

    Raises
    ------
    CommandError
        With the faults of all files.
    """
    if not files:
        raise CommandError(EXIT_INVALID, "no file given: add --file team.yaml")
    declarations, faults = [], []
    for path in files:
        result = read_declarations(path)
        if is_successful(result):
            declarations.extend(result.unwrap())
        else:
            faults.extend(result.failure().faults)
    if faults:
        raise CommandError(EXIT_INVALID, format_faults(faults))
    return declarations


def check_at_daemon(client, declarations):
    """Let a daemon check declarations against the objects that exist already.

    Raises
    ------
    CommandError
        With all faults that the daemon found.
    """
    documents = [
        {"kind": item.kind, "name": item.name, "spec": item.spec}
        for item in declarations
    ]
    found = client.post("/operator/check", documents)["faults"]
    if not found:
        return
    faults = [
        declarations[item["index"]].locate(Fault(item["path"], item["message"]))
        for item in found
    ]
    raise CommandError(EXIT_INVALID, format_faults(faults))


def format_faults(faults):
    """Return faults as text, with their number."""
    lines = "\n  ".join(str(fault) for fault in faults)
    return f"{len(faults)} errors, nothing was changed\n  {lines}"


def apply_all(client, declarations):
    """Write checked declarations, dependencies first.

    Returns
    -------
    rows : list of dict
        The result for each declaration.

    Raises
    ------
    CommandError
        If a write fails; the message lists what was applied and what was not.
    """
    ordered = sorted(declarations, key=lambda item: APPLY_ORDER.index(item.kind))
    rows = []
    try:
        for declaration in ordered:
            rows.append(_apply_one(client, declaration))
    except CommandError as error:
        failed = ordered[len(rows)]
        done = [row["object"] for row in rows if row["result"] != "unchanged"]
        left = [item.label for item in ordered[len(rows) :]]
        message = f"{failed.label}: {error}\napplied: {', '.join(done) or 'none'}"
        message += f"\nnot applied: {', '.join(left)}"
        raise CommandError(error.exit_code, message, error.payload) from error
    return rows


def _apply_one(client, declaration):
    current = client.find(declaration.kind, declaration.name)
    version = current["version"] if current else 0
    wanted = version if declaration.version is None else declaration.version
    if wanted != version:
        message = f"the file is for version {wanted}, platform holds {version}"
        raise _conflict_error(message, declaration, current)
    if current and _is_unchanged(current["spec"], declaration.spec):
        return {"object": declaration.label, "result": "unchanged", "version": version}
    try:
        stored = client.put(
            declaration.kind, declaration.name, declaration.spec, wanted
        )
    except CommandError as error:
        if error.exit_code != EXIT_CONFLICT:
            raise
        raise _conflict_error(
            error, declaration, error.payload.get("current")
        ) from error
    for warning in stored.get("warnings", []):
        print(f"warning: clashes with another change: {warning}", file=sys.stderr)
    return {
        "object": declaration.label,
        "result": "applied",
        "version": stored["version"],
    }


def _conflict_error(message, declaration, current):
    """Return the error for an object changed by someone else, with a diff."""
    spec = declared_spec(current["spec"]) if current else {}
    text = spec_diff(spec, declaration.spec, declaration.label)
    return CommandError(EXIT_CONFLICT, f"{message}\n{text}")


def _is_unchanged(stored_spec, spec):
    return not stored_spec.get("leaving") and declared_spec(stored_spec) == spec


def declared_spec(spec):
    """Return a stored spec without the fields that the system adds."""
    return {key: value for key, value in spec.items() if key not in SYSTEM_FIELDS}


def as_declaration(stored):
    """Return an object in the form of a declaration, with its version."""
    spec = stored["spec"]
    if stored["kind"] in DECLARED_KINDS:
        spec = declared_spec(spec)
    return {
        "kind": stored["kind"],
        "name": stored["name"],
        "version": stored["version"],
        "spec": spec,
    }


def set_domain_state(client, failure_domain, state, **query):
    """Set the state of a failure domain; return the old and new state and the version.

    ``query`` is sent as query parameters of the write.
    """
    current = client.find(KIND_FAILURE_DOMAIN, failure_domain)
    version = current["version"] if current else 0
    before = current["spec"].get("state", "in") if current else "in"
    if before != state:
        spec = {"state": state}
        stored = client.put(KIND_FAILURE_DOMAIN, failure_domain, spec, version, **query)
        version = stored["version"]
    return {
        "failure_domain": failure_domain,
        "before": before,
        "order": state,
        "version": version,
    }
