"""Transport with scripted replies, and submissions with a simulated clock."""

from random import Random

import attrs
from returns.result import Failure, Success

from sassafrasloft.callers import (
    DispatcherClient,
    HttpReply,
    JobSubmission,
    ServiceUnreachable,
    SubmissionLimits,
)
from sassafrasloft.clock import ManualClock
from sassafrasloft.jobs import Answer, Fate, JobSpec, TaskOutcome, TaskSpec

ID = "north-1.ab.1.5.c0ffee"
JOB = JobSpec("crews", (TaskSpec("km-1"), TaskSpec("km-2")))
OUTCOMES = tuple(TaskOutcome(task.name, Fate.COMPLETE, "ok") for task in JOB.tasks)
COMPLETE = Answer(ID, Fate.COMPLETE, outcomes=OUTCOMES)
RUNNING = Answer(ID, Fate.RUNNING, retry_after_ms=500, final=False)
UNREACHABLE = Answer(ID, Fate.RUNNING, kind="owner_unreachable", final=False)
CONNECTION_LOST = "lost"


def reply(answer: Answer, status: int = 200) -> HttpReply:
    return HttpReply(status, attrs.asdict(answer))


class FakeTransport:
    """Returns each scripted reply once, then fails; `CONNECTION_LOST` fails too."""

    def __init__(self, *replies: object) -> None:
        self._replies = list(replies)
        self.sent: list[str] = []

    def send(self, method, path, body=None, wait_ms=0):
        self.sent.append(f"{method} {path.partition('?')[0]}")
        scripted = self._replies.pop(0) if self._replies else CONNECTION_LOST
        if isinstance(scripted, HttpReply):
            return Success(scripted)
        if isinstance(scripted, Answer):
            return Success(reply(scripted))
        return Failure(ServiceUnreachable("127.0.0.1:1", "reset"))


def make_submission(
    transport: FakeTransport, give_up_ms: int = 60_000
) -> tuple[JobSubmission, ManualClock]:
    clock = ManualClock()
    limits = SubmissionLimits(give_up_ms=give_up_ms)
    return JobSubmission(
        DispatcherClient(transport), clock, clock.advance, Random(1), limits=limits
    ), clock
