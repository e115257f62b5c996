"""Invariants of the service, checked where its state changes."""

from sassafrasloft.invariants.auditor import InvariantChecker
from sassafrasloft.invariants.registry import InstanceInvariant, Invariant, invariants

__all__ = ["InvariantChecker", "InstanceInvariant", "Invariant", "invariants"]
