"""The operators' configuration of routes and services."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class Route:
    """Where callers submit one kind of job, and how these jobs are handled.

    Parameters
    ----------
    name, host, prefix : str
        The host name and the longest matching path prefix select the route.
    service : str
        The service whose runners execute the tasks.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Failures of a task after which its job fails.
    slack_factor : float
        The latency objective of a job is its critical path times this factor...
    target_latency_ms : Milliseconds
        ...plus this time.
    timeout_ms : Milliseconds
        The longest time that a caller waits.
    needs_advice : bool
        Whether an external service decides which runners may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: Milliseconds = 0
    timeout_ms: Milliseconds = 0
    needs_advice: bool = False

    def objective_ms(self, critical_path_ms: float) -> float:
        """Return the latency objective of a job with this critical path."""
        return self.slack_factor * critical_path_ms + self.target_latency_ms


@attrs.frozen
class ServicePolicy:
    """A service: a pool of runners.

    Parameters
    ----------
    name : str
    max_connections : int
        Limit of connections to one runner.
    rejects_overload : bool
        Whether its runners refuse tasks that exceed their capacity.
    standby : bool
        Whether its machines are powered off.
    health_path : str
        Path at which a runner reports its own health; empty if it has none. Instances
        do not request it: they judge health by the outcome of runs
        (`runs/health.py`).
    """

    name: str
    max_connections: int = 64
    rejects_overload: bool = True
    standby: bool = False
    health_path: str = ""


@attrs.frozen
class HttpLimits:
    """HTTP limits of callers' connections."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


@attrs.frozen
class ServiceConfiguration:
    """One version of the configuration; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: HttpLimits = HttpLimits()
    _by_host: dict[str, list[Route]] = attrs.field(
        init=False, eq=False, repr=False, factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes: by host, longest prefix first."""
        for route in sorted(self.routes, key=lambda one: -len(one.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if there is one."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


EMPTY_CONFIGURATION = ServiceConfiguration(version=0)
