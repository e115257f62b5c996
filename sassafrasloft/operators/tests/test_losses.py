"""Counting lost requests by the decision that lost them."""

import json

from sassafrasloft.operators.log_lines import read_lines
from sassafrasloft.operators.losses import lost_requests, objectives, render_losses


def line(time, event, **fields):
    return json.dumps({"time": time, "event": event, "instance": "a"} | fields)


def answered(time, job, answer, reason="", duration_ms=50, route="orders"):
    return line(
        time,
        "request_answered",
        job=job,
        route=route,
        answer=answer,
        reason=reason,
        duration_ms=duration_ms,
    )


TEXTS = [
    answered(14.1, "e", "refused", "no room in time"),
    answered(10.0, "a", "completed", duration_ms=150),
    answered(10.1, "b", "completed", duration_ms=90),
    line(10.1, "job_ended", job="a", objective_ms=100, outcome="completed"),
    line(10.1, "job_ended", job="b", objective_ms=100, outcome="completed"),
    answered(10.2, "c", "refused", "the work ahead takes 431 ms"),
    answered(10.3, "d", "refused", "the work ahead takes 77 ms", route="lookups"),
    line(10.4, "job_beyond_intake", job="f", share=0.5),
    line(10.5, "request_without_route", path="/x"),
]


def lost():
    lines = read_lines(TEXTS)
    return lost_requests(lines, objectives(lines))


def test_each_lost_request_has_one_cause():
    """Guards against losses that are left out or counted under figures."""
    assert [(one.cause, one.route) for one in lost()] == [
        ("completed late", "orders"),
        ("refused: the work ahead takes N ms", "orders"),
        ("refused: the work ahead takes N ms", "lookups"),
        ("refused by the instance: the scheduler is overloaded", ""),
        ("refused: no room in time", "orders"),
    ]


def test_tables_show_causes_routes_and_windows():
    text = render_losses(lost())
    assert "      2          0          1          1  refused: the work ahead" in text
    assert "     +0 s      4  2 refused: the work ahead takes N ms" in text
    assert "     +4 s      1  1 refused: no room in time" in text
    assert render_losses([]) == "no lost requests"


def test_lines_with_fields_of_other_types_are_passed_over():
    """Guards against a foreign line that ends the command."""
    texts = [
        line(1.0, "job_ended", job="a", objective_ms="much"),
        answered(1.0, "a", "completed", duration_ms="long"),
    ]
    lines = read_lines(texts)
    assert lost_requests(lines, objectives(lines)) == []
