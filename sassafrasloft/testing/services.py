"""Deployments of the two users, as settings and worlds for tests and benchmarks."""

import attrs

from sassafrasloft.core import Blackboard, DecisionCore, registered_controllers
from sassafrasloft.settings import (
    InstanceSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
)
from sassafrasloft.testing.network import Network
from sassafrasloft.testing.world import World


@attrs.frozen
class Deployment:
    """Service name, region and zones of a user, and the latency between the zones."""

    service: str
    region: str
    zones: tuple[str, ...]
    zone_latency_ms: float


DEPLOYMENTS = {
    "tsagaan-mod": Deployment(
        "markhost", "mn-central", ("ub-north", "ub-south", "darkhan"), 1.0
    ),
    "cestas-colgantes": Deployment(
        "basket-desk", "uy-sur", ("mvd-centro", "mvd-este", "canelones"), 1.5
    ),
}


def make_settings(
    deployment: Deployment,
    instances: int = 8,
    runners: int = 24,
    slots: int = 8,
    teams: int = 8,
) -> ServiceSettings:
    """Return settings that distribute instances and racks evenly over the zones."""
    zones = deployment.zones
    return ServiceSettings(
        service=deployment.service,
        region=deployment.region,
        zones=zones,
        instances=tuple(
            InstanceSettings(
                f"{zones[index % len(zones)]}-{index // len(zones) + 1}",
                zones[index % len(zones)],
                f"127.0.0.1:{20_000 + index}",
                f"127.0.0.1:{21_000 + index}",
                f"127.0.0.1:{22_000 + index}",
            )
            for index in range(instances)
        ),
        runners=tuple(
            RunnerSettings(
                f"runner-{index + 1:02d}",
                zones[index * len(zones) // runners],
                f"127.0.0.1:{23_000 + index}",
                rack=f"rack-{index * len(zones) // runners + 1}",
                slots=slots,
            )
            for index in range(runners)
        ),
        teams=tuple(
            TeamSettings(f"team-{index}", max_running=runners * slots)
            for index in range(teams)
        ),
    )


def make_core(board: Blackboard) -> DecisionCore:
    """Return a decision core with all controllers of an entry instance."""
    import sassafrasloft.configuration
    import sassafrasloft.dispatch
    import sassafrasloft.membership
    import sassafrasloft.submissions
    import sassafrasloft.upstreams  # noqa: F401 - fills the registry

    return DecisionCore(board, registered_controllers())


def make_world(
    deployment: Deployment, seed: int, settings: ServiceSettings | None = None
) -> World:
    """Return a world for a deployment, not started yet."""
    network = Network(None, zone_latency_ms=deployment.zone_latency_ms)
    world = World(settings or make_settings(deployment), network, seed, make_core)
    network.random = world.random
    return world
