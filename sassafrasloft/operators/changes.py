"""What differs between two versions of a service's settings."""

from collections.abc import Mapping

import attrs

from sassafrasloft.settings import ServiceSettings, settings_values

ABSENT = "(absent)"


@attrs.frozen
class SettingsChange:
    """One key whose value differs; `ABSENT` stands for no value."""

    key: str
    old: str
    new: str


@attrs.frozen
class SiteChanges:
    """Changes that are the same in some availability zones."""

    zones: tuple[str, ...]
    changes: tuple[SettingsChange, ...]


def changes_between(
    old: ServiceSettings, new: ServiceSettings
) -> tuple[SettingsChange, ...]:
    """Return the changes of effective values; an added thing is one change."""
    changes: list[SettingsChange] = []
    _compare(settings_values(old, True), settings_values(new, True), "", changes)
    return tuple(changes)


def _compare(old: object, new: object, path: str, changes: list) -> None:
    if old == new:
        return
    if not (isinstance(old, Mapping) and isinstance(new, Mapping)):
        changes.append(SettingsChange(path, _shown(old), _shown(new)))
        return
    for key in [*old, *(key for key in new if key not in old)]:
        below = f"{path}.{key}" if path else key
        _compare(old.get(key, ABSENT), new.get(key, ABSENT), below, changes)


def _shown(value: object) -> str:
    if isinstance(value, Mapping):
        pairs = (f"{key}: {_shown(item)}" for key, item in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_shown, value)) + "]"
    return str(value) if value != "" else "''"


def site_changes(
    old: Mapping[str, ServiceSettings], new: Mapping[str, ServiceSettings]
) -> tuple[SiteChanges, ...]:
    """Return the changes by zone, zones with the same changes together."""
    groups: dict[tuple[SettingsChange, ...], list[str]] = {}
    for zone in [*old, *(zone for zone in new if zone not in old)]:
        if zone not in new:
            changes = (SettingsChange("zone", zone, ABSENT),)
        elif zone not in old:
            changes = (SettingsChange("zone", ABSENT, zone),)
        else:
            changes = changes_between(old[zone], new[zone])
        if changes:
            groups.setdefault(changes, []).append(zone)
    return tuple(SiteChanges(tuple(zones), found) for found, zones in groups.items())


def render_changes(sites: tuple[SiteChanges, ...]) -> str:
    """Return changes as lines: `+` added, `-` removed, `~` changed."""
    if not sites:
        return "no differences\n"
    lines: list[str] = []
    for site in sites:
        lines.append(f"in {', '.join(site.zones)}:")
        for change in site.changes:
            if change.old == ABSENT:
                lines.append(f"  + {change.key}: {change.new}")
            elif change.new == ABSENT:
                lines.append(f"  - {change.key}: {change.old}")
            else:
                lines.append(f"  ~ {change.key}: {change.old} -> {change.new}")
    return "\n".join(lines) + "\n"
