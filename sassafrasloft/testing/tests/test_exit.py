"""Tests of requests that arrive during the planned stop of an instance."""

from random import Random

from sassafrasloft.jobs import Fate
from sassafrasloft.testing import Workload, make_settings, make_world
from sassafrasloft.testing.services import DEPLOYMENTS
from sassafrasloft.testing.workload import draw_job

WORKLOAD = Workload(max_tasks=1, teams=1)


def submit_jobs(world, prefix):
    random = Random(1)
    for place in range(6):
        job = draw_job(WORKLOAD, f"{prefix}-{place}", world.now, random)
        world.callers.submit_planned_job(job)


def test_a_request_read_during_exit_is_answered():
    """Guards against an exit that breaks a request which was just forwarded.

    A paused process has a request and the handover reply of its heir in its socket
    buffers. It must not exit on the reply before the request is answered.
    """
    deployment = DEPLOYMENTS["cestas-colgantes"]
    settings = make_settings(deployment, 2, runners=4, slots=4, teams=1)
    world = make_world(deployment, 1, settings)
    world.start()
    world.queue.run_until(1_000)
    submit_jobs(world, "first")
    world.queue.run_until(8_000)
    name = settings.instances[0].name
    assert any(caller.connection == name for caller in world.callers.callers)
    world.drain_instance(name)
    # The handover is sent when accepting ends; its reply takes two hops.
    world.queue.run_until(8_000 + settings.membership.balancer_lag_ms + 2)
    world.hosts[name].pause(100)
    submit_jobs(world, "second")
    world.queue.run_until(20_000)
    assert not world.hosts[name].alive
    assert [end.fate for end in world.callers.ends] == [Fate.COMPLETE] * 12
