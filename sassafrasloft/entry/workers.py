"""A pool of daemon threads for blocking calls.

`concurrent.futures` is unsuitable because it joins its threads at the end of the
process, and a watch of the platform may block for 20 s.
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

_LOGGER = logging.getLogger(__name__)


class WorkerPool:
    """Runs functions in up to `max_threads` daemon threads, which start on demand.

    Parameters
    ----------
    name : str
        Prefix of the thread names.
    max_threads : int
        Maximum number of threads. Further functions are queued in order; the core
        bounds their number, as each delivery, query and call is open only once.
    """

    def __init__(self, name: str, max_threads: int) -> None:
        self._name = name
        self._max_threads = max_threads
        self._waiting: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._changed = threading.Condition()
        self._idle = 0
        self._threads = 0
        self._stopped = False

    def submit(self, function: Callable[..., None], *arguments: Any) -> None:
        """Run a function in a worker thread; ignored after `stop`."""
        with self._changed:
            if self._stopped:
                return
            self._waiting.append((function, arguments))
            if self._idle >= len(self._waiting):
                self._changed.notify()
                return
            if self._threads >= self._max_threads:
                return
            self._threads += 1
            name = f"{self._name}-{self._threads}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Discard queued functions; running functions end at their own timeouts."""
        with self._changed:
            self._stopped = True
            self._waiting.clear()
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._waiting and not self._stopped:
                    self._idle += 1
                    self._changed.wait()
                    self._idle -= 1
                if self._stopped:
                    return
                function, arguments = self._waiting.popleft()
            try:
                function(*arguments)
            except Exception:
                # An exception in one call must not terminate the worker thread.
                _LOGGER.exception("a call in a thread failed")
