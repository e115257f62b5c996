"""Ground truth of a simulated run, against which each answer is checked."""

import attrs

from sassafrasloft.errors import InvariantViolated
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Answer, Fate, TaskKey
from sassafrasloft.standins.runner import expected_result
from sassafrasloft.testing.workload import PlannedJob


@attrs.define
class GroundTruth:
    """Task starts seen at the runners and final answers seen at the callers.

    Parameters
    ----------
    starts : dict of TaskKey to str
        The runner that started each task.
    started_submissions : set of str
        Submission ids of the jobs of which some task started.
    answers : dict of str to Fate
        First final fate that a caller received, by submission id.
    finished_tasks : int
        Number of tasks in completely answered jobs.
    """

    starts: dict[TaskKey, str] = attrs.field(factory=dict)
    started_submissions: set[str] = attrs.field(factory=set)
    answers: dict[str, Fate] = attrs.field(factory=dict)
    finished_tasks: int = 0

    def record_start(self, key: TaskKey, runner: str) -> None:
        """Record that a runner started a task.

        Raises
        ------
        InvariantViolated
            If the task had already started, or its job was answered "not run".
        """
        if key in self.starts:
            detail = f"{key} started on {self.starts[key]} and on {runner}"
            raise InvariantViolated(Invariant.STARTS_AT_MOST_ONCE.value, detail)
        if self.answers.get(key.submission_id) is Fate.NOT_RUN:
            detail = f"{key} started on {runner} after its caller was told not run"
            raise InvariantViolated(Invariant.NOT_RUN_IS_TRUE.value, detail)
        self.starts[key] = runner
        self.started_submissions.add(key.submission_id)

    def record_answer(self, answer: Answer, job: PlannedJob) -> None:
        """Check and record a final answer that reached the caller of a job.

        Raises
        ------
        InvariantViolated
            If the answer is partial, contradicts what happened, or belongs to
            another job.
        """
        submission_id = answer.submission_id
        if answer.fate is Fate.COMPLETE:
            self._check_complete_answer(answer, job)
            self.finished_tasks += len(job.spec.tasks)
        elif answer.outcomes:
            detail = f"{submission_id} failed with {len(answer.outcomes)} outcomes"
            raise InvariantViolated(Invariant.ANSWERS_ARE_WHOLE.value, detail)
        if answer.fate is Fate.NOT_RUN and submission_id in self.started_submissions:
            detail = f"{submission_id} was answered not run after a start"
            raise InvariantViolated(Invariant.NOT_RUN_IS_TRUE.value, detail)
        self._check_consistency(answer)

    def _check_complete_answer(self, answer: Answer, job: PlannedJob) -> None:
        names = [outcome.name for outcome in answer.outcomes]
        if names != [task.name for task in job.spec.tasks]:
            detail = f"{answer.submission_id} has outcomes {names[:5]}"
            raise InvariantViolated(Invariant.ANSWERS_ARE_WHOLE.value, detail)
        for outcome, task in zip(answer.outcomes, job.spec.tasks, strict=True):
            wanted = expected_result(task)
            if outcome.fate is not Fate.COMPLETE or outcome.result != wanted:
                detail = f"{answer.submission_id}: {outcome} where {wanted!r} is due"
                raise InvariantViolated(
                    Invariant.ANSWER_REACHES_ITS_CALLER.value, detail
                )

    def _check_consistency(self, answer: Answer) -> None:
        before = self.answers.setdefault(answer.submission_id, answer.fate)
        contradiction = {before, answer.fate} == {Fate.COMPLETE, Fate.NOT_RUN}
        if contradiction:
            detail = f"{answer.submission_id}: {before}, later {answer.fate}"
            raise InvariantViolated(Invariant.NOT_RUN_IS_TRUE.value, detail)
