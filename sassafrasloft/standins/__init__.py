"""Stand-ins of the platform and of runners, for tests and demonstrations."""

from sassafrasloft.standins.platform import PlatformLimits, PlatformLogic
from sassafrasloft.standins.runner import (
    Delivery,
    OfferedTask,
    RunnerLimits,
    RunnerLogic,
    expected_result,
)

__all__ = [
    "Delivery",
    "OfferedTask",
    "PlatformLimits",
    "PlatformLogic",
    "RunnerLimits",
    "RunnerLogic",
    "expected_result",
]
