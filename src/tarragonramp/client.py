"""Calls of the operators' command to a daemon."""

import getpass
import json
import os
import time
import urllib.parse
import uuid

import attrs
from returns.pipeline import is_successful

from .adapters.http import HttpPool
from .checks import address as check_address
from .credentials import Secrets
from .errors import NotSentError, TarragonError

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_DIFFERS",
    "EXIT_FAILED",
    "EXIT_INVALID",
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "EXIT_UNREACHABLE",
    "CommandError",
    "OperatorClient",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5
EXIT_DIFFERS = 6
EXIT_REFUSED = 7

DEFAULT_DAEMON = "127.0.0.1:7101"
DAEMON_VARIABLE = "TARRAGONRAMP_COMMAND_DAEMON"
SECRET_FILE_VARIABLE = "TARRAGONRAMP_COMMAND_SECRET_FILE"
TIMEOUT_MS = 10_000.0
ROUNDS = 3
ROUND_PAUSE_S = 0.5

_EXIT_CODES = {
    400: EXIT_INVALID,
    401: EXIT_REFUSED,
    409: EXIT_CONFLICT,
    413: EXIT_INVALID,
    503: EXIT_UNREACHABLE,
    504: EXIT_UNKNOWN,
}
_HINTS = {
    EXIT_CONFLICT: "somebody else changed it: look with 'tarragonramp get' or "
    "'tarragonramp diff', then decide again",
    EXIT_UNREACHABLE: "nothing was changed: try again, or another daemon (--daemon)",
    EXIT_UNKNOWN: "it may or may not have taken effect: look with 'tarragonramp get' "
    "and 'tarragonramp audit'; repeating the same command is safe",
    EXIT_REFUSED: f"give the secret by --secret-file or {SECRET_FILE_VARIABLE}",
}


class CommandError(TarragonError):
    """Ends the command.

    Parameters
    ----------
    exit_code : int
    message : str
    payload : dict, optional
        What the daemon answered.
    """

    def __init__(self, exit_code, message, payload=None):
        super().__init__(message)
        self.exit_code = exit_code
        self.payload = payload or {}

    @property
    def hint(self):
        """What to do next; empty if the message says it."""
        return _HINTS.get(self.exit_code, "")


@attrs.define(eq=False, repr=False)
class OperatorClient:
    """Talks to the first of some daemons that answers.

    Parameters
    ----------
    addresses : tuple of str
        Control ``ip:port``; any daemon will do.
    secrets : Secrets
    actor : str
        Who the audit trail names.
    """

    addresses: tuple[str, ...]
    secrets: Secrets
    actor: str

    @classmethod
    def from_config(cls, daemon, secret_file, environment=os.environ):
        """Make one of the command's options, or of the environment.

        Parameters
        ----------
        daemon : str
            One or more addresses with commas between; empty for the environment's.
        secret_file : str
        environment : mapping

        Raises
        ------
        CommandError
            If an address or the file cannot be used.
        """
        text = daemon or environment.get(DAEMON_VARIABLE, DEFAULT_DAEMON)
        addresses = tuple(item.strip() for item in text.split(","))
        for item in addresses:
            try:
                check_address(None, None, item)
            except ValueError as error:
                raise CommandError(EXIT_INVALID, f"--daemon: {error}") from error
        path = secret_file or environment.get(SECRET_FILE_VARIABLE, "")
        return cls(addresses, _read_secrets(path), _actor())

    def get(self, target):
        """Read something.

        Returns
        -------
        payload : dict

        Raises
        ------
        CommandError
        """
        return _checked(self._call("GET", target, None, ""))

    def find(self, kind, name):
        """Return an object as the platform holds it, or None."""
        status, payload = self._call("GET", _target(kind, name), None, "")
        return None if status == 404 else _checked((status, payload))

    def post(self, target, payload):
        """Send something that changes nothing; return the answer's payload."""
        return _checked(self._call("POST", target, payload, ""))

    def put(self, kind, name, spec, version, **query):
        """Write an object that is at a version; return its new state."""
        target = _target(kind, name, version=version, **query)
        return self._change("PUT", target, spec)

    def delete(self, kind, name, version):
        """Delete an object that is at a version; return what is left of it."""
        return self._change("DELETE", _target(kind, name, version=version), None)

    def _change(self, method, target, payload):
        """Change something once, however many answers are lost.

        The request id stays the same over all tries, and the update is conditional
        on a version: a repetition of a change that has taken effect is recognised.
        """
        request_id = uuid.uuid4().hex
        in_doubt = False
        for round_number in range(ROUNDS):
            if round_number:
                time.sleep(ROUND_PAUSE_S)
            status, answer = self._call(method, target, payload, request_id)
            gone = status in (404, 409) and answer.get("current") is None
            if in_doubt and method == "DELETE" and gone:
                return {}
            if status != 504:
                return _checked((status, answer))
            in_doubt = True
        return _checked((status, answer))

    def _call(self, method, target, payload, request_id):
        """Return status and payload; 503 if no daemon was reached."""
        body = b"" if payload is None else json.dumps(payload).encode()
        headers = [*self.secrets.headers, ("Tarragon-Actor", self.actor)]
        if request_id:
            headers.append(("Tarragon-Request-Id", request_id))
        faults = []
        for address in self.addresses:
            result = HttpPool(address).exchange(
                method, target, headers, body, TIMEOUT_MS
            )
            if is_successful(result):
                return result.unwrap().status, _parsed(result.unwrap())
            faults.append(str(result.failure()))
            reading = method != "PUT" and method != "DELETE"
            if not reading and not isinstance(result.failure(), NotSentError):
                return 504, {"error": f"no answer from the daemon: {faults[-1]}"}
        return 503, {"error": f"daemon not reached: {'; '.join(faults)}"}


def _target(kind, name, **query):
    path = "/".join(urllib.parse.quote(part, safe="") for part in (kind, name))
    return f"/operator/objects/{path}" + (
        f"?{urllib.parse.urlencode(query)}" if query else ""
    )


def _parsed(answer):
    try:
        return json.loads(answer.body)
    except ValueError:
        return {"error": f"the daemon answered {answer.status} without JSON"}


def _checked(reply):
    status, payload = reply
    if status == 200:
        return payload
    lines = [payload.get("error", f"status {status}"), *payload.get("faults", [])]
    exit_code = _EXIT_CODES.get(status, EXIT_FAILED)
    raise CommandError(exit_code, "\n  ".join(map(str, lines)), payload)


def _read_secrets(path):
    if not path:
        return Secrets()
    try:
        with open(path, encoding="utf-8") as stream:
            return Secrets.from_text(stream.read())
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(EXIT_INVALID, f"--secret-file: {path}: {error}") from error


def _actor():
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "unknown"
    return name.encode("ascii", "replace").decode()
