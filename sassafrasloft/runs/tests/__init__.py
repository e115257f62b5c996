"""Tests of polling runners and of runner health."""
