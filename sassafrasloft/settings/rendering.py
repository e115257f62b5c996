"""Rendering of settings as YAML."""

import attrs
import yaml

from sassafrasloft.settings.model import ServiceSettings
from sassafrasloft.settings.rules import (
    NAMED_SECTIONS,
    SECTIONS,
    SERVICE_KEYS,
    fields_of,
)

_DUMPER = getattr(yaml, "CSafeDumper", yaml.SafeDumper)
_LINE_WIDTH = 1_000
"""Wide enough to keep each named entry on one line, which makes diffs readable."""


def dump_yaml(value: object) -> str:
    """Return plain values as YAML, with keys in their given order."""
    return yaml.dump(
        value,
        Dumper=_DUMPER,
        sort_keys=False,
        allow_unicode=True,
        width=_LINE_WIDTH,
        default_flow_style=None,
    )


def settings_values(
    settings: ServiceSettings, with_defaults: bool = False
) -> dict[str, object]:
    """Return settings as plain values in the form of a base file."""
    values: dict[str, object] = {}
    for key in SERVICE_KEYS:
        value = getattr(settings, key)
        values[key] = list(value) if key == "zones" else value
    for section in NAMED_SECTIONS:
        values[section] = {
            item.name: _non_default_values(section, item, with_defaults)
            for item in getattr(settings, section)
        }
    for section in SECTIONS:
        differing = _non_default_values(
            section, getattr(settings, section), with_defaults
        )
        if differing:
            values[section] = differing
    return values


def _non_default_values(
    section: str, item: attrs.AttrsInstance, with_defaults: bool
) -> dict[str, object]:
    return {
        key: getattr(item, key)
        for key, field in fields_of(section).items()
        if with_defaults or field.required or getattr(item, key) != field.default
    }


def render_settings(settings: ServiceSettings, with_defaults: bool = False) -> str:
    """Return settings as the text of a base file.

    Parameters
    ----------
    with_defaults : bool
        Whether to include values that equal the default.
    """
    return dump_yaml(settings_values(settings, with_defaults))
