"""The names of metrics and log events, read from the source of the package.

docs/observability.md lists them; a test compares the page with the code.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import attrs

import sassafrasloft

PACKAGE = Path(sassafrasloft.__file__).parent
INSTANCE_PACKAGES = (
    "event_loop",
    "gateway",
    "instance",
    "leadership",
    "metadata",
    "runs",
    "scheduling",
)
"""Packages of the instance on the users' platform; the others are of the entry
instance."""
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
METRIC_CALLS = ("add", "sample", "set_counter", "set_gauge", "record")
LOGGER_CALLS = ("info", "warning", "error", "exception")
_PLACEHOLDER = re.compile(r"<[^>]*>")


@attrs.define
class TelemetryNames:
    """Names without prefix; a part that varies is written ``<...>``.

    Parameters
    ----------
    metrics : set of str
        Counters, gauges and histograms.
    events : set of str
        Log events of the decision core.
    messages : set of str
        Log messages of the process around the core, as format strings.
    """

    metrics: set[str] = attrs.field(factory=set)
    events: set[str] = attrs.field(factory=set)
    messages: set[str] = attrs.field(factory=set)


def normal_name(name: str) -> str:
    """Return a name with each varying part written as ``<>``."""
    return _PLACEHOLDER.sub("<>", name)


def names_in_code(root: Path = PACKAGE, of_instances: bool = False) -> TelemetryNames:
    """Return the names in all modules of one program except tests.

    Parameters
    ----------
    root : Path
    of_instances : bool
        Whether of the instance on the users' platform, not of the entry instance.
    """
    names = TelemetryNames()
    for path in sorted(root.rglob("*.py")):
        parts = path.relative_to(root).parts
        if "tests" not in parts and (parts[0] in INSTANCE_PACKAGES) is of_instances:
            _read(ast.parse(path.read_text("utf-8")), names)
    return names


def _read(tree: ast.Module, names: TelemetryNames) -> None:
    choices = _choices(tree)
    for call in ast.walk(tree):
        if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute):
            continue
        owner = ast.unparse(call.func.value)
        method = call.func.attr
        if _is_metric_call(owner, method):
            names.metrics.update(_texts(call.args[0], choices))
        elif owner == "self._log" and method == "write":
            names.events.update(_texts(call.args[1], choices))
        elif owner in ("board", "self") and method in ("log", "log_request"):
            names.events.update(_texts(_event_of(call), choices))
        elif owner == "_LOGGER" and method in LOGGER_CALLS:
            names.messages.update(_texts(call.args[0], choices))


def _is_metric_call(owner: str, method: str) -> bool:
    if owner == "board":
        return method in ("count", "measure")
    of_registry = owner.endswith("metrics") or owner == "registry"
    return of_registry and method in METRIC_CALLS


def _event_of(call: ast.Call) -> ast.expr:
    """Return the event of a log call, which may have the level before it."""
    first = call.args[0]
    is_event = isinstance(first, ast.JoinedStr) or (
        isinstance(first, ast.Constant) and first.value not in LEVELS
    )
    return first if is_event else call.args[1]


def _choices(tree: ast.Module) -> dict[str, list[ast.expr]]:
    """Return the texts that a variable gets, by assignment or by a loop."""
    found: dict[str, list[ast.expr]] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.IfExp):
            values = [node.value.body, node.value.orelse]
            found.setdefault(ast.unparse(node.targets[0]), []).extend(values)
        elif isinstance(node, ast.For) and isinstance(node.iter, ast.Tuple):
            target = node.target
            if isinstance(target, ast.Tuple):
                firsts = [one.elts[0] for one in node.iter.elts]
                found.setdefault(ast.unparse(target.elts[0]), []).extend(firsts)
    return found


def _texts(node: ast.expr, choices: dict[str, list[ast.expr]]) -> Iterator[str]:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.JoinedStr):
        yield "".join(
            str(part.value) if isinstance(part, ast.Constant) else "<>"
            for part in node.values
        )
    else:
        for choice in choices.get(ast.unparse(node), []):
            yield from _texts(choice, {})
