"""The promises of the system, asserted where the state changes."""

from sassafrasloft.invariants.auditor import Auditor
from sassafrasloft.invariants.registry import InstanceInvariant, Invariant, invariants

__all__ = ["Auditor", "InstanceInvariant", "Invariant", "invariants"]
