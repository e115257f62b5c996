"""Each invariant is violated on purpose, in a world of real decision cores.

Guards against an invariant that is defined but no longer checked by the program.
The function that protects the invariant is replaced by a faulty one, and the check
must raise an error that names the invariant. The same run with the original
function must find no violation. docs/invariants.md lists the replaced functions.
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


def queue_job_again(board, order, job, count):
    order.put(board, job)


def return_task_without_check(controller, event, board):
    record = board.jobs.running[event.key.submission_id]
    record.tasks[event.key.index].state = TaskState.WAITING
    record.in_flight -= 1
    record.waiting += 1
    finish_if_ended(board, record)


def answer_with_completed_tasks(record):
    complete = [task.outcome for task in record.tasks]
    complete = tuple(one for one in complete if one.fate is Fate.COMPLETE)
    return Answer(record.submission_id, Fate.COMPLETE, outcomes=complete)


def answer_another_caller(board, submission_id, team, answer):
    others = [one for one in board.jobs.waiters if one != submission_id]
    answer_waiters(board, others[0] if others else submission_id, team, answer)


def accept_leaving_runner(board, state):
    return state.incarnation != "" and not state.in_flight


def end_drain_at_once(controller, board, drain):
    return True


def adopt_any_revision(controller, parts, text, source, announced, board):
    adopt_settings(board, parts.revision, parts.settings, text)


def restart_task_without_check(controller, state, key, incarnation, board):
    state.incarnation = ""
    board.upstreams.probe_due[state.settings.name] = board.now
    return_task(board, state, key, "runner_restarted")


# Faults injected at FAULT_MS, which make the protection necessary.


def inject_nothing(world: World) -> None:
    """Inject no fault: the jobs alone make the protection necessary."""


def fail_all_tasks(world: World) -> None:
    for runner in world.runners.hosts.values():
        runner.logic.faults.fail_all = True


def make_runners_leave(world: World) -> None:
    for name in ("runner-01", "runner-02", "runner-03"):
        runner = world.runners.hosts[name]
        runner.logic.faults.leaving = True
        world.platform.set_runner_state(name, runner.settings.zone, "leaving")


def drain_first_instance(world: World) -> None:
    # An answer in flight when accepting ends must still reach its caller.
    world.drain_instance(world.settings.instances[0].name)


def restart_runners(world: World) -> None:
    for name in world.runners.hosts:
        world.runners.kill(name, power_loss=False)
        world.runners.restart(name)


def power_cycle_runners(world: World) -> None:
    # Deliveries to the old incarnations are refused, so their tasks do not start.
    for name in world.runners.hosts:
        world.runners.kill(name, power_loss=True)
        world.runners.restart(name)


def publish_older_revision(world: World) -> None:
    key = settings_key(world.settings.service)
    for revision in (2, 1):
        stored = world.platform.logic.read(key).revision
        text = render_document(revision, f"edit-{revision}", "test", world.settings)
        world.platform.write(WriteKey(key, text, stored))
        world.queue.run_until(world.now + 500)


@attrs.frozen
class BrokenProtection:
    """A function that protects an invariant, and its faulty replacement."""

    invariant: Invariant
    owner: object
    name: str
    replacement: Callable
    fault: Callable[[World], None] = inject_nothing
    in_program: bool = True
    """Whether the program detects the violation, or only the ground truth does."""


BROKEN_PROTECTIONS = (
    BrokenProtection(
        Invariant.STARTS_AT_MOST_ONCE, placer, "take_keys", queue_job_again
    ),
    BrokenProtection(
        Invariant.STARTS_AT_MOST_ONCE,
        SettlingController,
        "_end_restarted",
        restart_task_without_check,
        restart_runners,
        in_program=False,
    ),
    BrokenProtection(
        Invariant.NON_IDEMPOTENT_RUNS_ONCE,
        tasks.TaskController,
        "_returned",
        return_task_without_check,
        power_cycle_runners,
    ),
    BrokenProtection(
        Invariant.ANSWERS_ARE_WHOLE,
        completion,
        "job_answer",
        answer_with_completed_tasks,
        fail_all_tasks,
    ),
    BrokenProtection(
        Invariant.ANSWER_REACHES_ITS_CALLER,
        completion,
        "answer_waiters",
        answer_another_caller,
    ),
    BrokenProtection(
        Invariant.NOT_RUN_IS_TRUE,
        completion,
        "may_have_run",
        completion.not_run,
        fail_all_tasks,
    ),
    BrokenProtection(
        Invariant.LEAVING_GETS_NO_WORK,
        placer,
        "usable",
        accept_leaving_runner,
        make_runners_leave,
    ),
    BrokenProtection(
        Invariant.PLANNED_STOP_CUTS_NOTHING,
        HandoverController,
        "_is_done",
        end_drain_at_once,
        drain_first_instance,
    ),
    BrokenProtection(
        Invariant.CONFIGURATION_NEVER_REVERTS,
        SettingsInForceController,
        "_adopt_if_newer",
        adopt_any_revision,
        publish_older_revision,
    ),
)


def run_world(fault: Callable[[World], None]) -> tuple[World, str]:
    """Run a small service.

    Returns
    -------
    tuple of World and str
        The world, and the message of a violated invariant or an empty string.
    """
    settings = make_settings(DEPLOYMENTS["tsagaan-mod"], 3, 6, 2, teams=3)
    world = make_world(DEPLOYMENTS["tsagaan-mod"], 5, settings)
    workload = Workload(load=0.7, max_tasks=6, teams=3)
    for job in draw_jobs(workload, 12, END_MS - START_MS, Random(5)):
        world.queue.at(
            START_MS + job.arrival_ms, partial(world.callers.submit_planned_job, job)
        )
    try:
        world.start()
        world.queue.run_until(FAULT_MS)
        fault(world)
        world.queue.run_until(END_MS)
    except InvariantViolated as error:
        return world, str(error)
    return world, ""


@pytest.mark.parametrize("broken", BROKEN_PROTECTIONS, ids=lambda one: f"{one.name}")
def test_broken_protection_violates_its_invariant(broken, monkeypatch):
    _, violation = run_world(broken.fault)
    assert violation == ""
    monkeypatch.setattr(broken.owner, broken.name, broken.replacement)
    world, violation = run_world(broken.fault)
    assert broken.invariant.value in violation
    violation_count = sum(
        host.board.auditor.violations[broken.invariant] for host in world.hosts.values()
    )
    assert violation_count == (1 if broken.in_program else 0)


def test_every_invariant_is_broken_and_checked():
    in_program = {one.invariant for one in BROKEN_PROTECTIONS if one.in_program}
    assert in_program == set(Invariant)
    checks = dict.fromkeys(Invariant, 0)
    for fault in (drain_first_instance, publish_older_revision):
        world, _ = run_world(fault)
        for host in world.hosts.values():
            for invariant, count in host.board.auditor.checks.items():
                checks[invariant] += count
    assert all(checks.values())
