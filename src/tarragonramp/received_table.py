"""A table of ranges that a daemon has put together from a peer's changes."""

import attrs

from .fleet_view import RANGES
from .model import Stored
from .ranges import RangeTable

__all__ = ["ReceivedTable"]


@attrs.define(eq=False, repr=False)
class ReceivedTable:
    """A table of ranges that was put together from a peer's changes.

    It has the attributes of a Stored object. All ranges are encoded only when the table
    is passed on as a whole, as that takes much longer than applying a change.

    Parameters
    ----------
    name : str
    version : int
    table : RangeTable
    kind : str
    """

    name: str
    version: int
    table: RangeTable
    kind: str = RANGES
    _spec: dict | None = None

    @property
    def spec(self):
        """The table as JSON-compatible data."""
        if self._spec is None:
            self._spec = self.table.to_spec()
        return self._spec

    def __eq__(self, other):
        """Compare with another object of the store, by version and content."""
        if not isinstance(other, (Stored, ReceivedTable)):
            return NotImplemented
        return self is other or (
            (self.kind, self.name, self.version)
            == (other.kind, other.name, other.version)
            and self.spec == other.spec
        )

    __hash__ = None
