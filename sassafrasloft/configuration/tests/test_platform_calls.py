"""Tests of calls to the platform, of the lease and of the list."""

from collections import Counter

import pytest

from sassafrasloft.core import DrainRequested, PlatformReplied, SetHealth
from sassafrasloft.messages import (
    GrantLease,
    InstanceList,
    ListedInstance,
    ListInstances,
    RenewLease,
    Unavailable,
    WatchKey,
)
from sassafrasloft.testing.single_instance import FakePlatform, Instance

RUNNER = ListedInstance("runner-1", "runner", "ub-north", "r1", "live")


def test_steady_calls_stay_below_rate_limit_and_renew_the_lease():
    """Guards against calls above the platform's rates and a lease that expires."""
    instance = Instance()
    instance.run(60_000)
    renewals = [t for t, call in instance.calls if isinstance(call, RenewLease)]
    assert max(b - a for a, b in zip(renewals, renewals[1:], strict=False)) < 5_000
    assert len(instance.platform_calls_of(GrantLease)) == 1
    assert 25 <= len(instance.platform_calls_of(ListInstances)) <= 35
    assert len(instance.calls) < 60


def test_outage_keeps_instance_healthy_and_calls_back_off():
    """Guards against an instance that becomes unhealthy when the platform fails."""
    instance = Instance()
    instance.run(5_000)
    instance.platform.answers = False
    before = len(instance.calls)
    commands = []
    step = instance.core.step
    instance.core.step = lambda *args: commands.append(step(*args)) or commands[-1]
    instance.run(120_000)
    assert not any(isinstance(c, SetHealth) for batch in commands for c in batch)
    assert not instance.board.platform.available
    assert len(instance.calls) - before < 120
    assert instance.logs.count("platform_unavailable") == 1


def test_retries_of_instances_are_spread_after_an_outage():
    """Guards against a burst of calls when an outage ends.

    Without jitter, instances whose calls failed at the same time would also retry at
    the same time: all 40 in one tick.
    """
    calls_by_tick = Counter()
    for seed in range(40):
        instance = Instance(seed=seed)
        instance.platform.answers = False
        instance.run(60_000, tick_ms=100)
        instance.platform.answers = True
        before = len(instance.calls)
        instance.run(12_000, tick_ms=100)
        calls_by_tick.update(at for at, _ in instance.calls[before:])
        assert instance.board.platform.available
    assert max(calls_by_tick.values()) <= 40 // 2


def test_immediate_replies_do_not_exceed_the_rate_limit():
    """Guards against a loop of requests that floods the platform."""

    class Odd(FakePlatform):
        """Lets each lease expire and answers each watch at once with a change."""

        def reply(self, call, waited_ms):
            self.lease_held = False
            self.revision += isinstance(call, WatchKey)
            return super().reply(call, waited_ms)

    instance = Instance(Odd())
    instance.step(DrainRequested())
    instance.run(20_000)
    assert len(instance.calls) <= 20 * 5 + 5
    assert (
        len(
            instance.platform_calls_of(GrantLease)
            + instance.platform_calls_of(RenewLease)
        )
        <= 20
    )


def test_lost_reply_does_not_block_later_calls():
    """Guards against a purpose that is blocked forever by a lost reply."""
    instance = Instance()
    instance.run(1_000)
    instance.silent = True
    instance.run(10_000)
    assert not instance.board.platform.available
    lost = list(instance.unanswered_calls)
    instance.silent = False
    instance.run(15_000)
    assert instance.board.platform.available
    assert instance.board.platform.listed_ms > 11_000
    assert len(instance.board.platform.open_calls) <= 3
    assert lost


def test_failure_of_an_older_call_is_not_an_outage():
    """Guards against a false outage when a call sent before a recovery fails late."""
    instance = Instance()
    lost = next(
        i for i, (_, c) in instance.unanswered_calls.items() if c == ListInstances()
    )
    del instance.unanswered_calls[lost]
    instance.run(1_000)
    instance.step(PlatformReplied(lost, Unavailable("timeout")))
    assert instance.board.platform.available


def test_reply_after_the_timeout_is_ignored():
    """Guards against an old list that replaces a newer one."""
    instance = Instance()
    instance.silent = True
    instance.run(4_500)
    late = [
        i
        for i, (_, c) in instance.unanswered_calls.items()
        if isinstance(c, ListInstances)
    ]
    for call_id in late[:1]:
        instance.step(PlatformReplied(call_id, InstanceList((RUNNER,))))
    assert instance.board.platform.listed == {}
    assert instance.board.metrics.values["platform_replies_late"] == 1


def test_list_is_stored_with_the_time_of_the_call():
    """Guards against a slow reply that makes an old list appear current."""
    instance = Instance()
    instance.platform.entries = (RUNNER,)
    call_id = next(
        i for i, (_, c) in instance.unanswered_calls.items() if c == ListInstances()
    )
    instance.now = 1_500
    instance.step(PlatformReplied(call_id, InstanceList((RUNNER,))))
    assert instance.board.platform.listed == {"runner/runner-1": RUNNER}
    assert instance.board.platform.listed_ms == 0


def test_expired_lease_is_requested_again():
    """Guards against an instance that is missing from the list after an outage."""
    instance = Instance()
    instance.run(1_000)
    instance.platform.lease_held = False
    instance.run(4_000)
    assert len(instance.platform_calls_of(GrantLease)) == 2
    assert instance.board.platform.lease_id


def test_leaving_is_reported_at_once_and_after_each_grant():
    """Guards against a platform that sends work to an instance that is stopping."""
    instance = Instance()
    instance.step(DrainRequested())
    instance.run(100)
    assert instance.platform_calls_of(RenewLease) == [RenewLease("lease-of-1", True)]
    instance.run(1_000)
    instance.platform.lease_held = False
    instance.run(4_000)
    assert len(instance.platform_calls_of(GrantLease)) == 2
    assert instance.platform_calls_of(RenewLease)[-1].leaving


def test_new_incarnation_after_a_pause_requests_its_own_lease():
    """Guards against renewing the lease of an incarnation that has ended."""
    instance = Instance()
    instance.run(1_000)
    instance.silent = True
    instance.run(3_000)
    instance.silent = False
    assert instance.platform_calls_of(RenewLease) == [RenewLease("lease-of-1")]
    instance.fire_gossip_timer(11_000)
    granted = [call.incarnation for call in instance.platform_calls_of(GrantLease)]
    assert granted == ["1", instance.board.identity.incarnation]
    instance.run(10_000)
    assert "lease-of-1" not in {
        c.lease_id for c in instance.platform_calls_of(RenewLease)[1:]
    }


@pytest.mark.parametrize("fault", ["none", "silent"])
def test_watch_is_reopened_without_a_tight_loop(fault):
    """Guards against a watch without a reply and one that always returns at once."""

    class Odd(FakePlatform):
        def reply(self, call, waited_ms):
            if isinstance(call, WatchKey):
                return super().reply(call, 20_000) if fault == "none" else None
            return super().reply(call, waited_ms)

    instance = Instance(Odd())
    instance.run(60_000)
    watches = len(instance.platform_calls_of(WatchKey))
    assert (2 if fault == "silent" else 8) <= watches <= 13
    assert instance.board.platform.available
