"""Several instances, a store and runners in one event queue, with faults."""

from sassafrasloft.testing.fleet.auditing import FleetAudit, PromiseBroken
from sassafrasloft.testing.fleet.documents import JsonDocuments
from sassafrasloft.testing.fleet.edges import TestJob
from sassafrasloft.testing.fleet.world import FleetWorld

__all__ = ["FleetAudit", "FleetWorld", "JsonDocuments", "PromiseBroken", "TestJob"]
