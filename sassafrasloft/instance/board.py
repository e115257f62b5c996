"""The blackboard of an instance."""

from random import Random

import attrs

from sassafrasloft.blackboard import Board, SetTimer
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway.requests import OpenRequests
from sassafrasloft.instance.commands import WriteLog
from sassafrasloft.instance.settings import InstanceSettings
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.leadership.state import LeadershipState
from sassafrasloft.metadata.adoption import ConfigurationState, StoreDocuments
from sassafrasloft.metadata.evacuations import EvacuationState
from sassafrasloft.runs import CrashHistory, RunnerPool
from sassafrasloft.runs.unlisted_runners import UnlistedRunners
from sassafrasloft.scheduling import JobTable
from sassafrasloft.scheduling.estimates import DurationEstimates

MAX_SAMPLES = 5_000
"""Limit of samples kept until the metrics are read; further ones are dropped."""


@attrs.define
class Stopping:
    """The progress of a planned stop."""

    requested_at: Milliseconds = -1

    @property
    def requested(self) -> bool:
        """Whether a stop was requested."""
        return self.requested_at >= 0


class InstanceBoard(Board):
    """The sections of an instance's state, each written by its own controllers.

    Parameters
    ----------
    settings : InstanceSettings
    incarnation : str
        Unique to each process of an instance.
    random : random.Random
        The only source of randomness of the controllers.
    tuning : Tuning
    auditor : Auditor
    documents : StoreDocuments
        How documents in the store are named and read.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        incarnation: str,
        random: Random,
        tuning: Tuning,
        auditor: InvariantChecker,
        documents: StoreDocuments,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = incarnation
        self.random = random
        self.tuning = tuning
        self.auditor = auditor
        self.documents = documents
        auditor.on_violation = self._log_violation
        self.configuration = ConfigurationState()
        self.evacuations = EvacuationState()
        self.leadership = LeadershipState()
        self.pool = RunnerPool()
        self.unlisted_runners = UnlistedRunners()
        self.crashes = CrashHistory()
        self.jobs = JobTable()
        self.estimates = DurationEstimates()
        self.requests = OpenRequests()
        self.stopping = Stopping()
        self.counters: dict[str, int] = {}
        self.samples: list[tuple[str, Milliseconds]] = []
        self._last_id = 0

    def fresh_id(self) -> int:
        """Return a number that is unique within this process."""
        self._last_id += 1
        return self._last_id

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def measure(self, name: str, duration_ms: Milliseconds) -> None:
        """Add a sample to a latency histogram, unless too many are kept already."""
        if len(self.samples) < MAX_SAMPLES:
            self.samples.append((name, duration_ms))

    def set_timer(self, name: str, delay_ms: Milliseconds) -> None:
        """Set a timer; replaces a timer of the same name."""
        self.emit(SetTimer(name, self.now + max(0, int(delay_ms))))

    def log(self, event: str, level: str = "INFO", **fields: object) -> None:
        """Write a log line about the state or an action of this instance."""
        self.emit(WriteLog(level, event, tuple(fields.items())))

    def log_request(
        self, event: str, level: str = "INFO", failed: bool = False, **fields: object
    ) -> None:
        """Write a log line about a request; lines of failed ones are kept longest."""
        self.emit(WriteLog(level, event, tuple(fields.items()), failed))

    def _log_violation(self, invariant: object, detail: str) -> None:
        self.log("invariant_violated", "ERROR", invariant=str(invariant), found=detail)
