"""The blackboard: the state of one instance, shared by its controllers."""

from random import Random

from sassafrasloft.blackboard import Board, SetTimer
from sassafrasloft.clock import Milliseconds
from sassafrasloft.core.commands import WriteLog
from sassafrasloft.invariants import Invariant, InvariantChecker
from sassafrasloft.settings import ServiceSettings
from sassafrasloft.state import (
    Counters,
    Identity,
    JobTable,
    PeerTable,
    PlatformState,
    SettingsInForce,
    UpstreamTable,
    WaitingQueue,
)


class Blackboard(Board):
    """State in sections, and the commands that a step of the core emits.

    Section 4.1 of docs/design.md lists the controllers that write each section.

    Parameters
    ----------
    identity : Identity
        Name, zone and incarnation of the instance.
    settings : ServiceSettings
        The settings with which the process was started.
    random : random.Random
        The only source of randomness for the controllers, so that runs with
        the same seed are reproducible.
    auditor : Auditor
        Checks the invariants; its violations are logged.
    """

    def __init__(
        self,
        identity: Identity,
        settings: ServiceSettings,
        random: Random,
        auditor: InvariantChecker,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.settings = SettingsInForce(settings)
        self.random = random
        self.auditor = auditor
        auditor.on_violation = self._log_violation
        self.jobs = JobTable()
        self.upstreams = UpstreamTable()
        self.queue = WaitingQueue()
        self.peers = PeerTable()
        self.platform = PlatformState()
        self.metrics = Counters()
        self._next_id = 0

    def set_timer(self, name: str, delay_ms: Milliseconds) -> None:
        """Request `TimerFired` after a delay, replacing any timer of that name."""
        self.emit(SetTimer(name, self.now + max(0, delay_ms)))

    def log(self, level: str, event: str, **fields: object) -> None:
        """Emit a log event whose field values are converted to strings."""
        pairs = tuple((name, str(value)) for name, value in fields.items())
        self.emit(WriteLog(level, event, pairs))

    def _log_violation(self, invariant: Invariant, detail: str) -> None:
        self.log("ERROR", "invariant_violated", invariant=invariant.value, found=detail)

    def fresh_id(self, prefix: str) -> str:
        """Return an id that no other incarnation uses and no earlier call returned."""
        self._next_id += 1
        return f"{prefix}-{self.identity.incarnation}-{self._next_id}"

    def fresh_span_id(self) -> str:
        """Return a new span id of 64 random bits in hexadecimal."""
        return f"{self.random.getrandbits(64):016x}"
