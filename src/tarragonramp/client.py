"""Client of the operator API that daemons serve on their control ports."""

import getpass
import json
import os
import time
import urllib.parse
import uuid

import attrs

from .adapters.http import HttpPool
from .checks import address as check_address
from .credentials import Secrets
from .errors import NotSentError, TarragonError
from .results import is_successful

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
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.5

_EXIT_CODES_BY_STATUS = {
    400: EXIT_INVALID,
    401: EXIT_REFUSED,
    409: EXIT_CONFLICT,
    413: EXIT_INVALID,
    503: EXIT_UNREACHABLE,
    504: EXIT_UNKNOWN,
}
_HINTS = {
    EXIT_CONFLICT: "the object was changed in between: compare it with 'tarragonramp "
    "get' or 'tarragonramp diff', then decide again",
    EXIT_UNREACHABLE: "nothing was changed: retry, or use another daemon (--daemon)",
    EXIT_UNKNOWN: "the change may or may not have taken effect: check it with "
    "'tarragonramp get' and 'tarragonramp audit'; repeating the same command is safe",
    EXIT_REFUSED: f"pass the secret with --secret-file or {SECRET_FILE_VARIABLE}",
}


class CommandError(TarragonError):
    """Terminates the command with an exit code and a message.

    Parameters
    ----------
    exit_code : int
    message : str
    payload : dict, optional
        Payload of the daemon's response.
    """

    def __init__(self, exit_code, message, payload=None):
        super().__init__(message)
        self.exit_code = exit_code
        self.payload = payload or {}

    @property
    def hint(self):
        """What the operator can do next; empty if the message says it."""
        return _HINTS.get(self.exit_code, "")


@attrs.define(eq=False, repr=False)
class OperatorClient:
    """Sends requests to the first of the given daemons that can be reached.

    Parameters
    ----------
    addresses : tuple of str
        Control ``ip:port`` of one or more daemons; all serve the same API.
    secrets : Secrets
    actor : str
        User name that the audit trail records.
    """

    addresses: tuple[str, ...]
    secrets: Secrets
    actor: str

    @classmethod
    def from_config(cls, daemon, secret_file, environment=os.environ):
        """Create a client from the command's options and the environment.

        Parameters
        ----------
        daemon : str
            One or more addresses separated by commas; if empty, the environment's.
        secret_file : str
            Path of a file with the secret; if empty, the environment's.
        environment : mapping

        Raises
        ------
        CommandError
            If an address is malformed or the file cannot be read.
        """
        text = daemon or environment.get(DAEMON_VARIABLE, DEFAULT_DAEMON)
        addresses = tuple(address.strip() for address in text.split(","))
        for address in addresses:
            try:
                check_address(None, None, address)
            except ValueError as error:
                raise CommandError(EXIT_INVALID, f"--daemon: {error}") from error
        path = secret_file or environment.get(SECRET_FILE_VARIABLE, "")
        return cls(addresses, _read_secrets(path), _current_user())

    def get(self, target):
        """Send a GET request.

        Returns
        -------
        payload : dict

        Raises
        ------
        CommandError
            If no daemon was reached, or the status is not 200.
        """
        return _payload_or_raise(self._send("GET", target, None, ""))

    def find(self, kind, name):
        """Return an object as the platform stores it, or None if there is none."""
        status, payload = self._send("GET", _object_target(kind, name), None, "")
        return None if status == 404 else _payload_or_raise((status, payload))

    def post(self, target, payload):
        """Send a POST request that changes nothing; return the response's payload."""
        return _payload_or_raise(self._send("POST", target, payload, ""))

    def put(self, kind, name, spec, version, **query):
        """Write an object if it is at the given version; return its new state."""
        target = _object_target(kind, name, version=version, **query)
        return self._send_change("PUT", target, spec)

    def delete(self, kind, name, version):
        """Delete an object if it is at the given version.

        Returns
        -------
        remaining : dict
            The object while its deletion is in progress; empty once it is deleted.
        """
        return self._send_change(
            "DELETE", _object_target(kind, name, version=version), None
        )

    def _send_change(self, method, target, payload):
        """Send a change and retry it while its outcome is unknown.

        The change is applied at most once: all attempts carry the same request id, and
        the write is conditional on a version, so a repetition of a change that has
        already taken effect is recognised.
        """
        request_id = uuid.uuid4().hex
        in_doubt = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                time.sleep(RETRY_DELAY_S)
            status, response_payload = self._send(method, target, payload, request_id)
            is_absent = status in (404, 409) and response_payload.get("current") is None
            if in_doubt and method == "DELETE" and is_absent:
                return {}
            if status != 504:
                return _payload_or_raise((status, response_payload))
            in_doubt = True
        return _payload_or_raise((status, response_payload))

    def _send(self, method, target, payload, request_id):
        """Send a request to the first daemon that can be reached.

        Returns
        -------
        status : int
            503 if no daemon was reached; 504 if a change may have been received by a
            daemon but no response came back.
        payload : dict
        """
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
                return result.unwrap().status, _parse_body(result.unwrap())
            faults.append(str(result.failure()))
            is_read = method != "PUT" and method != "DELETE"
            if not is_read and not isinstance(result.failure(), NotSentError):
                return 504, {"error": f"no response from the daemon: {faults[-1]}"}
        return 503, {"error": f"daemon not reached: {'; '.join(faults)}"}


def _object_target(kind, name, **query):
    path = "/".join(urllib.parse.quote(part, safe="") for part in (kind, name))
    return f"/operator/objects/{path}" + (
        f"?{urllib.parse.urlencode(query)}" if query else ""
    )


def _parse_body(response):
    try:
        return json.loads(response.body)
    except ValueError:
        return {"error": f"the daemon answered {response.status} without JSON"}


def _payload_or_raise(response):
    status, payload = response
    if status == 200:
        return payload
    lines = [payload.get("error", f"status {status}"), *payload.get("faults", [])]
    exit_code = _EXIT_CODES_BY_STATUS.get(status, EXIT_FAILED)
    raise CommandError(exit_code, "\n  ".join(map(str, lines)), payload)


def _read_secrets(path):
    if not path:
        return Secrets()
    try:
        with open(path, encoding="utf-8") as stream:
            return Secrets.from_text(stream.read())
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(EXIT_INVALID, f"--secret-file: {path}: {error}") from error


def _current_user():
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "unknown"
    return name.encode("ascii", "replace").decode()
