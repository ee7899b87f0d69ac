"""tarragonramp: the operators' command.

Exit codes: 0 done; 1 failed; 2 invalid input, nothing was changed; 3 lost a race
against another change; 4 daemon or platform not reached, nothing was changed; 5 the
outcome is unknown; 6 not the same (diff) or not converged (watch); 7 the operator
secret is missing or wrong.
"""

import sys
import time
import urllib.parse

import defopt
from returns.pipeline import is_successful

from .changes import (
    apply_all,
    check_at_daemon,
    declared_spec,
    format_faults,
    read_declaration_files,
    resolve_kind,
    set_domain_state,
    shown,
)
from .client import (
    EXIT_DIFFERS,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    CommandError,
    OperatorClient,
)
from .console import Output, audit_rows, difference, pending, rendered, table
from .declarations import (
    DeclaredObjects,
    check_declarations,
    declarations_of,
)
from .documents import read_file
from .explanation import explain_losses, explain_request
from .settings import check_settings, is_settings

__all__ = ["main"]

WATCH_EVERY_S = 0.5


def apply(
    *,
    file: list[str],
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Declare the objects of YAML files: all are checked before the first is written.

    A document has ``kind`` (Template, Team or FailureDomain), ``name`` and ``spec``;
    with a ``version`` as well it is applied only if the object is still at it.

    Example: tarragonramp apply --file demo/fraser-valley.yaml

    Parameters
    ----------
    file
        Files to apply together.
    daemon
        Control address of any daemon, or several with commas between; else that of
        TARRAGONRAMP_COMMAND_DAEMON, else 127.0.0.1:7101.
    secret_file
        File with the operator secret; else TARRAGONRAMP_COMMAND_SECRET_FILE.
    output
        Form of the output.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    declarations = read_declaration_files(file)
    check_at_daemon(client, declarations)
    rows = apply_all(client, declarations)
    _print(rows, output, lambda data: table(data, ("object", "result", "version")))


def diff(
    *,
    file: list[str],
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Show what applying YAML files would change; exit code 6 if anything would.

    Example: tarragonramp diff --file demo/fraser-valley.yaml

    Parameters
    ----------
    file
        Files to compare.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    found = []
    for item in read_declaration_files(file):
        current = client.find(item.kind, item.name)
        spec = declared_spec(current["spec"]) if current else {}
        text = difference(spec, item.spec, item.label)
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
    """Show objects as the platform holds them.

    What ``--output yaml`` prints of one object can be edited and applied: its
    version makes sure that nobody else's change in between is lost.

    Example: tarragonramp get Team fraser-valley --output yaml

    Parameters
    ----------
    kind
        Template, Team, FailureDomain, Assignment, Term, Member or Status.
    name
        Of the object; all of the kind if not given.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    kind = resolve_kind(kind)
    client = OperatorClient.from_config(daemon, secret_file)
    if name:
        found = client.find(kind, name)
        if found is None:
            message = f"no {kind} named {name!r}: see 'tarragonramp get {kind}'"
            raise CommandError(EXIT_FAILED, message)
        found = shown(found)
        _print(found, output, lambda item: rendered(item, "yaml", None))
        return
    items = client.get(f"/operator/objects/{urllib.parse.quote(kind, safe='')}")[
        "items"
    ]
    items = [shown(item) for item in items]
    _print(items, output, lambda data: table(data, ("kind", "name", "version")))


def delete(
    kind: str,
    name: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Delete a declared object.

    A team takes no requests from then on and goes once the owners of its keys are
    proved to have let go; apply it again before that and it stays. Deleting a
    FailureDomain takes an order about it back.

    Example: tarragonramp delete Team fraser-valley

    Parameters
    ----------
    kind
        Template, Team or FailureDomain.
    name
        Of the object.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    kind = resolve_kind(kind)
    client = OperatorClient.from_config(daemon, secret_file)
    current = client.find(kind, name)
    if current is None:
        raise CommandError(EXIT_FAILED, f"no {kind} named {name!r}: nothing to delete")
    left = client.delete(kind, name, current["version"])
    leaving = bool(left.get("spec"))
    row = {
        "object": f"{kind}/{name}",
        "result": "leaving" if leaving else "deleted",
        "version": left.get("version", 0),
    }
    _print([row], output, lambda data: table(data, ("object", "result", "version")))
    if leaving and output == "table":
        print("it goes once its keys have no owner: 'tarragonramp watch' follows")


def validate(*file: str, output: Output = "table"):
    """Check team files and daemon settings without a platform or daemon.

    Example: tarragonramp validate demo/fraser-valley.yaml /etc/tarragonramp/d1.yaml

    Parameters
    ----------
    file
        Files to check; team files are checked together.
    output
        Form of the output.
    """
    if not file:
        raise CommandError(EXIT_INVALID, "no file given: tarragonramp validate F")
    declarations, faults, rows = [], [], []
    for path in file:
        result = read_file(path)
        if is_successful(result):
            documents = result.unwrap()
            settings = is_settings(documents[0])
            what = "settings" if settings else "declarations"
            rows.append({"file": path, "holds": what, "documents": len(documents)})
            checked = check_settings(documents, {}) if settings else None
            result = checked or declarations_of(documents)
            if checked is None:
                declarations.extend(result.value_or(()))
        if not is_successful(result):
            faults.extend(result.failure().faults)
    found = check_declarations(declarations, DeclaredObjects())
    located = [(fault, declarations[i].locate(fault)) for i, fault in found]
    # A template may be in the platform already: apply will tell.
    notes = [text for fault, text in located if _is_elsewhere(fault)]
    faults.extend(text for fault, text in located if not _is_elsewhere(fault))
    if faults:
        raise CommandError(EXIT_INVALID, format_faults(faults))
    for note in notes:
        print(f"note: {note} in these files", file=sys.stderr)
    _print(rows, output, lambda data: table(data, ("file", "holds", "documents")))


def status(*, daemon: str = "", secret_file: str = "", output: Output = "table"):
    """Show what operators intend against what is in force, and who lags.

    Example: tarragonramp status --daemon 10.0.0.1:7101,10.0.1.1:7101

    Parameters
    ----------
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
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
    """Follow until everything intended is in force; exit code 6 if it is not in time.

    Example: tarragonramp watch --timeout-s 15

    Parameters
    ----------
    timeout_s
        When to give up, in seconds; 60 if not given.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the last line; yaml and json print the last status.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    until_s = time.monotonic() + timeout_s
    shown = None
    while True:
        current = client.get("/operator/status")
        left = pending(current)
        if left != shown and output == "table":
            _print_pending(current, left)
        shown = left
        if not left or time.monotonic() >= until_s:
            break
        time.sleep(WATCH_EVERY_S)
    if output != "table":
        _print(current, output, None)
    return EXIT_DIFFERS if left else EXIT_OK


def audit(
    *,
    limit: int = 50,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Show who changed what, when, and what became of it; newest first.

    The outcomes are done, refused, conflict, not-done, unknown, and begun: a change
    was tried and its outcome was not recorded.

    Example: tarragonramp audit --limit 20

    Parameters
    ----------
    limit
        Most entries to show, up to 1000; 50 if not given.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    entries = client.get(f"/operator/audit?limit={max(1, limit)}")["items"]
    columns = ("time", "actor", "from", "action", "object", "version", "outcome")
    _print(
        entries,
        output,
        lambda data: table(audit_rows(data), (*columns, "detail")),
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
    """Show who owns a key, under which fencing token, who renews its grant, and why.

    Example: tarragonramp explain fraser-valley records record-17

    Parameters
    ----------
    team
        Name of the team.
    service
        Name of one of its divided services.
    key
        The key as callers send it.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    path = "/".join(urllib.parse.quote(part, safe="") for part in (team, service))
    quoted = urllib.parse.quote(key, safe="")
    found = client.get(f"/operator/explain/{path}?key={quoted}")
    _print(found, output, lambda item: rendered(item, "yaml", None))


def take_out(
    failure_domain: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Give a failure domain no new work, and move its keys away.

    Example: tarragonramp domain take-out b && tarragonramp watch

    Parameters
    ----------
    failure_domain
        Its name.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    _print_order(set_domain_state(client, failure_domain, "out"), output)


def bring_back(
    failure_domain: str,
    *,
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Give a failure domain work again.

    Example: tarragonramp domain bring-back b

    Parameters
    ----------
    failure_domain
        Its name.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    client = OperatorClient.from_config(daemon, secret_file)
    _print_order(set_domain_state(client, failure_domain, "in"), output)


def declare_lost(
    failure_domain: str,
    *,
    confirm: str = "",
    daemon: str = "",
    secret_file: str = "",
    output: Output = "table",
):
    """Say that no process runs in a failure domain any more.

    Its keys are given to others at once, on this word alone. If a backend server or
    daemon does run there, cut off from the others, keys get two owners: make sure
    that its VMs are off first.

    Example: tarragonramp domain declare-lost b --confirm b

    Parameters
    ----------
    failure_domain
        Its name.
    confirm
        Its name once more.
    daemon
        Control address of any daemon.
    secret_file
        File with the operator secret.
    output
        Form of the output.
    """
    if confirm != failure_domain:
        message = (
            f"this gives the keys of {failure_domain} to others without asking their "
            "owners; make sure that its VMs are off, then add "
            f"--confirm {failure_domain}"
        )
        raise CommandError(EXIT_INVALID, message)
    client = OperatorClient.from_config(daemon, secret_file)
    _print_order(
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
        Arguments without the program's name.

    Returns
    -------
    exit_code : int
        As the module's text lists them.
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


def _is_elsewhere(fault):
    return fault.path == "spec.template"


def _print_order(row, output):
    _print([row], output, lambda data: table(data, tuple(row)))


def _status_text(data):
    reached = "" if data["platform_reached"] else " (platform not reached)"
    domains = table(
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
    services = table(
        data["services"],
        ("team", "service", "slices", "owned", "releasing", "servers", "leaving"),
    )
    head = f"intended version: {data['intended_version']}{reached}"
    return f"{head}\n\n{domains}\n\n{services}"


def _print_pending(current, left):
    if not left:
        print(f"converged: version {current['intended_version']} is in force")
        return
    print(f"not yet ({len(left)}): " + "; ".join(left), flush=True)


def _print(data, output, as_table):
    text = rendered(data, output, as_table)
    if text:
        print(text)


if __name__ == "__main__":
    sys.exit(main())
