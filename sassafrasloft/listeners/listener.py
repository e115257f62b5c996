"""A waitress HTTP server that runs in its own thread on one or more addresses."""

import json
import socket
import threading
import time
from typing import Any

import attrs
from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer, create_server
from waitress.task import ErrorTask, WSGITask

from sassafrasloft.clock import Milliseconds

IDLE_CHECK_INTERVAL_S = 30
"""Interval between searches for connections that have been idle for too long."""

MAX_LOOP_WAIT_S = 1
"""Upper limit for one wait of the server loop. `HttpListener.stop` wakes it at once."""


@attrs.frozen
class ListenerLimits:
    """Resource limits of a listener.

    Parameters
    ----------
    threads : int
        Number of requests that are served concurrently. Further ones are queued.
    max_body_bytes : int
        Larger request bodies are rejected with status 413. Bodies are kept in
        memory, since instances have no disk.
    max_connections : int
        Further connections wait in the backlog of the listening socket.
    idle_ms : Milliseconds
        Time after which an idle connection is closed.
    """

    threads: int = 8
    max_body_bytes: int = 4_000_000
    max_connections: int = 2_000
    idle_ms: Milliseconds = 120_000


class _JsonErrorTask(ErrorTask):
    """Sends the usual JSON error for requests that waitress itself rejects."""

    def execute(self) -> None:
        error = self.request.error
        body = {
            "kind": "too_large" if error.code == 413 else "malformed_input",
            "subject": "request",
            "detail": f"{error.reason}: {error.body}",
            "remedy": "Send a well-formed HTTP request within the limits.",
        }
        encoded = json.dumps(body).encode()
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", "application/json"))
        self.set_close_on_finish()
        self.content_length = len(encoded)
        self.write(encoded)


class _KeepAliveTask(WSGITask):
    """Keeps the connection open after a streamed reply.

    By default, waitress closes the connection after a streamed reply, although the
    chunked encoding marks its end. A new connection for each delivery would cost an
    instance more processor time than the rest of the exchange.
    """

    def build_response_header(self) -> bytes:
        if self.channel.server.closes_after_reply:
            super().set_close_on_finish()
        return super().build_response_header()

    def set_close_on_finish(self) -> None:
        if not self.chunked_response or self.wrote_header:
            super().set_close_on_finish()


class _Channel(HTTPChannel):
    task_class = _KeepAliveTask
    error_task_class = _JsonErrorTask


class HttpListener:
    """Serves WSGI applications on one or more addresses from a background thread.

    Parameters
    ----------
    name : str
        Name of the server thread.
    applications : dict of str to callable
        The WSGI application for each address ``host:port``. Port 0 selects a free
        port. All applications share the worker threads.
    limits : ListenerLimits
        Resource limits.

    Raises
    ------
    OSError
        If an address cannot be bound.
    """

    def __init__(
        self,
        name: str,
        applications: dict[str, Any],
        limits: ListenerLimits,
    ) -> None:
        sockets = [_bound_socket(address) for address in applications]
        self._addresses = ["{}:{}".format(*one.getsockname()) for one in sockets]
        self._socket_map: dict[int, Any] = {}
        self._server = create_server(
            next(iter(applications.values())),
            map=self._socket_map,
            sockets=sockets,
            threads=limits.threads,
            max_request_body_size=limits.max_body_bytes + 1,
            inbuf_overflow=limits.max_body_bytes + 1,
            outbuf_overflow=64_000_000,
            connection_limit=limits.max_connections,
            channel_timeout=max(1, limits.idle_ms // 1000),
            cleanup_interval=IDLE_CHECK_INTERVAL_S,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            log_socket_errors=False,
            ident=None,
        )
        by_socket = dict(zip(sockets, applications.values(), strict=True))
        for server in self._servers():
            server.application = by_socket[server.socket]
            server.channel_class = _Channel
            server.closes_after_reply = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._serve_until_stopped, name=name, daemon=True
        )

    @property
    def addresses(self) -> list[str]:
        """The bound addresses with their actual ports, in the given order."""
        return list(self._addresses)

    def start(self) -> None:
        """Start to serve requests in the background thread."""
        self._thread.start()

    def leave(self) -> None:
        """Close each connection after its next reply from now on.

        Clients with persistent connections thereby move to other instances before
        this one stops.
        """
        for server in self._servers():
            server.closes_after_reply = True

    def stop(self, grace_ms: Milliseconds = 0) -> None:
        """Stop accepting connections, finish open requests and close all connections.

        Parameters
        ----------
        grace_ms : Milliseconds
            How long open requests may take to finish.
        """
        self._stopping.set()
        self._wake_servers()
        if self._thread.is_alive():
            self._thread.join()
        for server in self._servers():
            server.accepting = False
        deadline = time.monotonic() + grace_ms / 1000
        while self._has_unfinished_requests() and time.monotonic() < deadline:
            wasyncore.loop(timeout=0.05, use_poll=True, map=self._socket_map, count=1)
        self._server.task_dispatcher.shutdown(timeout=1)
        wasyncore.close_all(self._socket_map)

    def _serve_until_stopped(self) -> None:
        while not self._stopping.is_set():
            wasyncore.loop(
                timeout=MAX_LOOP_WAIT_S, use_poll=True, map=self._socket_map, count=1
            )

    def _servers(self) -> list[BaseWSGIServer]:
        return [
            one for one in self._socket_map.values() if isinstance(one, BaseWSGIServer)
        ]

    def _has_unfinished_requests(self) -> bool:
        channels = [
            one for one in self._socket_map.values() if isinstance(one, HTTPChannel)
        ]
        return any(one.requests or one.total_outbufs_len for one in channels)

    def _wake_servers(self) -> None:
        for server in self._servers():
            server.pull_trigger()


def _bound_socket(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening_socket.bind((host, int(port)))
    except OSError:
        listening_socket.close()
        raise
    return listening_socket
