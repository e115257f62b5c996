"""The state of callers' requests that an instance has not answered yet."""

from collections import deque

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import JobRequest, Route


@attrs.define(eq=False)
class OpenJob:
    """A job with at least one caller that waits for its answer.

    Parameters
    ----------
    requests : set of int
        Ids of the requests that wait for the answer.
    sent : bool
        Whether the job was ever sent to a scheduler, which may have run it.
    sent_to_scheduler : bool
        Whether the job was sent to the current scheduler.
    is_caller_retry : bool
        Whether its caller sent it before, possibly to another instance.
    configuration_version : int
        Version of the configuration by which the route was chosen.
    """

    job: JobRequest
    route: Route
    arrived_at: Milliseconds
    deadline_at: Milliseconds
    objective_ms: float
    requests: set[int] = attrs.field(factory=set)
    sent: bool = False
    sent_to_scheduler: bool = False
    is_caller_retry: bool = False
    configuration_version: int = 0
    caller_span: TraceParent | None = None
    span: TraceParent | None = None
    """This instance's span, a child of `caller_span`; None unless the job is traced."""
    predecessor_revision: int = 0
    """Leadership revision of the predecessor scheduler; 0 if that was acting."""
    predecessor_runs_end_at: Milliseconds = 0
    """Until then an unreachable predecessor may still have runs of the job."""


@attrs.frozen
class PendingQuery:
    """A caller's question that the scheduler has not answered yet.

    `kind` is ``job`` or ``queue``, and `subject` the id of the job or the name of the
    route. `host` and `path` are those of the request.
    """

    kind: str
    subject: str
    host: str
    path: str


@attrs.define(eq=False)
class OpenRequests:
    """All requests that have no answer yet; a section of the blackboard."""

    jobs: dict[str, OpenJob] = attrs.field(factory=dict)
    """Open jobs by job id."""
    job_id_of_request: dict[int, str] = attrs.field(factory=dict)
    """Job ids by the id of the request that waits for the job."""
    queries: dict[int, PendingQuery] = attrs.field(factory=dict)
    """Pending queries by request id."""
    awaiting_resubmission: deque[str] = attrs.field(factory=deque)
    """Ids of the jobs that wait to be resubmitted to a new scheduler."""
    tasks_offered: int = 0
    """Number of tasks in all jobs submitted so far, including refused jobs."""

    @property
    def count(self) -> int:
        """The number of requests without an answer."""
        return len(self.job_id_of_request) + len(self.queries)

    def take_queries(self, kind: str, subject: str) -> list[tuple[int, PendingQuery]]:
        """Remove and return the pending queries of a kind for a subject."""
        taken = [
            (request_id, query)
            for request_id, query in self.queries.items()
            if (query.kind, query.subject) == (kind, subject)
        ]
        for request_id, _ in taken:
            del self.queries[request_id]
        return taken
