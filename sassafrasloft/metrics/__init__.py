"""Counters, gauges and histograms in the Prometheus text format."""

from sassafrasloft.metrics.registry import MetricsRegistry

__all__ = ["MetricsRegistry"]
