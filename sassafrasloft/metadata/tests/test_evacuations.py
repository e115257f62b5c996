"""Merging of what an instance learns of evacuated zones."""

from hypothesis import given
from hypothesis import strategies as st

from sassafrasloft.metadata.evacuations import (
    MAX_ZONES,
    EvacuationState,
    ZoneEvacuation,
)

RECORDS = st.lists(
    st.builds(
        ZoneEvacuation,
        st.sampled_from(["north", "south"]),
        st.integers(1, 20),
        st.booleans(),
    ),
    unique_by=lambda one: (one.zone, one.revision),
)


@given(RECORDS, st.randoms(use_true_random=False))
def test_result_does_not_depend_on_the_order_of_arrival(records, random):
    """Guards against instances that disagree for good after the same reports."""
    one, other = EvacuationState(), EvacuationState()
    one.merge(records)
    shuffled = list(records)
    random.shuffle(shuffled)
    for record in shuffled:
        other.merge([record])
    assert one.zones == other.zones


def test_list_gives_back_only_zones_that_it_is_newer_than():
    """Guards against an old list that ends an evacuation of which a report told."""
    state = EvacuationState()
    state.merge([ZoneEvacuation("north", 5, True), ZoneEvacuation("south", 9, True)])
    state.merge(state.missing_from_list({}, as_of=7))
    assert state.zones == {"south"}


def test_zones_given_back_are_forgotten_above_the_limit():
    """Guards against a table that grows with each zone that was ever named."""
    state = EvacuationState()
    names = [f"zone-{number}" for number in range(MAX_ZONES + 5)]
    state.merge(ZoneEvacuation(name, 1, name == names[0]) for name in names)
    assert len(state.records) == MAX_ZONES
    assert state.zones == {names[0]}
