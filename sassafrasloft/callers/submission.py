"""Submits jobs and waits for their final answers, despite lost connections."""

from collections.abc import Callable
from random import Random

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.callers.client import AnswerResult, DispatcherClient
from sassafrasloft.callers.errors import RequestRefused, ServiceUnreachable
from sassafrasloft.clock import Clock, Milliseconds
from sassafrasloft.errors import SassafrasloftError
from sassafrasloft.jobs import Answer, JobSpec

Progress = Callable[[str], None]
Sleep = Callable[[Milliseconds], None]


@attrs.frozen
class SubmissionLimits:
    """Limits for waits and retries.

    Parameters
    ----------
    wait_ms : Milliseconds
        Maximum time that one request waits for the answer.
    give_up_ms : Milliseconds
        Time after which no further request is sent.
    first_delay_ms, max_delay_ms : Milliseconds
        Bounds of the retry delay, which doubles with each failure.
    """

    wait_ms: Milliseconds = 20_000
    give_up_ms: Milliseconds = 120_000
    first_delay_ms: Milliseconds = 200
    max_delay_ms: Milliseconds = 5_000


class JobSubmission:
    """Waits for final answers and resubmits jobs under the same submission id.

    Parameters
    ----------
    client : DispatcherClient
        Sends single requests.
    clock : Clock
        Source of the current time.
    sleep : callable
        Sleeps for the given number of milliseconds.
    random : random.Random
        Randomises the retry delays, so that callers do not retry all at once.
    progress : callable
        Receives progress messages for the user.
    limits : SubmissionLimits, optional
        Limits for waits and retries.
    """

    def __init__(
        self,
        client: DispatcherClient,
        clock: Clock,
        sleep: Sleep,
        random: Random,
        progress: Progress = lambda line: None,
        limits: SubmissionLimits | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._sleep = sleep
        self._random = random
        self._progress = progress
        self._limits = limits or SubmissionLimits()
        self._is_uncertain = False

    @property
    def is_uncertain(self) -> bool:
        """Whether an earlier request of the last call may have started the job."""
        return self._is_uncertain

    def new_id(self) -> Result[str, SassafrasloftError]:
        """Request an unused submission id, without submitting a job."""
        return self._repeat_until(
            self._client.new_ids, lambda ids: True, "waiting for a submission id"
        ).map(lambda ids: ids[0])

    def submit(self, submission_id: str, job: JobSpec) -> AnswerResult:
        """Submit a job and return its final answer, or the last one received."""
        wait_ms = self._limits.wait_ms
        is_accepted = False

        def request() -> AnswerResult:
            nonlocal is_accepted
            if is_accepted:
                result = self._client.ask(submission_id, wait_ms, job)
            else:
                result = self._client.submit(submission_id, job, wait_ms)
            # After a failure, the next instance may not know the job: resubmit it.
            is_accepted = isinstance(result, Success) and not result.unwrap().kind
            return result

        return self._repeat_until(request, lambda answer: answer.final, submission_id)

    def ask(self, submission_id: str) -> AnswerResult:
        """Return the final answer of a job, or the last one received."""
        return self._repeat_until(
            lambda: self._client.ask(submission_id, self._limits.wait_ms),
            lambda answer: answer.final,
            submission_id,
        )

    def cancel(self, submission_id: str) -> AnswerResult:
        """Cancel a job and return its final answer, or the last one received."""
        result = self._repeat_until(
            lambda: self._client.cancel(submission_id),
            # A non-final answer with an error kind means that the cancellation has
            # not reached the instance that owns the job.
            lambda answer: answer.final or not answer.kind,
            "cancel",
        )
        if isinstance(result, Success) and not result.unwrap().final:
            return self.ask(submission_id)
        return result

    def _repeat_until(
        self,
        request: Callable[[], Result],
        is_sufficient: Callable[[object], bool],
        subject: str,
    ) -> Result:
        """Repeat a request until its reply is sufficient or the time is up."""
        started_ms = self._clock.now()
        delay_ms = self._limits.first_delay_ms
        self._is_uncertain = False
        while True:
            sent_ms = self._clock.now()
            result = request()
            if isinstance(result, Success) and is_sufficient(result.unwrap()):
                return result
            if isinstance(result, Failure):
                error = result.failure()
                if isinstance(error, RequestRefused):
                    return result
                after_ms = error.retry_after_ms
            else:
                after_ms = result.unwrap().retry_after_ms
            self._is_uncertain = True
            elapsed_ms = self._clock.now() - started_ms
            self._progress(f"{elapsed_ms / 1000:.1f} s: {_describe(result)}")
            # A request that waited for long is repeated immediately, because the
            # wait itself limits the request rate.
            waited_ms = self._clock.now() - sent_ms
            if isinstance(result, Success) and waited_ms >= self._limits.wait_ms / 2:
                pause_ms, delay_ms = 0, self._limits.first_delay_ms
            else:
                pause_ms = max(after_ms, self._random.randint(delay_ms // 2, delay_ms))
                delay_ms = min(2 * delay_ms, self._limits.max_delay_ms)
            if elapsed_ms + pause_ms >= self._limits.give_up_ms:
                self._progress(f"no final answer within the time limit: {subject}")
                return result
            self._sleep(pause_ms)


def _describe(result: Result[Answer, ServiceUnreachable]) -> str:
    if isinstance(result, Failure):
        error = result.failure()
        return f"no answer from {error.subject} ({error.found}); retrying"
    return result.unwrap().detail or "the job has not ended yet"
