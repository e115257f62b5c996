"""Compact encoding of the tables of running tasks in gossip messages."""

import hashlib
from collections.abc import Mapping, Sequence

import attrs

from sassafrasloft.settings import ServiceSettings


@attrs.frozen
class NameIndex:
    """The sorted names of runners and teams, with a digest of both.

    Instances with the same digest agree on the position of each name, so tables
    can refer to names by position. Sending names would exceed the limit of
    3 KB/s: 24 runner names of 18 characters, sent to 7 peers twice a second,
    take 6 KB/s.
    """

    runners: tuple[str, ...]
    teams: tuple[str, ...]
    digest: str

    @classmethod
    def of(cls, settings: ServiceSettings) -> "NameIndex":
        """Build the index from the settings of a service."""
        runners = tuple(sorted(runner.name for runner in settings.runners))
        teams = tuple(sorted(team.name for team in settings.teams))
        text = "\n".join((*runners, "", *teams))
        digest = hashlib.blake2b(text.encode(), digest_size=4).hexdigest()
        return cls(runners, teams, digest)


class NameIndexCache:
    """Caches the name index of the most recently used settings."""

    def __init__(self) -> None:
        self._settings: ServiceSettings | None = None
        self._index = NameIndex((), (), "")

    def of(self, settings: ServiceSettings) -> NameIndex:
        """Return the index for the settings, rebuilt only if they were replaced."""
        if settings is not self._settings:
            self._settings = settings
            self._index = NameIndex.of(settings)
        return self._index


def pack_loads(names: Sequence[str], loads: Mapping[str, int]) -> tuple[int, ...]:
    """Encode positive loads as a flat sequence of position and load pairs."""
    pairs: list[int] = []
    for position, name in enumerate(names):
        load = loads.get(name, 0)
        if load > 0:
            pairs += (position, load)
    return tuple(pairs)


def unpack_loads(names: Sequence[str], pairs: Sequence[int]) -> dict[str, int]:
    """Decode the result of `pack_loads`; unknown positions are ignored."""
    entries = zip(pairs[::2], pairs[1::2], strict=False)
    return {
        names[position]: load
        for position, load in entries
        if 0 <= position < len(names) and load > 0
    }


def estimate_packed_bytes(pairs: Sequence[int]) -> int:
    """Estimate the msgpack size of packed loads in bytes."""
    return sum(1 if number < 128 else 3 for number in pairs)


def estimate_named_bytes(loads: Mapping[str, int]) -> int:
    """Estimate the msgpack size of a table with names in bytes."""
    return sum(len(name) + 3 for name in loads)
