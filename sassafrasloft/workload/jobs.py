"""Jobs, their steps and the resources that their tasks need."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class Resources:
    """An amount of a runner's capacity.

    Parameters
    ----------
    millicores : int
        Thousandths of a processor core.
    memory_mb : int
    accelerators : int
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Return whether this amount fits into the capacity `room`."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of two amounts."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of two amounts."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@attrs.frozen
class StepRequest:
    """Tasks of the same kind that may run at the same time.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Resources
        Resources that each task needs.
    estimate_ms : Milliseconds
        The caller's rough estimate of a task's duration; 0 if unknown.
    after : tuple of int
        Indices of earlier steps whose tasks must all complete first.
    required_label : str
        A label that the runner must have; empty for none.
    preferred_rack : str
        The label of the rack that holds the data; empty for none.
    max_per_runner : int
        At most this many tasks of the step on one runner; 0 for any number.
    """

    count: int
    demand: Resources
    estimate_ms: Milliseconds = 0
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0


@attrs.frozen
class JobRequest:
    """A job as its caller submitted it.

    Parameters
    ----------
    job_id : str
        Chosen by the caller; requests with the same id refer to the same job.
    spec : str
        Passed to the runners unchanged.
    steps : tuple of StepRequest
    """

    job_id: str
    spec: str
    steps: tuple[StepRequest, ...]

    def critical_path_ms(self) -> Milliseconds:
        """Return the estimated duration of the critical path of steps."""
        ends: list[Milliseconds] = []
        for step in self.steps:
            begin = max((ends[one] for one in step.after), default=0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0)


def task_name(job_id: str, step: int, index: int, occurrence: int = 0) -> str:
    """Return the name by which runners know a task."""
    return f"{job_id}.{occurrence}.{step}.{index}"
