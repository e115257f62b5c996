"""The entry process: the decision core of an instance and its I/O layer."""

from sassafrasloft.entry.assembly import ControllersMissing, build_core
from sassafrasloft.entry.service import EntryService

__all__ = ["ControllersMissing", "EntryService", "build_core"]
