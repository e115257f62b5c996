"""Tests of the decisions about the right to schedule."""
