"""Each invariant is violated on purpose once, in a world of real cores.

Guards against a promise that is named but no longer checked by the program: the
one function that protects it is broken, and the check must raise its name. The
same run without the break must check the promise and find it kept.
docs/invariants.md lists these breaks.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import attrs
import pytest

from sassafrasloft.configuration import adopt_settings, settings_key
from sassafrasloft.configuration.settings_in_force import SettingsInForceController
from sassafrasloft.dispatch import placer
from sassafrasloft.errors import InvariantViolated
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Answer, Fate
from sassafrasloft.messages import WriteKey
from sassafrasloft.settings import render_document
from sassafrasloft.state import TaskState
from sassafrasloft.submissions import completion, tasks
from sassafrasloft.submissions.completion import finish_if_ended
from sassafrasloft.submissions.handover import HandoverController
from sassafrasloft.submissions.waiting import answer_waiters
from sassafrasloft.testing import World, draw_jobs, make_settings, make_world
from sassafrasloft.testing.services import DEPLOYMENTS
from sassafrasloft.testing.workload import Workload
from sassafrasloft.upstreams.settling import SettlingController, return_task

START_MS = 3_000
FAULT_MS = 5_000
END_MS = 14_000


def keep_keys_queued(board, order, job, count):
    order.put(board, job)


def return_without_record(controller, event, board):
    record = board.jobs.running[event.key.submission_id]
    record.tasks[event.key.index].state = TaskState.WAITING
    record.in_flight -= 1
    record.waiting += 1
    finish_if_ended(board, record)


def answer_with_what_there_is(record):
    complete = [task.outcome for task in record.tasks]
    complete = tuple(one for one in complete if one.fate is Fate.COMPLETE)
    return Answer(record.submission_id, Fate.COMPLETE, outcomes=complete)


def answer_others(board, submission_id, team, answer):
    others = [one for one in board.jobs.waiters if one != submission_id]
    answer_waiters(board, others[0] if others else submission_id, team, answer)


def use_leaving(board, state):
    return state.incarnation != "" and not state.in_flight


def done_when_draining(controller, board, drain):
    return True


def adopt_any_revision(controller, parts, text, source, announced, board):
    adopt_settings(board, parts.revision, parts.settings, text)


def start_again(controller, state, key, incarnation, board):
    state.incarnation = ""
    board.upstreams.probe_due[state.settings.name] = board.now
    return_task(board, state, key, "runner_restarted")


# What happens at FAULT_MS, so that the protection is needed.


def nothing(world: World) -> None:
    """Jobs alone need the protection."""


def fail_everything(world: World) -> None:
    for runner in world.runners.hosts.values():
        runner.logic.faults.fail_all = True


def leave(world: World) -> None:
    for name in ("runner-01", "runner-02", "runner-03"):
        runner = world.runners.hosts[name]
        runner.logic.faults.leaving = True
        world.platform.list_runner(name, runner.settings.zone, "leaving")


def drain(world: World) -> None:
    # The answer in flight when accepting ends must still reach its caller.
    world.drain_instance(world.settings.instances[0].name)


def restart_runners(world: World) -> None:
    for name in world.runners.hosts:
        world.runners.kill(name, power_loss=False)
        world.runners.restart(name)


def lose_power(world: World) -> None:
    # Deliveries to the old incarnations are refused, so the tasks did not start.
    for name in world.runners.hosts:
        world.runners.kill(name, power_loss=True)
        world.runners.restart(name)


def publish_older(world: World) -> None:
    key = settings_key(world.settings.service)
    for revision in (2, 1):
        stored = world.platform.logic.read(key).revision
        text = render_document(revision, f"edit-{revision}", "test", world.settings)
        world.platform.write(WriteKey(key, text, stored))
        world.queue.run_until(world.now + 500)


@attrs.frozen
class Break:
    """One function that protects an invariant, and what takes its place."""

    invariant: Invariant
    owner: object
    name: str
    replacement: Callable
    fault: Callable[[World], None] = nothing
    in_program: bool = True
    """Whether the program itself sees it; else only the record of the truth."""


BREAKS = (
    Break(Invariant.STARTS_AT_MOST_ONCE, placer, "take_keys", keep_keys_queued),
    Break(
        Invariant.STARTS_AT_MOST_ONCE,
        SettlingController,
        "_end_restarted",
        start_again,
        restart_runners,
        in_program=False,
    ),
    Break(
        Invariant.NON_IDEMPOTENT_RUNS_ONCE,
        tasks.TaskController,
        "_returned",
        return_without_record,
        lose_power,
    ),
    Break(
        Invariant.ANSWERS_ARE_WHOLE,
        completion,
        "job_answer",
        answer_with_what_there_is,
        fail_everything,
    ),
    Break(
        Invariant.ANSWER_REACHES_ITS_CALLER,
        completion,
        "answer_waiters",
        answer_others,
    ),
    Break(
        Invariant.NOT_RUN_IS_TRUE,
        completion,
        "may_have_run",
        completion.not_run,
        fail_everything,
    ),
    Break(Invariant.LEAVING_GETS_NO_WORK, placer, "usable", use_leaving, leave),
    Break(
        Invariant.PLANNED_STOP_CUTS_NOTHING,
        HandoverController,
        "_is_done",
        done_when_draining,
        drain,
    ),
    Break(
        Invariant.CONFIGURATION_NEVER_REVERTS,
        SettingsInForceController,
        "_adopt_if_newer",
        adopt_any_revision,
        publish_older,
    ),
)


def run_world(fault: Callable[[World], None]) -> tuple[World, str]:
    """Run a small service; return it and the message of a violated invariant."""
    settings = make_settings(DEPLOYMENTS["tsagaan-mod"], 3, 6, 2, teams=3)
    world = make_world(DEPLOYMENTS["tsagaan-mod"], 5, settings)
    workload = Workload(load=0.7, max_tasks=6, teams=3)
    for job in draw_jobs(workload, 12, END_MS - START_MS, Random(5)):
        world.queue.at(START_MS + job.arrival_ms, partial(world.callers.begin, job))
    try:
        world.start()
        world.queue.run_until(FAULT_MS)
        fault(world)
        world.queue.run_until(END_MS)
    except InvariantViolated as error:
        return world, str(error)
    return world, ""


@pytest.mark.parametrize("broken", BREAKS, ids=lambda one: f"{one.name}")
def test_invariant_fires_when_its_protection_is_broken(broken, monkeypatch):
    _, violation = run_world(broken.fault)
    assert violation == ""
    monkeypatch.setattr(broken.owner, broken.name, broken.replacement)
    world, violation = run_world(broken.fault)
    assert broken.invariant.value in violation
    seen = sum(
        host.board.auditor.violations[broken.invariant] for host in world.hosts.values()
    )
    assert seen == (1 if broken.in_program else 0)


def test_every_invariant_is_broken_once_and_checked_in_a_sound_run():
    in_program = {one.invariant for one in BREAKS if one.in_program}
    assert in_program == set(Invariant)
    checks = dict.fromkeys(Invariant, 0)
    for fault in (drain, publish_older):
        world, _ = run_world(fault)
        for host in world.hosts.values():
            for invariant, count in host.board.auditor.checks.items():
                checks[invariant] += count
    assert all(checks.values())
