"""Shared secrets for authentication on the operator and peer ports."""

import hmac

import attrs

__all__ = ["METADATA_KEY", "Secrets"]

METADATA_KEY = "authorization"

SCHEME = "Bearer "


@attrs.frozen(repr=False)
class Secrets:
    """Secrets that a port accepts and its callers present.

    Parameters
    ----------
    accepted : tuple of str
        The first one is presented to others; there may be a second one while a secret
        is being rotated. Without any, the port accepts every call.
    """

    accepted: tuple[str, ...] = ()

    @classmethod
    def from_text(cls, text):
        """Parse a text with one secret per line."""
        return cls(tuple(line.strip() for line in text.splitlines() if line.strip()))

    @property
    def authorization(self):
        """Value of the ``Authorization`` header; empty without a secret."""
        return f"{SCHEME}{self.accepted[0]}" if self.accepted else ""

    @property
    def headers(self):
        """HTTP headers that present the secret."""
        return [("Authorization", self.authorization)] if self.accepted else []

    @property
    def metadata(self):
        """gRPC metadata that presents the secret."""
        return [(METADATA_KEY, self.authorization)] if self.accepted else []

    def accepts(self, authorization):
        """Return whether a caller has presented an accepted secret.

        Each accepted secret is compared in constant time, and none is skipped after a
        match, so that response times do not reveal how much of a guess was right.

        Parameters
        ----------
        authorization : str or None
            Value of the caller's ``Authorization`` header.
        """
        if not self.accepted:
            return True
        presented = (authorization or "").encode()
        matches = [
            hmac.compare_digest(presented, f"{SCHEME}{secret}".encode())
            for secret in self.accepted
        ]
        return any(matches)
