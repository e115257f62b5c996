"""Tests of what is read from the store."""
