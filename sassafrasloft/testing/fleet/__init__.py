"""Simulates instances, a store and runners with faults in one event queue."""

from sassafrasloft.testing.fleet.auditing import FleetAudit, GuaranteeViolated
from sassafrasloft.testing.fleet.command_execution import TestJob
from sassafrasloft.testing.fleet.documents import JsonDocuments
from sassafrasloft.testing.fleet.world import FleetWorld

__all__ = ["FleetAudit", "FleetWorld", "GuaranteeViolated", "JsonDocuments", "TestJob"]
