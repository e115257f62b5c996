"""Placement policies, which choose runners for waiting tasks, and their registry."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import ClassVar, TypeVar

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.dispatch.estimates import (
    connection_capacity,
    estimated_free,
)
from sassafrasloft.dispatch.homes import (
    HOME,
    OTHER_ZONE,
    Candidate,
    CandidateList,
)
from sassafrasloft.dispatch.lending import borrowed_free, home_free
from sassafrasloft.jobs import TaskSpec
from sassafrasloft.settings import RunnerSettings


@attrs.define
class Offer:
    """The capacity of one runner in this placement pass."""

    candidate: Candidate
    free: int
    """Number of tasks that may still be placed on the runner."""

    def take(self, count: int) -> None:
        """Reduce the free capacity by `count`."""
        self.free -= count


class Placement(ABC):
    """A policy that chooses among runners."""

    borrows: ClassVar[bool] = False
    """Whether slots are requested from peers while tasks remain waiting."""

    def considered(
        self, board: Blackboard, candidates: CandidateList
    ) -> Iterable[Candidate]:
        """Return the runners that may have free capacity."""
        return candidates.current(board)

    @abstractmethod
    def offer(self, board: Blackboard, candidate: Candidate, group: int) -> int:
        """Return how many tasks may be placed on a usable runner now."""

    @abstractmethod
    def choose(self, board: Blackboard, offers: list[Offer]) -> Offer | None:
        """Return one of the offers, all of which have free capacity."""


_PLACEMENTS: dict[str, type[Placement]] = {}
PlacementClass = TypeVar("PlacementClass", bound=type[Placement])


def register_placement(name: str) -> Callable[[PlacementClass], PlacementClass]:
    """Return a decorator that registers a policy under its name in the settings."""

    def enter(placement_class: PlacementClass) -> PlacementClass:
        if name in _PLACEMENTS:
            raise ValueError(f"placement {name!r} is registered twice")
        _PLACEMENTS[name] = placement_class
        return placement_class

    return enter


def placements() -> dict[str, type[Placement]]:
    """Return the registered placement policies by name."""
    return dict(_PLACEMENTS)


def fits(spec: TaskSpec, runner: RunnerSettings) -> bool:
    """Return whether a runner is large enough for a task."""
    return (
        spec.cores <= runner.cores
        and spec.memory_mb <= runner.memory_mb
        and spec.accelerators <= runner.accelerators
    )


class LocalViewPlacement(Placement):
    """Base class of the baselines: uses only the instance's own tasks in flight."""

    def offer(self, board: Blackboard, candidate: Candidate, group: int) -> int:
        """Return the slots not occupied by tasks of this instance."""
        state = candidate.state
        free = state.settings.slots - len(state.in_flight)
        return min(free, connection_capacity(board, state, group))


@register_placement("random")
class RandomPlacement(LocalViewPlacement):
    """Baseline policy: any runner with equal probability."""

    def choose(self, board: Blackboard, offers: list[Offer]) -> Offer | None:
        """Return a random offer."""
        return board.random.choice(offers) if offers else None


@register_placement("round_robin")
class RoundRobinPlacement(LocalViewPlacement):
    """Baseline policy: the runners in turn."""

    def __init__(self) -> None:
        self._last = ""

    def choose(self, board: Blackboard, offers: list[Offer]) -> Offer | None:
        """Return the offer that follows the last chosen runner by name."""
        if not offers:
            return None
        ordered = sorted(offers, key=lambda offer: offer.candidate.name)
        later = (one for one in ordered if one.candidate.name > self._last)
        chosen = next(later, ordered[0])
        self._last = chosen.candidate.name
        return chosen


@register_placement("least_loaded")
class LeastLoadedPlacement(Placement):
    """Home runners first, then borrowed slots of the zone, then other zones.

    Among home runners, the one with the most estimated free slots is chosen.
    Among other runners, the better of two random choices is chosen, so that
    instances with the same gossip do not all choose the same runner.
    """

    reply_trusted_ms: ClassVar[Milliseconds] = 500
    """A gossip period: an older reply says less than the peers' gossip."""
    fresh_reply_ms: ClassVar[Milliseconds] = 20
    """Within this time of a reply few other tasks arrive, so no slot is reserved."""
    stale_reserve: ClassVar[int] = 1
    """Slots kept free on a runner outside the home set whose last reply is stale. Two
    slots, or none, cause more refusals at 95% load."""

    def offer(self, board: Blackboard, candidate: Candidate, group: int) -> int:
        """Return the estimated free slots less the reserve."""
        state = candidate.state
        free = estimated_free(board, state, self.reply_trusted_ms)
        age_ms = board.now - state.free_known_ms
        stale = state.free_known_ms < 0 or age_ms > self.fresh_reply_ms
        if candidate.tier != HOME and stale:
            free -= self.stale_reserve
        return min(free, connection_capacity(board, state, group))

    def choose(self, board: Blackboard, offers: list[Offer]) -> Offer | None:
        """Return an offer from the nearest tier that has any."""
        for tier in range(HOME, OTHER_ZONE + 1):
            near = [one for one in offers if one.candidate.tier == tier]
            if not near:
                continue
            if tier != HOME and len(near) > 2:
                near = board.random.sample(near, 2)
            return max(near, key=_free_places)
        return None


def _free_places(offer: Offer) -> int:
    return offer.free


@register_placement("lending")
class LendingPlacement(Placement):
    """Uses home slots, and slots lent by the home instance of a runner.

    Only one instance may use a slot at a time, so that no task is sent to a slot
    that another instance has just occupied.
    """

    borrows = True

    def considered(
        self, board: Blackboard, candidates: CandidateList
    ) -> Iterable[Candidate]:
        """Return the home runners and the runners with borrowed slots."""
        found = list(candidates.home(board))
        for borrowed in board.queue.borrowed.values():
            if board.now < borrowed.until_ms:
                runners = map(candidates.find, borrowed.slots)
                found.extend(one for one in runners if one is not None)
        return found

    def offer(self, board: Blackboard, candidate: Candidate, group: int) -> int:
        """Return the free slots that this instance may use."""
        if candidate.tier == HOME:
            free = home_free(board, candidate.state)
        else:
            free = borrowed_free(board, candidate)
        if free <= 0:
            return 0
        return min(free, connection_capacity(board, candidate.state, group))

    def choose(self, board: Blackboard, offers: list[Offer]) -> Offer | None:
        """Return the offer with the most free slots in the nearest tier."""
        return min(offers, key=_by_tier_and_free, default=None)


def _by_tier_and_free(offer: Offer) -> int:
    return offer.candidate.tier * 1_000 - offer.free
