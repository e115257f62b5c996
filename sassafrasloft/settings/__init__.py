"""The settings of a service: model, loading, overlays and checks."""

from sassafrasloft.settings.documents import (
    MAX_RECENT_EDIT_IDS,
    ParsedSettingsDocument,
    check_document,
    parse_document,
    render_document,
)
from sassafrasloft.settings.loading import (
    SourceText,
    load_settings,
    parse_settings,
    read_source,
)
from sassafrasloft.settings.model import (
    DispatchSettings,
    InstanceSettings,
    LimitSettings,
    MembershipSettings,
    PlatformSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
    TelemetrySettings,
    UpstreamSettings,
)
from sassafrasloft.settings.problems import SettingsError
from sassafrasloft.settings.reading import is_address, is_name
from sassafrasloft.settings.rendering import render_settings, settings_values

__all__ = [
    "MAX_RECENT_EDIT_IDS",
    "ParsedSettingsDocument",
    "SettingsError",
    "SourceText",
    "check_document",
    "is_address",
    "is_name",
    "load_settings",
    "parse_document",
    "parse_settings",
    "read_source",
    "render_document",
    "render_settings",
    "settings_values",
    "DispatchSettings",
    "InstanceSettings",
    "LimitSettings",
    "MembershipSettings",
    "PlatformSettings",
    "RunnerSettings",
    "ServiceSettings",
    "TeamSettings",
    "TelemetrySettings",
    "UpstreamSettings",
]
