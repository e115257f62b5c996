"""Admission, ordering and placement of jobs on runners; performs no I/O."""

from sassafrasloft.scheduling.jobs import JobOutcome, JobTable, ScheduledJob, TaskState

__all__ = ["JobOutcome", "JobTable", "ScheduledJob", "TaskState"]
