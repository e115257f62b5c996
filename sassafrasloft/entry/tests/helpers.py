"""Helpers for the tests of the I/O layer."""

import socket
import threading
from collections.abc import Callable
from queue import Queue

from sassafrasloft.core import Assignment, Deliver, Event
from sassafrasloft.jobs import TaskKey, TaskSpec

WAIT_S = 5.0
"""Timeout of every wait; a test that reaches it fails."""


class EventRecorder:
    """Receives events in place of the core and returns them to a test."""

    def __init__(self) -> None:
        self._events: Queue[Event] = Queue()

    def __call__(self, event: Event) -> None:
        self._events.put(event)

    @property
    def is_empty(self) -> bool:
        """Whether no event is queued."""
        return self._events.empty()

    def next(self, kind: type[Event] = Event) -> Event:
        """Return the next event of a class; events of other classes are discarded."""
        while True:
            event = self._events.get(timeout=WAIT_S)
            if isinstance(event, kind):
                return event


def delivery(payloads: list[str], runner_incarnation: str) -> Deliver:
    assignments = tuple(
        Assignment(TaskKey("one.aa.1.0.ff", n), TaskSpec(f"t{n}", payload))
        for n, payload in enumerate(payloads)
    )
    return Deliver("runner-1", runner_incarnation, "d-1", assignments, 5_000)


class ScriptedServer:
    """Server that passes the socket of one connection to a function."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listening.getsockname()[1]}"
        self._serve = serve
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._listening.close()
        self._thread.join(WAIT_S)

    def _run(self) -> None:
        accepted, _ = self._listening.accept()
        with accepted:
            accepted.recv(65_536)
            self._serve(accepted)


def unused_address() -> str:
    """Return an address that refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        return f"127.0.0.1:{taken.getsockname()[1]}"
