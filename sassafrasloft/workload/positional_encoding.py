"""Conversion between attrs objects and nested lists of field values, for msgpack.

The converters of a class are derived from its fields once and cached, since an instance
converts several messages for each job.
"""

from collections.abc import Callable
from functools import cache
from operator import attrgetter
from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

import attrs

Convert = Callable[[Any], Any]

_SCALARS = (str, int, float, bool, bytes)


def to_positional(value: Any) -> Any:
    """Convert attrs objects to lists of field values; return other values unchanged."""
    kind = type(value)
    if attrs.has(kind):
        return _class_packer(kind)(value)
    if isinstance(value, tuple | list):
        return [to_positional(one) for one in value]
    return value


def from_positional(kind: Any, value: Any) -> Any:
    """Build an object of type `kind` from the result of `to_positional`.

    Raises
    ------
    TypeError
        If the value does not match the type. Surplus fields are ignored, and missing
        ones take their defaults, so that different releases can communicate.
    """
    return _reader(kind)(value)


@cache
def _field_types(kind: type) -> dict[str, Any]:
    hints = get_type_hints(kind)
    return {field.name: hints[field.name] for field in attrs.fields(kind) if field.init}


@cache
def _class_packer(kind: type) -> Convert:
    types = _field_types(kind)
    names = tuple(types)
    if len(names) < 2:
        return lambda value: [to_positional(getattr(value, name)) for name in names]
    read_fields = attrgetter(*names)
    nested = tuple(
        (index, _packer(hint))
        for index, hint in enumerate(types.values())
        if hint not in _SCALARS
    )

    def pack(value: Any) -> list:
        packed = list(read_fields(value))
        for index, packer in nested:
            packed[index] = packer(packed[index])
        return packed

    return pack


def _packer(hint: Any) -> Convert:
    if get_origin(hint) is not tuple:
        return _class_packer(hint) if attrs.has(hint) else to_positional
    (item, *_) = get_args(hint)
    if item in _SCALARS:
        return list
    pack_item = _packer(item)
    return lambda value: [pack_item(one) for one in value]


@cache
def _reader(kind: Any) -> Convert:
    origin = get_origin(kind)
    if origin is tuple:
        return _tuple_reader(get_args(kind)[0])
    if origin is UnionType or isinstance(kind, UnionType):
        read = _reader(get_args(kind)[0])
        return lambda value: None if value is None else read(value)
    if attrs.has(kind):
        return _class_reader(kind)

    def read_scalar(value: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, found {type(value).__name__}")
        return value

    return read_scalar


def _tuple_reader(item: Any) -> Convert:
    read_item = _reader(item)

    def read(value: Any) -> tuple:
        if not isinstance(value, list):
            raise TypeError(f"expected a list, found {type(value).__name__}")
        return tuple([read_item(one) for one in value])

    return read


def _class_reader(kind: type) -> Convert:
    hints = tuple(_field_types(kind).values())
    readers = tuple(_reader(hint) for hint in hints)
    # The type that msgpack returns for each field; None if it may be one of several.
    found = [_unpacked_type(hint) for hint in hints]
    nested = tuple(
        (index, readers[index])
        for index, hint in enumerate(hints)
        if hint not in _SCALARS
    )

    def read(value: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError(f"expected the fields of {kind.__name__}")
        if list(map(type, value)) == found:
            fields = value.copy()
            for index, reader in nested:
                fields[index] = reader(fields[index])
            return kind(*fields)
        pairs = zip(readers, value, strict=False)
        return kind(*[reader(part) for reader, part in pairs])

    return read


def _unpacked_type(hint: Any) -> type | None:
    if hint in _SCALARS:
        return hint
    is_list = get_origin(hint) is tuple or attrs.has(hint)
    return list if is_list else None
