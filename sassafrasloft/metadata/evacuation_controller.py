"""Keeps what is known of evacuated zones, and tells the scheduler.

The store may reach an instance and not its scheduler. A follower therefore sends what
it knows when it changes, and when it begins to follow another scheduler.
"""

from sassafrasloft.blackboard import Controller, Event
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    EvacuationsChanged,
    EvacuationsRead,
    EvacuationsReported,
    SchedulerChanged,
)
from sassafrasloft.instance.messages import EvacuationReport
from sassafrasloft.leadership.state import Role
from sassafrasloft.metadata.evacuations import ZoneEvacuation


@CONTROLLERS.register("evacuations", order=25)
class EvacuationController(Controller):
    """The only writer of `board.evacuations`."""

    handles = (EvacuationsRead, EvacuationsReported, SchedulerChanged)

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Apply what the store or another instance says, and pass it on."""
        if isinstance(event, EvacuationsRead):
            self._apply(event.records, "store", board)
            if event.list_revision >= 0:
                self._apply_missing(event, board)
        elif isinstance(event, EvacuationsReported):
            self._apply(event.records, "another instance", board)
        elif isinstance(event, SchedulerChanged) and board.evacuations.records:
            self._report(board)

    def _apply_missing(self, event: EvacuationsRead, board: InstanceBoard) -> None:
        listed = {one.zone: one.revision for one in event.records}
        missing = board.evacuations.missing_from_list(listed, event.list_revision)
        self._apply(missing, "store", board)

    def _apply(
        self, records: list[ZoneEvacuation], source: str, board: InstanceBoard
    ) -> None:
        changed = board.evacuations.merge(records)
        for one in changed:
            self._log(one, source, board)
        if changed:
            board.post(EvacuationsChanged())
            self._report(board)

    @staticmethod
    def _log(record: ZoneEvacuation, source: str, board: InstanceBoard) -> None:
        if record.evacuated:
            board.count("zones_evacuated")
            board.log(
                "zone_evacuated",
                zone=record.zone,
                revision=record.revision,
                source=source,
                runs=board.pool.runs_in({record.zone}),
            )
        else:
            board.count("zones_given_back")
            board.log(
                "zone_given_back",
                zone=record.zone,
                revision=record.revision,
                source=source,
            )

    @staticmethod
    def _report(board: InstanceBoard) -> None:
        """Send what is known to the scheduler that this instance follows."""
        leadership = board.leadership
        if leadership.role is Role.FOLLOWING and leadership.scheduler_reads_evacuations:
            report = EvacuationReport(board.evacuations.records)
            board.emit(SendMessage(leadership.scheduler_stream_id, report))
