"""The configuration in force at this instance."""

from typing import Protocol

import attrs
from returns.result import Result

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerEntry
from sassafrasloft.workload import EMPTY_CONFIGURATION, Route, ServiceConfiguration


class StoreDocuments(Protocol):
    """How documents in the store are named and read; supplied by an adapter."""

    watched_prefix: str
    """Covers the configuration and the scheduler's right."""
    configuration_key: str
    right_key: str
    runners_prefix: str

    def read_configuration(self, value: bytes) -> Result[ServiceConfiguration, str]:
        """Return the configuration, or why it cannot be read."""

    def read_runner(self, key: str, value: bytes) -> Result[RunnerEntry, str]:
        """Return a runner's entry, or why it names no runner."""


@attrs.define(eq=False)
class ConfigurationState:
    """The newest configuration that was read; never replaced by an older one."""

    current: ServiceConfiguration = EMPTY_CONFIGURATION
    document: bytes = b""
    """The configuration in force as the operator wrote it."""
    adopted_at: Milliseconds = -1
    confirmed_at: Milliseconds = -1
    store_reachable: bool = True
    store_regained_at: Milliseconds = -1
    """When the store last answered again; -1 if it always did."""
    _by_name: dict[str, Route] = attrs.field(factory=dict)

    def adopt(self, configuration: ServiceConfiguration, now: Milliseconds) -> bool:
        """Adopt a configuration if it is newer; return whether it was."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        self.adopted_at = now
        self._by_name = {route.name: route for route in configuration.routes}
        return True

    def route_named(self, name: str) -> Route | None:
        """Return a route of the configuration in force."""
        return self._by_name.get(name)
