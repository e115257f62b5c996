"""Tests of encoding and decoding of messages between instances."""

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasloft.errors import MessageRejected
from sassafrasloft.messages import (
    ForwardRequest,
    Gossip,
    Hello,
    RequestKind,
    message_kinds,
)
from sassafrasloft.messages.codec import MessageStream, encode_message

# msgpack encodes no integers wider than 64 bits, and no field needs them.
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))

HELLO = Hello("ub-north-1", "ub-north", "00ff00ff00ff00ff")


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    message=st.one_of([st.from_type(kind) for kind in message_kinds().values()]),
    cut=st.integers(min_value=0),
)
def test_every_kind_is_decoded_from_a_stream_split_at_any_point(message, cut):
    """Guards against lost or changed fields and against errors in framing."""
    packed = encode_message(message) + encode_message(HELLO)
    stream = MessageStream()
    split_at = cut % len(packed)
    assert stream.feed(packed[:split_at]) + stream.feed(packed[split_at:]) == [
        message,
        HELLO,
    ]
    assert stream.end() is None


@pytest.mark.parametrize(
    "envelope",
    [
        [2, "hello", ["a", "b", "c"]],
        [1, "farewell", []],
        [1, ["hello"], []],
        [1, "hello", ["a"]],
        [1, "hello", ["a", "b", 3]],
        [1, "handover", ["a", "b", 1, 10**12, 1, [], [], []]],
        [1, "forward_request", ["f", "dance", "id", "team"]],
        {"version": 1},
        7,
    ],
)
def test_a_rejected_message_leaves_the_stream_usable(envelope):
    """Guards against a stream that ends at an unknown or malformed message."""
    stream = MessageStream()
    rejected, hello = stream.feed(msgpack.packb(envelope) + encode_message(HELLO))
    assert isinstance(rejected, MessageRejected)
    assert hello == HELLO
    assert not stream.broken


@pytest.mark.parametrize("chunk", [b"\xc1\xc1\xc1", b"\x91" * 5_000, b"\xdb" * 400])
def test_invalid_or_oversized_data_breaks_the_stream_with_a_typed_error(chunk):
    """Guards against an unbounded buffer or an untyped error due to invalid data."""
    stream = MessageStream(max_message_bytes=300)
    found = stream.feed(chunk)
    assert isinstance(found[-1], MessageRejected)
    assert stream.broken


def test_encoding_an_integer_beyond_64_bits_raises_a_typed_error():
    """Guards against an untyped error in the thread that sends messages to a peer."""
    with pytest.raises(MessageRejected):
        encode_message(Gossip("one", "aa", 2**64, 0))


def test_a_stream_truncated_within_a_message_is_reported():
    """Guards against silent loss of a partial message at the end of a stream."""
    stream = MessageStream()
    assert stream.feed(encode_message(HELLO)[:-2]) == []
    assert isinstance(stream.end(), MessageRejected)


def test_surplus_and_missing_trailing_fields_are_accepted():
    """Guards against instances that reject each other during a rolling upgrade."""
    request = ForwardRequest("f-1", RequestKind.ASK, "id", "team")
    version, kind, fields = msgpack.unpackb(encode_message(request))
    for changed in ([*fields, "surplus"], fields[:4]):
        packed = msgpack.packb([version, kind, changed])
        assert MessageStream().feed(packed) == [request]


def test_gossip_without_tables_stays_within_the_bandwidth_budget():
    """Guards against gossip above 3 KB/s: 187 bytes each at 8 messages per 500 ms."""
    gossip = Gossip("ub-north-1", "00ff00ff00ff00ff", 1000, 12)
    assert len(encode_message(gossip)) < 187
