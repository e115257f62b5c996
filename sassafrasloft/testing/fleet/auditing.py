"""Checks the guarantees of the service from outside the instances."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import AnswerKind, CallerAnswer
from sassafrasloft.runs import RunEnd
from sassafrasloft.standins.lease_runner import LeaseRunnerStandin, StandinRun

_NOT_RUN_KINDS = (
    AnswerKind.REFUSED,
    AnswerKind.UNAVAILABLE,
    AnswerKind.NO_SUCH_ROUTE,
)
"""Answers that callers take as "not run"."""


class GuaranteeViolated(AssertionError):
    """A guarantee is violated; the message names it and what was observed."""


EVACUATION_MS = 5_000
"""Time after a zone is evacuated in which tasks may still start there."""


@attrs.define(eq=False)
class FleetAudit:
    """Checks what callers and stand-ins observe, not the state of the instances."""

    live_runs: dict[str, list[tuple[LeaseRunnerStandin, StandinRun]]] = attrs.field(
        factory=dict
    )
    starts: dict[str, int] = attrs.field(factory=dict)
    """Number of runs that have begun, by job."""
    ends: list[tuple[str, RunEnd]] = attrs.field(factory=list)
    refused: dict[str, Milliseconds] = attrs.field(factory=dict)
    """When each job was refused last while no submission of it was open."""
    accepted: set[str] = attrs.field(factory=set)
    """Jobs that were submitted and have not been refused since."""
    undecided: set[str] = attrs.field(factory=set)
    """Jobs with a submission whose outcome the caller does not know."""
    evacuated: dict[str, Milliseconds] = attrs.field(factory=dict)
    """Since when each evacuated zone is one."""
    versions: dict[str, int] = attrs.field(factory=dict)
    """The newest configuration version that a process has used, by incarnation."""

    def record_run_start(
        self, runner: LeaseRunnerStandin, run: StandinRun, now: Milliseconds
    ) -> None:
        """Check a run that begins.

        Its task may have no other live run, its job may not be refused, and its
        runner may not be draining or in a zone that was evacuated.
        """
        live_runs = self.live_runs.setdefault(run.task, [])
        if live_runs:
            where = [one.entry.runner_id for one, _ in live_runs]
            raise GuaranteeViolated(
                f"one_run_at_a_time: {run.task} run {run.number} begins on "
                f"{runner.entry.runner_id} at {now} beside runs on {where}"
            )
        live_runs.append((runner, run))
        job = run.task.partition(".")[0]
        self.starts[job] = self.starts.get(job, 0) + 1
        if job in self.refused and job not in self.accepted:
            raise GuaranteeViolated(
                f"not_run_is_true: {run.task} begins at {now}, "
                f"refused at {self.refused[job]}"
            )
        if runner.entry.draining:
            raise GuaranteeViolated(f"leaving_gets_no_work: {run.task} at {now}")
        zone = runner.entry.zone
        if now > self.evacuated.get(zone, now) + EVACUATION_MS:
            raise GuaranteeViolated(
                f"evacuated_gets_no_work: {run.task} in {zone} at {now}, "
                f"evacuated at {self.evacuated[zone]}"
            )

    def record_run_end(
        self, runner: LeaseRunnerStandin, run: StandinRun, end: RunEnd
    ) -> None:
        """Record the end of a run."""
        self.live_runs[run.task].remove((runner, run))
        self.ends.append((run.task, end))

    def record_runner_crash(self, runner: LeaseRunnerStandin) -> None:
        """Record that all runs on a crashed runner have ended."""
        for run in list(runner.running.values()):
            self.record_run_end(runner, run, RunEnd.LEASE_EXPIRED)
        runner.running.clear()

    def record_submission(self, job_id: str) -> None:
        """Record that a caller submits a job."""
        self.accepted.add(job_id)

    def record_undecided(self, job_id: str) -> None:
        """Record that a submission may have led to runs despite later refusals."""
        self.undecided.add(job_id)

    def check_answer(
        self, job_id: str, answer: CallerAnswer, now: Milliseconds, still_open: int
    ) -> None:
        """Check an answer; `still_open` submissions of the job await theirs.

        A job that is refused, with no open or undecided submission, may have no runs.
        """
        not_run = answer.kind in _NOT_RUN_KINDS
        if not_run and not still_open and job_id not in self.undecided:
            self.accepted.discard(job_id)
            self.refused[job_id] = now
            if self.starts.get(job_id):
                raise GuaranteeViolated(
                    f"not_run_is_true: {job_id} refused at {now} after "
                    f"{self.starts[job_id]} runs ({answer.detail})"
                )

    def check_configuration_version(self, incarnation: str, version: int) -> None:
        """Check that a process does not revert to an older configuration."""
        known = self.versions.get(incarnation, 0)
        if version < known:
            raise GuaranteeViolated(
                f"configuration_never_reverts: {version} after {known}"
            )
        self.versions[incarnation] = version
