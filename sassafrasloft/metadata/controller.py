"""Reads the configuration, the leadership record and the runner list from the store."""

from returns.result import Failure, Success

from sassafrasloft.blackboard import Controller, Event, Started, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallStore, SetHttpLimits
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    ConfigurationAdopted,
    ConfigurationOffered,
    EvacuationsRead,
    LeadershipGained,
    RunnerEntryOutdated,
    RunnersListed,
    StoreItemChanged,
    StoreReplied,
)
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.metadata.evacuations import ZoneEvacuation
from sassafrasloft.metadata.operations import (
    Item,
    ListedItems,
    ListItems,
    StoreFailure,
    StoreReply,
    TransferLimits,
    WatchedChanges,
    WatchItems,
)
from sassafrasloft.runs import RunnerEntry

WATCH_TIMER = "metadata.watch"
RUNNERS_TIMER = "metadata.runners"
BASE64_FACTOR = 4 / 3
SLOW_LINK_BYTES_PER_MS = 1_562
"""12.5 Mbit/s: the slowest link of an instance."""
STORE_LINK_BYTES_PER_MS = 125_000
"""1,000 Mbit/s, which all instances share."""
LONG_TRANSFER_MS = 1_000
"""Half of the time within which a configuration has to be applied."""
PROBE_WAIT_MS = 1
"""Duration of a watch that only asks for the changes that have happened."""
STANDBY_ENTRIES_PER_MS = 30
"""Limit of entries of runners that all instances read which do not schedule: about
100 Mbit/s, a tenth of the store's link."""
MIN_LIST_PERIOD_MS = 200
"""Shortest time between two lists of runners; many runners may restart together."""
FIRST_LIST_SPREAD_MS = 1_000
"""After a start of all instances their first lists are spread over this time. A
scheduler reads its own list at once."""


@CONTROLLERS.register("metadata", order=10)
class MetadataController(Controller):
    """Owns `board.configuration`; posts events for the other items that it reads."""

    handles = (
        Started,
        StoreReplied,
        TimerFired,
        LeadershipGained,
        ConfigurationOffered,
        RunnerEntryOutdated,
    )

    def __init__(self) -> None:
        self._watch_call = 0
        self._runners_call = 0
        self._read_entries: dict[str, tuple[int, RunnerEntry | None]] = {}
        """By key: the revision of each item of the last list of runners, and the entry
        that was read from it; None if it is unreadable."""
        self._known_revision = -1
        """Store revision up to which changes are known; -1 to list all items."""
        self._failure_reason = ""
        """Why the last call for changes failed; empty if it succeeded."""

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle store replies, timers, new leadership and reported configurations."""
        if isinstance(event, StoreReplied):
            if event.call_id == self._watch_call:
                self._watch_call = 0
                self._handle_watch_reply(event.reply, board)
            elif event.call_id == self._runners_call:
                self._runners_call = 0
                self._handle_runner_list(event.reply, board)
        elif isinstance(event, Started):
            self._request_changes(board)
            board.set_timer(RUNNERS_TIMER, board.random.randrange(FIRST_LIST_SPREAD_MS))
        elif isinstance(event, LeadershipGained):
            # An open call may return a list from before leadership was gained.
            self._runners_call = 0
            self._request_runner_list(board, fresh=True)
        elif isinstance(event, RunnerEntryOutdated):
            elapsed_ms = board.now - board.pool.entries_read_at
            board.set_timer(RUNNERS_TIMER, MIN_LIST_PERIOD_MS - elapsed_ms)
        elif isinstance(event, ConfigurationOffered):
            self._adopt_configuration(event.document, "another instance", board)
        elif isinstance(event, TimerFired):
            if event.name == WATCH_TIMER:
                self._request_changes(board)
            elif event.name == RUNNERS_TIMER:
                self._request_runner_list(board)

    # Configuration and leadership

    def _request_changes(self, board: InstanceBoard) -> None:
        if self._watch_call:
            return
        tuning = board.tuning
        prefix = board.documents.watched_prefix
        if self._known_revision < 0:
            operation = ListItems(prefix)
            timeout = tuning.store_timeout_ms
        else:
            # After a failure the store is to answer at once, so that its recovery is
            # detected sooner.
            is_reachable = board.configuration.store_reachable
            wait_ms = tuning.watch_ms if is_reachable else PROBE_WAIT_MS
            operation = WatchItems(prefix, self._known_revision, wait_ms)
            timeout = wait_ms + tuning.store_timeout_ms
        self._watch_call = board.fresh_id()
        limits = _transfer_limits(board)
        board.emit(CallStore(self._watch_call, operation, timeout, limits))

    def _handle_watch_reply(self, reply: StoreReply, board: InstanceBoard) -> None:
        if isinstance(reply, StoreFailure):
            self._record_store_reachability(False, reply.reason, board)
            if reply.partly_received:
                # The changes may be too many; a list has the newest of each key only.
                self._known_revision = -1
            board.set_timer(WATCH_TIMER, board.tuning.store_retry_ms)
            return
        self._record_store_reachability(True, "", board)
        if isinstance(reply, WatchedChanges):
            if reply.history_compacted:
                board.log("store_history_lost", after_revision=self._known_revision)
                self._known_revision = -1
            else:
                self._known_revision = max(self._known_revision, reply.revision)
                for item in reply.changes:
                    self._apply_item(item, board)
                zones = _evacuations(reply.changes, reply.revision, board)
                if zones:
                    board.post(EvacuationsRead(zones))
        elif isinstance(reply, ListedItems):
            self._apply_listed_items(reply, board)
        board.configuration.confirmed_at = board.now
        self._request_changes(board)

    def _apply_listed_items(self, reply: ListedItems, board: InstanceBoard) -> None:
        self._known_revision = reply.revision
        for item in reply.items:
            self._apply_item(item, board)
        zones = _evacuations(reply.items, reply.revision, board)
        board.post(EvacuationsRead(zones, reply.revision))
        right_key = board.documents.right_key
        if all(item.key != right_key for item in reply.items):
            board.post(StoreItemChanged(right_key, b"", 0))

    def _apply_item(self, item: Item, board: InstanceBoard) -> None:
        if item.key == board.documents.configuration_key:
            if item.deleted:
                board.log("configuration_deleted", "WARNING")
            else:
                self._adopt_configuration(item.value, "store", board)
        elif item.key == board.documents.right_key:
            board.post(StoreItemChanged(item.key, item.value, item.revision))

    def _adopt_configuration(
        self, document: bytes, source: str, board: InstanceBoard
    ) -> None:
        match board.documents.read_configuration(document):
            case Failure(reason):
                board.log("configuration_unreadable", "ERROR", reason=reason)
            case Success(configuration):
                previous = board.configuration.current.version
                if not board.configuration.adopt(configuration, board.now):
                    return
                board.configuration.document = document
                board.auditor.check(
                    InstanceInvariant.CONFIGURATION_NEVER_REVERTS,
                    board.configuration.current.version > previous,
                    f"version {configuration.version} after {previous}",
                )
                board.log(
                    "configuration_adopted",
                    version=configuration.version,
                    before=previous,
                    source=source,
                    routes=len(configuration.routes),
                    bytes=len(document),
                )
                self._warn_if_large(len(document), board)
                board.emit(SetHttpLimits(configuration.limits))
                board.post(ConfigurationAdopted(configuration))

    @staticmethod
    def _warn_if_large(size: int, board: InstanceBoard) -> None:
        """Warn if the transfer to all instances takes half of the time there is."""
        instances = max(1, len(board.leadership.members))
        transfer_ms = round(
            size
            * BASE64_FACTOR
            * (1 / SLOW_LINK_BYTES_PER_MS + instances / STORE_LINK_BYTES_PER_MS)
        )
        if transfer_ms > LONG_TRANSFER_MS:
            board.count("configurations_large")
            board.log(
                "configuration_large",
                "WARNING",
                bytes=size,
                instances=instances,
                transfer_ms=transfer_ms,
            )

    def _record_store_reachability(
        self, reachable: bool, reason: str, board: InstanceBoard
    ) -> None:
        if not reachable:
            board.count("store_calls_failed")
        was_reachable = board.configuration.store_reachable
        if reachable == was_reachable and reason == self._failure_reason:
            return
        board.configuration.store_reachable = reachable
        self._failure_reason = reason
        if reachable:
            board.configuration.store_regained_at = board.now
            board.log("store_regained")
        else:
            last_confirmed_ms = board.now - board.configuration.confirmed_at
            board.log(
                "store_lost", "WARNING", reason=reason, last_answer_ms=last_confirmed_ms
            )

    # Runners

    def _request_runner_list(self, board: InstanceBoard, fresh: bool = False) -> None:
        if self._runners_call:
            return
        known = board.pool.entries_read_at >= 0
        stale_allowed = known and not (fresh or board.pool.active)
        self._runners_call = board.fresh_id()
        operation = ListItems(
            board.documents.runners_prefix, may_be_stale=stale_allowed
        )
        timeout = board.tuning.store_timeout_ms
        limits = _transfer_limits(board)
        board.emit(CallStore(self._runners_call, operation, timeout, limits))

    def _handle_runner_list(self, reply: StoreReply, board: InstanceBoard) -> None:
        board.set_timer(RUNNERS_TIMER, self._list_period_ms(board))
        if not isinstance(reply, ListedItems):
            return
        self._read_entries = {
            item.key: (item.revision, self._read_entry(item, board))
            for item in reply.items
        }
        entries = (entry for _, entry in self._read_entries.values())
        listed = tuple(one for one in entries if one is not None)
        board.post(RunnersListed(listed, reply.revision))

    def _read_entry(self, item: Item, board: InstanceBoard) -> RunnerEntry | None:
        """Return the entry of an item, read only if the item has changed."""
        revision, known = self._read_entries.get(item.key, (0, None))
        if revision == item.revision:
            return known
        match board.documents.read_runner(item.key, item.value):
            case Success(entry):
                return entry
            case Failure(reason):
                board.count("runner_entries_unreadable")
                board.log("runner_entry_unreadable", key=item.key, reason=reason)
        return None

    def _list_period_ms(self, board: InstanceBoard) -> Milliseconds:
        """Return the time until the list of runners is read again.

        Load pattern: hundreds of instances that do not schedule each read thousands of
        entries, which takes the bandwidth of the store from the scheduler.
        """
        tuning = board.tuning
        if board.pool.active:
            return tuning.runner_list_ms
        entries = len(board.leadership.members) * len(self._read_entries)
        return max(tuning.standby_list_ms, entries // STANDBY_ENTRIES_PER_MS)


def _evacuations(
    items: tuple[Item, ...], revision: int, board: InstanceBoard
) -> list[ZoneEvacuation]:
    """Return what items say of evacuated zones.

    The last change of a zone counts. Deletions have no revision of their own, so that
    they take that of the reply, in which no later change is missing.
    """
    prefix = board.documents.evacuations_prefix
    newest = {item.key: item for item in items if item.key.startswith(prefix)}
    return [
        ZoneEvacuation(
            key.removeprefix(prefix), item.revision or revision, not item.deleted
        )
        for key, item in newest.items()
    ]


def _transfer_limits(board: InstanceBoard) -> TransferLimits:
    """Return the limits for responses whose size has no bound but that of the store.

    Load pattern: a change of a large configuration is sent to all instances at once. If
    each of them gave up a transfer that goes on and began again, their requests would
    keep the links full and no transfer would ever complete.
    """
    tuning = board.tuning
    return TransferLimits(tuning.store_timeout_ms, tuning.store_transfer_ms)
