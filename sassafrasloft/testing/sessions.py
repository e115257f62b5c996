"""Scripted sessions of a small service, whose logs are kept as golden files.

``python -m sassafrasloft.testing.sessions`` rewrites the golden files.
"""

from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

import attrs
from returns.result import Success

from sassafrasloft.configuration import settings_key
from sassafrasloft.configuration.publish import Edit, publish
from sassafrasloft.messages import (
    PlatformCall,
    PlatformReply,
    ReadKey,
    Unavailable,
    WriteKey,
)
from sassafrasloft.settings import render_document
from sassafrasloft.testing.services import DEPLOYMENTS, make_settings, make_world
from sassafrasloft.testing.session_log import SessionLog
from sassafrasloft.testing.workload import Workload, draw_jobs
from sassafrasloft.testing.world import World

GOLDEN_DIRECTORY = Path(__file__).parent / "tests" / "golden"
SEED = 11
INSTANCES = 3
RUNNERS = 6
SLOTS = 2
FIRST_ARRIVAL_MS = 3_000.0
"""Jobs arrive from this time on, after the instances have connected."""
ARRIVAL_PERIOD_MS = 20_000.0
"""Default duration of the arrival of jobs, from `FIRST_ARRIVAL_MS` on."""
MAX_SESSION_MS = 300_000.0
"""Latest end of a session; a job without an answer by then indicates a fault."""

Script = Callable[[World, SessionLog], None]


@attrs.frozen
class Session:
    """A scripted session: the load, and the events besides the arriving jobs.

    Parameters
    ----------
    script : callable
        Schedules the events in the queue of the world.
    load : float
        Mean share of the slots that the jobs occupy.
    duration_ms : float
        Duration of the arrival of jobs.
    """

    name: str
    script: Script
    load: float
    duration_ms: float

    @property
    def path(self) -> Path:
        """The path of the golden file."""
        return GOLDEN_DIRECTORY / f"{self.name}.golden"


_SESSIONS: dict[str, Session] = {}


def register_session(
    name: str, load: float = 0.25, duration_ms: float = ARRIVAL_PERIOD_MS
) -> Callable[[Script], Script]:
    """Return a decorator that registers a script as a session."""

    def register(script: Script) -> Script:
        _SESSIONS[name] = Session(name, script, load, duration_ms)
        return script

    return register


def sessions() -> dict[str, Session]:
    """Return all sessions by name, in order of registration."""
    return dict(_SESSIONS)


def run_session(name: str, seed: int = SEED) -> str:
    """Run a session and return its log.

    Raises
    ------
    InvariantViolated
        If an invariant is violated.
    """
    session = _SESSIONS[name]
    deployment = DEPLOYMENTS["tsagaan-mod"]
    settings = make_settings(deployment, INSTANCES, RUNNERS, SLOTS, teams=3)
    world = make_world(deployment, seed, settings)
    log = SessionLog(world)
    world.start()
    workload = Workload(
        load=session.load, max_tasks=8, teams=3, declared_error_factor=4.0
    )
    jobs = draw_jobs(workload, RUNNERS * SLOTS, session.duration_ms, Random(seed))
    for job in jobs:
        world.queue.at(
            FIRST_ARRIVAL_MS + job.arrival_ms,
            partial(world.callers.submit_planned_job, job),
        )
    session.script(world, log)
    end_ms = FIRST_ARRIVAL_MS + session.duration_ms
    world.queue.run_until(end_ms)
    while world.callers.open_jobs and end_ms < MAX_SESSION_MS:
        end_ms += 1_000
        world.queue.run_until(end_ms)
    return log.text


def _schedule(
    world: World, time_ms: float, action: Callable[..., None], *given
) -> None:
    world.queue.at(time_ms, partial(action, *given))


@register_session("steady_day")
def steady_day(world: World, log: SessionLog) -> None:
    """Let jobs arrive at a constant mean rate, without a fault."""


@register_session("burst", load=0.08)
def burst(world: World, log: SessionLog) -> None:
    """Submit more jobs at once than the slots can run."""
    workload = Workload(load=0.1, max_tasks=16, teams=3, declared_error_factor=4.0)
    jobs = draw_jobs(workload, RUNNERS * SLOTS, 400_000, Random(SEED + 1))[:12]
    for index, job in enumerate(jobs):
        named = attrs.evolve(job, token=f"burst-{index}")
        tasks = tuple(
            attrs.evolve(task, name=f"burst-{index}/{place}")
            for place, task in enumerate(job.spec.tasks)
        )
        named = attrs.evolve(named, spec=attrs.evolve(job.spec, tasks=tasks))
        _schedule(world, 8_000, world.callers.submit_planned_job, named)


@register_session("cancellation_wave", load=0.7, duration_ms=7_000)
def cancellation_wave(world: World, log: SessionLog) -> None:
    """Let all callers cancel their open jobs, twice."""

    def cancel() -> None:
        log.add_line("callers", "cancel all open jobs")
        for caller in world.callers.callers:
            caller.cancel()

    _schedule(world, 5_500, cancel)
    _schedule(world, 8_500, cancel)


@register_session("rolling_restart", load=0.15)
def rolling_restart(world: World, log: SessionLog) -> None:
    """Drain and replace the instances one after the other."""
    names = [instance.name for instance in world.settings.instances]

    def drain(place: int) -> None:
        if place < len(names):
            log.add_line("operator", f"drains {names[place]}")
            world.drain_instance(names[place])
            world.queue.after(500, partial(replace, place))

    def replace(place: int) -> None:
        if world.hosts[names[place]].alive:
            world.queue.after(500, partial(replace, place))
            return
        world.restart_instance(names[place])
        world.queue.after(2_000, partial(drain, place + 1))

    _schedule(world, 4_000, drain, 0)


@register_session("zone_cut")
def zone_cut(world: World, log: SessionLog) -> None:
    """Partition one zone from the others and the platform, then heal."""
    zone = world.settings.zones[0]

    def partition() -> None:
        log.add_line("network", f"{zone} is cut off")
        world.partition_zone(zone)

    def heal() -> None:
        log.add_line("network", "heals")
        world.heal()

    _schedule(world, 6_000, partition)
    _schedule(world, 14_000, heal)


class SettingsEditor:
    """Operator who publishes settings and logs the results.

    Parameters
    ----------
    world : World
        The world whose platform stores the settings.
    log : SessionLog
        Receives the attempts and results.
    """

    def __init__(self, world: World, log: SessionLog) -> None:
        self._world = world
        self._log = log
        self._texts: dict[int, str] = {}

    def publish(self, edit_id: str, base: int, max_jobs: int) -> None:
        """Publish an edit of the limit `max_jobs`, based on a revision."""
        limits = attrs.evolve(self._world.settings.limits, max_jobs=max_jobs)
        settings = attrs.evolve(self._world.settings, limits=limits)

        def render(revision: int, recent: tuple[str, ...]) -> str:
            return render_document(revision, edit_id, "operator", settings, recent)

        key = settings_key(settings.service)
        edit = Edit(key, base, edit_id, render, self._texts.get(base, ""))
        self._log.add_line("operator", f"publishes {edit_id} on revision {base}")
        result = publish(self._call, edit)
        if isinstance(result, Success):
            published = result.unwrap()
            self._texts[published.revision] = render(published.revision, ())
            read_back = " (read back)" if published.read_back else ""
            self._log.add_line(
                "operator", f"told: revision {published.revision}{read_back}"
            )
        else:
            self._log.add_line("operator", f"told: {result.failure()}")

    def _call(self, request: PlatformCall) -> PlatformReply:
        platform = self._world.platform
        if platform.logic.admit(type(request).__name__, int(self._world.now)) != 200:
            return Unavailable("no answer")
        if isinstance(request, WriteKey):
            return platform.write(request)
        assert isinstance(request, ReadKey)
        return platform.logic.read(request.key)


@register_session("platform_outage", load=0.15)
def platform_outage(world: World, log: SessionLog) -> None:
    """Publish edits before, during and after an outage of the platform."""
    faults = world.platform.logic.faults

    def set_outage(outage: bool) -> None:
        log.add_line("platform", "outage" if outage else "answers again")
        faults.outage = outage

    editor = SettingsEditor(world, log)
    _schedule(world, 4_000, editor.publish, "edit-1", 0, 500)
    _schedule(world, 6_000, set_outage, True)
    _schedule(world, 8_000, editor.publish, "edit-2", 1, 400)
    _schedule(world, 16_000, set_outage, False)
    _schedule(world, 17_000, editor.publish, "edit-2", 1, 400)
    _schedule(world, 18_000, editor.publish, "edit-3", 1, 300)
    _schedule(world, 19_000, editor.publish, "edit-2", 1, 400)


@register_session("instance_crash")
def instance_crash(world: World, log: SessionLog) -> None:
    """Kill an instance with open jobs; its callers resubmit them elsewhere."""
    name = world.settings.instances[0].name

    def kill() -> None:
        log.add_line(name, "is killed")
        world.kill_instance(name)

    _schedule(world, 8_000, kill)
    _schedule(world, 16_000, world.restart_instance, name)


def write_golden_files() -> None:
    """Run all sessions and write their golden files."""
    GOLDEN_DIRECTORY.mkdir(exist_ok=True, parents=True)
    for session in _SESSIONS.values():
        session.path.write_text(run_session(session.name), "utf-8")


if __name__ == "__main__":
    write_golden_files()
