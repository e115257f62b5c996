"""Interface of observers that are notified of events in a world."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from sassafrasloft.core import Command, Event

if TYPE_CHECKING:
    from sassafrasloft.testing.callers import JobEnd
    from sassafrasloft.testing.hosts import InstanceHost
    from sassafrasloft.testing.workload import PlannedJob


class Observer:
    """Base class of observers, with callbacks that do nothing.

    An observer must not change the world or draw random numbers, so that a run
    is the same with and without it.
    """

    def on_step(
        self, host: InstanceHost, event: Event, commands: Sequence[Command]
    ) -> None:
        """Handle one step of an instance, before its commands are carried out."""

    def on_instance_start(self, host: InstanceHost) -> None:
        """Handle the start of an instance's process, before its first step."""

    def on_instance_end(self, host: InstanceHost) -> None:
        """Handle the end of an instance's process, whether planned or not."""

    def on_job_submitted(self, job: PlannedJob) -> None:
        """Handle the submission of a job by a caller."""

    def on_job_end(self, end: JobEnd) -> None:
        """Handle the final answer to a job at its caller."""
