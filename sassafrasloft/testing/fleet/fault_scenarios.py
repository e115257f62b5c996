"""Scenarios in which partitions, lost processes and outages of the store overlap.

A seed determines the faults, the jobs and which of them their callers retry. The audit
of the fleet raises `GuaranteeViolated` as soon as two runs of a task overlap.
"""

from collections.abc import Callable, Iterable
from random import Random

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.scenario_callers import ROUTES, ScenarioCallers
from sassafrasloft.testing.fleet.store_execution import STORE
from sassafrasloft.testing.fleet.world import FleetWorld

ZONES = {"north": 3, "south": 2, "west": 2}
RUNNERS_PER_ZONE = 3
"""Number of runners in each availability zone."""
SETTLED_MS = 1_000
FAULT_WINDOW_MS = 7_000
"""Time within which faults begin."""
RECOVERY_MS = 5_000
MAX_FAULT_MS = 6_000
FAULT_COUNT_RANGE = (2, 7)
"""Minimum and maximum number of faults in a scenario."""
MAX_TIMER_DELAY_MS = 25
DETECTED_DISCONNECT_SHARE = 0.8

Link = tuple[str, str]
"""Sender and receiver: names of instances or runners, or `STORE`."""
FaultAction = Callable[["FaultScenario"], None]
_FAULT_ACTIONS: dict[str, FaultAction] = {}
_DEFAULT_FAULTS: list[str] = []


def register_fault(
    name: str, by_default: bool = True
) -> Callable[[FaultAction], FaultAction]:
    """Return a decorator that registers a fault under a name.

    Parameters
    ----------
    name : str
    by_default : bool
        Whether scenarios draw it that name no faults. A further one would give each
        known seed another scenario.
    """

    def register(action: FaultAction) -> FaultAction:
        if name in _FAULT_ACTIONS:
            raise ValueError(f"fault {name!r} is registered twice")
        _FAULT_ACTIONS[name] = action
        if by_default:
            _DEFAULT_FAULTS.append(name)
        return action

    return register


def all_faults() -> tuple[str, ...]:
    """Return the names of all registered faults."""
    return tuple(_FAULT_ACTIONS)


@attrs.define(eq=False)
class FaultScenario:
    """The faults, jobs and fleet of one seed.

    Parameters
    ----------
    seed : int
    fault_names : tuple of str
        The faults to draw from; those that are drawn by default if empty.
    detected_disconnect_share : float
        Share of callers' broken connections that the instance detects.
    """

    seed: int
    fault_names: tuple[str, ...] = ()
    detected_disconnect_share: float = DETECTED_DISCONNECT_SHARE
    random: Random = attrs.field(init=False)
    world: FleetWorld = attrs.field(init=False)
    events: list[tuple[Milliseconds, str]] = attrs.field(init=False, factory=list)
    """The faults that began, with their times."""
    _cuts: list[dict[Link, float]] = attrs.field(init=False, factory=list)
    """For each cut, the times at which its links heal."""

    def __attrs_post_init__(self) -> None:
        """Build and configure the fleet."""
        self.random = Random(self.seed)
        self.world = FleetWorld(ZONES, RUNNERS_PER_ZONE, seed=self.seed)
        self.world.configure(1, ROUTES)
        self.world.cut = self._is_cut
        self.world.retransmit_interval_ms = self.random.choice((0, 20, 200))

    def run(self) -> None:
        """Run the scenario; violations that the audit finds are raised."""
        world, random = self.world, self.random
        world.run(SETTLED_MS)
        if random.random() < 0.5:
            world.timer_delays_ms = {
                name: random.randrange(MAX_TIMER_DELAY_MS) for name in world.instances
            }
        fault_names = self.fault_names or tuple(_DEFAULT_FAULTS)
        for _ in range(random.randint(*FAULT_COUNT_RANGE)):
            name = random.choice(fault_names)
            at = random.uniform(0, FAULT_WINDOW_MS)
            world.queue.after(at, lambda name=name: self._inject(name))
        ScenarioCallers(world, self.detected_disconnect_share).submit_until(
            world.now + FAULT_WINDOW_MS
        )
        world.run(FAULT_WINDOW_MS + RECOVERY_MS)

    def _inject(self, name: str) -> None:
        self.record_event(name)
        _FAULT_ACTIONS[name](self)

    def record_event(self, text: str) -> None:
        """Record an event for the report of a failure."""
        self.events.append((self.world.now, text))

    def draw_duration(self) -> float:
        """Draw the duration of a fault; short and long faults are equally likely."""
        return self.random.choice(
            (self.random.uniform(100, 1_000), self.random.uniform(1_000, 6_000))
        )

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.world.queue.after(delay_ms, action)

    # Endpoints: instances, runners and the store

    def zone_of(self, endpoint: str) -> str:
        """Return the zone of an instance or runner; empty for the store."""
        world = self.world
        if endpoint in world.instances:
            return world.instances[endpoint].zone
        return world.runners[endpoint].entry.zone if endpoint in world.runners else ""

    def endpoints(self) -> list[str]:
        """Return the names of all endpoints."""
        return [STORE, *sorted(self.world.instances), *sorted(self.world.runners)]

    def choose_instance(self) -> str:
        """Choose an instance, with a preference for one that schedules."""
        instances = self.world.instances
        roles = {
            name: one.core.board.leadership.role for name, one in instances.items()
        }
        scheduling = (Role.SCHEDULING, Role.ACTING)
        some = sorted(name for name, role in roles.items() if role in scheduling)
        if not some or self.random.random() < 0.4:
            some = sorted(instances)
        return self.random.choice(some)

    def choose_zone(self) -> str:
        """Choose a zone, with a preference for that of a scheduler."""
        return self.zone_of(self.choose_instance())

    # Links

    def _is_cut(self, sender: str, receiver: str) -> bool:
        now = self.world.queue.now
        link = (sender, receiver)
        return any(now < cut.get(link, 0.0) for cut in self._cuts)

    def cut(self, links: Iterable[Link], duration_ms: float) -> None:
        """Cut one-way links; they heal at slightly different times."""
        until = self.world.queue.now + duration_ms
        spread = self.random.choice((0, 30, 120))
        self._cuts.append(
            {one: until + self.random.uniform(0, spread) for one in sorted(links)}
        )
        if self.random.random() < 0.4:
            self.record_event("streams are reset")
            self.world.reset_streams()

    def links_between(self, inside: set[str], outside: set[str]) -> set[Link]:
        """Draw links between two groups: in one direction or, as often, in both."""
        inward = {(two, one) for one in inside for two in outside}
        outward = {(one, two) for one in inside for two in outside}
        return self.random.choice((inward | outward, inward | outward, inward, outward))
