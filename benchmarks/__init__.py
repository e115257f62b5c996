"""Measurements and long runs; see docs/benchmarks.md."""
