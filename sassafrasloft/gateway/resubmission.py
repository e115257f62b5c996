"""The order in which open jobs are resubmitted to a new scheduler.

Load pattern: after a takeover, all instances resubmit all of their open jobs at once,
in addition to new jobs.
"""

from collections.abc import Iterable, Iterator

from sassafrasloft.gateway.requests import OpenJob, OpenRequests

BATCH_SIZE = 16
"""Jobs resubmitted at once, and again with each heartbeat of the scheduler. Heartbeats
slow down with the scheduler's processor, so that they pace the resubmission. Without
an overload, an instance has fewer open jobs than this."""


def enqueue(jobs: Iterable[OpenJob], requests: OpenRequests) -> None:
    """Queue jobs for resubmission; jobs that may have run go first."""
    ordered = sorted(jobs, key=lambda job: not job.sent)
    requests.awaiting_resubmission.clear()
    for job in ordered:
        # An instance that becomes the scheduler itself gets no loss of the previous
        # scheduler reported, so that the flag may still be set.
        job.sent_to_scheduler = False
        requests.awaiting_resubmission.append(job.job.job_id)


def next_batch(requests: OpenRequests) -> Iterator[OpenJob]:
    """Dequeue the next batch and yield its jobs that are still open and not sent."""
    for _ in range(min(BATCH_SIZE, len(requests.awaiting_resubmission))):
        job = requests.jobs.get(requests.awaiting_resubmission.popleft())
        if job is not None and not job.sent_to_scheduler:
            yield job
