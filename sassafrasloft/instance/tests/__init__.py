"""Tests of the parts of an instance."""
