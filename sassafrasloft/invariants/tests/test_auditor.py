"""Tests that violated invariants are counted and raised."""

import pytest

from sassafrasloft.errors import InvariantViolated
from sassafrasloft.invariants import InvariantChecker, invariants


@pytest.mark.parametrize("invariant", invariants())
def test_strict_auditor_raises_violation(invariant):
    """Guards against an invariant that is checked but not enforced."""
    with pytest.raises(InvariantViolated, match=invariant.value):
        InvariantChecker(strict=True).check(invariant, False, "broken on purpose")


@pytest.mark.parametrize("invariant", invariants())
def test_lenient_auditor_counts_violation(invariant):
    """Guards against a violation that is missing from the metrics."""
    auditor = InvariantChecker(strict=False)
    assert not auditor.check(invariant, False)
    assert auditor.check(invariant, True)
    assert auditor.violations[invariant] == 1
    assert auditor.checks[invariant] == 2
