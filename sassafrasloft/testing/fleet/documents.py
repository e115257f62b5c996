"""Documents in the store of a test fleet: the attrs classes as JSON lists."""

import json

from returns.result import Failure, Result, Success

from sassafrasloft.runs import RunnerEntry
from sassafrasloft.workload import ServiceConfiguration, from_positional, to_positional


class JsonDocuments:
    """Keys and forms of documents in tests."""

    watched_prefix = "o"
    configuration_key = "operators/configuration"
    right_key = "own/scheduler"
    runners_prefix = "runners/"

    def read_configuration(self, value: bytes) -> Result[ServiceConfiguration, str]:
        """Return a configuration."""
        return self._read(ServiceConfiguration, value)

    def read_runner(self, key: str, value: bytes) -> Result[RunnerEntry, str]:
        """Return a runner's entry."""
        return self._read(RunnerEntry, value)

    def write(self, document: ServiceConfiguration | RunnerEntry) -> bytes:
        """Return the bytes of a document."""
        return json.dumps(to_positional(document)).encode()

    def _read(self, kind: type, value: bytes) -> Result:
        try:
            return Success(from_positional(kind, json.loads(value)))
        except (ValueError, TypeError) as error:
            return Failure(str(error))
