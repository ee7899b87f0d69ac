"""Conversion of plain YAML or JSON data to attrs classes without type coercion."""

import typing

import attrs
import cattrs
from cattrs.errors import IterableValidationError
from returns.result import Failure, Result, Success

from .documents import Fault

__all__ = ["structure"]

_TYPE_NAMES = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    dict: "a mapping",
    list: "a list",
    type(None): "nothing",
}


def structure(raw, target_type, path="") -> Result:
    """Convert plain data to an instance of an attrs class.

    Parameters
    ----------
    raw : object
        Mappings, lists and scalars.
    target_type : type
        An attrs class; its fields may be attrs classes, tuples, lists and dicts.
    path : str, default=""
        Field path of ``raw`` itself.

    Returns
    -------
    item : Success of an instance, or Failure of list of Fault
        Every fault found: wrong types, unknown and missing fields, and values that
        the fields' validators reject. Values are not coerced: ``"3"`` is not accepted
        as a number, nor ``1`` as a boolean.
    """
    try:
        return Success(_CONVERTER.structure(raw, target_type))
    except Exception as error:
        return Failure(_faults(error, path))


class _FieldsError(Exception):
    """Errors in the fields of an attrs class, as pairs of field name and exception."""

    def __init__(self, errors):
        super().__init__("invalid fields")
        self.errors = errors


def _faults(error, path):
    if isinstance(error, _FieldsError):
        return [
            fault
            for field, nested_error in error.errors
            for fault in _faults(nested_error, f"{path}.{field}" if path else field)
        ]
    if isinstance(error, IterableValidationError):
        faults = []
        for nested_error, note in error.group_exceptions()[0]:
            index = note.index
            path_suffix = f".{index}" if isinstance(index, str) else f"[{index}]"
            faults.extend(_faults(nested_error, f"{path}{path_suffix}"))
        return faults
    return [Fault(path, str(error))]


def _unexpected_type_error(target_type, raw):
    return ValueError(f"{raw!r}: expected {_TYPE_NAMES.get(target_type, target_type)}")


def _strict_hook(target_type):
    """Return a hook that accepts values of a type only, or an int for a float."""

    def convert(raw, _):
        fits = isinstance(raw, (int, float) if target_type is float else target_type)
        if not fits or (isinstance(raw, bool) and target_type is not bool):
            raise _unexpected_type_error(target_type, raw)
        return raw

    return convert


def _attrs_hook(cls):
    fields = {field.name: field for field in attrs.fields(cls) if field.init}

    def convert(raw, _):
        if not isinstance(raw, dict):
            raise _unexpected_type_error(dict, raw)
        errors = [
            (key, ValueError(f"no such field; known are {', '.join(fields)}"))
            for key in raw
            if key not in fields
        ]
        values = {}
        for key, field in fields.items():
            try:
                if key in raw:
                    values[key] = _structure_field(raw[key], field)
                elif field.default is attrs.NOTHING:
                    raise ValueError("missing")
            except Exception as error:
                errors.append((key, error))
        if errors:
            raise _FieldsError(errors)
        return cls(**values)

    return convert


def _structure_field(raw, field):
    value = _CONVERTER.structure(raw, field.type)
    if field.validator is not None:
        field.validator(None, field, value)
    return value


def _make_converter():
    converter = cattrs.Converter()
    for target_type in (str, int, float, bool, dict):
        converter.register_structure_hook(target_type, _strict_hook(target_type))
    converter.register_structure_hook_factory(attrs.has, _attrs_hook)
    return converter


def _is_container(target_type):
    return typing.get_origin(target_type) in (list, tuple, dict)


def _container_hook(target_type):
    """Return a hook that accepts only lists and dicts as containers.

    Without it cattrs would accept any iterable as a list, also a string.
    """
    raw_type = dict if typing.get_origin(target_type) is dict else list
    convert_items = _ITEM_CONVERTER.get_structure_hook(target_type)

    def convert(raw, _):
        if not isinstance(raw, raw_type):
            raise _unexpected_type_error(raw_type, raw)
        return convert_items(raw, target_type)

    return convert


# Converts the contents of containers. It lacks the container hook, which uses it.
_ITEM_CONVERTER = _make_converter()
_CONVERTER = _make_converter()
_CONVERTER.register_structure_hook_factory(_is_container, _container_hook)
