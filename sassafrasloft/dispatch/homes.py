"""Preference of an instance among runners: home set, own zone, other zones."""

from hashlib import blake2b

import attrs

from sassafrasloft.core import Blackboard
from sassafrasloft.state import RunnerState

HOME, OWN_ZONE, OTHER_ZONE = range(3)
MAX_CANDIDATES = 64
"""Of up to 2,600 runners, an instance considers only the most preferred ones."""


@attrs.define
class Candidate:
    """A runner with its preference rank for this instance."""

    name: str
    state: RunnerState
    owner: str
    tier: int
    preference: int


def live_instances(board: Blackboard) -> list[str]:
    """Return the instances that accept jobs, in the order of the settings.

    A peer that has never been heard from is counted as live, so that a starting
    instance does not assign all runners to its own home set.
    """
    silence_ms = board.settings.service.membership.peer_silence_ms
    live = []
    for instance in board.settings.service.instances:
        peer = board.peers.peers.get(instance.name)
        if peer is not None and instance.name != board.identity.instance:
            silent = (
                peer.last_heard_at >= 0 and board.now - peer.last_heard_at > silence_ms
            )
            if peer.leaving or silent:
                continue
        live.append(instance.name)
    return live or [board.identity.instance]


def preference(instance: str, runner: str) -> int:
    """Return the sort key of a runner in an instance's order of preference."""
    digest = blake2b(f"{instance}/{runner}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def assign_homes(board: Blackboard, live: list[str]) -> dict[str, str]:
    """Return the home instance of each runner.

    The runners of a zone are assigned round-robin to the live instances of that
    zone, or to all live instances if the zone has none.
    """
    zones = {one.name: one.zone for one in board.settings.service.instances}
    dealt: dict[str, int] = {}
    homes: dict[str, str] = {}
    for name, state in sorted(board.upstreams.runners.items()):
        zone = state.settings.zone
        owners = [one for one in live if zones.get(one) == zone] or live
        turn = dealt.get(zone, 0)
        dealt[zone] = turn + 1
        homes[name] = owners[turn % len(owners)]
    return homes


class CandidateList:
    """The runners in order of preference, rebuilt when runners or instances change."""

    def __init__(self) -> None:
        self._candidates: list[Candidate] = []
        self._live: list[str] = []
        self._generation = -1
        self._home: list[Candidate] = []
        self._home_names: list[str] = []
        self._by_name: dict[str, Candidate] = {}
        self._lenders: dict[str, list[Candidate]] = {}

    def refresh(self, board: Blackboard) -> None:
        """Mark the list for rebuilding if the set of live instances has changed.

        Called when gossip arrives or a peer link changes.
        """
        live = live_instances(board)
        if live != self._live:
            self._live = live
            self._generation = -1

    def current(self, board: Blackboard) -> list[Candidate]:
        """Return the candidates, home runners first."""
        if board.upstreams.generation != self._generation:
            self._live = live_instances(board)
            self._generation = board.upstreams.generation
            self._candidates = self._build(board)
            self._index_candidates(board)
        return self._candidates

    def home(self, board: Blackboard) -> list[Candidate]:
        """Return the runners of this instance's home set."""
        self.current(board)
        return self._home

    def find(self, name: str) -> Candidate | None:
        """Return a candidate by runner name."""
        return self._by_name.get(name)

    def lenders(self, board: Blackboard) -> dict[str, list[Candidate]]:
        """Return the home runners of each peer, in the order of preference."""
        self.current(board)
        return self._lenders

    def _index_candidates(self, board: Blackboard) -> None:
        self._by_name = {one.name: one for one in self._candidates}
        self._home = [one for one in self._candidates if one.tier == HOME]
        self._lenders = {}
        for one in self._candidates:
            if one.owner != board.identity.instance:
                self._lenders.setdefault(one.owner, []).append(one)
        names = [one.name for one in self._home]
        if names != self._home_names:
            self._home_names = names
            board.queue.homes_changed_ms = board.now

    def _build(self, board: Blackboard) -> list[Candidate]:
        own = board.identity
        homes = assign_homes(board, self._live)
        candidates = []
        for name, state in board.upstreams.runners.items():
            tier = OWN_ZONE if state.settings.zone == own.zone else OTHER_ZONE
            if homes[name] == own.instance:
                tier = HOME
            rank = preference(own.instance, name)
            candidates.append(Candidate(name, state, homes[name], tier, rank))
        candidates.sort(key=lambda one: (one.tier, one.preference))
        return candidates[:MAX_CANDIDATES]
