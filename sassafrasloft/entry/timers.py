"""Named timers that the decision core sets."""

import heapq
import threading
from collections.abc import Callable

from sassafrasloft.clock import Clock, Milliseconds


class TimerThread:
    """Calls a function when a named timer is due; one thread serves all timers.

    Parameters
    ----------
    clock : Clock
        Clock that the due times refer to.
    on_due : callable
        Called with the name of each timer that is due.
    """

    def __init__(self, clock: Clock, on_due: Callable[[str], None]) -> None:
        self._clock = clock
        self._fire = on_due
        self._due: dict[str, Milliseconds] = {}
        self._heap: list[tuple[Milliseconds, str]] = []
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; no timer fires afterwards."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join()

    def set(self, name: str, due_ms: Milliseconds) -> None:
        """Set a timer; replaces a timer of the same name."""
        with self._changed:
            self._due[name] = due_ms
            heapq.heappush(self._heap, (due_ms, name))
            if self._heap[0][1] == name:
                self._changed.notify()

    def _run(self) -> None:
        while True:
            name = self._wait_for_due_timer()
            if name is None:
                return
            self._fire(name)

    def _wait_for_due_timer(self) -> str | None:
        with self._changed:
            while not self._stopped:
                if not self._heap:
                    self._changed.wait()
                    continue
                due_ms, name = self._heap[0]
                if self._due.get(name) != due_ms:
                    heapq.heappop(self._heap)
                    continue
                left_ms = due_ms - self._clock.now()
                if left_ms > 0:
                    self._changed.wait(left_ms / 1000)
                    continue
                heapq.heappop(self._heap)
                del self._due[name]
                return name
        return None
