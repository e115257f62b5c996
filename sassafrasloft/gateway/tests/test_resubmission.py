"""Tests of the order in which open jobs are resubmitted to a new scheduler."""

from sassafrasloft.gateway.requests import OpenJob, OpenRequests
from sassafrasloft.gateway.resubmission import BATCH_SIZE, enqueue, next_batch
from sassafrasloft.testing.fleet.tests.situations import LOOKUP
from sassafrasloft.testing.fleet.world import simple_job


def open_jobs(count, sent):
    requests = OpenRequests()
    for number in range(count):
        request = simple_job(number, 1, 1_000, 60)
        job = OpenJob(request, LOOKUP, 0, 1_500, 100.0, sent=number in sent)
        requests.jobs[request.job_id] = job
    return requests


def next_ids(requests):
    return [job.job.job_id for job in next_batch(requests)]


def test_jobs_that_may_have_run_are_resubmitted_first_and_each_job_once():
    """Guards against runs that are stopped as unknown before their job arrives."""
    requests = open_jobs(BATCH_SIZE + 4, sent={3, BATCH_SIZE + 1})
    job_ids = list(requests.jobs)
    enqueue(requests.jobs.values(), requests)
    first, second, third = (
        next_ids(requests),
        next_ids(requests),
        next_ids(requests),
    )
    assert first[:2] == [job_ids[3], job_ids[BATCH_SIZE + 1]]
    assert len(first) == BATCH_SIZE
    assert sorted(first + second) == job_ids
    assert third == []


def test_jobs_without_remaining_callers_are_not_resubmitted():
    """Guards against running jobs whose callers have disconnected meanwhile."""
    requests = open_jobs(3, sent=())
    job_ids = list(requests.jobs)
    enqueue(requests.jobs.values(), requests)
    del requests.jobs[job_ids[1]]
    assert next_ids(requests) == [job_ids[0], job_ids[2]]


def test_jobs_of_the_previous_scheduler_are_resubmitted_to_the_new_one():
    """Guards against jobs that get no answer at an instance that takes over itself."""
    requests = open_jobs(2, sent={0, 1})
    for job in requests.jobs.values():
        job.sent_to_scheduler = True
    enqueue(requests.jobs.values(), requests)
    assert next_ids(requests) == list(requests.jobs)
