"""Follows the configuration, the scheduler's right and the list of runners."""

from returns.result import Failure, Success

from sassafrasloft.blackboard import Controller, Event, Started, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallStore, SetHttpLimits
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    ConfigurationAdopted,
    ConfigurationOffered,
    RightGained,
    RunnersListed,
    StoreItemChanged,
    StoreReplied,
)
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.metadata.operations import (
    Item,
    ListedItems,
    ListItems,
    StoreFailure,
    StoreReply,
    WatchedChanges,
    WatchItems,
)
from sassafrasloft.runs import RunnerEntry

WATCH_TIMER = "metadata.watch"
RUNNERS_TIMER = "metadata.runners"


@CONTROLLERS.register("metadata", order=10)
class MetadataController(Controller):
    """Owns `board.configuration`; posts what else it reads."""

    handles = (Started, StoreReplied, TimerFired, RightGained, ConfigurationOffered)

    def __init__(self) -> None:
        self._watch_call = 0
        self._runners_call = 0
        self._revision = -1
        """Of the store, up to which changes are known; -1 to read all."""

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle replies and timers."""
        if isinstance(event, StoreReplied):
            if event.call_id == self._watch_call:
                self._watch_call = 0
                self._take_watch(event.reply, board)
            elif event.call_id == self._runners_call:
                self._runners_call = 0
                self._take_runners(event.reply, board)
        elif isinstance(event, Started):
            self._watch(board)
            self._list_runners(board)
        elif isinstance(event, RightGained):
            # An open call may bring a list from before the right was gained.
            self._runners_call = 0
            self._list_runners(board, fresh=True)
        elif isinstance(event, ConfigurationOffered):
            self._adopt(event.document, "another instance", board)
        elif isinstance(event, TimerFired):
            if event.name == WATCH_TIMER:
                self._watch(board)
            elif event.name == RUNNERS_TIMER:
                self._list_runners(board)

    # Configuration and right

    def _watch(self, board: InstanceBoard) -> None:
        if self._watch_call:
            return
        tuning = board.tuning
        prefix = board.documents.watched_prefix
        if self._revision < 0:
            operation = ListItems(prefix)
            timeout = tuning.store_timeout_ms
        else:
            operation = WatchItems(prefix, self._revision, tuning.watch_ms)
            timeout = tuning.watch_ms + tuning.store_timeout_ms
        self._watch_call = board.fresh_id()
        board.emit(CallStore(self._watch_call, operation, timeout))

    def _take_watch(self, reply: StoreReply, board: InstanceBoard) -> None:
        if isinstance(reply, StoreFailure):
            self._note_reachable(False, reply.reason, board)
            # A list is answered at once: the store's return shows sooner.
            self._revision = -1
            board.set_timer(WATCH_TIMER, board.tuning.store_retry_ms)
            return
        self._note_reachable(True, "", board)
        if isinstance(reply, WatchedChanges):
            if reply.lost_history:
                board.log("store_history_lost", after_revision=self._revision)
                self._revision = -1
            else:
                self._revision = max(self._revision, reply.revision)
                for item in reply.changes:
                    self._take_item(item, board)
        elif isinstance(reply, ListedItems):
            self._take_list(reply, board)
        board.configuration.confirmed_at = board.now
        self._watch(board)

    def _take_list(self, reply: ListedItems, board: InstanceBoard) -> None:
        self._revision = reply.revision
        for item in reply.items:
            self._take_item(item, board)
        right_key = board.documents.right_key
        if all(item.key != right_key for item in reply.items):
            board.post(StoreItemChanged(right_key, b"", 0))

    def _take_item(self, item: Item, board: InstanceBoard) -> None:
        if item.key == board.documents.configuration_key:
            if item.deleted:
                board.log("configuration_deleted", "WARNING")
            else:
                self._adopt(item.value, "store", board)
        elif item.key == board.documents.right_key:
            board.post(StoreItemChanged(item.key, item.value, item.revision))

    def _adopt(self, document: bytes, source: str, board: InstanceBoard) -> None:
        match board.documents.read_configuration(document):
            case Failure(reason):
                board.log("configuration_unreadable", "ERROR", reason=reason)
            case Success(configuration):
                before = board.configuration.current.version
                if not board.configuration.adopt(configuration, board.now):
                    return
                board.configuration.document = document
                board.auditor.check(
                    InstanceInvariant.CONFIGURATION_NEVER_REVERTS,
                    board.configuration.current.version > before,
                    f"version {configuration.version} after {before}",
                )
                board.log(
                    "configuration_adopted",
                    version=configuration.version,
                    before=before,
                    source=source,
                    routes=len(configuration.routes),
                )
                board.emit(SetHttpLimits(configuration.limits))
                board.post(ConfigurationAdopted(configuration))

    def _note_reachable(
        self, reachable: bool, reason: str, board: InstanceBoard
    ) -> None:
        if reachable == board.configuration.store_reachable:
            return
        board.configuration.store_reachable = reachable
        if reachable:
            board.configuration.store_regained_at = board.now
            board.log("store_regained")
        else:
            age = board.now - board.configuration.confirmed_at
            board.log("store_lost", "WARNING", reason=reason, last_answer_ms=age)

    # Runners

    def _list_runners(self, board: InstanceBoard, fresh: bool = False) -> None:
        if self._runners_call:
            return
        known = board.pool.entries_read_at >= 0
        stale = known and not (fresh or board.pool.active)
        self._runners_call = board.fresh_id()
        operation = ListItems(board.documents.runners_prefix, may_be_stale=stale)
        timeout = board.tuning.store_timeout_ms
        board.emit(CallStore(self._runners_call, operation, timeout))

    def _take_runners(self, reply: StoreReply, board: InstanceBoard) -> None:
        tuning = board.tuning
        period = tuning.runner_list_ms if board.pool.active else tuning.standby_list_ms
        board.set_timer(RUNNERS_TIMER, period)
        if not isinstance(reply, ListedItems):
            return
        entries: list[RunnerEntry] = []
        for item in reply.items:
            match board.documents.read_runner(item.key, item.value):
                case Success(entry):
                    entries.append(entry)
                case Failure(reason):
                    board.count("runner_entries_unreadable")
                    board.log("runner_entry_unreadable", key=item.key, reason=reason)
        board.post(RunnersListed(tuple(entries)))
