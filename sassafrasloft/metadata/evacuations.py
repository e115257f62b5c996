"""Availability zones that an operator has evacuated.

A zone is evacuated by a key in the store and given back by the removal of that key.
Every instance watches these keys. An instance that the store does not reach is told by
the others, so that what is known of a zone carries the revision of the store at its
last change, and the newest one applies.
"""

from collections.abc import Iterable, Mapping

import attrs

MAX_ZONES = 256
"""Limit of zones that are remembered; those given back longest ago are dropped."""


@attrs.frozen
class ZoneEvacuation:
    """Whether a zone is evacuated, as of a revision of the store."""

    zone: str
    revision: int
    evacuated: bool


class EvacuationState:
    """What this instance knows of evacuated zones."""

    def __init__(self) -> None:
        self._by_zone: dict[str, ZoneEvacuation] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The zones whose runners get no further tasks."""
        return frozenset(one.zone for one in self._by_zone.values() if one.evacuated)

    @property
    def records(self) -> tuple[ZoneEvacuation, ...]:
        """All that is known, also of zones that were given back."""
        return tuple(self._by_zone.values())

    def missing_from_list(
        self, listed: Mapping[str, int], as_of: int
    ) -> Iterable[ZoneEvacuation]:
        """Return the zones that a complete list shows as given back.

        Parameters
        ----------
        listed : Mapping
            The revision of each listed zone.
        as_of : int
            The revision of the store for which the list is complete.
        """
        return [
            ZoneEvacuation(zone, as_of, False)
            for zone, known in self._by_zone.items()
            if zone not in listed and known.evacuated
        ]

    def merge(self, records: Iterable[ZoneEvacuation]) -> list[ZoneEvacuation]:
        """Apply records that are newer than what is known.

        Returns
        -------
        list
            The records of zones that were evacuated or given back by this.
        """
        changed = []
        for record in records:
            known = self._by_zone.get(record.zone)
            if known is not None and record.revision <= known.revision:
                continue
            self._by_zone[record.zone] = record
            was_evacuated = known is not None and known.evacuated
            if record.evacuated != was_evacuated:
                changed.append(record)
        self._drop_oldest()
        return changed

    def _drop_oldest(self) -> None:
        excess = len(self._by_zone) - MAX_ZONES
        if excess <= 0:
            return
        given_back = [one for one in self._by_zone.values() if not one.evacuated]
        given_back.sort(key=lambda one: one.revision)
        for one in given_back[:excess]:
            del self._by_zone[one.zone]
