"""Tests of the event loop and its I/O layer, partly over loopback connections."""
