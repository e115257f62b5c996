"""Log of a session as lines of text, for golden files that people can compare."""

import re
from collections import Counter
from collections.abc import Sequence

from sassafrasloft.core import (
    Command,
    Deliver,
    Event,
    Exit,
    Fence,
    SendToPeer,
    Settle,
    SettleReported,
    StopTasks,
    TaskReported,
    WriteLog,
)
from sassafrasloft.jobs import ReportState, TaskKey
from sassafrasloft.messages import Gossip
from sassafrasloft.testing.callers import JobEnd
from sassafrasloft.testing.hosts import InstanceHost
from sassafrasloft.testing.observer import Observer
from sassafrasloft.testing.workload import PlannedJob
from sassafrasloft.testing.world import World

LOGGED_LEVELS = ("WARNING", "ERROR")

_INCARNATION_PATTERN = re.compile(r"\b[0-9a-f]{16}\b")
"""Matches incarnations.

They are random, so the log shows their ordinals, which change less often.
"""

_LEASE_ID_PATTERN = re.compile(r"\blease-[0-9a-f]{8}\b")


def format_ranges(indexes: Sequence[int]) -> str:
    """Format indexes such as 0, 1, 2, 5 as ``0-2,5``."""
    runs: list[list[int]] = []
    for index in sorted(indexes):
        if runs and index == runs[-1][-1] + 1:
            runs[-1].append(index)
        else:
            runs.append([index])
    return ",".join(
        f"{run[0]}-{run[-1]}" if len(run) > 1 else f"{run[0]}" for run in runs
    )


class SessionLog(Observer):
    """Observer that logs the decisions of a session, one line each.

    Gossip is counted instead of logged, and calls to the platform are left out.
    Submissions are named by the token of their job, and incarnations by their
    order of appearance.

    Parameters
    ----------
    world : World
        The observed world; the log registers itself as its observer.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._lines: list[str] = []
        self._job_tokens: dict[str, str] = {}
        self._ordinals: dict[str, int] = {}
        self._revisions: dict[str, int] = {}
        self._gossip_counts: Counter[str] = Counter()
        self._answer_counts: Counter[str] = Counter()
        world.observer = self

    @property
    def text(self) -> str:
        """All lines so far, followed by the summary counts."""
        return "\n".join([*self._lines, "", *self._summary_lines()]) + "\n"

    def add_line(self, source: str, text: str) -> None:
        """Add a line with the current simulated time."""
        named = _INCARNATION_PATTERN.sub(
            self._replace_with_ordinal, _LEASE_ID_PATTERN.sub("lease", text)
        )
        self._lines.append(f"{self._world.now:>8.0f} {source:<11} {named}")

    # Callbacks of the observer.

    def on_job_submitted(self, job: PlannedJob) -> None:
        """Log the submission of a job."""
        count = len(job.spec.tasks)
        self.add_line("caller", f"{job.token} in: {job.spec.team}, {count} tasks")

    def on_job_end(self, end: JobEnd) -> None:
        """Log the fate of a job in the final answer to its caller."""
        fate = f"{end.fate.value} {end.kind}".strip()
        self._answer_counts[fate] += 1
        requests = f", {end.request_count} requests" if end.request_count > 2 else ""
        self.add_line(
            "caller",
            f"{end.job.token} out: {fate} after {end.response_ms:.0f}{requests}",
        )

    def on_instance_start(self, host: InstanceHost) -> None:
        """Log the start of a process."""
        self._revisions[host.name] = 0
        self.add_line(host.name, "starts")

    def on_instance_end(self, host: InstanceHost) -> None:
        """Log the end of a process."""
        self.add_line(host.name, "ended")

    def on_step(
        self, host: InstanceHost, event: Event, commands: Sequence[Command]
    ) -> None:
        """Log the event, the commands and a change of settings in one step."""
        self._log_event(host, event)
        for command in commands:
            self._log_command(host, command)
        revision = host.board.settings.revision
        if revision != self._revisions[host.name]:
            self._revisions[host.name] = revision
            self.add_line(host.name, f"settings revision {revision} in force")

    def _log_event(self, host: InstanceHost, event: Event) -> None:
        if isinstance(event, TaskReported):
            report = event.report
            if report.state is ReportState.REFUSED:
                task = self._format_tasks((report.key,))
                self.add_line(
                    host.name, f"{event.runner} refuses {task}: {report.reason}"
                )
        elif isinstance(event, SettleReported):
            self._log_settle_report(host, event)

    def _log_settle_report(self, host: InstanceHost, event: SettleReported) -> None:
        if not event.reachable:
            tasks = self._format_tasks(event.keys)
            self.add_line(host.name, f"{event.runner} unreachable about {tasks}")
            return
        by_state: dict[str, list[TaskKey]] = {}
        for report in event.reports:
            by_state.setdefault(report.state.value, []).append(report.key)
        for state, keys in by_state.items():
            self.add_line(
                host.name, f"{event.runner} says {state}: {self._format_tasks(keys)}"
            )

    def _log_command(self, host: InstanceHost, command: Command) -> None:
        match command:
            case Deliver():
                for one in command.assignments:
                    token = one.task.name.partition("/")[0]
                    self._job_tokens[one.key.submission_id] = token
                keys = [one.key for one in command.assignments]
                self.add_line(
                    host.name, f"-> {command.runner} {self._format_tasks(keys)}"
                )
            case Settle():
                tasks = self._format_tasks(command.keys)
                self.add_line(host.name, f"asks {command.runner} about {tasks}")
            case StopTasks():
                tasks = self._format_tasks(command.keys)
                self.add_line(host.name, f"stops on {command.runner} {tasks}")
            case Fence():
                self.add_line(
                    host.name, f"fences {command.incarnation} {command.runner}"
                )
            case SendToPeer():
                self._log_peer_message(host, command)
            case Exit():
                self.add_line(host.name, "exits as planned")
            case WriteLog() if command.level in LOGGED_LEVELS:
                fields = " ".join(f"{key}={value}" for key, value in command.fields)
                self.add_line(host.name, f"{command.level} {command.event} {fields}")

    def _log_peer_message(self, host: InstanceHost, command: SendToPeer) -> None:
        if isinstance(command.message, Gossip):
            self._gossip_counts[host.name] += 1
        else:
            kind = type(command.message).__name__
            self.add_line(host.name, f"sends {kind} to {command.peer}")

    # Formatting of names and counts.

    def _format_tasks(self, keys: Sequence[TaskKey]) -> str:
        by_job: dict[str, list[int]] = {}
        for key in keys:
            token = self._job_tokens.get(key.submission_id, key.submission_id)
            by_job.setdefault(token, []).append(key.index)
        return " ".join(
            f"{job}[{format_ranges(found)}]" for job, found in by_job.items()
        )

    def _replace_with_ordinal(self, found: re.Match[str]) -> str:
        return f"#{self._ordinals.setdefault(found[0], len(self._ordinals) + 1)}"

    def _summary_lines(self) -> list[str]:
        world = self._world
        lines = [
            f"answers: {fate}: {n}" for fate, n in sorted(self._answer_counts.items())
        ]
        lines.append(f"open jobs: {world.callers.open_jobs}")
        lines.append(f"tasks started: {len(world.ground_truth.starts)}")
        lines.append(f"deliveries: {world.traffic.deliveries}")
        wasted = sorted(world.traffic.wasted.items())
        lines += [f"wasted messages: {cause}: {count}" for cause, count in wasted]
        gossip = sorted(self._gossip_counts.items())
        lines += [f"gossip sent: {name}: {count}" for name, count in gossip]
        return lines
