"""Invariants of the service, checked where its state changes."""

from sassafrasloft.invariants.auditor import Auditor
from sassafrasloft.invariants.registry import InstanceInvariant, Invariant, invariants

__all__ = ["Auditor", "InstanceInvariant", "Invariant", "invariants"]
