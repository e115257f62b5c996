"""Calls to the platform by urllib3."""

import json

from cattrs.errors import BaseValidationError
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from sassafrasloft.clock import Milliseconds
from sassafrasloft.keyvalue.forms import CallForm, form_of
from sassafrasloft.messages import PlatformCall, PlatformReply, Unavailable, WatchKey

MAX_CONNECTIONS = 4
"""One watch, and a few short calls beside it."""
MAX_BODY_BYTES = 8_000_000
"""A value of 1 MB is at most 6 MB as JSON; a longer body is not read."""
_MS = 1_000


class PlatformClient:
    """Makes one call at a time per thread; keeps its connections open.

    Parameters
    ----------
    address : str
        ``IP:port`` of the platform's service.
    timeout_ms : Milliseconds
        For connecting and for each answer; a watch may take its wait longer.
    """

    def __init__(self, address: str, timeout_ms: Milliseconds) -> None:
        host, _, port = address.rpartition(":")
        self._timeout_ms = timeout_ms
        self._pool = HTTPConnectionPool(
            host.strip("[]"), int(port), maxsize=MAX_CONNECTIONS, retries=False
        )

    def call(self, call: PlatformCall) -> PlatformReply:
        """Make a call once and return its reply.

        Returns
        -------
        PlatformReply
            `Unavailable` on any failure; a write may then have taken effect.
        """
        wait_ms = call.wait_ms if isinstance(call, WatchKey) else 0
        form = form_of(call)
        try:
            return self._send(form, call, wait_ms)
        except (HTTPError, OSError) as error:
            return Unavailable(f"no answer: {type(error).__name__}")
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            return Unavailable(f"the answer has another form: {type(error).__name__}")
        except BaseValidationError:
            return Unavailable("the answer has another form")

    def close(self) -> None:
        """Close the open connections."""
        self._pool.close()

    def _send(
        self, form: CallForm, call: PlatformCall, wait_ms: Milliseconds
    ) -> PlatformReply:
        request = form.write(call)
        headers = {"Accept": "application/json"}
        body = None
        if request.body is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(request.body).encode()
        if request.expected_revision >= 0:
            headers["If-Match"] = f'"{request.expected_revision}"'
        response = self._pool.urlopen(
            request.method,
            request.path,
            body=body,
            headers=headers,
            redirect=False,
            preload_content=False,
            timeout=Timeout(
                connect=self._timeout_ms / _MS,
                read=(self._timeout_ms + wait_ms) / _MS,
            ),
        )
        try:
            content = response.read(MAX_BODY_BYTES + 1)
            if len(content) > MAX_BODY_BYTES:
                response.close()
                return Unavailable(f"the answer exceeds {MAX_BODY_BYTES} bytes")
        finally:
            response.release_conn()
        reply = None
        if response.status in form.replies:
            reply = form.read(response.status, json.loads(content))
        return reply or Unavailable(f"status {response.status}")
