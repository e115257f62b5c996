"""Merging of a site's overlay into the base settings of the service."""

from sassafrasloft.settings.problems import Problems
from sassafrasloft.settings.rules import (
    NAMED_SECTIONS,
    SECTIONS,
    SERVICE_KEYS,
    fields_of,
)
from sassafrasloft.settings.tree import (
    ListNode,
    MappingNode,
    Node,
    ScalarNode,
    plain_value,
)

_MISSING = object()


def merge_overlay(
    base: MappingNode, overlay: MappingNode, problems: Problems
) -> MappingNode:
    """Return the base with the overlay applied.

    An empty value removes an entry of a named section. A key that must be the same
    at every site, and a value that does not differ, are reported as errors.
    """
    for key in SERVICE_KEYS:
        if key in overlay.entries:
            problems.add(
                overlay.file,
                overlay.key_lines[key],
                key,
                "a key that must be the same at every site",
                "Remove it from the overlay; state it in the base only.",
            )
    return merge_mappings(base, overlay, (), problems)


def merge_mappings(
    base: MappingNode, overlay: MappingNode, path: tuple[str, ...], problems: Problems
) -> MappingNode:
    """Return a recursive merge of two mappings; the overlay takes precedence."""
    merged = base.copy()
    for key, node in overlay.entries.items():
        line = overlay.key_lines[key]
        below = (*path, key)
        old = base.entries.get(key)
        if isinstance(node, MappingNode) and isinstance(old, MappingNode):
            merged.put(key, merge_mappings(old, node, below, problems), line)
        elif _is_removal(node, below) and old is not None:
            del merged.entries[key], merged.key_lines[key]
        else:
            _report_redundant_value(old, node, below, line, problems)
            merged.put(key, node, line)
    return merged


def _is_removal(node: Node, path: tuple[str, ...]) -> bool:
    is_null = isinstance(node, ScalarNode) and node.value is None
    return is_null and len(path) == 2 and path[0] in NAMED_SECTIONS


def _report_redundant_value(
    old: Node | None,
    node: Node,
    path: tuple[str, ...],
    line: int,
    problems: Problems,
) -> None:
    if isinstance(node, MappingNode):
        for key, value in node.entries.items():
            below = (*path, key)
            _report_redundant_value(None, value, below, node.key_lines[key], problems)
        return
    value = plain_value(node)
    if old is not None and plain_value(old) == value:
        found = f"the same value that line {old.line} of {old.file} states already"
    elif old is None and _default_value(path) == value:
        found = "the value that the key has by default"
    else:
        return
    remedy = "Remove the key: this file may state only values that differ."
    problems.add(node.file, line, ".".join(path), found, remedy)


def _default_value(path: tuple[str, ...]) -> object:
    if len(path) == 2 and path[0] in SECTIONS:
        field = fields_of(path[0]).get(path[1])
        return _MISSING if field is None else field.default
    return _MISSING


def empty_mapping(node: Node | None, file: str) -> MappingNode:
    """Return the node if it is a mapping, else an empty mapping at the same line."""
    if isinstance(node, MappingNode):
        return node
    line = node.line if isinstance(node, (ScalarNode, ListNode)) else 0
    return MappingNode(file, line)
