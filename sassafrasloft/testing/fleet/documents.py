"""Encodes the documents in the store of a test fleet as JSON lists of fields."""

import json

from returns.result import Failure, Result, Success

from sassafrasloft.runs import RunnerEntry
from sassafrasloft.workload import ServiceConfiguration, from_positional, to_positional


class JsonDocuments:
    """Keys of the documents in the store, and their encoding in tests."""

    watched_prefix = "o"
    configuration_key = "operators/configuration"
    right_key = "own/scheduler"
    runners_prefix = "runners/"
    evacuations_prefix = "operators/evacuated/"

    def read_configuration(self, value: bytes) -> Result[ServiceConfiguration, str]:
        """Decode a configuration, or return the error."""
        return self._read(ServiceConfiguration, value)

    def read_runner(self, key: str, value: bytes) -> Result[RunnerEntry, str]:
        """Decode the entry of a runner, or return the error."""
        return self._read(RunnerEntry, value)

    def write(self, document: ServiceConfiguration | RunnerEntry) -> bytes:
        """Encode a document."""
        return json.dumps(to_positional(document)).encode()

    def _read(self, kind: type, value: bytes) -> Result:
        try:
            return Success(from_positional(kind, json.loads(value)))
        except (ValueError, TypeError) as error:
            return Failure(str(error))
