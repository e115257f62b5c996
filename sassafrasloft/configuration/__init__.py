"""Adopted settings, the lease, the list of instances and calls to the platform."""

from sassafrasloft.configuration.documents import (
    CheckedDocument,
    DocumentParser,
    adopt_settings,
    settings_key,
)
from sassafrasloft.configuration.instance_list import InstanceListController
from sassafrasloft.configuration.leases import LeasesController
from sassafrasloft.configuration.platform_calls import (
    PlatformCallCompleted,
    PlatformCallsController,
    delay_next_call,
    discard_call,
    is_call_pending,
    request_call,
)
from sassafrasloft.configuration.settings_in_force import SettingsInForceController

__all__ = [
    "DocumentParser",
    "CheckedDocument",
    "InstanceListController",
    "LeasesController",
    "PlatformCallCompleted",
    "PlatformCallsController",
    "SettingsInForceController",
    "delay_next_call",
    "discard_call",
    "is_call_pending",
    "adopt_settings",
    "request_call",
    "settings_key",
]
