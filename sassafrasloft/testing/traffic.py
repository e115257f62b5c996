"""Counts of the messages between processes, by cause."""

import attrs

from sassafrasloft.core import (
    CallPlatform,
    Command,
    Fence,
    Probe,
    SendToPeer,
    Settle,
    StopTasks,
)
from sassafrasloft.messages import (
    ForwardReply,
    ForwardRequest,
    PeerMessage,
    SlotOffer,
    SlotRequest,
)

REQUEST_REPLY_CAUSES: dict[type[Command], str] = {
    Settle: "settle",
    StopTasks: "stop",
    Fence: "fence",
    Probe: "probe",
}
"""Causes of commands that send a request and get a reply.

Both messages count as wasted, because they deliver no task.
"""

PLATFORM_CALL_BYTES = 300
"""Assumed size of a platform call and its reply, including HTTP headers."""


@attrs.define
class Traffic:
    """Counts of messages between processes, as defined in docs/design.md, 1.6.

    Parameters
    ----------
    wasted : dict of str to int
        Number of wasted messages by cause.
    control_messages, control_bytes : dict of str to int
        Number and size of control messages sent, by instance.
    deliveries : int
        Number of deliveries sent to runners.
    """

    wasted: dict[str, int] = attrs.field(factory=dict)
    control_messages: dict[str, int] = attrs.field(factory=dict)
    control_bytes: dict[str, int] = attrs.field(factory=dict)
    deliveries: int = 0

    def count_wasted(self, cause: str, messages: int) -> None:
        """Count wasted messages under a cause."""
        self.wasted[cause] = self.wasted.get(cause, 0) + messages

    def count_control_message(self, instance: str, size_bytes: int) -> None:
        """Count one control message sent by an instance."""
        self.control_messages[instance] = self.control_messages.get(instance, 0) + 1
        self.control_bytes[instance] = self.control_bytes.get(instance, 0) + size_bytes

    def count_command(self, instance: str, command: Command) -> None:
        """Count the messages that a command of an instance sends, except deliveries."""
        cause = REQUEST_REPLY_CAUSES.get(type(command))
        if cause:
            self.count_wasted(cause, 2)
        elif isinstance(command, CallPlatform):
            self.count_control_message(instance, PLATFORM_CALL_BYTES)
        elif isinstance(command, SendToPeer):
            self._count_peer_message(instance, command.message)

    def _count_peer_message(self, instance: str, message: PeerMessage) -> None:
        if isinstance(message, ForwardRequest | ForwardReply):
            self.count_wasted("forward", 1)
        elif isinstance(message, SlotRequest | SlotOffer):
            self.count_wasted("lending", 1)
        else:
            self.count_control_message(instance, encoded_size(message))


def encoded_size(message: PeerMessage) -> int:
    """Return the size in bytes of a message on a stream between instances."""
    from sassafrasloft.messages.codec import encode_message

    return len(encode_message(message))
