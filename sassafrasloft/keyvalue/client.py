"""Blocking HTTP client for the platform's key-value service, based on urllib3."""

import json

from cattrs.errors import BaseValidationError
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from sassafrasloft.clock import Milliseconds
from sassafrasloft.keyvalue.forms import CallCodec, codec_for
from sassafrasloft.messages import PlatformCall, PlatformReply, Unavailable, WatchKey

MAX_CONNECTIONS = 4
"""One connection for the watch, and a few for short calls."""
MAX_RESPONSE_BYTES = 8_000_000
"""A value of 1 MB is at most 6 MB in JSON. Longer bodies are not read to the end."""
_MS_PER_S = 1_000


class PlatformClient:
    """Makes blocking calls to the platform over persistent connections.

    Several threads may use the client at the same time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the platform's service.
    timeout_ms : Milliseconds
        Time limit for connecting and for each response. For a watch, the time that
        it may wait for a change is added.
    """

    def __init__(self, address: str, timeout_ms: Milliseconds) -> None:
        host, _, port = address.rpartition(":")
        self._timeout_ms = timeout_ms
        self._pool = HTTPConnectionPool(
            host.strip("[]"), int(port), maxsize=MAX_CONNECTIONS, retries=False
        )

    def call(self, call: PlatformCall) -> PlatformReply:
        """Make a call and return its reply. Failed calls are not retried.

        Returns
        -------
        PlatformReply
            `Unavailable` on any failure. A write may have taken effect even so.
        """
        wait_ms = call.wait_ms if isinstance(call, WatchKey) else 0
        codec = codec_for(call)
        try:
            return self._send(codec, call, wait_ms)
        except (HTTPError, OSError) as error:
            return Unavailable(f"no response: {type(error).__name__}")
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            return Unavailable(f"malformed response: {type(error).__name__}")
        except BaseValidationError:
            return Unavailable("malformed response: unexpected fields or types")

    def close(self) -> None:
        """Close the open connections."""
        self._pool.close()

    def _send(
        self, codec: CallCodec, call: PlatformCall, wait_ms: Milliseconds
    ) -> PlatformReply:
        request = codec.encode_request(call)
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
                connect=self._timeout_ms / _MS_PER_S,
                read=(self._timeout_ms + wait_ms) / _MS_PER_S,
            ),
        )
        try:
            content = response.read(MAX_RESPONSE_BYTES + 1)
            if len(content) > MAX_RESPONSE_BYTES:
                response.close()
                return Unavailable(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
        finally:
            response.release_conn()
        reply = None
        if response.status in codec.reply_types:
            reply = codec.decode_reply(response.status, json.loads(content))
        return reply or Unavailable(f"status {response.status}")
