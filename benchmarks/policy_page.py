"""Rewrites the tables of docs/measurements.md from the policy benchmark.

Usage: python -m benchmarks.policy_page
"""

import json
import sys
from pathlib import Path
from typing import Any

from benchmarks.pages import replace_table, table

PAGE = Path(__file__).parents[1] / "docs" / "measurements.md"
RESULTS = Path(__file__).parent / "results" / "policies.json"
HEADINGS = (
    "scenario",
    "policy",
    "p50",
    "p99",
    "wasted a task",
    "largest causes",
    "control B/s",
    "jobs not complete",
)
LARGEST = 2


def _cells(one: dict[str, Any]) -> tuple[object, ...]:
    causes = sorted(one["wasted_by_cause"].items(), key=lambda pair: -pair[1])
    failed = [f"{kind.replace(':', ' ')}: {n}" for kind, n in one["failed"].items()]
    return (
        one["scenario"],
        one["policy"],
        f"{one['response_p50']:.3f}",
        f"{one['response_p99']:.2f}",
        f"{one['wasted']:.4f}",
        ", ".join(f"{cause} {value:.4f}" for cause, value in causes[:LARGEST]),
        one["control_bytes_per_second"],
        ", ".join(failed) or "none",
    )


def fill_page(text: str, results: list[dict[str, Any]]) -> str:
    """Return the page with a table for each deployment."""
    for name in dict.fromkeys(one["deployment"] for one in results):
        rows = [_cells(one) for one in results if one["deployment"] == name]
        text = replace_table(text, name, table(HEADINGS, rows))
    return text


def main() -> int:
    """Rewrite the page."""
    results = json.loads(RESULTS.read_text(encoding="utf-8"))
    text = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(fill_page(text, results), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
