"""Parsing of YAML into a tree whose nodes record their file and line.

The tree is built from parser events instead of `yaml.safe_load` in order to keep line
numbers, detect duplicate keys, limit size and depth, and reject aliases.
"""

import re

import attrs
import yaml
from returns.result import Failure, Result, Success
from yaml.resolver import Resolver

from sassafrasloft.settings.problems import Problems, SettingsError

MAX_TEXT_BYTES = 1_000_000
"""The platform stores values of up to 1 MB."""
MAX_DEPTH = 12
_TAG = "tag:yaml.org,2002:"
_INTEGER = re.compile(r"[-+]?(0|[1-9][0-9_]*)\Z")
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

Scalar = str | int | float | bool | None


@attrs.frozen
class ScalarNode:
    """A scalar value and its text in the file."""

    file: str
    line: int
    value: Scalar
    text: str


@attrs.define
class ListNode:
    """A YAML sequence."""

    file: str
    line: int
    items: list["Node"] = attrs.field(factory=list)


@attrs.define
class MappingNode:
    """A YAML mapping in file order; `key_lines` holds the line of each key."""

    file: str
    line: int
    entries: dict[str, "Node"] = attrs.field(factory=dict)
    key_lines: dict[str, int] = attrs.field(factory=dict)

    def put(self, key: str, node: "Node", line: int) -> None:
        """Set or replace the node of a key."""
        self.entries[key] = node
        self.key_lines[key] = line

    def copy(self) -> "MappingNode":
        """Return a shallow copy."""
        return MappingNode(
            self.file, self.line, dict(self.entries), dict(self.key_lines)
        )


Node = ScalarNode | ListNode | MappingNode


def scalar_value(event: yaml.ScalarEvent) -> Scalar:
    """Return the Python value of a YAML scalar.

    Raises
    ------
    ValueError
        If YAML resolves the scalar to a number that cannot be converted.
    """
    tag = event.tag or Resolver().resolve(
        yaml.ScalarNode, event.value, tuple(event.implicit)
    )
    if tag == _TAG + "null":
        return None
    if tag == _TAG + "bool":
        return event.value.lower() in ("yes", "true", "on")
    if tag == _TAG + "int":
        if not _INTEGER.match(event.value):
            raise ValueError("a number that is not decimal")
        return int(event.value.replace("_", ""))
    if tag == _TAG + "float":
        text = event.value.replace("_", "").lower()
        return float(text.replace(".inf", "inf").replace(".nan", "nan"))
    return event.value


class _TreeBuilder:
    """Builds the tree from parser events and collects errors."""

    def __init__(self, file: str, problems: Problems) -> None:
        self._file = file
        self._problems = problems
        self._open_nodes: list[ListNode | MappingNode] = []
        self._pending_keys: list[tuple[str, int] | None] = []
        self.root: Node | None = None
        self.documents = 0

    def handle_event(self, event: yaml.Event) -> bool:
        """Handle one event; return False if parsing must stop."""
        line = event.start_mark.line + 1 if event.start_mark else 0
        if isinstance(event, yaml.DocumentStartEvent):
            self.documents += 1
            if self.documents > 1:
                return self._abort(line, "a second YAML document", "Keep one document.")
        elif isinstance(event, yaml.AliasEvent):
            return self._abort(line, "an alias (*)", "Write the value out instead.")
        elif isinstance(event, yaml.ScalarEvent):
            self._handle_scalar(event, line)
        elif isinstance(event, yaml.MappingStartEvent):
            return self._open_node(MappingNode(self._file, line), line)
        elif isinstance(event, yaml.SequenceStartEvent):
            return self._open_node(ListNode(self._file, line), line)
        elif isinstance(event, (yaml.MappingEndEvent, yaml.SequenceEndEvent)):
            self._open_nodes.pop()
            self._pending_keys.pop()
        return True

    def _abort(self, line: int, found: str, remedy: str) -> bool:
        self._problems.add(self._file, line, "", found, remedy)
        return False

    def _open_node(self, node: ListNode | MappingNode, line: int) -> bool:
        if len(self._open_nodes) >= MAX_DEPTH:
            return self._abort(
                line,
                f"more than {MAX_DEPTH} levels",
                "Nest the keys as docs/settings.md shows.",
            )
        if self._expects_key():
            return self._abort(
                line, "a key that is not a string", "Use a name as the key."
            )
        self._attach(node)
        self._open_nodes.append(node)
        self._pending_keys.append(None)
        return True

    def _expects_key(self) -> bool:
        is_mapping = bool(self._open_nodes) and isinstance(
            self._open_nodes[-1], MappingNode
        )
        return is_mapping and self._pending_keys[-1] is None

    def _handle_scalar(self, event: yaml.ScalarEvent, line: int) -> None:
        if self._expects_key():
            self._pending_keys[-1] = (event.value, line)
            return
        try:
            value = scalar_value(event)
        except ValueError:
            key = self._pending_keys[-1] if self._pending_keys else None
            self._problems.add(
                self._file,
                line,
                key[0] if key else "",
                f"{event.value[:40]!r}, which is not a valid number",
                "Write a decimal number, or put a string in quotes.",
            )
            value = 0
        self._attach(ScalarNode(self._file, line, value, event.value))

    def _attach(self, node: Node) -> None:
        if not self._open_nodes:
            self.root = node
            return
        parent = self._open_nodes[-1]
        if isinstance(parent, ListNode):
            parent.items.append(node)
            return
        key, line = self._pending_keys[-1]
        self._pending_keys[-1] = None
        if key in parent.entries:
            first = parent.key_lines[key]
            self._problems.add(
                self._file,
                line,
                key,
                f"the key is already on line {first}",
                "Keep one of the two.",
            )
            return
        parent.put(key, node, line)


def parse_tree(
    text: str, file: str, max_bytes: int = MAX_TEXT_BYTES
) -> Result[MappingNode, tuple[SettingsError, ...]]:
    """Return the root mapping of a YAML text, or all errors found."""
    problems = Problems()
    builder = _TreeBuilder(file, problems)
    try:
        size = len(text.encode())
        if size > max_bytes:
            problems.add(
                file,
                0,
                "",
                f"{size} bytes, above the limit of {max_bytes}",
                "Use groups for runners and instances, or remove unneeded entries.",
            )
            return Failure(problems.errors)
        for event in yaml.parse(text, Loader=_LOADER):
            if not builder.handle_event(event):
                break
    except (yaml.YAMLError, UnicodeError) as error:
        problems.add(
            file, _error_line(error), "", _error_text(error), "Correct the YAML syntax."
        )
    root = builder.root
    if problems.errors:
        return Failure(problems.errors)
    if not isinstance(root, MappingNode):
        problems.add(
            file, 1, "", "no keys", "Start with `service:` as docs/settings.md shows."
        )
        return Failure(problems.errors)
    return Success(root)


def _error_line(error: Exception) -> int:
    mark = getattr(error, "problem_mark", None)
    return mark.line + 1 if mark else 0


def _error_text(error: Exception) -> str:
    problem = getattr(error, "problem", None) or getattr(error, "reason", None)
    return f"invalid YAML ({problem or type(error).__name__})"


def plain_value(node: Node) -> object:
    """Return a node as nested dicts, lists and scalars."""
    if isinstance(node, MappingNode):
        return {key: plain_value(value) for key, value in node.entries.items()}
    if isinstance(node, ListNode):
        return [plain_value(item) for item in node.items]
    return node.value
