"""Sorted names on which daemons agree, so that counts can be sent by position."""

import attrs
import xxhash

__all__ = ["Roster"]


@attrs.frozen(eq=False)
class Roster:
    """A sorted set of names.

    Counts for several hundred servers are sent to each daemon twice a second. Names do
    not compress well and would fill the link of the VM that leads.

    Parameters
    ----------
    names : tuple of str
    digest : str
        Digest of the names.
    """

    names: tuple
    digest: str

    @classmethod
    def of(cls, names):
        """Return the roster of a collection of names."""
        ordered = tuple(sorted(names))
        return cls(ordered, xxhash.xxh64_hexdigest(" ".join(ordered).encode()))

    def pack(self, counts):
        """Return counts as JSON-compatible data, without those of unlisted names."""
        return [self.digest, [counts.get(name, 0) for name in self.names]]

    def unpack(self, message):
        """Return the non-zero counts of a message by name.

        Returns
        -------
        counts : dict of str to int, or None
            None if the sender has different names.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        digest, counts = message
        if digest != self.digest:
            return None
        pairs = zip(self.names, counts, strict=True)
        return {name: count for name, count in pairs if count}
