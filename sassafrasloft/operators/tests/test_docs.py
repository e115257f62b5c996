"""Tests of the pages in docs/ against the repository."""

import re
from pathlib import Path

import pytest

import sassafrasloft
from sassafrasloft.operators.telemetry_names import names_in_code, normal_name

ROOT = Path(sassafrasloft.__file__).parents[1]
PAGES = sorted([*ROOT.glob("docs/*.md"), ROOT / "README.md"])
TOP = ("benchmarks", "changes", "docs", "examples", "sassafrasloft", ".ci")
_PATH = re.compile(rf"(?:{'|'.join(map(re.escape, TOP))})/[\w./*<>-]*\w")
_MODULE = re.compile(r"python -m ((?:sassafrasloft|benchmarks)[\w.]*)")
_LINK = re.compile(r"\]\(([^)#:]+)\)")
_TARGET = re.compile(r"`make ([a-z-]+)")
_ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


def exists(path: str) -> bool:
    if "<" in path:
        return True
    if "*" in path:
        return any(ROOT.glob(path))
    found = ROOT / path
    return found.exists() or found.with_suffix(".py").exists()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_page_names_nothing_that_does_not_exist(page):
    """Guards against pages that send operators to files or targets long gone."""
    text = page.read_text("utf-8")
    missing = [path for path in _PATH.findall(text) if not exists(path)]
    missing += [
        module
        for module in _MODULE.findall(text)
        if not exists(module.replace(".", "/"))
    ]
    missing += [
        link for link in _LINK.findall(text) if not (page.parent / link).exists()
    ]
    makefile = (ROOT / "Makefile").read_text("utf-8")
    missing += [
        target for target in _TARGET.findall(text) if f"\n{target}:" not in makefile
    ]
    assert missing == []


@pytest.mark.parametrize(
    ("section", "kind", "elsewhere"),
    [
        ("Metrics", "metrics", {"metrics_series_dropped"}),
        ("Log events", "events", set()),
        ("Messages of the process", "messages", set()),
        ("Metrics of instances", "metrics", set()),
        ("Log events of instances", "events", set()),
        ("Messages of instances", "messages", set()),
    ],
)
def test_observability_lists_what_the_code_writes(section, kind, elsewhere):
    """Guards against metrics and log events that nobody can look up."""
    text = (ROOT / "docs" / "observability.md").read_text("utf-8")
    rows = text.split(f"\n## {section}\n")[1].split("\n## ")[0]
    listed = [normal_name(name) for name in _ROW.findall(rows)]
    assert len(listed) == len(set(listed))
    in_code = names_in_code(of_instances=section.endswith("of instances"))
    assert set(listed) == getattr(in_code, kind) | elsewhere


def test_benchmarks_page_lists_every_command():
    """Guards against runs that nobody finds."""
    text = (ROOT / "docs" / "benchmarks.md").read_text("utf-8")
    commands = [
        path.stem
        for path in sorted(ROOT.glob("benchmarks/*.py"))
        if '__name__ == "__main__"' in path.read_text("utf-8")
    ]
    missing = [one for one in commands if f"benchmarks.{one}`" not in text]
    assert missing == []
