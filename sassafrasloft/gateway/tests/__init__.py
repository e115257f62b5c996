"""Tests of the decisions about requests."""
