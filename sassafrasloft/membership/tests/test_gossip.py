"""Tests of sending and receiving gossip."""

from collections import Counter

import attrs
import pytest

from sassafrasloft.core import InstanceGone
from sassafrasloft.membership.receivers import choose_receivers
from sassafrasloft.membership.tests.helpers import (
    gossip,
    listed_peer,
    make_busy,
    sent_gossip,
    set_platform_list,
)
from sassafrasloft.messages import Hello, RunnerNotice
from sassafrasloft.messages.codec import encode_message
from sassafrasloft.state import Health, TeamUse
from sassafrasloft.testing.single_instance import PEER_NAME, Instance, make_settings

TARGET_BYTES_PER_SECOND = 3_000


def instance_with_open_streams() -> Instance:
    instance = Instance()
    for peer in instance.board.peers.peers:
        instance.link(True, peer)
    return instance


@pytest.mark.parametrize(("names", "ejected"), [("", 0), ("another", 0), ("", 8)])
def test_gossip_under_load_stays_within_byte_budget(names, ejected):
    """Guards against control traffic above 3 KB/s.

    All loads change between messages. The cases are peers with the same
    settings, peers whose settings have other names, and a failed rack.
    """
    instance = instance_with_open_streams()
    total = 0
    for tick in range(40):
        make_busy(instance.board, load=1 + tick % 2)
        instance.board.queue.waiting_tasks = 10_000 + tick
        for number in range(4):
            use = TeamUse(running=40 + tick)
            instance.board.queue.teams[f"crew-{number}"] = use
        for runner in list(instance.board.upstreams.runners.values())[:ejected]:
            runner.health = Health.EJECTED
        for peer in instance.board.peers.peers if names else ():
            message = gossip(tick + 1, instance=peer, names_digest=names)
            instance.receive_message(message, peer)
        sent = sent_gossip(instance.fire_gossip_timer()).values()
        total += sum(len(encode_message(message)) for message in sent)
    assert total / 20 < TARGET_BYTES_PER_SECOND


def test_omitted_tables_are_kept_by_the_receiver():
    """Guards against a receiver that treats omitted tables as empty."""
    sender, receiver = instance_with_open_streams(), Instance(number=1)
    make_busy(sender.board, load=2)
    sender.board.queue.teams["crew-1"] = TeamUse(running=48)
    sender.board.upstreams.runners["ub-north-runner-03"].leaving = True
    for _ in range(3):
        message = sent_gossip(sender.fire_gossip_timer())[PEER_NAME]
        receiver.receive_message(message, "entry-0", 500)
    assert message.runner_loads == () and message.runners_leaving == ()
    kept = receiver.board.peers.peers["entry-0"].gossip
    assert kept.running_by_runner["ub-north-runner-23"] == 2
    assert kept.running_by_team == {"crew-1": 48}
    assert kept.runners_leaving == (RunnerNotice("ub-north-runner-03", "cafe"),)


def test_tables_are_resent_after_loss_reconnection_or_restart():
    """Guards against outdated tables after a lost message or a restarted peer.

    Tables are also resent when a stream to the peer was closed and reopened.
    """
    instance = instance_with_open_streams()
    make_busy(instance.board)
    instance.fire_gossip_timer()
    assert not sent_gossip(instance.fire_gossip_timer())[PEER_NAME].runner_loads
    instance.link(False)
    instance.link(True)
    assert sent_gossip(instance.fire_gossip_timer())[PEER_NAME].runner_loads
    instance.receive_message(Hello(PEER_NAME, "z", "bb"))
    assert sent_gossip(instance.fire_gossip_timer())[PEER_NAME].runner_loads
    later = [
        sent_gossip(instance.fire_gossip_timer())[PEER_NAME].runner_loads
        for _ in range(8)
    ]
    assert any(later) and not all(later)


def test_receiver_with_different_names_ignores_positional_loads():
    """Guards against loads that are assigned to the wrong runner."""
    sender = instance_with_open_streams()
    receiver = Instance(number=1, settings=make_settings(runners=23))
    make_busy(sender.board)
    receiver.receive_message(
        sent_gossip(sender.fire_gossip_timer())[PEER_NAME], "entry-0"
    )
    assert receiver.board.peers.peers["entry-0"].gossip.running_by_runner == {}


def test_idle_instance_gossips_less_often_but_within_heartbeat_timeout():
    """Guards against needless gossip of idle instances.

    The intervals must not be so long that an idle instance seems to have crashed.
    """
    instance = instance_with_open_streams()
    rounds = [bool(sent_gossip(instance.fire_gossip_timer())) for _ in range(12)]
    assert sum(rounds) == 6
    for revision in (9, 10):
        instance.board.settings.revision = revision
        assert sent_gossip(instance.fire_gossip_timer())


@pytest.mark.parametrize(
    "message", [Hello(PEER_NAME, "z", "bb"), gossip(1, incarnation="bb")]
)
def test_new_incarnation_proves_that_the_previous_one_ended(message):
    """Guards against ids of a restarted peer whose outcome is never decided."""
    instance = Instance()
    instance.receive_message(gossip(9, leaving=True))
    instance.receive_message(gossip(8))
    assert instance.board.peers.peers[PEER_NAME].leaving
    instance.receive_message(message)
    assert instance.recorder.seen(InstanceGone) == [InstanceGone(PEER_NAME, "aa")]
    assert not instance.board.peers.peers[PEER_NAME].leaving
    instance.receive_message(gossip(10, waiting_tasks=7))
    peer = instance.board.peers.peers[PEER_NAME]
    assert peer.incarnation == "bb"
    assert peer.gossip is None or peer.gossip.waiting_tasks == 0
    assert len(instance.recorder.seen(InstanceGone)) == 1


def test_table_of_ended_incarnations_is_bounded():
    """Guards against unbounded memory use when a peer restarts repeatedly."""
    instance = Instance()
    instance.board.peers.max_gone = 3
    for number in range(6):
        instance.receive_message(Hello(PEER_NAME, "z", f"i{number}"))
    assert list(instance.board.peers.gone) == [f"{PEER_NAME}.i{n}" for n in (2, 3, 4)]


def test_peers_with_expired_lease_are_contacted_additionally():
    """Guards against declaring a peer ended without an attempt to reach it."""
    instance = Instance(settings=make_settings(instances=40))
    chosen = set(sent_gossip(instance.fire_gossip_timer()))
    missing = [name for name in instance.board.peers.peers if name not in chosen]
    entry = attrs.evolve(listed_peer(), name=missing[-1])
    set_platform_list(instance, entry)
    assert set(sent_gossip(instance.fire_gossip_timer())) == chosen | {missing[-1]}


def test_message_naming_another_instance_is_ignored():
    """Guards against a peer whose message changes the state of another peer."""
    instance = Instance()
    instance.receive_message(Hello("entry-2", "z", "bb"))
    assert instance.board.peers.peers[PEER_NAME].incarnation == ""
    assert instance.board.peers.peers["entry-2"].incarnation == ""


def test_receivers_cover_all_zones_and_are_evenly_chosen():
    """Guards against zones without gossip and instances that receive too much."""
    zones = tuple(f"zone-{n}" for n in range(8))
    settings = make_settings(instances=64, zones=zones)
    receive_counts = Counter()
    for rotation_number in range(20):
        for sender in settings.instances:
            others = [one for one in settings.instances if one is not sender]
            chosen = choose_receivers(
                sender.name, sender.zone, others, 8, rotation_number
            )
            assert len(set(chosen)) == 8 and sender.name not in chosen
            reached = {one.zone for one in others if one.name in chosen}
            assert reached == set(zones)
            receive_counts.update(chosen)
    assert len(receive_counts) == 64
    assert max(receive_counts.values()) < 1.5 * 20 * 8
    assert min(receive_counts.values()) > 0.5 * 20 * 8
