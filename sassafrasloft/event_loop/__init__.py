"""The I/O layer of an instance: one event loop serves all of its connections.

An instance uses asyncio and httptools in place of waitress and urllib3, which the
house style asks for; docs/design-platform.md gives the reasons.
"""
