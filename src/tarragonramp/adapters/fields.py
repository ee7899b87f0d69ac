"""Reads the fields of a header or trailer section."""

import re

from ..errors import RequestError
from ..meters import NOT_RUN

__all__ = ["read_fields"]

_FIELD_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n\Z"
)


def read_fields(rfile, limits):
    """Read the fields of a section up to the empty line that ends it.

    Parameters
    ----------
    rfile : io.BufferedReader
    limits : Limits

    Returns
    -------
    fields : list of (str, str)
        With names in lower case. Names with underscores are left out: they would get
        the same WSGI key as those with dashes.

    Raises
    ------
    RequestError
        400 or 431.
    """
    remaining = limits.header_block_bytes
    n_lines, fields = 0, []
    while True:
        line = rfile.readline(min(limits.header_line_bytes, remaining) + 1)
        if line == b"\r\n":
            return fields
        remaining -= len(line)
        n_lines += 1
        if remaining < 0 or len(line) > limits.header_line_bytes:
            raise RequestError(431, NOT_RUN, "headers longer than the limit")
        if n_lines > limits.header_count:
            raise RequestError(431, NOT_RUN, "more headers than the limit")
        match = _FIELD_LINE.match(line.decode("latin-1"))
        if match is None:
            raise RequestError(400, NOT_RUN, "malformed header")
        name, value = match.groups()
        if "_" not in name:
            fields.append((name.lower(), value.strip(" \t")))
