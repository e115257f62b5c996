"""Tests of the streams between instances over loopback sockets."""

import socket
from collections.abc import Iterator

import msgpack
import pytest

from sassafrasloft.core import PeerLinkChanged, PeerMessageReceived
from sassafrasloft.entry.peer_streams import PeerStreams
from sassafrasloft.entry.tests.helpers import WAIT_S, EventRecorder
from sassafrasloft.messages import Hello, MessageRefused, SettingsRequest
from sassafrasloft.messages.codec import MessageStream, encode_message

HELLO = Hello("one", "north", "aa")


@pytest.fixture
def peer_events() -> EventRecorder:
    return EventRecorder()


@pytest.fixture
def listening(peer_events) -> Iterator[PeerStreams]:
    streams = PeerStreams("127.0.0.1:0", peer_events, lambda: HELLO)
    streams.start()
    yield streams
    streams.stop()


def connect(streams: PeerStreams) -> socket.socket:
    host, _, port = streams.address.rpartition(":")
    return socket.create_connection((host, int(port)), WAIT_S)


def test_a_stream_starts_with_hello_and_reconnects(listening, peer_events):
    """Guards against a peer that stays disconnected after the other restarts."""
    links = EventRecorder()
    sender = PeerStreams("127.0.0.1:0", links, lambda: HELLO)
    sender.send("two", listening.address, SettingsRequest(1))
    assert peer_events.next() == PeerMessageReceived("one", HELLO)
    assert peer_events.next() == PeerMessageReceived("one", SettingsRequest(1))
    assert links.next() == PeerLinkChanged("two", up=True)
    listening.stop()
    restarted = PeerStreams("127.0.0.1:0", peer_events, lambda: HELLO)
    restarted.start()
    sender.send("two", restarted.address, SettingsRequest(2))
    assert links.next() == PeerLinkChanged("two", up=False)
    assert peer_events.next() == PeerMessageReceived("one", HELLO)
    assert peer_events.next() == PeerMessageReceived("one", SettingsRequest(2))
    sender.stop()
    restarted.stop()


def test_an_unknown_message_is_rejected_and_the_stream_stays_open(
    listening, peer_events
):
    """Guards against a newer release whose messages disconnect older instances."""
    with connect(listening) as stream:
        stream.sendall(encode_message(HELLO) + msgpack.packb([1, "farewell", []]))
        stream.sendall(encode_message(SettingsRequest(3)))
        peer_events.next()
        assert peer_events.next() == PeerMessageReceived("one", SettingsRequest(3))
        (refused,) = MessageStream().feed(stream.recv(65_536))
        assert isinstance(refused, MessageRefused)


@pytest.mark.parametrize("first", [b"GET / HTTP/1.1\r\n\r\n\xc1", b"\xc1" * 9])
def test_foreign_bytes_close_only_their_own_stream(listening, peer_events, first):
    """Guards against a listener that stops when a client sends other protocols."""
    with connect(listening) as stray:
        stray.sendall(first)
        while stray.recv(65_536):
            pass
    with connect(listening) as stream:
        stream.sendall(encode_message(HELLO))
        assert peer_events.next() == PeerMessageReceived("one", HELLO)


def test_a_message_before_hello_is_rejected(listening, peer_events):
    """Guards against a message without a known sender."""
    with connect(listening) as stream:
        stream.sendall(encode_message(SettingsRequest(3)))
        (refused,) = MessageStream().feed(stream.recv(65_536))
        assert refused.found == "no hello first"
        assert stream.recv(1) == b""
