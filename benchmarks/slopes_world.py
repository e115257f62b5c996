"""What several instances do together: calls, views, handover and fences."""

from random import Random

from benchmarks.core_bench import ZONES, make_job
from benchmarks.slope_fits import Point, Slope, make_slope, register_measurement
from sassafrasloft.core import CallPlatform, Command, Fence, Probe, SendToPeer
from sassafrasloft.messages import Handover
from sassafrasloft.messages.codec import encode_message
from sassafrasloft.testing import World, make_settings
from sassafrasloft.testing.hosts import InstanceHost
from sassafrasloft.testing.network import Network
from sassafrasloft.testing.services import Deployment, make_core
from sassafrasloft.testing.workload import PlannedJob

START_MS = 5_000.0
IDLE_S = 20
INSTANCES = (4, 8, 16, 32)
VIEWED = (4, 8, 9, 10, 12, 16, 32)


class CountingWorld(World):
    """A world that also counts some commands by kind."""

    def __init__(self, instances: int, runners: int) -> None:
        deployment = Deployment("capacity", "region-1", ZONES, 1.0)
        settings = make_settings(deployment, instances, runners, 8, 8)
        network = Network(Random(1))
        super().__init__(settings, network, 1, make_core)
        self.counts: dict[str, int] = {}
        self.handover_bytes = 0
        self.start()
        self.queue.run_until(START_MS)
        self.counts.clear()

    def carry_out(self, host: InstanceHost, command: Command) -> None:
        """Count a command and carry it out."""
        kind = type(command).__name__
        if isinstance(command, CallPlatform):
            kind = type(command.call).__name__
        if isinstance(command, SendToPeer) and isinstance(command.message, Handover):
            self.handover_bytes += len(encode_message(command.message))
        self.counts[kind] = self.counts.get(kind, 0) + 1
        super().carry_out(host, command)

    def submit_jobs(self, jobs: int, tasks: int, run_ms: int) -> None:
        """Hand jobs in over one second."""
        for number in range(jobs):
            spec = make_job(f"team-{number % 8}", tasks, run_ms)
            token = f"job-{number}"
            arrival_ms = START_MS + 1_000 * number / jobs
            job = PlannedJob(token, arrival_ms, spec, (run_ms,) * tasks)
            self.queue.at(
                arrival_ms, lambda job=job: self.callers.submit_planned_job(job)
            )


@register_measurement("platform_calls")
def platform_calls() -> list[Slope]:
    """Measure calls to the platform by instances, without jobs."""
    kinds = ("ListInstances", "RenewLease", "WatchKey")
    found: dict[str, list[Point]] = {kind: [] for kind in kinds}
    for instances in INSTANCES:
        world = CountingWorld(instances, 24)
        world.queue.run_until(START_MS + IDLE_S * 1_000)
        for kind in kinds:
            rate = world.counts.get(kind, 0) / IDLE_S
            found[kind].append(Point(instances, rate))
    fixed = "24 runners, idle, no change of settings"
    return [
        make_slope(f"calls_{kind}", "instances", "calls a second", fixed, points)
        for kind, points in found.items()
    ]


@register_measurement("live_instances")
def live_instances() -> list[Slope]:
    """Measure how many of all live instances an instance counts as live."""
    found = []
    for instances in VIEWED:
        world = CountingWorld(instances, 24)
        world.queue.run_until(40_000)
        views = [host.board.queue.live_instances for host in world.live_hosts()]
        found.append(Point(instances, sum(views) / len(views)))
    fixed = "24 runners, gossip fanout 8, after 40 s without a fault"
    return [make_slope("live_seen", "instances", "mean seen live", fixed, found)]


@register_measurement("handover")
def handover() -> list[Slope]:
    """Measure what a stopping instance sends to its heir, by its recent jobs."""
    found = []
    for jobs in (30, 120, 480):
        world = CountingWorld(3, 24)
        world.submit_jobs(jobs, 10, 50)
        world.queue.run_until(START_MS + 20_000)
        name = world.settings.instances[0].name
        kept = len(world.hosts[name].board.jobs.answers)
        world.drain_instance(name)
        world.queue.run_until(START_MS + 60_000)
        found.append(Point(kept, world.handover_bytes))
    fixed = "3 instances, 10 tasks a job"
    return [make_slope("handover_bytes", "kept answers", "bytes", fixed, found)]


def _crash(instances: int, runners: int) -> CountingWorld:
    """Return a world a minute after one instance crashed amid its jobs."""
    world = CountingWorld(instances, runners)
    world.submit_jobs(20 * instances, 10, 2_000)
    world.queue.run_until(START_MS + 1_500)
    world.counts.clear()
    world.kill_instance(world.settings.instances[0].name)
    world.queue.run_until(START_MS + 60_000)
    return world


@register_measurement("fences")
def fences() -> list[Slope]:
    """Measure fences after a crash, and probes of a start, by runners."""
    fenced, probed = [], []
    for runners in (8, 24, 48, 96):
        world = _crash(3, runners)
        fenced.append(Point(runners, world.counts.get(Fence.__name__, 0)))
        world.counts.clear()
        world.restart_instance(world.settings.instances[0].name)
        world.queue.run_until(START_MS + 62_000)
        probed.append(Point(runners, world.counts.get(Probe.__name__, 0)))
    survivors = [
        Point(instances - 1, _crash(instances, 24).counts.get(Fence.__name__, 0))
        for instances in (3, 5, 9, 13)
    ]
    fixed = "3 instances, 60 jobs of 10 tasks in flight"
    other = "24 runners, 20 jobs an instance"
    return [
        make_slope("fences_by_runners", "runners", "fences", fixed, fenced),
        make_slope("fences_by_survivors", "survivors", "fences", other, survivors),
        make_slope("probes_by_runners", "runners", "probes", "a start", probed),
    ]
