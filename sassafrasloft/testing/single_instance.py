"""One decision core with the controllers of configuration and membership.

It serves tests of single messages and calls; `World` simulates whole services.
"""

from random import Random

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.clock import Milliseconds
from sassafrasloft.configuration import (
    DocumentParser,
    InstanceListController,
    LeasesController,
    PlatformCallsController,
    SettingsInForceController,
    settings_key,
)
from sassafrasloft.core import (
    Blackboard,
    CallPlatform,
    Command,
    Controller,
    DecisionCore,
    Event,
    PeerLinkChanged,
    PeerMessageReceived,
    PlatformReplied,
    SendToPeer,
    SetTimer,
    Started,
    TimerFired,
    WriteLog,
)
from sassafrasloft.errors import MalformedInput
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.membership import (
    DrainController,
    GossipController,
    GossipReceivedController,
    HeirsController,
    LivenessController,
    PauseController,
    PeersController,
    StatusController,
)
from sassafrasloft.messages import (
    GrantLease,
    InstanceList,
    KeyValue,
    LeaseState,
    ListedInstance,
    ListInstances,
    PeerMessage,
    PlatformCall,
    PlatformReply,
    RenewLease,
    Unavailable,
    WatchKey,
)
from sassafrasloft.settings import (
    InstanceSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
)
from sassafrasloft.state import Identity

SETTINGS_KEY = settings_key("markhost")
ZONES = ("ub-north", "ub-south", "darkhan")
PEER_NAME = "entry-1"


def make_settings(
    service: str = "markhost",
    instances: int = 8,
    runners: int = 24,
    zones: tuple[str, ...] = ZONES,
) -> ServiceSettings:
    """Return settings with instances named ``entry-0`` and so on."""
    return ServiceSettings(
        service,
        "mn-central",
        zones,
        tuple(
            InstanceSettings(f"entry-{n}", zones[n % len(zones)], "", "", "")
            for n in range(instances)
        ),
        tuple(
            RunnerSettings(f"ub-north-runner-{n:02}", zones[n % len(zones)], "")
            for n in range(runners)
        ),
        tuple(TeamSettings(f"crew-{n}") for n in range(4)),
    )


@attrs.frozen
class MinimalDocument:
    """Content of a document that `parse_minimal_document` reads."""

    revision: int
    settings: ServiceSettings


def parse_minimal_document(
    text: str, zone: str
) -> Result[MinimalDocument, list[MalformedInput]]:
    """Parse a document of the form ``<revision>`` or ``<revision> <service>``."""
    words = text.split()
    if not words or not words[0].isdigit():
        return Failure([MalformedInput("revision", text)])
    return Success(MinimalDocument(int(words[0]), make_settings(*words[1:])))


class FakePlatform:
    """Platform with one key, one lease and a list of instances and runners.

    Attributes
    ----------
    answers : bool
        Whether calls succeed; otherwise the platform is unavailable.
    lease_held : bool
        Whether renewals of the lease succeed.
    entries : tuple of ListedInstance
        The list.
    """

    def __init__(self) -> None:
        self.value = ""
        self.revision = 0
        self.answers = True
        self.lease_held = True
        self.entries: tuple[ListedInstance, ...] = ()

    def write(self, value: str, revision: int | None = None) -> None:
        """Replace the value, with the next revision or a given one."""
        self.value = value
        self.revision = self.revision + 1 if revision is None else revision

    def reply(
        self, call: PlatformCall, waited_ms: Milliseconds
    ) -> PlatformReply | None:
        """Return the reply to a call, or None while a watch waits."""
        if not self.answers:
            return Unavailable("connection refused")
        if isinstance(call, GrantLease):
            self.lease_held = True
            return LeaseState(f"lease-of-{call.incarnation}", True)
        if isinstance(call, RenewLease):
            return LeaseState(call.lease_id, self.lease_held)
        if isinstance(call, ListInstances):
            return InstanceList(self.entries)
        waits = isinstance(call, WatchKey) and self.revision <= call.after_revision
        if waits and waited_ms < call.wait_ms:
            return None
        return KeyValue(SETTINGS_KEY, self.value, self.revision)


class EventRecorder(Controller):
    """Records every event that the controllers handle, in order."""

    handles = (Event,)

    def __init__(self) -> None:
        self.events: list[Event] = []

    def react(self, event: Event, board: Blackboard) -> None:
        """Record the event."""
        self.events.append(event)

    def seen(self, kind: type[Event]) -> list[Event]:
        """Return the recorded events of a type."""
        return [event for event in self.events if isinstance(event, kind)]


class Instance:
    """One decision core with its timers and the platform that replies to its calls.

    Parameters
    ----------
    seed : int
        Seeds the random generator; the incarnation in hexadecimal.
    number : int
        Position of the instance in the settings.
    parse : callable
        Parses settings documents; by default `parse_minimal_document`.

    Attributes
    ----------
    unanswered_calls : dict of str to tuple of Milliseconds and PlatformCall
        Calls without a reply and their times, by call id.
    silent : bool
        Whether open calls get no reply at all.
    timers : dict of str to int
        Due times of the timers, by name.
    calls : list of tuple of Milliseconds and PlatformCall
        All platform calls and their times.
    logs : list of str
        Events of the log lines.
    sent : list of SendToPeer
        Messages sent to peers.
    """

    def __init__(
        self,
        platform: FakePlatform | None = None,
        seed: int = 1,
        number: int = 0,
        auditor: InvariantChecker | None = None,
        settings: ServiceSettings | None = None,
        parse: DocumentParser = parse_minimal_document,
    ) -> None:
        self.platform = platform or FakePlatform()
        settings = settings or make_settings()
        zone = settings.instances[number].zone
        identity = Identity(f"entry-{number}", zone, f"{seed:x}", b"secret")
        self.board = Blackboard(
            identity, settings, Random(seed), auditor or InvariantChecker()
        )
        self.recorder = EventRecorder()
        controllers = [
            PauseController(),
            LeasesController(),
            InstanceListController(),
            SettingsInForceController(parse),
            PlatformCallsController(),
            PeersController(),
            DrainController(),
            HeirsController(),
            GossipController(),
            GossipReceivedController(),
            LivenessController(),
            StatusController(),
            self.recorder,
        ]
        self.core = DecisionCore(self.board, controllers)
        self.now = 0
        self.timers: dict[str, int] = {}
        self.unanswered_calls: dict[str, tuple[Milliseconds, PlatformCall]] = {}
        self.calls: list[tuple[Milliseconds, PlatformCall]] = []
        self.logs: list[str] = []
        self.sent: list[SendToPeer] = []
        self.silent = False
        self.step(Started())

    @property
    def revision(self) -> int:
        """The revision of the settings in force."""
        return self.board.settings.revision

    def step(self, event: Event, after_ms: Milliseconds = 0) -> list[Command]:
        """Handle one event and record the commands that tests examine."""
        self.now += after_ms
        commands = self.core.step(event, self.now)
        for command in commands:
            if isinstance(command, SetTimer):
                self.timers[command.name] = command.due_ms
            elif isinstance(command, CallPlatform):
                self.unanswered_calls[command.call_id] = (self.now, command.call)
                self.calls.append((self.now, command.call))
            elif isinstance(command, WriteLog):
                self.logs.append(command.event)
            elif isinstance(command, SendToPeer):
                self.sent.append(command)
        return commands

    def run(self, duration_ms: Milliseconds, tick_ms: Milliseconds = 50) -> None:
        """Advance the time; due timers fire and the platform replies to calls."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += tick_ms
            for name in [n for n, due in self.timers.items() if due <= self.now]:
                del self.timers[name]
                self.step(TimerFired(name))
            self.answer()

    def answer(self) -> None:
        """Pass the replies of the platform to the open calls."""
        for call_id, (asked_ms, call) in list(self.unanswered_calls.items()):
            reply = self.platform.reply(call, self.now - asked_ms)
            if reply is not None and not self.silent:
                del self.unanswered_calls[call_id]
                self.step(PlatformReplied(call_id, reply))

    def fire_gossip_timer(self, after_ms: Milliseconds = 500) -> list[Command]:
        """Fire the gossip timer."""
        return self.step(TimerFired("membership.gossip"), after_ms)

    def receive_message(
        self, message: PeerMessage, peer: str = PEER_NAME, after_ms: Milliseconds = 0
    ) -> list[Command]:
        """Receive a message from a peer."""
        return self.step(PeerMessageReceived(peer, message), after_ms)

    def link(self, up: bool, peer: str = PEER_NAME) -> list[Command]:
        """Open or close the stream to a peer."""
        return self.step(PeerLinkChanged(peer, up))

    def platform_calls_of(self, kind: type[PlatformCall]) -> list[PlatformCall]:
        """Return the platform calls of a type."""
        return [call for _, call in self.calls if isinstance(call, kind)]

    def messages(self, kind: type[PeerMessage]) -> list[PeerMessage]:
        """Return the messages of a type that were sent to peers."""
        return [one.message for one in self.sent if isinstance(one.message, kind)]
