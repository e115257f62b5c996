"""Checks that involve several settings, registered by a decorator."""

from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from sassafrasloft.settings.model import ServiceSettings


@attrs.frozen
class Finding:
    """A violation found by a check: the key, what is wrong and the remedy."""

    key: str
    found: str
    remedy: str


Check = Callable[[ServiceSettings], Iterator[Finding]]
_CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check of the settings; its docstring appears in docs/settings.md."""
    _CHECKS.append(check)
    return check


def registered_checks() -> tuple[Check, ...]:
    """Return the checks in order of registration."""
    return tuple(_CHECKS)


@register_check
def zones_are_known(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that the zone of each instance and runner is one of `zones`."""
    known = ", ".join(settings.zones) or "none"
    for section in ("instances", "runners"):
        for item in getattr(settings, section):
            if item.zone not in settings.zones:
                yield Finding(
                    f"{section}.{item.name}.zone",
                    f"zone {item.zone!r} is not in `zones`",
                    f"Use one of: {known}.",
                )


@register_check
def names_are_unique(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that no zone is listed twice and no instance is named like a runner."""
    for zone, count in Counter(settings.zones).items():
        if count > 1:
            yield Finding("zones", f"{zone!r} is listed {count} times", "Keep one.")
    runners = {runner.name for runner in settings.runners}
    for instance in settings.instances:
        if instance.name in runners:
            yield Finding(
                f"instances.{instance.name}",
                "a runner has the same name",
                "Rename one of the two.",
            )


@register_check
def addresses_are_unique(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that no address is used twice."""
    owners = {settings.platform.address: "platform.address"}
    for key, address in _addresses(settings):
        if address in owners:
            found = f"address {address} is also that of {owners[address]}"
            yield Finding(key, found, "Give each its own address or port.")
        owners.setdefault(address, key)


def _addresses(settings: ServiceSettings) -> Iterator[tuple[str, str]]:
    for item in settings.instances:
        key = f"instances.{item.name}"
        yield f"{key}.callers_address", item.callers_address
        yield f"{key}.peers_address", item.peers_address
        yield f"{key}.operators_address", item.operators_address
    for runner in settings.runners:
        yield f"runners.{runner.name}.address", runner.address


@register_check
def tokens_are_unique(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that no two teams share an access token."""
    owners: dict[str, str] = {}
    for team in settings.teams:
        if team.token_sha256 and team.token_sha256 in owners:
            yield Finding(
                f"teams.{team.name}.token_sha256",
                f"team {owners[team.token_sha256]} has the same token",
                "Give each team its own token.",
            )
        owners.setdefault(team.token_sha256, team.name)


@register_check
def sections_are_not_empty(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that there is at least one zone, instance, runner and team."""
    for section in ("zones", "instances", "runners", "teams"):
        if not getattr(settings, section):
            yield Finding(section, "nothing is listed", "List at least one.")


@register_check
def related_durations_are_ordered(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that the shorter of two related durations is not above the longer."""
    for section, low, high in (
        ("platform", "retry_delay_ms", "max_retry_delay_ms"),
        ("platform", "watch_wait_ms", "watch_silence_ms"),
        ("upstreams", "eject_ms", "max_eject_ms"),
        ("upstreams", "overdue_min_ms", "overdue_max_ms"),
        ("upstreams", "settle_limit_ms", "result_retention_ms"),
        ("membership", "gossip_period_ms", "peer_silence_ms"),
    ):
        values = getattr(settings, section)
        if getattr(values, low) > getattr(values, high):
            yield Finding(
                f"{section}.{low}",
                f"{getattr(values, low)} is above {high}, {getattr(values, high)}",
                f"Lower `{low}` or raise `{high}`.",
            )


@register_check
def pause_limit_is_within_the_lease(settings: ServiceSettings) -> Iterator[Finding]:
    """Check that `membership.pause_limit_ms` is not above `platform.lease_ms`.

    An instance whose process was paused for longer than its lease may have been
    declared gone. It must have given up its authority by then.
    """
    limit_ms = settings.membership.pause_limit_ms
    if limit_ms > settings.platform.lease_ms:
        yield Finding(
            "membership.pause_limit_ms",
            f"{limit_ms} is above platform.lease_ms, {settings.platform.lease_ms}",
            "Lower it to the lease or raise the lease.",
        )


@register_check
def runners_accept_all_instances_of_the_zone(
    settings: ServiceSettings,
) -> Iterator[Finding]:
    """Check that a runner accepts a connection of each instance in its zone."""
    in_zone = Counter(instance.zone for instance in settings.instances)
    for runner in settings.runners:
        count = in_zone[runner.zone]
        if runner.connections < count:
            yield Finding(
                f"runners.{runner.name}.connections",
                f"{runner.connections} connections for {count} instances in its zone",
                f"Give at least {count}.",
            )
