"""The edges of an instance: one event loop for all of its connections.

House style asks for waitress and urllib3; docs/design-platform.md says why an
instance uses asyncio and httptools in their place.
"""
