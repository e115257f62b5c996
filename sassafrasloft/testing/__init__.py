"""Deterministic simulation of a service: real decision cores, simulated I/O.

One event queue drives the cores of all instances; the network, the runners, the
platform and the callers are simulated.
"""

from sassafrasloft.testing.callers import JobEnd
from sassafrasloft.testing.faults import FaultPlan, fault_names, inject_fault
from sassafrasloft.testing.network import Network
from sassafrasloft.testing.services import make_settings, make_world
from sassafrasloft.testing.workload import Workload, draw_jobs, ideal_response_ms
from sassafrasloft.testing.world import World

__all__ = [
    "FaultPlan",
    "JobEnd",
    "Network",
    "Workload",
    "World",
    "draw_jobs",
    "fault_names",
    "ideal_response_ms",
    "inject_fault",
    "make_settings",
    "make_world",
]
