"""Checks of a configuration before an operator publishes it.

Every rule names the part of the configuration, what was found and the remedy. Rules are
functions in a registry, so that a further one needs no change elsewhere.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum

import attrs

from sassafrasloft.workload.configuration import (
    HttpLimits,
    Route,
    ServiceConfiguration,
    ServicePolicy,
)


class Severity(StrEnum):
    """How much a finding matters."""

    ERROR = "error"
    """The configuration does not do what it says."""
    WARNING = "warning"
    """It may be meant so, but callers suffer if it is not."""


@attrs.frozen
class Finding:
    """One finding about a part of a configuration."""

    severity: Severity
    subject: str
    found: str
    remedy: str


@attrs.frozen
class Change:
    """A part of a configuration that differs from the version in force.

    Parameters
    ----------
    subject : str
    before, after : str
        The values; empty if the part was added or removed.
    """

    subject: str
    before: str
    after: str


Rule = Callable[[ServiceConfiguration], Iterator[Finding]]
_RULES: list[Rule] = []


def configuration_rule(rule: Rule) -> Rule:
    """Register a rule that every configuration is checked by."""
    _RULES.append(rule)
    return rule


def check_configuration(
    configuration: ServiceConfiguration, in_force: ServiceConfiguration | None = None
) -> list[Finding]:
    """Return all findings about a configuration, errors first.

    Parameters
    ----------
    configuration : ServiceConfiguration
    in_force : ServiceConfiguration, optional
        The version that the new one is to replace.
    """
    found = [one for rule in _RULES for one in rule(configuration)]
    if in_force is not None and configuration.version <= in_force.version:
        found.append(
            Finding(
                Severity.ERROR,
                "version",
                f"{configuration.version}, and {in_force.version} is in force",
                "publish it with a higher version; instances keep the highest",
            )
        )
    return sorted(found, key=lambda one: (one.severity is not Severity.ERROR,))


def changes_between(
    before: ServiceConfiguration, after: ServiceConfiguration
) -> list[Change]:
    """Return what differs between two versions, field by field."""
    changes = _changed_entries("route", before.routes, after.routes)
    changes += _changed_entries("service", before.services, after.services)
    changes += _changed_fields("limits", before.limits, after.limits)
    return changes


def _changed_entries(
    kind: str,
    before: tuple[Route | ServicePolicy, ...],
    after: tuple[Route | ServicePolicy, ...],
) -> list[Change]:
    old = {one.name: one for one in before}
    new = {one.name: one for one in after}
    changes = [Change(f"{kind} {name}", "present", "") for name in old.keys() - new]
    changes += [Change(f"{kind} {name}", "", "present") for name in new.keys() - old]
    changes.sort(key=lambda one: one.subject)
    for name in (one for one in old if one in new):
        changes += _changed_fields(f"{kind} {name}", old[name], new[name])
    return changes


def _changed_fields(subject: str, old: object, new: object) -> list[Change]:
    return [
        Change(
            f"{subject}.{field.name}",
            str(getattr(old, field.name)),
            str(getattr(new, field.name)),
        )
        for field in attrs.fields(type(old))
        if getattr(old, field.name) != getattr(new, field.name)
    ]


# Rules


@configuration_rule
def _repeated_names(configuration: ServiceConfiguration) -> Iterator[Finding]:
    for kind, entries in (
        ("route", configuration.routes),
        ("service", configuration.services),
    ):
        for name, count in Counter(one.name for one in entries).items():
            if count > 1:
                yield Finding(
                    Severity.ERROR,
                    f"{kind} {name}",
                    f"{count} entries have this name",
                    "give each entry a name of its own",
                )


@configuration_rule
def _routes_that_never_match(configuration: ServiceConfiguration) -> Iterator[Finding]:
    first: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        place = (route.host, route.prefix)
        subject = f"route {route.name}"
        if place in first:
            yield Finding(
                Severity.ERROR,
                subject,
                f"never matches: route {first[place]} has the same host and prefix",
                "remove one of them, or change its host or prefix",
            )
        first.setdefault(place, route.name)
        if not route.prefix.startswith("/"):
            yield Finding(
                Severity.ERROR,
                subject,
                f"never matches: prefix {route.prefix!r} does not begin with /",
                "begin the prefix with /",
            )
        if not route.host or route.host != route.host.strip() or ":" in route.host:
            yield Finding(
                Severity.ERROR,
                subject,
                f"never matches: host {route.host!r} is no plain host name",
                "write the host name without a port and spaces",
            )


@configuration_rule
def _prefixes_without_slash(configuration: ServiceConfiguration) -> Iterator[Finding]:
    for route in configuration.routes:
        if route.prefix.startswith("/") and not route.prefix.endswith("/"):
            yield Finding(
                Severity.WARNING,
                f"route {route.name}",
                f"prefix {route.prefix!r} does not end with /",
                "end the prefix with /, or other paths that begin so match as well",
            )


@configuration_rule
def _services(configuration: ServiceConfiguration) -> Iterator[Finding]:
    services = {one.name: one for one in configuration.services}
    used = {route.service for route in configuration.routes}
    for route in configuration.routes:
        service = services.get(route.service)
        if service is None:
            yield Finding(
                Severity.ERROR,
                f"route {route.name}",
                f"there is no service {route.service!r}",
                "add the service, or correct its name in the route",
            )
        elif service.standby:
            yield Finding(
                Severity.WARNING,
                f"route {route.name}",
                f"the machines of service {route.service!r} are off (standby)",
                "take the service out of standby before callers use the route",
            )
    for name in services:
        if name not in used:
            yield Finding(
                Severity.WARNING,
                f"service {name}",
                "no route uses it",
                "add a route, or remove the service",
            )


@configuration_rule
def _limits_of_routes(configuration: ServiceConfiguration) -> Iterator[Finding]:
    for route in configuration.routes:
        subject = f"route {route.name}"
        if route.max_attempts < 1:
            yield Finding(
                Severity.ERROR,
                subject,
                f"{route.max_attempts} attempts: no task can fail or complete",
                "allow at least one attempt",
            )
        if 0 < route.timeout_ms <= route.target_latency_ms:
            yield Finding(
                Severity.ERROR,
                subject,
                f"callers wait {route.timeout_ms} ms, and the objective is at least "
                f"{route.target_latency_ms} ms",
                "set the timeout above the objective",
            )
        if route.slack_factor < 1.0:
            yield Finding(
                Severity.ERROR,
                subject,
                f"slack factor {route.slack_factor}: the objective is shorter than "
                "the work",
                "set the slack factor to at least 1",
            )


@configuration_rule
def _http_limits(configuration: ServiceConfiguration) -> Iterator[Finding]:
    limits = configuration.limits
    for field in attrs.fields(HttpLimits):
        if getattr(limits, field.name) <= 0:
            yield Finding(
                Severity.ERROR,
                f"limits.{field.name}",
                f"{getattr(limits, field.name)}: no request can arrive",
                "set it above 0",
            )
    longest = max((one.timeout_ms for one in configuration.routes), default=0)
    if 0 < limits.idle_timeout_ms < longest:
        yield Finding(
            Severity.WARNING,
            "limits.idle_timeout_ms",
            f"{limits.idle_timeout_ms} ms, and callers wait up to {longest} ms",
            "set it above the longest timeout, so that connections are used again",
        )
