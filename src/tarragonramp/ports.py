"""Interfaces (ports) through which the roles use the platform, servers and peers."""

from typing import Protocol

from returns.result import Result

__all__ = ["Backends", "Peers", "Platform"]


class Platform(Protocol):
    """The platform's object API."""

    def get(self, kind, name) -> Result:
        """Return Success of Stored, or Failure of PlatformError."""

    def list(self, kind) -> Result:
        """Return Success of a list of Stored, or Failure of PlatformError."""

    def put(self, kind, name, spec, expected_version) -> Result:
        """Write the object if it is at the expected version (0: does not exist).

        Returns Success of the new Stored; Failure of ConflictError if the object is at
        another version; Failure of PlatformUnreachableError if no response arrived, in
        which case the write may still take effect.
        """

    def delete(self, kind, name, expected_version) -> Result:
        """Delete the object if it is at a version; returns as :meth:`put` does."""

    def watch(self, since_version, wait_ms, kinds=()) -> Result:
        """Wait for changes after a version, of the given kinds or of all.

        Returns Success of ``(version, list of Stored)``; the list is empty if nothing
        changed within ``wait_ms``.
        """

    def list_vms(self) -> Result:
        """Return Success of a list of Vm, which may be out of date."""


class Backends(Protocol):
    """Control requests to backend servers."""

    def probe(self, address, timeout_ms) -> Result:
        """Return Success of ServerAnswer, or Failure of ExchangeError."""

    def grant(self, address, grant, timeout_ms) -> Result:
        """Send a grant; returns as :meth:`probe` does."""


class Peers(Protocol):
    """Control messages between daemons."""

    def ping(self, address, identity, newest) -> Result:
        """Return Success of PingAnswer, or Failure of ExchangeError."""

    def news(self, address, question) -> Result:
        """Return Success of NewsAnswer, or Failure of ExchangeError."""

    def report(self, address, sender, reports) -> Result:
        """Report the condition of backend servers to a planner.

        Returns Success of bool, which is False if that daemon is not the planner of
        every reported team; or Failure of ExchangeError.
        """

    def prove_release(self, address, question) -> Result:
        """Ask a steward which slices are proved to be released.

        Returns Success of a list of int, or Failure of ExchangeError.
        """
