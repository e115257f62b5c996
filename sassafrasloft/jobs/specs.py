"""Specifications of jobs and tasks as callers submit them."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class TaskSpec:
    """A task as declared by its caller.

    Parameters
    ----------
    name : str
        Name of the task, unique within the job.
    payload : str
        Input of the task, passed to the runner; opaque to the dispatcher.
    run_ms : Milliseconds
        Run time declared by the caller; often inaccurate.
    cores : int
        Number of processor cores that the task needs.
    memory_mb : int
        Memory that the task needs, in megabytes.
    accelerators : int
        Number of accelerators that the task needs.
    idempotent : bool
        Whether the caller may safely submit the task again under a new id.
    """

    name: str
    payload: str = ""
    run_ms: Milliseconds = 200
    cores: int = 1
    memory_mb: int = 64
    accelerators: int = 0
    idempotent: bool = False


@attrs.frozen
class JobSpec:
    """A batch of tasks that is submitted on behalf of a team.

    Parameters
    ----------
    team : str
        The team whose quota the job uses.
    tasks : tuple of TaskSpec
        The tasks; the answer lists their outcomes in the same order.
    deadline_ms : Milliseconds
        Time from acceptance after which no further task is started.
    """

    team: str
    tasks: tuple[TaskSpec, ...]
    deadline_ms: Milliseconds = 60_000
