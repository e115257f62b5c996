"""The order in which open jobs are handed in to another scheduler.

Load pattern: after a takeover all instances hand in all of their open jobs again, on
top of new ones.
"""

from collections.abc import Iterable, Iterator

from sassafrasloft.gateway.requests import OpenJob, OpenRequests

BATCH = 16
"""At once, and with each beat of the scheduler, whose pace is that of its processor.
On a calm day an instance has fewer open jobs."""


def begin(jobs: Iterable[OpenJob], requests: OpenRequests) -> None:
    """Let jobs wait for their turn; first those that may have run."""
    ordered = sorted(jobs, key=lambda job: not job.sent)
    requests.handing_in.clear()
    for job in ordered:
        # An instance that becomes the scheduler itself has not lost the last one.
        job.sent_to_current = False
        requests.handing_in.append(job.job.job_id)


def next_batch(requests: OpenRequests) -> Iterator[OpenJob]:
    """Return the jobs whose turn it is and that still wait for an answer."""
    for _ in range(min(BATCH, len(requests.handing_in))):
        job = requests.jobs.get(requests.handing_in.popleft())
        if job is not None and not job.sent_to_current:
            yield job
