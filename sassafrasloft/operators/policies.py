"""The names of the registered policies, for the check of settings."""

from sassafrasloft.dispatch import admissions, orders, placements
from sassafrasloft.settings.loading import KnownPolicies


def known_policies() -> KnownPolicies:
    """Return the names that `dispatch.order`, `placement`, `admission` may have."""
    return {
        "order": frozenset(orders()),
        "placement": frozenset(placements()),
        "admission": frozenset(admissions()),
    }
