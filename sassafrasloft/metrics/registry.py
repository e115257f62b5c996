"""The registry of the metrics of one process."""

import re
from collections.abc import Iterable
from threading import Lock

import attrs
from hdrh.histogram import HdrHistogram

from sassafrasloft.clock import Milliseconds

MAX_SERIES = 2_000
"""Further series are dropped and counted, so that label values from clients cannot
exhaust the memory."""
MAX_HISTOGRAMS = 64
"""Each histogram takes about 0.1 MB of the 64 MB of an instance."""
MIN_RECORDED_MS: Milliseconds = 1
MAX_RECORDED_MS: Milliseconds = 3_600_000
"""One hour; longer times are recorded as one hour."""
SIGNIFICANT_DIGITS = 3
PREFIX = "sassafrasloft_"
DROPPED_SERIES_COUNTER = "metrics_series_dropped"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
_INVALID_NAME_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")

Labels = tuple[tuple[str, str], ...]


@attrs.frozen(order=True)
class Series:
    """One time series: a metric name with its label values."""

    name: str
    labels: Labels = ()


class _Histogram:
    """A histogram of samples in milliseconds, with their exact sum."""

    def __init__(self) -> None:
        self.values = HdrHistogram(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        self.sum_ms = 0

    def record(self, value_ms: Milliseconds) -> None:
        value_ms = max(0, value_ms)
        self.values.record_value(min(value_ms, MAX_RECORDED_MS))
        self.sum_ms += value_ms


class MetricsRegistry:
    """Counters, gauges and histograms, safe for use by several threads.

    Names are passed without the prefix ``sassafrasloft_``. Histogram samples are in
    milliseconds.
    """

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        self._lock = Lock()
        self._max_series = max_series
        self._counters: dict[Series, int] = {}
        self._gauges: dict[Series, float] = {}
        self._histograms: dict[Series, _Histogram] = {}

    def add(self, name: str, amount: int = 1, labels: Labels = ()) -> None:
        """Increment a counter by an amount."""
        series = Series(name, labels)
        with self._lock:
            if self._has_capacity(self._counters, series):
                self._counters[series] = self._counters.get(series, 0) + amount

    def set_counter(self, name: str, value: int, labels: Labels = ()) -> None:
        """Set a counter that is maintained elsewhere, such as in the decision core."""
        series = Series(name, labels)
        with self._lock:
            if self._has_capacity(self._counters, series):
                self._counters[series] = value

    def set_gauge(self, name: str, value: float, labels: Labels = ()) -> None:
        """Set the value of a gauge."""
        series = Series(name, labels)
        with self._lock:
            if self._has_capacity(self._gauges, series):
                self._gauges[series] = value

    def record(self, name: str, value_ms: Milliseconds, labels: Labels = ()) -> None:
        """Add one sample in milliseconds to a histogram."""
        series = Series(name, labels)
        with self._lock:
            histogram = self._histograms.get(series)
            if histogram is None:
                if len(self._histograms) >= MAX_HISTOGRAMS:
                    self._count_dropped_series()
                    return
                histogram = self._histograms[series] = _Histogram()
            histogram.record(value_ms)

    def record_all(self, samples: Iterable[tuple[str, Milliseconds]]) -> None:
        """Add the samples that the decision core has collected."""
        for name, value_ms in samples:
            self.record(name, value_ms)

    def counter(self, name: str, labels: Labels = ()) -> int:
        """Return the value of a counter, or 0 if it does not exist."""
        with self._lock:
            return self._counters.get(Series(name, labels), 0)

    def quantile_ms(
        self, name: str, quantile: float, labels: Labels = ()
    ) -> Milliseconds:
        """Return a quantile of a histogram in milliseconds, or 0 without samples."""
        with self._lock:
            histogram = self._histograms.get(Series(name, labels))
            return _quantile_ms(histogram, quantile) if histogram else 0

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            lines = [
                *_scalar_lines(self._counters, "counter", "_total"),
                *_scalar_lines(self._gauges, "gauge", ""),
                *_histogram_lines(self._histograms),
            ]
        return "\n".join(lines) + "\n" if lines else ""

    def _has_capacity(self, table: dict, series: Series) -> bool:
        if series in table:
            return True
        if len(self._counters) + len(self._gauges) < self._max_series:
            return True
        self._count_dropped_series()
        return False

    def _count_dropped_series(self) -> None:
        dropped = Series(DROPPED_SERIES_COUNTER)
        self._counters[dropped] = self._counters.get(dropped, 0) + 1


def _quantile_ms(histogram: _Histogram, quantile: float) -> Milliseconds:
    if not histogram.values.total_count:
        return 0
    return int(histogram.values.get_value_at_percentile(quantile * 100))


def _metric_name(name: str, suffix: str = "") -> str:
    metric_name = _INVALID_NAME_CHARACTER.sub("_", name)
    if not metric_name.startswith(PREFIX):
        metric_name = PREFIX + metric_name
    return metric_name if metric_name.endswith(suffix) else metric_name + suffix


def _escape_label_value(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = (
        f'{_INVALID_NAME_CHARACTER.sub("_", key)}="{_escape_label_value(str(v))}"'
        for key, v in labels
    )
    return "{" + ",".join(pairs) + "}"


def _scalar_lines(table: dict[Series, float], kind: str, suffix: str) -> list[str]:
    lines: list[str] = []
    previous = ""
    for series in sorted(table):
        name = _metric_name(series.name, suffix)
        if name != previous:
            lines.append(f"# TYPE {name} {kind}")
            previous = name
        lines.append(f"{name}{_format_labels(series.labels)} {table[series]}")
    return lines


def _histogram_lines(table: dict[Series, _Histogram]) -> list[str]:
    lines: list[str] = []
    previous = ""
    for series in sorted(table):
        name = _metric_name(series.name, "_ms")
        if name != previous:
            lines.append(f"# TYPE {name} summary")
            previous = name
        histogram = table[series]
        for quantile in QUANTILES:
            labels = (*series.labels, ("quantile", str(quantile)))
            value = _quantile_ms(histogram, quantile)
            lines.append(f"{name}{_format_labels(labels)} {value}")
        text = _format_labels(series.labels)
        lines.append(f"{name}_sum{text} {histogram.sum_ms}")
        lines.append(f"{name}_count{text} {histogram.values.total_count}")
    return lines
