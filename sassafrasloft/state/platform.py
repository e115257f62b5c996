"""State of the calls to the platform, its lease and its instance list."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.messages.platform_calls import ListedInstance, PlatformCall


@attrs.define
class CallPurpose:
    """State of the calls for one purpose, of which at most one is open at a time.

    Parameters
    ----------
    waiting : PlatformCall or None
        The call to send next.
    open_call : PlatformCall or None
        The call that awaits its reply, sent at `call_sent_at_ms` under `call_id`; it
        times out at `due_ms`.
    failures : int
        Number of consecutive calls without a valid reply.
    not_before_ms : Milliseconds
        Earliest time of the next call.
    """

    waiting: PlatformCall | None = None
    open_call: PlatformCall | None = None
    call_id: str = ""
    call_sent_at_ms: Milliseconds = -1
    due_ms: Milliseconds = -1
    failures: int = 0
    not_before_ms: Milliseconds = 0


@attrs.define
class PlatformState:
    """The calls to the platform, the lease of this instance and the instance list.

    Parameters
    ----------
    listed : dict of str to ListedInstance
        Entries of the last list, by ``role/name``.
    listed_ms : Milliseconds
        When the call that read the list was sent; -1 if it was never read.
    available : bool
        Whether the last call got a valid reply.
    """

    listed: dict[str, ListedInstance] = attrs.field(factory=dict)
    listed_ms: Milliseconds = -1
    available: bool = False
    lease_id: str = ""
    lease_renewed_ms: Milliseconds = -1
    last_call_number: int = 0
    open_calls: dict[str, str] = attrs.field(factory=dict)
    """The purpose of each open call, by call id."""
    purposes: dict[str, CallPurpose] = attrs.field(factory=dict)
    retry_delay_ms: Milliseconds = 0
    call_tokens: float = 5.0
    tokens_ms: Milliseconds = 0
