"""Election of the scheduler, loss of leadership, and isolated availability zones."""

from sassafrasloft.leadership.state import (
    LeadershipRecord,
    LeadershipState,
    PeerStream,
    Role,
)

__all__ = ["LeadershipRecord", "PeerStream", "LeadershipState", "Role"]
