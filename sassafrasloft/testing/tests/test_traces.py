"""Tests of the trace spans of a job, from its acceptance to its deliveries."""

from sassafrasloft.core import IdsRequested, JobSubmitted, RecordSpan, Reply
from sassafrasloft.core.events import TraceContext
from sassafrasloft.jobs import JobSpec, TaskSpec
from sassafrasloft.testing import make_settings, make_world
from sassafrasloft.testing.services import DEPLOYMENTS


def test_a_traced_job_has_a_span_for_each_hop(monkeypatch):
    """Guards against a trace that ends at the entry instance.

    The spans of the owner and of the deliveries must belong to the same trace.
    """
    deployment = DEPLOYMENTS["tsagaan-mod"]
    world = make_world(deployment, 3, make_settings(deployment, 2, 3, 2))
    commands = []
    carry_out = world.carry_out

    def record(host, command):
        commands.append(command)
        carry_out(host, command)

    monkeypatch.setattr(world, "carry_out", record)
    world.start()
    world.queue.run_until(3_000)
    owner, other = world.live_hosts()
    owner.handle_event(IdsRequested("r1", "team-0"))
    (issued,) = [one.content for one in commands if isinstance(one, Reply)]
    job = JobSpec("team-0", tuple(TaskSpec(f"t{n}") for n in range(5)))
    trace = TraceContext("ab" * 16, "cd" * 8)
    (submission_id,) = issued.submission_ids
    other.handle_event(JobSubmitted("r2", submission_id, job, 5_000, trace))
    world.queue.run_until(6_000)
    spans = [one for one in commands if isinstance(one, RecordSpan)]
    assert {span.trace_id for span in spans} == {trace.trace_id}
    assert {span.name for span in spans} == {"forward", "job", "delivery"}
    (job_span,) = [span for span in spans if span.name == "job"]
    assert job_span.parent_id == trace.span_id
    deliveries = [span for span in spans if span.name == "delivery"]
    assert all(span.parent_id == job_span.span_id for span in deliveries)
    assert all(
        job_span.start_ms <= span.end_ms <= job_span.end_ms for span in deliveries
    )
    assert len({span.span_id for span in spans}) == len(spans)
    assert all(not host.board.upstreams.spans for host in world.live_hosts())
