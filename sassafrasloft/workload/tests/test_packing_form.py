"""Tests of the cached converters against a reference that inspects each class anew."""

from types import UnionType
from typing import get_args, get_origin, get_type_hints

import attrs
import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasloft.instance.message_codec import (
    _KINDS,
    MessageMalformed,
    decode_message,
    encode_message,
)
from sassafrasloft.instance.messages import (
    SubmitJob,
)
from sassafrasloft.workload import JobRequest, Resources, StepRequest
from sassafrasloft.workload.positional_encoding import from_positional, to_positional

STEP = StepRequest(3, Resources(1_000, 64, 0), 60, (0, 1), "a", "r", 2)
JOB = JobRequest("5c0e7a21d94b36f8", "x", (STEP, STEP))
WHOLE = st.integers(0, 1 << 40)


def reference_packed(value):
    """Pack a value by inspecting its fields."""
    if attrs.has(type(value)):
        return [
            reference_packed(getattr(value, field.name))
            for field in attrs.fields(type(value))
            if field.init
        ]
    if isinstance(value, tuple | list):
        return [reference_packed(one) for one in value]
    return value


def reference_read(kind, value):
    """Read a value by inspecting the type hints of the class."""
    if get_origin(kind) is tuple:
        if not isinstance(value, list):
            raise TypeError
        return tuple(reference_read(get_args(kind)[0], one) for one in value)
    if get_origin(kind) is UnionType:
        return None if value is None else reference_read(get_args(kind)[0], value)
    if attrs.has(kind):
        if not isinstance(value, list):
            raise TypeError
        hints = get_type_hints(kind)
        fields = [hints[one.name] for one in attrs.fields(kind) if one.init]
        return kind(
            *(reference_read(a, b) for a, b in zip(fields, value, strict=False))
        )
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError
    return value


def objects(kind):
    """Return a strategy for objects of a class, by its type hints."""
    if get_origin(kind) is tuple:
        return st.lists(objects(get_args(kind)[0]), max_size=3).map(tuple)
    if get_origin(kind) is UnionType:
        return st.none() | objects(get_args(kind)[0])
    if attrs.has(kind):
        hints = get_type_hints(kind)
        return st.builds(
            kind,
            **{
                one.alias: objects(hints[one.name])
                for one in attrs.fields(kind)
                if one.init
            },
        )
    scalars = {
        str: st.text(max_size=5),
        bytes: st.binary(max_size=5),
        int: WHOLE,
        float: st.floats(allow_nan=False) | WHOLE,
        bool: st.booleans(),
    }
    return scalars[kind]


@st.composite
def damaged(draw, value):
    """Return a packed value in which one part has another type or length."""
    if isinstance(value, list) and value and draw(st.booleans()):
        index = draw(st.integers(0, len(value) - 1))
        return [
            *value[:index],
            draw(damaged(value[index])),
            *value[index + 1 :],
        ]
    if isinstance(value, list) and draw(st.booleans()):
        return draw(st.sampled_from([value[:-1], [*value, 3]]))
    return draw(st.sampled_from([None, 3, 2.5, True, "x", b"x", [], {}]))


def outcome(read, kind, value):
    try:
        return read(kind, value)
    except TypeError:
        return TypeError


@pytest.mark.parametrize("kind", sorted(_KINDS))
@settings(max_examples=40, derandomize=True, deadline=None)
@given(data=st.data())
def test_messages_match_the_reference_encoding(kind, data):
    """Guards against fields that the derived converters lose or confuse."""
    message = data.draw(objects(_KINDS[kind]))
    packed = to_positional(message)
    assert packed == reference_packed(message)
    assert from_positional(_KINDS[kind], packed) == message
    unpacked = msgpack.unpackb(encode_message(message))
    assert unpacked == [kind, *packed]
    assert decode_message(unpacked) == message


@pytest.mark.parametrize("kind", sorted(_KINDS))
@settings(max_examples=60, derandomize=True, deadline=None)
@given(data=st.data())
def test_damaged_messages_are_read_or_refused_as_by_the_reference(kind, data):
    """Guards against a fast path that accepts values of a wrong type."""
    packed = to_positional(data.draw(objects(_KINDS[kind])))
    value = data.draw(damaged(packed))
    expected = outcome(reference_read, _KINDS[kind], value)
    assert outcome(from_positional, _KINDS[kind], value) == expected
    assert type(outcome(from_positional, _KINDS[kind], value)) is type(expected)


def test_missing_and_surplus_trailing_fields_are_accepted():
    message = SubmitJob(JOB, "lookup", 1, 2, False, 7)
    packed = to_positional(message)
    assert from_positional(SubmitJob, packed[:5]).predecessor_runs_ms == 0
    assert from_positional(SubmitJob, [*packed, "new"]) == message


def test_boolean_is_not_accepted_as_a_number():
    packed = to_positional(SubmitJob(JOB, "lookup", 1, 2, False))
    packed[2] = True
    with pytest.raises(MessageMalformed):
        decode_message(["submit", *packed])
