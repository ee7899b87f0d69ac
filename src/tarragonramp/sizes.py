"""Size limits of requests and responses."""

import attrs

from . import checks

__all__ = ["Limits"]


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
    """

    request_line_bytes: int = attrs.field(
        default=4096, validator=checks.between(64, 8191)
    )
    header_line_bytes: int = attrs.field(
        default=8192, validator=checks.between(64, 65_536)
    )
    header_block_bytes: int = attrs.field(
        default=32_768, validator=checks.between(256, 1 << 20)
    )
    header_count: int = attrs.field(default=100, validator=checks.between(1, 1000))
    idle_ms: int = attrs.field(default=75_000, validator=checks.between(100, 3_600_000))
    body_bytes: int = attrs.field(
        default=1_048_576, validator=checks.between(0, 1 << 30)
    )
    answer_bytes: int = attrs.field(
        default=8_388_608, validator=checks.between(1, 1 << 30)
    )
