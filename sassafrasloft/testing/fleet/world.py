"""A fleet of decision cores with stand-ins, driven by one event queue."""

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
from sassafrasloft.testing.fleet.documents import JsonDocuments
from sassafrasloft.testing.fleet.edges import (
    SERVICE,
    UPTIME_MS,
    FleetEdges,
    Instance,
    TestJob,
)
from sassafrasloft.testing.fleet.processor import Processor, WorkCosts
from sassafrasloft.testing.fleet.runner_faults import RunnerFaults
from sassafrasloft.traces import TraceParent
from sassafrasloft.workload import (
    JobRequest,
    Resources,
    Route,
    ServiceConfiguration,
    StepRequest,
)


class FleetWorld(FleetEdges):
    """Instances, a store, runners and callers.

    Parameters
    ----------
    zones : dict
        Number of instances by availability zone.
    runners : int
        In each zone.
    seed : int
    tuning : Tuning, optional
    capacity : int
        Of each runner, in millicores.
    costs : WorkCosts, optional
        Processor time of the instances' work; none is charged without it.
    cores : dict, optional
        Of instances that have not one core, by name.
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
        # A machine has been up for a while when the first process starts.
        self.queue.run_until(UPTIME_MS)
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
        """Whether nothing gets from one place to another.

        Places are named by instance, runner or store.
        """
        self.store_down = False
        self.lose_replies = 0.0
        """Share of the store's writes whose replies are lost."""
        self.late_writes = 0.0
        """Share of transactions that get no answer and are carried out late."""
        self.retransmit_ms = 0
        """Period in which streams try again in a cut; 0 if they lose what is sent."""
        self.late_orders = 0.0
        """Share of starts and stops that get no answer and are carried out late."""
        self.timer_delay: dict[str, int] = {}
        """How late the timers of an instance are, in milliseconds."""
        self.lost_holds = 0.0
        """Share of holds that get no answer."""
        self.runner_faults = RunnerFaults()
        self.durations: dict[str, StandinTask] = {}
        self.dark: set[str] = set()
        """Machines without power: connections to them are not refused."""
        self._watches: list[tuple[Instance, CallStore, float]] = []
        self._due: dict[LeaseRunnerStandin, float] = {}
        self._last_request = 0
        self._routes: tuple[Route, ...] = ()
        for zone, count in zones.items():
            for number in range(runners):
                self.add_runner(f"runner-{zone}-{number}", zone, capacity)
            for number in range(count):
                self.start_instance(f"{zone}-{number}", zone)

    def configure(self, version: int, routes: tuple[Route, ...]) -> None:
        """Write a configuration as the operator does."""
        self._routes = routes
        configuration = ServiceConfiguration(version, routes)
        value = self.documents.write(configuration)
        self.store.put(self.documents.configuration_key, value)
        self._wake_watches()

    def add_runner(
        self, runner_id: str, zone: str, capacity: int, born: int = 0
    ) -> LeaseRunnerStandin:
        """Start a runner and register it."""
        entry = RunnerEntry(
            runner_id,
            SERVICE,
            f"address-of-{runner_id}",
            zone,
            False,
            Resources(capacity, 100_000, 0),
            started_at_ms=born,
        )
        runner = LeaseRunnerStandin(entry, self.task_of)
        runner.on_start = lambda run: self.audit.run_begins(runner, run, self.now)
        runner.on_end = lambda run, end: self.audit.run_ends(runner, run, end)
        self.runners[runner_id] = runner
        self.register(entry)
        return runner

    def register(self, entry: RunnerEntry) -> None:
        """Write a runner's entry."""
        key = self.documents.runners_prefix + entry.runner_id
        self.store.put(key, self.documents.write(entry))

    def unregister(self, runner_id: str) -> None:
        """Let a runner's entry lapse."""
        self.store.delete(self.documents.runners_prefix + runner_id)

    def restart_runner(self, runner_id: str) -> LeaseRunnerStandin:
        """Crash a runner and start it again under its id."""
        old = self.runners[runner_id]
        old.advance(self.now)
        self.audit.runner_crashes(old)
        return self.add_runner(
            runner_id, old.entry.zone, old.entry.capacity.millicores, self.now + 1
        )

    def task_of(self, name: str) -> StandinTask:
        """Return what a task needs, from the job that it belongs to."""
        if name in self.durations:
            return self.durations[name]
        job_id, _, step, _ = name.split(".")
        request = self.jobs[job_id].job.steps[int(step)]
        return StandinTask(
            request.demand, float(request.estimate_ms), rack=request.preferred_rack
        )

    def start_instance(self, name: str, zone: str) -> Instance:
        """Start a process."""
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
        self.dark.discard(name)
        instance = Instance(name, zone, address, core, processor=Processor(cores))
        self.instances[name] = instance
        self.queue.after(
            self.random.randrange(20), lambda: self.tell(instance, Started())
        )
        return instance

    def kill(self, name: str) -> None:
        """End a process at once; its connections are reset."""
        instance = self.instances[name]
        instance.alive = False
        for stream_id, (other, other_id) in instance.streams.items():
            self._transmit(
                instance,
                stream_id,
                other,
                lambda other=other, other_id=other_id: self._close(other, other_id),
            )
        instance.streams.clear()

    def power_off(self, name: str) -> None:
        """End a machine at once; nobody is told."""
        self.dark.add(name)
        self.instances[name].alive = False

    def reset_streams(self) -> None:
        """Reset the streams between instances that are cut off from each other."""
        for instance in self.instances.values():
            for stream_id, (other, _) in list(instance.streams.items()):
                if self.cut(instance.name, other.name):
                    self._close(instance, stream_id)

    def freeze(self, name: str) -> None:
        """Suspend a process; its events wait."""
        self.instances[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a process."""
        instance = self.instances[name]
        instance.frozen = False
        self._work(instance)
        held, instance.held = instance.held, []
        for event in held:
            self.tell(instance, event)

    def stop(self, name: str) -> None:
        """Ask a process to stop."""
        self.tell(self.instances[name], StopRequested())

    def submit(
        self,
        job: JobRequest,
        route: Route,
        instance: str,
        deadline_ms: Milliseconds = 1_500,
        trace: TraceParent | None = None,
    ) -> TestJob:
        """Hand a job in at an instance."""
        known = self.jobs.get(job.job_id)
        if known is None:
            known = self.jobs[job.job_id] = TestJob(job, route, self.now)
        process = self.instances[instance]
        if not process.alive:
            return known
        self._last_request += 1
        request_id = self._last_request
        known.open += 1
        self.audit.submitted(job.job_id)
        process.requests[request_id] = known
        path = route.prefix + job.job_id
        event = JobRequested(
            request_id, route.host, path, job, deadline_ms, trace=trace
        )
        self.tell(process, event)
        return known

    def give_up(self, job: TestJob, reset: bool = False) -> None:
        """Let the callers of a job leave."""
        for process in self.instances.values():
            for request_id, one in list(process.requests.items()):
                if one is job:
                    del process.requests[request_id]
                    job.open -= 1
                    self.tell(process, CallerGone(request_id, reset))

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        self.queue.run_until(self.queue.now + duration_ms)


def simple_job(
    number: int, count: int, millicores: int, duration_ms: int
) -> JobRequest:
    """Return a job of one step."""
    step = StepRequest(count, Resources(millicores, 64, 0), duration_ms)
    return JobRequest(f"{number:016x}", "spec", (step,))
