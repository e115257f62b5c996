"""Requests to the operators' addresses of entry instances."""

import json
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Result, Success
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from sassafrasloft.clock import Milliseconds
from sassafrasloft.errors import UpstreamUnreachable
from sassafrasloft.settings import InstanceSettings

MAX_REPLY_BYTES = 8_000_000
"""The state of 2,600 runners is about 0.5 MB."""
MAX_THREADS = 16

Values = dict[str, object]
ValuesResult = Result[Values, UpstreamUnreachable]


class OperatorClient:
    """Asks each instance once; an instance that does not answer is a failure."""

    def __init__(self, timeout_ms: Milliseconds = 2_000) -> None:
        self._timeout = Timeout(total=timeout_ms / 1_000)

    def status(self, instance: InstanceSettings) -> ValuesResult:
        """Return the state of an instance."""
        return self._send(instance, "GET", "/status")

    def all_statuses(
        self, instances: tuple[InstanceSettings, ...]
    ) -> dict[str, ValuesResult]:
        """Return the states of instances by name, asked at the same time."""
        with ThreadPoolExecutor(MAX_THREADS) as pool:
            results = pool.map(self.status, instances)
            return {
                one.name: result for one, result in zip(instances, results, strict=True)
            }

    def drain(self, instance: InstanceSettings) -> ValuesResult:
        """Ask an instance for a planned stop."""
        return self._send(instance, "POST", "/drain")

    def _send(self, instance: InstanceSettings, method: str, path: str) -> ValuesResult:
        address = instance.operators_address
        host, _, port = address.rpartition(":")
        subject = f"{instance.name} at {address}"
        try:
            with HTTPConnectionPool(host.strip("[]"), int(port), retries=False) as pool:
                response = pool.urlopen(
                    method,
                    path,
                    timeout=self._timeout,
                    redirect=False,
                    preload_content=False,
                )
                content = response.read(MAX_REPLY_BYTES)
                response.close()
            values = json.loads(content)
        except (HTTPError, OSError) as error:
            return Failure(UpstreamUnreachable(subject, type(error).__name__, _REMEDY))
        except (ValueError, RecursionError):
            values = None
        if response.status // 100 != 2 or not isinstance(values, dict):
            found = f"status {response.status} without a state"
            return Failure(UpstreamUnreachable(subject, found, _REMEDY))
        return Success(values)


_REMEDY = "Check that the instance runs and its operators_address is right."
