"""HTTP transport to one of several entry instances, based on urllib3."""

import json
from typing import Protocol
from urllib.parse import quote

import attrs
from returns.result import Failure, Result, Success
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from sassafrasloft.callers.errors import ServiceUnreachable
from sassafrasloft.clock import Milliseconds

MAX_REPLY_BYTES = 64_000_000
"""Enough for 340 results of 0.1 MB, with a margin; longer replies are discarded."""
CONNECT_TIMEOUT_MS: Milliseconds = 2_000
"""Shorter than the reply timeout, so that an unresponsive address fails sooner."""
DEFAULT_TIMEOUT_MS: Milliseconds = 10_000
"""An entry instance may take up to 8 s beyond the wait to report a missing reply."""
_MS = 1_000


@attrs.frozen
class HttpReply:
    """Status, parsed JSON body and retry delay of an HTTP reply.

    Parameters
    ----------
    body : object
        Parsed JSON; None if the body is not valid JSON.
    retry_after_ms : Milliseconds
        Retry delay from the ``Retry-After`` header; 0 if there is none.
    """

    status: int
    body: object
    retry_after_ms: Milliseconds = 0


class Transport(Protocol):
    """Interface through which the client sends its requests."""

    def send(
        self, method: str, path: str, body: object = None, wait_ms: Milliseconds = 0
    ) -> Result[HttpReply, ServiceUnreachable]:
        """Send a request once and return its reply."""


def job_path(submission_id: str, wait_ms: Milliseconds = 0) -> str:
    """Return the URL path for requests about a job."""
    path = "/v1/jobs/" + quote(submission_id, safe="")
    return f"{path}?wait_ms={wait_ms}" if wait_ms else path


class CallerTransport:
    """Transport that stays with one entry instance as long as it answers.

    After a failed request or a reply with status 503, the next request goes to
    the next address. The transport itself never retries a request.

    Parameters
    ----------
    addresses : tuple of str
        ``IP:port`` of entry instances or of the load balancer, in order of preference.
    token : str
        Access token of the team.
    timeout_ms : Milliseconds
        Timeout of each reply, in addition to the wait that the request asks for.
        The connect timeout is `CONNECT_TIMEOUT_MS`, or this one if it is shorter.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        token: str,
        timeout_ms: Milliseconds = DEFAULT_TIMEOUT_MS,
    ) -> None:
        if not addresses:
            raise ValueError("no address is given; give at least one IP:port")
        self._addresses = addresses
        self._token = token
        self._timeout_ms = timeout_ms
        self._current = 0
        self._pools: dict[str, HTTPConnectionPool] = {}

    @property
    def address(self) -> str:
        """Address that the next request is sent to."""
        return self._addresses[self._current]

    def send(
        self, method: str, path: str, body: object = None, wait_ms: Milliseconds = 0
    ) -> Result[HttpReply, ServiceUnreachable]:
        """Send a request once to the current address."""
        address = self.address
        try:
            reply = self._exchange(address, method, path, body, wait_ms)
        except (HTTPError, OSError) as error:
            self._use_next()
            return Failure(ServiceUnreachable(address, type(error).__name__))
        if reply.status == 503:
            self._use_next()
        return Success(reply)

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _use_next(self) -> None:
        self._current = (self._current + 1) % len(self._addresses)

    def _pool(self, address: str) -> HTTPConnectionPool:
        if address not in self._pools:
            host, _, port = address.rpartition(":")
            self._pools[address] = HTTPConnectionPool(
                host.strip("[]"), int(port), maxsize=1, retries=False
            )
        return self._pools[address]

    def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: object,
        wait_ms: Milliseconds,
    ) -> HttpReply:
        headers = {"Accept": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if body is not None:
            headers["Content-Type"] = "application/json"
        response = self._pool(address).urlopen(
            method,
            path,
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            redirect=False,
            preload_content=False,
            timeout=Timeout(
                connect=min(CONNECT_TIMEOUT_MS, self._timeout_ms) / _MS,
                read=(self._timeout_ms + wait_ms) / _MS,
            ),
        )
        try:
            content = response.read(MAX_REPLY_BYTES + 1)
            if len(content) > MAX_REPLY_BYTES:
                response.close()
                content = b""
        finally:
            response.release_conn()
        after = response.headers.get("Retry-After", "")
        after_ms = int(after) * _MS if after.isascii() and after.isdigit() else 0
        return HttpReply(response.status, _json_or_none(content), after_ms)


def _json_or_none(content: bytes) -> object:
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return None
