"""A decision core with runners and task records, for tests here and of dispatch."""

from random import Random

from sassafrasloft.core import (
    Blackboard,
    Controller,
    DecisionCore,
    JobAccepted,
    JobEnded,
    ProbeReported,
    Started,
    TaskEnded,
    TaskReported,
    TaskReturned,
    TaskSent,
    TimerFired,
)
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.jobs import (
    Fate,
    JobSpec,
    ReportState,
    RunnerCapacity,
    TaskKey,
    TaskOutcome,
    TaskReport,
    TaskSpec,
)
from sassafrasloft.settings import (
    InstanceSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
)
from sassafrasloft.state import Identity, JobRecord, TaskRecord, TaskState
from sassafrasloft.upstreams import (
    FaultsController,
    LeavingController,
    RunnersController,
    SettlingController,
)


class TaskRecordController(Controller):
    """Updates board.jobs like the submissions controllers and records task ends."""

    handles = (JobAccepted, TaskSent, TaskReturned, TaskEnded)

    def __init__(self):
        self.ended = []
        self.returned = []

    def react(self, event, board):
        if isinstance(event, JobAccepted):
            return
        if isinstance(event, TaskEnded):
            self.ended.append(event)
        elif isinstance(event, TaskReturned):
            self.returned.append(event)
        job = board.jobs.running.get(event.key.submission_id)
        if job is None:
            return
        record = job.tasks[event.key.index]
        if isinstance(event, TaskSent):
            record.state = TaskState.SENT
            record.placements += 1
            record.runner = event.runner
            record.delivery_id = event.delivery_id
        elif isinstance(event, TaskReturned):
            record.state = TaskState.WAITING
            self._end_if_finished(job, board)
        else:
            record.state = TaskState.ENDED
            record.outcome = TaskOutcome(record.spec.name, event.fate)
            if event.fate is not Fate.COMPLETE:
                job.failed_kind = "task_failed"
            self._end_if_finished(job, board)

    def _end_if_finished(self, job, board):
        left = [task for task in job.tasks if task.state is not TaskState.ENDED]
        sent = any(task.state is TaskState.SENT for task in left)
        if not left or (job.failed_kind and not sent):
            del board.jobs.running[job.submission_id]
            board.post(JobEnded(job.submission_id))


def make_settings(runners=3, instances=("one", "two"), zones=("north",), **changes):
    return ServiceSettings(
        "service",
        "region",
        tuple(zones),
        tuple(
            InstanceSettings(name, zones[place % len(zones)], "", "", "")
            for place, name in enumerate(instances)
        ),
        tuple(
            RunnerSettings(f"r{place}", zones[place % len(zones)], f"127.0.0.1:{place}")
            for place in range(runners)
        ),
        (TeamSettings("clubs"), TeamSettings("shops")),
        **changes,
    )


class Driver:
    """One instance whose events and clock are controlled by the test."""

    def __init__(self, settings=None, controllers=(), strict=True, seed=1):
        settings = settings or make_settings()
        own = settings.instances[0]
        identity = Identity(own.name, own.zone, "00", b"secret")
        self.board = Blackboard(
            identity, settings, Random(seed), InvariantChecker(strict)
        )
        self.keeper = TaskRecordController()
        upstreams = (
            RunnersController(),
            SettlingController(),
            FaultsController(),
            LeavingController(),
        )
        self.core = DecisionCore(self.board, (self.keeper, *upstreams, *controllers))
        self.now = 0
        self.jobs = 0

    @property
    def runners(self):
        return self.board.upstreams.runners

    def step(self, event, after_ms=0):
        self.now += after_ms
        return self.core.step(event, self.now)

    def start(self, free_slots=8):
        self.step(Started())
        self.step(TimerFired("upstreams.probe"))
        for name, state in self.runners.items():
            capacity = RunnerCapacity(f"i-{name}", free_slots)
            self.step(ProbeReported(name, True, True, capacity))
            assert state.incarnation == f"i-{name}"

    def add_job(self, tasks=1, team="clubs", **spec):
        self.jobs += 1
        submission_id = f"job{self.jobs}"
        specs = tuple(TaskSpec(f"t{place}", **spec) for place in range(tasks))
        records = [TaskRecord(one) for one in specs]
        self.board.jobs.running[submission_id] = JobRecord(
            submission_id, JobSpec(team, specs), records, self.now, 60_000, tasks
        )
        return submission_id

    def send(self, runner="r0", tasks=1, delivery="d1"):
        """Send the tasks of a new job to the given runner; return their keys."""
        submission_id = self.add_job(tasks)
        keys = [TaskKey(submission_id, place) for place in range(tasks)]
        for key in keys:
            self.step(TaskSent(key, runner, delivery))
        return keys

    def report(self, key, state, runner="r0", delivery="d1", free=None, **fields):
        capacity = None
        if free is not None:
            capacity = RunnerCapacity(f"i-{runner}", free)
        report = TaskReport(key, ReportState(state), **fields)
        return self.step(TaskReported(runner, delivery, report, capacity))
