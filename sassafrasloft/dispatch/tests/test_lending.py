"""Tests of lending home slots between instances."""

from random import Random

import pytest

from sassafrasloft.core import (
    Deliver,
    JobAccepted,
    PeerLinkChanged,
    PeerMessageReceived,
    SendToPeer,
    SetTimer,
    TimerFired,
)
from sassafrasloft.dispatch import DispatchController
from sassafrasloft.messages import Gossip, SlotOffer, SlotRequest
from sassafrasloft.settings import DispatchSettings
from sassafrasloft.state import PeerState
from sassafrasloft.upstreams.tests.builders import Driver, make_settings

NAMES = ("one", "two", "three")


class Member:
    """One instance of a service; the test delivers its messages."""

    def __init__(self, own, runners=3):
        lending = DispatchSettings(placement="lending")
        settings = make_settings(runners, NAMES, dispatch=lending)
        self.driver = Driver(settings, (DispatchController(),))
        self.driver.board.identity.instance = own
        for peer in settings.instances:
            if peer.name != own:
                state = PeerState(peer, up=True)
                self.driver.board.peers.peers[peer.name] = state
        self.name = own
        self.timers, self.sent, self.delivered = {}, [], []
        self.driver.start()
        self.driver.now = 5_000

    def step(self, event):
        for command in self.driver.step(event):
            if isinstance(command, SendToPeer):
                self.sent.append(command)
            elif isinstance(command, Deliver):
                self.delivered.append(command)
            elif isinstance(command, SetTimer):
                self.timers[command.name] = command.due_ms

    def submit(self, tasks):
        self.step(JobAccepted(self.driver.add_job(tasks)))

    def hear(self, peer, message):
        if isinstance(message, Gossip):
            self.driver.board.peers.peers[peer].gossip = message
        self.step(PeerMessageReceived(peer, message))

    def wait(self, until_ms):
        while self.timers and min(self.timers.values()) <= until_ms:
            name = min(self.timers, key=self.timers.get)
            self.driver.now = max(self.driver.now, self.timers.pop(name))
            self.step(TimerFired(name))
        self.driver.now = until_ms

    def running(self):
        runners = self.driver.runners.items()
        return {name: len(state.in_flight) for name, state in runners}

    def finish_one(self, runner):
        in_flight = self.driver.runners[runner].in_flight
        key = next(iter(in_flight))
        entry = in_flight[key]
        self.driver.now += 1
        report = self.driver.report
        commands = report(key, "complete", runner, entry.delivery_id)
        self.sent += [one for one in commands if isinstance(one, SendToPeer)]


@pytest.fixture
def member():
    return Member("one")


def test_burst_requests_slots_beyond_home_capacity(member):
    """Guards against using slots of other instances without a loan."""
    member.submit(20)
    assert member.running() == {"r0": 8, "r1": 0, "r2": 0}
    assert member.sent[0].message == SlotRequest(12, {}, 1)
    peer = member.sent[0].peer
    runner = {"two": "r1", "three": "r2"}[peer]
    member.hear(peer, SlotOffer({runner: 5}, 600, 1))
    assert member.running()[runner] == 5


def test_an_offer_is_used_only_while_it_is_valid(member):
    """Guards against work on slots that the lender counts as returned."""
    member.submit(8)
    member.submit(4)
    peer = member.sent[0].peer
    runner = {"two": "r1", "three": "r2"}[peer]
    member.hear(peer, SlotOffer({runner: 6}, 600, 1))
    assert member.running()[runner] == 4
    member.wait(member.driver.now + 200)
    returned = member.sent[-1]
    assert returned.peer == peer
    assert returned.message == SlotRequest(0, {runner: 4}, 2)
    member.submit(3)
    assert member.running()[runner] == 4


def test_lent_slots_are_not_used_by_the_lender_until_returned(member):
    """Guards against a refusal because lender and borrower use the same slot."""
    member.hear("two", SlotRequest(5, {}))
    assert member.sent[0].message.slots == {"r0": 5}
    member.submit(10)
    assert member.running()["r0"] == 3
    member.hear("two", SlotRequest(0, {"r0": 1}))
    member.wait(member.driver.now + 60)
    assert member.running()["r0"] == 7


def test_lender_with_waiting_tasks_lends_nothing(member):
    """Guards against lending slots that the lender's own tasks need."""
    member.submit(20)
    member.sent.clear()
    member.hear("two", SlotRequest(5, {"r0": 0}))
    assert sum(member.sent[0].message.slots.values()) == 0


def test_slot_request_is_repeated_after_lost_reply(member):
    """Guards against an instance that waits indefinitely for a lost reply."""
    member.submit(20)
    before = len(member.sent)
    member.wait(member.driver.now + 300)
    assert len(member.sent) > before


def test_stale_loan_is_replaced_by_gossip(member):
    """Guards against slots that stay lent after a message was lost."""
    member.hear("two", SlotRequest(6, {}))
    member.driver.now += 1_000
    member.hear("two", Gossip("two", "aa", 1, 0, running_by_runner={"r0": 1}))
    assert member.driver.board.queue.loans["two"].slots == {"r0": 6}
    member.driver.now += 3_000
    member.hear("two", Gossip("two", "aa", 2, 0, running_by_runner={"r0": 1}))
    assert member.driver.board.queue.loans["two"].slots == {"r0": 1}


def test_a_request_counts_the_tasks_placed_in_the_same_step(member):
    """Guards against returning a slot that a task was just sent to."""
    member.submit(20)
    peer = member.sent[0].peer
    runner = {"two": "r1", "three": "r2"}[peer]
    member.hear(peer, SlotOffer({runner: 5}, 600, 1))
    member.sent.clear()
    member.driver.now += 150
    member.finish_one(runner)
    requests = [one.message for one in member.sent if one.peer == peer]
    assert requests[0].occupied == {runner: 5}


def test_a_late_offer_is_not_used(member):
    """Guards against using slots that a newer request has returned."""
    member.submit(20)
    peer = member.sent[0].peer
    member.wait(member.driver.now + 300)
    member.hear(peer, SlotOffer({"r1": 5, "r2": 5}, 600, 1))
    assert sum(member.running().values()) == 8


def test_slots_of_disconnected_lender_are_not_used(member):
    """Guards against using slots whose owner may have lent them elsewhere."""
    member.submit(20)
    peer = member.sent[0].peer
    member.step(PeerLinkChanged(peer, False))
    runner = {"two": "r1", "three": "r2"}[peer]
    member.hear(peer, SlotOffer({runner: 5}, 600, 1))
    assert member.running()[runner] == 0


@pytest.mark.parametrize("seed", range(8))
def test_no_slot_is_used_by_two_instances(seed):
    """Guards against overloaded runners when messages are delayed but in order."""
    random = Random(seed)
    members = {name: Member(name) for name in NAMES}
    streams = {(a, b): [] for a in NAMES for b in NAMES if a != b}
    now_ms, most = 5_000, 0
    for _ in range(600):
        now_ms += random.randrange(30)
        one = members[random.choice(NAMES)]
        one.wait(max(now_ms, one.driver.now))
        action = random.random()
        if action < 0.08:
            one.submit(random.randrange(1, 30))
        elif action < 0.5:
            busy = [name for name, count in one.running().items() if count]
            if busy:
                one.finish_one(random.choice(busy))
        else:
            waiting = [pair for pair, stream in streams.items() if stream]
            if waiting:
                source, target = random.choice(waiting)
                message = streams[source, target].pop(0)
                members[target].hear(source, message)
        for name, member in members.items():
            for sent in member.sent:
                streams[name, sent.peer].append(sent.message)
            member.sent.clear()
        for runner in ("r0", "r1", "r2"):
            used = sum(member.running()[runner] for member in members.values())
            assert used <= 8
            most = max(most, used)
    assert most == 8
    borrowed = [one.driver.board.metrics.values for one in members.values()]
    assert sum(counters.get("slot_requests", 0) for counters in borrowed) > 0
