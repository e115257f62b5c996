"""Tests of message streams over loopback connections."""

import asyncio

from sassafrasloft.event_loop.streams import MessageStreams
from sassafrasloft.instance.events import MessageReceived, StreamClosed, StreamOpened
from sassafrasloft.instance.message_codec import encode_message
from sassafrasloft.instance.messages import (
    Heartbeat,
    Promote,
)

HOST = "127.0.0.1"


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.002)


async def connected_pair():
    """Return two `MessageStreams`, their event lists and the address of the second."""
    first_events, second_events = [], []
    first = MessageStreams(first_events.append)
    second = MessageStreams(second_events.append)
    await second.listen(HOST, 0)
    port = second._server.sockets[0].getsockname()[1]
    return first, first_events, second, second_events, f"{HOST}:{port}"


def test_messages_pass_in_both_directions_and_the_close_is_reported():
    async def scenario():
        first, first_events, second, second_events, address = await connected_pair()
        first.open(7, address, 500)
        await wait_until(lambda: first_events)
        assert first_events == [StreamOpened(7)]
        first.send(7, Promote(3))
        await wait_until(lambda: second_events)
        (received,) = second_events
        assert received.message == Promote(3)
        second.send(received.stream_id, Heartbeat())
        await wait_until(lambda: len(first_events) == 2)
        assert first_events[1] == MessageReceived(7, Heartbeat())
        second.close(received.stream_id)
        await wait_until(lambda: len(first_events) == 3)
        assert first_events[2] == StreamClosed(7)

    asyncio.run(scenario())


def test_connection_without_a_listener_is_reported_as_refused():
    async def scenario():
        first, events, *_ = await connected_pair()
        first.open(1, f"{HOST}:9", 500)
        await wait_until(lambda: events)
        assert events == [StreamClosed(1, refused=True)]

    asyncio.run(scenario())


def test_malformed_bytes_close_only_their_stream():
    async def scenario():
        first, first_events, _, second_events, address = await connected_pair()
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"\xc1\xc1\xc1")
        assert await asyncio.wait_for(reader.read(), 1) == b""
        first.open(2, address, 500)
        await wait_until(lambda: first_events)
        first.send(2, Promote(1))
        await wait_until(
            lambda: any(isinstance(one, MessageReceived) for one in second_events)
        )

    asyncio.run(scenario())


def test_closed_stream_drops_messages_and_reports_no_event():
    async def scenario():
        first, events, _, _, address = await connected_pair()
        first.open(3, address, 500)
        await wait_until(lambda: events)
        first.close(3)
        first.send(3, Heartbeat())
        await asyncio.sleep(0.02)
        assert events == [StreamOpened(3)]

    asyncio.run(scenario())


def test_paused_stream_delivers_all_messages_after_resuming():
    """Guards against messages that are dropped or read while reading is paused."""

    async def scenario():
        first, _, second, second_events, address = await connected_pair()
        first.open(4, address, 500)
        await wait_until(lambda: second._streams)
        second.pause_reading(True)
        for number in range(2_000):
            first.send(4, Promote(number))
        await asyncio.sleep(0.02)
        assert second_events == []
        second.pause_reading(False)
        await wait_until(lambda: len(second_events) == 2_000)
        assert [one.message.revision for one in second_events] == list(range(2_000))

    asyncio.run(scenario())


def test_message_to_many_streams_is_encoded_once(monkeypatch):
    """Guards against a heartbeat that is encoded anew for each follower."""
    encoded = []

    def counted(message):
        encoded.append(message)
        return encode_message(message)

    monkeypatch.setattr("sassafrasloft.event_loop.streams.encode_message", counted)
    streams = MessageStreams(lambda event: None)
    written = []

    class RecordedStream:
        def __init__(self, stream_id):
            self.stream_id = stream_id

        def send(self, data):
            written.append(data)

    for stream_id in range(3):
        streams.add_stream(RecordedStream(stream_id))
    first, second = Heartbeat(offered=1), Heartbeat(offered=2)
    for message in (first, second):
        for stream_id in range(3):
            streams.send(stream_id, message)
    assert encoded == [first, second]
    assert written == [encode_message(first)] * 3 + [encode_message(second)] * 3
