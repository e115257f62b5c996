"""Tests of leadership: load monitor, intake limiter and takeovers."""
