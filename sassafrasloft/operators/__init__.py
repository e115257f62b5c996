"""The operators' tool: settings, status and planned stops."""

from sassafrasloft.operators.changes import (
    SettingsChange,
    SiteChanges,
    changes_between,
    render_changes,
    site_changes,
)
from sassafrasloft.operators.instances import OperatorClient
from sassafrasloft.operators.service_files import (
    ServiceFiles,
    read_service,
    service_of_document,
)
from sassafrasloft.operators.status_report import InstanceStatus, StatusReport

__all__ = [
    "InstanceStatus",
    "OperatorClient",
    "ServiceFiles",
    "SettingsChange",
    "SiteChanges",
    "StatusReport",
    "changes_between",
    "read_service",
    "render_changes",
    "service_of_document",
    "site_changes",
]
