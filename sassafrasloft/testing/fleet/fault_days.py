"""Days on which cuts, lost processes and outages of the store overlap.

A seed decides the faults, the jobs and which of them their callers send again. The
fleet's audit raises `PromiseBroken` as soon as two runs of a task overlap.
"""

from collections.abc import Callable, Iterable
from random import Random

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.day_callers import ROUTES, DayCallers
from sassafrasloft.testing.fleet.edges import STORE
from sassafrasloft.testing.fleet.world import FleetWorld

ZONES = {"north": 3, "south": 2, "west": 2}
RUNNERS = 3
"""In each zone."""
SETTLED_MS = 1_000
FAULTS_MS = 7_000
"""Within which faults begin."""
CALM_MS = 5_000
LONGEST_FAULT_MS = 6_000
FAULTS = (2, 7)
"""The least and the greatest number in a day."""
TIMERS_LATE_MS = 25
SEEN_SHARE = 0.8

Link = tuple[str, str]
"""Sender and receiver, by instance, runner or store."""
FaultAction = Callable[["FaultDay"], None]
_FAULTS: dict[str, FaultAction] = {}


def register_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Return a decorator that enters a fault under a name."""

    def enter(action: FaultAction) -> FaultAction:
        if name in _FAULTS:
            raise ValueError(f"fault {name!r} is registered twice")
        _FAULTS[name] = action
        return action

    return enter


@attrs.define(eq=False)
class FaultDay:
    """One day of a seed.

    Parameters
    ----------
    seed : int
    names : tuple of str
        The faults to draw from; all if empty.
    seen_share : float
        Share of callers' broken connections whose end the instance sees.
    """

    seed: int
    names: tuple[str, ...] = ()
    seen_share: float = SEEN_SHARE
    random: Random = attrs.field(init=False)
    world: FleetWorld = attrs.field(init=False)
    notes: list[tuple[Milliseconds, str]] = attrs.field(init=False, factory=list)
    """The faults that began, and when."""
    _cuts: list[dict[Link, float]] = attrs.field(init=False, factory=list)
    """When links heal, by cut."""

    def __attrs_post_init__(self) -> None:
        """Build the fleet."""
        self.random = Random(self.seed)
        self.world = FleetWorld(ZONES, RUNNERS, seed=self.seed)
        self.world.configure(1, ROUTES)
        self.world.cut = self._is_cut
        self.world.retransmit_ms = self.random.choice((0, 20, 200))

    def play(self) -> None:
        """Play the day; raises what the audit finds."""
        world, random = self.world, self.random
        world.run(SETTLED_MS)
        if random.random() < 0.5:
            world.timer_delay = {
                name: random.randrange(TIMERS_LATE_MS) for name in world.instances
            }
        names = self.names or tuple(_FAULTS)
        for _ in range(random.randint(*FAULTS)):
            name = random.choice(names)
            at = random.uniform(0, FAULTS_MS)
            world.queue.after(at, lambda name=name: self._inject(name))
        DayCallers(world, self.seen_share).submit_until(world.now + FAULTS_MS)
        world.run(FAULTS_MS + CALM_MS)

    def _inject(self, name: str) -> None:
        self.note(name)
        _FAULTS[name](self)

    def note(self, text: str) -> None:
        """Note what happens, for the report of a failure."""
        self.notes.append((self.world.now, text))

    def duration(self) -> float:
        """Return how long a fault lasts: short ones are as likely as long ones."""
        return self.random.choice(
            (self.random.uniform(100, 1_000), self.random.uniform(1_000, 6_000))
        )

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self.world.queue.after(delay_ms, action)

    # Places

    def zone_of(self, place: str) -> str:
        """Return the zone of an instance or runner; empty for the store."""
        world = self.world
        if place in world.instances:
            return world.instances[place].zone
        return world.runners[place].entry.zone if place in world.runners else ""

    def places(self) -> list[str]:
        """Return all places."""
        return [STORE, *sorted(self.world.instances), *sorted(self.world.runners)]

    def an_instance(self) -> str:
        """Return an instance; often one that schedules."""
        instances = self.world.instances
        roles = {
            name: one.core.board.leadership.role for name, one in instances.items()
        }
        scheduling = (Role.SCHEDULING, Role.ACTING)
        some = sorted(name for name, role in roles.items() if role in scheduling)
        if not some or self.random.random() < 0.4:
            some = sorted(instances)
        return self.random.choice(some)

    def a_zone(self) -> str:
        """Return a zone; often that of a scheduler."""
        return self.zone_of(self.an_instance())

    # Links

    def _is_cut(self, sender: str, receiver: str) -> bool:
        now = self.world.queue.now
        link = (sender, receiver)
        return any(now < cut.get(link, 0.0) for cut in self._cuts)

    def cut(self, links: Iterable[Link], duration_ms: float) -> None:
        """Cut links, each in one direction; they do not heal in the same moment."""
        until = self.world.queue.now + duration_ms
        spread = self.random.choice((0, 30, 120))
        self._cuts.append(
            {one: until + self.random.uniform(0, spread) for one in sorted(links)}
        )
        if self.random.random() < 0.4:
            self.note("streams are reset")
            self.world.reset_streams()

    def links_of(self, inside: set[str], outside: set[str]) -> set[Link]:
        """Return the links between two groups, in both directions or in one."""
        inward = {(two, one) for one in inside for two in outside}
        outward = {(one, two) for one in inside for two in outside}
        return self.random.choice((inward | outward, inward | outward, inward, outward))
