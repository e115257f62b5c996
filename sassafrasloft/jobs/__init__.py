"""Jobs, their tasks, the reports of runners and the answers to callers."""

from sassafrasloft.jobs.answers import (
    Answer,
    Fate,
    TaskOutcome,
    failed_answer,
    running_answer,
)
from sassafrasloft.jobs.reports import (
    RefusalReason,
    ReportState,
    RunnerCapacity,
    TaskKey,
    TaskReport,
)
from sassafrasloft.jobs.specs import JobSpec, TaskSpec

__all__ = [
    "Answer",
    "Fate",
    "JobSpec",
    "RefusalReason",
    "ReportState",
    "RunnerCapacity",
    "TaskKey",
    "TaskOutcome",
    "TaskReport",
    "TaskSpec",
    "failed_answer",
    "running_answer",
]
