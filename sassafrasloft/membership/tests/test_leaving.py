"""Tests of planned stops, heirs and the status report."""

import json

import pytest

from sassafrasloft.core import (
    DrainRequested,
    HeirChosen,
    Reply,
    SetHealth,
    SetTimer,
    StatusRequested,
)
from sassafrasloft.invariants import Invariant, InvariantChecker
from sassafrasloft.membership import heir_of
from sassafrasloft.membership.tests.helpers import gossip, make_busy, sent_gossip
from sassafrasloft.messages import HeirAnnounced
from sassafrasloft.testing.single_instance import PEER_NAME, Instance


def test_drain_informs_load_balancer_and_peers_immediately_and_once():
    """Guards against new work for a stopping instance.

    It also guards against a repeated request that delays the stop.
    """
    instance = Instance()
    commands = instance.step(DrainRequested("r1"))
    assert SetHealth(False) in commands
    assert SetTimer("drain.accept_end", instance.now + 2_000) in commands
    announcements = sent_gossip(commands)
    assert len(announcements) == 7 and all(
        message.leaving for message in announcements.values()
    )
    commands = instance.step(DrainRequested("r2"), 1_000)
    assert [c.request_id for c in commands if isinstance(c, Reply)] == ["r2"]
    assert not any(isinstance(c, SetTimer | SetHealth) for c in commands)


SECOND_STOPS = HeirAnnounced("entry-2", "a", "entry-3", "b")
THIRD_STOPS = HeirAnnounced("entry-3", "b", "entry-4", "c")
THIRD_SERVES = gossip(1, "b", instance="entry-3")
THIRD_RESTARTED = gossip(1, "b2", instance="entry-3")
HEIR_CYCLE = HeirAnnounced("entry-3", "b", "entry-2", "a")
STALE = gossip(heirs={"entry-2.a": "entry-3.b"})


@pytest.mark.parametrize(
    ("received", "heir"),
    [
        ([SECOND_STOPS, THIRD_STOPS], "entry-4.c"),
        ([THIRD_SERVES, THIRD_STOPS, SECOND_STOPS], "entry-4.c"),
        ([THIRD_RESTARTED, SECOND_STOPS], "entry-3.b"),
        ([THIRD_SERVES, SECOND_STOPS, HEIR_CYCLE], "entry-3.b"),
        ([SECOND_STOPS, THIRD_STOPS, STALE], "entry-4.c"),
        ([STALE, THIRD_STOPS], "entry-4.c"),
    ],
)
def test_chain_of_heirs_resolves_to_the_last(received, heir):
    """Guards against requests for ids that go to an heir that has stopped as well.

    The cases are announcements in order, announcements in reverse order, an heir
    that has restarted, a cycle of heirs, gossip from a peer that missed the
    second stop, and gossip that arrives before the second stop.
    """
    instance = Instance()
    for message in received:
        instance.receive_message(message, getattr(message, "instance", PEER_NAME))
    assert heir_of(instance.board, "entry-2", "a") == heir
    assert heir_of(instance.board, "entry-2", "other") == ""


def test_heirs_spread_in_small_batches_and_are_bounded():
    """Guards against heir tables that exceed the gossip budget or fill the memory."""
    sender, receiver = Instance(), Instance(number=1)
    sender.link(True)
    sender.board.peers.max_heirs = 20
    for number in range(30):
        sender.receive_message(
            HeirAnnounced("entry-2", f"i{number}", "entry-3", "b"), "entry-5"
        )
    assert len(sender.board.peers.heirs) == 20
    for _ in range(3):
        message = sent_gossip(sender.fire_gossip_timer())[PEER_NAME]
        assert len(message.heirs) <= 8
        receiver.receive_message(message, "entry-0", 500)
    assert receiver.board.peers.heirs == sender.board.peers.heirs
    assert sent_gossip(sender.fire_gossip_timer(1_000))[PEER_NAME].heirs == {}
    for _ in range(8):
        sender.fire_gossip_timer(8_000)
    assert sent_gossip(sender.fire_gossip_timer())[PEER_NAME].heirs != {}


def test_stopping_instance_knows_its_heir():
    """Guards against late requests that are not forwarded to the heir."""
    instance = Instance()
    own = instance.board.identity
    assert heir_of(instance.board, own.instance, own.incarnation) == ""
    instance.step(HeirChosen(own.instance, own.incarnation, PEER_NAME, "b"))
    assert heir_of(instance.board, own.instance, own.incarnation) == f"{PEER_NAME}.b"


def test_status_is_json_and_reports_violated_invariants():
    """Guards against a status report that fails or omits a violated invariant."""
    instance = Instance(auditor=InvariantChecker(strict=False))
    make_busy(instance.board)
    instance.receive_message(gossip(settings_revision=4))
    instance.board.auditor.check(Invariant.NOT_RUN_IS_TRUE, False)
    commands = instance.step(StatusRequested("r"), 700)
    values = next(c.content.values for c in commands if isinstance(c, Reply))
    assert json.loads(json.dumps(values)) == values
    assert values["invariants_violated"] == {"not_run_is_true": 1}
    assert values["peers"][PEER_NAME]["settings_revision"] == 4
    assert values["peers"][PEER_NAME]["heard_ms_ago"] == 700
    assert values["upstreams"]["ub-north-runner-00"]["in_flight"] == 3
