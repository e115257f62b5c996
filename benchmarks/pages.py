"""Tables between markers on the pages that quote measured figures."""

import re
from collections.abc import Iterable


def table(headings: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a table in Markdown."""
    heads = list(headings)
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def replace_table(text: str, name: str, made: str) -> str:
    """Return a page with the table between the markers of a name replaced.

    Raises
    ------
    ValueError
        If the markers are not on the page exactly once.
    """
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
    if len(pattern.findall(text)) != 1:
        raise ValueError(f"the page needs {begin} and {end} once")
    return pattern.sub(lambda _: f"{begin}\n\n{made}\n\n{end}", text)
