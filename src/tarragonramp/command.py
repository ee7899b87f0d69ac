"""tarragonramp: the operators' command."""

import getpass
import json
import os
import sys
import urllib.parse

import defopt
import yaml

__all__ = ["main"]

from .adapters.http import HttpPool
from .errors import ExchangeError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

DEFAULT_DAEMON = "127.0.0.1:7101"
TIMEOUT_MS = 10_000.0


class _CommandError(Exception):
    def __init__(self, exit_code, message):
        super().__init__(message)
        self.exit_code = exit_code


def apply(*, file: str, daemon: str = DEFAULT_DAEMON):
    """Declare the objects of a YAML file.

    Parameters
    ----------
    file
        Documents with ``kind``, ``name`` and ``spec``.
    daemon
        Control address of any daemon.
    """
    with open(file, encoding="utf-8") as stream:
        documents = [item for item in yaml.safe_load_all(stream) if item]
    for document in documents:
        kind, name = document["kind"], document["name"]
        target = f"/operator/objects/{kind}/{name}"
        status, current = _call(daemon, "GET", target)
        version = current["version"] if status == 200 else 0
        if status == 200 and current["spec"] == document["spec"]:
            print(f"{kind}/{name} unchanged (version {version})")
            continue
        stored = _checked(
            _call(daemon, "PUT", f"{target}?version={version}", document["spec"])
        )
        print(f"{kind}/{name} applied (version {stored['version']})")


def get(kind: str, name: str = "", *, daemon: str = DEFAULT_DAEMON):
    """Show objects as the platform holds them.

    Parameters
    ----------
    kind
        Kind of the objects.
    name
        One object; all of the kind without it.
    daemon
        Control address of any daemon.
    """
    target = f"/operator/objects/{kind}" + (f"/{name}" if name else "")
    print(yaml.safe_dump(_checked(_call(daemon, "GET", target)), sort_keys=False))


def status(*, daemon: str = DEFAULT_DAEMON):
    """Show what is in force at a daemon.

    Parameters
    ----------
    daemon
        Control address of the daemon.
    """
    print(yaml.safe_dump(_checked(_call(daemon, "GET", "/operator/status"))))


def explain(team: str, service: str, key: str, *, daemon: str = DEFAULT_DAEMON):
    """Show who owns a key, under which token, and who renews its grants.

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
    """
    quoted = urllib.parse.quote(key, safe="")
    target = f"/operator/explain/{team}/{service}?key={quoted}"
    print(yaml.safe_dump(_checked(_call(daemon, "GET", target)), sort_keys=False))


def main(argv=None):
    """Run the command.

    Returns
    -------
    exit_code : int
        0 done, 1 failed, 2 invalid input, 3 lost a race, 4 daemon or platform not
        reached.
    """
    try:
        defopt.run([apply, get, status, explain], argv=argv)
    except _CommandError as error:
        print(f"tarragonramp: {error}", file=sys.stderr)
        return error.exit_code
    return EXIT_OK


def _call(daemon, method, target, payload=None):
    body = b"" if payload is None else json.dumps(payload).encode()
    headers = [("Tarragon-Actor", os.environ.get("USER") or getpass.getuser())]
    result = HttpPool(daemon).exchange(method, target, headers, body, TIMEOUT_MS)
    answer = result.value_or(None)
    if answer is None:
        error: ExchangeError = result.failure()
        raise _CommandError(EXIT_UNREACHABLE, f"daemon not reached: {error}")
    return answer.status, json.loads(answer.body)


def _checked(reply):
    status_code, payload = reply
    if status_code == 200:
        return payload
    message = "\n  ".join([payload.get("error", ""), *payload.get("faults", [])])
    codes = {400: EXIT_INVALID, 409: EXIT_CONFLICT, 503: EXIT_UNREACHABLE}
    raise _CommandError(codes.get(status_code, EXIT_FAILED), message)


if __name__ == "__main__":
    sys.exit(main())
