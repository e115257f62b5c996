"""The state of one instance, shared by its controllers."""

from random import Random

from sassafrasloft.blackboard import Board, SetTimer
from sassafrasloft.clock import Milliseconds
from sassafrasloft.core.commands import WriteLog
from sassafrasloft.invariants import Auditor, Invariant
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
    """Sections of state with one owner each, and the output of a step.

    Section 4.1 of docs/design.md says which controllers write which section.

    Parameters
    ----------
    identity : Identity
        Who the instance is.
    settings : ServiceSettings
        What the process was started with.
    random : random.Random
        The only source of randomness of the controllers.
    auditor : Auditor
        Checks the invariants.
    """

    def __init__(
        self,
        identity: Identity,
        settings: ServiceSettings,
        random: Random,
        auditor: Auditor,
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
        """Ask for `TimerFired` after a delay; replaces a timer of that name."""
        self.emit(SetTimer(name, self.now + max(0, delay_ms)))

    def log(self, level: str, event: str, **fields: object) -> None:
        """Write a log event; the fields are turned into text."""
        pairs = tuple((name, str(value)) for name, value in fields.items())
        self.emit(WriteLog(level, event, pairs))

    def _log_violation(self, invariant: Invariant, detail: str) -> None:
        self.log("ERROR", "invariant_violated", invariant=invariant.value, found=detail)

    def fresh_id(self, prefix: str) -> str:
        """Return a name that is unique within this instance's incarnation."""
        self._next_id += 1
        return f"{prefix}-{self.identity.incarnation}-{self._next_id}"

    def fresh_span_id(self) -> str:
        """Return the id of a new span: 64 random bits in hexadecimal."""
        return f"{self.random.getrandbits(64):016x}"
