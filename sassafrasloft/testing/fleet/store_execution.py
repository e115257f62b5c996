"""Executes the store calls of the instances of a test fleet."""

from typing import TYPE_CHECKING

from sassafrasloft.instance.commands import CallStore
from sassafrasloft.instance.events import StoreReplied
from sassafrasloft.metadata import (
    StoreFailure,
    StoreReply,
    Transaction,
    WatchedChanges,
    WatchItems,
)
from sassafrasloft.testing.fleet.store_links import OpenStoreCall, response_bytes

if TYPE_CHECKING:
    from sassafrasloft.testing.fleet.command_execution import Instance

STORE_DELAY_MS = 2.0
STORE = "store"


class StoreExecutor:
    """Executes store calls with the stand-in; the subclass holds the state."""

    def _call_store(self, instance: "Instance", command: CallStore) -> None:
        if self.store_links is not None:
            call = OpenStoreCall(instance.name, command)
            self._open_store_calls[(instance.name, command.call_id)] = call
            self._expire_store_call(instance, call, self.queue.now)
            if not (self.store_down or self.cut(instance.name, STORE)):
                self.queue.after(
                    STORE_DELAY_MS, lambda: self._execute_at_store(instance, command)
                )
            return
        # Every call gets a timeout reply; the core ignores it after an earlier reply.
        timeout = StoreFailure("timed_out")
        self._deliver_store_reply(instance, command, timeout, command.timeout_ms)
        if not (self.store_down or self.cut(instance.name, STORE)):
            self.queue.after(
                STORE_DELAY_MS, lambda: self._execute_at_store(instance, command)
            )

    def _expire_store_call(
        self, instance: "Instance", call: OpenStoreCall, started_at: float
    ) -> None:
        """Let a call time out once its limits are exceeded."""
        if not call.is_open:
            return
        due = call.expires_at(started_at)
        if due > self.queue.now:
            self.queue.at(
                due, lambda: self._expire_store_call(instance, call, started_at)
            )
            return
        has_begun = call.first_byte_at is not None
        reason = "incomplete" if has_begun else "timed_out"
        reply = StoreFailure(reason, partly_received=has_begun)
        self._end_store_call(instance, call, reply)

    def _end_store_call(
        self, instance: "Instance", call: OpenStoreCall, reply: StoreReply
    ) -> None:
        call.is_open = False
        self._open_store_calls.pop((instance.name, call.command.call_id), None)
        self.tell(instance, StoreReplied(call.command.call_id, reply))

    def _execute_at_store(self, instance: "Instance", command: CallStore) -> None:
        is_write = isinstance(command.operation, Transaction)
        if is_write and self.random.random() < self.delayed_write_share:
            delay = self.random.uniform(200, 3_000)
            self.queue.after(delay, lambda: self._apply_delayed_write(command))
            return
        reply = self.store.call(command.operation, self.now)
        if reply is None:
            wait = command.operation.wait_ms
            watch = (instance, command, self.queue.now + wait)
            self._watches.append(watch)
            self.queue.after(wait, lambda: self._expire_watch(watch))
            return
        self._notify_watches()
        lost = self.random.random() < self.lose_replies
        if lost and not isinstance(command.operation, WatchItems):
            reply = StoreFailure("timed_out")
            self._deliver_store_reply(instance, command, reply, command.timeout_ms)
        else:
            self._send_store_reply(instance, command, reply)

    def _apply_delayed_write(self, command: CallStore) -> None:
        self.store.call(command.operation, self.now)
        self._notify_watches()

    def _deliver_store_reply(
        self,
        instance: "Instance",
        command: CallStore,
        reply: StoreReply,
        delay_ms: float,
    ) -> None:
        self.queue.after(
            delay_ms,
            lambda: self.tell(instance, StoreReplied(command.call_id, reply)),
        )

    def _send_store_reply(
        self, instance: "Instance", command: CallStore, reply: StoreReply
    ) -> None:
        if self.cut(STORE, instance.name):
            return
        if self.store_links is None:
            self._deliver_store_reply(instance, command, reply, STORE_DELAY_MS)
            return
        call = self._open_store_calls.get((instance.name, command.call_id))
        if call is not None:
            self.store_links.transfer(
                call,
                response_bytes(reply),
                lambda: self._end_store_call(instance, call, reply),
            )

    def _notify_watches(self) -> None:
        waiting, self._watches = self._watches, []
        for watch in waiting:
            instance, command, _ = watch
            reply = self.store.call(command.operation, self.now)
            if reply is None:
                self._watches.append(watch)
            elif not self.store_down:
                self._send_store_reply(instance, command, reply)

    def _expire_watch(self, watch: tuple["Instance", CallStore, float]) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        instance, command, _ = watch
        after = command.operation.after_revision
        reply = WatchedChanges((), max(after, self.store.revision))
        if self.store_down or self.cut(STORE, instance.name):
            reply = StoreFailure("timed_out")
            self._deliver_store_reply(instance, command, reply, STORE_DELAY_MS)
            return
        self._send_store_reply(instance, command, reply)
