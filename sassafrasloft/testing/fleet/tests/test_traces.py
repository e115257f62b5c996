"""Spans of a traced job, from its caller to the runners."""

import json

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.tests.situations import (
    LOOKUP,
    ORDER,
    follower_names,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job
from sassafrasloft.traces import TraceParent, read_spans, render_trace

CALLER = TraceParent("a" * 32, "b" * 16)


def spans_of(world):
    spans = []
    for name, instance in world.instances.items():
        for _, line in instance.log:
            if line.event == "span":
                spans.append({"instance": name, **dict(line.fields)})
    return spans


def test_each_stage_of_traced_job_has_a_span():
    world = settled_world()
    name = follower_names(world)[0]
    job = simple_job(1, 4, 14_000, 60)
    world.submit(job, LOOKUP, name, trace=CALLER)
    world.run(300)
    spans = spans_of(world)
    by_name = {one["name"]: one for one in spans}
    assert sorted(one["name"] for one in spans) == (
        ["request"] + ["run"] * 4 + ["schedule", "wait"]
    )
    assert by_name["request"]["parent"] == CALLER.span_id
    assert by_name["request"]["instance"] == name
    assert by_name["schedule"]["parent"] == by_name["request"]["span"]
    assert by_name["schedule"]["instance"] == scheduler_of(world)
    for one in spans:
        assert one["trace"] == CALLER.trace_id
        assert one["job"] == job.job_id
        if one["name"] in ("run", "wait"):
            assert one["parent"] == by_name["schedule"]["span"]
    assert len({one["span"] for one in spans}) == len(spans)


def test_trace_continues_under_successor():
    """Guards against losing the trace of jobs affected by a takeover.

    These are the jobs whose course needs an explanation.
    """
    world = settled_world()
    name = follower_names(world)[0]
    job = world.submit(simple_job(1, 2, 14_000, 900), ORDER, name, trace=CALLER)
    world.run(200)
    world.kill(scheduler_of(world))
    world.run(1_500)
    assert job.answer.kind is AnswerKind.COMPLETED
    schedulers = {one["instance"] for one in spans_of(world) if one["name"] == "run"}
    assert schedulers == {scheduler_of(world)}


def test_job_without_trace_writes_no_span():
    """Guards against the cost of spans that no caller asked for."""
    world = settled_world()
    world.submit(simple_job(1, 4, 14_000, 60), LOOKUP, follower_names(world)[0])
    world.run(300)
    assert spans_of(world) == []


def test_spans_are_read_from_log_among_other_lines(tmp_path):
    world = settled_world()
    world.submit(
        simple_job(1, 1, 14_000, 60), LOOKUP, follower_names(world)[0], trace=CALLER
    )
    world.run(300)
    path = tmp_path / "log"
    with path.open("w") as file:
        for name, instance in world.instances.items():
            for at, line in instance.log:
                values = {
                    "time": at / 1_000,
                    "level": line.level,
                    "event": line.event,
                    "instance": name,
                    **dict(line.fields),
                }
                file.write(json.dumps(values) + "\n")
    spans = read_spans(path).unwrap()
    assert len(spans) == 4
    assert all(one.end_ms >= one.start_ms for one in spans)
    text = render_trace(spans, "aaaa")
    assert text.index("request") < text.index("schedule") < text.index("run")
