"""Tests of the edges on an event loop, over loopback."""
