"""Comparing the scores of deployments."""

import json

from benchmarks.compare_scores import describe, falls, read_scores


def write_score(folder, name, at, days, site="a", cmd="score"):
    entry = {
        "cmd": cmd,
        "site": site,
        "head": f"{name}0000000",
        "at": [at],
        "days": days,
    }
    (folder / f"{name}.json").write_text(json.dumps(entry))


def day(name, worth, rules=None):
    return {"name": name, "G": worth, "rules": rules or {}}


def test_falls_and_broken_rules_are_found(tmp_path):
    """Guards against a fall that is missed among the days of a score."""
    first = [day("quiet-1", 0.95), day("trouble-1", 0.72), day("fresh-1", 0.9)]
    second = [
        day("quiet-1", 0.93),
        day("trouble-1", 0.68),
        day("scale-1", 0.5),
        day("fresh-2", 0.1, {"TWICE": 1}),
    ]
    write_score(tmp_path, "bbb", "2026-12-04T10:00:00Z", second)
    write_score(tmp_path, "ccc", "2026-12-04T09:00:00Z", first)
    write_score(tmp_path, "ddd", "2026-12-04T11:00:00Z", first, cmd="hunt")
    write_score(tmp_path, "eee", "2026-12-04T11:00:00Z", [], site="b")
    scores = read_scores(tmp_path)
    assert set(scores) == {"a"}
    before, after = scores["a"]
    assert falls(before, after) == ["trouble-1"]
    text = describe(before, after)
    assert text.startswith("a: ccc0000 | bbb0000")
    assert "fresh-2: a rule was BROKEN" in text
    assert "not played       0.500" in text
