"""Which instance schedules: the right to it, its loss, and zones on their own."""

from sassafrasloft.leadership.state import RightRecord, Rights, Role, StreamState

__all__ = ["RightRecord", "Rights", "Role", "StreamState"]
