"""What is known of the platform."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.messages.platform_calls import ListedInstance, PlatformCall


@attrs.define
class CallPurpose:
    """What calls are made for; at most one call of a purpose is open at a time.

    Parameters
    ----------
    waiting : PlatformCall or None
        The call to make next.
    open_call : PlatformCall or None
        The call that has no reply yet, made at `call_sent_at_ms` under `call_id` and
        given up at `due_ms`.
    failures : int
        Calls in a row without an answer.
    not_before_ms : Milliseconds
        The next call waits until then.
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
    """Calls, lease and list.

    Parameters
    ----------
    listed : dict of str to ListedInstance
        The last list by ``role/name``.
    listed_ms : Milliseconds
        When the call that read it was made; -1 if it was never read.
    available : bool
        Whether the last call was answered.
    """

    listed: dict[str, ListedInstance] = attrs.field(factory=dict)
    listed_ms: Milliseconds = -1
    available: bool = False
    lease_id: str = ""
    lease_renewed_ms: Milliseconds = -1
    last_call_number: int = 0
    open_calls: dict[str, str] = attrs.field(factory=dict)
    """What each open call is for, by call id."""
    purposes: dict[str, CallPurpose] = attrs.field(factory=dict)
    retry_delay_ms: Milliseconds = 0
    call_tokens: float = 5.0
    tokens_ms: Milliseconds = 0
