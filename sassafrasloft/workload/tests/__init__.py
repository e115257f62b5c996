"""Tests of jobs and their packed form."""
