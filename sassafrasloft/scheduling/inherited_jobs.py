"""What earlier schedulers reported of a job that is not open here yet."""

from typing import Self

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.messages import JobProgress, PossibleRun

PossibleRuns = dict[str, dict[str, Milliseconds]]
"""By task and runner, when a run has ended at the latest. The id of a runner is empty
if it is not known."""


@attrs.frozen
class InheritedJob:
    """Completed tasks and possible runs of a job, as reported by earlier schedulers.

    Parameters
    ----------
    done : tuple of str
    possible_runs : PossibleRuns
    complete : bool
        Whether the direct predecessor reported that there are no other runs.
    from_acting : bool
        Whether an acting scheduler is among the sources.
    """

    done: tuple[str, ...] = ()
    possible_runs: PossibleRuns = attrs.field(factory=dict)
    complete: bool = False
    from_acting: bool = False

    @classmethod
    def from_progress(
        cls,
        progress: JobProgress,
        now: Milliseconds,
        lease_expiry_ms: Milliseconds,
        is_direct: bool,
        from_acting: bool,
    ) -> Self:
        """Return what a scheduler reports of a job.

        Parameters
        ----------
        progress : JobProgress
        now : Milliseconds
        lease_expiry_ms : Milliseconds
            Time after which leases have expired that a sender of an earlier release may
            just have renewed.
        is_direct : bool
            Whether no other instance held leadership since the sender did.
        from_acting : bool
        """
        possible_runs: PossibleRuns = {}
        for run in progress.possible_runs:
            until = now + run.remaining_ms
            possible_runs.setdefault(run.task, {})[run.runner_id] = until
        for task in progress.running:
            possible_runs.setdefault(task, {"": now + lease_expiry_ms})
        complete = is_direct and progress.complete
        return cls(progress.done, possible_runs, complete, from_acting)

    def merge(self, other: "InheritedJob") -> "InheritedJob":
        """Return what two reports say together.

        Either may be the older one, so that a run which only one of them lists is
        possible.
        """
        possible_runs = dict(self.possible_runs)
        for task, runs in other.possible_runs.items():
            possible_runs[task] = later_ends(possible_runs.get(task, {}), runs)
        return InheritedJob(
            tuple(dict.fromkeys((*self.done, *other.done))),
            possible_runs,
            self.complete or other.complete,
            self.from_acting or other.from_acting,
        )


def later_ends(
    one: dict[str, Milliseconds], other: dict[str, Milliseconds]
) -> dict[str, Milliseconds]:
    """Return the possible runs of a task by runner, each with its later end."""
    merged = dict(one)
    for runner_id, until in other.items():
        merged[runner_id] = max(until, merged.get(runner_id, until))
    return merged


def remaining_runs(
    possible_runs: PossibleRuns, now: Milliseconds
) -> tuple[PossibleRun, ...]:
    """Return the runs that may not have ended, in the form for the next scheduler."""
    return tuple(
        PossibleRun(task, runner_id, until - now)
        for task, runs in possible_runs.items()
        for runner_id, until in runs.items()
        if until > now
    )
