"""What earlier schedulers reported of a job that is not open here yet."""

from typing import Self

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.messages import JobProgress, PossibleRun


@attrs.frozen
class InheritedJob:
    """Completed tasks and possible runs of a job, as reported by earlier schedulers.

    Parameters
    ----------
    done : tuple of str
    possible_runs : dict
        By task, when its run has ended at the latest.
    complete : bool
        Whether the direct predecessor reported that there are no other runs.
    from_acting : bool
        Whether an acting scheduler is among the sources.
    """

    done: tuple[str, ...] = ()
    possible_runs: dict[str, Milliseconds] = attrs.field(factory=dict)
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
            Time after which leases that the sender may just have renewed have expired.
        is_direct : bool
            Whether no other instance held leadership since the sender did.
        from_acting : bool
        """
        possible_runs = dict.fromkeys(progress.running, now + lease_expiry_ms)
        for run in progress.possible_runs:
            possible_runs.setdefault(run.task, now + run.remaining_ms)
        complete = is_direct and progress.complete
        return cls(progress.done, possible_runs, complete, from_acting)

    def merge(self, other: "InheritedJob") -> "InheritedJob":
        """Return what two reports say together.

        Either may be the older one, so that a run which only one of them lists is
        possible.
        """
        possible_runs = dict(self.possible_runs)
        for task, until in other.possible_runs.items():
            possible_runs[task] = max(until, possible_runs.get(task, until))
        return InheritedJob(
            tuple(dict.fromkeys((*self.done, *other.done))),
            possible_runs,
            self.complete or other.complete,
            self.from_acting or other.from_acting,
        )


def remaining_runs(
    possible_runs: dict[str, Milliseconds], now: Milliseconds
) -> tuple[PossibleRun, ...]:
    """Return the runs that have not ended yet, in the form for the next scheduler."""
    return tuple(
        PossibleRun(task, until - now)
        for task, until in possible_runs.items()
        if until > now
    )
