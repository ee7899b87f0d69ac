"""Size limits of requests and responses, and of what a process may use."""

import math

import attrs

from . import checks

__all__ = ["Limits", "Resources"]

OWN_MEMORY_MB = 57
"""Memory of a process without connections."""

MEMORY_SHARE = 0.8
"""Fraction of the memory that is planned for. The rest allows for fragmentation, and
for bytes of revoked connections that have not been freed."""

MIN_SHARED_MB = 8
OTHER_DESCRIPTORS = 200
"""Descriptors for files, and for the store and listeners."""

CALLER_SHARE = 0.6
"""Fraction of the other descriptors for callers. Requests of theirs need connections to
servers and other daemons as well."""


def _limit(default, bounds):
    return attrs.field(default=default, validator=checks.between(*bounds))


@attrs.frozen
class Limits:
    """Size limits for requests and responses, and the idle timeout of connections.

    Parameters
    ----------
    request_line_bytes, header_line_bytes, header_block_bytes : int
        Maximum size of the request line, of one header line and of all header lines
        together.
    header_count : int
        Maximum number of header lines.
    body_bytes : int
        Maximum size of a request body, with or without a declared length.
    answer_bytes : int
        Maximum size of a response body from a backend server.
    idle_ms : int
        How long a caller's connection may be idle before it is closed.
    head_ms : int
        How long the head of a request may take, from its first byte.
    """

    RANGES = {
        "request_line_bytes": (64, 8191),
        "header_line_bytes": (64, 65_536),
        "header_block_bytes": (256, 1 << 20),
        "header_count": (1, 1000),
        "idle_ms": (100, 3_600_000),
        "head_ms": (100, 3_600_000),
        "body_bytes": (0, 1 << 30),
        "answer_bytes": (1, 1 << 30),
    }

    request_line_bytes: int = _limit(4096, RANGES["request_line_bytes"])
    header_line_bytes: int = _limit(8192, RANGES["header_line_bytes"])
    header_block_bytes: int = _limit(32_768, RANGES["header_block_bytes"])
    header_count: int = _limit(100, RANGES["header_count"])
    idle_ms: int = _limit(75_000, RANGES["idle_ms"])
    head_ms: int = _limit(10_000, RANGES["head_ms"])
    body_bytes: int = _limit(1_048_576, RANGES["body_bytes"])
    answer_bytes: int = _limit(8_388_608, RANGES["answer_bytes"])

    @classmethod
    def from_config(cls, **values):
        """Create from numbers that another program states.

        The nearest possible value is taken for one that is out of range.

        Parameters
        ----------
        **values : float

        Returns
        -------
        limits : Limits
        replaced : tuple of str
            Names of the limits that were out of range.
        """
        taken = {
            name: int(min(max(value, cls.RANGES[name][0]), cls.RANGES[name][1]))
            for name, value in values.items()
        }
        replaced = tuple(name for name in values if taken[name] != int(values[name]))
        return cls(**taken), replaced


@attrs.frozen
class Resources:
    """What a process may use.

    Parameters
    ----------
    memory_mb : int
        Memory of the process, with what its kernel buffers hold unread.
    descriptors : int
        Open files and connections.
    """

    USUAL_MEMORY_MB, MEMORY_RANGE_MB = 300, (32, 1 << 20)
    USUAL_DESCRIPTORS, DESCRIPTOR_RANGE = 4096, (64, 1 << 20)

    memory_mb: int = attrs.field(
        default=USUAL_MEMORY_MB, validator=checks.between(*MEMORY_RANGE_MB)
    )
    descriptors: int = attrs.field(
        default=USUAL_DESCRIPTORS, validator=checks.between(*DESCRIPTOR_RANGE)
    )

    @classmethod
    def from_config(cls, memory_mb, descriptors):
        """Create from numbers that another program states.

        The usual value is taken for one that is missing or no number, and the nearest
        possible one for one that is out of range.
        """
        return cls(
            _clamped(memory_mb, cls.MEMORY_RANGE_MB, cls.USUAL_MEMORY_MB),
            _clamped(descriptors, cls.DESCRIPTOR_RANGE, cls.USUAL_DESCRIPTORS),
        )

    @property
    def shared_bytes(self):
        """Bytes that connections may hold together."""
        shared_mb = MEMORY_SHARE * self.memory_mb - OWN_MEMORY_MB
        return int(max(shared_mb, MIN_SHARED_MB) * 1e6)

    @property
    def caller_connections(self):
        """Connections that callers may have open together."""
        others = min(OTHER_DESCRIPTORS, self.descriptors // 4)
        return int(CALLER_SHARE * (self.descriptors - others))

    @property
    def control_connections(self):
        """Connections that may be open to one of the other listeners."""
        others = min(OTHER_DESCRIPTORS, self.descriptors // 4)
        return int((1.0 - CALLER_SHARE) * (self.descriptors - others) / 4)


def _clamped(value, bounds, usual):
    """Return a value as a whole number within bounds, or the usual one."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value):
        return usual
    return min(max(int(value), bounds[0]), bounds[1])
