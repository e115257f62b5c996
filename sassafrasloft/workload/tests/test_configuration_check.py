"""What the check of a configuration finds before it is published."""

import attrs
import pytest

from sassafrasloft.workload.configuration import (
    HttpLimits,
    Route,
    ServiceConfiguration,
    ServicePolicy,
)
from sassafrasloft.workload.configuration_check import (
    Change,
    Severity,
    changes_between,
    check_configuration,
)

ROUTE = Route("lookup", "desk.example", "/lookup/", "desk", 0, 2, 1.6, 60, 1_500)
OTHER = attrs.evolve(ROUTE, name="order", prefix="/order/")
SOUND = ServiceConfiguration(7, (ROUTE, OTHER), (ServicePolicy("desk"),))


def with_route(**changes):
    return attrs.evolve(SOUND, routes=(attrs.evolve(ROUTE, **changes), OTHER))


def test_sound_configuration_has_no_findings():
    """Guards against findings that operators learn to ignore."""
    assert check_configuration(SOUND) == []


@pytest.mark.parametrize(
    ("configuration", "severity", "subject", "found"),
    [
        (with_route(name="order"), "error", "route order", "2 entries"),
        (with_route(prefix="/order/"), "error", "route order", "never matches"),
        (with_route(prefix="lookup/"), "error", "route lookup", "never matches"),
        (with_route(host="desk.example:80"), "error", "route lookup", "never"),
        (with_route(prefix="/lookup"), "warning", "route lookup", "not end"),
        (with_route(service="gone"), "error", "route lookup", "no service"),
        (with_route(max_attempts=0), "error", "route lookup", "0 attempts"),
        (with_route(timeout_ms=60), "error", "route lookup", "callers wait 60 ms"),
        (with_route(slack_factor=0.9), "error", "route lookup", "slack factor 0.9"),
        (with_route(timeout_ms=60_000), "warning", "limits.idle", "15000 ms"),
        (
            attrs.evolve(SOUND, services=(ServicePolicy("desk", standby=True),)),
            "warning",
            "route lookup",
            "are off",
        ),
        (
            attrs.evolve(SOUND, services=(*SOUND.services, ServicePolicy("spare"))),
            "warning",
            "service spare",
            "no route",
        ),
        (
            attrs.evolve(SOUND, limits=HttpLimits(body_bytes=0)),
            "error",
            "limits.body_bytes",
            "no request can arrive",
        ),
    ],
)
def test_fault_is_found_with_a_remedy(configuration, severity, subject, found):
    """Guards against a configuration that is published with this fault."""
    findings = [
        one
        for one in check_configuration(configuration)
        if one.severity == severity and one.subject.startswith(subject)
    ]
    assert any(found in one.found for one in findings)
    assert all(one.remedy for one in findings)


def test_version_has_to_be_above_the_one_in_force():
    """Guards against a change that no instance adopts."""
    assert check_configuration(SOUND, attrs.evolve(SOUND, version=6)) == []
    (finding,) = check_configuration(SOUND, SOUND)
    assert (finding.severity, finding.subject) == (Severity.ERROR, "version")


def test_errors_come_first():
    """Guards against errors that are lost among warnings."""
    routes = (attrs.evolve(ROUTE, prefix="/lookup"), attrs.evolve(OTHER, service="x"))
    severities = [
        one.severity for one in check_configuration(attrs.evolve(SOUND, routes=routes))
    ]
    assert severities == sorted(severities)


def test_changes_name_each_field():
    """Guards against a change that an operator overlooks."""
    after = ServiceConfiguration(
        8,
        (attrs.evolve(ROUTE, timeout_ms=900), attrs.evolve(OTHER, name="confirm")),
        SOUND.services,
        HttpLimits(body_bytes=9),
    )
    assert changes_between(SOUND, after) == [
        Change("route confirm", "", "present"),
        Change("route order", "present", ""),
        Change("route lookup.timeout_ms", "1500", "900"),
        Change("limits.body_bytes", "262144", "9"),
    ]
