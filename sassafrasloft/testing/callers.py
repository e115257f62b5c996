"""Simulated callers that resubmit their jobs and have their answers checked."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import attrs

from sassafrasloft.core import (
    AnswerRequested,
    Event,
    IdsRequested,
    IssuedIds,
    JobCancelled,
    JobSubmitted,
)
from sassafrasloft.jobs import Answer, Fate
from sassafrasloft.testing.workload import PlannedJob

if TYPE_CHECKING:
    from sassafrasloft.testing.world import World

MAX_ANSWER_WAIT_MS = 20_000
"""Maximum time that a request waits for an answer at the instance."""

RETRY_DELAY_MS = 250
"""Delay before a caller repeats a request."""

MAX_REQUESTS_PER_JOB = 400
"""Number of requests for a job after which its caller gives up."""


@attrs.frozen
class JobEnd:
    """The final result of a job at its caller."""

    job: PlannedJob
    fate: Fate
    kind: str
    submission_id: str
    response_ms: float
    request_count: int
    detail: str = ""


@attrs.define
class OpenJob:
    """A job without a final answer at its caller.

    Parameters
    ----------
    request_id : str
        The request that awaits a reply; empty if there is none.
    accepted : bool
        Whether the last answer shows that the owner has the job.
    """

    job: PlannedJob
    submitted_at_ms: float
    submission_id: str = ""
    request_count: int = 0
    request_id: str = ""
    accepted: bool = False
    cancelled: bool = False


class Caller:
    """A client with one connection and at most one open job.

    Parameters
    ----------
    world : World
        Carries the requests.
    name : str
        Prefix of the request ids.
    random : random.Random
        Draws the instance that the load balancer chooses.
    done : callable
        Called with the caller and the `JobEnd` of each job.
    """

    def __init__(
        self,
        world: World,
        name: str,
        random: Random,
        done: Callable[[Caller, JobEnd], None],
    ) -> None:
        self._world = world
        self._name = name
        self._random = random
        self._on_job_end = done
        self._connection = ""
        self._next_submission_id = ""
        self._next_id_team = ""
        self._open: OpenJob | None = None
        self._request_count = 0

    @property
    def connection(self) -> str:
        """The instance that the caller is connected to; empty if there is none."""
        return self._connection

    def submit_planned_job(self, job: PlannedJob) -> None:
        """Submit a job.

        The submission id that came with the previous answer is used if it is for
        the same team.
        """
        self._open = OpenJob(job, self._world.now)
        if self._next_submission_id and self._next_id_team == job.spec.team:
            self._open.submission_id = self._next_submission_id
        self._next_submission_id = ""
        self._send_next_request()

    def cancel(self) -> None:
        """Cancel the open job if it has a submission id."""
        if self._open is None or not self._open.submission_id:
            return
        self._open.cancelled = True
        self._send_next_request()

    def handle_connection_loss(self, request_id: str = "") -> None:
        """Drop the connection and repeat the open request on a new one.

        Parameters
        ----------
        request_id : str
            The request that could not be delivered; empty if the connection
            broke independently of a request.
        """
        if self._open is None or not self._open.request_id:
            self._connection = ""
        elif request_id in ("", self._open.request_id):
            self._connection = ""
            self._open.request_id = ""
            self._world.queue.after(RETRY_DELAY_MS, self._repeat_request)

    def handle_reply(self, request_id: str, content: object) -> None:
        """Handle a reply, unless it belongs to an earlier request."""
        if self._open is None or request_id != self._open.request_id:
            return
        self._open.request_id = ""
        if isinstance(content, IssuedIds):
            self._handle_issued_ids(content)
        elif isinstance(content, Answer):
            self._handle_answer(content)

    def _repeat_request(self) -> None:
        if self._open is not None and not self._open.request_id:
            self._send_next_request()

    def _send_next_request(self) -> None:
        job = self._open
        job.request_count += 1
        if job.request_count > MAX_REQUESTS_PER_JOB:
            self._finish_job(Fate.RUNNING, "gave_up")
            return
        if not self._connection:
            self._connection = self._world.choose_instance(self._random)
        self._request_count += 1
        job.request_id = f"{self._name}/{self._request_count}"
        self._world.send_request(self, self._connection, self._build_request(job))

    def _build_request(self, job: OpenJob) -> Event:
        team = job.job.spec.team
        if not job.submission_id:
            self._world.traffic.count_wasted("ids", 2)
            return IdsRequested(job.request_id, team, 1)
        if job.cancelled:
            self._world.traffic.count_wasted("cancel", 2)
            return JobCancelled(job.request_id, job.submission_id, team)
        if job.accepted:
            self._world.traffic.count_wasted("ask", 2)
            return AnswerRequested(
                job.request_id, job.submission_id, team, MAX_ANSWER_WAIT_MS
            )
        return JobSubmitted(
            job.request_id, job.submission_id, job.job.spec, MAX_ANSWER_WAIT_MS
        )

    def _handle_issued_ids(self, issued: IssuedIds) -> None:
        if issued.submission_ids:
            self._open.submission_id = issued.submission_ids[0]
            self._send_next_request()
        else:
            self._world.queue.after(RETRY_DELAY_MS, self._repeat_request)

    def _handle_answer(self, answer: Answer) -> None:
        job = self._open
        self._world.check_submission_id(job, answer)
        if answer.fate is Fate.RUNNING or not answer.final:
            # Only an answer without a kind shows that the owner has the job.
            job.accepted = not answer.kind
            delay_ms = max(answer.retry_after_ms, RETRY_DELAY_MS)
            self._world.queue.after(delay_ms, self._repeat_request)
            return
        if not job.submission_id:
            # The request for ids was refused: send it to another instance.
            self._connection = ""
            self._world.queue.after(RETRY_DELAY_MS, self._repeat_request)
            return
        self._world.ground_truth.record_answer(answer, job.job)
        self._next_submission_id = answer.next_submission_id
        self._next_id_team = job.job.spec.team
        self._finish_job(answer.fate, answer.kind, answer.detail)

    def _finish_job(self, fate: Fate, kind: str, detail: str = "") -> None:
        job, self._open = self._open, None
        response_ms = self._world.now - job.submitted_at_ms
        end = JobEnd(
            job.job,
            fate,
            kind,
            job.submission_id,
            response_ms,
            job.request_count,
            detail,
        )
        self._on_job_end(self, end)


class CallerPool:
    """Callers of all teams; an idle caller submits the next job of its team."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._idle: dict[str, list[Caller]] = {}
        self._callers: list[Caller] = []
        self._ends: list[JobEnd] = []

    @property
    def ends(self) -> list[JobEnd]:
        """The results of the jobs that ended, in order of time."""
        return self._ends

    @property
    def callers(self) -> list[Caller]:
        """All callers, in order of creation."""
        return self._callers

    @property
    def open_jobs(self) -> int:
        """The number of jobs without a final answer."""
        return len(self._callers) - sum(len(idle) for idle in self._idle.values())

    def submit_planned_job(self, job: PlannedJob) -> None:
        """Submit a job through an idle caller of its team, or a new one."""
        self._world.observer.on_job_submitted(job)
        idle = self._idle.setdefault(job.spec.team, [])
        if idle:
            caller = idle.pop(self._random.randrange(len(idle)))
        else:
            name = f"caller-{len(self._callers)}"
            caller = Caller(self._world, name, self._random, self._handle_job_end)
            self._callers.append(caller)
        caller.submit_planned_job(job)

    def _handle_job_end(self, caller: Caller, end: JobEnd) -> None:
        self._ends.append(end)
        self._world.observer.on_job_end(end)
        self._idle[end.job.spec.team].append(caller)
