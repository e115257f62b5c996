"""The configuration that this instance uses, and the layout of the store."""

from typing import Protocol

import attrs
from returns.result import Result

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerEntry
from sassafrasloft.workload import EMPTY_CONFIGURATION, Route, ServiceConfiguration


class StoreDocuments(Protocol):
    """Keys and parsers of the documents in the store; supplied by an adapter."""

    watched_prefix: str
    """Prefix of the keys of the configuration and of the leadership."""
    configuration_key: str
    right_key: str
    runners_prefix: str
    evacuations_prefix: str
    """Prefix of the keys of evacuated zones; the rest of a key is the zone."""

    def read_configuration(self, value: bytes) -> Result[ServiceConfiguration, str]:
        """Return the configuration, or the reason why it is invalid."""

    def read_runner(self, key: str, value: bytes) -> Result[RunnerEntry, str]:
        """Return a runner entry, or the reason why it is invalid."""


@attrs.define(eq=False)
class ConfigurationState:
    """The newest configuration read so far; never replaced by an older one."""

    current: ServiceConfiguration = EMPTY_CONFIGURATION
    document: bytes = b""
    """The current configuration as the operator wrote it."""
    adopted_at: Milliseconds = -1
    confirmed_at: Milliseconds = -1
    store_reachable: bool = True
    store_regained_at: Milliseconds = -1
    """When the store became reachable again; -1 if it was never unreachable."""
    _routes_by_name: dict[str, Route] = attrs.field(factory=dict)

    def adopt(self, configuration: ServiceConfiguration, now: Milliseconds) -> bool:
        """Adopt a configuration if it is newer; return whether it was adopted."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        self.adopted_at = now
        self._routes_by_name = {route.name: route for route in configuration.routes}
        return True

    def route_named(self, name: str) -> Route | None:
        """Return a route of the current configuration; None if there is none."""
        return self._routes_by_name.get(name)
