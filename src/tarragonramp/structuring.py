"""From plain YAML or JSON data to attrs classes, without any coercion."""

import typing

import attrs
import cattrs
from cattrs.errors import IterableValidationError
from returns.result import Failure, Result, Success

from .documents import Fault

__all__ = ["structure"]

_WORDS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    dict: "a mapping",
    list: "a list",
    type(None): "nothing",
}


def structure(raw, wanted, path="") -> Result:
    """Make an attrs object of plain data.

    Parameters
    ----------
    raw : object
        Mappings, lists and scalars.
    wanted : type
        An attrs class whose fields may be attrs classes, tuples, lists and dicts.
    path : str, default=""
        Field path of ``raw`` itself.

    Returns
    -------
    item : Success of an instance, or Failure of list of Fault
        Every fault found: wrong types, unknown and missing fields, and what the
        fields' validators refuse. ``"3"`` is no number and ``1`` no boolean.
    """
    try:
        return Success(_CONVERTER.structure(raw, wanted))
    except Exception as error:
        return Failure(_faults(error, path))


class _FieldsError(Exception):
    """Errors of an attrs class: pairs of field name and exception."""

    def __init__(self, errors):
        super().__init__("invalid fields")
        self.errors = errors


def _faults(error, path):
    if isinstance(error, _FieldsError):
        return [
            fault
            for field, below in error.errors
            for fault in _faults(below, f"{path}.{field}" if path else field)
        ]
    if isinstance(error, IterableValidationError):
        faults = []
        for below, note in error.group_exceptions()[0]:
            index = note.index
            step = f".{index}" if isinstance(index, str) else f"[{index}]"
            faults.extend(_faults(below, f"{path}{step}"))
        return faults
    return [Fault(path, str(error))]


def _expected(wanted, raw):
    return ValueError(f"{raw!r}: expected {_WORDS.get(wanted, wanted)}")


def _exactly(wanted):
    def convert(raw, _):
        fits = isinstance(raw, (int, float) if wanted is float else wanted)
        if not fits or (isinstance(raw, bool) and wanted is not bool):
            raise _expected(wanted, raw)
        return raw

    return convert


def _attrs_hook(cls):
    fields = {field.name: field for field in attrs.fields(cls) if field.init}

    def convert(raw, _):
        if not isinstance(raw, dict):
            raise _expected(dict, raw)
        errors = [
            (key, ValueError(f"no such field; known are {', '.join(fields)}"))
            for key in raw
            if key not in fields
        ]
        values = {}
        for key, field in fields.items():
            try:
                if key in raw:
                    values[key] = _checked_field(raw[key], field)
                elif field.default is attrs.NOTHING:
                    raise ValueError("missing")
            except Exception as error:
                errors.append((key, error))
        if errors:
            raise _FieldsError(errors)
        return cls(**values)

    return convert


def _checked_field(raw, field):
    value = _CONVERTER.structure(raw, field.type)
    if field.validator is not None:
        field.validator(None, field, value)
    return value


def _converter():
    converter = cattrs.Converter()
    for wanted in (str, int, float, bool, dict):
        converter.register_structure_hook(wanted, _exactly(wanted))
    converter.register_structure_hook_factory(attrs.has, _attrs_hook)
    return converter


def _is_container(wanted):
    return typing.get_origin(wanted) in (list, tuple, dict)


def _container_hook(wanted):
    """Keep the library from taking any iterable, such as a text, for a list."""
    raw_type = dict if typing.get_origin(wanted) is dict else list
    convert_items = _ITEMS.get_structure_hook(wanted)

    def convert(raw, _):
        if not isinstance(raw, raw_type):
            raise _expected(raw_type, raw)
        return convert_items(raw, wanted)

    return convert


_ITEMS = _converter()
_CONVERTER = _converter()
_CONVERTER.register_structure_hook_factory(_is_container, _container_hook)
