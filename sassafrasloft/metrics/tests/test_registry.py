"""Tests of the metrics registry and its Prometheus text."""

from sassafrasloft.metrics import MetricsRegistry
from sassafrasloft.metrics.registry import MAX_HISTOGRAMS, MAX_RECORDED_MS


def test_rendered_text_has_types_labels_and_quantiles():
    registry = MetricsRegistry()
    registry.add("messages_forward", 2, (("peer", 'a"b\n'),))
    registry.set_counter("jobs", 7)
    registry.set_gauge("waiting tasks", 3)
    registry.record_all([("job_response_ms", value) for value in range(1, 101)])
    assert registry.render().splitlines() == [
        "# TYPE sassafrasloft_jobs_total counter",
        "sassafrasloft_jobs_total 7",
        "# TYPE sassafrasloft_messages_forward_total counter",
        'sassafrasloft_messages_forward_total{peer="a\\"b\\n"} 2',
        "# TYPE sassafrasloft_waiting_tasks gauge",
        "sassafrasloft_waiting_tasks 3",
        "# TYPE sassafrasloft_job_response_ms summary",
        'sassafrasloft_job_response_ms{quantile="0.5"} 50',
        'sassafrasloft_job_response_ms{quantile="0.9"} 90',
        'sassafrasloft_job_response_ms{quantile="0.99"} 99',
        'sassafrasloft_job_response_ms{quantile="0.999"} 100',
        "sassafrasloft_job_response_ms_sum 5050",
        "sassafrasloft_job_response_ms_count 100",
    ]


def test_samples_outside_the_range_are_clamped():
    registry = MetricsRegistry()
    registry.record("wait_ms", -5)
    registry.record("wait_ms", MAX_RECORDED_MS * 10)
    assert registry.quantile_ms("wait_ms", 0.01) == 0
    assert registry.quantile_ms("wait_ms", 1.0) >= MAX_RECORDED_MS
    assert registry.quantile_ms("absent", 0.5) == 0


def test_series_and_histograms_are_limited_in_number():
    registry = MetricsRegistry(max_series=3)
    for number in range(9):
        registry.add("refused", labels=(("team", f"team-{number}"),))
        registry.set_gauge("queue", 1, (("team", f"team-{number}"),))
    for number in range(MAX_HISTOGRAMS + 1):
        registry.record(f"histogram_{number}", 1)
    dropped = 18 - 3 + 1
    assert registry.counter("metrics_series_dropped") == dropped
