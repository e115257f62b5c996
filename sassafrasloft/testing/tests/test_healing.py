"""Tests of instances that were considered gone while they were partitioned."""

import attrs

from sassafrasloft.core import IdsRequested, IssuedIds, JobSubmitted, Reply
from sassafrasloft.jobs import Fate, JobSpec, TaskSpec
from sassafrasloft.testing import World, make_settings, make_world
from sassafrasloft.testing.hosts import InstanceHost
from sassafrasloft.testing.services import DEPLOYMENTS

JOB = JobSpec(
    "team-0", tuple(TaskSpec(f"task-{n}", "run_ms=300") for n in range(12)), 120_000
)

LONG_JOB = JobSpec(
    "team-0", tuple(TaskSpec(f"long-{n}", "run_ms=5000", 5_000) for n in range(30))
)
"""Occupies all slots, so that the next job waits."""


class ReplyRecorder:
    """Sends requests to instances and records the replies."""

    def __init__(self, world: World, monkeypatch) -> None:
        self._world = world
        self._replies = {}
        carry_out = world.carry_out

        def record(host, command):
            if isinstance(command, Reply):
                self._replies[command.request_id] = command.content
            carry_out(host, command)

        monkeypatch.setattr(world, "carry_out", record)

    def new_id(self, host: InstanceHost, label: str = "ids") -> str:
        request_id = f"{label}-{self._world.now}"
        host.handle_event(IdsRequested(request_id, JOB.team))
        content = self._replies[request_id]
        assert isinstance(content, IssuedIds)
        return content.submission_ids[0]

    def submit(self, host: InstanceHost, submission_id: str):
        request_id = f"job-{self._world.now}"
        host.handle_event(JobSubmitted(request_id, submission_id, JOB, 10_000))
        self._world.queue.run_until(self._world.now + 12_000)
        return self._replies[request_id]


def test_an_instance_fenced_during_a_partition_serves_again(monkeypatch):
    """Guards against an instance whose tasks all runners refuse indefinitely.

    The runners fence its incarnation during the partition, so it must continue
    under a new one.
    """
    deployment = DEPLOYMENTS["tsagaan-mod"]
    world = make_world(deployment, 7, make_settings(deployment, 3, 6, 2))
    replies = ReplyRecorder(world, monkeypatch)
    world.start()
    world.queue.run_until(3_000)
    partitioned, other, _ = world.live_hosts()
    before = partitioned.board.identity.incarnation
    submission_id = replies.new_id(partitioned)
    world.partition_zone(partitioned.zone)
    world.queue.run_until(40_000)
    replies.submit(other, submission_id)
    world.queue.run_until(60_000)
    world.heal()
    world.queue.run_until(70_000)
    replies.submit(partitioned, replies.new_id(partitioned))
    assert partitioned.board.identity.incarnation != before
    answer = replies.submit(partitioned, replies.new_id(partitioned))
    assert answer.fate is Fate.COMPLETE


def test_a_restarted_runner_starts_no_task_answered_not_run(monkeypatch):
    """Guards against a start after the answer "not run", by restarted runners.

    The owner is partitioned and considered gone, and another instance answers its
    waiting job "not run". All runners then restart, which loses their fences,
    before the partition heals.
    """
    deployment = DEPLOYMENTS["tsagaan-mod"]
    settings = make_settings(deployment, 3, 6, 2)
    runners = tuple(
        attrs.evolve(one, zone=deployment.zones[1 + n % 2])
        for n, one in enumerate(settings.runners)
    )
    world = make_world(deployment, 7, attrs.evolve(settings, runners=runners))
    replies = ReplyRecorder(world, monkeypatch)
    world.start()
    world.queue.run_until(4_000)
    partitioned, other, _ = world.live_hosts()
    first, second = replies.new_id(partitioned), replies.new_id(partitioned, "more")
    partitioned.handle_event(JobSubmitted("first", first, LONG_JOB))
    partitioned.handle_event(JobSubmitted("second", second, JOB))
    world.queue.run_until(4_100)
    world.partition_zone(partitioned.zone)
    world.queue.run_until(40_000)
    answer = replies.submit(other, second)
    assert (answer.fate, answer.final) == (Fate.NOT_RUN, True)
    world.ground_truth.answers[second] = Fate.NOT_RUN
    for name in world.runners.hosts:
        world.runners.kill(name, power_loss=False)
        world.runners.restart(name)
    world.queue.run_until(55_000)
    world.heal()
    world.queue.run_until(80_000)
    assert (
        replies.submit(partitioned, replies.new_id(partitioned, "x")).fate
        is Fate.COMPLETE
    )
