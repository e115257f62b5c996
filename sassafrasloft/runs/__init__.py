"""Runs of tasks on runners: commands, leases, results and the state of runners."""

from sassafrasloft.runs.crash_history import CrashHistory, StartRule, TaskCrashes
from sassafrasloft.runs.orders import (
    CommandOutcome,
    EndedRun,
    PollReply,
    PollRuns,
    RunEnd,
    RunnerCommand,
    RunnerReply,
    RunningRun,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.runs.runners import (
    Run,
    RunnerEntry,
    RunnerPool,
    RunnerView,
    RunState,
)

__all__ = [
    "CrashHistory",
    "StartRule",
    "TaskCrashes",
    "EndedRun",
    "PollReply",
    "PollRuns",
    "CommandOutcome",
    "Run",
    "RunEnd",
    "RunState",
    "RunnerEntry",
    "RunnerCommand",
    "RunnerPool",
    "RunnerReply",
    "RunnerView",
    "RunningRun",
    "StartReply",
    "StartRun",
    "StopReply",
    "StopRun",
]
