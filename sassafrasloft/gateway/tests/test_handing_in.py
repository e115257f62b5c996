"""The order in which open jobs go to another scheduler."""

from sassafrasloft.gateway.handing_in import BATCH, begin, next_batch
from sassafrasloft.gateway.requests import OpenJob, OpenRequests
from sassafrasloft.testing.fleet.tests.situations import LOOKUP
from sassafrasloft.testing.fleet.world import simple_job


def open_jobs(count, sent):
    requests = OpenRequests()
    for number in range(count):
        request = simple_job(number, 1, 1_000, 60)
        job = OpenJob(request, LOOKUP, 0, 1_500, 100.0, sent=number in sent)
        requests.jobs[request.job_id] = job
    return requests


def batch(requests):
    return [job.job.job_id for job in next_batch(requests)]


def test_jobs_that_may_have_run_go_first_and_each_goes_once():
    """Guards against runs that are stopped as unknown before their job arrives."""
    requests = open_jobs(BATCH + 4, sent={3, BATCH + 1})
    names = list(requests.jobs)
    begin(requests.jobs.values(), requests)
    first, second, third = batch(requests), batch(requests), batch(requests)
    assert first[:2] == [names[3], names[BATCH + 1]]
    assert len(first) == BATCH
    assert sorted(first + second) == names
    assert third == []


def test_jobs_whose_callers_left_meanwhile_are_not_handed_in():
    """Guards against work for nobody."""
    requests = open_jobs(3, sent=())
    names = list(requests.jobs)
    begin(requests.jobs.values(), requests)
    del requests.jobs[names[1]]
    assert batch(requests) == [names[0], names[2]]


def test_jobs_that_the_last_scheduler_had_are_handed_in_to_this_one():
    """Guards against jobs without an answer at an instance that takes over itself."""
    requests = open_jobs(2, sent={0, 1})
    for job in requests.jobs.values():
        job.sent_to_current = True
    begin(requests.jobs.values(), requests)
    assert batch(requests) == list(requests.jobs)
