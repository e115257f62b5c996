"""Tests of instances with stand-ins in one event queue."""
