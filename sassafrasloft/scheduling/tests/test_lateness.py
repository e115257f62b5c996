"""Detection of callers that send a job again."""

import attrs

from sassafrasloft.scheduling.lateness import MIN_SAMPLES, CallerRetryDetector
from sassafrasloft.workload import Route

ROUTE = Route("confirm", "callers.example", "/confirm/", "desk", 1, 2, 1.6, 60, 1_500)


def test_less_remaining_time_than_the_timeout_is_a_caller_retry():
    detector = CallerRetryDetector()
    assert not detector.record_request(ROUTE, 1_500)
    assert detector.record_request(ROUTE, 1_499)


def test_caller_retries_are_detected_right_after_a_restart():
    """Guards against a detection that needs a history, which a restart discards."""
    detector = CallerRetryDetector()
    assert all(detector.record_request(ROUTE, 300) for _ in range(MIN_SAMPLES // 2))


def test_a_timeout_above_the_usual_waiting_time_gives_no_retries():
    """Guards against taking all jobs for caller retries after a timeout is raised."""
    detector = CallerRetryDetector()
    long_timeout = attrs.evolve(ROUTE, timeout_ms=6_000)
    for _ in range(MIN_SAMPLES):
        detector.record_request(long_timeout, 2_500)
    assert not detector.record_request(long_timeout, 2_500)


def test_caller_retries_are_detected_again_once_the_timeout_is_restored():
    detector = CallerRetryDetector()
    long_timeout = attrs.evolve(ROUTE, timeout_ms=6_000)
    for _ in range(2 * MIN_SAMPLES):
        detector.record_request(long_timeout, 2_500)
    for _ in range(8 * MIN_SAMPLES):
        assert not detector.record_request(ROUTE, 2_500)
    assert detector.record_request(ROUTE, 700)
