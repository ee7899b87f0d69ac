"""Validators for the fields of attrs classes.

They raise ValueError with a message that contains the value and what is expected; only
``header_name`` returns a bool instead.
"""

import re

__all__ = [
    "address",
    "address_or_empty",
    "between",
    "each",
    "header_name",
    "name",
    "one_of",
    "path_prefix",
    "values_between",
]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}\Z")
_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})\Z")
_HEADER = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_PREFIX = re.compile(r"(/[A-Za-z0-9._~-]+)*/?\Z")


def name(instance, attribute, value):
    """Accept names that are also safe in paths of the platform's API."""
    if not _NAME.match(value):
        raise ValueError(
            f"{value!r}: lower-case letters, digits and '-' only, at most 63"
        )


def address(instance, attribute, value):
    """Accept an IPv4 address with a port."""
    match = _ADDRESS.match(value)
    numbers = [int(item) for item in match.groups()] if match else []
    if not match or max(numbers[:4]) > 255 or not 0 < numbers[4] <= 65535:
        raise ValueError(
            f"{value!r}: expected IP number and port, such as 10.0.0.1:7000"
        )


def address_or_empty(instance, attribute, value):
    """Accept an IPv4 address with a port, or an empty string."""
    if value:
        address(instance, attribute, value)


def header_name(value):
    """Return whether a text is a valid name of an HTTP header."""
    return bool(_HEADER.match(value))


def path_prefix(instance, attribute, value):
    """Accept an absolute path without dot segments or characters that need escaping."""
    plain = value.startswith("/") and _PREFIX.match(value)
    if not plain or "/./" in f"{value}/" or "/../" in f"{value}/":
        raise ValueError(f"{value!r}: expected an absolute path, such as /claims")


def between(low, high):
    """Return a validator that accepts numbers from low to high, both included."""

    def check(instance, attribute, value):
        if not low <= value <= high:
            raise ValueError(f"{value!r}: expected {low} to {high}")

    return check


def one_of(*allowed):
    """Return a validator that accepts only the listed values."""

    def check(instance, attribute, value):
        if value not in allowed:
            known = ", ".join(repr(item) for item in allowed)
            raise ValueError(f"{value!r}: expected one of {known}")

    return check


def each(check_item):
    """Return a validator that applies another one to each item of a sequence."""

    def check(instance, attribute, value):
        for item in value:
            check_item(instance, attribute, item)

    return check


def values_between(low, high):
    """Return a validator of a mapping from names to numbers from low to high."""
    in_range = between(low, high)

    def check(instance, attribute, value):
        for key, item in value.items():
            name(instance, attribute, key)
            in_range(instance, attribute, item)

    return check
