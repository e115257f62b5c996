"""Processor time of the core by tasks, waiting tasks, runners and teams."""

from collections.abc import Callable, Sequence

from benchmarks.core_bench import CoreBench, service_settings
from benchmarks.slope_fits import Point, Slope, make_slope, register_measurement
from sassafrasloft.submissions.intake import PURGE_TIMER

REPEATS = 3
"""The least of so many runs counts; others on the machine only add time."""

RUNNERS = (24, 96, 384, 1_000, 2_600)
TEAMS = (8, 60, 120, 230)
JOB_TASKS = 40


def least(measure: Callable[[], float]) -> float:
    """Return the least of several measurements."""
    return min(measure() for _ in range(REPEATS))


def points(
    sizes: Sequence[int], measure: Callable[[int], float], divisor: float = 1.0
) -> list[Point]:
    """Return the least value of a measurement at each size."""
    return [Point(size, least(lambda: measure(size)) / divisor) for size in sizes]  # noqa: B023 - called at once


def _job_ms(bench: CoreBench, tasks: int, jobs: int) -> float:
    bench.clear()
    for _ in range(jobs):
        bench.submit("team-1", tasks)
        bench.complete_all()
    return bench.spent_ms() / jobs


@register_measurement("job_by_tasks")
def job_by_tasks() -> list[Slope]:
    """Measure a job from its submission to its answer, by its tasks."""
    bench = CoreBench(service_settings(8, 24, 8))
    _job_ms(bench, 40, 5)
    found = points(
        (1, 10, 40, 170, 340),
        lambda tasks: _job_ms(bench, tasks, max(4, 400 // tasks)),
    )
    fixed = "8 instances, 24 runners, 8 teams, idle"
    return [make_slope("job_ms_by_tasks", "tasks a job", "ms a job", fixed, found)]


def _waiting_task_ms(waiting: int) -> float:
    """Return the time a task when so many tasks stay waiting."""
    bench = CoreBench(service_settings(8, 24, 8))
    for _ in range(waiting // JOB_TASKS + 5):
        bench.submit("team-1", JOB_TASKS)
    bench.clear()
    done = 0
    while done < 400:
        done += bench.complete_one()
        bench.advance(1)
        if done % JOB_TASKS == 0:
            bench.submit("team-1", JOB_TASKS)
    return bench.spent_ms() / done


@register_measurement("task_by_waiting")
def task_by_waiting() -> list[Slope]:
    """Measure a task by the number of tasks that wait."""
    found = points((200, 1_000, 4_000, 16_000), _waiting_task_ms)
    fixed = "8 instances, 24 runners, 1 team, jobs of 40 tasks"
    name = "task_ms_by_waiting"
    return [make_slope(name, "waiting tasks", "ms a task", fixed, found)]


@register_measurement("job_by_runners")
def job_by_runners() -> list[Slope]:
    """Measure a job by runners: the whole, and its submission alone."""
    whole, submission = [], []
    for runners in RUNNERS:
        bench = CoreBench(service_settings(8, runners, 8))
        _job_ms(bench, JOB_TASKS, 3)
        whole.append(Point(runners, least(lambda: _job_ms(bench, JOB_TASKS, 10))))  # noqa: B023 - called at once
        submission.append(Point(runners, bench.spent_ms("JobSubmitted") / 10))
    fixed = "8 instances, 8 teams, jobs of 40 tasks, idle"
    return [
        make_slope("job_ms_by_runners", "runners", "ms a job", fixed, whole),
        make_slope("submit_ms_by_runners", "runners", "ms a job", fixed, submission),
    ]


def _team_task_ms(teams: int) -> float:
    """Return the time a task when every team has waiting tasks."""
    bench = CoreBench(service_settings(8, 24, teams))
    for place in range(teams):
        for _ in range(2):
            bench.submit(f"team-{place}", 20)
    bench.clear()
    done = submitted = 0
    while done < 400:
        done += bench.complete_one()
        bench.advance(1)
        if done >= submitted + 20:
            bench.submit(f"team-{done % teams}", 20)
            submitted += 20
    return bench.spent_ms() / done


@register_measurement("task_by_teams")
def task_by_teams() -> list[Slope]:
    """Measure a task by the number of teams that have waiting tasks."""
    found = points(TEAMS, _team_task_ms)
    fixed = "8 instances, 24 runners, jobs of 20 tasks, all teams wait"
    return [make_slope("task_ms_by_teams", "waiting teams", "ms a task", fixed, found)]


def _purge_ms(serials: int) -> float:
    """Return the time of the timer that drops expired serials."""
    bench = CoreBench(service_settings(8, 24, 8))
    _job_ms(bench, JOB_TASKS, 2)
    (ledger,) = bench.board.jobs.ledgers.values()
    expires_ms = bench.now + bench.settings.limits.id_validity_ms
    for place in range(serials):
        ledger.used[1_000_000 + place] = expires_ms
    bench.clear()
    bench.advance(60_000)
    spent = bench.spent[PURGE_TIMER]
    return spent.milliseconds / spent.steps


@register_measurement("purge_by_serials")
def purge_by_serials() -> list[Slope]:
    """Measure the purge of expired serials by the used serials that are kept."""
    found = points((500, 5_000, 20_000, 72_000), _purge_ms)
    fixed = "8 instances, 24 runners"
    name = "purge_ms_by_serials"
    return [make_slope(name, "kept serials", "ms a purge", fixed, found)]
