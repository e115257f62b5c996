"""Tests of the detection of ended incarnations and of pauses."""

import pytest

from sassafrasloft.core import AuthorityLost, InstanceGone, StatusRequested
from sassafrasloft.membership.tests.helpers import (
    gossip,
    listed_peer,
    sent_gossip,
    set_platform_list,
)
from sassafrasloft.testing.single_instance import PEER_NAME, Instance


def instance_with_crashed_peer() -> Instance:
    """Return an instance whose peer has not been heard from for a long time."""
    instance = Instance()
    instance.receive_message(gossip())
    for _ in range(10):
        instance.fire_gossip_timer()
    return instance


def gone_incarnations(instance, *entries) -> list[str]:
    """Return the incarnations reported as ended after a list was read."""
    set_platform_list(instance, *entries)
    instance.fire_gossip_timer(0)
    return [event.incarnation for event in instance.recorder.seen(InstanceGone)]


def test_unreachable_peer_with_expired_lease_has_ended():
    """Guards against ids of a crashed peer whose outcome is never decided."""
    instance = instance_with_crashed_peer()
    assert gone_incarnations(instance, listed_peer()) == ["aa"]
    assert gone_incarnations(instance, listed_peer()) == ["aa"]
    instance.receive_message(gossip(2, waiting_tasks=4))
    assert instance.board.peers.peers[PEER_NAME].gossip.waiting_tasks == 4
    assert instance.board.peers.gone == {}


def test_replaced_incarnation_is_accepted_only_after_successor_times_out():
    """Guards against ignoring a live peer for ever after streams were mixed up."""
    instance = instance_with_crashed_peer()
    instance.receive_message(gossip(1, "bb"))
    instance.receive_message(gossip(2), after_ms=3_000)
    assert instance.board.peers.peers[PEER_NAME].incarnation == "bb"
    instance.receive_message(gossip(3), after_ms=1)
    assert instance.board.peers.peers[PEER_NAME].incarnation == "aa"
    assert instance.board.peers.gone == {}


@pytest.mark.parametrize(
    "counter_evidence",
    [
        lambda instance: instance.link(True),
        lambda instance: instance.receive_message(gossip(2)),
        lambda instance: setattr(instance.board.platform, "available", False),
        lambda instance: setattr(instance.board.platform, "listed_ms", -1_001),
        lambda instance: set_platform_list(instance, listed_peer(lapsed_ms=15_000)),
        lambda instance: set_platform_list(instance, listed_peer(state="live")),
    ],
)
def test_contrary_evidence_keeps_peer_alive(counter_evidence):
    """Guards against a live owner of ids that is declared ended."""
    instance = instance_with_crashed_peer()
    set_platform_list(instance, listed_peer())
    counter_evidence(instance)
    instance.fire_gossip_timer(0)
    assert instance.recorder.seen(InstanceGone) == []


def test_expired_lease_of_old_incarnation_does_not_end_current_one():
    """Guards against a list that does not show a restart yet."""
    assert gone_incarnations(instance_with_crashed_peer(), listed_peer("older")) == [
        "older"
    ]


def test_live_lease_of_a_successor_proves_the_end():
    """Guards against missing that a peer restarted during a partition."""
    instance = instance_with_crashed_peer()
    assert gone_incarnations(instance, listed_peer("bb", state="live")) == []
    for _ in range(35):
        instance.fire_gossip_timer()
    assert gone_incarnations(instance, listed_peer("bb", state="live")) == ["aa"]


def test_listed_leaving_peer_is_leaving():
    """Guards against choosing an heir that is about to stop."""
    instance = instance_with_crashed_peer()
    assert gone_incarnations(instance, listed_peer(state="leaving")) == []
    assert instance.board.peers.peers[PEER_NAME].leaving


def test_pause_ends_authority_before_any_other_event():
    """Guards against work under an authority that peers may consider ended."""
    instance = Instance()
    instance.fire_gossip_timer()
    instance.recorder.events.clear()
    commands = instance.fire_gossip_timer(10_001)
    identity = instance.board.identity
    assert instance.recorder.events[0] == AuthorityLost("1")
    assert identity.incarnation != "1" and len(identity.incarnation) == 16
    assert identity.secret != b"secret"
    announced = {message.incarnation for message in sent_gossip(commands).values()}
    assert announced == {identity.incarnation}


def test_pause_within_limit_keeps_authority():
    """Guards against an instance on a busy machine that gives up jobs needlessly."""
    instance = Instance()
    instance.fire_gossip_timer(10_000)
    instance.step(StatusRequested("r"), 10_000)
    assert instance.recorder.seen(AuthorityLost) == []
