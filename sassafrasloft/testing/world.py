"""Simulation of a whole service: instances, runners, platform and callers."""

from collections.abc import Callable
from functools import partial
from random import Random

from sassafrasloft.core import (
    CallPlatform,
    Command,
    DrainRequested,
    Event,
    PeerLinkChanged,
    PeerMessageReceived,
    PlatformReplied,
    RecordSpan,
    Reply,
    SendToPeer,
    SetHealth,
    WriteLog,
)
from sassafrasloft.errors import InvariantViolated
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Answer
from sassafrasloft.messages import PeerMessage, Unavailable
from sassafrasloft.settings import InstanceSettings, ServiceSettings
from sassafrasloft.testing.callers import Caller, CallerPool, OpenJob
from sassafrasloft.testing.event_queue import EventQueue
from sassafrasloft.testing.ground_truth import GroundTruth
from sassafrasloft.testing.hosts import CoreFactory, InstanceHost
from sassafrasloft.testing.network import PLATFORM_ZONE, Network
from sassafrasloft.testing.observer import Observer
from sassafrasloft.testing.platform_link import PlatformLink
from sassafrasloft.testing.runner_links import RunnerLinks
from sassafrasloft.testing.traffic import Traffic

LINK_OPEN_DELAY_MS = 50.0
"""Time until a stream between instances is open."""

PARTITION_DETECTION_MS = 2_000.0
"""Time until both ends of a stream detect a partition and close the stream."""


class World:
    """Carries out the commands of the cores and delivers the resulting events.

    Parameters
    ----------
    settings : ServiceSettings
        Settings of the service; all its instances and runners are started.
    network : Network
        Determines latency, loss and partitions.
    seed : int
        Seeds all random generators of the world and the cores.
    make_core : callable
        Returns the core of an instance for a blackboard.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        network: Network,
        seed: int,
        make_core: CoreFactory,
    ) -> None:
        self.settings = settings
        self.network = network
        self.queue = EventQueue()
        self.ground_truth = GroundTruth()
        self.traffic = Traffic()
        self.random = Random(seed)
        self.runners = RunnerLinks(self, Random(self.random.getrandbits(64)))
        self.platform = PlatformLink(self, Random(self.random.getrandbits(64)))
        self.callers = CallerPool(self, Random(self.random.getrandbits(64)))
        self.log_listener: Callable[[InstanceHost, WriteLog], None] | None = None
        self.observer = Observer()
        self._make_core = make_core
        self._hosts: dict[str, InstanceHost] = {}
        self._link_states: dict[tuple[str, str], bool] = {}
        self._connections: dict[str, tuple[Caller, InstanceHost]] = {}

    @property
    def now(self) -> float:
        """The simulated time in milliseconds."""
        return self.queue.now

    @property
    def hosts(self) -> dict[str, InstanceHost]:
        """The latest process of each instance, by name."""
        return self._hosts

    def start(self) -> None:
        """Start all instances."""
        for instance in self.settings.instances:
            self.start_instance(instance)

    def start_instance(self, instance: InstanceSettings) -> None:
        """Start a process of an instance and connect it to its live peers."""
        random = Random(self.random.getrandbits(64))
        host = InstanceHost(self, instance, self.settings, random, self._make_core)
        self._hosts[instance.name] = host
        self.observer.on_instance_start(host)
        host.start()
        for peer in self._hosts.values():
            if peer is not host and peer.alive:
                self._open_link(host.name, peer.name)

    def live_hosts(self) -> list[InstanceHost]:
        """Return the running processes, in the order of the settings."""
        return [host for host in self._hosts.values() if host.alive]

    # Kills, restarts and planned stops of instances.

    def kill_instance(self, name: str) -> None:
        """Kill the process of an instance, as SIGKILL does."""
        host = self._hosts[name]
        host.kill()
        self.observer.on_instance_end(host)
        self.runners.close_instance_connections(host)
        self._close_links(name)
        self._close_client_connections(host)

    def restart_instance(self, name: str) -> None:
        """Start a new process of an instance that has ended."""
        if not self._hosts[name].alive:
            self.start_instance(self._hosts[name].settings)

    def drain_instance(self, name: str) -> None:
        """Request a planned stop of an instance."""
        host = self._hosts[name]
        host.draining = True
        host.handle_event(DrainRequested())

    def instance_exited(self, host: InstanceHost) -> None:
        """Check and complete the planned stop of an instance.

        Raises
        ------
        InvariantViolated
            If a caller still waits for a reply from the instance.
        """
        open_requests = [
            request_id
            for request_id, (_, owner) in self._connections.items()
            if owner is host
        ]
        if open_requests:
            detail = f"{host.name} exited with open requests {open_requests[:3]}"
            raise InvariantViolated(Invariant.PLANNED_STOP_CUTS_NOTHING.value, detail)
        self.kill_instance(host.name)

    # Requests of callers.

    def choose_instance(self, random: Random) -> str:
        """Return the instance that the load balancer chooses for a new connection.

        If no instance reports to be serving, it chooses any live one. The name is
        empty if there is none.
        """
        serving = [h.name for h in self.live_hosts() if h.serving]
        if not serving:
            serving = [host.name for host in self.live_hosts()]
        return random.choice(serving) if serving else ""

    def send_request(self, caller: Caller, instance: str, event: Event) -> None:
        """Send a request of a caller to an instance."""
        host = self._hosts.get(instance)
        delay_ms = self.network.client_latency_ms
        self.queue.after(delay_ms, lambda: self._deliver_request(caller, host, event))

    def check_submission_id(self, job: OpenJob, answer: Answer) -> None:
        """Check that an answer belongs to the job of the caller that receives it.

        Raises
        ------
        InvariantViolated
            If the answer belongs to another submission.
        """
        if answer.submission_id and answer.submission_id != job.submission_id:
            detail = f"asked {job.submission_id}, got {answer.submission_id}"
            raise InvariantViolated(Invariant.ANSWER_REACHES_ITS_CALLER.value, detail)

    def _deliver_request(
        self, caller: Caller, host: InstanceHost | None, event: Event
    ) -> None:
        if host is None or not host.alive:
            caller.handle_connection_loss(event.request_id)
            return
        self._connections[event.request_id] = (caller, host)
        host.handle_event(event)

    def _deliver_reply(self, reply: Reply) -> None:
        entry = self._connections.pop(reply.request_id, None)
        if entry is None:
            return
        caller, _ = entry
        delay_ms = self.network.client_latency_ms
        self.queue.after(
            delay_ms, lambda: caller.handle_reply(reply.request_id, reply.content)
        )

    def _close_client_connections(self, host: InstanceHost) -> None:
        for request_id, (_, owner) in list(self._connections.items()):
            if owner is host:
                del self._connections[request_id]
        for caller in self.callers.callers:
            if caller.connection == host.name:
                caller.handle_connection_loss()

    # Commands of the cores.

    def carry_out(self, host: InstanceHost, command: Command) -> None:
        """Carry out one command of the core of an instance."""
        self.traffic.count_command(host.name, command)
        if isinstance(command, Reply):
            self._deliver_reply(command)
        elif isinstance(command, SendToPeer):
            self._send_to_peer(host, command.peer, command.message)
        elif isinstance(command, CallPlatform):
            self._call_platform(host, command)
        elif isinstance(command, SetHealth):
            host.serving = command.serving
        elif isinstance(command, WriteLog):
            if self.log_listener:
                self.log_listener(host, command)
        elif not isinstance(command, RecordSpan):
            self.runners.carry_out(host, command)

    def _call_platform(self, host: InstanceHost, command: CallPlatform) -> None:
        if self.network.is_connected(host.zone, PLATFORM_ZONE):
            self.platform.call(host, command)
            return
        timeout_ms = self.settings.platform.call_timeout_ms
        reply = PlatformReplied(command.call_id, Unavailable("no connection"))
        self.queue.after(timeout_ms, lambda: host.handle_event(reply))

    # Streams between instances.

    def _send_to_peer(
        self, host: InstanceHost, peer: str, message: PeerMessage
    ) -> None:
        other = self._hosts.get(peer)
        if other is None or not other.alive or not self._is_linked(host.name, peer):
            return
        for _ in range(self.network.draw_copy_count()):
            delay_ms = self.network.latency_ms(host.zone, other.zone)
            event = PeerMessageReceived(host.name, message)
            deliver = partial(self._deliver_to_peer, host, other, event)
            self.queue.after(delay_ms, deliver)

    def _deliver_to_peer(
        self, host: InstanceHost, other: InstanceHost, event: PeerMessageReceived
    ) -> None:
        if self.network.is_connected(host.zone, other.zone):
            other.handle_event(event)

    def _is_linked(self, one: str, other: str) -> bool:
        return self._link_states.get((min(one, other), max(one, other)), False)

    def _set_link(self, one: str, other: str, up: bool) -> None:
        pair = (min(one, other), max(one, other))
        if self._link_states.get(pair, False) == up:
            return
        self._link_states[pair] = up
        for name, peer in ((one, other), (other, one)):
            self._hosts[name].handle_event(PeerLinkChanged(peer, up))

    def _open_link(self, one: str, other: str) -> None:
        def opened() -> None:
            hosts = self._hosts[one], self._hosts[other]
            alive = all(host.alive for host in hosts)
            if alive and self.network.is_connected(hosts[0].zone, hosts[1].zone):
                self._set_link(one, other, True)

        self.queue.after(LINK_OPEN_DELAY_MS, opened)

    def _close_links(self, name: str) -> None:
        for peer in self.live_hosts():
            if peer.name != name:
                self._set_link(name, peer.name, False)

    # Partitions.

    def partition_zone(self, zone: str, with_platform: bool = True) -> None:
        """Partition an availability zone from the others.

        Parameters
        ----------
        with_platform : bool
            Whether the zone loses its connection to the platform, too.
        """
        others = (*self.settings.zones, *((PLATFORM_ZONE,) if with_platform else ()))
        self.network.partition_zone(zone, others)
        self.queue.after(PARTITION_DETECTION_MS, self._close_partitioned_links)

    def heal(self) -> None:
        """End all partitions and reopen the streams between the live instances."""
        self.network.heal()
        names = [host.name for host in self.live_hosts()]
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                self._open_link(one, other)

    def _close_partitioned_links(self) -> None:
        hosts = self.live_hosts()
        for index, one in enumerate(hosts):
            for other in hosts[index + 1 :]:
                if not self.network.is_connected(one.zone, other.zone):
                    self._set_link(one.name, other.name, False)
