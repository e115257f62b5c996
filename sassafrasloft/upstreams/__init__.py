"""State of the runners in one instance: capacity, health, draining and open tasks.

The controllers track the capacity and health of each runner, detect runners that
are leaving, query the state of overdue tasks, and decide which incarnations of
runners may be given work.
"""

from sassafrasloft.upstreams.capacity import connection_share
from sassafrasloft.upstreams.faults import FaultsController
from sassafrasloft.upstreams.gossip import gossip_of
from sassafrasloft.upstreams.leaving import LeavingController, assert_not_leaving
from sassafrasloft.upstreams.runners import RunnersController
from sassafrasloft.upstreams.settling import SettlingController
from sassafrasloft.upstreams.trust import TrustController

__all__ = [
    "FaultsController",
    "LeavingController",
    "RunnersController",
    "SettlingController",
    "TrustController",
    "assert_not_leaving",
    "connection_share",
    "gossip_of",
]
