"""Shared secrets that the operator and peer ports ask for."""

import hmac

import attrs

__all__ = ["METADATA_KEY", "Secrets"]

METADATA_KEY = "authorization"

SCHEME = "Bearer "


@attrs.frozen(repr=False)
class Secrets:
    """What a port accepts, and what its callers show.

    Parameters
    ----------
    accepted : tuple of str
        The first one is shown to others; a second one may stand beside it while a
        secret is replaced. None at all leaves the port open.
    """

    accepted: tuple[str, ...] = ()

    @classmethod
    def from_text(cls, text):
        """Make them of one secret a line."""
        return cls(tuple(line.strip() for line in text.splitlines() if line.strip()))

    @property
    def authorization(self):
        """Value of the header ``Authorization``; empty without a secret."""
        return f"{SCHEME}{self.accepted[0]}" if self.accepted else ""

    @property
    def headers(self):
        """Headers that show the secret."""
        return [("Authorization", self.authorization)] if self.accepted else []

    @property
    def metadata(self):
        """gRPC metadata that shows the secret."""
        return [(METADATA_KEY, self.authorization)] if self.accepted else []

    def admits(self, authorization):
        """Tell whether a caller has shown an accepted secret.

        Every secret is compared in full, in constant time: the time of a refusal
        must not tell how much of a guess was right.

        Parameters
        ----------
        authorization : str or None
        """
        if not self.accepted:
            return True
        shown = (authorization or "").encode()
        matches = [
            hmac.compare_digest(shown, f"{SCHEME}{secret}".encode())
            for secret in self.accepted
        ]
        return any(matches)
