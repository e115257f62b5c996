"""Open requests of an instance's own callers."""

from collections import deque

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import JobRequest, Route


@attrs.define(eq=False)
class OpenJob:
    """A job with at least one caller waiting for its answer.

    Parameters
    ----------
    requests : set of int
        The requests that wait.
    sent : bool
        Whether a scheduler may have it.
    sent_to_current : bool
        Whether the present scheduler has it.
    """

    job: JobRequest
    route: Route
    arrived_at: Milliseconds
    deadline_at: Milliseconds
    objective_ms: float
    requests: set[int] = attrs.field(factory=set)
    sent: bool = False
    sent_to_current: bool = False
    caller_span: TraceParent | None = None
    span: TraceParent | None = None
    """Of this request, under the caller's; both only if the job is traced."""
    former_revision: int = 0
    """Of the right of the scheduler that had it last; 0 if that was acting."""
    settled_at: Milliseconds = 0
    """Until then a scheduler that had it may have runs of it, out of sight."""


@attrs.define(eq=False)
class OpenRequests:
    """All requests that have no answer yet."""

    jobs: dict[str, OpenJob] = attrs.field(factory=dict)
    job_of: dict[int, str] = attrs.field(factory=dict)
    """Job requests by request id."""
    questions: dict[int, tuple[str, str]] = attrs.field(factory=dict)
    """Other requests: their kind, and the job or route that they ask for."""
    handing_in: deque[str] = attrs.field(factory=deque)
    """Jobs that wait for their turn to be handed in to another scheduler."""
    tasks_offered: int = 0
    """Of all jobs that callers handed in so far, those refused at once included."""

    @property
    def count(self) -> int:
        """The number of requests without an answer."""
        return len(self.job_of) + len(self.questions)
