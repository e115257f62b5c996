"""Attrs classes as nested lists, for msgpack."""

from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

import attrs

_FIELD_TYPES: dict[type, tuple[Any, ...]] = {}


def to_packed(value: Any) -> Any:
    """Return an attrs object as the list of its fields; others unchanged."""
    if attrs.has(type(value)):
        return [
            to_packed(getattr(value, field.name))
            for field in attrs.fields(type(value))
            if field.init
        ]
    if isinstance(value, tuple | list):
        return [to_packed(one) for one in value]
    return value


def from_packed(kind: Any, value: Any) -> Any:
    """Build an object of `kind` from what `to_packed` returned.

    Raises
    ------
    TypeError
        If the value has another form. Surplus fields are ignored, and missing
        ones take their defaults, so that releases may differ.
    """
    origin = get_origin(kind)
    if origin is tuple:
        (item, *_) = get_args(kind)
        if not isinstance(value, list):
            raise TypeError(f"expected a list, found {type(value).__name__}")
        return tuple(from_packed(item, one) for one in value)
    if origin is UnionType:
        if value is None:
            return None
        return from_packed(get_args(kind)[0], value)
    if attrs.has(kind):
        if not isinstance(value, list):
            raise TypeError(f"expected the fields of {kind.__name__}")
        types = _field_types(kind)
        return kind(
            *(from_packed(one, part) for one, part in zip(types, value, strict=False))
        )
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, found {type(value).__name__}")
    return value


def _field_types(kind: type) -> tuple[Any, ...]:
    if kind not in _FIELD_TYPES:
        hints = get_type_hints(kind)
        _FIELD_TYPES[kind] = tuple(
            hints[field.name] for field in attrs.fields(kind) if field.init
        )
    return _FIELD_TYPES[kind]
