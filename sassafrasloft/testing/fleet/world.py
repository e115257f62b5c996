"""Simulates a fleet of decision cores with stand-ins, driven by one event queue."""

from collections.abc import Callable
from random import Random

from sassafrasloft.blackboard import Started
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.assembly import create_instance
from sassafrasloft.instance.commands import CallStore
from sassafrasloft.instance.events import CallerGone, JobRequested, StopRequested
from sassafrasloft.instance.settings import InstanceSettings
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.runs import RunnerEntry
from sassafrasloft.standins.lease_runner import (
    AWAY_FACTOR,
    LeaseRunnerStandin,
    StandinTask,
)
from sassafrasloft.standins.metadata_store import MetadataStoreStandin
from sassafrasloft.testing.event_queue import EventQueue
from sassafrasloft.testing.fleet.auditing import FleetAudit
from sassafrasloft.testing.fleet.command_execution import (
    INITIAL_CLOCK_MS,
    SERVICE,
    FleetCommandExecutor,
    Instance,
    TestJob,
)
from sassafrasloft.testing.fleet.documents import JsonDocuments
from sassafrasloft.testing.fleet.processor import Processor, WorkCosts
from sassafrasloft.testing.fleet.runner_faults import RunnerFaults
from sassafrasloft.testing.fleet.store_links import OpenStoreCall, StoreLinks
from sassafrasloft.traces import TraceParent
from sassafrasloft.workload import (
    JobRequest,
    Resources,
    Route,
    ServiceConfiguration,
    ServicePolicy,
    StepRequest,
)


class FleetWorld(FleetCommandExecutor):
    """Instances, a store, runners and callers in simulated time.

    Parameters
    ----------
    zones : dict
        Number of instances by availability zone.
    runners : int
        Number of runners in each zone.
    seed : int
    tuning : Tuning, optional
    capacity : int
        Capacity of each runner, in millicores.
    costs : WorkCosts, optional
        Processor time of the instances' work; work takes no time if omitted.
    cores : dict, optional
        Number of cores by instance name; the default is one core.
    """

    def __init__(
        self,
        zones: dict[str, int],
        runners: int = 2,
        seed: int = 1,
        tuning: Tuning | None = None,
        capacity: int = 32_000,
        costs: WorkCosts | None = None,
        cores: dict[str, float] | None = None,
    ) -> None:
        self.queue = EventQueue()
        # The clock of a machine is not at zero when the first process starts.
        self.queue.run_until(INITIAL_CLOCK_MS)
        self.random = Random(seed)
        self.documents = JsonDocuments()
        self.store = MetadataStoreStandin()
        self.audit = FleetAudit()
        self.tuning = tuning
        self.costs = costs
        self.cores = cores or {}
        self.runners: dict[str, LeaseRunnerStandin] = {}
        self.instances: dict[str, Instance] = {}
        self.jobs: dict[str, TestJob] = {}
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        """Return whether the link from a sender to a receiver is cut.

        Both are names of instances or runners, or `STORE`.
        """
        self.store_down = False
        self.store_links: StoreLinks | None = None
        """Links of the store; its responses take no bandwidth if it is None."""
        self._open_store_calls: dict[tuple[str, int], OpenStoreCall] = {}
        self.lose_replies = 0.0
        """Share of store calls, other than watches, whose replies are lost."""
        self.delayed_write_share = 0.0
        """Share of store transactions that get no reply and are applied late."""
        self.retransmit_interval_ms = 0
        """Interval of retransmission on cut streams; 0 if data is lost instead."""
        self.late_orders = 0.0
        """Share of start and stop commands that get no reply and are executed late."""
        self.timer_delays_ms: dict[str, int] = {}
        """Delay of the timers of an instance, by name."""
        self.lost_poll_share = 0.0
        """Share of runner polls that are lost."""
        self.runner_faults = RunnerFaults()
        self.task_overrides: dict[str, StandinTask] = {}
        """Tasks, by name, that differ from the requests of their jobs."""
        self.powered_off: set[str] = set()
        """Instances whose machines have no power: connection attempts time out."""
        self._watches: list[tuple[Instance, CallStore, float]] = []
        self._next_advance_at: dict[LeaseRunnerStandin, float] = {}
        self._last_request = 0
        self.configuration: ServiceConfiguration | None = None
        """The configuration that was written last."""
        for zone, count in zones.items():
            for number in range(runners):
                self.add_runner(f"runner-{zone}-{number}", zone, capacity)
            for number in range(count):
                self.start_instance(f"{zone}-{number}", zone)

    def configure(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServicePolicy, ...] = (ServicePolicy(SERVICE),),
    ) -> None:
        """Write a configuration to the store as an operator does."""
        self.configuration = ServiceConfiguration(version, routes, services)
        value = self.documents.write(self.configuration)
        self.store.put(self.documents.configuration_key, value)
        self._notify_watches()

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone as an operator does."""
        self.store.put(self.documents.evacuations_prefix + zone, b"{}")
        self.audit.evacuated[zone] = self.now
        self._notify_watches()

    def give_back(self, zone: str) -> None:
        """Allow tasks in an evacuated zone again."""
        self.store.delete(self.documents.evacuations_prefix + zone)
        del self.audit.evacuated[zone]
        self._notify_watches()

    def add_runner(
        self,
        runner_id: str,
        zone: str,
        capacity: int,
        process_started_at_ms: int = 0,
        labels: tuple[str, ...] = (),
    ) -> LeaseRunnerStandin:
        """Start a runner and register it."""
        entry = RunnerEntry(
            runner_id,
            SERVICE,
            f"address-of-{runner_id}",
            zone,
            False,
            Resources(capacity, 100_000, 0),
            labels,
            started_at_ms=process_started_at_ms,
        )
        runner = LeaseRunnerStandin(entry, self.task_for)
        runner.on_start = lambda run: self.audit.record_run_start(runner, run, self.now)
        runner.on_end = lambda run, end: self.audit.record_run_end(runner, run, end)
        self.runners[runner_id] = runner
        self.register(entry)
        return runner

    def register(self, entry: RunnerEntry) -> None:
        """Write the entry of a runner to the store."""
        key = self.documents.runners_prefix + entry.runner_id
        self.store.put(key, self.documents.write(entry))

    def unregister(self, runner_id: str) -> None:
        """Delete the entry of a runner from the store, as if it had expired."""
        self.store.delete(self.documents.runners_prefix + runner_id)

    def restart_runner(
        self, runner_id: str, labels: tuple[str, ...] = ()
    ) -> LeaseRunnerStandin:
        """Crash a runner and start a new incarnation under the same id."""
        old = self.runners[runner_id]
        old.advance(self.now)
        self.audit.record_runner_crash(old)
        return self.add_runner(
            runner_id,
            old.entry.zone,
            old.entry.capacity.millicores,
            self.now + 1,
            labels,
        )

    def task_for(self, name: str) -> StandinTask:
        """Return the stand-in task for a task name: an override, or as its job asks."""
        if name in self.task_overrides:
            return self.task_overrides[name]
        job_id, _, step, _ = name.split(".")
        request = self.jobs[job_id].job.steps[int(step)]
        return StandinTask(
            request.demand, float(request.estimate_ms), rack=request.preferred_rack
        )

    def start_instance(self, name: str, zone: str) -> Instance:
        """Start the process of an instance, with up to three others as seeds."""
        address = f"address-of-{name}"
        seeds = tuple(one.address for one in list(self.instances.values())[:3])
        cores = self.cores.get(name, 1.0)
        settings = InstanceSettings(
            name,
            zone,
            "",
            "",
            address,
            "",
            "",
            cores=cores,
            away_factor=AWAY_FACTOR,
            seeds=seeds,
        )
        core = create_instance(
            settings,
            self.documents,
            Random(self.random.getrandbits(32)),
            self.tuning,
            strict=True,
        )
        self.powered_off.discard(name)
        instance = Instance(name, zone, address, core, processor=Processor(cores))
        self.instances[name] = instance
        self.queue.after(
            self.random.randrange(20), lambda: self.tell(instance, Started())
        )
        return instance

    def kill(self, name: str) -> None:
        """End a process at once and reset its connections."""
        instance = self.instances[name]
        instance.alive = False
        for stream_id, (other, other_id) in instance.streams.items():
            self._transmit(
                instance,
                stream_id,
                other,
                lambda other=other, other_id=other_id: self._handle_remote_close(
                    other, other_id
                ),
            )
        instance.streams.clear()

    def power_off(self, name: str) -> None:
        """Cut the power of a machine; its connections are not closed."""
        self.powered_off.add(name)
        self.instances[name].alive = False

    def reset_streams(self) -> None:
        """Reset the streams between instances whose link is cut."""
        for instance in self.instances.values():
            for stream_id, (other, _) in list(instance.streams.items()):
                if self.cut(instance.name, other.name):
                    self._handle_remote_close(instance, stream_id)

    def freeze(self, name: str) -> None:
        """Suspend a process and defer its events."""
        self.instances[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a process and deliver its deferred events."""
        instance = self.instances[name]
        instance.frozen = False
        self._process_next_event(instance)
        deferred_events, instance.deferred_events = instance.deferred_events, []
        for event in deferred_events:
            self.tell(instance, event)

    def stop(self, name: str) -> None:
        """Request a planned stop of a process."""
        self.tell(self.instances[name], StopRequested())

    def submit(
        self,
        job: JobRequest,
        route: Route,
        instance: str,
        deadline_ms: Milliseconds = 1_500,
        trace: TraceParent | None = None,
    ) -> TestJob:
        """Submit a job to an instance; nothing arrives if the process is dead."""
        known = self.jobs.get(job.job_id)
        if known is None:
            known = self.jobs[job.job_id] = TestJob(job, route, self.now)
        process = self.instances[instance]
        if not process.alive:
            return known
        self._last_request += 1
        request_id = self._last_request
        known.open_requests += 1
        self.audit.record_submission(job.job_id)
        process.requests[request_id] = known
        path = route.prefix + job.job_id
        event = JobRequested(
            request_id, route.host, path, job, deadline_ms, trace=trace
        )
        self.tell(process, event)
        return known

    def give_up(self, job: TestJob, reset: bool = False) -> None:
        """Disconnect all callers of a job, with or without a reset."""
        for process in self.instances.values():
            for request_id, other in list(process.requests.items()):
                if other is job:
                    del process.requests[request_id]
                    job.open_requests -= 1
                    self.tell(process, CallerGone(request_id, reset))

    def run(self, duration_ms: float) -> None:
        """Run the simulation for a time."""
        self.queue.run_until(self.queue.now + duration_ms)


def simple_job(
    number: int, count: int, millicores: int, duration_ms: int
) -> JobRequest:
    """Return a job with one step of `count` equal tasks."""
    step = StepRequest(count, Resources(millicores, 64, 0), duration_ms)
    return JobRequest(f"{number:016x}", "spec", (step,))
