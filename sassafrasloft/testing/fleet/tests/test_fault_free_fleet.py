"""Jobs in a fleet without faults."""

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    LOOKUP,
    ROUTES,
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)
from sassafrasloft.testing.fleet.world import simple_job
from sassafrasloft.workload import JobRequest, Resources, StepRequest


def test_one_instance_schedules_and_all_are_ready():
    world = settled_world()
    scheduler_of(world)
    assert all(one.ready for one in world.instances.values())


def test_simultaneous_claims_result_in_one_leader():
    """Guards against a claim that replaces a leader found after the claim began."""
    for seed in range(20):
        world = settled_world(seed=seed)
        won = sum(
            one.core.board.counters.get("rights_won", 0)
            for one in world.instances.values()
        )
        assert won == 1, f"seed {seed}"


def test_leadership_is_kept_beyond_its_lease():
    """Guards against leadership handovers at start, before any heartbeat was due."""
    world = settled_world()
    scheduler = scheduler_of(world)
    world.run(10_000)
    assert scheduler_of(world) == scheduler
    assert world.instances[scheduler].core.board.counters["rights_won"] == 1


def test_jobs_of_all_instances_complete_on_time():
    world = settled_world()
    jobs = []
    for number, name in enumerate(world.instances):
        jobs.append(submit_lookup(world, number, name))
        world.run(70)
    world.run(300)
    assert all(is_completed(job) for job in jobs)
    assert max(job.waited_ms for job in jobs) < 100


def test_job_submitted_twice_runs_once():
    world = settled_world()
    first, second = list(world.instances)[:2]
    job = submit_order(world, 1, first)
    world.run(300)
    submit_order(world, 1, second)
    world.run(1_500)
    assert len(job.answers) == 2
    assert all(one.kind is AnswerKind.COMPLETED for _, one in job.answers)
    assert world.audit.starts[job.job.job_id] == 2


def test_answer_is_kept_for_caller_retry():
    world = settled_world()
    first, second = list(world.instances)[:2]
    job = submit_lookup(world, 1, first)
    world.run(20)
    world.give_up(job, reset=True)
    world.run(1_300)
    submit_lookup(world, 1, second)
    world.run(20)
    assert is_completed(job)
    assert world.audit.starts[job.job.job_id] == 4


def test_disconnected_caller_frees_capacity_of_its_job():
    world = settled_world()
    job = submit_order(world, 1, next(iter(world.instances)))
    world.run(200)
    world.give_up(job)
    world.run(100)
    assert not any(runner.running for runner in world.runners.values())


def test_steps_run_in_their_order():
    world = settled_world()
    step = StepRequest(2, Resources(8_000, 64, 0), 50)
    later = StepRequest(1, Resources(8_000, 64, 0), 50, after=(0,))
    request = JobRequest(f"{7:016x}", "spec", (step, later))
    job = world.submit(request, LOOKUP, next(iter(world.instances)))
    world.run(400)
    assert is_completed(job)
    assert job.waited_ms >= 100
    assert world.audit.ends[-1][0].split(".")[2] == "1"


def test_new_configuration_is_used_and_older_one_is_not():
    world = settled_world()
    world.configure(5, (LOOKUP,))
    world.run(100)
    world.configure(4, ROUTES)
    world.run(2_000)
    job = world.submit(
        simple_job(1, 1, 8_000, 50), CONFIRM, next(iter(world.instances))
    )
    world.run(200)
    assert job.answer.kind is AnswerKind.NO_SUCH_ROUTE


def test_configuration_is_followed_after_history_is_compacted():
    world = settled_world()
    world.store.forget_history()
    world.configure(2, (LOOKUP,))
    world.store.forget_history()
    world.run(2_000)
    versions = {
        one.core.board.configuration.current.version for one in world.instances.values()
    }
    assert versions == {2}
