"""What callers, runners and instances of a test fleet see, checked."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import AnswerKind, CallerAnswer
from sassafrasloft.runs import RunEnd
from sassafrasloft.standins.lease_runner import LeaseRunnerStandin, StandinRun


class PromiseBroken(AssertionError):
    """A promise does not hold; the message names it and what was seen."""


@attrs.define(eq=False)
class FleetAudit:
    """Watches the stand-ins, not the instances' own state."""

    live: dict[str, list[tuple[LeaseRunnerStandin, StandinRun]]] = attrs.field(
        factory=dict
    )
    starts: dict[str, int] = attrs.field(factory=dict)
    """Runs begun, by job."""
    ends: list[tuple[str, RunEnd]] = attrs.field(factory=list)
    refused: dict[str, Milliseconds] = attrs.field(factory=dict)
    """Jobs whose every submission was refused so far."""
    accepted: set[str] = attrs.field(factory=set)
    undecided: set[str] = attrs.field(factory=set)
    """Jobs with a submission that was neither refused nor answered for good."""
    versions: dict[str, int] = attrs.field(factory=dict)
    """The newest configuration that a process has used, by incarnation."""

    def run_begins(
        self, runner: LeaseRunnerStandin, run: StandinRun, now: Milliseconds
    ) -> None:
        """Check that the task has no other run, and was not refused."""
        others = self.live.setdefault(run.task, [])
        if others:
            where = [one.entry.runner_id for one, _ in others]
            raise PromiseBroken(
                f"one_run_at_a_time: {run.task} run {run.number} begins on "
                f"{runner.entry.runner_id} at {now} beside runs on {where}"
            )
        others.append((runner, run))
        job = run.task.partition(".")[0]
        self.starts[job] = self.starts.get(job, 0) + 1
        if job in self.refused and job not in self.accepted:
            raise PromiseBroken(
                f"not_run_is_true: {run.task} begins at {now}, "
                f"refused at {self.refused[job]}"
            )
        if runner.entry.draining:
            raise PromiseBroken(f"leaving_gets_no_work: {run.task} at {now}")

    def run_ends(
        self, runner: LeaseRunnerStandin, run: StandinRun, end: RunEnd
    ) -> None:
        """Note the end of a run."""
        self.live[run.task].remove((runner, run))
        self.ends.append((run.task, end))

    def runner_crashes(self, runner: LeaseRunnerStandin) -> None:
        """Note that all runs of a runner are over."""
        for run in list(runner.running.values()):
            self.run_ends(runner, run, RunEnd.LEASE_EXPIRED)
        runner.running.clear()

    def submitted(self, job_id: str) -> None:
        """Note that a caller hands a job in."""
        self.accepted.add(job_id)

    def left_undecided(self, job_id: str) -> None:
        """Note that a submission may have led to runs; later refusals do not tell."""
        self.undecided.add(job_id)

    def answered(
        self, job_id: str, answer: CallerAnswer, now: Milliseconds, still_open: int
    ) -> None:
        """Check an answer; `still_open` other submissions have none yet."""
        not_run = answer.kind in (AnswerKind.REFUSED, AnswerKind.UNAVAILABLE)
        if not_run and not still_open and job_id not in self.undecided:
            self.accepted.discard(job_id)
            self.refused[job_id] = now
            if self.starts.get(job_id):
                raise PromiseBroken(
                    f"not_run_is_true: {job_id} refused at {now} after "
                    f"{self.starts[job_id]} runs ({answer.detail})"
                )

    def used_version(self, incarnation: str, version: int) -> None:
        """Check that a process does not go back to an older configuration."""
        known = self.versions.get(incarnation, 0)
        if version < known:
            raise PromiseBroken(f"configuration_never_reverts: {version} after {known}")
        self.versions[incarnation] = version
