"""Which task runs where and when, and which job is refused; no I/O."""

from sassafrasloft.scheduling.jobs import JobOutcome, JobTable, ScheduledJob, TaskState

__all__ = ["JobOutcome", "JobTable", "ScheduledJob", "TaskState"]
