"""Compares the last score of each deployment with the one before it.

Reads the entries that the users' bench leaves in ``journal/``; ``make regression``
plays and then compares.

Run ``python -m benchmarks.compare_scores [--site=NAME,...]``.
"""

import json
import sys
from pathlib import Path

import attrs
from absl import app, flags

_JOURNAL = flags.DEFINE_string("journal", "journal", "Directory of the entries.")
_SITES = flags.DEFINE_list("site", [], "Names of deployments; all by default.")

MAX_FALL = 0.03
"""A smaller difference of equal days is noise, since processor time is measured."""


@attrs.frozen
class Score:
    """One score of a deployment.

    Parameters
    ----------
    site, commit : str
    played_at : str
        When it began.
    worth : dict
        Worth of each standard day, by name.
    broken : tuple of str
        Days on which a rule was broken.
    """

    site: str
    commit: str
    played_at: str
    worth: dict[str, float]
    broken: tuple[str, ...]


def read_scores(folder: Path) -> dict[str, list[Score]]:
    """Return the scores in a journal by deployment, in order of time."""
    scores: dict[str, list[Score]] = {}
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text("utf-8"))
        if entry.get("cmd") != "score" or not entry.get("site"):
            continue
        days = [one for one in entry.get("days") or [] if "G" in one]
        # Names of freshly drawn days never occur twice.
        standard = [one for one in days if not one["name"].startswith("fresh-")]
        score = Score(
            entry["site"],
            entry["head"][:7],
            entry["at"][0],
            {one["name"]: one["G"] for one in standard},
            tuple(one["name"] for one in days if one.get("rules")),
        )
        if score.worth:
            scores.setdefault(score.site, []).append(score)
    for of_site in scores.values():
        of_site.sort(key=lambda one: one.played_at)
    return scores


def falls(before: Score, after: Score) -> list[str]:
    """Return the days of both scores that are worth less by more than the noise."""
    return [
        name
        for name, worth in after.worth.items()
        if before.worth.get(name, worth) - worth > MAX_FALL
    ]


def describe(before: Score, after: Score) -> str:
    """Return a table of both scores, and what fell or broke."""
    rows = [f"{after.site}: {before.commit} | {after.commit}"]
    fallen = falls(before, after)
    for name, worth in after.worth.items():
        known = before.worth.get(name)
        former = "  not played" if known is None else f"{known:12.3f}"
        remark = "  FELL" if name in fallen else ""
        rows.append(f"  {name:<12}{former}{worth:12.3f}{remark}")
    rows += [f"  {name}: a rule was BROKEN" for name in after.broken]
    return "\n".join(rows)


def main(_: list[str]) -> int:
    """Print the comparisons; return 1 if a day fell or broke a rule."""
    is_worse = False
    for site, scores in sorted(read_scores(Path(_JOURNAL.value)).items()):
        if _SITES.value and site not in _SITES.value:
            continue
        if len(scores) < 2:
            print(f"{site}: one score only")
            continue
        before, after = scores[-2:]
        print(describe(before, after))
        is_worse = is_worse or bool(falls(before, after) or after.broken)
    return int(is_worse)


if __name__ == "__main__":
    sys.exit(app.run(main))
