"""Metrics, trace spans and log lines of jobs that have ended."""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.tracing import record_span
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob


def record_outcome(
    job: ScheduledJob,
    outcome: JobOutcome,
    reason: str,
    board: InstanceBoard,
) -> None:
    """Record the outcome of a job in metrics, logs and traces.

    The decision log of a job is written only if the job failed or ended late.
    """
    duration = board.now - job.arrived_at
    board.count(f"jobs_{outcome.value}")
    board.measure(f"job_{outcome.value}", duration)
    if job.first_start_at >= 0:
        waited = job.first_start_at - job.arrived_at
        board.measure(f"waiting_priority_{job.priority}", waited)
        ran = board.now - job.first_start_at
        board.measure(f"running_priority_{job.priority}", ran)
    failed = outcome is not JobOutcome.COMPLETED
    late = duration > job.objective_ms
    if failed or late:
        for at, event, detail in job.decision_log:
            board.log_request(
                f"job_{event}",
                failed=True,
                job=job.job_id,
                detail=detail,
                ago_ms=board.now - at,
            )
    board.log_request(
        "job_ended",
        failed=failed or late,
        job=job.job_id,
        route=job.route.name,
        outcome=outcome.value,
        reason=reason,
        duration_ms=duration,
        objective_ms=round(job.objective_ms),
        starts=sum(task.starts for task in job.tasks.values()),
    )
    if job.span is not None:
        record_span(
            board,
            job.span,
            job.gateway_span,
            "schedule",
            job.accepted_at,
            job=job.job_id,
            outcome=outcome.value,
        )
