"""Jobs as callers submit them, and the routes by which they arrive."""

from sassafrasloft.workload.configuration import (
    EMPTY_CONFIGURATION,
    HttpLimits,
    Route,
    ServiceConfiguration,
    ServicePolicy,
)
from sassafrasloft.workload.jobs import JobRequest, Resources, StepRequest, task_name
from sassafrasloft.workload.positional_encoding import from_positional, to_positional

__all__ = [
    "EMPTY_CONFIGURATION",
    "HttpLimits",
    "JobRequest",
    "Resources",
    "Route",
    "ServiceConfiguration",
    "ServicePolicy",
    "StepRequest",
    "from_positional",
    "task_name",
    "to_positional",
]
