"""Election of the scheduler, loss of leadership, and isolated availability zones."""

from sassafrasloft.leadership.state import LeadershipRecord, PeerStream, Rights, Role

__all__ = ["LeadershipRecord", "PeerStream", "Rights", "Role"]
