"""tarragonramp: the operators' command.

Exit codes: 0 success; 1 failure; 2 invalid input, nothing was changed; 3 conflict with
a concurrent change; 4 daemon or platform not reached, nothing was changed; 5 the
outcome is unknown; 6 differences found (diff) or not converged in time (watch); 7 the
operator secret is missing or wrong.
"""

import sys
import time
import urllib.parse

import defopt

from .changes import (
    apply_all,
    as_declaration,
    check_at_daemon,
    declared_spec,
    format_faults,
    read_declaration_files,
    resolve_kind,
    set_domain_state,
)
from .client import (
    EXIT_DIFFERS,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    CommandError,
    OperatorClient,
)
from .console import (
    Output,
    audit_rows,
    describe_pending,
    format_table,
    render,
    spec_diff,
)
from .declarations import (
    DeclaredObjects,
    check_declarations,
    declarations_of,
)
from .documents import read_file
from .explanation import explain_losses, explain_request
from .results import is_successful
from .settings import check_settings, is_settings

__all__ = ["main"]

WATCH_INTERVAL_S = 0.5


def apply(
    *,
    file: list[str],
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Declare the objects in YAML files; all are validated before any is written.

    A document has ``kind`` (Template, Team or FailureDomain), ``name`` and ``spec``;
    if it also has a ``version``, it is applied only if the object is still at that
    version.

    Example: tarragonramp apply --file demo/fraser-valley.yaml

    Parameters
    ----------
    file
        Files to apply together.
    daemon
        Control address of any daemon, or several separated by commas; defaults to
        TARRAGONRAMP_COMMAND_DAEMON, then to 127.0.0.1:7101.
    secret_file
        File with the operator secret; defaults to TARRAGONRAMP_COMMAND_SECRET_FILE.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    declarations = read_declaration_files(file)
    check_at_daemon(client, declarations)
    rows = apply_all(client, declarations)
    _print(
        rows, output, lambda data: format_table(data, ("object", "result", "version"))
    )


def diff(
    *,
    file: list[str],
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Show what applying YAML files would change; exit code 6 if there are changes.

    Example: tarragonramp diff --file demo/fraser-valley.yaml

    Parameters
    ----------
    file
        Files to compare with the platform.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    found = []
    for item in read_declaration_files(file):
        current = client.find(item.kind, item.name)
        spec = declared_spec(current["spec"]) if current else {}
        text = spec_diff(spec, item.spec, item.label)
        if text:
            version = current["version"] if current else 0
            found.append({"object": item.label, "version": version, "diff": text})
    _print(found, output, lambda data: "\n".join(item["diff"] for item in data))
    return EXIT_DIFFERS if found else EXIT_OK


def get(
    kind: str,
    name: str = "",
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Show objects as the platform stores them.

    The ``--output yaml`` of one object can be edited and applied; its version prevents
    that from overwriting a change made in between.

    Example: tarragonramp get Team fraser-valley --output yaml

    Parameters
    ----------
    kind
        Template, Team, FailureDomain, Assignment, Term, Member or Status.
    name
        Name of the object; lists all objects of the kind if not given.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    kind = resolve_kind(kind)
    client = OperatorClient.from_config(daemon, secret_file)
    if name:
        found = client.find(kind, name)
        if found is None:
            message = f"no {kind} named {name!r}: see 'tarragonramp get {kind}'"
            raise CommandError(EXIT_FAILED, message)
        found = as_declaration(found)
        _print(found, output, lambda item: render(item, "yaml", None))
        return
    items = client.get(f"/operator/objects/{urllib.parse.quote(kind, safe='')}")[
        "items"
    ]
    items = [as_declaration(item) for item in items]
    _print(items, output, lambda data: format_table(data, ("kind", "name", "version")))


def delete(
    kind: str,
    name: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Delete a declared object.

    A deleted team stops serving requests at once and is removed as soon as it is proved
    that the owners of its keys have released them; applying it again before that keeps
    it. Deleting a FailureDomain returns it to service if it was out or lost.

    Example: tarragonramp delete Team fraser-valley

    Parameters
    ----------
    kind
        Template, Team or FailureDomain.
    name
        Name of the object.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    kind = resolve_kind(kind)
    client = OperatorClient.from_config(daemon, secret_file)
    current = client.find(kind, name)
    if current is None:
        raise CommandError(EXIT_FAILED, f"no {kind} named {name!r}: nothing to delete")
    remaining = client.delete(kind, name, current["version"])
    leaving = bool(remaining.get("spec"))
    row = {
        "object": f"{kind}/{name}",
        "result": "leaving" if leaving else "deleted",
        "version": remaining.get("version", 0),
    }
    _print(
        [row], output, lambda data: format_table(data, ("object", "result", "version"))
    )
    if leaving and output == "table":
        print(
            "removed once its keys have no owner: follow it with 'tarragonramp watch'"
        )


def validate(*file: str, output: Output = "table"):
    """Validate team files and daemon settings offline, without platform or daemon.

    Example: tarragonramp validate demo/fraser-valley.yaml /etc/tarragonramp/d1.yaml

    Parameters
    ----------
    file
        Files to validate; team files are checked together.
    output
        Output format.
    """
    if not file:
        raise CommandError(EXIT_INVALID, "no file given: tarragonramp validate F")
    declarations, faults, rows = [], [], []
    for path in file:
        result = read_file(path)
        if is_successful(result):
            documents = result.unwrap()
            has_settings = is_settings(documents[0])
            content = "settings" if has_settings else "declarations"
            rows.append({"file": path, "holds": content, "documents": len(documents)})
            settings = check_settings(documents, {}) if has_settings else None
            result = settings or declarations_of(documents)
            if settings is None:
                declarations.extend(result.value_or(()))
        if not is_successful(result):
            faults.extend(result.failure().faults)
    found = check_declarations(declarations, DeclaredObjects())
    located_faults = [(fault, declarations[i].locate(fault)) for i, fault in found]
    # A template missing from these files may exist on the platform; apply checks it.
    notes = [text for fault, text in located_faults if _is_template_fault(fault)]
    faults.extend(
        text for fault, text in located_faults if not _is_template_fault(fault)
    )
    if faults:
        raise CommandError(EXIT_INVALID, format_faults(faults))
    for note in notes:
        print(f"note: {note} in these files", file=sys.stderr)
    _print(
        rows, output, lambda data: format_table(data, ("file", "holds", "documents"))
    )


def status(*, daemon: str = "", secret_file: str = "", output: Output = "table"):
    """Show the intended configuration, the one in force, and which daemons lag behind.

    Example: tarragonramp status --daemon 10.0.0.1:7101,10.0.1.1:7101

    Parameters
    ----------
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    _print(client.get("/operator/status"), output, _status_text)


def watch(
    *,
    timeout_s: float = 60.0,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Wait until the intended configuration is in force; exit code 6 on timeout.

    Example: tarragonramp watch --timeout-s 15

    Parameters
    ----------
    timeout_s
        Timeout in seconds; 60 if not given.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format; yaml and json print only the last status.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    deadline_s = time.monotonic() + timeout_s
    last_pending = None
    while True:
        current = client.get("/operator/status")
        pending = describe_pending(current)
        if pending != last_pending and output == "table":
            _print_pending(current, pending)
        last_pending = pending
        if not pending or time.monotonic() >= deadline_s:
            break
        time.sleep(WATCH_INTERVAL_S)
    if output != "table":
        _print(current, output, None)
    return EXIT_DIFFERS if pending else EXIT_OK


def audit(
    *,
    limit: int = 50,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Show the audit trail of changes and their outcomes, newest first.

    The outcomes are done, refused, conflict, not-done, unknown and begun. "begun" means
    that the change was attempted and its outcome was not recorded.

    Example: tarragonramp audit --limit 20

    Parameters
    ----------
    limit
        Maximum number of entries to show, up to 1000; 50 if not given.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    entries = client.get(f"/operator/audit?limit={max(1, limit)}")["items"]
    columns = ("time", "actor", "from", "action", "object", "version", "outcome")
    _print(
        entries,
        output,
        lambda data: format_table(audit_rows(data), (*columns, "detail")),
    )


def explain(
    team: str,
    service: str,
    key: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Show the owner of a key, its fencing token, who renews its grant, and why.

    Example: tarragonramp explain fraser-valley records record-17

    Parameters
    ----------
    team
        Name of the team.
    service
        Name of one of the team's divided services.
    key
        Key as callers send it.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    path = "/".join(urllib.parse.quote(part, safe="") for part in (team, service))
    quoted = urllib.parse.quote(key, safe="")
    found = client.get(f"/operator/explain/{path}?key={quoted}")
    _print(found, output, lambda item: render(item, "yaml", None))


def take_out(
    failure_domain: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Take a failure domain out of service: no new work, and its keys move away.

    Example: tarragonramp domain take-out b && tarragonramp watch

    Parameters
    ----------
    failure_domain
        Name of the failure domain.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    _print_domain_state(set_domain_state(client, failure_domain, "out"), output)


def bring_back(
    failure_domain: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Return a failure domain to service.

    Example: tarragonramp domain bring-back b

    Parameters
    ----------
    failure_domain
        Name of the failure domain.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    _print_domain_state(set_domain_state(client, failure_domain, "in"), output)


def declare_lost(
    failure_domain: str,
    *,
    confirm: str = "",
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Declare that no process runs in a failure domain any more.

    Its keys are assigned to other servers at once, without further proof. If a backend
    server or daemon still runs there, cut off from the others, keys get two owners:
    make sure that its VMs are off first.

    Example: tarragonramp domain declare-lost b --confirm b

    Parameters
    ----------
    failure_domain
        Name of the failure domain.
    confirm
        Name of the failure domain, repeated as a confirmation.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Output format.
    """
    if confirm != failure_domain:
        message = (
            f"this assigns the keys of {failure_domain} to other servers without "
            "asking their owners; make sure that its VMs are off, then add "
            f"--confirm {failure_domain}"
        )
        raise CommandError(EXIT_INVALID, message)
    client = OperatorClient.from_config(daemon, secret_file)
    _print_domain_state(
        set_domain_state(client, failure_domain, "lost", confirm=confirm), output
    )


COMMANDS = {
    "apply": apply,
    "get": get,
    "diff": diff,
    "delete": delete,
    "validate": validate,
    "status": status,
    "watch": watch,
    "audit": audit,
    "explain": explain,
    "explain-request": explain_request,
    "explain-losses": explain_losses,
    "domain": {
        "take-out": take_out,
        "bring-back": bring_back,
        "declare-lost": declare_lost,
    },
}


def main(argv=None):
    """Run the command.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program's name; those of the process by default.

    Returns
    -------
    exit_code : int
        One of the codes that the module's docstring lists.
    """
    options = {"prog": "tarragonramp", "description": __doc__}
    try:
        exit_code = defopt.run(
            COMMANDS, argv=argv, show_defaults=False, argparse_kwargs=options
        )
    except CommandError as error:
        print(f"tarragonramp: {error}", file=sys.stderr)
        if error.hint:
            print(f"next: {error.hint}", file=sys.stderr)
        return error.exit_code
    return exit_code or EXIT_OK


def _is_template_fault(fault):
    """Return whether a fault may disappear with a template that the platform has."""
    return fault.path == "spec.template"


def _print_domain_state(row, output):
    _print([row], output, lambda data: format_table(data, tuple(row)))


def _status_text(data):
    reached = "" if data["platform_reached"] else " (platform not reached)"
    domains = format_table(
        data["failure_domains"],
        (
            "failure_domain",
            "order",
            "daemons",
            "silent",
            "in_force_version",
            "in_force",
            "lagging",
            "slices_owned",
        ),
    )
    services = format_table(
        data["services"],
        ("team", "service", "slices", "owned", "releasing", "servers", "leaving"),
    )
    headline = f"intended version: {data['intended_version']}{reached}"
    return f"{headline}\n\n{domains}\n\n{services}"


def _print_pending(current, pending):
    if not pending:
        print(f"converged: version {current['intended_version']} is in force")
        return
    print(f"not converged ({len(pending)}): " + "; ".join(pending), flush=True)


def _print(data, output, to_table):
    text = render(data, output, to_table)
    if text:
        print(text)


if __name__ == "__main__":
    sys.exit(main())
