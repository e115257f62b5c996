"""Tests of the decisions about runs."""
